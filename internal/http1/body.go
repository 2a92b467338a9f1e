package http1

import "bytes"

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

// BodyFraming is what ends the body of a response (RFC 9112, section 6.3).
type BodyFraming uint8

// The framings of a response's body.
const (
	NoBody          BodyFraming = iota // the status allows none
	BodyWithLength                     // ends after Content-Length bytes
	BodyInChunks                       // ends with the last chunk and its trailers
	BodyUntilClosed                    // ends with the connection
)

// BodyFraming returns what ends the body, and its length in bytes if that is given; see BodyLength for the errors.
func (r *Response) BodyFraming() (framing BodyFraming, length int, err *Error) {
	if r.Status/100 == 1 || r.Status == 204 || r.Status == 304 {
		return NoBody, 0, nil
	}
	length, chunked, err := r.BodyLength()
	switch {
	case err != nil:
		return NoBody, 0, err
	case chunked:
		return BodyInChunks, 0, nil
	case length < 0:
		return BodyUntilClosed, 0, nil
	}
	return BodyWithLength, length, nil
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
