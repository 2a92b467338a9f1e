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

// A Ref to a freed value finds nothing, although its slot has been reused.
func TestSlotMapRefOfFreedValueFindsNothing(t *testing.T) {
	var m SlotMap[string]
	a := m.Add("a")
	require.True(t, m.Free(a))
	b := m.Add("b")
	assert.Equal(t, a.Slot, b.Slot, "slots are reused")
	_, ok := m.Get(a)
	assert.False(t, ok, "a Ref to the freed value finds nothing")
	assert.False(t, m.Free(a))
	v, ok := m.Get(b)
	assert.True(t, ok && v == "b")
	_, ok = m.Get(Ref{})
	assert.False(t, ok)
	assert.Equal(t, 1, m.Len())
}

// Timers fire in the order of their times, after the turn's events; one that is set by a timer waits for the next turn,
// even if its time has passed.
func TestTimersFireInOrderAndNeverInTheTurnThatSetsThem(t *testing.T) {
	l := NewLoop()
	l.now = l.Clock()
	var got []int
	cancelled := l.At(l.now, func() { got = append(got, 99) })
	l.At(l.now-2, func() { got = append(got, 2) })
	l.At(l.now-3, func() {
		got = append(got, 1)
		l.At(l.now-9, func() { got = append(got, 3) })
	})
	l.CancelTimer(cancelled)
	l.CancelTimer(cancelled)
	l.turn([]func(){func() { got = append(got, 0) }})
	assert.Equal(t, []int{0, 1, 2}, got, "events before timers; a new timer waits for the next turn")
	l.turn(nil)
	assert.Equal(t, []int{0, 1, 2, 3}, got)
}

// A worker's start time in Unix milliseconds converts to the same loop time in every list, whenever it is read.
func TestFromUnixMilliIsConstantOverTurns(t *testing.T) {
	l := NewLoop()
	first := l.FromUnixMilli(1_700_000_000_000)
	l.turn(nil)
	assert.Equal(t, first, l.FromUnixMilli(1_700_000_000_000))
}

// stub is a client and a transport in one. It records the attempts sent and ends none of them.
type stub struct {
	answers, released int
	last              Answer
	sent              []*Attempt
	hasBegun          bool // of every attempt
}

func (s *stub) Answer(_ *Request, a Answer)       { s.answers++; s.last = a }
func (s *stub) Released(*Request)                 { s.released++ }
func (s *stub) Send(attempt *Attempt)             { s.sent = append(s.sent, attempt) }
func (s *stub) Cancel(*Attempt) (mayHaveRun bool) { return s.hasBegun }
func (s *stub) HasBegun(*Attempt) bool            { return s.hasBegun }
func (s *stub) Probe(string)                      {}

// newCore returns a core whose main pool lists the workers, all of the stub's transport.
func newCore(t *testing.T, s *stub, workers ...string) *Core {
	l := NewLoop()
	c := New(l, rules.Settings{MayCancel: true, MaxAttempts: 4, AnswerSlack: 16_000,
		Classes: []rules.Class{{Effect: rules.Once, Deadline: Second, Kind: -1}}}, 1, slog.New(slog.DiscardHandler))
	var list []ListedWorker
	for _, w := range workers {
		list = append(list, ListedWorker{Name: w, Weight: 1})
	}
	c.UpdateWorkerList(s, rules.ListCached, list)
	return c
}

// accept has the core accept a request with a deadline of one second, in a turn of its own.
func accept(c *Core, s *stub, id string) *Request {
	request := &Request{ID: id, Deadline: c.Loop.now + Second, Client: s}
	c.Loop.turn([]func(){func() { c.Accept(request) }})
	return request
}

// A second report of an attempt's end is ignored: the client gets one answer and is released once.
func TestSecondEndOfAnAttemptIsIgnored(t *testing.T) {
	s := &stub{}
	c := newCore(t, s, "a")
	accept(c, s, "r")
	require.Len(t, s.sent, 1)
	ref := s.sent[0].Ref
	c.Loop.turn([]func(){func() {
		assert.True(t, c.AttemptEnded(ref, rules.OK, []byte("x"), rules.Load{}))
		assert.False(t, c.AttemptEnded(ref, rules.Reset, nil, rules.Load{}), "the second report is ignored")
	}})
	assert.Equal(t, []int{1, 1}, []int{s.answers, s.released})
	assert.Equal(t, Served, s.last.Kind)
	_, found := c.FindAttempt("r", "a")
	assert.False(t, found)
}

// A client that disconnects gets no answer; it is released only once the cancelled attempt has ended.
func TestDisconnectCancelsTheAttempt(t *testing.T) {
	s := &stub{hasBegun: true}
	c := newCore(t, s, "a")
	request := accept(c, s, "r")
	c.Loop.turn([]func(){func() { c.ClientDisconnected(request) }})
	assert.Zero(t, s.released, "the attempt has no outcome yet")
	c.Loop.turn(c.Loop.mailbox)
	assert.Equal(t, []int{0, 1, 0}, []int{s.answers, s.released, c.InFlightAttempts()})
}

