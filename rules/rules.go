package rules

// The decisions of a dispatcher: constants and events here; choose.go, load.go, health.go, cold.go,
// attempts.go, shed.go and tell.go by concern. The interface is in api.go, plain data structures in
// the other files. The mechanism is the assigned table of "A Greedy Load Balancing Algorithm on
// Serverless Platforms Maximizing Locality", section 3, in its words; [Dn]: departure n of docs/design.md.

import (
	"math"
	"math/rand/v2"
)

const (
	defaultSlots        = 8.0 // the paper's tFull and tMajor, in slots: until a capacity is learned
	majorKeysPerSlot    = 3.0 / defaultSlots
	queueTargetFraction = 0.25 // of its aim that a job may wait at a worker it still counts as not Full [D5]
	busyFraction        = 0.75 // tBusy over the learned capacity (the paper: 5 of 8)

	sampleSize         = 4   // workers that a scan looks at [D2]
	ownZonePerCost     = 4.0 // part of them that is of the own zone at least, by the price of crossing ... [D7]
	maxOwnZoneFraction = 0.5 // ... and at most
	pointsPerWorker    = 8   // points on the ring for a worker of mean size
	maxRunningKeys     = 12  // running keys remembered for a worker
	entriesPerWorker   = 16  // table entries kept for each worker of the list
	maxSetSize         = 64  // workers of one key: more would make the walk of a set a ranking of the fleet

	gain                = 0.1   // weight of a new observation in learned means
	loadGain            = 0.3   // the same for load reports, of which there are fewer
	implausibleRatio    = 8.0   // a report of so many times what is usual is not believed, or not for the fleet
	idleFraction        = 0.85  // part of the known capacity from which a report is one of an idle worker
	fleetLoadDecayRuns  = 10.0  // running times in which the fleet's load, as seen, fades when nothing is seen
	workerLoadDecayRuns = 250.0 // and in which a worker's usual load gives way to the fleet's
	slownessPrior       = 6.0   // observations that a worker's kind counts for against its own
	overdueRuns         = 4.0   // mean running times after which a job that still runs tells of its worker
	overdueWeight       = 12.0  // observations that it counts for
	hintFitPrior        = 8.0   // ends after which half of what hints have proved to tell is believed
	minJobSize          = 0.1   // the least and the most that a hint makes of a job, over its class's mean
	maxJobSize          = 20.0
	slowSuspectRatio    = 2.5 // a worker this much slower than its kind is avoided
	silenceDeviations   = 4.0 // deviations past the mean sign of life at which silence is suspect
	ejectErrorRate      = 0.4 // error rate at which a worker is benched
	failureDecayScale   = 2e6 // a tenth of the time in which a failed job is forgotten, in microseconds
	avoidFailures       = 0.3 // failed jobs past which a worker gets only jobs that may be repeated
	panicThreshold      = 0.5 // part of the fleet that may be in bad health before health is disregarded

	crossZoneWeight    = 12.0 // a worker in another zone counts as dearer by this multiple of the price of crossing
	coldBudgetFraction = 0.7  // part of its share of the cold budget that a dispatcher uses
	// The settings' rule on cold workers leaves more slack under so many jobs in TipAfter.
	fewColdJobs            = 30
	coldBurstFactor        = 2.0   // a rush brings a worker so many times the jobs that are its part
	minColdDemand          = 0.01  // part of TipAfters
	minTrafficTicks        = 10    // ticks after which a dispatcher knows its traffic
	trafficGain            = 0.1   // of a tick
	probeWaitDivisor       = 25    // a request waits for probes for this part of its aim at most
	reprobeRuns            = 0.25  // running times after which a worker is asked again
	awaitProbeRuns         = 2.0   // and from which a request waits for the answer
	probeBudget            = 0.006 // service worth spending on probes
	maxProbes              = 3.0   // probes for a request in a round
	minProbeFraction       = 0.1   // part of them that is still asked where all peers tell of their jobs
	exclusiveProbeFraction = 0.02  // and part of these where no other scheduler sends to our workers
	widenScanLoad          = 3.0   // a scan goes on where the best of its sample has so many times its slots taken
	minReportedFraction    = 0.3   // part of the slot-time that has to be told to be of use
	reportCostMultiple     = 14.0  // a job is told the peers if its part of the slot-time is this multiple of the price

	retryAfterRuns    = 0.5  // running times after which a client that is refused may return
	maxWaitFraction   = 0.5  // a job is shed when its wait would take this part of the time it can spare
	quotaBurst        = 5.0  // requests
	heldRetryBatch    = 16   // held requests looked at for each event
	thresholdStepUp   = 0.05 // steps of the price of a place, for a job shed and for one placed
	thresholdStepDown = 0.02
	maxThreshold      = 0.9 // a job of mean worth for its time is never shed by price
	tickInterval      = 200_000
	second            = 1_000_000.0
)

// New makes a dispatcher. It emits through act, also from within New.
func New(s Settings, seed uint64, now Time, act Actions) *Dispatcher {
	s = s.withDefaults()
	d := &Dispatcher{
		cfg: s, actions: act, createdAt: now, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
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
	d.SetSharing(-1, s.GroupSize, 1) // not at all
	// Calls to the list service are spread: all dispatchers may start at once.
	d.pollAt = now + Time(d.rng.Float64()*float64(s.PollWithin)/4)
	d.setTimer(now, now+tickInterval, nil)
	return d
}

// List takes news of the fleet.
func (d *Dispatcher) List(now Time, l *List) {
	switch l.Form {
	case ListFailed:
		// Asked again, later each time, a list service that is overrun by all at once comes back.
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

// Request takes a job; it will get exactly one final answer.
func (d *Dispatcher) Request(now Time, q *Request) {
	if d.requests[q.ID] != nil {
		return
	}
	d.requestsThisTick++
	r := &request{Request: *q, arrived: now}
	if r.Class < 0 || r.Class >= len(d.classes) {
		r.Class = len(d.classes) - 1
	}
	if r.Slots <= 0 {
		r.Slots = 1
	}
	if !r.HasKey {
		r.Key = d.rng.Uint64() // no set of its own: a scan from a random place
	}
	if r.overQuota = d.exceedsQuota(now, r.Tenant); !r.overQuota {
		d.classes[r.Class].recentRequests++
		if d.recentRequests++; d.recentRequests > 16/gain { // the older half counts half
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

// Outcome takes the end of an attempt.
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

// Note takes news of an attempt that is still out.
func (d *Dispatcher) Progress(now Time, n *Progress) {
	r := d.requests[n.Request]
	if r == nil || n.Attempt < 0 || n.Attempt >= len(r.attempts) || r.attempts[n.Attempt].ended {
		return
	}
	a := &r.attempts[n.Attempt]
	d.recordResponse(now, a)
	if a.startedAt == 0 {
		if a.startedAt = now; !n.Started {
			// Without start notes the first note of progress tells of the start as well.
			a.startedAt = max(a.sentAt, now-d.cfg.ProgressInterval)
		}
		d.running = append(d.running, startedAttempt{r, n.Attempt})
		d.recordStartDelay(now, r, a)
	}
}

// Hangup tells that the request is over.
func (d *Dispatcher) ClientDisconnected(now Time, id RequestID) {
	if r := d.requests[id]; r != nil {
		r.closed = true
		d.cancelAttempts(r)
		d.forgetIfEnded(r)
	}
}

// Probed takes the result of a probe.
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
