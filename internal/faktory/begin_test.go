package faktory_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
	"cobaltflow/rules"
)

// repeatWindow is the time in which a move may be repeated in startWithWaitingAttempt.
const repeatWindow = 500 * time.Millisecond

// startWithWaitingAttempt returns a node with a request of the HTTP front whose second attempt waits for a FETCH of w-1, which
// runs another job. The first attempt's connection broke before the 202, so that it may have run.
func startWithWaitingAttempt(t *testing.T) (n *standin.Node, w *standin.Faktory, answer chan standin.Answer) {
	table := standin.NewWorker(t, "s-1", func(_ *standin.Worker, _ string, rw http.ResponseWriter, _ *http.Request) {
		nc, _, err := rw.(http.Hijacker).Hijack()
		if err == nil {
			nc.Close()
		}
	})
	n = start(t, func(c *config.Config) {
		c.Settings.Classes[1].Effect, c.Settings.Classes[1].Window = rules.Keyed, repeatWindow.Microseconds()
	}, table)
	w, got := startFetching(n, "w-1")
	require.Equal(t, "OK", session(n, "").Do("PUSH", `{"jid":"busy-0001","jobtype":"settle","queue":"default","args":[]}`))
	if (<-got)[0] != "busy-0001" {
		t.Fatal("the worker is not busy")
	}
	answer = make(chan standin.Answer, 1)
	go func() { answer <- n.SendRequest("move", "k", "waits-001", 8000, "") }()
	n.Eventually(func() (waits bool) {
		n.RunOnLoop(func() { waits = n.Faktory.Pending("w-1") == 1 })
		return waits
	})
	return n, w, answer
}

// requireNotFetched requires that the worker's next FETCH gets no job, and that the request is answered.
func requireNotFetched(t *testing.T, n *standin.Node, w *standin.Faktory, answer chan standin.Answer) {
	jid, _ := w.Fetch()
	assert.Empty(t, jid)
	select {
	case got := <-answer:
		assert.NotEqual(t, http.StatusOK, got.Status)
	case <-time.After(standin.WaitTimeout):
		t.Error("no answer")
	}
}

// Guards against a by_key request that reaches a worker which fetches after the window in which it may be repeated: the attempt
// had waited for the FETCH.
func TestAttemptIsNotFetchedAfterItsWindow(t *testing.T) {
	n, w, answer := startWithWaitingAttempt(t)
	time.Sleep(repeatWindow)
	requireNotFetched(t, n, w, answer)
}

// Guards against an attempt that is fetched by a worker which an operator has taken out meanwhile.
func TestAttemptIsNotFetchedByADisabledWorker(t *testing.T) {
	n, w, answer := startWithWaitingAttempt(t)
	n.RunOnLoop(func() { n.Core.SetWorkerDisabled("faktory:w-1", true) })
	requireNotFetched(t, n, w, answer)
}
