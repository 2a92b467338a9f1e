package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cobaltflow/internal/config"
	"cobaltflow/internal/gateway"
	"cobaltflow/internal/hangup"
	"cobaltflow/internal/log"
)

// configLoader loads the configuration from the environment and the project's own file.
type configLoader func() (*config.Config, error)

// serveCommand runs the gateway until SIGTERM or SIGINT. SIGHUP reloads the configuration in all processes of the scheduler.
func serveCommand(load configLoader) *cobra.Command {
	return &cobra.Command{
		Use: "serve", Short: "Run the gateway (the default)", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			stops := make(chan os.Signal, 2)
			reloads := make(chan struct{}, 1) // reloads that other processes of this scheduler requested
			conf, err := load()
			if err != nil {
				return err
			}
			gateway.ApplyLimits(conf.Limits)
			logger, lines, err := log.New(c.OutOrStdout(), conf.Log)
			if err != nil {
				return err
			}
			defer lines.Close()
			g := gateway.New(conf, logger)
			g.OnReload(func() {
				select {
				case reloads <- struct{}{}:
				default: // a reload is pending already
				}
			})
			if err := g.Start(); err != nil {
				return err
			}
			go func() {
				for {
					select {
					case <-hangup.Received:
						g.BroadcastReload()
					case <-reloads:
					}
					if next, err := conf.Reload(os.Getenv); err != nil {
						g.ReloadFailed(err)
					} else {
						g.Reload(next)
					}
				}
			}()
			signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
			go func() {
				for range stops {
					g.Stop()
				}
			}()
			g.Run()
			return nil
		},
	}
}
