package rules

// Attempts and retries: the one place that knows what may have run, from a class's effect and how
// attempts ended.

import "slices"

// may is the gate of every send: drains, kinds, attempts, effects, groups, windows, cold budget.
func (d *Dispatcher) maySend(now Time, r *request, w *worker) bool {
	c := &d.classes[r.Class]
	if r.closed || r.streaming || now >= r.Deadline || w.state != Ready ||
		len(r.attempts) >= d.cfg.MaxAttempts {
		return false
	}
	if c.Kind >= 0 && w.Kind != c.Kind || r.Slots > 1 && d.lacksSlots(w, r.Slots) {
		return false
	}
	if r.outstanding > 0 && (!d.cfg.MayHedge || r.outstanding > 1) {
		return false
	}
	if b := r.firstMayHaveRun(); b != nil && !mayRepeat(now, c, b, w) {
		return false
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.w == w && (!a.ended || a.neverRan || a.mayStillRun()) {
			return false
		}
	}
	return d.coldBudgetAllows(now, w, r)
}

// runsOn tells of an attempt that was not given up and may still run: its connection broke, and its
// worker's process is the same. A second one beside it at that worker would be a duplicate.
func (a *attempt) mayStillRun() bool { return a.connBroke && a.w.StartedAt == a.workerStart }

// mayRepeat tells whether a class allows an attempt at w where b may have run. The repeat should also
// arrive while the first is remembered: a tenth of the window is kept back.
func mayRepeat(now Time, c *classStats, b *attempt, w *worker) bool {
	if c.Effect == Keyed {
		return now-b.sentAt <= c.Window-c.Window/10 &&
			(c.Group != GroupZone || w.Zone == b.w.Zone) && (c.Group != GroupCell || w.Cell == b.w.Cell)
	}
	return c.Effect == Repeatable
}

// Begin tells whether an attempt may begin now: what allowed it may be over by the time its connection
// is up. One that may not is to end as NotSent.
func (d *Dispatcher) Begin(now Time, id RequestID, attempt int) bool {
	r := d.requests[id]
	if r == nil || r.closed || now >= r.Deadline {
		return false
	}
	a, c := &r.attempts[attempt], &d.classes[r.Class]
	for i := range r.attempts {
		if b := &r.attempts[i]; b != a && b.begun && !b.neverRan && !mayRepeat(now, c, b, a.w) {
			return false
		}
	}
	a.begun = !a.ended && a.w.state == Ready && a.w.StartedAt == a.workerStart
	return a.begun
}

// mayRefuse tells whether the client may be told that trying again is harmless.
func (d *Dispatcher) mayRefuse(r *request) bool {
	c := &d.classes[r.Class]
	return r.firstMayHaveRun() == nil || c.Effect == Repeatable || c.Effect == Keyed && c.Group == GroupAll
}

func (d *Dispatcher) send(now Time, r *request, w *worker) {
	if r.attempts == nil {
		r.attempts = r.firstAttempt[:0]
	}
	w.updateOwnAverage(now, d.meanRun.v)
	r.attempts = append(r.attempts, attempt{w: w, workerStart: w.StartedAt, sentAt: now})
	r.outstanding++
	w.ownSlots += r.Slots
	w.outstanding++
	d.mark(w)
	w.unacknowledged++
	if w.silentSince == 0 {
		w.silentSince = now
	}
	w.countRunningKey(now, r.Key, d.meanRun.v)
	if d.isCold(now, w) {
		w.coldTokens -= d.jobCost(r)
	}
	d.actions.Send(r.ID, 0, w.id)
	if d.shouldReport(r) || d.isCold(now, w) { // few send it jobs, and the others know its load by them alone
		r.attempts[len(r.attempts)-1].reported = true
		d.reporter.enqueue(now, newRecord(eventSent, w, r), d.actions)
	}
	if d.classes[r.Class].Effect != Once {
		d.setTimer(now, now+d.reviewDelay(r), r)
	}
}

