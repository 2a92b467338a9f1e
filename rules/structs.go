package rules

// The Dispatcher's state, its requests and attempts. Nothing here decides anything.

import "math/rand/v2"

type kindStat struct {
	cap, slow mean
	senders   float64 // dispatchers that may send to one worker
	foreign   float64 // part of the load there that may be others'
}

// newKinds gives what is known of each kind at the start, and of all together behind them: nothing, and that all
// dispatchers send to its workers.
func newKinds(s *Settings) []kindStat {
	kinds := make([]kindStat, s.Kinds+1)
	for i := range kinds {
		kinds[i] = kindStat{senders: float64(s.GroupSize), foreign: 1}
	}
	return kinds
}

func (d *Dispatcher) kind(k int) *kindStat {
	if k < 0 || k >= d.set.Kinds {
		k = d.set.Kinds
	}
	return &d.kinds[k]
}

type classStat struct {
	Class
	asked float64 // requests lately
	run   mean    // running time, in microseconds, over the whole fleet
	hint  mean    // what clients expect of a job
	fit   slope   // of running times over their mean, on hints over theirs
}

// request is a job that is open, or has attempts out.
type request struct {
	Request
	arrived   Time
	size      float64 // expected running time over its class's mean
	attempts  []attempt
	first     [1]attempt
	out       int
	probes    int // answers of probes waited for
	over      bool
	held      bool
	closed    bool
	streaming bool
}

// bound gives the first attempt that may have run or is still out.
func (r *request) bound() *attempt {
	for i := range r.attempts {
		if !r.attempts[i].never {
			return &r.attempts[i]
		}
	}
	return nil
}

type attempt struct {
	w       *worker
	start   Time // of the worker's process, as listed at the sending
	sent    Time
	begun   bool // the host has asked whether it may begin, and it might
	started Time
	seen    bool // a sign of life came
	over    bool
	never   bool // proved not to have run
	cut     bool // its connection broke: it may run on
	told    bool // to the peers
}

// startedAttempt names an attempt of which a note has told that it runs.
type startedAttempt struct {
	request *request
	number  int
}

func (s startedAttempt) attempt() *attempt { return &s.request.attempts[s.number] }

// verdict of Algorithm 2
type verdict uint8

const (
	accepts verdict = iota
	full
	notMajor
)

// Streaming tells that an answer is on its way to the client: nothing more is owed.
func (d *Dispatcher) Streaming(now Time, id RequestID, attempt int) {
	if r := d.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		d.heard(now, &r.attempts[attempt])
		r.streaming = true
	}
}

// forget lets go of a request that is over and has nothing out.
func (d *Dispatcher) forget(r *request) {
	if r.closed && r.out == 0 {
		delete(d.requests, r.ID)
	}
}

// Hold takes a worker out, draining whatever the list says, or back in; false: it is not listed.
func (d *Dispatcher) Hold(now Time, id WorkerID, by Holder, out bool) bool {
	if delete(d.out[by], id); out {
		d.out[by][id] = Draining // out twice is out once
	}
	if w := d.byID[id]; w != nil && w.state != Gone {
		d.listed(now, &w.ListEntry)
		d.List(now, &List{})
		return true
	}
	return false
}

// Avoided counts the listed workers that get nothing new now, by hand or by choice: held out, or
// benched for their failures. It is a figure for the host's report and decides nothing.
func (d *Dispatcher) Avoided(now Time) (n int) {
	for w := range d.all() {
		if w.state != Gone && (w.state == Draining && w.ListEntry.State == Ready || w.benchUntil > now) {
			n++
		}
	}
	return n
}

// Known is the number of workers that the dispatcher keeps state of. It is a figure for the host and decides nothing.
func (d *Dispatcher) Known() int { return len(d.byID) }

// Occupied gives the slots that all our own jobs take, also at workers that get nothing new, as a part of those of the
// ready workers. It is a figure for the host and decides nothing.
func (d *Dispatcher) Occupied(now Time) float64 {
	taken, slots := 0.0, 0.0
	for w := range d.all() {
		taken += w.own
		if w.state == Ready {
			slots += d.slots(w) * d.warmth(now, w)
		}
	}
	return taken / max(1, slots)
}

// Dispatcher makes the decisions of one dispatcher. See api.go for what its host owes.
type Dispatcher struct {
	set Settings
	act Actions
	rng *rand.Rand

	registry
	kinds         []kindStat
	crowdAt       Time
	capAll, crowd mean // crowd: others' load on a slot, as lately seen anywhere
	trusting      bool // too many workers look bad: health is disregarded

	table      entries
	classes    []classStat
	meanRun    mean
	perJob     mean // slots of a job: reports count jobs
	sign, dev  mean // time to the first sign of life of an attempt, and its deviation
	tenants    []bucket
	requests   map[RequestID]*request
	started    []startedAttempt // those that are out, and such as have ended since the last tick
	held       []*request
	probeSpare float64
	asked      keyCount // requests with keys, as they are counted for each key

	price float64 // density, against the mean, under which jobs are shed when none is available
	asks  float64 // requests within shares, as the classes count them

	talk    talk    // with the peers
	tellers float64 // peers that tell
	endLost mean    // part of the words of their jobs' ends that is lost

	asking        mean // requests in a tick
	askedNow      int  // requests since the last one
	bornAt        Time // when this dispatcher was made
	coldElsewhere bool // another process of ours has our parts of the cold budgets

	heap          wakes
	wakeAt, askAt Time
	watching      bool
	askFails      int
	buf           []*worker                         // the last sample
	samples       uint64                            // so far
	likely        [probeMost + sampleSize]*worker   // whom a request is likely to go to, while it asks
	out           [holders]map[WorkerID]WorkerState // Draining: taken out, whatever the list says
}
