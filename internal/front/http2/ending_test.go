package http2_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	xhttp2 "golang.org/x/net/http2"

	"cobaltflow/internal/standin"
)

// The front goes away in two steps: streams that were taken get their answers, those past the last are refused and
// were never taken, and the process ends.
func TestDrain(t *testing.T) {
	hold := make(chan string, 4)
	w := standin.NewWorker(t, "s-1", func(_ *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(202)
		hold <- id
	})
	n := start(t, nil, w)
	r := dial(n)
	taken := r.post("settle", "id-1", 15000, true)
	<-hold
	n.Gateway.Stop()
	first := r.until(t, goAway).(*xhttp2.GoAwayFrame)
	assert.Equal(t, []uint32{1<<31 - 1, 0}, []uint32{first.LastStreamID, uint32(first.ErrCode)})
	late := r.post("settle", "id-2", 15000, true)
	<-hold
	last := r.until(t, goAway).(*xhttp2.GoAwayFrame)
	assert.Equal(t, late, last.LastStreamID)
	past := r.post("settle", "id-3", 15000, true)
	reset := r.until(t, func(f xhttp2.Frame) bool { _, yes := f.(*xhttp2.RSTStreamFrame); return yes }).(*xhttp2.RSTStreamFrame)
	assert.Equal(t, []any{past, xhttp2.ErrCodeRefusedStream}, []any{reset.StreamID, reset.ErrCode})
	for _, id := range []string{"id-1", "id-2"} {
		w.Call(id, "done", map[string]any{"result": "r"})
	}
	answered := map[uint32]bool{}
	r.until(t, func(f xhttp2.Frame) bool {
		if d, yes := f.(*xhttp2.DataFrame); yes && d.StreamEnded() {
			answered[d.StreamID] = true
		}
		return len(answered) == 2
	})
	assert.True(t, answered[taken] && answered[late])
	<-n.Ended
	assert.Len(t, w.Jobs(), 2, "what was refused was never taken")
}

// A stream that is still open when the platform may soon kill the process gets its answer before, as any other request.
func TestOpenStreamsAreAnsweredBeforeTheKill(t *testing.T) {
	w := standin.NewWorker(t, "s-1", func(_ *standin.Worker, _ string, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(202) })
	n := start(t, nil, w)
	r := dial(n)
	stream := r.post("settle", "id-1", 15000, true)
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	n.On(func() { n.HTTP2.Drain(1000) })
	r.until(t, func(f xhttp2.Frame) bool {
		h, yes := f.(*xhttp2.HeadersFrame)
		return yes && h.StreamID == stream
	})
	n.On(func() { assert.Zero(t, n.Core.OpenRequests()) })
	n.Eventually(func() bool { return w.Deleted("id-1") || n.Logged("reason=given-up") })
}

// A connection that dies with a hundred streams open: each job has its one end in the ledger, no move runs twice.
func TestConnectionDiesWithAHundredStreams(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	w := standin.NewWorker(t, "s-1", func(w *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		runs[id]++
		mu.Unlock()
		rw.WriteHeader(202)
		go func() {
			w.Call(id, "started", nil)
			w.Call(id, "done", map[string]any{"result": "r"})
		}()
	})
	n := start(t, nil, w)
	r := dial(n)
	for i := range 100 {
		r.post("move", fmt.Sprint("id-", i), 5000, true)
	}
	n.Eventually(func() bool { return len(w.Jobs()) > 20 })
	r.nc.Close()
	c := client(n)
	n.Eventually(func() bool {
		for i := range 100 {
			if s := state(n, c, fmt.Sprint("id-", i)).State; s == "open" {
				return false
			}
		}
		return true
	})
	mu.Lock()
	defer mu.Unlock()
	for i := range 100 {
		id := fmt.Sprint("id-", i)
		s := state(n, c, id).State
		assert.LessOrEqual(t, runs[id], 1, id)
		if s == "" { // what was not read before the connection died was never taken
			assert.Zero(t, runs[id], id)
			assert.Greater(t, i, 20, "some had been")
			continue
		}
		assert.Contains(t, []string{"served", "refused", "failed"}, s, id)
		if s == "refused" {
			assert.Zero(t, runs[id], "%s is said never to have run", id)
		}
	}
	n.On(func() { assert.Zero(t, n.Core.OpenRequests()) })
}