// ended takes an attempt off the books and learns from how it ended.
func (d *Dispatcher) attemptEnded(now Time, r *request, a *attempt, s Status) {
	w := a.w
	w.updateOwnAverage(now, d.meanRun.v)
	a.ended, a.neverRan, a.connBroke = true, s.NeverRan(), s == Reset
	r.outstanding--
	w.ownSlots = max(0, w.ownSlots-r.Slots)
	w.outstanding--
	if a.reported || endEvent(s) == eventFailed {
		rec := newRecord(endEvent(s), w, r)
		if a.startedAt > 0 {
			rec.setRunTime(now - a.startedAt)
		}
		d.reporter.enqueue(now, rec, d.actions)
	}
	if s == OK || s == Error || s == Refused {
		d.recordResponse(now, a)
	} else if !a.acknowledged {
		if w.unacknowledged--; s == NotSent && w.unacknowledged == 0 {
			w.silentSince = 0 // it owes no sign of life to what never left
		}
	}
	switch s {
	case OK:
		w.errorRate *= 1 - loadGain
		w.recentFailures.n *= 1 - loadGain
		w.ejectionTime /= 2
		run := now - a.sentAt
		if a.startedAt > 0 {
			run = now - a.startedAt
		} else if d.cfg.ProgressInterval > 0 && !d.cfg.ReportsStart {
			run = min(run, d.cfg.ProgressInterval) // no note of progress: the rest was waiting
		}
		d.meanRun.add(float64(run), gain/4) // of our own only: the peers tell of the long ones
		if c := &d.classes[r.Class]; r.Hint > 0 && c.run.n > 0 {
			told, ran := float64(r.Hint)/c.hint.v, float64(run)/c.run.v/d.slowness(now, w)
			c.hintFit.add(min(told, maxJobSize), min(ran, maxJobSize), gain/8)
		}
		d.recordRun(now, r.Class, w, float64(run), r.size)
	case Error:
		w.recentFailures.increment(now, failureDecayScale)
		d.recordFailure(now, w, loadGain)
	case Unreachable, Reset:
		d.recordFailure(now, w, 0.5)
	case Refused:
		// The report that came along may be older than the queue that overflowed: the worker is
		// Full for as long as it takes to run what its slots hold, whatever reports say.
		d.recordOthersLoad(now, w, max(d.load(now, w), 2*d.slots(w))-w.ownSlots)
		w.fullUntil = now + Time(d.meanRun.v*d.slowness(now, w)*(0.5+d.rng.Float64()))
	case TimedOut:
		w.ejectionTime = min(max(2*w.ejectionTime, second), 8*second)
		if w.silentSince > 0 {
			w.ejectedUntil = now + w.ejectionTime
		}
	}
}

// patience is how long a request that may be repeated waits before its attempt is reviewed.
func (d *Dispatcher) reviewDelay(r *request) Time {
	return max(tickInterval/4, d.classes[r.Class].LatencyTarget/2)
}

// withdraw cancels what is still out of a request that is over.
func (d *Dispatcher) cancelAttempts(r *request) {
	if !d.cfg.MayCancel || r.streaming {
		return
	}
	for i := range r.attempts {
		if !r.attempts[i].ended {
			d.actions.Cancel(r.ID, i)
		}
	}
}

// goOn decides what becomes of an open request none of whose attempts is out.
func (d *Dispatcher) retryOrGiveUp(now Time, r *request) {
	b := r.firstMayHaveRun()
	switch {
	case now >= r.Deadline:
		d.giveUp(now, r, DeadlineExceeded)
	case len(r.attempts) >= d.cfg.MaxAttempts:
		d.giveUp(now, r, AttemptsExhausted)
	case b != nil && !mayRepeat(now, &d.classes[r.Class], b, b.w): // nor ever again
		d.giveUp(now, r, NotRetryable)
	default:
		d.place(now, r)
	}
}

func (d *Dispatcher) giveUp(now Time, r *request, why Reason) {
	if d.mayRefuse(r) {
		d.refuse(now, r, why)
	} else {
		d.fail(r, why)
	}
}

// review is a request's timer: the end of its time, the end of its wait for probes, or a look at
// an attempt that takes long.
func (d *Dispatcher) review(now Time, r *request) {
	switch {
	case r.streaming:
		return
	case now >= r.Deadline:
		d.giveUp(now, r, DeadlineExceeded)
		return
	case len(r.attempts) == 0 && !r.held:
		r.pendingProbes = 0
		d.place(now, r)
		return
	case r.outstanding != 1 || d.classes[r.Class].Effect == Once:
		return
	}
	a := &r.attempts[len(r.attempts)-1]
	if d.isSuspect(now, a.w) {
		if w, queued := d.chooseWorker(now, r); w != nil && !queued {
			d.send(now, r, w)
			return
		}
	}
	d.setTimer(now, now+d.reviewDelay(r), r)
}

// retryHeld looks at the requests that no worker could be sent.
func (d *Dispatcher) retryHeld(now Time) {
	held := slices.Clone(d.held)
	d.held = d.held[:0]
	for i, r := range held {
		if i >= heldRetryBatch && !r.closed {
			d.held = append(d.held, r)
		} else if r.held = false; !r.closed {
			d.retryOrGiveUp(now, r) // it is held again where no worker can be sent it
			d.forgetIfEnded(r)
		}
	}
}
