package rules

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Random orders of events that the contract of the host allows, drawn from a seed. The checker knows the rules and
// the events passed to the dispatcher. It models no workers: outcomes are drawn at random.

// requestLedger is what the checker knows of a request.
type requestLedger struct {
	request  Request
	class    Class
	attempts []ledgerAttempt
	answers  int
	closed   bool
}

type ledgerAttempt struct {
	worker          WorkerID
	sentAt          Time
	ended, neverRan bool
}

// checker is a host that checks each action against the rules.
type checker struct {
	*recorder
	t           *testing.T
	settings    Settings
	requests    map[RequestID]*requestLedger
	entries     map[WorkerID]ListEntry
	outstanding []RequestID // with outstanding attempts
	coldSends   map[WorkerID][]sendAction
	probing     []WorkerID
}

func (c *checker) Send(r RequestID, until Time, w WorkerID) {
	c.recorder.Send(r, until, w)
	l := c.requests[r]
	switch {
	case l == nil:
		c.t.Fatalf("sent the unknown request %s", r)
	case l.closed:
		c.t.Fatalf("sent %s after its end", r)
	case len(l.attempts) >= c.settings.MaxAttempts:
		c.t.Fatalf("attempt %d of %s, at most %d", len(l.attempts)+1, r, c.settings.MaxAttempts)
	}
	e, listed := c.entries[w]
	if !listed || e.State != Ready {
		c.t.Fatalf("sent %s to %s, which is %v", r, w, e.State)
	}
	if l.class.Kind >= 0 && e.Kind != l.class.Kind {
		c.t.Fatalf("sent %s to a worker of kind %d", r, e.Kind)
	}
	var mayHaveRun *ledgerAttempt
	outstanding := 0
	for i := range l.attempts {
		a := &l.attempts[i]
		if !a.ended {
			outstanding++
		}
		if mayHaveRun == nil && !a.neverRan {
			mayHaveRun = a
		}
	}
	if outstanding > 1 || outstanding == 1 && !c.settings.MayHedge {
		c.t.Fatalf("%d attempts of %s are outstanding already", outstanding, r)
	}
	if mayHaveRun != nil {
		b := c.entries[mayHaveRun.worker]
		switch l.class.Effect {
		case Once:
			c.t.Fatalf("sent %s of effect Once again", r)
		case Keyed:
			if l.class.Group == GroupCell && b.Cell != e.Cell || l.class.Group == GroupZone && b.Zone != e.Zone ||
				c.now-mayHaveRun.sentAt > l.class.Window {
				c.t.Fatalf("sent the keyed %s outside its group or window", r)
			}
		}
	}
	l.attempts = append(l.attempts, ledgerAttempt{worker: w, sentAt: c.now})
	c.outstanding = append(c.outstanding, r)
	if e.StartedAt > 0 && c.now-e.StartedAt < c.settings.SlowStartWindow {
		c.checkColdBudget(w, e)
	}
}

// checkColdBudget checks that the dispatcher stays within its share of a cold worker's budget, plus one job.
func (c *checker) checkColdBudget(w WorkerID, e ListEntry) {
	c.coldSends[w] = append(c.coldSends[w], sendAction{at: c.now})
	n := 0
	for _, x := range c.coldSends[w] {
		if x.at > c.now-c.settings.OverloadWindow && x.at >= e.StartedAt {
			n++
		}
	}
	warm := c.settings.SlowStartMinCapacity + (1-c.settings.SlowStartMinCapacity)*float64(c.now-e.StartedAt)/float64(c.settings.SlowStartWindow)
	const slots, run = 4.0, 0.1 // as the dispatcher has learned them
	budget := c.settings.OverloadFactor * warm * slots * float64(c.settings.OverloadWindow) / 1e6 / float64(c.settings.GroupSize)
	if float64(n)*run > budget+run {
		c.t.Fatalf("%d jobs to the cold %s within a window, the share of the budget is %.1f", n, w, budget/run)
	}
}

// checkAnswer checks a final answer, which is a refusal or a failure.
func (c *checker) checkAnswer(r RequestID, refusal bool) {
	l := c.requests[r]
	if l == nil {
		c.t.Fatalf("answered the unknown request %s", r)
	}
	if l.closed {
		return // the host ignores it
	}
	if refusal {
		for _, a := range l.attempts {
			if !a.neverRan && (l.class.Effect == Once || l.class.Effect == Keyed && l.class.Group != GroupAll) {
				c.t.Fatalf("refused %s, which may have run", r)
			}
		}
	}
	l.closed = true
	l.answers++
}

func (c *checker) Refuse(r RequestID, _ Time, _ Reason) { c.checkAnswer(r, true) }
func (c *checker) Fail(r RequestID, _ Reason)           { c.checkAnswer(r, false) }
func (c *checker) Broadcast(data []byte)                {}
func (c *checker) Probe(w WorkerID) {
	if !c.settings.MayProbe {
		c.t.Fatal("probed where that is not allowed")
	}
	c.probing = append(c.probing, w)
}

func TestHostileEvents(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runHostileEvents(t, seed) })
	}
}

