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

// Discovery that falls silent, at each instant of a watch, and a start with a list that is old: what it would have told
// counts as told all the same, by the clock of the test.

// discovery takes calls and answers none by itself.
type fakeDiscovery struct {
	net.Listener
	calls chan discoveryCall
}

type discoveryCall struct {
	net.Conn
	target string
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery { return newFakeDiscoveryAt(t, "127.0.0.1:0") }

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

// whole answers a call for the whole list, or begins a watch with it.
func (c discoveryCall) sendFullList(list []byte) {
	if c.target == "/api/targets" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		return
	}
	c.sendHead()
	c.sendChunk(string(list) + "\n")
}

func (c discoveryCall) sendHead() {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func (c discoveryCall) sendChunk(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// A process starts with the list that was known when it was set up. What its agent holds counts as told from the first
// moment: it says that it is ready when it has that, and sends nothing to a worker that was leaving by then.
func TestAStartWithAnOldListWaitsForTheAgent(t *testing.T) {
	agent := newFakeDiscovery(t)
	a, b := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
	n := standin.Start(t, func(c *config.Config) { c.Pushed, c.Discovery = true, agent.Addr().String() }, a)
	b.BackTo(n)
	asked := receive(t, agent.calls)
	require.Equal(t, "/api/targets", asked.target, "whole: a watch says nothing where nothing changed")
	assert.False(t, isReady(n), "the agent has not answered")
	asked.sendFullList(n.Farm.Tell(true, a.Entry("draining"), b.Entry("up")))
	n.Eventually(func() bool { return isReady(n) })
	for i := range 4 {
		require.Equal(t, 200, n.Ask("board-view", fmt.Sprint("k", i), fmt.Sprint("id-", i), 5000, "").Status)
	}
	assert.Empty(t, a.Jobs())
}

// Discovery may be down for seconds: a process is ready all the same, with the list that it was given.
func TestASilentAgentDoesNotHoldReadinessUp(t *testing.T) {
	agent := newFakeDiscovery(t)
	a := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, func(c *config.Config) { c.Pushed, c.Discovery = true, agent.Addr().String() }, a)
	n.Eventually(func() bool { return isReady(n) })
	assert.Equal(t, 200, n.Ask("board-view", "k", "id-1", 5000, "").Status)
}

func isReady(n *standin.Node) bool {
	r, err := http.Get(n.URL("/-/ready"))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

// Wherever a watch falls silent it is opened anew, by one of three hundred schedulers too, before what it missed counts
// as told: 6 s after its last byte, and for an agent that gives no answer at all within the grace. Nothing is sent to
// the worker that has left meanwhile once the new watch has told of it.
func TestAWatchThatFallsSilentIsOpenedAnewInTime(t *testing.T) {
	const head = "its head"
	for silent, last := range map[string]func(c discoveryCall, list []byte){
		"the start":   func(discoveryCall, []byte) {},
		head:          func(c discoveryCall, _ []byte) { c.sendHead() },
		"a list":      func(c discoveryCall, list []byte) { c.sendFullList(list) },
		"half a line": func(c discoveryCall, list []byte) { c.sendHead(); c.sendChunk(string(list[:len(list)/2])) },
		"half a list": func(c discoveryCall, _ []byte) { c.sendHead(); c.sendChunk("{\n  \"index\": 9,\n") },
		"a reset":     func(c discoveryCall, _ []byte) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
	} {
		for _, pushed := range []bool{false, true} {
			t.Run(fmt.Sprintf("after %s, pushed %v", silent, pushed), func(t *testing.T) {
				t.Parallel()
				d := newFakeDiscovery(t)
				a, b := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
				n := standin.Start(t, func(c *config.Config) {
					c.Pushed, c.Discovery, c.Settings.GroupSize = pushed, d.Addr().String(), 300
				}, a)
				b.BackTo(n)
				first := receive(t, d.calls)
				if pushed { // the watch follows on the same connection
					first.sendFullList(n.Farm.Tell(true, a.Entry("up")))
					first = receive(t, d.calls)
				}
				since := time.Now()
				last(first, n.Farm.Tell(true, a.Entry("up")))
				second := receive(t, d.calls)
				took := time.Since(since)
				if silent == "the start" && pushed {
					assert.Less(t, took, time.Duration(n.Conf.Settings.DrainGrace)*time.Microsecond)
				}
				assert.Less(t, took, 6*time.Second)
				second.sendFullList(n.Farm.Tell(true, a.Entry("draining"), b.Entry("up")))
				n.Eventually(hasWorkers(n, 2))
				for i := range 4 {
					require.Equal(t, 200, n.Ask("board-view", fmt.Sprint("k", i), fmt.Sprint("id-", i), 5000, "").Status)
				}
				assert.Empty(t, a.Jobs())
			})
		}
	}
}

// A worker that was removed and is listed again is asked again, by its new address.
func TestAWorkerThatIsListedAgainIsAskedAgain(t *testing.T) {
	a, b := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, a)
	b.BackTo(n)
	require.Equal(t, 200, n.Ask("move", "k", "id-1", 5000, "").Status)
	updateWorkerList(n, a.Entry("removed"))
	got := submit(n, "move", "id-2")
	n.Eventually(func() bool { return openRequests(n) == 1 })
	updateWorkerList(n, b.Entry("up"))
	assert.Equal(t, 200, receive(t, got).Status)
	assert.Len(t, a.Jobs(), 1)
	assert.Len(t, b.Jobs(), 1)
}

// A process that the platform may kill soon answers what is open before: where the longest deadline is short, so is its time.
func TestWhatIsOpenIsAnsweredBeforeAnEarlyKill(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, func(c *config.Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline = 1_200_000
		}
	}, w)
	got := make(chan standin.Answer, 1)
	go func() { got <- n.Ask("move", "k", "id-1", 60_000, "") }()
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	n.On(func() { n.Front.StopSince(n.Loop.Now()-1_800_000, func() {}) }) // killed 1.9 s after SIGTERM at the earliest
	assert.Zero(t, openRequests(n), "given up in the same turn")
	assert.Equal(t, 500, receive(t, got).Status, "it may have run")
}
