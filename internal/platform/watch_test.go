package platform

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"cobaltflow/internal/core"
	"cobaltflow/rules"
)

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

// A discovery that answers a few calls a second and fails the others gets all schedulers back after it lost all at
// once. Retried at the steady 0.2 s of one scheduler, the calls of eighty are 400 a second, and the queue of such a
// service holds only calls that have waited too long.
func TestSchedulersDoNotOverrunDiscoveryTogether(t *testing.T) {
	for _, schedulers := range []int{1, 3, 80} {
		rng := rand.New(rand.NewPCG(1, uint64(schedulers)))
		var due timeHeap
		failed := map[core.Time][]int{} // by the time of the call: how often its callers failed before
		call := func(now core.Time, before int) {
			at := now + retryWait(schedulers, before, 0, rng.Float64())
			heap.Push(&due, at)
			failed[at] = append(failed[at], before+1)
		}
		for range schedulers {
			call(0, 0)
		}
		const each = core.Second / 10 // what a call takes of the service, answered or not
		busy, at, inAll := core.Time(0), core.Time(0), 0
		for len(due) > 0 && inAll < 100_000 {
			at = heap.Pop(&due).(core.Time)
			before := failed[at][0]
			failed[at] = failed[at][1:]
			inAll++
			if busy = max(busy, at) + each; busy-at > core.Second {
				busy -= each / 2 // turned away, which costs half
				call(at, before)
			}
		}
		assert.Empty(t, due, "%d schedulers", schedulers)
		assert.Less(t, at, 30*core.Second, "%d schedulers", schedulers)
		assert.Less(t, inAll, 12*schedulers, "%d schedulers", schedulers)
	}
	assert.Less(t, retryWait(2, 0, 0, 0.999), 310*core.Millisecond, "a few schedulers ask again soon")
}

// What a silent watch misses counts as told 6 s after it fell silent, and what an agent holds at once: a worker that is
// leaving may be sent to for the grace and no longer. The longest that it takes us to hear is added up for each order.
func TestASilentWatchIsHeardAgainInTime(t *testing.T) {
	const told = 6 * core.Second
	for _, schedulers := range []int{1, 5, 80, 300, 3000} {
		wait := retryWait(schedulers, 0, watchSilenceTimeout, 0.999999)
		assert.Less(t, watchSilenceTimeout+wait+watchDialTimeout, told, "%d schedulers: asked again", schedulers)
	}
	// A call that fails began, or was last heard, so long before it is found to have: at once, as its dial is given up, as
	// its answer does not begin, as a watch is silent, as the end of a list does not come.
	for _, took := range []core.Time{0, watchDialTimeout, watchAnswerTimeout, watchSilenceTimeout, watchStallTimeout + sweepInterval} {
		for _, schedulers := range []int{1, 5, 80, 300, 3000} {
			for failed := range 9 {
				for _, drawn := range []float64{0, 0.3, 0.6, 0.999999} {
					wait := retryWait(schedulers, failed, took, drawn)
					assert.LessOrEqual(t, took+wait, maxCallInterval, "%d schedulers, %d calls failed, the last after %d us", schedulers, failed, took)
				}
			}
		}
	}
	assert.LessOrEqual(t, maxCallInterval+watchDialTimeout, told, "the next call is up")
	for _, grace := range []core.Time{250, 300, 400, 500, 700, 1000, 2000, 10_000} {
		grace *= core.Millisecond
		assert.LessOrEqual(t, localAnswerTimeout(grace)+jitter(localRetryWait(grace), 0.999999), grace/2, "an agent that was silent for one call")
	}
}

// What happens when after SIGTERM follows from how soon the platform may kill us: no sooner than the longest deadline,
// counted as 3 s where it is longer, and 0.7 s. New connections come for 0.4 s.
func TestTheEndFollowsTheLongestDeadline(t *testing.T) {
	for longest, kill := range map[core.Time]core.Time{0: 3700, 300: 1000, 1200: 1900, 3000: 3700, 20_000: 3700} {
		e := newShutdownSchedule([]rules.Class{{Deadline: longest / 2 * core.Millisecond}, {Deadline: longest * core.Millisecond}})
		assert.Less(t, 400*core.Millisecond, e.acceptUntil, "longest deadline %d ms", longest)
		assert.Less(t, e.acceptUntil, e.refuseJobsAfter)
		assert.Less(t, e.refuseJobsAfter, e.answerBy)
		assert.Equal(t, kill*core.Millisecond-killMargin, e.answerBy)
	}
}
