// Package http1 parses and builds HTTP/1.1 messages for the fronts, for the connections to workers and for the discovery
// client; it does no I/O and keeps no state between calls. A parser gets everything that has been read of a message so
// far, and returns either the message, whose slices point into that buffer, or the number of bytes that the buffer must
// hold before another call can succeed.
package http1

import (
	"bytes"
	"strconv"
)

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

// ParseResponse parses the response at the start of buf; need is as in ParseRequest. The flag ended says that the
// connection has ended, which also ends a body without a length.
func ParseResponse(buf []byte, resp *Response, ended bool) (need int, err *Error) {
	at, need, err := ParseHead(buf, resp)
	if need > 0 || err != nil {
		return need, err
	}
	if resp.Status/100 == 1 || resp.Status == 204 || resp.Status == 304 {
		resp.Size = at
		return 0, nil
	}
	if resp.Count("Content-Length") == 0 && resp.Count("Transfer-Encoding") == 0 {
		if !ended {
			if len(buf)-at > MaxBody {
				return 0, &Error{413, "body too large"}
			}
			return len(buf) + 1, nil
		}
		resp.Body, resp.Size, resp.KeepAlive = buf[at:], len(buf), false
		return 0, nil
	}
	return resp.parseBody(buf, at)
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

// BodyLength returns how the body is framed: chunked, or by its length n in bytes. A length above 2^31 is returned as
// 2^31, and n is -1 if the headers give neither. A message with two lengths, or with a length and a transfer coding, is an
// error, since two parties that resolve the conflict differently would see different requests in it (request smuggling).
func (m *Message) BodyLength() (n int, chunked bool, err *Error) {
	codings, lengths := m.Count("Transfer-Encoding"), m.Count("Content-Length")
	switch {
	case codings > 1 || lengths > 1 || codings > 0 && lengths > 0:
		return 0, false, malformed("conflicting lengths")
	case codings == 1:
		if !equalFold(m.Get("Transfer-Encoding"), "chunked") {
			return 0, false, malformed("unknown transfer coding")
		}
		return 0, true, nil
	case lengths == 0:
		return -1, false, nil
	}
	n, ok := parseUint(m.Get("Content-Length"), 10)
	if !ok {
		return 0, false, malformed("malformed length")
	}
	return n, false, nil
}

// parseBody parses the body that starts at at, and sets Body and Size.
func (m *Message) parseBody(buf []byte, at int) (need int, err *Error) {
	n, chunked, err := m.BodyLength()
	switch {
	case err != nil:
		return 0, err
	case chunked:
		return m.parseChunkedBody(buf, at)
	case n < 0:
		m.Size = at
		return 0, nil
	}
	if n > MaxBody {
		return 0, &Error{413, "body too large"}
	}
	if at+n > len(buf) {
		return at + n, nil
	}
	m.Body, m.Size = buf[at:at+n], at+n
	return 0, nil
}

// parseChunkedBody joins the chunks from at on and skips the trailers behind them.
func (m *Message) parseChunkedBody(buf []byte, at int) (need int, err *Error) {
	m.Body = nil
	var joined []byte
	for {
		data, next, need, err := ParseChunk(buf, at)
		if need > 0 || err != nil {
			return need, err
		}
		// The second bound limits the framing: a body in chunks of one byte would be parsed from the start over and over.
		if len(joined)+len(data) > MaxBody || next > MaxMessage {
			return 0, &Error{413, "body too large"}
		}
		at = next
		if data == nil {
			break
		}
		joined = append(joined, data...)
	}
	if at, need, err = ParseTrailers(buf, at); need > 0 || err != nil {
		return need, err
	}
	m.Body, m.Size = joined, at
	return 0, nil
}

// ParseTrailers skips the trailers behind the last chunk, which start at from, and returns the offset at which the
// message ends; need is as in ParseRequest.
func ParseTrailers(buf []byte, from int) (next, need int, err *Error) {
	for lines := 0; ; lines++ {
		line, next, need, err := nextLine(buf, from)
		if need > 0 || err != nil {
			return 0, need, err
		}
		if lines > maxHeaders {
			return 0, 0, &Error{431, "too many trailers"}
		}
		if from = next; len(line) == 0 {
			return next, 0, nil
		}
		if name, _, ok := bytes.Cut(line, []byte(":")); !ok || !isToken(name) {
			return 0, 0, malformed("malformed trailer")
		}
	}
}

// ParseChunk parses the chunk that starts at from. The last chunk, of size zero, has nil data; next is the offset behind
// the chunk and need is as in ParseRequest.
func ParseChunk(buf []byte, from int) (data []byte, next, need int, err *Error) {
	n, at, need, err := ParseChunkSize(buf, from)
	if need > 0 || err != nil {
		return nil, 0, need, err
	}
	if n > MaxBody {
		return nil, 0, 0, &Error{413, "body too large"}
	}
	if n == 0 {
		return nil, at, 0, nil
	}
	if at+n+2 > len(buf) {
		return nil, 0, at + n + 2, nil
	}
	if next, _, err = ParseChunkEnd(buf, at+n); err != nil {
		return nil, 0, 0, err
	}
	return buf[at : at+n], next, 0, nil
}

// MaxChunkSize is the size in bytes from which on a chunk is an error in every message, also in a body without a limit.
const MaxChunkSize = 1 << 31

// ParseChunkSize parses the size line of a chunk. It returns the size of the chunk's data in bytes, zero for the last
// chunk, and the offset next at which the data starts; need is as in ParseRequest.
func ParseChunkSize(buf []byte, from int) (size, next, need int, err *Error) {
	const maxLine = 256 // bytes of a size line with its extensions
	i := bytes.IndexByte(buf[from:], '\n')
	if i < 0 && len(buf)-from < maxLine {
		return 0, 0, len(buf) + 1, nil
	}
	if i < 1 || i > maxLine || buf[from+i-1] != '\r' {
		return 0, 0, 0, malformed("malformed chunk size")
	}
	text, _, _ := bytes.Cut(buf[from:from+i-1], []byte(";"))
	size, ok := parseUint(bytes.TrimRight(text, " \t"), 16)
	if !ok {
		return 0, 0, 0, malformed("malformed chunk size")
	}
	if size >= MaxChunkSize {
		return 0, 0, 0, &Error{413, "chunk too large"}
	}
	return size, from + i + 1, 0, nil
}

// ParseChunkEnd parses the CR LF behind a chunk's data, and returns the offset behind it; need is as in ParseRequest.
func ParseChunkEnd(buf []byte, from int) (next, need int, err *Error) {
	next = from + len(crlf)
	if next > len(buf) {
		return 0, next, nil
	}
	if !bytes.Equal(buf[from:next], crlf) {
		return 0, 0, malformed("malformed chunk end")
	}
	return next, 0, nil
}

// parseVersion returns the minor version of an HTTP/1 version, 0 or 1.
func parseVersion(v []byte) (minor int, err *Error) {
	if len(v) != 8 || string(v[:7]) != "HTTP/1." || v[7] != '0' && v[7] != '1' {
		return 0, malformed("unknown version")
	}
	return int(v[7] - '0'), nil
}

// parseUint parses a number without sign or space, and returns one above 2^31 as 2^31.
func parseUint(s []byte, base int) (n int, ok bool) {
	for _, c := range s {
		d := 99
		switch {
		case c >= '0' && c <= '9':
			d = int(c - '0')
		case c >= 'a' && c <= 'f':
			d = int(c-'a') + 10
		case c >= 'A' && c <= 'F':
			d = int(c-'A') + 10
		}
		if d >= base {
			return 0, false
		}
		n = min(n*base+d, 1<<31)
	}
	return n, len(s) > 0
}

// isTarget reports whether s is a request target in origin form without spaces or control characters.
func isTarget(s []byte) bool {
	if len(s) == 0 || s[0] != '/' {
		return false
	}
	for _, c := range s {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether s is a token as RFC 9110 defines it.
func isToken(s []byte) bool {
	for _, c := range s {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return len(s) > 0
}

// equalFold compares without regard to the case of ASCII letters.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		x, y := b[i], s[i]
		if x >= 'A' && x <= 'Z' {
			x += 'a' - 'A'
		}
		if y >= 'A' && y <= 'Z' {
			y += 'a' - 'A'
		}
		if x != y {
			return false
		}
	}
	return true
}

// reasonPhrases are the reason phrases of the status codes that AppendResponse is called with; others get an empty one.
var reasonPhrases = map[int]string{200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}

// AppendResponse appends a complete response to b. Further headers are given as alternating names and values.
func AppendResponse(b []byte, status int, keepAlive bool, body []byte, headers ...string) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(append(b, ' '), reasonPhrases[status]...), crlf...)
	if status != 204 {
		b = appendLength(b, len(body))
	}
	if !keepAlive {
		b = append(b, "Connection: close\r\n"...)
	}
	b = appendHeaders(b, headers)
	return append(append(b, crlf...), body...)
}

// AppendRequest appends the head of a request to b. The length is that of the body in bytes, or negative for a request
// without a body. Further headers are given as alternating names and values, and as complete field lines, which are
// copied as they are.
func AppendRequest(b []byte, method, target, host string, length int, lines []byte, headers ...string) []byte {
	b = append(append(append(append(b, method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), crlf...)
	if length >= 0 {
		b = appendLength(b, length)
	}
	return append(append(appendHeaders(b, headers), lines...), crlf...)
}

func appendLength(b []byte, n int) []byte {
	return append(strconv.AppendInt(append(b, "Content-Length: "...), int64(n), 10), crlf...)
}

func appendHeaders(b []byte, headers []string) []byte {
	for i := 0; i+1 < len(headers); i += 2 {
		b = append(append(append(append(b, headers[i]...), ": "...), headers[i+1]...), crlf...)
	}
	return b
}
