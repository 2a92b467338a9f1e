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

	ownSlots       float64 // slots of our attempts that are out
	outstanding    int     // attempts out
	unacknowledged int     // of these, without a sign of life
	runningKeys    []decayingCount
	ownAverage     float64 // own, smoothed: what a report that is some time old saw of it
	ownAverageAt   Time

	capacity       ewma    // learned slots
	othersLoad     ewma    // load of the other dispatchers, in slots
	othersLastSeen float64 // as last seen
	observationGap float64 // time between the last two sights, in microseconds
	triedAt        Time
	othersSeenAt   Time
	freeMem        float64
	freeMemAt      Time
	lastReport     Load
	fullUntil      Time // it turned a job away

	slowSum, slowCount float64 // running time over its class's mean
	slowAt             Time
	overdue            float64 // running time over its class's mean of the job of ours that has run longest there
	silentSince        Time    // first send after the last sign of life; 0: none
	errorRate          float64
	recentFailures     decayingCount // jobs that failed there of late
	ejectedUntil       Time
	ejectionTime       Time
	probeSentAt        Time // a probe is out since; 0: none
	probedAt           Time
	waiters            []*request

	peerJobs  []peerJob // what the peers that tell have out there, the oldest first
	peerSlots float64   // its slots

	lastSample      uint64  // the last sample that it is in
	coldTokens      float64 // cold budget, in slot-microseconds
	coldTokensAt    Time
	coldPosition    int // ours among those that share the budget of the start placeFor
	coldPositionFor Time
}

// smoothOwn brings ownMean up to now; own is about to change.
func (w *worker) updateOwnAverage(now Time, run float64) {
	keep := math.Exp(-float64(now-w.ownAverageAt) / max(1, run))
	w.ownAverage = w.ownAverage*keep + w.ownSlots*(1-keep)
	w.ownAverageAt = now
}

func (w *worker) countRunningKey(now Time, key uint64, run float64) {
	w.runningKeys = addKeyCount(w.runningKeys, decayingCount{key, 1, now}, run, maxRunningKeys)
}

func hashID(id WorkerID) uint64 { // FNV-1a
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return mixHash(h)
}
