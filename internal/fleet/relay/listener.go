package relay

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Listener accepts the connections of one path. It can become silent like a machine that has lost power: a connection
// attempt then neither succeeds nor is refused. The kernel drops SYN segments while a listener's accept queue is full, so a
// silent listener shrinks its backlog to one place and fills it with connections of its own.
type Listener struct {
	network *Network
	path    Path
	fd      int
	file    *os.File // owns fd
	ln      net.Listener

	mu        sync.Mutex
	isSilent  bool          // set by SetSilent, apart from cuts of the path
	isHung    bool          // silent, but the kernel still accepts connections
	silence   chan struct{} // closed when the silence ends; nil: not silent
	isBlocked bool          // the backlog is filled now
	fillers   []int         // connections that fill the backlog
	unblocked chan struct{} // closed while connections are accepted
	isClosed  bool
}

const backlog = 4096

// Listen opens a listener of a path at an IPv4 address. With port 0 the kernel chooses the port.
func (n *Network) Listen(p Path, at netip.AddrPort) (*Listener, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	addr := &unix.SockaddrInet4{Addr: at.Addr().As4(), Port: int(at.Port())}
	if err = unix.Bind(fd, addr); err == nil {
		err = unix.Listen(fd, backlog)
	}
	if err != nil {
		unix.Close(fd)
		return nil, err
	}
	// FileListener duplicates the descriptor. Both descriptors name one socket, so that listen(2) on fd changes the backlog
	// of ln.
	file := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(file)
	if err != nil {
		file.Close()
		return nil, err
	}
	l := &Listener{network: n, path: p, fd: fd, file: file, ln: ln, unblocked: make(chan struct{})}
	close(l.unblocked)
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	return l, nil
}

// SetSilent starts or ends the silence of the listener and its connections. With isHung only the process hangs: the kernel
// still accepts connections and data, which the process does not read.
func (l *Listener) SetSilent(isSilent, isHung bool) {
	l.mu.Lock()
	if l.isSilent, l.isHung = isSilent, isSilent && isHung; isSilent && l.silence == nil {
		l.silence = make(chan struct{})
	} else if !isSilent && l.silence != nil {
		close(l.silence)
		l.silence = nil
	}
	l.mu.Unlock()
	l.updateBacklog()
}

// updateBacklog blocks or unblocks the backlog as the state of the listener and its path demands.
func (l *Listener) updateBacklog() {
	isOpen := l.network.IsOpen(l.path)
	l.mu.Lock()
	defer l.mu.Unlock()
	isBlocked := l.isSilent && !l.isHung || !isOpen
	if isBlocked == l.isBlocked || l.isClosed {
		return
	}
	l.isBlocked = isBlocked
	if !isBlocked {
		unix.Listen(l.fd, backlog)
		l.ln.(*net.TCPListener).SetDeadline(time.Time{})
		for _, fd := range l.fillers {
			unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
			unix.Close(fd)
		}
		l.fillers = nil
		close(l.unblocked)
		return
	}
	l.unblocked = make(chan struct{})
	// A pending Accept would take a filling connection from the backlog and leave a place for the next client.
	l.ln.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	unix.Listen(l.fd, 0)
	for fills, failedFills := 0, 0; fills < maxFillers && failedFills < minFailedFills; fills++ {
		if failedFills++; l.fillBacklog() {
			failedFills = 0
		}
	}
}

const (
	maxFillers     = 24
	minFailedFills = 3 // in a row: now and then a single connection fails and the next one succeeds
	connectWaitMS  = 5 // within which a connection on loopback is established, if the backlog has a place
)

// fillBacklog connects to the listener itself, and reports whether the backlog had a place for the connection.
func (l *Listener) fillBacklog() bool {
	address, _ := unix.Getsockname(l.fd)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return false
	}
	unix.Connect(fd, address)
	l.fillers = append(l.fillers, fd)
	ready, _ := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}, connectWaitMS)
	return ready > 0
}

// Accept returns the next connection. It resets connections that the kernel accepted while the backlog was being filled.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		unblocked := l.unblocked
		l.mu.Unlock()
		<-unblocked
		c, err := l.ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // the backlog has been blocked; it may be unblocked again by now
		}
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		if l.isBlocked { // accepted while the backlog was being filled: its place is free again
			l.fillBacklog()
			l.mu.Unlock()
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		l.mu.Unlock()
		conn := l.network.Wrap(c, l.path, false)
		conn.listener = l
		return conn, nil
	}
}

// currentSilence returns a channel that is closed when the current silence ends, or nil if the listener is not silent. The
// connections of a silent listener are silent too.
func (l *Listener) currentSilence() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silence
}

// Close closes the listener, so that connections are refused.
func (l *Listener) Close() error {
	l.mu.Lock()
	if l.isClosed {
		l.mu.Unlock()
		return nil
	}
	l.isClosed = true
	for _, fd := range l.fillers {
		unix.Close(fd)
	}
	l.fillers = nil
	if l.isBlocked {
		close(l.unblocked)
	}
	l.mu.Unlock()
	l.network.mu.Lock()
	l.network.listeners = slices.DeleteFunc(l.network.listeners, func(x *Listener) bool { return x == l })
	l.network.mu.Unlock()
	l.file.Close()
	return l.ln.Close()
}

// Addr returns the address of the listener.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }
