package rules

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// rebuiltRing returns the workers by the points of a ring that is built anew from the whole list.
func rebuiltRing(d *Dispatcher, k int) (points []WorkerID) {
	var listed []*worker
	for _, w := range d.workers {
		if w != nil {
			listed = append(listed, w)
		}
	}
	total, n := 0.0, 0.0
	for _, w := range listed {
		if w.state == Ready && (k == 0 || w.Kind == k-1) {
			total += w.Weight
			n++
		}
	}
	var ring []uint64
	for i, w := range listed {
		if w.state != Ready || k > 0 && w.Kind != k-1 {
			continue
		}
		number := pointsPerWorker
		if d.cfg.WeightsAreSize && total > 0 {
			number = max(1, int(math.Round(pointsPerWorker*w.Weight*n/total)))
		}
		for p := range min(number, 4*pointsPerWorker) {
			ring = append(ring, mixHash(w.hash+uint64(p))&^ringIndexMask|uint64(i)&ringIndexMask)
		}
	}
	slices.Sort(ring)
	for _, point := range ring {
		points = append(points, listed[point&ringIndexMask].id)
	}
	return points
}

// currentRing returns the workers by the points of the ring that is updated with each change.
func currentRing(d *Dispatcher, k int) (points []WorkerID) {
	ring := d.ring(k)
	for i, point := range ring {
		if i > 0 && ring[i-1] > point {
			return []WorkerID{"not in order"}
		}
		points = append(points, d.workers[point&ringIndexMask].id)
	}
	return points
}

// requireConsistent compares all that is updated with each change of the list with what a walk over all workers and
// requests finds.
func requireConsistent(t require.TestingT, d *Dispatcher, now Time) {
	ready := 0
	tags := map[uint16][]*worker{}
	for i, w := range d.workers {
		if w == nil {
			continue
		}
		require.Equal(t, i, w.index)
		require.Same(t, w, d.byID[w.id])
		if w.state == Ready {
			ready++
		}
		if w.state != Gone {
			tags[workerTag(w)] = append(tags[workerTag(w)], w)
		}
		if d.marked.Test(uint(i)) {
			continue
		}
		require.False(t, d.isSuspect(now, w), "%s is suspect, but not marked", w.id)
		require.Empty(t, w.peerJobs, "%s has jobs of peers, but is not marked", w.id)
		require.False(t, w.state == Gone && w.outstanding == 0, "%s has gone, but is not marked", w.id)
	}
	require.LessOrEqual(t, len(d.byID), len(d.workers))
	require.Equal(t, ready, d.readyCount)
	require.Equal(t, len(tags), len(d.tags))
	for tag, workers := range tags {
		require.Equal(t, len(workers), len(d.tags[tag]))
		for i := range workers {
			require.Same(t, workers[i], d.tags[tag][i])
		}
	}
	running := 0
	for _, r := range d.requests {
		for i := range r.attempts {
			if a := &r.attempts[i]; !a.ended && a.startedAt > 0 {
				running++
				require.Contains(t, d.running, startedAttempt{r, i})
			}
		}
	}
	require.GreaterOrEqual(t, len(d.running), running)
}

// A ring that is updated with the changes of a list has the same points as one that is built anew from it.
func TestUpdatedRingEqualsRebuiltOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := oneClass(Once)
		s.Kinds, s.WeightsAreSize = rapid.IntRange(0, 3).Draw(t, "kinds"), rapid.Bool().Draw(t, "sizes")
		d := newTestDispatcher(s)
		weights := rapid.SampledFrom([]float64{0, 0.1, 0.7, 1, 1, 1, 2, 3.3, 50})
		entry := rapid.Custom(func(t *rapid.T) ListEntry {
			return ListEntry{
				Worker: WorkerID(fmt.Sprint("w", rapid.IntRange(0, 40).Draw(t, "worker"))),
				Kind:   rapid.IntRange(-1, 3).Draw(t, "kind"),
				State:  rapid.SampledFrom([]WorkerState{Ready, Ready, Draining, Gone}).Draw(t, "state"),
				Weight: weights.Draw(t, "weight"),
			}
		})
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			l := &List{Form: rapid.SampledFrom([]ListForm{ListDelta, ListDelta, ListDelta, ListFull}).Draw(t, "form"),
				Entries: rapid.SliceOfN(entry, 0, 12).Draw(t, "entries")}
			d.List(d.now, l)
			if rapid.IntRange(0, 3).Draw(t, "tick") == 0 {
				d.housekeeping(d.now)
			}
			requireConsistent(t, d.Dispatcher, d.now)
			if k := rapid.IntRange(-1, s.Kinds).Draw(t, "ring asked for"); k >= 0 {
				require.Equal(t, rebuiltRing(d.Dispatcher, k), currentRing(d.Dispatcher, k))
			}
		}
		for k := range d.rings {
			require.Equal(t, rebuiltRing(d.Dispatcher, k), currentRing(d.Dispatcher, k))
		}
	})
}

// After any events, what is updated incrementally equals what a walk over all workers and requests finds.
func TestHousekeepingMarksAllItMustVisit(t *testing.T) {
	for _, v := range digestVariants {
		t.Run(v.name, func(t *testing.T) {
			run := newDigestRun(&v, 11)
			for step := range 4000 {
				run.step()
				if step%17 > 0 {
					continue
				}
				m := run.members[step/17%len(run.members)]
				requireConsistent(t, m.Dispatcher, run.now)
				for k := range m.rings {
					require.Equal(t, rebuiltRing(m.Dispatcher, k), currentRing(m.Dispatcher, k))
				}
			}
		})
	}
}

