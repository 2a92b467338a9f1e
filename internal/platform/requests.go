package platform

import (
	"context"
	"slices"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/core"
	"cobaltflow/internal/front/admission"
	"cobaltflow/internal/http1"
	"cobaltflow/internal/link"
)

// onRequest runs on a goroutine of netpoll's; package link says who holds the buffer.
func onRequest(ctx context.Context, _ netpoll.Connection) error {
	a := ctx.Value(connKey{}).(*clientConn)
	f, told := a.front, false
	var fault *http1.Error
	return a.Read(f.loop, func(buf []byte) (int, int, bool) {
		var need int
		need, fault = http1.ParseRequest(buf, &a.request)
		if fault == nil && need > 0 && !told && string(a.request.Get("Expect")) == "100-continue" {
			told = true
			f.loop.Post(func() { a.Send(f.loop, link.Outgoing{Message: []byte("HTTP/1.1 100 Continue\r\n\r\n")}) })
		}
		return a.request.Size, need, fault != nil
	}, func() { f.handleMessage(a, fault) })
}

// take has a whole message in hand, or a fault in it.
func (f *Front) handleMessage(a *clientConn, fault *http1.Error) {
	a.MessageCount++
	a.lastUsed, a.partialSince = f.loop.Now(), 0
	if a.Ended || a.CloseReason != "" {
		a.ReleaseBuffer()
		return
	}
	q := &a.request
	if fault != nil {
		f.rejectAndClose(a, link.BadInput, fault.Status, fault.Text)
		a.ReleaseBuffer()
		return
	}
	path := string(q.Path)
	r, fixed := routes[path]
	if !fixed && f.isTooLateForJobs() {
		// Its job could not end before we do: the client tries again elsewhere. Refused at once, as the rule on
		// given-up requests wants.
		a.CloseReason = link.Shutdown
		f.reply(a, 503, []byte("this process ends; try again\n"), false, "Retry-After", "0")
		a.ReleaseBuffer()
		return
	}
	if !fixed {
		if f.admit(a, q, path) {
			return // the transaction holds the buffer
		}
	} else if m := string(q.Method); m == r.method || m == "HEAD" && r.method == "GET" {
		if r.handle(f, a, q) {
			return // it is released with its answer
		}
	} else {
		f.rejectRequest(a, 405, r.method)
	}
	a.ReleaseBuffer()
}

// endsSoon tells that a job that comes now could not end before we do: all that is open was answered already, or a
// successor at our address has the time that we have not.
func (f *Front) isTooLateForJobs() bool {
	since := f.loop.Now() - f.stoppingSince
	return f.stoppingSince > 0 && (since >= f.shutdownTimes.answerBy || f.isHandingOver && since > f.shutdownTimes.refuseJobsAfter)
}

type route struct {
	method string
	handle func(f *Front, a *clientConn, q *http1.Request) (waits bool)
}

// routes are the fixed paths; any other is a class's.
var routes = map[string]route{
	PathReady:   {"GET", (*Front).handleHealth},
	PathHealthy: {"GET", (*Front).handleHealth},
	PathEvents:  {"POST", (*Front).handleCallback},
}

// Routes lists method and path of all that is served; the last two stand for the classes.
func Routes() (out []string) {
	for path, r := range routes {
		out = append(out, r.method+" "+path)
	}
	slices.Sort(out)
	return append(out, "POST /{class}", "POST /{class}/{key}")
}

func (f *Front) handleHealth(a *clientConn, q *http1.Request) (waits bool) {
	if f.Ready() {
		f.reply(a, 200, nil, q.KeepAlive)
	} else {
		f.reply(a, 503, nil, q.KeepAlive, "Retry-After", "1")
	}
	return false
}

// refuseInput answers a message that can't be served. The connection ends with it: nothing more of use is
// to be expected there.
func (f *Front) rejectRequest(a *clientConn, status int, text string) {
	extra := []string(nil)
	if status == 405 {
		extra = []string{"Allow", text}
	}
	if text += "\n"; string(a.request.Method) == "HEAD" {
		text = ""
	}
	f.rejectAndClose(a, link.BadInput, status, text, extra...)
}

