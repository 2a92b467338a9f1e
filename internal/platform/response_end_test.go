package platform_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/platform"
	"cobaltflow/internal/standin"
)

// Guards against an answer of a worker that is taken for a broken connection, because its body ends with the connection: the job
// ran a second time beside its first attempt, was answered 500 where it may not run twice, or was not sent on when it was refused.
func TestResponseIsTakenWhereTheWorkerEndsTheConnectionBehindIt(t *testing.T) {
	const (
		accepted = "HTTP/1.1 202 Accepted\r\n\r\n"
		refused  = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nX-Unprocessed: 1\r\n\r\nbusy"
	)
	for name, c := range map[string]struct {
		class     string
		response  string
		reset     bool // the worker breaks the connection behind the response
		isOnOther bool // the job goes to the other worker
		status    int
	}{
		"accepted, may be repeated":             {"board-view", accepted, false, false, 200},
		"accepted with a body":                  {"board-view", accepted + "taken", false, false, 200},
		"accepted, HTTP/1.0":                    {"settle", "HTTP/1.0 202 Accepted\r\n\r\n", false, false, 200},
		"accepted, must not run twice":          {"settle", accepted, false, false, 200},
		"refused":                               {"settle", refused, false, true, 200},
		"refused, and the connection is broken": {"settle", refused, true, false, 500},
		"refused, and cut in the head":          {"settle", refused[:60], false, false, 500},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			jobs, respond := make(chan string, 8), make(chan struct{})
			a := newScriptedWorker(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				jobs <- request.Header.Get(platform.HeaderID)
				<-respond
				io.WriteString(conn, c.response)
				if c.reset {
					conn.(*net.TCPConn).SetLinger(0)
				}
				conn.Close()
			})
			b := standin.NewWorker(t, "s-2", nil)
			n := standin.Start(t, nil)
			b.SendCallbacksTo(n)
			updateWorkerList(n, a.entry("up"))
			answer := submit(n, c.class, "id-1")
			require.Equal(t, "id-1", receive(t, jobs))
			updateWorkerList(n, a.entry("up"), b.ListEntry("up"))
			close(respond)
			n.Eventually(func() bool { return n.HasLogged("party=worker peer=" + a.Addr().String()) })
			if c.status == 200 && !c.isOnOther {
				require.Equal(t, 204, standin.PostCallback(n.URL(platform.PathEvents), map[string]any{"id": "id-1", "from": "s-1", "state": "done", "result": "r"}))
			}
			assert.Equal(t, c.status, receive(t, answer).Status)
			assert.Equal(t, c.isOnOther, len(b.Jobs()) == 1, "attempts at the other worker")
			assert.Empty(t, jobs, "no further attempt at the first one")
		})
	}
}
