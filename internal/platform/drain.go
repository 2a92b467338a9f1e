package platform

import (
	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
	"cobaltflow/rules"
)

const (
	shutdownPollInterval = 20 * core.Millisecond // interval of pollShutdown
	// lastLinger is how long the last connections, whose write side is closed, are read over until their peers close them.
	lastLinger       = 100 * core.Millisecond
	lastPollInterval = 5 * core.Millisecond // interval of the looks at them
	// lastCallsWait is how long after the last answers the responses of workers are waited for: a worker that is silent must
	// not hold up the end.
	lastCallsWait = 100 * core.Millisecond
)

// shutdownSchedule holds the steps of a shutdown, each as the time after SIGTERM. It ends before the platform may kill the
// process.
type shutdownSchedule struct {
	// Until acceptUntil, requests are admitted and connections are kept as before: clients go on using the connections they
	// have, and in a rolling restart of a zone there may be no other scheduler to go to yet.
	acceptUntil core.Time
	// If a successor serves at the same address, jobs that arrive after refuseJobsAfter are refused, and the listener closes
	// about answerBy, since until the kill the kernel would go on assigning half of all new connections to this process.
	refuseJobsAfter core.Time
	answerBy        core.Time // requests that are still open are answered at this time
	closeBy         core.Time // connections are not kept open for their peers' ends beyond this time
}