// A request whose deadline expires is refused if its attempt never reached a worker, else it fails.
func TestExpiredRequestIsRefusedOnlyIfItNeverRan(t *testing.T) {
	for hasBegun, want := range map[bool]AnswerKind{true: Failed, false: Refused} {
		s := &stub{hasBegun: hasBegun}
		c := newCore(t, s, "a")
		request := accept(c, s, "r")
		c.Loop.turn([]func(){func() { c.deadlineExpired(request) }})
		c.Loop.now += 2 * Second
		c.mainPool.dispatcher.TimerDue(c.Loop.now, 0)
		c.runPendingActions()
		require.Equal(t, 1, s.answers)
		assert.Equal(t, want, s.last.Kind)
		if !hasBegun {
			assert.Positive(t, s.last.RetryAfter, "a refusal has a retry delay")
		}
	}
}

// A full list of one transport neither removes the workers of another one nor marks them as gone.
func TestFullListLeavesWorkersOfOtherTransports(t *testing.T) {
	a, b := &stub{}, &stub{}
	c := newCore(t, a, "a1", "a2")
	c.UpdateWorkerList(b, rules.ListDelta, []ListedWorker{{Name: "b1", Weight: 1}})
	c.UpdateWorkerList(a, rules.ListFull, []ListedWorker{{Name: "a2", Weight: 1}, {Name: "b1", State: rules.Gone}})
	assert.Equal(t, 2, c.WorkerCount())
	assert.Contains(t, c.mainPool.list.workers, "b1")
}

// A request runs at the workers of its own pool only.
func TestRequestsRunInTheirPool(t *testing.T) {
	a, b := &stub{}, &stub{}
	c := newCore(t, a, "a1")
	p := c.NewPool("b", c.settings, 2)
	p.UpdateWorkerList(b, rules.ListDelta, []ListedWorker{{Name: "b1", Weight: 1}})
	accept(c, a, "for-a")
	c.Loop.turn([]func(){func() { c.Accept(&Request{ID: "for-b", Deadline: c.Loop.now + Second, Client: b, Pool: p}) }})
	require.Len(t, a.sent, 1)
	require.Len(t, b.sent, 1)
	assert.Equal(t, []string{"a1", "b1"}, []string{a.sent[0].Worker, b.sent[0].Worker})
	assert.Equal(t, 2, c.OpenRequests())
	p.UpdateWorkerList(b, rules.ListDelta, []ListedWorker{{Name: "b1", State: rules.Gone}})
	assert.Equal(t, []bool{true, false}, []bool{c.MainPool().HasReadyWorker(b), p.HasReadyWorker(a)})
	c.Loop.turn([]func(){func() { c.AttemptEnded(b.sent[0].Ref, rules.OK, nil, rules.Load{}) }})
	assert.Equal(t, 1, c.OpenRequests())
	p.Close()
	assert.Len(t, c.pools, 1)
}

// A job of a tenant over its quota is shed at shorter waits; a job without a tenant counts against no quota.
func TestTenantOverItsQuotaIsShedFirst(t *testing.T) {
	accepted := func(tenant int) (n int) {
		s := &stub{}
		c := New(NewLoop(), rules.Settings{MayCancel: true, MaxAttempts: 4, AnswerSlack: 16_000, OverQuotaValue: 0.1,
			Tenants: []rules.Tenant{{QuotaPerS: 0.01}, {QuotaPerS: 1000}},
			Classes: []rules.Class{{Effect: rules.Repeatable, LatencyTarget: Second, Deadline: 5 * Second, Kind: -1}}}, 1, slog.New(slog.DiscardHandler))
		c.UpdateWorkerList(s, rules.ListCached, []ListedWorker{{Name: "a", Weight: 1}})
		accept := func(id string, tenant int) {
			c.Accept(&Request{ID: id, Job: Job{Tenant: tenant}, Deadline: c.Loop.now + 5*Second, Client: s})
			c.runPendingActions()
		}
		for i := range 30 { // the Dispatcher learns the running time of a job
			accept(fmt.Sprint("known", i), 0)
			c.Loop.now += 400 * Millisecond
			c.AttemptEnded(s.sent[len(s.sent)-1].Ref, rules.OK, nil, rules.Load{})
		}
		for n = 0; s.answers == 30 && n < 1000; n++ {
			accept(fmt.Sprint("more", n), tenant)
		}
		return n
	}
	overQuota, withoutTenant, withinQuota := accepted(1), accepted(0), accepted(2)
	assert.Less(t, overQuota, withoutTenant)
	assert.Equal(t, withinQuota, withoutTenant)
}

// A step of the wall clock, forward or back, moves neither the loop's time nor the conversions between the two clocks.
func TestWallClockStepChangesNoDuration(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second} {
		l := NewLoop()
		l.turn(nil)
		before := l.now
		clock.StepWall(by)
		l.turn(nil)
		assert.Less(t, l.now-before, Second, "the loop's time")
		in := l.FromWall(clock.Wall().Add(10*time.Second)) - l.now
		assert.InDelta(t, 10*Second, in, float64(Second), "a wall-clock time given after the step")
		assert.InDelta(t, 10, l.ToWall(l.now+10*Second).Sub(clock.Wall()).Seconds(), 1, "a wall-clock time returned after the step")
		assert.Equal(t, l.FromUnixMilli(1_700_000_000_000), l.FromUnixMilli(1_700_000_000_000))
		clock.StepWall(-by)
	}
}
