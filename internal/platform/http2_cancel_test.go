package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/standin"
)

// A client of the HTTP/2 front cancels its request at each stage. No attempt begins after that, also on a connection to a
// worker whose dial was held back meanwhile.

// longTimeLeft is the time limit in milliseconds of a request that its client cancels. It does not expire while a test waits.
const longTimeLeft = "60000"

// cancellableRequest is a request on a connection of its own.
type cancellableRequest struct {
	reset func() // resets the request's stream
	conn  net.Conn
}

// disconnects are the ways in which a client cancels a request.
var disconnects = map[string]func(r cancellableRequest){
	"reset":      func(r cancellableRequest) { r.reset() },
	"connection": func(r cancellableRequest) { r.conn.Close() },
}

// startHTTP2 starts a node with the HTTP/2 front open.
func startHTTP2(t *testing.T, change func(*config.Config), workers ...*standin.Worker) *standin.Node {
	return standin.Start(t, func(c *config.Config) {
		c.HTTP2.Listen = "127.0.0.1:0"
		if change != nil {
			change(c)
		}
	}, workers...)
}

// newHTTP2Client returns a client for HTTP/2 without TLS, which sends its connections on dialled unless that is nil.
func newHTTP2Client(t *testing.T, dialled chan<- net.Conn) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols, DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
		c, err := net.Dial(network, address)
		if err == nil && dialled != nil {
			dialled <- c
		}
		return c, err
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: standin.WaitTimeout}
}

// submitHTTP2 sends a request that its client will cancel.
func submitHTTP2(n *standin.Node, class, id string) cancellableRequest {
	ctx, reset := context.WithCancel(context.Background())
	n.T.Cleanup(reset)
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+n.HTTP2.Address()+"/"+class+"/k", nil)
	require.NoError(n.T, err)
	request.Header.Set(platform.HeaderID, id)
	request.Header.Set(platform.HeaderTimeLeft, longTimeLeft)
	dialled := make(chan net.Conn, 1)
	client := newHTTP2Client(n.T, dialled)
	go func() {
		if r, err := client.Do(request); err == nil {
			r.Body.Close()
		}
	}()
	return cancellableRequest{reset, receive(n.T, dialled)}
}

// awaitEnd waits until the ledger has the job as ended, and returns its state.
func awaitEnd(n *standin.Node, id string) (state string) {
	client := newHTTP2Client(n.T, nil)
	n.Eventually(func() bool {
		r, err := client.Get("http://" + n.HTTP2.Address() + "/jobs/" + id)
		if err != nil {
			return false
		}
		defer r.Body.Close()
		var job struct{ State string }
		if json.NewDecoder(r.Body).Decode(&job) != nil {
			return false
		}
		state = job.State
		return state != "open"
	})
	return state
}

// A request that waits for a worker, or for the response to a probe, is not sent after its client has cancelled it.
func TestCancelledHTTP2RequestIsNotSentAfterWait(t *testing.T) {
	for way, disconnect := range disconnects {
		for _, class := range []string{"board-view", "settle"} {
			t.Run(fmt.Sprintf("waiting, %s, %s", class, way), func(t *testing.T) {
				t.Parallel()
				a := standin.NewWorker(t, "s-1", nil)
				n := startHTTP2(t, nil)
				a.SendCallbacksTo(n)
				cancelled := submitHTTP2(n, class, "id-left")
				n.Eventually(func() bool { return openRequests(n) == 1 })
				disconnect(cancelled)
				n.Eventually(func() bool { return openRequests(n) == 0 })
				updateWorkerList(n, a.ListEntry("up"))
				require.Equal(t, 200, n.SendRequest("board-view", "k", "id-2", 5000, "").Status)
				assert.Len(t, a.Jobs(), 1, "only the request whose client stayed connected")
				assert.Equal(t, "refused", awaitEnd(n, "id-left"))
			})
			t.Run(fmt.Sprintf("probe, %s, %s", class, way), func(t *testing.T) {
				t.Parallel()
				a := standin.NewWorker(t, "s-1", nil)
				n := startHTTP2(t, func(c *config.Config) {
					c.Settings.MayProbe, c.Settings.LoadInProbes, c.Settings.ProbeCost = true, true, 0.0001
					for i := range c.Settings.Classes { // requests wait for probes for a part of the latency target
						c.Settings.Classes[i].LatencyTarget = 500_000_000
					}
				}, a)
				connected, release := holdDials(n)
				cancelled := submitHTTP2(n, class, "id-left")
				require.Equal(t, a.Address(), receive(t, connected), "the connection of the probe")
				disconnect(cancelled)
				n.Eventually(func() bool { return openRequests(n) == 0 })
				release <- struct{}{}
				eventuallyOnLoop(n, func() bool { return n.Front.PendingDials() == 0 })
				release <- struct{}{} // in case the next request needs a second connection
				require.Equal(t, 200, n.SendRequest("move", "k", "id-2", 5000, "").Status)
				assert.Len(t, a.Jobs(), 1, "only the request whose client stayed connected")
			})
		}
	}
}

