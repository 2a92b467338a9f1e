// Package soak draws random scenarios with overlapping faults from seeds, runs them with package fleet, evaluates them with
// package judge and reduces the fault schedule of a failed one. The command "fleet soak" calls it.
package soak

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"cobaltflow/internal/fleet/scenario"
)

// object is a JSON object of a scenario file.
type object = map[string]any

// Bounds of the drawn values.
const (
	minSeconds, maxSeconds = 16.0, 28.0
	maxRequestRate         = 220.0 // jobs per second, which one machine can run beside its other work
	quietFraction          = 0.55  // part of a run after which its faults begin, if it begins with a quiet time
	settleSeconds          = 5.0   // time at the end of a run without new faults
	firstFaultSeconds      = 1.5   // earliest time of a fault
	firstSeedWithStops     = 10000 // seeds below it keep the scenarios that they had before drawStoppedEnd
)

// DrawScenario returns the scenario of a seed. A seed always gives the same scenario.
func DrawScenario(seed uint64) (*scenario.Scenario, error) {
	d := &scenarioDraw{rng: rand.New(rand.NewPCG(seed, 0x736f616b))}
	d.seconds = math.Round(d.between(minSeconds, maxSeconds))
	d.drawFleet()
	d.drawSettings()
	d.drawSchedule()
	if seed >= firstSeedWithStops {
		d.drawStoppedEnd(rand.New(rand.NewPCG(seed, 0x73746f70)))
	}
	text, err := json.Marshal(object{
		"name": fmt.Sprint("soak-", seed), "seed": seed, "seconds": d.seconds, "drain_grace_s": d.grace, "sites": d.sites, "classes": d.classes,
		"workers":   object{"warm_s": d.between(3, 9), "overload_factor": 3, "idle_connect_s": d.between(2, 60), "probes": d.chance(0.8)},
		"clients":   object{"load": d.load, "leave": 0.1 * d.rng.Float64(), "skew": d.rng.Float64(), "retries": 2},
		"front":     object{"notice_s": []float64{0.3, 2}},
		"discovery": object{"mode": "push", "notice_s": []float64{0.5, 2}, "silent_s": []float64{2, 5}, "add_s": []float64{0.1, 1}},
		"peers":     object{"on": d.chance(0.5), "lost": 0.2 * d.rng.Float64(), "ms": []float64{1, 100}},
		"prices":    object{"cross_zone": 0.1 * d.rng.Float64()},
		"faults":    d.faults,
	})
	if err != nil {
		return nil, err
	}
	return scenario.Parse(text)
}

// scenarioDraw holds the parts of a scenario that have been drawn so far.
type scenarioDraw struct {
	rng             *rand.Rand
	seconds         float64
	sites           []object
	workers         int
	classes         []object
	longestDeadline float64 // longest deadline of all classes, in seconds
	load            float64
	grace           float64
	faults          []object
}

// between returns a random value between two bounds, rounded to three decimals.
func (d *scenarioDraw) between(lower, upper float64) float64 {
	return math.Round(1000*(lower+(upper-lower)*d.rng.Float64())) / 1000
}

// chance returns true with probability p.
func (d *scenarioDraw) chance(p float64) bool { return d.rng.Float64() < p }

// drawFleet draws two to thirty schedulers at one or two sites.
func (d *scenarioDraw) drawFleet() {
	schedulers := 2 + d.rng.IntN(5)
	if d.chance(0.15) {
		schedulers = 12 + d.rng.IntN(19)
	}
	sites := 1 + d.rng.IntN(2)
	for i := range sites {
		workers := 4 + d.rng.IntN(6)
		d.workers += workers
		d.sites = append(d.sites, object{"name": fmt.Sprint("site", i), "schedulers": max(1, schedulers/sites), "workers": workers})
	}
}

