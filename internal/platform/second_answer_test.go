package platform_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/standin"
)

// Guards against a second answer to a probe, some milliseconds late, that is read as the answer to the attempt which follows on
// the connection: the attempt counted as ended while it ran, so that it was answered as failed or sent out again.
func TestSecondAnswerToAProbeIsNotTheAttempts(t *testing.T) {
	const acceptedAfter = 100 * time.Millisecond // later than a second answer may come
	for _, class := range []string{"settle", "board-view"} {
		t.Run(class, func(t *testing.T) {
			do := func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
				if id == "id-first" {
					standin.CompleteJob(w, id, rw, r)
					return
				}
				nc, _, err := rw.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(acceptedAfter)
				io.WriteString(nc, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
				w.SendCallback(id, "done", map[string]any{"result": "done once"})
			}
			w := standin.NewWorker(t, "s-1", do)
			n := standin.Start(t, nil, w)
			require.Equal(t, 200, n.SendRequest(class, "k", "id-first", 4000, "x").Status)
			eventuallyOnLoop(n, func() bool { return n.Front.IdleConns() == 1 })
			n.RunOnLoop(n.Front.MarkIdleConnsJustUsed)
			assert.Equal(t, standin.Answer{Status: 200, Body: "done once"}, n.SendRequest(class, "k", "id-next", 4000, "x"))
			assert.Len(t, w.Jobs(), 2, "sent once each")
		})
	}
}
