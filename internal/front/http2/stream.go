package http2

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http2/hpack"

	"cobaltflow/internal/core"
	"cobaltflow/internal/front/admission"
	"cobaltflow/rules"
)

// stream is one request and its answer. A closed stream may still wait for the outcome of its request, which the ledger
// records.
type stream struct {
	conn         *conn
	id           uint32
	openedAt     core.Time
	header       *fieldSection
	body         []byte
	countedBody  int   // bytes of the body that count in conn.bodyBytes, until the body is released
	requestEnded bool  // the request is complete
	sendWindow   int64 // what we may send on the stream, in bytes
	recvWindow   int64 // what the client may still send on it, in bytes
	windowRaised bool  // the client has sent a WINDOW_UPDATE for it
	unreturned   unreturnedData

	request  *core.Request // nil: not accepted, or released
	answered bool          // the answer's HEADERS have been written
	unsent   []byte        // data of the answer that is not sent yet
	closed   bool          // the stream is closed or its client has disconnected
}

// PathJobs is the path prefix under which a client looks up the state of a job by its id.
const PathJobs = "/jobs/"

// Paths under which a client asks whether new clients are accepted.
const (
	pathReady   = "/-/ready"
	pathHealthy = "/-/healthy"
)

// IsGone implements core.PresenceReporter.
func (s *stream) IsGone() bool { return s.conn.IsPeerGone() }

// begin handles the HEADERS of a new stream. isWhole says that the request has no body.
func (s *stream) begin(isWhole bool) {
	h := s.header
	h.checkRequest()
	switch {
	case h.malformed != "":
		s.conn.reset(s.id, ProtocolError)
	case h.tooLarge:
		s.rejectEarly(431, "the header list is over max_header_kb")
	case isWhole:
		s.serve()
	default:
		s.checkContentLength()
	}
}

// addTrailers ends the body with trailers, which have no pseudo-header fields (RFC 9113, section 8.1).
func (s *stream) addTrailers(f *frame) {
	h := f.header
	if f.flags&flagEndStream == 0 || h.hasPseudo || h.malformed != "" || h.tooLarge {
		s.conn.reset(s.id, ProtocolError)
		return
	}
	s.serve()
}

// checkContentLength rejects a request whose declared body is too large before the body comes.
func (s *stream) checkContentLength() {
	if s.header.contentLength > admission.MaxBody {
		s.rejectEarly(413, "the body is over 64 KiB")
	}
}

// addBody adds a part of the body.
func (s *stream) addBody(data []byte, end bool) {
	c := s.conn
	if s.answered {
		return // the request was rejected already; the client sent this before it knew
	}
	s.body = append(s.body, data...)
	s.countedBody += len(data)
	c.bodyBytes += len(data)
	c.countKept()
	switch {
	case s.header.contentLength >= 0 && (int64(len(s.body)) > s.header.contentLength || end && int64(len(s.body)) != s.header.contentLength):
		c.reset(s.id, ProtocolError) // malformed (RFC 9113, section 8.1.1)
	case len(s.body) > admission.MaxBody:
		s.rejectEarly(413, "the body is over 64 KiB")
	case c.bodyBytes > c.front.limits.MaxBodyBytes:
		// The request was not accepted, so it may be sent again.
		c.reset(s.id, RefusedStream)
	case end:
		s.serve()
	case s.recvWindow < defaultWindow/2:
		c.write(appendWindowUpdate(nil, s.id, int(defaultWindow-s.recvWindow)))
		s.recvWindow = defaultWindow
	}
}

