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

// Lists of the largest fleet that is planned for, on real sockets.

const largeFleet = 33_000

// largeList is a whole list of so many endpoints, of which the last are the given ones and up. The others drain, so
// that a job goes to one that answers.
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
		entry, err := json.Marshal(w.Entry("up"))
		require.NoError(t, err)
		b.Write(entry)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// inChunks writes a text in chunks of a size, as the body of an answer that goes on.
func (c discoveryCall) sendInChunks(text []byte, size int) {
	var b bytes.Buffer
	for len(text) > 0 {
		n := min(size, len(text))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	c.Write(b.Bytes())
}

func (c discoveryCall) sendWithLength(text []byte) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
	c.Write(text)
}

// serve has each call from now on answered: one whose answer did not begin in time, on a busy machine, is made again.
// Those that have waited may be closed by now.
func (d *fakeDiscovery) serve(t *testing.T, answer func(discoveryCall)) {
	ended, left := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(ended); <-left })
	go func() {
		defer close(left)
		for {
			select {
			case c := <-d.calls:
				answer(c)
			case <-ended:
				return
			}
		}
	}()
}

// A scheduler that knows no worker at its start gets ready and serves, in whatever form the list comes, and follows the
// changes behind it.
func TestAStartWithoutAListServesWithTheLargestOne(t *testing.T) {
	for name, form := range map[string]struct {
		pushed bool // the whole list is asked for first; else the watch begins with it
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
			n := standin.Start(t, func(c *config.Config) { c.Pushed, c.Discovery, c.Known = form.pushed, d.Addr().String(), nil })
			w.BackTo(n)
			later.BackTo(n)
			list := largeList(t, 7, largeFleet, w)
			require.Greater(t, len(list), 4<<20)
			change, err := json.Marshal(map[string]any{"index": 8, "endpoints": []any{w.Entry("removed"), later.Entry("up")}})
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
				go func() { // each watch tells of the change, since an earlier one may have been given up
					<-changed
					c.sendChunk(string(change) + "\n")
				}()
			})
			n.Eventually(hasWorkers(n, largeFleet))
			n.Eventually(func() bool { return isReady(n) })
			assert.Equal(t, 200, n.Ask("board-view", "k", "id-1", 5000, "").Status)
			assert.Len(t, w.Jobs(), 1)

			watch := receive(t, watches)
			assert.Equal(t, form.pushed, watch == "/api/targets?watch=1&after=7", "it goes on from the list")
			close(changed)
			eventuallyOnLoop(n, func() bool { return n.Core.WorkerCount() == largeFleet && n.Front.KnowsWorker("s-2") })
			assert.Equal(t, 200, n.Ask("board-view", "k", "id-2", 5000, "").Status)
			assert.Len(t, later.Jobs(), 1)
			assert.False(t, n.Logged("discovery:"), "nothing was refused")
		})
	}
}

// A list that breaks off, is broken in its last entry, or is over a limit changes nothing: the last good one stands, and
// discovery is asked again.
func TestABrokenLargeListChangesNothing(t *testing.T) {
	endless := []byte(`{"index":8,"snapshot":true,"endpoints":[`)
	for name, c := range map[string]struct {
		text   []byte
		logged string
	}{
		"broken off": {largeList(t, 8, largeFleet)[:3<<20], "reason=no-answer"},
		"a fault in its last entry": {append(bytes.TrimSuffix(largeList(t, 8, largeFleet), []byte(",]}")),
			[]byte(`,{"name":"w-last"}]}`)...), "endpoint w-last has no address"},
		"a long entry": {append(bytes.Clone(endless), `{"name":"`+string(bytes.Repeat([]byte("x"), 17<<10))+`","address":"x"}]}`...),
			"list refused at endpoint 1: an entry over 16384 bytes"},
		"a long text": {append([]byte(`{"index":8,"note":"`), bytes.Repeat([]byte("x"), 65<<10)...),
			"list refused outside its endpoints: its text over 65536 bytes"},
	} {
		for _, pushed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, pushed %v", name, pushed), func(t *testing.T) {
				t.Parallel()
				d := newFakeDiscovery(t)
				w := standin.NewWorker(t, "s-1", nil)
				n := standin.Start(t, func(c *config.Config) { c.Pushed, c.Discovery = pushed, d.Addr().String() }, w)
				var mended atomic.Bool
				good := n.Farm.Tell(true, w.Entry("up"), standin.Entry("s-2", "127.0.0.1:9", "draining"))
				watches := make(chan discoveryCall, 64)
				d.serve(t, func(asked discoveryCall) {
					switch {
					case mended.Load():
						asked.sendFullList(good)
					case asked.target == "/api/targets":
						asked.sendWithLength(c.text)
					default:
						asked.sendHead()
						asked.sendInChunks(append(bytes.Clone(c.text), '\n'), 16<<10)
						watches <- asked
					}
				})
				if name == "broken off" && pushed { // the body's length is right, the list's end is missing
					n.Eventually(func() bool { return n.Logged("bad line kept out") })
				} else {
					n.Eventually(func() bool { return n.Logged(c.logged) })
				}
				assert.True(t, hasWorkers(n, 1)(), "the list from before stands")
				n.Eventually(func() bool { return isReady(n) })
				assert.Equal(t, 200, n.Ask("board-view", "k", "id-1", 5000, "").Status)
				if name == "a fault in its last entry" && !pushed { // a bad line costs itself only
					receive(t, watches).sendChunk(string(good) + "\n")
				}
				mended.Store(true)
				n.Eventually(hasWorkers(n, 2))
			})
		}
	}
}

// A list of more endpoints than the bound is refused by its place, and the last good list stands.
func TestAListOfTooManyEndpointsIsRefused(t *testing.T) {
	d := newFakeDiscovery(t)
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	limits := lists.DefaultLimits
	limits.Endpoints = 5000
	n.On(func() { n.Front.SetListLimits(limits) })
	reloadDiscovery(n, d.Addr().String())
	text, good := largeList(t, 8, largeFleet, w), largeList(t, 9, 5000, w)
	d.serve(t, func(c discoveryCall) {
		if n.Logged("discovery: unusable answer") {
			c.sendFullList(good)
		} else {
			c.sendWithLength(text)
		}
	})
	n.Eventually(func() bool { return n.Logged("list refused at endpoint 5001: the list over 5000 endpoints") })
	assert.Equal(t, 200, n.Ask("board-view", "k", "id-1", 5000, "").Status)
	n.Eventually(hasWorkers(n, 5000))
}
