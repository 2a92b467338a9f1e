package platform_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/standin"
)

// One test with real sockets for each rule.

func closeConn(_ *standin.Worker, _ string, rw http.ResponseWriter, _ *http.Request) {
	c, _, _ := rw.(http.Hijacker).Hijack()
	c.Close()
}

func acceptOnly(_ *standin.Worker, _ string, rw http.ResponseWriter, _ *http.Request) {
	rw.WriteHeader(202)
}

func TestServesWhatAWorkerGave(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	for i := range 3 {
		id := fmt.Sprint("id-", i)
		require.Equal(t, standin.Answer{Status: 200, Body: "s-1 did " + id}, n.Ask("move", "u?q=1", id, 5000, "the move"))
		job := w.Jobs()[i]
		assert.Equal(t, id, job.ID)
		assert.Equal(t, "/move/u?q=1", job.Target)
		assert.Equal(t, "the move", job.Body)
	}
	assert.Equal(t, 1, w.Conns(), "connections to a worker are kept")
}

func TestCallBackMayComeBeforeThe202(t *testing.T) {
	w := standin.NewWorker(t, "s-1", func(w *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
		w.Call(id, "started", nil)
		w.Call(id, "done", map[string]any{"result": "early"})
		rw.WriteHeader(202)
	})
	n := standin.Start(t, nil, w)
	require.Equal(t, standin.Answer{Status: 200, Body: "early"}, n.Ask("settle", "k", "id-early", 5000, ""))
	require.Equal(t, 200, n.Ask("settle", "k", "id-after", 5000, "").Status, "the connection is of use afterwards")
}

// What may have run is sent again only where the class permits it.
func TestResendsByClassAndOutcome(t *testing.T) {
	state := func(name string) func(*standin.Worker, string, http.ResponseWriter, *http.Request) {
		return func(w *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
			rw.WriteHeader(202)
			go w.Call(id, name, nil)
		}
	}
	answer := func(status int, unprocessed string) func(*standin.Worker, string, http.ResponseWriter, *http.Request) {
		return func(_ *standin.Worker, _ string, rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(platform.HeaderUnprocessed, unprocessed)
			rw.WriteHeader(status)
		}
	}
	for name, c := range map[string]struct {
		class string
		do    func(*standin.Worker, string, http.ResponseWriter, *http.Request)
		again bool
		want  int // where it is not sent again
	}{
		"reset, once":             {"move", closeConn, false, 500},
		"reset, repeatable":       {"board-view", closeConn, true, 0},
		"lost, once":              {"settle", state("lost"), false, 500},
		"lost, repeatable":        {"board-view", state("lost"), true, 0},
		"failed, once":            {"move", state("failed"), false, 500},
		"returned, once":          {"settle", state("returned"), true, 0},
		"500, once":               {"settle", answer(500, ""), false, 500},
		"503 unprocessed, once":   {"move", answer(503, "1"), true, 0},
		"504 unprocessed, once":   {"move", answer(504, "1"), true, 0},
		"503 without word, once":  {"move", answer(503, ""), false, 500},
		"a status unknown, once":  {"settle", answer(418, ""), false, 500},
		"500, repeatable":         {"board-view", answer(500, ""), true, 0},
		"503 without, repeatable": {"board-view", answer(503, ""), true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			do := func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					c.do(w, id, rw, r)
					return
				}
				standin.Done(w, id, rw, r)
			}
			a, b := standin.NewWorker(t, "s-1", do), standin.NewWorker(t, "s-2", do)
			n := standin.Start(t, nil, a, b)
			got := n.Ask(c.class, "k", "id-1", 4000, "x")
			runs := len(a.Jobs()) + len(b.Jobs())
			if c.again {
				assert.Equal(t, 200, got.Status)
				assert.Equal(t, 2, runs)
			} else {
				assert.Equal(t, c.want, got.Status)
				assert.Equal(t, 1, runs, "never again once it may have run")
			}
		})
	}
}

func TestUnreachableWorkerNeverRan(t *testing.T) {
	dead, live := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
	n := standin.Start(t, nil, dead, live)
	dead.Stop()
	for i := range 8 {
		require.Equal(t, 200, n.Ask("settle", fmt.Sprint("k", i), fmt.Sprint("id-", i), 5000, "").Status)
	}
	assert.True(t, n.Logged("reason=refused"))
}

