package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"cobaltflow/internal/fleet"
	"cobaltflow/internal/fleet/judge"
	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

// Options of a soak.
type Options struct {
	Binary    string
	FirstSeed uint64 // the first seed
	SeedCount int
	Parallel  int    // runs side by side; 0: 1
	Dir       string // keeps the records and logs of runs that fail; empty: none are kept
	Reduce    bool   // cut the schedules of seeds that fail down
	Output    io.Writer
}

// Outcome is what became of a seed.
type Outcome struct {
	Seed         uint64
	Scenario     *scenario.Scenario
	FailedChecks []judge.Check // empty: all holds
	Served       int
	Tries        int
	Reduced      *scenario.Scenario // the least schedule that still fails; nil: it was not looked for, or none did again
}

// Run plays the seeds. An error says that one could not be played.
func Run(ctx context.Context, o Options) ([]Outcome, error) {
	var (
		mu    sync.Mutex
		all   []Outcome
		fault error
		group sync.WaitGroup
	)
	seeds := make(chan uint64)
	for range max(1, o.Parallel) {
		group.Go(func() {
			for seed := range seeds {
				outcome, err := runSeed(ctx, o, seed, &mu)
				mu.Lock()
				if err != nil {
					fault = fmt.Errorf("seed %d: %w", seed, err)
				} else {
					all = append(all, outcome)
				}
				mu.Unlock()
			}
		})
	}
	for n := range o.SeedCount {
		if ctx.Err() != nil {
			break
		}
		seeds <- o.FirstSeed + uint64(n)
	}
	close(seeds)
	group.Wait()
	slices.SortFunc(all, func(a, b Outcome) int { return int(a.Seed) - int(b.Seed) })
	if fault == nil {
		fault = ctx.Err()
	}
	return all, fault
}

func runSeed(ctx context.Context, o Options, seed uint64, mu *sync.Mutex) (Outcome, error) {
	s, err := DrawScenario(seed)
	if err != nil {
		return Outcome{}, err
	}
	outcome := Outcome{Seed: seed, Scenario: s}
	dir := ""
	if o.Dir != "" {
		dir = filepath.Join(o.Dir, s.Name)
	}
	rec, broken, err := play(ctx, o.Binary, s, dir)
	if err != nil {
		return outcome, err
	}
	outcome.FailedChecks, outcome.Tries = broken, len(rec.Tries)
	for i := range rec.Tries {
		if rec.Tries[i].Status == 200 {
			outcome.Served++
		}
	}
	if len(broken) > 0 && o.Reduce {
		outcome.Reduced = reduce(ctx, o.Binary, s, broken[0].Name)
	}
	mu.Lock()
	defer mu.Unlock()
	writeOutcome(o.Output, &outcome, rec)
	if dir != "" && len(broken) == 0 {
		os.RemoveAll(dir)
	}
	return outcome, nil
}

// play plays a scenario and gives the checks that failed.
func play(ctx context.Context, binary string, s *scenario.Scenario, dir string) (*record.Records, []judge.Check, error) {
	rec, err := fleet.Play(ctx, s, fleet.Build{Name: "soak", Binary: binary}, fleet.Options{Seed: s.Seed, LogDir: dir})
	if err != nil {
		return nil, nil, err
	}
	checks, _, err := judge.Evaluate(rec)
	if err != nil {
		return nil, nil, err
	}
	broken := slices.DeleteFunc(checks, func(c judge.Check) bool { return c.Passed })
	if dir != "" && len(broken) > 0 {
		err = rec.Save(dir)
	}
	return rec, broken, err
}

// reduce leaves faults out, one at a time, as long as the same check still fails. Real processes do not repeat themselves
// to the millisecond: a schedule counts as failing if it does in one of some plays.
func reduce(ctx context.Context, binary string, s *scenario.Scenario, check string) *scenario.Scenario {
	const plays = 2
	fails := func(faults []scenario.Fault) bool {
		tried := *s
		tried.Faults = faults
		for range plays {
			_, broken, err := play(ctx, binary, &tried, "")
			if err == nil && slices.ContainsFunc(broken, func(c judge.Check) bool { return c.Name == check }) {
				return true
			}
		}
		return false
	}
	faults := slices.Clone(s.Faults)
	if !fails(faults) {
		return nil
	}
	for i := 0; i < len(faults) && ctx.Err() == nil; {
		fewer := slices.Delete(slices.Clone(faults), i, i+1)
		if fails(fewer) {
			faults = fewer
		} else {
			i++
		}
	}
	least := *s
	least.Faults = faults
	return &least
}

// report writes what became of a seed; of one that fails, the rules, the way of the request that broke each, and the
// command that plays it again.
func writeOutcome(out io.Writer, o *Outcome, rec *record.Records) {
	if out == nil {
		return
	}
	if len(o.FailedChecks) == 0 {
		fmt.Fprintf(out, "seed %d: all holds, %d of %d tries served, %d schedulers, faults: %s\n", o.Seed, o.Served, o.Tries,
			len(o.Scenario.SchedulerSites()), formatSchedule(o.Scenario))
		return
	}
	fmt.Fprintf(out, "seed %d: BROKEN; play it again with: cobaltflow fleet soak --seeds 1 --from %d\n  faults: %s\n", o.Seed, o.Seed, formatSchedule(o.Scenario))
	for _, c := range o.FailedChecks {
		fmt.Fprintf(out, "  %s: %s\n", c.Name, c.Text)
		writeRequestHistory(out, rec, c.Text)
	}
	if o.Reduced != nil {
		fmt.Fprintf(out, "  the least that still fails: %s\n", formatSchedule(o.Reduced))
	}
}

func formatSchedule(s *scenario.Scenario) string {
	var parts []string
	for _, f := range s.Faults {
		parts = append(parts, fmt.Sprintf("%.2f %s", f.AtS, f.What))
	}
	return strings.Join(parts, ", ")
}

// way writes all that is known of the request that a check's text names first.
func writeRequestHistory(out io.Writer, rec *record.Records, text string) {
	const context = 2 * time.Second
	_, named, found := strings.Cut(text, "the first: ")
	id, _, _ := strings.Cut(named, " ")
	id = strings.TrimSuffix(id, ",")
	if !found {
		return
	}
	seconds := func(us int64) float64 { return float64(us) / 1e6 }
	var from, to int64
	for i := range rec.Tries {
		if t := &rec.Tries[i]; t.ID == id {
			from, to = t.SentUS, t.EndedUS
			fmt.Fprintf(out, "    client: class %d to scheduler %d, sent %.3f, would wait %d ms, ended %.3f: %s %d %s\n", t.Class, t.Scheduler,
				seconds(t.SentUS), t.TimeLeftMS, seconds(t.EndedUS), t.End, t.Status, t.Error)
		}
	}
	for i := range rec.Attempts {
		if r := &rec.Attempts[i]; r.ID == id {
			fmt.Fprintf(out, "    worker %d: from scheduler %d, came %.3f, began %.3f, ended %.3f: %s\n", r.Worker, r.Scheduler, seconds(r.ArrivedUS),
				seconds(r.StartedUS), seconds(r.EndedUS), r.Outcome)
		}
	}
	for _, e := range rec.Events {
		if from > 0 && e.AtUS > from-context.Microseconds() && e.AtUS < to+context.Microseconds() {
			fmt.Fprintf(out, "    %.3f %s %s\n", seconds(e.AtUS), e.Kind, e.Text)
		}
	}
}
