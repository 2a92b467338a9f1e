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

// A whole list speaks for the carrier that tells it: its workers that are absent have gone, those of others stay.
func TestAWholeListSpeaksForItsCarrierAlone(t *testing.T) {
	first, second := &stub{}, &stub{}
	c := newCore(t, first, "a", "b", "c")
	c.UpdateWorkerList(second, rules.ListFull, []ListedWorker{{Name: "d", Weight: 1}, {Name: "a", Weight: 1, Zone: 1}})
	assert.Equal(t, 4, c.WorkerCount())
	c.UpdateWorkerList(first, rules.ListFull, []ListedWorker{{Name: "b", Weight: 2}, {Name: "c", State: rules.Gone}})
	assert.Equal(t, 2, c.WorkerCount(), "a is absent, c is told to have gone")
	assert.Equal(t, 2.0, c.mainPool.list.workers["b"].Weight)
	assert.Same(t, second, c.mainPool.list.workers["d"].transport)
	c.UpdateWorkerList(first, rules.ListDelta, []ListedWorker{{Name: "e", Weight: 1}})
	assert.Equal(t, 3, c.WorkerCount(), "a change leaves the others")
	c.UpdateWorkerList(second, rules.ListFull, nil)
	assert.Equal(t, 2, c.WorkerCount())
}

// What a change of one worker allocates in the core doesn't grow with the list.
func TestAChangeOfTheListCostsWhatItHolds(t *testing.T) {
	costs := map[int]float64{}
	for _, workers := range []int{100, 10_000} {
		c := newCore(nil, &stub{})
		carrier := &stub{}
		all := manyWorkers(workers)
		c.UpdateWorkerList(carrier, rules.ListFull, all)
		costs[workers] = testing.AllocsPerRun(20, func() { c.UpdateWorkerList(carrier, rules.ListDelta, all[:1]) })
	}
	assert.LessOrEqual(t, costs[10_000], costs[100]+2, "%v", costs)
}

func BenchmarkFarm(b *testing.B) {
	for _, workers := range []int{1000, 33_000} {
		all := manyWorkers(workers)
		for name, of := range map[string]struct {
			form rules.ListForm
			news []ListedWorker
		}{"whole": {rules.ListFull, all}, "one changed": {rules.ListDelta, all[:1]}} {
			b.Run(fmt.Sprintf("%d workers, %s", workers, name), func(b *testing.B) {
				c := newCore(nil, &stub{})
				carrier := &stub{}
				c.UpdateWorkerList(carrier, rules.ListFull, all)
				b.ReportAllocs()
				for b.Loop() {
					c.UpdateWorkerList(carrier, of.form, of.news)
				}
			})
		}
	}
}
