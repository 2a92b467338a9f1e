package rules

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// freshRing lays a ring out from the whole list, by the workers' places in it.
func freshRing(d *Dispatcher, k int) (points []WorkerID) {
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

// ringAsKept is the same of the ring that is kept in step.
func ringAsKept(d *Dispatcher, k int) (points []WorkerID) {
	ring := d.ring(k)
	for i, point := range ring {
		if i > 0 && ring[i-1] > point {
			return []WorkerID{"not in order"}
		}
		points = append(points, d.workers[point&ringIndexMask].id)
	}
	return points
}

// requireInStep compares all that is kept in step with the list with what a walk over all workers and requests gives.
func requireInStep(t require.TestingT, d *Dispatcher, now Time) {
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
		require.False(t, d.isSuspect(now, w), "%s is suspect, and not visited", w.id)
		require.Empty(t, w.peerJobs, "%s has jobs of peers, and is not visited", w.id)
		require.False(t, w.state == Gone && w.outstanding == 0, "%s has gone, and is not visited", w.id)
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

// A ring that follows the changes of a list is point by point the one that is laid out anew from it.
func TestARingKeptInStepEqualsAFreshOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := oneClass(Once)
		s.Kinds, s.WeightsAreSize = rapid.IntRange(0, 3).Draw(t, "kinds"), rapid.Bool().Draw(t, "sizes")
		b := newBed(s)
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
			b.List(b.now, l)
			if rapid.IntRange(0, 3).Draw(t, "tick") == 0 {
				b.housekeeping(b.now)
			}
			requireInStep(t, b.Dispatcher, b.now)
			if k := rapid.IntRange(-1, s.Kinds).Draw(t, "ring asked for"); k >= 0 {
				require.Equal(t, freshRing(b.Dispatcher, k), ringAsKept(b.Dispatcher, k))
			}
		}
		for k := range b.rings {
			require.Equal(t, freshRing(b.Dispatcher, k), ringAsKept(b.Dispatcher, k))
		}
	})
}

// What is kept in step equals what walks would find, whatever happens.
func TestHousekeepingMissesNobody(t *testing.T) {
	for _, v := range digestVariants {
		t.Run(v.name, func(t *testing.T) {
			run := newDigestRun(&v, 11)
			for step := range 4000 {
				run.step()
				if step%17 > 0 {
					continue
				}
				m := run.members[step/17%len(run.members)]
				requireInStep(t, m.Dispatcher, run.now)
				for k := range m.rings {
					require.Equal(t, freshRing(m.Dispatcher, k), ringAsKept(m.Dispatcher, k))
				}
			}
		})
	}
}

// A worker that was slow, and has nothing of ours any more, is found suspect for as long as a walk over all would find
// it so: until what it has shown has faded, and again when running times that are learned later make it fade later.
func TestOneThatWasSlowIsVisited(t *testing.T) {
	set := oneClass(Repeatable)
	set.GroupSize, set.MayBroadcast = 3, true
	b := newBed(set, fleet(8)...)
	for k := range uint64(100) {
		b.serve(k, 20*ms)
	}
	slow := b.byID["w0"]
	for range 12 {
		for _, w := range b.workers {
			served := newRecord(eventServed, w, &request{Request: Request{Slots: 1}})
			if served.setRunTime(20 * ms); w == slow {
				served.setRunTime(400 * ms)
			}
			b.PeerMessage(b.now, 1, served.append(nil))
		}
	}
	for range 3 {
		slow.slowAt, b.meanRun.v = b.now, 20_000
		require.True(t, b.isSuspect(b.now, slow))
		require.Zero(t, slow.outstanding)
		requireInStep(t, b.Dispatcher, b.now)
		b.pass(2000 * ms)
		require.False(t, b.isSuspect(b.now, slow), "it has faded")
		b.meanRun.v = 2e6
		require.True(t, b.isSuspect(b.now, slow))
		requireInStep(t, b.Dispatcher, b.now)
		b.pass(tickInterval)
	}
}

