package conformance

import (
	"bytes"
	"fmt"
	"strings"

	"golang.org/x/net/http2"
)

const (
	tData     = http2.FrameData
	tHeaders  = http2.FrameHeaders
	tPriority = http2.FramePriority
	tReset    = http2.FrameRSTStream
	tSettings = http2.FrameSettings
	tPush     = http2.FramePushPromise
	tPing     = http2.FramePing
	tGoAway   = http2.FrameGoAway
	tWindow   = http2.FrameWindowUpdate
	tCont     = http2.FrameContinuation

	protocol    = http2.ErrCodeProtocol
	frameSize   = http2.ErrCodeFrameSize
	flow        = http2.ErrCodeFlowControl
	closedS     = http2.ErrCodeStreamClosed
	compression = http2.ErrCodeCompression
	calm        = http2.ErrCodeEnhanceYourCalm
	refused     = http2.ErrCodeRefusedStream
)

// http2Cases makes the table. The sections are of RFC 9113, or of RFC 7541 where the name says hpack.
func http2Cases() (all []http2Case) {
	add := func(section, name, says string, run func(h *h2)) {
		all = append(all, http2Case{section, name, says, run})
	}

	// Frames after the handshake that end the connection, by a code.
	ends := func(section, name, says string, codes []http2.ErrCode, do func(h *h2)) {
		add(section, name, says, func(h *h2) {
			h.hello()
			do(h)
			h.goAway(codes...)
		})
	}
	frame := func(kind http2.FrameType, flags http2.Flags, stream uint32, payload ...byte) func(h *h2) {
		return func(h *h2) { h.raw(kind, flags, stream, payload...) }
	}
	one := func(c ...http2.ErrCode) []http2.ErrCode { return c }

	// 3: starting.
	add("3.4", "settings-first", "the server's first frame is SETTINGS", func(h *h2) { h.hello() })
	add("3.4", "request-at-once", "a client may send requests before the server's SETTINGS", func(h *h2) {
		h.write(http2.ClientPreface)
		h.must(h.fr.WriteSettings())
		id := h.open(true, h.get()...)
		if s, _ := h.status(id); s != "200" {
			h.fail("status %s", s)
		}
	})
	add("3.4", "bad-preface", "a wrong preface ends the connection", func(h *h2) {
		h.write("GET / HTTP/1.1\r\nHost: conformance\r\n\r\n")
		h.goAway(protocol)
	})
	add("3.4", "half-preface-wrong", "a preface that goes wrong in its middle ends the connection", func(h *h2) {
		h.write(http2.ClientPreface[:14] + "XX")
		h.goAway(protocol)
	})
	add("3.4", "no-settings", "a first frame that is not SETTINGS ends the connection", func(h *h2) {
		h.write(http2.ClientPreface)
		h.raw(tPing, 0, 0, make([]byte, 8)...)
		h.goAway(protocol)
	})
	add("3.4", "preface-in-pieces", "the preface may come byte by byte", func(h *h2) {
		for _, b := range []byte(http2.ClientPreface) {
			h.write(string(rune(b)))
		}
		h.must(h.fr.WriteSettings())
		if s, _ := h.status(h.open(true, h.get()...)); s != "200" {
			h.fail("status %s", s)
		}
	})

	// 4: frames.
	ends("4.2", "too-long-data", "a DATA frame over the server's MAX_FRAME_SIZE", one(frameSize), frame(tData, 0, 1, make([]byte, 16385)...))
	ends("4.2", "too-long-headers", "a HEADERS frame over MAX_FRAME_SIZE", one(frameSize), frame(tHeaders, 0x4, 1, make([]byte, 16385)...))
	ends("4.2", "too-long-settings", "a SETTINGS frame over MAX_FRAME_SIZE", one(frameSize), frame(tSettings, 0, 0, make([]byte, 16386)...))
	add("4.1", "unknown-type", "a frame of an unknown type is ignored", func(h *h2) {
		h.hello()
		h.raw(0x16, 0xff, 0, 1, 2, 3)
		h.raw(0xff, 0, 77)
		h.ok()
	})
	add("4.1", "unknown-flags", "flags that are not defined are ignored", func(h *h2) {
		h.hello()
		h.raw(tPing, 0xf0, 0, make([]byte, 8)...)
		h.ok()
	})
	add("4.1", "reserved-bit", "the reserved bit of a stream's number is ignored", func(h *h2) {
		h.hello()
		h.raw(tWindow, 0, 1<<31, u32(10)...)
		h.ok()
	})
	add("4.3", "continuation", "a block of headers may come in many frames", func(h *h2) {
		h.hello()
		b := h.block(h.get("x-long", strings.Repeat("v", 300))...)
		id := h.next
		h.raw(tHeaders, 0x1, id, b[:3]...)
		h.raw(tCont, 0, id, b[3:20]...)
		h.raw(tCont, 0, id)
		h.raw(tCont, 0x4, id, b[20:]...)
		if s, _ := h.status(id); s != "200" {
			h.fail("status %s", s)
		}
	})
	for cut := range 8 {
		add("4.3", fmt.Sprint("cut-", cut), fmt.Sprintf("a block of headers may be cut behind byte %d", cut), func(h *h2) {
			h.hello()
			b := h.block(h.get()...)
			h.raw(tHeaders, 0x1, 1, b[:cut]...)
			h.raw(tCont, 0x4, 1, b[cut:]...)
			if s, _ := h.status(1); s != "200" {
				h.fail("status %s", s)
			}
		})
	}
	ends("4.3", "bad-block", "a block that can't be decoded ends the connection", one(compression), frame(tHeaders, 0x5, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff))
	ends("hpack-2.3.3", "index-0", "index 0 can't be decoded", one(compression), frame(tHeaders, 0x5, 1, 0x80))
	ends("hpack-2.3.3", "index-beyond", "an index beyond both tables can't be decoded", one(compression), frame(tHeaders, 0x5, 1, 0xfe))
	ends("hpack-4.2", "table-too-large", "a table size over the server's can't be decoded", one(compression), frame(tHeaders, 0x5, 1, 0x3f, 0xe1, 0xff, 0xff, 0x03))
	ends("hpack-5.2", "bad-huffman", "a string whose Huffman padding is wrong can't be decoded", one(compression), frame(tHeaders, 0x5, 1, 0x00, 0x82, 0xff, 0xff, 0x01, 'a'))
	ends("hpack-6.3", "late-table-size", "a table size behind a field can't be decoded", one(compression), func(h *h2) {
		h.raw(tHeaders, 0x5, 1, append(h.block(h.get()...), 0x20)...)
	})

	// 5: streams.
	ends("5.1", "data-on-idle", "DATA on an idle stream", one(protocol), frame(tData, 1, 1, 'a'))
	ends("5.1", "reset-on-idle", "RST_STREAM on an idle stream", one(protocol), frame(tReset, 0, 1, u32(8)...))
	ends("5.1", "window-on-idle", "WINDOW_UPDATE on an idle stream", one(protocol), frame(tWindow, 0, 1, u32(1)...))
	ends("5.1", "continuation-on-idle", "CONTINUATION on an idle stream", one(protocol), frame(tCont, 4, 1, 0x82))
	add("5.1", "priority-on-idle", "PRIORITY on an idle stream is no error", func(h *h2) {
		h.hello()
		h.raw(tPriority, 0, 9, 0, 0, 0, 0, 1)
		h.ok()
	})
	add("5.1", "data-on-half-closed", "DATA on a stream whose request is whole is an error of STREAM_CLOSED", func(h *h2) {
		h.hello()
		id := h.open(true, h.get()...)
		h.raw(tData, 1, id, 'a')
		h.closedStream(id)
	})
	add("5.1", "headers-on-closed", "HEADERS on a closed stream is an error of STREAM_CLOSED", func(h *h2) {
		h.hello()
		id := h.open(true, h.get()...)
		h.status(id)
		h.raw(tHeaders, 5, id, h.block(h.get()...)...)
		h.closedStream(id)
	})
	add("5.1", "data-on-closed", "DATA on a closed stream is an error of STREAM_CLOSED", func(h *h2) {
		h.hello()
		id := h.open(true, h.get()...)
		h.status(id)
		h.raw(tData, 1, id, 'a')
		h.closedStream(id)
	})
	add("5.1", "window-on-closed", "WINDOW_UPDATE on a closed stream is no error", func(h *h2) {
		h.hello()
		id := h.open(true, h.get()...)
		h.status(id)
		h.raw(tWindow, 0, id, u32(1)...)
		h.ok()
	})
	add("5.1", "reset-on-closed", "RST_STREAM on a closed stream is no error", func(h *h2) {
		h.hello()
		id := h.open(true, h.get()...)
		h.status(id)
		h.raw(tReset, 0, id, u32(8)...)
		h.ok()
	})
	ends("5.1.1", "even-stream", "a client's stream with an even number", one(protocol), func(h *h2) { h.raw(tHeaders, 5, 2, h.block(h.get()...)...) })
	ends("5.1.1", "lower-stream", "a stream with a lower number than one before", one(protocol, closedS), func(h *h2) {
		h.next = 5
		h.status(h.open(true, h.get()...))
		h.raw(tHeaders, 5, 3, h.block(h.get()...)...)
	})
	add("5.1.1", "numbers-left-out", "streams may leave numbers out", func(h *h2) {
		h.hello()
		h.next = 101
		h.ok()
	})
	add("5.1.2", "too-many-streams", "a stream beyond MAX_CONCURRENT_STREAMS is refused", func(h *h2) {
		h.hello()
		most, told := h.set[http2.SettingMaxConcurrentStreams]
		if !told || most > 2000 {
			return // it sets no bound that can be tried
		}
		for range most {
			h.open(false, ":method", "POST", ":scheme", "http", ":path", h.Path, ":authority", "c")
		}
		h.reset(h.open(false, h.get()...), refused, protocol)
	})
	ends("5.4.1", "goaway-names-last", "GOAWAY ends the connection", one(protocol), func(h *h2) {
		h.ok()
		h.raw(tData, 0, 0, 'a')
	})
	add("5.5", "unknown-setting", "a setting that is not known is ignored", func(h *h2) {
		h.hello(http2.Setting{ID: 0x99, Val: 7})
		h.ok()
	})
	ends("5.5", "unknown-in-block", "a frame of an unknown type within a block of headers", one(protocol), func(h *h2) {
		h.raw(tHeaders, 1, 1, h.block(h.get()...)...)
		h.raw(0x16, 0, 1)
	})

	// 6: each type of frame.
	for _, f := range []struct {
		section, name string
		kind          http2.FrameType
		payload       []byte
	}{
		{"6.1", "data", tData, []byte("a")}, {"6.2", "headers", tHeaders, []byte{0x82}}, {"6.3", "priority", tPriority, []byte{0, 0, 0, 0, 1}},
		{"6.4", "reset", tReset, u32(8)}, {"6.10", "continuation", tCont, []byte{0x82}},
	} {
		ends(f.section, f.name+"-on-0", f.name+" on stream 0", one(protocol), frame(f.kind, 4, 0, f.payload...))
	}
	for _, f := range []struct {
		section, name string
		kind          http2.FrameType
		payload       []byte
	}{{"6.5", "settings", tSettings, nil}, {"6.7", "ping", tPing, make([]byte, 8)}, {"6.8", "goaway", tGoAway, make([]byte, 8)}} {
		ends(f.section, f.name+"-on-1", f.name+" on a stream", one(protocol), frame(f.kind, 0, 1, f.payload...))
	}
	ends("6.1", "data-all-padding", "DATA whose padding is as long as its payload", one(protocol), func(h *h2) {
		id := h.open(false, h.get()...)
		h.raw(tData, 0x9, id, 5, 0, 0, 0, 0)
	})
	ends("6.1", "data-no-pad-length", "padded DATA without its length", one(protocol, frameSize), func(h *h2) {
		id := h.open(false, h.get()...)
		h.raw(tData, 0x9, id)
	})
	add("6.1", "data-padded", "padded DATA is taken without its padding", func(h *h2) {
		h.hello()
		id := h.open(false, h.get("content-length", "2")...)
		h.raw(tData, 0x9, id, 3, 'a', 'b', 0, 0, 0)
		if s, _ := h.status(id); s != "200" {
			h.fail("status %s", s)
		}
	})
	ends("6.2", "headers-all-padding", "HEADERS whose padding is longer than its payload", one(protocol), frame(tHeaders, 0xd, 1, 9, 0x82))
	ends("6.2", "headers-short-priority", "HEADERS too short for its priority", one(frameSize, protocol), frame(tHeaders, 0x25, 1, 0, 0))
	add("6.2", "headers-padded", "padded HEADERS with a priority are taken without both", func(h *h2) {
		h.hello()
		b := append([]byte{4, 0, 0, 0, 0, 16}, h.block(h.get()...)...)
		h.raw(tHeaders, 0x2d, 1, append(b, 0, 0, 0, 0)...)
		if s, _ := h.status(1); s != "200" {
			h.fail("status %s", s)
		}
	})
	ends("6.2", "headers-in-headers", "HEADERS within another stream's block", one(protocol), func(h *h2) {
		b := h.block(h.get()...)
		h.raw(tHeaders, 1, 1, b...)
		h.raw(tHeaders, 5, 3, b...)
	})
	ends("6.2", "data-in-headers", "DATA within a block of headers", one(protocol), func(h *h2) {
		h.raw(tHeaders, 0, 1, h.block(h.get()...)...)
		h.raw(tData, 1, 1, 'a')
	})
	ends("6.2", "ping-in-headers", "PING within a block of headers", one(protocol), func(h *h2) {
		h.raw(tHeaders, 0, 1, h.block(h.get()...)...)
		h.raw(tPing, 0, 0, make([]byte, 8)...)
	})
	for _, n := range []int{0, 4, 6} {
		add("6.3", fmt.Sprint("priority-length-", n), fmt.Sprintf("PRIORITY of %d bytes is an error of FRAME_SIZE_ERROR", n), func(h *h2) {
			h.hello()
			id := h.open(false, h.get()...)
			h.raw(tPriority, 0, id, make([]byte, n)...)
			h.reset(id, frameSize)
		})
	}
	add("6.3", "priority", "PRIORITY on an open stream is ignored", func(h *h2) {
		h.hello()
		id := h.open(false, h.get()...)
		h.raw(tPriority, 0, id, 0, 0, 0, 0, 1)
		h.raw(tData, 1, id)
		if s, _ := h.status(id); s != "200" {
			h.fail("status %s", s)
		}
	})
	for _, n := range []int{0, 3, 5} {
		ends("6.4", fmt.Sprint("reset-length-", n), fmt.Sprintf("RST_STREAM of %d bytes", n), one(frameSize), func(h *h2) {
			id := h.open(false, h.get()...)
			h.raw(tReset, 0, id, make([]byte, n)...)
		})
	}
	add("6.4", "reset", "RST_STREAM ends one stream, and no other", func(h *h2) {
		h.hello()
		id := h.open(false, h.get()...)
		h.raw(tReset, 0, id, u32(8)...)
		h.ok()
	})
	ends("6.5", "settings-ack-length", "an acknowledgement of SETTINGS with a payload", one(frameSize), frame(tSettings, 1, 0, setting(1, 0)...))
	for _, n := range []int{1, 5, 7} {
		ends("6.5", fmt.Sprint("settings-length-", n), fmt.Sprintf("SETTINGS of %d bytes", n), one(frameSize), frame(tSettings, 0, 0, make([]byte, n)...))
	}
	for _, s := range []struct {
		name string
		id   uint16
		v    uint32
		code http2.ErrCode
	}{
		{"enable-push-2", 2, 2, protocol}, {"window-2-31", 4, 1 << 31, flow}, {"window-most", 4, 1<<32 - 1, flow},
		{"max-frame-low", 5, 16383, protocol}, {"max-frame-high", 5, 1 << 24, protocol},
	} {
		ends("6.5.2", s.name, fmt.Sprintf("setting %d of %d", s.id, s.v), one(s.code), frame(tSettings, 0, 0, setting(s.id, s.v)...))
	}
	for _, s := range []struct {
		name string
		id   uint16
		v    uint32
	}{
		{"table-size-0", 1, 0}, {"table-size-most", 1, 1<<32 - 1}, {"enable-push-0", 2, 0}, {"enable-push-1", 2, 1}, {"max-streams-0", 3, 0}, {"window-most-allowed", 4, 1<<31 - 1},
		{"max-frame-least", 5, 16384}, {"max-frame-most", 5, 1<<24 - 1}, {"max-header-list", 6, 100},
	} {
		add("6.5.2", s.name, fmt.Sprintf("setting %d of %d is no error", s.id, s.v), func(h *h2) {
			h.hello()
			h.raw(tSettings, 0, 0, setting(s.id, s.v)...)
			h.ok()
		})
	}
	add("6.5.3", "settings-acked", "each SETTINGS is acknowledged", func(h *h2) {
		h.hello()
		for range 3 {
			h.must(h.fr.WriteSettings())
		}
		for range 3 {
			h.until(func(f http2.Frame) bool { s, ok := f.(*http2.SettingsFrame); return ok && s.IsAck() }, "an acknowledgement")
		}
	})
	ends("6.6", "push-promise", "PUSH_PROMISE of a client", one(protocol), frame(tPush, 4, 1, 0, 0, 0, 2, 0x82))
	add("6.7", "ping", "PING is answered with its data", func(h *h2) {
		h.hello()
		h.ping()
	})
	add("6.7", "ping-ack", "an acknowledgement of a PING that was not sent is ignored", func(h *h2) {
		h.hello()
		h.raw(tPing, 1, 0, make([]byte, 8)...)
		h.ping()
	})
	for _, n := range []int{0, 7, 9} {
		ends("6.7", fmt.Sprint("ping-length-", n), fmt.Sprintf("PING of %d bytes", n), one(frameSize), frame(tPing, 0, 0, make([]byte, n)...))
	}
	ends("6.8", "goaway-length", "GOAWAY of 7 bytes", one(frameSize), frame(tGoAway, 0, 0, make([]byte, 7)...))
	add("6.8", "goaway-goes-on", "streams that were open at the client's GOAWAY are answered", func(h *h2) {
		h.hello()
		id := h.open(false, h.get()...)
		h.raw(tGoAway, 0, 0, append(u32(0), u32(0)...)...)
		h.raw(tData, 1, id)
		if s, _ := h.status(id); s != "200" {
			h.fail("status %s", s)
		}
	})
	ends("6.9", "window-0", "WINDOW_UPDATE of the connection by 0", one(protocol), frame(tWindow, 0, 0, u32(0)...))
	add("6.9", "window-0-stream", "WINDOW_UPDATE of a stream by 0 ends the stream", func(h *h2) {
		h.hello()
		id := h.open(false, h.get()...)
		h.raw(tWindow, 0, id, u32(0)...)
		h.reset(id, protocol)
	})
	for _, n := range []int{0, 3, 5} {
		ends("6.9", fmt.Sprint("window-length-", n), fmt.Sprintf("WINDOW_UPDATE of %d bytes", n), one(frameSize), frame(tWindow, 0, 0, make([]byte, n)...))
	}
	ends("6.9.1", "window-overflow", "a window of the connection over 2^31-1", one(flow), frame(tWindow, 0, 0, u32(1<<31-1)...))
	add("6.9.1", "window-overflow-stream", "a window of a stream over 2^31-1 ends the stream", func(h *h2) {
		h.hello()
		id := h.open(false, h.get()...)
		h.raw(tWindow, 0, id, u32(1<<31-1)...)
		h.reset(id, flow)
	})
	add("6.9.2", "window-negative", "a smaller INITIAL_WINDOW_SIZE is taken while streams are open", func(h *h2) {
		h.hello()
		h.open(false, h.get()...)
		h.raw(tSettings, 0, 0, setting(4, 1)...)
		h.ping()
	})
	ends("6.9.2", "window-overflow-settings", "an INITIAL_WINDOW_SIZE that takes a stream's window over 2^31-1", one(flow), func(h *h2) {
		id := h.open(false, h.get()...)
		h.raw(tWindow, 0, id, u32(1000)...)
		h.raw(tSettings, 0, 0, setting(4, 1<<31-1)...)
	})
	ends("6.10", "continuation-flood", "CONTINUATIONs without an end", one(calm, protocol, compression), func(h *h2) {
		h.raw(tHeaders, 1, 1, h.block(h.get()...)...)
		for range 20_000 {
			if h.fr.WriteRawFrame(tCont, 0, 1, nil) != nil {
				return
			}
		}
	})
	ends("6.10", "continuation-elsewhere", "CONTINUATION of another stream", one(protocol), func(h *h2) {
		b := h.block(h.get()...)
		h.raw(tHeaders, 1, 1, b...)
		h.raw(tCont, 4, 3)
	})
	ends("6.10", "continuation-behind-end", "CONTINUATION behind END_HEADERS", one(protocol), func(h *h2) {
		id := h.open(false, h.get()...)
		h.raw(tCont, 4, id, 0x82)
	})

	// 8: requests.
	add("8.1", "get", "a GET is answered", func(h *h2) {
		h.hello()
		h.ok()
	})
	add("8.1", "many-at-once", "fifty requests at once are all answered", func(h *h2) {
		h.hello()
		open := map[uint32]bool{}
		for range 50 {
			open[h.open(true, h.get()...)] = true
		}
		for len(open) > 0 {
			f := h.until(func(f http2.Frame) bool { return f.Header().Flags&1 != 0 && f.Header().StreamID != 0 }, "an answer's end")
			delete(open, f.Header().StreamID)
		}
	})
	add("8.1", "trailers", "a body may end with trailers", func(h *h2) {
		h.hello()
		id := h.open(false, h.get()...)
		h.raw(tData, 0, id, 'a')
		h.raw(tHeaders, 5, id, h.block("x-trailer", "v")...)
		if s, _ := h.status(id); s != "200" {
			h.fail("status %s", s)
		}
	})
	add("8.1", "trailers-no-end", "a second block of headers without END_STREAM is malformed", func(h *h2) {
		h.hello()
		id := h.open(false, h.get()...)
		h.raw(tHeaders, 4, id, h.block("x-trailer", "v")...)
		h.malformed(id)
	})
	add("8.1", "trailers-pseudo", "trailers with a pseudo-header field are malformed", func(h *h2) {
		h.hello()
		id := h.open(false, h.get()...)
		h.raw(tHeaders, 5, id, h.block(":path", "/")...)
		h.malformed(id)
	})
	base := []string{":method", "GET", ":scheme", "http", ":path", "/-/ready", ":authority", "c"}
	with := func(more ...string) []string { return append(append([]string(nil), base...), more...) }
	for _, m := range []struct {
		section, name, says string
		fields              []string
	}{
		{"8.2.1", "upper-case", "a field name in upper case", with("X-Upper", "v")},
		{"8.2.1", "name-space", "a field name with a blank", with("x y", "v")},
		{"8.2.1", "name-colon", "a field name with a colon in it", with("x:y", "v")},
		{"8.2.1", "name-nul", "a field name with NUL", with("x\x00", "v")},
		{"8.2.1", "name-empty", "an empty field name", with("", "v")},
		{"8.2.1", "name-0x7f", "a field name with DEL", with("x\x7f", "v")},
		{"8.2.1", "value-nul", "a value with NUL", with("x", "a\x00b")},
		{"8.2.1", "value-lf", "a value with LF", with("x", "a\nb")},
		{"8.2.1", "value-cr", "a value with CR", with("x", "a\rb")},
		{"8.2.1", "value-leading-blank", "a value that begins with a blank", with("x", " a")},
		{"8.2.1", "value-trailing-tab", "a value that ends with a tab", with("x", "a\t")},
		{"8.2.2", "connection", "the field connection", with("connection", "close")},
		{"8.2.2", "keep-alive", "the field keep-alive", with("keep-alive", "1")},
		{"8.2.2", "proxy-connection", "the field proxy-connection", with("proxy-connection", "keep-alive")},
		{"8.2.2", "transfer-encoding", "the field transfer-encoding", with("transfer-encoding", "chunked")},
		{"8.2.2", "upgrade", "the field upgrade", with("upgrade", "h2c")},
		{"8.2.2", "te", "te with anything but trailers", with("te", "gzip")},
		{"8.3", "unknown-pseudo", "a pseudo-header field that is not defined", append([]string{":other", "v"}, base...)},
		{"8.3", "response-pseudo", "a pseudo-header field of answers", append([]string{":status", "200"}, base...)},
		{"8.3", "pseudo-behind", "a pseudo-header field behind a regular one", []string{":method", "GET", ":scheme", "http", "x", "v", ":path", "/"}},
		{"8.3.1", "no-method", "a request without :method", base[2:]},
		{"8.3.1", "no-scheme", "a request without :scheme", append([]string{":method", "GET"}, base[4:]...)},
		{"8.3.1", "no-path", "a request without :path", append(append([]string(nil), base[:4]...), base[6:]...)},
		{"8.3.1", "empty-path", "an empty :path", []string{":method", "GET", ":scheme", "http", ":path", ""}},
		{"8.3.1", "path-no-slash", "a :path that does not begin with a slash", []string{":method", "GET", ":scheme", "http", ":path", "x"}},
		{"8.3.1", "method-twice", "two :method", append([]string{":method", "GET"}, base...)},
		{"8.3.1", "path-twice", "two :path", append([]string{":path", "/"}, base...)},
		{"8.3.1", "scheme-twice", "two :scheme", append([]string{":scheme", "http"}, base...)},
		{"8.3.1", "host-differs", ":authority and host that differ", with("host", "other")},
		{"8.1.1", "length-none", "a content-length that is no number", with("content-length", "x")},
		{"8.1.1", "length-negative", "a negative content-length", with("content-length", "-1")},
		{"8.1.1", "length-differ", "two content-lengths that differ", with("content-length", "1", "content-length", "2")},
		{"8.1.1", "length-without-data", "a content-length of 5 without DATA", with("content-length", "5")},
	} {
		add(m.section, m.name, m.says+" is malformed", func(h *h2) {
			h.hello()
			h.malformed(h.open(true, m.fields...))
			h.ok()
		})
	}
	for _, n := range []int{1, 3} {
		add("8.1.1", fmt.Sprint("length-2-data-", n), fmt.Sprintf("a content-length of 2 with %d bytes of DATA is malformed", n), func(h *h2) {
			h.hello()
			id := h.open(false, with("content-length", "2")...)
			h.raw(tData, 1, id, bytes.Repeat([]byte{'a'}, n)...)
			h.malformed(id)
			h.ok()
		})
	}
	add("8.2.2", "te-trailers", "te: trailers is no error", func(h *h2) {
		h.hello()
		if s, _ := h.status(h.open(true, with("te", "trailers")...)); s != "200" {
			h.fail("status %s", s)
		}
	})
	add("8.3.1", "host-same", "host beside an equal :authority is no error", func(h *h2) {
		h.hello()
		if s, _ := h.status(h.open(true, with("host", "C")...)); s != "200" {
			h.fail("status %s", s)
		}
	})
	add("8.3.1", "no-authority", "a request without :authority is no error", func(h *h2) {
		h.hello()
		if s, _ := h.status(h.open(true, base[:6]...)); s != "200" {
			h.fail("status %s", s)
		}
	})
	add("10.5", "settings-flood", "SETTINGS without end are answered with calm, or all of them", func(h *h2) {
		h.hello()
		go func() {
			for range 5000 {
				if h.fr.WriteRawFrame(tSettings, 0, 0, nil) != nil {
					return
				}
			}
			h.fr.WriteRawFrame(tPing, 0, 0, make([]byte, 8))
		}()
		for {
			f, err := h.fr.ReadFrame()
			if err != nil {
				return
			}
			if g, ok := f.(*http2.GoAwayFrame); ok && g.ErrCode != calm {
				h.fail("GOAWAY %v", g.ErrCode)
			} else if p, ok := f.(*http2.PingFrame); ok && p.IsAck() {
				return
			}
		}
	})
	add("10.5", "large-header-list", "a header list over the server's bound is answered with 431, or ends the stream", func(h *h2) {
		h.hello()
		most, told := h.set[http2.SettingMaxHeaderListSize]
		if !told || most > 1<<17 {
			return
		}
		b := h.block(with("x-large", strings.Repeat("v", int(most)))...)
		h.raw(tHeaders, 1, 1, b[:8000]...)
		for b = b[8000:]; len(b) > 8000; b = b[8000:] {
			h.raw(tCont, 0, 1, b[:8000]...)
		}
		h.raw(tCont, 4, 1, b...)
		f := h.until(func(f http2.Frame) bool { return f.Header().StreamID == 1 }, "the refusal")
		if hf, ok := f.(*http2.HeadersFrame); ok {
			fields, err := h.dec.DecodeFull(hf.HeaderBlockFragment())
			h.must(err)
			if fields[0].Value != "431" {
				h.fail("status %s", fields[0].Value)
			}
		}
		h.next = 3
		h.ok()
	})
	return all
}

// closedStream waits for an error of STREAM_CLOSED, of the stream or the connection; the answer may come before.
func (h *h2) closedStream(id uint32) {
	for {
		f, err := h.fr.ReadFrame()
		if err != nil {
			h.fail("waiting for STREAM_CLOSED: %v", err)
		}
		switch f := f.(type) {
		case *http2.RSTStreamFrame:
			if f.StreamID == id && f.ErrCode == closedS {
				return
			}
		case *http2.GoAwayFrame:
			if f.ErrCode != closedS && f.ErrCode != protocol {
				h.fail("GOAWAY %v", f.ErrCode)
			}
			return
		}
	}
}
