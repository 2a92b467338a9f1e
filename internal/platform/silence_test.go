package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// Tests with a discovery server that falls silent, at each stage of a watch, and with an outdated list at the start. A
// scheduler counts as informed of a change after a fixed time, whether the change has reached it or not.

// fakeDiscovery is a discovery server that hands each call to the test, which answers it.
type fakeDiscovery struct {
	net.Listener
	calls chan discoveryCall
}

// discoveryCall is a call with the connection for its answer.
type discoveryCall struct {
	net.Conn
	target string
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery { return newFakeDiscoveryAt(t, "127.0.0.1:0") }

// newFakeDiscoveryAt starts a fakeDiscovery that listens at address.
func newFakeDiscoveryAt(t *testing.T, address string) *fakeDiscovery {
	d := &fakeDiscovery{calls: make(chan discoveryCall, 64)}
	d.Listener = newScriptedWorkerAt(t, address, "", func(c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			d.calls <- discoveryCall{c, q.URL.RequestURI()}
		}
	}).Listener
	return d
}

// sendFullList answers a request for the full list, or begins a watch with it.
func (c discoveryCall) sendFullList(list []byte) {
	if c.target == "/api/targets" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		return
	}
	c.sendHead()
	c.sendChunk(string(list) + "\n")
}

// sendHead begins a chunked answer.
func (c discoveryCall) sendHead() {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// sendChunk sends text as one chunk.
func (c discoveryCall) sendChunk(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// A process starts with a list that may be outdated, but counts as informed of what its local discovery server holds. So
// it must not be ready before it has that list, and must send nothing to a worker that is draining in it.
func TestStartWaitsForLocalDiscovery(t *testing.T) {
	server := newFakeDiscovery(t)
	a, b := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
	n := standin.Start(t, func(c *config.Config) { c.DiscoveryIsLocal, c.Discovery = true, server.Addr().String() }, a)
	b.SendCallbacksTo(n)
	first := receive(t, server.calls)
	require.Equal(t, "/api/targets", first.target, "the full list: a watch sends nothing if nothing has changed")
	assert.False(t, isReady(n), "the discovery server has not answered")
	first.sendFullList(n.Discovery.EncodeList(true, a.ListEntry("draining"), b.ListEntry("up")))
	n.Eventually(func() bool { return isReady(n) })
	for i := range 4 {
		require.Equal(t, 200, n.SendRequest("board-view", fmt.Sprint("k", i), fmt.Sprint("id-", i), 5000, "").Status)
	}
	assert.Empty(t, a.Jobs())
}

// The discovery server may be down for seconds: a process must become ready with the list that it was started with.
func TestSilentDiscoveryDoesNotBlockReadiness(t *testing.T) {
	server := newFakeDiscovery(t)
	a := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, func(c *config.Config) { c.DiscoveryIsLocal, c.Discovery = true, server.Addr().String() }, a)
	n.Eventually(func() bool { return isReady(n) })
	assert.Equal(t, 200, n.SendRequest("board-view", "k", "id-1", 5000, "").Status)
}

// isReady reports the answer of the readiness check.
func isReady(n *standin.Node) bool {
	r, err := http.Get(n.URL("/-/ready"))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

// At whatever stage a watch falls silent, it must be reopened before the scheduler counts as informed of what it missed:
// within 6 s of the last byte, also with three hundred schedulers, and within the drain grace if a local discovery
// server does not answer at all. Once the new watch has reported that a worker is draining, no job is sent to it.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	const head = "the response head"
	for stage, sendLast := range map[string]func(c discoveryCall, list []byte){
		"the request": func(discoveryCall, []byte) {},
		head:          func(c discoveryCall, _ []byte) { c.sendHead() },
		"a list":      func(c discoveryCall, list []byte) { c.sendFullList(list) },
		"half a line": func(c discoveryCall, list []byte) { c.sendHead(); c.sendChunk(string(list[:len(list)/2])) },
		"half a list": func(c discoveryCall, _ []byte) { c.sendHead(); c.sendChunk("{\n  \"index\": 9,\n") },
		"a reset":     func(c discoveryCall, _ []byte) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
	} {
		for _, pushed := range []bool{false, true} {
			t.Run(fmt.Sprintf("after %s, pushed %v", stage, pushed), func(t *testing.T) {
				t.Parallel()
				d := newFakeDiscovery(t)
				a, b := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
				n := standin.Start(t, func(c *config.Config) {
					c.DiscoveryIsLocal, c.Discovery, c.Settings.GroupSize = pushed, d.Addr().String(), 300
				}, a)
				b.SendCallbacksTo(n)
				first := receive(t, d.calls)
				if pushed { // the watch call follows on the same connection
					first.sendFullList(n.Discovery.EncodeList(true, a.ListEntry("up")))
					first = receive(t, d.calls)
				}
				since := time.Now()
				sendLast(first, n.Discovery.EncodeList(true, a.ListEntry("up")))
				second := receive(t, d.calls)
				elapsed := time.Since(since)
				if stage == "the request" && pushed {
					assert.Less(t, elapsed, time.Duration(n.Conf.Settings.DrainGrace)*time.Microsecond)
				}
				assert.Less(t, elapsed, 6*time.Second)
				second.sendFullList(n.Discovery.EncodeList(true, a.ListEntry("draining"), b.ListEntry("up")))
				n.Eventually(hasWorkers(n, 2))
				for i := range 4 {
					require.Equal(t, 200, n.SendRequest("board-view", fmt.Sprint("k", i), fmt.Sprint("id-", i), 5000, "").Status)
				}
				assert.Empty(t, a.Jobs())
			})
		}
	}
}

// A worker that was removed and is listed again gets jobs again, at its new address.
func TestRelistedWorkerGetsJobsAtNewAddress(t *testing.T) {
	a, b := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, a)
	b.SendCallbacksTo(n)
	require.Equal(t, 200, n.SendRequest("move", "k", "id-1", 5000, "").Status)
	updateWorkerList(n, a.ListEntry("removed"))
	got := submit(n, "move", "id-2")
	n.Eventually(func() bool { return openRequests(n) == 1 })
	updateWorkerList(n, b.ListEntry("up"))
	assert.Equal(t, 200, receive(t, got).Status)
	assert.Len(t, a.Jobs(), 1)
	assert.Len(t, b.Jobs(), 1)
}

// The platform may kill a process soon after SIGTERM if the longest deadline is short. Open requests must be answered
// before that.
func TestOpenRequestsAreAnsweredBeforeEarlyKill(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, func(c *config.Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline = 1_200_000
		}
	}, w)
	got := make(chan standin.Answer, 1)
	go func() { got <- n.SendRequest("move", "k", "id-1", 60_000, "") }()
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	n.RunOnLoop(func() { n.Front.StopSince(n.Loop.Now()-1_800_000, func() {}) }) // 1.8 s ago; the kill comes 1.9 s after SIGTERM at the earliest
	assert.Zero(t, openRequests(n), "answered in the same turn")
	assert.Equal(t, 500, receive(t, got).Status, "the job may have run")
}
