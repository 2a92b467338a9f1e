package faktory_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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
