package world

import (
	"math"
	"slices"

	"cobaltflow/rules"
)

// keyMissWindow is the time in microseconds after which the next job of a key counts in Figures.KeyMisses again.
const keyMissWindow = 10_000_000

// attempt is a job sent to one worker.
type attempt struct {
	job         *job
	number      int // index among the job's attempts
	worker      *worker
	arrivedAt   rules.Time
	endsAt      rules.Time // of an attempt that runs
	incarnation uint64     // of the scheduler process that sent it
	hasReturned bool       // its outcome has reached the scheduler
	isLost      bool       // its worker failed while it ran or waited there
}

// report is a load report of a worker. Schedulers see it from visibleAt on.
type report struct {
	visibleAt rules.Time
	madeAt    rules.Time
	load      rules.Load
}

// worker is the state of one table worker.
type worker struct {
	id           rules.WorkerID
	index        int // in World.workers
	setup        *Worker
	entry        rules.ListEntry
	isListed     bool       // it has joined the worker list
	startedAt    rules.Time // 0: long before the simulation, so it is warm
	isDown       bool
	running      int
	active       []*attempt // the attempts that run
	queue        []*attempt
	reports      []report
	nextReportAt rules.Time
	isLying      bool // its reports always show an idle worker

	lastArrivalAt  rules.Time
	recentArrivals []rules.Time          // within the largest report interval
	keyArrivedAt   map[uint64]rules.Time // last arrival of each key
	recentWork     []arrivedWork         // within Rules.OverloadWindow, while the worker is cold
	isStarved      bool                  // counted in Figures.StarvedWorkers since the last arrival
}

// arrivedWork is the work of one attempt, in microseconds at the worker's speed.
type arrivedWork struct {
	at   rules.Time
	work float64
}

// arrive puts an attempt into its worker's queue. A full queue refuses it, and a worker that is down is unreachable.
func (w *World) arrive(a *attempt) {
	wk := a.worker
	if wk.isDown {
		w.reportOutcome(a, rules.Unreachable)
		return
	}
	a.arrivedAt = w.now
	if w.isCounting() {
		w.countArrival(a)
	}
	wk.keyArrivedAt[a.job.key] = w.now
	wk.lastArrivalAt, wk.isStarved = w.now, false
	w.recordColdWork(wk, a.job.runTime/wk.setup.Speed)
	if len(wk.queue) >= w.setup.MaxQueue {
		w.reportOutcome(a, rules.Refused)
		return
	}
	wk.queue = append(wk.queue, a)
	w.startQueued(wk)
}

// countArrival counts the first arrival of a key at a worker as a miss, and updates Figures.Herd.
func (w *World) countArrival(a *attempt) {
	wk := a.worker
	last, hasArrived := wk.keyArrivedAt[a.job.key]
	if !hasArrived || w.now-last > keyMissWindow {
		w.keyMisses++
	}
	for i, window := range w.setup.KeyMissWindows {
		if !hasArrived || w.now-last > window {
			w.keyMissesIn[i]++
		}
	}
	window := w.setup.ReportAge.Max
	wk.recentArrivals = slices.DeleteFunc(append(wk.recentArrivals, w.now), func(at rules.Time) bool { return w.now-at > window })
	fair := w.setup.Load * float64(wk.setup.Slots) * wk.setup.Speed / wk.setup.Slowdown / w.setup.overallMeanRunTime() * float64(window)
	w.figures.Herd = max(w.figures.Herd, float64(len(wk.recentArrivals))/max(1, fair))
}

// recordColdWork compares the work that arrives at a cold worker with its limit during slow start. The bounds allow for
// random variation: n + 3·√n + 3 mean jobs of work and n + 2·√n + 2 jobs.
func (w *World) recordColdWork(wk *worker, work float64) {
	age := float64(w.now - wk.startedAt)
	if wk.startedAt == 0 || age >= float64(w.setup.Rules.SlowStartWindow) {
		return
	}
	r := &w.setup.Rules
	wk.recentWork = slices.DeleteFunc(append(wk.recentWork, arrivedWork{w.now, work}), func(a arrivedWork) bool { return w.now-a.at > r.OverloadWindow })
	sum := 0.0
	for _, a := range wk.recentWork {
		sum += a.work
	}
	limit := r.OverloadFactor * float64(wk.setup.Slots) * (r.SlowStartMinCapacity + (1-r.SlowStartMinCapacity)*age/float64(r.SlowStartWindow)) * float64(r.OverloadWindow)
	meanRunTime := w.setup.overallMeanRunTime()
	n := limit / meanRunTime
	w.figures.MaxColdWork = max(w.figures.MaxColdWork, sum/meanRunTime/(n+3*math.Sqrt(n)+3))
	w.figures.MaxColdJobs = max(w.figures.MaxColdJobs, float64(len(wk.recentWork))/(n+2*math.Sqrt(n)+2))
}

