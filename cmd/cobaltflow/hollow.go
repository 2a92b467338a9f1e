package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"cobaltflow/internal/scale/hollow"
	"cobaltflow/internal/scale/result"
)

// hollowCommand simulates many schedulers in virtual time.
func hollowCommand() *cobra.Command {
	c := &cobra.Command{Use: "hollow", Short: "Simulate many schedulers and workers in virtual time, as Markdown or a results file"}
	c.AddCommand(hollowCompare(), hollowSlopes(), hollowRecovery())
	return c
}

// hollowCompare compares ways to divide the worker list among schedulers.
func hollowCompare() *cobra.Command {
	var o hollow.Comparison
	c := &cobra.Command{
		Use: "compare", Short: "Compare ways to divide the worker list among schedulers", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return o.Write(c.OutOrStdout()) },
	}
	c.Flags().IntVar(&o.SizeDivisor, "part", 30, "simulate 1/`N` of the full size")
	c.Flags().StringVar(&o.Tasks, "tasks", "long", "`kind` of jobs: short, long or mixed")
	c.Flags().StringVar(&o.Traffic, "traffic", "", "`kinds` of traffic, separated by commas: evenly, key, zone; empty: all")
	c.Flags().StringVar(&o.Candidates, "candidates", "", "`names` of candidates, separated by commas; empty: all")
	c.Flags().Float64SliceVar(&o.ProbeCosts, "probe-price", nil, "`costs` of a probe, as a fraction of the service's value; below 0: no probes; empty: the current default")
	c.Flags().IntVar(&o.Seeds, "seeds", 1, "`number` of seeds, from 1")
	c.Flags().IntVar(&o.Parallel, "parallel", 1, "`number` of concurrent runs")
	c.Flags().IntVar(&o.Schedulers, "schedulers", 0, "`number` of schedulers; 0: 32")
	c.Flags().Float64Var(&o.HotSchedulerFactor, "unlike", 0, "a tenth of the schedulers get `N` times the traffic of the others")
	c.Flags().Float64Var(&o.TargetStretch, "stretch", 0, "latency target of long jobs: `multiple` of their running time; 0: 1.2")
	c.Flags().Float64Var(&o.Load, "load", 0, "`fraction` of the slots that the load takes; 0: 0.8")
	c.Flags().Float64Var(&o.WarmUpS, "warm", 0, "warm-up `seconds` that are not measured; 0: 300, or 8 with short jobs")
	c.Flags().Float64Var(&o.DurationS, "for", 0, "`seconds` to simulate; 0: 480, or 20 with short jobs")
	c.Flags().Float64Var(&o.ConnectionIdleS, "connection-idle", 48, "`seconds` after which an idle connection is closed")
	return c
}

// hollowSlopes fits how resource use grows with the number of schedulers and workers.
func hollowSlopes() *cobra.Command {
	var small bool
	var out string
	var names []string
	campaign := hollow.Campaign{}
	c := &cobra.Command{
		Use: "slopes", Short: "Measure growth with schedulers, workers, in-flight jobs and worker list changes, as a results file", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			campaign.Cases = hollow.Cases(small)
			for _, name := range names {
				candidate, err := hollow.FindCandidate(name)
				if err != nil {
					return err
				}
				campaign.Candidates = append(campaign.Candidates, candidate)
			}
			file := result.File{Revision: version, TakenAt: time.Now().UTC().Format(time.RFC3339), Command: c.CommandPath()}
			file.Runs, file.Slopes = campaign.Run(func(r result.Run) {
				fmt.Fprintln(c.ErrOrStderr(), r.Case, r.Program, r.Parameters, r.Seed, r.MissedReason)
			})
			return file.Write(out)
		},
	}
	c.Flags().BoolVar(&small, "small", false, "run a small set of cases")
	c.Flags().StringVar(&out, "out", "hollow.json", "the results `file`")
	c.Flags().StringSliceVar(&names, "candidates", []string{"whole list", "package ownership"}, "`names` of candidates, separated by commas")
	c.Flags().IntVar(&campaign.Seeds, "seeds", 3, "`number` of seeds, from 1")
	c.Flags().IntVar(&campaign.Parallel, "parallel", 1, "`number` of concurrent runs")
	return c
}

// hollowRecovery simulates faults.
func hollowRecovery() *cobra.Command {
	var part int
	var tasks, name string
	c := &cobra.Command{
		Use: "recovery", Short: "Simulate the loss and return of a scheduler or a zone, and differing views of the members", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			candidate, err := hollow.FindCandidate(name)
			if err != nil {
				return err
			}
			return hollow.WriteRecoveries(c.OutOrStdout(), hollow.RecoveryFleet(part, hollow.Tasks(tasks)), candidate)
		},
	}
	c.Flags().IntVar(&part, "part", 30, "simulate 1/`N` of the full size")
	c.Flags().StringVar(&tasks, "tasks", "long", "`kind` of jobs: short, long or mixed")
	c.Flags().StringVar(&name, "candidate", "package ownership", "`name` of the candidate")
	return c
}
