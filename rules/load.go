package rules

// Capacity and load of workers, learned from load reports, reports of starts and peer broadcasts; and which
// workers to probe for them, by the age of the last probe and the cost of a new one.

import "math"

// slots returns a worker's capacity in slots: learned from itself, its kind or all workers, or the default.
func (d *Dispatcher) slots(w *worker) float64 {
	if w.capacity.n > 0 {
		return w.capacity.v
	}
	if k := d.kind(w.Kind); k.capacity.n > 0 {
		return k.capacity.v
	}
	if d.fleetCapacity.n > 0 {
		return d.fleetCapacity.v
	}
	return defaultSlots
}

// lacksSlots reports whether a worker is known, by itself or by its kind, to have fewer slots than a job
// needs: it would refuse the job as full forever.
func (d *Dispatcher) lacksSlots(w *worker, need float64) bool {
	known := w.capacity
	if known.n == 0 {
		known = d.kind(w.Kind).capacity
	}
	return known.n > 8 && need > known.v+0.5
}

// warmFraction returns the part of its capacity that a worker has at least by now in its slow start.
func (d *Dispatcher) warmFraction(now Time, w *worker) float64 {
	if w.StartedAt <= 0 {
		return 1
	}
	age := float64(now-w.StartedAt) / float64(d.cfg.SlowStartWindow)
	return min(1, d.cfg.SlowStartMinCapacity+(1-d.cfg.SlowStartMinCapacity)*max(0, age))
}

// load returns the estimated number of slots taken at a worker: those of this dispatcher's own jobs, which
// are counted, and those of the other dispatchers' jobs, which are inferred. A recent observation counts
// for the others by itself, an older one gives way to their mean. A worker never observed counts with the
// mean load recently observed anywhere: counted as empty, it would be preferred for being unknown.
// Everything inferred decays, since after one observed overload all jobs would be shed and none sent that
// could show its end [D3].
func (d *Dispatcher) load(now Time, w *worker) float64 {
	run, silent := max(1, d.meanRun.v), d.silentFraction()
	reported := w.peerSlots / max(minReportedFraction, d.reporter.reportedFraction())
	decay := math.Exp(-float64(now-d.fleetLoadAt) / (fleetLoadDecayRuns * run))
	// Applies to the mean load only; load that a former owner left decays with its last observation.
	foreign := d.kind(w.Kind).foreign
	fleetLoad := foreign * d.fleetLoad.v * d.slots(w) * decay
	if w.othersLoad.n == 0 {
		return w.ownSlots + reported + silent*fleetLoad
	}
	age := float64(now-w.othersSeenAt) / run
	// All dispatchers get the same observation and act on it at the same time: where observations are
	// frequent, their mean predicts the load better than the last one.
	fresh, known := w.observationGap/(w.observationGap+run)*math.Exp(-age),
		math.Exp(-age/workerLoadDecayRuns)*w.othersLoad.n/(w.othersLoad.n+2)
	mean := known*foreign*w.othersLoad.v*decay + (1-known)*fleetLoad
	return w.ownSlots + reported + silent*(fresh*w.othersLastSeen+(1-fresh)*mean)
}

// silentFraction returns the part of the peers that broadcast nothing: their load is known from load
// reports only.
func (d *Dispatcher) silentFraction() float64 {
	if d.reporter.reportedFraction() < minReportedFraction {
		return 1
	}
	return 1 - d.reportingPeers/max(1, float64(d.cfg.GroupSize-1))
}

// applyReport updates the capacity of a worker and the other dispatchers' load there from its load report.
func (d *Dispatcher) applyReport(now Time, w *worker, l *Load) {
	// A worker repeats its figures until it computes new ones: only the first copy is an observation.
	if l.Has == 0 || *l == w.lastReport {
		return
	}
	w.lastReport = *l
	w.updateOwnAverage(now, d.meanRun.v)
	inFlight, queued := l.Has&HasInFlight != 0, l.Has&HasQueue != 0
	if l.Has&HasFreeSlots != 0 {
		k := d.kind(w.Kind)
		switch capacity := l.FreeSlots + (l.InFlight-l.Queue)*max(1, d.slotsPerJob.v); {
		case k.capacity.n > 8 && capacity > implausibleRatio*k.capacity.v:
			return // no worker of its kind is close to that, and if believed it would get all the jobs
		case inFlight && k.capacity.n > 0 && l.InFlight-l.Queue > 2:
			// Reports count jobs, not the slots that each takes: with several jobs running the capacity is
			// a guess.
		case inFlight && capacity >= 0.5 && (queued || l.FreeSlots >= 0.5):
			w.capacity.add(capacity, gain)
			k.capacity.add(capacity, gain/4)
			d.fleetCapacity.add(capacity, gain/4)
		case !inFlight && l.FreeSlots >= 0.5:
			// Free slots alone are a lower bound of the capacity, and a worker first seen under load has
			// few: the maximum over the workers of the kind is closer to it.
			if k.capacity.n == 0 || l.FreeSlots > k.capacity.v {
				k.capacity.add(l.FreeSlots, loadGain)
				d.fleetCapacity.add(l.FreeSlots, gain/4)
			} else if l.FreeSlots > idleFraction*k.capacity.v {
				k.capacity.add(l.FreeSlots, gain/4) // an idle worker, within the noise of reports
			}
		}
	}
	total := -1.0
	switch {
	case inFlight:
		total = l.InFlight * max(1, d.slotsPerJob.v)
	case l.Has&HasFreeSlots != 0:
		total = d.slots(w) - l.FreeSlots + l.Queue*max(1, d.slotsPerJob.v)
	case l.Has&HasUtil != 0:
		total = l.Util*d.slots(w) + l.Queue
	}
	if total >= 0 {
		d.recordOthersLoad(now, w, max(0, total-w.ownAverage))
	}
	if l.Has&HasFreeMem != 0 {
		w.freeMem, w.freeMemAt = l.FreeMem, now
	}
}

