package endpoints

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/record"
)

// Times count from the start, also from one that is set later, and a try is found by its ID from when it was sent.
func TestRecorderClockAndTries(t *testing.T) {
	r := NewRecorder()
	start := time.Now().Add(-time.Second)
	r.SetStart(start)
	require.GreaterOrEqual(t, r.ElapsedUS(), int64(1e6))
	require.Equal(t, start.Add(3*time.Second), r.TimeAt(3e6))
	require.Equal(t, int64(3e6), r.USAt(start.Add(3*time.Second)))
	r.TrySent(record.Try{ID: "a", Class: 2})
	try, isKnown := r.FindTry("a")
	require.True(t, isKnown)
	require.Equal(t, int32(2), try.Class)
	_, isKnown = r.FindTry("b")
	require.False(t, isKnown)
}

// What many goroutines record at once is all there, and in the order of each of them.
func TestRecorderKeepsAllOfManyGoroutines(t *testing.T) {
	const goroutines, each = 16, 500
	r := NewRecorder()
	var group sync.WaitGroup
	for g := range goroutines {
		group.Go(func() {
			for i := range each {
				r.TryEnded(record.Try{Request: int32(g), Number: int32(i), Status: 200})
				r.AddSamples([]record.Sample{{Worker: int32(g), Waiting: int32(2 * i)}, {Worker: int32(g), Waiting: int32(2*i + 1)}})
			}
		})
	}
	group.Wait()
	records := r.Records()
	require.Len(t, records.Tries, goroutines*each)
	require.Len(t, records.Samples, 2*goroutines*each)
	nextTry, nextSample := make([]int32, goroutines), make([]int32, goroutines)
	for _, try := range records.Tries {
		require.Equal(t, nextTry[try.Request], try.Number)
		nextTry[try.Request]++
	}
	for _, sample := range records.Samples {
		require.Equal(t, nextSample[sample.Worker], sample.Waiting)
		nextSample[sample.Worker]++
	}
	served, refused, other := r.AnswerCounts()
	require.Equal(t, []int{goroutines * each, 0, 0}, []int{served, refused, other})
	require.Nil(t, records.Events)
}
