package world

import (
	"math"
	"slices"

	"cobaltflow/rules"
)

// attempt is one sending of a job to a worker.
type attempt struct {
	job         *job
	number      int
	worker      *worker
	arrived     rules.Time
	endsAt      rules.Time // of what runs
	incarnation uint64     // of the scheduler's process
	hasReturned bool       // its end has come back
	isLost      bool       // the worker went down with it
}

type report struct {
	visibleAt rules.Time
	madeAt    rules.Time
	load      rules.Load
}

type worker struct {
	id           rules.WorkerID
	index        int
	setup        *Worker
	entry        rules.ListEntry
	isListed     bool       // the list has it
	startedAt    rules.Time // 0: long ago
	isDown       bool
	running      int
	active       []*attempt // what runs
	queue        []*attempt
	reports      []report
	nextReportAt rules.Time
	isLying      bool

	lastArrivalAt  rules.Time // last arrival
	recentArrivals []rules.Time
	keyArrivedAt   map[uint64]rules.Time
	recentWork     []arrivedWork
	isStarved      bool
}

type arrivedWork struct {
	at   rules.Time
	work float64
}

// arrive has an attempt join its worker's queue.
func (w *World) arrive(p *attempt) {
	t := p.worker
	if t.isDown {
		w.reportOutcome(p, rules.Unreachable)
		return
	}
	p.arrived = w.now
	if w.isCounting() {
		w.countArrival(p)
	}
	t.keyArrivedAt[p.job.key] = w.now
	t.lastArrivalAt, t.isStarved = w.now, false
	w.recordColdWork(t, p.job.runTime/t.setup.Speed)
	if len(t.queue) >= w.setup.MaxQueue {
		w.reportOutcome(p, rules.Refused)
		return
	}
	t.queue = append(t.queue, p)
	w.startQueued(t)
}

// countArrival counts fetches of keys, and how many jobs come to one worker at a time.
func (w *World) countArrival(p *attempt) {
	t := p.worker
	last, kept := t.keyArrivedAt[p.job.key]
	if !kept || w.now-last > 10_000_000 {
		w.keyMisses++
	}
	for i, window := range w.setup.KeyMissWindows {
		if !kept || w.now-last > window {
			w.keyMissesIn[i]++
		}
	}
	window := w.setup.ReportAge.Max
	t.recentArrivals = slices.DeleteFunc(append(t.recentArrivals, w.now), func(at rules.Time) bool { return w.now-at > window })
	fair := w.setup.Load * float64(t.setup.Slots) * t.setup.Speed / t.setup.Slowdown / w.setup.overallMeanRunTime() * float64(window)
	w.figures.Herd = max(w.figures.Herd, float64(len(t.recentArrivals))/max(1, fair))
}

// coldWork measures what a worker that joined gets while it is cold, against what the settings let it have.
func (w *World) recordColdWork(t *worker, work float64) {
	age := float64(w.now - t.startedAt)
	if t.startedAt == 0 || age >= float64(w.setup.Rules.SlowStartWindow) {
		return
	}
	r := &w.setup.Rules
	t.recentWork = slices.DeleteFunc(append(t.recentWork, arrivedWork{w.now, work}), func(p arrivedWork) bool { return w.now-p.at > r.OverloadWindow })
	sum := 0.0
	for _, p := range t.recentWork {
		sum += p.work
	}
	may := r.OverloadFactor * float64(t.setup.Slots) * (r.SlowStartMinCapacity + (1-r.SlowStartMinCapacity)*age/float64(r.SlowStartWindow)) * float64(r.OverloadWindow)
	run := w.setup.overallMeanRunTime()
	n := may / run
	w.figures.MaxColdWork = max(w.figures.MaxColdWork, sum/run/(n+3*math.Sqrt(n)+3))
	w.figures.MaxColdJobs = max(w.figures.MaxColdJobs, float64(len(t.recentWork))/(n+2*math.Sqrt(n)+2))
}

func (w *World) startQueued(t *worker) {
	for len(t.queue) > 0 && t.running < t.setup.Slots {
		p := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		t.active = append(t.active, p)
		if p.job.startCount++; p.job.startCount == 2 && w.setup.Rules.Classes[p.job.class].Effect == rules.Once {
			w.figures.StartedTwice++
		}
		if p.arrived >= w.setup.WarmUp {
			w.waits = append(w.waits, float64(w.now-p.arrived)/1e6)
		}
		p.endsAt = w.now + max(1000, rules.Time(p.job.runTime/t.setup.Speed*t.setup.Slowdown))
		w.reportStart(p)
		w.schedule(p.endsAt, func() { w.finish(p) })
	}
}

// begun tells the scheduler that a job has started.
func (w *World) reportStart(p *attempt) {
	x := p.job.scheduler
	if x.incarnation != p.incarnation {
		return // it died before
	}
	x.decideAt(w.now+w.setup.NetworkDelay.draw(w.rng), func() {
		x.dispatcher.Progress(w.now, &rules.Progress{Request: p.job.id, Attempt: p.number, Worker: p.worker.id, Started: true})
	})
}

// finish ends a job that runs, unless its worker went down before.
func (w *World) finish(p *attempt) {
	if p.isLost {
		return
	}
	t := p.worker
	t.running--
	i := slices.Index(t.active, p)
	t.active[i] = t.active[len(t.active)-1]
	t.active = t.active[:len(t.active)-1]
	w.reportOutcome(p, rules.OK)
	w.startQueued(t)
}

// end brings an attempt's end back to its scheduler.
func (w *World) reportOutcome(p *attempt, s rules.Status) {
	x := p.job.scheduler
	if x.incarnation != p.incarnation {
		return
	}
	x.decideAt(w.now+w.setup.NetworkDelay.draw(w.rng), func() {
		p.hasReturned = true
		_, open := x.jobs[p.job.id]
		closed := !open
		if s == rules.OK && open {
			closed = true
			delete(x.jobs, p.job.id)
			w.recordServed(p.job, w.now)
		}
		x.dispatcher.Outcome(w.now, &rules.Outcome{Request: p.job.id, Attempt: p.number, Worker: p.worker.id, Status: s, Closed: closed})
		x.releaseAttempts(p.job.id)
	})
}

// report makes new figures when it is time, and gives those that can be seen now.
func (w *World) visibleLoad(t *worker) rules.Load {
	if w.now >= t.nextReportAt {
		noisy := func(n int) float64 {
			return math.Max(0, math.Floor(float64(n)*(1+w.setup.Noise*(2*w.rng.Float64()-1))+0.5))
		}
		r := report{w.now + w.setup.ReportDelay.draw(w.rng), w.now, rules.Load{Has: rules.HasQueue | rules.HasInFlight | rules.HasFreeSlots,
			Queue: noisy(len(t.queue)), InFlight: noisy(len(t.queue) + t.running), FreeSlots: float64(t.setup.Slots - t.running)}}
		if t.isLying {
			r.load.Queue, r.load.InFlight, r.load.FreeSlots = 0, 0, float64(t.setup.Slots)
		}
		if len(t.reports) == 0 {
			r.visibleAt = w.now
		}
		t.reports = append(t.reports, r)
		t.nextReportAt = w.now + w.setup.ReportAge.draw(w.rng)
	}
	for len(t.reports) > 1 && t.reports[1].visibleAt <= w.now {
		t.reports = t.reports[1:]
	}
	return t.reports[0].load
}
