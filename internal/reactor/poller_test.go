package reactor

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const waitTimeout = 5 * time.Second

// testListener is a listener that never blocks.
type testListener struct{ fd int }

// testDescriptor is an accepted descriptor.
type testDescriptor struct {
	net.Conn
	fd int
}

func (d testDescriptor) Fd() int              { return d.fd }
func (d testDescriptor) RemoteAddr() net.Addr { return nil }
func (d testDescriptor) LocalAddr() net.Addr  { return nil }

func (l testListener) Fd() int { return l.fd }
func (l testListener) Accept() (net.Conn, error) {
	fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return nil, nil
	}
	return testDescriptor{fd: fd}, nil
}

// testHandler takes one byte as a message.
type testHandler struct {
	conn     *Conn
	poller   *Poller
	messages chan byte
	gone     atomic.Bool
	closed   chan struct{}
	handle   func(h *testHandler, message byte) // on the loop
}

func (h *testHandler) HandleInput(in *Input) Next {
	var buffer [1]byte
	n, err := in.Peek(buffer[:])
	switch {
	case err != nil:
		h.conn.Close()
		return Pause
	case n == 0:
		return Wait
	}
	in.Consume(1)
	h.poller.Post(func() { h.handle(h, buffer[0]) })
	return Pause
}

func (h *testHandler) PeerEnded() { h.gone.Store(true) }
func (h *testHandler) Closed()    { close(h.closed) }

// testLoop runs posted events one at a time, unless it is held.
type testLoop struct{ events chan func() }

func (l *testLoop) run() {
	for event := range l.events {
		event()
	}
}

// startPoller serves connections whose messages handle gets, and returns a function that connects.
func startPoller(t *testing.T, handle func(h *testHandler, message byte)) (p *Poller, dial func() (net.Conn, *testHandler)) {
	return startPollerWith(t, handle, nil)
}

// startPollerWith is startPoller with a function that runs on the poller at each accept.
func startPollerWith(t *testing.T, handle func(h *testHandler, message byte), onAccept func(c *Conn)) (p *Poller, dial func() (net.Conn, *testHandler)) {
	loop := &testLoop{events: make(chan func(), 1<<16)}
	go loop.run()
	p, err := New(func(event func()) { loop.events <- event }, func() int64 { return time.Now().UnixMicro() })
	require.NoError(t, err)
	t.Cleanup(p.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	file, err := ln.(*net.TCPListener).File()
	require.NoError(t, err)
	t.Cleanup(func() { file.Close() })
	fd := int(file.Fd()) // each call makes it blocking
	require.NoError(t, unix.SetNonblock(fd, true))
	accepted := make(chan *testHandler, 256)
	require.NoError(t, p.Serve(testListener{fd}, func(c *Conn) Handler {
		if onAccept != nil {
			onAccept(c)
		}
		h := &testHandler{conn: c, poller: p, messages: make(chan byte, 256), closed: make(chan struct{}), handle: handle}
		accepted <- h
		return h
	}))
	return p, func() (net.Conn, *testHandler) {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c, <-accepted
	}
}

// Guards against ends that are noticed only behind the input before them: a paused connection with much unread learns of it at once.
func TestPeerEndIsSeenWhileInputIsUnread(t *testing.T) {
	_, dial := startPoller(t, func(*testHandler, byte) {}) // never resumed
	c, h := dial()
	_, err := c.Write(make([]byte, 10_000))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return h.conn.Unread() == 10_000-1 }, waitTimeout, time.Millisecond)
	require.NoError(t, c.Close())
	require.Eventually(t, h.gone.Load, waitTimeout, time.Millisecond)
	assert.True(t, h.conn.IsPeerGone())
	assert.Equal(t, 10_000-1, h.conn.Unread(), "nothing was read for it")
}

// Guards against a flood that fills the loop's mailbox: while the loop stands still, a bounded number of messages waits there, and
// the others are in the kernel.
func TestMessagesThatWaitForTheLoopAreBounded(t *testing.T) {
	release := make(chan struct{})
	var handled atomic.Int64
	p, dial := startPoller(t, func(h *testHandler, _ byte) {
		<-release
		handled.Add(1)
		h.conn.Resume()
	})
	const clients, messages = 3 * maxUnhandled, 3
	for range clients {
		c, _ := dial()
		_, err := c.Write(make([]byte, messages))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return p.Unhandled() >= maxUnhandled }, waitTimeout, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	assert.LessOrEqual(t, p.Unhandled(), int64(maxUnhandled))
	close(release)
	require.Eventually(t, func() bool { return handled.Load() == clients*messages }, waitTimeout, time.Millisecond)
}