func TestAnswersByTheDeadlineAndGivesTheJobUp(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	require.Equal(t, 500, n.Ask("move", "k", "id-slow", 300, "").Status, "it may have run: no refusal")
	n.Eventually(func() bool { return w.Deleted("id-slow") })
	assert.Equal(t, 204, w.Call("id-slow", "done", map[string]any{"result": "late"}), "and changes nothing")
	n.On(func() { assert.Zero(t, n.Core.OpenRequests()+n.Core.InFlightAttempts()) })
}

func TestRefusesWithATimeToReturn(t *testing.T) {
	n := standin.Start(t, nil)
	got := n.Ask("settle", "k", "id-1", 200, "")
	require.Equal(t, 503, got.Status, "it never ran")
	assert.NotEmpty(t, got.RetryAfter)
}

func TestClientThatLeavesHasItsJobGivenUp(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	c := standin.Dial(t, n.Front.Address())
	c.Say("POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id-left\r\nX-Time-Left-Ms: " + longTimeLeft + "\r\n\r\n")
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	c.Close()
	n.Eventually(func() bool { return w.Deleted("id-left") || n.Logged("reason=given-up") })
	n.Eventually(func() (none bool) {
		n.On(func() { none = n.Core.OpenRequests()+n.Core.InFlightAttempts() == 0 })
		return none
	})
}

func TestDrainingAndGoneWorkersGetNothingNew(t *testing.T) {
	a, b := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
	n := standin.Start(t, nil, a, b)
	for i, status := range []string{"draining", "removed"} {
		n.Farm.Say(string(n.Farm.Tell(false, a.Entry(status))))
		n.Farm.Say(fmt.Sprintf("no list %d", i)) // logged after what came before has been taken
		n.Eventually(func() bool { return n.Logged("bad line kept out") })
		n.ClearLog()
		before := len(a.Jobs())
		for j := range 6 {
			require.Equal(t, 200, n.Ask("board-view", fmt.Sprint("k", j), fmt.Sprintf("id-%d-%d", i, j), 5000, "").Status)
		}
		assert.Equal(t, before, len(a.Jobs()))
	}
}

func TestBadDiscoveryLinesAreKeptOut(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	for _, line := range []string{"{\n", `{"snapshot":true,"endpoints":[]}`, `{"index":9,"snapshot":true,"endpoints":[{"name":""}]}`,
		`{"index":9,"snapshot":true,"endpoints":[{"name":"s-1","status":"up"}]}`, `{"index":"x"}`} {
		n.Farm.Say(line)
		n.Eventually(func() bool { return n.Logged("bad line kept out") })
		n.ClearLog()
	}
	require.Equal(t, 200, n.Ask("move", "k", "id-1", 5000, "").Status, "the last good list stands")
}

func TestStaleAndForeignCallBacksChangeNothing(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	url := n.URL(platform.PathEvents)
	// An id never seen here may be that of another process at this address, as at an upgrade: the worker is
	// to try again on a new connection.
	assert.Equal(t, 503, standin.Event(url, map[string]any{"id": "before-restart", "from": "s-1", "state": "done"}))
	got := make(chan standin.Answer)
	go func() { got <- n.Ask("move", "k", "id-1", 9000, "") }()
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	assert.Equal(t, 204, standin.Event(url, map[string]any{"id": "id-1", "from": "s-9", "state": "done", "result": "not mine"}))
	assert.Equal(t, 204, standin.Event(url, map[string]any{"id": "id-1", "from": "s-1", "state": "a new one"}))
	assert.Equal(t, 204, w.Call("id-1", "done", map[string]any{"result": "mine"}))
	assert.Equal(t, 204, w.Call("id-1", "done", map[string]any{"result": "twice"}))
	assert.Equal(t, "mine", (<-got).Body)
}

