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

// A client of the HTTP/2 front that leaves its request, at each stage: no attempt begins behind it, on the connections
// to the workers that this package holds up.

// leftBehind is the time that a request has, in milliseconds, whose client leaves: it is not over while a test waits.
const longTimeLeft = "60000"

// leaver is a client with one request on a connection of its own.
type cancellableRequest struct {
	reset func() // resets the request's stream
	conn  net.Conn
}

// leaving are the ways in which a client leaves a request.
var disconnects = map[string]func(l cancellableRequest){
	"reset":      func(l cancellableRequest) { l.reset() },
	"connection": func(l cancellableRequest) { l.conn.Close() },
}

func startHTTP2(t *testing.T, change func(*config.Config), workers ...*standin.Worker) *standin.Node {
	return standin.Start(t, func(c *config.Config) {
		c.HTTP2.Listen = "127.0.0.1:0"
		if change != nil {
			change(c)
		}
	}, workers...)
}

func newHTTP2Client(t *testing.T, dialled chan<- net.Conn) *http.Client {
	var clearText http.Protocols
	clearText.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &clearText, DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
		c, err := net.Dial(network, address)
		if err == nil && dialled != nil {
			dialled <- c
		}
		return c, err
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: standin.Patience}
}

// askHTTP2 sends a request that its client will leave.
func submitHTTP2(n *standin.Node, class, id string) cancellableRequest {
	ctx, reset := context.WithCancel(context.Background())
	n.T.Cleanup(reset)
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+n.HTTP2.Address()+"/"+class+"/k", nil)
	require.NoError(n.T, err)
	q.Header.Set(platform.HeaderID, id)
	q.Header.Set(platform.HeaderTimeLeft, longTimeLeft)
	dialled := make(chan net.Conn, 1)
	client := newHTTP2Client(n.T, dialled)
	go func() {
		if r, err := client.Do(q); err == nil {
			r.Body.Close()
		}
	}()
	return cancellableRequest{reset, receive(n.T, dialled)}
}

// ends waits until a job stands in the books as ended, and gives its state.
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

// What waits, since no worker may be sent it or for the answer of a probe, is not sent on behind a client that left.
func TestWhatAnHTTP2ClientLeftWhileItWaitedIsNotSentOn(t *testing.T) {
	for way, leave := range disconnects {
		for _, class := range []string{"board-view", "settle"} {
			t.Run(fmt.Sprintf("held, %s, %s", class, way), func(t *testing.T) {
				t.Parallel()
				a := standin.NewWorker(t, "s-1", nil)
				n := startHTTP2(t, nil)
				a.BackTo(n)
				l := submitHTTP2(n, class, "id-left")
				n.Eventually(func() bool { return openRequests(n) == 1 })
				leave(l)
				n.Eventually(func() bool { return openRequests(n) == 0 })
				updateWorkerList(n, a.Entry("up"))
				require.Equal(t, 200, n.Ask("board-view", "k", "id-2", 5000, "").Status)
				assert.Len(t, a.Jobs(), 1, "of the one that stayed")
				assert.Equal(t, "refused", awaitEnd(n, "id-left"))
			})
			t.Run(fmt.Sprintf("probe, %s, %s", class, way), func(t *testing.T) {
				t.Parallel()
				a := standin.NewWorker(t, "s-1", nil)
				n := startHTTP2(t, func(c *config.Config) {
					c.Settings.MayProbe, c.Settings.LoadInProbes, c.Settings.ProbeCost = true, true, 0.0001
					for i := range c.Settings.Classes { // a request waits for probes for a part of it
						c.Settings.Classes[i].LatencyTarget = 500_000_000
					}
				}, a)
				up, letGo := holdDials(n)
				l := submitHTTP2(n, class, "id-left")
				require.Equal(t, a.Address(), receive(t, up), "the probe's")
				leave(l)
				n.Eventually(func() bool { return openRequests(n) == 0 })
				letGo <- struct{}{}
				eventuallyOnLoop(n, func() bool { return n.Front.PendingDials() == 0 })
				letGo <- struct{}{} // should the next need a connection of its own
				require.Equal(t, 200, n.Ask("move", "k", "id-2", 5000, "").Status)
				assert.Len(t, a.Jobs(), 1, "of the one that stayed")
			})
		}
	}
}

// unprocessed answers that a request was not begun.
func answerUnprocessed(rw http.ResponseWriter) {
	rw.Header().Set(platform.HeaderUnprocessed, "1")
	rw.WriteHeader(503)
}

// Nor is what is being dialled, for the first time or between two attempts, whatever its class.
func TestWhatAnHTTP2ClientLeftWhileItWasDialledIsNotSentOn(t *testing.T) {
	refuse := func(_ *standin.Worker, _ string, rw http.ResponseWriter, _ *http.Request) { answerUnprocessed(rw) }
	for way, leave := range disconnects {
		for _, class := range []string{"board-view", "settle"} {
			for _, before := range []int{0, 1} {
				t.Run(fmt.Sprintf("%s, %s, after %d attempts", way, class, before), func(t *testing.T) {
					t.Parallel()
					a, b := standin.NewWorker(t, "s-1", refuse), standin.NewWorker(t, "s-2", refuse)
					n := startHTTP2(t, nil, a, b)
					up, letGo := holdDials(n)
					l := submitHTTP2(n, class, "id-1")
					for range before {
						receive(t, up)
						letGo <- struct{}{}
					}
					receive(t, up)
					leave(l)
					n.Eventually(func() bool { return openRequests(n) == 0 })
					letGo <- struct{}{}
					eventuallyOnLoop(n, func() bool { return n.Core.InFlightAttempts() == 0 && n.Front.PendingDials() == 0 })
					assert.Equal(t, before, len(a.Jobs())+len(b.Jobs()))
					assert.Equal(t, "refused", awaitEnd(n, "id-1"))
				})
			}
		}
	}
}

// A job that must not run twice goes on at its worker when its client leaves, and no further: where the worker says then
// that it was not begun, or its connection breaks, it goes to no other, and its end can be looked up.
func TestAJobThatGoesOnWithoutItsClientGoesNowhereElse(t *testing.T) {
	for end, want := range map[string]string{"not begun": "refused", "reset": "failed"} {
		for way, leave := range disconnects {
			t.Run(end+", "+way, func(t *testing.T) {
				t.Parallel()
				read, goOn := make(chan string, 4), make(chan struct{})
				hesitate := func(_ *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
					read <- id
					<-goOn
					if end == "reset" {
						closeConn(nil, id, rw, r)
						return
					}
					answerUnprocessed(rw)
				}
				a, b := standin.NewWorker(t, "s-1", hesitate), standin.NewWorker(t, "s-2", hesitate)
				n := startHTTP2(t, nil, a, b)
				answer := sync.OnceFunc(func() { close(goOn) })
				t.Cleanup(answer) // or the workers' servers wait for it
				l := submitHTTP2(n, "settle", "id-1")
				receive(t, read)
				leave(l)
				n.Eventually(func() bool { return n.Logged("party=h2-agent") || streamResets(n) == 1 })
				require.Equal(t, 1, openRequests(n), "it may run")
				answer()
				assert.Equal(t, want, awaitEnd(n, "id-1"))
				eventuallyOnLoop(n, func() bool { return n.Core.InFlightAttempts() == 0 })
				assert.Equal(t, 1, len(a.Jobs())+len(b.Jobs()))
			})
		}
	}
}

func streamResets(n *standin.Node) (resets uint64) {
	n.On(func() { resets = n.HTTP2.Figures.Resets })
	return resets
}
