package platform

import (
	"container/list"

	"cobaltflow/internal/core"
	"cobaltflow/internal/http1"
	"cobaltflow/internal/link"
)

// duplicateAnswerWindow guards against duplicate answers: a worker may send a second answer to a request some
// milliseconds late, which behind the next request on the connection would be taken for the answer to that one. Within
// this time of the previous answer, a response which says that a request was not begun is accepted only if no other
// answer follows it for as long.
const duplicateAnswerWindow = 50 * core.Millisecond

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
	c.isAnswerAmbiguous = l.MessageCount > 0 && l.idleBeforeUse < duplicateAnswerWindow
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
	if c.isAnswerAmbiguous && c.onRefused != nil && isUnprocessed(&l.response) {
		l.deferRefusal(c)
		return
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

// deferRefusal waits for duplicateAnswerWindow whether another answer follows a refusal that may be a duplicate answer
// to the previous call. If the connection ends meanwhile, the refusal proves nothing and the call fails.
func (l *workerLink) deferRefusal(c *call) {
	c.isAnswerAmbiguous = false
	load, keepAlive := parseLoad(l.response.Get(HeaderLoad)), l.response.KeepAlive
	c.timeout = l.front.loop.At(l.front.loop.Now()+duplicateAnswerWindow, func() {
		if l.call != c || l.Ended || l.CloseReason != "" {
			return
		}
		l.finishCall(keepAlive)
		c.onRefused(load)
	})
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
// the worker's address has changed.
func (l *workerLink) becomeIdleSince(since core.Time) {
	if l.Peer != l.worker.address {
		l.Close(link.AddressChanged)
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
