package relay

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Path is from where to where a connection was opened.
type Path struct {
	Kind     Kind
	From, To int
}

// Conn is a connection of the rig's end. What is read has come from the other end, what is written goes there; each
// takes its time, and is held as long as its direction is cut.
type Conn struct {
	net.Conn
	network   *Network
	path      Path
	isOpener  bool // this end is the one that opened it
	listener  *Listener
	closed    chan struct{}
	closeOnce sync.Once
}

// Wrap puts a connection on a path. opener tells whether the rig opened it.
func (n *Network) Wrap(c net.Conn, p Path, opener bool) *Conn {
	w := &Conn{Conn: c, network: n, path: p, isOpener: opener, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[w] = struct{}{}
	n.traffic[p.Kind].Opened++
	n.mu.Unlock()
	return w
}

// Path tells from where to where it goes.
func (c *Conn) Path() Path { return c.path }

// Read gives what has arrived, once it has had its time.
func (c *Conn) Read(b []byte) (int, error) {
	size, err := c.Conn.Read(b)
	if size > 0 {
		from, to := c.path.To, c.path.From
		if !c.isOpener {
			from, to = to, from
		}
		held := c.waitTransit(from, to, size)
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		default:
		}
		if held && c.wasReset() {
			return 0, syscall.ECONNRESET
		}
	}
	return size, err
}

// Write has what is written take its time before it leaves.
func (c *Conn) Write(b []byte) (int, error) {
	from, to := c.path.From, c.path.To
	if !c.isOpener {
		from, to = to, from
	}
	c.waitTransit(from, to, len(b))
	return c.Conn.Write(b)
}

// wasReset tells whether the other end has reset the connection. What a cut has held of it by then never comes: whoever
// resets sends nothing again. Behind an orderly end it does come.
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
		ends := []unix.PollFd{{Fd: int32(fd)}}
		_, err := unix.Poll(ends, 0)
		reset = err == nil && ends[0].Revents&unix.POLLERR != 0
	})
	return err == nil && reset
}

// pass waits until a segment has passed from one site to another, or the connection ends, and tells whether it was held
// by a cut meanwhile.
func (c *Conn) waitTransit(from, to, size int) (held bool) {
	if c.listener != nil {
		for quiet := c.listener.currentSilence(); quiet != nil; quiet = c.listener.currentSilence() { // its machine has vanished, or it hangs
			select {
			case <-quiet:
			case <-c.closed:
				return held
			}
		}
	}
	wait, t, changed := c.network.transit(c.path.Kind, from, to, size)
	for t.Cuts > 0 {
		held = true
		select {
		case <-changed:
		case <-c.closed:
			return held
		}
		wait, t, changed = c.network.transit(c.path.Kind, from, to, size)
	}
	if wait < 50*time.Microsecond {
		return held
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
	return held
}

// Close ends it; what waits is let go.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}

// Abort resets it: the other end is told that the process is gone.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// Dial opens a connection on a path. Where the path is cut it waits, as one waits for a machine that says nothing.
func (n *Network) Dial(ctx context.Context, p Path, address string) (net.Conn, error) {
	for {
		n.mu.Lock()
		open, changed := n.impairment(p.Kind, p.From, p.To).Cuts == 0 && n.impairment(p.Kind, p.To, p.From).Cuts == 0, n.changed
		n.mu.Unlock()
		if open {
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
