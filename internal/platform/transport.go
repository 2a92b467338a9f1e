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
	probeTimeout  = 200 * core.Millisecond // for the response to a probe
	cancelTimeout = 2 * core.Second        // for the response to the cancellation of an accepted attempt
)

// sendState is how far the sending of an attempt has come.
type sendState uint8

const (
	stateDialing  sendState = iota // no connection yet: nothing was sent
	stateWriting                   // the request is being written
	stateSent                      // the last byte of the request is written
	stateAccepted                  // the worker answered 202
)

// attemptState is the transport's state of an attempt, kept in core.Attempt.TransportState.
type attemptState struct {
	state sendState
	link  *workerLink // the connection in use; nil before it is found and once the response has arrived
}

// Send implements core.Transport.
func (f *Front) Send(attempt *core.Attempt) {
	s := &attemptState{}
	attempt.TransportState = s
	ref := attempt.Ref
	w := f.pool.workers[attempt.Worker]
	if w == nil {
		f.loop.Post(func() { f.core.AttemptEnded(ref, rules.NotSent, nil, rules.Load{}) })
		return
	}
	c := &call{isOnceOnly: !f.core.MayRepeat(attempt)}
	var request *core.Request // set as the attempt begins
	c.onAcquire = func() { s.state, s.link = stateDialing, nil }
	c.onBegin = func(l *workerLink) {
		s.state, s.link = stateWriting, l
		c.message = f.attemptMessage(request, w)
	}
	c.onWritten = func(err error) {
		if err == nil {
			f.relayed++
		}
		if err == nil && s.state == stateWriting {
			s.state = stateSent
		}
	}
	c.onResponse = func(r *http1.Response) {
		load := parseLoad(r.Get(HeaderLoad))
		s.link = nil
		f.core.WorkerResponded(w.name)
		switch {
		case isUnprocessed(r):
			f.core.AttemptEnded(ref, rules.Refused, nil, load)
		case r.Status == 202:
			s.state = stateAccepted
		case r.Status >= 500:
			f.core.AttemptEnded(ref, rules.Error, nil, load)
		default:
			f.core.AttemptEnded(ref, rules.Unknown, nil, load)
		}
	}
	c.onFailed = func(reason string, mayHaveRead bool) {
		s.link = nil
		f.reportNoAnswer(w, reason)
		status := rules.Unreachable
		switch {
		case mayHaveRead:
			status = rules.Reset
		case reason == link.OverBudget:
			status = rules.NotSent // it reveals nothing about the worker
		}
		f.core.AttemptEnded(ref, status, nil, rules.Load{})
	}
	c.mayBegin = func() bool {
		request = f.core.BeginAttempt(ref)
		return request != nil
	}
	c.isWanted = func() bool {
		current, found := f.core.FindAttempt(attempt.RequestID, attempt.Worker)
		return found && current.Ref == ref
	}
	f.core.ReplyExpected(w.name)
	c.acquireConn(f, w)
}

// attemptMessage returns the message of an attempt that begins now. The time that it states as left is what remains of the
// client's at this moment: a dial or a busy loop may have taken some since the Dispatcher chose the worker. The message is a
// copy, since it may still be being written when the request is closed.
func (f *Front) attemptMessage(request *core.Request, w *poolWorker) []byte {
	job := &request.Job
	timeLeft := min(max(1, request.TimeLeft(f.loop.Clock())/core.Millisecond), admission.MaxTimeLeftMS)
	message := http1.AppendRequest(make([]byte, 0, 320+len(job.HeaderFields)+len(job.Body)), "POST", job.Target, w.address, len(job.Body),
		job.HeaderFields, HeaderID, request.ID, HeaderClass, f.conf.Names.Classes[job.Class], HeaderTimeLeft, strconv.FormatInt(timeLeft, 10))
	return append(message, job.Body...)
}

// isUnprocessed reports whether a response proves that the request was not begun.
func isUnprocessed(r *http1.Response) bool {
	return (r.Status == 503 || r.Status == 504) && string(r.Get(HeaderUnprocessed)) == "1"
}

