package sites

import (
	"cmp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// requireConsistent compares the incrementally maintained state with a full walk over all members.
func requireConsistent(t require.TestingT, m *Machine) {
	total, disabled := 0, 0
	for i := range m.sites {
		s := &m.sites[i]
		require.True(t, slices.IsSortedFunc(s.members, func(a, b *member) int { return cmp.Compare(a.hash, b.hash) }))
		disabledHere := 0
		for index, w := range s.members {
			require.Same(t, w, m.members[w.Worker])
			require.Equal(t, i, w.Site)
			require.Equal(t, index, w.index)
			if w.isPending() {
				require.True(t, s.marked.Test(uint(index)), "%s is pending and not marked", w.Worker)
			}
			if w.isDisabled {
				disabledHere++
			}
		}
		require.Equal(t, disabledHere, s.disabledCount)
		require.Empty(t, s.added)
		total += len(s.members)
		disabled += disabledHere
	}
	require.Equal(t, len(m.members), total)
	require.Equal(t, total-disabled, m.enabledWorkers(-1))
}

// Each site's member list, disabled count and pending marks match a full walk under random faults and list changes.
func TestMembersStayConsistentUnderRandomFaults(t *testing.T) {
	for _, mayProbe := range []bool{true, false} {
		sizes := []int{9, 1, 25}
		d := newDigestWorld(Settings{MayProbe: mayProbe, OwnSite: 1}, 9, sizes...)
		for range 300 {
			if d.rng.IntN(2) == 0 {
				d.changeList(len(sizes))
				requireConsistent(t, d.m)
			}
			d.randomFault(len(sizes))
			requireConsistent(t, d.m)
			for range 10 {
				d.run(d.now+Time(d.rng.IntN(300))*millisecond, Time(2+d.rng.IntN(60))*millisecond, d.randomWorker)
				requireConsistent(t, d.m)
			}
		}
	}
}

// A worker listed at two sites of one list belongs to the last of them.
func TestWorkerListedTwiceBelongsToItsLastSite(t *testing.T) {
	w := newWorld(Settings{MayProbe: true}, 2, 2)
	w.m.UpdateWorkers(w.now, []Member{{"a", 0}, {"b", 0}, {"a", 1}})
	requireConsistent(t, w.m)
	require.Len(t, w.m.sites[0].members, 1)
	require.Len(t, w.m.sites[1].members, 1)
	w.m.UpdateWorkers(w.now, []Member{{"new", 0}, {"new", 1}, {"new", 0}, {"b", 0}})
	requireConsistent(t, w.m)
	require.Len(t, w.m.sites[0].members, 2)
	require.Empty(t, w.m.sites[1].members)
}

// A turn visits only the members with a missing response, however many are listed.
func TestTurnVisitsOnlyPendingMembers(t *testing.T) {
	for _, size := range []int{30, 300, 3000} {
		w := newWorld(Settings{MayProbe: true}, size, size)
		for i := range 8 {
			w.m.ReplyExpected(w.now, workerName(i%2, i))
		}
		w.m.Turn(w.now)
		require.EqualValues(t, 8, w.m.sites[0].marked.Count()+w.m.sites[1].marked.Count())
		for i := range 8 {
			w.m.WorkerResponded(w.now, workerName(i%2, i))
		}
		w.m.Turn(w.now)
		require.Zero(t, w.m.sites[0].marked.Count()+w.m.sites[1].marked.Count())
	}
}
