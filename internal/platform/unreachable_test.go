package platform_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// maxUpdateDelay is the time after which a scheduler counts as informed of a change, 6 s from when the discovery server
// has it and is reachable. What a local discovery server holds counts at once; jobs may still be sent to a draining
// worker for the drain grace.
const maxUpdateDelay = 6 * time.Second

// However a call to the discovery server fails, and however many failed before, the next call must come early enough for
// the changes since: with a remote and a local server, with one scheduler and with three hundred.
func TestFailedCallIsRetriedInTime(t *testing.T) {
	const failedBefore = 6 // the mean wait has reached its maximum
	for kind, fail := range map[string]func(c discoveryCall){
		"reset":  func(c discoveryCall) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
		"closed": func(c discoveryCall) { c.Close() },
		"refused": func(c discoveryCall) {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		},
		"no answer": func(discoveryCall) {},
	} {
		for _, pushed := range []bool{false, true} {
			for _, schedulers := range []int{1, 300} {
				t.Run(fmt.Sprintf("%s, pushed %v, %d schedulers", kind, pushed, schedulers), func(t *testing.T) {
					t.Parallel()
					d := newFakeDiscovery(t)
					a, b, n := startBeforeDiscovery(t, d, pushed, schedulers)
					first := receive(t, d.calls)
					n.RunOnLoop(func() { n.Front.SetWatchFailures(failedBefore) })
					reachable := time.Now()
					fail(first)
					again := receive(t, d.calls)
					assertCalledInTime(t, n, time.Since(reachable), pushed)
					again.sendFullList(n.Discovery.EncodeList(true, a.ListEntry("draining"), b.ListEntry("up")))
					assertServedOnlyBy(t, n, b, a)
				})
			}
		}
	}
}

// The next call must also come early enough when a discovery server refuses connections and then listens again.
func TestRestartedDiscoveryIsCalledInTime(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for _, schedulers := range []int{1, 300} {
			t.Run(fmt.Sprintf("pushed %v, %d schedulers", pushed, schedulers), func(t *testing.T) {
				t.Parallel()
				stopped := newFakeDiscovery(t)
				address := stopped.Addr().String()
				a, b, n := startBeforeDiscovery(t, stopped, pushed, schedulers)
				first := receive(t, stopped.calls)
				stopped.Close()
				n.RunOnLoop(func() { n.Front.SetWatchFailures(5) })
				first.Conn.(*net.TCPConn).SetLinger(0)
				first.Close()
				n.Eventually(func() bool { return n.HasLogged("party=discovery peer=" + address + " reason=refused") })
				reachable := time.Now()
				d := newFakeDiscoveryAt(t, address)
				again := receive(t, d.calls)
				assertCalledInTime(t, n, time.Since(reachable), pushed)
				again.sendFullList(n.Discovery.EncodeList(true, a.ListEntry("draining"), b.ListEntry("up")))
				assertServedOnlyBy(t, n, b, a)
			})
		}
	}
}

// startBeforeDiscovery starts a scheduler, one of the given number, that knows one worker and whose discovery server is
// d. The other worker is not listed yet.
func startBeforeDiscovery(t *testing.T, d *fakeDiscovery, pushed bool, schedulers int) (known, other *standin.Worker, n *standin.Node) {
	known, other = standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
	n = standin.Start(t, func(c *config.Config) {
		c.DiscoveryIsLocal, c.Discovery, c.Settings.GroupSize = pushed, d.Addr().String(), schedulers
	}, known)
	other.SendCallbacksTo(n)
	return known, other, n
}

// assertCalledInTime checks the time until the next call: within the drain grace for a local discovery server, and
// within maxUpdateDelay for any.
func assertCalledInTime(t *testing.T, n *standin.Node, elapsed time.Duration, pushed bool) {
	if pushed {
		assert.Less(t, elapsed, time.Duration(n.Conf.Settings.DrainGrace)*time.Microsecond)
	}
	assert.Less(t, elapsed, maxUpdateDelay)
}

// assertServedOnlyBy waits until the node knows both workers and checks that jobs go only to the one that stays.
func assertServedOnlyBy(t *testing.T, n *standin.Node, stays, leaves *standin.Worker) {
	n.Eventually(hasWorkers(n, 2))
	for i := range 4 {
		require.Equal(t, 200, n.SendRequest("board-view", fmt.Sprint("k", i), fmt.Sprint("id-", i), 5000, "").Status)
	}
	assert.Empty(t, leaves.Jobs())
	assert.Len(t, stays.Jobs(), 4)
}
