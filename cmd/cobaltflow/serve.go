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

type configLoader func() (*config.Config, error)

func serveCommand(load configLoader) *cobra.Command {
	return &cobra.Command{
		Use: "serve", Short: "Run the gateway (the default)", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ends := make(chan os.Signal, 2)
			told := make(chan struct{}, 1) // another process of this scheduler was asked to reload
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
				case told <- struct{}{}:
				default: // one that waits is enough
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
					case <-told:
					}
					if next, err := conf.Reload(os.Getenv); err != nil {
						g.ReloadFailed(err)
					} else {
						g.Reload(next)
					}
				}
			}()
			signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
			go func() {
				for range ends {
					g.Stop()
				}
			}()
			g.Run()
			return nil
		},
	}
}
