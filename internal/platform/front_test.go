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

// Tests of the front with real sockets: routing of requests, callbacks, retries, limits and shutdown.

// closeConn is a worker's handler that closes the connection without a response.
func closeConn(_ *standin.Worker, _ string, rw http.ResponseWriter, _ *http.Request) {
	c, _, _ := rw.(http.Hijacker).Hijack()
	c.Close()
}

// acceptOnly is a worker's handler that answers 202 and never sends a callback.
func acceptOnly(_ *standin.Worker, _ string, rw http.ResponseWriter, _ *http.Request) {
	rw.WriteHeader(202)
}

// A request reaches a worker with its ID, target and body, and its client gets the worker's result.
func TestClientGetsWorkersResult(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	for i := range 3 {
		id := fmt.Sprint("id-", i)
		require.Equal(t, standin.Answer{Status: 200, Body: "s-1 did " + id}, n.SendRequest("move", "u?q=1", id, 5000, "the move"))
		job := w.Jobs()[i]
		assert.Equal(t, id, job.ID)
		assert.Equal(t, "/move/u?q=1", job.Target)
		assert.Equal(t, "the move", job.Body)
		// The callback may have overtaken the 202, before which the connection is in use.
		eventuallyOnLoop(n, func() bool { return n.Front.IdleConns() == 1 })
	}
	assert.Equal(t, 1, w.ConnCount(), "the connection to the worker is reused")
}

// A callback may arrive before the 202 of its request.
func TestCallbackBefore202IsAccepted(t *testing.T) {
	w := standin.NewWorker(t, "s-1", func(w *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
		w.SendCallback(id, "started", nil)
		w.SendCallback(id, "done", map[string]any{"result": "early"})
		rw.WriteHeader(202)
	})
	n := standin.Start(t, nil, w)
	require.Equal(t, standin.Answer{Status: 200, Body: "early"}, n.SendRequest("settle", "k", "id-early", 5000, ""))
	require.Equal(t, 200, n.SendRequest("settle", "k", "id-after", 5000, "").Status, "the connection can be used again")
}

// A request that may have run is retried only if its class permits that.
func TestRetriesByClassAndOutcome(t *testing.T) {
	state := func(name string) func(*standin.Worker, string, http.ResponseWriter, *http.Request) {
		return func(w *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
			rw.WriteHeader(202)
			go w.SendCallback(id, name, nil)
		}
	}
	answer := func(status int, unprocessed string) func(*standin.Worker, string, http.ResponseWriter, *http.Request) {
		return func(_ *standin.Worker, _ string, rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(platform.HeaderUnprocessed, unprocessed)
			rw.WriteHeader(status)
		}
	}
	for name, c := range map[string]struct {
		class     string
		do        func(*standin.Worker, string, http.ResponseWriter, *http.Request)
		isRetried bool
		want      int // status if it is not retried
	}{
		"reset, once":                           {"move", closeConn, false, 500},
		"reset, repeatable":                     {"board-view", closeConn, true, 0},
		"lost, once":                            {"settle", state("lost"), false, 500},
		"lost, repeatable":                      {"board-view", state("lost"), true, 0},
		"failed, once":                          {"move", state("failed"), false, 500},
		"returned, once":                        {"settle", state("returned"), true, 0},
		"500, once":                             {"settle", answer(500, ""), false, 500},
		"503 unprocessed, once":                 {"move", answer(503, "1"), true, 0},
		"504 unprocessed, once":                 {"move", answer(504, "1"), true, 0},
		"503 without X-Unprocessed, once":       {"move", answer(503, ""), false, 500},
		"unknown status, once":                  {"settle", answer(418, ""), false, 500},
		"500, repeatable":                       {"board-view", answer(500, ""), true, 0},
		"503 without X-Unprocessed, repeatable": {"board-view", answer(503, ""), true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			do := func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					c.do(w, id, rw, r)
					return
				}
				standin.CompleteJob(w, id, rw, r)
			}
			a, b := standin.NewWorker(t, "s-1", do), standin.NewWorker(t, "s-2", do)
			n := standin.Start(t, nil, a, b)
			got := n.SendRequest(c.class, "k", "id-1", 4000, "x")
			runs := len(a.Jobs()) + len(b.Jobs())
			if c.isRetried {
				assert.Equal(t, 200, got.Status)
				assert.Equal(t, 2, runs)
			} else {
				assert.Equal(t, c.want, got.Status)
				assert.Equal(t, 1, runs, "a request that may have run is not retried")
			}
		})
	}
}

