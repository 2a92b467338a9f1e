package core

import (
	"context"
	"log/slog"

	"cobaltflow/rules"
)

// The log at its debug level tells what becomes of each request: its attempts, how they ended, and why it was answered as
// it was. An attempt behind the first is a retry, for the reason that the end before it tells.

// Why a request was answered where the decisions were not asked; rules.Reason has theirs.
const (
	reasonDone        = "done"
	reasonProcessEnds = "process-ends"
	reasonClientGone  = "client-left"
	reasonNoDecision  = "no-decision"
)

// tracing tells whether single requests are logged. The lines' values would else be put together for nothing.
func (c *Core) isTracing() bool { return c.Log.Enabled(context.Background(), slog.LevelDebug) }

func (c *Core) traceAttempt(p *Attempt) {
	if c.isTracing() {
		c.Log.Debug("request: attempt", "id", p.Request.ID, "attempt", p.Number, "worker", p.Worker,
			"left_ms", p.Request.TimeLeft(c.Loop.now)/Millisecond)
	}
}

func (c *Core) traceEnd(p *Attempt, status rules.Status) {
	if c.isTracing() {
		c.Log.Debug("request: attempt ended", "id", p.Request.ID, "attempt", p.Number, "worker", p.Worker,
			"status", status.String(), "may_have_run", !status.NeverRan(), "after_ms", (c.Loop.now-p.sentAt)/Millisecond)
	}
}

func (c *Core) traceAnswer(t *Request, a Answer, why string) {
	if c.isTracing() {
		c.Log.Debug("request: answered", "id", t.ID, "answer", a.Kind.String(), "reason", why, "attempts", t.attempts,
			"may_have_run", t.mayHaveRun, "left_ms", t.TimeLeft(c.Loop.now)/Millisecond)
	}
}

func (c *Core) traceClientGone(t *Request) {
	if c.isTracing() {
		c.Log.Debug("request: client left", "id", t.ID, "attempts", t.attempts, "out", len(t.inFlight))
	}
}
