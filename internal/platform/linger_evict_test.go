package platform_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// Guards against clients that are closed without an answer, since the connections of others that were answered with an error, and
// go on sending, count as busy until the end of their linger.
func TestLingeringConnectionsGiveWayToNewOnes(t *testing.T) {
	n := standin.Start(t, func(c *config.Config) { c.Limits.Sockets = 64 }, standin.NewWorker(t, "s-1", nil))
	budget := 0
	n.RunOnLoop(func() { budget, _ = n.Front.ConnLimits() })
	for range budget {
		c := standin.Dial(t, n.Front.Address())
		go io.Copy(c.Conn, zeroReader{}) // unreadable, without an end
		require.Equal(t, 431, readStatus(t, c))
	}
	c := standin.Dial(t, n.Front.Address())
	eventuallyOnLoop(n, func() bool { registered, _, _ := n.Front.ClientCounts(); return registered <= budget })
	c.Send(fmt.Sprintf(completeRequest, "id-1"))
	assert.Equal(t, 200, readStatus(t, c))
}
