package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakeHost records the actions of a Machine and holds its clock.
type fakeHost struct {
	*Machine
	now       Time
	opened    []string
	open      map[string]*Job
	cancelled []string
	expired   []*Job
	mutated   []Mutation
}

func (h *fakeHost) OpenRequest(j *Job, _ string) {
	h.opened = append(h.opened, j.ID)
	h.open[j.ID] = j
}
func (h *fakeHost) CancelRequest(j *Job)               { h.cancelled = append(h.cancelled, j.ID) }
func (h *fakeHost) ExpireReservation(j *Job)           { h.expired = append(h.expired, j) }
func (h *fakeHost) JobEnded(*Job)                      {}
func (h *fakeHost) MutationDone(_ uint64, mu Mutation) { h.mutated = append(h.mutated, mu) }

func newFakeHost(change func(*Settings)) *fakeHost {
	h := &fakeHost{now: 1 << 42, open: map[string]*Job{}}
	s := Settings{IsRepeatable: []bool{true, false}, DefaultReservation: 1800 * Second, MaxHeldJobs: 1000, MaxHeldBytes: 1 << 20, MaxQueueJobs: 1000, MaxClientJobs: 1000,
		MaxClientBytes: 1 << 20, MaxScheduled: 1000, MaxRetries: 1000, MaxQueues: 16, MaxDead: 1000, MaxDeadBytes: 1 << 20, MaxEnded: 100,
		MaxEndedBytes: 1 << 20, TableWindow: 4}
	if change != nil {
		change(&s)
	}
	h.Machine = New(s, rand.New(rand.NewPCG(1, 2)), h, func(q string) bool { return q == "tables" })
	return h
}

func (h *fakeHost) push(id string, change func(*Job)) PushResult {
	j := &Job{ID: id, Type: "t", Queue: "a", Priority: DefaultPriority, Retry: DefaultRetries, Size: 100, Client: "c", Options: &Options{}}
	if change != nil {
		change(j)
	}
	return h.Push(h.now, j)
}

// fetch sends a FETCH and starts the job that was opened for it; nil: there was none, and the FETCH is cancelled.
func (h *fakeHost) fetch(queues ...string) *Job {
	fetch := &Fetch{}
	n := len(h.opened)
	h.AddFetch(h.now, fetch, "w", queues)
	if len(h.opened) == n {
		h.CancelFetch(fetch)
		return nil
	}
	j := h.open[h.opened[n]]
	h.Started(h.now, j, "w", fetch)
	return j
}

func (h *fakeHost) advanceClock(delta Time) {
	h.now += delta
	for h.ProcessDue(h.now, 100) {
	}
}

func TestFetchOrderIsPriorityThenPushOrder(t *testing.T) {
	h := newFakeHost(nil)
	for i, p := range []int{5, 1, 9, 5, 9} {
		h.push(fmt.Sprint("job-", i), func(j *Job) { j.Priority = int32(p) })
	}
	h.push("other", func(j *Job) { j.Queue = "b" })
	var got []string
	for j := h.fetch("b", "a"); j != nil; j = h.fetch("b", "a") {
		got = append(got, j.ID)
	}
	assert.Equal(t, []string{"other", "job-2", "job-4", "job-0", "job-3", "job-1"}, got)
}

func TestFetchDrawsQueuesByWeight(t *testing.T) {
	h := newFakeHost(nil)
	for i := range 400 {
		h.push(fmt.Sprint("a-", i), nil)
		h.push(fmt.Sprint("b-", i), func(j *Job) { j.Queue = "b" })
	}
	first := map[string]int{}
	for range 400 {
		first[h.fetch("a", "a", "a", "b").Queue]++
	}
	assert.InDelta(t, 300, first["a"], 40)
}

func TestFailedRunIsRetriedOnlyIfClassAndRetryAllow(t *testing.T) {
	for _, c := range []struct {
		class, retry int
		state        State
		reason       Reason
	}{
		{0, 25, Retrying, ""}, {0, 0, Dead, RetriesExhausted}, {0, -1, Failed, Discarded},
		{1, 25, Dead, MayHaveRun}, {1, -1, Failed, Discarded},
	} {
		h := newFakeHost(nil)
		h.push("job", func(j *Job) { j.Class, j.Retry = int32(c.class), int32(c.retry) })
		j := h.fetch("a")
		h.Machine.RequestEnded(h.now, j, OutcomeFailed, 0, &Failure{Type: "E", Message: "m"})
		assert.Equal(t, []any{c.state, c.reason}, []any{j.State, j.Reason})
	}
}

