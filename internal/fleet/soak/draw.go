// Package soak draws scenarios from seeds, with settings and several faults at once, plays them on the rig, has them judged,
// and cuts the schedule of one that fails down to the least that still does. It judges nothing itself.
package soak

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"cobaltflow/internal/fleet/scenario"
)

// object is a part of a scenario file.
type object = map[string]any

// Bounds of what is drawn.
const (
	minSeconds, maxSeconds = 16.0, 28.0
	maxRequestRate         = 220.0 // jobs a second: what one machine plays beside its other work
	quietFraction          = 0.55  // of the run, after which the faults of a quiet run begin
	settleSeconds          = 5.0   // of the run without new faults, at its end
	firstFaultSeconds      = 1.5   // seconds
)

// Draw gives the scenario of a seed.
func DrawScenario(seed uint64) (*scenario.Scenario, error) {
	d := &scenarioDraw{rng: rand.New(rand.NewPCG(seed, 0x736f616b))}
	d.seconds = math.Round(d.between(minSeconds, maxSeconds))
	d.drawFleet()
	d.drawSettings()
	d.drawSchedule()
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

// drawing is what has been drawn so far.
type scenarioDraw struct {
	rng             *rand.Rand
	seconds         float64
	sites           []object
	workers         int
	classes         []object
	longestDeadline float64 // deadline, in seconds
	load            float64
	grace           float64
	faults          []object
}

func (d *scenarioDraw) between(least, most float64) float64 {
	return math.Round(1000*(least+(most-least)*d.rng.Float64())) / 1000
}

func (d *scenarioDraw) chance(p float64) bool { return d.rng.Float64() < p }

// fleet draws two to thirty schedulers at one or two sites.
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

// settings draws a class of each effect, and deadlines that may be short.
func (d *scenarioDraw) drawSettings() {
	d.grace = d.between(0.25, 1)
	ranges := [][2]float64{{0.4, 0.9}, {0.9, 3}, {3, 6}}
	drawn := ranges[d.rng.IntN(len(ranges))]
	mean := 0.0
	for _, c := range []struct {
		name, effect string
		share        float64
	}{{"view", "repeatable", 0.5}, {"book", "by_key", 0.25}, {"settle", "once", 0.25}} {
		deadline := d.between(drawn[0], drawn[1])
		run := min(200, math.Round(1000*deadline/d.between(5, 12)))
		mean += c.share * run / 1000
		d.longestDeadline = max(d.longestDeadline, deadline)
		d.classes = append(d.classes, object{"name": c.name, "share": c.share, "effect": c.effect, "run_ms": run, "deadline_s": deadline,
			"aim_ms": math.Round(deadline * 500), "stretch": 1, "worth": 1 + d.rng.IntN(10), "late_worth": 0.2})
	}
	const slots = 4
	d.load = min(d.between(0.15, 0.8), maxRequestRate*mean/float64(d.workers*slots))
}

// schedule draws the faults: some alone, some in groups that cross.
func (d *scenarioDraw) drawSchedule() {
	from := firstFaultSeconds
	if d.chance(0.3) {
		from = quietFraction * d.seconds // a long quiet time comes first
	}
	for range 3 + d.rng.IntN(4) {
		at := d.between(from, d.seconds-settleSeconds)
		faultGroups[d.rng.IntN(len(faultGroups))](d, at)
	}
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i]["at_s"].(float64) < d.faults[j]["at_s"].(float64) })
}

func (d *scenarioDraw) addFault(at float64, what string, more object) {
	f := object{"at_s": math.Round(1000*max(0.1, min(at, d.seconds-1))) / 1000, "what": what}
	for k, v := range more {
		f[k] = v
	}
	d.faults = append(d.faults, f)
}

func (d *scenarioDraw) shareObject() object { return object{"share": d.between(0.1, 0.6)} }

func (d *scenarioDraw) lastingShare(least, most float64) object {
	o := d.shareObject()
	o["for_s"] = d.between(least, most)
	return o
}

