// Package reactor serves accepted connections with one goroutine that waits for readiness (epoll), accepts and hands input out
// in turns. It never reads input that its owner has no memory for: such input stays in the kernel's buffer, where TCP slows its
// sender, while the end of a connection is still noticed at once. The fronts own the connections; package link calls this one.
//
// # Turns
//
// A connection with input waits in a queue for its turn, which handles one message, or one bounded batch of them. Connections
// that were idle before go first; those that had further input waiting when their last message was handled, or whose message comes
// in parts, share what is left.
// Of what the turns post to the event loop, at most maxUnhandled events wait there. So what a flood can queue before the others
// does not depend on its speed.
//
// # Reading
//
// Input is peeked at, and consumed only when a whole message is there, so that a connection holds no memory for a part of one.
package reactor

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

const (
	// maxUnhandled bounds the messages that wait for the event loop, but for the last batch of them.
	maxUnhandled = 32
	// resumeUnhandled is how many of them may be left when a poller that has waited for the loop goes on.
	resumeUnhandled = maxUnhandled / 2
	// acceptsPerTurn bounds the connections that a listener takes between the turns of the others.
	acceptsPerTurn = 8
	// acceptPauseMS is the time between them, in milliseconds, while the loop is behind.
	acceptPauseMS = 1
	maxEvents     = 256
	// sparsePerBulk is how many connections that were idle have their turns before one with a backlog has its.
	sparsePerBulk = 4
)

// Poller owns the connections of all fronts of a process.
type Poller struct {
	post    func(event func()) // to the event loop
	now     func() int64       // the event loop's clock, in microseconds
	epoll   int
	wakeFD  int
	Buffers Buffers
	scratch []byte // for one turn; the poller's goroutine alone

	unhandled atomic.Int64
	// isWaitingForLoop says that the poller has stopped handing out turns until the loop has handled events.
	isWaitingForLoop atomic.Bool

	mu          sync.Mutex
	isAsleep    bool // in epoll_wait, without a time limit
	isClosed    bool
	hasEnded    bool // the poller's descriptors are closed
	slots       []slot
	free        []int32
	sparse      queue // connections that were idle
	bulk        queue // connections that had more input behind their last message, or have a part of one
	sparseTurns int   // of connections that were idle, since the last one of a connection with a backlog
	disarmed    []*listener
	calls       []func() // see Do
}

// slot holds a registered connection or listener. Its generation tells its events from those of an earlier owner.
type slot struct {
	generation int32
	conn       *Conn
	listener   *listener
}

// Listener is a listening socket. Accept never blocks: a nil connection without an error says that none was taken.
type Listener interface {
	Accept() (net.Conn, error)
	Fd() int
}

type listener struct {
	Listener
	slot   int32
	accept func(*Conn) Handler
}

// errClosed says that the poller or a connection is closed.
var errClosed = errors.New("reactor: closed")

// New starts a poller that posts its events with post. now is the event loop's clock, in microseconds, which any goroutine may read.
// Close ends the poller.
func New(post func(event func()), now func() int64) (*Poller, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	wake, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(epoll)
		return nil, err
	}
	p := &Poller{post: post, now: now, epoll: epoll, wakeFD: wake, scratch: make([]byte, SharedBuffer)}
	p.slots = []slot{{}} // slot 0 is the wake-up descriptor's
	if err := unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, wake, &unix.EpollEvent{Events: unix.EPOLLIN}); err != nil {
		unix.Close(wake)
		unix.Close(epoll)
		return nil, err
	}
	go p.run()
	return p, nil
}

// Serve accepts connections from now on, until the listener's descriptor is closed. accept runs on the poller, before anything is
// read from the connection, and returns its handler.
func (p *Poller) Serve(l Listener, accept func(*Conn) Handler) error {
	p.mu.Lock()
	if p.isClosed {
		p.mu.Unlock()
		return errClosed
	}
	one := &listener{Listener: l, accept: accept}
	one.slot = p.acquireSlot(slot{listener: one})
	event := p.event(one.slot, unix.EPOLLIN|unix.EPOLLONESHOT)
	p.mu.Unlock()
	err := unix.EpollCtl(p.epoll, unix.EPOLL_CTL_ADD, l.Fd(), &event)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.releaseSlot(one.slot)
	}
	return err
}

// Close ends the poller, which closes all connections. Listeners stay open. A second call has no effect.
func (p *Poller) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isClosed {
		p.isClosed = true
		p.wake()
	}
}

// Do calls f on the poller's goroutine, between two turns.
func (p *Poller) Do(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, f)
	p.wake()
}

func (p *Poller) runCalls() {
	p.mu.Lock()
	calls := p.calls
	p.calls = nil
	p.mu.Unlock()
	for _, f := range calls {
		f()
	}
}

// acquireSlot registers a connection or a listener; p.mu is held.
func (p *Poller) acquireSlot(s slot) int32 {
	if n := len(p.free); n > 0 {
		i := p.free[n-1]
		p.free = p.free[:n-1]
		s.generation = p.slots[i].generation + 1
		p.slots[i] = s
		return i
	}
	p.slots = append(p.slots, s)
	return int32(len(p.slots) - 1)
}

// releaseSlot forgets a connection; p.mu is held.
func (p *Poller) releaseSlot(i int32) {
	p.slots[i].conn, p.slots[i].listener = nil, nil
	p.free = append(p.free, i)
}

// event returns an epoll event for a slot; p.mu is held.
func (p *Poller) event(i int32, events uint32) unix.EpollEvent {
	return unix.EpollEvent{Events: events, Fd: i, Pad: p.slots[i].generation}
}

// register adds an accepted connection. Its events are edges: they are reported once for each arrival.
func (p *Poller) register(c *Conn) error {
	p.mu.Lock()
	c.slot = p.acquireSlot(slot{conn: c})
	event := p.event(c.slot, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP|unix.EPOLLET)
	p.mu.Unlock()
	err := errClosed
	c.WithFD(func(fd int) { err = unix.EpollCtl(p.epoll, unix.EPOLL_CTL_ADD, fd, &event) })
	return err
}

// run is the poller's goroutine.
func (p *Poller) run() {
	events := make([]unix.EpollEvent, maxEvents)
	for {
		timeout := p.waitTime()
		n, err := unix.EpollWait(p.epoll, events, timeout)
		p.mu.Lock()
		p.isAsleep = false
		isClosed := p.isClosed
		p.mu.Unlock()
		if isClosed {
			p.closeAll()
			return
		}
		if err != nil {
			continue // interrupted by a signal
		}
		for i := range events[:n] {
			p.handleEvent(&events[i])
		}
		p.runCalls()
		if hasPaused := n == 0 && timeout == acceptPauseMS; hasPaused || !p.isBehind() {
			p.acceptAll()
		}
		p.takeTurns()
	}
}

// waitTime returns the time limit for epoll_wait: none if nothing can be done before an event, else 0.
func (p *Poller) waitTime() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.calls) > 0 {
		return 0
	}
	// Asked whether there is work or not, and under the lock: a poller that falls asleep behind the loop is woken by it, and one that
	// is not behind by what comes to its queues. What was true at an earlier look must not decide.
	isBehind := p.isBehind()
	canWork := !p.sparse.isEmpty() || !p.bulk.isEmpty() || len(p.disarmed) > 0
	if canWork && !isBehind {
		return 0
	}
	p.isAsleep = true
	if len(p.disarmed) > 0 {
		return acceptPauseMS
	}
	return -1
}

// isBehind reports whether the event loop has to handle events before more are posted. Once that was the case, it lasts until only
// resumeUnhandled are left.
func (p *Poller) isBehind() bool {
	if p.unhandled.Load() < maxUnhandled && !p.isWaitingForLoop.Load() {
		return false
	}
	p.isWaitingForLoop.Store(true)
	if p.unhandled.Load() > resumeUnhandled {
		return true // the loop wakes the poller as it handles those
	}
	p.isWaitingForLoop.Store(false)
	return false
}

// Unhandled returns how many messages wait for the event loop.
func (p *Poller) Unhandled() int64 { return p.unhandled.Load() }

// Post posts an event of a connection to the loop. It counts until the loop has handled it.
func (p *Poller) Post(event func()) { p.PostBatch(1, event) }

// PostBatch is Post for an event that handles several messages, and counts as many.
func (p *Poller) PostBatch(messages int, event func()) {
	p.unhandled.Add(int64(messages))
	p.post(func() {
		event()
		if p.unhandled.Add(-int64(messages)) <= resumeUnhandled && p.isWaitingForLoop.Load() {
			p.wakeIfAsleep()
		}
	})
}

// wakeIfAsleep wakes the poller if it waits for an event without a time limit.
func (p *Poller) wakeIfAsleep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isAsleep {
		p.wake()
	}
}