// turnAway tells the peer why and ends its connection, which is read over until then: the peer may still
// be writing, and reset under that it might not read the error. The request is not looked at: it may be
// in OnRequest's hands.
func (f *Front) rejectAndClose(a *clientConn, reason string, status int, text string, extra ...string) {
	a.CloseReason = reason
	a.DiscardInput()
	message := http1.AppendResponse(nil, status, false, []byte(text), extra...)
	a.Send(f.loop, link.Outgoing{Message: message, CloseAfter: true})
}

// open turns a request into a transaction; what can't be one is answered and reaches no worker.
func (f *Front) admit(a *clientConn, q *http1.Request, path string) bool {
	t, fault := f.admission.Admit(&admission.Request{Method: string(q.Method), Target: string(q.Target), Path: path, Body: q.Body,
		Header: func(name string) ([]byte, int) { return q.Get(name), q.Count(name) }, Fields: func(b []byte) []byte {
			connection := q.Get("Connection")
			for _, h := range q.Headers {
				b = admission.AppendField(b, h.Name, h.Value, connection)
			}
			return b
		}}, a)
	if fault != nil {
		f.rejectRequest(a, fault.Status, fault.Text)
		return false
	}
	a.inFlight = t
	a.jobCount++
	return true
}

// Answer implements core.UserAgent. With it the connection is free for the next request: an attempt that may still be out,
// where attempts may not be cancelled, has a copy of what it carries.
func (a *clientConn) Answer(t *core.Request, answer core.Answer) {
	r := a.front.admission.ReplyTo(answer)
	if r.RetryAfter != "" {
		a.front.reply(a, r.Status, r.Body, a.request.KeepAlive, "Retry-After", r.RetryAfter)
	} else {
		a.front.reply(a, r.Status, r.Body, a.request.KeepAlive)
	}
	t.Job.Body = nil
	a.releaseRequest(t)
}

// Released implements core.UserAgent: the client has left, or was answered before.
func (a *clientConn) Released(t *core.Request) {
	a.front.admission.Released(t)
	a.releaseRequest(t)
}

// free gives the buffer of a request back, which its transaction held.
func (a *clientConn) releaseRequest(t *core.Request) {
	if a.inFlight == t {
		a.inFlight = nil
		a.lastUsed = a.front.loop.Now()
		a.ReleaseBuffer()
	}
}

// reply queues an answer. The message is put together anew, since it outlives the turn and with it
// the call-back's buffer that the result is a slice of.
func (f *Front) reply(a *clientConn, status int, body []byte, keepAlive bool, extra ...string) {
	if a.Ended {
		return
	}
	keepAlive = keepAlive && (f.stoppingSince == 0 || f.loop.Now() < f.stoppingSince+f.shutdownTimes.acceptUntil || a.isCallback) && a.CloseReason == "" &&
		(f.drainingSince == 0 || a.isCallback)
	if string(a.request.Method) == "HEAD" {
		body = nil
	}
	if !keepAlive { // nothing behind this request is taken any more
		if a.CloseReason == "" {
			a.CloseReason = link.Answered
		}
		a.DiscardInput()
	}
	message := http1.AppendResponse(make([]byte, 0, 160+len(body)), status, keepAlive, body, extra...)
	a.Send(f.loop, link.Outgoing{Message: message, CloseAfter: !keepAlive})
}

// gone has an accepted connection end: what it waited for is hung up.
func (f *Front) onConnClosed(a *clientConn) {
	if a.isCallback {
		a.Party = "call-back"
	}
	if !a.MarkEnded(f.log, f.loop.Now()) {
		return
	}
	f.acceptedConns.Add(-1)
	f.clients.Free(a.ref)
	if a.inFlight != nil {
		f.core.ClientDisconnected(a.inFlight)
	}
	a.ReleaseBuffer()
}
