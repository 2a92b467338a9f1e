package main

import (
	"github.com/spf13/cobra"

	"cobaltflow/internal/config"
	"cobaltflow/internal/serve"
)

// configLoader loads the configuration from the environment and the project's own file.
type configLoader func() (*config.Config, error)

// serveCommand runs the gateway until SIGTERM or SIGINT. SIGHUP reloads the configuration in all processes of the scheduler.
func serveCommand(load configLoader) *cobra.Command {
	return &cobra.Command{
		Use: "serve", Short: "Run the gateway (the default)", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return serve.Run(load, c.OutOrStdout()) },
	}
}
