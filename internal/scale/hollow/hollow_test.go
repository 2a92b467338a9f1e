package hollow

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/scale/result"
	"cobaltflow/internal/world"
)

// smallFleet returns a fleet that is simulated within seconds: shares of 32 workers, and tasks that run for minutes.
func smallFleet() Fleet {
	return Fleet{Schedulers: 8, Zones: 4, Regions: 2, WorkersPerZone: 64, Slots: 8, Keys: 200, Skew: defaultSkew, Load: defaultLoad, Tasks: Long,
		ProbeCost: defaultProbeCost, TargetStretch: 2, WarmUp: 3 * minute, Duration: 5 * minute, ConnectionIdle: connectionIdle, Seed: 1}
}

func simulateCandidate(t *testing.T, f Fleet, name string) Outcome {
	t.Helper()
	c, err := FindCandidate(name)
	require.NoError(t, err)
	o, err := Simulate(f, c)
	require.NoError(t, err)
	return o
}

func TestSameSeedGivesTheSameCounts(t *testing.T) {
	for _, name := range []string{"whole list", "package ownership", "partial view"} {
		f := smallFleet()
		f.WarmUp, f.Duration = 20*second, 50*second
		one := simulateCandidate(t, f, name)
		assert.Equal(t, one.Counts, simulateCandidate(t, f, name).Counts, name)
		f.Seed = 2
		assert.NotEqual(t, one.Counts, simulateCandidate(t, f, name).Counts, name)
	}
}

// Each worker has the configured number of holders, whichever schedulers are alive, and the schedulers of its zone come
// first.
func TestRendezvousAssignsEachWorkerItsHolders(t *testing.T) {
	f := smallFleet()
	for _, holders := range []int{1, 2, 4} {
		o := newRendezvous(&f, holders, true)
		alive := []bool{true, true, false, true, true, true, true, true}
		count := make([]int, f.Workers())
		for scheduler := range alive {
			for _, worker := range o.Share(scheduler, alive) {
				count[worker]++
				if holders == 1 {
					assert.Equal(t, f.zoneOf(worker), world.ZoneOf(scheduler, f.Zones))
				}
			}
		}
		for worker, n := range count {
			require.Equal(t, holders, n, "worker %d", worker)
		}
		assert.Empty(t, o.Share(2, alive))
	}
}

// The failure of a member moves only its own workers.
func TestRendezvousMovesOnlyTheWorkersOfADeadScheduler(t *testing.T) {
	f := smallFleet()
	o := newRendezvous(&f, 1, false)
	all := []bool{true, true, true, true, true, true, true, true}
	before := o.Share(5, all)
	after := o.Share(5, []bool{true, false, true, true, true, true, true, true})
	assert.Subset(t, after, before)
	assert.Greater(t, len(after), len(before))
}

// If any scheduler receives any key, its keys map to nearly all workers. If keys are bound to schedulers, they map to
// few.
func TestPartialViewIsSmallOnlyWithTrafficByKey(t *testing.T) {
	f := smallFleet()
	f.Schedulers = 32
	alive := make([]bool, f.Schedulers)
	whole := len(newPartialView(&f).Share(0, alive))
	f.Traffic = world.ByKey
	byKey := len(newPartialView(&f).Share(0, alive))
	assert.Greater(t, whole, f.Workers()*8/10)
	assert.Less(t, byKey, whole*4/10)
}

// With one owner per worker there are few connections and probes, and the value of the served jobs is at most 0.01 less
// than with the whole list.
func TestOwnershipReducesConnectionsAndProbes(t *testing.T) {
	whole, owned := simulateCandidate(t, smallFleet(), "whole list"), simulateCandidate(t, smallFleet(), "package ownership")
	assert.Greater(t, whole.Counts.Probes, 0.5)
	assert.Greater(t, whole.Counts.NewConnections, 2*owned.Counts.NewConnections)
	assert.Less(t, owned.Counts.Probes, 0.1)
	assert.Less(t, owned.Counts.NewConnections, 0.3)
	assert.Greater(t, owned.Counts.ValueRatio, whole.Counts.ValueRatio-0.01)
	held := 0
	for _, n := range owned.Counts.Held {
		held += n
	}
	assert.InDelta(t, owned.Fleet.Workers(), held, 8, "one owner each, except for workers that are being moved")
	assert.Zero(t, owned.Counts.UnheldAtEnd)
}