func TestBackoffFollowsTheFaktoryFormula(t *testing.T) {
	h := newFakeHost(nil)
	h.push("job", func(j *Job) { j.Retry = 2 })
	for n, minSeconds := range []Time{15, 16} {
		j := h.fetch("a")
		h.Machine.RequestEnded(h.now, j, OutcomeFailed, 0, nil)
		at, ok := h.NextDue(h.now)
		require.True(t, ok)
		assert.GreaterOrEqual(t, at-h.now, minSeconds*Second)
		assert.Less(t, at-h.now, (minSeconds+30*Time(n+1))*Second)
		h.advanceClock(at - h.now)
	}
	j := h.fetch("a")
	h.Machine.RequestEnded(h.now, j, OutcomeFailed, 0, nil)
	assert.Equal(t, []any{Dead, RetriesExhausted, int32(3)}, []any{j.State, j.Reason, j.Failures})
}

func TestRefusedRunReturnsToTheFrontAndIsNoFailure(t *testing.T) {
	h := newFakeHost(nil)
	h.push("one", func(j *Job) { j.Class = 1 })
	h.push("two", nil)
	fetch := &Fetch{}
	h.AddFetch(h.now, fetch, "w", []string{"a"})
	h.Machine.RequestEnded(h.now, h.open["one"], OutcomeRefused, 0, nil)
	assert.Equal(t, []string{"one"}, h.opened, "not opened again at once")
	h.advanceClock(Second)
	assert.Equal(t, []string{"one", "one"}, h.opened)
	assert.Zero(t, h.open["one"].Failures)
}

func TestExtendedReservationAndLateReport(t *testing.T) {
	h := newFakeHost(nil)
	h.push("job", func(j *Job) { j.Reservation = 60 * Second })
	j := h.fetch("a")
	h.Extend(j, h.now+90*Second)
	h.advanceClock(80 * Second)
	assert.Empty(t, h.expired)
	h.advanceClock(11 * Second)
	require.Len(t, h.expired, 1)
	h.Machine.RequestEnded(h.now, j, OutcomeFailed, 0, nil)
	h.Machine.RequestEnded(h.now, j, OutcomeServed, 0, nil)
	assert.Equal(t, Retrying, j.State, "the late report changes nothing")
}

func TestNotBeforeDeadlineAndExpiresAt(t *testing.T) {
	h := newFakeHost(nil)
	at := h.now + 10*Second
	h.push("later", func(j *Job) { j.NotBefore, j.TimeLeft = at, 3*Second })
	h.push("stale", func(j *Job) { j.ExpiresAt = h.now + Second })
	assert.Equal(t, "stale", h.fetch("a").ID)
	h.push("stale-2", func(j *Job) { j.ExpiresAt = h.now + Second })
	assert.Equal(t, Scheduled, h.Find("later").State)
	h.advanceClock(9 * Second)
	assert.Equal(t, []any{Refused, Expired}, []any{h.Find("stale-2").State, h.Find("stale-2").Reason})
	assert.Equal(t, Working, h.Find("stale").State, "it started in time")
	h.advanceClock(Second)
	assert.Equal(t, Enqueued, h.Find("later").State)
	h.advanceClock(3 * Second)
	assert.Equal(t, Refused, h.Find("later").State, "its deadline counts from NotBefore")
}

func TestUniqueJobsHoldTheirLock(t *testing.T) {
	h := newFakeHost(nil)
	unique := func(start bool) func(*Job) {
		return func(j *Job) { j.UniqueFor, j.UniqueUntilStart, j.Fingerprint[0] = 60*Second, start, 7 }
	}
	require.True(t, h.push("one", unique(false)).Accepted)
	assert.True(t, h.push("two", unique(false)).NotUnique)
	j := h.fetch("a")
	assert.True(t, h.push("two", unique(false)).NotUnique, "locked until it was served")
	h.Machine.RequestEnded(h.now, j, OutcomeServed, 0, nil)
	require.True(t, h.push("two", unique(true)).Accepted)
	h.fetch("a")
	require.True(t, h.push("three", unique(false)).Accepted, "locked until its start only")
	h.advanceClock(61 * Second)
	assert.True(t, h.push("four", unique(false)).Accepted, "UniqueFor is over")
}

