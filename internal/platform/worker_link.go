package platform

import (
	"container/list"

	"cobaltflow/internal/core"
	"cobaltflow/internal/http1"
	"cobaltflow/internal/link"
)

const (
	// duplicateAnswerWindow is how late a worker may send a second answer to a request. Behind the next request on the
	// connection that answer would be taken for the answer to that one.
	duplicateAnswerWindow = 50 * core.Millisecond
	// maxRefusedIdleConns is how many idle connections on which a request was refused a worker may have: attempts that must not
	// run twice can't use them.
	maxRefusedIdleConns = 2
)

// workerLink is a connection to a worker.
type workerLink struct {
	link.Link
	ref           core.Ref
	front         *Front
	worker        *poolWorker
	call          *call         // the call in progress; nil: none. Changed by setCall only
	idleElem      *list.Element // its element of idleLinks.order; nil: it is not idle
	stateSince    core.Time     // since when it has been idle or in use
	idleBeforeUse core.Time     // how long it was idle before the last call
	hasRefused    bool          // a request was refused on it
	refusedAt     core.Time     // when that was the case last
	response      http1.Response
}

// startCall starts a call on the connection. If the call may not begin any more, it has already ended, and the
// connection stays idle for others.
func (l *workerLink) startCall(c *call) {
	if c.mayBegin != nil && !c.mayBegin() {
		l.becomeIdleSince(l.stateSince)
		return
	}
	l.setCall(c)
	now := l.front.loop.Now()
	l.idleBeforeUse, l.stateSince = now-l.stateSince, now
	l.MessageCount++
	c.onBegin(l)
	l.Send(l.front.loop, link.Outgoing{Message: c.message, Done: func(err error) {
		c.isWritten = err == nil
		if c.onWritten != nil {
			c.onWritten(err)
		}
		if c.connEnded {
			l.retryOrFail(c, err == nil || !link.NeverSent(err))
		} else if err != nil && l.call == c {
			l.setCall(nil)
			l.retryOrFail(c, !link.NeverSent(err))
		}
	}})
}

// retryOrFail ends a call whose connection broke. A call that was certainly not sent, or that may be sent twice, moves
// to a new connection if the broken one had been used before: a stale connection reveals nothing about the worker's
// health. mayHaveRead reports whether the worker may have read the complete message.
func (l *workerLink) retryOrFail(c *call, mayHaveRead bool) {
	l.front.loop.CancelTimer(c.timeout)
	if l.MessageCount > 1 && l.CloseReason == "" && !c.needsNewConn && (c.isIdempotent || !mayHaveRead) && (c.isWanted == nil || c.isWanted()) {
		c.needsNewConn, c.isWritten, c.connEnded = true, false, false
		c.acquireConn(l.front, l.worker)
		return
	}
	reason := l.CloseReason
	if reason == "" {
		reason = link.PeerClosed
	}
	c.onFailed(reason, mayHaveRead)
}

// readResponse is the OnRequest handler and runs on a netpoll goroutine.
func (l *workerLink) readResponse() error {
	var fault *http1.Error
	return l.Read(l.front.loop, func(buf []byte, ended bool) (int, int, bool) {
		var need int
		need, fault = http1.ParseResponse(buf, &l.response, ended)
		return l.response.Size, need, fault != nil
	}, func() { l.handleResponse(fault) })
}

// handleResponse processes a response, or a syntax error in it, on the loop. Interim responses (1xx) are ignored.
func (l *workerLink) handleResponse(fault *http1.Error) {
	defer l.ReleaseBuffer()
	if l.Ended || l.CloseReason != "" {
		return
	}
	if fault == nil && l.response.Status/100 == 1 {
		return
	}
	c := l.call
	if fault != nil || c == nil {
		l.Close(link.BadInput) // a malformed response, or one without a call
		return
	}
	if isUnprocessed(&l.response) {
		l.hasRefused, l.refusedAt = true, l.front.loop.Now()
	}
	l.front.loop.CancelTimer(c.timeout)
	l.finishCall(l.response.KeepAlive)
	c.onResponse(&l.response)
}

// finishCall ends the use of the connection by a call that has been answered.
func (l *workerLink) finishCall(keepAlive bool) {
	l.setCall(nil)
	if keepAlive {
		l.becomeIdle()
	} else {
		l.Close(link.Answered)
	}
}

// canCarry reports whether the answer to a call can't be mistaken for a refusal that is a second answer to an earlier request.
// Such a refusal of an attempt that must not run twice would send it to another worker while it runs: it gets a connection on
// which nothing was refused, so that a refusal there can only be its own, however late a second answer comes.
func (l *workerLink) canCarry(c *call) bool {
	switch {
	case !l.hasRefused || c.isIdempotent:
		return true
	case c.isOnceOnly:
		return false
	}
	return l.front.loop.Now()-l.refusedAt >= duplicateAnswerWindow
}

// setCall sets the call that uses the connection; nil: none.
func (l *workerLink) setCall(c *call) {
	if l.call != nil {
		l.front.pool.inUse--
	}
	if c != nil {
		l.front.pool.inUse++
	}
	l.call = c
}

// becomeIdle returns the connection to the idle ones.
func (l *workerLink) becomeIdle() { l.becomeIdleSince(l.front.loop.Now()) }

// becomeIdleSince returns the connection to the idle ones, as idle since the given time. It closes the connection if
// the worker's address has changed, or if there are enough of its kind.
func (l *workerLink) becomeIdleSince(since core.Time) {
	if l.Peer != l.worker.address {
		l.Close(link.AddressChanged)
		return
	}
	if l.hasRefused && l.worker.refusedIdleConns() >= maxRefusedIdleConns {
		l.Close(link.OverBudget)
		return
	}
	l.stateSince = since
	l.front.pool.addIdle(l)
}

// onEnded processes the end of the connection. Whether the worker may have read a call on it depends on whether its
// last byte was written, which the writer reports: if the writer is not done, startCall's completion callback ends the
// call.
func (l *workerLink) onEnded() {
	if !l.MarkEnded(l.front.log, l.front.loop.Now()) {
		return
	}
	l.front.pool.links.Free(l.ref)
	l.front.pool.removeIdle(l)
	if l.CloseReason == "" && l.MessageCount > 0 {
		l.front.pool.recordEarlyClose(l)
	}
	if c := l.call; c != nil {
		l.setCall(nil)
		if c.isWritten {
			l.retryOrFail(c, true)
		} else {
			c.connEnded = true
		}
	}
	l.ReleaseBuffer()
}
