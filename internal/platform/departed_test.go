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
func listOf(whole bool, state rules.WorkerState, from, count int) *discovery.Update {
	u := &discovery.Update{Whole: whole}
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
			p.addresses(listOf(false, rules.Gone, (round-1)*workers, workers))
		}
		p.addresses(listOf(whole, rules.Ready, round*workers, workers))
		p.departedFor = core.Second
		p.dropDeparted()
		assert.LessOrEqual(t, len(p.workers), (round+1)*workers)
		p.departedFor = 0 // their time has come
		p.dropDeparted()
		require.Len(t, p.workers, workers)
		require.Empty(t, p.departures)
	}
}

// One that comes back in time stays, whatever was noted of its departure.
func TestAWorkerThatComesBackStaysKnown(t *testing.T) {
	p, _ := newIdlePool(0)
	p.addresses(listOf(true, rules.Ready, 0, 3))
	kept := p.workers["w-1"]
	p.addresses(listOf(false, rules.Gone, 1, 1))
	p.addresses(listOf(false, rules.Gone, 1, 1))
	require.Len(t, p.departures, 1, "it left once")
	p.addresses(listOf(false, rules.Draining, 1, 1))
	p.departedFor = 0
	p.dropDeparted()
	require.Len(t, p.workers, 3)
	require.Same(t, kept, p.workers["w-1"])
}

// A worker stays known until every attempt there is past its deadline.
func TestDepartedWorkersStayKnownForTheLongestDeadline(t *testing.T) {
	assert.Equal(t, departedLeast, departedFor([]rules.Class{{Deadline: core.Second}}))
	assert.Equal(t, 600*core.Second, departedFor([]rules.Class{{Deadline: core.Second}, {Deadline: 600 * core.Second}}))
}