func TestBadInputReachesNoWorker(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	const good = "Host: x\r\nX-Correlation-Id: id\r\nX-Time-Left-Ms: 1000\r\n"
	for text, want := range map[string]int{
		"POST /move/k HTTP/1.1\nHost: x\r\n\r\n":                                                       400,
		"POST /move/k HTTP/1.1\r\n" + good + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n":          400,
		"POST /move/k HTTP/1.1\r\n" + good + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n": 400,
		"POST /move/k HTTP/1.1\r\n" + good + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n":               400,
		"POST /move/k HTTP/1.1\r\n" + good + "Content-Length: 65537\r\n\r\n":                           413,
		"POST /move/k HTTP/1.1\r\n" + good + "X: " + strings.Repeat("a", 17<<10) + "\r\n\r\n":          431,
		"POST /nothing/k HTTP/1.1\r\n" + good + "\r\n":                                                 404,
		"GET /move/k HTTP/1.1\r\n" + good + "\r\n":                                                     405,
		"GET /v1/job-events HTTP/1.1\r\n" + good + "\r\n":                                              405,
		"POST /-/ready HTTP/1.1\r\n" + good + "\r\n":                                                   405,
		"POST /v1/job-events HTTP/1.1\r\n" + good + "Content-Length: 2\r\n\r\n{}":                      400,
		"POST /move/k HTTP/1.1\r\nHost: x\r\nX-Time-Left-Ms: 1000\r\n\r\n":                             400,
		"POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: a b\r\nX-Time-Left-Ms: 1\r\n\r\n":       400,
		"POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id\r\n\r\n":                             400,
		"POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id\r\nX-Time-Left-Ms: -5\r\n\r\n":       400,
		"POST /move/k HTTP/1.1\r\n" + good + "X-Service-Class: settle\r\n\r\n":                         400,
		"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n":                                                     200,
	} {
		c := standin.Dial(t, n.Front.Address())
		c.Say(text)
		r, err := http.ReadResponse(c.R, nil)
		require.NoError(t, err, text)
		assert.Equal(t, want, r.StatusCode, text)
		assert.Equal(t, want != 200, r.Close, "the connection ends with it")
		c.Close()
	}
	assert.Empty(t, w.Jobs())
	assert.True(t, n.Logged("reason=bad-input"))
}

func TestAnIdInUseIsNotTakenTwice(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	got := make(chan standin.Answer)
	go func() { got <- n.Ask("move", "k", "id-1", 9000, "") }()
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	assert.Equal(t, 400, n.Ask("move", "k", "id-1", 9000, "").Status)
	w.Call("id-1", "done", nil)
	assert.Equal(t, 200, (<-got).Status)
	assert.Len(t, w.Jobs(), 1)
}

