package rules

// Choice of a worker: the assigned table with the paper's Algorithms 1 and 2, over each worker's
// estimated load (load.go), its health (health.go) and a sample of the workers on a hash ring.

import (
	"math"
	"slices"
)

// availability is the paper's Algorithm 2. It counts this dispatcher's own jobs and the estimated load of
// the others, with thresholds scaled to the worker's present capacity.
func (d *Dispatcher) availability(now Time, w *worker, r *request) availability {
	slots := d.slots(w) * d.warmFraction(now, w)
	n := d.load(now, w) + r.Slots - 1
	// Jobs per slot that can wait within a part of the latency target.
	queue := queueTargetFraction * float64(d.classes[r.Class].LatencyTarget) /
		max(1, d.meanRun.v*d.slowness(now, w))
	tFull, tBusy := slots*(1+min(1, queue)), slots*busyFraction
	if n >= tFull || now < w.fullUntil || d.lacksMemory(now, w, r) {
		return full
	}
	if n < tBusy || w.isMajorKey(now, r.Key, majorKeysPerSlot*slots, d.meanRun.v) {
		return accepts
	}
	return notMajor
}

// lacksMemory reports whether the worker's last report, if recent, shows too little free memory for the
// job.
func (d *Dispatcher) lacksMemory(now Time, w *worker, r *request) bool {
	return r.Memory > 0 && w.freeMemAt > 0 && float64(now-w.freeMemAt) < 2*d.meanRun.v && w.freeMem < r.Memory
}

// isMajorKey reports whether the key is among the worker's tMajor keys with most running jobs. Ended jobs
// count with a decay over the mean running time run, in microseconds, since a dispatcher sees only its own
// small part of the jobs that run at a worker [D4].
func (w *worker) isMajorKey(now Time, key uint64, tMajor, run float64) bool {
	count, higher := 0.0, 0
	for i := range w.runningKeys {
		if w.runningKeys[i].key == key {
			count = w.runningKeys[i].decayed(now, run)
		}
	}
	if count == 0 {
		return false
	}
	for i := range w.runningKeys {
		if w.runningKeys[i].key != key && w.runningKeys[i].decayed(now, run) > count {
			higher++
		}
	}
	return float64(higher) < max(1, math.Round(tMajor))
}

// cost ranks workers, the cheapest first: the load with this job over the worker's present capacity, times
// its slowness. In another zone it rises by the cost of crossing, which is one per request and so weighs
// less on a job of higher value [D7].
func (d *Dispatcher) cost(now Time, w *worker, r *request) float64 {
	slots := max(0.1, d.slots(w)*d.warmFraction(now, w))
	c := (d.load(now, w) + r.Slots) / slots * d.slowness(now, w)
	if w.Zone != d.cfg.Zone {
		value, _ := d.meanValue()
		c *= 1 + crossZoneWeight*d.cfg.CrossZoneCost*value/d.jobValue(r.Class, r.size)
	}
	return c
}

