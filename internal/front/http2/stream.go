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

// stream is one request and its answer. A stream that is gone may still wait for its job: whether it ran has to
// stand in the ledger.
type stream struct {
	conn         *conn
	id           uint32
	header       *fieldSection
	body         []byte
	requestEnded bool  // the request is whole
	sendWindow   int64 // that the client gives us
	recvWindow   int64 // that it has left of what we gave

	request  *core.Request // nil: none, or released
	answered bool          // HEADERS have been written
	unsent   []byte        // of the answer, not sent yet
	closed   bool
}

// PathJobs is where a client learns how a job ended.
const PathJobs = "/jobs/"

// early looks at a request whose body is still to come: what can't be served is told at once.
func (s *stream) checkContentLength() {
	if s.header.contentLength > admission.MaxBody {
		s.rejectEarly(413, "the body is over 64 KiB")
	}
}

// take takes a part of the body.
func (s *stream) addBody(data []byte, end bool) {
	c := s.conn
	if s.answered {
		return // it was refused already; what comes is on its way
	}
	s.body = append(s.body, data...)
	c.bodyBytes += len(data)
	switch {
	case s.header.contentLength >= 0 && (int64(len(s.body)) > s.header.contentLength || end && int64(len(s.body)) != s.header.contentLength):
		c.reset(s.id, ProtocolError) // malformed (RFC 9113, section 8.1.1)
	case len(s.body) > admission.MaxBody:
		s.rejectEarly(413, "the body is over 64 KiB")
	case c.bodyBytes > c.front.limits.MaxBodyBytes:
		// It was not taken, so it may be sent again.
		c.reset(s.id, RefusedStream)
	case end:
		s.serve()
	case s.recvWindow < defaultWindow/2:
		c.write(appendWindowUpdate(nil, s.id, int(defaultWindow-s.recvWindow)))
		s.recvWindow = defaultWindow
	}
}

// whole has the request whole: it becomes a request of the core, or is answered here.
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
	switch {
	case path == "/-/ready" || path == "/-/healthy":
		s.serveLocal("GET", func() { s.respond(200, nil) })
		return
	case strings.HasPrefix(path, PathJobs):
		s.serveLocal("GET", func() { s.respondJobState(strings.TrimPrefix(path, PathJobs)) })
		return
	}
	t, fault := f.admission.Admit(&admission.Request{Method: h.method, Target: h.path, Path: path, Body: s.body, Header: h.get,
		HeaderFields: func(b []byte) []byte {
			for _, field := range h.fields {
				b = admission.AppendField(b, field.Name, field.Value, "")
			}
			return b
		}}, s)
	if fault != nil {
		if fault.Allow != "" {
			s.respond(fault.Status, []byte(fault.Text+"\n"), "allow", fault.Allow)
		} else {
			s.respond(fault.Status, []byte(fault.Text+"\n"))
		}
		return
	}
	s.request = t
	f.ledger.Begin(t.ID)
}

func (s *stream) serveLocal(method string, answer func()) {
	if s.header.method != method && s.header.method != "HEAD" {
		s.respond(405, []byte(method+"\n"), "allow", method)
		return
	}
	answer()
}

// tell gives the state of a job to whoever knows its id.
func (s *stream) respondJobState(id string) {
	e := s.conn.front.ledger.Find(id)
	if e == nil {
		s.respond(404, []byte("no such job is known, or no more\n"))
		return
	}
	out := map[string]string{"id": e.ID, "state": string(e.State)}
	if e.State == admission.Served {
		out["result"] = string(e.Result)
	}
	text, _ := json.Marshal(out)
	s.respond(200, text, "content-type", "application/json")
}

// refuse answers a request that is not read to its end. The client need not send the rest (RFC 9113, section 8.1).
func (s *stream) rejectEarly(status int, text string) {
	whole := s.requestEnded
	s.respond(status, []byte(text+"\n"))
	if c := s.conn; !whole && !s.closed && len(s.unsent) == 0 {
		c.reset(s.id, NoError)
	}
}