// answerUnprocessed answers that the request was not begun.
func answerUnprocessed(rw http.ResponseWriter) {
	rw.Header().Set(platform.HeaderUnprocessed, "1")
	rw.WriteHeader(503)
}

// A request of any class is not sent when its dial succeeds after its client has cancelled it, be it the first dial or the
// one for a second attempt.
func TestCancelledHTTP2RequestIsNotSentAfterDial(t *testing.T) {
	refuse := func(_ *standin.Worker, _ string, rw http.ResponseWriter, _ *http.Request) { answerUnprocessed(rw) }
	for way, disconnect := range disconnects {
		for _, class := range []string{"board-view", "settle"} {
			for _, before := range []int{0, 1} {
				t.Run(fmt.Sprintf("%s, %s, after %d attempts", way, class, before), func(t *testing.T) {
					t.Parallel()
					a, b := standin.NewWorker(t, "s-1", refuse), standin.NewWorker(t, "s-2", refuse)
					n := startHTTP2(t, nil, a, b)
					connected, release := holdDials(n)
					cancelled := submitHTTP2(n, class, "id-1")
					for range before {
						receive(t, connected)
						release <- struct{}{}
					}
					receive(t, connected)
					disconnect(cancelled)
					n.Eventually(func() bool { return openRequests(n) == 0 })
					release <- struct{}{}
					eventuallyOnLoop(n, func() bool { return n.Core.InFlightAttempts() == 0 && n.Front.PendingDials() == 0 })
					assert.Equal(t, before, len(a.Jobs())+len(b.Jobs()))
					assert.Equal(t, "refused", awaitEnd(n, "id-1"))
				})
			}
		}
	}
}

// A job that must not run twice continues at its worker when its client disconnects, but is not retried: if the worker then
// answers that it was not begun, or the connection breaks, it is sent to no other worker, and its end can be looked up.
func TestDetachedHTTP2JobIsNotRetried(t *testing.T) {
	for end, want := range map[string]string{"not begun": "refused", "reset": "failed"} {
		for way, disconnect := range disconnects {
			t.Run(end+", "+way, func(t *testing.T) {
				t.Parallel()
				read, proceed := make(chan string, 4), make(chan struct{})
				respondLate := func(_ *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
					read <- id
					<-proceed
					if end == "reset" {
						closeConn(nil, id, rw, r)
						return
					}
					answerUnprocessed(rw)
				}
				a, b := standin.NewWorker(t, "s-1", respondLate), standin.NewWorker(t, "s-2", respondLate)
				n := startHTTP2(t, nil, a, b)
				answer := sync.OnceFunc(func() { close(proceed) })
				t.Cleanup(answer) // else the workers' servers wait for it at the end of the test
				cancelled := submitHTTP2(n, "settle", "id-1")
				receive(t, read)
				disconnect(cancelled)
				n.Eventually(func() bool { return n.HasLogged("party=h2-agent") || streamResets(n) == 1 })
				require.Equal(t, 1, openRequests(n), "the job may run")
				answer()
				assert.Equal(t, want, awaitEnd(n, "id-1"))
				eventuallyOnLoop(n, func() bool { return n.Core.InFlightAttempts() == 0 })
				assert.Equal(t, 1, len(a.Jobs())+len(b.Jobs()))
			})
		}
	}
}

// streamResets returns the number of streams that clients have reset.
func streamResets(n *standin.Node) (resets uint64) {
	n.RunOnLoop(func() { resets = n.HTTP2.Stats.Resets })
	return resets
}
