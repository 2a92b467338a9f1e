package http2_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	xhttp2 "golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"cobaltflow/internal/standin"
)

// The front drains with two GOAWAYs: accepted streams get their answers, streams past the last accepted one are refused
// without reaching a worker, and the process ends.
func TestDrainAnswersAcceptedStreamsAndRefusesLaterOnes(t *testing.T) {
	hold := make(chan string, 4)
	w := standin.NewWorker(t, "s-1", func(_ *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(202)
		hold <- id
	})
	n := start(t, nil, w)
	r := dial(n)
	accepted := r.sendRequest("settle", "id-1", 15000, true)
	<-hold
	n.Gateway.Stop()
	first := r.readUntil(t, isGoAway).(*xhttp2.GoAwayFrame)
	assert.Equal(t, []uint32{1<<31 - 1, 0}, []uint32{first.LastStreamID, uint32(first.ErrCode)})
	late := r.sendRequest("settle", "id-2", 15000, true)
	<-hold
	last := r.readUntil(t, isGoAway).(*xhttp2.GoAwayFrame)
	assert.Equal(t, late, last.LastStreamID)
	past := r.sendRequest("settle", "id-3", 15000, true)
	reset := r.readUntil(t, func(f xhttp2.Frame) bool { _, yes := f.(*xhttp2.RSTStreamFrame); return yes }).(*xhttp2.RSTStreamFrame)
	assert.Equal(t, []any{past, xhttp2.ErrCodeRefusedStream}, []any{reset.StreamID, reset.ErrCode})
	for _, id := range []string{"id-1", "id-2"} {
		w.SendCallback(id, "done", map[string]any{"result": "r"})
	}
	answered := map[uint32]bool{}
	r.readUntil(t, func(f xhttp2.Frame) bool {
		if d, yes := f.(*xhttp2.DataFrame); yes && d.StreamEnded() {
			answered[d.StreamID] = true
		}
		return len(answered) == 2
	})
	assert.True(t, answered[accepted] && answered[late])
	<-n.Ended
	assert.Len(t, w.Jobs(), 2, "the refused request reached no worker")
}

// A stream that is still open when the platform may soon kill the process is answered before, as any other request.
func TestOpenStreamsAreAnsweredBeforeShutdownEnds(t *testing.T) {
	w := standin.NewWorker(t, "s-1", func(_ *standin.Worker, _ string, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(202) })
	n := start(t, nil, w)
	r := dial(n)
	stream := r.sendRequest("settle", "id-1", 15000, true)
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	n.RunOnLoop(func() { n.HTTP2.Drain(1000) })
	r.readUntil(t, func(f xhttp2.Frame) bool {
		h, yes := f.(*xhttp2.HeadersFrame)
		return yes && h.StreamID == stream
	})
	n.RunOnLoop(func() { assert.Zero(t, n.Core.OpenRequests()) })
	n.Eventually(func() bool { return w.WasDeleted("id-1") || n.HasLogged("reason=given-up") })
}

// A connection dies with a hundred open streams: each job has one final state in the ledger, and no move runs twice.
func TestEveryJobOfALostConnectionHasOneFinalState(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	w := standin.NewWorker(t, "s-1", func(w *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		runs[id]++
		mu.Unlock()
		rw.WriteHeader(202)
		go func() {
			w.SendCallback(id, "started", nil)
			w.SendCallback(id, "done", map[string]any{"result": "r"})
		}()
	})
	n := start(t, nil, w)
	r := dial(n)
	for i := range 100 {
		r.sendRequest("move", fmt.Sprint("id-", i), 5000, true)
	}
	n.Eventually(func() bool { return len(w.Jobs()) > 20 })
	r.nc.Close()
	c := newClient(n)
	n.Eventually(func() bool {
		for i := range 100 {
			if s := jobState(n, c, fmt.Sprint("id-", i)).State; s == "open" {
				return false
			}
		}
		return true
	})
	mu.Lock()
	defer mu.Unlock()
	for i := range 100 {
		id := fmt.Sprint("id-", i)
		s := jobState(n, c, id).State
		assert.LessOrEqual(t, runs[id], 1, id)
		if s == "" { // not read before the connection died, so never accepted
			assert.Zero(t, runs[id], id)
			assert.Greater(t, i, 20, "the first streams were accepted")
			continue
		}
		assert.Contains(t, []string{"served", "refused", "failed"}, s, id)
		if s == "refused" {
			assert.Zero(t, runs[id], "%s is said never to have run", id)
		}
	}
	n.RunOnLoop(func() { assert.Zero(t, n.Core.OpenRequests()) })
}

// Guards against a client that has lost its connection in a drain and can't learn how its job ended: look-ups are served on
// connections that are opened after the last GOAWAY, jobs are refused there.
func TestJobCanBeLookedUpAfterTheLastGoAway(t *testing.T) {
	held := holdJobs(t, 2)
	n := start(t, nil, held.workers...)
	r := dial(n)
	r.sendRequest("settle", "id-1", 15000, true)
	n.Eventually(func() bool { return held.count() == 1 })
	drainToLastGoAway(t, n, r)
	r.nc.Close()
	lookUp := func() (status string, body string) {
		late := dial(n)
		decoder := hpack.NewDecoder(4096, nil)
		late.writeFields(1, true, [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/jobs/id-1"}, {":authority", "x"}}...)
		late.readUntil(t, func(f xhttp2.Frame) bool {
			switch f := f.(type) {
			case *xhttp2.RSTStreamFrame:
				require.Fail(t, "the look-up was refused", "%v", f.ErrCode)
			case *xhttp2.HeadersFrame:
				fields, err := decoder.DecodeFull(f.HeaderBlockFragment())
				require.NoError(t, err)
				status = fields[0].Value
				return f.StreamEnded()
			case *xhttp2.DataFrame:
				body += string(f.Data())
				return f.StreamEnded()
			}
			return false
		})
		return status, body
	}
	status, body := lookUp()
	assert.Equal(t, "200", status)
	assert.Contains(t, body, `"open"`)
	enterRefused(t, dial(n))
	held.finish("id-1")
	n.Eventually(func() bool {
		_, body := lookUp()
		return strings.Contains(body, `"served"`)
	})
	assert.Equal(t, 1, held.count())
}
