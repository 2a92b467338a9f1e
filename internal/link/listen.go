package link

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/cloudwego/netpoll"
)

// shared lets a second process of ours bind the same address while the first still serves: at an upgrade
// the new version listens beside the old one, and the kernel spreads new connections over both until the
// old one closes its socket. Without it the new process could not start at all.
var sharedListenConfig = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
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
}}

// Listen opens a TCP listener at address (host:port) for netpoll, shared with other processes of the same
// user that listen there too. The error is the system's, for the caller to name its key.
func Listen(address string) (netpoll.Listener, error) {
	ln, err := sharedListenConfig.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	converted, err := netpoll.ConvertListener(ln)
	if err != nil {
		return nil, err
	}
	return newTolerantListener(converted), nil
}

// ListenUDP opens a UDP socket at address (host:port), shared in the same way: datagrams are spread over
// the processes that hold it, which the peers bear as loss.
func ListenUDP(address string) (*net.UDPConn, error) {
	pc, err := sharedListenConfig.ListenPacket(context.Background(), "udp4", address)
	if err != nil {
		return nil, err
	}
	return pc.(*net.UDPConn), nil
}
