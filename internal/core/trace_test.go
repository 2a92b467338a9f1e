package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/rules"
)

// The log at debug tells the way of one request: each attempt, how it ended, and why the answer is what it is. At info, as in
// production, it tells nothing of single requests.
func TestTheLogTellsWhyARequestWasRetriedAndFailed(t *testing.T) {
	play := func(level slog.Level) string {
		var log bytes.Buffer
		s := &stub{}
		c := newCore(t, s, "a", "b")
		c.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: level}))
		take(c, s, "r")
		for n, status := range []rules.Status{rules.Unreachable, rules.Reset} {
			require.Len(t, s.carried, n+1)
			c.Loop.turn([]func(){func() { c.AttemptEnded(s.carried[n].Ref, status, nil, rules.Load{}) }})
		}
		assert.Equal(t, Failed, s.last.Kind)
		return log.String()
	}
	log := play(slog.LevelDebug)
	for _, line := range []string{
		`msg="request: attempt" id=r attempt=0 worker=`,
		`msg="request: attempt ended" id=r attempt=0 worker=`,
		`status=unreachable may_have_run=false`,
		`msg="request: attempt" id=r attempt=1 worker=`,
		`status=reset may_have_run=true`,
		`msg="request: answered" id=r answer=failed reason=not-repeated attempts=2 may_have_run=true`,
	} {
		at := strings.Index(log, line)
		require.GreaterOrEqual(t, at, 0, "%s, behind what came before, in:\n%s", line, log)
		log = log[at+len(line):]
	}
	assert.NotContains(t, play(slog.LevelInfo), "request:")
}

// What is answered without the decisions has a reason too, and so has a client that leaves.
func TestTheLogTellsWhoEndedARequest(t *testing.T) {
	for reason, end := range map[string]func(c *Core, tr *Request){
		"answer=refused reason=process-ends": func(c *Core, _ *Request) { c.AbortRequests(func(Client) bool { return true }) },
		"answer=refused reason=client-left":  func(c *Core, tr *Request) { c.DetachClient(tr) },
		`msg="request: client left" id=r`:    func(c *Core, tr *Request) { c.ClientDisconnected(tr) },
	} {
		var log bytes.Buffer
		s := &stub{}
		c := newCore(t, s, "a")
		c.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
		tr := take(c, s, "r")
		c.Loop.turn([]func(){func() { end(c, tr) }})
		assert.Contains(t, log.String(), reason)
	}
}
