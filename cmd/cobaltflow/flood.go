package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cobaltflow/internal/fleet/flood"
)

// floodCommand plays overload against a process and reports what it costs.
func floodCommand() *cobra.Command {
	var play flood.Case
	var kind, binary string
	c := &cobra.Command{
		Use: "flood", Short: "Play overload beside well-behaved clients, and report memory, latency and attempts for clients that left", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			kinds := []flood.Kind{flood.Kind(kind)}
			if kind == "all" {
				kinds = append([]flood.Kind{flood.None}, flood.Kinds...)
			}
			if binary == "" {
				own, err := os.Executable()
				if err != nil {
					return err
				}
				binary = own
			}
			isOver := false
			for _, one := range kinds {
				play.Flood = one
				dir, err := os.MkdirTemp("", "flood")
				if err != nil {
					return err
				}
				report, err := flood.Play(ctx, binary, dir, play)
				os.RemoveAll(dir)
				if err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), report)
				isOver = isOver || report.PeakBytes > report.LimitBytes() || report.Exited || report.LateAttempts > 0 || len(report.RanTwice) > 0
			}
			if isOver {
				return errors.New("a limit or a rule was broken")
			}
			return nil
		},
	}
	c.Flags().StringVar(&kind, "kind", "all", "the `kind` of flood, or all")
	c.Flags().StringVar(&binary, "binary", "", "the `program` to run; default: this one")
	c.Flags().IntVar(&play.MemoryMB, "memory-mb", 64, "limits.memory_mb")
	c.Flags().IntVar(&play.Sockets, "sockets", 512, "limits.sockets")
	c.Flags().IntVar(&play.Clients, "clients", 0, "misbehaving connections; default: two thirds of those that clients may have")
	c.Flags().Float64Var(&play.Seconds, "seconds", 10, "duration of each play")
	c.Flags().Uint64Var(&play.Seed, "seed", 1, "`seed` of IDs and of the mix")
	c.Flags().BoolVar(&play.WithUpgrade, "upgrade", false, "a second process takes over at half of the time")
	c.Flags().Float64Var(&play.KillAtS, "kill-at", 0, "kill the process after so many seconds and start it again")
	c.Flags().IntVar(&play.Core, "core", 1, "`core` of the processes")
	return c
}
