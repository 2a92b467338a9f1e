package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/standin"
	"cobaltflow/rules"
)

// Races with a connection to a worker that is established late: each dial is held until the other side of the race has
// acted, and then released.

// updateWorkerList sends the endpoints to the node as a worker list update, and waits until the node has applied it.
func updateWorkerList(n *standin.Node, endpoints ...map[string]any) {
	n.Discovery.SendLine(string(n.Discovery.EncodeList(false, endpoints...)))
	n.ClearLog()
	n.Discovery.SendLine("no list") // the node logs this line after it has applied the ones before
	n.Eventually(func() bool { return n.HasLogged("bad line kept out") })
}

// openRequests returns the number of requests that are not answered yet.
func openRequests(n *standin.Node) (open int) {
	n.RunOnLoop(func() { open = n.Core.OpenRequests() })
	return open
}

// eventuallyOnLoop waits for a condition that must be evaluated on the loop.
func eventuallyOnLoop(n *standin.Node, condition func() bool) {
	n.T.Helper()
	n.Eventually(func() (holds bool) {
		n.RunOnLoop(func() { holds = condition() })
		return holds
	})
}

// withField sets a field of a worker list entry.
func withField(entry map[string]any, key string, value any) map[string]any {
	entry[key] = value
	return entry
}

// A worker that drains, is removed, restarts or changes its address while it is being dialled gets nothing on that
// connection. The request was not sent yet, so it goes to another worker.
func TestWorkerThatChangesDuringDialGetsNothing(t *testing.T) {
	for _, class := range []string{"board-view", "settle"} {
		for name, change := range map[string]func(map[string]any) map[string]any{
			"draining":  func(e map[string]any) map[string]any { return withField(e, "status", "draining") },
			"removed":   func(e map[string]any) map[string]any { return withField(e, "status", "removed") },
			"restarted": func(e map[string]any) map[string]any { return withField(e, "since_ms", 1_700_000_000_000) },
			"moved":     func(e map[string]any) map[string]any { return withField(e, "address", "127.0.0.1:9") },
		} {
			t.Run(class+" "+name, func(t *testing.T) {
				a, b := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
				n := standin.Start(t, nil, a)
				b.SendCallbacksTo(n)
				connected, release := holdDials(n)
				got := submit(n, class, "id-1")
				require.Equal(t, a.Address(), receive(t, connected))
				updateWorkerList(n, change(a.ListEntry("up")), b.ListEntry("up"))
				release <- struct{}{}
				require.Equal(t, b.Address(), receive(t, connected))
				release <- struct{}{}
				assert.Equal(t, standin.Answer{Status: 200, Body: "s-2 did id-1"}, receive(t, got))
				assert.Empty(t, a.Jobs())
				assert.Len(t, b.Jobs(), 1)
			})
		}
	}
}

// scriptedWorker is a table worker that runs a function of the test on each connection and does nothing else. The
// connections stay open until the test ends.
type scriptedWorker struct {
	net.Listener
	name string
}

func newScriptedWorker(t *testing.T, name string, do func(c net.Conn, r *bufio.Reader)) *scriptedWorker {
	return newScriptedWorkerAt(t, "127.0.0.1:0", name, do)
}

func newScriptedWorkerAt(t *testing.T, address, name string, do func(c net.Conn, r *bufio.Reader)) *scriptedWorker {
	ln, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go do(c, bufio.NewReader(c))
		}
	}()
	return &scriptedWorker{ln, name}
}

func (s *scriptedWorker) entry(status string) map[string]any {
	return standin.ListEntry(s.name, s.Addr().String(), status)
}

// acceptJob reads a request, answers it 202, and returns its ID, or an empty string if there is no request.
func acceptJob(c net.Conn, r *bufio.Reader) (id string) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	io.Copy(io.Discard, request.Body)
	io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	return request.Header.Get(platform.HeaderID)
}

