package draw

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Each index gets the part of the range from 0 to 1 that its weight is of the total; a weight of 0 is never picked.
func TestPickFollowsTheWeights(t *testing.T) {
	sums := CumulativeWeights(4, func(i int) float64 { return []float64{1, 0, 2, 1}[i] })
	assert.Equal(t, []float64{0.25, 0.25, 0.75, 1}, sums)
	for random, index := range map[float64]int{0: 0, 0.24: 0, 0.25: 2, 0.74: 2, 0.75: 3, 0.999: 3} {
		assert.Equal(t, index, Pick(sums, random), "%v: a weight of 0 is never picked", random)
	}
}
