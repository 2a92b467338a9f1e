package draw

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPickFollowsTheWeights(t *testing.T) {
	sums := CumulativeWeights(4, func(i int) float64 { return []float64{1, 0, 2, 1}[i] })
	assert.Equal(t, []float64{0.25, 0.25, 0.75, 1}, sums)
	for draw, place := range map[float64]int{0: 0, 0.24: 0, 0.25: 2, 0.74: 2, 0.75: 3, 0.999: 3} {
		assert.Equal(t, place, Pick(sums, draw), "%v: a weight of 0 is never picked", draw)
	}
}
