package rules

// Attempts and retries. Only this file decides whether an attempt may have run and whether the request may
// be sent again, from its class's Effect and from how its attempts ended.

import "slices"

// maySend is checked before every send. It reports whether the request may be sent to the worker now, by
// its deadline and attempts, the worker's state, kind and slots, the class's effect, and the cold budget.
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

// mayStillRun reports whether the attempt may still be running after its end: its connection broke, and the
// worker's process is still the same. A second attempt at that worker would duplicate it.
func (a *attempt) mayStillRun() bool { return a.connBroke && a.w.StartedAt == a.workerStart }

// mayRepeat reports whether a class allows an attempt at w although prior may have run. A tenth of the
// deduplication window is kept in reserve, so that the repeat arrives while the first is remembered.
func mayRepeat(now Time, c *classStats, prior *attempt, w *worker) bool {
	if c.Effect == Keyed {
		return now-prior.sentAt <= c.Window-c.Window/10 &&
			(c.Group != GroupZone || w.Zone == prior.w.Zone) &&
			(c.Group != GroupCell || w.Cell == prior.w.Cell)
	}
	return c.Effect == Repeatable
}

// Begin reports whether an attempt may begin now, and records that it does. The host calls it once the
// connection is up: what allowed the send may no longer hold then. An attempt that may not begin ends as
// NotSent.
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

// mayRefuse reports whether the request may be refused, which tells the client that a retry is safe.
func (d *Dispatcher) mayRefuse(r *request) bool {
	c := &d.classes[r.Class]
	return r.firstMayHaveRun() == nil || c.Effect == Repeatable || c.Effect == Keyed && c.Group == GroupAll
}

// send sends the request to the worker and updates the counts. The caller has checked maySend.
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
	// Jobs to a cold worker are always reported: few dispatchers send it any, and the others learn its load
	// only from those reports.
	if d.shouldReport(r) || d.isCold(now, w) {
		r.attempts[len(r.attempts)-1].reported = true
		d.reporter.enqueue(now, newRecord(eventSent, w, r), d.actions)
	}
	if d.classes[r.Class].Effect != Once {
		d.setTimer(now, now+d.reviewDelay(r), r)
	}
}

// attemptEnded removes an attempt from the in-flight counts and updates the estimates by how it ended.
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
			w.silentSince = 0 // nothing that was sent awaits a response
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
			run = min(run, d.cfg.ProgressInterval) // no progress was reported: the rest was waiting
		}
		d.meanRun.add(float64(run), gain/4) // own jobs only: peers report mostly the long ones
		if c := &d.classes[r.Class]; r.Hint > 0 && c.run.n > 0 {
			hinted, actual := float64(r.Hint)/c.hint.v, float64(run)/c.run.v/d.slowness(now, w)
			c.hintFit.add(min(hinted, maxJobSize), min(actual, maxJobSize), gain/8)
		}
		d.recordRun(now, r.Class, w, float64(run), r.size)
	case Error:
		w.recentFailures.increment(now, failureDecayScale)
		d.recordFailure(now, w, loadGain)
	case Unreachable, Reset:
		d.recordFailure(now, w, 0.5)
	case Refused:
		// The load report in the refusal may be older than the queue overflow. Whatever it says, the worker
		// counts as Full for as long as the jobs in its slots take to run.
		d.recordOthersLoad(now, w, max(d.load(now, w), 2*d.slots(w))-w.ownSlots)
		w.fullUntil = now + Time(d.meanRun.v*d.slowness(now, w)*(0.5+d.rng.Float64()))
	case TimedOut:
		w.ejectionTime = min(max(2*w.ejectionTime, second), 8*second)
		if w.silentSince > 0 {
			w.ejectedUntil = now + w.ejectionTime
		}
	}
}

// reviewDelay returns how long the attempt of a repeatable request is left alone before it is reviewed.
func (d *Dispatcher) reviewDelay(r *request) Time {
	return max(tickInterval/4, d.classes[r.Class].LatencyTarget/2)
}

// cancelAttempts cancels the outstanding attempts of a request that has ended.
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

// retryOrGiveUp continues an open request that has no outstanding attempt.
func (d *Dispatcher) retryOrGiveUp(now Time, r *request) {
	b := r.firstMayHaveRun()
	switch {
	case now >= r.Deadline:
		d.giveUp(now, r, DeadlineExceeded)
	case len(r.attempts) >= d.cfg.MaxAttempts:
		d.giveUp(now, r, AttemptsExhausted)
	case b != nil && !mayRepeat(now, &d.classes[r.Class], b, b.w): // nor at any later time
		d.giveUp(now, r, NotRetryable)
	default:
		d.place(now, r)
	}
}

// giveUp refuses the request if that is allowed, and otherwise fails it.
func (d *Dispatcher) giveUp(now Time, r *request, why Reason) {
	if d.mayRefuse(r) {
		d.refuse(now, r, why)
	} else {
		d.fail(r, why)
	}
}

// review handles a request's timer: its deadline has passed, its wait for probe results is over, or its
// attempt takes long and is hedged if the worker is suspect.
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

// retryHeld retries the first held requests, for which no worker was found before.
func (d *Dispatcher) retryHeld(now Time) {
	held := slices.Clone(d.held)
	d.held = d.held[:0]
	for i, r := range held {
		if i >= heldRetryBatch && !r.closed {
			d.held = append(d.held, r)
		} else if r.held = false; !r.closed {
			d.retryOrGiveUp(now, r) // it is held again if there still is no worker
			d.forgetIfEnded(r)
		}
	}
}
