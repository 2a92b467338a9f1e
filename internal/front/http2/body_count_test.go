package http2_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	xhttp2 "golang.org/x/net/http2"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// sendBody sends a request with a body of n bytes and returns its stream ID.
func (r *rawConn) sendBody(t *testing.T, class, id string, n int) uint32 {
	stream := r.sendRequest(class, id, 9000, false)
	require.NoError(t, r.WriteData(stream, true, bytes.Repeat([]byte("b"), n)))
	return stream
}

// readEnd reads until the stream ends, and returns the code of its reset, if it was reset.
func (r *rawConn) readEnd(t *testing.T, stream uint32) (code xhttp2.ErrCode) {
	r.readUntil(t, func(f xhttp2.Frame) bool {
		if reset, isReset := f.(*xhttp2.RSTStreamFrame); isReset && reset.StreamID == stream {
			code = reset.ErrCode
			return true
		}
		data, isData := f.(*xhttp2.DataFrame)
		return isData && data.StreamID == stream && data.StreamEnded()
	})
	return code
}

// Guards against the bodies of requests whose answers wait for a window, which counted towards max_body_kb for good, until each
// request with a body was refused.
func TestBodyDoesNotCountAfterItsAnswer(t *testing.T) {
	n := start(t, func(c *config.Config) { c.HTTP2.MaxBodyKB = 64 }, standin.NewWorker(t, "s-1", nil))
	r := dial(n, xhttp2.Setting{ID: xhttp2.SettingInitialWindowSize, Val: 1})
	for i := range 20 {
		stream := r.sendBody(t, "move", fmt.Sprint("id-", i), 16_000)
		r.readUntil(t, func(f xhttp2.Frame) bool {
			reset, isReset := f.(*xhttp2.RSTStreamFrame)
			require.False(t, isReset, "request %d: %v", i, reset)
			_, isData := f.(*xhttp2.DataFrame)
			return isData
		})
		r.WriteWindowUpdate(stream, 1000)
		assert.Equal(t, xhttp2.ErrCodeNo, r.readEnd(t, stream))
	}
}

// Guards against bodies that no longer count towards max_body_kb, although a worker has their requests: a client that resets
// its streams could hold any number of them.
func TestBodyOfAResetStreamCountsUntilItsRequestEnds(t *testing.T) {
	atWorker := make(chan string, 4)
	worker := standin.NewWorker(t, "s-1", func(_ *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(202)
		atWorker <- id
	})
	n := start(t, func(c *config.Config) { c.HTTP2.MaxBodyKB = 16 }, worker)
	r := dial(n)
	held := r.sendBody(t, "move", "held", 10_000)
	require.Equal(t, "held", <-atWorker)
	r.WriteRSTStream(held, xhttp2.ErrCodeCancel)
	require.Equal(t, xhttp2.ErrCodeRefusedStream, r.readEnd(t, r.sendBody(t, "move", "refused", 10_000)))
	worker.SendCallback("held", "done", nil)
	go func() { worker.SendCallback(<-atWorker, "done", map[string]any{"result": "ok"}) }()
	client := newClient(n)
	n.Eventually(func() bool { return jobState(n, client, "held").State == "served" })
	assert.Equal(t, xhttp2.ErrCodeNo, r.readEnd(t, r.sendBody(t, "move", "taken", 10_000)))
}
