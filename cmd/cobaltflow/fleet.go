package main

import (
	"errors"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cobaltflow/internal/fleet/experiment"
	"cobaltflow/internal/fleet/scenario"
)

// fleetCommand plays scenarios with many scheduler processes and checks their records.
func fleetCommand() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Play scenarios with many scheduler processes and injected faults"}
	var o experiment.Options
	run := &cobra.Command{
		Use: "run FILE", Short: "Play a scenario, check the outcome and keep its records", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			failed, err := experiment.Run(ctx, args[0], o, c.OutOrStdout(), c.ErrOrStderr())
			if err == nil && failed > 0 {
				err = errors.New("a check failed")
			}
			return err
		},
	}
	run.Flags().StringVar(&o.Binary, "binary", "", "the `program` to run; default: this one")
	run.Flags().StringVar(&o.OldBinary, "old", "", "an earlier `program` to run with the same seeds for comparison")
	run.Flags().StringArrayVar(&o.Arms, "arm", nil, "`NAME=FILE`: run also with FILE merged over the project's own configuration")
	run.Flags().Uint64Var(&o.Seed, "seed", 0, "first `seed`; default: the scenario's")
	run.Flags().IntVar(&o.SeedCount, "seeds", 1, "`number` of seeds to run")
	run.Flags().StringVar(&o.Dir, "out", "", "`directory` for records and logs; default: none are kept")
	run.Flags().BoolVar(&o.Quiet, "quiet", false, "print no progress lines")
	check := &cobra.Command{
		Use: "check FILE...", Short: "Check scenario files", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			for _, path := range files {
				s, err := scenario.Load(path)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: good, %d schedulers, %.0f jobs a second\n", path, len(s.SchedulerSites()), s.RatePerS())
			}
			return nil
		},
	}
	report := &cobra.Command{
		Use: "report DIR", Short: "Generate an HTML report from the records in a directory", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path, err := experiment.WriteReport(args[0])
			if err == nil {
				_, err = fmt.Fprintln(c.OutOrStdout(), path)
			}
			return err
		},
	}
	schema := &cobra.Command{
		Use: "schema", Short: "Print the JSON Schema of scenario files", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := c.OutOrStdout().Write(scenario.Schema)
			return err
		},
	}
	c.AddCommand(run, check, report, schema, soakCommand(), floodCommand())
	return c
}
