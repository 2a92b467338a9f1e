package world

import (
	"fmt"
	"math"

	"cobaltflow/internal/draw"
	"cobaltflow/rules"
)

// keySpread makes the numbers of keys into keys that are spread evenly.
const keyMultiplier = 0x9e3779b97f4a7c15

// Key gives the key of the decisions for the n-th of Setup.Keys, from 0; the first is asked for most.
func Key(n int) uint64 { return uint64(n+1) * keyMultiplier }

type job struct {
	id         rules.RequestID
	scheduler  *scheduler
	class      int
	key        uint64
	runTime    float64
	arrivedAt  rules.Time
	deadline   rules.Time
	startCount int
}

// clients is the open loop in which jobs come.
type clients struct {
	world                    *World
	rate                     float64 // jobs a microsecond
	jobCount                 int
	keyWeights, classWeights []float64 // cumulated
	schedulerWeights         []float64 // cumulated, of the schedulers
	view                     View
}

// clients has jobs come, so many a microsecond.
func (w *World) startClients(rate float64) {
	s := &w.setup
	c := &clients{world: w, rate: rate}
	c.keyWeights = draw.CumulativeWeights(max(1, s.Keys), func(i int) float64 { return math.Pow(float64(i+1), -s.Skew) })
	c.classWeights = draw.CumulativeWeights(len(s.Shares), func(i int) float64 { return s.Shares[i] })
	c.schedulerWeights = draw.CumulativeWeights(s.Schedulers, func(i int) float64 {
		if s.BusySchedulerFactor > 0 && i%10 == 0 {
			return s.BusySchedulerFactor
		}
		return 1
	})
	c.view = View{w.rng, len(w.workers), func(i int) int { return len(w.workers[i].queue) + w.workers[i].running },
		func(i int) (int, rules.Time) {
			load := w.visibleLoad(w.workers[i])
			return int(load.InFlight), w.now - w.workers[i].reports[0].madeAt
		}}
	c.scheduleNext()
}

// wait lets the next job come. During the ramp as many jobs more come as a steady state has in hand.
func (c *clients) scheduleNext() {
	w, rate := c.world, c.rate
	if w.now < w.setup.RampUp {
		rate += w.setup.Load * w.capacity / float64(w.setup.RampUp)
	}
	w.schedule(w.now+rules.Time(w.rng.ExpFloat64()/rate), c.submit)
}

func (c *clients) submit() {
	w, s := c.world, &c.world.setup
	c.jobCount++
	to := w.rng.Float64()
	j := &job{id: rules.RequestID(fmt.Sprintf("q%d", c.jobCount)), class: draw.Pick(c.classWeights, w.rng.Float64()), key: uint64(draw.Pick(c.keyWeights, w.rng.Float64())) + 1, arrivedAt: w.now}
	j.runTime = s.meanRunTimeOf(j.class) * w.rng.ExpFloat64()
	x := c.pickScheduler(j, to)
	class := &s.Rules.Classes[j.class]
	j.scheduler, j.deadline = x, w.now+class.Deadline
	if w.isCounting() {
		w.figures.Jobs++
		w.offeredValue[j.class] += class.Value
	}
	x.jobs[j.id] = j
	w.schedule(j.deadline+s.Rules.AnswerSlack+1, func() {
		if x.jobs[j.id] != nil {
			w.figures.Overdue++
		}
	})
	if s.ChooseWorker != nil {
		x.Send(j.id, 0, w.workers[s.ChooseWorker(&c.view)].id)
	} else {
		x.decide(func() {
			x.dispatcher.Request(w.now, &rules.Request{ID: j.id, Class: j.class, Tenant: -1, Key: j.key * keyMultiplier, HasKey: true, Deadline: j.deadline})
		})
	}
	c.scheduleNext()
}

// scheduler picks the one that a job comes to, by a draw from 0 to under 1. A client that finds it dead draws again.
func (c *clients) pickScheduler(j *job, to float64) *scheduler {
	w := c.world
	for try := 0; ; try++ {
		x := c.drawScheduler(j, to, try)
		if x.isAlive {
			return x
		}
		to = w.rng.Float64()
	}
}

// triesNear is how often a client tries the schedulers of its key or zone before it takes any.
const maxLocalTries = 8

func (c *clients) drawScheduler(j *job, to float64, try int) *scheduler {
	w, s := c.world, &c.world.setup
	switch {
	case try >= maxLocalTries || s.Traffic == Evenly:
		return w.schedulers[draw.Pick(c.schedulerWeights, to)]
	case s.Traffic == ByKey:
		ofKey := SchedulersForKey(int(j.key)-1, s.Schedulers, s.SchedulersPerKey)
		return w.schedulers[ofKey[int(to*float64(len(ofKey)))]]
	}
	zones := min(max(1, s.Rules.Zones), s.Schedulers)
	zone := int(to * float64(zones))
	inZone := (s.Schedulers - zone + zones - 1) / zones
	within := to*float64(zones) - float64(zone)
	return w.schedulers[zone+zones*int(within*float64(inZone))]
}

// SchedulersOf gives the schedulers that the jobs of the n-th key come to under ByKey: so many one after another.
func SchedulersForKey(n, schedulers, perKey int) []int {
	first := int(Key(n) >> 33 % uint64(schedulers))
	var of []int
	for i := range min(max(1, perKey), schedulers) {
		of = append(of, (first+i)%schedulers)
	}
	return of
}
