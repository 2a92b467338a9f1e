package rules

// What is known of one worker. Nothing here decides anything.

import "math"

// worker is all that a dispatcher knows of one.
type worker struct {
	ListEntry
	id    WorkerID
	state WorkerState
	hash  uint64
	index int // in registry.workers

	own     float64 // slots of our attempts that are out
	out     int     // attempts out
	unseen  int     // of these, without a sign of life
	running []keyCount
	ownMean float64 // own, smoothed: what a report that is some time old saw of it
	ownAt   Time

	cap        mean    // learned slots
	others     mean    // load of the other dispatchers, in slots
	othersLast float64 // as last seen
	gap        float64 // time between the last two sights, in microseconds
	triedAt    Time
	othersAt   Time
	freeMem    float64
	memAt      Time
	last       Load
	fullUntil  Time // it turned a job away

	slowSum, slowN float64 // running time over its class's mean
	slowAt         Time
	late           float64 // running time over its class's mean of the job of ours that has run longest there
	quietSince     Time    // first send after the last sign of life; 0: none
	errors         float64
	faults         keyCount // jobs that failed there of late
	benchUntil     Time
	benchFor       Time
	probing        Time // a probe is out since; 0: none
	probedAt       Time
	waiters        []*request

	peers []peerJob // what the peers that tell have out there, the oldest first
	told  float64   // its slots

	sampled  uint64  // the last sample that it is in
	tokens   float64 // cold budget, in slot-microseconds
	tokensAt Time
	place    int // ours among those that share the budget of the start placeFor
	placeFor Time
}

// smoothOwn brings ownMean up to now; own is about to change.
func (w *worker) smoothOwn(now Time, run float64) {
	keep := math.Exp(-float64(now-w.ownAt) / max(1, run))
	w.ownMean = w.ownMean*keep + w.own*(1-keep)
	w.ownAt = now
}

func (w *worker) countKey(now Time, key uint64, run float64) {
	w.running = countKey(w.running, keyCount{key, 1, now}, run, keysTold)
}

func hashID(id WorkerID) uint64 { // FNV-1a
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return mix(h)
}