// A request whose worker can't be reached never ran, so that one of any class goes to another worker.
func TestRequestToUnreachableWorkerIsRetried(t *testing.T) {
	dead, live := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
	n := standin.Start(t, nil, dead, live)
	dead.Stop()
	for i := range 8 {
		require.Equal(t, 200, n.SendRequest("settle", fmt.Sprint("k", i), fmt.Sprint("id-", i), 5000, "").Status)
	}
	assert.True(t, n.HasLogged("reason=refused"))
}

// At the deadline the client gets a failure and the worker's job is cancelled. A late callback has no effect.
func TestAnswersByDeadlineAndCancelsJob(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	require.Equal(t, 500, n.SendRequest("move", "k", "id-slow", 300, "").Status, "it may have run, so it is no refusal")
	n.Eventually(func() bool { return w.WasDeleted("id-slow") })
	assert.Equal(t, 204, w.SendCallback("id-slow", "done", map[string]any{"result": "late"}), "a late callback is accepted and ignored")
	n.RunOnLoop(func() { assert.Zero(t, n.Core.OpenRequests()+n.Core.InFlightAttempts()) })
}

// A request that no worker could be found for is refused with Retry-After.
func TestRefusalHasRetryAfter(t *testing.T) {
	n := standin.Start(t, nil)
	got := n.SendRequest("settle", "k", "id-1", 200, "")
	require.Equal(t, 503, got.Status, "it never ran")
	assert.NotEmpty(t, got.RetryAfter)
}

// The job of a client that disconnects is cancelled, by a DELETE or, before its 202, by closing the connection.
func TestClientDisconnectCancelsJob(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	c := standin.Dial(t, n.Front.Address())
	c.Send("POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id-left\r\nX-Time-Left-Ms: " + longTimeLeft + "\r\n\r\n")
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	c.Close()
	n.Eventually(func() bool { return w.WasDeleted("id-left") || n.HasLogged("reason=given-up") })
	n.Eventually(func() (isIdle bool) {
		n.RunOnLoop(func() { isIdle = n.Core.OpenRequests()+n.Core.InFlightAttempts() == 0 })
		return isIdle
	})
}

// Workers that are draining or removed get no new jobs.
func TestDrainingAndRemovedWorkersGetNoJobs(t *testing.T) {
	a, b := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
	n := standin.Start(t, nil, a, b)
	for i, status := range []string{"draining", "removed"} {
		n.Discovery.SendLine(string(n.Discovery.EncodeList(false, a.ListEntry(status))))
		n.Discovery.SendLine(fmt.Sprintf("no list %d", i)) // the node logs this line after it has applied the ones before
		n.Eventually(func() bool { return n.HasLogged("bad line kept out") })
		n.ClearLog()
		before := len(a.Jobs())
		for j := range 6 {
			require.Equal(t, 200, n.SendRequest("board-view", fmt.Sprint("k", j), fmt.Sprintf("id-%d-%d", i, j), 5000, "").Status)
		}
		assert.Equal(t, before, len(a.Jobs()))
	}
}

// Malformed lines of discovery are logged and ignored.
func TestMalformedDiscoveryLinesAreIgnored(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	for _, line := range []string{"{\n", `{"snapshot":true,"endpoints":[]}`, `{"index":9,"snapshot":true,"endpoints":[{"name":""}]}`,
		`{"index":9,"snapshot":true,"endpoints":[{"name":"s-1","status":"up"}]}`, `{"index":"x"}`} {
		n.Discovery.SendLine(line)
		n.Eventually(func() bool { return n.HasLogged("bad line kept out") })
		n.ClearLog()
	}
	require.Equal(t, 200, n.SendRequest("move", "k", "id-1", 5000, "").Status, "the last valid list stays in force")
}

