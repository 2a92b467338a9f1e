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

// Crossings at a connection that comes up late: it is held until the other side has acted, then let go.

// told has the node hear of the endpoints, and waits until it has.
func updateWorkerList(n *standin.Node, endpoints ...map[string]any) {
	n.Farm.Say(string(n.Farm.Tell(false, endpoints...)))
	n.ClearLog()
	n.Farm.Say("no list") // logged after what came before has been taken
	n.Eventually(func() bool { return n.Logged("bad line kept out") })
}

func openRequests(n *standin.Node) (open int) {
	n.On(func() { open = n.Core.OpenRequests() })
	return open
}

// onLoop waits for a condition that only the loop may look at.
func eventuallyOnLoop(n *standin.Node, is func() bool) {
	n.T.Helper()
	n.Eventually(func() (yes bool) {
		n.On(func() { yes = is() })
		return yes
	})
}

func withField(entry map[string]any, key string, value any) map[string]any {
	entry[key] = value
	return entry
}

// The first byte counts: a worker that is told of as leaving, as another process or at another address while the dial
// is under way gets nothing on it, and the request goes elsewhere, since it never left.
func TestNothingIsWrittenToAWorkerThatLeftWhileDialled(t *testing.T) {
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
				b.BackTo(n)
				up, letGo := holdDials(n)
				got := submit(n, class, "id-1")
				require.Equal(t, a.Address(), receive(t, up))
				updateWorkerList(n, change(a.Entry("up")), b.Entry("up"))
				letGo <- struct{}{}
				require.Equal(t, b.Address(), receive(t, up))
				letGo <- struct{}{}
				assert.Equal(t, standin.Answer{Status: 200, Body: "s-2 did id-1"}, receive(t, got))
				assert.Empty(t, a.Jobs())
				assert.Len(t, b.Jobs(), 1)
			})
		}
	}
}

// scripted is a table worker that does on each connection what a test says, and nothing else: the connection stays
// open until the test ends.
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
	return standin.Entry(s.name, s.Addr().String(), status)
}

// took reads a request and answers that it was taken.
func acceptJob(c net.Conn, r *bufio.Reader) (id string) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	io.Copy(io.Discard, q.Body)
	io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	return q.Header.Get(platform.HeaderID)
}

// kept has a node with one worker and one kept connection to it, on which the next write fails in the call itself.
func startWithBrokenIdleConn(t *testing.T, change func(*config.Config)) (n *standin.Node, a *scriptedWorker, jobs chan string) {
	jobs = make(chan string, 16)
	a = newScriptedWorker(t, "s-1", func(c net.Conn, r *bufio.Reader) { jobs <- acceptJob(c, r) })
	n = standin.Start(t, change)
	updateWorkerList(n, a.entry("up"))
	got := submit(n, "move", "id-0")
	require.Equal(t, "id-0", receive(t, jobs))
	require.Equal(t, 204, standin.Event(n.URL(platform.PathEvents), map[string]any{"id": "id-0", "from": "s-1", "state": "done"}))
	require.Equal(t, 200, receive(t, got).Status)
	eventuallyOnLoop(n, func() bool { return n.Front.IdleConns() == 1 })
	n.On(func() { n.Front.BreakIdleConns(t) })
	return n, a, jobs
}

// The same where a kept connection turned out to be closed, so that a second dial is made for what surely never left.
func TestNothingIsWrittenOnTheSecondDialToAWorkerThatLeft(t *testing.T) {
	n, a, jobs := startWithBrokenIdleConn(t, nil)
	up, letGo := holdDials(n)
	got := submit(n, "settle", "id-1")
	require.Equal(t, a.Addr().String(), receive(t, up))
	n.Eventually(func() bool { return n.Logged("party=worker peer=" + a.Addr().String() + " reason=not-reading") }) // the first
	b := standin.NewWorker(t, "s-2", nil)
	b.BackTo(n)
	updateWorkerList(n, a.entry("draining"), b.Entry("up"))
	letGo <- struct{}{}
	require.Equal(t, b.Address(), receive(t, up))
	letGo <- struct{}{}
	assert.Equal(t, 200, receive(t, got).Status)
	assert.Empty(t, jobs)
	assert.Len(t, b.Jobs(), 1)
}

// What waits for its second connection has not left yet, although the first was up: where its time ends meanwhile it
// never ran, and the client is told that asking again is harmless.
func TestWhatWaitsForItsSecondConnectionNeverRan(t *testing.T) {
	n, a, jobs := startWithBrokenIdleConn(t, nil)
	up, letGo := holdDials(n)
	got := make(chan standin.Answer, 1)
	go func() { got <- n.Ask("settle", "k", "id-1", 500, "") }()
	receive(t, up)
	n.Eventually(func() bool { return n.Logged("party=worker peer=" + a.Addr().String() + " reason=not-reading") }) // the first
	assert.Equal(t, 503, receive(t, got).Status)
	letGo <- struct{}{}
	eventuallyOnLoop(n, func() bool { return n.Front.PendingDials() == 0 })
	assert.Empty(t, jobs)
}