func TestRejectedPushNamesTheLimitAndRetryAfter(t *testing.T) {
	for want, change := range map[Reason]func(*Settings){
		LimitHeldJobs: func(s *Settings) { s.MaxHeldJobs = 2 }, LimitHeldBytes: func(s *Settings) { s.MaxHeldBytes = 250 },
		LimitQueueJobs: func(s *Settings) { s.MaxQueueJobs = 2 }, LimitClientJobs: func(s *Settings) { s.MaxClientJobs = 2 },
		LimitClientBytes: func(s *Settings) { s.MaxClientBytes = 250 }, LimitScheduled: func(s *Settings) { s.MaxScheduled = 2 },
		LimitUniqueLocks: func(s *Settings) { s.MaxHeldJobs = 1 }, LimitQueues: func(s *Settings) { s.MaxQueues = 1 },
	} {
		h := newFakeHost(change)
		result := PushResult{}
		for i := 0; i < 3; i++ {
			result = h.push(fmt.Sprint(i), func(j *Job) {
				switch want {
				case LimitScheduled:
					j.NotBefore = h.now + Second
				case LimitUniqueLocks:
					j.UniqueFor, j.Fingerprint[0] = Second, byte(i)
				case LimitQueues:
					j.Queue = fmt.Sprint("q", i)
				}
			})
			if want == LimitUniqueLocks && result.Accepted { // the locks outlive their jobs
				j := h.fetch("a")
				h.Machine.RequestEnded(h.now, j, OutcomeFailed, 0, nil)
				h.Machine.terminate(h.now, j, Failed, ByOperator)
			}
		}
		assert.Equal(t, want, result.Rejected)
		assert.GreaterOrEqual(t, result.RetryAfter, 100*Millisecond)
		assert.NotZero(t, h.Stats().Totals.RejectedByReason[want])
	}
}

// Guards against a backlog that fills the core: no more requests are opened than FETCHes wait, or than the table
// workers may hold.
func TestBacklogStaysOutsideTheCore(t *testing.T) {
	h := newFakeHost(nil)
	for i := range 50 {
		h.push(fmt.Sprint("a-", i), nil)
		h.push(fmt.Sprint("t-", i), func(j *Job) { j.Queue = "tables" })
	}
	assert.Empty(t, h.opened)
	h.SetTableWorkersReady(h.now, true)
	assert.Len(t, h.opened, 4, "the window of the table workers")
	fetches := []*Fetch{{}, {}}
	for _, fetch := range fetches {
		h.AddFetch(h.now, fetch, "w", []string{"a"})
	}
	assert.Len(t, h.opened, 6)
	h.Started(h.now, h.open["a-0"], "w", fetches[1])
	assert.Len(t, h.opened, 6, "the other FETCH is bound to the other job")
	h.Machine.RequestEnded(h.now, h.open["t-0"], OutcomeRefused, Second, nil)
	h.advanceClock(2 * Second)
	assert.LessOrEqual(t, h.queues["tables"].tableOpen, 4)
	assert.Equal(t, 2, h.queues["tables"].tableWindow, "half after a refusal")
}