// drawSettings draws a class of each effect with its deadline, which may be short, and the load.
func (d *scenarioDraw) drawSettings() {
	d.grace = d.between(0.25, 1)
	ranges := [][2]float64{{0.4, 0.9}, {0.9, 3}, {3, 6}}
	deadlines := ranges[d.rng.IntN(len(ranges))]
	meanRunS := 0.0
	for _, class := range []struct {
		name, effect string
		share        float64
	}{{"view", "repeatable", 0.5}, {"book", "by_key", 0.25}, {"settle", "once", 0.25}} {
		deadline := d.between(deadlines[0], deadlines[1])
		runMS := min(200, math.Round(1000*deadline/d.between(5, 12)))
		meanRunS += class.share * runMS / 1000
		d.longestDeadline = max(d.longestDeadline, deadline)
		d.classes = append(d.classes, object{"name": class.name, "share": class.share, "effect": class.effect, "run_ms": runMS, "deadline_s": deadline,
			"aim_ms": math.Round(deadline * 500), "stretch": 1, "worth": 1 + d.rng.IntN(10), "late_worth": 0.2})
	}
	const slots = 4
	d.load = min(d.between(0.15, 0.8), maxRequestRate*meanRunS/float64(d.workers*slots))
}

// drawSchedule draws the faults, some of them in groups that overlap.
func (d *scenarioDraw) drawSchedule() {
	earliestS := firstFaultSeconds
	if d.chance(0.3) {
		earliestS = quietFraction * d.seconds // the run begins with a long time without faults
	}
	for range 3 + d.rng.IntN(4) {
		atS := d.between(earliestS, d.seconds-settleSeconds)
		faultGroups[d.rng.IntN(len(faultGroups))](d, atS)
	}
	d.sortFaults()
}

// sortFaults sorts the faults by their times.
func (d *scenarioDraw) sortFaults() {
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i]["at_s"].(float64) < d.faults[j]["at_s"].(float64) })
}

// stoppedMS holds for how long an ending process is stopped at a time, up to what the operators' terms name.
var stoppedMS = []float64{30, 60, 100, 150}

// drawStoppedEnd adds an upgrade, or an end, of schedulers whose ending processes are stopped in turns until they are killed,
// in half of the runs with a crowd at the same time. Its draws come from a source of their own.
func (d *scenarioDraw) drawStoppedEnd(rng *rand.Rand) {
	others := d.rng
	d.rng = rng
	atS := d.between(firstFaultSeconds, d.seconds-settleSeconds)
	stopped := stoppedMS[rng.IntN(len(stoppedMS))]
	if d.chance(0.5) {
		d.addFault(atS, "upgrade-schedulers", object{"share": d.between(0.3, 1), "stopped_ms": stopped})
	} else {
		d.addFault(atS, "end-schedulers", object{"count": 1 + rng.IntN(2), "stopped_ms": stopped})
	}
	if d.chance(0.5) {
		d.addFault(atS+d.between(0, 0.5), "crowd", object{"share": 1, "for_s": d.between(1, 4)})
	}
	d.sortFaults()
	d.rng = others
}

// addFault adds a fault with settings. Its time is limited to the run.
func (d *scenarioDraw) addFault(atS float64, kind string, settings object) {
	fault := object{"at_s": math.Round(1000*max(0.1, min(atS, d.seconds-1))) / 1000, "what": kind}
	for key, value := range settings {
		fault[key] = value
	}
	d.faults = append(d.faults, fault)
}

// shareObject returns settings of a fault that affects a random part of the candidates.
func (d *scenarioDraw) shareObject() object { return object{"share": d.between(0.1, 0.6)} }

// lastingShare returns the settings of shareObject with a random duration.
func (d *scenarioDraw) lastingShare(minS, maxS float64) object {
	settings := d.shareObject()
	settings["for_s"] = d.between(minS, maxS)
	return settings
}

