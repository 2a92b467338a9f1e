package http2

import (
	"fmt"
	"strconv"
	"strings"

	"golang.org/x/net/http2/hpack"
)

// head is a decoded block of headers: a request's, or trailers.
type fieldSection struct {
	method, scheme, path, authority string
	fields                          []hpack.HeaderField // without the pseudo-header fields
	contentLength                   int64               // Content-Length; -1: none
	hasPseudo                       bool                // there is some pseudo-header field
	tooLarge                        bool
	malformed                       string // malformed, as a stream error (RFC 9113, section 8.1.1)
}

// fail notes the first fault of a block.
func (h *fieldSection) setMalformed(format string, args ...any) {
	if h.malformed == "" {
		h.malformed = fmt.Sprintf(format, args...)
	}
}

// newHead reads a block. What is malformed is told in bad, the first fault of it.
func newFieldSection(fields []hpack.HeaderField, tooLarge bool) *fieldSection {
	h := &fieldSection{contentLength: -1, tooLarge: tooLarge}
	host, hosts := "", 0
	seen := [4]bool{}
	h.fields = make([]hpack.HeaderField, 0, len(fields))
	for _, f := range fields {
		if strings.HasPrefix(f.Name, ":") {
			h.addPseudo(f, &seen)
			continue
		}
		h.addRegular(f)
		if f.Name == "host" {
			if hosts++; hosts > 1 {
				h.setMalformed("host stands twice")
			}
			host = f.Value
		}
	}
	if h.authority != "" && hosts > 0 && !strings.EqualFold(host, h.authority) {
		h.setMalformed(":authority and host differ")
	}
	return h
}

// addPseudo takes a pseudo-header field; seen are those that came before.
func (h *fieldSection) addPseudo(f hpack.HeaderField, seen *[4]bool) {
	to, nth := h.pseudoField(f.Name)
	switch {
	case to == nil:
		h.setMalformed("pseudo-header field %q", f.Name)
	case seen[nth]:
		h.setMalformed("%s stands twice", f.Name)
	case len(h.fields) > 0:
		h.setMalformed("%s stands behind a regular field", f.Name)
	default:
		*to = f.Value
	}
	seen[nth], h.hasPseudo = true, true
	if !isValidFieldValue(f.Value) {
		h.setMalformed("%s has a value that can't be one", f.Name)
	}
}

// addRegular takes any other field.
func (h *fieldSection) addRegular(f hpack.HeaderField) {
	switch {
	case !isValidFieldName(f.Name):
		h.setMalformed("field name %q", f.Name)
	case !isValidFieldValue(f.Value):
		h.setMalformed("%s has a value that can't be one", f.Name)
	}
	switch f.Name {
	case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade":
		h.setMalformed("%s is of HTTP/1.1 alone (RFC 9113, section 8.2.2)", f.Name)
	case "te":
		if f.Value != "trailers" {
			h.setMalformed("te: %s", f.Value)
		}
	case "content-length":
		n, err := strconv.ParseUint(f.Value, 10, 62)
		if err != nil || h.contentLength >= 0 && h.contentLength != int64(n) {
			h.setMalformed("content-length: %s", f.Value)
		}
		h.contentLength = int64(n)
	}
	h.fields = append(h.fields, f)
}

// pseudoField is where a request's pseudo-header field goes; nil: there is no such one.
func (h *fieldSection) pseudoField(name string) (to *string, nth int) {
	switch name {
	case ":method":
		return &h.method, 0
	case ":scheme":
		return &h.scheme, 1
	case ":path":
		return &h.path, 2
	case ":authority":
		return &h.authority, 3
	}
	return nil, 0
}

// checkRequest tells what a request lacks (RFC 9113, section 8.3.1).
func (h *fieldSection) checkRequest() {
	if h.malformed != "" || h.tooLarge {
		return
	}
	switch {
	case h.method == "":
		h.malformed = ":method is missing"
	case h.method == "CONNECT":
		h.malformed = "CONNECT is not served"
	case h.scheme == "":
		h.malformed = ":scheme is missing"
	case h.path == "" || h.path[0] != '/' && !(h.path == "*" && h.method == "OPTIONS"):
		h.malformed = ":path is missing or is none"
	}
}

// get gives a field's first value and how often it stands there; the name may be in any case.
func (h *fieldSection) get(name string) (value []byte, count int) {
	for i := range h.fields {
		if strings.EqualFold(h.fields[i].Name, name) {
			if count++; count == 1 {
				value = []byte(h.fields[i].Value)
			}
		}
	}
	return value, count
}

// goodName tells of a field name that is a token in lower case (RFC 9113, section 8.2.1).
func isValidFieldName(s string) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-') && strings.IndexByte("!#$%&'*+.^_`|~", c) < 0 {
			return false
		}
	}
	return true
}

// goodValue tells of a value without NUL, CR and LF, and without blanks at its ends.
func isValidFieldValue(s string) bool {
	if s == "" {
		return true
	}
	first, last := s[0], s[len(s)-1]
	return !strings.ContainsAny(s, "\x00\r\n") && first != ' ' && first != '\t' && last != ' ' && last != '\t'
}
