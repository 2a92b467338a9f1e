package platform

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"cobaltflow/internal/core"
	"cobaltflow/rules"
)

// timeHeap is a heap of times for container/heap, the earliest first.
type timeHeap []core.Time

func (c timeHeap) Len() int           { return len(c) }
func (c timeHeap) Less(i, j int) bool { return c[i] < c[j] }
func (c timeHeap) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *timeHeap) Push(x any)        { *c = append(*c, x.(core.Time)) }
func (c *timeHeap) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// A discovery server that answers a few calls a second and fails the others must get all schedulers back after it lost
// them all at once. If eighty schedulers retried every 0.2 s, as one alone does, the calls would be 400 a second, and
// the queue of the server would hold only calls that have already timed out.
func TestRetriesDoNotOverloadDiscovery(t *testing.T) {
	for _, schedulers := range []int{1, 3, 80} {
		rng := rand.New(rand.NewPCG(1, uint64(schedulers)))
		var due timeHeap
		failed := map[core.Time][]int{} // by the time of a call: the earlier failures of each of its callers
		call := func(now core.Time, before int) {
			at := now + retryWait(schedulers, before, 0, rng.Float64())
			heap.Push(&due, at)
			failed[at] = append(failed[at], before+1)
		}
		for range schedulers {
			call(0, 0)
		}
		const perCall = core.Second / 10 // server time of a call, answered or not
		busyUntil, at, callCount := core.Time(0), core.Time(0), 0
		for len(due) > 0 && callCount < 100_000 {
			at = heap.Pop(&due).(core.Time)
			before := failed[at][0]
			failed[at] = failed[at][1:]
			callCount++
			if busyUntil = max(busyUntil, at) + perCall; busyUntil-at > core.Second {
				busyUntil -= perCall / 2 // refused, which costs half
				call(at, before)
			}
		}
		assert.Empty(t, due, "%d schedulers", schedulers)
		assert.Less(t, at, 30*core.Second, "%d schedulers", schedulers)
		assert.Less(t, callCount, 12*schedulers, "%d schedulers", schedulers)
	}
	assert.Less(t, retryWait(2, 0, 0, 0.999), 310*core.Millisecond, "a few schedulers retry soon")
}

// A scheduler counts as informed of a change 6 s after its watch fell silent, and of what a local discovery server holds
// at once: jobs may be sent to a draining worker for the drain grace and no longer. The test adds up the longest
// delays until the next answer for each kind of failure.
func TestRetryWaitsStayWithinLimits(t *testing.T) {
	const maxDelay = 6 * core.Second
	for _, schedulers := range []int{1, 5, 80, 300, 3000} {
		wait := retryWait(schedulers, 0, watchSilenceTimeout, 0.999999)
		assert.Less(t, watchSilenceTimeout+wait+watchDialTimeout, maxDelay, "%d schedulers: called again", schedulers)
	}
	// The time between the beginning of a call, or the last input on it, and the detection of its failure: an immediate
	// error, a dial timeout, an answer that does not begin, a silent watch, a list that stalls.
	for _, elapsed := range []core.Time{0, watchDialTimeout, watchAnswerTimeout, watchSilenceTimeout, watchStallTimeout + sweepInterval} {
		for _, schedulers := range []int{1, 5, 80, 300, 3000} {
			for failed := range 9 {
				for _, drawn := range []float64{0, 0.3, 0.6, 0.999999} {
					wait := retryWait(schedulers, failed, elapsed, drawn)
					assert.LessOrEqual(t, elapsed+wait, maxCallInterval, "%d schedulers, %d calls failed, the last after %d us", schedulers, failed, elapsed)
				}
			}
		}
	}
	assert.LessOrEqual(t, maxCallInterval+watchDialTimeout, maxDelay, "the next connection is established")
	for _, grace := range []core.Time{250, 300, 400, 500, 700, 1000, 2000, 10_000} {
		grace *= core.Millisecond
		assert.LessOrEqual(t, localAnswerTimeout(grace)+jitter(localRetryWait(grace), 0.999999), grace/2, "a local discovery server that did not answer one call")
	}
}

// The steps after SIGTERM follow from the earliest time at which the platform may kill the process: 0.7 s after the
// longest deadline, which counts as 3 s if it is longer. New connections may arrive for 0.4 s and must be
// accepted for longer than that.
func TestShutdownScheduleFollowsLongestDeadline(t *testing.T) {
	for longest, kill := range map[core.Time]core.Time{0: 3700, 300: 1000, 1200: 1900, 3000: 3700, 20_000: 3700} {
		e := newShutdownSchedule([]rules.Class{{Deadline: longest / 2 * core.Millisecond}, {Deadline: longest * core.Millisecond}})
		assert.Less(t, 400*core.Millisecond, e.acceptUntil, "longest deadline %d ms", longest)
		assert.Less(t, e.acceptUntil, e.refuseJobsAfter)
		assert.Less(t, e.refuseJobsAfter, e.answerBy)
		assert.Equal(t, kill*core.Millisecond-killMargin, e.answerBy)
	}
}
