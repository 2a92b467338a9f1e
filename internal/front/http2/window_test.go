package http2_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	xhttp2 "golang.org/x/net/http2"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/standin"
)

// largeResultBytes is the length of a result that takes several frames, and more than a fifth of a window.
const largeResultBytes = 60_000

// startWithResults starts a node whose workers give results of a length.
func startWithResults(t *testing.T, resultBytes int) *standin.Node {
	var workers []*standin.Worker
	for i := range 4 {
		workers = append(workers, standin.NewWorker(t, fmt.Sprint("s-", i), func(w *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
			rw.WriteHeader(202)
			go w.SendCallback(id, "done", map[string]any{"result": strings.Repeat("r", resultBytes)})
		}))
	}
	return start(t, func(c *config.Config) { c.Settings.SlowStartWindow, c.Settings.OverloadWindow = 1, 1 }, workers...)
}

// windowReturner returns what a client has read by WINDOW_UPDATE frames, on the connection and on the streams.
type windowReturner struct {
	*rawConn
	updateBytes int // of one update; 0: one for each frame
	unreturned  map[uint32]int
}

// read counts a DATA frame, and returns its bytes as far as they make updates; the rest of a stream with its end.
func (w *windowReturner) read(d *xhttp2.DataFrame) {
	for _, id := range []uint32{0, d.StreamID} {
		w.unreturned[id] += len(d.Data())
		step := w.updateBytes
		if step == 0 {
			step = max(1, len(d.Data()))
		}
		for ; w.unreturned[id] >= step; w.unreturned[id] -= step {
			w.WriteWindowUpdate(id, uint32(step))
		}
	}
	if rest := w.unreturned[d.StreamID]; d.StreamEnded() && rest > 0 {
		w.WriteWindowUpdate(d.StreamID, uint32(rest))
		delete(w.unreturned, d.StreamID)
	}
}

// readAnswers sends requests, some at a time, until as many answers with a result have been read to the end. A refusal, which a busy
// machine may bring, has none.
func (w *windowReturner) readAnswers(t *testing.T, results, atOnce int) {
	for range atOnce {
		w.sendRequest("move", w.newID(), 9000, true)
	}
	unsent := results - atOnce
	for ended := 0; ended < results; {
		f := w.readUntil(t, func(f xhttp2.Frame) bool {
			if g, isEnd := f.(*xhttp2.GoAwayFrame); isEnd {
				require.Fail(t, "the connection was closed", "%v %q after %d answers", g.ErrCode, g.DebugData(), ended)
			}
			h, isHeaders := f.(*xhttp2.HeadersFrame)
			_, isData := f.(*xhttp2.DataFrame)
			return isData || isHeaders && h.StreamEnded()
		})
		d, isData := f.(*xhttp2.DataFrame)
		if isData {
			w.read(d)
		}
		if isData && !d.StreamEnded() {
			continue
		}
		if isData {
			ended++
			unsent--
			require.NoError(t, w.nc.SetDeadline(time.Now().Add(standin.WaitTimeout)))
		}
		if !isData || unsent >= 0 { // none is left open at the end, whose answer would fill a window
			w.sendRequest("move", w.newID(), 9000, true)
		}
	}
}

// Guards against a sound client that is closed as a flood with all its open requests, since it returns what it has read before
// its window is full: any window, and any size of its updates.
func TestWindowUpdatesOfSoundClientAreNoFlood(t *testing.T) {
	const defaultWindow = 65_535
	for _, client := range []struct {
		name                              string
		window, updateBytes               int
		resultBytes, requests, concurrent int
	}{
		{"an update for each frame", defaultWindow, 0, largeResultBytes, 120, 8},
		{"an update for each frame of a short answer", defaultWindow, 0, 5, 600, 50},
		{"updates of 4 KiB", defaultWindow, 4 << 10, largeResultBytes, 60, 8},
		{"updates of 4 KiB and a large window", 16 << 20, 4 << 10, largeResultBytes, 120, 100},
		{"updates of 1 KiB", defaultWindow, 1 << 10, largeResultBytes, 30, 8},
		{"updates of 100 bytes", defaultWindow, 100, largeResultBytes, 10, 4},
		{"updates of 20 bytes and a large window", 16 << 20, 20, largeResultBytes, 10, 10},
		{"a window of 200 bytes", 200, 0, 6_000, 30, 8},
		{"updates of half a window of 20 bytes", 20, 10, 600, 30, 8},
	} {
		t.Run(client.name, func(t *testing.T) {
			t.Parallel()
			n := startWithResults(t, client.resultBytes)
			r := dial(n, xhttp2.Setting{ID: xhttp2.SettingInitialWindowSize, Val: uint32(client.window)})
			if client.window > defaultWindow {
				r.WriteWindowUpdate(0, uint32(client.window-defaultWindow))
			}
			w := &windowReturner{rawConn: r, updateBytes: client.updateBytes, unreturned: map[uint32]int{}}
			w.readAnswers(t, client.requests, client.concurrent)
		})
	}
}

// Guards against the same with a library's client: all its jobs are on one connection, and it returns what it has read each 4 KiB.
func TestLibraryClientWithLargeAnswersIsNoFlood(t *testing.T) {
	n := startWithResults(t, 24<<10)
	client := newClient(n)
	var running sync.WaitGroup
	for i := range 20 {
		running.Go(func() {
			for j := range 15 {
				status, body, err := send(client, newRequest(context.Background(), n, "move", fmt.Sprint("id-", i, "-", j), 9000, ""))
				if assert.NoError(t, err) {
					assert.Equal(t, []int{http.StatusOK, 24 << 10}, []int{status, len(body)})
				}
			}
		})
	}
	running.Wait()
}

