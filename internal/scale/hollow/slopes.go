package hollow

import (
	"fmt"
	"slices"

	"cobaltflow/internal/scale/fit"
	"cobaltflow/internal/scale/result"
	"cobaltflow/rules"
)

// Case varies one parameter of a fleet.
type Case struct {
	Name      string
	Parameter string // name in runs and slopes
	Values    []float64
	// Fleet returns the fleet for a value of the parameter.
	Fleet func(value float64) Fleet
}

// Sizes and durations of the cases.
const (
	slopeWarmUp, slopeDuration = 20 * second, 40 * second
	rampWarmUp, rampDuration   = longRamp, longRamp + 30*second
	inHandSchedulers           = 4
	slopeStartsPerS            = 320.0 // over all schedulers, in the cases with a constant rate of task starts
	smallSizeDivisor           = 30
	defaultSizeDivisor         = 10
)

// Cases returns the cases for the slopes of the hollow fleet. The small ones end within seconds.
func Cases(small bool) []Case {
	schedulers, workers, changes := []float64{32, 100, 300}, []float64{1_000, 3_000, 10_000, 33_000}, []float64{0.3, 1, 5}
	inHand := []float64{500, 1_000, 2_000, 4_000}
	if small {
		inHand = []float64{100, 200, 400}
		schedulers, workers, changes = []float64{8, 16, 32}, []float64{300, 600, 1_200}, []float64{0.3, 5}
	}
	return []Case{
		{Name: "schedulers", Parameter: "schedulers", Values: schedulers, Fleet: fleetOfSchedulers},
		{Name: "workers", Parameter: "workers", Values: workers, Fleet: fleetOfWorkers},
		{Name: "in hand", Parameter: "in_hand_each", Values: inHand, Fleet: fleetInHand},
		{Name: "list changes", Parameter: "restarts_per_s", Values: changes, Fleet: func(rate float64) Fleet {
			f := fleetOfWorkers(3_000)
			f.RestartsPerS = rate
			return f
		}},
	}
}

// fleetOfSchedulers returns a fleet with a given number of schedulers and constant workers and jobs.
func fleetOfSchedulers(schedulers float64) Fleet {
	f := NewFleet(smallSizeDivisor, Long)
	f.Schedulers = int(schedulers)
	f.WarmUp, f.Duration = rampWarmUp, rampDuration
	return f
}

// fleetInHand returns a fleet with about each tasks in hand at each of its few schedulers, at the default load.
func fleetInHand(each float64) Fleet {
	f := NewFleet(smallSizeDivisor, Long)
	f.Schedulers = inHandSchedulers
	f.WorkersPerZone = max(1, int(each*inHandSchedulers/f.Load)/f.Slots/f.Zones)
	f.WarmUp, f.Duration = rampWarmUp, rampDuration
	return f
}

// fleetOfWorkers returns a fleet with a given number of workers and a constant rate of short jobs.
func fleetOfWorkers(workers float64) Fleet {
	f := NewFleet(defaultSizeDivisor, Short)
	f.WorkersPerZone = int(workers) / f.Zones
	f.WarmUp, f.Duration = slopeWarmUp, slopeDuration
	f.Load = slopeStartsPerS * shortMeanRun / float64(second) / float64(f.Workers()*f.Slots)
	return f
}

// Campaign simulates cases with candidates, each with several seeds.
type Campaign struct {
	Cases      []Case
	Candidates []Candidate
	Seeds      int
	Parallel   int
}

// campaignRun is one run of a campaign and its result.
type campaignRun struct {
	testCase  Case
	value     float64
	candidate Candidate
	seed      uint64
	run       result.Run
}

// Run executes all runs and fits the slopes. The program of a run is the name of its candidate. Progress is called
// after each run, concurrently from several goroutines.
func (c *Campaign) Run(progress func(result.Run)) ([]result.Run, []result.Slope) {
	runsToDo := c.planRuns()
	done := runInOrder(len(runsToDo), c.Parallel, func(i int) {
		runsToDo[i].simulate()
		progress(runsToDo[i].run)
	})
	for i := range done {
		<-done[i]
	}
	runs := make([]result.Run, 0, len(runsToDo))
	for _, p := range runsToDo {
		runs = append(runs, p.run)
	}
	var slopes []result.Slope
	for _, s := range fit.Slopes(runs) {
		if slices.ContainsFunc(c.Cases, func(testCase Case) bool { return testCase.Name == s.Case && testCase.Parameter == s.Parameter }) {
			slopes = append(slopes, s)
		}
	}
	return runs, slopes
}

// planRuns returns a run for each case, value, candidate and seed.
func (c *Campaign) planRuns() (runs []*campaignRun) {
	for _, testCase := range c.Cases {
		for _, value := range testCase.Values {
			for _, candidate := range c.Candidates {
				for seed := range max(1, c.Seeds) {
					runs = append(runs, &campaignRun{testCase: testCase, value: value, candidate: candidate, seed: uint64(seed + 1)})
				}
			}
		}
	}
	return runs
}

func (r *campaignRun) simulate() {
	f := r.testCase.Fleet(r.value)
	f.Seed = r.seed
	parameters := map[string]float64{r.testCase.Parameter: r.value, "schedulers": float64(f.Schedulers), "workers": float64(f.Workers())}
	o, err := Simulate(f, r.candidate)
	if err != nil {
		r.run = result.Run{Case: r.testCase.Name, Kind: result.Hollow, Seed: r.seed, Program: r.candidate.Name, Parameters: parameters, MissedReason: err.Error()}
		return
	}
	r.run = o.AsRun(r.testCase.Name, r.candidate.Name, parameters)
}

// FindCandidate returns the candidate with a name, or ErrNoMatch.
func FindCandidate(name string) (Candidate, error) {
	for _, c := range Candidates() {
		if c.Name == name {
			return c, nil
		}
	}
	return Candidate{}, fmt.Errorf("%w: there is no candidate %q", ErrNoMatch, name)
}

// faultStart returns when the fault of a recovery scenario begins: 10 s after the warm-up.
func faultStart(f *Fleet) rules.Time { return f.WarmUp + 10*second }