// After SIGTERM what was taken is answered, workers can still call back, and idle clients are closed.
func TestStopAnswersAllThatWasTaken(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	idle := standin.Dial(t, n.Front.Address())
	idle.Say("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err := http.ReadResponse(idle.R, nil)
	require.NoError(t, err)
	got := make(chan standin.Answer)
	go func() { got <- n.Ask("settle", "k", "id-1", 9000, "") }()
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	n.On(func() { n.Front.Stop(n.Loop.Stop) })
	go func() { got <- n.Ask("settle", "k", "id-2", 9000, "") }() // it may still be sent here for a while
	n.Eventually(func() bool { return len(w.Jobs()) == 2 })
	_, err = idle.R.ReadByte()
	require.ErrorIs(t, err, io.EOF, "idle ones are closed")
	w.Call("id-1", "done", nil)
	w.Call("id-2", "done", nil)
	assert.Equal(t, 200, (<-got).Status)
	assert.Equal(t, 200, (<-got).Status)
	<-n.Ended
}

func TestConnectionsOverTheBudgetAreShed(t *testing.T) {
	n := standin.Start(t, func(c *config.Config) { c.Limits.Sockets = 64 })
	for range 40 {
		standin.Dial(t, n.Front.Address()).Say("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	n.Eventually(func() bool { return n.Logged("reason=over-budget") })
}

// Where all connections are busy the new one is closed, and none of the busy ones.
func TestBusyConnectionsAreKeptOverTheBudget(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, func(c *config.Config) { c.Limits.Sockets = 64 }, w)
	busy := 24
	for i := range busy {
		standin.Dial(t, n.Front.Address()).Say(fmt.Sprintf("POST /board-view/k%d HTTP/1.1\r\nHost: x\r\n"+
			"X-Correlation-Id: id-%d\r\nX-Time-Left-Ms: 9000\r\n\r\n", i, i))
	}
	n.Eventually(func() bool { return openRequests(n) == busy })
	_, err := standin.Dial(t, n.Front.Address()).R.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	n.Eventually(func() bool { return n.Logged("reason=over-budget") })
	assert.Equal(t, busy, openRequests(n))
}

// A connection that is cut off with a request in hand has it hung up before its buffer is given back:
// what is still to be sent of it would else be read from memory that is in use again.
func TestFloodingPeerIsCutOffAndItsRequestHungUp(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	c := standin.Dial(t, n.Front.Address())
	c.Say("POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id-1\r\nX-Time-Left-Ms: 9000\r\n\r\n")
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	go c.Write(make([]byte, 1<<20))
	n.Eventually(func() bool { return n.Logged("reason=flooding") })
	n.On(func() { assert.Zero(t, n.Core.OpenRequests()) })
}

func TestIdleWorkerConnectionsAreRetired(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, func(c *config.Config) { c.Names.ConnIdle = 400_000 }, w)
	require.Equal(t, 200, n.Ask("move", "k", "id-1", 5000, "").Status)
	n.Eventually(func() bool { return n.Logged("party=worker") && n.Logged("reason=idle") })
	require.Equal(t, 200, n.Ask("move", "k", "id-2", 5000, "").Status)
	assert.Equal(t, 2, w.Conns())
}

// What may be sent twice goes to a new connection when a kept one turns out to be closed: it says nothing
// of the worker, and a job given up must not run on for it.
func TestWithdrawalIsSentAgainWhenAKeptConnectionBreaks(t *testing.T) {
	var cuts atomic.Int32
	w := standin.NewWorker(t, "s-1", acceptOnly)
	w.Cut = func(r *http.Request) bool { return r.Method == "DELETE" && cuts.Add(1) == 1 }
	n := standin.Start(t, nil, w)
	require.Equal(t, 500, n.Ask("move", "k", "id-slow", 300, "").Status)
	n.Eventually(func() bool { return w.Deleted("id-slow") })
	assert.EqualValues(t, 2, cuts.Load())
}

// What is still open when the platform may soon kill us gets its answer before: a refusal where asking
// again elsewhere is harmless, else a failure. Left to the kill, a client would learn nothing.
func TestWhatIsOpenIsAnsweredBeforeTheKill(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	view, move, settle := make(chan standin.Answer), make(chan standin.Answer), make(chan standin.Answer)
	go func() { view <- n.Ask("board-view", "k", "id-1", 60_000, "") }()
	go func() { move <- n.Ask("move", "k", "id-2", 60_000, "") }()
	n.Eventually(func() bool { return len(w.Jobs()) == 2 })
	n.Farm.Say(string(n.Farm.Tell(false, w.Entry("draining"))))
	n.Farm.Say("no list") // logged after what came before has been taken
	n.Eventually(func() bool { return n.Logged("bad line kept out") })
	go func() { settle <- n.Ask("settle", "k", "id-3", 60_000, "") }()
	n.Eventually(func() bool { return openRequests(n) == 3 })
	n.On(func() { n.Front.Stop(n.Loop.Stop) })
	n.Eventually(func() bool { return openRequests(n) == 0 })
	got := <-view
	assert.Equal(t, 503, got.Status)
	assert.NotEmpty(t, got.RetryAfter)
	assert.Equal(t, 500, (<-move).Status, "it may have run")
	assert.Equal(t, 503, (<-settle).Status, "it never left")
	n.Eventually(func() bool { return w.Deleted("id-1") && w.Deleted("id-2") })
	<-n.Ended
}

// Clients go on using the connections they have: for a while after SIGTERM these are kept and served.
func TestKeptConnectionsAreServedForAWhileAfterSIGTERM(t *testing.T) {
	n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
	c := standin.Dial(t, n.Front.Address())
	for i := range 3 {
		c.Say(fmt.Sprintf(requestHead, fmt.Sprint("id-", i)) + "\r\n")
		r, err := http.ReadResponse(c.R, nil)
		require.NoError(t, err)
		assert.Equal(t, 200, r.StatusCode)
		assert.False(t, r.Close)
		io.Copy(io.Discard, r.Body)
		n.On(func() { n.Front.Stop(n.Loop.Stop) })
	}
	_, err := c.R.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "and closed then")
	<-n.Ended
}
