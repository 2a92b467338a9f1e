package http2

import (
	"fmt"
	"strconv"
	"strings"

	"golang.org/x/net/http2/hpack"
)

// fieldSection is a decoded field section (RFC 9113, section 8.1): the header of a request, or trailers.
type fieldSection struct {
	method, scheme, path, authority string
	fields                          []hpack.HeaderField // without the pseudo-header fields
	contentLength                   int64               // Content-Length; -1: none
	size                            int                 // bytes of all fields, as RFC 9113, section 6.5.2, counts them
	hasPseudo                       bool                // there is at least one pseudo-header field
	tooLarge                        bool                // it exceeds max_header_kb, and fields are missing
	malformed                       string              // why the message is malformed, a stream error (RFC 9113, section 8.1.1); empty: it is not
}

// setMalformed keeps the first error of a section.
func (h *fieldSection) setMalformed(format string, args ...any) {
	if h.malformed == "" {
		h.malformed = fmt.Sprintf(format, args...)
	}
}

// newFieldSection checks decoded fields; the first error is kept in malformed.
func newFieldSection(fields []hpack.HeaderField, tooLarge bool) *fieldSection {
	h := &fieldSection{contentLength: -1, tooLarge: tooLarge}
	for _, f := range fields {
		h.size += int(f.Size())
	}
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
				h.setMalformed("host appears twice")
			}
			host = f.Value
		}
	}
	if h.authority != "" && hosts > 0 && !strings.EqualFold(host, h.authority) {
		h.setMalformed(":authority and host differ")
	}
	return h
}

// addPseudo adds a pseudo-header field; seen marks the ones that came before.
func (h *fieldSection) addPseudo(f hpack.HeaderField, seen *[4]bool) {
	dest, index := h.pseudoField(f.Name)
	switch {
	case dest == nil:
		h.setMalformed("unknown pseudo-header field %q", f.Name)
	case seen[index]:
		h.setMalformed("%s appears twice", f.Name)
	case len(h.fields) > 0:
		h.setMalformed("%s appears behind a regular field", f.Name)
	default:
		*dest = f.Value
	}
	seen[index], h.hasPseudo = true, true
	if !isValidFieldValue(f.Value) {
		h.setMalformed("%s has an invalid value", f.Name)
	}
}

// addRegular adds a field that is not a pseudo-header field.
func (h *fieldSection) addRegular(f hpack.HeaderField) {
	switch {
	case !isValidFieldName(f.Name):
		h.setMalformed("invalid field name %q", f.Name)
	case !isValidFieldValue(f.Value):
		h.setMalformed("%s has an invalid value", f.Name)
	}
	switch f.Name {
	case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade":
		h.setMalformed("%s is specific to HTTP/1.1 (RFC 9113, section 8.2.2)", f.Name)
	case "te":
		if f.Value != "trailers" {
			h.setMalformed("invalid te: %s", f.Value)
		}
	case "content-length":
		n, err := strconv.ParseUint(f.Value, 10, 62)
		if err != nil || h.contentLength >= 0 && h.contentLength != int64(n) {
			h.setMalformed("invalid content-length: %s", f.Value)
		}
		h.contentLength = int64(n)
	}
	h.fields = append(h.fields, f)
}

// pseudoField returns the field of h for a request's pseudo-header field, and its index; nil: it is unknown.
func (h *fieldSection) pseudoField(name string) (dest *string, index int) {
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

// checkRequest checks that the pseudo-header fields of a request are complete (RFC 9113, section 8.3.1).
func (h *fieldSection) checkRequest() {
	if h.malformed != "" || h.tooLarge {
		return
	}
	switch {
	case h.method == "":
		h.malformed = ":method is missing"
	case h.method == "CONNECT":
		h.malformed = "CONNECT is not supported"
	case h.scheme == "":
		h.malformed = ":scheme is missing"
	case h.path == "" || h.path[0] != '/' && !(h.path == "*" && h.method == "OPTIONS"):
		h.malformed = ":path is missing or invalid"
	}
}

// get returns a field's first value and the number of its values; the name may be in any case.
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

// isValidFieldName reports whether a field name is a token in lower case (RFC 9113, section 8.2.1).
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

// isValidFieldValue reports whether a value has no NUL, CR and LF and no blanks at its ends (RFC 9113, section 8.2.1).
func isValidFieldValue(s string) bool {
	if s == "" {
		return true
	}
	first, last := s[0], s[len(s)-1]
	return !strings.ContainsAny(s, "\x00\r\n") && first != ' ' && first != '\t' && last != ' ' && last != '\t'
}