// Callbacks of unknown jobs, from another worker, with an unknown state or after the job's end have no effect.
func TestStaleAndUnknownCallbacksHaveNoEffect(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	url := n.URL(platform.PathEvents)
	// An unknown ID may belong to another process at this address, for instance during an upgrade, so the worker has to
	// retry on a new connection.
	assert.Equal(t, 503, standin.PostCallback(url, map[string]any{"id": "before-restart", "from": "s-1", "state": "done"}))
	got := make(chan standin.Answer)
	go func() { got <- n.SendRequest("move", "k", "id-1", 9000, "") }()
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	assert.Equal(t, 204, standin.PostCallback(url, map[string]any{"id": "id-1", "from": "s-9", "state": "done", "result": "not mine"}))
	assert.Equal(t, 204, standin.PostCallback(url, map[string]any{"id": "id-1", "from": "s-1", "state": "a new one"}))
	assert.Equal(t, 204, w.SendCallback("id-1", "done", map[string]any{"result": "mine"}))
	assert.Equal(t, 204, w.SendCallback("id-1", "done", map[string]any{"result": "twice"}))
	assert.Equal(t, "mine", (<-got).Body)
}

// A malformed or unsupported request is answered with an error that closes the connection, and reaches no worker.
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
		c.Send(text)
		r, err := http.ReadResponse(c.Reader, nil)
		require.NoError(t, err, text)
		assert.Equal(t, want, r.StatusCode, text)
		assert.Equal(t, want != 200, r.Close, "the connection ends with the error")
		c.Close()
	}
	assert.Empty(t, w.Jobs())
	assert.True(t, n.HasLogged("reason=bad-input"))
}

// A request with the ID of an open request is rejected.
func TestIDInUseIsRejected(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	got := make(chan standin.Answer)
	go func() { got <- n.SendRequest("move", "k", "id-1", 9000, "") }()
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	assert.Equal(t, 400, n.SendRequest("move", "k", "id-1", 9000, "").Status)
	w.SendCallback("id-1", "done", nil)
	assert.Equal(t, 200, (<-got).Status)
	assert.Len(t, w.Jobs(), 1)
}

// After SIGTERM all admitted requests are answered, workers can still send callbacks, and idle connections are closed.
func TestStopAnswersAllAdmittedRequests(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	idle := standin.Dial(t, n.Front.Address())
	idle.Send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err := http.ReadResponse(idle.Reader, nil)
	require.NoError(t, err)
	got := make(chan standin.Answer)
	go func() { got <- n.SendRequest("settle", "k", "id-1", 9000, "") }()
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	n.RunOnLoop(func() { n.Front.Stop(n.Loop.Stop) })
	go func() { got <- n.SendRequest("settle", "k", "id-2", 9000, "") }() // new requests are still accepted for a while
	n.Eventually(func() bool { return len(w.Jobs()) == 2 })
	_, err = idle.Reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "idle connections are closed")
	w.SendCallback("id-1", "done", nil)
	w.SendCallback("id-2", "done", nil)
	assert.Equal(t, 200, (<-got).Status)
	assert.Equal(t, 200, (<-got).Status)
	<-n.Ended
}

// Connections above the clients' budget are closed.
func TestConnectionsOverBudgetAreEvicted(t *testing.T) {
	n := standin.Start(t, func(c *config.Config) { c.Limits.Sockets = 64 })
	for range 40 {
		standin.Dial(t, n.Front.Address()).Send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	n.Eventually(func() bool { return n.HasLogged("reason=over-budget") })
}

// If all connections in the budget are busy, a new one is closed and the busy ones are kept.
func TestBusyConnectionsAreNotEvicted(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, func(c *config.Config) { c.Limits.Sockets = 64 }, w)
	busy := 24
	for i := range busy {
		standin.Dial(t, n.Front.Address()).Send(fmt.Sprintf("POST /board-view/k%d HTTP/1.1\r\nHost: x\r\n"+
			"X-Correlation-Id: id-%d\r\nX-Time-Left-Ms: 9000\r\n\r\n", i, i))
	}
	n.Eventually(func() bool { return openRequests(n) == busy })
	_, err := standin.Dial(t, n.Front.Address()).Reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	n.Eventually(func() bool { return n.HasLogged("reason=over-budget") })
	assert.Equal(t, busy, openRequests(n))
}

