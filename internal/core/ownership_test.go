package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// discovered is a transport whose workers are listed by all schedulers.
type discovered struct{ stub }

func (*discovered) HasDiscoveredWorkers() {}

const dividedWorkers = 400

// newDividedCore returns the core of the first of two schedulers that divide dividedWorkers workers, and their list.
func newDividedCore(t *testing.T, s *discovered) (*Core, []ListedWorker) {
	t.Helper()
	c := newCore(t, &s.stub)
	c.EnableOwnership(ownership.Settings{Rank: 0, Members: 2, Zone: ownership.UnknownZone, MinShare: 100, UsesHeartbeats: true})
	var list []ListedWorker
	for i := range dividedWorkers {
		list = append(list, ListedWorker{Name: fmt.Sprintf("worker-%03d", i), Weight: 1})
	}
	c.UpdateWorkerList(s, rules.ListFull, list)
	return c, list
}

// advance moves the time forward and runs the turns of the share, as the loop would.
func advance(c *Core, by Time) {
	const step = 50 * Millisecond
	for end := c.Loop.now + by; c.Loop.now < end; {
		c.Loop.now += step
		c.mainPool.share.turn()
	}
}

// Jobs are sent only to the workers of the scheduler's own share, while the core knows all workers.
func TestJobsAreSentToTheOwnShareOnly(t *testing.T) {
	s := &discovered{}
	c, list := newDividedCore(t, s)
	stats, divided := c.Ownership()
	require.True(t, divided)
	require.Equal(t, dividedWorkers, stats.TotalWorkers)
	require.Equal(t, dividedWorkers, c.WorkerCount(), "the core keeps the whole list")
	require.InDelta(t, dividedWorkers/2, stats.HeldWorkers, 60)
	for i := range 300 {
		accept(c, &s.stub, fmt.Sprint("r", i))
	}
	require.Len(t, s.sent, 300)
	for _, attempt := range s.sent {
		require.True(t, c.mainPool.share.table.InShare(attempt.Worker), "%s belongs to the other scheduler", attempt.Worker)
	}
	// Updates of all workers do not change the share.
	for i := range list {
		list[i].Weight = 2
	}
	c.UpdateWorkerList(s, rules.ListDelta, list)
	require.Equal(t, stats.HeldWorkers, c.mainPool.dispatcher.KnownWorkers())
}

// The workers of a scheduler that leaves join the share, and leave it again when the scheduler is back.
func TestWorkersOfALeavingSchedulerAreTakenOver(t *testing.T) {
	s := &discovered{}
	c, _ := newDividedCore(t, s)
	var sent [][]byte
	c.Broadcast = func(data []byte) { sent = append(sent, append([]byte(nil), data...)) }
	advance(c, 3*Second)
	require.NotEmpty(t, sent, "heartbeats are sent")
	_, err := ownership.ParseHeartbeat(sent[0])
	require.NoError(t, err)
	half := c.mainPool.dispatcher.KnownWorkers()
	require.Less(t, half, dividedWorkers)
	c.PeerMessage(1, ownership.Heartbeat{Zone: ownership.UnknownZone, IsLeaving: true}.Append(nil))
	advance(c, 2*Second)
	require.Equal(t, dividedWorkers, c.mainPool.dispatcher.KnownWorkers())
	c.PeerMessage(1, ownership.Heartbeat{Zone: ownership.UnknownZone}.Append(nil))
	advance(c, 2*Second)
	c.mainPool.dispatcher.TimerDue(c.Loop.now, 0) // the Dispatcher forgets the workers that were given back
	require.Equal(t, half, c.mainPool.dispatcher.KnownWorkers())
}

// A job that runs at a worker when the worker leaves the share gets its answer from there.
func TestRunningJobsGoOnWhenAWorkerLeavesTheShare(t *testing.T) {
	s := &discovered{}
	c, _ := newDividedCore(t, s)
	c.PeerMessage(1, ownership.Heartbeat{Zone: ownership.UnknownZone, IsLeaving: true}.Append(nil))
	advance(c, 2*Second)
	for i := range 100 {
		c.Accept(&Request{ID: fmt.Sprint("r", i), Deadline: c.Loop.now + 100*Second, Client: s})
	}
	c.runPendingActions()
	c.PeerMessage(1, ownership.Heartbeat{Zone: ownership.UnknownZone}.Append(nil))
	advance(c, Second+Millisecond)
	givenBack := 0
	for _, attempt := range s.sent {
		if !c.mainPool.share.table.InShare(attempt.Worker) {
			givenBack++
		}
		require.True(t, c.AttemptEnded(attempt.Ref, rules.OK, nil, rules.Load{}))
	}
	require.Positive(t, givenBack)
	require.Equal(t, len(s.sent), s.answers)
	require.Equal(t, uint64(100), c.Counts.Served)
}

// A worker may be disabled while it belongs to another scheduler's share, and is still disabled when it joins this one's.
func TestWorkersOfOtherSharesCanBeDisabled(t *testing.T) {
	s := &discovered{}
	c, list := newDividedCore(t, s)
	for _, w := range list {
		require.True(t, c.SetWorkerDisabled(w.Name, true))
	}
	require.False(t, c.SetWorkerDisabled("unlisted", true))
	c.PeerMessage(1, ownership.Heartbeat{Zone: ownership.UnknownZone, IsLeaving: true}.Append(nil))
	advance(c, 2*Second)
	require.Equal(t, dividedWorkers, c.WorkersOutOfRotation(), "the workers that joined the share are disabled as well")
}

// Workers that do not come from discovery belong to this scheduler alone.
func TestWorkersOfOtherTransportsAreNotDivided(t *testing.T) {
	s, own := &discovered{}, &stub{}
	c, _ := newDividedCore(t, s)
	held := c.mainPool.dispatcher.KnownWorkers()
	c.UpdateWorkerList(own, rules.ListDelta, []ListedWorker{{Name: "session-1", Weight: 1}, {Name: "session-2", Weight: 1}})
	require.Equal(t, held+2, c.mainPool.dispatcher.KnownWorkers())
	c.UpdateWorkerList(own, rules.ListFull, []ListedWorker{{Name: "session-1", Weight: 1}})
	require.Equal(t, dividedWorkers+1, c.WorkerCount())
	stats, _ := c.Ownership()
	require.Equal(t, dividedWorkers, stats.TotalWorkers)
}
