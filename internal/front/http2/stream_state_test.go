package http2_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	xhttp2 "golang.org/x/net/http2"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/standin"
)

// The frames that the table sends on a stream.
var streamFrames = map[string]func(r *rawConn, stream uint32){
	"DATA":     func(r *rawConn, stream uint32) { r.WriteData(stream, false, []byte("late")) },
	"last":     func(r *rawConn, stream uint32) { r.WriteData(stream, true, nil) },
	"trailers": func(r *rawConn, stream uint32) { r.writeFields(stream, true, [2]string{"x-trailer", "1"}) },
	"HEADERS": func(r *rawConn, stream uint32) {
		r.writeFields(stream, false, requestFields("move", r.newID(), 9000)...)
	},
	"PRIORITY":        func(r *rawConn, stream uint32) { r.WritePriority(stream, xhttp2.PriorityParam{StreamDep: 1}) },
	"RST_STREAM":      func(r *rawConn, stream uint32) { r.WriteRSTStream(stream, xhttp2.ErrCodeCancel) },
	"WINDOW_UPDATE":   func(r *rawConn, stream uint32) { r.WriteWindowUpdate(stream, 1) },
	"WINDOW_UPDATE-0": func(r *rawConn, stream uint32) { r.WriteWindowUpdate(stream, 0) },
}

// What a frame does.
const (
	ignored         = "nothing"
	streamClosed    = "stream error STREAM_CLOSED"
	streamProtocol  = "stream error PROTOCOL_ERROR"
	connProtocol    = "connection error PROTOCOL_ERROR"
	finalGoAwayTime = 10 * core.Second // longer than a test: requests in hand are not ended by the drain
)

// streamState is a state of a stream, and what each frame does there by RFC 9113, sections 5.1, 5.1.1, 6.1 and 6.9; ignored is
// left out.
type streamState struct {
	change   func(c *config.Config)
	settings []xhttp2.Setting
	isLate   bool // it is entered after the last GOAWAY
	enter    func(t *testing.T, r *rawConn) uint32
	want     map[string]string
}

// discarded is what frames do on a stream that the front has closed before its client ended it: they may have been on their way.
var discarded = map[string]string{}

var streamStates = map[string]streamState{
	"idle": {
		enter: func(_ *testing.T, r *rawConn) uint32 { return r.next },
		want: map[string]string{"DATA": connProtocol, "last": connProtocol, "trailers": streamProtocol, "RST_STREAM": connProtocol,
			"WINDOW_UPDATE": connProtocol, "WINDOW_UPDATE-0": connProtocol},
	},
	"idle after the last GOAWAY": {
		isLate: true,
		enter:  func(_ *testing.T, r *rawConn) uint32 { return r.next },
		want: map[string]string{"DATA": connProtocol, "last": connProtocol, "RST_STREAM": connProtocol, "WINDOW_UPDATE": connProtocol,
			"WINDOW_UPDATE-0": connProtocol, "trailers": "stream error REFUSED_STREAM", "HEADERS": "stream error REFUSED_STREAM"},
	},
	"open": {
		enter: func(_ *testing.T, r *rawConn) uint32 { return r.sendRequest("move", r.newID(), 9000, false) },
		want:  map[string]string{"HEADERS": streamProtocol, "WINDOW_UPDATE-0": streamProtocol},
	},
	"half-closed": {
		enter: func(_ *testing.T, r *rawConn) uint32 { return r.sendRequest("move", r.newID(), 9000, true) },
		want: map[string]string{"DATA": streamClosed, "last": streamClosed, "trailers": streamClosed, "HEADERS": streamClosed,
			"WINDOW_UPDATE-0": streamProtocol},
	},
	"closed": {
		enter: func(t *testing.T, r *rawConn) uint32 {
			stream := r.sendRequest("none", "answered", 9000, true)
			r.readUntil(t, func(f xhttp2.Frame) bool { d, isData := f.(*xhttp2.DataFrame); return isData && d.StreamEnded() })
			return stream
		},
		want: map[string]string{"DATA": streamClosed, "last": streamClosed, "trailers": streamClosed, "HEADERS": connProtocol},
	},
	"never opened": {
		enter: func(t *testing.T, r *rawConn) uint32 {
			r.next += 2
			r.sendRequest("move", r.newID(), 9000, false)
			return r.next - 4
		},
		want: map[string]string{"DATA": streamClosed, "last": streamClosed, "trailers": streamClosed, "HEADERS": connProtocol},
	},
	"reset by the client": {
		enter: func(_ *testing.T, r *rawConn) uint32 {
			stream := r.sendRequest("move", r.newID(), 9000, true)
			r.WriteRSTStream(stream, xhttp2.ErrCodeCancel)
			return stream
		},
		want: discarded,
	},
	"reset by the front": {enter: enterReset, want: discarded},
	"reset 300 streams ago": {
		enter: func(t *testing.T, r *rawConn) uint32 {
			stream := enterReset(t, r)
			for range 300 {
				enterReset(t, r)
			}
			return stream
		},
		// The front may have forgotten what closed it.
		want: map[string]string{"DATA": streamClosed, "last": streamClosed, "trailers": streamClosed, "HEADERS": connProtocol},
	},
	"refused by max_streams": {
		change: func(c *config.Config) { c.HTTP2.MaxStreams = 1 },
		enter:  enterRefused,
		want:   discarded,
	},
	"refused past the last GOAWAY": {isLate: true, enter: enterRefused, want: discarded},
	"refused by max_body_kb": {
		change: func(c *config.Config) { c.HTTP2.MaxBodyKB = 1 },
		enter: func(t *testing.T, r *rawConn) uint32 {
			stream := r.sendRequest("move", r.newID(), 9000, false)
			r.WriteData(stream, false, make([]byte, 2<<10))
			r.requireReset(t, stream, xhttp2.ErrCodeRefusedStream)
			return stream
		},
		want: discarded,
	},
	"answered early": {
		enter: func(t *testing.T, r *rawConn) uint32 {
			stream := r.sendTooLarge()
			r.requireReset(t, stream, xhttp2.ErrCodeNo)
			return stream
		},
		want: discarded,
	},
	"answered early, without a window": {
		settings: []xhttp2.Setting{{ID: xhttp2.SettingInitialWindowSize, Val: 0}},
		enter: func(t *testing.T, r *rawConn) uint32 {
			stream := r.sendTooLarge()
			r.readUntil(t, func(f xhttp2.Frame) bool { _, isAnswer := f.(*xhttp2.HeadersFrame); return isAnswer })
			return stream
		},
		want: map[string]string{"HEADERS": streamProtocol, "WINDOW_UPDATE-0": streamProtocol},
	},
}

