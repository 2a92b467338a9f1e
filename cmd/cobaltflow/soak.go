package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cobaltflow/internal/fleet/soak"
)

// soakCommand plays scenarios generated from seeds and checks their outcomes.
func soakCommand() *cobra.Command {
	var o soak.Options
	c := &cobra.Command{
		Use: "soak", Short: "Play scenarios generated from seeds, with several faults at once, and check the outcomes", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			if o.Binary == "" {
				own, err := os.Executable()
				if err != nil {
					return err
				}
				o.Binary = own
			}
			o.Output = c.OutOrStdout()
			outcomes, err := soak.Run(ctx, o)
			broken := 0
			for _, outcome := range outcomes {
				if len(outcome.FailedChecks) > 0 {
					broken++
				}
			}
			fmt.Fprintf(o.Output, "%d seeds played, %d broken\n", len(outcomes), broken)
			if err == nil && broken > 0 {
				err = fmt.Errorf("%d of %d seeds broke a rule", broken, len(outcomes))
			}
			return err
		},
	}
	c.Flags().StringVar(&o.Binary, "binary", "", "the `program` to run; default: this one")
	c.Flags().Uint64Var(&o.FirstSeed, "from", 1, "first `seed`")
	c.Flags().IntVar(&o.SeedCount, "seeds", 50, "`number` of seeds to run")
	c.Flags().IntVar(&o.Parallel, "at-once", 1, "`number` of concurrent runs")
	c.Flags().StringVar(&o.Dir, "out", "", "`directory` for records and logs of runs that break a rule; default: none are kept")
	c.Flags().BoolVar(&o.Reduce, "reduce", false, "reduce the schedule of a seed that breaks a rule to a minimal one that still breaks it")
	return c
}
