package world

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// evenShares is a Directory that divides the workers evenly among the schedulers; all of them hold a dead scheduler's share.
type evenShares struct{ workers int }

func (h evenShares) Holders() int { return 1 }

func (h evenShares) Share(scheduler int, alive []bool) (share []int) {
	for worker := range h.workers {
		if owner := worker % len(alive); owner == scheduler || !alive[owner] {
			share = append(share, worker)
		}
	}
	return share
}

// fewSchedulers is a setup of four schedulers, for the tests of faults and shares.
func fewSchedulers() Setup {
	s := short(referenceSetup())
	s.Schedulers, s.Load, s.ConnectionIdleTimeout, s.Duration = 4, 0.5, 48_000_000, 14_000_000
	s.DetectionDelay = TimeRange{1_000_000, 1_500_000}
	return s
}

func TestKeptConnectionsAreNotCountedAsNew(t *testing.T) {
	kept, none := fewSchedulers(), fewSchedulers()
	none.ConnectionIdleTimeout = 0
	assert.Less(t, Simulate(kept).NewConnections, 0.1)
	f := Simulate(none)
	assert.Greater(t, f.NewConnections, 1.0, "each attempt, and each probe, opens one")
	assert.LessOrEqual(t, f.NewConnections, 1.1+f.Probes)
}

func TestSchedulerUsesOnlyItsShare(t *testing.T) {
	s := fewSchedulers()
	s.Directory = evenShares{20}
	f := Simulate(s)
	assert.Equal(t, []int{5, 5, 5, 5}, f.Held)
	assert.Zero(t, f.UnheldAtEnd)
	assert.Less(t, f.Probes, Simulate(fewSchedulers()).Probes)
}

func TestJobsOfAKeyReachItsSchedulers(t *testing.T) {
	for key := range 100 {
		of := SchedulersForKey(key, 7, 2)
		assert.Len(t, of, 2)
		assert.NotEqual(t, of[0], of[1])
	}
	even, byKey := fewSchedulers(), fewSchedulers()
	even.Keys, byKey.Keys = 50, 50
	even.KeyMissWindows, byKey.KeyMissWindows = []rules.Time{300_000_000}, []rules.Time{300_000_000}
	even.Directory, byKey.Directory, byKey.Traffic = evenShares{20}, evenShares{20}, ByKey
	assert.Less(t, Simulate(byKey).KeyMissesIn[0], 0.8*Simulate(even).KeyMissesIn[0], "a key reaches one scheduler of four, and so fewer workers")
}

// A killed scheduler loses its requests. The others take over its workers, so that no worker stays without a holder.
func TestOtherSchedulersTakeOverWorkersOfAKilledOne(t *testing.T) {
	s := fewSchedulers()
	s.Directory = evenShares{20}
	s.Faults = []Fault{{Kind: KillScheduler, At: 9_000_000, Scheduler: 2}}
	f := Simulate(s)
	assert.Positive(t, f.Lost)
	assert.Equal(t, 5, f.MaxUnheld)
	assert.Zero(t, f.UnheldAtEnd)
	assert.Equal(t, []int{10, 10, 0, 10}, f.Held)
	assert.Zero(t, f.StartedTwice)
	s.Faults = append(s.Faults, Fault{Kind: StartScheduler, At: 11_000_000, Scheduler: 2})
	assert.Equal(t, []int{5, 5, 5, 5}, Simulate(s).Held)
}

// A paused scheduler continues with its old state. The shares have to be as before once the others receive its heartbeats.
func TestPausedSchedulerRecovers(t *testing.T) {
	for name, s := range map[string]Setup{"directory": fewSchedulers(), "ownership": fewSchedulers()} {
		if name == "directory" {
			s.Directory = evenShares{20}
		} else {
			s.Ownership = &ownership.Settings{MinShare: 1, UsesHeartbeats: true, HeartbeatInterval: 200_000}
		}
		s.Faults = []Fault{{Kind: PauseScheduler, At: 9_000_000, Duration: 2_000_000, Scheduler: 1}}
		f := Simulate(s)
		sum := 0
		for _, held := range f.Held {
			sum += held
		}
		assert.InDelta(t, 20, sum, 2, "%s: weights keep changing, and two schedulers may hold a worker for a turn", name)
		assert.Zero(t, f.UnheldAtEnd, name)
		assert.Zero(t, f.StartedTwice, name)
	}
}

// A failed zone's attempts are reset. Its workers restart cold, and all schedulers together must keep within their limit.
func TestLostZoneRestartsCold(t *testing.T) {
	s := fewSchedulers()
	s.Rules.Zones = 2
	s.Workers = []Worker{{Count: 10, Slots: 4}, {Count: 10, Slots: 4, Zone: 1}}
	s.Faults = []Fault{{Kind: LoseZone, At: 8_500_000, Duration: 2_000_000, Zone: 1}}
	f := Simulate(s)
	assert.Positive(t, f.MaxColdJobs)
	assert.LessOrEqual(t, f.MaxColdJobs, 1.0)
	assert.Zero(t, f.StartedTwice)
}

func TestWorkerRestartsUpdateTheList(t *testing.T) {
	s := fewSchedulers()
	s.RestartsPerS, s.RestartDuration = 2, 500_000
	f := Simulate(s)
	assert.Positive(t, f.ListEntries)
	assert.Zero(t, f.StartedTwice)
	assert.LessOrEqual(t, f.MaxColdJobs, 1.0)
}
