package http2_test

import (
	"net/http"
	"strings"
	"testing"

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
