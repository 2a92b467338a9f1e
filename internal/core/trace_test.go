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

// At debug level the log shows each attempt of a request, how it ended, and the reason of the answer. At info level, the one
// used in production, it shows nothing of single requests.
func TestDebugLogShowsWhyARequestWasRetriedAndFailed(t *testing.T) {
	run := func(level slog.Level) string {
		var log bytes.Buffer
		s := &stub{}
		c := newCore(t, s, "a", "b")
		c.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: level}))
		accept(c, s, "r")
		for n, status := range []rules.Status{rules.Unreachable, rules.Reset} {
			require.Len(t, s.sent, n+1)
			c.Loop.turn([]func(){func() { c.AttemptEnded(s.sent[n].Ref, status, nil, rules.Load{}) }})
		}
		assert.Equal(t, Failed, s.last.Kind)
		return log.String()
	}
	log := run(slog.LevelDebug)
	for _, line := range []string{
		`msg="request: attempt" id=r attempt=0 worker=`,
		`msg="request: attempt ended" id=r attempt=0 worker=`,
		`status=unreachable may_have_run=false`,
		`msg="request: attempt" id=r attempt=1 worker=`,
		`status=reset may_have_run=true`,
		`msg="request: answered" id=r answer=failed reason=not-repeated attempts=2 may_have_run=true`,
	} {
		at := strings.Index(log, line)
		require.GreaterOrEqual(t, at, 0, "%s is not in the log, after the lines before it:\n%s", line, log)
		log = log[at+len(line):]
	}
	assert.NotContains(t, run(slog.LevelInfo), "request:")
}

// An answer that the Dispatcher did not decide on has a reason in the log, and so has a client's disconnect.
func TestDebugLogShowsWhyARequestEnded(t *testing.T) {
	for reason, end := range map[string]func(c *Core, request *Request){
		"answer=refused reason=process-ends": func(c *Core, _ *Request) { c.AbortRequests(func(Client) bool { return true }) },
		"answer=refused reason=client-left":  func(c *Core, request *Request) { c.DetachClient(request) },
		`msg="request: client left" id=r`:    func(c *Core, request *Request) { c.ClientDisconnected(request) },
	} {
		var log bytes.Buffer
		s := &stub{}
		c := newCore(t, s, "a")
		c.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
		request := accept(c, s, "r")
		c.Loop.turn([]func(){func() { end(c, request) }})
		assert.Contains(t, log.String(), reason)
	}
}
