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
	Parameter string // its name in runs and slopes
	Values    []float64
	// Fleet gives the fleet with the parameter at a value.
	Fleet func(value float64) Fleet
}

// What the cases play.
const (
	slopeWarmUp, slopeDuration = 20 * second, 40 * second
	rampWarmUp, rampDuration   = longRamp, longRamp + 30*second
	inHandSchedulers           = 4
	slopeStartsPerS            = 320.0 // a second, over all schedulers, of the cases that hold them
	smallSizeDivisor           = 30
	defaultSizeDivisor         = 10
)

// Cases are the slopes of the hollow fleet. Small ones end within seconds; the others are for the command.
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

// fleetOfSchedulers has the same workers and jobs whatever the number of its schedulers.
func fleetOfSchedulers(schedulers float64) Fleet {
	f := NewFleet(smallSizeDivisor, Long)
	f.Schedulers = int(schedulers)
	f.WarmUp, f.Duration = rampWarmUp, rampDuration
	return f
}

// fleetInHand has so many tasks in hand at each of few schedulers, at the usual load.
func fleetInHand(each float64) Fleet {
	f := NewFleet(smallSizeDivisor, Long)
	f.Schedulers = inHandSchedulers
	f.WorkersPerZone = max(1, int(each*inHandSchedulers/f.Load)/f.Slots/f.Zones)
	f.WarmUp, f.Duration = rampWarmUp, rampDuration
	return f
}

// fleetOfWorkers is a fleet whose jobs are as many and as short whatever the number of its workers.
func fleetOfWorkers(workers float64) Fleet {
	f := NewFleet(defaultSizeDivisor, Short)
	f.WorkersPerZone = int(workers) / f.Zones
	f.WarmUp, f.Duration = slopeWarmUp, slopeDuration
	f.Load = slopeStartsPerS * shortMeanRun / float64(second) / float64(f.Workers()*f.Slots)
	return f
}

// Campaign plays cases under candidates, each with some seeds.
type Campaign struct {
	Cases      []Case
	Candidates []Candidate
	Seeds      int
	Parallel   int
}

// played is one run of a campaign and what came of it.
type campaignRun struct {
	testCase  Case
	value     float64
	candidate Candidate
	seed      uint64
	run       result.Run
}

// Run plays all and fits the slopes. The program of a run is the name of its candidate. Progress is called after each
// run, from several goroutines.
func (c *Campaign) Run(progress func(result.Run)) ([]result.Run, []result.Slope) {
	plan := c.planRuns()
	done := runInOrder(len(plan), c.Parallel, func(i int) {
		plan[i].simulate()
		progress(plan[i].run)
	})
	for i := range done {
		<-done[i]
	}
	runs := make([]result.Run, 0, len(plan))
	for _, p := range plan {
		runs = append(runs, p.run)
	}
	var slopes []result.Slope
	for _, s := range fit.Slopes(runs) {
		if slices.ContainsFunc(c.Cases, func(of Case) bool { return of.Name == s.Case && of.Parameter == s.Parameter }) {
			slopes = append(slopes, s)
		}
	}
	return runs, slopes
}

func (c *Campaign) planRuns() (plan []*campaignRun) {
	for _, of := range c.Cases {
		for _, value := range of.Values {
			for _, candidate := range c.Candidates {
				for seed := range max(1, c.Seeds) {
					plan = append(plan, &campaignRun{testCase: of, value: value, candidate: candidate, seed: uint64(seed + 1)})
				}
			}
		}
	}
	return plan
}

func (p *campaignRun) simulate() {
	f := p.testCase.Fleet(p.value)
	f.Seed = p.seed
	parameters := map[string]float64{p.testCase.Parameter: p.value, "schedulers": float64(f.Schedulers), "workers": float64(f.Workers())}
	o, err := Simulate(f, p.candidate)
	if err != nil {
		p.run = result.Run{Case: p.testCase.Name, Kind: result.Hollow, Seed: p.seed, Program: p.candidate.Name, Parameters: parameters, MissedReason: err.Error()}
		return
	}
	p.run = o.AsRun(p.testCase.Name, p.candidate.Name, parameters)
}

// CandidateNamed gives the candidate of a name.
func FindCandidate(name string) (Candidate, error) {
	for _, c := range Candidates() {
		if c.Name == name {
			return c, nil
		}
	}
	return Candidate{}, fmt.Errorf("%w: no candidate is called %q", ErrNoMatch, name)
}

// faultAt is when a fault of the recovery cases begins, in a fleet's counted time.
func faultStart(f *Fleet) rules.Time { return f.WarmUp + 10*second }
