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

// dialed gives a link to a peer, with the peer's side of it.
func dialed(t *testing.T) (*Link, net.Conn, *core.Loop, chan struct{}) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	nc, err := netpoll.DialConnection("tcp", ln.Addr().String(), time.Second)
	require.NoError(t, err)
	peer, err := ln.Accept()
	require.NoError(t, err)
	loop := core.NewLoop()
	go loop.Run()
	l, gone := &Link{}, make(chan struct{})
	l.Init(nc, "test", "peer", 0)
	require.NoError(t, nc.SetOnRequest(func(context.Context, netpoll.Connection) error { return nil }))
	nc.AddCloseCallback(func(netpoll.Connection) error { close(gone); return nil })
	t.Cleanup(func() { peer.Close(); nc.Close(); loop.Post(loop.Stop) })
	return l, peer, loop, gone
}

// A peer that has gone crashed the writer once: netpoll had given its buffer back.
func TestSendToAPeerThatHasGone(t *testing.T) {
	l, peer, loop, gone := dialed(t)
	peer.Close()
	<-gone
	done := make(chan error, 1)
	l.Send(loop, Outgoing{Message: []byte("x"), Done: func(err error) { done <- err }})
	err := <-done
	require.Error(t, err)
	assert.True(t, NeverSent(err), "nothing has left")
}

func TestPeerThatDoesNotReadIsClosedAndHoldsUpNobody(t *testing.T) {
	l, _, loop, gone := dialed(t)
	l.Conn.SetWriteTimeout(50 * time.Millisecond)
	done := make(chan error, 1)
	l.Send(loop, Outgoing{Message: make([]byte, 64<<20), Done: func(err error) { done <- err }})
	err := <-done
	require.Error(t, err)
	assert.False(t, NeverSent(err), "part of it has left")
	<-gone
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	assert.True(t, l.MarkEnded(log, 0))
	assert.Contains(t, out.String(), "reason="+NotReading)
	for _, field := range []string{"party=", "peer=", "messages=", "age_ms="} {
		assert.Contains(t, out.String(), field)
	}
	assert.False(t, l.MarkEnded(log, 0), "one line a connection")
}

// What a peer sends behind our last answer, before it has read it, neither resets the connection nor takes the answer
// with it: the peer reads the answer whole, and then the end. It is closed when the peer ends its side.
func TestWhatComesBehindTheLastAnswerDoesNotResetIt(t *testing.T) {
	l, peer, loop, gone := dialed(t)
	require.NoError(t, l.Conn.SetOnRequest(func(context.Context, netpoll.Connection) error {
		return l.Read(loop, func([]byte) (int, int, bool) { t.Error("looked at"); return 1, 0, false }, func() {})
	}))
	answer := bytes.Repeat([]byte("answer "), 1000)
	sent := make(chan error, 1)
	shut := func() (yes bool) {
		done := make(chan struct{})
		loop.Post(func() { yes = l.IsWriteClosed(); close(done) })
		<-done
		return yes
	}
	l.Send(loop, Outgoing{Message: answer, CloseAfter: true, Done: func(err error) { sent <- err }})
	require.NoError(t, <-sent)
	require.Eventually(t, shut, 5*time.Second, time.Millisecond)
	for range 3 { // a reset would come with the first, and be met by the next
		_, err := peer.Write(bytes.Repeat([]byte("late "), 1000))
		require.NoError(t, err)
	}
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(5*time.Second)))
	got, err := io.ReadAll(peer)
	require.NoError(t, err)
	assert.Equal(t, answer, got)
	closed := make(chan bool, 1)
	loop.Post(func() { closed <- l.ClosedLocally })
	assert.False(t, <-closed, "the end was read, and the connection is open to what comes")
	require.NoError(t, peer.Close())
	<-gone
}

// A peer that does not end its side is closed all the same.
func TestAPeerThatStaysIsClosedInTheEnd(t *testing.T) {
	l, _, loop, gone := dialed(t)
	loop.Post(func() { l.CloseWrite(loop, IdleTimeout) })
	<-gone
	assert.Equal(t, IdleTimeout, l.CloseReason)
}
