package faktory_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"cobaltflow/internal/standin"
)

// No job of a Faktory client is open at a table worker when the listener that its callback needs begins to close. Guards
// against a lost callback in a handover: the HTTP fronts' requests are answered by then, those of Faktory only after stop_s.
func TestNoJobIsOpenBehindAClosedListener(t *testing.T) {
	w := standin.NewWorker(t, "s-1", func(_ *standin.Worker, _ string, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(202) })
	n := start(t, nil, w)
	session(n, "").Send("PUSH {\"jid\":\"job-0001\",\"jobtype\":\"settle\",\"queue\":\"default\",\"args\":[]}\r\n")
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	open := make(chan int, 1)
	n.RunOnLoop(func() {
		n.Front.HandOver()
		n.Faktory.Drain(false)
		n.Front.OnListenerDrain(func() { open <- n.Core.OpenRequests() })
		n.Front.StopSince(n.Loop.Now()-n.Front.AnswerTimeout(), n.Loop.Stop)
	})
	assert.Zero(t, <-open, "open requests as the listener begins to drain")
}
