package link

import (
	"net"
	"sync"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// socketListener is a listening TCP socket that is the only owner of its descriptor. netpoll's own listener closes the
// number of its descriptor twice, and a connection that is given the number between the two is closed under its owner.
//
// The descriptor is the only one of its socket, so that Close removes the socket from the poller's epoll set, in the
// kernel and in the same step: the poller need not deregister a number that may have a new owner by then.
type socketListener struct {
	addr net.Addr

	mu         sync.RWMutex // readers use fd, which Close sets to -1
	fd         int
	ignoresNew bool // ignoreNewConnections was called
}

// receiveBufferBytes is the kernel's buffer for the input of an accepted connection: the largest message fits, as it is read when it
// is whole.
const receiveBufferBytes = 160 << 10

// newSocketListener moves the socket of a Go listener to a descriptor of its own and closes the Go listener. It is closed
// after an error too.
func newSocketListener(ln *net.TCPListener) (*socketListener, error) {
	defer ln.Close()
	raw, err := ln.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd := -1
	var dupErr error
	if err := raw.Control(func(number uintptr) {
		fd, dupErr = unix.FcntlInt(number, unix.F_DUPFD_CLOEXEC, 0)
	}); err != nil {
		return nil, err
	}
	if dupErr != nil {
		return nil, dupErr
	}
	// Accepted connections inherit it. One on which it fails has the system's size, which is larger or nearly as large.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	l := &socketListener{addr: ln.Addr(), fd: fd}
	// A process that was killed while it steered to this one's predecessor has left its program behind. An error means that
	// there is none.
	_ = l.stopSteering()
	return l, nil
}

// Accept implements net.Listener. It never blocks: a nil connection with a nil error means that there is none at the
// moment, or that the listener is closed. The poller that learned of a closed listener would deregister its former number.
func (l *socketListener) Accept() (net.Conn, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.fd < 0 {
		return nil, nil
	}
	fd, peer, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err == unix.EAGAIN {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if l.ignoresNew {
		acceptAnyHopLimit(fd)
	}
	// netpoll sets TCP_NODELAY on connections of its own type only. A connection on which it fails is slower and works.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return &acceptedConn{fd: fd, local: l.addr, remote: tcpAddr(peer)}, nil
}

// ignoreNewConnections makes the kernel drop the segments that reach the listening socket itself: connection attempts.
// Handshakes that have begun and connections in the accept queue have sockets of their own and are not affected. It
// demands a hop limit of 255, which no common system sends with (Linux: 64).
func (l *socketListener) ignoreNewConnections() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fd < 0 {
		return net.ErrClosed
	}
	l.ignoresNew = true
	return setMinHopLimit(l.fd, maxHopLimit)
}

// steerToSuccessor makes the kernel give every new connection at the address to the listener that came second, in place of
// one by the connection's hash. It is for a process that has exactly one other beside it, its successor, and never had two:
// after one of three has left, the second place may be this listener's own.
func (l *socketListener) steerToSuccessor() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fd < 0 {
		return net.ErrClosed
	}
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}} // the index, in the order of listen(2), from 0
	return unix.SetsockoptSockFprog(l.fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}

// stopSteering undoes steerToSuccessor for all listeners at the address, whichever process has called it.
func (l *socketListener) stopSteering() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fd < 0 {
		return net.ErrClosed
	}
	return unix.SetsockoptInt(l.fd, unix.SOL_SOCKET, unix.SO_DETACH_REUSEPORT_BPF, 0)
}

// queuedConnections returns the length of the accept queue: connections that are established and not accepted.
func (l *socketListener) queuedConnections() (int, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.fd < 0 {
		return 0, net.ErrClosed
	}
	if info, err := unix.GetsockoptTCPInfo(l.fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.Unacked > 0 {
		return int(info.Unacked), nil // of a listening socket: the length of its accept queue
	}
	events := []unix.PollFd{{Fd: int32(l.fd), Events: unix.POLLIN}}
	n, err := unix.Poll(events, 0) // returns at once: 1 if a connection is in the queue
	return n, err
}

const maxHopLimit = 255

// setMinHopLimit makes the kernel drop segments with a smaller hop limit. A socket of IPv6 serves IPv4 as well, unless the
// system forbids it.
func setMinHopLimit(fd, limit int) error {
	address, err := unix.Getsockname(fd)
	if err != nil {
		return err
	}
	errIPv4 := unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_MINTTL, limit)
	if _, isIPv6 := address.(*unix.SockaddrInet6); !isIPv6 {
		return errIPv4
	}
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_IPV6, unix.IPV6_MINHOPCOUNT, limit); err != nil {
		return err
	}
	return errIPv4
}

// acceptAnyHopLimit undoes setMinHopLimit on an accepted connection, which inherits the option from its listener if its
// handshake ended behind it. What its client has sent meanwhile was dropped and is retransmitted. An error means that the
// option is not known, so that it is not set either.
func acceptAnyHopLimit(fd int) { _ = setMinHopLimit(fd, 0) }

// Close implements net.Listener. A second call has no effect.
func (l *socketListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	fd := l.fd
	if l.fd = -1; fd < 0 {
		return nil
	}
	return unix.Close(fd)
}

// Addr implements net.Listener.
func (l *socketListener) Addr() net.Addr { return l.addr }

// Fd implements netpoll.Listener. It returns -1 once the listener is closed.
func (l *socketListener) Fd() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.fd
}

// tcpAddr converts the address of an accepted connection's peer.
func tcpAddr(address unix.Sockaddr) net.Addr {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	case *unix.SockaddrInet6:
		zone := ""
		if a.ZoneId != 0 {
			if i, err := net.InterfaceByIndex(int(a.ZoneId)); err == nil {
				zone = i.Name
			}
		}
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port, Zone: zone}
	}
	return &net.TCPAddr{}
}

// acceptedConn is the descriptor of an accepted connection on its way to netpoll, which takes it over with Fd and closes
// it. Only a connection that is not given to netpoll is closed with Close.
type acceptedConn struct {
	net.Conn // nil: netpoll reads, writes and closes the descriptor itself

	fd            int
	local, remote net.Addr
	closeOnce     sync.Once
}

// Fd implements netpoll.Conn.
func (c *acceptedConn) Fd() int { return c.fd }

// LocalAddr implements net.Conn.
func (c *acceptedConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *acceptedConn) RemoteAddr() net.Addr { return c.remote }

// Close implements net.Conn.
func (c *acceptedConn) Close() (err error) {
	c.closeOnce.Do(func() { err = unix.Close(c.fd) })
	return err
}

var (
	_ netpoll.Listener = (*socketListener)(nil)
	_ netpoll.Conn     = (*acceptedConn)(nil)
	_ drainableSocket  = (*socketListener)(nil)
)