// wake ends the poller's present or next epoll_wait; p.mu is held, and with it the descriptor is open. A poller that has ended is
// left alone.
func (p *Poller) wake() {
	p.isAsleep = false
	if p.hasEnded {
		return
	}
	one := [8]byte{1}
	// The counter can't overflow: each write is read before the poller sleeps again.
	_, _ = unix.Write(p.wakeFD, one[:])
}

func (p *Poller) handleEvent(event *unix.EpollEvent) {
	if event.Fd == 0 {
		var count [8]byte
		_, _ = unix.Read(p.wakeFD, count[:])
		return
	}
	p.mu.Lock()
	s := p.slots[event.Fd]
	p.mu.Unlock()
	switch {
	case s.generation != event.Pad:
	case s.listener != nil: // its event comes again when it is armed, see rearm
		p.mu.Lock()
		p.disarmed = append(p.disarmed, s.listener)
		p.mu.Unlock()
	case s.conn != nil:
		s.conn.handleEvents(event.Events)
	}
}

// takeTurns gives each connection that waits at present one turn at most, as far as the loop keeps up.
func (p *Poller) takeTurns() {
	p.mu.Lock()
	turns := p.sparse.length + p.bulk.length
	p.mu.Unlock()
	for ; turns > 0 && !p.isBehind(); turns-- {
		c := p.nextTurn()
		if c == nil {
			return
		}
		c.takeTurn()
	}
}

// nextTurn takes the connection whose turn it is from the queues, or returns nil.
func (p *Poller) nextTurn() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := &p.sparse
	if p.sparse.isEmpty() || p.sparseTurns >= sparsePerBulk && !p.bulk.isEmpty() {
		from, p.sparseTurns = &p.bulk, 0
	} else {
		p.sparseTurns++
	}
	c := from.pop()
	if c != nil {
		c.isQueued, c.isReadable, c.isPaused = false, false, true
	}
	return c
}

// acceptAll gives each listener with pending connections its accepts.
func (p *Poller) acceptAll() {
	p.mu.Lock()
	pending := p.disarmed
	if len(pending) == 0 {
		p.mu.Unlock()
		return
	}
	p.disarmed = nil
	p.mu.Unlock()
	for _, l := range pending {
		for range acceptsPerTurn {
			nc, err := l.Accept()
			if err != nil || nc == nil {
				break
			}
			p.adopt(l, nc)
		}
		p.rearm(l)
	}
}

// rearm asks for the listener's next event, which comes at once while connections are pending. A listener that is closed is
// forgotten.
func (p *Poller) rearm(l *listener) {
	p.mu.Lock()
	event := p.event(l.slot, unix.EPOLLIN|unix.EPOLLONESHOT)
	p.mu.Unlock()
	fd := l.Fd()
	if fd < 0 || unix.EpollCtl(p.epoll, unix.EPOLL_CTL_MOD, fd, &event) != nil {
		p.mu.Lock()
		p.releaseSlot(l.slot)
		p.mu.Unlock()
	}
}

// descriptor is a connection that owns a descriptor.
type descriptor interface {
	net.Conn
	Fd() int
}

// adopt takes over the descriptor of an accepted connection.
func (p *Poller) adopt(l *listener, nc net.Conn) {
	c := &Conn{poller: p, fd: nc.(descriptor).Fd(), remote: nc.RemoteAddr(), local: nc.LocalAddr(), writable: make(chan struct{}, 1),
		closed: make(chan struct{})}
	c.handler = l.accept(c)
	if err := p.register(c); err != nil {
		c.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if c.slot > 0 { // the connection was closed before it was registered
			p.releaseSlot(c.slot)
			c.slot = 0
		}
	}
}

// closeAll closes all connections and the poller's descriptors.
func (p *Poller) closeAll() {
	p.mu.Lock()
	var open []*Conn
	for i := range p.slots {
		if c := p.slots[i].conn; c != nil {
			open = append(open, c)
		}
	}
	p.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasEnded = true
	unix.Close(p.epoll)
	unix.Close(p.wakeFD)
}

// queue is a list of connections, the one that has waited longest first. Poller.mu guards it.
type queue struct {
	first, last *Conn
	length      int
}

func (q *queue) isEmpty() bool { return q.first == nil }

func (q *queue) push(c *Conn) {
	c.next = nil
	if q.last == nil {
		q.first = c
	} else {
		q.last.next = c
	}
	q.last = c
	q.length++
}

func (q *queue) pop() *Conn {
	c := q.first
	if c == nil {
		return nil
	}
	if q.first = c.next; q.first == nil {
		q.last = nil
	}
	c.next = nil
	q.length--
	return c
}
