package http2_test

import (
	"errors"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	xhttp2 "golang.org/x/net/http2"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// Guards against a settle that gets no answer because the client left another answer of its connection unread: that one's stream is
// reset, and the connection is closed when nothing else is open on it.
func TestUnreadAnswerLeavesItsNeighbourAlone(t *testing.T) {
	atWorker := make(chan string, 2)
	worker := standin.NewWorker(t, "s-1", func(_ *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(202)
		atWorker <- id
	})
	n := start(t, func(c *config.Config) { c.HTTP2.StallTimeoutMS = 200 }, worker)
	r := dial(n, xhttp2.Setting{ID: xhttp2.SettingInitialWindowSize, Val: 100})
	unread := r.sendRequest("move", "unread", 9000, true)
	require.Equal(t, "unread", <-atWorker)
	worker.SendCallback("unread", "done", map[string]any{"result": strings.Repeat("r", 1000)})
	neighbour := r.sendRequest("settle", "neighbour", 15000, true)
	require.Equal(t, "neighbour", <-atWorker)
	r.requireReset(t, unread, xhttp2.ErrCodeCancel)
	worker.SendCallback("neighbour", "done", map[string]any{"result": "short"})
	assert.Equal(t, xhttp2.ErrCodeNo, r.readEnd(t, neighbour))

	unread = r.sendRequest("move", "unread-again", 9000, true)
	require.Equal(t, "unread-again", <-atWorker)
	worker.SendCallback("unread-again", "done", map[string]any{"result": strings.Repeat("r", 1000)})
	r.requireReset(t, unread, xhttp2.ErrCodeCancel)
	r.readUntil(t, isGoAway)
	n.Eventually(func() bool { return n.HasLogged("reason=window-full") })
	assert.Equal(t, "served", jobState(n, newClient(n), "unread").State)
}

// Guards against a settle that gets no answer because another request of its connection comes in slowly: a frame or a field block
// that is not whole in time ends the connection when no request that came whole is open any more.
func TestSlowFrameLeavesItsNeighbourAlone(t *testing.T) {
	for name, writePart := range map[string]func(r *rawConn){
		"frame": func(r *rawConn) {
			r.sendRequest("move", r.newID(), 9000, false)
			r.nc.Write([]byte{0, 0, 10, byte(xhttp2.FrameData), 1, 0, 0, 0, 3, 'p', 'a', 'r', 't'})
		},
		"field block": func(r *rawConn) {
			r.WriteHeaders(xhttp2.HeadersFrameParam{StreamID: r.next, BlockFragment: []byte{0x82}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := holdJobs(t, 1)
			n := start(t, nil, held.workers...)
			r := dial(n)
			neighbour := r.sendRequest("settle", "neighbour", 15000, true)
			n.Eventually(func() bool { return held.count() == 1 })
			writePart(r)
			r.nc.SetReadDeadline(time.Now().Add(answerWithin))
			for {
				f, err := r.ReadFrame()
				if errors.Is(err, os.ErrDeadlineExceeded) {
					break
				}
				require.NoError(t, err)
				require.False(t, isGoAway(f), "%v", f)
			}
			r.nc.SetReadDeadline(time.Now().Add(standin.WaitTimeout))
			held.finish("neighbour")
			assert.Equal(t, xhttp2.ErrCodeNo, r.readEnd(t, neighbour))
			r.readUntil(t, isGoAway)
			n.Eventually(func() bool { return n.HasLogged("reason=slow-input") })
		})
	}
}
