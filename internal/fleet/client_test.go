package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a client that cancels its try behind the time that the try states, as no more than a millisecond and a part is
// left: the judge counts such a try as one that waited and got no answer.
func TestClientCancelsWithinTheTimeThatItStates(t *testing.T) {
	for _, left := range []time.Duration{time.Millisecond, 1999 * time.Microsecond, 5300 * time.Microsecond, 20 * time.Second} {
		for _, part := range []float64{0, 0.5, 0.999} {
			assert.LessOrEqual(t, cancelAfter(part, left.Milliseconds()), left.Truncate(time.Millisecond))
		}
	}
}
