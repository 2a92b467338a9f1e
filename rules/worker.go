package rules

// What is known of one worker. No decisions are made here.

import "math"

// worker is a worker's list entry and all that a dispatcher knows of it.
type worker struct {
	ListEntry
	id    WorkerID
	state WorkerState // by the list and by what disables it
	hash  uint64
	index int // in registry.workers

	ownSlots       float64 // slots of this dispatcher's outstanding attempts
	outstanding    int     // this dispatcher's attempts that have not ended
	unacknowledged int     // of these, without a response
	runningKeys    []decayingCount
	ownAverage     float64 // ownSlots, smoothed: about what a delayed load report includes of it
	ownAverageAt   Time

	capacity       ewma    // learned slots
	othersLoad     ewma    // load of the other dispatchers, in slots
	othersLastSeen float64 // last observation of it
	observationGap float64 // time between the last two observations, in microseconds
	triedAt        Time    // last probe request, of this dispatcher or a peer
	othersSeenAt   Time    // time of the last observation
	freeMem        float64
	freeMemAt      Time
	lastReport     Load
	fullUntil      Time // counts as Full until then, since it refused a job

	slowSum, slowCount float64 // decayed sum and count of running times over their class's mean
	slowAt             Time
	overdue            float64 // longest running time so far of an own job there, over the expected one
	silentSince        Time    // first send after the last response; 0: none
	errorRate          float64
	recentFailures     decayingCount // failed jobs
	ejectedUntil       Time
	ejectionTime       Time // length of the last ejection; doubles with each
	probeSentAt        Time // when the outstanding probe was sent; 0: none
	probedAt           Time // last probe result
	waiters            []*request

	peerJobs  []peerJob // outstanding jobs reported by peers, the oldest first
	peerSlots float64   // slots that they take

	lastSample      uint64  // number of the last sample that it is in
	coldTokens      float64 // token bucket of the cold budget, in slot-microseconds
	coldTokensAt    Time
	coldPosition    int  // this dispatcher's position among those that share the cold budget ...
	coldPositionFor Time // ... of the start at this time
}

// updateOwnAverage updates ownAverage to now, with a time constant of run microseconds. It is called before
// ownSlots changes.
func (w *worker) updateOwnAverage(now Time, run float64) {
	keep := math.Exp(-float64(now-w.ownAverageAt) / max(1, run))
	w.ownAverage = w.ownAverage*keep + w.ownSlots*(1-keep)
	w.ownAverageAt = now
}

// countRunningKey counts a job of the key that is sent to the worker.
func (w *worker) countRunningKey(now Time, key uint64, run float64) {
	w.runningKeys = addKeyCount(w.runningKeys, decayingCount{key, 1, now}, run, maxRunningKeys)
}

// hashID hashes a worker's id, with FNV-1a and a finaliser, equally in all dispatchers.
func hashID(id WorkerID) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return mixHash(h)
}
