package platform_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// callBack tells of a job's end on a connection of its own, and gives the status.
func sendCallback(t *testing.T, n *standin.Node, worker, id string) int {
	c := standin.Dial(t, n.Front.Address())
	defer c.Close()
	body := fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"ok"}`, id, worker)
	c.Say(fmt.Sprintf("POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	return readStatus(t, c)
}

// beside starts a second process of a scheduler at the same address, and has both count two.
func startSecondProcess(t *testing.T, n *standin.Node, workers ...*standin.Worker) *standin.Node {
	other := standin.Start(t, func(c *config.Config) { c.Listen = n.Front.Address() }, workers...)
	for _, process := range []*standin.Node{n, other} {
		process.On(func() { process.Front.DivideLimits(2) })
	}
	return other
}

// A callback that reaches the other process of its scheduler is taken all the same, at its first try.
//
// Seen: the audit of what two processes of a scheduler share. A worker repeats a callback ten times at most, each on a new
// connection, and the kernel gives each to either process: one in 1,024 never reaches the process that has the job, one in 57
// where three processes live. The job is done, and its client is told at its deadline that it failed.
// Cause: a process refused callbacks of ids that it does not know and left the rest to chance.
// Proof: here about half of all callbacks are refused at their first try.
func TestACallbackThatReachesTheOtherProcessIsTaken(t *testing.T) {
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

// A callback of a job that no process knows is refused, after a bounded number of tries, and none is passed on for ever.
func TestACallbackThatNobodyKnowsIsRefused(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	startSecondProcess(t, n, w)
	for range 3 {
		assert.Equal(t, 503, sendCallback(t, n, "s-1", "nobody's"))
	}
}
