// Package http1 reads and writes HTTP/1.1 messages. Parsers are given all that has been read of a
// message so far and either give the message, whose parts are slices of that buffer, or say how much
// is needed before another try is of use. Nothing is kept between calls.
package http1

import (
	"bytes"
	"strconv"
)

// Limits of a message.
const (
	MaxHead    = 16 << 10
	MaxBody    = 64 << 10
	maxHeaders = 64

	MaxMessage = MaxHead + 2*MaxBody // with a chunked body's framing
)

// Error is a message that can't be taken, with the status that its sender is told.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return e.Text }

func malformed(text string) *Error { return &Error{400, text} }

// Header is one field of a head.
type Header struct{ Name, Value []byte }

// Message is what requests and responses share. All slices are parts of the buffer that was parsed,
// but for a chunked body, which is put together anew.
type Message struct {
	Headers   []Header
	Body      []byte
	KeepAlive bool
	Size      int // bytes of the buffer that the message took
}

// Get gives the value of a header, nil where there is none.
func (m *Message) Get(name string) []byte {
	for i := range m.Headers {
		if equalFold(m.Headers[i].Name, name) {
			return m.Headers[i].Value
		}
	}
	return nil
}

// Count is how often a header stands in the head.
func (m *Message) Count(name string) (n int) {
	for i := range m.Headers {
		if equalFold(m.Headers[i].Name, name) {
			n++
		}
	}
	return n
}

// Request is a request message.
type Request struct {
	Message
	Method []byte
	Target []byte // path and query as they came
	Path   []byte
}

// Response is a response message.
type Response struct {
	Message
	Status int
}

// ParseRequest parses the request at the start of buf. A need above zero says that the buffer has to
// hold that many bytes at least before the request can be whole.
func ParseRequest(buf []byte, q *Request) (need int, err *Error) {
	*q = Request{Message: Message{Headers: q.Headers[:0]}}
	skip := 0
	for skip < len(buf) && skip < 4 && (buf[skip] == '\r' || buf[skip] == '\n') { // blank lines before a request
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
	q.Method, q.Target = method, target
	q.Path, _, _ = bytes.Cut(target, question)
	need, err = q.parseHeadersAndBody(buf, at, minor, false)
	if need == 0 && err == nil && minor == 1 && q.Count("Host") != 1 {
		return 0, malformed("a request has one Host")
	}
	return need, err
}

// ParseResponse parses the response at the start of buf; ended tells that no more will come, which
// ends a body that has no length of its own.
func ParseResponse(buf []byte, p *Response, ended bool) (need int, err *Error) {
	at, need, err := ParseHead(buf, p)
	if need > 0 || err != nil {
		return need, err
	}
	if p.Status/100 == 1 || p.Status == 204 || p.Status == 304 {
		p.Size = at
		return 0, nil
	}
	if p.Count("Content-Length") == 0 && p.Count("Transfer-Encoding") == 0 {
		if !ended {
			if len(buf)-at > MaxBody {
				return 0, &Error{413, "body too large"}
			}
			return len(buf) + 1, nil
		}
		p.Body, p.Size, p.KeepAlive = buf[at:], len(buf), false
		return 0, nil
	}
	return p.parseBody(buf, at)
}

// ParseHead parses no more than a response's head and gives where its body begins.
func ParseHead(buf []byte, p *Response) (at, need int, err *Error) {
	*p = Response{Message: Message{Headers: p.Headers[:0]}}
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
		p.Status = 10*p.Status + int(c-'0')
	}
	if p.Status < 100 {
		return 0, 0, malformed("malformed status")
	}
	if need, err = p.parseHeadersAndBody(buf, at, minor, true); need > 0 || err != nil {
		return 0, need, err
	}
	return p.Size, 0, nil
}

var (
	space    = []byte(" ")
	question = []byte("?")
	crlf     = []byte("\r\n")
)

// firstLine gives the line that starts at from and where the next one does.
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

// rest parses headers and, unless headOnly, the body. Size is where it stopped.
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

// Length tells how the body's end is found: it is chunked, or has a length in bytes, of which anything past 2^31 counts
// as that; below zero: the head says nothing. A message with two lengths, or a length and a coding, is refused whole: two
// parties that read it differently would see different requests in it.
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

// body finds the body.
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

func (m *Message) parseChunkedBody(buf []byte, at int) (need int, err *Error) {
	m.Body = nil
	var whole []byte
	for {
		data, next, need, err := ParseChunk(buf, at)
		if need > 0 || err != nil {
			return need, err
		}
		// The second bound is on the framing: chunks of a byte each would be read over and over.
		if len(whole)+len(data) > MaxBody || next > MaxMessage {
			return 0, &Error{413, "body too large"}
		}
		at = next
		if data == nil {
			break
		}
		whole = append(whole, data...)
	}
	if at, need, err = ParseTrailers(buf, at); need > 0 || err != nil {
		return need, err
	}
	m.Body, m.Size = whole, at
	return 0, nil
}

// Trailers reads over what follows the last chunk, from its place on, and gives where the message ends.
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

// Chunk parses the chunk that starts at from; the last one has nil data.
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

// MaxChunk is the size from which on a chunk is refused wherever it stands, in bytes.
const MaxChunkSize = 1 << 31

// ChunkSize parses the line that begins a chunk, and gives the size of its data and where that starts. The last chunk
// has none.
func ParseChunkSize(buf []byte, from int) (size, next, need int, err *Error) {
	const longest = 256 // of a size line with its extensions
	i := bytes.IndexByte(buf[from:], '\n')
	if i < 0 && len(buf)-from < longest {
		return 0, 0, len(buf) + 1, nil
	}
	if i < 1 || i > longest || buf[from+i-1] != '\r' {
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

// ChunkEnd parses what stands behind a chunk's data.
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

func parseVersion(v []byte) (minor int, err *Error) {
	if len(v) != 8 || string(v[:7]) != "HTTP/1." || v[7] != '0' && v[7] != '1' {
		return 0, malformed("unknown version")
	}
	return int(v[7] - '0'), nil
}

// digits reads a number without sign or space; anything past 2^31 counts as that.
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

var reasonPhrases = map[int]string{200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}

// AppendResponse appends a whole response. Extra headers come as name, value, name, value.
func AppendResponse(b []byte, status int, keepAlive bool, body []byte, extra ...string) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(append(b, ' '), reasonPhrases[status]...), crlf...)
	if status != 204 {
		b = appendLength(b, len(body))
	}
	if !keepAlive {
		b = append(b, "Connection: close\r\n"...)
	}
	b = appendHeaders(b, extra)
	return append(append(b, crlf...), body...)
}

// AppendRequest appends the head of a request whose body has the given length; below zero: none. Lines are further
// field lines, as they are to stand there.
func AppendRequest(b []byte, method, target, host string, length int, lines []byte, extra ...string) []byte {
	b = append(append(append(append(b, method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), crlf...)
	if length >= 0 {
		b = appendLength(b, length)
	}
	return append(append(appendHeaders(b, extra), lines...), crlf...)
}

func appendLength(b []byte, n int) []byte {
	return append(strconv.AppendInt(append(b, "Content-Length: "...), int64(n), 10), crlf...)
}

func appendHeaders(b []byte, extra []string) []byte {
	for i := 0; i+1 < len(extra); i += 2 {
		b = append(append(append(append(b, extra[i]...), ": "...), extra[i+1]...), crlf...)
	}
	return b
}
