package reactor

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Input counts from its arrival, however much comes behind it, and in the doubt from the earlier time.
func TestArrivalsAreToldApart(t *testing.T) {
	var a arrivals
	a.note(100, 1*arrivalStep)
	a.note(100, 2*arrivalStep) // nothing new
	a.note(150, 3*arrivalStep)
	a.note(160, 3*arrivalStep+1)
	assert.EqualValues(t, 1*arrivalStep, a.by(100, 9*arrivalStep))
	assert.EqualValues(t, 3*arrivalStep, a.by(101, 9*arrivalStep))
	assert.EqualValues(t, 3*arrivalStep, a.by(160, 9*arrivalStep))
	assert.EqualValues(t, 9*arrivalStep, a.by(161, 9*arrivalStep), "not recorded yet")
	a.consume(120)
	assert.EqualValues(t, 3*arrivalStep, a.by(1, 9*arrivalStep))
	a.consume(40)
	assert.Empty(t, a.marks)
	for i := range 2 * maxArrivals {
		a.note(i+1, int64(i)*arrivalStep)
	}
	assert.Len(t, a.marks, maxArrivals)
	assert.EqualValues(t, (maxArrivals-1)*arrivalStep, a.by(2*maxArrivals, 0))
}
