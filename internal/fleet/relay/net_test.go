package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A segment passes while another goroutine holds the lock of the connections and listeners.
func TestTransitTakesNoLock(t *testing.T) {
	n := New(1, [2]time.Duration{}, [2]time.Duration{}, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	done := make(chan bool)
	go func() {
		_, impairment, _ := n.transit(Job, 0, 0, 100)
		done <- impairment.Cuts == 0 && n.IsOpen(Path{Kind: Job}) && !n.drawChance(0) && n.drawChance(1) && n.Traffic(Job) == Traffic{Messages: 1, Bytes: 100}
	}()
	select {
	case ok := <-done:
		require.True(t, ok)
	case <-time.After(5 * time.Second):
		t.Fatal("it waits for the lock")
	}
}

// A change of impairments wakes those who wait for one, and leaves the state that they have read as it was.
func TestChangedImpairmentsWakeWaiters(t *testing.T) {
	n := New(2, [2]time.Duration{}, [2]time.Duration{}, 1)
	_, before, changed := n.transit(Job, 0, 1, 1)
	n.UpdateImpairments([]Kind{Job}, 0, 1, false, func(i *Impairment) { i.Cuts++ })
	select {
	case <-changed:
	default:
		t.Fatal("the change wakes nobody")
	}
	_, after, _ := n.transit(Job, 0, 1, 1)
	_, back, _ := n.transit(Job, 1, 0, 1)
	require.Equal(t, []int{0, 1, 0}, []int{before.Cuts, after.Cuts, back.Cuts})
	require.False(t, n.IsOpen(Path{Kind: Job, From: 0, To: 1}))
	require.True(t, n.IsOpen(Path{Kind: Client, From: 0, To: 1}))
}

// The random sequence is the same for a seed, differs between seeds and is uniform.
func TestRandomSequence(t *testing.T) {
	const draws = 100_000
	var a, again, other randomSequence
	a.state.Store(7)
	again.state.Store(7)
	other.state.Store(8)
	sum, tenths, same := 0.0, [10]int{}, 0
	for range draws {
		x := a.float64()
		require.GreaterOrEqual(t, x, 0.0)
		require.Less(t, x, 1.0)
		require.Equal(t, x, again.float64())
		if x == other.float64() {
			same++
		}
		sum += x
		tenths[int(x*10)]++
	}
	require.InDelta(t, 0.5, sum/draws, 0.01)
	require.Less(t, same, 10)
	for _, count := range tenths {
		require.InDelta(t, draws/10, count, draws/100)
	}
}
