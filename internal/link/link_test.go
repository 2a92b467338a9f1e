package link

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"cobaltflow/internal/core"
	"cobaltflow/internal/reactor"
)

// eachKind runs a test with a link that was dialed and with one that was accepted.
func eachKind(t *testing.T, test func(t *testing.T, l *Link, peer net.Conn, loop *core.Loop, ended chan struct{})) {
	t.Run("dialed", func(t *testing.T) {
		l, peer, loop, ended := newTestLink(t)
		test(t, l, peer, loop, ended)
	})
	t.Run("accepted", func(t *testing.T) {
		l, peer, loop, ended := newAcceptedLink(t)
		test(t, l, peer, loop, ended)
	})
}

// acceptedLink is the handler of a link that was accepted.
type acceptedLink struct {
	Link
	reader MessageReader
	ended  chan struct{}
}

func (l *acceptedLink) HandleInput(in *reactor.Input) reactor.Next {
	return l.Link.HandleInput(in, &l.reader)
}
func (l *acceptedLink) PeerEnded() {}
func (l *acceptedLink) Closed()    { close(l.ended) }

// newAcceptedLink is newTestLink for a link that was accepted. Its messages are never whole.
func newAcceptedLink(t *testing.T) (*Link, net.Conn, *core.Loop, chan struct{}) {
	loop := core.NewLoop()
	go loop.Run()
	poller, err := reactor.New(loop.Post, loop.Clock)
	require.NoError(t, err)
	ln, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan *acceptedLink, 1)
	require.NoError(t, poller.Serve(ln, func(c *reactor.Conn) reactor.Handler {
		l := &acceptedLink{ended: make(chan struct{})}
		l.InitAccepted(c, &poller.Buffers, "test")
		l.reader = MessageReader{Poller: poller, Loop: loop, MaxBytes: 1 << 10, Handle: func() {}, Refuse: func() {},
			Parse: func(buf []byte, _ bool) (int, int, bool) { return 0, len(buf) + 1, false }}
		accepted <- l
		return l
	}))
	peer, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	l := <-accepted
	t.Cleanup(func() { peer.Close(); ln.Close(); poller.Close(); loop.Post(loop.Stop) })
	return &l.Link, peer, loop, l.ended
}

// newTestLink returns a link over a TCP connection, the peer's side of it, the loop and a channel that is closed when the
// link's side ends.
func newTestLink(t *testing.T) (*Link, net.Conn, *core.Loop, chan struct{}) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	nc, err := netpoll.DialConnection("tcp", ln.Addr().String(), time.Second)
	require.NoError(t, err)
	peer, err := ln.Accept()
	require.NoError(t, err)
	loop := core.NewLoop()
	go loop.Run()
	l, ended := &Link{}, make(chan struct{})
	l.Init(nc, "test", "peer", 0)
	require.NoError(t, nc.SetOnRequest(func(context.Context, netpoll.Connection) error { return nil }))
	nc.AddCloseCallback(func(netpoll.Connection) error { close(ended); return nil })
	t.Cleanup(func() { peer.Close(); nc.Close(); loop.Post(loop.Stop) })
	return l, peer, loop, ended
}

// Input that has waited in the kernel or in the read buffer counts from its arrival, and input that has just come from now.
func TestArrivalTimeCountsWhatWaited(t *testing.T) { eachKind(t, testArrivalTime) }

func testArrivalTime(t *testing.T, l *Link, peer net.Conn, loop *core.Loop, _ chan struct{}) {
	const waited = 300 * core.Millisecond
	_, err := peer.Write([]byte("x"))
	require.NoError(t, err)
	written := loop.Clock()
	time.Sleep(time.Duration(waited) * time.Microsecond)
	assert.InDelta(t, written, l.ArrivalTime(loop), float64(waited/2))
	_, err = peer.Write([]byte("x"))
	require.NoError(t, err)
	assert.Less(t, loop.Clock()-l.ArrivalTime(loop), waited/2)
}

