package platform_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	lists "cobaltflow/internal/discovery"
	"cobaltflow/internal/standin"
)

// Tests with worker lists of the largest planned fleet, on real sockets.

const largeFleet = 33_000 // workers

// largeList returns a full list with the given number of endpoints. The last ones are the workers in up, with status
// up; the others are draining, so that a job goes to a worker that answers.
func largeList(t *testing.T, version, endpoints int, up ...*standin.Worker) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"index":%d,"snapshot":true,"endpoints":[`, version)
	for i := range endpoints - len(up) {
		fmt.Fprintf(&b, `{"name":"w-%05d","address":"127.1.%d.%d:9000","zone":"suva","type":"gen1","group":0,"status":"draining","weight":1.0,"since_ms":0},`,
			i, i>>8, i&255)
	}
	for i, w := range up {
		if i > 0 {
			b.WriteByte(',')
		}
		entry, err := json.Marshal(w.ListEntry("up"))
		require.NoError(t, err)
		b.Write(entry)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// sendInChunks sends text as chunks of the given size, without the end of the body.
func (c discoveryCall) sendInChunks(text []byte, size int) {
	var b bytes.Buffer
	for len(text) > 0 {
		n := min(size, len(text))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	c.Write(b.Bytes())
}

// sendWithLength sends a complete answer with a Content-Length.
func (c discoveryCall) sendWithLength(text []byte) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
	c.Write(text)
}

// serve answers all further calls in the background. On a busy machine a call may be repeated because its answer did
// not begin in time; the connection of the earlier one may be closed by then.
func (d *fakeDiscovery) serve(t *testing.T, answer func(discoveryCall)) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(stop); <-stopped })
	go func() {
		defer close(stopped)
		for {
			select {
			case c := <-d.calls:
				answer(c)
			case <-stop:
				return
			}
		}
	}()
}

// A scheduler that starts without a known list must become ready and serve with the largest list, in whatever form it
// arrives, and follow the changes after it.
func TestStartWithLargestList(t *testing.T) {
	for name, form := range map[string]struct {
		pushed bool // the full list is requested first; otherwise the watch begins with it
		answer func(c discoveryCall, list []byte)
	}{
		"an answer with a length": {true, func(c discoveryCall, list []byte) { c.sendWithLength(list) }},
		"an answer in one chunk": {true, func(c discoveryCall, list []byte) {
			c.sendHead()
			c.sendInChunks(list, len(list))
			io.WriteString(c, "0\r\n\r\n")
		}},
		"an answer in small chunks": {true, func(c discoveryCall, list []byte) {
			c.sendHead()
			c.sendInChunks(list, 16<<10)
			io.WriteString(c, "0\r\n\r\n")
		}},
		"a line in one chunk":    {false, func(c discoveryCall, list []byte) { c.sendHead(); c.sendInChunks(append(list, '\n'), len(list)+1) }},
		"a line in small chunks": {false, func(c discoveryCall, list []byte) { c.sendHead(); c.sendInChunks(append(list, '\n'), 16<<10) }},
	} {
		t.Run(name, func(t *testing.T) {
			d := newFakeDiscovery(t)
			w, later := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
			n := standin.Start(t, func(c *config.Config) {
				c.DiscoveryIsLocal, c.Discovery, c.KnownWorkers = form.pushed, d.Addr().String(), nil
			})
			w.SendCallbacksTo(n)
			later.SendCallbacksTo(n)
			list := largeList(t, 7, largeFleet, w)
			require.Greater(t, len(list), 4<<20)
			change, err := json.Marshal(map[string]any{"index": 8, "endpoints": []any{w.ListEntry("removed"), later.ListEntry("up")}})
			require.NoError(t, err)
			watches, changed := make(chan string, 64), make(chan struct{})
			d.serve(t, func(c discoveryCall) {
				switch {
				case c.target == "/api/targets":
					form.answer(c, list)
					return
				case form.pushed:
					c.sendHead()
				default:
					form.answer(c, list)
				}
				watches <- c.target
				go func() { // each watch sends the change, since an earlier one may have been closed
					<-changed
					c.sendChunk(string(change) + "\n")
				}()
			})
			n.Eventually(hasWorkers(n, largeFleet))
			n.Eventually(func() bool { return isReady(n) })
			assert.Equal(t, 200, n.SendRequest("board-view", "k", "id-1", 5000, "").Status)
			assert.Len(t, w.Jobs(), 1)

			watch := receive(t, watches)
			assert.Equal(t, form.pushed, watch == "/api/targets?watch=1&after=7", "the watch continues from the version of the list")
			close(changed)
			eventuallyOnLoop(n, func() bool { return n.Core.WorkerCount() == largeFleet && n.Front.KnowsWorker("s-2") })
			assert.Equal(t, 200, n.SendRequest("board-view", "k", "id-2", 5000, "").Status)
			assert.Len(t, later.Jobs(), 1)
			assert.False(t, n.HasLogged("discovery:"), "no list was refused")
		})
	}
}

// A list that is truncated, has an invalid last entry or exceeds a limit must change nothing: the last valid list stays
// in force and discovery is called again.
func TestInvalidLargeListIsIgnored(t *testing.T) {
	prefix := []byte(`{"index":8,"snapshot":true,"endpoints":[`)
	for name, list := range map[string]struct {
		text   []byte
		logged string
	}{
		"truncated": {largeList(t, 8, largeFleet)[:3<<20], "reason=no-answer"},
		"invalid last entry": {append(bytes.TrimSuffix(largeList(t, 8, largeFleet), []byte(",]}")),
			[]byte(`,{"name":"w-last"}]}`)...), "endpoint w-last has no address"},
		"long entry": {append(bytes.Clone(prefix), `{"name":"`+string(bytes.Repeat([]byte("x"), 17<<10))+`","address":"x"}]}`...),
			"list refused at endpoint 1: an entry over 16384 bytes"},
		"long text": {append([]byte(`{"index":8,"note":"`), bytes.Repeat([]byte("x"), 65<<10)...),
			"list refused outside its endpoints: its text over 65536 bytes"},
	} {
		for _, pushed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, pushed %v", name, pushed), func(t *testing.T) {
				t.Parallel()
				d := newFakeDiscovery(t)
				w := standin.NewWorker(t, "s-1", nil)
				n := standin.Start(t, func(c *config.Config) { c.DiscoveryIsLocal, c.Discovery = pushed, d.Addr().String() }, w)
				var isRepaired atomic.Bool
				valid := n.Discovery.EncodeList(true, w.ListEntry("up"), standin.ListEntry("s-2", "127.0.0.1:9", "draining"))
				watches := make(chan discoveryCall, 64)
				d.serve(t, func(c discoveryCall) {
					switch {
					case isRepaired.Load():
						c.sendFullList(valid)
					case c.target == "/api/targets":
						c.sendWithLength(list.text)
					default:
						c.sendHead()
						c.sendInChunks(append(bytes.Clone(list.text), '\n'), 16<<10)
						watches <- c
					}
				})
				if name == "truncated" && pushed { // the Content-Length is right, the end of the list is missing
					n.Eventually(func() bool { return n.HasLogged("bad line kept out") })
				} else {
					n.Eventually(func() bool { return n.HasLogged(list.logged) })
				}
				assert.True(t, hasWorkers(n, 1)(), "the previous list stays in force")
				n.Eventually(func() bool { return isReady(n) })
				assert.Equal(t, 200, n.SendRequest("board-view", "k", "id-1", 5000, "").Status)
				if name == "invalid last entry" && !pushed { // an invalid line does not end the watch
					receive(t, watches).sendChunk(string(valid) + "\n")
				}
				isRepaired.Store(true)
				n.Eventually(hasWorkers(n, 2))
			})
		}
	}
}

// A list with more endpoints than the limit must be refused, with the position of the first one too many in the log, and
// the last valid list stays in force.
func TestListWithTooManyEndpointsIsRefused(t *testing.T) {
	d := newFakeDiscovery(t)
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	limits := lists.DefaultLimits
	limits.Endpoints = 5000
	n.RunOnLoop(func() { n.Front.SetListLimits(limits) })
	reloadDiscovery(n, d.Addr().String())
	tooLong, valid := largeList(t, 8, largeFleet, w), largeList(t, 9, 5000, w)
	d.serve(t, func(c discoveryCall) {
		if n.HasLogged("discovery: unusable answer") {
			c.sendFullList(valid)
		} else {
			c.sendWithLength(tooLong)
		}
	})
	n.Eventually(func() bool { return n.HasLogged("list refused at endpoint 5001: the list over 5000 endpoints") })
	assert.Equal(t, 200, n.SendRequest("board-view", "k", "id-1", 5000, "").Status)
	n.Eventually(hasWorkers(n, 5000))
}
