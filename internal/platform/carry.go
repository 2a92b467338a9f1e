package platform

import (
	"strconv"

	"cobaltflow/internal/core"
	"cobaltflow/internal/front/admission"
	"cobaltflow/internal/http1"
	"cobaltflow/internal/link"
	"cobaltflow/rules"
)

const (
	probeTimeout  = 200 * core.Millisecond
	cancelTimeout = 2 * core.Second
)

// passState is how far a carried pass has come.
type sendState uint8

const (
	stateDialing  sendState = iota // no connection yet: nothing has left
	stateWriting                   // the request is being written
	stateSent                      // its last byte is written
	stateAccepted                  // the worker link.Answered 202
)

// carried is the pool's side of a proxy pass.
type attemptState struct {
	state sendState
	link  *workerLink // until accepted
}

// Carry implements core.Carrier.
func (f *Front) Send(p *core.Attempt) {
	t := p.Request
	c := &attemptState{}
	p.TransportState = c
	ref := p.Ref
	w := f.pool.workers[p.Worker]
	if w == nil {
		f.loop.Post(func() { f.core.AttemptEnded(ref, rules.NotSent, nil, rules.Load{}) })
		return
	}
	left := min(max(1, t.TimeLeft(f.loop.Now())/core.Millisecond), admission.LongestLeft)
	// The message is a copy: its writer may still be at it when the transaction is over.
	message := http1.AppendRequest(make([]byte, 0, 320+len(t.Job.HeaderFields)+len(t.Job.Body)), "POST", t.Job.Target, w.address,
		len(t.Job.Body), t.Job.HeaderFields, HeaderID, t.ID, HeaderClass, f.conf.Names.Classes[t.Job.Class],
		HeaderTimeLeft, strconv.FormatInt(left, 10))
	k := &call{message: append(message, t.Job.Body...)}
	k.onDial = func() { c.state, c.link = stateDialing, nil }
	k.onBegin = func(l *workerLink) { c.state, c.link = stateWriting, l }
	k.onWritten = func(err error) {
		if err == nil {
			f.relayed++
		}
		if err == nil && c.state == stateWriting {
			c.state = stateSent
		}
	}
	k.onRefused = func(load rules.Load) {
		c.link = nil
		f.core.WorkerResponded(w.name)
		f.core.AttemptEnded(ref, rules.Refused, nil, load)
	}
	k.onResponse = func(r *http1.Response) {
		load := parseLoad(r.Get(HeaderLoad))
		if isUnprocessed(r) {
			k.onRefused(load)
			return
		}
		c.link = nil
		f.core.WorkerResponded(w.name)
		switch {
		case r.Status == 202:
			c.state = stateAccepted
		case r.Status >= 500:
			f.core.AttemptEnded(ref, rules.Error, nil, load)
		default:
			f.core.AttemptEnded(ref, rules.Unknown, nil, load)
		}
	}
	k.onFailed = func(reason string, mayHaveRead bool) {
		c.link = nil
		f.reportNoAnswer(w, reason)
		status := rules.Unreachable
		switch {
		case mayHaveRead:
			status = rules.Reset
		case reason == link.OverBudget:
			status = rules.NotSent // which says nothing of the worker
		}
		f.core.AttemptEnded(ref, status, nil, rules.Load{})
	}
	k.mayBegin = func() bool { return f.core.BeginAttempt(ref) }
	k.isWanted = func() bool { q, out := f.core.FindAttempt(t.ID, p.Worker); return out && q.Ref == ref }
	f.core.ReplyExpected(w.name)
	k.acquireConn(f, w)
}

// notBegun tells of an answer that proves that the request was not begun.
func isUnprocessed(r *http1.Response) bool {
	return (r.Status == 503 || r.Status == 504) && string(r.Get(HeaderUnprocessed)) == "1"
}

// TellsSigns implements core.Signs: a table worker answers each request at once, whenever its job may run.
func (f *Front) ReportsHeartbeats() {}

// Discovered implements core.Discovered: discovery tells all schedulers of its workers.
func (f *Front) HasDiscoveredWorkers() {}

// noAnswer tells what a connection that came to nothing says of its worker. One that was up and broke says nothing: it
// may have been closed on the way.
func (f *Front) reportNoAnswer(w *poolWorker, reason string) {
	switch reason {
	case link.ConnectFailed:
		f.core.ConnectFailed(w.name)
	case link.NoAnswer: // it still owes the answer
	default:
		f.core.ReplyAbandoned(w.name)
	}
}

// finish ends a pass by a call-back. One that came before the 202 leaves the connection waiting for it.
func (f *Front) endAttempt(p *core.Attempt, status rules.Status, result []byte, load rules.Load) {
	f.core.AttemptEnded(p.Ref, status, result, load)
}

// Begun implements core.Carrier.
func (f *Front) HasBegun(p *core.Attempt) bool {
	return p.TransportState.(*attemptState).state != stateDialing
}

// Withdraw implements core.Carrier.
func (f *Front) Cancel(p *core.Attempt) (mayHaveRun bool) {
	c := p.TransportState.(*attemptState)
	switch c.state {
	case stateDialing:
		f.core.ReplyAbandoned(p.Worker)
		return false
	case stateWriting, stateSent:
		f.core.ReplyAbandoned(p.Worker)
		// Before the 202 the protocol gives an attempt up by closing its connection. A request that a cut network still
		// holds would come to the worker after an orderly end, for nobody: it is dropped.
		c.link.setCall(nil)
		c.link.Abort(link.AttemptCancelled)
		return true
	}
	if w := f.pool.workers[p.Worker]; w != nil {
		k := &call{isIdempotent: true, message: http1.AppendRequest(nil, "DELETE", PathJobs+p.Request.ID, w.address, -1, nil)}
		k.onBegin = func(l *workerLink) { f.setTimeout(k, l, cancelTimeout) }
		k.onResponse = func(*http1.Response) {}
		k.onFailed = func(string, bool) {}
		k.acquireConn(f, w)
	}
	return true
}

// Probe implements core.Carrier.
func (f *Front) Probe(worker string) {
	began := f.loop.Now()
	done := func(s rules.Status, l rules.Load) { f.core.Probed(worker, s, f.loop.Now()-began, l) }
	w := f.pool.workers[worker]
	if w == nil {
		f.loop.Post(func() { done(rules.Unreachable, rules.Load{}) })
		return
	}
	k := &call{isIdempotent: true, message: http1.AppendRequest(nil, "GET", PathLoad, w.address, -1, nil)}
	k.onBegin = func(l *workerLink) { f.setTimeout(k, l, probeTimeout) }
	f.core.ReplyExpected(w.name)
	k.onResponse = func(r *http1.Response) {
		f.core.WorkerResponded(w.name)
		load := parseLoad(r.Body)
		if header := r.Get(HeaderLoad); load.Has == 0 && header != nil {
			load = parseLoad(header)
		}
		if r.Status == 200 {
			done(rules.OK, load)
		} else {
			done(rules.Error, load)
		}
	}
	k.onFailed = func(reason string, mayHaveRead bool) {
		f.reportNoAnswer(w, reason)
		switch {
		case reason == link.NoAnswer:
			done(rules.TimedOut, rules.Load{})
		case mayHaveRead:
			done(rules.Reset, rules.Load{})
		default:
			done(rules.Unreachable, rules.Load{})
		}
	}
	k.acquireConn(f, w)
}

// limit closes the connection of a call that goes unanswered.
func (f *Front) setTimeout(k *call, l *workerLink, within core.Time) {
	k.timeout = f.loop.At(f.loop.Now()+within, func() { l.Close(link.NoAnswer) })
}