// serve handles a complete request: it is admitted to the core, or answered here.
func (s *stream) serve() {
	s.requestEnded = true
	if s.answered {
		return
	}
	c, f, h := s.conn, s.conn.front, s.header
	if h.contentLength >= 0 && h.contentLength != int64(len(s.body)) {
		c.reset(s.id, ProtocolError)
		return
	}
	path, _, _ := strings.Cut(h.path, "?")
	if h.isLocal() {
		s.serveLocal(path)
		return
	}
	if f.admission.IsStopped() {
		f.Stats.Refused++
		c.reset(s.id, RefusedStream)
		return
	}
	req, rejection := f.admission.Admit(&admission.Request{Method: h.method, Target: h.path, Path: path, Body: s.body,
		ReceivedAt: s.conn.receivedAt, Header: h.get,
		HeaderFields: func(b []byte) []byte {
			for _, field := range h.fields {
				b = admission.AppendField(b, field.Name, field.Value, "")
			}
			return b
		}}, s)
	if rejection != nil {
		if rejection.Allow != "" {
			s.respond(rejection.Status, []byte(rejection.Text+"\n"), "allow", rejection.Allow)
		} else {
			s.respond(rejection.Status, []byte(rejection.Text+"\n"))
		}
		return
	}
	s.request = req
	f.ledger.Begin(req.ID)
}

// isLocal reports whether the front itself answers the request: how it stands, or how a job does.
func (h *fieldSection) isLocal() bool {
	path, _, _ := strings.Cut(h.path, "?")
	return path == pathReady || path == pathHealthy || strings.HasPrefix(path, PathJobs)
}

// serveLocal answers a request that isLocal, if its method is GET or HEAD.
func (s *stream) serveLocal(path string) {
	id, isJob := strings.CutPrefix(path, PathJobs)
	switch {
	case s.header.method != "GET" && s.header.method != "HEAD":
		s.respond(405, []byte("GET\n"), "allow", "GET")
	case isJob:
		s.respondJobState(id)
	default:
		s.respondHealth()
	}
}

// respondHealth answers 200 while new clients are accepted, else 503.
func (s *stream) respondHealth() {
	if s.conn.front.isReady() {
		s.respond(200, nil)
	} else {
		s.respond(503, nil, "retry-after", "1")
	}
}

// respondJobState answers with the state of the job with this id, from the ledger.
func (s *stream) respondJobState(id string) {
	entry := s.conn.front.ledger.Find(id)
	if entry == nil {
		s.respond(404, []byte("no such job is known, or no more\n"))
		return
	}
	out := map[string]string{"id": entry.ID, "state": string(entry.State)}
	if entry.State == admission.Served {
		out["result"] = string(entry.Result)
	}
	text, _ := json.Marshal(out)
	s.respond(200, text, "content-type", "application/json")
}

// rejectEarly answers a request before it is complete. The client need not send the rest (RFC 9113, section 8.1).
func (s *stream) rejectEarly(status int, text string) {
	isComplete := s.requestEnded
	s.respond(status, []byte(text+"\n"))
	if c := s.conn; !isComplete && !s.closed && len(s.unsent) == 0 {
		c.reset(s.id, NoError)
	}
}

// Answer implements core.Client. The ledger records the outcome even if the stream is closed.
func (s *stream) Answer(req *core.Request, answer core.Answer) {
	f := s.conn.front
	state := map[core.AnswerKind]admission.State{core.Served: admission.Served, core.Refused: admission.Refused}[answer.Kind]
	if state == "" {
		state = admission.Failed
	}
	f.ledger.End(f.loop.Now(), req.ID, state, answer.Result)
	if s.closed {
		return
	}
	f.Stats.Answered++
	s.conn.resetBudget.credit(f.loop.Now(), f.limits.ResetsPerS)
	reply := f.admission.ReplyTo(answer)
	if reply.RetryAfter != "" {
		s.respond(reply.Status, reply.Body, "retry-after", reply.RetryAfter)
		return
	}
	s.respond(reply.Status, reply.Body)
}

// Released implements core.Client.
func (s *stream) Released(req *core.Request) {
	s.conn.front.admission.RememberID(req)
	s.request, s.body = nil, nil
	s.uncountBody()
}

// uncountBody takes the body off its connection's count, once.
func (s *stream) uncountBody() {
	s.conn.bodyBytes -= s.countedBody
	s.countedBody = 0
	s.conn.countKept()
}

