package platform

import (
	"container/list"

	"cobaltflow/internal/core"
	"cobaltflow/internal/http1"
	"cobaltflow/internal/link"
)

// A worker may send a second answer to a request some milliseconds late: behind the next request on the connection
// it would be taken for that one's. Within this time of the answer before, a word that a request was never begun is
// believed only when no other answer has followed it for as long.
const duplicateAnswerWindow = 50 * core.Millisecond

// workerLink is a connection to a worker.
type workerLink struct {
	link.Link
	ref           core.Ref
	f             *Front
	worker        *poolWorker
	call          *call         // what it is used for; nil: idle. Set by setCall
	idleElem      *list.Element // among the idle ones; nil: it is none of them
	stateSince    core.Time     // idle since, or in use since
	idleBeforeUse core.Time     // how long it had been idle when it was used last
	response      http1.Response
}

// use puts a call on the connection. One that may not begin any more has ended, and leaves the connection to others.
func (l *workerLink) startCall(k *call) {
	if k.mayBegin != nil && !k.mayBegin() {
		l.becomeIdleSince(l.stateSince)
		return
	}
	l.setCall(k)
	now := l.f.loop.Now()
	l.idleBeforeUse, l.stateSince = now-l.stateSince, now
	k.isAnswerAmbiguous = l.MessageCount > 0 && l.idleBeforeUse < duplicateAnswerWindow
	l.MessageCount++
	k.onBegin(l)
	l.Send(l.f.loop, link.Outgoing{Message: k.message, Done: func(err error) {
		k.isWritten = err == nil
		if k.onWritten != nil {
			k.onWritten(err)
		}
		if k.connEnded {
			l.retryOrFail(k, err == nil || !link.NeverSent(err))
		} else if err != nil && l.call == k {
			l.setCall(nil)
			l.retryOrFail(k, !link.NeverSent(err))
		}
	}})
}

// breakOff ends a call whose connection broke. One that surely never left, or that may be sent twice,
// is put on a new connection where the old one had been kept: it says nothing of the worker's health.
func (l *workerLink) retryOrFail(k *call, mayHaveRead bool) {
	l.f.loop.CancelTimer(k.timeout)
	if l.MessageCount > 1 && l.CloseReason == "" && !k.needsNewConn && (k.isIdempotent || !mayHaveRead) && (k.isWanted == nil || k.isWanted()) {
		k.needsNewConn, k.isWritten, k.connEnded = true, false, false
		k.acquireConn(l.f, l.worker)
		return
	}
	reason := l.CloseReason
	if reason == "" {
		reason = link.PeerClosed
	}
	k.onFailed(reason, mayHaveRead)
}

// onResponse runs on a goroutine of netpoll's.
func (l *workerLink) readResponse() error {
	var fault *http1.Error
	return l.Read(l.f.loop, func(buf []byte) (int, int, bool) {
		var need int
		need, fault = http1.ParseResponse(buf, &l.response, false)
		return l.response.Size, need, fault != nil
	}, func() { l.handleResponse(fault) })
}

func (l *workerLink) handleResponse(fault *http1.Error) {
	defer l.ReleaseBuffer()
	if l.Ended || l.CloseReason != "" {
		return
	}
	if fault == nil && l.response.Status/100 == 1 {
		return
	}
	k := l.call
	if fault != nil || k == nil {
		l.Close(link.BadInput) // an answer that can't be read, or one that nobody waits for
		return
	}
	if k.isAnswerAmbiguous && k.onRefused != nil && isUnprocessed(&l.response) {
		l.deferRefusal(k)
		return
	}
	l.f.loop.CancelTimer(k.timeout)
	l.finishCall(l.response.KeepAlive)
	k.onResponse(&l.response)
}

// answered ends the use of the connection by a call that has its answer.
func (l *workerLink) finishCall(keepAlive bool) {
	l.setCall(nil)
	if keepAlive {
		l.becomeIdle()
	} else {
		l.Close(link.Answered)
	}
}

// doubt waits whether another answer follows one that may be the second to the request before. Where the connection
// ends meanwhile nothing is proved.
func (l *workerLink) deferRefusal(k *call) {
	k.isAnswerAmbiguous = false
	load, keep := parseLoad(l.response.Get(HeaderLoad)), l.response.KeepAlive
	k.timeout = l.f.loop.At(l.f.loop.Now()+duplicateAnswerWindow, func() {
		if l.call != k || l.Ended || l.CloseReason != "" {
			return
		}
		l.finishCall(keep)
		k.onRefused(load)
	})
}

// setCall has the connection in use by a call, or, with nil, by none.
func (l *workerLink) setCall(k *call) {
	if l.call != nil {
		l.f.pool.inUse--
	}
	if k != nil {
		l.f.pool.inUse++
	}
	l.call = k
}

// rest puts the connection with the idle ones.
func (l *workerLink) becomeIdle() { l.becomeIdleSince(l.f.loop.Now()) }

// restSince puts the connection with those that have been idle since a time, unless the worker has another address by
// now.
func (l *workerLink) becomeIdleSince(since core.Time) {
	if l.Peer != l.worker.address {
		l.Close(link.AddressChanged)
		return
	}
	l.stateSince = since
	l.f.pool.addIdle(l)
}

// gone has the connection end. Whether a call on it may have been read turns on whether its last byte
// was written, which the writer tells: where it has not yet, it is waited for.
func (l *workerLink) onEnded() {
	if !l.MarkEnded(l.f.log, l.f.loop.Now()) {
		return
	}
	l.f.pool.links.Free(l.ref)
	l.f.pool.removeIdle(l)
	if l.CloseReason == "" && l.MessageCount > 0 {
		l.f.pool.recordEarlyClose(l)
	}
	if k := l.call; k != nil {
		l.setCall(nil)
		if k.isWritten {
			l.retryOrFail(k, true)
		} else {
			k.connEnded = true
		}
	}
	l.ReleaseBuffer()
}
