package rules

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Legal but hostile orders of events, drawn from a seed. The checker knows the rules and what it has
// told the dispatcher; it models no worker: outcomes are drawn, not computed.

type ledger struct {
	q        Request
	class    Class
	attempts []ledgerAttempt
	answers  int
	closed   bool
}

type ledgerAttempt struct {
	w           WorkerID
	sent        Time
	over, never bool
}

type checker struct {
	*recorder
	t        *testing.T
	s        Settings
	requests map[RequestID]*ledger
	entries  map[WorkerID]ListEntry
	open     []RequestID // with attempts out
	work     map[WorkerID][]sendAction
	probing  []WorkerID
}

func (c *checker) Send(r RequestID, until Time, w WorkerID) {
	c.recorder.Send(r, until, w)
	l := c.requests[r]
	switch {
	case l == nil:
		c.t.Fatalf("sent the unknown request %s", r)
	case l.closed:
		c.t.Fatalf("sent %s after its end", r)
	case len(l.attempts) >= c.s.MaxAttempts:
		c.t.Fatalf("attempt %d of %s, at most %d", len(l.attempts)+1, r, c.s.MaxAttempts)
	}
	e, listed := c.entries[w]
	if !listed || e.State != Ready {
		c.t.Fatalf("sent %s to %s, which is %v", r, w, e.State)
	}
	if l.class.Kind >= 0 && e.Kind != l.class.Kind {
		c.t.Fatalf("sent %s to a worker of kind %d", r, e.Kind)
	}
	var bound *ledgerAttempt
	out := 0
	for i := range l.attempts {
		a := &l.attempts[i]
		if !a.over {
			out++
		}
		if bound == nil && !a.never {
			bound = a
		}
	}
	if out > 1 || out == 1 && !c.s.MayHedge {
		c.t.Fatalf("%d attempts of %s are out already", out, r)
	}
	if bound != nil {
		b := c.entries[bound.w]
		switch l.class.Effect {
		case Once:
			c.t.Fatalf("sent the unsafe %s again", r)
		case Keyed:
			if l.class.Group == GroupCell && b.Cell != e.Cell || l.class.Group == GroupZone && b.Zone != e.Zone ||
				c.now-bound.sent > l.class.Window {
				c.t.Fatalf("sent the keyed %s outside its group or window", r)
			}
		}
	}
	l.attempts = append(l.attempts, ledgerAttempt{w: w, sent: c.now})
	c.open = append(c.open, r)
	if e.StartedAt > 0 && c.now-e.StartedAt < c.s.SlowStartWindow {
		c.cold(w, e)
	}
}

// cold holds the dispatcher to its part of the budget, and one job.
func (c *checker) cold(w WorkerID, e ListEntry) {
	c.work[w] = append(c.work[w], sendAction{at: c.now})
	n := 0
	for _, x := range c.work[w] {
		if x.at > c.now-c.s.OverloadWindow && x.at >= e.StartedAt {
			n++
		}
	}
	warm := c.s.SlowStartMinCapacity + (1-c.s.SlowStartMinCapacity)*float64(c.now-e.StartedAt)/float64(c.s.SlowStartWindow)
	const slots, run = 4.0, 0.1 // as told to the dispatcher
	budget := c.s.OverloadFactor * warm * slots * float64(c.s.OverloadWindow) / 1e6 / float64(c.s.GroupSize)
	if float64(n)*run > budget+run {
		c.t.Fatalf("%d jobs to the cold %s within a window, the part of the budget is %.1f", n, w, budget/run)
	}
}

func (c *checker) answer(r RequestID, refusal bool) {
	l := c.requests[r]
	if l == nil {
		c.t.Fatalf("answered the unknown request %s", r)
	}
	if l.closed {
		return // the host disregards it
	}
	if refusal {
		for _, a := range l.attempts {
			if !a.never && (l.class.Effect == Once || l.class.Effect == Keyed && l.class.Group != GroupAll) {
				c.t.Fatalf("refused %s, which may have run", r)
			}
		}
	}
	l.closed = true
	l.answers++
}

func (c *checker) Refuse(r RequestID, _ Time, _ Reason) { c.answer(r, true) }
func (c *checker) Fail(r RequestID, _ Reason)           { c.answer(r, false) }
func (c *checker) Broadcast(data []byte)                {}
func (c *checker) Probe(w WorkerID) {
	if !c.s.MayProbe {
		c.t.Fatal("probed where that is not allowed")
	}
	c.probing = append(c.probing, w)
}

