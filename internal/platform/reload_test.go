package platform_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/standin"
)

func reloadDiscovery(n *standin.Node, discovery string) {
	next := *n.Conf
	next.Discovery = discovery
	n.On(func() { n.Front.Reload(&next) })
}

func hasWorkers(n *standin.Node, workers int) func() bool {
	return func() (yes bool) {
		n.On(func() { yes = n.Core.WorkerCount() == workers })
		return yes
	}
}

// The watch moves at once and starts from the new address's whole list, whose version is below the old
// one's; what is open lives on, and a worker that is missing there is gone.
func TestReloadMovesTheWatch(t *testing.T) {
	a, b := standin.NewWorker(t, "s-1", acceptOnly), standin.NewWorker(t, "s-2", acceptOnly)
	n := standin.Start(t, nil, a, b)
	for range 5 {
		n.Farm.Say(string(n.Farm.Tell(false, a.Entry("up"))))
	}
	got := make(chan standin.Answer)
	go func() { got <- n.Ask("move", "k", "id-1", 9000, "") }()
	n.Eventually(func() bool { return len(a.Jobs())+len(b.Jobs()) == 1 })

	next := standin.NewDiscovery(t)
	next.Whole(next.Tell(true, b.Entry("up")))
	reloadDiscovery(n, next.Address())
	n.Eventually(hasWorkers(n, 1))
	n.Eventually(func() bool { return next.After() == "1" })
	next.Say(string(next.Tell(false, a.Entry("up"))))
	n.Eventually(hasWorkers(n, 2))
	assert.True(t, n.Logged("party=discovery peer="+n.Farm.Address()+" reason=moved"))

	owner := a
	if len(b.Jobs()) == 1 {
		owner = b
	}
	owner.Call("id-1", "done", map[string]any{"result": "still here"})
	assert.Equal(t, standin.Answer{Status: 200, Body: "still here"}, <-got)
}

// While the new address refuses, or takes connections and says nothing, the last good list stands. A
// reload that comes on top of one, in the drain too, wins.
func TestReloadsInARowAndInTheDrain(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed.Close()
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer mute.Close()

	reloadDiscovery(n, closed.Addr().String())
	n.Eventually(func() bool { return n.Logged("peer=" + closed.Addr().String() + " reason=refused") })
	reloadDiscovery(n, mute.Addr().String())
	held, err := mute.Accept()
	require.NoError(t, err)
	defer held.Close()
	got := make(chan standin.Answer)
	go func() { got <- n.Ask("settle", "k", "id-1", 9000, "") }()
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })

	n.On(func() { n.Front.Stop(n.Loop.Stop) })
	next := standin.NewDiscovery(t)
	other := standin.NewWorker(t, "s-2", nil)
	next.Whole(next.Tell(true, w.Entry("up"), other.Entry("up")))
	reloadDiscovery(n, mute.Addr().String())
	reloadDiscovery(n, next.Address())
	n.Eventually(hasWorkers(n, 2))
	// The old address's list comes late and changes nothing.
	late := string(n.Farm.Tell(true))
	fmt.Fprintf(held, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(late), late)
	n.Eventually(func() bool { return n.Logged("peer=" + mute.Addr().String() + " reason=moved") })
	assert.True(t, hasWorkers(n, 2)())
	w.Call("id-1", "done", nil)
	assert.Equal(t, 200, (<-got).Status)
	<-n.Ended
}