func TestMutationsRunInPartsAndRespectTheClass(t *testing.T) {
	h := newFakeHost(nil)
	for i := range 6 {
		h.push(fmt.Sprint("job-", i), func(j *Job) { j.Class, j.Retry = int32(i%2), 0 })
		h.Machine.RequestEnded(h.now, h.fetch("a"), OutcomeFailed, 0, nil)
	}
	require.Equal(t, 6, h.Stats().Dead)
	h.Mutate(Mutation{Command: Requeue, Set: SetDead}, 1)
	h.ProcessDue(h.now, 2)
	require.Empty(t, h.mutated, "a bounded part in each call")
	h.advanceClock(0)
	require.Len(t, h.mutated, 1)
	assert.Equal(t, []any{3, map[Reason]int{MayHaveRun: 3}}, []any{h.mutated[0].Changed, h.mutated[0].Rejected})
	assert.Equal(t, []int{3, 3}, []int{h.Stats().Enqueued, h.Stats().Dead}, "jobs that must not run twice stay dead")
	h.Mutate(Mutation{Command: Discard, Set: SetDead, IDs: []string{"job-1", "none"}}, 2)
	h.Mutate(Mutation{Command: Clear, Set: SetDead, Matches: func(j *Job) bool { return j.ID == "job-3" }}, 3)
	h.advanceClock(0)
	assert.Equal(t, []int{1, 1, 1}, []int{h.mutated[1].Changed, h.mutated[2].Changed, h.Stats().Dead})
	h.push("later", func(j *Job) { j.NotBefore = h.now + Second })
	h.Mutate(Mutation{Command: Kill, Set: SetScheduled}, 4)
	h.advanceClock(0)
	assert.Equal(t, []any{Dead, ByOperator}, []any{h.Find("later").State, h.Find("later").Reason})
	h.Mutate(Mutation{Command: Requeue, Set: SetDead, IDs: []string{"later"}}, 5)
	h.advanceClock(0)
	assert.Equal(t, Enqueued, h.Find("later").State, "it never ran")
}

func TestDeadAndEndedEvictTheOldest(t *testing.T) {
	h := newFakeHost(func(s *Settings) { s.MaxDead, s.MaxEnded = 2, 3 })
	for i := range 5 {
		h.push(fmt.Sprint("d-", i), func(j *Job) { j.Class = 1 })
		h.Machine.RequestEnded(h.now, h.fetch("a"), OutcomeFailed, 0, nil)
		h.push(fmt.Sprint("e-", i), nil)
		h.Machine.RequestEnded(h.now, h.fetch("a"), OutcomeServed, 0, nil)
	}
	stats := h.Stats()
	assert.Equal(t, []any{2, 3, uint64(3), uint64(2)}, []any{stats.Dead, stats.Ended, stats.Totals.DeadEvicted, stats.Totals.EndedEvicted})
	assert.Nil(t, h.Find("d-0"))
	assert.NotNil(t, h.Find("d-4"))
}

func TestDrainEndsJobsThatNoWorkerHolds(t *testing.T) {
	h := newFakeHost(nil)
	h.push("working", func(j *Job) { j.Class = 1 })
	w := h.fetch("a")
	h.push("open", nil)
	h.AddFetch(h.now, &Fetch{}, "w", []string{"a"})
	h.push("held", func(j *Job) { j.Queue = "b" })
	h.push("later", func(j *Job) { j.NotBefore = h.now + Second })
	h.Drain()
	h.advanceClock(0)
	for _, id := range []string{"open", "held", "later"} {
		assert.Equal(t, []any{Refused, ShutDown}, []any{h.Find(id).State, h.Find(id).Reason}, id)
	}
	assert.Equal(t, []string{"open"}, h.cancelled)
	assert.Equal(t, ShutDown, h.push("new", nil).Rejected)
	h.Machine.RequestEnded(h.now, w, OutcomeServed, 0, nil)
	assert.Equal(t, Served, w.State)
}

// Measures a cycle of PUSH, FETCH and ACK at several numbers of held jobs; its cost must not grow with them
// (docs/measurements/faktory.md).
func BenchmarkCycle(b *testing.B) {
	for _, held := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			h := newFakeHost(func(s *Settings) {
				s.MaxHeldJobs, s.MaxQueueJobs, s.MaxClientJobs, s.MaxHeldBytes, s.MaxClientBytes = 1<<20, 1<<20, 1<<20, 1<<30, 1<<30
			})
			for i := range held {
				h.push(fmt.Sprint("held-", i), nil)
			}
			fetch := &Fetch{}
			queues := []string{"a"}
			n := held
			for b.Loop() {
				h.push(fmt.Sprint("held-", n), nil)
				n++
				h.opened = h.opened[:0]
				h.AddFetch(h.now, fetch, "w", queues)
				j := h.open[h.opened[0]]
				delete(h.open, j.ID)
				h.Started(h.now, j, "w", fetch)
				h.Machine.RequestEnded(h.now, j, OutcomeServed, 0, nil)
			}
		})
	}
}
