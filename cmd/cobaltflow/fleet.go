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

func fleetCommand() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Play a scenario with many processes of the program and faults between them"}
	var o experiment.Options
	run := &cobra.Command{
		Use: "run FILE", Short: "Play a scenario, judge it and keep its records", Args: cobra.ExactArgs(1),
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
	run.Flags().StringVar(&o.Binary, "binary", "", "the `program` to play; this one where absent")
	run.Flags().StringVar(&o.Old, "old", "", "an earlier `program`, played beside it on the same seeds")
	run.Flags().StringArrayVar(&o.Arms, "arm", nil, "`NAME=FILE`: play also with FILE put over the project's own configuration")
	run.Flags().Uint64Var(&o.Seed, "seed", 0, "first `seed`; the scenario's where absent")
	run.Flags().IntVar(&o.Seeds, "seeds", 1, "how `many` seeds to play")
	run.Flags().StringVar(&o.Dir, "out", "", "`directory` for records and logs; none are kept where absent")
	run.Flags().BoolVar(&o.Quiet, "quiet", false, "no live lines")
	check := &cobra.Command{
		Use: "check FILE...", Short: "Check scenario files", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			for _, path := range files {
				s, err := scenario.Load(path)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: good, %d schedulers, %.0f jobs a second\n", path, len(s.Schedulers()), s.RatePerS())
			}
			return nil
		},
	}
	report := &cobra.Command{
		Use: "report DIR", Short: "Make one HTML file of the records in a directory", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path, err := experiment.Report(args[0])
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
	c.AddCommand(run, check, report, schema, soakCommand())
	return c
}
