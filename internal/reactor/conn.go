package reactor

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// SharedBuffer is how much input a turn looks at with PeekShared, or discards, at most.
	SharedBuffer = 64 << 10
	// minLowWater is the size of a message from which on the kernel reports input only when all of it is there.
	minLowWater = 8 << 10
)

// Next says what a connection waits for behind a turn.
type Next int

// What a connection may wait for.
const (
	Pause Next = iota // for Resume
	Wait              // for more input than there was, or for as much as Input.Need asked for
	Again             // for its next turn
)

// Handler handles the input of a connection. Its methods do not block.
type Handler interface {
	// HandleInput takes a turn on the poller's goroutine.
	HandleInput(in *Input) Next
	// PeerEnded says that the peer has ended its output, or has gone. It comes once, on the poller's goroutine, whether the
	// connection is paused or not, and before the input in front of the end was handled.
	PeerEnded()
	// Closed says that the descriptor is closed. It comes once, on any goroutine.
	Closed()
}

// Conn is an accepted connection. Its methods may be called on any goroutine.
type Conn struct {
	poller        *Poller
	handler       Handler
	remote, local net.Addr
	writeTimeout  atomic.Int64 // nanoseconds
	writable      chan struct{}
	closed        chan struct{}
	hasPeerEnded  atomic.Bool
	hasMore       atomic.Bool // input lay behind what the last turn consumed
	// awaited is how many bytes have to be unread for a turn to be of use: more than the last one has found to be a part of a message.
	awaited atomic.Int64

	fdMu sync.RWMutex // readers use fd
	fd   int          // -1: closed

	lowWater int // SO_RCVLOWAT, if above 1; the poller's alone
	arrivals arrivals

	// The poller's mutex guards the rest.
	slot       int32
	isQueued   bool
	isPaused   bool // a turn is being taken, or Resume is waited for
	isReadable bool // input has arrived since the last turn began
	next       *Conn
}

// SetWriteTimeout sets how long Write waits for the peer to take any bytes.
func (c *Conn) SetWriteTimeout(timeout time.Duration) error {
	c.writeTimeout.Store(int64(timeout))
	return nil
}

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// LocalAddr returns the listener's address.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// IsActive reports whether the connection is open and its peer has not gone.
func (c *Conn) IsActive() bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

// HasPeerEnded reports whether the peer has ended its output, or has gone.
func (c *Conn) HasPeerEnded() bool { return c.hasPeerEnded.Load() }

// IsPeerGone asks the kernel whether the peer has ended its output, or has gone, of which the poller may have to learn yet.
func (c *Conn) IsPeerGone() bool {
	if c.HasPeerEnded() {
		return true
	}
	isGone := false
	isOpen := c.WithFD(func(fd int) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(events, 0) // returns at once
		isGone = err == nil && n > 0
	})
	return isGone || !isOpen
}

// WithFD calls f with the descriptor, which stays open for the call. It returns false if the connection is closed.
func (c *Conn) WithFD(f func(fd int)) bool {
	c.fdMu.RLock()
	defer c.fdMu.RUnlock()
	if c.fd < 0 {
		return false
	}
	f(c.fd)
	return true
}

// Unread returns the number of bytes that have arrived and were not consumed.
func (c *Conn) Unread() (bytes int) {
	c.WithFD(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			bytes = n
		}
	})
	return bytes
}

// HasUnseenInput reports whether input waits for a turn that may find a message in it. What the last turn has found to be a part of a
// message does not, until as much is there as it asked for.
func (c *Conn) HasUnseenInput() bool { return c.Unread() >= max(1, int(c.awaited.Load())) }

// Close closes the connection, with an end in order if the peer sends nothing more: input that is unread would make it a reset,
// which could destroy an answer on its way. A second call has no effect.
func (c *Conn) Close() error {
	c.fdMu.Lock()
	fd := c.fd
	c.fd = -1
	if fd >= 0 {
		discardUnread(fd)
		unix.Close(fd)
	}
	c.fdMu.Unlock()
	if fd < 0 {
		return nil
	}
	close(c.closed)
	c.poller.mu.Lock()
	if c.slot > 0 {
		c.poller.releaseSlot(c.slot)
		c.slot = 0
	}
	c.poller.mu.Unlock()
	c.handler.Closed()
	return nil
}