// Guards against a crash: netpoll had released the connection's buffer by the time the writer used it.
func TestSendAfterPeerDisconnected(t *testing.T) {
	l, peer, loop, ended := newTestLink(t)
	peer.Close()
	<-ended
	done := make(chan error, 1)
	l.Send(loop, Outgoing{Message: []byte("x"), Done: func(err error) { done <- err }})
	err := <-done
	require.Error(t, err)
	assert.True(t, NeverSent(err), "no byte was sent")
}

// A peer that does not read is closed after the write timeout, without blocking the sender.
func TestWriteTimeoutClosesConnection(t *testing.T) { eachKind(t, testWriteTimeout) }

func testWriteTimeout(t *testing.T, l *Link, _ net.Conn, loop *core.Loop, ended chan struct{}) {
	require.NoError(t, l.Conn.(interface{ SetWriteTimeout(time.Duration) error }).SetWriteTimeout(50*time.Millisecond))
	done := make(chan error, 1)
	l.Send(loop, Outgoing{Message: make([]byte, 64<<20), Done: func(err error) { done <- err }})
	err := <-done
	require.Error(t, err)
	assert.False(t, NeverSent(err), "part of it was sent")
	<-ended
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	assert.True(t, l.MarkEnded(log, 0))
	assert.Contains(t, out.String(), "reason="+NotReading)
	for _, field := range []string{"party=", "peer=", "messages=", "age_ms="} {
		assert.Contains(t, out.String(), field)
	}
	assert.False(t, l.MarkEnded(log, 0), "one log line for a connection")
}

// Input that arrives after the last answer was written must not reset the connection, which would destroy an answer that
// the peer has not read yet. The peer reads the complete answer and the end of the stream; the connection is closed when
// the peer closes its side.
func TestInputAfterLastAnswerDoesNotReset(t *testing.T) { eachKind(t, testInputAfterLastAnswer) }

func testInputAfterLastAnswer(t *testing.T, l *Link, peer net.Conn, loop *core.Loop, ended chan struct{}) {
	failOnMessage(t, l, loop)
	answer := bytes.Repeat([]byte("answer "), 1000)
	sent := make(chan error, 1)
	isWriteClosed := func() (closed bool) {
		done := make(chan struct{})
		loop.Post(func() { closed = l.IsWriteClosed(); close(done) })
		<-done
		return closed
	}
	l.Send(loop, Outgoing{Message: answer, CloseAfter: true, Done: func(err error) { sent <- err }})
	require.NoError(t, <-sent)
	require.Eventually(t, isWriteClosed, 5*time.Second, time.Millisecond)
	for range 3 { // a reset would answer the first write and fail the next
		_, err := peer.Write(bytes.Repeat([]byte("late "), 1000))
		require.NoError(t, err)
	}
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(5*time.Second)))
	got, err := io.ReadAll(peer)
	require.NoError(t, err)
	assert.Equal(t, answer, got)
	closed := make(chan bool, 1)
	loop.Post(func() { closed <- l.ClosedLocally })
	assert.False(t, <-closed, "the peer has read the end, and the connection still accepts input")
	require.NoError(t, peer.Close())
	<-ended
}

// failOnMessage fails the test when input of a dialed link is parsed.
func failOnMessage(t *testing.T, l *Link, loop *core.Loop) {
	nc, isDialed := l.Conn.(netpoll.Connection)
	if !isDialed {
		return // its messages are never whole
	}
	require.NoError(t, nc.SetOnRequest(func(context.Context, netpoll.Connection) error {
		return l.Read(loop, func([]byte, bool) (int, int, bool) { t.Error("input was parsed"); return 1, 0, false }, func() {})
	}))
}

// unsentBytes returns how many bytes of a TCP connection's output the other side has not received.
func unsentBytes(t *testing.T, nc net.Conn) (bytes int) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }))
	require.NoError(t, err)
	return bytes
}

