package faktory_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/link"
	"cobaltflow/internal/standin"
)

// A PUSH that waits behind another command of its session has no reply yet: if the session ends before, the job is not
// accepted and no worker gets it. A job whose PUSH was answered with OK is kept.
func TestUnansweredPushIsDroppedWithItsSession(t *testing.T) {
	n := start(t, nil)
	first := session(n, "w-1")
	first.Send("PUSH {\"jid\":\"job-0001\",\"jobtype\":\"move\",\"queue\":\"q\",\"args\":[]}\r\n")
	require.Equal(t, "OK", first.Reply())
	first.Send("FETCH other\r\nPUSH {\"jid\":\"job-0002\",\"jobtype\":\"move\",\"queue\":\"q\",\"args\":[]}\r\n") // the FETCH waits
	n.Eventually(func() (waits bool) {
		n.RunOnLoop(func() { waits = n.Faktory.Waiting() == 1 })
		return waits
	})
	first.Close()
	n.Eventually(func() bool { return n.HasLogged("party=faktory") })
	w, second := session(n, "w-2"), session(n, "")
	require.Equal(t, "OK", second.Do("PUSH", `{"jid":"job-0003","jobtype":"move","queue":"q","args":[]}`))
	for _, want := range []string{"job-0001", "job-0003"} {
		text := ""
		n.Eventually(func() bool { text = w.Do("FETCH", "q"); return text != "(none)" })
		assert.Contains(t, text, want)
	}
	assert.Contains(t, second.Do("TRACK", "GET job-0002"), `"unknown"`)
}

// Guards against a job that is handed to a worker which has left, and may not run again: the poller has yet to learn of the end,
// or the session's turns wait, since much is pipelined behind its FETCH.
func TestNoJobIsHandedToAWorkerThatHasLeft(t *testing.T) {
	const job = `{"jid":"job-0001","jobtype":"move","queue":"q","args":[],"retry":-1}`
	for name, leave := range map[string]func(n *standin.Node, w *standin.Faktory){
		"unseen": func(n *standin.Node, w *standin.Faktory) {
			resume := standin.PausePoller(n)
			w.Close()
			n.RunOnLoop(func() { assert.NoError(t, n.Faktory.PushForTest(job)) })
			n.RunOnLoop(func() {}) // the turn in which the attempt is sent
			resume()
		},
		"pipelined": func(n *standin.Node, w *standin.Faktory) {
			w.Send(strings.Repeat("FETCH q\r\n", 2*link.MaxBacklogBytes/link.MinMessageCost))
			n.Eventually(func() bool { return n.Gateway.Poller().Unhandled() == 0 })
			w.Close()
			time.Sleep(50 * time.Millisecond) // the end has arrived, and is noticed or not
			n.RunOnLoop(func() { assert.NoError(t, n.Faktory.PushForTest(job)) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := start(t, nil)
			w := session(n, "w-1")
			w.Send("FETCH q\r\n")
			n.Eventually(func() (waits bool) {
				n.RunOnLoop(func() { waits = n.Faktory.Waiting() == 1 })
				return waits
			})
			leave(n, w)
			other := session(n, "w-2")
			text := ""
			n.Eventually(func() bool { text = other.Do("FETCH", "q"); return text != "(none)" })
			assert.Contains(t, text, "job-0001")
		})
	}
}
