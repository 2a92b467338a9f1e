package conformance

import (
	"bytes"
	"fmt"
	"strings"

	"golang.org/x/net/http2"
)

// readyRequest holds the fields of a valid request.
var readyRequest = []string{":method", "GET", ":scheme", "http", ":path", "/-/ready", ":authority", "c"}

// readyWith returns the fields of a valid request, followed by more.
func readyWith(more ...string) []string {
	return append(append([]string(nil), readyRequest...), more...)
}

// addMessageCases adds the cases of section 8.1: requests, their answers and trailers.
func (t *http2Table) addMessageCases() {
	t.add("8.1", "get", "a GET is answered", func(h *http2Conn) {
		h.handshake()
		h.expectServed()
	})
	t.add("8.1", "many-at-once", "fifty requests at once are all answered", func(h *http2Conn) {
		h.handshake()
		open := map[uint32]bool{}
		for range 50 {
			open[h.openStream(true, h.getRequest()...)] = true
		}
		for len(open) > 0 {
			f := h.readUntil(func(f http2.Frame) bool { return f.Header().Flags&1 != 0 && f.Header().StreamID != 0 }, "an answer's end")
			delete(open, f.Header().StreamID)
		}
	})
	t.add("8.1", "trailers", "a body may end with trailers", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(false, h.getRequest()...)
		h.writeRaw(frameData, 0, id, 'a')
		h.writeRaw(frameHeaders, 5, id, h.encodeHeaders("x-trailer", "v")...)
		if s, _ := h.readAnswer(id); s != "200" {
			h.fail("status %s", s)
		}
	})
	t.add("8.1", "trailers-no-end", "a second header block without END_STREAM is malformed", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(false, h.getRequest()...)
		h.writeRaw(frameHeaders, 4, id, h.encodeHeaders("x-trailer", "v")...)
		h.expectMalformed(id)
	})
	t.add("8.1", "trailers-pseudo", "trailers with a pseudo-header field are malformed", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(false, h.getRequest()...)
		h.writeRaw(frameHeaders, 5, id, h.encodeHeaders(":path", "/")...)
		h.expectMalformed(id)
	})
}

// addMalformedCases adds the cases of sections 8.1.1 to 8.3.1 about requests with malformed fields.
func (t *http2Table) addMalformedCases() {
	for _, m := range []struct {
		section, name, description string
		fields                     []string
	}{
		{"8.2.1", "upper-case", "a field name in upper case", readyWith("X-Upper", "v")},
		{"8.2.1", "name-space", "a field name with a space", readyWith("x y", "v")},
		{"8.2.1", "name-colon", "a field name with a colon in it", readyWith("x:y", "v")},
		{"8.2.1", "name-nul", "a field name with NUL", readyWith("x\x00", "v")},
		{"8.2.1", "name-empty", "an empty field name", readyWith("", "v")},
		{"8.2.1", "name-0x7f", "a field name with DEL", readyWith("x\x7f", "v")},
		{"8.2.1", "value-nul", "a value with NUL", readyWith("x", "a\x00b")},
		{"8.2.1", "value-lf", "a value with LF", readyWith("x", "a\nb")},
		{"8.2.1", "value-cr", "a value with CR", readyWith("x", "a\rb")},
		{"8.2.1", "value-leading-blank", "a value that begins with a space", readyWith("x", " a")},
		{"8.2.1", "value-trailing-tab", "a value that ends with a tab", readyWith("x", "a\t")},
		{"8.2.2", "connection", "the field connection", readyWith("connection", "close")},
		{"8.2.2", "keep-alive", "the field keep-alive", readyWith("keep-alive", "1")},
		{"8.2.2", "proxy-connection", "the field proxy-connection", readyWith("proxy-connection", "keep-alive")},
		{"8.2.2", "transfer-encoding", "the field transfer-encoding", readyWith("transfer-encoding", "chunked")},
		{"8.2.2", "upgrade", "the field upgrade", readyWith("upgrade", "h2c")},
		{"8.2.2", "te", "te with anything but trailers", readyWith("te", "gzip")},
		{"8.3", "unknown-pseudo", "a pseudo-header field that is not defined", append([]string{":other", "v"}, readyRequest...)},
		{"8.3", "response-pseudo", "a pseudo-header field of responses", append([]string{":status", "200"}, readyRequest...)},
		{"8.3", "pseudo-behind", "a pseudo-header field after a regular one", []string{":method", "GET", ":scheme", "http", "x", "v", ":path", "/"}},
		{"8.3.1", "no-method", "a request without :method", readyRequest[2:]},
		{"8.3.1", "no-scheme", "a request without :scheme", append([]string{":method", "GET"}, readyRequest[4:]...)},
		{"8.3.1", "no-path", "a request without :path", append(append([]string(nil), readyRequest[:4]...), readyRequest[6:]...)},
		{"8.3.1", "empty-path", "an empty :path", []string{":method", "GET", ":scheme", "http", ":path", ""}},
		{"8.3.1", "path-no-slash", "a :path that does not begin with a slash", []string{":method", "GET", ":scheme", "http", ":path", "x"}},
		{"8.3.1", "method-twice", "two :method", append([]string{":method", "GET"}, readyRequest...)},
		{"8.3.1", "path-twice", "two :path", append([]string{":path", "/"}, readyRequest...)},
		{"8.3.1", "scheme-twice", "two :scheme", append([]string{":scheme", "http"}, readyRequest...)},
		{"8.3.1", "host-differs", ":authority and host that differ", readyWith("host", "other")},
		{"8.1.1", "length-none", "a content-length that is no number", readyWith("content-length", "x")},
		{"8.1.1", "length-negative", "a negative content-length", readyWith("content-length", "-1")},
		{"8.1.1", "length-differ", "two content-lengths that differ", readyWith("content-length", "1", "content-length", "2")},
		{"8.1.1", "length-without-data", "a content-length of 5 without DATA", readyWith("content-length", "5")},
	} {
		t.add(m.section, m.name, m.description+" is malformed", func(h *http2Conn) {
			h.handshake()
			h.expectMalformed(h.openStream(true, m.fields...))
			h.expectServed()
		})
	}
}

