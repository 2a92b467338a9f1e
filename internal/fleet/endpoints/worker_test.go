package endpoints

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

// A cold worker handles what the operators' terms say, at budgets below and above 30.
func TestMaxColdRequests(t *testing.T) {
	for allowed, want := range map[float64]float64{4: 13, 16: 31, 25: 43, 36: 50, 100: 122} {
		assert.InDelta(t, want, maxColdRequests(allowed), 1e-9, "%v allowed", allowed)
	}
}

// A job whose timer fires as the run's end drops it is recorded once, as open.
func TestDroppedJobIsRecordedOnce(t *testing.T) {
	w := &Worker{recorder: NewRecorder(), cfg: &scenario.Workers{Slots: 1}, isUp: true}
	j := &job{attempt: record.Attempt{ID: "a"}}
	w.running = []*job{j}
	w.RecordOpenJobs()
	w.finish(j)
	attempts := w.recorder.Records().Attempts
	require.Len(t, attempts, 1)
	assert.Equal(t, record.OutcomeOpen, attempts[0].Outcome)
}
