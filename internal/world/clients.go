package world

import (
	"fmt"
	"math"

	"cobaltflow/internal/draw"
	"cobaltflow/rules"
)

// keyMultiplier spreads consecutive numbers over the 64-bit keys: 2^64 divided by the golden ratio (Fibonacci hashing).
const keyMultiplier = 0x9e3779b97f4a7c15

// Key returns the key that the dispatchers see for the n-th of Setup.Keys, counted from 0. Key 0 is the most frequent.
func Key(n int) uint64 { return uint64(n+1) * keyMultiplier }

// job is a request from its arrival at a scheduler to its answer.
type job struct {
	id         rules.RequestID
	scheduler  *scheduler
	class      int
	key        uint64  // number of the key, from 1
	runTime    float64 // microseconds at speed 1
	arrivedAt  rules.Time
	deadline   rules.Time
	startCount int // how often a worker has started it
}

// clients generates jobs in an open loop: at a rate that does not depend on the answers.
type clients struct {
	world                    *World
	rate                     float64 // jobs per microsecond
	jobCount                 int
	keyWeights, classWeights []float64 // cumulative
	schedulerWeights         []float64 // cumulative
	view                     View
}

// startClients starts generating jobs, rate of them per microsecond on average.
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

// scheduleNext schedules the next job's arrival. During the ramp-up it adds as many jobs as run in the steady state.
func (c *clients) scheduleNext() {
	w, rate := c.world, c.rate
	if w.now < w.setup.RampUp {
		rate += w.setup.Load * w.capacity / float64(w.setup.RampUp)
	}
	w.schedule(w.now+rules.Time(w.rng.ExpFloat64()/rate), c.submit)
}

// submit creates a job, submits it to a scheduler and schedules the next one.
func (c *clients) submit() {
	w, s := c.world, &c.world.setup
	c.jobCount++
	random := w.rng.Float64()
	j := &job{id: rules.RequestID(fmt.Sprintf("q%d", c.jobCount)), class: draw.Pick(c.classWeights, w.rng.Float64()), key: uint64(draw.Pick(c.keyWeights, w.rng.Float64())) + 1, arrivedAt: w.now}
	j.runTime = s.meanRunTimeOf(j.class) * w.rng.ExpFloat64()
	sc := c.pickScheduler(j, random)
	class := &s.Rules.Classes[j.class]
	j.scheduler, j.deadline = sc, w.now+class.Deadline
	if w.isCounting() {
		w.figures.Jobs++
		w.offeredValue[j.class] += class.Value
	}
	sc.jobs[j.id] = j
	w.schedule(j.deadline+s.Rules.AnswerSlack+1, func() {
		if sc.jobs[j.id] != nil {
			w.figures.Overdue++
		}
	})
	if s.ChooseWorker != nil {
		sc.Send(j.id, 0, w.workers[s.ChooseWorker(&c.view)].id)
	} else {
		sc.decide(func() {
			sc.dispatcher.Request(w.now, &rules.Request{ID: j.id, Class: j.class, Tenant: -1, Key: j.key * keyMultiplier, HasKey: true, Deadline: j.deadline})
		})
	}
	c.scheduleNext()
}

// pickScheduler returns the scheduler that a job goes to, chosen by a random number in [0, 1). If that scheduler is dead the
// client draws again.
func (c *clients) pickScheduler(j *job, random float64) *scheduler {
	w := c.world
	for try := 0; ; try++ {
		sc := c.drawScheduler(j, random, try)
		if sc.isAlive {
			return sc
		}
		random = w.rng.Float64()
	}
}

// maxLocalTries is how many schedulers of its key or zone a client tries before it accepts any scheduler.
const maxLocalTries = 8

// drawScheduler returns the scheduler that a random number selects in a client's try, by Setup.Traffic.
func (c *clients) drawScheduler(j *job, random float64, try int) *scheduler {
	w, s := c.world, &c.world.setup
	switch {
	case try >= maxLocalTries || s.Traffic == Evenly:
		return w.schedulers[draw.Pick(c.schedulerWeights, random)]
	case s.Traffic == ByKey:
		ofKey := SchedulersForKey(int(j.key)-1, s.Schedulers, s.SchedulersPerKey)
		return w.schedulers[ofKey[int(random*float64(len(ofKey)))]]
	}
	zones := min(max(1, s.Rules.Zones), s.Schedulers)
	zone := int(random * float64(zones))
	inZone := (s.Schedulers - zone + zones - 1) / zones
	within := random*float64(zones) - float64(zone)
	return w.schedulers[zone+zones*int(within*float64(inZone))]
}

// SchedulersForKey returns the schedulers that get the jobs of the n-th key under ByKey: perKey consecutive ones.
func SchedulersForKey(n, schedulers, perKey int) []int {
	first := int(Key(n) >> 33 % uint64(schedulers))
	var ranks []int
	for i := range min(max(1, perKey), schedulers) {
		ranks = append(ranks, (first+i)%schedulers)
	}
	return ranks
}
