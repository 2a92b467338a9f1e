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
	conn     *conn
	id       uint32
	head     *head
	body     []byte
	ended    bool  // the request is whole
	window   int64 // that the client gives us
	received int64 // that it has left of what we gave

	job      *core.Request // nil: none, or released
	answered bool          // HEADERS have been written
	out      []byte        // of the answer, not sent yet
	gone     bool
}

// PathJobs is where a client learns how a job ended.
const PathJobs = "/jobs/"

// early looks at a request whose body is still to come: what can't be served is told at once.
func (s *stream) early() {
	if s.head.length > admission.MaxBody {
		s.refuse(413, "the body is over 64 KiB")
	}
}

// take takes a part of the body.
func (s *stream) take(data []byte, end bool) {
	c := s.conn
	if s.answered {
		return // it was refused already; what comes is on its way
	}
	s.body = append(s.body, data...)
	c.bodies += len(data)
	switch {
	case s.head.length >= 0 && (int64(len(s.body)) > s.head.length || end && int64(len(s.body)) != s.head.length):
		c.reset(s.id, ProtocolError) // malformed (RFC 9113, section 8.1.1)
	case len(s.body) > admission.MaxBody:
		s.refuse(413, "the body is over 64 KiB")
	case c.bodies > c.front.limits.BodyBytes:
		// It was not taken, so it may be sent again.
		c.reset(s.id, RefusedStream)
	case end:
		s.whole()
	case s.received < usualWindow/2:
		c.write(appendWindow(nil, s.id, int(usualWindow-s.received)))
		s.received = usualWindow
	}
}

// whole has the request whole: it becomes a request of the core, or is answered here.
func (s *stream) whole() {
	s.ended = true
	if s.answered {
		return
	}
	c, f, h := s.conn, s.conn.front, s.head
	if h.length >= 0 && h.length != int64(len(s.body)) {
		c.reset(s.id, ProtocolError)
		return
	}
	path, _, _ := strings.Cut(h.path, "?")
	switch {
	case path == "/-/ready" || path == "/-/healthy":
		s.local("GET", func() { s.respond(200, nil) })
		return
	case strings.HasPrefix(path, PathJobs):
		s.local("GET", func() { s.tell(strings.TrimPrefix(path, PathJobs)) })
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
	s.job = t
	f.ledger.Begin(t.ID)
}

func (s *stream) local(method string, answer func()) {
	if s.head.method != method && s.head.method != "HEAD" {
		s.respond(405, []byte(method+"\n"), "allow", method)
		return
	}
	answer()
}

// tell gives the state of a job to whoever knows its id.
func (s *stream) tell(id string) {
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
func (s *stream) refuse(status int, text string) {
	whole := s.ended
	s.respond(status, []byte(text+"\n"))
	if c := s.conn; !whole && !s.gone && len(s.out) == 0 {
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
	if s.gone {
		return
	}
	f.Figures.Answered++
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
	s.job, s.body = nil, nil
}

// abandon has the client gone from the stream. A job that must not run twice and that a worker may have begun goes on
// there, since a withdrawal would leave open whether it ran; any other is withdrawn, and asking for it again is harmless.
// No further attempt begins either way.
func (s *stream) abandon() {
	s.gone = true
	t, f := s.job, s.conn.front
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
	if s.gone || s.answered || c.CloseReason != "" {
		return
	}
	s.answered = true
	if s.head.method == "HEAD" {
		body = nil
	}
	c.encoded.Reset()
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
	b := appendFrame(make([]byte, 0, headLength+c.encoded.Len()), c.encoded.Len(), frameHeaders, flags, s.id)
	c.write(append(b, c.encoded.Bytes()...))
	if len(body) == 0 {
		s.close()
		return
	}
	if c.unsent+len(body) > c.front.limits.Unsent {
		// The client has asked for more than it reads: this answer it can only look up.
		c.reset(s.id, EnhanceYourCalm)
		return
	}
	if c.unsent == 0 {
		c.moved = c.front.loop.Now()
	}
	s.out = slices.Clone(body) // the result is a slice of a buffer that is given back
	c.unsent += len(body)
	c.waiting = append(c.waiting, s)
	c.push()
}

// close ends the answer's side. A request that is not whole by then is not waited for.
func (s *stream) close() {
	if !s.ended {
		s.conn.reset(s.id, NoError)
		return
	}
	s.conn.forget(s)
}

// push sends what the windows let go, a frame of each stream in turn. It tells whether anything left.
func (c *conn) push() (moved bool) {
	for len(c.waiting) > 0 && c.window > 0 {
		kept, sent := c.waiting[:0], false
		for _, s := range c.waiting {
			if s.gone || len(s.out) == 0 {
				continue
			}
			if n := min(int64(len(s.out)), s.window, c.window, int64(c.peerFrame)); n > 0 {
				c.send(s, int(n))
				sent = true
			}
			if !s.gone && len(s.out) > 0 {
				kept = append(kept, s)
			}
		}
		clear(c.waiting[len(kept):])
		c.waiting = kept
		if !sent {
			break
		}
		moved = true
	}
	if moved {
		c.moved = c.front.loop.Now()
	}
	return moved
}

func (c *conn) send(s *stream, n int) {
	flags := byte(0)
	if n == len(s.out) {
		flags = flagEndStream
	}
	c.write(append(appendFrame(make([]byte, 0, headLength+n), n, frameData, flags, s.id), s.out[:n]...))
	s.window -= int64(n)
	c.window -= int64(n)
	c.unsent -= n
	if s.out = s.out[n:]; len(s.out) == 0 {
		s.close()
	}
}