// A worker that has nothing of ours and fails its probes is benched, and visited.
func TestOneThatFailsItsProbesIsVisited(t *testing.T) {
	b := newBed(oneClass(Once), fleet(3)...)
	for range 3 {
		b.Probed(b.now, &ProbeResult{Worker: "w1", Status: Unreachable})
	}
	require.True(t, b.isSuspect(b.now, b.byID["w1"]))
	requireInStep(t, b.Dispatcher, b.now)
	b.pass(60_000 * ms)
	require.Zero(t, b.marked.Count())
}

// What a change of three entries touches does not grow with the list: ring points, tags, workers visited by the tick
// after it, and memory taken but for the ring itself.
func TestAListChangeTouchesWhatItChanges(t *testing.T) {
	type cost struct {
		points, stale, visited int
	}
	var costs []cost
	for _, workers := range []int{300, 3000, 30_000} {
		b := newBed(oneClass(Once), fleet(workers)...)
		b.ring(0)
		b.ring(1)
		entries := fleet(workers)[20:23]
		for i := range entries {
			entries[i].State = Draining
		}
		b.List(b.now, &List{Form: ListDelta, Entries: entries})
		c := cost{stale: len(b.rings[0].stale), visited: int(b.marked.Count())}
		b.ring(0)
		c.points = len(b.rings[0].removed) + len(b.rings[0].added)
		require.Equal(t, workers-3, b.readyCount)
		entries[0].State, entries[1].State, entries[2].State = Gone, Gone, Ready
		b.List(b.now, &List{Form: ListDelta, Entries: entries})
		c.visited += int(b.marked.Count())
		b.ring(0)
		c.points += len(b.rings[0].removed) + len(b.rings[0].added)
		b.housekeeping(b.now)
		require.Len(t, b.byID, workers-2)
		c.visited += int(b.marked.Count())
		costs = append(costs, c)
	}
	require.Equal(t, []cost{{32, 3, 2}, {32, 3, 2}, {32, 3, 2}}, costs)
}

// A tick visits the workers that have something to look at, however many are listed.
func TestATickVisitsWhoHasSomethingOut(t *testing.T) {
	for _, workers := range []int{300, 3000, 30_000} {
		b := newBed(oneClass(Once), fleet(workers)...)
		for k := range uint64(50) {
			b.ask(k)
		}
		open := map[WorkerID]bool{}
		for i, s := range b.a.sends {
			if i%2 == 0 {
				b.end(s.r, 0, s.w, OK)
			} else {
				open[s.w] = true
			}
		}
		b.housekeeping(b.now)
		require.EqualValues(t, len(open), b.marked.Count())
	}
}

// The changes that wait for a ring that nobody asks for are bounded, and so are the numbers of removed workers.
func TestChangesThatWaitAreBounded(t *testing.T) {
	b := newBed(oneClass(Once), fleet(20)...)
	b.ring(0)
	for i := range 2000 {
		e := ListEntry{Worker: WorkerID(fmt.Sprint("x", i)), Weight: 1}
		b.List(b.now, &List{Form: ListDelta, Entries: []ListEntry{e}})
		e.State = Gone
		b.List(b.now, &List{Form: ListDelta, Entries: []ListEntry{e}})
		b.housekeeping(b.now)
		require.LessOrEqual(t, len(b.workers), 2*len(b.byID))
		require.LessOrEqual(t, len(b.rings[0].stale), len(b.workers)+1)
	}
	require.Equal(t, freshRing(b.Dispatcher, 0), ringAsKept(b.Dispatcher, 0))
	require.Len(t, b.tags, 20)
}

// The host's figures are of the workers that are known, also behind such as were removed.
func TestFiguresBehindARemovedWorker(t *testing.T) {
	b := newBed(oneClass(Once), fleet(8)...)
	b.List(b.now, &List{Form: ListDelta, Entries: []ListEntry{{Worker: "w0", State: Gone}}})
	b.pass(2 * tickInterval)
	require.Equal(t, 7, b.KnownWorkers())
	require.Zero(t, b.Utilization(b.now))
	require.Zero(t, b.OutOfRotation(b.now))
	b.ask(1)
	require.InDelta(t, 1/(7*defaultSlots), b.Utilization(b.now), 1e-9)
	require.True(t, b.SetDisabled(b.now, "w1", ByOperator, true))
	require.Equal(t, 1, b.OutOfRotation(b.now))
	require.Nil(t, b.workers[0])
}