// disconnect handles a client that has reset the stream or disconnected. If the request's class forbids a second
// run, an attempt that a worker may have begun goes on, since cancelling it would leave open whether it ran. Any other
// request is cancelled, as it is safe to repeat. No further attempt is sent either way.
func (s *stream) disconnect() {
	s.closed = true
	req, f := s.request, s.conn.front
	if req == nil || s.answered {
		return
	}
	if f.core.Settings().Classes[req.Job.Class].Effect != rules.Repeatable {
		f.core.DetachClient(req)
		return
	}
	f.ledger.End(f.loop.Now(), req.ID, admission.Refused, nil)
	f.core.ClientDisconnected(req)
}

// respond writes an answer: HEADERS now, DATA as far as the windows allow. extra are pairs of field names and values.
func (s *stream) respond(status int, body []byte, extra ...string) {
	c := s.conn
	if s.closed || s.answered || c.CloseReason != "" {
		return
	}
	s.answered = true
	if s.header.method == "HEAD" {
		body = nil
	}
	c.headerBuffer.Reset()
	field := func(name, value string) { c.encoder.WriteField(hpack.HeaderField{Name: name, Value: value}) }
	field(":status", strconv.Itoa(status))
	for i := 0; i < len(extra); i += 2 {
		field(extra[i], extra[i+1])
	}
	field("content-length", strconv.Itoa(len(body)))
	flags := byte(flagEndHeaders)
	if len(body) == 0 {
		flags |= flagEndStream
	}
	b := appendFrameHeader(make([]byte, 0, frameHeaderBytes+c.headerBuffer.Len()), c.headerBuffer.Len(), frameHeaders, flags, s.id)
	c.write(append(b, c.headerBuffer.Bytes()...))
	if len(body) == 0 {
		s.finish()
		return
	}
	if c.unsentBytes == 0 {
		c.lastProgress = c.front.loop.Now()
	}
	s.unsent = slices.Clone(body) // body belongs to a buffer that is returned after this call
	c.unsentBytes += len(body)
	c.blockedStreams = append(c.blockedStreams, s)
	c.sendBlockedData()
	c.countKept()
	c.front.account.Enforce()
}

// finish closes the stream after its answer. If the request is not complete, the rest is not waited for.
func (s *stream) finish() {
	if !s.requestEnded {
		s.conn.reset(s.id, NoError)
		return
	}
	s.conn.removeStream(s)
}

// sendBlockedData sends what the windows allow, a frame of each stream in turn. It reports whether any data was sent.
func (c *conn) sendBlockedData() (sentData bool) {
	for len(c.blockedStreams) > 0 && c.sendWindow > 0 {
		kept, sentInRound := c.blockedStreams[:0], false
		for _, s := range c.blockedStreams {
			if s.closed || len(s.unsent) == 0 {
				continue
			}
			if n := min(int64(len(s.unsent)), s.sendWindow, c.sendWindow, int64(c.maxSendFrame)); n > 0 {
				c.sendData(s, int(n))
				sentInRound = true
			}
			if !s.closed && len(s.unsent) > 0 {
				kept = append(kept, s)
			}
		}
		clear(c.blockedStreams[len(kept):])
		c.blockedStreams = kept
		if !sentInRound {
			break
		}
		sentData = true
	}
	if sentData {
		c.lastProgress = c.front.loop.Now()
	}
	return sentData
}

// sendData sends n bytes of a stream's data and finishes the stream after the last.
func (c *conn) sendData(s *stream, n int) {
	flags := byte(0)
	if n == len(s.unsent) {
		flags = flagEndStream
	}
	c.write(appendFrameHeader(make([]byte, 0, frameHeaderBytes), n, frameData, flags, s.id))
	c.write(s.unsent[:n])
	s.sendWindow -= int64(n)
	c.sendWindow -= int64(n)
	s.unreturned.add(n)
	c.unreturned.add(n)
	c.creditControlFrame() // a client that measures its bandwidth sends a PING in each round trip of data
	c.unsentBytes -= n
	if s.unsent = s.unsent[n:]; len(s.unsent) == 0 {
		s.finish()
	}
}
