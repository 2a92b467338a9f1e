package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cobaltflow/internal/demo"
)

// demoCommand runs a demonstration of the gateway.
func demoCommand() *cobra.Command {
	o := demo.Options{}
	c := &cobra.Command{
		Use: "demo", Short: "Run a gateway with fake workers and mixed jobs on both fronts, and print the outcomes", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			o.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
			return demo.Run(ctx, c.OutOrStdout(), o)
		},
	}
	c.Flags().IntVar(&o.Jobs, "jobs", 400, "total number of `jobs`")
	c.Flags().DurationVar(&o.Duration, "time", 4*time.Second, "`duration` over which the jobs are spread")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "`seed` of the random choices")
	return c
}
