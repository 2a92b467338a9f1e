package relay

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
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
	closeDone  chan struct{}   // closed when the connection is closed, after closedNS was set
	raw        syscall.RawConn // reads with the kernel's time stamps; nil: without
	receivedNS atomic.Int64    // see LastReceived, in Unix time
	arrivedNS  atomic.Int64    // see LastArrived, in Unix time
	closedNS   atomic.Int64    // of Close, in Unix time
}

// Wrap returns a connection whose data is impaired as the path is. isOpener says whether this process opened it.
func (n *Network) Wrap(c net.Conn, p Path, isOpener bool) *Conn {
	wrapped := &Conn{Conn: c, network: n, path: p, isOpener: isOpener, closed: make(chan struct{}), closeDone: make(chan struct{}), raw: rawConn(c)}
	n.mu.Lock()
	n.conns[wrapped] = struct{}{}
	n.mu.Unlock()
	n.traffic[p.Kind].opened.Add(1)
	return wrapped
}

// Path returns the path of the connection.
func (c *Conn) Path() Path { return c.path }

// LastReceived returns when this machine had the last data, by the kernel's time stamp, before its transit time.
func (c *Conn) LastReceived() time.Time { return time.Unix(0, c.receivedNS.Load()) }

// LastArrived returns when the last data was through its transit, as it would be were this process never late: a transit
// that nothing held up counts from the kernel's time stamp.
func (c *Conn) LastArrived() time.Time { return time.Unix(0, c.arrivedNS.Load()) }

// HasUnread reports whether data, or the connection's end, waits to be read.
func (c *Conn) HasUnread() (waits bool) {
	if c.raw == nil {
		return false
	}
	err := c.raw.Control(func(fd uintptr) {
		ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		waits = err == nil && ready > 0
	})
	return err == nil && waits
}

// WaitClosed waits until Close has closed the connection, at most for a time, and returns when it had; zero: it has not.
func (c *Conn) WaitClosed(atMost time.Duration) time.Time {
	select {
	case <-c.closeDone:
		return time.Unix(0, c.closedNS.Load())
	case <-time.After(atMost):
		return time.Time{}
	}
}

// Read returns received data after its transit time. It fails with ECONNRESET if a cut held the data and the other end has
// reset the connection meanwhile.
func (c *Conn) Read(b []byte) (int, error) {
	size, receivedAt, err := c.receive(b)
	if size > 0 {
		c.receivedNS.Store(receivedAt.UnixNano())
		from, to := c.path.To, c.path.From
		if !c.isOpener {
			from, to = to, from
		}
		transit := c.waitTransit(from, to, size)
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		default:
		}
		if transit.isCut && c.wasReset() {
			return 0, syscall.ECONNRESET
		}
		arrivedAt := receivedAt.Add(transit.delay)
		if transit.isHeld {
			arrivedAt = time.Now()
		}
		c.arrivedNS.Store(arrivedAt.UnixNano())
	}
	return size, err
}

// receive reads from the connection, and returns when this machine had the last of the data. Where the kernel states no
// time stamp, that is now.
func (c *Conn) receive(b []byte) (size int, at time.Time, err error) {
	if c.raw == nil || len(b) == 0 {
		size, err = c.Conn.Read(b)
		return size, time.Now(), err
	}
	var control [64]byte
	var controlSize int
	var callErr error
	err = c.raw.Read(func(fd uintptr) bool {
		for {
			size, controlSize, _, _, callErr = unix.RecvmsgBuffers(int(fd), [][]byte{b}, control[:], 0)
			if callErr != unix.EINTR {
				return callErr != unix.EAGAIN
			}
		}
	})
	at = receiveTime(control[:max(0, controlSize)])
	switch {
	case err != nil:
		return 0, at, err
	case callErr != nil:
		return 0, at, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("recvmsg", callErr)}
	case size == 0:
		return 0, at, io.EOF
	}
	return size, at, nil
}

// receiveTime returns the time stamp in the control message of a receive call, or the current time if there is none.
func receiveTime(control []byte) time.Time {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return time.Now()
	}
	for _, message := range messages {
		if message.Header.Level == unix.SOL_SOCKET && message.Header.Type == unix.SO_TIMESTAMPNS && len(message.Data) >= 16 {
			seconds, nanoseconds := binary.NativeEndian.Uint64(message.Data), binary.NativeEndian.Uint64(message.Data[8:])
			return time.Unix(int64(seconds), int64(nanoseconds))
		}
	}
	return time.Now()
}

// rawConn returns the raw connection of a TCP connection that states when it received data, or nil.
func rawConn(c net.Conn) syscall.RawConn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) })
	if err != nil || optionErr != nil {
		return nil
	}
	return raw
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

// transitResult is how a segment passed.
type transitResult struct {
	delay  time.Duration // of the path
	isHeld bool          // a cut or a silent machine has held the segment, for longer than delay
	isCut  bool          // a cut has held the segment
}

// waitTransit waits until a segment has passed from one site to another, or the connection is closed.
func (c *Conn) waitTransit(from, to, size int) (result transitResult) {
	if c.listener != nil {
		for silence := c.listener.currentSilence(); silence != nil; silence = c.listener.currentSilence() { // the machine is silent, or its process hangs
			result.isHeld = true
			select {
			case <-silence:
			case <-c.closed:
				return result
			}
		}
	}
	wait, impairment, changed := c.network.transit(c.path.Kind, from, to, size)
	for impairment.Cuts > 0 {
		result.isHeld, result.isCut = true, true
		select {
		case <-changed:
		case <-c.closed:
			return result
		}
		wait, impairment, changed = c.network.transit(c.path.Kind, from, to, size)
	}
	result.delay = wait
	if wait < 50*time.Microsecond {
		return result
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
	return result
}

// Close closes the connection and ends the waits of pending reads and writes.
func (c *Conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
		err = c.Conn.Close()
		c.closedNS.Store(time.Now().UnixNano())
		close(c.closeDone)
	})
	return err
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