// startWithBrokenIdleConn starts a node with one worker and one idle connection to it, on which the next write fails
// immediately.
func startWithBrokenIdleConn(t *testing.T, change func(*config.Config)) (n *standin.Node, a *scriptedWorker, jobs chan string) {
	jobs = make(chan string, 16)
	a = newScriptedWorker(t, "s-1", func(c net.Conn, r *bufio.Reader) { jobs <- acceptJob(c, r) })
	n = standin.Start(t, change)
	updateWorkerList(n, a.entry("up"))
	got := submit(n, "move", "id-0")
	require.Equal(t, "id-0", receive(t, jobs))
	require.Equal(t, 204, standin.PostCallback(n.URL(platform.PathEvents), map[string]any{"id": "id-0", "from": "s-1", "state": "done"}))
	require.Equal(t, 200, receive(t, got).Status)
	eventuallyOnLoop(n, func() bool { return n.Front.IdleConns() == 1 })
	n.RunOnLoop(func() { n.Front.BreakIdleConns(t) })
	return n, a, jobs
}

// If an idle connection turns out to be closed, the request was certainly not sent and is dialled for a second time. A
// worker that drains during that dial gets nothing on it.
func TestWorkerThatDrainsDuringRedialGetsNothing(t *testing.T) {
	n, a, jobs := startWithBrokenIdleConn(t, nil)
	connected, release := holdDials(n)
	got := submit(n, "settle", "id-1")
	require.Equal(t, a.Addr().String(), receive(t, connected))
	n.Eventually(func() bool { return n.HasLogged("party=worker peer=" + a.Addr().String() + " reason=not-reading") }) // the idle connection has failed
	b := standin.NewWorker(t, "s-2", nil)
	b.SendCallbacksTo(n)
	updateWorkerList(n, a.entry("draining"), b.ListEntry("up"))
	release <- struct{}{}
	require.Equal(t, b.Address(), receive(t, connected))
	release <- struct{}{}
	assert.Equal(t, 200, receive(t, got).Status)
	assert.Empty(t, jobs)
	assert.Len(t, b.Jobs(), 1)
}

// A request that waits for its second connection has not been sent, although there was a first one. If its deadline
// passes meanwhile it never ran, and the client gets a refusal, after which a retry is safe.
func TestRequestWaitingForRedialIsRefusedAtDeadline(t *testing.T) {
	n, a, jobs := startWithBrokenIdleConn(t, nil)
	connected, release := holdDials(n)
	got := make(chan standin.Answer, 1)
	go func() { got <- n.SendRequest("settle", "k", "id-1", 500, "") }()
	receive(t, connected)
	n.Eventually(func() bool { return n.HasLogged("party=worker peer=" + a.Addr().String() + " reason=not-reading") }) // the idle connection has failed
	assert.Equal(t, 503, receive(t, got).Status)
	release <- struct{}{}
	eventuallyOnLoop(n, func() bool { return n.Front.PendingDials() == 0 })
	assert.Empty(t, jobs)
}

// A request whose client has disconnected is not sent when its dial succeeds, be it the first dial or the one for a second
// attempt, and whether attempts may be cancelled or not.
func TestCancelledRequestIsNotSentAfterDial(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for _, before := range []int{0, 1} {
			t.Run(fmt.Sprintf("cancel %v, after %d attempts", cancel, before), func(t *testing.T) {
				do := func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) { closeConn(w, id, rw, r) }
				a, b := standin.NewWorker(t, "s-1", do), standin.NewWorker(t, "s-2", do)
				n := standin.Start(t, func(c *config.Config) { c.Settings.MayCancel = cancel }, a, b)
				connected, release := holdDials(n)
				c := standin.Dial(t, n.Front.Address())
				c.Send("POST /board-view/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id-1\r\nX-Time-Left-Ms: " + longTimeLeft + "\r\n\r\n")
				for range before {
					receive(t, connected)
					release <- struct{}{}
				}
				receive(t, connected)
				c.Close()
				n.Eventually(func() bool { return openRequests(n) == 0 })
				release <- struct{}{}
				eventuallyOnLoop(n, func() bool { return n.Core.InFlightAttempts() == 0 && n.Front.PendingDials() == 0 })
				assert.Equal(t, before, len(a.Jobs())+len(b.Jobs()))
			})
		}
	}
}

