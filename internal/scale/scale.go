// Package scale measures real schedulers, processes of the program, before tens of thousands of hollow workers: how
// what they use grows with the workers they know, the tasks they hold, their number, and what changes. It runs the
// cases, keeps what was measured, and fits lines; it decides nothing on the schedulers.
//
// # Figures
//
// A figure's name ends with its unit. Where several schedulers run, processor time and bytes are means of one
// scheduler; memory, descriptors and times are those of the worst one. Bytes are payload of sockets, counted at the
// ends outside the schedulers; "in" is to a scheduler. In the list below KIND is list, probe, peer, configuration, job,
// callback or client; the first four together are control.
//
//	ready_s                    from the process's start until /-/ready says 200
//	rss_bytes                  resident memory at rest, the list known
//	cpu_at_rest_cores          processor time a second, the list known and nothing to do
//	rest_control_bytes_per_s   control traffic in and out, at rest
//	cpu_loaded_cores           processor time a second under the load
//	cpu_per_job_s              processor time under the load above that at rest, for each job
//	cpu_per_event_s            the same for each change, of the list or of the configuration
//	rss_loaded_bytes           resident memory at the end of the load
//	descriptors                open at the end of the load
//	KIND_in_bytes_per_s, KIND_out_bytes_per_s, control_bytes_per_s
//	                           traffic under the load
//	connections_per_job        connections to workers opened for each job, those for probes with them
//	probes_per_job             probes answered for each job
//	jobs_per_s                 jobs sent to all schedulers
//	served_ratio               the part of the jobs that was served
//	latency_p50_ms, latency_p99_ms, latency_max_ms
//	                           of the served jobs, seen by the clients, running time included
//	loop_ping_p99_ms, loop_ping_max_ms
//	                           round trips of readiness calls beside a load, a millisecond or more apart: the slowest
//	                           turn of the loop is no longer than the longest of them, as far as one met it
//	change_applied_p50_ms, change_applied_max_ms
//	                           from a change of the list until the scheduler counts the workers so
//	tasks_held, rss_tasks_bytes, rss_per_task_bytes, cpu_tasks_cores, descriptors_tasks
//	                           with the tasks in hand and nothing else to do
//	in_force_p50_ms, in_force_p99_ms, in_force_max_ms
//	                           from a change of the configuration until all schedulers took it over
//	list_known_s               from the start of a process that knew no list until it counts all workers
//	gone_known_s, back_known_s from a zone's loss, or its return, until all schedulers count the workers so
//	recovery_s, recovery_cpu_s, recovery_control_bytes
//	                           until all schedulers know the list as it is, and what that cost one of them
//	minute2_connections_per_job, minute2_probes_per_job, minute2_control_bytes_per_s
//	                           in the second minute of a load
//
// A gang has gang_start_max_ms, until the last of its tasks had started. Beside these stand the numbers of what was done:
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

// Program is a build that is measured.
type Program struct {
	Label    string
	Path     string
	Sections json.RawMessage // sections of the project's own file, beside the measurement's; nil: none
}

// Options say what is measured.
type Options struct {
	FullSet      bool
	Cases        []string  // by name; none: all of the set
	Points       []float64 // of each case, in the place of its own; none: its own
	Programs     []Program
	RunsPerPoint int // of each point; 0: three in full, else one
	Seed         uint64
	Revision     string
	Command      string
	Exclusive    bool      // nothing else runs on the machine
	Log          io.Writer // a line for each run
}

// Bounds of a measurement.
const (
	fullRuns      = 3
	runTimeout    = 4 * time.Minute // of one run of a case
	memoryDivisor = 2               // all processes together keep under this part of the machine's memory
)

// Run measures and gives what was measured, also where the context ended it early.
func Run(ctx context.Context, o Options) (*result.File, error) {
	cases, err := selectCases(o.Cases, o.FullSet)
	if err != nil {
		return nil, err
	}
	runs := o.RunsPerPoint
	if runs == 0 {
		if runs = 1; o.FullSet {
			runs = fullRuns
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
			for number := range runs {
				for _, p := range o.Programs {
					if ctx.Err() != nil {
						return file, ctx.Err()
					}
					run := runOnce(ctx, c, point, p, o.Seed+uint64(number), o.FullSet)
					file.Runs = append(file.Runs, run)
					logRun(o.Log, &run)
				}
			}
		}
	}
	file.Slopes = fit.Slopes(file.Runs)
	return file, nil
}

// Join puts the runs of an earlier file before those of a later one, and fits the lines anew.
func Merge(earlier, later *result.File) {
	later.Runs = append(slices.Clone(earlier.Runs), later.Runs...)
	later.Command = earlier.Command + "; " + later.Command
	later.Machine.Exclusive = earlier.Machine.Exclusive && later.Machine.Exclusive
	later.Slopes = fit.Slopes(later.Runs)
}

// runOnce runs a case at one point.
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

func describeMachine(alone bool) result.Machine {
	m := result.Machine{Cores: runtime.NumCPU(), Exclusive: alone}
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
