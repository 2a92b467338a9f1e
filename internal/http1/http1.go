// Package http1 parses and builds HTTP/1.1 messages for the fronts, for the connections to workers and for the discovery
// client; it does no I/O and keeps no state between calls. A parser gets everything that has been read of a message so
// far, and returns either the message, whose slices point into that buffer, or the number of bytes that the buffer must
// hold before another call can succeed.
package http1

import "bytes"

// Limits of a message, in bytes unless stated otherwise.
const (
	MaxHead    = 16 << 10 // first line and header section
	MaxBody    = 64 << 10 // body without its framing
	maxHeaders = 64       // number of header fields, and of trailer fields

	maxLeadingBytes = 4 // CR and LF bytes that are skipped before a request line

	MaxMessage = MaxHead + 2*MaxBody // a whole message, the framing of a chunked body included
)

// Error reports a message that is malformed or over a limit, with the status code to answer it with.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return e.Text }

// malformed returns an Error for a message that breaks the syntax of HTTP/1.1.
func malformed(text string) *Error { return &Error{400, text} }

// Header is one field of a header section.
type Header struct{ Name, Value []byte }

// Message holds what requests and responses have in common. All slices point into the parsed buffer, except for a
// chunked body, which is copied to join its chunks.
type Message struct {
	Headers   []Header
	Body      []byte
	KeepAlive bool // the connection may be used again after this message
	Size      int  // bytes of the buffer that the message occupies
}

// Get returns the value of the first header with this name, compared without regard to case, or nil if there is none.
func (m *Message) Get(name string) []byte {
	for i := range m.Headers {
		if equalFold(m.Headers[i].Name, name) {
			return m.Headers[i].Value
		}
	}
	return nil
}

// Count returns the number of headers with this name, compared without regard to case.
func (m *Message) Count(name string) (n int) {
	for i := range m.Headers {
		if equalFold(m.Headers[i].Name, name) {
			n++
		}
	}
	return n
}

// Request is a parsed request.
type Request struct {
	Message
	Method []byte
	Target []byte // path and query, as received
	Path   []byte // Target up to the query
}

// Response is a parsed response.
type Response struct {
	Message
	Status int
}

// ParseRequest parses the request at the start of buf. A need above zero is the least number of bytes that buf must hold
// before the request can be complete.
func ParseRequest(buf []byte, req *Request) (need int, err *Error) {
	*req = Request{Message: Message{Headers: req.Headers[:0]}}
	skip := 0
	for skip < len(buf) && skip < maxLeadingBytes && (buf[skip] == '\r' || buf[skip] == '\n') {
		skip++
	}
	line, at, need, err := nextLine(buf, skip)
	if need > 0 || err != nil {
		return need, err
	}
	method, rest, ok := bytes.Cut(line, space)
	target, version, ok2 := bytes.Cut(rest, space)
	if !ok || !ok2 || !isToken(method) || !isTarget(target) {
		return 0, malformed("malformed request line")
	}
	minor, err := parseVersion(version)
	if err != nil {
		return 0, err
	}
	req.Method, req.Target = method, target
	req.Path, _, _ = bytes.Cut(target, question)
	need, err = req.parseHeadersAndBody(buf, at, minor, false)
	if need == 0 && err == nil && minor == 1 && req.Count("Host") != 1 {
		return 0, malformed("a request has one Host")
	}
	return need, err
}

// ParseResponse parses the response at the start of buf; need is as in ParseRequest. The flag ended says that the peer has
// ended the connection behind buf, which also ends a body without a length.
func ParseResponse(buf []byte, resp *Response, ended bool) (need int, err *Error) {
	at, need, err := ParseHead(buf, resp)
	if need > 0 || err != nil {
		return need, err
	}
	framing, _, err := resp.BodyFraming()
	switch {
	case err != nil:
		return 0, err
	case framing == NoBody:
		resp.Size = at
		return 0, nil
	case framing != BodyUntilClosed:
		return resp.parseBody(buf, at)
	case len(buf)-at > MaxBody:
		return 0, &Error{413, "body too large"}
	case !ended:
		return len(buf) + 1, nil
	}
	resp.Body, resp.Size, resp.KeepAlive = buf[at:], len(buf), false
	return 0, nil
}

// ParseHead parses the status line and the headers of the response at the start of buf; at is the offset of its body and
// need is as in ParseRequest.
func ParseHead(buf []byte, resp *Response) (at, need int, err *Error) {
	*resp = Response{Message: Message{Headers: resp.Headers[:0]}}
	line, at, need, err := nextLine(buf, 0)
	if need > 0 || err != nil {
		return 0, need, err
	}
	version, rest, ok := bytes.Cut(line, space)
	if !ok || len(rest) < 3 || len(rest) > 3 && rest[3] != ' ' {
		return 0, 0, malformed("malformed status line")
	}
	minor, err := parseVersion(version)
	if err != nil {
		return 0, 0, err
	}
	for _, c := range rest[:3] {
		if c < '0' || c > '9' {
			return 0, 0, malformed("malformed status")
		}
		resp.Status = 10*resp.Status + int(c-'0')
	}
	if resp.Status < 100 {
		return 0, 0, malformed("malformed status")
	}
	if need, err = resp.parseHeadersAndBody(buf, at, minor, true); need > 0 || err != nil {
		return 0, need, err
	}
	return resp.Size, 0, nil
}

var (
	space    = []byte(" ")
	question = []byte("?")
	crlf     = []byte("\r\n")
)

// nextLine returns the line that starts at from, without its CR LF, and the offset of the line after it.
func nextLine(buf []byte, from int) (line []byte, at, need int, err *Error) {
	i := bytes.IndexByte(buf[from:min(len(buf), from+MaxHead)], '\n')
	if i < 0 {
		if len(buf)-from >= MaxHead {
			return nil, 0, 0, &Error{431, "head too large"}
		}
		return nil, 0, len(buf) + 1, nil
	}
	if i == 0 || buf[from+i-1] != '\r' {
		return nil, 0, 0, malformed("a line ends in CR LF")
	}
	return buf[from : from+i-1], from + i + 1, 0, nil
}

// parseHeadersAndBody parses the headers from at on and, unless headOnly is set, the body. It sets Size to the offset at
// which it stopped.
func (m *Message) parseHeadersAndBody(buf []byte, at, minor int, headOnly bool) (need int, err *Error) {
	m.KeepAlive = minor == 1
	for {
		if at >= MaxHead {
			return 0, &Error{431, "head too large"}
		}
		line, next, need, err := nextLine(buf, at)
		if err != nil || need > 0 {
			if need > MaxHead {
				err = &Error{431, "head too large"}
			}
			return need, err
		}
		at = next
		if len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return 0, malformed("malformed header")
		}
		value = bytes.Trim(value, " \t")
		for _, c := range value {
			if c < ' ' && c != '\t' || c == 0x7f {
				return 0, malformed("malformed header value")
			}
		}
		if len(m.Headers) == maxHeaders {
			return 0, &Error{431, "too many headers"}
		}
		m.Headers = append(m.Headers, Header{name, value})
		if equalFold(name, "Connection") {
			for part := range bytes.SplitSeq(value, []byte(",")) {
				switch part = bytes.TrimSpace(part); {
				case equalFold(part, "close"):
					m.KeepAlive = false
				case equalFold(part, "keep-alive") && minor == 0:
					m.KeepAlive = true
				}
			}
		}
	}
	if m.Size = at; headOnly {
		return 0, nil
	}
	return m.parseBody(buf, at)
}