// A connection to discovery that comes up when its address has been left, or the program ends, is closed at once; its end
// stands in the log like any other.
//
// Seen: TestReloadsInARowAndInTheDrain failed now and then beside much load: no line tells of the end of a call to an address
// that was left, although its listener has taken the connection.
// Cause: the listener's system has a connection before the dial comes back to the loop. Where the watch moves in between, the
// connection was closed there and no line written.
// Proof: with the dial held until the watch has moved, as here, the line is missing each time.
func TestAConnectionToDiscoveryThatComesUpTooLateIsLogged(t *testing.T) {
	for reason, leave := range map[string]func(n *standin.Node, next string){
		"moved": reloadDiscovery,
		"shut-down": func(n *standin.Node, _ string) {
			n.On(func() { n.Front.StopSince(n.Loop.Now()-4*core.Second, func() {}) })
		},
	} {
		t.Run(reason, func(t *testing.T) {
			n := standin.Start(t, nil)
			var up chan string
			var letGo chan struct{}
			n.On(func() { up, letGo = n.Front.HoldWatchDials(t) })
			left, next := standin.NewDiscovery(t), standin.NewDiscovery(t)
			reloadDiscovery(n, left.Address())
			require.Equal(t, left.Address(), <-up)
			leave(n, next.Address())
			if reason == "shut-down" {
				n.Eventually(func() bool { return n.Logged("stopped taking") })
			}
			letGo <- struct{}{}
			letGo <- struct{}{}
			n.Eventually(func() bool { return n.Logged("party=discovery peer=" + left.Address() + " reason=" + reason) })
		})
	}
}

// A dial that fails when its address has been left is none of the new address's failures: its retries wait no longer for it.
func TestADialThatFailsLateDelaysNothing(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed.Close()
	n := standin.Start(t, nil)
	var up chan string
	var letGo chan struct{}
	n.On(func() { up, letGo = n.Front.HoldWatchDials(t) })
	reloadDiscovery(n, closed.Addr().String())
	require.Equal(t, closed.Addr().String(), <-up)
	next := standin.NewDiscovery(t)
	reloadDiscovery(n, next.Address())
	require.Equal(t, next.Address(), <-up)
	letGo <- struct{}{} // the first that waits; the other dial is held on
	n.Eventually(func() bool { return n.Logged("peer=" + closed.Addr().String()) })
	n.On(func() { assert.Zero(t, n.Front.WatchFailures()) })
}

// A watch with nothing to tell says so every 2 s only: that its answer has begun is a sign of life. It is ended only where the
// loop, which may be held up, has heard nothing for as long as a watch is let be silent.
func TestWatchWithNothingToTellIsKept(t *testing.T) {
	n := standin.Start(t, nil)
	n.Eventually(func() bool { return n.Farm.After() == "1" })
	asked := standin.Dial(t, n.Front.Address()) // closed after 2 s, past the time for a first answer
	asked.Say("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	silent := core.Time(0) // the longest that the loop has seen
	n.Eventually(func() bool {
		n.On(func() { silent = max(silent, n.Front.WatchSilentFor()) })
		return n.Logged("party=agent")
	})
	if silent < platform.WatchSilence {
		assert.False(t, n.Logged("party=discovery"))
	}
}

// A line that stops in the middle is not waited for: what is behind it would be told too late.
func TestWatchThatStopsInALineIsOpenedAnew(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	asked := standin.Dial(t, n.Front.Address()) // closed after 2 s, when the end of a line is long overdue
	asked.Say("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	n.Farm.Break()
	n.Farm.Say(string(n.Farm.Tell(false, w.Entry("draining"))))
	n.Eventually(func() bool { return n.Logged("party=discovery peer=" + n.Farm.Address() + " reason=no-answer") })
	n.Eventually(func() bool { return n.Farm.Watches() == 2 })
	assert.False(t, n.Logged("party=agent"))
}

// What an agent on our own machine holds counts as told, also to one of three hundred schedulers that found it silent:
// it is asked again until it answers, and at once.
func TestSilentAgentIsAskedAgainSoon(t *testing.T) {
	agent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer agent.Close()
	n := standin.Start(t, func(c *config.Config) { c.Pushed, c.Settings.GroupSize = true, 300 }, standin.NewWorker(t, "s-1", nil))
	reloadDiscovery(n, agent.Addr().String())
	for range 3 {
		require.NoError(t, agent.(*net.TCPListener).SetDeadline(time.Now().Add(standin.Patience/4)))
		silent, err := agent.Accept()
		require.NoError(t, err, "not asked again")
		defer silent.Close()
	}
	held, err := agent.Accept()
	require.NoError(t, err)
	defer held.Close()
	list := string(n.Farm.Tell(true))
	fmt.Fprintf(held, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	n.Eventually(hasWorkers(n, 0))
}
