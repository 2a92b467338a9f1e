package core

import (
	"context"
	"log/slog"

	"cobaltflow/rules"
)

// At debug level the log shows the course of each request: its attempts, how they ended, and the reason of its answer. An
// attempt after the first is a retry; the end of the attempt before it is the reason.

// Reasons of answers that the Dispatcher did not decide on; for its own see rules.Reason.
const (
	reasonDone        = "done"
	reasonProcessEnds = "process-ends"
	reasonClientGone  = "client-left"
	reasonNoDecision  = "no-decision"
)

// isTracing returns whether single requests are logged. The trace functions check it first to save the cost of collecting
// the values of a line that is not written.
func (c *Core) isTracing() bool { return c.Log.Enabled(context.Background(), slog.LevelDebug) }

func (c *Core) traceAttempt(attempt *Attempt) {
	if c.isTracing() {
		c.Log.Debug("request: attempt", "id", attempt.request.ID, "attempt", attempt.Number, "worker", attempt.Worker,
			"left_ms", attempt.request.TimeLeft(c.Loop.now)/Millisecond)
	}
}

func (c *Core) traceEnd(attempt *Attempt, status rules.Status) {
	if c.isTracing() {
		c.Log.Debug("request: attempt ended", "id", attempt.request.ID, "attempt", attempt.Number, "worker", attempt.Worker,
			"status", status.String(), "may_have_run", !status.NeverRan(), "after_ms", (c.Loop.now-attempt.sentAt)/Millisecond)
	}
}

func (c *Core) traceAnswer(request *Request, answer Answer, reason string) {
	if c.isTracing() {
		c.Log.Debug("request: answered", "id", request.ID, "answer", answer.Kind.String(), "reason", reason, "attempts",
			request.attempts, "may_have_run", request.mayHaveRun, "left_ms", request.TimeLeft(c.Loop.now)/Millisecond)
	}
}

func (c *Core) traceClientGone(request *Request) {
	if c.isTracing() {
		c.Log.Debug("request: client left", "id", request.ID, "attempts", request.attempts, "out", len(request.inFlight))
	}
}
