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

// reloadDiscovery reloads the configuration of a node with another discovery address.
func reloadDiscovery(n *standin.Node, discovery string) {
	next := *n.Conf
	next.Discovery = discovery
	n.RunOnLoop(func() { n.Front.Reload(&next) })
}

// hasWorkers returns a condition that holds while the node lists this number of workers.
func hasWorkers(n *standin.Node, workers int) func() bool {
	return func() (holds bool) {
		n.RunOnLoop(func() { holds = n.Core.WorkerCount() == workers })
		return holds
	}
}

// A reload moves the watch at once. It starts with the complete list of the new address, even though its version is lower
// than the old one's. Open requests continue, and a worker missing from the new list is removed.
func TestReloadMovesDiscoveryWatch(t *testing.T) {
	a, b := standin.NewWorker(t, "s-1", acceptOnly), standin.NewWorker(t, "s-2", acceptOnly)
	n := standin.Start(t, nil, a, b)
	for range 5 {
		n.Discovery.SendLine(string(n.Discovery.EncodeList(false, a.ListEntry("up"))))
	}
	got := make(chan standin.Answer)
	go func() { got <- n.SendRequest("move", "k", "id-1", 9000, "") }()
	n.Eventually(func() bool { return len(a.Jobs())+len(b.Jobs()) == 1 })

	next := standin.NewDiscovery(t)
	next.SetFullList(next.EncodeList(true, b.ListEntry("up")))
	reloadDiscovery(n, next.Address())
	n.Eventually(hasWorkers(n, 1))
	n.Eventually(func() bool { return next.WatchedFrom() == "1" })
	next.SendLine(string(next.EncodeList(false, a.ListEntry("up"))))
	n.Eventually(hasWorkers(n, 2))
	assert.True(t, n.HasLogged("party=discovery peer="+n.Discovery.Address()+" reason=moved"))

	owner := a
	if len(b.Jobs()) == 1 {
		owner = b
	}
	owner.SendCallback("id-1", "done", map[string]any{"result": "done after reload"})
	assert.Equal(t, standin.Answer{Status: 200, Body: "done after reload"}, <-got)
}

// While the new address refuses connections, or accepts them and never responds, the last valid list stays in force. The
// last of several reloads wins, also during the shutdown.
func TestLastOfSeveralReloadsWins(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed.Close()
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer unresponsive.Close()

	reloadDiscovery(n, closed.Addr().String())
	n.Eventually(func() bool { return n.HasLogged("peer=" + closed.Addr().String() + " reason=refused") })
	reloadDiscovery(n, unresponsive.Addr().String())
	held, err := unresponsive.Accept()
	require.NoError(t, err)
	defer held.Close()
	got := make(chan standin.Answer)
	go func() { got <- n.SendRequest("settle", "k", "id-1", 9000, "") }()
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })

	n.RunOnLoop(func() { n.Front.Stop(n.Loop.Stop) })
	next := standin.NewDiscovery(t)
	other := standin.NewWorker(t, "s-2", nil)
	next.SetFullList(next.EncodeList(true, w.ListEntry("up"), other.ListEntry("up")))
	reloadDiscovery(n, unresponsive.Addr().String())
	reloadDiscovery(n, next.Address())
	n.Eventually(hasWorkers(n, 2))
	// A list that arrives late from the old address has no effect.
	late := string(n.Discovery.EncodeList(true))
	fmt.Fprintf(held, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(late), late)
	n.Eventually(func() bool { return n.HasLogged("peer=" + unresponsive.Addr().String() + " reason=moved") })
	assert.True(t, hasWorkers(n, 2)())
	w.SendCallback("id-1", "done", nil)
	assert.Equal(t, 200, (<-got).Status)
	<-n.Ended
}