// Whatever fault hits members or zones: no worker stays without a holder, no job that must not run twice does, and the
// schedulers together do not overload a cold worker.
func TestNoFaultLosesWorkersOrRepeatsJobs(t *testing.T) {
	c, err := FindCandidate("package ownership")
	require.NoError(t, err)
	for _, r := range Recoveries() {
		f := smallFleet()
		f.WarmUp, f.Duration = minute, 170*second
		f.Faults = r.Faults(&f)
		o, err := Simulate(f, c)
		require.NoError(t, err)
		assert.Zero(t, o.Counts.UnheldAtEnd, r.Name)
		assert.Zero(t, o.Counts.StartedTwice, r.Name)
		assert.LessOrEqual(t, o.Counts.MaxColdJobs, 1.0, r.Name)
		if strings.HasPrefix(r.Name, "zone") {
			assert.Positive(t, o.Counts.MaxColdJobs)
		}
		if strings.HasPrefix(r.Name, "member killed") {
			assert.Positive(t, o.Counts.Lost)
			assert.Positive(t, o.Counts.Held[3], "the killed member holds workers again")
		}
	}
}

// The number of workers that a scheduler holds grows with the whole list, or with its share of the list under package
// ownership.
func TestHeldWorkersGrowWithTheListOrTheShare(t *testing.T) {
	whole, err := FindCandidate("whole list")
	require.NoError(t, err)
	owned, err := FindCandidate("package ownership")
	require.NoError(t, err)
	campaign := Campaign{Candidates: []Candidate{whole, owned}, Seeds: 1, Parallel: 2, Cases: []Case{{Name: "workers", Parameter: "workers",
		Values: []float64{152, 304, 608}, Fleet: func(n float64) Fleet {
			f := smallFleet()
			f.WorkersPerZone = int(n) / f.Zones
			f.WarmUp, f.Duration, f.Load = second, 6*second, 0.01
			return f
		}}}}
	runs, slopes := campaign.Run(func(result.Run) {})
	require.Len(t, runs, 6)
	file := result.File{Runs: runs, Slopes: slopes}
	line, found := file.Slope("workers", "whole list", "workers_held_mean")
	require.True(t, found)
	assert.InDelta(t, 1, line.Slope, 1e-9)
	line, found = file.Slope("workers", "package ownership", "workers_held_mean")
	require.True(t, found)
	assert.InDelta(t, 1.0/8, line.Slope, 0.01)
	assert.Equal(t, result.Hollow, line.Kind)
}

func TestComparisonWritesATable(t *testing.T) {
	var out bytes.Buffer
	c := Comparison{SizeDivisor: 1000, Tasks: "short", Traffic: "evenly", Candidates: "whole list,equal shares", Seeds: 1, Schedulers: 2, Load: 0.05, Parallel: 2}
	require.NoError(t, c.Write(&out))
	assert.Contains(t, out.String(), "| evenly | whole list | 0.0018 |")
	assert.Contains(t, out.String(), "| evenly | equal shares | 0.0018 |")
	c.Candidates = "no such"
	assert.ErrorIs(t, c.Write(&out), ErrNoMatch)
}

func TestInvalidFleetsAreRejected(t *testing.T) {
	for _, invalidate := range []func(*Fleet){func(f *Fleet) { f.Schedulers = 0 }, func(f *Fleet) { f.Load = 0 }, func(f *Fleet) { f.Duration = f.WarmUp }, func(f *Fleet) { f.Slots = maxSlots + 1 }} {
		f := smallFleet()
		invalidate(&f)
		_, err := Simulate(f, Candidate{})
		assert.Error(t, err)
	}
}