// discardUnread discards what has arrived, up to SharedBuffer bytes: a peer that sends more gets a reset.
func discardUnread(fd int) {
	var one [1]byte
	// No byte is copied, so that the length need not be the buffer's. An error means that nothing is unread.
	_, _, _ = unix.Syscall6(unix.SYS_RECVFROM, uintptr(fd), uintptr(unsafe.Pointer(&one)), SharedBuffer, unix.MSG_TRUNC|unix.MSG_DONTWAIT, 0, 0)
}

// TryWrite writes as much as the system takes at once and returns how much that is.
func (c *Conn) TryWrite(b []byte) (n int, err error) {
	if !c.WithFD(func(fd int) { n, err = retryInterrupted(func() (int, error) { return unix.Write(fd, b) }) }) {
		return 0, net.ErrClosed
	}
	if err == unix.EAGAIN {
		return 0, nil
	}
	return max(n, 0), err
}

// retryInterrupted repeats a call of the system that a signal has interrupted.
func retryInterrupted(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); err != unix.EINTR {
			return n, err
		}
	}
}

// Write writes all bytes. It fails if the peer takes none within the write timeout.
func (c *Conn) Write(b []byte) (written int, err error) {
	for {
		n, err := c.TryWrite(b[written:])
		if written += n; err != nil || written == len(b) {
			return written, err
		}
		if n == 0 {
			if err := c.awaitWritable(); err != nil {
				return written, err
			}
		}
	}
}

// awaitWritable waits until the system takes bytes again. It fails if the peer takes none within the write timeout: the system says
// that it takes more only when a large part of its buffer is free, which a slow path may not free in that time.
func (c *Conn) awaitWritable() error {
	for untaken := c.untaken(); ; {
		timer := time.NewTimer(time.Duration(c.writeTimeout.Load()))
		select {
		case <-c.writable:
			timer.Stop()
			return nil
		case <-c.closed:
			timer.Stop()
			return net.ErrClosed
		case <-timer.C:
		}
		left := c.untaken()
		if left >= untaken {
			return os.ErrDeadlineExceeded
		}
		untaken = left
	}
}

// untaken returns how many bytes the system holds that the peer has not taken.
func (c *Conn) untaken() (bytes int) {
	c.WithFD(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ); err == nil {
			bytes = n
		}
	})
	return bytes
}

// Resume says that the connection may take its next turn, after one that ended with Pause.
func (c *Conn) Resume() {
	c.poller.mu.Lock()
	defer c.poller.mu.Unlock()
	c.isPaused = false
	if c.isReadable || c.hasMore.Load() {
		c.enqueueAndWake()
	}
}

// TakeTurnSoon lets the connection take a turn even if no input arrives, once it is not paused.
func (c *Conn) TakeTurnSoon() {
	c.poller.mu.Lock()
	defer c.poller.mu.Unlock()
	c.isReadable = true
	c.enqueueAndWake()
}

// enqueueAndWake lets the connection wait for a turn, and wakes the poller for it, unless the loop does that once it has caught up.
// Poller.mu is held.
func (c *Conn) enqueueAndWake() {
	if p := c.poller; c.enqueue() && p.isAsleep && !p.isWaitingForLoop.Load() {
		p.wake()
	}
}

// enqueue lets the connection wait for a turn; Poller.mu is held. It reports whether it did not wait before. One whose message comes
// in parts waits with those that have a backlog: each part costs a look at all that is there of the message.
func (c *Conn) enqueue() bool {
	if c.isQueued || c.isPaused {
		return false
	}
	c.isQueued = true
	if c.hasMore.Load() || c.awaited.Load() > 1 {
		c.poller.bulk.push(c)
	} else {
		c.poller.sparse.push(c)
	}
	return true
}

// handleEvents handles what epoll has reported. It runs on the poller's goroutine.
func (c *Conn) handleEvents(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		select {
		case c.writable <- struct{}{}:
		default:
		}
	}
	if events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 && !c.hasPeerEnded.Swap(true) {
		c.handler.PeerEnded()
	}
	if events&(unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		c.Close()
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0 {
		c.arrivals.note(c.Unread(), c.poller.now())
		c.poller.mu.Lock()
		c.isReadable = true
		c.enqueue()
		c.poller.mu.Unlock()
	}
}