// recordOthersLoad records an observation of the other dispatchers' load at a worker, in slots.
func (d *Dispatcher) recordOthersLoad(now Time, w *worker, slots float64) {
	d.fleetLoad.add(min(slots/max(1, d.slots(w)), implausibleRatio), gain/2)
	d.fleetLoadAt = now
	w.othersLoad.add(slots, loadGain)
	w.observationGap = float64(now - w.othersSeenAt)
	w.othersLastSeen, w.othersSeenAt = slots, now
}

// recordStartDelay updates the load of a worker from the report of a job's start, which is more recent than
// any load report: a job that started at once found a free slot, one that waited found a queue of that
// length in time [D3].
func (d *Dispatcher) recordStartDelay(now Time, r *request, a *attempt) {
	w, run := a.w, max(1, d.meanRun.v)
	slots, others := d.slots(w), d.load(now, w)-w.ownSlots
	if waited := float64(a.startedAt - a.sentAt); waited > run/8 {
		// The wait shows the load at the time of the send, so it is a lower bound. It is limited to one
		// waiting job per slot: otherwise a wait behind one long job would count as an overload, and all
		// further jobs would be shed.
		others = max(others, slots*(1+min(1, waited/run/d.slowness(now, w)))-w.ownSlots)
	} else {
		others = min(others, max(0, slots-w.ownSlots))
	}
	d.recordOthersLoad(now, w, others)
}

// probeLoads probes the workers that the request is likely to go to, where the last probe is old enough,
// and reports whether the request waits for the results. Where workers are probed often, waiting costs more
// than the more recent load gains; a dispatcher that has not probed a worker for several running times has
// nothing to choose by.
func (d *Dispatcher) probeLoads(now Time, r *request) bool {
	foreign := d.kind(d.classes[r.Class].Kind).foreign
	perRequest := min(maxProbes, probeBudget/max(1e-9, d.cfg.ProbeCost))
	perRequest *= max(minProbeFraction*max(exclusiveProbeFraction, foreign), foreign*d.silentFraction())
	d.probeTokens = min(d.probeTokens+perRequest, max(16*perRequest, math.Ceil(1-foreign)))
	if !d.cfg.MayProbe || !d.cfg.LoadInProbes || d.cfg.LoadInAnswers {
		return false
	}
	limit := int(maxProbes)
	if foreign < 1 {
		limit = sampleSize
	}
	probed, likely := 0, d.probeCandidates[:0]
	if e := d.table.byKey[r.Key]; e != nil && r.HasKey {
		likely = append(likely, e.set[:min(len(e.set), maxProbes)]...)
	}
	d.fillSample(r, sampleSize)
	for _, w := range append(likely, d.sampleBuf[:min(len(d.sampleBuf), limit)]...) {
		age := float64(now-w.probedAt) / max(1, d.meanRun.v)
		// A worker new to this dispatcher's share may run jobs of its former owner: it is probed at first
		// use.
		first := foreign < 1 && w.probedAt == 0
		if d.probeTokens < 1 && !first || probed == limit ||
			w.state != Ready || w.probeSentAt == now || age < reprobeRuns {
			continue
		}
		if probed++; w.probeSentAt == 0 {
			if w.probeSentAt = now; !first {
				d.probeTokens--
			}
			d.actions.Probe(w.id)
		}
		if age > awaitProbeRuns {
			r.pendingProbes++
			w.waiters = append(w.waiters, r)
		}
	}
	if r.pendingProbes > 0 {
		d.setTimer(now, now+d.classes[r.Class].LatencyTarget/probeWaitDivisor, r)
	}
	return r.pendingProbes > 0
}
