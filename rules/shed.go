package rules

// Admission: which requests are placed, held or refused, by the wait at the cheapest worker, the job's
// value per slot-time, and its tenant's quota.

// place sends the request to the chosen worker, sheds it, or holds it while there is no worker. It returns
// false in the last case.
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
		shed = d.load(now, w)+r.Slots > busyFraction*d.slots(w)*d.warmFraction(now, w) &&
			d.relativeDensity(r) < d.admissionThreshold
	}
	if shed && r.outstanding == 0 && d.mayRefuse(r) {
		target := d.probeRequestTarget(now, r)
		if target == nil || !queued {
			d.refuse(now, r, Shed)
			return true
		}
		w = target
	}
	d.send(now, r, w)
	return true
}

// probeRequestTarget returns the worker of the sample that has had no observation of its load and no probe
// request for the longest time, if that is long enough to send it, as a probe request, a job that would
// otherwise be shed. Where only a send can show that an overload is over, one observed overload would
// otherwise shed everything forever. All dispatchers together send a worker fewer than one such job per
// mean running time [D6].
func (d *Dispatcher) probeRequestTarget(now Time, r *request) (oldest *worker) {
	if r.overQuota {
		return nil
	}
	last := now - Time(d.meanRun.v*(10+d.kind(d.classes[r.Class].Kind).senders))
	for _, w := range d.sampleBuf {
		if seen := max(w.othersSeenAt, w.triedAt); seen < last &&
			!d.isSuspect(now, w) && d.maySend(now, r, w) {
			oldest, last = w, seen
		}
	}
	if oldest != nil {
		oldest.triedAt = now
	}
	return oldest
}

// shouldShed reports whether the request is to be shed because even w, the cheapest worker, would start it
// too late to earn its value, or because its value is below the admission threshold. Jobs of low value
// per slot-time, among them those beyond a tenant's quota, are shed at shorter waits, so that an
// overloaded fleet runs the jobs of highest value [D6].
func (d *Dispatcher) shouldShed(now Time, r *request, w *worker) bool {
	c := &d.classes[r.Class]
	if d.meanRun.n < 8 {
		return false
	}
	slots := max(0.1, d.slots(w)*d.warmFraction(now, w))
	slowness := d.slowness(now, w)
	wait := max(0, d.load(now, w)+r.Slots-slots) / slots * d.meanRun.v * slowness
	slack := float64(c.LatencyTarget-(now-r.arrived)) + (c.TargetStretch-slowness)*c.run.v*r.size
	// The threshold rises when a job above it would wait too long, and falls with each job that finds a
	// worker that accepts it: in lasting overload, jobs of low value leave the slots to those of high value
	// instead of both sharing the refusals [D6].
	density := d.relativeDensity(r)
	if wait > slack*maxWaitFraction && density >= d.admissionThreshold {
		d.admissionThreshold = min(maxThreshold, d.admissionThreshold+thresholdStepUp)
	}
	return wait > slack*maxWaitFraction*min(1, density) || density < d.admissionThreshold
}

// meanValue returns the mean value and the mean expected slot-time, in microseconds, of the recent requests
// within quotas.
func (d *Dispatcher) meanValue() (value, slotTime float64) {
	n := 0.0
	for i := range d.classes {
		n += d.classes[i].recentRequests
		value += d.classes[i].recentRequests * d.jobValue(i, 1)
		slotTime += d.classes[i].recentRequests * d.expectedRun(i)
	}
	return value / max(1, n), slotTime / max(1, n)
}

// jobValue returns the value of a job of the class and size.
func (d *Dispatcher) jobValue(class int, size float64) float64 {
	if d.cfg.ValueByWork {
		return d.classes[class].Value * d.expectedRun(class) * size
	}
	return d.classes[class].Value
}

// relativeDensity returns the job's value density over that of the recent requests; 1 if that is unknown.
func (d *Dispatcher) relativeDensity(r *request) float64 {
	value, slotTime := d.meanValue()
	if value == 0 {
		return 1
	}
	return d.valueDensity(r) * slotTime / value
}

// valueDensity returns the job's value per microsecond of slot-time.
func (d *Dispatcher) valueDensity(r *request) float64 {
	density := d.jobValue(r.Class, r.size) / max(1, d.jobCost(r))
	if r.overQuota {
		density *= d.cfg.OverQuotaValue
	}
	return density
}

// quotaDepth returns the depth of a tenant's token bucket at one dispatcher, in requests: two seconds of
// its rate, in requests per second, plus a constant burst for the random clusters of a very low rate.
func quotaDepth(rate float64) float64 { return 2*rate + quotaBurst }

// exceedsQuota counts a request against its tenant's quota and reports whether it is beyond it. Unknown
// tenants have no quota.
func (d *Dispatcher) exceedsQuota(now Time, tenant int) bool {
	if tenant < 0 || tenant >= len(d.tenants) || d.tenants[tenant].rate == 0 {
		return false
	}
	return !d.tenants[tenant].take(now, quotaDepth(d.tenants[tenant].rate))
}

// refuse ends the request with a refusal. Where the settings allow, the refusal states when to retry: after
// a random part of the mean running time, or after MaxRetryAfter beyond the tenant's quota.
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

// fail ends the request with a failure, since an attempt may have run.
func (d *Dispatcher) fail(r *request, why Reason) {
	r.closed = true
	d.actions.Fail(r.ID, why)
	d.cancelAttempts(r)
}