// chooseWorker is the paper's Algorithm 1. It returns nil if the request may not be sent to any worker now,
// and queued if every eligible worker seems Full: the job then joins the queue of the cheapest one.
func (d *Dispatcher) chooseWorker(now Time, r *request) (best *worker, queued bool) {
	var e *tableEntry
	var fallback *worker // cheapest of all considered, whose queue is joined if none accepts
	var bestCost, fallbackCost float64
	// consider updates best and fallback. It reports whether Algorithm 2 de-assigns the worker from the
	// key: it is Busy, and the key is not major there.
	consider := func(w *worker) (deassigned bool) {
		if !d.maySend(now, r, w) {
			return false
		}
		c, avoided := d.cost(now, w, r),
			!d.panicMode && (d.isSuspect(now, w) || d.avoidAfterFailures(now, w, r))
		state := d.availability(now, w, r)
		if state == accepts && !avoided && (best == nil || c < bestCost) {
			best, bestCost = w, c
		}
		if avoided {
			c += 1e6 // above every cost: chosen only if there is no other
		} else if now < w.fullUntil {
			c += 1e3 // it has just refused a job: chosen only before the avoided ones
		}
		if fallback == nil || c < fallbackCost {
			fallback, fallbackCost = w, c
		}
		return state == notMajor && !avoided
	}
	size := d.scanSize(now, r)
	d.fillSample(r, size)
	if r.HasKey {
		e = d.table.touch(r.Key, max(256, entriesPerWorker*len(d.byID)))
		e.requests.increment(now, d.meanRun.v)
		d.keyedRequests.increment(now, d.meanRun.v)
		kept := e.set[:0]
		for _, w := range e.set {
			if w.state == Ready && !consider(w) {
				kept = append(kept, w) // the others are not ready, or de-assigned
			}
		}
		clear(e.set[len(kept):])
		e.set = kept
		// If the best of the set is in another zone, the scan may replace it by an equally good worker of
		// the own zone: a key that once moved away would pay for crossing forever [D7].
		if best != nil && (best.Zone == d.cfg.Zone || d.cfg.CrossZoneCost == 0) {
			return best, false
		}
	}
	foreign, ready := d.kind(d.classes[r.Class].Kind).foreign, float64(d.readyCount)
	for maxSize, maxLoad := ready*(1-d.silentFraction()*foreign), max(1, widenScanLoad*foreign); ; size *= 4 {
		for _, w := range d.sampleBuf {
			consider(w)
		}
		// If the whole sample is Full the scan is widened, by the part of the load that is known exactly:
		// own jobs and those reported by peers. By load reports alone, all dispatchers would pick the same
		// few workers that seem empty [D2].
		if best != nil || float64(size) >= maxSize || fallback != nil &&
			d.load(now, fallback)+r.Slots <= maxLoad*d.slots(fallback)*d.warmFraction(now, fallback) {
			break
		}
		d.fillSample(r, 4*size)
	}
	if best == nil {
		return fallback, true
	}
	if e != nil && len(e.set) < maxSetSize && !slices.Contains(e.set, best) {
		e.set = append(e.set, best)
	}
	return best, false
}

// scanSize returns the number of workers that a scan considers. A hot key, which fills the whole default
// sample, gets more, in proportion to its part of this dispatcher's traffic. Spreading every key as far
// would cause more fetches than the key store can serve [D2].
func (d *Dispatcher) scanSize(now Time, r *request) int {
	e := d.table.byKey[r.Key]
	if e == nil || !r.HasKey {
		return sampleSize
	}
	part := e.requests.decayed(now, d.meanRun.v) / max(1, d.keyedRequests.decayed(now, d.meanRun.v))
	return max(sampleSize, min(maxSetSize, int(2*part*float64(d.readyCount))))
}

// fillSample fills sampleBuf with the workers that a scan considers: the first ones on the ring after the
// key, so that dispatchers that share no state try the same workers in the same order [D2].
func (d *Dispatcher) fillSample(r *request, size int) {
	d.sampleBuf = d.sampleBuf[:0]
	d.sampleCount++
	if w := d.byID[r.FetchingWorker]; w != nil {
		w.lastSample = d.sampleCount
		d.sampleBuf = append(d.sampleBuf, w) // it has free capacity now, which no report shows as surely [D8]
	}
	k := d.classes[r.Class].Kind + 1
	if k < 0 || k >= len(d.rings) {
		k = 0
	}
	ring := d.ring(k)
	if len(ring) == 0 {
		return
	}
	h := mixHash(r.Key)
	i, _ := slices.BinarySearch(ring, h&^ringIndexMask)
	// Places left for workers of other zones.
	crossZone := size - int(float64(size)*min(maxOwnZoneFraction, ownZonePerCost*d.cfg.CrossZoneCost))
	for range min(len(ring), 2*size*pointsPerWorker) {
		if i == len(ring) {
			i = 0
		}
		w := d.workers[ring[i]&ringIndexMask]
		if own := w.Zone == d.cfg.Zone; (own || crossZone > 0) && w.lastSample != d.sampleCount {
			w.lastSample = d.sampleCount
			if !own {
				crossZone--
			}
			if d.sampleBuf = append(d.sampleBuf, w); len(d.sampleBuf) == size {
				return
			}
		}
		i++
	}
}
