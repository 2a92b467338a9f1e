package link

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/cloudwego/netpoll"
)

// sharedListenConfig returns a configuration that lets a second process of the same user bind an address that the first
// still serves. During an upgrade the new version listens beside the old one, and the kernel spreads new connections over
// both until the old one closes its socket. Without it the new process could not start.
//
// The socket is plain TCP: Go listens with MPTCP by default, on which the kernel refuses options of the address's own
// protocol (EOPNOTSUPP).
func sharedListenConfig() *net.ListenConfig {
	config := &net.ListenConfig{Control: shareAddress}
	config.SetMultipathTCP(false)
	return config
}

// shareAddress sets SO_REUSEADDR and SO_REUSEPORT on a socket that is not bound yet.
func shareAddress(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
		if err == nil {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}
	}); cerr != nil {
		return cerr
	}
	return err
}

// Listen opens a TCP listener for netpoll at address (host:port). Other processes of the same user may listen at the
// same address. The error is the system's; the caller adds the settings key.
func Listen(address string) (netpoll.Listener, error) {
	ln, err := sharedListenConfig().Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	socket, err := newSocketListener(ln.(*net.TCPListener))
	if err != nil {
		return nil, err
	}
	return newTolerantListener(socket), nil
}

// ListenUDP opens a UDP socket at address (host:port), which other processes of the same user may share as well. Each
// datagram reaches one of the sockets; to the others it is lost, which the peer protocol tolerates.
func ListenUDP(address string) (*net.UDPConn, error) {
	pc, err := sharedListenConfig().ListenPacket(context.Background(), "udp4", address)
	if err != nil {
		return nil, err
	}
	return pc.(*net.UDPConn), nil
}
