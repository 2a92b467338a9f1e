package platform_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"

	"cobaltflow/internal/core"
	"cobaltflow/internal/standin"
)

// A process that has handed over to a successor, and received SIGTERM more than 1.8 s ago, refuses a new job at once, with
// Retry-After. 3.2 s after SIGTERM it answers its open requests and closes its listener.
func TestHandOverRefusesLateJobsAndClosesListener(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	held := make(chan standin.Answer)
	go func() { held <- n.SendRequest("board-view", "k", "id-0", 9000, "") }() // open until the shutdown answers it
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	n.RunOnLoop(func() {
		n.Front.HandOver()
		n.Front.StopSince(n.Loop.Now()-2500*core.Millisecond, func() {})
	})
	got := n.SendRequest("board-view", "k", "id-1", 5000, "")
	assert.Equal(t, standin.Answer{Status: 503, Body: "this process ends; try again\n", RetryAfter: "0"}, got)
	assert.Len(t, w.Jobs(), 1, "the late job reached a worker")
	assert.Equal(t, 503, (<-held).Status, "answered by the shutdown at 3.2 s")
	n.Eventually(func() bool {
		c, err := net.Dial("tcp", n.Front.Address())
		if err == nil {
			c.Close()
		}
		return err != nil
	})
}
