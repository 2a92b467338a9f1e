// Command cobaltflow is a gateway that schedules table jobs: one process between the clients and the table workers of a
// region. Its subcommands parse flags and call the internal packages; they hold no logic of their own.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"cobaltflow/internal/config"
)

const version = "0.2.0"

func main() {
	root := newRoot()
	if err := root.ExecuteContext(context.Background()); err != nil {
		name := "cobaltflow"
		if c, _, e := root.Find(os.Args[1:]); e == nil && c != root {
			name += " " + c.Name()
		}
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(1)
	}
}

// newRoot creates the command tree. Without a subcommand the program serves.
func newRoot() *cobra.Command {
	var file string
	root := &cobra.Command{
		Use: "cobaltflow", Short: "Gateway for table jobs over HTTP/1.1, HTTP/2 and the Faktory work protocol",
		Version: version, SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
	}
	root.PersistentFlags().StringVar(&file, "config", config.File, "the project's own configuration `file`")
	legacyFile := root.PersistentFlags().String("faktory", "", "")
	root.PersistentFlags().MarkHidden("faktory")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if *legacyFile != "" {
			return fmt.Errorf(`--faktory: the keys of deploy/faktory.json now stand in the section "faktory" of %s; name it with --config`, config.File)
		}
		return nil
	}
	load := func() (*config.Config, error) {
		return config.Load(os.Getenv, file, root.PersistentFlags().Changed("config"))
	}
	serve := serveCommand(load)
	root.RunE = serve.RunE
	root.AddCommand(serve, checkCommand(load), describeCommand(), conformanceCommand(), demoCommand(), measureCommand(), fleetCommand(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), "cobaltflow", version)
			return err
		},
	})
	root.SetArgs(longFlags(os.Args[1:]))
	return root
}

// longFlags rewrites long flags with one dash, which earlier versions accepted, to two dashes.
func longFlags(args []string) []string {
	rewritten := append([]string(nil), args...)
	for i, arg := range rewritten {
		if len(arg) > 2 && arg[0] == '-' && arg[1] != '-' && !strings.ContainsAny(arg[1:2], "0123456789") {
			rewritten[i] = "-" + arg
		}
	}
	return rewritten
}
