package platform

import (
	"slices"

	"cobaltflow/internal/core"
	"cobaltflow/internal/front/admission"
	"cobaltflow/internal/http1"
	"cobaltflow/internal/link"
	"cobaltflow/internal/reactor"
)

// newMessageReader says how the connection's input is split into requests.
func (c *clientConn) newMessageReader() link.MessageReader {
	f := c.front
	return link.MessageReader{Poller: f.poller, Loop: f.loop, Parse: c.parse, MaxBytes: http1.MaxMessage,
		Handle: func() { f.handleMessage(c, c.fault) },
		Refuse: func() { f.refuseUnread(c) }}
}

// HandleInput implements reactor.Handler.
func (c *clientConn) HandleInput(in *reactor.Input) reactor.Next {
	return c.Link.HandleInput(in, &c.messages)
}

// parse parses the request at the start of the input. It runs on the poller.
func (c *clientConn) parse(buf []byte, _ bool) (size, need int, invalid bool) {
	need, c.fault = http1.ParseRequest(buf, &c.request)
	isIncomplete := c.fault == nil && need > 0
	if isIncomplete && !c.hasContinued && string(c.request.Get("Expect")) == "100-continue" {
		c.hasContinued = true
		c.front.poller.Post(func() {
			c.Send(c.front.loop, link.Outgoing{Message: []byte("HTTP/1.1 100 Continue\r\n\r\n")})
		})
	}
	if !isIncomplete {
		c.hasContinued = false
	}
	return c.request.Size, need, c.fault != nil
}

// PeerEnded implements reactor.Handler.
func (c *clientConn) PeerEnded() { c.front.poller.Post(c.handlePeerEnd) }

// handlePeerEnd closes the connection of a peer that has gone. What it has sent and what is not handled yet is looked at before: it
// may be a worker's callback.
func (c *clientConn) handlePeerEnd() {
	isWaiting := c.inFlight != nil || c.callback != nil
	if !c.Ended && (isWaiting || !c.HasUnreadInput()) {
		c.Close(link.PeerClosed)
	}
}

// Closed implements reactor.Handler.
func (c *clientConn) Closed() { c.front.loop.Post(func() { c.front.onConnClosed(c) }) }

// IsGone implements core.PresenceReporter.
func (c *clientConn) IsGone() bool { return c.IsPeerGone() }

// refuseUnread refuses a request that there is no memory for. It was not read.
func (f *Front) refuseUnread(c *clientConn) {
	c.MessageCount++
	c.request = http1.Request{}
	if c.Ended || c.CloseReason != "" {
		c.ReleaseBuffer()
		return
	}
	f.refuseJob(c, link.OverMemory, "too many bytes of requests are in hand; try again\n", "1")
}

// handleMessage serves a complete message, or answers one that could not be parsed with the status of its fault.
func (f *Front) handleMessage(c *clientConn, fault *http1.Error) {
	c.MessageCount++
	c.lastUsed, c.partialSince = f.loop.Now(), 0
	if c.Ended || c.CloseReason != "" {
		c.ReleaseBuffer()
		return
	}
	req := &c.request
	if fault != nil {
		f.rejectAndClose(c, link.BadInput, fault.Status, fault.Text)
		c.ReleaseBuffer()
		return
	}
	path := string(req.Path)
	r, isFixed := routes[path]
	if !isFixed && c.IsPeerGone() {
		c.Close(link.PeerClosed) // nobody waits for the answer
		return
	}
	if !isFixed && c.isOnReserve {
		f.refuseJob(c, link.OverBudget, "too many connections; try again\n", "1")
		return
	}
	req.KeepAlive = req.KeepAlive && !c.isOnReserve // whose place is for the next callback
	if !isFixed && f.isTooLateForJobs() {
		// The job could not end before this process does. It is refused at once, so that the client retries elsewhere.
		f.refuseJob(c, link.Shutdown, "this process ends; try again\n", "0")
		return
	}
	if !isFixed {
		if f.admit(c, req, path) {
			return // the buffer is released with the request
		}
	} else if m := string(req.Method); m == r.method || m == "HEAD" && r.method == "GET" {
		if r.handle(f, c, req) {
			return // the buffer is released with the answer
		}
	} else {
		f.rejectRequest(c, 405, r.method)
	}
	c.ReleaseBuffer()
}

// refuseJob answers a job with 503 and the time after which to retry, in seconds, and closes its connection.
func (f *Front) refuseJob(c *clientConn, reason, text, retryAfter string) {
	c.CloseReason = reason
	f.reply(c, 503, []byte(text), false, "Retry-After", retryAfter)
	c.ReleaseBuffer()
}

// isTooLateForJobs reports whether a job that arrives now could not end before this process does: the open requests have
// been answered already, the listener for its worker's callbacks is about to close, or a successor at the same address has
// more time left for the job.
func (f *Front) isTooLateForJobs() bool {
	if f.admission.IsStopped() {
		return true
	}
	since := f.loop.Now() - f.stoppingSince
	return f.stoppingSince > 0 && (since >= f.shutdownTimes.answerBy || f.isHandingOver && since > f.shutdownTimes.refuseJobsAfter)
}

// route serves a fixed path. A handler that returns true answers later, and releases the buffer then.
type route struct {
	method string
	handle func(f *Front, c *clientConn, req *http1.Request) (waits bool)
}

// routes are the fixed paths; any other path names a class.
var routes = map[string]route{
	PathReady:   {"GET", (*Front).handleHealth},
	PathHealthy: {"GET", (*Front).handleHealth},
	PathEvents:  {"POST", (*Front).handleCallback},
}

