package platform_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// sendCallback reports a job as done on a connection of its own, and returns the status of the response.
func sendCallback(t *testing.T, n *standin.Node, worker, id string) int {
	c := standin.Dial(t, n.Front.Address())
	defer c.Close()
	body := fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"ok"}`, id, worker)
	c.Send(fmt.Sprintf("POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	return readStatus(t, c)
}

// startSecondProcess starts a second process of a scheduler at the same address, and sets the number of processes to two in
// both.
func startSecondProcess(t *testing.T, n *standin.Node, workers ...*standin.Worker) *standin.Node {
	other := standin.Start(t, func(c *config.Config) { c.Listen = n.Front.Address() }, workers...)
	for _, process := range []*standin.Node{n, other} {
		process.RunOnLoop(func() { process.Front.DivideLimits(2) })
	}
	return other
}

// A callback that reaches the other process of its scheduler is accepted at the worker's first try.
//
// A worker repeats a callback ten times at most, each time on a new connection, which the kernel assigns to any process. When
// a process refused callbacks of IDs that it does not know, one job in 1,024 had its callback never reach the right one of
// two processes, and one in 57 with three processes: the job was done, but its client got a failure at the deadline. In this
// test such a process refuses about half of all callbacks at the first try.
func TestCallbackToOtherProcessIsForwarded(t *testing.T) {
	const jobs = 60
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	startSecondProcess(t, n, w)
	for i := range jobs {
		id := fmt.Sprint("id-", i)
		got := submit(n, "move", id)
		n.Eventually(func() bool { return len(w.Jobs()) == i+1 })
		require.Equal(t, 204, sendCallback(t, n, "s-1", id), "callback of job %d", i)
		assert.Equal(t, standin.Answer{Status: 200, Body: "ok"}, receive(t, got))
	}
}

// A callback of a job that no process knows is refused after a bounded number of forwarding attempts, and is not forwarded
// endlessly between the processes.
func TestUnknownCallbackIsRefused(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	startSecondProcess(t, n, w)
	for range 3 {
		assert.Equal(t, 503, sendCallback(t, n, "s-1", "unknown-id"))
	}
}
