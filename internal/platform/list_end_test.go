package platform_test

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/standin"
)

// Tests of lists behind which discovery ends the connection.

const listUntilClosedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// Guards against a list that is refused without end, and drains that go unheard: discovery ends the connection behind the whole
// list, which has a length, chunks, or the end of the connection as its end. The watch begins on another connection at once.
func TestListIsTakenWhereDiscoveryEndsTheConnectionBehindIt(t *testing.T) {
	for name, form := range map[string]struct {
		endpoints int
		answer    func(c discoveryCall, list []byte)
	}{
		"the end of the connection ends the list": {2, func(c discoveryCall, list []byte) {
			io.WriteString(c, listUntilClosedHead+string(list))
			c.Close()
		}},
		"no header says so, HTTP/1.0": {2, func(c discoveryCall, list []byte) {
			io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n"+string(list))
			c.Close()
		}},
		"the largest list": {largeFleet, func(c discoveryCall, list []byte) {
			io.WriteString(c, listUntilClosedHead)
			c.Write(list)
			c.Close()
		}},
		"the writing side alone is closed": {2, func(c discoveryCall, list []byte) {
			io.WriteString(c, listUntilClosedHead+string(list))
			c.Conn.(*net.TCPConn).CloseWrite()
		}},
		"a length, and the connection ends": {2, func(c discoveryCall, list []byte) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
			c.Close()
		}},
		"a length, and the connection is to end": {2, func(c discoveryCall, list []byte) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}},
		"chunks, and the connection ends": {2, func(c discoveryCall, list []byte) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
			c.sendInChunks(list, 16<<10)
			io.WriteString(c, "0\r\n\r\n")
			c.Close()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, w := newFakeDiscovery(t), standin.NewWorker(t, "s-1", nil)
			n := standin.Start(t, nil, w)
			reloadDiscovery(n, d.Addr().String())
			list := receive(t, d.calls)
			require.Equal(t, "/api/targets", list.target)
			form.answer(list, largeList(t, 7, form.endpoints, w))

			watch := receive(t, d.calls)
			assert.Equal(t, "/api/targets?watch=1&after=7", watch.target, "the list was taken")
			n.RunOnLoop(func() { assert.Zero(t, n.Front.WatchFailures(), "the next connection is no retry") })
			watch.sendHead()
			watch.sendChunk(string(n.Discovery.EncodeList(true, w.ListEntry("draining"))) + "\n")
			n.Eventually(hasWorkers(n, 1))
			assert.False(t, n.HasLogged("discovery: unusable answer"))
		})
	}
}

// A list that ends with its connection is taken only if it is complete and the connection was ended in order: the last valid
// list stays in force, and discovery is called again.
func TestListThatItsConnectionCutsIsNotTaken(t *testing.T) {
	for name, form := range map[string]struct {
		size   func(list []byte) int // bytes that are sent
		logged string
		reset  bool
	}{
		"in the middle, in order":       {func(list []byte) int { return len(list) / 2 }, "the list is incomplete", false},
		"behind nothing":                {func([]byte) int { return 0 }, "reason=bad-input", false},
		"behind the whole list, broken": {func(list []byte) int { return len(list) }, "reason=peer-closed", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, w := newFakeDiscovery(t), standin.NewWorker(t, "s-1", nil)
			n := standin.Start(t, nil, w)
			reloadDiscovery(n, d.Addr().String())
			text := largeList(t, 7, 3, w)
			call := receive(t, d.calls)
			io.WriteString(call, listUntilClosedHead+string(text[:form.size(text)]))
			if form.reset {
				eventuallyOnLoop(n, func() bool { return n.Front.ListEndpointsRead() == 3 })
				call.Conn.(*net.TCPConn).SetLinger(0)
			}
			call.Close()
			n.Eventually(func() bool { return n.HasLogged(form.logged) })
			again := receive(t, d.calls)
			assert.Equal(t, "/api/targets", again.target, "the list is still wanted")
			assert.True(t, hasWorkers(n, 1)(), "the last valid list stays in force")
			again.sendFullList(text)
			n.Eventually(hasWorkers(n, 3))
		})
	}
}
