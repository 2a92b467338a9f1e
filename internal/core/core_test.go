package core

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/clock"
	"cobaltflow/rules"
)

func TestTableSlotsAreGuardedByGeneration(t *testing.T) {
	var tab SlotMap[string]
	a := tab.Add("a")
	require.True(t, tab.Free(a))
	b := tab.Add("b")
	assert.Equal(t, a.Slot, b.Slot, "slots are used again")
	_, ok := tab.Get(a)
	assert.False(t, ok, "a Ref of the earlier holder finds nothing")
	assert.False(t, tab.Free(a))
	v, ok := tab.Get(b)
	assert.True(t, ok && v == "b")
	_, ok = tab.Get(Ref{})
	assert.False(t, ok)
	assert.Equal(t, 1, tab.Len())
}

func TestDeadlinesComeInOrderAndNeverWithinTheirTurn(t *testing.T) {
	l := NewLoop()
	l.now = l.clock()
	var got []int
	dropped := l.At(l.now, func() { got = append(got, 99) })
	l.At(l.now-2, func() { got = append(got, 2) })
	l.At(l.now-3, func() {
		got = append(got, 1)
		l.At(l.now-9, func() { got = append(got, 3) })
	})
	l.CancelTimer(dropped)
	l.CancelTimer(dropped)
	l.turn([]func(){func() { got = append(got, 0) }})
	assert.Equal(t, []int{0, 1, 2}, got, "events before deadlines, a new one in the next turn")
	l.turn(nil)
	assert.Equal(t, []int{0, 1, 2, 3}, got)
}

func TestStartTimesReadTheSameInEveryList(t *testing.T) {
	l := NewLoop()
	first := l.FromUnixMilli(1_700_000_000_000)
	l.turn(nil)
	assert.Equal(t, first, l.FromUnixMilli(1_700_000_000_000))
}

type stub struct {
	answers, released int
	last              Answer
	carried           []*Attempt
	ran               bool
}

func (s *stub) Answer(_ *Request, a Answer)  { s.answers++; s.last = a }
func (s *stub) Released(*Request)            { s.released++ }
func (s *stub) Send(p *Attempt)              { s.carried = append(s.carried, p) }
func (s *stub) Cancel(*Attempt) (maybe bool) { return s.ran }
func (s *stub) HasBegun(*Attempt) bool       { return s.ran }
func (s *stub) Probe(string)                 {}

func newCore(t *testing.T, s *stub, workers ...string) *Core {
	l := NewLoop()
	c := New(l, rules.Settings{MayCancel: true, MaxAttempts: 4, AnswerSlack: 16_000,
		Classes: []rules.Class{{Effect: rules.Once, Deadline: Second, Kind: -1}}}, 1, slog.New(slog.DiscardHandler))
	var news []ListedWorker
	for _, w := range workers {
		news = append(news, ListedWorker{Name: w, Weight: 1})
	}
	c.UpdateWorkerList(s, rules.ListCached, news)
	return c
}

func take(c *Core, s *stub, id string) *Request {
	t := &Request{ID: id, Deadline: c.Loop.now + Second, Client: s}
	c.Loop.turn([]func(){func() { c.Accept(t) }})
	return t
}

func TestOneOutcomeForEachSendAndOneAnswer(t *testing.T) {
	s := &stub{}
	c := newCore(t, s, "a")
	take(c, s, "r")
	require.Len(t, s.carried, 1)
	ref := s.carried[0].Ref
	c.Loop.turn([]func(){func() {
		assert.True(t, c.AttemptEnded(ref, rules.OK, []byte("x"), rules.Load{}))
		assert.False(t, c.AttemptEnded(ref, rules.Reset, nil, rules.Load{}), "the second report is let pass")
	}})
	assert.Equal(t, []int{1, 1}, []int{s.answers, s.released})
	assert.Equal(t, Served, s.last.Kind)
	_, found := c.FindAttempt("r", "a")
	assert.False(t, found)
}

func TestHangUpWithdrawsAndStillEndsThePass(t *testing.T) {
	s := &stub{ran: true}
	c := newCore(t, s, "a")
	tr := take(c, s, "r")
	c.Loop.turn([]func(){func() { c.ClientDisconnected(tr) }})
	assert.Zero(t, s.released, "the pass has no outcome yet")
	c.Loop.turn(c.Loop.mailbox)
	assert.Equal(t, []int{0, 1, 0}, []int{s.answers, s.released, c.InFlightAttempts()})
}

func TestOverdueIsAnsweredByWhetherItMayHaveRun(t *testing.T) {
	for ran, want := range map[bool]AnswerKind{true: Failed, false: Refused} {
		s := &stub{ran: ran}
		c := newCore(t, s, "a")
		tr := take(c, s, "r")
		c.Loop.turn([]func(){func() { c.deadlineExpired(tr) }})
		c.Loop.now += 2 * Second
		c.mainPool.dispatcher.TimerDue(c.Loop.now, 0)
		c.runPendingActions()
		require.Equal(t, 1, s.answers)
		assert.Equal(t, want, s.last.Kind)
		if !ran {
			assert.Positive(t, s.last.RetryAfter, "a refusal says when to return")
		}
	}
}

