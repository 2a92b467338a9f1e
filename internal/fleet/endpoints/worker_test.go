package endpoints

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A cold worker handles what the operators' terms say, at budgets below and above 30.
func TestMaxColdRequests(t *testing.T) {
	for allowed, want := range map[float64]float64{4: 13, 16: 31, 25: 43, 36: 50, 100: 122} {
		assert.InDelta(t, want, maxColdRequests(allowed), 1e-9, "%v allowed", allowed)
	}
}