// A request that waits for a worker, or for the response to a probe, is not sent if its client has disconnected by the time
// the worker is available or the response arrives.
func TestCancelledRequestIsNotSentAfterWait(t *testing.T) {
	sendAndDisconnect := func(n *standin.Node) {
		c := standin.Dial(t, n.Front.Address())
		c.Send("POST /board-view/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id-left\r\nX-Time-Left-Ms: " + longTimeLeft + "\r\n\r\n")
		n.Eventually(func() bool { return openRequests(n) == 1 })
		c.Close()
		n.Eventually(func() bool { return openRequests(n) == 0 })
	}
	t.Run("held", func(t *testing.T) {
		a := standin.NewWorker(t, "s-1", nil)
		n := standin.Start(t, nil)
		a.SendCallbacksTo(n)
		sendAndDisconnect(n)
		updateWorkerList(n, a.ListEntry("up"))
		require.Equal(t, 200, n.SendRequest("board-view", "k", "id-2", 5000, "").Status)
		assert.Len(t, a.Jobs(), 1, "only the request whose client stayed connected")
	})
	t.Run("probe", func(t *testing.T) {
		a := standin.NewWorker(t, "s-1", nil)
		n := standin.Start(t, func(c *config.Config) {
			c.Settings.MayProbe, c.Settings.LoadInProbes, c.Settings.ProbeCost = true, true, 0.0001
			c.Settings.Classes[0].LatencyTarget = 500_000_000 // requests wait for probes for a part of the latency target
		}, a)
		connected, release := holdDials(n)
		sendAndDisconnect(n)
		require.Equal(t, a.Address(), receive(t, connected), "the connection of the probe")
		release <- struct{}{}
		eventuallyOnLoop(n, func() bool { return n.Front.PendingDials() == 0 })
		got := submit(n, "move", "id-2")
		release <- struct{}{} // in case the request needs a second connection
		require.Equal(t, 200, receive(t, got).Status)
		assert.Len(t, a.Jobs(), 1, "only the request whose client stayed connected")
	})
}

// A by_key request is not retried once the window of its class is over by the time the retry's connection is established,
// since it might run a second time. The client gets a refusal only if all workers share the key, else a failure.
func TestNoRetryAfterByKeyWindow(t *testing.T) {
	const window = 400 * core.Millisecond
	for group, want := range map[rules.Group]int{rules.GroupAll: 503, rules.GroupZone: 500} {
		t.Run(fmt.Sprint("group ", group), func(t *testing.T) {
			var first atomic.Int64
			var n *standin.Node
			do := func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
				n.RunOnLoop(func() { first.CompareAndSwap(0, n.Loop.Now()) })
				closeConn(w, id, rw, r)
			}
			a, b := standin.NewWorker(t, "s-1", do), standin.NewWorker(t, "s-2", do)
			n = standin.Start(t, func(c *config.Config) {
				move := &c.Settings.Classes[1]
				move.Effect, move.Group, move.Window = rules.Keyed, group, window
			}, a, b)
			connected, release := holdDials(n)
			got := make(chan standin.Answer, 1)
			go func() { got <- n.SendRequest("move", "k", "id-1", 3_600_000, "") }() // answered long before this limit
			receive(t, connected)
			release <- struct{}{}
			receive(t, connected) // the connection of the retry
			eventuallyOnLoop(n, func() bool { return n.Loop.Now() > first.Load()+window })
			release <- struct{}{}
			assert.Equal(t, want, receive(t, got).Status, "the request may not be sent any more")
			assert.Equal(t, 1, len(a.Jobs())+len(b.Jobs()))
		})
	}
}

// receive waits for a value from a channel, and fails the test if none comes within standin.WaitTimeout.
func receive[T any](t *testing.T, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(standin.WaitTimeout):
		t.Fatal("no value was received in time")
	}
	return v
}

// holdDials is Front.HoldDials, run on the loop.
func holdDials(n *standin.Node) (connected chan string, release chan struct{}) {
	n.RunOnLoop(func() { connected, release = n.Front.HoldDials(n.T) })
	return connected, release
}

// submit sends a request with a time limit of 9 s, and returns the channel of its answer.
func submit(n *standin.Node, class, id string) chan standin.Answer {
	got := make(chan standin.Answer, 1)
	go func() { got <- n.SendRequest(class, "k", id, 9000, "") }()
	return got
}
