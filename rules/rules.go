package rules

// The decisions of a dispatcher, all of them, with their constants. The interface (settings,
// events, actions, what the host owes) is in api.go. The mechanism is the assigned table of "A
// Greedy Load Balancing Algorithm on Serverless Platforms Maximizing Locality", section 3, in the
// paper's words; [Dn] marks departure n of docs/design.md.
//
// Sections: constants, events, workers, table, cold budget, attempts, answers. Plain data structures
// (heap and timer, order of use, hashes) are in structs.go; nothing there decides.

import (
	"math"
	"math/rand/v2"
	"slices"
)

// ---- Constants: ratios, or counts taken from the paper.

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

	crossCost  = 12.0  // a worker in another zone counts as dearer by this multiple of the price of crossing
	coldMargin = 0.5   // part of its share of the cold budget that a dispatcher uses
	holdPart   = 25    // a request waits for probes for this part of its aim at most
	probeAge   = 0.25  // running times after which a worker is asked again
	waitAge    = 2.0   // and from which a request waits for the answer
	probePay   = 0.006 // service worth spending on probes
	probeLeast = 0.1   // part of them that is still asked where all peers tell of their jobs
	queueLeast = 3.0   // a scan goes on where the best of its sample has so many times its slots taken
	tellPart   = 0.3   // part of the slot-time that has to be told to be of use
	tellLeast  = 14.0  // a job is told the peers if its part of the slot-time is this multiple of the price
	probeMost  = 3.0   // probes for a request in a round

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

// Dispatcher makes the decisions of one dispatcher. See api.go for what its host owes.
type Dispatcher struct {
	set Settings
	act Actions
	rng *rand.Rand

	byID          map[WorkerID]*worker
	workers       []*worker // in order of first listing
	ready         int
	rings         [][]uint64 // by kind, 0 for any; nil until asked for
	ringOf        []*worker  // the workers that ring points name
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
	held       []*request
	probeSpare float64
	asked      keyCount // requests with keys, as they are counted for each key

	price float64 // density, against the mean, under which jobs are shed when none is available
	asks  float64 // requests within shares, as the classes count them

	talk    talk    // with the peers
	tellers float64 // peers that tell
	tags    map[uint16][]*worker

	heap          wakes
	wakeAt, askAt Time
	watching      bool
	askFails      int
	buf           []*worker
	out           [holders]map[WorkerID]WorkerState // Draining: taken out, whatever the list says
}

// New makes a dispatcher. It emits through act, also from within New.
func New(s Settings, seed uint64, now Time, act Actions) *Dispatcher {
	s = s.withDefaults()
	d := &Dispatcher{
		set: s, act: act, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		byID: map[WorkerID]*worker{}, requests: map[RequestID]*request{},
		out:   [holders]map[WorkerID]WorkerState{{}, {}},
		table: entries{byKey: map[uint64]*entry{}},
		rings: make([][]uint64, s.Kinds+1), kinds: make([]kindStat, s.Kinds+1), wakeAt: math.MaxInt64,
	}
	for _, c := range s.Classes {
		d.classes = append(d.classes, classStat{Class: c})
	}
	for _, t := range s.Tenants {
		rate := t.QuotaPerS / float64(s.GroupSize)
		d.tenants = append(d.tenants, bucket{rate: rate, left: shareDepth(rate), at: now})
	}
	if s.MayTell {
		d.talk.heard = make([]Time, min(s.GroupSize, mostPeers))
	}
	// Calls to the list service are spread: all dispatchers may start at once.
	d.askAt = now + Time(d.rng.Float64()*float64(s.AskWithin)/4)
	d.wakeUp(now, now+tick, nil)
	return d
}

// ---- Events.

// List takes news of the fleet.
func (d *Dispatcher) List(now Time, l *List) {
	switch l.Form {
	case ListFailed:
		// The call that failed is not told: ask again, later each time, so that a list service
		// that is overrun by every dispatcher at once comes back.
		d.watching = false
		d.askFails = min(d.askFails+1, 4)
		spread := float64(d.set.AskWithin) / 16 * float64(int(1)<<d.askFails)
		d.askAt = now + Time(spread*(0.5+d.rng.Float64()))
		return
	case ListFull, ListCached:
		listed := make(map[WorkerID]bool, len(l.Entries))
		for i := range l.Entries {
			listed[l.Entries[i].Worker] = true
		}
		for _, w := range d.workers {
			if !listed[w.id] {
				w.state = Gone
			}
		}
	}
	if l.Form != ListCached {
		d.askFails = 0
	}
	for i := range l.Entries {
		d.listed(now, &l.Entries[i])
	}
	d.ready = 0
	for _, w := range d.workers {
		if w.state == Ready {
			d.ready++
		}
	}
	d.tags = tagged(d.workers)
	// All rings index this copy: housekeeping drops workers from the list while rings stand.
	d.ringOf = append(d.ringOf[:0], d.workers...)
	clear(d.rings)
	d.retryHeld(now)
}

// Request takes a job; it will get exactly one final answer.
func (d *Dispatcher) Request(now Time, q *Request) {
	if d.requests[q.ID] != nil {
		return
	}
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
		d.goOn(now, r, o.Status)
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
		d.startDelay(now, r, a)
	}
}

