package core

import "cobaltflow/rules"

// Leave tells that the client of a request has gone, where an attempt that a worker may have begun goes on: its end is
// the request's, and gives it its one answer, which the client may look up. Attempts that have not begun are withdrawn,
// and no further one begins, however that one ends. A request with no attempt out is answered at once.
func (c *Core) DetachClient(t *Request) {
	if t.closed || t.clientDetached {
		return
	}
	t.clientDetached = true
	c.traceClientGone(t)
	for _, ref := range append([]Ref(nil), t.inFlight...) {
		if p, ok := c.attempts.Get(ref); ok && p.transport != nil && !p.transport.HasBegun(p) {
			p.transport.Cancel(p)
			c.endAttempt(p, rules.NotSent, nil, rules.Load{})
		}
	}
	if !t.closed && len(t.inFlight) == 0 {
		c.answer(t, c.answerWithoutResult(t), reasonClientGone)
		t.Pool.dispatcher.ClientDisconnected(c.Loop.now, rules.RequestID(t.ID))
		c.releaseIfDone(t)
	}
}

// unserved is the answer to a request that ends with no result: a refusal where it never ran or may be repeated.
func (c *Core) answerWithoutResult(t *Request) Answer {
	if !t.mayHaveRun || !t.AtMostOnce && c.settings.Classes[t.Job.Class].Effect == rules.Repeatable {
		return newRefusal(0)
	}
	return Answer{Kind: Failed}
}