// A request whose client has left is not sent on: not while it is dialled for the first time, nor between two attempts,
// whether attempts may be cancelled here or not.
func TestWhatItsClientLeftIsNotSentOn(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for _, before := range []int{0, 1} {
			t.Run(fmt.Sprintf("cancel %v, after %d attempts", cancel, before), func(t *testing.T) {
				do := func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) { closeConn(w, id, rw, r) }
				a, b := standin.NewWorker(t, "s-1", do), standin.NewWorker(t, "s-2", do)
				n := standin.Start(t, func(c *config.Config) { c.Settings.MayCancel = cancel }, a, b)
				up, letGo := holdDials(n)
				c := standin.Dial(t, n.Front.Address())
				c.Say("POST /board-view/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id-1\r\nX-Time-Left-Ms: " + longTimeLeft + "\r\n\r\n")
				for range before {
					receive(t, up)
					letGo <- struct{}{}
				}
				receive(t, up)
				c.Close()
				n.Eventually(func() bool { return openRequests(n) == 0 })
				letGo <- struct{}{}
				eventuallyOnLoop(n, func() bool { return n.Core.InFlightAttempts() == 0 && n.Front.PendingDials() == 0 })
				assert.Equal(t, before, len(a.Jobs())+len(b.Jobs()))
			})
		}
	}
}

// One that waits since no worker may be sent it is not sent on when one may, if its client has left by then; nor one
// that waits for the answer of a probe.
func TestWhatItsClientLeftIsNotSentOnWhenAWorkerComes(t *testing.T) {
	left := func(n *standin.Node) {
		c := standin.Dial(t, n.Front.Address())
		c.Say("POST /board-view/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id-left\r\nX-Time-Left-Ms: " + longTimeLeft + "\r\n\r\n")
		n.Eventually(func() bool { return openRequests(n) == 1 })
		c.Close()
		n.Eventually(func() bool { return openRequests(n) == 0 })
	}
	t.Run("held", func(t *testing.T) {
		a := standin.NewWorker(t, "s-1", nil)
		n := standin.Start(t, nil)
		a.BackTo(n)
		left(n)
		updateWorkerList(n, a.Entry("up"))
		require.Equal(t, 200, n.Ask("board-view", "k", "id-2", 5000, "").Status)
		assert.Len(t, a.Jobs(), 1, "of the one that stayed")
	})
	t.Run("probe", func(t *testing.T) {
		a := standin.NewWorker(t, "s-1", nil)
		n := standin.Start(t, func(c *config.Config) {
			c.Settings.MayProbe, c.Settings.LoadInProbes, c.Settings.ProbeCost = true, true, 0.0001
			c.Settings.Classes[0].LatencyTarget = 500_000_000 // a request waits for probes for a part of it
		}, a)
		up, letGo := holdDials(n)
		left(n)
		require.Equal(t, a.Address(), receive(t, up), "the probe's")
		letGo <- struct{}{}
		eventuallyOnLoop(n, func() bool { return n.Front.PendingDials() == 0 })
		got := submit(n, "move", "id-2")
		letGo <- struct{}{} // should it need a connection of its own
		require.Equal(t, 200, receive(t, got).Status)
		assert.Len(t, a.Jobs(), 1, "of the one that stayed")
	})
}

// Where the window of a by_key class is over when the connection for the repeat comes up, the repeat is not written: it
// might run a second time. The client is told that asking again is harmless only where all workers know its key.
func TestNoRepeatBehindTheWindowOfByKey(t *testing.T) {
	const window = 400 * core.Millisecond
	for group, want := range map[rules.Group]int{rules.GroupAll: 503, rules.GroupZone: 500} {
		t.Run(fmt.Sprint("group ", group), func(t *testing.T) {
			var first atomic.Int64
			var n *standin.Node
			do := func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
				n.On(func() { first.CompareAndSwap(0, n.Loop.Now()) })
				closeConn(w, id, rw, r)
			}
			a, b := standin.NewWorker(t, "s-1", do), standin.NewWorker(t, "s-2", do)
			n = standin.Start(t, func(c *config.Config) {
				move := &c.Settings.Classes[1]
				move.Effect, move.Group, move.Window = rules.Keyed, group, window
			}, a, b)
			up, letGo := holdDials(n)
			got := make(chan standin.Answer, 1)
			go func() { got <- n.Ask("move", "k", "id-1", 3_600_000, "") }() // given up long before
			receive(t, up)
			letGo <- struct{}{}
			receive(t, up) // of the repeat
			eventuallyOnLoop(n, func() bool { return n.Loop.Now() > first.Load()+window })
			letGo <- struct{}{}
			assert.Equal(t, want, receive(t, got).Status, "no worker may be sent it any more")
			assert.Equal(t, 1, len(a.Jobs())+len(b.Jobs()))
		})
	}
}

// next waits for what a channel brings, and has the test fail where nothing comes.
func receive[T any](t *testing.T, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(standin.Patience):
		t.Fatal("nothing came")
	}
	return v
}

func holdDials(n *standin.Node) (up chan string, letGo chan struct{}) {
	n.On(func() { up, letGo = n.Front.HoldDials(n.T) })
	return up, letGo
}

func submit(n *standin.Node, class, id string) chan standin.Answer {
	got := make(chan standin.Answer, 1)
	go func() { got <- n.Ask(class, "k", id, 9000, "") }()
	return got
}