// Guards against an answer that is lost because the connection is closed over a peer that goes on sending, before the answer is
// written: discarded input counts from then on, and a peer that still sends is closed.
func TestInputBeforeTheAnswerIsWrittenDoesNotClose(t *testing.T) {
	l, peer, loop, ended := newTestLink(t)
	failOnMessage(t, l, loop)
	l.DiscardInput()
	_, err := peer.Write(make([]byte, 4*maxLingerBytes))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unsentBytes(t, peer) == 0 && !l.HasUnreadInput() }, 5*time.Second, time.Millisecond)
	answer := []byte("answer")
	l.Send(loop, Outgoing{Message: answer, CloseAfter: true})
	got := make([]byte, len(answer))
	require.NoError(t, peer.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadFull(peer, got)
	require.NoError(t, err)
	assert.Equal(t, answer, got)
	_, err = peer.Read(got)
	require.ErrorIs(t, err, io.EOF, "the writing side is closed")
	for err = nil; err == nil; {
		_, err = peer.Write(make([]byte, maxLingerBytes))
	}
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	<-ended
}

// Guards against an answer that is lost because its peer reads it only behind all that it sends: while the answer waits to be
// written, input is discarded, and behind that what is unread stays in the kernel until the end of the linger.
func TestPeerThatWritesBeforeItReadsGetsTheAnswer(t *testing.T) {
	l, peer, loop, ended := newAcceptedLink(t)
	const answerBytes, inputBytes = 32 << 20, 16 << 20 // beyond what both systems hold
	l.DiscardInput()
	l.Send(loop, Outgoing{Message: make([]byte, answerBytes), CloseAfter: true})
	require.NoError(t, peer.SetDeadline(time.Now().Add(5*time.Second)))
	_, err := peer.Write(make([]byte, inputBytes))
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, peer)
	require.NoError(t, err)
	assert.EqualValues(t, answerBytes, n)
	for err = nil; err == nil; {
		_, err = peer.Write(make([]byte, maxLingerBytes))
	}
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	<-ended
}

// Guards against a client that is closed as one that does not read, since its path takes longer than the write timeout to free as much
// of the system's buffer as the system waits for.
func TestSlowReaderIsNotTakenForOneThatDoesNotRead(t *testing.T) {
	l, peer, loop, _ := newAcceptedLink(t)
	const answerBytes, timeout, slowTime = 32 << 20, 200 * time.Millisecond, 3 * time.Second
	require.NoError(t, l.Conn.(interface{ SetWriteTimeout(time.Duration) error }).SetWriteTimeout(timeout))
	// A small buffer of the peer's system is open again after each part.
	require.NoError(t, peer.(*net.TCPConn).SetReadBuffer(64<<10))
	l.Send(loop, Outgoing{Message: make([]byte, answerBytes), CloseAfter: true})
	require.NoError(t, peer.SetDeadline(time.Now().Add(20*time.Second)))
	read := 0
	for part, began := make([]byte, 64<<10), time.Now(); time.Since(began) < slowTime; time.Sleep(timeout / 8) {
		n, err := peer.Read(part)
		require.NoError(t, err)
		read += n
	}
	rest, err := io.Copy(io.Discard, peer)
	require.NoError(t, err)
	assert.EqualValues(t, answerBytes, read+int(rest))
}

// A peer that keeps its side open is closed after the linger timeout.
func TestCloseWriteClosesAfterLingerTimeout(t *testing.T) { eachKind(t, testLingerTimeout) }

func testLingerTimeout(t *testing.T, l *Link, _ net.Conn, loop *core.Loop, ended chan struct{}) {
	loop.Post(func() { l.CloseWrite(loop, IdleTimeout) })
	<-ended
	assert.Equal(t, IdleTimeout, l.CloseReason)
}
