package rules

import (
	"bufio"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
)

// recorder collects actions.
type recorder struct {
	retryAfter Time
	sends      []sendAction
	cancels    []string
	refused    map[RequestID]int
	failed     map[RequestID]int
	probes     []WorkerID
	watches    int
	told       [][]byte
	timers     []Time
	now        Time
	check      func(sendAction)
}

type sendAction struct {
	at Time
	r  RequestID
	w  WorkerID
}

func newRecorder() *recorder {
	return &recorder{refused: map[RequestID]int{}, failed: map[RequestID]int{}}
}

func (a *recorder) Send(r RequestID, _ Time, w WorkerID) {
	s := sendAction{a.now, r, w}
	if a.check != nil {
		a.check(s)
	}
	a.sends = append(a.sends, s)
}
func (a *recorder) Cancel(r RequestID, n int)            { a.cancels = append(a.cancels, fmt.Sprint(r, "/", n)) }
func (a *recorder) Refuse(r RequestID, t Time, _ Reason) { a.refused[r]++; a.retryAfter = t }
func (a *recorder) Fail(r RequestID, _ Reason)           { a.failed[r]++ }
func (a *recorder) Timer(delay Time, _ uint64)           { a.timers = append(a.timers, a.now+delay) }
func (a *recorder) Probe(w WorkerID)                     { a.probes = append(a.probes, w) }
func (a *recorder) Broadcast(data []byte)                { a.told = append(a.told, data) }
func (a *recorder) Watch(bool)                           { a.watches++ }
func (a *recorder) Fetch()                               {}
func (a *recorder) Log(string)                           {}
func (a *recorder) last() (s sendAction)                 { return a.sends[len(a.sends)-1] }
func (a *recorder) answers(r RequestID) (n int)          { return a.refused[r] + a.failed[r] }
func (a *recorder) sentTo(w WorkerID) (n int) {
	for _, s := range a.sends {
		if s.w == w {
			n++
		}
	}
	return n
}

const ms = Time(1000)

// bed is a dispatcher with its recorder and a clock of the test's own.
type bed struct {
	*Dispatcher
	a   *recorder
	now Time
	n   int
}

func newBed(s Settings, workers ...ListEntry) *bed {
	b := &bed{a: newRecorder(), now: 1_000_000_000}
	b.a.now = b.now
	b.Dispatcher = New(s, 1, b.now, b.a)
	b.List(b.now, &List{Form: ListCached, Entries: workers})
	return b
}