// startQueued starts attempts from the worker's queue while it has a free slot.
func (w *World) startQueued(wk *worker) {
	for len(wk.queue) > 0 && wk.running < wk.setup.Slots {
		a := wk.queue[0]
		wk.queue = wk.queue[1:]
		wk.running++
		wk.active = append(wk.active, a)
		if a.job.startCount++; a.job.startCount == 2 && w.setup.Rules.Classes[a.job.class].Effect == rules.Once {
			w.figures.StartedTwice++
		}
		if a.arrivedAt >= w.setup.WarmUp {
			w.waits = append(w.waits, float64(w.now-a.arrivedAt)/1e6)
		}
		a.endsAt = w.now + max(1000, rules.Time(a.job.runTime/wk.setup.Speed*wk.setup.Slowdown))
		w.reportStart(a)
		w.schedule(a.endsAt, func() { w.finish(a) })
	}
}

// reportStart sends the scheduler the worker's report that a job has started.
func (w *World) reportStart(a *attempt) {
	sc := a.job.scheduler
	if sc.incarnation != a.incarnation {
		return // that process has been killed
	}
	sc.decideAt(w.now+w.setup.NetworkDelay.draw(w.rng), func() {
		sc.dispatcher.Progress(w.now, &rules.Progress{Request: a.job.id, Attempt: a.number, Worker: a.worker.id, Started: true})
	})
}

// finish completes an attempt that runs, unless its worker failed in the meantime.
func (w *World) finish(a *attempt) {
	if a.isLost {
		return
	}
	wk := a.worker
	wk.running--
	i := slices.Index(wk.active, a)
	wk.active[i] = wk.active[len(wk.active)-1]
	wk.active = wk.active[:len(wk.active)-1]
	w.reportOutcome(a, rules.OK)
	w.startQueued(wk)
}

// reportOutcome sends an attempt's outcome to the scheduler process that sent the attempt, if it still runs.
func (w *World) reportOutcome(a *attempt, status rules.Status) {
	sc := a.job.scheduler
	if sc.incarnation != a.incarnation {
		return
	}
	sc.decideAt(w.now+w.setup.NetworkDelay.draw(w.rng), func() {
		a.hasReturned = true
		_, open := sc.jobs[a.job.id]
		closed := !open
		if status == rules.OK && open {
			closed = true
			delete(sc.jobs, a.job.id)
			w.recordServed(a.job, w.now)
		}
		sc.dispatcher.Outcome(w.now, &rules.Outcome{Request: a.job.id, Attempt: a.number, Worker: a.worker.id, Status: status, Closed: closed})
		sc.releaseAttempts(a.job.id)
	})
}

// visibleLoad makes a new report of the worker's load when one is due, and returns the latest report that has become
// visible to schedulers.
func (w *World) visibleLoad(wk *worker) rules.Load {
	if w.now >= wk.nextReportAt {
		noisy := func(n int) float64 {
			return math.Max(0, math.Floor(float64(n)*(1+w.setup.Noise*(2*w.rng.Float64()-1))+0.5))
		}
		r := report{w.now + w.setup.ReportDelay.draw(w.rng), w.now, rules.Load{Has: rules.HasQueue | rules.HasInFlight | rules.HasFreeSlots,
			Queue: noisy(len(wk.queue)), InFlight: noisy(len(wk.queue) + wk.running), FreeSlots: float64(wk.setup.Slots - wk.running)}}
		if wk.isLying {
			r.load.Queue, r.load.InFlight, r.load.FreeSlots = 0, 0, float64(wk.setup.Slots)
		}
		if len(wk.reports) == 0 {
			r.visibleAt = w.now
		}
		wk.reports = append(wk.reports, r)
		wk.nextReportAt = w.now + w.setup.ReportAge.draw(w.rng)
	}
	for len(wk.reports) > 1 && wk.reports[1].visibleAt <= w.now {
		wk.reports = wk.reports[1:]
	}
	return wk.reports[0].load
}
