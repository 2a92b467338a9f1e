package world

import (
	"fmt"
	"math"

	"cobaltflow/internal/draw"
	"cobaltflow/rules"
)

// keySpread makes the numbers of keys into keys that are spread evenly.
const keySpread = 0x9e3779b97f4a7c15

// Key gives the key of the decisions for the n-th of Setup.Keys, from 0; the first is asked for most.
func Key(n int) uint64 { return uint64(n+1) * keySpread }

type job struct {
	id        rules.RequestID
	scheduler *scheduler
	class     int
	key       uint64
	run       float64
	due       rules.Time
	deadline  rules.Time
	starts    int
}

// clients is the open loop in which jobs come.
type clients struct {
	world         *World
	rate          float64 // jobs a microsecond
	jobs          int
	keys, classes []float64 // cumulated
	to            []float64 // cumulated, of the schedulers
	view          View
}

// clients has jobs come, so many a microsecond.
func (w *World) clients(rate float64) {
	s := &w.set
	c := &clients{world: w, rate: rate}
	c.keys = draw.CumulativeWeights(max(1, s.Keys), func(i int) float64 { return math.Pow(float64(i+1), -s.Skew) })
	c.classes = draw.CumulativeWeights(len(s.Shares), func(i int) float64 { return s.Shares[i] })
	c.to = draw.CumulativeWeights(s.Schedulers, func(i int) float64 {
		if s.Unlike > 0 && i%10 == 0 {
			return s.Unlike
		}
		return 1
	})
	c.view = View{w.rng, len(w.workers), func(i int) int { return len(w.workers[i].queue) + w.workers[i].running },
		func(i int) (int, rules.Time) {
			load := w.report(w.workers[i])
			return int(load.InFlight), w.now - w.workers[i].reports[0].made
		}}
	c.wait()
}

// wait lets the next job come. During the ramp as many jobs more come as a steady state has in hand.
func (c *clients) wait() {
	w, rate := c.world, c.rate
	if w.now < w.set.Ramp {
		rate += w.set.Load * w.capacity / float64(w.set.Ramp)
	}
	w.at(w.now+rules.Time(w.rng.ExpFloat64()/rate), c.next)
}

func (c *clients) next() {
	w, s := c.world, &c.world.set
	c.jobs++
	to := w.rng.Float64()
	j := &job{id: rules.RequestID(fmt.Sprintf("q%d", c.jobs)), class: draw.Pick(c.classes, w.rng.Float64()), key: uint64(draw.Pick(c.keys, w.rng.Float64())) + 1, due: w.now}
	j.run = s.runOf(j.class) * w.rng.ExpFloat64()
	x := c.scheduler(j, to)
	class := &s.Rules.Classes[j.class]
	j.scheduler, j.deadline = x, w.now+class.Deadline
	if w.counting() {
		w.figures.Jobs++
		w.asked[j.class] += class.Value
	}
	x.jobs[j.id] = j
	w.at(j.deadline+s.Rules.AnswerSlack+1, func() {
		if x.jobs[j.id] != nil {
			w.figures.Late++
		}
	})
	if s.Choose != nil {
		x.Send(j.id, 0, w.workers[s.Choose(&c.view)].id)
	} else {
		x.decide(func() {
			x.dispatcher.Request(w.now, &rules.Request{ID: j.id, Class: j.class, Tenant: -1, Key: j.key * keySpread, HasKey: true, Deadline: j.deadline})
		})
	}
	c.wait()
}

// scheduler picks the one that a job comes to, by a draw from 0 to under 1. A client that finds it dead draws again.
func (c *clients) scheduler(j *job, to float64) *scheduler {
	w := c.world
	for try := 0; ; try++ {
		x := c.pick(j, to, try)
		if x.alive {
			return x
		}
		to = w.rng.Float64()
	}
}

// triesNear is how often a client tries the schedulers of its key or zone before it takes any.
const triesNear = 8

func (c *clients) pick(j *job, to float64, try int) *scheduler {
	w, s := c.world, &c.world.set
	switch {
	case try >= triesNear || s.Traffic == Evenly:
		return w.schedulers[draw.Pick(c.to, to)]
	case s.Traffic == ByKey:
		ofKey := SchedulersOf(int(j.key)-1, s.Schedulers, s.SchedulersPerKey)
		return w.schedulers[ofKey[int(to*float64(len(ofKey)))]]
	}
	zones := min(max(1, s.Rules.Zones), s.Schedulers)
	zone := int(to * float64(zones))
	inZone := (s.Schedulers - zone + zones - 1) / zones
	within := to*float64(zones) - float64(zone)
	return w.schedulers[zone+zones*int(within*float64(inZone))]
}

// SchedulersOf gives the schedulers that the jobs of the n-th key come to under ByKey: so many one after another.
func SchedulersOf(n, schedulers, perKey int) []int {
	first := int(Key(n) >> 33 % uint64(schedulers))
	var of []int
	for i := range min(max(1, perKey), schedulers) {
		of = append(of, (first+i)%schedulers)
	}
	return of
}
