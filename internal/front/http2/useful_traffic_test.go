package http2_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

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
		d, isData := f.(*xhttp2.DataFrame)
		return isData && d.StreamID == stream && d.StreamEnded()
	})
	r.WriteWindowUpdate(0, 16)
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