func TestAWholeListSpeaksForItsSourceAlone(t *testing.T) {
	a, b := &stub{}, &stub{}
	c := newCore(t, a, "a1", "a2")
	c.UpdateWorkerList(b, rules.ListDelta, []ListedWorker{{Name: "b1", Weight: 1}})
	c.UpdateWorkerList(a, rules.ListFull, []ListedWorker{{Name: "a2", Weight: 1}, {Name: "b1", State: rules.Gone}})
	assert.Equal(t, 2, c.WorkerCount())
	assert.Contains(t, c.mainPool.list.workers, "b1")
}

// Two pools share a worker's name and nothing else: a transaction goes to its own pool's workers.
func TestPoolsKeepToTheirWorkers(t *testing.T) {
	a, b := &stub{}, &stub{}
	c := newCore(t, a, "a1")
	p := c.NewPool("b", c.settings, 2)
	p.UpdateWorkerList(b, rules.ListDelta, []ListedWorker{{Name: "b1", Weight: 1}})
	take(c, a, "for-a")
	c.Loop.turn([]func(){func() { c.Accept(&Request{ID: "for-b", Deadline: c.Loop.now + Second, Client: b, Pool: p}) }})
	require.Len(t, a.carried, 1)
	require.Len(t, b.carried, 1)
	assert.Equal(t, []string{"a1", "b1"}, []string{a.carried[0].Worker, b.carried[0].Worker})
	assert.Equal(t, 2, c.OpenRequests())
	p.UpdateWorkerList(b, rules.ListDelta, []ListedWorker{{Name: "b1", State: rules.Gone}})
	assert.Equal(t, []bool{true, false}, []bool{c.MainPool().HasReadyWorker(b), p.HasReadyWorker(a)})
	c.Loop.turn([]func(){func() { c.AttemptEnded(b.carried[0].Ref, rules.OK, nil, rules.Load{}) }})
	assert.Equal(t, 1, c.OpenRequests())
	p.Close()
	assert.Len(t, c.pools, 1)
}

// A job of a tenant beyond its share is shed at shorter waits; one that is nobody's counts against no share.
func TestTenantBeyondItsShareIsShedFirst(t *testing.T) {
	taken := func(tenant int) (n int) {
		s := &stub{}
		c := New(NewLoop(), rules.Settings{MayCancel: true, MaxAttempts: 4, AnswerSlack: 16_000, OverQuotaValue: 0.1,
			Tenants: []rules.Tenant{{QuotaPerS: 0.01}, {QuotaPerS: 1000}},
			Classes: []rules.Class{{Effect: rules.Repeatable, LatencyTarget: Second, Deadline: 5 * Second, Kind: -1}}}, 1, slog.New(slog.DiscardHandler))
		c.UpdateWorkerList(s, rules.ListCached, []ListedWorker{{Name: "a", Weight: 1}})
		take := func(id string, tenant int) {
			c.Accept(&Request{ID: id, Job: Job{Tenant: tenant}, Deadline: c.Loop.now + 5*Second, Client: s})
			c.runPendingActions()
		}
		for i := range 30 { // the module learns what a job takes
			take(fmt.Sprint("known", i), 0)
			c.Loop.now += 400 * Millisecond
			c.AttemptEnded(s.carried[len(s.carried)-1].Ref, rules.OK, nil, rules.Load{})
		}
		for n = 0; s.answers == 30 && n < 1000; n++ {
			take(fmt.Sprint("more", n), tenant)
		}
		return n
	}
	over, nobody, within := taken(1), taken(0), taken(2)
	assert.Less(t, over, nobody)
	assert.Equal(t, within, nobody)
}

// A step of the wall clock, forward or back, moves no deadline and no date that was named: each is a span from now.
func TestAStepOfTheWallClockMovesNoSpan(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second} {
		l := NewLoop()
		l.turn(nil)
		before := l.now
		clock.StepWall(by)
		l.turn(nil)
		assert.Less(t, l.now-before, Second, "the loop's time")
		in := l.FromWall(clock.Wall().Add(10*time.Second)) - l.now
		assert.InDelta(t, 10*Second, in, float64(Second), "a date named after the step")
		assert.InDelta(t, 10, l.ToWall(l.now+10*Second).Sub(clock.Wall()).Seconds(), 1, "a date told after the step")
		assert.Equal(t, l.FromUnixMilli(1_700_000_000_000), l.FromUnixMilli(1_700_000_000_000))
		clock.StepWall(-by)
	}
}