// newID returns an ID for a request that no other connection uses.
func (r *rawConn) newID() string {
	return fmt.Sprint(r.nc.LocalAddr().(*net.TCPAddr).Port, "-", r.next)
}

// enterReset opens a stream that the front resets as malformed before its end.
func enterReset(t *testing.T, r *rawConn) uint32 {
	stream := r.next
	r.next += 2
	r.writeFields(stream, false, [2]string{":method", "POST"})
	r.requireReset(t, stream, xhttp2.ErrCodeProtocol)
	return stream
}

// enterRefused opens a stream that the front refuses before its end.
func enterRefused(t *testing.T, r *rawConn) uint32 {
	stream := r.sendRequest("move", r.newID(), 9000, false)
	r.requireReset(t, stream, xhttp2.ErrCodeRefusedStream)
	return stream
}

// sendTooLarge sends a request that announces a body over the limit.
func (r *rawConn) sendTooLarge() uint32 {
	r.next += 2
	r.writeFields(r.next-2, false, append(requestFields("move", r.newID(), 9000), [2]string{"content-length", "100000"})...)
	return r.next - 2
}

// requireReset reads until the front resets the stream.
func (r *rawConn) requireReset(t *testing.T, stream uint32, code xhttp2.ErrCode) {
	reset := r.readUntil(t, func(f xhttp2.Frame) bool {
		s, isReset := f.(*xhttp2.RSTStreamFrame)
		return isReset && s.StreamID == stream
	}).(*xhttp2.RSTStreamFrame)
	require.Equal(t, code, reset.ErrCode)
}

// effectOf returns what the frames that were sent did to a stream, by the time the front answers a PING behind them.
func (r *rawConn) effectOf(t *testing.T, stream uint32) string {
	effect := ignored
	require.NoError(t, r.WritePing(false, [8]byte{1}))
	r.readUntil(t, func(f xhttp2.Frame) bool {
		switch f := f.(type) {
		case *xhttp2.RSTStreamFrame:
			if f.StreamID == stream {
				effect = "stream error " + f.ErrCode.String()
			}
		case *xhttp2.GoAwayFrame:
			effect = "connection error " + f.ErrCode.String()
			return true
		case *xhttp2.PingFrame:
			return f.IsAck()
		}
		return false
	})
	return effect
}

// heldJobs are jobs that workers have accepted, and that end when the test says so.
type heldJobs struct {
	mu        sync.Mutex
	workers   []*standin.Worker
	workerFor map[string]*standin.Worker
}

