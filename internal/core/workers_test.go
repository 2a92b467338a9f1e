package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"cobaltflow/rules"
)

func manyWorkers(n int) (all []ListedWorker) {
	for i := range n {
		all = append(all, ListedWorker{Name: fmt.Sprintf("w-%05d", i), Weight: 1, State: rules.Ready})
	}
	return all
}

// A full list replaces the workers of its transport: absent ones are removed. A worker that two transports report stays
// with the first.
func TestFullListReplacesWorkersOfItsTransport(t *testing.T) {
	first, second := &stub{}, &stub{}
	c := newCore(t, first, "a", "b", "c")
	c.UpdateWorkerList(second, rules.ListFull, []ListedWorker{{Name: "d", Weight: 1}, {Name: "a", Weight: 1, Zone: 1}})
	assert.Equal(t, 4, c.WorkerCount())
	c.UpdateWorkerList(first, rules.ListFull, []ListedWorker{{Name: "b", Weight: 2}, {Name: "c", State: rules.Gone}})
	assert.Equal(t, 2, c.WorkerCount(), "a is absent, c is reported gone")
	assert.Equal(t, 2.0, c.mainPool.list.workers["b"].Weight)
	assert.Same(t, second, c.mainPool.list.workers["d"].transport)
	c.UpdateWorkerList(first, rules.ListDelta, []ListedWorker{{Name: "e", Weight: 1}})
	assert.Equal(t, 3, c.WorkerCount(), "a delta leaves the others")
	c.UpdateWorkerList(second, rules.ListFull, nil)
	assert.Equal(t, 2, c.WorkerCount())
}

// The allocations for a change of one worker do not grow with the length of the list.
func TestListDeltaAllocationsDoNotGrowWithTheList(t *testing.T) {
	allocs := map[int]float64{}
	for _, workers := range []int{100, 10_000} {
		c := newCore(nil, &stub{})
		transport := &stub{}
		all := manyWorkers(workers)
		c.UpdateWorkerList(transport, rules.ListFull, all)
		allocs[workers] = testing.AllocsPerRun(20, func() { c.UpdateWorkerList(transport, rules.ListDelta, all[:1]) })
	}
	assert.LessOrEqual(t, allocs[10_000], allocs[100]+2, "%v", allocs)
}

func BenchmarkUpdateWorkerList(b *testing.B) {
	for _, workers := range []int{1000, 33_000} {
		all := manyWorkers(workers)
		for name, update := range map[string]struct {
			form    rules.ListForm
			workers []ListedWorker
		}{"whole": {rules.ListFull, all}, "one changed": {rules.ListDelta, all[:1]}} {
			b.Run(fmt.Sprintf("%d workers, %s", workers, name), func(b *testing.B) {
				c := newCore(nil, &stub{})
				transport := &stub{}
				c.UpdateWorkerList(transport, rules.ListFull, all)
				b.ReportAllocs()
				for b.Loop() {
					c.UpdateWorkerList(transport, update.form, update.workers)
				}
			})
		}
	}
}