// Guards against clients that wait behind others with a backlog: a message on a connection that was idle is handled after a bounded
// number of those that had waited before it.
func TestIdleConnectionsGoBeforeBacklogs(t *testing.T) {
	const flooders, backlog, handleTime = 100, 50, 100 * time.Microsecond
	var order []byte            // on the loop
	before := make(chan int, 1) // messages that were handled before the idle connection's
	hold := make(chan struct{})
	p, dial := startPoller(t, func(h *testHandler, message byte) {
		<-hold
		time.Sleep(handleTime)
		order = append(order, message)
		if message == 'i' {
			before <- len(order) - 1
		}
		h.conn.Resume()
	})
	for range flooders {
		c, _ := dial()
		input := make([]byte, backlog)
		_, err := c.Write(input)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return p.Unhandled() >= maxUnhandled }, waitTimeout, time.Millisecond)
	idle, _ := dial()
	close(hold)
	time.Sleep(time.Millisecond) // the backlogs are being handled
	_, err := idle.Write([]byte("i"))
	require.NoError(t, err)
	select {
	case handled := <-before:
		assert.Less(t, handled, flooders*backlog-1, "others wait yet")
	case <-time.After(waitTimeout):
		t.Fatal("the message was not handled")
	}
}

// Guards against a poller that sleeps over a connection that waits for its turn: the loop catches up between the poller's look at
// what is unhandled and its sleep, so that nobody wakes it.
func TestPollerIsWokenAfterTheLoopHasCaughtUp(t *testing.T) {
	accepts := 0
	p, dial := startPollerWith(t, func(*testHandler, byte) {}, func(c *Conn) {
		if accepts++; accepts == 1 {
			return
		}
		p := c.poller
		p.unhandled.Add(maxUnhandled) // behind the poller's last look but that of its sleep
		assert.True(t, p.isBehind())
		p.unhandled.Add(-maxUnhandled) // the loop handles them all, and finds the poller awake
		c.handler = &testHandler{closed: make(chan struct{})}
		c.Close() // no event of it wakes the poller
	})
	c, h := dial()
	_, err := c.Write([]byte("ab"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return h.conn.Unread() == 1 }, waitTimeout, time.Millisecond) // paused, with a backlog
	dial()
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.isAsleep
	}, waitTimeout, time.Millisecond)
	h.conn.Resume()
	require.Eventually(t, func() bool { return h.conn.Unread() == 0 }, waitTimeout, time.Millisecond)
}

// Guards against a write to a descriptor that another owner has by now, by a connection that is resumed as the poller ends.
func TestEndedPollerIsNotWoken(t *testing.T) {
	p, dial := startPoller(t, func(*testHandler, byte) {})
	_, h := dial()
	p.Close()
	<-h.closed
	require.Eventually(t, func() bool { return unix.Fsync(p.wakeFD) == unix.EBADF }, waitTimeout, time.Millisecond)
	var pipe [2]int
	require.NoError(t, unix.Pipe2(pipe[:], unix.O_NONBLOCK))
	defer unix.Close(pipe[0])
	defer unix.Close(pipe[1])
	p.mu.Lock()
	p.wakeFD, p.isAsleep = pipe[1], true
	p.mu.Unlock()
	h.conn.TakeTurnSoon()
	p.Do(func() {})
	var written [8]byte
	_, err := unix.Read(pipe[0], written[:])
	assert.ErrorIs(t, err, unix.EAGAIN, "nothing was written")
}

// Guards against senders of a message in many small parts that delay others: each part costs a look at all that has come of the
// message, so they take turns with those that have a backlog.
func TestMessagesInPartsDoNotGoFirst(t *testing.T) {
	p := &Poller{}
	inParts, idle := &Conn{poller: p}, &Conn{poller: p}
	inParts.awaited.Store(100)
	p.mu.Lock()
	inParts.enqueue()
	idle.enqueue()
	p.mu.Unlock()
	assert.Same(t, idle, p.nextTurn())
	assert.Same(t, inParts, p.nextTurn())
}
