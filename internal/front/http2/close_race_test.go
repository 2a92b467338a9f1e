package http2_test

import (
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	xhttp2 "golang.org/x/net/http2"

	"cobaltflow/internal/gateway"
	"cobaltflow/internal/standin"
)

// readOutcome reads frames until the client knows the outcome of a stream: a response, a refusal of the stream, or a GOAWAY
// that tells it that the stream was not processed. An end of the connection before that is an error.
func readOutcome(r *xhttp2.Framer, stream uint32) error {
	for {
		f, err := r.ReadFrame()
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		switch f := f.(type) {
		case *xhttp2.HeadersFrame:
			return nil
		case *xhttp2.RSTStreamFrame:
			return nil
		case *xhttp2.GoAwayFrame:
			if f.LastStreamID < stream {
				return nil
			}
		}
	}
}

// Guards against the reset of connections that wait in the accept queue when the listener closes at the end of the process.
func TestStreamRacingListenerCloseIsAnswered(t *testing.T) {
	n := start(t, nil, standin.NewWorker(t, "s-1", nil))
	var race *standin.CloseRace
	n.RunOnLoop(func() {
		n.HTTP2.ReplaceListener(func(l netpoll.Listener) (hooked netpoll.Listener) {
			hooked, race = standin.RaceClose(n, l, 1, func(int) error {
				nc, err := net.DialTimeout("tcp", l.Addr().String(), standin.WaitTimeout)
				if err != nil {
					return err
				}
				defer nc.Close()
				nc.SetDeadline(time.Now().Add(standin.WaitTimeout))
				r := newRawConn(nc)
				return readOutcome(r.Framer, r.sendRequest("settle", "id-1", 15000, true))
			})
			return hooked
		})
	})
	n.Gateway.Stop()
	<-n.Ended
	assert.Empty(t, race.Failures(), "clients without an answer")
}

// Guards against a bare end or a reset under a stream on a connection that was opened after the last GOAWAY: the request is
// unread in the kernel when the front closes its connections.
func TestStreamRacingCloseOfNewConnectionIsRefused(t *testing.T) {
	n := start(t, nil, standin.NewWorker(t, "s-1", nil))
	n.RunOnLoop(func() { n.HTTP2.Drain(1000) })
	n.Eventually(func() (isDrained bool) {
		n.RunOnLoop(func() { isDrained = n.HTTP2.IsDrained() })
		return isDrained
	})
	r := dial(n)
	r.readUntil(t, isGoAway)
	resume := standin.PausePoller(n)
	stream := r.sendRequest("settle", "id-1", 15000, true)
	n.RunOnLoop(n.HTTP2.Close)
	resume()
	assert.NoError(t, readOutcome(r.Framer, stream))
}

// Guards against an upgrade that cannot start: a successor listens at the address that its predecessor still serves.
func TestSuccessorListensAtSameAddress(t *testing.T) {
	n := start(t, nil)
	conf := *n.Conf
	conf.Listen, conf.HTTP2.Listen, conf.StateDir = "127.0.0.1:0", n.HTTP2.Address(), t.TempDir()
	successor := gateway.New(&conf, slog.New(slog.DiscardHandler))
	require.NoError(t, successor.Start())
	successor.Loop.Post(successor.Loop.Stop)
	successor.Run()
}
