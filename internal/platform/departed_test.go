package platform

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/core"
	"cobaltflow/internal/discovery"
	"cobaltflow/rules"
)

// listOf is an update with so many workers from the given number on, all in one state.
func workerUpdate(whole bool, state rules.WorkerState, from, count int) *discovery.Update {
	u := &discovery.Update{IsSnapshot: whole}
	for i := from; i < from+count; i++ {
		u.Workers = append(u.Workers, core.ListedWorker{Name: fmt.Sprint("w-", i), State: state})
		u.Addresses = append(u.Addresses, "127.0.0.1:1")
	}
	return u
}

// Workers that are replaced come back under new names: what is kept of the old ones must not grow for ever.
func TestWorkersOffTheListAreForgotten(t *testing.T) {
	const workers = 100
	p, _ := newIdlePool(0)
	for round := range 50 {
		whole := round%2 == 0
		if round > 0 && !whole {
			p.updateWorkers(workerUpdate(false, rules.Gone, (round-1)*workers, workers))
		}
		p.updateWorkers(workerUpdate(whole, rules.Ready, round*workers, workers))
		p.removedRetention = core.Second
		p.forgetRemoved()
		assert.LessOrEqual(t, len(p.workers), (round+1)*workers)
		p.removedRetention = 0 // their time has come
		p.forgetRemoved()
		require.Len(t, p.workers, workers)
		require.Empty(t, p.removals)
	}
}

// One that comes back in time stays, whatever was noted of its departure.
func TestAWorkerThatComesBackStaysKnown(t *testing.T) {
	p, _ := newIdlePool(0)
	p.updateWorkers(workerUpdate(true, rules.Ready, 0, 3))
	kept := p.workers["w-1"]
	p.updateWorkers(workerUpdate(false, rules.Gone, 1, 1))
	p.updateWorkers(workerUpdate(false, rules.Gone, 1, 1))
	require.Len(t, p.removals, 1, "it left once")
	p.updateWorkers(workerUpdate(false, rules.Draining, 1, 1))
	p.removedRetention = 0
	p.forgetRemoved()
	require.Len(t, p.workers, 3)
	require.Same(t, kept, p.workers["w-1"])
}

// A worker stays known until every attempt there is past its deadline.
func TestDepartedWorkersStayKnownForTheLongestDeadline(t *testing.T) {
	assert.Equal(t, minRemovedRetention, removedRetentionFor([]rules.Class{{Deadline: core.Second}}))
	assert.Equal(t, 600*core.Second, removedRetentionFor([]rules.Class{{Deadline: core.Second}, {Deadline: 600 * core.Second}}))
}