// faultGroups holds the functions that add a fault, or a group of faults that overlap, around a time in seconds.
var faultGroups = []func(d *scenarioDraw, atS float64){
	func(d *scenarioDraw, atS float64) { // an upgrade, with operators' calls around it
		d.addFault(atS, "upgrade-schedulers", object{"share": 1})
		for range 1 + d.rng.IntN(3) {
			d.addFault(atS+d.between(-1, 3.5), "disable-workers", object{"count": 1 + d.rng.IntN(2), "for_s": d.between(1, 8)})
		}
	},
	func(d *scenarioDraw, atS float64) { // a second upgrade before the first has ended, with reloads
		d.addFault(atS, "upgrade-schedulers", object{"count": 1})
		d.addFault(atS+d.between(0.2, 2), "upgrade-schedulers", object{"share": 1})
		d.addFault(atS+d.between(-0.5, 2), "reload-schedulers", object{"share": 1, "count": 3, "step_s": d.between(0.05, 0.6)})
	},
	func(d *scenarioDraw, atS float64) { // two disable calls in short succession, which may draw the same worker
		settings := object{"count": 1, "for_s": d.between(1, 4)}
		d.addFault(atS, "disable-workers", settings)
		d.addFault(atS+d.between(0, 0.2), "disable-workers", settings)
	},
	func(d *scenarioDraw, atS float64) {
		d.addFault(atS, "end-schedulers", object{"count": 1 + d.rng.IntN(2)})
		d.addFault(atS+d.between(-0.5, 0.5), "silence-workers", object{"share": d.between(0.2, 0.5), "for_s": d.between(2, 5), "hung": true})
	},
	func(d *scenarioDraw, atS float64) {
		d.addFault(atS, "end-schedulers", object{"count": 1})
		d.addFault(atS+d.between(0, 1), "crowd", object{"count": 1, "for_s": d.between(1, 4)})
	},
	func(d *scenarioDraw, atS float64) {
		d.addFault(atS, "drain-clients", object{"count": 1, "for_s": d.between(1, 4)})
		d.addFault(atS+d.between(-1, 1), "upgrade-schedulers", object{"count": 1})
	},
	func(d *scenarioDraw, atS float64) { // the temporary directory is unavailable around an operator's call
		d.addFault(atS, "lose-folder", object{"share": 1, "for_s": d.between(0.3, 2)})
		d.addFault(atS+d.between(-0.3, 1), "disable-workers", object{"count": 1, "for_s": d.between(2, 6)})
	},
	func(d *scenarioDraw, atS float64) {
		d.addFault(atS, "kill-schedulers", object{"count": 1, "for_s": d.between(0.2, 2)})
		d.addFault(atS+d.between(-0.5, 0.5), "disable-workers", object{"count": 1, "for_s": d.between(1, 5)})
	},
	func(d *scenarioDraw, atS float64) {
		d.addFault(atS, "hold-schedulers", object{"share": 0.5, "for_s": 0.15})
	},
	func(d *scenarioDraw, atS float64) { d.addFault(atS, "drain-workers", d.lastingShare(1.5, 5)) },
	func(d *scenarioDraw, atS float64) { d.addFault(atS, "crash-workers", d.lastingShare(0.5, 4)) },
	func(d *scenarioDraw, atS float64) {
		d.addFault(atS, "silence-workers", object{"share": d.between(0.1, 0.5), "for_s": d.between(1, 4), "hung": d.chance(0.5)})
	},
	func(d *scenarioDraw, atS float64) {
		settings := d.lastingShare(1, 5)
		settings["factor"] = d.between(2, 8)
		d.addFault(atS, "slow-workers", settings)
	},
	func(d *scenarioDraw, atS float64) { d.addFault(atS, "failing-workers", d.lastingShare(0.5, 3)) },
	func(d *scenarioDraw, atS float64) {
		d.addFault(atS, "reset", object{"paths": []string{"job"}, "share": d.between(0.2, 1)})
		d.addFault(atS+d.between(0.1, 1), "reset", object{"paths": []string{"job", "back"}, "share": d.between(0.2, 1)})
	},
	func(d *scenarioDraw, atS float64) {
		d.addFault(atS, "cut", object{"paths": []string{"job", "back"}, "for_s": d.between(0.3, 3)})
	},
	func(d *scenarioDraw, atS float64) {
		d.addFault(atS, "silence-discovery", object{"for_s": d.between(1, 5)})
		d.addFault(atS+d.between(0.5, 4), "drain-workers", d.lastingShare(2, 5))
	},
	func(d *scenarioDraw, atS float64) {
		d.addFault(atS, "crowd", object{"share": 1, "for_s": d.between(2, 5)})
		d.addFault(atS+d.between(0, 2), "reload-schedulers", object{"share": 1, "count": 2, "step_s": 0.1})
	},
}