// pass moves the clock, bringing back the timers due on the way.
func (b *bed) pass(by Time) {
	end := b.now + by
	for {
		next := -1
		for i, at := range b.a.timers {
			if at <= end && (next < 0 || at < b.a.timers[next]) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		b.now = max(b.now, b.a.timers[next])
		b.a.timers = append(b.a.timers[:next], b.a.timers[next+1:]...)
		b.a.now = b.now
		b.TimerDue(b.now, 0)
	}
	b.now, b.a.now = end, end
}

func (b *bed) ask(key uint64) RequestID { return b.askAs(Request{Key: key, HasKey: true}) }

func (b *bed) askAs(q Request) RequestID {
	b.n++
	q.ID = RequestID(fmt.Sprint("r", b.n))
	if q.Deadline == 0 {
		q.Deadline = b.now + 5000*ms
	}
	b.Request(b.now, &q)
	return q.ID
}

func (b *bed) end(r RequestID, attempt int, w WorkerID, s Status) {
	b.Outcome(b.now, &Outcome{Request: r, Attempt: attempt, Worker: w, Status: s, Closed: s == OK})
}

// serve asks for the key and lets the job run for the time given.
func (b *bed) serve(key uint64, run Time) WorkerID {
	r := b.ask(key)
	s := b.a.last()
	b.pass(run)
	b.end(r, 0, s.w, OK)
	return s.w
}

func fleet(n int) (l []ListEntry) {
	for i := range n {
		l = append(l, ListEntry{Worker: WorkerID(fmt.Sprint("w", i)), Weight: 1, Cell: i / 2, Zone: i % 2})
	}
	return l
}

func oneClass(effect Effect) Settings {
	return Settings{Zones: 2, Kinds: 1, MaxAttempts: 5, MayCancel: true, AnswerSlack: 16 * ms,
		Classes: []Class{{LatencyTarget: 150 * ms, TargetStretch: 2, Deadline: 5000 * ms, Effect: effect, Window: 2000 * ms, Kind: -1}}}
}

// ---- The paper's rules.

func TestKeyStaysInItsSetBeforeAnyScan(t *testing.T) {
	b := newBed(oneClass(Once), fleet(20)...)
	home := b.serve(7, 100*ms)
	for range 20 {
		if w := b.serve(7, 100*ms); w != home {
			t.Fatalf("went to %s, the set holds %s", w, home)
		}
	}
	if set := b.table.byKey[7].set; len(set) != 1 || set[0].id != home {
		t.Errorf("the set should hold the home alone, has %d", len(set))
	}
}

func TestLeastLoadedOfTheSet(t *testing.T) {
	b := newBed(oneClass(Once), fleet(6)...)
	e := b.table.touch(7, 100)
	for _, w := range []WorkerID{"w1", "w2", "w3"} {
		e.set = append(e.set, b.byID[w])
	}
	b.byID["w1"].ownSlots, b.byID["w2"].ownSlots, b.byID["w3"].ownSlots = 2, 1, 3
	b.ask(7)
	if w := b.a.last().w; w != "w2" {
		t.Errorf("went to %s, want the least loaded of the set, w2", w)
	}
}

func TestFullTakesNothingAndAScanJoins(t *testing.T) {
	b := newBed(oneClass(Once), fleet(20)...)
	home := b.serve(7, 100*ms)
	b.byID[home].ownSlots = 100
	b.ask(7)
	if w := b.a.last().w; w == home {
		t.Fatal("a Full worker was sent a job while others were Free")
	}
	if set := b.table.byKey[7].set; len(set) != 2 {
		t.Errorf("the scan's choice should have joined the set: %d workers", len(set))
	}
}

func TestBusyTakesMajorKeysOnly(t *testing.T) {
	b := newBed(oneClass(Once), fleet(8)...)
	b.meanRun.add(100_000, gain)
	now := b.now
	w := b.byID["w0"]
	r := &request{Request: Request{Key: 7, HasKey: true, Slots: 1}}
	w.ownSlots = 0.8 * defaultSlots // Busy
	for range 4 {
		for k := uint64(100); k < 104; k++ {
			w.countRunningKey(now, k, b.meanRun.v)
		}
	}
	w.countRunningKey(now, 7, b.meanRun.v)
	if v := b.availability(now, w, r); v != notMajor {
		t.Errorf("a minor key at a Busy worker: %v, want notMajor", v)
	}
	for range 9 {
		w.countRunningKey(now, 7, b.meanRun.v)
	}
	if v := b.availability(now, w, r); v != accepts {
		t.Errorf("a major key at a Busy worker: %v, want accepts", v)
	}
	w.ownSlots = 0 // Free
	r.Key = 8
	if v := b.availability(now, w, r); v != accepts {
		t.Errorf("any key at a Free worker: %v, want accepts", v)
	}
	w.ownSlots = 2 * defaultSlots
	if v := b.availability(now, w, r); v != full {
		t.Errorf("a Full worker: %v, want full", v)
	}
}

func TestBusyDeassignsMinorKey(t *testing.T) {
	b := newBed(oneClass(Once), fleet(8)...)
	b.meanRun.add(100_000, gain)
	r := &request{Request: Request{Key: 7, HasKey: true, Slots: 1, Deadline: b.now + 1000*ms}}
	b.fillSample(r, sampleSize)
	w := b.sampleBuf[len(b.sampleBuf)-1] // not the key's home
	e := b.table.touch(7, 100)
	e.set = append(e.set, w)
	w.ownSlots = 0.8 * defaultSlots
	for k := uint64(100); k < 104; k++ {
		w.countRunningKey(b.now, k, b.meanRun.v)
	}
	b.ask(7)
	for _, m := range b.table.byKey[7].set {
		if m == w {
			t.Error("a Busy worker should have left the set of a key that is not major there")
		}
	}
}

func TestAllFullJoinsTheLeastLoadedQueue(t *testing.T) {
	b := newBed(oneClass(Once), fleet(4)...)
	for i, id := range []WorkerID{"w0", "w1", "w2", "w3"} {
		b.byID[id].ownSlots = 40 - float64(i)
	}
	b.ask(7)
	if w := b.a.last().w; w != "w3" {
		t.Errorf("joined the queue of %s, want the least loaded, w3", w)
	}
}

func TestKindSlotsAndMemoryDecideWhoIsEligible(t *testing.T) {
	s := oneClass(Once)
	s.Kinds = 2
	s.Classes[0].Kind = 1
	l := fleet(10)
	l[4].Kind = 1
	b := newBed(s, l...)
	for k := range uint64(20) {
		b.ask(k)
		if w := b.a.last().w; w != "w4" {
			t.Fatalf("sent to %s, which is of another kind", w)
		}
	}
	b = newBed(oneClass(Once), fleet(2)...)
	b.byID["w0"].capacity, b.byID["w1"].capacity = ewma{2, 20}, ewma{8, 20}
	for k := range uint64(5) {
		b.askAs(Request{Key: k, HasKey: true, Slots: 4})
		if w := b.a.last().w; w != "w1" {
			t.Fatalf("a job of 4 slots went to %s, which has 2", w)
		}
	}
	s = oneClass(Once) // the same where capacity is learned by kind
	s.Kinds = 2
	l = fleet(6)
	for i := range l {
		l[i].Kind = i % 2
	}
	b = newBed(s, l...)
	b.kinds[0].capacity, b.kinds[1].capacity = ewma{2, 20}, ewma{8, 20}
	for k := range uint64(20) {
		b.askAs(Request{Key: k, HasKey: true, Slots: 4})
		if w := b.byID[b.a.last().w]; w.Kind != 1 {
			t.Fatalf("a job of 4 slots went to %s, whose kind has 2", w.id)
		}
	}
	b = newBed(oneClass(Once), fleet(2)...)
	b.meanRun.add(100_000, gain)
	b.byID["w0"].freeMem, b.byID["w0"].freeMemAt = 0.2, b.now
	for k := range uint64(5) {
		b.askAs(Request{Key: k, HasKey: true, Memory: 1})
		if w := b.a.last().w; w != "w1" {
			t.Fatalf("a job of 1 unit of memory went to %s, which has 0.2", w)
		}
	}
}

func TestRequestsWithoutKeySpread(t *testing.T) {
	b := newBed(oneClass(Once), fleet(10)...)
	for range 40 {
		b.askAs(Request{})
	}
	used := map[WorkerID]bool{}
	for _, s := range b.a.sends {
		used[s.w] = true
	}
	if len(b.a.sends) != 40 || len(used) < 5 || len(b.table.byKey) != 0 {
		t.Errorf("%d sends to %d workers, %d table entries", len(b.a.sends), len(used), len(b.table.byKey))
	}
}

func TestTwoDispatchersAgreeOnAHome(t *testing.T) {
	x, y := newBed(oneClass(Once), fleet(50)...), newBed(oneClass(Once), fleet(50)...)
	same := 0
	for k := range uint64(50) {
		if x.serve(k, ms) == y.serve(k, 2*ms) {
			same++
		}
	}
	if same < 45 {
		t.Errorf("tables that share nothing agree on %d of 50 homes", same)
	}
}

func TestMemoryStaysBounded(t *testing.T) {
	b := newBed(oneClass(Once), fleet(10)...)
	for k := range uint64(5000) { // a flood of one-off keys
		b.serve(k, ms)
	}
	if n := len(b.table.byKey); n > 256 {
		t.Errorf("%d table entries after a flood of one-off keys", n)
	}
	if n := len(b.requests); n != 0 {
		t.Errorf("%d requests remembered after their end", n)
	}
	for i := range 100 { // churn
		l := fleet(10)
		for j := range l {
			l[j].Worker = WorkerID(fmt.Sprint("g", i, "-", j))
		}
		b.List(b.now, &List{Form: ListFull, Entries: l})
		b.pass(1000 * ms)
	}
	if len(b.byID) > 20 || len(b.workers) > 20 {
		t.Errorf("%d workers remembered after churn of a fleet of 10", len(b.byID))
	}
}

// ---- The four rules.

func TestHeldRequestsEndOnce(t *testing.T) {
	b := newBed(oneClass(Once)) // an empty list
	r := b.ask(7)
	b.pass(4000 * ms)
	if b.a.answers(r) != 0 {
		t.Fatal("answered before its time: a worker might still have come")
	}
	b.pass(1000*ms + 16*ms)
	b.pass(5000 * ms)
	if b.a.answers(r) != 1 {
		t.Errorf("%d final answers, want 1", b.a.answers(r))
	}
}

func TestHeldRequestsGoWhenAWorkerComes(t *testing.T) {
	b := newBed(oneClass(Once))
	for range 30 {
		b.ask(7)
	}
	b.pass(300 * ms)
	b.List(b.now, &List{Form: ListDelta, Entries: fleet(10)})
	b.pass(1000 * ms)
	if len(b.a.sends) != 30 {
		t.Errorf("%d of 30 held requests sent after the list came", len(b.a.sends))
	}
}

func TestUnsafeRequestIsNotSentAgain(t *testing.T) {
	for _, s := range []Status{Error, TimedOut, Reset, Cancelled, Unknown} {
		b := newBed(oneClass(Once), fleet(5)...)
		r := b.ask(7)
		b.end(r, 0, b.a.last().w, s)
		if len(b.a.sends) != 1 || b.a.failed[r] != 1 || b.a.refused[r] != 0 {
			t.Errorf("after %v: %d sends, failed %d, refused %d", s, len(b.a.sends), b.a.failed[r], b.a.refused[r])
		}
	}
	for _, s := range []Status{Refused, Unreachable, NotSent} {
		b := newBed(oneClass(Once), fleet(5)...)
		r := b.ask(7)
		b.end(r, 0, b.a.last().w, s)
		if len(b.a.sends) != 2 || b.a.answers(r) != 0 {
			t.Errorf("after %v, which proves that it never ran: %d sends, %d answers", s, len(b.a.sends), b.a.answers(r))
		}
	}
}

// The gate holds by itself, whatever the callers have checked before.
func TestTheGateItself(t *testing.T) {
	b := newBed(oneClass(Once), fleet(3)...)
	w := b.byID["w0"]
	fresh := func() *request { return &request{Request: Request{Slots: 1, Deadline: b.now + 100*ms}} }
	if !b.maySend(b.now, fresh(), w) {
		t.Fatal("the gate holds back a plain request")
	}
	closed, late, sent := fresh(), fresh(), fresh()
	closed.closed = true
	late.Deadline = b.now
	sent.attempts = []attempt{{w: b.byID["w1"], ended: true}}
	for name, r := range map[string]*request{"closed": closed, "past its deadline": late, "unsafe and sent": sent} {
		if b.maySend(b.now, r, w) {
			t.Errorf("the gate lets through a request that is %s", name)
		}
	}
	for _, s := range []WorkerState{Draining, Gone} {
		if w.state = s; b.maySend(b.now, fresh(), w) {
			t.Errorf("the gate lets through a send to a worker in state %v", s)
		}
	}
}

func TestKeyedRequestStaysInGroupAndWindow(t *testing.T) {
	s := oneClass(Keyed)
	s.Classes[0].Group = GroupCell
	b := newBed(s, fleet(10)...)
	r := b.ask(7)
	first := b.byID[b.a.last().w]
	b.end(r, 0, first.id, Reset)
	if len(b.a.sends) != 2 {
		t.Fatal("a keyed request may be sent again in its cell")
	}
	if again := b.byID[b.a.last().w]; again.Cell != first.Cell || again == first {
		t.Errorf("sent again to cell %d, want another worker of cell %d", again.Cell, first.Cell)
	}
	b = newBed(s, fleet(10)...)
	r = b.ask(7)
	w := b.a.last().w
	b.pass(1900 * ms)
	b.end(r, 0, w, Reset)
	b.pass(5000 * ms)
	if len(b.a.sends) != 1 || b.a.failed[r] != 1 || b.a.refused[r] != 0 {
		t.Errorf("past the window: %d sends, failed %d, refused %d", len(b.a.sends), b.a.failed[r], b.a.refused[r])
	}
}

func TestNothingNewToADrainingWorker(t *testing.T) {
	b := newBed(oneClass(Once), fleet(10)...)
	home := b.serve(7, 10*ms)
	e := b.byID[home].ListEntry
	e.State = Draining
	b.List(b.now, &List{Form: ListDelta, Entries: []ListEntry{e}})
	for range 10 {
		if w := b.serve(7, 10*ms); w == home {
			t.Fatal("sent to a draining worker")
		}
	}
	l := fleet(10)[:3]
	b.List(b.now, &List{Form: ListFull, Entries: l}) // absent from a full list: gone
	for k := range uint64(30) {
		if w := b.serve(k, 10*ms); w != "w0" && w != "w1" && w != "w2" {
			t.Fatalf("sent to %s, which is gone", w)
		}
	}
}

// All dispatchers learn of a cold worker at once, and each one's share is below one job: together
// they must stay within the budget, from the first moment on.
func TestColdWorkerGetsNoOpeningBurst(t *testing.T) {
	const group = 60
	s := oneClass(Once)
	s.GroupSize, s.SlowStartMinCapacity, s.SlowStartWindow, s.OverloadFactor, s.OverloadWindow = group, 0.3, 9000*ms, 3, 1500*ms
	var at []Time
	for g := range group {
		s.Rank = g
		b := newBed(s)
		b.Dispatcher = New(s, uint64(g), b.now, b.a)
		b.meanRun.add(200_000, gain)
		for range 20 {
			b.classes[0].run.add(200_000, gain)
		}
		b.fleetCapacity.add(4, gain)
		b.List(b.now, &List{Form: ListDelta, Entries: []ListEntry{{Worker: "cold", Weight: 1, StartedAt: b.now}}})
		for range 100 { // far more than it may be given
			b.ask(7)
			b.pass(30 * ms)
		}
		for _, x := range b.a.sends {
			at = append(at, x.at)
		}
	}
	if len(at) == 0 {
		t.Fatal("a cold worker must get some work, or it never warms by work done")
	}
	for _, from := range at {
		inWindow := 0.0
		for _, x := range at {
			if x >= from && x < from+1500*ms {
				inWindow += 0.2 * 1 // slot-seconds
			}
		}
		age := float64(from-1_000_000_000) / 9e6
		if budget := 3 * 4 * (0.3 + 0.7*age) * 1.5; inWindow > budget {
			t.Fatalf("%.1f slot-seconds within a window from %d, the budget is %.1f", inWindow, from, budget)
		}
	}
}

func TestAskingForTheListBacksOff(t *testing.T) {
	s := oneClass(Once)
	s.PullsList = true
	b := newBed(s, fleet(3)...)
	b.pass(5000 * ms)
	if b.a.watches != 1 {
		t.Fatalf("%d calls in the first 5 s, want 1", b.a.watches)
	}
	for range 60 { // every call fails, a second after it was made
		if calls := b.a.watches; b.watching && calls > 0 {
			b.List(b.now, &List{Form: ListFailed})
		}
		b.pass(1000 * ms)
	}
	if n := b.a.watches; n < 4 || n > 20 {
		t.Errorf("%d calls in 60 s of failures: want a few, further apart each time", n)
	}
}

// ---- Failures met, each with the day that showed it in docs/incidents or the history.

// A report that is repeated in every answer is not news: taken as fresh each time, it sent 68% of
// attempts to workers that were full.
func TestARepeatedReportIsNotNews(t *testing.T) {
	s := oneClass(Once)
	s.LoadInAnswers = true
	b := newBed(s, fleet(3)...)
	b.meanRun.add(100_000, gain)
	w := b.byID["w0"]
	l := Load{Has: HasQueue | HasInFlight | HasFreeSlots, InFlight: 3, FreeSlots: 1}
	b.applyReport(b.now, w, &l)
	seen := w.othersSeenAt
	b.pass(500 * ms)
	b.applyReport(b.now, w, &l)
	if w.othersSeenAt != seen || w.othersLoad.n != 1 {
		t.Error("the same figures again were taken for a new observation")
	}
	l.InFlight = 4
	b.applyReport(b.now, w, &l)
	if w.othersSeenAt != b.now {
		t.Error("new figures were passed over")
	}
}

// Reports count jobs, and a job may take several slots: two jobs of three slots are six, not two.
func TestReportsCountJobsNotSlots(t *testing.T) {
	b := newBed(oneClass(Once), fleet(3)...)
	b.meanRun.add(100_000, gain)
	for range 20 {
		b.askAs(Request{Slots: 3})
	}
	w := b.byID["w0"]
	w.ownAverage, w.ownSlots = 0, 0
	b.applyReport(b.now, w, &Load{Has: HasInFlight | HasFreeSlots, InFlight: 2, FreeSlots: 2})
	if w.capacity.v < 7.9 || w.capacity.v > 8.1 || w.othersLoad.v < 5.9 {
		t.Errorf("capacity %.1f and others' load %.1f, want 8 and 6", w.capacity.v, w.othersLoad.v)
	}
}

// A worker that turned a job away is Full whatever its report says.
func TestARefusingWorkerIsFullForAWhile(t *testing.T) {
	b := newBed(oneClass(Once), fleet(10)...)
	home := b.serve(7, 100*ms)
	r := b.ask(7)
	b.end(r, 0, home, Refused)
	if w := b.a.last().w; w == home {
		t.Fatal("sent back to the worker that had just turned it away")
	}
	b.ask(7)
	if w := b.a.last().w; w == home {
		t.Error("the next job of the key went to the worker that had just turned one away")
	}
}

// A wait behind one long job must not be read as a jam of dozens.
func TestStartDelayIsBounded(t *testing.T) {
	s := oneClass(Once)
	s.ReportsStart = true
	b := newBed(s, fleet(3)...)
	b.meanRun.add(100_000, gain)
	r := b.ask(7)
	w := b.byID[b.a.last().w]
	b.pass(3000 * ms)
	b.Progress(b.now, &Progress{Request: r, Worker: w.id, Started: true})
	if n := b.load(b.now, w); n < b.slots(w) || n > 2*b.slots(w)+1 {
		t.Errorf("load %.1f of %.1f slots after a long wait", n, b.slots(w))
	}
}

// A worker never looked at must not win by being unseen.
func TestAnUnseenWorkerIsNotTakenAsEmpty(t *testing.T) {
	b := newBed(oneClass(Once), fleet(3)...)
	for range 30 {
		b.recordOthersLoad(b.now, b.byID["w0"], b.slots(b.byID["w0"]))
	}
	if n := b.load(b.now, b.byID["w2"]); n < 0.9*b.slots(b.byID["w2"]) {
		t.Errorf("an unseen worker counts as bearing %.1f while the seen bear %.1f", n, b.slots(b.byID["w0"]))
	}
}

// A jam once seen must not have everything shed for good: nothing would be sent that could tell of
// its end. Found by the hostile events, with one send in 1,400 requests.
func TestAJamOnceSeenFades(t *testing.T) {
	b := newBed(oneClass(Once), fleet(10)...)
	b.meanRun, b.classes[0].run = ewma{100_000, 100}, ewma{100_000, 100}
	for _, w := range b.workers {
		b.recordOthersLoad(b.now, w, 5*b.slots(w))
	}
	if b.ask(7); len(b.a.sends) != 0 {
		t.Fatal("a job sent into a jam of five jobs a slot")
	}
	for range 100 {
		b.pass(100 * ms)
		b.ask(7)
	}
	if len(b.a.sends) == 0 {
		t.Error("100 times as long as a job runs, and still everything is shed on one old sight")
	}
}

// A hot key fills all that follow it on the ring; a scan for it must reach further.
func TestAHotKeyReachesFurther(t *testing.T) {
	b := newBed(oneClass(Once), fleet(100)...)
	b.meanRun.add(1_000_000, gain)
	for range 100 {
		b.ask(7)
	}
	r := &request{Request: Request{Key: 7, HasKey: true}}
	if n := b.scanSize(b.now, r); n <= sampleSize {
		t.Errorf("a key that draws everything is looked for at %d workers", n)
	}
	for k := range uint64(300) {
		b.ask(1000 + k)
	}
	r.Key = 1001
	if n := b.scanSize(b.now, r); n != sampleSize {
		t.Errorf("a key asked for once is looked for at %d workers, want %d", n, sampleSize)
	}
}

// Under load a rare key must not spill over the fleet: each spill is a fetch that evicts another copy.
// In i50f806 40% of requests fetched.
func TestARareKeyDoesNotSpill(t *testing.T) {
	b := newBed(oneClass(Once), fleet(100)...)
	b.meanRun.add(1_000_000, gain)
	b.keyedRequests = decayingCount{n: 10_000, at: b.now} // requests for other keys
	used := map[WorkerID]bool{}
	for range 12 {
		b.ask(7)
		w := b.a.last().w
		used[w] = true
		b.byID[w].ownSlots = 3 * defaultSlots // Full from now on
		b.pass(200 * ms)
	}
	if len(used) > sampleSize {
		t.Errorf("a rare key was spread over %d workers, though a scan looks at %d", len(used), sampleSize)
	}
}

// When not all can be done, what brings little for its time goes first, and over-share traffic.
func TestSheddingByWorth(t *testing.T) {
	s := oneClass(Once)
	s.OverQuotaValue = 0.05
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[0].Value, s.Classes[1].Value = 1, 10
	b := newBed(s, fleet(1)...)
	b.meanRun = ewma{100_000, 100}
	b.classes[0].run, b.classes[1].run = ewma{100_000, 100}, ewma{100_000, 100}
	w := b.byID["w0"]
	w.capacity.add(4, gain)
	b.classes[0].recentRequests, b.classes[1].recentRequests = 50, 50
	r := func(class int, over bool) *request {
		return &request{size: 1, Request: Request{Class: class, Slots: 1}, arrived: b.now, overQuota: over}
	}
	shed := func(load float64, q *request) bool {
		w.ownSlots = load
		return b.shouldShed(b.now, q, w)
	}
	if shed(5, r(1, false)) || !shed(5, r(0, false)) || !shed(5, r(1, true)) {
		t.Errorf("with a short queue: dear %v, cheap %v, over-share %v; want only the dear one kept",
			shed(5, r(1, false)), shed(5, r(0, false)), shed(5, r(1, true)))
	}
	if !shed(40, r(1, false)) {
		t.Error("what can't be in time is kept")
	}
}

// One worker seen in a jam is tried again although others are seen all the time: in id652f5 a third of
// the posters got nothing any more after one bad sight.
func TestAWorkerNotSeenForLongIsTried(t *testing.T) {
	b := newBed(oneClass(Once), fleet(2)...)
	b.meanRun, b.classes[0].run = ewma{100_000, 100}, ewma{100_000, 100}
	for range 8 {
		b.recordOthersLoad(b.now, b.byID["w0"], 5*defaultSlots)
	}
	for range 80 {
		b.pass(50 * ms)
		b.recordOthersLoad(b.now, b.byID["w1"], 5*defaultSlots)
		b.ask(7)
	}
	if n := b.a.sentTo("w0"); n == 0 || n > 5 {
		t.Errorf("%d of 80 jobs sent to a worker last seen in a jam, 40 running times ago: want a trial or a few", n)
	}
	if n := b.a.sentTo("w1"); n != 0 {
		t.Errorf("%d jobs sent to a worker that is seen in a jam", n)
	}
}

// Where there is one class, the price of a place must not shed what is within its share, whatever
// running times do: incident id652f5 refused 85% with the price at 1 while the run doubled.
func TestOneClassIsNotShedByPrice(t *testing.T) {
	b := newBed(oneClass(Once), fleet(1)...)
	for range 50 {
		b.ask(7)
	}
	b.admissionThreshold = maxThreshold
	b.classes[0].run = ewma{900_000, 1000}
	if rel := b.relativeDensity(&request{size: 1, Request: Request{Slots: 1}}); rel < b.admissionThreshold {
		t.Errorf("the only class has a worth of %.2f against the mean, under the highest price %.2f", rel, b.admissionThreshold)
	}
}

// A silent worker draws nothing while others answer, and comes back when it is heard again.
func TestSilentWorkerIsAvoided(t *testing.T) {
	s := oneClass(Once)
	s.ReportsStart = true
	b := newBed(s, fleet(6)...)
	for k := range uint64(60) { // what a sign of life usually takes
		r := b.ask(k)
		x := b.a.last()
		b.pass(2 * ms)
		b.Progress(b.now, &Progress{Request: r, Worker: x.w, Started: true})
		b.pass(20 * ms)
		b.end(r, 0, x.w, OK)
	}
	r := b.ask(7)
	quiet := b.a.last().w
	b.pass(500 * ms)
	before := b.a.sentTo(quiet)
	for k := range uint64(40) {
		id := b.ask(7 + k%3)
		x := b.a.last()
		b.pass(5 * ms)
		b.end(id, 0, x.w, OK)
	}
	if n := b.a.sentTo(quiet) - before; n > 0 {
		t.Errorf("%d jobs sent to a silent worker", n)
	}
	b.Progress(b.now, &Progress{Request: r, Worker: quiet, Started: true})
	if b.isSuspect(b.now, b.byID[quiet]) {
		t.Error("still suspect after a sign of life")
	}
}

// Asking workers that are lost is paid for by the jobs that come: eighty dispatchers that each asked thirty
// lost workers as often as they liked were most of all the fleet's probes.
func TestProbesOfLostWorkersFollowFromTheJobs(t *testing.T) {
	s := oneClass(Repeatable)
	s.MayProbe, s.LoadInProbes, s.ProbeCost, s.MaxAttempts = true, true, 0.0018, 4
	b := newBed(s, fleet(30)...)
	answered, jobs := 0, 0
	for range 100 {
		for range 3 {
			jobs++
			b.ask(uint64(jobs))
		}
		for range 10 {
			b.pass(10 * ms)
			for ; answered < len(b.a.probes); answered++ {
				b.Probed(b.now, &ProbeResult{Worker: b.a.probes[answered], Status: Unreachable})
			}
			for _, w := range b.workers {
				b.recordFailure(b.now, w, 0.5)
			}
		}
	}
	if n := len(b.a.probes); n == 0 || float64(n) > maxProbes*float64(jobs) {
		t.Errorf("%d probes for %d jobs", n, jobs)
	}
}

// A worker that errs quickly keeps low counts and must not draw the fallbacks.
func TestFastErrorsDoNotDrawTraffic(t *testing.T) {
	b := newBed(oneClass(Once), fleet(6)...)
	for k := range uint64(200) {
		r := b.ask(k)
		x := b.a.last()
		b.pass(ms)
		if x.w == "w0" {
			b.end(r, 0, x.w, Error)
		} else {
			b.end(r, 0, x.w, OK)
		}
	}
	if n := b.a.sentTo("w0"); n > 15 {
		t.Errorf("%d of 200 jobs went to a worker that fails all", n)
	}
}

// An attempt whose connection broke may run on at its worker: the request goes to another, and back to that one only when it
// has been started anew.
func TestNoSecondAttemptWhereTheFirstMayRunOn(t *testing.T) {
	for _, effect := range []Effect{Repeatable, Keyed} {
		b := newBed(oneClass(effect), ListEntry{Worker: "only", Weight: 1})
		r := b.ask(1)
		b.end(r, 0, "only", Reset)
		b.pass(200 * ms)
		if n := len(b.a.sends); n != 1 {
			t.Fatalf("%d attempts at a worker where the first may run on", n)
		}
		b.List(b.now, &List{Entries: []ListEntry{{Worker: "other", Weight: 1}}})
		b.pass(200 * ms)
		if n := len(b.a.sends); n != 2 || b.a.last().w != "other" {
			t.Fatalf("%d attempts, the last at %s; wanted a second, at the other worker", n, b.a.last().w)
		}
		b = newBed(oneClass(effect), ListEntry{Worker: "only", Weight: 1})
		r = b.ask(1)
		b.end(r, 0, "only", Reset)
		b.List(b.now, &List{Entries: []ListEntry{{Worker: "only", Weight: 1, StartedAt: b.now - 60*second}}})
		b.pass(200 * ms)
		if n := len(b.a.sends); n != 2 {
			t.Errorf("%d attempts, though the worker has been started anew", n)
		}
	}
}

// When most of the fleet looks bad, health is disregarded: the few that are left must not be overrun.
func TestHealthIsDisregardedWhenMostLookBad(t *testing.T) {
	b := newBed(oneClass(Once), fleet(6)...)
	for _, id := range []WorkerID{"w0", "w1", "w2", "w3", "w4"} {
		for range 4 { // benched for four seconds
			b.recordFailure(b.now, b.byID[id], 0.5)
		}
	}
	b.pass(300 * ms)
	for k := range uint64(60) {
		b.serve(k, ms)
	}
	if n := b.a.sentTo("w5"); n > 40 {
		t.Errorf("%d of 60 jobs went to the one worker that looks well", n)
	}
}

func TestPolicyFilesStayWithinTheirLimits(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile(`"rules/(\w+\.go)"`).FindAllSubmatch(text, -1)
	if len(named) < 2 {
		t.Fatal("deploy/balancer.toml names no policy files")
	}
	for _, m := range named {
		name := string(m[1])
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		at := 0
		for sc := bufio.NewScanner(f); sc.Scan(); {
			at++
			if n := len([]rune(strings.ReplaceAll(sc.Text(), "\t", "    "))); n > 110 {
				t.Errorf("%s:%d has %d columns, at most 110", name, at, n)
			}
		}
		f.Close()
	}
}

// Crossing zones has a price: of two workers as good as each other the one of our own zone is taken, and
// one of our own zone that is loaded still loses to an idle one far away.
func TestOwnZoneGoesFirst(t *testing.T) {
	far := func(price float64) int {
		s := oneClass(Once)
		s.CrossZoneCost = price
		b := newBed(s, ListEntry{Worker: "near", Weight: 1}, ListEntry{Worker: "far", Zone: 1, Weight: 1})
		for range 6 {
			b.askAs(Request{})
		}
		return b.a.sentTo("far")
	}
	free, priced := far(0), far(0.13)
	if free != 3 || priced == 0 || priced >= free {
		t.Errorf("%d of 6 sent far without a price, %d with one", free, priced)
	}
}

// A refusal tells the client when to return: after a part of the time that a job runs here.
func TestRefusalSaysWhenToReturn(t *testing.T) {
	s := oneClass(Once)
	s.RetryAfter, s.MaxRetryAfter = true, 2000*ms
	b := newBed(s, fleet(1)...)
	b.serve(1, 400*ms)
	b.List(b.now, &List{Form: ListFull})
	r := b.askAs(Request{Deadline: b.now + 100*ms})
	b.pass(200 * ms)
	if b.a.refused[r] != 1 || b.a.retryAfter < 100*ms || b.a.retryAfter > 400*ms {
		t.Errorf("refused %d times, return after %d", b.a.refused[r], b.a.retryAfter)
	}
}

// A scan looks at workers of both zones: half of its sample is of the own one where crossing has a price.
func TestSampleHoldsOwnZone(t *testing.T) {
	s := oneClass(Once)
	s.CrossZoneCost = 0.13
	b := newBed(s, fleet(16)...)
	for key := range uint64(40) {
		b.fillSample(&request{Request: Request{Key: key}}, sampleSize)
		own := 0
		for _, w := range b.sampleBuf {
			if w.Zone == s.Zone {
				own++
			}
		}
		if len(b.sampleBuf) != sampleSize || own < sampleSize/2 {
			t.Errorf("key %d: %d of %d in the own zone", key, own, len(b.sampleBuf))
		}
	}
}

// A key that went to another zone while its own was full is taken back by a near worker that is free.
func TestAKeyComesBackToItsOwnZone(t *testing.T) {
	back := func(price float64) bool {
		s := oneClass(Once)
		s.CrossZoneCost = price
		b := newBed(s, ListEntry{Worker: "far", Zone: 1, Weight: 1})
		b.serve(1, 100*ms)
		b.List(b.now, &List{Entries: []ListEntry{{Worker: "near", Weight: 1}}})
		return b.serve(1, 100*ms) == "near"
	}
	if back(0) || !back(0.13) {
		t.Errorf("back without a price: %v, with one: %v; want only the second", back(0), back(0.13))
	}
}

// The price of crossing is one for each request: a job that is worth more bears it sooner.
func TestDearJobsCrossSooner(t *testing.T) {
	s := oneClass(Once)
	s.CrossZoneCost = 0.13
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[0].Value, s.Classes[1].Value = 2, 10
	b := newBed(s, ListEntry{Worker: "near", Weight: 1}, ListEntry{Worker: "far", Zone: 1, Weight: 1})
	for range 8 {
		b.serve(1, 10*ms)
	}
	far := b.byID["far"]
	near := &worker{ListEntry: far.ListEntry}
	near.Zone = s.Zone
	dearer := func(class int) float64 {
		r := &request{Request: Request{Class: class, Slots: 1}}
		return b.cost(b.now, far, r) / b.cost(b.now, near, r)
	}
	if cheap, dear := dearer(0), dearer(1); dear >= cheap || dear <= 1 {
		t.Errorf("crossing makes a cheap job's worker %.2f times as dear, a dear one's %.2f", cheap, dear)
	}
}

// A worker that wears out starts jobs and ends none for seconds. The job that runs on tells of it before
// it has ended, or all that comes meanwhile would be sent after it.
func TestAJobThatRunsOnTellsOfItsWorker(t *testing.T) {
	b := newBed(oneClass(Once), fleet(2)...)
	for range 16 {
		b.serve(1, 50*ms)
	}
	r := b.ask(1)
	worn := b.byID[b.a.last().w]
	b.Progress(b.now, &Progress{Request: r, Worker: worn.id, Started: true})
	before := b.slowness(b.now, worn)
	b.pass(100 * ms)
	if s := b.slowness(b.now, worn); s > before*1.01 {
		t.Errorf("%.2f times as slow after two running times, %.2f before", s, before)
	}
	b.pass(1500 * ms)
	if s := b.slowness(b.now, worn); s < 4*before {
		t.Errorf("%.2f times as slow after thirty running times, %.2f before", s, before)
	}
	b.end(r, 0, worn.id, OK)
	b.pass(500 * ms)
	if worn.overdue != 0 {
		t.Errorf("%.1f running times after the end", worn.overdue)
	}
}

// A worker that fails jobs at once, and answers probes all the while, lost every move and settle that came
// when its bench was over. Jobs that may be repeated go first; once those are served the others follow.
func TestAWorkerThatFailsJobsGetsRepeatableOnesFirst(t *testing.T) {
	s := oneClass(Once)
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Effect = Repeatable
	b := newBed(s, fleet(4)...)
	b.serve(1, 100*ms)
	r := b.ask(1)
	failing := b.a.last().w
	b.end(r, 0, failing, Error)
	b.Probed(b.now, &ProbeResult{Worker: failing, Status: OK})
	sends := func(class int) (there bool) {
		id := b.askAs(Request{Key: 1, HasKey: true, Class: class})
		at := b.a.last().w
		b.pass(10 * ms)
		b.end(id, 0, at, OK)
		return at == failing
	}
	if sends(0) {
		t.Error("a job that must not run twice went to the worker that had just failed one")
	}
	w := b.byID[failing]
	one, two := &request{Request: Request{Class: 0}}, &request{Request: Request{Class: 1}}
	if !b.avoidAfterFailures(b.now, w, one) || b.avoidAfterFailures(b.now, w, two) {
		t.Error("it holds for those that must not run twice, and for them alone")
	}
	for range 8 {
		w.recentFailures.n *= 1 - loadGain // as each job that it serves does
	}
	if b.avoidAfterFailures(b.now, w, one) {
		t.Error("it has served eight jobs since")
	}
}

// A worker that reports what none of its kind comes near would, believed, draw all jobs or have all be
// taken for jammed.
func TestReportsThatCannotBeTrueAreNotBelieved(t *testing.T) {
	b := newBed(oneClass(Once), fleet(6)...)
	b.meanRun.add(100_000, gain)
	for i := range 12 {
		w := b.workers[i%6]
		b.applyReport(b.now, w, &Load{Has: HasQueue | HasInFlight | HasFreeSlots, InFlight: 1, FreeSlots: 3 + float64(i)/100})
	}
	liar := b.byID["w0"]
	b.applyReport(b.now, liar, &Load{Has: HasQueue | HasInFlight | HasFreeSlots, FreeSlots: 9000})
	if b.slots(liar) > 5 {
		t.Errorf("%.0f slots are believed of a worker whose kind has 4", b.slots(liar))
	}
	b.applyReport(b.now, liar, &Load{Has: HasQueue | HasInFlight | HasFreeSlots, InFlight: 90_000, Queue: 89_999, FreeSlots: 3})
	unseen := &worker{ListEntry: liar.ListEntry}
	if load := b.load(b.now, unseen); load > 10 {
		t.Errorf("a worker that was never seen is taken to bear %.0f for what one reported of itself", load)
	}
}

// In a large fleet the sample would seldom hold the one worker that asks for work [D8].
func TestAWorkerThatAsksStandsInTheSample(t *testing.T) {
	var fleet []ListEntry
	for i := range 300 {
		fleet = append(fleet, ListEntry{Worker: WorkerID(fmt.Sprint("w", i)), Weight: 1})
	}
	b := newBed(Settings{Classes: []Class{{Deadline: 10_000 * ms, Kind: -1}}}, fleet...)
	for i := range 40 {
		asker := fleet[7*i].Worker
		b.Request(b.now, &Request{ID: RequestID(fmt.Sprint("r", i)), Deadline: b.now + 1000*ms, FetchingWorker: asker})
		if got := b.a.last().w; got != asker {
			t.Fatalf("%s asked, %s got the job", asker, got)
		}
	}
	// It gets no job that the rules keep from it.
	b.List(b.now, &List{Form: ListDelta, Entries: []ListEntry{{Worker: "w1", State: Draining}}})
	b.Request(b.now, &Request{ID: "r", Deadline: b.now + 1000*ms, FetchingWorker: "w1"})
	if b.a.last().w == "w1" {
		t.Fatal("a draining worker asked and got a job")
	}
}

// Wake-ups of requests that are over give way before the heap grows: their times may be hours away.
func TestWakeUpsOfEndedRequestsAreLetGo(t *testing.T) {
	b := newBed(Settings{Classes: []Class{{Deadline: 10_000 * ms, Kind: -1}}}, ListEntry{Worker: "w", Weight: 1})
	for i := range 20_000 {
		id := RequestID(fmt.Sprint("r", i))
		b.Request(b.now, &Request{ID: id, Deadline: b.now + 3_600_000*ms})
		b.Outcome(b.now, &Outcome{Request: id, Worker: "w", Status: OK, Closed: true})
	}
	if len(b.timers) > 100 {
		t.Fatalf("%d wake-ups for no open request", len(b.timers))
	}
}

// A class that no job of has run yet is not taken as hopeless by a guess at its running time: refused until it was
// seen to run, it would never be.
func TestAClassNotYetSeenIsNotShed(t *testing.T) {
	s := oneClass(Repeatable)
	s.Classes = append(s.Classes, s.Classes[0])
	b := newBed(s, fleet(1)...)
	for k := range uint64(20) {
		b.serve(k, ms)
	}
	b.workers[0].ownSlots, b.workers[0].triedAt = defaultSlots+1, b.now
	before := len(b.a.sends)
	if b.askAs(Request{Class: 1, Key: 1, HasKey: true}); len(b.a.sends) != before+1 {
		t.Errorf("refused: %v", b.a.refused)
	}
}
