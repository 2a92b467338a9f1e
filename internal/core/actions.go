package core

import "cobaltflow/rules"

// carryOut carries out what the decisions asked for in this turn, in the order they asked for it.
func (c *Core) runPendingActions() {
	for i := 0; i < len(c.pendingActions); i++ {
		c.pendingActions[i]()
	}
	clear(c.pendingActions)
	c.pendingActions = c.pendingActions[:0]
	c.flushBroadcast()
}

// flushTold sends what was told. The front may have closed its socket since, in the same turn: then nobody can be told.
func (c *Core) flushBroadcast() {
	if len(c.broadcastBuffer) > 0 && c.Broadcast != nil {
		c.Broadcast(c.broadcastBuffer)
	}
	c.broadcastBuffer = c.broadcastBuffer[:0]
}

// actions takes what the decisions ask for. Nothing is carried out within their call.
type actions struct{ pool *Pool }

func (a actions) enqueue(f func()) {
	a.pool.core.pendingActions = append(a.pool.core.pendingActions, f)
}

// Send implements rules.Actions.
func (a actions) Send(id rules.RequestID, until Time, w rules.WorkerID) {
	c := a.pool.core
	if t := c.byID[string(id)]; t != nil {
		t.queuedSends++
	}
	a.enqueue(func() { c.send(string(id), until, string(w)) })
}

func (c *Core) send(id string, until Time, worker string) {
	t := c.byID[id]
	if t == nil {
		c.Log.Error("a send for a transaction that is not open", "id", id)
		return
	}
	p := &Attempt{Request: t, Worker: worker, Number: t.attempts, sentAt: c.Loop.now}
	t.attempts++
	t.queuedSends--
	p.Ref = c.attempts.Add(p)
	t.inFlight = append(t.inFlight, p.Ref)
	w := t.Pool.list.workers[worker]
	if t.closed || t.clientDetached || c.Loop.now >= t.Deadline || w == nil || w.transport == nil {
		// It never left. The outcome comes in a later turn, as every other does.
		c.Loop.Post(func() { c.AttemptEnded(p.Ref, rules.NotSent, nil, rules.Load{}) })
		return
	}
	c.Counts.Attempts++
	c.traceAttempt(p)
	p.transport = w.transport
	if until > 0 && until < t.Deadline {
		c.Loop.At(until, func() {
			if _, out := c.attempts.Get(p.Ref); out {
				status := rules.TimedOut
				if !p.transport.Cancel(p) {
					status = rules.NotSent
				}
				c.endAttempt(p, status, nil, rules.Load{})
			}
		})
	}
	p.transport.Send(p)
	if agent, ok := t.Client.(AttemptObserver); ok {
		agent.AttemptSent(t, p)
	}
}

// Cancel implements rules.Actions.
func (a actions) Cancel(id rules.RequestID, attempt int) {
	a.enqueue(func() {
		c := a.pool.core
		t := c.byID[string(id)]
		if t == nil {
			return
		}
		for _, ref := range t.inFlight {
			p, ok := c.attempts.Get(ref)
			if !ok || p.Number != attempt || p.transport == nil {
				continue
			}
			status := rules.Cancelled
			if !p.transport.Cancel(p) {
				status = rules.NotSent
			}
			c.Loop.Post(func() { c.AttemptEnded(ref, status, nil, rules.Load{}) })
			return
		}
	})
}

// Refuse implements rules.Actions.
func (a actions) Refuse(id rules.RequestID, retryAfter Time, why rules.Reason) {
	a.answer(id, newRefusal(retryAfter), why.String())
}

// Fail implements rules.Actions.
func (a actions) Fail(id rules.RequestID, why rules.Reason) {
	a.answer(id, Answer{Kind: Failed}, why.String())
}

func (a actions) answer(id rules.RequestID, answer Answer, why string) {
	a.enqueue(func() {
		c := a.pool.core
		if t := c.byID[string(id)]; t != nil {
			c.answer(t, answer, why)
			c.releaseIfDone(t)
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
	a.enqueue(func() {
		c := a.pool.core
		c.Counts.Probes++
		if m := a.pool.list.workers[string(w)]; m != nil && m.transport != nil {
			m.transport.Probe(string(w))
			return
		}
		c.Loop.Post(func() { c.Probed(string(w), rules.Unreachable, 0, rules.Load{}) })
	})
}

// Tell implements rules.Actions. What is told in one turn goes out together.
func (a actions) Broadcast(data []byte) {
	c := a.pool.core
	if c.Broadcast == nil || a.pool != c.mainPool {
		return
	}
	if len(c.broadcastBuffer)+len(data) > MaxPeerMessageBytes {
		c.flushBroadcast()
	}
	c.broadcastBuffer = append(c.broadcastBuffer, data...)
}

// Watch implements rules.Actions. Discovery is watched from the start and for good.
func (a actions) Watch(bool) {}

// Fetch implements rules.Actions. The watch holds the whole list.
func (a actions) Fetch() {}

// Log implements rules.Actions.
func (a actions) Log(text string) { a.pool.core.Log.Info("decisions", "text", text) }