// takeTurn lets the handler take a turn. It runs on the poller's goroutine.
func (c *Conn) takeTurn() {
	if !c.IsActive() {
		return
	}
	in := Input{conn: c}
	next := c.handler.HandleInput(&in)
	if next == Pause {
		return
	}
	c.setLowWater(in.need)
	if next == Wait {
		c.awaited.Store(int64(max(in.need, in.peeked+1)))
	}
	c.poller.mu.Lock()
	defer c.poller.mu.Unlock()
	c.isPaused = false
	c.hasMore.Store(next == Again)
	if next == Again || c.isReadable {
		c.enqueue()
	}
}

// setLowWater makes the kernel report input only from so many bytes on, if they make a large message, and else at any.
func (c *Conn) setLowWater(need int) {
	if need < minLowWater {
		need = 1
	}
	if need == max(c.lowWater, 1) {
		return
	}
	c.lowWater = need
	// An error means that the connection has ended, or that each arrival is reported.
	c.WithFD(func(fd int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVLOWAT, need) })
}

// Input is what a turn sees of a connection's input. It is valid for the turn.
type Input struct {
	conn   *Conn
	peeked int
	isFull bool // the last look filled its buffer: more may lie behind it
	need   int
}

// Peek copies what has arrived into a buffer, without consuming it, and returns how much that is. io.EOF says that the peer has
// ended its output, and nothing is left before the end.
func (in *Input) Peek(buffer []byte) (n int, err error) {
	isOpen := in.conn.WithFD(func(fd int) { n, err = receive(fd, buffer, unix.MSG_PEEK) })
	switch {
	case !isOpen:
		return 0, net.ErrClosed
	case err == unix.EAGAIN:
		return 0, nil
	case err != nil:
		return 0, err
	case n == 0 && len(buffer) > 0:
		return 0, io.EOF
	}
	in.peeked, in.isFull = n, n == len(buffer)
	return n, nil
}

// receive receives without waiting.
func receive(fd int, buffer []byte, flags int) (n int, err error) {
	return retryInterrupted(func() (int, error) {
		n, _, err := unix.Recvfrom(fd, buffer, flags|unix.MSG_DONTWAIT)
		return n, err
	})
}

// PeekShared is Peek into a buffer of the poller, of SharedBuffer bytes. The result is valid for the turn.
func (in *Input) PeekShared() (input []byte, err error) {
	n, err := in.Peek(in.conn.poller.scratch)
	return in.conn.poller.scratch[:n], err
}

// Unread returns the number of bytes that have arrived and were not consumed.
func (in *Input) Unread() int { return in.conn.Unread() }

// HasPeerEnded reports whether nothing will come behind what Peek has returned.
func (in *Input) HasPeerEnded() bool { return in.conn.HasPeerEnded() && !in.isFull }

// Consume removes bytes that Peek has returned from the connection's input. It is called before the message is posted.
func (in *Input) Consume(n int) {
	// Behind the last message the end of the input has to be looked at as well.
	in.conn.hasMore.Store(in.isFull || n < in.peeked || in.conn.HasPeerEnded())
	in.conn.awaited.Store(0)
	in.conn.arrivals.consume(n)
	in.conn.setLowWater(0)
	for n > 0 {
		taken := in.conn.discard(in.conn.poller.scratch[:min(n, SharedBuffer)])
		if taken <= 0 {
			return
		}
		n -= taken
	}
}

// Discard consumes what has arrived, up to a bound, and returns how much that is.
func (in *Input) Discard() (n int, err error) {
	n = in.conn.discard(in.conn.poller.scratch)
	switch {
	case n == 0:
		return 0, io.EOF
	case n < 0:
		return 0, nil
	}
	in.conn.arrivals.consume(n)
	return n, nil
}

// ArrivedBy returns when the first n bytes of what Peek has returned had arrived, on the event loop's clock. It is not later than
// the present, and not later than the poller's first look at the connection behind their arrival.
func (in *Input) ArrivedBy(n int) int64 { return in.conn.arrivals.by(n, in.conn.poller.now()) }

// Need says that a turn is of use only when so many bytes are there.
func (in *Input) Need(bytes int) { in.need = bytes }

// discard removes up to as many bytes as the buffer has from the kernel's buffer, without copying them. It returns 0 at the end of
// the input, and less if nothing is there.
func (c *Conn) discard(buffer []byte) (n int) {
	var err error
	if !c.WithFD(func(fd int) { n, err = receive(fd, buffer, unix.MSG_TRUNC) }) {
		return -1
	}
	if err != nil {
		return -1
	}
	return n
}
