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

// Comparison plays candidates side by side.
type Comparison struct {
	SizeDivisor        int    // of the full size
	Tasks              string // Short, Long or Mixed
	Traffic            string // names by commas; empty: all
	Candidates         string // the same
	ProbeCosts         []float64
	Seeds              int
	Parallel           int
	Schedulers         int // 0: as many as at the full size
	HotSchedulerFactor float64
	TargetStretch      float64 // of the classes of long tasks; 0: the default
	Load               float64 // 0: the default
	WarmUpS, DurationS float64 // begin and end of what is counted, in seconds; 0: the defaults
	ConnectionIdleS    float64 // for which a connection is kept, in seconds
}

// ErrNothing tells that the names given fit nothing.
var ErrNoMatch = errors.New("hollow: nothing to compare")

// trafficNames are the kinds of traffic in the order in which they are played.
var trafficNames = []string{"evenly", "key", "zone"}

var trafficByName = map[string]world.Traffic{"evenly": world.Evenly, "key": world.ByKey, "zone": world.ByZone}

// case is one row: a fleet under a candidate, over all seeds.
type row struct {
	traffic   string
	candidate Candidate
	probeCost float64
	outcomes  []Outcome
	err       error
}

// chosen tells whether a name is among names by commas; all are where there are none.
func isSelected(names, name string) bool {
	return names == "" || slices.Contains(strings.Split(names, ","), name)
}

func (c *Comparison) selectRows() []*row {
	prices := c.ProbeCosts
	if len(prices) == 0 {
		prices = []float64{defaultProbeCost}
	}
	var rows []*row
	for _, traffic := range trafficNames {
		for _, candidate := range Candidates() {
			for _, price := range prices {
				if isSelected(c.Traffic, traffic) && isSelected(c.Candidates, candidate.Name) {
					rows = append(rows, &row{traffic: traffic, candidate: candidate, probeCost: price})
				}
			}
		}
	}
	return rows
}

// Write plays all and writes a table, each row as soon as it and those before it are there.
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

// inOrder does n pieces of work, begun in order and so many at a time, and gives for each what is closed at its end.
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

// String gives the row, its figures as means over the seeds.
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
