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
const secondAnswer = 50 * core.Millisecond

// workerLink is a connection to a worker.
type workerLink struct {
	link.Link
	ref      core.Ref
	f        *Front
	worker   *workerLinks
	call     *call         // what it is used for; nil: idle. Set by setCall
	place    *list.Element // among the idle ones; nil: it is none of them
	since    core.Time     // idle since, or in use since
	rested   core.Time     // how long it had been idle when it was used last
	response http1.Response
}

// use puts a call on the connection. One that may not begin any more has ended, and leaves the connection to others.
func (l *workerLink) use(k *call) {
	if k.may != nil && !k.may() {
		l.restSince(l.since)
		return
	}
	l.setCall(k)
	now := l.f.loop.Now()
	l.rested, l.since = now-l.since, now
	k.doubted = l.Count > 0 && l.rested < secondAnswer
	l.Count++
	k.begin(l)
	l.Send(l.f.loop, link.Outgoing{Message: k.message, Done: func(err error) {
		k.written = err == nil
		if k.wrote != nil {
			k.wrote(err)
		}
		if k.gone {
			l.breakOff(k, err == nil || !link.Unwritten(err))
		} else if err != nil && l.call == k {
			l.setCall(nil)
			l.breakOff(k, !link.Unwritten(err))
		}
	}})
}

// breakOff ends a call whose connection broke. One that surely never left, or that may be sent twice,
// is put on a new connection where the old one had been kept: it says nothing of the worker's health.
func (l *workerLink) breakOff(k *call, mayHaveRead bool) {
	l.f.loop.CancelTimer(k.limit)
	if l.Count > 1 && l.Reason == "" && !k.fresh && (k.safe || !mayHaveRead) && (k.still == nil || k.still()) {
		k.fresh, k.written, k.gone = true, false, false
		k.wanted(l.f, l.worker)
		return
	}
	reason := l.Reason
	if reason == "" {
		reason = link.PeerClosed
	}
	k.broken(reason, mayHaveRead)
}

// onResponse runs on a goroutine of netpoll's.
func (l *workerLink) onResponse() error {
	var fault *http1.Error
	return l.Read(l.f.loop, func(buf []byte) (int, int, bool) {
		var need int
		need, fault = http1.ParseResponse(buf, &l.response, false)
		return l.response.Size, need, fault != nil
	}, func() { l.take(fault) })
}

func (l *workerLink) take(fault *http1.Error) {
	defer l.Release()
	if l.Ended || l.Reason != "" {
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
	if k.doubted && k.refused != nil && notBegun(&l.response) {
		l.doubt(k)
		return
	}
	l.f.loop.CancelTimer(k.limit)
	l.answered(l.response.KeepAlive)
	k.got(&l.response)
}

// answered ends the use of the connection by a call that has its answer.
func (l *workerLink) answered(keepAlive bool) {
	l.setCall(nil)
	if keepAlive {
		l.rest()
	} else {
		l.Close(link.Answered)
	}
}

// doubt waits whether another answer follows one that may be the second to the request before. Where the connection
// ends meanwhile nothing is proved.
func (l *workerLink) doubt(k *call) {
	k.doubted = false
	load, keep := parseLoad(l.response.Get(HeaderLoad)), l.response.KeepAlive
	k.limit = l.f.loop.At(l.f.loop.Now()+secondAnswer, func() {
		if l.call != k || l.Ended || l.Reason != "" {
			return
		}
		l.answered(keep)
		k.refused(load)
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
func (l *workerLink) rest() { l.restSince(l.f.loop.Now()) }

// restSince puts the connection with those that have been idle since a time, unless the worker has another address by
// now.
func (l *workerLink) restSince(since core.Time) {
	if l.Peer != l.worker.address {
		l.Close(link.Moved)
		return
	}
	l.since = since
	l.f.pool.addIdle(l)
}

// gone has the connection end. Whether a call on it may have been read turns on whether its last byte
// was written, which the writer tells: where it has not yet, it is waited for.
func (l *workerLink) gone() {
	if !l.Farewell(l.f.log, l.f.loop.Now()) {
		return
	}
	l.f.pool.links.Free(l.ref)
	l.f.pool.removeIdle(l)
	if l.Reason == "" && l.Count > 0 {
		l.f.pool.closedEarly(l)
	}
	if k := l.call; k != nil {
		l.setCall(nil)
		if k.written {
			l.breakOff(k, true)
		} else {
			k.gone = true
		}
	}
	l.Release()
}