// addFieldCases adds the cases of sections 8.1.1 to 8.3.1 about bodies of another length than content-length, and about fields
// that are valid.
func (t *http2Table) addFieldCases() {
	for _, n := range []int{1, 3} {
		t.add("8.1.1", fmt.Sprint("length-2-data-", n), fmt.Sprintf("a content-length of 2 with %d bytes of DATA is malformed", n), func(h *http2Conn) {
			h.handshake()
			id := h.openStream(false, readyWith("content-length", "2")...)
			h.writeRaw(frameData, 1, id, bytes.Repeat([]byte{'a'}, n)...)
			h.expectMalformed(id)
			h.expectServed()
		})
	}
	t.add("8.2.2", "te-trailers", "te: trailers is no error", func(h *http2Conn) {
		h.handshake()
		if s, _ := h.readAnswer(h.openStream(true, readyWith("te", "trailers")...)); s != "200" {
			h.fail("status %s", s)
		}
	})
	t.add("8.3.1", "host-same", "host beside an equal :authority is no error", func(h *http2Conn) {
		h.handshake()
		if s, _ := h.readAnswer(h.openStream(true, readyWith("host", "C")...)); s != "200" {
			h.fail("status %s", s)
		}
	})
	t.add("8.3.1", "no-authority", "a request without :authority is no error", func(h *http2Conn) {
		h.handshake()
		if s, _ := h.readAnswer(h.openStream(true, readyRequest[:6]...)); s != "200" {
			h.fail("status %s", s)
		}
	})
}

// addFloodCases adds the cases of section 10.5: excessive load that a server may refuse.
func (t *http2Table) addFloodCases() {
	t.add("10.5", "settings-flood", "a SETTINGS flood is answered with ENHANCE_YOUR_CALM, or completely", func(h *http2Conn) {
		h.handshake()
		go func() {
			for range 5000 {
				if h.framer.WriteRawFrame(frameSettings, 0, 0, nil) != nil {
					return
				}
			}
			h.framer.WriteRawFrame(framePing, 0, 0, make([]byte, 8))
		}()
		for {
			f, err := h.framer.ReadFrame()
			if err != nil {
				return
			}
			if g, ok := f.(*http2.GoAwayFrame); ok && g.ErrCode != codeEnhanceYourCalm {
				h.fail("GOAWAY %v", g.ErrCode)
			} else if p, ok := f.(*http2.PingFrame); ok && p.IsAck() {
				return
			}
		}
	})
	t.add("10.5", "large-header-list", "a header list above the server's limit is answered with 431, or ends the stream", func(h *http2Conn) {
		h.handshake()
		limit, isSet := h.serverSettings[http2.SettingMaxHeaderListSize]
		if !isSet || limit > 1<<17 {
			return
		}
		b := h.encodeHeaders(readyWith("x-large", strings.Repeat("v", int(limit)))...)
		h.writeRaw(frameHeaders, 1, 1, b[:8000]...)
		for b = b[8000:]; len(b) > 8000; b = b[8000:] {
			h.writeRaw(frameContinuation, 0, 1, b[:8000]...)
		}
		h.writeRaw(frameContinuation, 4, 1, b...)
		f := h.readUntil(func(f http2.Frame) bool { return f.Header().StreamID == 1 }, "the refusal")
		if hf, ok := f.(*http2.HeadersFrame); ok {
			fields, err := h.decoder.DecodeFull(hf.HeaderBlockFragment())
			h.must(err)
			if fields[0].Value != "431" {
				h.fail("status %s", fields[0].Value)
			}
		}
		h.nextStream = 3
		h.expectServed()
	})
}
