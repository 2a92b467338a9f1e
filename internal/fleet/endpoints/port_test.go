package endpoints

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/relay"
)

// A reserved port refuses connections while nothing listens there, cannot be bound by others, and can be listened at again;
// after its release others can bind it.
func TestReservedPortStaysReserved(t *testing.T) {
	port, err := reserve(netip.MustParseAddr("127.0.0.1"))
	require.NoError(t, err)
	network := relay.New(1, [2]time.Duration{}, [2]time.Duration{}, 1)
	for range 3 {
		ln, err := network.Listen(relay.Path{Kind: relay.Job}, port.address)
		require.NoError(t, err)
		require.NoError(t, ln.Close())
		_, err = net.Dial("tcp", port.address.String())
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
		assert.ErrorIs(t, bindWithoutReuse(t, port.address), syscall.EADDRINUSE)
	}
	port.release()
	assert.NoError(t, bindWithoutReuse(t, port.address))
}

// bindWithoutReuse binds a port without SO_REUSEADDR, which fails if another socket is bound to it.
func bindWithoutReuse(t *testing.T, at netip.AddrPort) error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	defer syscall.Close(fd)
	return syscall.Bind(fd, &syscall.SockaddrInet4{Addr: at.Addr().As4(), Port: int(at.Port())})
}
