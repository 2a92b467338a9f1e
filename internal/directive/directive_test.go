package directive

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLaterChangeWinsWhicheverProcessMadeIt(t *testing.T) {
	var a, b Set
	disabled, err := a.Change(WorkerDisabled("s-1"), true, 0)
	require.NoError(t, err)
	require.True(t, b.Merge(disabled))
	enabled, err := b.Change(WorkerDisabled("s-1"), false, 0)
	require.NoError(t, err)
	require.True(t, a.Merge(enabled))
	assert.False(t, a.IsOn(WorkerDisabled("s-1")))
	assert.False(t, a.Merge(disabled), "an older entry must not win")
	assert.False(t, a.IsOn(WorkerDisabled("s-1")))
}

// Two processes that change a directive at the same time converge on the state in which nothing is sent.
func TestOnWinsBetweenEqualVersions(t *testing.T) {
	var a, b Set
	on, _ := a.Change(Drain, true, 0)
	off, _ := b.Change(Drain, false, 0)
	require.Equal(t, on.Version, off.Version)
	a.Merge(off)
	b.Merge(on)
	assert.True(t, a.IsOn(Drain))
	assert.True(t, b.IsOn(Drain))
}

// Three sets converge, in whatever order and however often their entries are merged.
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
	assert.NoError(t, err, "a directive that is on already")
	for i := range MaxOn {
		_, err := s.Change(WorkerDisabled(fmt.Sprint(i)), false, 0)
		require.NoError(t, err)
	}
	for i := range MaxOn {
		_, err := s.Change(WorkerDisabled(fmt.Sprint("b", i)), true, 0)
		require.NoError(t, err)
	}
	assert.Equal(t, MaxEntries, s.Len())
	assert.False(t, s.Merge(Entry{Key: WorkerDisabled("from another process"), Version: 1 << 40, On: true}))
	assert.True(t, s.Prune())
	assert.Equal(t, MaxOn, s.Len())
	e, err := s.Change(WorkerDisabled("0"), false, 0)
	require.NoError(t, err)
	assert.Greater(t, e.Version, uint64(1<<40), "a new version is above the highest seen")
}