// Routes returns method and path of everything that is served, sorted; the last two stand for the classes.
func Routes() (out []string) {
	for path, r := range routes {
		out = append(out, r.method+" "+path)
	}
	slices.Sort(out)
	return append(out, "POST /{class}", "POST /{class}/{key}")
}

// handleHealth answers 200 while new clients are accepted, else 503.
func (f *Front) handleHealth(c *clientConn, req *http1.Request) (waits bool) {
	if f.Ready() {
		f.reply(c, 200, nil, req.KeepAlive)
	} else {
		f.reply(c, 503, nil, req.KeepAlive, "Retry-After", "1")
	}
	return false
}

// rejectRequest answers a message that can't be served, and closes its connection, on which no valid message is to be
// expected any more. For status 405 the text is the method that is allowed.
func (f *Front) rejectRequest(c *clientConn, status int, text string) {
	extra := []string(nil)
	if status == 405 {
		extra = []string{"Allow", text}
	}
	if text += "\n"; string(c.request.Method) == "HEAD" {
		text = ""
	}
	f.rejectAndClose(c, link.BadInput, status, text, extra...)
}

// rejectAndClose sends an error and then closes the connection. Input is read and discarded until then: the peer may still
// be writing, and if its connection were reset meanwhile it might never read the error. The parsed request is not used,
// since onRequest may be writing to it.
func (f *Front) rejectAndClose(c *clientConn, reason string, status int, text string, extra ...string) {
	c.CloseReason = reason
	c.DiscardInput()
	message := http1.AppendResponse(nil, status, false, []byte(text), extra...)
	c.Send(f.loop, link.Outgoing{Message: message, CloseAfter: true})
}

// admit hands a request to the core and reports whether it was admitted; one that is not valid gets an error and reaches
// no worker.
func (f *Front) admit(c *clientConn, req *http1.Request, path string) bool {
	request, fault := f.admission.Admit(&admission.Request{Method: string(req.Method), Target: string(req.Target), Path: path, Body: req.Body,
		ReceivedAt: c.ReceivedAt,
		Header:     func(name string) ([]byte, int) { return req.Get(name), req.Count(name) }, HeaderFields: func(b []byte) []byte {
			connection := req.Get("Connection")
			for _, h := range req.Headers {
				b = admission.AppendField(b, h.Name, h.Value, connection)
			}
			return b
		}}, c)
	if fault != nil {
		f.rejectRequest(c, fault.Status, fault.Text)
		return false
	}
	c.inFlight = request
	c.jobCount++
	return true
}

// Answer implements core.Client. The connection is free for the next request at once: an attempt that can't be cancelled
// and still runs has its own copy of the message.
func (c *clientConn) Answer(request *core.Request, answer core.Answer) {
	reply := c.front.admission.ReplyTo(answer)
	if reply.RetryAfter != "" {
		c.front.reply(c, reply.Status, reply.Body, c.request.KeepAlive, "Retry-After", reply.RetryAfter)
	} else {
		c.front.reply(c, reply.Status, reply.Body, c.request.KeepAlive)
	}
	request.Job.Body = nil
	c.releaseRequest(request)
}

// Released implements core.Client. It comes after the answer or after the client's disconnect.
func (c *clientConn) Released(request *core.Request) {
	c.front.admission.RememberID(request)
	c.releaseRequest(request)
}

// releaseRequest releases the read buffer that the request in flight points into.
func (c *clientConn) releaseRequest(request *core.Request) {
	if c.inFlight == request {
		c.inFlight = nil
		c.lastUsed = c.front.loop.Now()
		c.ReleaseBuffer()
	}
}

// reply queues an answer. The message is a copy, since it outlives this turn of the loop, and with the turn the buffer of
// the callback that the body may be a slice of.
func (f *Front) reply(c *clientConn, status int, body []byte, keepAlive bool, extra ...string) {
	if c.Ended {
		return
	}
	c.endPipelining()
	keepAlive = keepAlive && (f.stoppingSince == 0 || f.loop.Now() < f.stoppingSince+f.shutdownTimes.acceptUntil || c.isCallback) &&
		c.CloseReason == "" && (f.drainingSince == 0 || c.isCallback) && !f.isEnding
	if string(c.request.Method) == "HEAD" {
		body = nil
	}
	if !keepAlive { // requests pipelined behind this one are not served
		if c.CloseReason == "" {
			c.CloseReason = link.Answered
		}
		c.DiscardInput()
	}
	message := http1.AppendResponse(make([]byte, 0, 160+len(body)), status, keepAlive, body, extra...)
	c.Send(f.loop, link.Outgoing{Message: message, CloseAfter: !keepAlive})
}

// onConnClosed removes an accepted connection that has ended, and reports the disconnect of a client that waited for an
// answer.
func (f *Front) onConnClosed(c *clientConn) {
	if c.isCallback {
		c.Party = "call-back"
	}
	if !c.MarkEnded(f.log, f.loop.Now()) {
		return
	}
	if c.isOnReserve {
		f.callbackReserve.used.Add(-1) // before acceptedConns: in between, the poller may accept one less, not one more
	}
	f.acceptedConns.Add(-1)
	f.clients.Free(c.ref)
	if c.callback != nil {
		f.dropHeldCallback(c.callback)
	}
	if c.inFlight != nil {
		f.core.ClientDisconnected(c.inFlight)
	}
	c.ReleaseBuffer()
}
