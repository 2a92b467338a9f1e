package endpoints

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The operators' terms, at some budgets.
func TestMaxColdRequests(t *testing.T) {
	for allowed, most := range map[float64]float64{4: 13, 16: 31, 25: 43, 36: 50, 100: 122} {
		assert.InDelta(t, most, maxColdRequests(allowed), 1e-9, "%v allowed", allowed)
	}
}