// Guards against a flood that hides behind useful traffic: updates that return nothing, or next to nothing, are closed as one, on
// the connection, on an open stream and on a closed one; another client is served meanwhile.
func TestWindowUpdateFloodBesideUsefulTrafficIsClosed(t *testing.T) {
	for name, flood := range map[string]func(r *rawConn, open, closed uint32) error{
		"by 1":                     func(r *rawConn, _, _ uint32) error { return r.WriteWindowUpdate(0, 1) },
		"by more than was sent":    func(r *rawConn, _, _ uint32) error { return r.WriteWindowUpdate(0, 70_000) },
		"by 1 on an open stream":   func(r *rawConn, open, _ uint32) error { return r.WriteWindowUpdate(open, 1) },
		"by 1 on a closed stream":  func(r *rawConn, _, closed uint32) error { return r.WriteWindowUpdate(closed, 1) },
		"by 0 on a closed stream":  func(r *rawConn, _, closed uint32) error { return r.WriteWindowUpdate(closed, 0) },
		"large on a closed stream": func(r *rawConn, _, closed uint32) error { return r.WriteWindowUpdate(closed, 1<<20) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startWithResults(t, largeResultBytes)
			r := dial(n, xhttp2.Setting{ID: xhttp2.SettingInitialWindowSize, Val: 1 << 20})
			w := &windowReturner{rawConn: r, unreturned: map[uint32]int{}}
			w.readAnswers(t, 20, 4)
			closed := r.next - 2
			open := r.sendRequest("move", r.newID(), 9000, false)
			go func() {
				for range 20_000 {
					if flood(r, open, closed) != nil {
						return
					}
				}
			}()
			goAway := r.readUntil(t, isGoAway).(*xhttp2.GoAwayFrame)
			assert.Equal(t, xhttp2.ErrCodeEnhanceYourCalm, goAway.ErrCode)
			n.Eventually(func() bool { return n.HasLogged("reason=control-flood") })
			status, _, err := send(newClient(n), newRequest(context.Background(), n, "move", "other", 9000, ""))
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
		})
	}
}

// Guards against answers that are lost because more of them come at once than max_unsent_kb, to a client that reads at once: a
// client learns of them in a round trip at the earliest, and its windows hold them until then.
func TestAnswersThatComeAtOnceAreHeldForTheirReader(t *testing.T) {
	const requests = 60
	n := startWithResults(t, largeResultBytes)
	n.RunOnLoop(func() { n.HTTP2.SetStallTimeout(100 * core.Second) })
	r := dial(n)
	w := &windowReturner{rawConn: r, unreturned: map[uint32]int{}}
	for range requests {
		r.sendRequest("move", r.newID(), 9000, true)
	}
	n.Eventually(func() (allAnswered bool) {
		n.RunOnLoop(func() { allAnswered = n.HTTP2.Stats.Answered == requests })
		return allAnswered
	})
	for ended := 0; ended < requests; {
		f := w.readUntil(t, func(f xhttp2.Frame) bool {
			reset, isReset := f.(*xhttp2.RSTStreamFrame)
			require.False(t, isReset, "%v after %d answers", reset, ended)
			_, isData := f.(*xhttp2.DataFrame)
			return isData
		})
		w.read(f.(*xhttp2.DataFrame))
		if f.(*xhttp2.DataFrame).StreamEnded() {
			ended++
		}
	}
}

// Guards against a client that is closed as one that does not read, with its open requests, since more answers than the bound come
// at once than its path takes: its further frames wait until it has read them.
func TestAnswersOverTheUnreadBoundReachTheirReader(t *testing.T) {
	const lookUps = 120 // of which each takes a stream
	n := startWithResults(t, largeResultBytes)
	status, _, err := send(newClient(n), newRequest(context.Background(), n, "move", "large", 9000, ""))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	r := dialWithReceiveBuffer(n, 4096, xhttp2.Setting{ID: xhttp2.SettingInitialWindowSize, Val: 16 << 20})
	require.NoError(t, r.WriteWindowUpdate(0, 16<<20))
	for range lookUps {
		r.lookUp("large")
	}
	waitUntilHandled(n, 50*time.Millisecond)
	var queued int64
	n.RunOnLoop(func() { queued = n.HTTP2.QueuedBytes() })
	assert.Greater(t, queued, int64(4<<20))
	time.Sleep(200 * time.Millisecond) // some sweeps, and less than a write may take
	for ended := 0; ended < lookUps; ended++ {
		r.readUntil(t, func(f xhttp2.Frame) bool {
			require.False(t, isGoAway(f), "%v", f)
			d, isData := f.(*xhttp2.DataFrame)
			return isData && d.StreamEnded()
		})
	}
}

// dialWithReceiveBuffer connects with a receive buffer of a size, so that little fits into the client's system.
func dialWithReceiveBuffer(n *standin.Node, bytes int, settings ...xhttp2.Setting) *rawConn {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes) })
		return errors.Join(controlErr, err)
	}}
	nc, err := dialer.Dial("tcp", n.HTTP2.Address())
	require.NoError(n.T, err)
	n.T.Cleanup(func() { nc.Close() })
	require.NoError(n.T, nc.SetDeadline(time.Now().Add(2*standin.WaitTimeout)))
	return newRawConn(nc, settings...)
}
