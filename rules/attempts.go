package rules

// Attempts and retries: the one place that knows what may have run, from a class's effect and how
// attempts ended.

import "slices"

// may is the gate of every send: drains, kinds, attempts, effects, groups, windows, cold budget.
func (d *Dispatcher) may(now Time, r *request, w *worker) bool {
	c := &d.classes[r.Class]
	if r.closed || r.streaming || now >= r.Deadline || w.state != Ready ||
		len(r.attempts) >= d.set.MaxAttempts {
		return false
	}
	if c.Kind >= 0 && w.Kind != c.Kind || r.Slots > 1 && d.tooSmall(w, r.Slots) {
		return false
	}
	if r.out > 0 && (!d.set.MaySecondCopy || r.out > 1) {
		return false
	}
	if b := r.bound(); b != nil && !mayRepeat(now, c, b, w) {
		return false
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.w == w && (!a.over || a.never || a.runsOn()) {
			return false
		}
	}
	return d.coldAllows(now, w, r)
}

// runsOn tells of an attempt that was not given up and may still run: its connection broke, and its
// worker's process is the same. A second one beside it at that worker would be a duplicate.
func (a *attempt) runsOn() bool { return a.cut && a.w.StartedAt == a.start }

// mayRepeat tells whether a class allows an attempt at w where b may have run. The repeat should also
// arrive while the first is remembered: a tenth of the window is kept back.
func mayRepeat(now Time, c *classStat, b *attempt, w *worker) bool {
	if c.Effect == Keyed {
		return now-b.sent <= c.Window-c.Window/10 &&
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
		if b := &r.attempts[i]; b != a && b.begun && !b.never && !mayRepeat(now, c, b, a.w) {
			return false
		}
	}
	a.begun = !a.over && a.w.state == Ready && a.w.StartedAt == a.start
	return a.begun
}

// mayRefuse tells whether the client may be told that trying again is harmless.
func (d *Dispatcher) mayRefuse(r *request) bool {
	c := &d.classes[r.Class]
	return r.bound() == nil || c.Effect == Repeatable || c.Effect == Keyed && c.Group == GroupAll
}

func (d *Dispatcher) send(now Time, r *request, w *worker) {
	if r.attempts == nil {
		r.attempts = r.first[:0]
	}
	w.smoothOwn(now, d.meanRun.v)
	r.attempts = append(r.attempts, attempt{w: w, start: w.StartedAt, sent: now})
	r.out++
	w.own += r.Slots
	w.out++
	d.visit(w)
	w.unseen++
	if w.quietSince == 0 {
		w.quietSince = now
	}
	w.countKey(now, r.Key, d.meanRun.v)
	if d.cold(now, w) {
		w.tokens -= d.jobCost(r)
	}
	d.act.Send(r.ID, 0, w.id)
	if d.worthTelling(r) || d.cold(now, w) { // few send it jobs, and the others know its load by them alone
		r.attempts[len(r.attempts)-1].told = true
		d.talk.tell(now, newRecord(toldSent, w, r), d.act)
	}
	if d.classes[r.Class].Effect != Once {
		d.wakeUp(now, now+d.patience(r), r)
	}
}

// ended takes an attempt off the books and learns from how it ended.
func (d *Dispatcher) ended(now Time, r *request, a *attempt, s Status) {
	w := a.w
	w.smoothOwn(now, d.meanRun.v)
	a.over, a.never, a.cut = true, s.NeverRan(), s == Reset
	r.out--
	w.own = max(0, w.own-r.Slots)
	w.out--
	if a.told || endTold(s) == toldFailed {
		rec := newRecord(endTold(s), w, r)
		if a.started > 0 {
			rec.setRan(now - a.started)
		}
		d.talk.tell(now, rec, d.act)
	}
	if s == OK || s == Error || s == Refused {
		d.heard(now, a)
	} else if !a.seen {
		if w.unseen--; s == NotSent && w.unseen == 0 {
			w.quietSince = 0 // it owes no sign of life to what never left
		}
	}
	switch s {
	case OK:
		w.errors *= 1 - loadGain
		w.faults.n *= 1 - loadGain
		w.benchFor /= 2
		run := now - a.sent
		if a.started > 0 {
			run = now - a.started
		} else if d.set.ProgressEvery > 0 && !d.set.TellsStart {
			run = min(run, d.set.ProgressEvery) // no note of progress: the rest was waiting
		}
		d.meanRun.add(float64(run), gain/4) // of our own only: the peers tell of the long ones
		if c := &d.classes[r.Class]; r.Hint > 0 && c.run.n > 0 {
			told, ran := float64(r.Hint)/c.hint.v, float64(run)/c.run.v/d.slowness(now, w)
			c.fit.add(min(told, sizeMost), min(ran, sizeMost), gain/8)
		}
		d.ran(now, r.Class, w, float64(run), r.size)
	case Error:
		w.faults.count(now, faultFade)
		d.failed(now, w, loadGain)
	case Unreachable, Reset:
		d.failed(now, w, 0.5)
	case Refused:
		// The report that came along may be older than the queue that overflowed: the worker is
		// Full for as long as it takes to run what its slots hold, whatever reports say.
		d.seeOthers(now, w, max(d.load(now, w), 2*d.slots(w))-w.own)
		w.fullUntil = now + Time(d.meanRun.v*d.slowness(now, w)*(0.5+d.rng.Float64()))
	case TimedOut:
		w.benchFor = min(max(2*w.benchFor, second), 8*second)
		if w.quietSince > 0 {
			w.benchUntil = now + w.benchFor
		}
	}
}

// patience is how long a request that may be repeated waits before its attempt is reviewed.
func (d *Dispatcher) patience(r *request) Time {
	return max(tick/4, d.classes[r.Class].Aim/2)
}

// withdraw cancels what is still out of a request that is over.
func (d *Dispatcher) withdraw(r *request) {
	if !d.set.MayCancel || r.streaming {
		return
	}
	for i := range r.attempts {
		if !r.attempts[i].over {
			d.act.Cancel(r.ID, i)
		}
	}
}

// goOn decides what becomes of an open request none of whose attempts is out.
func (d *Dispatcher) goOn(now Time, r *request) {
	b := r.bound()
	switch {
	case now >= r.Deadline:
		d.giveUp(now, r, TimeOver)
	case len(r.attempts) >= d.set.MaxAttempts:
		d.giveUp(now, r, AttemptsUsed)
	case b != nil && !mayRepeat(now, &d.classes[r.Class], b, b.w): // nor ever again
		d.giveUp(now, r, NotRepeated)
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
		d.giveUp(now, r, TimeOver)
		return
	case len(r.attempts) == 0 && !r.held:
		r.probes = 0
		d.place(now, r)
		return
	case r.out != 1 || d.classes[r.Class].Effect == Once:
		return
	}
	a := &r.attempts[len(r.attempts)-1]
	if d.suspect(now, a.w) {
		if w, queued := d.choose(now, r); w != nil && !queued {
			d.send(now, r, w)
			return
		}
	}
	d.wakeUp(now, now+d.patience(r), r)
}

// retryHeld looks at the requests that no worker could be sent.
func (d *Dispatcher) retryHeld(now Time) {
	held := slices.Clone(d.held)
	d.held = d.held[:0]
	for i, r := range held {
		if i >= heldLook && !r.closed {
			d.held = append(d.held, r)
		} else if r.held = false; !r.closed {
			d.goOn(now, r) // it is held again where no worker can be sent it
			d.forget(r)
		}
	}
}
