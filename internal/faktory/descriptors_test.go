package faktory_test

import (
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
)

// openDescriptors returns the number of descriptors of this process, in which both ends of each connection are.
func openDescriptors(t *testing.T) int {
	open, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	return len(open)
}

// Guards against connections that say nothing and take the process over its limit of descriptors: those above max_sessions, or
// max_connections of the HTTP/2 front, were all accepted before they were told so.
func TestSilentConnectionsAreBounded(t *testing.T) {
	const limit, connections = 16, 400
	n := start(t, func(c *config.Config) {
		c.Faktory.MaxSessions, c.HTTP2.MaxConnections = limit, limit
		c.HTTP2.Listen = "127.0.0.1:0"
	})
	for front, address := range map[string]string{"faktory": n.Faktory.Address(), "http2": n.HTTP2.Address()} {
		t.Run(front, func(t *testing.T) {
			before, most := openDescriptors(t), 0
			for dialed := 1; dialed <= connections; dialed++ {
				c, err := net.Dial("tcp", address)
				require.NoError(t, err)
				defer c.Close()
				most = max(most, openDescriptors(t)-before-dialed)
			}
			assert.LessOrEqual(t, most, 2*limit)
		})
	}
}
