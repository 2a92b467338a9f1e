package rules

// Choosing a worker: the assigned table, the paper's Algorithms 1 and 2, from each worker's load as
// known (load.go), its health, and a sample of the fleet on a ring.

import (
	"math"
	"slices"
)

// available is the paper's Algorithm 2 over our own counts and the inferred load of the others,
// its thresholds scaled to the worker's present capacity.
func (d *Dispatcher) availability(now Time, w *worker, r *request) availability {
	slots := d.slots(w) * d.warmFraction(now, w)
	n := d.load(now, w) + r.Slots - 1
	spare := queueTargetFraction * float64(d.classes[r.Class].LatencyTarget) / max(1, d.meanRun.v*d.slowness(now, w))
	tFull, tBusy := slots*(1+min(1, spare)), slots*busyFraction
	if n >= tFull || now < w.fullUntil || d.lacksMemory(now, w, r) {
		return full
	}
	if n < tBusy || w.isMajorKey(now, r.Key, majorKeysPerSlot*slots, d.meanRun.v) {
		return accepts
	}
	return notMajor
}

func (d *Dispatcher) lacksMemory(now Time, w *worker, r *request) bool {
	return r.Memory > 0 && w.freeMemAt > 0 && float64(now-w.freeMemAt) < 2*d.meanRun.v && w.freeMem < r.Memory
}

// major tells whether the key ranks among the worker's top tMajor by running jobs. Jobs that have
// ended count for a while, since a dispatcher has only a sliver of a worker's jobs running [D4].
func (w *worker) isMajorKey(now Time, key uint64, tMajor, run float64) bool {
	mine, above := 0.0, 0
	for i := range w.runningKeys {
		if w.runningKeys[i].key == key {
			mine = w.runningKeys[i].decayed(now, run)
		}
	}
	if mine == 0 {
		return false
	}
	for i := range w.runningKeys {
		if w.runningKeys[i].key != key && w.runningKeys[i].decayed(now, run) > mine {
			above++
		}
	}
	return float64(above) < max(1, math.Round(tMajor))
}

// cost orders workers: the load after this job, over what the worker can do, and dearer by the price of
// the way to another zone, which weighs less on a job that is worth more [D7].
func (d *Dispatcher) cost(now Time, w *worker, r *request) float64 {
	slots := max(0.1, d.slots(w)*d.warmFraction(now, w))
	c := (d.load(now, w) + r.Slots) / slots * d.slowness(now, w)
	if w.Zone != d.cfg.Zone {
		worth, _ := d.meanValue()
		c *= 1 + crossZoneWeight*d.cfg.CrossZoneCost*worth/d.jobValue(r.Class, r.size)
	}
	return c
}

// choose is the paper's Algorithm 1. It gives nil where no worker may be sent the request now, and
// queued where every eligible one seems Full and the job joins the least loaded one's queue.
func (d *Dispatcher) chooseWorker(now Time, r *request) (best *worker, queued bool) {
	var e *tableEntry
	var spare *worker // least loaded of all seen, for the queue
	var bestCost, spareCost float64
	// consider takes a worker for the best, or for the queue; pruned: the key is not major at a Busy one.
	consider := func(w *worker) (pruned bool) {
		if !d.maySend(now, r, w) {
			return false
		}
		c, shunned := d.cost(now, w, r), !d.panicMode && (d.isSuspect(now, w) || d.avoidAfterFailures(now, w, r))
		state := d.availability(now, w, r)
		if state == accepts && !shunned && (best == nil || c < bestCost) {
			best, bestCost = w, c
		}
		if shunned {
			c += 1e6 // only if there is no other
		} else if now < w.fullUntil {
			c += 1e3
		}
		if spare == nil || c < spareCost {
			spare, spareCost = w, c
		}
		return state == notMajor && !shunned
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
				kept = append(kept, w) // else gone, or de-assigned
			}
		}
		clear(e.set[len(kept):])
		e.set = kept
		// A key that once went to another zone does not pay for the way for ever: a near worker of the
		// scan that is as good takes it back [D7].
		if best != nil && (best.Zone == d.cfg.Zone || d.cfg.CrossZoneCost == 0) {
			return best, false
		}
	}
	foreign, ready := d.kind(d.classes[r.Class].Kind).foreign, float64(d.readyCount)
	for most, deep := ready*(1-d.silentFraction()*foreign), max(1, widenScanLoad*foreign); ; size *= 4 {
		for _, w := range d.sampleBuf {
			consider(w)
		}
		// All of the sample is taken: further ones are looked at, as far as their load is ours or told. By
		// reports alone all dispatchers would pile onto the few that seem empty [D2].
		if best != nil || float64(size) >= most ||
			spare != nil && d.load(now, spare)+r.Slots <= deep*d.slots(spare)*d.warmFraction(now, spare) {
			break
		}
		d.fillSample(r, 4*size)
	}
	if best == nil {
		return spare, true
	}
	if e != nil && len(e.set) < maxSetSize && !slices.Contains(e.set, best) {
		e.set = append(e.set, best)
	}
	return best, false
}

// spread is the number of workers that a scan looks at: more for a hot key, which fills all of the
// usual sample, by the part of our traffic that it draws. Spreading every key as far would cost
// fetches that the key store may not bear [D2].
func (d *Dispatcher) scanSize(now Time, r *request) int {
	e := d.table.byKey[r.Key]
	if e == nil || !r.HasKey {
		return sampleSize
	}
	part := e.requests.decayed(now, d.meanRun.v) / max(1, d.keyedRequests.decayed(now, d.meanRun.v))
	return max(sampleSize, min(maxSetSize, int(2*part*float64(d.readyCount))))
}

// sample fills buf with the workers that a scan looks at: the first on the ring after the key, so
// that dispatchers that share nothing try the same ones in the same order [D2].
func (d *Dispatcher) fillSample(r *request, size int) {
	d.sampleBuf = d.sampleBuf[:0]
	d.sampleCount++
	if w := d.byID[r.FetchingWorker]; w != nil {
		w.lastSample = d.sampleCount
		d.sampleBuf = append(d.sampleBuf, w) // it has room now, which no report tells as well [D8]
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
	at, _ := slices.BinarySearch(ring, h&^ringIndexMask)
	far := size - int(float64(size)*min(maxOwnZoneFraction, ownZonePerCost*d.cfg.CrossZoneCost)) // places for other zones
	for range min(len(ring), 2*size*pointsPerWorker) {
		if at == len(ring) {
			at = 0
		}
		w := d.workers[ring[at]&ringIndexMask]
		if own := w.Zone == d.cfg.Zone; (own || far > 0) && w.lastSample != d.sampleCount {
			w.lastSample = d.sampleCount
			if !own {
				far--
			}
			if d.sampleBuf = append(d.sampleBuf, w); len(d.sampleBuf) == size {
				return
			}
		}
		at++
	}
}
