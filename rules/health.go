package rules

// Health of workers: the states of the list, disabled workers, and workers that are suspect because they
// are silent, failing or slow, as seen from how attempts and probes end.

import (
	"math"
	"slices"
)

// applyEntry updates one worker to its entry of the list and to the directives that disable it.
func (d *Dispatcher) applyEntry(now Time, e *ListEntry) {
	w := d.byID[e.Worker]
	if w == nil {
		if e.State == Gone {
			return
		}
		w = d.add(e.Worker)
	}
	if e.StartedAt != w.StartedAt || w.state == Gone {
		// A new process: nothing learned of the worker's load and health holds any more, and it is cold.
		w.errorRate, w.silentSince, w.ejectedUntil, w.ejectionTime, w.slowCount, w.slowSum,
			w.recentFailures.n = 0, 0, 0, 0, 0, 0, 0
		w.othersLoad, w.othersLastSeen, w.runningKeys = ewma{}, 0, w.runningKeys[:0]
		w.peerJobs, w.peerSlots = w.peerJobs[:0], 0
		if e.StartedAt != w.StartedAt { // otherwise it is the same process, and what it was sent still counts
			w.coldTokens, w.coldTokensAt = 0, 0
		}
		if d.kind(e.Kind).foreign < 1 {
			w.probedAt = 0
		}
	}
	d.update(w, *e, max(e.State, d.disabled[ByOperator][w.id], d.disabled[BySites][w.id]))
}

// housekeeping runs once per tick. It subscribes to the list, checks the health of the marked workers and
// of the whole fleet, probes suspect workers, flushes reports to peers, and retries held requests.
func (d *Dispatcher) housekeeping(now Time) {
	if d.cfg.PullsList && !d.watching && now >= d.pollAt {
		d.watching = true
		d.actions.Watch(true)
	}
	d.updateOverdue(now)
	d.requestsPerTick.add(float64(d.requestsThisTick), trafficGain)
	d.requestsThisTick = 0
	d.reportingPeers = d.reporter.flush(now, d.actions)
	suspects := 0
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
			suspects++
			// A suspect worker is probed, if that is allowed, so that it can recover. The probes are
			// limited by the budget that this dispatcher's jobs earn: if each dispatcher probed freely, a
			// lost zone would cause a storm of probes.
			if d.cfg.MayProbe && d.probeTokens >= 1 && w.probeSentAt == 0 &&
				now-w.probedAt > 5*tickInterval {
				d.probeTokens--
				w.probeSentAt = now
				d.actions.Probe(w.id)
			}
		}
	}
	d.compact()
	d.panicMode = float64(suspects) > panicThreshold*float64(d.readyCount)
	d.retryHeld(now)
}

// updateOverdue sets, for each worker with running jobs of this dispatcher, the longest running time among
// them over the expected one.
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

// recordResponse records that the attempt's worker has responded: it is not silent any more.
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

// mayBecomeSuspect reports whether isSuspect can turn true without another event at the worker, as time
// passes or the means of other workers change. Housekeeping has to visit such a worker. A worker found slow
// by its own jobs is one only while their mean is past the limit: as it decays it approaches that of its
// kind.
func (d *Dispatcher) mayBecomeSuspect(now Time, w *worker) bool {
	return w.outstanding > 0 || w.ejectedUntil > now || w.silentSince > 0 ||
		w.slowCount > 2 && w.slowSum > slowSuspectRatio*w.slowCount
}

// isSuspect reports whether a worker is ejected, silent, or far slower than its kind. A silent worker may be
// sent a job again after each ejection, once this dispatcher has no outstanding attempt there.
func (d *Dispatcher) isSuspect(now Time, w *worker) bool {
	if w.ejectedUntil > now {
		return true
	}
	if w.silentSince > 0 && d.responseTime.n > 0 && float64(now-w.silentSince) >
		d.responseTime.v+silenceDeviations*d.responseDev.v+float64(d.cfg.ConnectTimeout) {
		if w.outstanding > 0 || w.ejectionTime == 0 {
			return true
		}
	}
	return w.slowCount > 2 && d.slowness(now, w) > slowSuspectRatio*max(1, d.kind(w.Kind).slow.v)
}

// avoidAfterFailures reports whether a job that must not be repeated avoids a worker that has recently
// failed jobs. Repeatable jobs are sent there first and show whether it has recovered. Probes can't show
// that: such a worker answers them.
func (d *Dispatcher) avoidAfterFailures(now Time, w *worker, r *request) bool {
	return d.classes[r.Class].Effect == Once &&
		w.recentFailures.decayed(now, failureDecayScale) > avoidFailures
}

// slowness returns a worker's running time over the mean of all workers. The slowness of its kind counts as
// a prior until the worker has ended jobs, and again as those decay, so that a worker that was slow is used
// again. A job that runs very long counts before it has ended, since a worker that is wearing out may end
// no job for seconds.
func (d *Dispatcher) slowness(now Time, w *worker) float64 {
	k := d.kind(w.Kind).slow
	if k.n == 0 {
		k.v = 1
	}
	decay := math.Exp(-float64(now-w.slowAt) / (20 * max(1, d.meanRun.v)))
	own := (k.v*slownessPrior + w.slowSum*decay) / (slownessPrior + w.slowCount*decay)
	if w.overdue > overdueRuns {
		own = max(own, (k.v*slownessPrior+w.overdue*overdueWeight)/(slownessPrior+overdueWeight))
	}
	return own
}

// recordFailure counts an error, a broken connection or an unanswered probe with the weight, and ejects the
// worker above an error rate. A worker that fails fast has a low load and would otherwise get all the jobs.
func (d *Dispatcher) recordFailure(now Time, w *worker, weight float64) {
	d.mark(w)
	w.errorRate += (1 - w.errorRate) * weight
	if w.errorRate > ejectErrorRate {
		w.ejectionTime = min(max(2*w.ejectionTime, second/2), 8*second)
		w.ejectedUntil = now + w.ejectionTime
	}
}

// recordRun records the running time, in microseconds, of a job of that class and expected size.
func (d *Dispatcher) recordRun(now Time, class int, w *worker, run, size float64) {
	c := &d.classes[class]
	c.run.add(run/size, gain/4)
	ratio := run / size / max(1, c.run.v)
	d.kind(w.Kind).slow.add(ratio, gain/8)
	decay := math.Exp(-float64(now-w.slowAt) / (20 * max(1, d.meanRun.v)))
	w.slowSum, w.slowCount, w.slowAt = w.slowSum*decay+min(ratio, 8), w.slowCount*decay+1, now
}
