package rules

// Constants of the decisions, and the dispatcher's events. The decisions are in choose.go, load.go,
// health.go, cold.go, attempts.go, shed.go and broadcast.go, the interface in api.go, data structures in the
// other files. Workers are assigned by the table of "A Greedy Load Balancing Algorithm on Serverless
// Platforms Maximizing Locality", section 3 ("the paper" below, whose terms Free, Busy, Full, major key
// and de-assign are used here). [Dn] marks departure n from the paper, listed in docs/design.md.

import (
	"math"
	"math/rand/v2"
)

// Thresholds of the paper, scaled to a worker's learned capacity.
const (
	defaultSlots        = 8.0                // the paper's tFull: slots of a worker whose capacity is unknown
	majorKeysPerSlot    = 3.0 / defaultSlots // the paper's tMajor, per slot
	queueTargetFraction = 0.25               // longest wait at a worker not Full, over the target [D5]
	busyFraction        = 0.75               // tBusy over the learned capacity (the paper: 5 of 8)
)

// Sample, ring and table.
const (
	sampleSize = 4 // workers considered by a scan [D2]
	// The part of a sample reserved for workers of the own zone is the cost of crossing zones times
	// ownZonePerCost, at most maxOwnZoneFraction [D7].
	ownZonePerCost     = 4.0
	maxOwnZoneFraction = 0.5
	pointsPerWorker    = 8  // points on the ring for a worker of mean size
	maxRunningKeys     = 12 // running keys remembered for a worker
	entriesPerWorker   = 16 // table entries kept for each listed worker
	maxSetSize         = 64 // workers of one key: with more, walking a set would rank the whole worker list
)

// Learned means and health. A run is the mean running time of a job.
const (
	gain                = 0.1   // weight of a new observation in a learned mean
	loadGain            = 0.3   // the same for load reports, which are fewer
	implausibleRatio    = 8.0   // reports over this multiple of the mean are ignored or clipped
	idleFraction        = 0.85  // of the known capacity free: the report comes from an idle worker
	fleetLoadDecayRuns  = 10.0  // decay time, in runs, of the fleet's mean load without new observations
	workerLoadDecayRuns = 250.0 // runs in which a worker's own mean load gives way to the fleet's
	slownessPrior       = 6.0   // observations that the slowness of a worker's kind counts for
	overdueRuns         = 4.0   // runs after which a job that still runs counts against its worker
	overdueWeight       = 12.0  // observations that such a job counts for
	hintFitPrior        = 8.0   // ended jobs after which the learned fit of hints counts half
	minJobSize          = 0.1   // bounds of a job's size by its hint, relative to the mean of its class
	maxJobSize          = 20.0
	slowSuspectRatio    = 2.5 // a worker slower than its kind by this factor is suspect
	silenceDeviations   = 4.0 // deviations past the mean response time at which silence is suspect
	ejectErrorRate      = 0.4 // error rate above which a worker is ejected
	failureDecayScale   = 2e6 // microseconds; failed jobs decay in ten times as long
	avoidFailures       = 0.3 // decayed count of failed jobs above which a worker gets only repeatable jobs
	panicThreshold      = 0.5 // part of the ready workers that may be suspect before health is ignored
)

// Cost of crossing zones, slow start and probes.
const (
	crossZoneWeight    = 12.0 // a worker in another zone costs more by this multiple of CrossZoneCost
	coldBudgetFraction = 0.7  // part of its share of a cold worker's budget that a dispatcher uses
	// With fewer jobs than this in OverloadWindow, more jobs over a cold worker's budget are tolerated.
	fewColdJobs            = 30
	coldBurstFactor        = 2.0   // a burst brings a worker this multiple of its mean share of the jobs
	minColdDemand          = 0.01  // least part of OverloadWindows with a job for a given worker
	minTrafficTicks        = 10    // ticks after which a dispatcher knows its traffic
	trafficGain            = 0.1   // weight of one tick in the mean of requests per tick
	probeWaitDivisor       = 25    // a request waits for probes for its latency target over this at most
	reprobeRuns            = 0.25  // age of the last probe, in runs, from which a worker is probed again
	awaitProbeRuns         = 2.0   // age in runs from which a request also waits for the result
	probeBudget            = 0.006 // part of the service's value that may be spent on probes
	maxProbes              = 3.0   // probes per request
	minProbeFraction       = 0.1   // part of the probes that remains where all peers report their jobs
	exclusiveProbeFraction = 0.02  // and part of those where no other dispatcher sends to the workers
	widenScanLoad          = 3.0   // a scan widens if its best worker has this multiple of its slots taken
	minReportedFraction    = 0.3   // least part of the slot-time that must be reported for reports to be used
	// A job is reported to the peers if its part of the slot-time is this multiple of the messages' cost.
	reportCostMultiple = 14.0
)

// Admission, timers and units.
const (
	retryAfterRuns    = 0.5  // runs after which a refused client may retry
	maxWaitFraction   = 0.5  // a job is shed when its wait takes this part of the time it can spare
	quotaBurst        = 5.0  // requests of burst beyond two seconds of a tenant's quota
	heldRetryBatch    = 16   // held requests retried per event
	thresholdStepUp   = 0.05 // steps of the admission threshold, for a job shed and for one placed
	thresholdStepDown = 0.02
	maxThreshold      = 0.9         // so that a job of mean value density is never shed by the threshold
	tickInterval      = 200_000     // microseconds between two rounds of housekeeping
	second            = 1_000_000.0 // microseconds
)