// A connection to discovery that is established only after its address was abandoned, or during the shutdown, is closed at
// once, and its end is logged like that of any other connection.
//
// TestLastOfSeveralReloadsWins failed now and then on a busy machine, because no line reported the end of a call to an
// abandoned address whose listener had accepted the connection. The listener's system has a connection before the dial
// returns to the loop; if the watch moved in between, the connection was closed without a log line. The held dial of this
// test reproduces that each time.
func TestLateDiscoveryConnectionIsLogged(t *testing.T) {
	for reason, abandon := range map[string]func(n *standin.Node, next string){
		"moved": reloadDiscovery,
		"shut-down": func(n *standin.Node, _ string) {
			n.RunOnLoop(func() { n.Front.StopSince(n.Loop.Now()-4*core.Second, func() {}) })
		},
	} {
		t.Run(reason, func(t *testing.T) {
			n := standin.Start(t, nil)
			var connected chan string
			var release chan struct{}
			n.RunOnLoop(func() { connected, release = n.Front.HoldWatchDials(t) })
			abandoned, next := standin.NewDiscovery(t), standin.NewDiscovery(t)
			reloadDiscovery(n, abandoned.Address())
			require.Equal(t, abandoned.Address(), <-connected)
			abandon(n, next.Address())
			if reason == "shut-down" {
				n.Eventually(func() bool { return n.HasLogged("stopped taking") })
			}
			release <- struct{}{}
			release <- struct{}{}
			n.Eventually(func() bool { return n.HasLogged("party=discovery peer=" + abandoned.Address() + " reason=" + reason) })
		})
	}
}

// A dial that fails after its address was abandoned does not count as a failure of the new address, and does not delay the
// retries there.
func TestLateDialFailureDoesNotDelayRetries(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed.Close()
	n := standin.Start(t, nil)
	var connected chan string
	var release chan struct{}
	n.RunOnLoop(func() { connected, release = n.Front.HoldWatchDials(t) })
	reloadDiscovery(n, closed.Addr().String())
	require.Equal(t, closed.Addr().String(), <-connected)
	next := standin.NewDiscovery(t)
	reloadDiscovery(n, next.Address())
	require.Equal(t, next.Address(), <-connected)
	release <- struct{}{} // releases the first dial; the other one stays held
	n.Eventually(func() bool { return n.HasLogged("peer=" + closed.Addr().String()) })
	n.RunOnLoop(func() { assert.Zero(t, n.Front.WatchFailures()) })
}

// Discovery sends something only every 2 s on a watch without updates, so the start of its response also counts as
// received input. The watch is closed only if the loop, which may be delayed, has received nothing for WatchSilence.
func TestWatchWithoutUpdatesIsKept(t *testing.T) {
	n := standin.Start(t, nil)
	n.Eventually(func() bool { return n.Discovery.WatchedFrom() == "1" })
	probe := standin.Dial(t, n.Front.Address()) // closed after 2 s, later than a first response is due
	probe.Send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	longestSilence := core.Time(0)
	n.Eventually(func() bool {
		n.RunOnLoop(func() { longestSilence = max(longestSilence, n.Front.WatchSilentFor()) })
		return n.HasLogged("party=agent")
	})
	if longestSilence < platform.WatchSilence {
		assert.False(t, n.HasLogged("party=discovery"))
	}
}

// A watch on which a line stalls halfway is reopened, since the updates behind that line would arrive too late.
func TestWatchStalledInLineIsReopened(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	probe := standin.Dial(t, n.Front.Address()) // closed after 2 s, when the rest of the line is long overdue
	probe.Send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	n.Discovery.TruncateNextLine()
	n.Discovery.SendLine(string(n.Discovery.EncodeList(false, w.ListEntry("draining"))))
	n.Eventually(func() bool { return n.HasLogged("party=discovery peer=" + n.Discovery.Address() + " reason=no-answer") })
	n.Eventually(func() bool { return n.Discovery.WatchCount() == 2 })
	assert.False(t, n.HasLogged("party=agent"))
}

// Everything that a discovery server on the scheduler's own machine holds counts as known. One that does not respond is called
// again without a long wait until it does, also if there are three hundred schedulers.
func TestSilentLocalDiscoveryServerIsRetriedSoon(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	n := standin.Start(t, func(c *config.Config) { c.DiscoveryIsLocal, c.Settings.GroupSize = true, 300 }, standin.NewWorker(t, "s-1", nil))
	reloadDiscovery(n, server.Addr().String())
	for range 3 {
		require.NoError(t, server.(*net.TCPListener).SetDeadline(time.Now().Add(standin.WaitTimeout/4)))
		conn, err := server.Accept()
		require.NoError(t, err, "the server is not called again")
		defer conn.Close()
	}
	held, err := server.Accept()
	require.NoError(t, err)
	defer held.Close()
	list := string(n.Discovery.EncodeList(true))
	fmt.Fprintf(held, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	n.Eventually(hasWorkers(n, 0))
}
