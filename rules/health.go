package rules

// Who may be sent anything: the list, those held out, and workers that are silent, failing or slow, from
// how attempts and probes end.

import (
	"math"
	"slices"
)

func (d *Dispatcher) listed(now Time, e *ListEntry) {
	w := d.byID[e.Worker]
	if w == nil {
		if e.State == Gone {
			return
		}
		w = d.add(e.Worker)
	}
	if e.StartedAt != w.StartedAt || w.state == Gone {
		// A fresh start: what was learned of its load and health is void, and it is cold.
		w.errors, w.quietSince, w.benchUntil, w.benchFor, w.slowN, w.slowSum, w.faults.n = 0, 0, 0, 0, 0, 0, 0
		w.others, w.othersLast, w.running = mean{}, 0, w.running[:0]
		w.peers, w.told = w.peers[:0], 0
		if e.StartedAt != w.StartedAt { // else it came back as it was, and what it was sent still counts
			w.tokens, w.tokensAt = 0, 0
		}
		if d.kind(e.Kind).foreign < 1 {
			w.probedAt = 0
		}
	}
	d.update(w, *e, max(e.State, d.out[ByHand][w.id], d.out[BySites][w.id]))
}

// housekeeping looks after the list, worn-out workers and the health of the whole.
func (d *Dispatcher) housekeeping(now Time) {
	if d.set.AskForList && !d.watching && now >= d.askAt {
		d.watching = true
		d.act.Watch(true)
	}
	d.findLate(now)
	d.asking.add(float64(d.askedNow), askingGain)
	d.askedNow = 0
	d.tellers = d.talk.keepUp(now, d.act)
	bad := 0
	for w := range d.toVisit() {
		if w.state == Gone && w.out == 0 {
			d.remove(w)
			continue
		}
		d.doubtPeers(now, w)
		if !d.mayBeSuspect(now, w) && w.state != Gone && len(w.peers) == 0 {
			d.leave(w)
		}
		if w.state == Ready && d.suspect(now, w) {
			bad++
			// A silent worker is asked, where that is allowed, so that it can come back. What our own jobs
			// are worth pays for it: if each asked as it liked, a lost zone would bring a storm of probes.
			if d.set.MayProbe && d.probeSpare >= 1 && w.probing == 0 && now-w.probedAt > 5*tick {
				d.probeSpare--
				w.probing = now
				d.act.Probe(w.id)
			}
		}
	}
	d.compact()
	d.trusting = float64(bad) > distrust*float64(d.ready)
	d.retryHeld(now)
}

// findLate finds how late the jobs of ours are that run, for each of their workers.
func (d *Dispatcher) findLate(now Time) {
	for _, s := range d.started {
		s.attempt().w.late = 0
	}
	d.started = slices.DeleteFunc(d.started, func(s startedAttempt) bool { return s.attempt().over })
	for _, s := range d.started {
		if a, r := s.attempt(), s.request; a.started > 0 {
			a.w.late = max(a.w.late, float64(now-a.started)/max(1, d.runOf(r.Class)*r.size))
		}
	}
}

// heard takes a sign of life.
func (d *Dispatcher) heard(now Time, a *attempt) {
	w := a.w
	if !a.seen {
		a.seen = true
		w.unseen--
		wait := float64(now - a.sent)
		d.dev.add(math.Abs(wait-d.sign.v), gain/4)
		d.sign.add(wait, gain/4)
	}
	w.quietSince = 0
	if w.unseen > 0 {
		w.quietSince = now
	}
}

// mayBeSuspect tells of a worker that suspect may find before anything else happens to it, by the time that
// goes by or by what is learned of others. What its own jobs have shown is past the mark then: as it fades it
// comes nearer to what its kind has shown.
func (d *Dispatcher) mayBeSuspect(now Time, w *worker) bool {
	return w.out > 0 || w.benchUntil > now || w.quietSince > 0 || w.slowN > 2 && w.slowSum > slowBad*w.slowN
}

// suspect tells of a worker that is silent, failing or far slower than its kind. A silent one is
// tried again once in a while, when nothing of ours is out there any more.
func (d *Dispatcher) suspect(now Time, w *worker) bool {
	if w.benchUntil > now {
		return true
	}
	if w.quietSince > 0 && d.sign.n > 0 &&
		float64(now-w.quietSince) > d.sign.v+quietDevs*d.dev.v+float64(d.set.ConnectTimeout) {
		if w.out > 0 || w.benchFor == 0 {
			return true
		}
	}
	return w.slowN > 2 && d.slowness(now, w) > slowBad*max(1, d.kind(w.Kind).slow.v)
}

// shy tells of a worker that has lately failed jobs, for a job that could not be repeated: those that can
// be go first, and show whether it is well again. Probes don't: such a worker answers them.
func (d *Dispatcher) shy(now Time, w *worker, r *request) bool {
	return d.classes[r.Class].Effect == Once && w.faults.faded(now, faultFade) > faultShy
}

// slowness is a worker's running time over the fleet's, its kind's counting until it has shown
// its own; what it has shown fades, so that one that was slow is tried again. A job that runs for very
// long tells before it has ended: a worker that is wearing out ends none for seconds.
func (d *Dispatcher) slowness(now Time, w *worker) float64 {
	k := d.kind(w.Kind).slow
	if k.n == 0 {
		k.v = 1
	}
	fade := math.Exp(-float64(now-w.slowAt) / (20 * max(1, d.meanRun.v)))
	own := (k.v*slowPrior + w.slowSum*fade) / (slowPrior + w.slowN*fade)
	if w.late > lateRuns {
		own = max(own, (k.v*slowPrior+w.late*lateProof)/(slowPrior+lateProof))
	}
	return own
}

// failed counts an error, a broken connection or an unanswered probe. Fast errors keep a worker's
// counts low; without this it would draw every fallback.
func (d *Dispatcher) failed(now Time, w *worker, weight float64) {
	d.visit(w)
	w.errors += (1 - w.errors) * weight
	if w.errors > errorBad {
		w.benchFor = min(max(2*w.benchFor, second/2), 8*second)
		w.benchUntil = now + w.benchFor
	}
}

// ran takes a running time of a job of that expected size.
func (d *Dispatcher) ran(now Time, class int, w *worker, run, size float64) {
	c := &d.classes[class]
	c.run.add(run/size, gain/4)
	ratio := run / size / max(1, c.run.v)
	d.kind(w.Kind).slow.add(ratio, gain/8)
	fade := math.Exp(-float64(now-w.slowAt) / (20 * max(1, d.meanRun.v)))
	w.slowSum, w.slowN, w.slowAt = w.slowSum*fade+min(ratio, 8), w.slowN*fade+1, now
}
