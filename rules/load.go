package rules

// What a worker can carry and what it has, learned from reports, start notes and what peers tell; and
// whom to ask for it, from how old the last answer is and what a probe costs.

import "math"

// slots is what a worker can run at once, as far as is known.
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

// tooSmall tells of a worker that is known, by itself or by its kind, to lack the slots for a job: it
// would turn the job away as full for ever.
func (d *Dispatcher) lacksSlots(w *worker, need float64) bool {
	known := w.capacity
	if known.n == 0 {
		known = d.kind(w.Kind).capacity
	}
	return known.n > 8 && need > known.v+0.5
}

// warmth is the part of its capacity that a worker surely has by now.
func (d *Dispatcher) warmFraction(now Time, w *worker) float64 {
	if w.StartedAt <= 0 {
		return 1
	}
	age := float64(now-w.StartedAt) / float64(d.cfg.SlowStartWindow)
	return min(1, d.cfg.SlowStartMinCapacity+(1-d.cfg.SlowStartMinCapacity)*max(0, age))
}

// load is the number of slots taken at a worker: our own, counted, and the others', inferred. The
// last report tells of the others while it is fresh; with age their mean does. A worker never seen is
// taken to bear what others were lately seen to bear: at nothing it would win by being unseen. All of it
// fades, or a jam once seen would have everything shed and nothing sent that could tell of its end [D3].
func (d *Dispatcher) load(now Time, w *worker) float64 {
	run, silent := max(1, d.meanRun.v), d.silentFraction()
	told := w.peerSlots / max(minReportedFraction, d.reporter.reportedFraction())
	fade := math.Exp(-float64(now-d.fleetLoadAt) / (fleetLoadDecayRuns * run))
	foreign := d.kind(w.Kind).foreign // of the usual load; what a former owner left fades with its last sight
	crowd := foreign * d.fleetLoad.v * d.slots(w) * fade
	if w.othersLoad.n == 0 {
		return w.ownSlots + told + silent*crowd
	}
	age := float64(now-w.othersSeenAt) / run
	// All dispatchers see the same and act on it at once: where sights are frequent their mean tells more.
	fresh, known := w.observationGap/(w.observationGap+run)*math.Exp(-age), math.Exp(-age/workerLoadDecayRuns)*w.othersLoad.n/(w.othersLoad.n+2)
	usual := known*foreign*w.othersLoad.v*fade + (1-known)*crowd
	return w.ownSlots + told + silent*(fresh*w.othersLastSeen+(1-fresh)*usual)
}

// silent is the part of the peers that tell us nothing: of their load there are only reports.
func (d *Dispatcher) silentFraction() float64 {
	if d.reporter.reportedFraction() < minReportedFraction {
		return 1
	}
	return 1 - d.reportingPeers/max(1, float64(d.cfg.GroupSize-1))
}

// report learns capacity and the others' load from a worker's figures.
func (d *Dispatcher) applyReport(now Time, w *worker, l *Load) {
	// A worker sends the same figures until it makes new ones: only the first sight of them is news.
	if l.Has == 0 || *l == w.lastReport {
		return
	}
	w.lastReport = *l
	w.updateOwnAverage(now, d.meanRun.v)
	inFlight, queued := l.Has&HasInFlight != 0, l.Has&HasQueue != 0
	if l.Has&HasFreeSlots != 0 {
		k := d.kind(w.Kind)
		switch seen := l.FreeSlots + (l.InFlight-l.Queue)*max(1, d.slotsPerJob.v); {
		case k.capacity.n > 8 && seen > implausibleRatio*k.capacity.v:
			return // no worker of its kind is near that: it would draw all there is
		case inFlight && k.capacity.n > 0 && l.InFlight-l.Queue > 2:
			// Jobs have several slots, and how many is told nowhere: a worker that runs a few shows little.
		case inFlight && seen >= 0.5 && (queued || l.FreeSlots >= 0.5):
			w.capacity.add(seen, gain)
			k.capacity.add(seen, gain/4)
			d.fleetCapacity.add(seen, gain/4)
		case !inFlight && l.FreeSlots >= 0.5:
			// Free slots alone bound the capacity from below, and a worker first met under load
			// shows few: the most that workers of the kind show is nearer the truth.
			if k.capacity.n == 0 || l.FreeSlots > k.capacity.v {
				k.capacity.add(l.FreeSlots, loadGain)
				d.fleetCapacity.add(l.FreeSlots, gain/4)
			} else if l.FreeSlots > idleFraction*k.capacity.v {
				k.capacity.add(l.FreeSlots, gain/4) // an idle one, within the noise of reports
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

func (d *Dispatcher) recordOthersLoad(now Time, w *worker, v float64) {
	d.fleetLoad.add(min(v/max(1, d.slots(w)), implausibleRatio), gain/2)
	d.fleetLoadAt = now
	w.othersLoad.add(v, loadGain)
	w.observationGap = float64(now - w.othersSeenAt)
	w.othersLastSeen, w.othersSeenAt = v, now
}

// startDelay learns from a start note, which is fresher than any report: a job that started at
// once found a free slot, one that waited found none and a queue that took so long [D3].
func (d *Dispatcher) recordStartDelay(now Time, r *request, a *attempt) {
	w, run := a.w, max(1, d.meanRun.v)
	slots, others := d.slots(w), d.load(now, w)-w.ownSlots
	if waited := float64(a.startedAt - a.sentAt); waited > run/8 {
		// It bears on the time of the sending: a bound from below, and no more than one job a slot
		// beyond Full, or a wait behind one long job would be read as a jam and shed all that comes.
		others = max(others, slots*(1+min(1, waited/run/d.slowness(now, w)))-w.ownSlots)
	} else {
		others = min(others, max(0, slots-w.ownSlots))
	}
	d.recordOthersLoad(now, w, others)
}

// askLoads probes the request's likely workers where what is known of them is old, and tells whether the
// request waits for the answers. Where workers are asked often that costs more than the fresher view gains;
// a dispatcher that has not asked one for some running times knows nothing that it could choose by.
func (d *Dispatcher) probeLoads(now Time, r *request) bool {
	foreign := d.kind(d.classes[r.Class].Kind).foreign
	per := min(maxProbes, probeBudget/max(1e-9, d.cfg.ProbeCost))
	per *= max(minProbeFraction*max(exclusiveProbeFraction, foreign), foreign*d.silentFraction())
	d.probeTokens = min(d.probeTokens+per, max(16*per, math.Ceil(1-foreign)))
	if !d.cfg.MayProbe || !d.cfg.LoadInProbes || d.cfg.LoadInAnswers {
		return false
	}
	most := int(maxProbes)
	if foreign < 1 {
		most = sampleSize
	}
	asked, likely := 0, d.probeCandidates[:0]
	if e := d.table.byKey[r.Key]; e != nil && r.HasKey {
		likely = append(likely, e.set[:min(len(e.set), maxProbes)]...)
	}
	d.fillSample(r, sampleSize)
	for _, w := range append(likely, d.sampleBuf[:min(len(d.sampleBuf), most)]...) {
		age := float64(now-w.probedAt) / max(1, d.meanRun.v)
		// One that has come to our share may have jobs of whom it was before: it is asked at its first use.
		first := foreign < 1 && w.probedAt == 0
		if d.probeTokens < 1 && !first || asked == most ||
			w.state != Ready || w.probeSentAt == now || age < reprobeRuns {
			continue
		}
		if asked++; w.probeSentAt == 0 {
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
