package link

import (
	"bytes"
	"context"
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
	assert.True(t, Unwritten(err), "nothing has left")
}

func TestPeerThatDoesNotReadIsClosedAndHoldsUpNobody(t *testing.T) {
	l, _, loop, gone := dialed(t)
	l.NC.SetWriteTimeout(50 * time.Millisecond)
	done := make(chan error, 1)
	l.Send(loop, Outgoing{Message: make([]byte, 64<<20), Done: func(err error) { done <- err }})
	err := <-done
	require.Error(t, err)
	assert.False(t, Unwritten(err), "part of it has left")
	<-gone
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	assert.True(t, l.Farewell(log, 0))
	assert.Contains(t, out.String(), "reason="+NotReading)
	for _, field := range []string{"party=", "peer=", "messages=", "age_ms="} {
		assert.Contains(t, out.String(), field)
	}
	assert.False(t, l.Farewell(log, 0), "one line a connection")
}