// Streaming tells that an answer is on its way to the client: nothing more is owed.
func (d *Dispatcher) Streaming(now Time, id RequestID, attempt int) {
	if r := d.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		d.heard(now, &r.attempts[attempt])
		r.streaming = true
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

// TimerDue brings back a timer.
func (d *Dispatcher) TimerDue(now Time, token uint64) {
	if now >= d.wakeAt {
		d.wakeAt = math.MaxInt64
	}
	for len(d.heap) > 0 && d.heap[0].at <= now {
		if k := d.heap.pop(); k.r == nil {
			d.housekeeping(now)
			d.wakeUp(now, now+tick, nil)
		} else if !k.r.closed {
			d.review(now, k.r)
			d.forget(k.r)
		}
	}
	d.arm(now)
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

// Peer takes what a peer tells of its jobs. With a few jobs of our own on a worker this is nearly all that
// we know of it, and it is milliseconds old where reports are a second [D9].
func (d *Dispatcher) Peer(now Time, from int, data []byte) {
	if from == d.set.Rank || !d.talk.heardFrom(now, from, data) {
		return
	}
	for ; len(data) > 0; data = data[recordSize:] {
		rec := readRecord(data)
		class := min(int(rec.class), len(d.classes)-1)
		for _, w := range d.tags[rec.tag] {
			if rec.what == toldSent {
				w.peerSent(peerJob{from, rec, now})
				w.triedAt = now // by a peer
				if d.cold(now, w) {
					w.tokens -= d.runOf(class) * rec.slots()
				}
				continue
			}
			w.peerEnded(from, rec)
			switch {
			case rec.what == toldServed:
				w.errors *= 1 - loadGain
				if run := rec.ran(); run > 0 {
					d.ran(now, class, w, run, 1)
				}
			case rec.what == toldFull:
				w.fullUntil = max(w.fullUntil, now+Time(d.meanRun.v*d.rng.Float64()))
			case rec.what == toldFailed && w.benchUntil < now:
				d.failed(now, w, loadGain)
			}
		}
	}
}

// worthTelling weighs what the peers would learn against the price of a message to each: with many peers only
// the jobs that hold most of the slot-time are told, and stand for the others too [D9].
func (d *Dispatcher) worthTelling(r *request) bool {
	price := d.set.PeerPrice * leastMessage / peerMessage * float64(d.set.GroupSize-1)
	return d.talk.worth(d.jobCost(r), tellLeast*price)
}

// ---- Workers: the list, slots, capacity, the load that others put on a worker, health.

func (d *Dispatcher) listed(now Time, e *ListEntry) {
	w := d.byID[e.Worker]
	if w == nil {
		if e.State == Gone {
			return
		}
		w = &worker{id: e.Worker, hash: hashID(e.Worker)}
		d.byID[e.Worker] = w
		d.workers = append(d.workers, w)
	}
	if e.StartedAt != w.StartedAt || w.state == Gone {
		// A fresh start: what was learned of its load and health is void, and it is cold.
		w.errors, w.quietSince, w.benchUntil, w.benchFor, w.slowN, w.slowSum, w.faults.n = 0, 0, 0, 0, 0, 0, 0
		w.others, w.othersLast, w.running = mean{}, 0, w.running[:0]
		w.peers, w.told = w.peers[:0], 0
		w.tokens, w.tokensAt = 0, 0
	}
	w.ListEntry = *e
	w.state = max(e.State, d.out[ByHand][w.id], d.out[BySites][w.id])
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

// housekeeping looks after the list, worn-out workers and the health of the whole.
func (d *Dispatcher) housekeeping(now Time) {
	if d.set.AskForList && !d.watching && now >= d.askAt {
		d.watching = true
		d.act.Watch(true)
	}
	for _, w := range d.workers {
		w.late = 0
	}
	for _, r := range d.requests {
		for i := range r.attempts {
			if a := &r.attempts[i]; !a.over && a.started > 0 {
				a.w.late = max(a.w.late, float64(now-a.started)/max(1, d.runOf(r.Class)*r.size))
			}
		}
	}
	d.tellers = d.talk.keepUp(now, d.act)
	bad := 0
	kept := d.workers[:0]
	for _, w := range d.workers {
		if w.state == Gone && w.out == 0 {
			delete(d.byID, w.id)
			continue
		}
		kept = append(kept, w)
		w.peersExpire(now, d.classes)
		if w.state == Ready && d.suspect(now, w) {
			bad++
			// A silent worker is asked, where that is allowed, so that it can come back. What our own jobs
			// are worth pays for it: if each asked as it liked, a lost zone would bring a storm of probes.
			if d.set.MayProbe && d.probeSpare >= 1 && w.probing == 0 && now-w.probedAt > 5*tick {
				d.probeSpare--
				w.probing = now
				d.act.Probe(w.id)
			}
		}
	}
	clear(d.workers[len(kept):])
	d.workers = kept
	d.trusting = float64(bad) > distrust*float64(d.ready)
	d.retryHeld(now)
}

// slots is what a worker can run at once, as far as is known.
func (d *Dispatcher) slots(w *worker) float64 {
	if w.cap.n > 0 {
		return w.cap.v
	}
	if k := d.kind(w.Kind); k.cap.n > 0 {
		return k.cap.v
	}
	if d.capAll.n > 0 {
		return d.capAll.v
	}
	return paperFull
}

// tooSmall tells of a worker that is known, by itself or by its kind, to lack the slots for a job: it
// would turn the job away as full for ever.
func (d *Dispatcher) tooSmall(w *worker, need float64) bool {
	known := w.cap
	if known.n == 0 {
		known = d.kind(w.Kind).cap
	}
	return known.n > 8 && need > known.v+0.5
}

func (d *Dispatcher) kind(k int) *kindStat {
	if k < 0 || k >= d.set.Kinds {
		k = d.set.Kinds
	}
	return &d.kinds[k]
}

// warmth is the part of its capacity that a worker surely has by now.
func (d *Dispatcher) warmth(now Time, w *worker) float64 {
	if w.StartedAt <= 0 {
		return 1
	}
	age := float64(now-w.StartedAt) / float64(d.set.WarmWithin)
	return min(1, d.set.ColdFrom+(1-d.set.ColdFrom)*max(0, age))
}

// load is the number of slots taken at a worker: our own, counted, and the others', inferred. The
// last report tells of the others while it is fresh; with age their mean does. A worker never seen is
// taken to bear what others were lately seen to bear: at nothing it would win by being unseen. All of it
// fades, or a jam once seen would have everything shed and nothing sent that could tell of its end [D3].
func (d *Dispatcher) load(now Time, w *worker) float64 {
	run, silent := max(1, d.meanRun.v), d.silent()
	told := w.told / max(tellPart, d.talk.part())
	fade := math.Exp(-float64(now-d.crowdAt) / (crowdRuns * run))
	crowd := d.crowd.v * d.slots(w) * fade
	if w.others.n == 0 {
		return w.own + told + silent*crowd
	}
	age := float64(now-w.othersAt) / run
	// All dispatchers see the same and act on it at once: where sights are frequent their mean tells more.
	fresh, known := w.gap/(w.gap+run)*math.Exp(-age), math.Exp(-age/usualRuns)*w.others.n/(w.others.n+2)
	return w.own + told + silent*(fresh*w.othersLast+(1-fresh)*(known*w.others.v*fade+(1-known)*crowd))
}

// silent is the part of the peers that tell us nothing: of their load there are only reports.
func (d *Dispatcher) silent() float64 {
	if d.talk.part() < tellPart {
		return 1
	}
	return 1 - d.tellers/max(1, float64(d.set.GroupSize-1))
}

// report learns capacity and the others' load from a worker's figures.
func (d *Dispatcher) report(now Time, w *worker, l *Load) {
	// A worker refreshes its figures now and then and sends the same ones until it does: only the
	// first sight of them is news, or an old report would be taken as fresh with every answer.
	if l.Has == 0 || *l == w.last {
		return
	}
	w.last = *l
	w.smoothOwn(now, d.meanRun.v)
	inFlight, queued := l.Has&HasInFlight != 0, l.Has&HasQueue != 0
	if l.Has&HasFreeSlots != 0 {
		k := d.kind(w.Kind)
		switch seen := l.FreeSlots + (l.InFlight-l.Queue)*max(1, d.perJob.v); {
		case k.cap.n > 8 && seen > liesPast*k.cap.v:
			return // no worker of its kind is near that: it would draw all there is
		case inFlight && k.cap.n > 0 && l.InFlight-l.Queue > 2:
			// Jobs have several slots, and how many is told nowhere: a worker that runs a few shows little.
		case inFlight && seen >= 0.5 && (queued || l.FreeSlots >= 0.5):
			w.cap.add(seen, gain)
			k.cap.add(seen, gain/4)
			d.capAll.add(seen, gain/4)
		case !inFlight && l.FreeSlots >= 0.5:
			// Free slots alone bound the capacity from below, and a worker first met under load
			// shows few: the most that workers of the kind show is nearer the truth.
			if k.cap.n == 0 || l.FreeSlots > k.cap.v {
				k.cap.add(l.FreeSlots, loadGain)
				d.capAll.add(l.FreeSlots, gain/4)
			} else if l.FreeSlots > idleShown*k.cap.v {
				k.cap.add(l.FreeSlots, gain/4) // an idle one, within the noise of reports
			}
		}
	}
	total := -1.0
	switch {
	case inFlight:
		total = l.InFlight * max(1, d.perJob.v)
	case l.Has&HasFreeSlots != 0:
		total = d.slots(w) - l.FreeSlots + l.Queue*max(1, d.perJob.v)
	case l.Has&HasUtil != 0:
		total = l.Util*d.slots(w) + l.Queue
	}
	if total >= 0 {
		d.seeOthers(now, w, max(0, total-w.ownMean))
	}
	if l.Has&HasFreeMem != 0 {
		w.freeMem, w.memAt = l.FreeMem, now
	}
}

func (d *Dispatcher) seeOthers(now Time, w *worker, v float64) {
	d.crowd.add(min(v/max(1, d.slots(w)), liesPast), gain/2)
	d.crowdAt = now
	w.others.add(v, loadGain)
	w.gap = float64(now - w.othersAt)
	w.othersLast, w.othersAt = v, now
}

// startDelay learns from a start note, which is fresher than any report: a job that started at
// once found a free slot, one that waited found none and a queue that took so long [D3].
func (d *Dispatcher) startDelay(now Time, r *request, a *attempt) {
	w, run := a.w, max(1, d.meanRun.v)
	slots, others := d.slots(w), d.load(now, w)-w.own
	if waited := float64(a.started - a.sent); waited > run/8 {
		// It bears on the time of the sending: a bound from below, and no more than one job a slot
		// beyond Full, or a wait behind one long job would be read as a jam and shed all that comes.
		others = max(others, slots*(1+min(1, waited/run/d.slowness(now, w)))-w.own)
	} else {
		others = min(others, max(0, slots-w.own))
	}
	d.seeOthers(now, w, others)
}

// heard takes a sign of life.
func (d *Dispatcher) heard(now Time, a *attempt) {
	w := a.w
	if !a.seen {
		a.seen = true
		w.unseen--
		wait := float64(now - a.sent)
		d.dev.add(math.Abs(wait-d.sign.v), gain/4)
		d.sign.add(wait, gain/4)
	}
	w.quietSince = 0
	if w.unseen > 0 {
		w.quietSince = now
	}
}

// suspect tells of a worker that is silent, failing or far slower than its kind. A silent one is
// tried again once in a while, when nothing of ours is out there any more.
func (d *Dispatcher) suspect(now Time, w *worker) bool {
	if w.benchUntil > now {
		return true
	}
	if w.quietSince > 0 && d.sign.n > 0 &&
		float64(now-w.quietSince) > d.sign.v+quietDevs*d.dev.v+float64(d.set.ConnectTimeout) {
		if w.out > 0 || w.benchFor == 0 {
			return true
		}
	}
	return w.slowN > 2 && d.slowness(now, w) > slowBad*max(1, d.kind(w.Kind).slow.v)
}

// shy tells of a worker that has lately failed jobs, for a job that could not be repeated: those that can
// be go first, and show whether it is well again. Probes don't: such a worker answers them.
func (d *Dispatcher) shy(now Time, w *worker, r *request) bool {
	return d.classes[r.Class].Effect == Once && w.faults.faded(now, faultFade) > faultShy
}

// slowness is a worker's running time over the fleet's, its kind's counting until it has shown
// its own; what it has shown fades, so that one that was slow is tried again. A job that runs for very
// long tells before it has ended: a worker that is wearing out ends none for seconds.
func (d *Dispatcher) slowness(now Time, w *worker) float64 {
	k := d.kind(w.Kind).slow
	if k.n == 0 {
		k.v = 1
	}
	fade := math.Exp(-float64(now-w.slowAt) / (20 * max(1, d.meanRun.v)))
	own := (k.v*slowPrior + w.slowSum*fade) / (slowPrior + w.slowN*fade)
	if w.late > lateRuns {
		own = max(own, (k.v*slowPrior+w.late*lateProof)/(slowPrior+lateProof))
	}
	return own
}

// failed counts an error, a broken connection or an unanswered probe. Fast errors keep a worker's
// counts low; without this it would draw every fallback.
func (d *Dispatcher) failed(now Time, w *worker, weight float64) {
	w.errors += (1 - w.errors) * weight
	if w.errors > errorBad {
		w.benchFor = min(max(2*w.benchFor, second/2), 8*second)
		w.benchUntil = now + w.benchFor
	}
}

// ---- The assigned table: the paper's Algorithms 1 and 2.

// available is the paper's Algorithm 2 over our own counts and the inferred load of the others,
// its thresholds scaled to the worker's present capacity.
func (d *Dispatcher) available(now Time, w *worker, r *request) verdict {
	slots := d.slots(w) * d.warmth(now, w)
	n := d.load(now, w) + r.Slots - 1
	spare := queuePart * float64(d.classes[r.Class].Aim) / max(1, d.meanRun.v*d.slowness(now, w))
	tFull, tBusy := slots*(1+min(1, spare)), slots*busyRatio
	if n >= tFull || now < w.fullUntil || d.noMemory(now, w, r) {
		return full
	}
	if n < tBusy || w.major(now, r.Key, tMajorPer*slots, d.meanRun.v) {
		return accepts
	}
	return notMajor
}

func (d *Dispatcher) noMemory(now Time, w *worker, r *request) bool {
	return r.Memory > 0 && w.memAt > 0 && float64(now-w.memAt) < 2*d.meanRun.v && w.freeMem < r.Memory
}

// major tells whether the key ranks among the worker's top tMajor by running jobs. Jobs that have
// ended count for a while, since a dispatcher has only a sliver of a worker's jobs running [D4].
func (w *worker) major(now Time, key uint64, tMajor, run float64) bool {
	mine, above := 0.0, 0
	for i := range w.running {
		if w.running[i].key == key {
			mine = w.running[i].faded(now, run)
		}
	}
	if mine == 0 {
		return false
	}
	for i := range w.running {
		if w.running[i].key != key && w.running[i].faded(now, run) > mine {
			above++
		}
	}
	return float64(above) < max(1, math.Round(tMajor))
}

func (w *worker) countKey(now Time, key uint64, run float64) {
	w.running = countKey(w.running, keyCount{key, 1, now}, run, keysTold)
}

// cost orders workers: the load after this job, over what the worker can do, and dearer by the price of
// the way to another zone, which weighs less on a job that is worth more [D7].
func (d *Dispatcher) cost(now Time, w *worker, r *request) float64 {
	slots := max(0.1, d.slots(w)*d.warmth(now, w))
	c := (d.load(now, w) + r.Slots) / slots * d.slowness(now, w)
	if w.Zone != d.set.Zone {
		worth, _ := d.usual()
		c *= 1 + crossCost*d.set.CrossZonePrice*worth/d.worthOf(r.Class, r.size)
	}
	return c
}

// choose is the paper's Algorithm 1. It gives nil where no worker may be sent the request now, and
// queued where every eligible one seems Full and the job joins the least loaded one's queue.
func (d *Dispatcher) choose(now Time, r *request) (best *worker, queued bool) {
	var e *entry
	var spare *worker // least loaded of all seen, for the queue
	var bestCost, spareCost float64
	consider := func(w *worker) bool {
		c := d.cost(now, w, r)
		if !d.trusting && (d.suspect(now, w) || d.shy(now, w, r)) {
			c += 1e6 // only if there is no other
		} else if now < w.fullUntil {
			c += 1e3
		}
		if spare == nil || c < spareCost {
			spare, spareCost = w, c
		}
		return c < 1e6
	}
	size := d.spread(now, r)
	d.sample(r, size)
	if r.HasKey {
		e = d.table.use(r.Key, max(256, tableScale*len(d.workers)))
		e.asked.count(now, d.meanRun.v)
		d.asked.count(now, d.meanRun.v)
		kept := e.set[:0]
		for _, w := range e.set {
			if w.state != Ready {
				continue
			}
			if !d.may(now, r, w) || !consider(w) {
				kept = append(kept, w)
				continue
			}
			switch d.available(now, w, r) {
			case accepts:
				if c := d.cost(now, w, r); best == nil || c < bestCost {
					best, bestCost = w, c
				}
			case notMajor:
				continue // Busy, and the key is not major there: de-assigned
			}
			kept = append(kept, w)
		}
		clear(e.set[len(kept):])
		e.set = kept
		// A key that once went to another zone does not pay for the way for ever: a near worker of the
		// scan that is as good takes it back [D7].
		if best != nil && (best.Zone == d.set.Zone || d.set.CrossZonePrice == 0) {
			return best, false
		}
	}
	for most := float64(d.ready) * (1 - d.silent()); ; size *= 4 {
		for _, w := range d.buf {
			if !d.may(now, r, w) || !consider(w) || d.available(now, w, r) != accepts {
				continue
			}
			if c := d.cost(now, w, r); best == nil || c < bestCost {
				best, bestCost = w, c
			}
		}
		// All of the sample is taken: further ones are looked at, as far as the peers tell of their load. By
		// reports alone all dispatchers would pile onto the few that seem empty [D2].
		if best != nil || float64(size) >= most ||
			spare != nil && d.load(now, spare)+r.Slots <= queueLeast*d.slots(spare)*d.warmth(now, spare) {
			break
		}
		d.sample(r, 4*size)
	}
	if best != nil {
		if e != nil && len(e.set) < setLimit && !slices.Contains(e.set, best) {
			e.set = append(e.set, best)
		}
		return best, false
	}
	return spare, true
}

// spread is the number of workers that a scan looks at: more for a hot key, which fills all of the
// usual sample, by the part of our traffic that it draws. Spreading every key as far would cost
// fetches that the key store may not bear [D2].
func (d *Dispatcher) spread(now Time, r *request) int {
	e := d.table.byKey[r.Key]
	if e == nil || !r.HasKey {
		return sampleSize
	}
	part := e.asked.faded(now, d.meanRun.v) / max(1, d.asked.faded(now, d.meanRun.v))
	return max(sampleSize, min(setLimit, int(2*part*float64(d.ready))))
}

// sample fills buf with the workers that a scan looks at: the first on the ring after the key, so
// that dispatchers that share nothing try the same ones in the same order [D2].
func (d *Dispatcher) sample(r *request, size int) {
	d.buf = d.buf[:0]
	if w := d.byID[r.Asker]; w != nil {
		d.buf = append(d.buf, w) // it has room now, which no report tells as well [D8]
	}
	k := d.classes[r.Class].Kind + 1
	if k < 0 || k >= len(d.rings) {
		k = 0
	}
	if d.rings[k] == nil {
		d.buildRing(k)
	}
	ring := d.rings[k]
	if len(ring) == 0 {
		return
	}
	h := mix(r.Key)
	at, _ := slices.BinarySearch(ring, h&^ringIndex)
	far := size - int(float64(size)*min(ownMost, ownShare*d.set.CrossZonePrice)) // places for other zones
	for range min(len(ring), 2*size*ringPoints) {
		if at == len(ring) {
			at = 0
		}
		w := d.ringOf[ring[at]&ringIndex]
		if own := w.Zone == d.set.Zone; (own || far > 0) && !slices.Contains(d.buf, w) {
			if !own {
				far--
			}
			if d.buf = append(d.buf, w); len(d.buf) == size {
				return
			}
		}
		at++
	}
}

// ---- The cold budget. All dispatchers together must not send a worker that has just started more
// than a multiple of what it can do; each keeps within its own part, in slot-time.

func (d *Dispatcher) cold(now Time, w *worker) bool {
	return w.StartedAt > 0 && now-w.StartedAt < d.set.WarmWithin+d.set.TipAfter
}

// jobCost is the slot-time that a job is reckoned to take on a warm worker.
func (d *Dispatcher) jobCost(r *request) float64 { return d.runOf(r.Class) * r.size * r.Slots }

// sizeOf gives a job's expected running time over its class's mean. A client's hint counts against the mean
// of hints, so that a bias says nothing, and as far as hints have proved to tell of running times [D10].
func (d *Dispatcher) sizeOf(r *request) float64 {
	if r.Hint <= 0 {
		return 1
	}
	c := &d.classes[r.Class]
	c.hint.add(float64(r.Hint), gain/16)
	seen := c.fit.both.n
	told := min(1, max(0, c.fit.v()*seen/(seen+slopePrior)))
	return min(max(sizeLeast, 1+told*(float64(r.Hint)/c.hint.v-1)), sizeMost)
}

func (d *Dispatcher) runOf(class int) float64 {
	c := &d.classes[class]
	if c.run.n < 8 {
		return max(c.run.v, 1.5*float64(c.Aim))
	}
	return c.run.v
}

// coldAllows fills the worker's bucket and tells whether the job fits. The bucket starts at a
// random part of one job, so that dispatchers that learn of a worker at the same moment and whose
// parts are each below one job do not open with a burst.
func (d *Dispatcher) coldAllows(now Time, w *worker, r *request) bool {
	if !d.cold(now, w) {
		return true
	}
	cost := d.jobCost(r)
	slots := 1.0 // nothing learned yet: as little as a worker can have
	if w.cap.n > 0 || d.kind(w.Kind).cap.n > 0 || d.capAll.n > 0 {
		slots = d.slots(w)
	}
	// What peers that tell have sent is taken off the same bucket: their parts are shared with them.
	share := (1 + d.tellers) / float64(d.set.GroupSize)
	rate := coldMargin * d.set.OverloadFactor * slots * d.warmth(now, w) * share
	if w.tokensAt == 0 {
		w.tokens += d.rng.Float64() * cost
		w.tokensAt = now
	}
	deep := max(cost, rate*float64(d.set.TipAfter)/2)
	w.tokens = min(w.tokens+rate*float64(now-w.tokensAt), max(deep, w.tokens))
	w.tokensAt = now
	return w.tokens >= cost
}

// ---- Attempts: the one place that knows what may have run.

// may is the gate of every send: drains, kinds, attempts, effects, groups, windows, cold budget.
func (d *Dispatcher) may(now Time, r *request, w *worker) bool {
	c := &d.classes[r.Class]
	if r.closed || r.streaming || now >= r.Deadline || w.state != Ready ||
		len(r.attempts) >= d.set.MaxAttempts {
		return false
	}
	if c.Kind >= 0 && w.Kind != c.Kind || r.Slots > 1 && d.tooSmall(w, r.Slots) {
		return false
	}
	if b := r.bound(); b != nil {
		if r.out > 0 && (!d.set.MaySecondCopy || r.out > 1) {
			return false
		}
		switch c.Effect {
		case Once:
			return false
		case Keyed:
			// The repeat should also arrive while the first is remembered: a tenth is kept back.
			if now-b.sent > c.Window-c.Window/10 ||
				c.Group == GroupZone && w.Zone != b.w.Zone || c.Group == GroupCell && w.Cell != b.w.Cell {
				return false
			}
		}
	}
	for i := range r.attempts {
		if r.attempts[i].w == w && (!r.attempts[i].over || r.attempts[i].never) {
			return false
		}
	}
	return d.coldAllows(now, w, r)
}

// mayRefuse tells whether the client may be told that trying again is harmless.
func (d *Dispatcher) mayRefuse(r *request) bool {
	c := &d.classes[r.Class]
	return r.bound() == nil || c.Effect == Repeatable || c.Effect == Keyed && c.Group == GroupAll
}

func (d *Dispatcher) send(now Time, r *request, w *worker) {
	if r.attempts == nil {
		r.attempts = r.first[:0]
	}
	w.smoothOwn(now, d.meanRun.v)
	r.attempts = append(r.attempts, attempt{w: w, sent: now})
	r.out++
	w.own += r.Slots
	w.out++
	w.unseen++
	if w.quietSince == 0 {
		w.quietSince = now
	}
	w.countKey(now, r.Key, d.meanRun.v)
	if d.cold(now, w) {
		w.tokens -= d.jobCost(r)
	}
	d.act.Send(r.ID, 0, w.id)
	if d.worthTelling(r) || d.cold(now, w) { // or the peers' shared budget would not know of it
		r.attempts[len(r.attempts)-1].told = true
		d.talk.tell(now, newRecord(toldSent, w, r), d.act)
	}
	if d.classes[r.Class].Effect != Once {
		d.wakeUp(now, now+d.patience(r), r)
	}
}

// ended takes an attempt off the books and learns from how it ended.
func (d *Dispatcher) ended(now Time, r *request, a *attempt, s Status) {
	w := a.w
	w.smoothOwn(now, d.meanRun.v)
	a.over, a.never = true, s.NeverRan()
	r.out--
	w.own = max(0, w.own-r.Slots)
	w.out--
	if a.told || endTold(s) == toldFailed {
		rec := newRecord(endTold(s), w, r)
		if a.started > 0 {
			rec.setRan(now - a.started)
		}
		d.talk.tell(now, rec, d.act)
	}
	switch s {
	case OK, Error, Refused:
		d.heard(now, a)
	default:
		if !a.seen {
			w.unseen--
		}
	}
	switch s {
	case OK:
		w.errors *= 1 - loadGain
		w.faults.n *= 1 - loadGain
		w.benchFor /= 2
		run := now - a.sent
		if a.started > 0 {
			run = now - a.started
		} else if d.set.ProgressEvery > 0 && !d.set.TellsStart {
			run = min(run, d.set.ProgressEvery) // no note of progress: the rest was waiting
		}
		d.meanRun.add(float64(run), gain/4) // of our own only: the peers tell of the long ones
		if c := &d.classes[r.Class]; r.Hint > 0 && c.run.n > 0 {
			told, ran := float64(r.Hint)/c.hint.v, float64(run)/c.run.v/d.slowness(now, w)
			c.fit.add(min(told, sizeMost), min(ran, sizeMost), gain/8)
		}
		d.ran(now, r.Class, w, float64(run), r.size)
	case Error:
		w.faults.count(now, faultFade)
		d.failed(now, w, loadGain)
	case Unreachable, Reset:
		d.failed(now, w, 0.5)
	case Refused:
		// The report that came along may be older than the queue that overflowed: the worker is
		// Full for as long as it takes to run what its slots hold, whatever reports say.
		d.seeOthers(now, w, max(d.load(now, w), 2*d.slots(w))-w.own)
		w.fullUntil = now + Time(d.meanRun.v*d.slowness(now, w)*(0.5+d.rng.Float64()))
	case TimedOut:
		w.benchFor = min(max(2*w.benchFor, second), 8*second)
		if w.quietSince > 0 {
			w.benchUntil = now + w.benchFor
		}
	}
}

// ran takes a running time of a job of that expected size.
func (d *Dispatcher) ran(now Time, class int, w *worker, run, size float64) {
	c := &d.classes[class]
	c.run.add(run/size, gain/4)
	ratio := run / size / max(1, c.run.v)
	d.kind(w.Kind).slow.add(ratio, gain/8)
	fade := math.Exp(-float64(now-w.slowAt) / (20 * max(1, d.meanRun.v)))
	w.slowSum, w.slowN, w.slowAt = w.slowSum*fade+min(ratio, 8), w.slowN*fade+1, now
}

// patience is how long a request that may be repeated waits before its attempt is reviewed.
func (d *Dispatcher) patience(r *request) Time {
	return max(tick/4, d.classes[r.Class].Aim/2)
}

// withdraw cancels what is still out of a request that is over.
func (d *Dispatcher) withdraw(r *request) {
	if !d.set.MayCancel || r.streaming {
		return
	}
	for i := range r.attempts {
		if !r.attempts[i].over {
			d.act.Cancel(r.ID, i)
		}
	}
}

func (d *Dispatcher) forget(r *request) {
	if r.closed && r.out == 0 {
		delete(d.requests, r.ID)
	}
}

// ---- Answers: place, hold, refuse, fail.

// place sends the request to the worker that the table gives, sheds it, or holds it.
func (d *Dispatcher) place(now Time, r *request) bool {
	w, queued := d.choose(now, r)
	if w == nil {
		if r.out == 0 && !r.held {
			r.held = true
			d.held = append(d.held, r)
		}
		return false
	}
	if !queued {
		d.price *= 1 - priceDown
	}
	busy := d.load(now, w)+r.Slots > busyRatio*d.slots(w)*d.warmth(now, w)
	if !queued && busy && r.out == 0 && d.relWorth(r) < d.price && d.mayRefuse(r) {
		d.refuse(now, r)
		return true
	}
	if queued && r.out == 0 && d.hopeless(now, r, w) && d.mayRefuse(r) {
		if t := d.trial(now, r); t != nil {
			d.send(now, r, t)
			return true
		}
		d.refuse(now, r)
		return true
	}
	d.send(now, r, w)
	return true
}

// trial gives a worker that the job, which would be shed, may as well try: one not seen for long. A
// jam once seen would otherwise last for ever where nothing but a send can tell of its end. All
// dispatchers together try a worker less than once in a running time [D6].
func (d *Dispatcher) trial(now Time, r *request) (oldest *worker) {
	if r.over {
		return nil
	}
	last := now - Time(d.meanRun.v*float64(10+d.set.GroupSize))
	for _, w := range d.buf {
		if seen := max(w.othersAt, w.triedAt); seen < last && !d.suspect(now, w) && d.may(now, r, w) {
			oldest, last = w, seen
		}
	}
	if oldest != nil {
		oldest.triedAt = now
	}
	return oldest
}

// hopeless tells of a request that even the least loaded worker would start too late to be of
// worth. Jobs of little worth for the slot-time they take, and with them what a tenant sends beyond
// its share, are shed at shorter waits, so that a fleet that can't do all does what counts [D6].
func (d *Dispatcher) hopeless(now Time, r *request, w *worker) bool {
	c := &d.classes[r.Class]
	if d.meanRun.n < 8 {
		return false
	}
	slots := max(0.1, d.slots(w)*d.warmth(now, w))
	slow := d.slowness(now, w)
	wait := max(0, d.load(now, w)+r.Slots-slots) / slots * d.meanRun.v * slow
	slack := float64(c.Aim-(now-r.arrived)) + (c.Stretch-slow)*c.run.v*r.size
	// The price rises when a job that is worth it finds no time, and falls with each that does: in
	// lasting overload cheap jobs leave the slots to dear ones instead of sharing the refusals [D6].
	rel := d.relWorth(r)
	if wait > slack*waitPart && rel >= d.price {
		d.price = min(priceMost, d.price+priceUp)
	}
	return wait > slack*waitPart*min(1, rel) || rel < d.price
}

// usual gives the mean worth, and slot-time at present costs, of what is asked for lately within shares.
func (d *Dispatcher) usual() (worth, cost float64) {
	n := 0.0
	for i := range d.classes {
		n += d.classes[i].asked
		worth += d.classes[i].asked * d.worthOf(i, 1)
		cost += d.classes[i].asked * d.runOf(i)
	}
	return worth / max(1, n), cost / max(1, n)
}

// worthOf is what a job of a class and size is worth.
func (d *Dispatcher) worthOf(class int, size float64) float64 {
	if d.set.WorthByWork {
		return d.classes[class].Worth * d.runOf(class) * size
	}
	return d.classes[class].Worth
}

// relWorth compares a job's density with that of what is usual.
func (d *Dispatcher) relWorth(r *request) float64 {
	worth, cost := d.usual()
	if worth == 0 {
		return 1
	}
	return d.density(r) * cost / worth
}

// density is a job's worth for the slot-time it takes.
func (d *Dispatcher) density(r *request) float64 {
	per := d.worthOf(r.Class, r.size) / max(1, d.jobCost(r))
	if r.over {
		per *= d.set.OverShareWorth
	}
	return per
}

// shareDepth is how far a tenant may run ahead of its share at one dispatcher: two seconds of it,
// and room for the chance clusters of a share that is a request now and then.
func shareDepth(rate float64) float64 { return 2*rate + shareRoom }

// overShare counts the request against its tenant's share and tells whether it is beyond.
func (d *Dispatcher) overShare(now Time, tenant int) bool {
	if tenant < 0 || tenant >= len(d.tenants) || d.tenants[tenant].rate == 0 {
		return false
	}
	return !d.tenants[tenant].take(now, shareDepth(d.tenants[tenant].rate))
}

func (d *Dispatcher) refuse(now Time, r *request) {
	r.closed = true
	after := Time(0)
	if d.set.RetryAfter {
		if after = Time(retryRuns * d.meanRun.v); r.over {
			after = d.set.MaxRetryAfter
		}
	}
	d.act.Refuse(r.ID, after)
	d.withdraw(r)
}

func (d *Dispatcher) fail(r *request) {
	r.closed = true
	d.act.Fail(r.ID)
	d.withdraw(r)
}

// goOn decides what becomes of an open request none of whose attempts is out any more.
func (d *Dispatcher) goOn(now Time, r *request, s Status) {
	bound := r.bound() != nil && d.classes[r.Class].Effect == Once
	if now >= r.Deadline || bound || len(r.attempts) >= d.set.MaxAttempts {
		d.giveUp(now, r)
		return
	}
	d.place(now, r)
}

func (d *Dispatcher) giveUp(now Time, r *request) {
	if d.mayRefuse(r) {
		d.refuse(now, r)
	} else {
		d.fail(r)
	}
}

// review is a request's timer: the end of its time, the end of its wait for probes, or a look at
// an attempt that takes long.
func (d *Dispatcher) review(now Time, r *request) {
	switch {
	case r.streaming:
		return
	case now >= r.Deadline:
		d.giveUp(now, r)
		return
	case len(r.attempts) == 0 && !r.held:
		r.probes = 0
		d.place(now, r)
		return
	case r.out != 1 || d.classes[r.Class].Effect == Once:
		return
	}
	a := &r.attempts[len(r.attempts)-1]
	if d.suspect(now, a.w) {
		if w, queued := d.choose(now, r); w != nil && !queued {
			d.send(now, r, w)
			return
		}
	}
	d.wakeUp(now, now+d.patience(r), r)
}

// retryHeld looks at the requests that no worker could be sent.
func (d *Dispatcher) retryHeld(now Time) {
	if len(d.held) == 0 {
		return
	}
	kept := d.held[:0]
	for i, r := range d.held {
		if r.closed {
			continue
		}
		if i < heldLook {
			if r.held = false; d.place(now, r) {
				d.forget(r)
				continue
			}
			if r.held { // place has put it at the end of the list that is being walked
				d.held = d.held[:len(d.held)-1]
			}
			r.held = true
		}
		kept = append(kept, r)
	}
	clear(d.held[len(kept):])
	d.held = kept
}

// askLoads probes the request's likely workers where what is known of them is old, and tells whether the
// request waits for the answers. Where workers are asked often that costs more than the fresher view gains;
// a dispatcher that has not asked one for some running times knows nothing that it could choose by.
func (d *Dispatcher) askLoads(now Time, r *request) bool {
	per := min(probeMost, probePay/max(1e-9, d.set.ProbePrice)) * max(probeLeast, d.silent())
	d.probeSpare = min(d.probeSpare+per, 16*per)
	if !d.set.MayProbe || !d.set.LoadInProbes || d.set.LoadInAnswers {
		return false
	}
	asked := 0
	ask := func(w *worker) {
		age := float64(now-w.probedAt) / max(1, d.meanRun.v)
		if d.probeSpare < 1 || asked == int(probeMost) || w.state != Ready || w.probing == now ||
			age < probeAge {
			return
		}
		if asked++; w.probing == 0 {
			d.probeSpare--
			w.probing = now
			d.act.Probe(w.id)
		}
		if age > waitAge {
			r.probes++
			w.waiters = append(w.waiters, r)
		}
	}
	if e := d.table.byKey[r.Key]; e != nil && r.HasKey {
		for _, w := range e.set[:min(len(e.set), int(probeMost))] {
			ask(w)
		}
	}
	d.sample(r, sampleSize)
	for _, w := range d.buf[:min(len(d.buf), int(probeMost))] {
		ask(w)
	}
	if r.probes > 0 {
		d.wakeUp(now, now+d.classes[r.Class].Aim/holdPart, r)
	}
	return r.probes > 0
}
