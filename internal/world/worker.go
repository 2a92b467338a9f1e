package world

import (
	"math"
	"slices"

	"cobaltflow/rules"
)

// attempt is one sending of a job to a worker.
type attempt struct {
	job     *job
	number  int
	worker  *worker
	arrived rules.Time
	endsAt  rules.Time // of what runs
	starts  uint64     // of the scheduler's process
	over    bool       // its end has come back
	dead    bool       // the worker went down with it
}

type report struct {
	seen rules.Time
	made rules.Time
	load rules.Load
}

type worker struct {
	id        rules.WorkerID
	place     int
	set       *Worker
	entry     rules.ListEntry
	listed    bool       // the list has it
	startedAt rules.Time // 0: long ago
	down      bool
	running   int
	active    []*attempt // what runs
	queue     []*attempt
	reports   []report
	nextAt    rules.Time
	lying     bool

	jobAt   rules.Time // last arrival
	lately  []rules.Time
	keys    map[uint64]rules.Time
	pushed  []pushed
	leftOut bool
}

type pushed struct {
	at   rules.Time
	work float64
}

// arrive has an attempt join its worker's queue.
func (w *World) arrive(p *attempt) {
	t := p.worker
	if t.down {
		w.end(p, rules.Unreachable)
		return
	}
	p.arrived = w.now
	if w.counting() {
		w.countArrival(p)
	}
	t.keys[p.job.key] = w.now
	t.jobAt, t.leftOut = w.now, false
	w.coldWork(t, p.job.run/t.set.Speed)
	if len(t.queue) >= w.set.Queue {
		w.end(p, rules.Refused)
		return
	}
	t.queue = append(t.queue, p)
	w.next(t)
}

// countArrival counts fetches of keys, and how many jobs come to one worker at a time.
func (w *World) countArrival(p *attempt) {
	t := p.worker
	last, kept := t.keys[p.job.key]
	if !kept || w.now-last > 10_000_000 {
		w.fetches++
	}
	for i, window := range w.set.FetchWindows {
		if !kept || w.now-last > window {
			w.fetchesIn[i]++
		}
	}
	window := w.set.ReportAge.Most
	t.lately = slices.DeleteFunc(append(t.lately, w.now), func(at rules.Time) bool { return w.now-at > window })
	fair := w.set.Load * float64(t.set.Slots) * t.set.Speed / t.set.Slow / w.set.meanRun() * float64(window)
	w.figures.Herd = max(w.figures.Herd, float64(len(t.lately))/max(1, fair))
}

// coldWork measures what a worker that joined gets while it is cold, against what the settings let it have.
func (w *World) coldWork(t *worker, work float64) {
	age := float64(w.now - t.startedAt)
	if t.startedAt == 0 || age >= float64(w.set.Rules.SlowStartWindow) {
		return
	}
	r := &w.set.Rules
	t.pushed = slices.DeleteFunc(append(t.pushed, pushed{w.now, work}), func(p pushed) bool { return w.now-p.at > r.OverloadWindow })
	sum := 0.0
	for _, p := range t.pushed {
		sum += p.work
	}
	may := r.OverloadFactor * float64(t.set.Slots) * (r.SlowStartMinCapacity + (1-r.SlowStartMinCapacity)*age/float64(r.SlowStartWindow)) * float64(r.OverloadWindow)
	run := w.set.meanRun()
	n := may / run
	w.figures.MostAtCold = max(w.figures.MostAtCold, sum/run/(n+3*math.Sqrt(n)+3))
	w.figures.ColdSends = max(w.figures.ColdSends, float64(len(t.pushed))/(n+2*math.Sqrt(n)+2))
}

func (w *World) next(t *worker) {
	for len(t.queue) > 0 && t.running < t.set.Slots {
		p := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		t.active = append(t.active, p)
		if p.job.starts++; p.job.starts == 2 && w.set.Rules.Classes[p.job.class].Effect == rules.Once {
			w.figures.Twice++
		}
		if p.arrived >= w.set.Warm {
			w.waits = append(w.waits, float64(w.now-p.arrived)/1e6)
		}
		p.endsAt = w.now + max(1000, rules.Time(p.job.run/t.set.Speed*t.set.Slow))
		w.begun(p)
		w.at(p.endsAt, func() { w.finish(p) })
	}
}

// begun tells the scheduler that a job has started.
func (w *World) begun(p *attempt) {
	x := p.job.scheduler
	if x.starts != p.starts {
		return // it died before
	}
	x.later(w.now+w.set.Net.draw(w.rng), func() {
		x.dispatcher.Progress(w.now, &rules.Progress{Request: p.job.id, Attempt: p.number, Worker: p.worker.id, Started: true})
	})
}

// finish ends a job that runs, unless its worker went down before.
func (w *World) finish(p *attempt) {
	if p.dead {
		return
	}
	t := p.worker
	t.running--
	i := slices.Index(t.active, p)
	t.active[i] = t.active[len(t.active)-1]
	t.active = t.active[:len(t.active)-1]
	w.end(p, rules.OK)
	w.next(t)
}

// end brings an attempt's end back to its scheduler.
func (w *World) end(p *attempt, s rules.Status) {
	x := p.job.scheduler
	if x.starts != p.starts {
		return
	}
	x.later(w.now+w.set.Net.draw(w.rng), func() {
		p.over = true
		_, open := x.jobs[p.job.id]
		closed := !open
		if s == rules.OK && open {
			closed = true
			delete(x.jobs, p.job.id)
			w.serve(p.job, w.now)
		}
		x.dispatcher.Outcome(w.now, &rules.Outcome{Request: p.job.id, Attempt: p.number, Worker: p.worker.id, Status: s, Closed: closed})
		x.forget(p.job.id)
	})
}

// report makes new figures when it is time, and gives those that can be seen now.
func (w *World) report(t *worker) rules.Load {
	if w.now >= t.nextAt {
		noisy := func(n int) float64 {
			return math.Max(0, math.Floor(float64(n)*(1+w.set.Noise*(2*w.rng.Float64()-1))+0.5))
		}
		r := report{w.now + w.set.ReportLate.draw(w.rng), w.now, rules.Load{Has: rules.HasQueue | rules.HasInFlight | rules.HasFreeSlots,
			Queue: noisy(len(t.queue)), InFlight: noisy(len(t.queue) + t.running), FreeSlots: float64(t.set.Slots - t.running)}}
		if t.lying {
			r.load.Queue, r.load.InFlight, r.load.FreeSlots = 0, 0, float64(t.set.Slots)
		}
		if len(t.reports) == 0 {
			r.seen = w.now
		}
		t.reports = append(t.reports, r)
		t.nextAt = w.now + w.set.ReportAge.draw(w.rng)
	}
	for len(t.reports) > 1 && t.reports[1].seen <= w.now {
		t.reports = t.reports[1:]
	}
	return t.reports[0].load
}
