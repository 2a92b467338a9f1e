package http2_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	xhttp2 "golang.org/x/net/http2"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// startWithLeavers starts a node whose workers finish jobs at once, but for those whose class is board-view, which they hold.
func startWithLeavers(t *testing.T) *standin.Node {
	var workers []*standin.Worker
	for i := range 4 {
		workers = append(workers, standin.NewWorker(t, fmt.Sprint("s-", i), func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/board-view") {
				rw.WriteHeader(202)
				return
			}
			standin.CompleteJob(w, id, rw, r)
		}))
	}
	return start(t, func(c *config.Config) { c.Settings.SlowStartWindow, c.Settings.OverloadWindow = 1, 1 }, workers...)
}

// readWholeAnswer reads until a stream's answer is whole.
func (r *rawConn) readWholeAnswer(t *testing.T, stream uint32) {
	r.readUntil(t, func(f xhttp2.Frame) bool {
		if g, isEnd := f.(*xhttp2.GoAwayFrame); isEnd {
			require.Fail(t, "the connection was closed", "%v %q before the answer on stream %d", g.ErrCode, g.DebugData(), stream)
		}
		if h, isHeaders := f.(*xhttp2.HeadersFrame); isHeaders && h.StreamID == stream && h.StreamEnded() {
			return true // a refusal, which a busy machine may bring
		}
		d, isData := f.(*xhttp2.DataFrame)
		return isData && d.StreamID == stream && d.StreamEnded()
	})
	r.WriteWindowUpdate(0, 16)
	require.NoError(t, r.nc.SetDeadline(time.Now().Add(standin.WaitTimeout)))
}

// Guards against a client that stands for many people and is closed as a flood, since some of them leave before their answer: half
// of its requests are cancelled, at any rate.
func TestCancellationsBesideAnswersAreNoFlood(t *testing.T) {
	n := startWithLeavers(t)
	r := dial(n)
	for range 400 {
		r.WriteRSTStream(r.sendRequest("board-view", r.newID(), 4000, true), xhttp2.ErrCodeCancel)
		r.readWholeAnswer(t, r.sendRequest("move", r.newID(), 9000, true))
	}
	require.NoError(t, r.nc.Close())
	n.Eventually(func() bool { return n.HasLogged("reason=peer-closed") })
}

// Guards against a client that is closed as a flood for frames that come with its requests and answers, at any rate: a PING in each
// round trip of data or with each cancellation, a PRIORITY or an empty DATA with each request.
func TestFramesThatComeWithRequestsAreNoFlood(t *testing.T) {
	request := func(t *testing.T, r *rawConn) uint32 { return r.sendRequest("move", r.newID(), 9000, true) }
	for name, exchange := range map[string]func(t *testing.T, r *rawConn){
		"PING for each answer": func(t *testing.T, r *rawConn) {
			r.readWholeAnswer(t, request(t, r))
			r.WritePing(false, [8]byte{1})
		},
		"PRIORITY for each request": func(t *testing.T, r *rawConn) {
			stream := request(t, r)
			r.WritePriority(stream, xhttp2.PriorityParam{Weight: 100})
			r.readWholeAnswer(t, stream)
		},
		"PING for each cancellation": func(t *testing.T, r *rawConn) {
			r.WriteRSTStream(r.sendRequest("board-view", r.newID(), 4000, true), xhttp2.ErrCodeCancel)
			r.WritePing(false, [8]byte{1})
			r.readWholeAnswer(t, request(t, r))
		},
		"empty DATA for each request": func(t *testing.T, r *rawConn) {
			stream := r.sendRequest("move", r.newID(), 9000, false)
			r.WriteData(stream, false, nil)
			r.WriteData(stream, true, []byte("body"))
			r.readWholeAnswer(t, stream)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := dial(startWithLeavers(t))
			for range 400 {
				exchange(t, r)
			}
		})
	}
}

// Guards against a flood of control frames that hides behind useful traffic, and of acknowledgements that nobody waits for.
func TestControlFloodBesideUsefulTrafficIsClosed(t *testing.T) {
	for name, flood := range map[string]func(r *rawConn) error{
		"PING":         func(r *rawConn) error { return r.WritePing(false, [8]byte{1}) },
		"PING ACK":     func(r *rawConn) error { return r.WritePing(true, [8]byte{1}) },
		"PRIORITY":     func(r *rawConn) error { return r.WritePriority(1, xhttp2.PriorityParam{Weight: 100}) },
		"SETTINGS":     func(r *rawConn) error { return r.WriteSettings() },
		"SETTINGS ACK": func(r *rawConn) error { return r.WriteSettingsAck() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startWithLeavers(t)
			r := dial(n)
			for range 100 {
				r.readWholeAnswer(t, r.sendRequest("move", r.newID(), 9000, true))
			}
			go func() {
				for range 20_000 {
					if flood(r) != nil {
						return
					}
				}
			}()
			goAway := r.readUntil(t, isGoAway).(*xhttp2.GoAwayFrame)
			require.Equal(t, xhttp2.ErrCodeEnhanceYourCalm, goAway.ErrCode)
			n.Eventually(func() bool { return n.HasLogged("reason=control-flood") })
		})
	}
}