// Answer implements core.UserAgent. The ledger has it whether the stream is still there or not.
func (s *stream) Answer(t *core.Request, a core.Answer) {
	f := s.conn.front
	state := map[core.AnswerKind]admission.State{core.Served: admission.Served, core.Refused: admission.Refused}[a.Kind]
	if state == "" {
		state = admission.Failed
	}
	f.ledger.End(f.loop.Now(), t.ID, state, a.Result)
	if s.closed {
		return
	}
	f.Stats.Answered++
	r := f.admission.ReplyTo(a)
	if r.RetryAfter != "" {
		s.respond(r.Status, r.Body, "retry-after", r.RetryAfter)
		return
	}
	s.respond(r.Status, r.Body)
}

// Released implements core.UserAgent.
func (s *stream) Released(t *core.Request) {
	s.conn.front.admission.RememberID(t)
	s.request, s.body = nil, nil
}

// abandon has the client gone from the stream. A job that must not run twice and that a worker may have begun goes on
// there, since a withdrawal would leave open whether it ran; any other is withdrawn, and asking for it again is harmless.
// No further attempt begins either way.
func (s *stream) disconnect() {
	s.closed = true
	t, f := s.request, s.conn.front
	if t == nil || s.answered {
		return
	}
	if f.core.Settings().Classes[t.Job.Class].Effect != rules.Repeatable {
		f.core.DetachClient(t)
		return
	}
	f.ledger.End(f.loop.Now(), t.ID, admission.Refused, nil)
	f.core.ClientDisconnected(t)
}

// respond writes an answer: HEADERS now, DATA as far as the windows let it.
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
	if c.unsentBytes+len(body) > c.front.limits.MaxUnsentBytes {
		// The client has asked for more than it reads: this answer it can only look up.
		c.reset(s.id, EnhanceYourCalm)
		return
	}
	if c.unsentBytes == 0 {
		c.lastProgress = c.front.loop.Now()
	}
	s.unsent = slices.Clone(body) // the result is a slice of a buffer that is given back
	c.unsentBytes += len(body)
	c.blockedStreams = append(c.blockedStreams, s)
	c.sendBlockedData()
}

// close ends the answer's side. A request that is not whole by then is not waited for.
func (s *stream) finish() {
	if !s.requestEnded {
		s.conn.reset(s.id, NoError)
		return
	}
	s.conn.removeStream(s)
}

// push sends what the windows let go, a frame of each stream in turn. It tells whether anything left.
func (c *conn) sendBlockedData() (moved bool) {
	for len(c.blockedStreams) > 0 && c.sendWindow > 0 {
		kept, sent := c.blockedStreams[:0], false
		for _, s := range c.blockedStreams {
			if s.closed || len(s.unsent) == 0 {
				continue
			}
			if n := min(int64(len(s.unsent)), s.sendWindow, c.sendWindow, int64(c.maxSendFrame)); n > 0 {
				c.sendData(s, int(n))
				sent = true
			}
			if !s.closed && len(s.unsent) > 0 {
				kept = append(kept, s)
			}
		}
		clear(c.blockedStreams[len(kept):])
		c.blockedStreams = kept
		if !sent {
			break
		}
		moved = true
	}
	if moved {
		c.lastProgress = c.front.loop.Now()
	}
	return moved
}

func (c *conn) sendData(s *stream, n int) {
	flags := byte(0)
	if n == len(s.unsent) {
		flags = flagEndStream
	}
	c.write(append(appendFrameHeader(make([]byte, 0, frameHeaderBytes+n), n, frameData, flags, s.id), s.unsent[:n]...))
	s.sendWindow -= int64(n)
	c.sendWindow -= int64(n)
	c.unsentBytes -= n
	if s.unsent = s.unsent[n:]; len(s.unsent) == 0 {
		s.finish()
	}
}