func TestHostileEvents(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { hostile(t, seed) })
	}
}

func hostile(t *testing.T, seed uint64) {
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
	c := &checker{recorder: newRecorder(), t: t, s: s, requests: map[RequestID]*ledger{},
		entries: map[WorkerID]ListEntry{}, work: map[WorkerID][]sendAction{}}
	b := &bed{a: c.recorder, now: 1_000_000_000}
	c.now = b.now
	b.Dispatcher = New(s, seed, b.now, c)
	for i := range b.classes { // known running times and capacity, so that the budget can be checked
		b.classes[i].run = ewma{100_000, 1e9}
	}
	b.fleetCapacity, b.meanRun = ewma{4, 1e9}, ewma{100_000, 1e9}
	list := func(form ListForm) {
		l := &List{Form: form}
		if form == ListFailed {
			b.List(b.now, l)
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
				e.StartedAt = b.now
			}
			l.Entries = append(l.Entries, e)
			c.entries[w] = e
		}
		b.List(b.now, l)
	}
	list(ListFull)
	for step := range 4000 {
		switch k := rng.IntN(20); {
		case k < 7:
			q := Request{ID: RequestID(fmt.Sprint("q", step)), Class: rng.IntN(len(s.Classes)), Tenant: rng.IntN(3),
				Key: rng.Uint64N(9), HasKey: rng.IntN(4) > 0, Deadline: b.now + Time(rng.IntN(2_000_000)), Slots: 1}
			c.requests[q.ID] = &ledger{q: q, class: s.Classes[q.Class]}
			b.Request(b.now, &q)
		case k < 13 && len(c.open) > 0:
			i := rng.IntN(len(c.open))
			id := c.open[i]
			l := c.requests[id]
			n := rng.IntN(len(l.attempts))
			a := &l.attempts[n]
			if a.over {
				continue
			}
			if rng.IntN(3) == 0 {
				b.Progress(b.now, &Progress{Request: id, Attempt: n, Worker: a.w, Started: rng.IntN(2) == 0})
				continue
			}
			c.open = append(c.open[:i], c.open[i+1:]...)
			st := Status(rng.IntN(int(Unknown) + 1))
			a.over, a.never = true, st.NeverRan()
			if st == OK && !l.closed {
				l.closed = true
				l.answers++
			}
			b.Outcome(b.now, &Outcome{Request: id, Attempt: n, Worker: a.w, Status: st, Closed: l.closed})
			if rng.IntN(8) == 0 { // the same again, and one for nobody
				b.Outcome(b.now, &Outcome{Request: id, Attempt: n, Worker: a.w, Status: OK, Closed: l.closed})
				b.Outcome(b.now, &Outcome{Request: "nobody", Worker: "none"})
			}
		case k == 13 && len(c.open) > 0 && rng.IntN(4) == 0:
			id := c.open[rng.IntN(len(c.open))]
			if l := c.requests[id]; !l.closed {
				l.closed = true
				l.answers++ // the client's own end
				b.ClientDisconnected(b.now, id)
			}
		case k == 14 && rng.IntN(8) == 0:
			list([]ListForm{ListDelta, ListFull, ListFailed}[rng.IntN(3)])
		case k == 15 && len(c.probing) > 0:
			w := c.probing[0]
			c.probing = c.probing[1:]
			b.Probed(b.now, &ProbeResult{Worker: w, Status: []Status{OK, TimedOut}[rng.IntN(2)],
				Load: Load{Has: HasFreeSlots, FreeSlots: 4 * rng.Float64()}})
		default:
			b.pass(Time(rng.IntN(20_000)))
		}
	}
	b.pass(2_100_000)
	for id, l := range c.requests {
		if l.answers != 1 {
			t.Fatalf("%s got %d final answers", id, l.answers)
		}
	}
	if len(c.sends) < 100 {
		t.Fatalf("only %d sends: this run tests nothing", len(c.sends))
	}
}

// The same seed and events give the same actions.
func TestDeterminism(t *testing.T) {
	run := func() string {
		b := newBed(oneClass(Repeatable), fleet(30)...)
		for k := range uint64(300) {
			b.ask(k % 17)
			b.pass(3 * ms)
			if k%3 == 0 {
				s := b.a.sends[len(b.a.sends)/2]
				b.end(s.r, 0, s.w, Status(k%9))
			}
		}
		return fmt.Sprint(b.a.sends, b.a.cancels)
	}
	if first, second := run(), run(); first != second {
		t.Error("two runs from the same seed differ")
	}
}