// A connection that floods beyond all that clients may have unread is closed, and its open request is cancelled.
func TestFloodingClientIsDisconnected(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, func(c *config.Config) { c.Limits.MemoryMB = 1 }, w)
	c := standin.Dial(t, n.Front.Address())
	c.Send("POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id-1\r\nX-Time-Left-Ms: 9000\r\n\r\n")
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	go c.Write(make([]byte, 1<<20))
	n.Eventually(func() bool { return n.HasLogged("reason=flooding") })
	n.RunOnLoop(func() { assert.Zero(t, n.Core.OpenRequests()) })
}

// Connections to workers that have been idle for too long are closed.
func TestIdleWorkerConnectionsAreClosed(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, func(c *config.Config) { c.Names.ConnIdleTimeout = 400_000 }, w)
	require.Equal(t, 200, n.SendRequest("move", "k", "id-1", 5000, "").Status)
	n.Eventually(func() bool { return n.HasLogged("party=worker") && n.HasLogged("reason=idle") })
	require.Equal(t, 200, n.SendRequest("move", "k", "id-2", 5000, "").Status)
	assert.Equal(t, 2, w.ConnCount())
}

// A message that may be sent twice, like the cancellation of a job, is sent again on a new connection if an idle connection
// turns out to be closed. That close says nothing about the worker, and a cancelled job must not keep running because of it.
func TestCancellationIsResentWhenIdleConnectionIsClosed(t *testing.T) {
	var cuts atomic.Int32
	w := standin.NewWorker(t, "s-1", acceptOnly)
	w.ShouldDrop = func(r *http.Request) bool { return r.Method == "DELETE" && cuts.Add(1) == 1 }
	n := standin.Start(t, nil, w)
	require.Equal(t, 500, n.SendRequest("move", "k", "id-slow", 300, "").Status)
	n.Eventually(func() bool { return w.WasDeleted("id-slow") })
	assert.EqualValues(t, 2, cuts.Load())
}

// Requests that are still open shortly before the platform may kill the process are answered: with a refusal if a retry
// elsewhere is safe, else with a failure. After the kill their clients would get no answer at all.
func TestOpenRequestsAreAnsweredBeforeKill(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	view, move, settle := make(chan standin.Answer), make(chan standin.Answer), make(chan standin.Answer)
	go func() { view <- n.SendRequest("board-view", "k", "id-1", 60_000, "") }()
	go func() { move <- n.SendRequest("move", "k", "id-2", 60_000, "") }()
	n.Eventually(func() bool { return len(w.Jobs()) == 2 })
	n.Discovery.SendLine(string(n.Discovery.EncodeList(false, w.ListEntry("draining"))))
	n.Discovery.SendLine("no list") // the node logs this line after it has applied the ones before
	n.Eventually(func() bool { return n.HasLogged("bad line kept out") })
	go func() { settle <- n.SendRequest("settle", "k", "id-3", 60_000, "") }()
	n.Eventually(func() bool { return openRequests(n) == 3 })
	n.RunOnLoop(func() { n.Front.Stop(n.Loop.Stop) })
	n.Eventually(func() bool { return openRequests(n) == 0 })
	got := <-view
	assert.Equal(t, 503, got.Status)
	assert.NotEmpty(t, got.RetryAfter)
	assert.Equal(t, 500, (<-move).Status, "it may have run")
	assert.Equal(t, 503, (<-settle).Status, "it was never sent")
	n.Eventually(func() bool { return w.WasDeleted("id-1") && w.WasDeleted("id-2") })
	<-n.Ended
}

// Clients go on using their open connections, which are kept and served for a while after SIGTERM.
func TestKeepAliveConnectionsAreServedAfterSIGTERM(t *testing.T) {
	n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
	c := standin.Dial(t, n.Front.Address())
	for i := range 3 {
		c.Send(fmt.Sprintf(requestHead, fmt.Sprint("id-", i)) + "\r\n")
		r, err := http.ReadResponse(c.Reader, nil)
		require.NoError(t, err)
		assert.Equal(t, 200, r.StatusCode)
		assert.False(t, r.Close)
		io.Copy(io.Discard, r.Body)
		n.RunOnLoop(func() { n.Front.Stop(n.Loop.Stop) })
	}
	_, err := c.Reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "closed once connections are no longer kept")
	<-n.Ended
}