// New returns a dispatcher that emits its actions through actions, also from within New. Equal settings,
// seeds and events give equal actions.
func New(s Settings, seed uint64, now Time, actions Actions) *Dispatcher {
	s = s.withDefaults()
	d := &Dispatcher{
		cfg: s, actions: actions, createdAt: now, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		registry: newRegistry(s.Kinds, s.WeightsAreSize), requests: map[RequestID]*request{},
		disabled: [numDisabledBy]map[WorkerID]WorkerState{{}, {}},
		table:    keyTable{byKey: map[uint64]*tableEntry{}},
		kinds:    newKinds(&s), timerAt: math.MaxInt64, endLossRate: ewma{0.05, 20},
	}
	for _, c := range s.Classes {
		d.classes = append(d.classes, classStats{Class: c})
	}
	for _, t := range s.Tenants {
		rate := t.QuotaPerS / float64(s.GroupSize)
		d.tenants = append(d.tenants, tokenBucket{rate: rate, tokens: quotaDepth(rate), refilledAt: now})
	}
	d.SetSharing(-1, s.GroupSize, 1) // every dispatcher sends to every worker
	// The first poll of the list is spread over time, since all dispatchers may start at once.
	d.pollAt = now + Time(d.rng.Float64()*float64(s.PollWithin)/4)
	d.setTimer(now, now+tickInterval, nil)
	return d
}

// List applies an update of the worker list.
func (d *Dispatcher) List(now Time, l *List) {
	switch l.Form {
	case ListFailed:
		// Exponential backoff with jitter lets a list service recover that all dispatchers overload at
		// once.
		d.watching = false
		d.pollFailures = min(d.pollFailures+1, 4)
		spread := float64(d.cfg.PollWithin) / 16 * float64(int(1)<<d.pollFailures)
		d.pollAt = now + Time(spread*(0.5+d.rng.Float64()))
		return
	case ListFull, ListCached:
		d.setUnlistedGone(l.Entries)
	}
	if l.Form != ListCached {
		d.pollFailures = 0
	}
	for i := range l.Entries {
		d.applyEntry(now, &l.Entries[i])
	}
	d.retryHeld(now)
}

// Request accepts a job, which gets exactly one final answer. A repeated id is ignored.
func (d *Dispatcher) Request(now Time, req *Request) {
	if d.requests[req.ID] != nil {
		return
	}
	d.requestsThisTick++
	r := &request{Request: *req, arrived: now}
	if r.Class < 0 || r.Class >= len(d.classes) {
		r.Class = len(d.classes) - 1
	}
	if r.Slots <= 0 {
		r.Slots = 1
	}
	if !r.HasKey {
		r.Key = d.rng.Uint64() // no set of its own: the scan starts at a random point
	}
	if r.overQuota = d.exceedsQuota(now, r.Tenant); !r.overQuota {
		d.classes[r.Class].recentRequests++
		if d.recentRequests++; d.recentRequests > 16/gain { // older requests lose weight
			d.recentRequests /= 2
			for i := range d.classes {
				d.classes[i].recentRequests /= 2
			}
		}
	}
	r.size = d.relativeSize(r)
	d.slotsPerJob.add(r.Slots, gain/4)
	d.requests[r.ID] = r
	d.setTimer(now, r.Deadline+d.cfg.AnswerSlack/4, r)
	if !d.probeLoads(now, r) {
		d.place(now, r)
	}
}

// Outcome records the end of an attempt. Outcomes of unknown or ended attempts are ignored.
func (d *Dispatcher) Outcome(now Time, o *Outcome) {
	r := d.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := &r.attempts[o.Attempt]
	d.applyReport(now, a.w, &o.Load)
	d.attemptEnded(now, r, a, o.Status)
	if o.Closed {
		r.closed = true
		d.cancelAttempts(r)
	} else if !r.closed && r.outstanding == 0 {
		d.retryOrGiveUp(now, r)
	}
	d.forgetIfEnded(r)
	d.retryHeld(now)
}

// Progress records a worker's report on an outstanding attempt.
func (d *Dispatcher) Progress(now Time, p *Progress) {
	r := d.requests[p.Request]
	if r == nil || p.Attempt < 0 || p.Attempt >= len(r.attempts) || r.attempts[p.Attempt].ended {
		return
	}
	a := &r.attempts[p.Attempt]
	d.recordResponse(now, a)
	if a.startedAt == 0 {
		if a.startedAt = now; !p.Started {
			// Without reports of starts, the first report of progress dates the start.
			a.startedAt = max(a.sentAt, now-d.cfg.ProgressInterval)
		}
		d.running = append(d.running, startedAttempt{r, p.Attempt})
		d.recordStartDelay(now, r, a)
	}
}

// ClientDisconnected ends a request whose client has disconnected or cancelled it.
func (d *Dispatcher) ClientDisconnected(now Time, id RequestID) {
	if r := d.requests[id]; r != nil {
		r.closed = true
		d.cancelAttempts(r)
		d.forgetIfEnded(r)
	}
}

// Probed records the result of a probe, and places the requests that waited for it.
func (d *Dispatcher) Probed(now Time, p *ProbeResult) {
	w := d.byID[p.Worker]
	if w == nil {
		return
	}
	w.probeSentAt, w.probedAt = 0, now
	if p.Status == OK {
		w.errorRate *= 1 - loadGain
		d.applyReport(now, w, &p.Load)
	} else {
		d.recordFailure(now, w, loadGain)
	}
	waiters := w.waiters
	w.waiters = nil
	for _, r := range waiters {
		if r.pendingProbes--; r.pendingProbes == 0 && !r.closed && len(r.attempts) == 0 && !r.held {
			d.place(now, r)
			d.forgetIfEnded(r)
		}
	}
}
