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

func demoCommand() *cobra.Command {
	o := demo.Options{}
	c := &cobra.Command{
		Use: "demo", Short: "Run a gateway, stand-in workers and mixed jobs on both fronts, and show what ended how", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			o.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
			return demo.Run(ctx, c.OutOrStdout(), o)
		},
	}
	c.Flags().IntVar(&o.Jobs, "jobs", 400, "`jobs` in all")
	c.Flags().DurationVar(&o.Time, "time", 4*time.Second, "over which they are spread")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of what is drawn")
	return c
}