// A worker that was slow and has no outstanding jobs any more is found suspect for as long as a walk over all workers
// would find it: until its slowness has decayed, and again when longer running times, learned later, slow the decay.
func TestSlowWorkerIsVisited(t *testing.T) {
	set := oneClass(Repeatable)
	set.GroupSize, set.MayBroadcast = 3, true
	d := newTestDispatcher(set, workerList(8)...)
	for k := range uint64(100) {
		d.serve(k, 20*ms)
	}
	slow := d.byID["w0"]
	for range 12 {
		for _, w := range d.workers {
			served := newRecord(eventServed, w, &request{Request: Request{Slots: 1}})
			if served.setRunTime(20 * ms); w == slow {
				served.setRunTime(400 * ms)
			}
			d.PeerMessage(d.now, 1, served.append(nil))
		}
	}
	for range 3 {
		slow.slowAt, d.meanRun.v = d.now, 20_000
		require.True(t, d.isSuspect(d.now, slow))
		require.Zero(t, slow.outstanding)
		requireConsistent(t, d.Dispatcher, d.now)
		d.advance(2000 * ms)
		require.False(t, d.isSuspect(d.now, slow), "its slowness has decayed")
		d.meanRun.v = 2e6
		require.True(t, d.isSuspect(d.now, slow))
		requireConsistent(t, d.Dispatcher, d.now)
		d.advance(tickInterval)
	}
}

// A worker without outstanding jobs that fails its probes is ejected, and visited.
func TestWorkerThatFailsProbesIsVisited(t *testing.T) {
	d := newTestDispatcher(oneClass(Once), workerList(3)...)
	for range 3 {
		d.Probed(d.now, &ProbeResult{Worker: "w1", Status: Unreachable})
	}
	require.True(t, d.isSuspect(d.now, d.byID["w1"]))
	requireConsistent(t, d.Dispatcher, d.now)
	d.advance(60_000 * ms)
	require.Zero(t, d.marked.Count())
}

// What a change of three entries updates does not grow with the list: ring points, stale workers of a ring, and
// workers visited by the next tick.
func TestListChangeCostIsIndependentOfListLength(t *testing.T) {
	type cost struct {
		points, stale, visited int
	}
	var costs []cost
	for _, workers := range []int{300, 3000, 30_000} {
		d := newTestDispatcher(oneClass(Once), workerList(workers)...)
		d.ring(0)
		d.ring(1)
		entries := workerList(workers)[20:23]
		for i := range entries {
			entries[i].State = Draining
		}
		d.List(d.now, &List{Form: ListDelta, Entries: entries})
		c := cost{stale: len(d.rings[0].stale), visited: int(d.marked.Count())}
		d.ring(0)
		c.points = len(d.rings[0].removed) + len(d.rings[0].added)
		require.Equal(t, workers-3, d.readyCount)
		entries[0].State, entries[1].State, entries[2].State = Gone, Gone, Ready
		d.List(d.now, &List{Form: ListDelta, Entries: entries})
		c.visited += int(d.marked.Count())
		d.ring(0)
		c.points += len(d.rings[0].removed) + len(d.rings[0].added)
		d.housekeeping(d.now)
		require.Len(t, d.byID, workers-2)
		c.visited += int(d.marked.Count())
		costs = append(costs, c)
	}
	require.Equal(t, []cost{{32, 3, 2}, {32, 3, 2}, {32, 3, 2}}, costs)
}

// A tick visits only the workers with outstanding jobs, however many are listed.
func TestTickVisitsWorkersWithOutstandingJobs(t *testing.T) {
	for _, workers := range []int{300, 3000, 30_000} {
		d := newTestDispatcher(oneClass(Once), workerList(workers)...)
		for k := range uint64(50) {
			d.submitKey(k)
		}
		open := map[WorkerID]bool{}
		for i, s := range d.rec.sends {
			if i%2 == 0 {
				d.endAttempt(s.request, 0, s.worker, OK)
			} else {
				open[s.worker] = true
			}
		}
		d.housekeeping(d.now)
		require.EqualValues(t, len(open), d.marked.Count())
	}
}

// The changes recorded for a ring that is not used are bounded, and so are the indexes of removed workers.
func TestStaleChangesAreBounded(t *testing.T) {
	d := newTestDispatcher(oneClass(Once), workerList(20)...)
	d.ring(0)
	for i := range 2000 {
		e := ListEntry{Worker: WorkerID(fmt.Sprint("x", i)), Weight: 1}
		d.List(d.now, &List{Form: ListDelta, Entries: []ListEntry{e}})
		e.State = Gone
		d.List(d.now, &List{Form: ListDelta, Entries: []ListEntry{e}})
		d.housekeeping(d.now)
		require.LessOrEqual(t, len(d.workers), 2*len(d.byID))
		require.LessOrEqual(t, len(d.rings[0].stale), len(d.workers)+1)
	}
	require.Equal(t, rebuiltRing(d.Dispatcher, 0), currentRing(d.Dispatcher, 0))
	require.Len(t, d.tags, 20)
}

// The host's metrics count the known workers, also if one with a lower index was removed.
func TestMetricsWithRemovedWorker(t *testing.T) {
	d := newTestDispatcher(oneClass(Once), workerList(8)...)
	d.List(d.now, &List{Form: ListDelta, Entries: []ListEntry{{Worker: "w0", State: Gone}}})
	d.advance(2 * tickInterval)
	require.Equal(t, 7, d.KnownWorkers())
	require.Zero(t, d.Utilization(d.now))
	require.Zero(t, d.OutOfRotation(d.now))
	d.submitKey(1)
	require.InDelta(t, 1/(7*defaultSlots), d.Utilization(d.now), 1e-9)
	require.True(t, d.SetDisabled(d.now, "w1", ByOperator, true))
	require.Equal(t, 1, d.OutOfRotation(d.now))
	require.Nil(t, d.workers[0])
}
