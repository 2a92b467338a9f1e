package core

import "cobaltflow/rules"

// Leave tells that the client of a request has gone, where an attempt that a worker may have begun goes on: its end is
// the request's, and gives it its one answer, which the client may look up. Attempts that have not begun are withdrawn,
// and no further one begins, however that one ends. A request with no attempt out is answered at once.
func (c *Core) Leave(t *Transaction) {
	if t.closed || t.left {
		return
	}
	t.left = true
	c.traceLeft(t)
	for _, ref := range append([]Ref(nil), t.out...) {
		if p, ok := c.passes.Get(ref); ok && p.carrier != nil && !p.carrier.Begun(p) {
			p.carrier.Withdraw(p)
			c.end(p, rules.NotSent, nil, rules.Load{})
		}
	}
	if !t.closed && len(t.out) == 0 {
		c.answer(t, c.unserved(t), whyLeft)
		t.Pool.dispatcher.ClientDisconnected(c.Loop.now, rules.RequestID(t.ID))
		c.settle(t)
	}
}

// unserved is the answer to a request that ends with no result: a refusal where it never ran or may be repeated.
func (c *Core) unserved(t *Transaction) Answer {
	if !t.ran || !t.Single && c.settings.Classes[t.Work.Class].Effect == rules.Repeatable {
		return unavailableAnswer(0)
	}
	return Answer{Kind: Failed}
}
