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

// A change counts as told 6 s after discovery had it and could be reached; what an agent holds counts at once, so that
// sends to a worker that leaves may go on for the grace.
const maxUpdateDelay = 6 * time.Second

// However a call to discovery fails, and however many failed before, the next one comes in time for what discovery has
// from then on: with lists asked for and pushed, by one scheduler and by one of three hundred.
func TestAFailedCallIsRepeatedInTime(t *testing.T) {
	const failedBefore = 6 // the wait does not grow any more
	for kind, fail := range map[string]func(c discoveryCall){
		"reset":  func(c discoveryCall) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
		"closed": func(c discoveryCall) { c.Close() },
		"refused": func(c discoveryCall) {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		},
		"given up": func(discoveryCall) {},
	} {
		for _, pushed := range []bool{false, true} {
			for _, schedulers := range []int{1, 300} {
				t.Run(fmt.Sprintf("%s, pushed %v, %d schedulers", kind, pushed, schedulers), func(t *testing.T) {
					t.Parallel()
					d := newFakeDiscovery(t)
					a, b, n := startBeforeDiscovery(t, d, pushed, schedulers)
					first := receive(t, d.calls)
					n.On(func() { n.Front.SetWatchFailures(failedBefore) })
					reachable := time.Now()
					fail(first)
					again := receive(t, d.calls)
					assertCalledInTime(t, n, time.Since(reachable), pushed)
					again.sendFullList(n.Farm.Tell(true, a.Entry("draining"), b.Entry("up")))
					assertServedOnlyBy(t, n, b, a)
				})
			}
		}
	}
}

// The same where nobody listened at discovery's address, and then somebody does.
func TestDiscoveryThatListensAgainIsCalledInTime(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for _, schedulers := range []int{1, 300} {
			t.Run(fmt.Sprintf("pushed %v, %d schedulers", pushed, schedulers), func(t *testing.T) {
				t.Parallel()
				gone := newFakeDiscovery(t)
				address := gone.Addr().String()
				a, b, n := startBeforeDiscovery(t, gone, pushed, schedulers)
				first := receive(t, gone.calls)
				gone.Close()
				n.On(func() { n.Front.SetWatchFailures(5) })
				first.Conn.(*net.TCPConn).SetLinger(0)
				first.Close()
				n.Eventually(func() bool { return n.Logged("party=discovery peer=" + address + " reason=refused") })
				reachable := time.Now()
				d := newFakeDiscoveryAt(t, address)
				again := receive(t, d.calls)
				assertCalledInTime(t, n, time.Since(reachable), pushed)
				again.sendFullList(n.Farm.Tell(true, a.Entry("draining"), b.Entry("up")))
				assertServedOnlyBy(t, n, b, a)
			})
		}
	}
}

// unreachable starts one of so many schedulers that knows a worker, before a discovery; the other worker is not listed yet.
func startBeforeDiscovery(t *testing.T, d *fakeDiscovery, pushed bool, schedulers int) (known, other *standin.Worker, n *standin.Node) {
	known, other = standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
	n = standin.Start(t, func(c *config.Config) {
		c.Pushed, c.Discovery, c.Settings.GroupSize = pushed, d.Addr().String(), schedulers
	}, known)
	other.BackTo(n)
	return known, other, n
}

func assertCalledInTime(t *testing.T, n *standin.Node, took time.Duration, pushed bool) {
	if pushed {
		assert.Less(t, took, time.Duration(n.Conf.Settings.DrainGrace)*time.Microsecond)
	}
	assert.Less(t, took, maxUpdateDelay)
}

// onlyTo has the node know both workers, and sees that requests go to the one that stays.
func assertServedOnlyBy(t *testing.T, n *standin.Node, stays, leaves *standin.Worker) {
	n.Eventually(hasWorkers(n, 2))
	for i := range 4 {
		require.Equal(t, 200, n.Ask("board-view", fmt.Sprint("k", i), fmt.Sprint("id-", i), 5000, "").Status)
	}
	assert.Empty(t, leaves.Jobs())
	assert.Len(t, stays.Jobs(), 4)
}
