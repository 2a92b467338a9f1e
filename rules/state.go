package rules

// State of the Dispatcher, its requests and attempts. No decisions are made here.

import "math/rand/v2"

// kindStats is what is known of the workers of one kind.
type kindStats struct {
	capacity, slow ewma    // mean slots of a worker, and mean running time over that of all kinds
	senders        float64 // dispatchers that may send to one worker
	foreign        float64 // part of the load of a worker, 0 to 1, that may be of other dispatchers
}

// newKinds returns the initial stats of each kind, followed by those of all kinds together: nothing is learned
// yet, and all dispatchers send to every worker.
func newKinds(s *Settings) []kindStats {
	kinds := make([]kindStats, s.Kinds+1)
	for i := range kinds {
		kinds[i] = kindStats{senders: float64(s.GroupSize), foreign: 1}
	}
	return kinds
}

// kind returns the stats of a kind; those of all kinds together for an unknown one.
func (d *Dispatcher) kind(k int) *kindStats {
	if k < 0 || k >= d.cfg.Kinds {
		k = d.cfg.Kinds
	}
	return &d.kinds[k]
}

// classStats is a class and what is known of its jobs.
type classStats struct {
	Class
	recentRequests float64 // requests within quotas, older ones at a lower weight
	run            ewma    // running time of a job, in microseconds, over all workers
	hint           ewma    // hint of a job, in microseconds
	hintFit        slope   // of running times over their mean, on hints over their mean
}

// request is a job that is open or has outstanding attempts.
type request struct {
	Request
	arrived       Time
	size          float64 // expected running time over its class's mean
	attempts      []attempt
	firstAttempt  [1]attempt // memory of attempts while there is one
	outstanding   int        // attempts that have not ended
	pendingProbes int        // probes whose results the request waits for
	overQuota     bool       // beyond its tenant's quota
	held          bool       // in Dispatcher.held: it may be sent to no worker now
	closed        bool       // it has its final answer, or its client has disconnected
	streaming     bool       // its answer is on its way to the client
}

// firstMayHaveRun returns the first attempt that may have run or is outstanding; nil if there is none.
func (r *request) firstMayHaveRun() *attempt {
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// attempt is one send of a request to a worker.
type attempt struct {
	w            *worker
	workerStart  Time // start of the worker's process, as listed at the send
	sentAt       Time
	begun        bool // Begin has returned true
	startedAt    Time // the job's start, as reported; 0: not reported
	acknowledged bool // the worker has responded
	ended        bool
	neverRan     bool // proved not to have run
	connBroke    bool // its connection broke: it may still be running
	reported     bool // its send was reported to the peers
}

// startedAttempt identifies an attempt whose worker has reported its start or progress.
type startedAttempt struct {
	request *request
	index   int // in request.attempts
}

func (s startedAttempt) attempt() *attempt { return &s.request.attempts[s.index] }

// availability is the result of the paper's Algorithm 2 for a worker and a key.
type availability uint8

const (
	accepts  availability = iota // Free, or Busy and the key is major there
	full                         // Full
	notMajor                     // Busy, and the key is not major there
)

// Streaming records that an attempt's answer is on its way to the client: no further attempt of the request is sent,
// its timers do nothing, and no attempt of it is cancelled.
func (d *Dispatcher) Streaming(now Time, id RequestID, attempt int) {
	if r := d.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		d.recordResponse(now, &r.attempts[attempt])
		r.streaming = true
	}
}

// forgetIfEnded removes a closed request without outstanding attempts.
func (d *Dispatcher) forgetIfEnded(r *request) {
	if r.closed && r.outstanding == 0 {
		delete(d.requests, r.ID)
	}
}

// SetDisabled disables a worker, which then counts as draining whatever the list says, or enables it again.
// Disabling a worker twice has no further effect. It reports whether the worker is listed; the setting is
// kept also if it is not.
func (d *Dispatcher) SetDisabled(now Time, id WorkerID, by DisabledBy, disabled bool) bool {
	if delete(d.disabled[by], id); disabled {
		d.disabled[by][id] = Draining
	}
	if w := d.byID[id]; w != nil && w.state != Gone {
		d.applyEntry(now, &w.ListEntry)
		d.List(now, &List{})
		return true
	}
	return false
}

// OutOfRotation returns the number of listed workers that get no new jobs although the list calls them ready
// (disabled ones), or because of failures (ejected ones). It is a figure for the host's metrics.
func (d *Dispatcher) OutOfRotation(now Time) (n int) {
	for w := range d.all() {
		if w.state != Gone && (w.state == Draining && w.ListEntry.State == Ready || w.ejectedUntil > now) {
			n++
		}
	}
	return n
}

// KnownWorkers returns the number of workers that the dispatcher keeps state of. It is a figure for the host's
// metrics.
func (d *Dispatcher) KnownWorkers() int { return len(d.byID) }

// Utilization returns the slots that this dispatcher's own jobs take, also at workers that get no new jobs, over
// the slots of the ready workers. It is a figure for the host's metrics.
func (d *Dispatcher) Utilization(now Time) float64 {
	used, slots := 0.0, 0.0
	for w := range d.all() {
		used += w.ownSlots
		if w.state == Ready {
			slots += d.slots(w) * d.warmFraction(now, w)
		}
	}
	return used / max(1, slots)
}

// Dispatcher makes the decisions of one dispatcher. See the package comment for the contract of its host.
type Dispatcher struct {
	cfg     Settings
	actions Actions
	rng     *rand.Rand

	registry
	kinds                    []kindStats // by kind, then all kinds together
	fleetLoadAt              Time        // last observation that fleetLoad has
	fleetCapacity, fleetLoad ewma        // slots of a worker, and other dispatchers' load per slot, over all workers
	panicMode                bool        // too many workers are suspect: health is ignored

	table                     keyTable
	classes                   []classStats
	meanRun                   ewma // running time of this dispatcher's jobs, in microseconds
	slotsPerJob               ewma // load reports count jobs
	responseTime, responseDev ewma // time from a send to the worker's first response, and its mean deviation
	tenants                   []tokenBucket
	requests                  map[RequestID]*request
	running                   []startedAttempt // not ended, or ended since the last tick
	held                      []*request       // open requests that may be sent to no worker now
	probeTokens               float64          // probes that may be sent now
	keyedRequests             decayingCount    // requests with keys, decayed like those of each key

	admissionThreshold float64 // value density, over the mean, below which jobs are shed under load
	recentRequests     float64 // the sum of the classes'

	reporter       peerReporter
	reportingPeers float64 // number of peers that broadcast
	endLossRate    ewma    // part of the peers' reports of ends that is lost

	requestsPerTick   ewma
	requestsThisTick  int
	createdAt         Time
	coldBudgetYielded bool // another process of this dispatcher uses its shares of the cold budgets

	timers          timerHeap
	timerAt, pollAt Time // when the host's timer is due, and when the list is polled next
	watching        bool // subscribed to the list, or the call is outstanding
	pollFailures    int
	sampleBuf       []*worker                               // the last sample
	sampleCount     uint64                                  // samples so far
	probeCandidates [maxProbes + sampleSize]*worker         // scratch memory of probeLoads
	disabled        [numDisabledBy]map[WorkerID]WorkerState // Draining for each disabled worker
}