// ReportsHeartbeats implements core.Heartbeats: a table worker answers each request at once, whenever its job may run,
// so that its responses count as heartbeats.
func (f *Front) ReportsHeartbeats() {}

// HasDiscoveredWorkers implements core.DiscoveredTransport: discovery announces the workers of this front to all
// schedulers.
func (f *Front) HasDiscoveredWorkers() {}

// reportNoAnswer reports what a failed call reveals about its worker. A connection that was established and broke
// reveals nothing: it may have been closed on the network path.
func (f *Front) reportNoAnswer(w *poolWorker, reason string) {
	switch reason {
	case link.ConnectFailed:
		f.core.ConnectFailed(w.name)
	case link.NoAnswer: // the expected answer remains outstanding
	default:
		f.core.ReplyAbandoned(w.name)
	}
}

// endAttempt ends an attempt by a callback. After a callback that arrives before the 202 response, the connection still
// waits for that response.
func (f *Front) endAttempt(attempt *core.Attempt, status rules.Status, result []byte, load rules.Load) {
	f.core.AttemptEnded(attempt.Ref, status, result, load)
}

// HasBegun implements core.Transport.
func (f *Front) HasBegun(attempt *core.Attempt) bool {
	return attempt.TransportState.(*attemptState).state != stateDialing
}

// Cancel implements core.Transport.
func (f *Front) Cancel(attempt *core.Attempt) (mayHaveRun bool) {
	s := attempt.TransportState.(*attemptState)
	switch s.state {
	case stateDialing:
		f.core.ReplyAbandoned(attempt.Worker)
		return false
	case stateWriting, stateSent:
		f.core.ReplyAbandoned(attempt.Worker)
		// Before the 202 response the protocol cancels an attempt by closing its connection. The connection is reset:
		// after an orderly close, a request still held up by a broken network path would reach the worker later, when
		// nobody waits for its result.
		s.link.setCall(nil)
		s.link.Abort(link.AttemptCancelled)
		return true
	}
	if w := f.pool.workers[attempt.Worker]; w != nil {
		c := &call{isIdempotent: true, message: http1.AppendRequest(nil, "DELETE", PathJobs+attempt.RequestID, w.address, -1, nil)}
		c.onBegin = func(l *workerLink) { f.setTimeout(c, l, cancelTimeout) }
		c.onResponse = func(*http1.Response) {}
		c.onFailed = func(string, bool) {}
		c.acquireConn(f, w)
	}
	return true
}

// Probe implements core.Transport.
func (f *Front) Probe(worker string) {
	start := f.loop.Now()
	report := func(status rules.Status, load rules.Load) { f.core.Probed(worker, status, f.loop.Now()-start, load) }
	w := f.pool.workers[worker]
	if w == nil {
		f.loop.Post(func() { report(rules.Unreachable, rules.Load{}) })
		return
	}
	c := &call{isIdempotent: true, message: http1.AppendRequest(nil, "GET", PathLoad, w.address, -1, nil)}
	c.onBegin = func(l *workerLink) { f.setTimeout(c, l, probeTimeout) }
	f.core.ReplyExpected(w.name)
	c.onResponse = func(r *http1.Response) {
		f.core.WorkerResponded(w.name)
		load := parseLoad(r.Body)
		if header := r.Get(HeaderLoad); load.Has == 0 && header != nil {
			load = parseLoad(header)
		}
		if r.Status == 200 {
			report(rules.OK, load)
		} else {
			report(rules.Error, load)
		}
	}
	c.onFailed = func(reason string, mayHaveRead bool) {
		f.reportNoAnswer(w, reason)
		switch {
		case reason == link.NoAnswer:
			report(rules.TimedOut, rules.Load{})
		case mayHaveRead:
			report(rules.Reset, rules.Load{})
		default:
			report(rules.Unreachable, rules.Load{})
		}
	}
	c.acquireConn(f, w)
}

// setTimeout closes the connection of a call that is not answered within timeout.
func (f *Front) setTimeout(c *call, l *workerLink, timeout core.Time) {
	c.timeout = f.loop.At(f.loop.Now()+timeout, func() { l.Close(link.NoAnswer) })
}
