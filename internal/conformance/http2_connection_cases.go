package conformance

import (
	"fmt"
	"strings"

	"golang.org/x/net/http2"
)

// addPrefaceCases adds the cases of section 3: the preface and the first SETTINGS.
func (t *http2Table) addPrefaceCases() {
	t.add("3.4", "settings-first", "the server's first frame is SETTINGS", func(h *http2Conn) { h.handshake() })
	t.add("3.4", "request-at-once", "a client may send requests before the server's SETTINGS", func(h *http2Conn) {
		h.write(http2.ClientPreface)
		h.must(h.framer.WriteSettings())
		id := h.openStream(true, h.getRequest()...)
		if s, _ := h.readAnswer(id); s != "200" {
			h.fail("status %s", s)
		}
	})
	t.add("3.4", "bad-preface", "a wrong preface ends the connection", func(h *http2Conn) {
		h.write("GET / HTTP/1.1\r\nHost: conformance\r\n\r\n")
		h.expectGoAway(codeProtocol)
	})
	t.add("3.4", "half-preface-wrong", "a preface with a wrong second half ends the connection", func(h *http2Conn) {
		h.write(http2.ClientPreface[:14] + "XX")
		h.expectGoAway(codeProtocol)
	})
	t.add("3.4", "no-settings", "a first frame that is not SETTINGS ends the connection", func(h *http2Conn) {
		h.write(http2.ClientPreface)
		h.writeRaw(framePing, 0, 0, make([]byte, 8)...)
		h.expectGoAway(codeProtocol)
	})
	t.add("3.4", "preface-in-pieces", "the preface may arrive byte by byte", func(h *http2Conn) {
		for _, b := range []byte(http2.ClientPreface) {
			h.write(string(rune(b)))
		}
		h.must(h.framer.WriteSettings())
		if s, _ := h.readAnswer(h.openStream(true, h.getRequest()...)); s != "200" {
			h.fail("status %s", s)
		}
	})
}

// addFramingCases adds the cases of sections 4.1 and 4.2: the layout and size of frames.
func (t *http2Table) addFramingCases() {
	t.addConnectionError("4.2", "too-long-data", "a DATA frame over the server's MAX_FRAME_SIZE", anyOf(codeFrameSize), sendFrame(frameData, 0, 1, make([]byte, 16385)...))
	t.addConnectionError("4.2", "too-long-headers", "a HEADERS frame over MAX_FRAME_SIZE", anyOf(codeFrameSize), sendFrame(frameHeaders, 0x4, 1, make([]byte, 16385)...))
	t.addConnectionError("4.2", "too-long-settings", "a SETTINGS frame over MAX_FRAME_SIZE", anyOf(codeFrameSize), sendFrame(frameSettings, 0, 0, make([]byte, 16386)...))
	t.add("4.1", "unknown-type", "a frame of an unknown type is ignored", func(h *http2Conn) {
		h.handshake()
		h.writeRaw(0x16, 0xff, 0, 1, 2, 3)
		h.writeRaw(0xff, 0, 77)
		h.expectServed()
	})
	t.add("4.1", "unknown-flags", "flags that are not defined are ignored", func(h *http2Conn) {
		h.handshake()
		h.writeRaw(framePing, 0xf0, 0, make([]byte, 8)...)
		h.expectServed()
	})
	t.add("4.1", "reserved-bit", "the reserved bit of a stream identifier is ignored", func(h *http2Conn) {
		h.handshake()
		h.writeRaw(frameWindowUpdate, 0, 1<<31, encodeUint32(10)...)
		h.expectServed()
	})
}

// addHeaderBlockCases adds the cases of section 4.3 and RFC 7541: header blocks and their compression.
func (t *http2Table) addHeaderBlockCases() {
	t.add("4.3", "continuation", "a header block may be split over several frames", func(h *http2Conn) {
		h.handshake()
		b := h.encodeHeaders(h.getRequest("x-long", strings.Repeat("v", 300))...)
		id := h.nextStream
		h.writeRaw(frameHeaders, 0x1, id, b[:3]...)
		h.writeRaw(frameContinuation, 0, id, b[3:20]...)
		h.writeRaw(frameContinuation, 0, id)
		h.writeRaw(frameContinuation, 0x4, id, b[20:]...)
		if s, _ := h.readAnswer(id); s != "200" {
			h.fail("status %s", s)
		}
	})
	for cut := range 8 {
		t.add("4.3", fmt.Sprint("cut-", cut), fmt.Sprintf("a header block may be split after byte %d", cut), func(h *http2Conn) {
			h.handshake()
			b := h.encodeHeaders(h.getRequest()...)
			h.writeRaw(frameHeaders, 0x1, 1, b[:cut]...)
			h.writeRaw(frameContinuation, 0x4, 1, b[cut:]...)
			if s, _ := h.readAnswer(1); s != "200" {
				h.fail("status %s", s)
			}
		})
	}
	t.addConnectionError("4.3", "bad-block", "a header block that can't be decoded ends the connection", anyOf(codeCompression), sendFrame(frameHeaders, 0x5, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff))
	t.addConnectionError("hpack-2.3.3", "index-0", "index 0 can't be decoded", anyOf(codeCompression), sendFrame(frameHeaders, 0x5, 1, 0x80))
	t.addConnectionError("hpack-2.3.3", "index-beyond", "an index beyond both tables can't be decoded", anyOf(codeCompression), sendFrame(frameHeaders, 0x5, 1, 0xfe))
	t.addConnectionError("hpack-4.2", "table-too-large", "a table size update above the server's limit can't be decoded", anyOf(codeCompression), sendFrame(frameHeaders, 0x5, 1, 0x3f, 0xe1, 0xff, 0xff, 0x03))
	t.addConnectionError("hpack-5.2", "bad-huffman", "a string whose Huffman padding is wrong can't be decoded", anyOf(codeCompression), sendFrame(frameHeaders, 0x5, 1, 0x00, 0x82, 0xff, 0xff, 0x01, 'a'))
	t.addConnectionError("hpack-6.3", "late-table-size", "a table size update after a field can't be decoded", anyOf(codeCompression), func(h *http2Conn) {
		h.writeRaw(frameHeaders, 0x5, 1, append(h.encodeHeaders(h.getRequest()...), 0x20)...)
	})
}
