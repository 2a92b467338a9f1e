package world

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// halves is a Directory that gives each scheduler the workers of one half, and those of the dead to all.
type halves struct{ workers int }

func (h halves) Holders() int { return 1 }

func (h halves) Share(scheduler int, alive []bool) (share []int) {
	for worker := range h.workers {
		if owner := worker % len(alive); owner == scheduler || !alive[owner] {
			share = append(share, worker)
		}
	}
	return share
}

func few() Setup {
	s := short(site())
	s.Schedulers, s.Load, s.ConnectionIdleTimeout, s.Duration = 4, 0.5, 48_000_000, 14_000_000
	s.DetectionDelay = TimeRange{1_000_000, 1_500_000}
	return s
}

func TestKeptConnectionsAreNotNew(t *testing.T) {
	kept, none := few(), few()
	none.ConnectionIdleTimeout = 0
	assert.Less(t, Simulate(kept).NewConnections, 0.1)
	f := Simulate(none)
	assert.Greater(t, f.NewConnections, 1.0, "each attempt, and each probe, opens one")
	assert.LessOrEqual(t, f.NewConnections, 1.1+f.Probes)
}

func TestASchedulerSendsToItsShareOnly(t *testing.T) {
	s := few()
	s.Directory = halves{20}
	f := Simulate(s)
	assert.Equal(t, []int{5, 5, 5, 5}, f.Held)
	assert.Zero(t, f.UnheldAtEnd)
	assert.Less(t, f.Probes, Simulate(few()).Probes)
}

func TestTheJobsOfAKeyComeToItsSchedulers(t *testing.T) {
	for key := range 100 {
		of := SchedulersForKey(key, 7, 2)
		assert.Len(t, of, 2)
		assert.NotEqual(t, of[0], of[1])
	}
	even, byKey := few(), few()
	even.Keys, byKey.Keys = 50, 50
	even.KeyMissWindows, byKey.KeyMissWindows = []rules.Time{300_000_000}, []rules.Time{300_000_000}
	even.Directory, byKey.Directory, byKey.Traffic = halves{20}, halves{20}, ByKey
	assert.Less(t, Simulate(byKey).KeyMissesIn[0], 0.8*Simulate(even).KeyMissesIn[0], "a key comes to one scheduler of four, and so to fewer workers")
}

// What a killed scheduler held is lost; the others take its workers over, and none stays without a holder.
func TestAKilledSchedulersWorkersAreTakenOver(t *testing.T) {
	s := few()
	s.Directory = halves{20}
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

// A scheduler that stands still wakes with its old view, and all are as before once heartbeats are heard again.
func TestAStoppedSchedulerComesBack(t *testing.T) {
	for name, s := range map[string]Setup{"directory": few(), "ownership": few()} {
		if name == "directory" {
			s.Directory = halves{20}
		} else {
			s.Ownership = &ownership.Settings{MinShare: 1, UsesHeartbeats: true, HeartbeatInterval: 200_000}
		}
		s.Faults = []Fault{{Kind: PauseScheduler, At: 9_000_000, Duration: 2_000_000, Scheduler: 1}}
		f := Simulate(s)
		sum := 0
		for _, held := range f.Held {
			sum += held
		}
		assert.InDelta(t, 20, sum, 2, "%s: weights move on, and a worker may be held by two for a turn", name)
		assert.Zero(t, f.UnheldAtEnd, name)
		assert.Zero(t, f.StartedTwice, name)
	}
}

// A lost zone's jobs are reset; its workers come back cold, and all schedulers together keep to what they bear.
func TestAZoneLostAndBackCold(t *testing.T) {
	s := few()
	s.Rules.Zones = 2
	s.Workers = []Worker{{Count: 10, Slots: 4}, {Count: 10, Slots: 4, Zone: 1}}
	s.Faults = []Fault{{Kind: LoseZone, At: 8_500_000, Duration: 2_000_000, Zone: 1}}
	f := Simulate(s)
	assert.Positive(t, f.MaxColdJobs)
	assert.LessOrEqual(t, f.MaxColdJobs, 1.0)
	assert.Zero(t, f.StartedTwice)
}

func TestRestartedWorkersAreTold(t *testing.T) {
	s := few()
	s.RestartsPerS, s.RestartDuration = 2, 500_000
	f := Simulate(s)
	assert.Positive(t, f.ListEntries)
	assert.Zero(t, f.StartedTwice)
	assert.LessOrEqual(t, f.MaxColdJobs, 1.0)
}
