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

	mu sync.RWMutex // readers use fd, which Close sets to -1
	fd int
}

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
	return &socketListener{addr: ln.Addr(), fd: fd}, nil
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
	// netpoll sets TCP_NODELAY on connections of its own type only. A connection on which it fails is slower and works.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return &acceptedConn{fd: fd, local: l.addr, remote: tcpAddr(peer)}, nil
}

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
)
