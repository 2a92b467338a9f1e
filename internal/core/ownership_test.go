package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// discovered is a transport whose workers all schedulers are told of.
type discovered struct{ stub }

func (*discovered) HasDiscoveredWorkers() {}

const dividedWorkers = 400

// newDividedCore makes a core that is one of two schedulers, before as many workers.
func newDividedCore(t *testing.T, s *discovered) (*Core, []ListedWorker) {
	t.Helper()
	c := newCore(t, &s.stub)
	c.EnableOwnership(ownership.Settings{Self: 0, Members: 2, Zone: ownership.AnyZone, LeastShare: 100, Heartbeats: true})
	var list []ListedWorker
	for i := range dividedWorkers {
		list = append(list, ListedWorker{Name: fmt.Sprintf("worker-%03d", i), Weight: 1})
	}
	c.UpdateWorkerList(s, rules.ListFull, list)
	return c, list
}

// later has the share's turn come when time has gone by, as the loop would.
func later(c *Core, by Time) {
	const step = 50 * Millisecond
	for end := c.Loop.now + by; c.Loop.now < end; {
		c.Loop.now += step
		c.mainPool.share.turn()
	}
}

func TestJobsGoToTheOwnShareOnly(t *testing.T) {
	s := &discovered{}
	c, list := newDividedCore(t, s)
	figures, divided := c.Ownership()
	require.True(t, divided)
	require.Equal(t, dividedWorkers, figures.TotalWorkers)
	require.Equal(t, dividedWorkers, c.WorkerCount(), "the core goes on knowing all")
	require.InDelta(t, dividedWorkers/2, figures.HeldWorkers, 60)
	for i := range 300 {
		take(c, &s.stub, fmt.Sprint("r", i))
	}
	require.Len(t, s.carried, 300)
	for _, p := range s.carried {
		require.True(t, c.mainPool.share.table.Holds(p.Worker), "%s is another scheduler's", p.Worker)
	}
	// All that is listed anew, started again, is divided the same way.
	for i := range list {
		list[i].Weight = 2
	}
	c.UpdateWorkerList(s, rules.ListDelta, list)
	require.Equal(t, figures.HeldWorkers, c.mainPool.dispatcher.KnownWorkers())
}

func TestWorkersOfADeadSchedulerAreTakenOver(t *testing.T) {
	s := &discovered{}
	c, _ := newDividedCore(t, s)
	var sent [][]byte
	c.Broadcast = func(data []byte) { sent = append(sent, append([]byte(nil), data...)) }
	later(c, 3*Second)
	require.NotEmpty(t, sent, "heartbeats go out")
	_, err := ownership.ParseHeartbeat(sent[0])
	require.NoError(t, err)
	half := c.mainPool.dispatcher.KnownWorkers()
	require.Less(t, half, dividedWorkers)
	c.PeerMessage(1, ownership.Heartbeat{Zone: ownership.AnyZone, Leaving: true}.Append(nil))
	later(c, 2*Second)
	require.Equal(t, dividedWorkers, c.mainPool.dispatcher.KnownWorkers())
	c.PeerMessage(1, ownership.Heartbeat{Zone: ownership.AnyZone}.Append(nil))
	later(c, 2*Second)
	c.mainPool.dispatcher.TimerDue(c.Loop.now, 0) // those given back are let go of
	require.Equal(t, half, c.mainPool.dispatcher.KnownWorkers())
}

// A job that runs at a worker which is given back gets its answer from there.
func TestJobsInHandGoOnWhereAWorkerIsGivenBack(t *testing.T) {
	s := &discovered{}
	c, _ := newDividedCore(t, s)
	c.PeerMessage(1, ownership.Heartbeat{Zone: ownership.AnyZone, Leaving: true}.Append(nil))
	later(c, 2*Second)
	for i := range 100 {
		c.Accept(&Request{ID: fmt.Sprint("r", i), Deadline: c.Loop.now + 100*Second, Client: s})
	}
	c.runPendingActions()
	c.PeerMessage(1, ownership.Heartbeat{Zone: ownership.AnyZone}.Append(nil))
	later(c, Second+Millisecond)
	given := 0
	for _, p := range s.carried {
		if !c.mainPool.share.table.Holds(p.Worker) {
			given++
		}
		require.True(t, c.AttemptEnded(p.Ref, rules.OK, nil, rules.Load{}))
	}
	require.Positive(t, given)
	require.Equal(t, len(s.carried), s.answers)
	require.Equal(t, uint64(100), c.Counts.Served)
}

func TestAWorkerOfAnotherShareMayBeHeldByHand(t *testing.T) {
	s := &discovered{}
	c, list := newDividedCore(t, s)
	for _, w := range list {
		require.True(t, c.SetWorkerDisabled(w.Name, true))
	}
	require.False(t, c.SetWorkerDisabled("unlisted", true))
	c.PeerMessage(1, ownership.Heartbeat{Zone: ownership.AnyZone, Leaving: true}.Append(nil))
	later(c, 2*Second)
	require.Equal(t, dividedWorkers, c.WorkersOutOfRotation(), "what became ours is out as well")
}

// Workers that discovery does not tell of are this scheduler's alone.
func TestWorkersOfOtherTransportsAreNotDivided(t *testing.T) {
	s, own := &discovered{}, &stub{}
	c, _ := newDividedCore(t, s)
	held := c.mainPool.dispatcher.KnownWorkers()
	c.UpdateWorkerList(own, rules.ListDelta, []ListedWorker{{Name: "session-1", Weight: 1}, {Name: "session-2", Weight: 1}})
	require.Equal(t, held+2, c.mainPool.dispatcher.KnownWorkers())
	c.UpdateWorkerList(own, rules.ListFull, []ListedWorker{{Name: "session-1", Weight: 1}})
	require.Equal(t, dividedWorkers+1, c.WorkerCount())
	figures, _ := c.Ownership()
	require.Equal(t, dividedWorkers, figures.TotalWorkers)
}
