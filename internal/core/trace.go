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
	whyDone      = "done"
	whyEnding    = "process-ends"
	whyLeft      = "client-left"
	whyUndecided = "no-decision"
)

// tracing tells whether single requests are logged. The lines' values would else be put together for nothing.
func (c *Core) tracing() bool { return c.Log.Enabled(context.Background(), slog.LevelDebug) }

func (c *Core) traceAttempt(p *ProxyPass) {
	if c.tracing() {
		c.Log.Debug("request: attempt", "id", p.Transaction.ID, "attempt", p.Number, "worker", p.Worker,
			"left_ms", p.Transaction.Left(c.Loop.now)/Millisecond)
	}
}

func (c *Core) traceEnd(p *ProxyPass, status rules.Status) {
	if c.tracing() {
		c.Log.Debug("request: attempt ended", "id", p.Transaction.ID, "attempt", p.Number, "worker", p.Worker,
			"status", status.String(), "may_have_run", !status.NeverRan(), "after_ms", (c.Loop.now-p.sent)/Millisecond)
	}
}

func (c *Core) traceAnswer(t *Transaction, a Answer, why string) {
	if c.tracing() {
		c.Log.Debug("request: answered", "id", t.ID, "answer", a.Kind.String(), "reason", why, "attempts", t.passes,
			"may_have_run", t.ran, "left_ms", t.Left(c.Loop.now)/Millisecond)
	}
}

func (c *Core) traceLeft(t *Transaction) {
	if c.tracing() {
		c.Log.Debug("request: client left", "id", t.ID, "attempts", t.passes, "out", len(t.out))
	}
}