// runHostileEvents passes 4000 random events to a dispatcher with random settings.
func runHostileEvents(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	s := Settings{Zones: 2, Kinds: 2, GroupSize: 1 + rng.IntN(20), MaxAttempts: 1 + rng.IntN(5),
		MayProbe: rng.IntN(2) == 0, MayCancel: rng.IntN(2) == 0, MayHedge: rng.IntN(2) == 0,
		PullsList: rng.IntN(2) == 0, ReportsStart: rng.IntN(2) == 0, LoadInProbes: true,
		AnswerSlack: 16 * ms, SlowStartMinCapacity: 0.3, SlowStartWindow: 5000 * ms, OverloadFactor: 3, OverloadWindow: 1000 * ms,
		Tenants: []Tenant{{QuotaPerS: 100}, {}}}
	for _, effect := range []Effect{Once, Keyed, Repeatable} {
		for _, group := range []Group{GroupAll, GroupZone, GroupCell} {
			s.Classes = append(s.Classes, Class{LatencyTarget: 100 * ms, TargetStretch: 1, Deadline: 2000 * ms, Effect: effect,
				Group: group, Window: 700 * ms, Kind: rng.IntN(3) - 1})
		}
	}
	c := &checker{recorder: newRecorder(), t: t, settings: s, requests: map[RequestID]*requestLedger{},
		entries: map[WorkerID]ListEntry{}, coldSends: map[WorkerID][]sendAction{}}
	d := &testDispatcher{rec: c.recorder, now: 1_000_000_000}
	c.now = d.now
	d.Dispatcher = New(s, seed, d.now, c)
	for i := range d.classes { // known running times and capacity, so that the budget can be checked
		d.classes[i].run = ewma{100_000, 1e9}
	}
	d.fleetCapacity, d.meanRun = ewma{4, 1e9}, ewma{100_000, 1e9}
	list := func(form ListForm) {
		l := &List{Form: form}
		if form == ListFailed {
			d.List(d.now, l)
			return
		}
		for i := range 12 {
			w := WorkerID(fmt.Sprint("w", i))
			e, known := c.entries[w]
			if form == ListDelta && rng.IntN(4) > 0 || form == ListFull && rng.IntN(6) == 0 {
				if form == ListFull && known {
					e.State = Gone
					c.entries[w] = e
				}
				continue
			}
			if !known {
				e = ListEntry{Worker: w, Zone: i % 2, Kind: i % 3 % 2, Cell: i / 3, Weight: 1}
			}
			e.State = WorkerState(rng.IntN(10) / 4 % 3)
			if e.State == Ready && rng.IntN(3) == 0 {
				e.StartedAt = d.now
			}
			l.Entries = append(l.Entries, e)
			c.entries[w] = e
		}
		d.List(d.now, l)
	}
	list(ListFull)
	for step := range 4000 {
		switch k := rng.IntN(20); {
		case k < 7:
			req := Request{ID: RequestID(fmt.Sprint("q", step)), Class: rng.IntN(len(s.Classes)), Tenant: rng.IntN(3),
				Key: rng.Uint64N(9), HasKey: rng.IntN(4) > 0, Deadline: d.now + Time(rng.IntN(2_000_000)), Slots: 1}
			c.requests[req.ID] = &requestLedger{request: req, class: s.Classes[req.Class]}
			d.Request(d.now, &req)
		case k < 13 && len(c.outstanding) > 0:
			i := rng.IntN(len(c.outstanding))
			id := c.outstanding[i]
			l := c.requests[id]
			n := rng.IntN(len(l.attempts))
			a := &l.attempts[n]
			if a.ended {
				continue
			}
			if rng.IntN(3) == 0 {
				d.Progress(d.now, &Progress{Request: id, Attempt: n, Worker: a.worker, Started: rng.IntN(2) == 0})
				continue
			}
			c.outstanding = append(c.outstanding[:i], c.outstanding[i+1:]...)
			st := Status(rng.IntN(int(Unknown) + 1))
			a.ended, a.neverRan = true, st.NeverRan()
			if st == OK && !l.closed {
				l.closed = true
				l.answers++
			}
			d.Outcome(d.now, &Outcome{Request: id, Attempt: n, Worker: a.worker, Status: st, Closed: l.closed})
			if rng.IntN(8) == 0 { // a repeated outcome, and one of an unknown request
				d.Outcome(d.now, &Outcome{Request: id, Attempt: n, Worker: a.worker, Status: OK, Closed: l.closed})
				d.Outcome(d.now, &Outcome{Request: "nobody", Worker: "none"})
			}
		case k == 13 && len(c.outstanding) > 0 && rng.IntN(4) == 0:
			id := c.outstanding[rng.IntN(len(c.outstanding))]
			if l := c.requests[id]; !l.closed {
				l.closed = true
				l.answers++ // the client's disconnect ends it
				d.ClientDisconnected(d.now, id)
			}
		case k == 14 && rng.IntN(8) == 0:
			list([]ListForm{ListDelta, ListFull, ListFailed}[rng.IntN(3)])
		case k == 15 && len(c.probing) > 0:
			w := c.probing[0]
			c.probing = c.probing[1:]
			d.Probed(d.now, &ProbeResult{Worker: w, Status: []Status{OK, TimedOut}[rng.IntN(2)],
				Load: Load{Has: HasFreeSlots, FreeSlots: 4 * rng.Float64()}})
		default:
			d.advance(Time(rng.IntN(20_000)))
		}
	}
	d.advance(2_100_000)
	for id, l := range c.requests {
		if l.answers != 1 {
			t.Fatalf("%s got %d final answers", id, l.answers)
		}
	}
	if len(c.sends) < 100 {
		t.Fatalf("only %d sends: this run tests nothing", len(c.sends))
	}
}

// Equal seeds and events give equal actions.
func TestDeterminism(t *testing.T) {
	run := func() string {
		d := newTestDispatcher(oneClass(Repeatable), workerList(30)...)
		for k := range uint64(300) {
			d.submitKey(k % 17)
			d.advance(3 * ms)
			if k%3 == 0 {
				s := d.rec.sends[len(d.rec.sends)/2]
				d.endAttempt(s.request, 0, s.worker, Status(k%9))
			}
		}
		return fmt.Sprint(d.rec.sends, d.rec.cancels)
	}
	if first, second := run(), run(); first != second {
		t.Error("two runs from the same seed differ")
	}
}
