package link

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/core"
)

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
func TestArrivalTimeCountsWhatWaited(t *testing.T) {
	const waited = 300 * core.Millisecond
	l, peer, loop, _ := newTestLink(t)
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
func TestWriteTimeoutClosesConnection(t *testing.T) {
	l, _, loop, ended := newTestLink(t)
	l.Conn.SetWriteTimeout(50 * time.Millisecond)
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
func TestInputAfterLastAnswerDoesNotReset(t *testing.T) {
	l, peer, loop, ended := newTestLink(t)
	require.NoError(t, l.Conn.SetOnRequest(func(context.Context, netpoll.Connection) error {
		return l.Read(loop, func([]byte) (int, int, bool) { t.Error("input was parsed"); return 1, 0, false }, func() {})
	}))
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

// A peer that keeps its side open is closed after the linger timeout.
func TestCloseWriteClosesAfterLingerTimeout(t *testing.T) {
	l, _, loop, ended := newTestLink(t)
	loop.Post(func() { l.CloseWrite(loop, IdleTimeout) })
	<-ended
	assert.Equal(t, IdleTimeout, l.CloseReason)
}
