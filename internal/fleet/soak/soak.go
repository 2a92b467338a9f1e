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

// Options holds the settings of a soak.
type Options struct {
	Binary    string
	FirstSeed uint64 // the first seed
	SeedCount int
	Parallel  int    // number of parallel runs; 0: 1
	Dir       string // directory that keeps the records and logs of failed runs; empty: none are kept
	Reduce    bool   // reduce the fault schedules of failed seeds
	Output    io.Writer
}

// Outcome is the result of a seed.
type Outcome struct {
	Seed         uint64
	Scenario     *scenario.Scenario
	FailedChecks []judge.Check // empty: all checks passed
	Served       int
	Tries        int
	Reduced      *scenario.Scenario // scenario with the reduced schedule that still fails; nil: not reduced, or the failure did not recur
}

// Run runs the scenarios of all seeds, and returns their outcomes by seed. An error means that a scenario could not be run,
// or that ctx was cancelled; a failed check is no error.
func Run(ctx context.Context, o Options) ([]Outcome, error) {
	var (
		mu       sync.Mutex
		outcomes []Outcome
		runErr   error
		group    sync.WaitGroup
	)
	seeds := make(chan uint64)
	for range max(1, o.Parallel) {
		group.Go(func() {
			for seed := range seeds {
				outcome, err := runSeed(ctx, o, seed, &mu)
				mu.Lock()
				if err != nil {
					runErr = fmt.Errorf("seed %d: %w", seed, err)
				} else {
					outcomes = append(outcomes, outcome)
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
	slices.SortFunc(outcomes, func(a, b Outcome) int { return int(a.Seed) - int(b.Seed) })
	if runErr == nil {
		runErr = ctx.Err()
	}
	return outcomes, runErr
}

// runSeed draws, runs and evaluates the scenario of a seed, reduces its schedule if asked, and writes the outcome. mu guards
// the output.
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
	rec, failed, err := play(ctx, o.Binary, s, dir)
	if err != nil {
		return outcome, err
	}
	outcome.FailedChecks, outcome.Tries = failed, len(rec.Tries)
	for i := range rec.Tries {
		if rec.Tries[i].Status == 200 {
			outcome.Served++
		}
	}
	if len(failed) > 0 && o.Reduce {
		outcome.Reduced = reduce(ctx, o.Binary, s, failed[0].Name)
	}
	mu.Lock()
	defer mu.Unlock()
	writeOutcome(o.Output, &outcome, rec)
	if dir != "" && len(failed) == 0 {
		os.RemoveAll(dir)
	}
	return outcome, nil
}

// play runs a scenario and returns its records and the failed checks. It saves the records of a failed run in dir, unless
// dir is empty.
func play(ctx context.Context, binary string, s *scenario.Scenario, dir string) (*record.Records, []judge.Check, error) {
	rec, err := fleet.Play(ctx, s, fleet.Build{Name: "soak", Binary: binary}, fleet.Options{Seed: s.Seed, LogDir: dir})
	if err != nil {
		return nil, nil, err
	}
	checks, _, err := judge.Evaluate(rec)
	if err != nil {
		return nil, nil, err
	}
	failed := slices.DeleteFunc(checks, func(c judge.Check) bool { return c.Passed })
	if dir != "" && len(failed) > 0 {
		err = rec.Save(dir)
	}
	return rec, failed, err
}

// reduce removes faults from the schedule, one at a time, as long as the same check still fails. Runs with real processes
// are not deterministic, so a schedule counts as failing if one of several runs fails. It returns nil if the whole schedule
// does not fail again.
func reduce(ctx context.Context, binary string, s *scenario.Scenario, check string) *scenario.Scenario {
	const runsPerSchedule = 2
	fails := func(faults []scenario.Fault) bool {
		candidate := *s
		candidate.Faults = faults
		for range runsPerSchedule {
			_, failed, err := play(ctx, binary, &candidate, "")
			if err == nil && slices.ContainsFunc(failed, func(c judge.Check) bool { return c.Name == check }) {
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
	reduced := *s
	reduced.Faults = faults
	return &reduced
}

// writeOutcome writes the outcome of a seed. For a failed one it adds the failed checks, the history of the first request
// that violated each, and the command that runs the seed again.
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
	for _, check := range o.FailedChecks {
		fmt.Fprintf(out, "  %s: %s\n", check.Name, check.Text)
		writeRequestHistory(out, rec, check.Text)
	}
	if o.Reduced != nil {
		fmt.Fprintf(out, "  the least that still fails: %s\n", formatSchedule(o.Reduced))
	}
}

// formatSchedule returns the times and kinds of all faults.
func formatSchedule(s *scenario.Scenario) string {
	var parts []string
	for _, fault := range s.Faults {
		parts = append(parts, fmt.Sprintf("%.2f %s", fault.AtS, fault.What))
	}
	return strings.Join(parts, ", ")
}

// writeRequestHistory writes the tries and attempts of the request that a check's text names first, and the events around
// them.
func writeRequestHistory(out io.Writer, rec *record.Records, text string) {
	const eventMargin = 2 * time.Second
	_, named, found := strings.Cut(text, "the first: ")
	id, _, _ := strings.Cut(named, " ")
	id = strings.TrimSuffix(id, ",")
	if !found {
		return
	}
	seconds := func(us int64) float64 { return float64(us) / 1e6 }
	var from, to int64
	for i := range rec.Tries {
		if try := &rec.Tries[i]; try.ID == id {
			from, to = try.SentUS, try.EndedUS
			fmt.Fprintf(out, "    client: class %d to scheduler %d, sent %.3f, would wait %d ms, ended %.3f: %s %d %s\n", try.Class, try.Scheduler,
				seconds(try.SentUS), try.TimeLeftMS, seconds(try.EndedUS), try.End, try.Status, try.Error)
		}
	}
	for i := range rec.Attempts {
		if attempt := &rec.Attempts[i]; attempt.ID == id {
			fmt.Fprintf(out, "    worker %d: from scheduler %d, came %.3f, began %.3f, ended %.3f: %s\n", attempt.Worker, attempt.Scheduler, seconds(attempt.ArrivedUS),
				seconds(attempt.StartedUS), seconds(attempt.EndedUS), attempt.Outcome)
		}
	}
	for _, event := range rec.Events {
		if from > 0 && event.AtUS > from-eventMargin.Microseconds() && event.AtUS < to+eventMargin.Microseconds() {
			fmt.Fprintf(out, "    %.3f %s %s\n", seconds(event.AtUS), event.Kind, event.Text)
		}
	}
}
