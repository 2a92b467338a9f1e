// Package scale measures real schedulers, which run as processes of the program, with tens of thousands of hollow
// workers, which accept jobs but do no work: how the schedulers' resource use grows with the workers they know, the tasks
// they hold, their number and the rate of changes. It runs the cases, records the figures and fits lines; command
// "measure scale" calls it.
//
// # Figures
//
// A figure's name ends with its unit. If several schedulers run, CPU time and bytes are means per scheduler; memory,
// descriptors and times are those of the worst one. Bytes are socket payload, counted at the ends outside the
// schedulers; "in" is to a scheduler. In the list below KIND is list, probe, peer, configuration, job, callback or
// client; the first four together are control.
//
//	ready_s                    from the process's start until /-/ready returns 200
//	rss_bytes                  resident memory at rest, with the list known
//	cpu_at_rest_cores          CPU time per second, with the list known and no load
//	rest_control_bytes_per_s   control traffic in and out, at rest
//	cpu_loaded_cores           CPU time per second under load
//	cpu_per_job_s              CPU time under load above that at rest, per job
//	cpu_per_event_s            the same per change of the list or of the configuration
//	rss_loaded_bytes           resident memory at the end of the load
//	descriptors                open descriptors at the end of the load
//	KIND_in_bytes_per_s, KIND_out_bytes_per_s, control_bytes_per_s
//	                           traffic under load
//	connections_per_job        connections to workers opened per job, including those for probes
//	probes_per_job             probes answered per job
//	jobs_per_s                 jobs sent to all schedulers
//	served_ratio               fraction of the jobs that was served
//	latency_p50_ms, latency_p99_ms, latency_max_ms
//	                           of the served jobs, measured by the clients, including the running time
//	loop_ping_p99_ms, loop_ping_max_ms
//	                           round trips of readiness calls under load, at least one millisecond apart: the longest
//	                           is an upper bound of the slowest turn of the loop during which a call arrived
//	change_applied_p50_ms, change_applied_max_ms
//	                           from a change of the list until the scheduler reports the new number of workers
//	tasks_held, rss_tasks_bytes, rss_per_task_bytes, cpu_tasks_cores, descriptors_tasks
//	                           with the tasks held and no other load
//	in_force_p50_ms, in_force_p99_ms, in_force_max_ms
//	                           from a change of the configuration until all schedulers have applied it
//	list_known_s               from the start of a process without a known list until it reports all workers
//	gone_known_s, back_known_s from a zone's loss, or its return, until all schedulers report the new number of workers
//	recovery_s, recovery_cpu_s, recovery_control_bytes
//	                           until all schedulers know the current list, and the cost of that per scheduler
//	minute2_connections_per_job, minute2_probes_per_job, minute2_control_bytes_per_s
//	                           in the second minute of a load
//
// A gang has gang_start_max_ms, the time until the last of its tasks started. Further figures count what was done:
// list_changes, configuration_changes, and window_s, the seconds in which the list changed.
package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"cobaltflow/internal/scale/fit"
	"cobaltflow/internal/scale/result"
)

// Program is a build to measure.
type Program struct {
	Label    string
	Path     string
	Sections json.RawMessage // sections merged into the program's own configuration file; nil: none
}

// Options select what is measured.
type Options struct {
	FullSet      bool      // all cases at all points
	Cases        []string  // by name; empty: all cases of the set
	Points       []float64 // replaces the points of each case; empty: the case's own points
	Programs     []Program
	RunsPerPoint int // 0: three with FullSet, otherwise one
	Seed         uint64
	Revision     string
	Command      string
	Exclusive    bool      // nothing else runs on the machine
	Log          io.Writer // receives a line per run; nil: none
}

// Limits of a measurement.
const (
	fullRuns      = 3
	runTimeout    = 4 * time.Minute // of one run of a case
	memoryDivisor = 2               // all processes together may use the machine's memory divided by it
)

// Run executes the selected cases and returns their runs and slopes. If the context ends early, it returns the runs so
// far, without slopes, and the context's error.
func Run(ctx context.Context, o Options) (*result.File, error) {
	cases, err := selectCases(o.Cases, o.FullSet)
	if err != nil {
		return nil, err
	}
	runsPerPoint := o.RunsPerPoint
	if runsPerPoint == 0 {
		if runsPerPoint = 1; o.FullSet {
			runsPerPoint = fullRuns
		}
	}
	file := &result.File{Revision: o.Revision, Machine: describeMachine(o.Exclusive), TakenAt: time.Now().UTC().Format(time.RFC3339), Command: o.Command}
	for _, c := range cases {
		points := c.quickPoints
		if o.FullSet {
			points = c.fullPoints
		}
		if len(o.Points) > 0 {
			points = o.Points
		}
		for _, point := range points {
			for repetition := range runsPerPoint {
				for _, p := range o.Programs {
					if ctx.Err() != nil {
						return file, ctx.Err()
					}
					run := runOnce(ctx, c, point, p, o.Seed+uint64(repetition), o.FullSet)
					file.Runs = append(file.Runs, run)
					logRun(o.Log, &run)
				}
			}
		}
	}
	file.Slopes = fit.Slopes(file.Runs)
	return file, nil
}

// Merge prepends the runs of an earlier file to those of a later one and fits the slopes again.
func Merge(earlier, later *result.File) {
	later.Runs = append(slices.Clone(earlier.Runs), later.Runs...)
	later.Command = earlier.Command + "; " + later.Command
	later.Machine.Exclusive = earlier.Machine.Exclusive && later.Machine.Exclusive
	later.Slopes = fit.Slopes(later.Runs)
}

// runOnce runs a case at one point. An error goes into the run's MissedReason.
func runOnce(ctx context.Context, c benchCase, point float64, p Program, seed uint64, full bool) result.Run {
	run := result.Run{Case: c.name, Kind: result.Real, Seed: seed, Program: p.Label, Parameters: map[string]float64{}}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		run.MissedReason = err.Error()
		return run
	}
	defer os.RemoveAll(dir)
	setup := c.setup(point)
	m := &measurement{ctx: ctx, program: p, dir: dir, seed: seed, figures: map[string]float64{},
		memoryBytes: int64(describeMachine(false).MemoryMB) << 20}
	run.Parameters = setup.parameters()
	run.Parameters[c.parameter] = point
	if full {
		m.pace = fullPace
	}
	if err := m.prepare(setup); err != nil {
		run.MissedReason = err.Error()
	} else if err := c.measure(m, point); err != nil {
		run.MissedReason = err.Error()
	}
	m.close()
	run.Figures = m.figures
	return run
}

// logRun writes a line with the parameters and figures of a run.
func logRun(w io.Writer, run *result.Run) {
	if w == nil {
		return
	}
	fmt.Fprintf(w, "%s %s %v seed %d: ", run.Case, run.Program, run.Parameters, run.Seed)
	if run.MissedReason != "" {
		fmt.Fprintf(w, "missed: %s ", run.MissedReason)
	}
	fmt.Fprintln(w, run.Figures)
}

// describeMachine returns the machine's cores, memory and descriptor limit; what cannot be read stays 0.
func describeMachine(exclusive bool) result.Machine {
	m := result.Machine{Cores: runtime.NumCPU(), Exclusive: exclusive}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		m.MemoryMB = int(info.Totalram * uint64(info.Unit) >> 20)
	}
	var files unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &files) == nil {
		m.MaxFiles = int64(files.Cur)
	}
	return m
}
