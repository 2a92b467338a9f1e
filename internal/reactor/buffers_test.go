package reactor

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Buffers over SmallBuffer need credit, and one of them is always granted.
func TestLargeBuffersNeedCredit(t *testing.T) {
	var b Buffers
	b.SetLimit(3 * bufferUnit)
	first := b.Acquire(2 * bufferUnit)
	require.NotNil(t, first)
	assert.Nil(t, b.Acquire(2*bufferUnit))
	assert.NotNil(t, b.Acquire(SmallBuffer), "small ones are bounded by the connections")
	assert.Equal(t, uint64(1), b.Refused())
	b.Release(first)
	assert.Zero(t, b.Used())
	assert.NotNil(t, b.Acquire(100*bufferUnit))
}

// Guards against buffers that are kept for reuse beyond the limit of those in use: together they are within it, whatever sizes are
// asked for in turn, and however the limit falls.
func TestKeptBuffersAreWithinTheLimit(t *testing.T) {
	var b Buffers
	const limit = 12 * bufferUnit
	b.SetLimit(limit)
	for units := 1; units <= maxPooledUnits; units++ {
		for range 3 {
			buffer := b.Acquire(units * bufferUnit)
			require.NotNil(t, buffer)
			require.LessOrEqual(t, b.used+b.pooledBytes, limit)
			b.Release(buffer)
			require.LessOrEqual(t, b.used+b.pooledBytes, limit)
		}
	}
	require.Positive(t, b.pooledBytes)
	b.SetLimit(bufferUnit)
	assert.LessOrEqual(t, b.pooledBytes, bufferUnit)
	kept := 0
	for _, list := range b.pooled {
		for _, buffer := range list {
			kept += len(buffer)
		}
	}
	assert.Equal(t, kept, b.pooledBytes)
}
