package core

import "cobaltflow/rules"

// DetachClient handles the disconnect of a client whose request should still finish if a worker may have begun it: the
// client may fetch the answer later. Attempts that have not begun are cancelled, and no further attempt begins, however
// the remaining ones end. The request gets its answer when the last attempt ends; without attempts, at once.
func (c *Core) DetachClient(request *Request) {
	if request.closed || request.clientDetached {
		return
	}
	request.clientDetached = true
	c.traceClientGone(request)
	for _, ref := range append([]Ref(nil), request.inFlight...) {
		if attempt, ok := c.attempts.Get(ref); ok && attempt.transport != nil && !attempt.transport.HasBegun(attempt) {
			attempt.transport.Cancel(attempt)
			c.endAttempt(attempt, rules.NotSent, nil, rules.Load{})
		}
	}
	if !request.closed && len(request.inFlight) == 0 {
		c.answer(request, c.answerWithoutResult(request), reasonClientGone)
		request.Pool.dispatcher.ClientDisconnected(c.Loop.now, rules.RequestID(request.ID))
		c.releaseIfDone(request)
	}
}

// answerWithoutResult returns the answer to a request that ends without a result: a refusal if it never ran or may run
// again, else a failure.
func (c *Core) answerWithoutResult(request *Request) Answer {
	if !request.mayHaveRun || c.isRepeatable(request) {
		return newRefusal(0)
	}
	return Answer{Kind: Failed}
}
