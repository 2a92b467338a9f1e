package faktory_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a worker that an operator has taken out and that still gets the jobs of a queue of its own: the directive was
// applied to the workers of the main queue alone.
func TestDisabledWorkerGetsNoJobsOfAnyQueue(t *testing.T) {
	n := start(t, nil)
	w, c := session(n, "w-1"), session(n, "")
	require.Equal(t, "(none)", w.Do("FETCH", "payments"))
	var isListed bool
	n.RunOnLoop(func() { isListed = n.Core.SetWorkerDisabled("faktory:w-1", true) })
	assert.True(t, isListed, "a worker that fetches from another queue than the main one is listed too")
	for _, queue := range []string{"payments", "refunds"} { // the worker has asked for the first, and not yet for the second
		require.Equal(t, "OK", c.Do("PUSH", `{"jid":"job-`+queue+`","jobtype":"settle","queue":"`+queue+`","args":[]}`))
		assert.Equal(t, "(none)", w.Do("FETCH", queue), queue)
	}
	n.RunOnLoop(func() { n.Core.SetWorkerDisabled("faktory:w-1", false) })
	for _, queue := range []string{"payments", "refunds"} {
		assert.Contains(t, w.Do("FETCH", queue), "job-"+queue)
	}
}
