package rules

// The Dispatcher's state, its requests and attempts. Nothing here decides anything.

import "math/rand/v2"

type kindStats struct {
	capacity, slow ewma
	senders        float64 // dispatchers that may send to one worker
	foreign        float64 // part of the load there that may be others'
}

// newKinds gives what is known of each kind at the start, and of all together behind them: nothing, and that all
// dispatchers send to its workers.
func newKinds(s *Settings) []kindStats {
	kinds := make([]kindStats, s.Kinds+1)
	for i := range kinds {
		kinds[i] = kindStats{senders: float64(s.GroupSize), foreign: 1}
	}
	return kinds
}

func (d *Dispatcher) kind(k int) *kindStats {
	if k < 0 || k >= d.cfg.Kinds {
		k = d.cfg.Kinds
	}
	return &d.kinds[k]
}

type classStats struct {
	Class
	recentRequests float64 // requests lately
	run            ewma    // running time, in microseconds, over the whole fleet
	hint           ewma    // what clients expect of a job
	hintFit        slope   // of running times over their mean, on hints over theirs
}

// request is a job that is open, or has attempts out.
type request struct {
	Request
	arrived       Time
	size          float64 // expected running time over its class's mean
	attempts      []attempt
	firstAttempt  [1]attempt
	outstanding   int
	pendingProbes int // answers of probes waited for
	overQuota     bool
	held          bool
	closed        bool
	streaming     bool
}

// bound gives the first attempt that may have run or is still out.
func (r *request) firstMayHaveRun() *attempt {
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

type attempt struct {
	w            *worker
	workerStart  Time // of the worker's process, as listed at the sending
	sentAt       Time
	begun        bool // the host has asked whether it may begin, and it might
	startedAt    Time
	acknowledged bool // a sign of life came
	ended        bool
	neverRan     bool // proved not to have run
	connBroke    bool // its connection broke: it may run on
	reported     bool // to the peers
}

// startedAttempt names an attempt of which a note has told that it runs.
type startedAttempt struct {
	request *request
	number  int
}

func (s startedAttempt) attempt() *attempt { return &s.request.attempts[s.number] }

// verdict of Algorithm 2
type availability uint8

const (
	accepts availability = iota
	full
	notMajor
)

// Streaming tells that an answer is on its way to the client: nothing more is owed.
func (d *Dispatcher) Streaming(now Time, id RequestID, attempt int) {
	if r := d.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		d.recordResponse(now, &r.attempts[attempt])
		r.streaming = true
	}
}

// forget lets go of a request that is over and has nothing out.
func (d *Dispatcher) forgetIfEnded(r *request) {
	if r.closed && r.outstanding == 0 {
		delete(d.requests, r.ID)
	}
}

// Hold takes a worker out, draining whatever the list says, or back in; false: it is not listed.
func (d *Dispatcher) SetDisabled(now Time, id WorkerID, by DisabledBy, out bool) bool {
	if delete(d.disabled[by], id); out {
		d.disabled[by][id] = Draining // out twice is out once
	}
	if w := d.byID[id]; w != nil && w.state != Gone {
		d.applyEntry(now, &w.ListEntry)
		d.List(now, &List{})
		return true
	}
	return false
}

// Avoided counts the listed workers that get nothing new now, by hand or by choice: held out, or
// benched for their failures. It is a figure for the host's report and decides nothing.
func (d *Dispatcher) OutOfRotation(now Time) (n int) {
	for w := range d.all() {
		if w.state != Gone && (w.state == Draining && w.ListEntry.State == Ready || w.ejectedUntil > now) {
			n++
		}
	}
	return n
}

// Known is the number of workers that the dispatcher keeps state of. It is a figure for the host and decides nothing.
func (d *Dispatcher) KnownWorkers() int { return len(d.byID) }

// Occupied gives the slots that all our own jobs take, also at workers that get nothing new, as a part of those of the
// ready workers. It is a figure for the host and decides nothing.
func (d *Dispatcher) Utilization(now Time) float64 {
	taken, slots := 0.0, 0.0
	for w := range d.all() {
		taken += w.ownSlots
		if w.state == Ready {
			slots += d.slots(w) * d.warmFraction(now, w)
		}
	}
	return taken / max(1, slots)
}

// Dispatcher makes the decisions of one dispatcher. See api.go for what its host owes.
type Dispatcher struct {
	cfg     Settings
	actions Actions
	rng     *rand.Rand

	registry
	kinds                    []kindStats
	fleetLoadAt              Time
	fleetCapacity, fleetLoad ewma // crowd: others' load on a slot, as lately seen anywhere
	panicMode                bool // too many workers look bad: health is disregarded

	table                     keyTable
	classes                   []classStats
	meanRun                   ewma
	slotsPerJob               ewma // slots of a job: reports count jobs
	responseTime, responseDev ewma // time to the first sign of life of an attempt, and its deviation
	tenants                   []tokenBucket
	requests                  map[RequestID]*request
	running                   []startedAttempt // those that are out, and such as have ended since the last tick
	held                      []*request
	probeTokens               float64
	keyedRequests             decayingCount // requests with keys, as they are counted for each key

	admissionThreshold float64 // density, against the mean, under which jobs are shed when none is available
	recentRequests     float64 // requests within shares, as the classes count them

	reporter       peerReporter // with the peers
	reportingPeers float64      // peers that tell
	endLossRate    ewma         // part of the words of their jobs' ends that is lost

	requestsPerTick   ewma // requests in a tick
	requestsThisTick  int  // requests since the last one
	createdAt         Time // when this dispatcher was made
	coldBudgetYielded bool // another process of ours has our parts of the cold budgets

	timers          timerHeap
	timerAt, pollAt Time
	watching        bool
	pollFailures    int
	sampleBuf       []*worker                               // the last sample
	sampleCount     uint64                                  // so far
	probeCandidates [maxProbes + sampleSize]*worker         // whom a request is likely to go to, while it asks
	disabled        [numDisabledBy]map[WorkerID]WorkerState // Draining: taken out, whatever the list says
}
