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
	paperFull = 8.0 // the paper's tFull and tMajor, in slots: until a capacity is learned
	tMajorPer = 3.0 / paperFull
	queuePart = 0.25 // of its aim that a job may wait at a worker it still counts as not Full [D5]
	busyRatio = 0.75 // tBusy over the learned capacity (the paper: 5 of 8)

	sampleSize = 4   // workers that a scan looks at [D2]
	ownShare   = 4.0 // part of them that is of the own zone at least, by the price of crossing ... [D7]
	ownMost    = 0.5 // ... and at most
	ringPoints = 8   // points on the ring for a worker of mean size
	keysTold   = 12  // running keys remembered for a worker
	tableScale = 16  // table entries kept for each worker of the list
	setLimit   = 64  // workers of one key: more would make the walk of a set a ranking of the fleet

	gain       = 0.1   // weight of a new observation in learned means
	loadGain   = 0.3   // the same for load reports, of which there are fewer
	liesPast   = 8.0   // a report of so many times what is usual is not believed, or not for the fleet
	idleShown  = 0.85  // part of the known capacity from which a report is one of an idle worker
	crowdRuns  = 10.0  // running times in which the fleet's load, as seen, fades when nothing is seen
	usualRuns  = 250.0 // and in which a worker's usual load gives way to the fleet's
	slowPrior  = 6.0   // observations that a worker's kind counts for against its own
	lateRuns   = 4.0   // mean running times after which a job that still runs tells of its worker
	lateProof  = 12.0  // observations that it counts for
	slopePrior = 8.0   // ends after which half of what hints have proved to tell is believed
	sizeLeast  = 0.1   // the least and the most that a hint makes of a job, over its class's mean
	sizeMost   = 20.0
	slowBad    = 2.5 // a worker this much slower than its kind is avoided
	quietDevs  = 4.0 // deviations past the mean sign of life at which silence is suspect
	errorBad   = 0.4 // error rate at which a worker is benched
	faultFade  = 2e6 // a tenth of the time in which a failed job is forgotten, in microseconds
	faultShy   = 0.3 // failed jobs past which a worker gets only jobs that may be repeated
	distrust   = 0.5 // part of the fleet that may be in bad health before health is disregarded

	crossCost  = 12.0 // a worker in another zone counts as dearer by this multiple of the price of crossing
	coldMargin = 0.7  // part of its share of the cold budget that a dispatcher uses
	// The settings' rule on cold workers leaves more slack under so many jobs in TipAfter.
	fewColdJobs = 30
	coldRush    = 2.0   // a rush brings a worker so many times the jobs that are its part
	demandLeast = 0.01  // part of TipAfters
	askingKnown = 10    // ticks after which a dispatcher knows its traffic
	askingGain  = 0.1   // of a tick
	holdPart    = 25    // a request waits for probes for this part of its aim at most
	probeAge    = 0.25  // running times after which a worker is asked again
	waitAge     = 2.0   // and from which a request waits for the answer
	probePay    = 0.006 // service worth spending on probes
	probeMost   = 3.0   // probes for a request in a round
	probeLeast  = 0.1   // part of them that is still asked where all peers tell of their jobs
	probeOwn    = 0.02  // and part of these where no other scheduler sends to our workers
	queueLeast  = 3.0   // a scan goes on where the best of its sample has so many times its slots taken
	tellPart    = 0.3   // part of the slot-time that has to be told to be of use
	tellLeast   = 14.0  // a job is told the peers if its part of the slot-time is this multiple of the price

	retryRuns = 0.5  // running times after which a client that is refused may return
	waitPart  = 0.5  // a job is shed when its wait would take this part of the time it can spare
	shareRoom = 5.0  // requests
	heldLook  = 16   // held requests looked at for each event
	priceUp   = 0.05 // steps of the price of a place, for a job shed and for one placed
	priceDown = 0.02
	priceMost = 0.9 // a job of mean worth for its time is never shed by price
	tick      = 200_000
	second    = 1_000_000.0
)