// newShutdownSchedule derives the schedule from the longest deadline of the classes, or from maxCountedDeadline if no class
// has a deadline.
func newShutdownSchedule(classes []rules.Class) shutdownSchedule {
	longest := core.Time(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	if longest == 0 {
		longest = maxCountedDeadline
	}
	kill := min(longest, maxCountedDeadline) + killDelay
	answerBy := max(kill-killMargin, minAnswerTime)
	acceptUntil := max(answerBy*11/30, min(newConnectionWindow, answerBy*9/10))
	return shutdownSchedule{acceptUntil: acceptUntil, refuseJobsAfter: max(answerBy*17/30, (3*acceptUntil+answerBy)/4), answerBy: answerBy,
		closeBy: kill - closeMargin}
}

// Stop starts the shutdown after SIGTERM. New connections are accepted as long as the platform's front may still send
// some. After that, idle connections are closed and every admitted request is answered; the listener stays open until then,
// since the workers send their callbacks to it. done is called when nothing is left open.
func (f *Front) Stop(done func()) { f.StopSince(f.loop.Now(), done) }

// StopSince is Stop for a SIGTERM that was received at since; a later time than now counts as now. Steps that are overdue
// are taken at once.
func (f *Front) StopSince(since core.Time, done func()) {
	if f.stoppingSince == 0 {
		f.stoppingSince, f.onStopped = min(since, f.loop.Now()), done
		f.log.Info("stopping", "open", f.core.OpenRequests())
		f.pollShutdownAt(f.stoppingSince + f.shutdownTimes.acceptUntil)
		f.loop.At(f.stoppingSince+f.shutdownTimes.answerBy, f.pollShutdownNow)
	}
}

// answerOpenRequests answers the open requests of this front's clients, before the listener closes. With a successor that is
// now, so that the workers' callbacks can't reach this process any more: the requests of other fronts' clients at these
// workers are answered as well.
func (f *Front) answerOpenRequests() {
	f.core.AbortRequests(func(client core.Client) bool { _, isOwn := client.(*clientConn); return isOwn })
	if f.isHandingOver {
		f.core.AbortRequestsAt(f)
	}
}

// AnswerTimeout returns the time after SIGTERM by which every open request is answered.
func (f *Front) AnswerTimeout() core.Time { return f.shutdownTimes.answerBy }

// HandOver prepares the front for its end while a successor serves at the same address. Clients are drained at once; after
// SIGTERM, jobs that arrive later than refuseJobsAfter are refused and the listener begins to drain at answerBy.
func (f *Front) HandOver() {
	f.isHandingOver = true
	f.Drain()
}

// Drain sends the clients to other schedulers: the readiness check fails from now on, each connection is closed as soon as
// it has no open request, and the answer to an open request says Connection: close. Callbacks of the workers continue. A
// second call has no effect.
func (f *Front) Drain() {
	if f.drainingSince == 0 {
		f.drainingSince = f.loop.Now()
		f.log.Info("drain: started", "open", f.core.OpenRequests(), "connections", f.clients.Len())
		f.closeIdleClients(f.drainingSince)
		f.onDrain(true)
	}
}

// OnDrain sets a function that is called as a drain of the clients begins or ends. It must be called before Start.
func (f *Front) OnDrain(changed func(draining bool)) { f.onDrain = changed }

// Resume ends a drain. It has no effect on a process that has handed over to its successor.
func (f *Front) Resume() {
	if f.drainingSince > 0 && !f.isHandingOver {
		f.drainingSince = 0
		f.log.Info("drain: ended, clients are accepted again")
		f.onDrain(false)
	}
}

// closeIdleClients closes the client connections without an open request, unread input or unsent output during a drain. A
// new connection stays open for firstRequestGrace.
func (f *Front) closeIdleClients(now core.Time) {
	f.clients.Each(func(_ core.Ref, c *clientConn) {
		if !c.isCallback && !c.awaitsFirstRequest(now) {
			c.closeIfIdle(link.Shutdown)
		}
	})
}

// awaitsFirstRequest reports whether the first request of the connection may still be on its way.
func (c *clientConn) awaitsFirstRequest(now core.Time) bool {
	return c.MessageCount == 0 && now-c.Opened < firstRequestGrace
}

// closeIfIdle closes the write side of a connection that has no open request, no unread input and no unsent output. Input
// that arrives between this check and the close is discarded. On a connection without any message so far that could be the
// first request, whose client would take a close without an answer for a lost request: such a connection gets a 503 first.
func (c *clientConn) closeIfIdle(reason string) {
	if c.inFlight != nil || c.CloseReason != "" || c.HasUnreadInput() || !c.IsWriterIdle() {
		return
	}
	if c.front.beforeIdleClose != nil {
		c.front.beforeIdleClose()
	}
	if c.MessageCount == 0 {
		c.front.rejectAndClose(c, reason, 503, "this connection ends; try again\n", "Retry-After", "0")
		return
	}
	c.CloseWrite(c.front.loop, reason)
}

// refuseIncomplete refuses a request of which only a part has been read. Its rest would hold up the end for up to
// messageTimeout.
func (c *clientConn) refuseIncomplete() {
	if c.inFlight == nil && c.CloseReason == "" && !c.HasPendingMessage() && c.HasUnreadInput() {
		c.front.rejectAndClose(c, link.Shutdown, 503, "this process ends; try again\n", "Retry-After", "0")
	}
}

// pollShutdown runs every shutdownPollInterval from acceptUntil after SIGTERM on. Once nothing is pending, or with a
// successor at answerBy, it closes the listener, which drains first (see link.DrainingListener). Connections that
// come out of the drain are served too, so the front ends only at a later run, with the listener closed, that finds nothing
// pending either.
func (f *Front) pollShutdown() {
	f.shutdownTimer = nil
	now := f.loop.Now()
	isPastAnswers := now >= f.stoppingSince+f.shutdownTimes.answerBy
	if isPastAnswers {
		f.answerOpenRequests()
	}
	pending := f.closeIdleAndCountPending(now, isPastAnswers)
	isPending := pending.total() > 0
	switch {
	case !isPending && f.drainingListener.IsClosed():
		f.logShutdownStep("stopped-taking", pending)
		f.endConnections()
		return
	// With a successor the listener closes in time whatever is pending: a request that arrives later could not end.
	case !f.isListenerDraining && (!isPending || f.isHandingOver && isPastAnswers):
		f.logShutdownStep("listener-drains", pending)
		f.closeListener()
	case isPastAnswers:
		f.logShutdownStep("waiting", pending)
	}
	f.pollShutdownAt(now + shutdownPollInterval)
}

// pollShutdownAt schedules the next run of pollShutdown.
func (f *Front) pollShutdownAt(at core.Time) {
	f.loop.CancelTimer(f.shutdownTimer)
	f.shutdownTimer = f.loop.At(at, f.pollShutdown)
}

// pollShutdownNow runs pollShutdown, when an event may have ended what it waits for.
func (f *Front) pollShutdownNow() {
	if f.shutdownTimer != nil {
		f.loop.CancelTimer(f.shutdownTimer)
		f.pollShutdown()
	}
}

// closeIdleAndCountPending closes the idle connections of clients and returns what the shutdown still waits for.
// isPastAnswers says that the open requests have been answered for the last time.
func (f *Front) closeIdleAndCountPending(now core.Time, isPastAnswers bool) (pending pendingCounts) {
	f.clients.Each(func(_ core.Ref, c *clientConn) {
		switch {
		case c.isCallback:
			if !isPastAnswers && (c.HasPendingMessage() || c.HasUnreadInput() || !c.IsWriterIdle()) {
				pending.callbacks++
			}
		case c.IsWriteClosed():
			if !isPastAnswers { // afterwards only the peer's close is missing
				pending.lingering++
			}
		case c.awaitsFirstRequest(now) && !(f.isHandingOver && isPastAnswers):
			pending.awaitingRequest++
		default:
			pending.closing++
			if isPastAnswers {
				c.refuseIncomplete()
			}
			c.closeIfIdle(link.Shutdown)
		}
	})
	pending.requests = f.core.OpenRequests()
	if now < f.stoppingSince+f.shutdownTimes.answerBy+lastCallsWait { // after that only responses to cancellations are missing
		pending.workerConnections = f.pool.inUse
	}
	pending.unregistered = int(f.acceptedConns.Load()) - f.clients.Len()
	return pending
}

// closeListener begins the drain of the listener, after which it closes. In the same event admission ends in all fronts:
// the worker of a job that is admitted later could not reach this process with its callbacks.
func (f *Front) closeListener() {
	f.isListenerDraining = true
	f.admission.Stop()
	if f.HasOneSuccessor() {
		f.drainingListener.SteerToSuccessor()
	}
	f.listener.Close()
	if f.onListenerDrain != nil {
		f.onListenerDrain()
	}
}

// HasOneSuccessor reports whether a successor serves at the same address and no other process besides, now or before: the
// kernel moves the last listener to the place of one that leaves, so that the successor may not be the second any more.
func (f *Front) HasOneSuccessor() bool { return f.isHandingOver && f.processes == 2 && !f.hadThird }

// OnListenerDrain sets a function that is called when the listener begins to drain, since nothing is pending or the time of
// a successor has come. It must be called before Stop.
func (f *Front) OnListenerDrain(begin func()) { f.onListenerDrain = begin }

// endConnections ends what is left when nothing is pending and the listener is closed: connections that have brought
// callbacks, and ones whose write side is closed. A callback that arrives behind the end of our side is read over; its worker
// reads the end and repeats it.
func (f *Front) endConnections() {
	f.log.Info("stopped taking", "foreign_call_backs", f.unknownCallbacks, "passed_on", f.forwardedCallbacks)
	f.isEnding = true
	f.clients.Each(func(_ core.Ref, c *clientConn) {
		if !c.HasPendingMessage() && c.IsWriterIdle() { // else it is closed behind its answer
			c.CloseWrite(f.loop, link.Shutdown)
		}
	})
	f.closeLastConnections(f.LingerUntil())
}

// CloseBy returns the time from which nothing is waited for any more, since the kill may be near.
func (f *Front) CloseBy() core.Time { return f.stoppingSince + f.shutdownTimes.closeBy }

// LingerUntil returns the time until which connections that are ended now may wait for their peers' ends. It has passed if
// the kill may be near.
func (f *Front) LingerUntil() core.Time {
	return min(f.loop.Now()+lastLinger, f.CloseBy())
}

// closeLastConnections ends the front when all connections have ended, or at until.
func (f *Front) closeLastConnections(until core.Time) {
	now := f.loop.Now()
	if f.clients.Len() > 0 && now < until {
		f.loop.At(now+lastPollInterval, func() { f.closeLastConnections(until) })
		return
	}
	f.clients.Each(func(_ core.Ref, c *clientConn) { c.Close(link.Shutdown) })
	f.pool.close()
	f.watch.stop()
	if f.peers != nil {
		f.peers.close()
	}
	f.loop.Post(f.onStopped) // behind the ends of the connections, which are logged
}
