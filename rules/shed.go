package rules

// Admission: what is placed, held or refused, from the wait at the least loaded worker, a job's worth
// for its slot-time, and its tenant's share.

// place sends the request to the worker that the table gives, sheds it, or holds it.
func (d *Dispatcher) place(now Time, r *request) bool {
	w, queued := d.chooseWorker(now, r)
	if w == nil {
		if r.outstanding == 0 && !r.held {
			r.held = true
			d.held = append(d.held, r)
		}
		return false
	}
	shed := false
	if queued {
		shed = d.shouldShed(now, r, w)
	} else {
		d.admissionThreshold *= 1 - thresholdStepDown
		shed = d.load(now, w)+r.Slots > busyFraction*d.slots(w)*d.warmFraction(now, w) && d.relativeDensity(r) < d.admissionThreshold
	}
	if shed && r.outstanding == 0 && d.mayRefuse(r) {
		t := d.probeRequestTarget(now, r)
		if t == nil || !queued {
			d.refuse(now, r, Shed)
			return true
		}
		w = t
	}
	d.send(now, r, w)
	return true
}

// trial gives a worker that the job, which would be shed, may as well try: one not seen for long. A
// jam once seen would otherwise last for ever where nothing but a send can tell of its end. All
// dispatchers together try a worker less than once in a running time [D6].
func (d *Dispatcher) probeRequestTarget(now Time, r *request) (oldest *worker) {
	if r.overQuota {
		return nil
	}
	last := now - Time(d.meanRun.v*(10+d.kind(d.classes[r.Class].Kind).senders))
	for _, w := range d.sampleBuf {
		if seen := max(w.othersSeenAt, w.triedAt); seen < last && !d.isSuspect(now, w) && d.maySend(now, r, w) {
			oldest, last = w, seen
		}
	}
	if oldest != nil {
		oldest.triedAt = now
	}
	return oldest
}

// hopeless tells of a request that even the least loaded worker would start too late to be of
// worth. Jobs of little worth for the slot-time they take, and with them what a tenant sends beyond
// its share, are shed at shorter waits, so that a fleet that can't do all does what counts [D6].
func (d *Dispatcher) shouldShed(now Time, r *request, w *worker) bool {
	c := &d.classes[r.Class]
	if d.meanRun.n < 8 {
		return false
	}
	slots := max(0.1, d.slots(w)*d.warmFraction(now, w))
	slow := d.slowness(now, w)
	wait := max(0, d.load(now, w)+r.Slots-slots) / slots * d.meanRun.v * slow
	slack := float64(c.LatencyTarget-(now-r.arrived)) + (c.TargetStretch-slow)*c.run.v*r.size
	// The price rises when a job that is worth it finds no time, and falls with each that does: in
	// lasting overload cheap jobs leave the slots to dear ones instead of sharing the refusals [D6].
	rel := d.relativeDensity(r)
	if wait > slack*maxWaitFraction && rel >= d.admissionThreshold {
		d.admissionThreshold = min(maxThreshold, d.admissionThreshold+thresholdStepUp)
	}
	return wait > slack*maxWaitFraction*min(1, rel) || rel < d.admissionThreshold
}

// usual gives the mean worth, and slot-time at present costs, of what is asked for lately within shares.
func (d *Dispatcher) meanValue() (worth, cost float64) {
	n := 0.0
	for i := range d.classes {
		n += d.classes[i].recentRequests
		worth += d.classes[i].recentRequests * d.jobValue(i, 1)
		cost += d.classes[i].recentRequests * d.expectedRun(i)
	}
	return worth / max(1, n), cost / max(1, n)
}

// worthOf is what a job of a class and size is worth.
func (d *Dispatcher) jobValue(class int, size float64) float64 {
	if d.cfg.ValueByWork {
		return d.classes[class].Value * d.expectedRun(class) * size
	}
	return d.classes[class].Value
}

// relWorth compares a job's density with that of what is usual.
func (d *Dispatcher) relativeDensity(r *request) float64 {
	worth, cost := d.meanValue()
	if worth == 0 {
		return 1
	}
	return d.valueDensity(r) * cost / worth
}

// density is a job's worth for the slot-time it takes.
func (d *Dispatcher) valueDensity(r *request) float64 {
	per := d.jobValue(r.Class, r.size) / max(1, d.jobCost(r))
	if r.overQuota {
		per *= d.cfg.OverQuotaValue
	}
	return per
}

// shareDepth is how far a tenant may run ahead of its share at one dispatcher: two seconds of it,
// and room for the chance clusters of a share that is a request now and then.
func quotaDepth(rate float64) float64 { return 2*rate + quotaBurst }

// overShare counts the request against its tenant's share and tells whether it is beyond.
func (d *Dispatcher) exceedsQuota(now Time, tenant int) bool {
	if tenant < 0 || tenant >= len(d.tenants) || d.tenants[tenant].rate == 0 {
		return false
	}
	return !d.tenants[tenant].take(now, quotaDepth(d.tenants[tenant].rate))
}

func (d *Dispatcher) refuse(now Time, r *request, why Reason) {
	r.closed = true
	after := Time(0)
	if d.cfg.RetryAfter {
		if after = Time(retryAfterRuns * d.meanRun.v * (0.5 + d.rng.Float64())); r.overQuota {
			after = d.cfg.MaxRetryAfter
		}
	}
	d.actions.Refuse(r.ID, after, why)
	d.cancelAttempts(r)
}

func (d *Dispatcher) fail(r *request, why Reason) {
	r.closed = true
	d.actions.Fail(r.ID, why)
	d.cancelAttempts(r)
}