// groups are the kinds of trouble, each with what may cross it.
var faultGroups = []func(d *scenarioDraw, at float64){
	func(d *scenarioDraw, at float64) { // an upgrade, with operators' calls round it
		d.addFault(at, "upgrade-schedulers", object{"share": 1})
		for range 1 + d.rng.IntN(3) {
			d.addFault(at+d.between(-1, 3.5), "disable-workers", object{"count": 1 + d.rng.IntN(2), "for_s": d.between(1, 8)})
		}
	},
	func(d *scenarioDraw, at float64) { // a second upgrade before the first has ended, with reloads
		d.addFault(at, "upgrade-schedulers", object{"count": 1})
		d.addFault(at+d.between(0.2, 2), "upgrade-schedulers", object{"share": 1})
		d.addFault(at+d.between(-0.5, 2), "reload-schedulers", object{"share": 1, "count": 3, "step_s": d.between(0.05, 0.6)})
	},
	func(d *scenarioDraw, at float64) { // the same worker out at different times, twice
		o := object{"count": 1, "for_s": d.between(1, 4)}
		d.addFault(at, "disable-workers", o)
		d.addFault(at+d.between(0, 0.2), "disable-workers", o)
	},
	func(d *scenarioDraw, at float64) {
		d.addFault(at, "end-schedulers", object{"count": 1 + d.rng.IntN(2)})
		d.addFault(at+d.between(-0.5, 0.5), "silence-workers", object{"share": d.between(0.2, 0.5), "for_s": d.between(2, 5), "hung": true})
	},
	func(d *scenarioDraw, at float64) {
		d.addFault(at, "end-schedulers", object{"count": 1})
		d.addFault(at+d.between(0, 1), "crowd", object{"count": 1, "for_s": d.between(1, 4)})
	},
	func(d *scenarioDraw, at float64) {
		d.addFault(at, "drain-clients", object{"count": 1, "for_s": d.between(1, 4)})
		d.addFault(at+d.between(-1, 1), "upgrade-schedulers", object{"count": 1})
	},
	func(d *scenarioDraw, at float64) { // the folder is away round a call and an upgrade
		d.addFault(at, "lose-folder", object{"share": 1, "for_s": d.between(0.3, 2)})
		d.addFault(at+d.between(-0.3, 1), "disable-workers", object{"count": 1, "for_s": d.between(2, 6)})
	},
	func(d *scenarioDraw, at float64) {
		d.addFault(at, "kill-schedulers", object{"count": 1, "for_s": d.between(0.2, 2)})
		d.addFault(at+d.between(-0.5, 0.5), "disable-workers", object{"count": 1, "for_s": d.between(1, 5)})
	},
	func(d *scenarioDraw, at float64) {
		d.addFault(at, "hold-schedulers", object{"share": 0.5, "for_s": 0.15})
	},
	func(d *scenarioDraw, at float64) { d.addFault(at, "drain-workers", d.lastingShare(1.5, 5)) },
	func(d *scenarioDraw, at float64) { d.addFault(at, "crash-workers", d.lastingShare(0.5, 4)) },
	func(d *scenarioDraw, at float64) {
		d.addFault(at, "silence-workers", object{"share": d.between(0.1, 0.5), "for_s": d.between(1, 4), "hung": d.chance(0.5)})
	},
	func(d *scenarioDraw, at float64) {
		o := d.lastingShare(1, 5)
		o["factor"] = d.between(2, 8)
		d.addFault(at, "slow-workers", o)
	},
	func(d *scenarioDraw, at float64) { d.addFault(at, "failing-workers", d.lastingShare(0.5, 3)) },
	func(d *scenarioDraw, at float64) {
		d.addFault(at, "reset", object{"paths": []string{"job"}, "share": d.between(0.2, 1)})
		d.addFault(at+d.between(0.1, 1), "reset", object{"paths": []string{"job", "back"}, "share": d.between(0.2, 1)})
	},
	func(d *scenarioDraw, at float64) {
		d.addFault(at, "cut", object{"paths": []string{"job", "back"}, "for_s": d.between(0.3, 3)})
	},
	func(d *scenarioDraw, at float64) {
		d.addFault(at, "silence-discovery", object{"for_s": d.between(1, 5)})
		d.addFault(at+d.between(0.5, 4), "drain-workers", d.lastingShare(2, 5))
	},
	func(d *scenarioDraw, at float64) {
		d.addFault(at, "crowd", object{"share": 1, "for_s": d.between(2, 5)})
		d.addFault(at+d.between(0, 2), "reload-schedulers", object{"share": 1, "count": 2, "step_s": 0.1})
	},
}