// holdJobs makes workers that hold the jobs they are sent.
func holdJobs(t *testing.T, count int) *heldJobs {
	held := &heldJobs{workerFor: map[string]*standin.Worker{}}
	for i := range count {
		held.workers = append(held.workers, standin.NewWorker(t, fmt.Sprint("s-", i), func(w *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
			held.mu.Lock()
			held.workerFor[id] = w
			held.mu.Unlock()
			rw.WriteHeader(202)
		}))
	}
	return held
}

// count returns how many jobs are held.
func (h *heldJobs) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.workerFor)
}

// finish ends a job.
func (h *heldJobs) finish(id string) {
	h.mu.Lock()
	worker := h.workerFor[id]
	h.mu.Unlock()
	worker.SendCallback(id, "done", map[string]any{"result": "r"})
}

// drainToLastGoAway begins the front's drain and reads until each connection has got its last GOAWAY.
func drainToLastGoAway(t *testing.T, n *standin.Node, conns ...*rawConn) {
	n.RunOnLoop(func() {
		n.HTTP2.SetFinalGoAwayDelay(core.Millisecond)
		n.HTTP2.Drain(finalGoAwayTime)
	})
	for _, r := range conns {
		r.readUntil(t, func(f xhttp2.Frame) bool {
			g, isGoAway := f.(*xhttp2.GoAwayFrame)
			return isGoAway && g.LastStreamID < 1<<31-1
		})
	}
}

// Guards against accepted requests that get no answer because a frame on another stream of their connection, which the RFC lets
// the client send, ends the connection: each type of frame in each state of a stream, beside a settle in hand.
func TestFrameOnOneStreamLeavesItsNeighbourAlone(t *testing.T) {
	for name, state := range streamStates {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := holdJobs(t, 2*len(streamFrames))
			n := start(t, func(c *config.Config) {
				c.Settings.SlowStartWindow, c.Settings.OverloadWindow = 1, 1
				if state.change != nil {
					state.change(c)
				}
			}, held.workers...)
			conns, neighbours := map[string]*rawConn{}, map[string]uint32{}
			all := []*rawConn{}
			for frame := range streamFrames {
				r := dial(n, state.settings...)
				conns[frame], neighbours[frame] = r, r.sendRequest("settle", "neighbour-"+frame, 15000, true)
				all = append(all, r)
			}
			n.Eventually(func() bool { return held.count() == len(streamFrames) })
			if state.isLate {
				drainToLastGoAway(t, n, all...)
			}
			for frame, write := range streamFrames {
				t.Run(frame, func(t *testing.T) {
					r := conns[frame]
					stream := state.enter(t, r)
					write(r, stream)
					want := state.want[frame]
					if want == "" {
						want = ignored
					}
					effect := r.effectOf(t, stream)
					require.Equal(t, want, effect)
					if want == connProtocol {
						return
					}
					held.finish("neighbour-" + frame)
					r.readUntil(t, func(f xhttp2.Frame) bool {
						h, isAnswer := f.(*xhttp2.HeadersFrame)
						return isAnswer && h.StreamID == neighbours[frame]
					})
				})
			}
		})
	}
}

// Guards against a request past the last GOAWAY whose body ends the connection: the body counts towards the connection's window
// and gives it back, and the settle that was accepted before is answered.
func TestBodyPastLastGoAwayIsDiscarded(t *testing.T) {
	held := holdJobs(t, 1)
	n := start(t, nil, held.workers...)
	r := dial(n)
	accepted := r.sendRequest("settle", "accepted", 15000, true)
	n.Eventually(func() bool { return held.count() == 1 })
	drainToLastGoAway(t, n, r)
	const bodyBytes = 16_000
	window := 65_535
	for range 16 {
		late := enterRefused(t, r)
		require.GreaterOrEqual(t, window, bodyBytes)
		require.NoError(t, r.WriteData(late, false, make([]byte, bodyBytes)))
		r.writeFields(late, true, [2]string{"x-trailer", "1"})
		require.NoError(t, r.WritePing(false, [8]byte{1}))
		window -= bodyBytes
		r.readUntil(t, func(f xhttp2.Frame) bool {
			if update, isUpdate := f.(*xhttp2.WindowUpdateFrame); isUpdate && update.StreamID == 0 {
				window += int(update.Increment)
			}
			_, isAck := f.(*xhttp2.PingFrame)
			return isAck
		})
	}
	held.finish("accepted")
	assert.Equal(t, xhttp2.ErrCodeNo, r.readEnd(t, accepted))
	assert.Equal(t, 1, held.count())
}
