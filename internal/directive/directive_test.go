package directive

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTheLastWordStandsWhicheverProcessHeardIt(t *testing.T) {
	var a, b Set
	out, err := a.Change(WorkerDisabled("s-1"), true, 0)
	require.NoError(t, err)
	require.True(t, b.Merge(out))
	back, err := b.Change(WorkerDisabled("s-1"), false, 0)
	require.NoError(t, err)
	require.True(t, a.Merge(back))
	assert.False(t, a.IsOn(WorkerDisabled("s-1")))
	assert.False(t, a.Merge(out), "an older word came back")
	assert.False(t, a.IsOn(WorkerDisabled("s-1")))
}

// Two processes that were called at the same moment come to the same state, on which nothing is sent.
func TestOnStandsBetweenEqualVersions(t *testing.T) {
	var a, b Set
	out, _ := a.Change(Drain, true, 0)
	back, _ := b.Change(Drain, false, 0)
	require.Equal(t, out.Version, back.Version)
	a.Merge(back)
	b.Merge(out)
	assert.True(t, a.IsOn(Drain))
	assert.True(t, b.IsOn(Drain))
}

// In whatever order and however often entries of three processes are merged, all come to the same set.
func TestSetsConverge(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		sets := make([]Set, 3)
		for range 40 {
			at := rng.IntN(len(sets))
			if rng.IntN(2) == 0 {
				_, err := sets[at].Change(WorkerDisabled(fmt.Sprint(rng.IntN(4))), rng.IntN(2) == 0, uint64(rng.IntN(60)))
				require.NoError(t, err)
				continue
			}
			for _, e := range sets[rng.IntN(len(sets))].Entries() {
				sets[at].Merge(e)
			}
		}
		for range 2 {
			for at := range sets {
				for _, e := range sets[(at+1)%len(sets)].Entries() {
					sets[at].Merge(e)
				}
			}
		}
		assert.Equal(t, sets[0].Entries(), sets[1].Entries(), "seed %d", seed)
		assert.Equal(t, sets[0].Entries(), sets[2].Entries(), "seed %d", seed)
	}
}

func TestBounds(t *testing.T) {
	var s Set
	for i := range MaxOn {
		_, err := s.Change(WorkerDisabled(fmt.Sprint(i)), true, 0)
		require.NoError(t, err)
	}
	_, err := s.Change(WorkerDisabled("one more"), true, 0)
	assert.ErrorIs(t, err, ErrFull)
	_, err = s.Change(WorkerDisabled("0"), true, 0)
	assert.NoError(t, err, "one that is on already")
	for i := range MaxOn {
		_, err := s.Change(WorkerDisabled(fmt.Sprint(i)), false, 0)
		require.NoError(t, err)
	}
	for i := range MaxOn {
		_, err := s.Change(WorkerDisabled(fmt.Sprint("b", i)), true, 0)
		require.NoError(t, err)
	}
	assert.Equal(t, MaxEntries, s.Len())
	assert.False(t, s.Merge(Entry{Key: WorkerDisabled("from elsewhere"), Version: 1 << 40, On: true}))
	assert.True(t, s.Prune())
	assert.Equal(t, MaxOn, s.Len())
	e, err := s.Change(WorkerDisabled("0"), false, 0)
	require.NoError(t, err)
	assert.Greater(t, e.Version, uint64(1<<40), "a version goes on from the highest seen")
}
