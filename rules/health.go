package rules

// Who may be sent anything: the list, those held out, and workers that are silent, failing or slow, from
// how attempts and probes end.

import (
	"math"
	"slices"
)

func (d *Dispatcher) applyEntry(now Time, e *ListEntry) {
	w := d.byID[e.Worker]
	if w == nil {
		if e.State == Gone {
			return
		}
		w = d.add(e.Worker)
	}
	if e.StartedAt != w.StartedAt || w.state == Gone {
		// A fresh start: what was learned of its load and health is void, and it is cold.
		w.errorRate, w.silentSince, w.ejectedUntil, w.ejectionTime, w.slowCount, w.slowSum, w.recentFailures.n = 0, 0, 0, 0, 0, 0, 0
		w.othersLoad, w.othersLastSeen, w.runningKeys = ewma{}, 0, w.runningKeys[:0]
		w.peerJobs, w.peerSlots = w.peerJobs[:0], 0
		if e.StartedAt != w.StartedAt { // else it came back as it was, and what it was sent still counts
			w.coldTokens, w.coldTokensAt = 0, 0
		}
		if d.kind(e.Kind).foreign < 1 {
			w.probedAt = 0
		}
	}
	d.update(w, *e, max(e.State, d.disabled[ByOperator][w.id], d.disabled[BySites][w.id]))
}

// housekeeping looks after the list, worn-out workers and the health of the whole.
func (d *Dispatcher) housekeeping(now Time) {
	if d.cfg.PullsList && !d.watching && now >= d.pollAt {
		d.watching = true
		d.actions.Watch(true)
	}
	d.updateOverdue(now)
	d.requestsPerTick.add(float64(d.requestsThisTick), trafficGain)
	d.requestsThisTick = 0
	d.reportingPeers = d.reporter.flush(now, d.actions)
	bad := 0
	for w := range d.allMarked() {
		if w.state == Gone && w.outstanding == 0 {
			d.remove(w)
			continue
		}
		d.expirePeerJobs(now, w)
		if !d.mayBecomeSuspect(now, w) && w.state != Gone && len(w.peerJobs) == 0 {
			d.unmark(w)
		}
		if w.state == Ready && d.isSuspect(now, w) {
			bad++
			// A silent worker is asked, where that is allowed, so that it can come back. What our own jobs
			// are worth pays for it: if each asked as it liked, a lost zone would bring a storm of probes.
			if d.cfg.MayProbe && d.probeTokens >= 1 && w.probeSentAt == 0 && now-w.probedAt > 5*tickInterval {
				d.probeTokens--
				w.probeSentAt = now
				d.actions.Probe(w.id)
			}
		}
	}
	d.compact()
	d.panicMode = float64(bad) > panicThreshold*float64(d.readyCount)
	d.retryHeld(now)
}

// findLate finds how late the jobs of ours are that run, for each of their workers.
func (d *Dispatcher) updateOverdue(now Time) {
	for _, s := range d.running {
		s.attempt().w.overdue = 0
	}
	d.running = slices.DeleteFunc(d.running, func(s startedAttempt) bool { return s.attempt().ended })
	for _, s := range d.running {
		if a, r := s.attempt(), s.request; a.startedAt > 0 {
			a.w.overdue = max(a.w.overdue, float64(now-a.startedAt)/max(1, d.expectedRun(r.Class)*r.size))
		}
	}
}

// heard takes a sign of life.
func (d *Dispatcher) recordResponse(now Time, a *attempt) {
	w := a.w
	if !a.acknowledged {
		a.acknowledged = true
		w.unacknowledged--
		wait := float64(now - a.sentAt)
		d.responseDev.add(math.Abs(wait-d.responseTime.v), gain/4)
		d.responseTime.add(wait, gain/4)
	}
	w.silentSince = 0
	if w.unacknowledged > 0 {
		w.silentSince = now
	}
}

// mayBeSuspect tells of a worker that suspect may find before anything else happens to it, by the time that
// goes by or by what is learned of others. What its own jobs have shown is past the mark then: as it fades it
// comes nearer to what its kind has shown.
func (d *Dispatcher) mayBecomeSuspect(now Time, w *worker) bool {
	return w.outstanding > 0 || w.ejectedUntil > now || w.silentSince > 0 || w.slowCount > 2 && w.slowSum > slowSuspectRatio*w.slowCount
}

// suspect tells of a worker that is silent, failing or far slower than its kind. A silent one is
// tried again once in a while, when nothing of ours is out there any more.
func (d *Dispatcher) isSuspect(now Time, w *worker) bool {
	if w.ejectedUntil > now {
		return true
	}
	if w.silentSince > 0 && d.responseTime.n > 0 &&
		float64(now-w.silentSince) > d.responseTime.v+silenceDeviations*d.responseDev.v+float64(d.cfg.ConnectTimeout) {
		if w.outstanding > 0 || w.ejectionTime == 0 {
			return true
		}
	}
	return w.slowCount > 2 && d.slowness(now, w) > slowSuspectRatio*max(1, d.kind(w.Kind).slow.v)
}

// shy tells of a worker that has lately failed jobs, for a job that could not be repeated: those that can
// be go first, and show whether it is well again. Probes don't: such a worker answers them.
func (d *Dispatcher) avoidAfterFailures(now Time, w *worker, r *request) bool {
	return d.classes[r.Class].Effect == Once && w.recentFailures.decayed(now, failureDecayScale) > avoidFailures
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
	own := (k.v*slownessPrior + w.slowSum*fade) / (slownessPrior + w.slowCount*fade)
	if w.overdue > overdueRuns {
		own = max(own, (k.v*slownessPrior+w.overdue*overdueWeight)/(slownessPrior+overdueWeight))
	}
	return own
}

// failed counts an error, a broken connection or an unanswered probe. Fast errors keep a worker's
// counts low; without this it would draw every fallback.
func (d *Dispatcher) recordFailure(now Time, w *worker, weight float64) {
	d.mark(w)
	w.errorRate += (1 - w.errorRate) * weight
	if w.errorRate > ejectErrorRate {
		w.ejectionTime = min(max(2*w.ejectionTime, second/2), 8*second)
		w.ejectedUntil = now + w.ejectionTime
	}
}

// ran takes a running time of a job of that expected size.
func (d *Dispatcher) recordRun(now Time, class int, w *worker, run, size float64) {
	c := &d.classes[class]
	c.run.add(run/size, gain/4)
	ratio := run / size / max(1, c.run.v)
	d.kind(w.Kind).slow.add(ratio, gain/8)
	fade := math.Exp(-float64(now-w.slowAt) / (20 * max(1, d.meanRun.v)))
	w.slowSum, w.slowCount, w.slowAt = w.slowSum*fade+min(ratio, 8), w.slowCount*fade+1, now
}
