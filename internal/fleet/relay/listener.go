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

// Listener takes connections of one path at an address of its own. It can fall silent, as a machine that vanishes does:
// then a connection that is asked for neither comes up nor is refused. The kernel drops the first message of a
// connection where a listener's queue is full, so a silent one has its queue cut to one place, and fills that itself.
type Listener struct {
	network *Network
	path    Path
	fd      int
	file    *os.File // keeps fd
	ln      net.Listener

	mu        sync.Mutex
	isSilent  bool          // by itself, whatever its path suffers
	isHung    bool          // silent, but its machine's kernel still takes connections
	silence   chan struct{} // closed when what is silent hears again; nil: it does
	isBlocked bool          // the queue is blocked now
	fillers   []int
	unblocked chan struct{} // closed while connections are taken
	isClosed  bool
}

const backlog = 4096

// Listen opens a listener of a path at an IPv4 address; port 0 has the kernel choose one.
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
	// FileListener duplicates the descriptor: both name one socket, and listen on ours changes the queue of both.
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

// Silence has the listener fall silent, or hear again. Where only the process hangs, its machine's kernel goes on taking
// connections and what comes on them: nobody reads it.
func (l *Listener) SetSilent(on, hung bool) {
	l.mu.Lock()
	if l.isSilent, l.isHung = on, on && hung; on && l.silence == nil {
		l.silence = make(chan struct{})
	} else if !on && l.silence != nil {
		close(l.silence)
		l.silence = nil
	}
	l.mu.Unlock()
	l.updateBacklog()
}

// check brings the queue into the state that the listener and its path are in.
func (l *Listener) updateBacklog() {
	open := l.network.IsOpen(l.path)
	l.mu.Lock()
	defer l.mu.Unlock()
	mute := l.isSilent && !l.isHung || !open
	if mute == l.isBlocked || l.isClosed {
		return
	}
	l.isBlocked = mute
	if !mute {
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
	// An Accept that stands would take what fills the queue, and leave a place for whoever comes next.
	l.ln.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	unix.Listen(l.fd, 0)
	for tries, refused := 0, 0; tries < maxFillers && refused < minFailedFills; tries++ {
		if refused++; l.fillBacklog() {
			refused = 0
		}
	}
}

const (
	maxFillers     = 24
	minFailedFills = 3 // connections in a row that do not come up: now and then a single one does not, and the next one does
	connectWaitMS  = 5 // milliseconds in which a connection on loopback comes up, if it does
)

// fill takes a place in the listener's own queue, and tells whether there was one.
func (l *Listener) fillBacklog() bool {
	to, _ := unix.Getsockname(l.fd)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return false
	}
	unix.Connect(fd, to)
	l.fillers = append(l.fillers, fd)
	up, _ := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}, connectWaitMS)
	return up > 0
}

// Accept gives the next connection. One that the kernel took while the listener was silent is reset.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		ready := l.unblocked
		l.mu.Unlock()
		<-ready
		c, err := l.ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // it has fallen silent, or hears again since
		}
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		if l.isBlocked { // it came as the listener fell silent: its place in the queue is free again
			l.fillBacklog()
			l.mu.Unlock()
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		l.mu.Unlock()
		w := l.network.Wrap(c, l.path, false)
		w.listener = l
		return w, nil
	}
}

// quiet gives what is closed as long as the listener hears: its connections are as silent as it is.
func (l *Listener) currentSilence() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silence
}

// Close ends the listener: connections are refused from now on.
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

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }
