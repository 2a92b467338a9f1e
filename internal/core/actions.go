package core

import "cobaltflow/rules"

// carryOut carries out what the decisions asked for in this turn, in the order they asked for it.
func (c *Core) carryOut() {
	for i := 0; i < len(c.queue); i++ {
		c.queue[i]()
	}
	clear(c.queue)
	c.queue = c.queue[:0]
	c.flushTold()
}

// flushTold sends what was told. The front may have closed its socket since, in the same turn: then nobody can be told.
func (c *Core) flushTold() {
	if len(c.telling) > 0 && c.Tell != nil {
		c.Tell(c.telling)
	}
	c.telling = c.telling[:0]
}

// actions takes what the decisions ask for. Nothing is carried out within their call.
type actions struct{ pool *Pool }

func (a actions) do(f func()) { a.pool.core.queue = append(a.pool.core.queue, f) }

// Send implements rules.Actions.
func (a actions) Send(id rules.RequestID, until Time, w rules.WorkerID) {
	c := a.pool.core
	if t := c.byID[string(id)]; t != nil {
		t.sending++
	}
	a.do(func() { c.send(string(id), until, string(w)) })
}

func (c *Core) send(id string, until Time, worker string) {
	t := c.byID[id]
	if t == nil {
		c.Log.Error("a send for a transaction that is not open", "id", id)
		return
	}
	p := &ProxyPass{Transaction: t, Worker: worker, Number: t.passes, sent: c.Loop.now}
	t.passes++
	t.sending--
	p.Ref = c.passes.Add(p)
	t.out = append(t.out, p.Ref)
	w := t.Pool.farm.workers[worker]
	if t.closed || t.left || c.Loop.now >= t.Deadline || w == nil || w.carrier == nil {
		// It never left. The outcome comes in a later turn, as every other does.
		c.Loop.Post(func() { c.Ended(p.Ref, rules.NotSent, nil, rules.Load{}) })
		return
	}
	c.Counts.Passes++
	c.traceAttempt(p)
	p.carrier = w.carrier
	if until > 0 && until < t.Deadline {
		c.Loop.At(until, func() {
			if _, out := c.passes.Get(p.Ref); out {
				status := rules.TimedOut
				if !p.carrier.Withdraw(p) {
					status = rules.NotSent
				}
				c.end(p, status, nil, rules.Load{})
			}
		})
	}
	p.carrier.Carry(p)
	if agent, ok := t.Agent.(Placed); ok {
		agent.Placed(t, p)
	}
}

// Cancel implements rules.Actions.
func (a actions) Cancel(id rules.RequestID, attempt int) {
	a.do(func() {
		c := a.pool.core
		t := c.byID[string(id)]
		if t == nil {
			return
		}
		for _, ref := range t.out {
			p, ok := c.passes.Get(ref)
			if !ok || p.Number != attempt || p.carrier == nil {
				continue
			}
			status := rules.Cancelled
			if !p.carrier.Withdraw(p) {
				status = rules.NotSent
			}
			c.Loop.Post(func() { c.Ended(ref, status, nil, rules.Load{}) })
			return
		}
	})
}

// Refuse implements rules.Actions.
func (a actions) Refuse(id rules.RequestID, retryAfter Time, why rules.Reason) {
	a.final(id, unavailableAnswer(retryAfter), why.String())
}

// Fail implements rules.Actions.
func (a actions) Fail(id rules.RequestID, why rules.Reason) {
	a.final(id, Answer{Kind: Failed}, why.String())
}

func (a actions) final(id rules.RequestID, answer Answer, why string) {
	a.do(func() {
		c := a.pool.core
		if t := c.byID[string(id)]; t != nil {
			c.answer(t, answer, why)
			c.settle(t)
		}
	})
}

// Timer implements rules.Actions.
func (a actions) Timer(delay Time, token uint64) {
	p := a.pool
	loop := p.core.Loop
	loop.At(loop.now+max(0, delay), func() {
		if !p.closed {
			p.dispatcher.TimerDue(loop.now, token)
		}
	})
}

// Probe implements rules.Actions.
func (a actions) Probe(w rules.WorkerID) {
	a.do(func() {
		c := a.pool.core
		c.Counts.Probes++
		if m := a.pool.farm.workers[string(w)]; m != nil && m.carrier != nil {
			m.carrier.Probe(string(w))
			return
		}
		c.Loop.Post(func() { c.Probed(string(w), rules.Unreachable, 0, rules.Load{}) })
	})
}

// Tell implements rules.Actions. What is told in one turn goes out together.
func (a actions) Broadcast(data []byte) {
	c := a.pool.core
	if c.Tell == nil || a.pool != c.main {
		return
	}
	if len(c.telling)+len(data) > MostTold {
		c.flushTold()
	}
	c.telling = append(c.telling, data...)
}

// Watch implements rules.Actions. Discovery is watched from the start and for good.
func (a actions) Watch(bool) {}

// Fetch implements rules.Actions. The watch holds the whole list.
func (a actions) Fetch() {}

// Log implements rules.Actions.
func (a actions) Log(text string) { a.pool.core.Log.Info("decisions", "text", text) }
