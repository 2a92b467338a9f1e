package platform_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"cobaltflow/internal/standin"
)

// Steering is by the order in which the listeners came, which the end of a third one changes.
func TestNoSteeringAfterAThirdProcess(t *testing.T) {
	t.Parallel()
	n := standin.Start(t, nil)
	n.RunOnLoop(func() {
		n.Front.HandOver()
		n.Front.DivideLimits(2)
		assert.True(t, n.Front.HasOneSuccessor())
		n.Front.DivideLimits(3)
		n.Front.DivideLimits(2)
		assert.False(t, n.Front.HasOneSuccessor())
	})
}
