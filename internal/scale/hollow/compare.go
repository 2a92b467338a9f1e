package hollow

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"cobaltflow/internal/world"
	"cobaltflow/rules"
)

// Comparison simulates candidates with the same fleets and writes their figures as a table.
type Comparison struct {
	SizeDivisor        int    // divides the planned numbers of workers and keys
	Tasks              string // Short, Long or Mixed
	Traffic            string // names separated by commas; empty: all
	Candidates         string // names separated by commas; empty: all
	ProbeCosts         []float64
	Seeds              int
	Parallel           int     // simulations that run at the same time
	Schedulers         int     // 0: the planned number
	HotSchedulerFactor float64 // see Fleet
	TargetStretch      float64 // of the classes of long tasks; 0: the default
	Load               float64 // 0: the default
	WarmUpS, DurationS float64 // see Fleet, in seconds; 0: the defaults
	ConnectionIdleS    float64 // how long an idle connection is kept, in seconds
}

// ErrNoMatch reports that no candidate or traffic has the given name.
var ErrNoMatch = errors.New("hollow: no candidate or traffic matches the given names")

// trafficNames lists the kinds of traffic in the order of the table.
var trafficNames = []string{"evenly", "key", "zone"}

var trafficByName = map[string]world.Traffic{"evenly": world.Evenly, "key": world.ByKey, "zone": world.ByZone}

// row is a row of the table: a fleet with a candidate, over all seeds.
type row struct {
	traffic   string
	candidate Candidate
	probeCost float64
	outcomes  []Outcome
	err       error
}

// isSelected reports whether name is in a list of names separated by commas, or the list is empty.
func isSelected(names, name string) bool {
	return names == "" || slices.Contains(strings.Split(names, ","), name)
}

// selectRows returns the selected combinations of traffic, candidate and probe cost.
func (c *Comparison) selectRows() []*row {
	costs := c.ProbeCosts
	if len(costs) == 0 {
		costs = []float64{defaultProbeCost}
	}
	var rows []*row
	for _, traffic := range trafficNames {
		for _, candidate := range Candidates() {
			for _, cost := range costs {
				if isSelected(c.Traffic, traffic) && isSelected(c.Candidates, candidate.Name) {
					rows = append(rows, &row{traffic: traffic, candidate: candidate, probeCost: cost})
				}
			}
		}
	}
	return rows
}

// Write runs all simulations and writes the table. A row is written as soon as it and all rows before it are complete.
// It returns ErrNoMatch if the names select no row.
func (c *Comparison) Write(out io.Writer) error {
	rows := c.selectRows()
	if len(rows) == 0 {
		return ErrNoMatch
	}
	f := NewFleet(max(1, c.SizeDivisor), Tasks(c.Tasks))
	f.Schedulers = cmp.Or(c.Schedulers, f.Schedulers)
	f.WarmUp, f.Duration = cmp.Or(rules.Time(c.WarmUpS*float64(second)), f.WarmUp), cmp.Or(rules.Time(c.DurationS*float64(second)), f.Duration)
	f.TargetStretch, f.Load = cmp.Or(c.TargetStretch, f.TargetStretch), cmp.Or(c.Load, f.Load)
	fmt.Fprintf(out, "%d schedulers, %d workers of %d slots in %d zones, %s tasks, %d keys, load %.2f, counted %d s after %d s, %d seeds\n\n",
		f.Schedulers, f.Workers(), f.Slots, f.Zones, f.Tasks, f.Keys, f.Load, (f.Duration-f.WarmUp)/second, f.WarmUp/second, max(1, c.Seeds))
	fmt.Fprintln(out, "| traffic | candidate | probe price | worth | refused | wait mean, p99 (s) | herd | probes | new conn. | crossings | fetches 10 s, 300 s | probes B/s | decisions µs a job | core each | workers each |")
	fmt.Fprintln(out, "|"+strings.Repeat(" --- |", 15))
	done := runInOrder(len(rows), c.Parallel, func(i int) { c.playRow(rows[i], f) })
	for i, r := range rows {
		<-done[i]
		if r.err != nil {
			return r.err
		}
		fmt.Fprintln(out, r)
	}
	return nil
}

// runInOrder calls do for 0 to n-1, started in order and at most atOnce at a time. It returns a channel for each call
// that is closed when the call ends.
func runInOrder(n, atOnce int, do func(i int)) (done []chan struct{}) {
	for range n {
		done = append(done, make(chan struct{}))
	}
	next := make(chan int)
	for range max(1, atOnce) {
		go func() {
			for i := range next {
				do(i)
				close(done[i])
			}
		}()
	}
	go func() {
		for i := range n {
			next <- i
		}
		close(next)
	}()
	return done
}

// playRow simulates a row with all seeds and stops at the first error.
func (c *Comparison) playRow(r *row, f Fleet) {
	f.Traffic, f.ProbeCost, f.HotSchedulerFactor = trafficByName[r.traffic], r.probeCost, c.HotSchedulerFactor
	f.ConnectionIdle = rules.Time(c.ConnectionIdleS * float64(second))
	for seed := range max(1, c.Seeds) {
		f.Seed = uint64(seed + 1)
		o, err := Simulate(f, r.candidate)
		if err != nil {
			r.err = err
			return
		}
		r.outcomes = append(r.outcomes, o)
	}
}

// String formats the row with the means of its figures over the seeds.
func (r *row) String() string {
	mean := map[string]float64{}
	for i := range r.outcomes {
		for name, figure := range r.outcomes[i].Figures() {
			mean[name] += figure / float64(len(r.outcomes))
		}
	}
	return fmt.Sprintf("| %s | %s | %g | %.3f | %.4f | %.3f, %.2f | %.1f | %.3f | %.3f | %.3f | %.3f, %.3f | %.0f | %.0f | %.4f | %.0f |",
		r.traffic, r.candidate.Name, r.probeCost, mean["worth"], mean["refused_part"], mean["wait_mean_s"], mean["wait_p99_s"], mean["herd"],
		mean["probes_per_job"], mean["new_connections_per_job"], mean["crossings_per_job"], mean["fetches_10s_per_job"], mean["fetches_300s_per_job"],
		mean["probe_bytes_per_s"], mean["decisions_us_per_job"], mean["decisions_core_part_each_scheduler"], mean["workers_held_mean"])
}
