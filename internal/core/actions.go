package core

import "cobaltflow/rules"

// runPendingActions executes the actions that the Dispatchers requested in this turn, in the order of the requests, and
// sends the messages to the other schedulers.
func (c *Core) runPendingActions() {
	for i := 0; i < len(c.pendingActions); i++ {
		c.pendingActions[i]()
	}
	clear(c.pendingActions)
	c.pendingActions = c.pendingActions[:0]
	c.flushBroadcast()
}

// flushBroadcast sends the buffered messages to the other schedulers. If the front has closed its socket earlier in the
// same turn, Broadcast is nil and the messages are dropped.
func (c *Core) flushBroadcast() {
	if len(c.broadcastBuffer) > 0 && c.Broadcast != nil {
		c.Broadcast(c.broadcastBuffer)
	}
	c.broadcastBuffer = c.broadcastBuffer[:0]
}

// actions implements rules.Actions for the Dispatcher of a pool. Sends, cancellations, answers and probes are queued
// during the Dispatcher's call and executed at the end of the turn.
type actions struct{ pool *Pool }

func (a actions) enqueue(action func()) {
	a.pool.core.pendingActions = append(a.pool.core.pendingActions, action)
}

// Send implements rules.Actions.
func (a actions) Send(id rules.RequestID, until Time, worker rules.WorkerID) {
	c := a.pool.core
	if request := c.byID[string(id)]; request != nil {
		request.queuedSends++
	}
	a.enqueue(func() { c.send(string(id), until, string(worker)) })
}

// send hands a new attempt to the worker's transport and times it out at until, if that is set and before the deadline.
func (c *Core) send(id string, until Time, worker string) {
	request := c.byID[id]
	if request == nil {
		c.Log.Error("send for an unknown request", "id", id)
		return
	}
	attempt := &Attempt{RequestID: request.ID, Client: request.Client, request: request, Worker: worker, Number: request.attempts, sentAt: c.Loop.now}
	request.attempts++
	request.queuedSends--
	attempt.Ref = c.attempts.Add(attempt)
	request.inFlight = append(request.inFlight, attempt.Ref)
	listed := request.Pool.list.workers[worker]
	if request.closed || request.isClientGone() || c.Loop.now >= request.Deadline || listed == nil || listed.transport == nil {
		// The attempt is not sent. Its outcome follows in a later turn, as every other one does.
		c.Loop.Post(func() { c.AttemptEnded(attempt.Ref, rules.NotSent, nil, rules.Load{}) })
		return
	}
	c.Counts.Attempts++
	c.traceAttempt(attempt)
	attempt.transport = listed.transport
	if until > 0 && until < request.Deadline {
		c.Loop.At(until, func() {
			if _, inFlight := c.attempts.Get(attempt.Ref); inFlight {
				status := rules.TimedOut
				if !attempt.transport.Cancel(attempt) {
					status = rules.NotSent
				}
				c.endAttempt(attempt, status, nil, rules.Load{})
			}
		})
	}
	attempt.transport.Send(attempt)
	if observer, ok := request.Client.(AttemptObserver); ok {
		observer.AttemptSent(request, attempt)
	}
}

// Cancel implements rules.Actions.
func (a actions) Cancel(id rules.RequestID, number int) {
	a.enqueue(func() {
		c := a.pool.core
		request := c.byID[string(id)]
		if request == nil {
			return
		}
		for _, ref := range request.inFlight {
			attempt, ok := c.attempts.Get(ref)
			if !ok || attempt.Number != number || attempt.transport == nil {
				continue
			}
			status := rules.Cancelled
			if !attempt.transport.Cancel(attempt) {
				status = rules.NotSent
			}
			c.Loop.Post(func() { c.AttemptEnded(ref, status, nil, rules.Load{}) })
			return
		}
	})
}

// Refuse implements rules.Actions.
func (a actions) Refuse(id rules.RequestID, retryAfter Time, reason rules.Reason) {
	a.answer(id, newRefusal(retryAfter), reason.String())
}

// Fail implements rules.Actions.
func (a actions) Fail(id rules.RequestID, reason rules.Reason) {
	a.answer(id, Answer{Kind: Failed}, reason.String())
}

func (a actions) answer(id rules.RequestID, answer Answer, reason string) {
	a.enqueue(func() {
		c := a.pool.core
		if request := c.byID[string(id)]; request != nil {
			c.answer(request, answer, reason)
			c.releaseIfDone(request)
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
func (a actions) Probe(worker rules.WorkerID) {
	a.enqueue(func() {
		c := a.pool.core
		c.Counts.Probes++
		if listed := a.pool.list.workers[string(worker)]; listed != nil && listed.transport != nil {
			listed.transport.Probe(string(worker))
			return
		}
		c.Loop.Post(func() { c.Probed(string(worker), rules.Unreachable, 0, rules.Load{}) })
	})
}

// Broadcast implements rules.Actions. The messages of one turn are sent together, as far as MaxPeerMessageBytes allows.
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

// Watch implements rules.Actions. It does nothing: discovery is watched as long as the process runs.
func (a actions) Watch(bool) {}

// Fetch implements rules.Actions. It does nothing: the watch keeps the whole list.
func (a actions) Fetch() {}

// Log implements rules.Actions.
func (a actions) Log(text string) { a.pool.core.Log.Info("decisions", "text", text) }
