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

// workerUpdate returns a list update with count workers in one state, numbered from the given one on.
func workerUpdate(isSnapshot bool, state rules.WorkerState, from, count int) *discovery.Update {
	u := &discovery.Update{IsSnapshot: isSnapshot}
	for i := from; i < from+count; i++ {
		u.Workers = append(u.Workers, core.ListedWorker{Name: fmt.Sprint("w-", i), State: state})
		u.Addresses = append(u.Addresses, "127.0.0.1:1")
	}
	return u
}

// Replaced workers return under new names: the memory for the old ones must not grow without bound.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	const workers = 100
	p, _ := newIdlePool(0)
	for round := range 50 {
		isSnapshot := round%2 == 0
		if round > 0 && !isSnapshot {
			p.updateWorkers(workerUpdate(false, rules.Gone, (round-1)*workers, workers))
		}
		p.updateWorkers(workerUpdate(isSnapshot, rules.Ready, round*workers, workers))
		p.removedRetention = core.Second
		p.forgetRemoved()
		assert.LessOrEqual(t, len(p.workers), (round+1)*workers)
		p.removedRetention = 0 // all retentions have expired
		p.forgetRemoved()
		require.Len(t, p.workers, workers)
		require.Empty(t, p.removals)
	}
}

// A worker that is listed again before its retention has expired must be kept.
func TestRelistedWorkerIsKept(t *testing.T) {
	p, _ := newIdlePool(0)
	p.updateWorkers(workerUpdate(true, rules.Ready, 0, 3))
	kept := p.workers["w-1"]
	p.updateWorkers(workerUpdate(false, rules.Gone, 1, 1))
	p.updateWorkers(workerUpdate(false, rules.Gone, 1, 1))
	require.Len(t, p.removals, 1, "one removal is recorded")
	p.updateWorkers(workerUpdate(false, rules.Draining, 1, 1))
	p.removedRetention = 0
	p.forgetRemoved()
	require.Len(t, p.workers, 3)
	require.Same(t, kept, p.workers["w-1"])
}

// A removed worker is kept until all its attempts are past their deadlines.
func TestRetentionCoversLongestDeadline(t *testing.T) {
	assert.Equal(t, minRemovedRetention, removedRetentionFor([]rules.Class{{Deadline: core.Second}}))
	assert.Equal(t, 600*core.Second, removedRetentionFor([]rules.Class{{Deadline: core.Second}, {Deadline: 600 * core.Second}}))
}