// New makes a dispatcher. It emits through act, also from within New.
func New(s Settings, seed uint64, now Time, act Actions) *Dispatcher {
	s = s.withDefaults()
	d := &Dispatcher{
		set: s, act: act, bornAt: now, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		registry: newRegistry(s.Kinds, s.WeightsAreSize), requests: map[RequestID]*request{},
		out:   [holders]map[WorkerID]WorkerState{{}, {}},
		table: entries{byKey: map[uint64]*entry{}},
		kinds: newKinds(&s), wakeAt: math.MaxInt64, endLost: mean{0.05, 20},
	}
	for _, c := range s.Classes {
		d.classes = append(d.classes, classStat{Class: c})
	}
	for _, t := range s.Tenants {
		rate := t.QuotaPerS / float64(s.GroupSize)
		d.tenants = append(d.tenants, bucket{rate: rate, left: shareDepth(rate), at: now})
	}
	d.Divide(-1, s.GroupSize, 1) // not at all
	// Calls to the list service are spread: all dispatchers may start at once.
	d.askAt = now + Time(d.rng.Float64()*float64(s.AskWithin)/4)
	d.wakeUp(now, now+tick, nil)
	return d
}

// List takes news of the fleet.
func (d *Dispatcher) List(now Time, l *List) {
	switch l.Form {
	case ListFailed:
		// Asked again, later each time, a list service that is overrun by all at once comes back.
		d.watching = false
		d.askFails = min(d.askFails+1, 4)
		spread := float64(d.set.AskWithin) / 16 * float64(int(1)<<d.askFails)
		d.askAt = now + Time(spread*(0.5+d.rng.Float64()))
		return
	case ListFull, ListCached:
		d.dropUnlisted(l.Entries)
	}
	if l.Form != ListCached {
		d.askFails = 0
	}
	for i := range l.Entries {
		d.listed(now, &l.Entries[i])
	}
	d.retryHeld(now)
}

// Request takes a job; it will get exactly one final answer.
func (d *Dispatcher) Request(now Time, q *Request) {
	if d.requests[q.ID] != nil {
		return
	}
	d.askedNow++
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
	if r.over = d.overShare(now, r.Tenant); !r.over {
		d.classes[r.Class].asked++
		if d.asks++; d.asks > 16/gain { // the older half counts half
			d.asks /= 2
			for i := range d.classes {
				d.classes[i].asked /= 2
			}
		}
	}
	r.size = d.sizeOf(r)
	d.perJob.add(r.Slots, gain/4)
	d.requests[r.ID] = r
	d.wakeUp(now, r.Deadline+d.set.AnswerSlack/4, r)
	if !d.askLoads(now, r) {
		d.place(now, r)
	}
}

// Outcome takes the end of an attempt.
func (d *Dispatcher) Outcome(now Time, o *Outcome) {
	r := d.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].over {
		return
	}
	a := &r.attempts[o.Attempt]
	d.report(now, a.w, &o.Load)
	d.ended(now, r, a, o.Status)
	if o.Closed {
		r.closed = true
		d.withdraw(r)
	} else if !r.closed && r.out == 0 {
		d.goOn(now, r)
	}
	d.forget(r)
	d.retryHeld(now)
}

// Note takes news of an attempt that is still out.
func (d *Dispatcher) Note(now Time, n *Note) {
	r := d.requests[n.Request]
	if r == nil || n.Attempt < 0 || n.Attempt >= len(r.attempts) || r.attempts[n.Attempt].over {
		return
	}
	a := &r.attempts[n.Attempt]
	d.heard(now, a)
	if a.started == 0 {
		if a.started = now; !n.Started {
			// Without start notes the first note of progress tells of the start as well.
			a.started = max(a.sent, now-d.set.ProgressEvery)
		}
		d.started = append(d.started, startedAttempt{r, n.Attempt})
		d.startDelay(now, r, a)
	}
}

// Hangup tells that the request is over.
func (d *Dispatcher) Hangup(now Time, id RequestID) {
	if r := d.requests[id]; r != nil {
		r.closed = true
		d.withdraw(r)
		d.forget(r)
	}
}

// Probed takes the result of a probe.
func (d *Dispatcher) Probed(now Time, p *Probed) {
	w := d.byID[p.Worker]
	if w == nil {
		return
	}
	w.probing, w.probedAt = 0, now
	if p.Status == OK {
		w.errors *= 1 - loadGain
		d.report(now, w, &p.Load)
	} else {
		d.failed(now, w, loadGain)
	}
	waiters := w.waiters
	w.waiters = nil
	for _, r := range waiters {
		if r.probes--; r.probes == 0 && !r.closed && len(r.attempts) == 0 && !r.held {
			d.place(now, r)
			d.forget(r)
		}
	}
}
