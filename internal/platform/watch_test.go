package platform

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"cobaltflow/internal/core"
)

type calls []core.Time

func (c calls) Len() int           { return len(c) }
func (c calls) Less(i, j int) bool { return c[i] < c[j] }
func (c calls) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)        { *c = append(*c, x.(core.Time)) }
func (c *calls) Pop() any {
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
		var due calls
		failed := map[core.Time][]int{} // by the time of the call: how often its callers failed before
		call := func(now core.Time, before int) {
			at := now + retryAfter(schedulers, before, rng.Float64())
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
	assert.Less(t, retryAfter(2, 0, 0.999), 310*core.Millisecond, "a few schedulers ask again soon")
}
