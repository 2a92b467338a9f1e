package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Path is the kind of a connection, and the sites between which it was opened.
type Path struct {
	Kind     Kind
	From, To int
}

// Conn is a connection that this process holds one end of. Data read and written is delayed as the path of its direction
// is, and held while that direction is cut.
type Conn struct {
	net.Conn
	network    *Network
	path       Path
	isOpener   bool          // this process opened the connection
	listener   *Listener     // that accepted the connection; nil: none
	closed     chan struct{} // closed by Close
	closeOnce  sync.Once
	receivedNS atomic.Int64 // Unix time of the last data that came, before its transit time
}

// Wrap returns a connection whose data is impaired as the path is. isOpener says whether this process opened it.
func (n *Network) Wrap(c net.Conn, p Path, isOpener bool) *Conn {
	wrapped := &Conn{Conn: c, network: n, path: p, isOpener: isOpener, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[wrapped] = struct{}{}
	n.mu.Unlock()
	n.traffic[p.Kind].opened.Add(1)
	return wrapped
}

// Path returns the path of the connection.
func (c *Conn) Path() Path { return c.path }

// LastReceived returns when the last data came, before its transit time.
func (c *Conn) LastReceived() time.Time { return time.Unix(0, c.receivedNS.Load()) }

// Read returns received data after its transit time. It fails with ECONNRESET if a cut held the data and the other end has
// reset the connection meanwhile.
func (c *Conn) Read(b []byte) (int, error) {
	size, err := c.Conn.Read(b)
	if size > 0 {
		c.receivedNS.Store(time.Now().UnixNano())
		from, to := c.path.To, c.path.From
		if !c.isOpener {
			from, to = to, from
		}
		isHeld := c.waitTransit(from, to, size)
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		default:
		}
		if isHeld && c.wasReset() {
			return 0, syscall.ECONNRESET
		}
	}
	return size, err
}

// Write sends data after its transit time.
func (c *Conn) Write(b []byte) (int, error) {
	from, to := c.path.From, c.path.To
	if !c.isOpener {
		from, to = to, from
	}
	c.waitTransit(from, to, len(b))
	return c.Conn.Write(b)
}

// wasReset reports whether the other end has reset the connection. Data that a cut still held is then lost, as nothing is
// retransmitted after a reset; data before an orderly close (FIN) does arrive.
func (c *Conn) wasReset() (reset bool) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd)}}
		_, err := unix.Poll(fds, 0)
		reset = err == nil && fds[0].Revents&unix.POLLERR != 0
	})
	return err == nil && reset
}

// waitTransit waits until a segment has passed from one site to another, or the connection is closed, and reports whether a
// cut has held it.
func (c *Conn) waitTransit(from, to, size int) (isHeld bool) {
	if c.listener != nil {
		for silence := c.listener.currentSilence(); silence != nil; silence = c.listener.currentSilence() { // the machine is silent, or its process hangs
			select {
			case <-silence:
			case <-c.closed:
				return isHeld
			}
		}
	}
	wait, impairment, changed := c.network.transit(c.path.Kind, from, to, size)
	for impairment.Cuts > 0 {
		isHeld = true
		select {
		case <-changed:
		case <-c.closed:
			return isHeld
		}
		wait, impairment, changed = c.network.transit(c.path.Kind, from, to, size)
	}
	if wait < 50*time.Microsecond {
		return isHeld
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
	return isHeld
}

// Close closes the connection and ends the waits of pending reads and writes.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}

// Abort closes the connection with a reset, as the end of the process does.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// Dial opens a connection on a path. While the path is cut it waits until ctx is done, as a dial to a silent machine does.
func (n *Network) Dial(ctx context.Context, p Path, address string) (net.Conn, error) {
	for {
		isOpen, changed := n.openState(p)
		if isOpen {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return n.Wrap(c, p, true), nil
}
