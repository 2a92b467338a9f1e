package conformance

import (
	"fmt"

	"golang.org/x/net/http2"
)

// addFrameTargetCases adds the cases of section 6 about frames that belong to a stream, or to the connection.
func (t *http2Table) addFrameTargetCases() {
	for _, f := range []struct {
		section, name string
		kind          http2.FrameType
		payload       []byte
	}{
		{"6.1", "data", frameData, []byte("a")}, {"6.2", "headers", frameHeaders, []byte{0x82}}, {"6.3", "priority", framePriority, []byte{0, 0, 0, 0, 1}},
		{"6.4", "reset", frameReset, encodeUint32(8)}, {"6.10", "continuation", frameContinuation, []byte{0x82}},
	} {
		t.addConnectionError(f.section, f.name+"-on-0", f.name+" on stream 0", anyOf(codeProtocol), sendFrame(f.kind, 4, 0, f.payload...))
	}
	for _, f := range []struct {
		section, name string
		kind          http2.FrameType
		payload       []byte
	}{{"6.5", "settings", frameSettings, nil}, {"6.7", "ping", framePing, make([]byte, 8)}, {"6.8", "goaway", frameGoAway, make([]byte, 8)}} {
		t.addConnectionError(f.section, f.name+"-on-1", f.name+" on a stream", anyOf(codeProtocol), sendFrame(f.kind, 0, 1, f.payload...))
	}
}

// addDataAndHeadersCases adds the cases of sections 6.1 and 6.2.
func (t *http2Table) addDataAndHeadersCases() {
	t.addConnectionError("6.1", "data-all-padding", "DATA whose padding is as long as its payload", anyOf(codeProtocol), func(h *http2Conn) {
		id := h.openStream(false, h.getRequest()...)
		h.writeRaw(frameData, 0x9, id, 5, 0, 0, 0, 0)
	})
	t.addConnectionError("6.1", "data-no-pad-length", "padded DATA without its length", anyOf(codeProtocol, codeFrameSize), func(h *http2Conn) {
		id := h.openStream(false, h.getRequest()...)
		h.writeRaw(frameData, 0x9, id)
	})
	t.add("6.1", "data-padded", "padded DATA is accepted, and its padding ignored", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(false, h.getRequest("content-length", "2")...)
		h.writeRaw(frameData, 0x9, id, 3, 'a', 'b', 0, 0, 0)
		if s, _ := h.readAnswer(id); s != "200" {
			h.fail("status %s", s)
		}
	})
	t.addConnectionError("6.2", "headers-all-padding", "HEADERS whose padding is longer than its payload", anyOf(codeProtocol), sendFrame(frameHeaders, 0xd, 1, 9, 0x82))
	t.addConnectionError("6.2", "headers-short-priority", "HEADERS too short for its priority", anyOf(codeFrameSize, codeProtocol), sendFrame(frameHeaders, 0x25, 1, 0, 0))
	t.add("6.2", "headers-padded", "padded HEADERS with a priority are accepted, and both ignored", func(h *http2Conn) {
		h.handshake()
		b := append([]byte{4, 0, 0, 0, 0, 16}, h.encodeHeaders(h.getRequest()...)...)
		h.writeRaw(frameHeaders, 0x2d, 1, append(b, 0, 0, 0, 0)...)
		if s, _ := h.readAnswer(1); s != "200" {
			h.fail("status %s", s)
		}
	})
	t.addConnectionError("6.2", "headers-in-headers", "HEADERS within another stream's header block", anyOf(codeProtocol), func(h *http2Conn) {
		b := h.encodeHeaders(h.getRequest()...)
		h.writeRaw(frameHeaders, 1, 1, b...)
		h.writeRaw(frameHeaders, 5, 3, b...)
	})
	t.addConnectionError("6.2", "data-in-headers", "DATA within a header block", anyOf(codeProtocol), func(h *http2Conn) {
		h.writeRaw(frameHeaders, 0, 1, h.encodeHeaders(h.getRequest()...)...)
		h.writeRaw(frameData, 1, 1, 'a')
	})
	t.addConnectionError("6.2", "ping-in-headers", "PING within a header block", anyOf(codeProtocol), func(h *http2Conn) {
		h.writeRaw(frameHeaders, 0, 1, h.encodeHeaders(h.getRequest()...)...)
		h.writeRaw(framePing, 0, 0, make([]byte, 8)...)
	})
}

// addPriorityAndResetCases adds the cases of sections 6.3 and 6.4.
func (t *http2Table) addPriorityAndResetCases() {
	for _, n := range []int{0, 4, 6} {
		t.add("6.3", fmt.Sprint("priority-length-", n), fmt.Sprintf("PRIORITY of %d bytes is a FRAME_SIZE_ERROR", n), func(h *http2Conn) {
			h.handshake()
			id := h.openStream(false, h.getRequest()...)
			h.writeRaw(framePriority, 0, id, make([]byte, n)...)
			h.expectReset(id, codeFrameSize)
		})
	}
	t.add("6.3", "priority", "PRIORITY on an open stream is ignored", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(false, h.getRequest()...)
		h.writeRaw(framePriority, 0, id, 0, 0, 0, 0, 1)
		h.writeRaw(frameData, 1, id)
		if s, _ := h.readAnswer(id); s != "200" {
			h.fail("status %s", s)
		}
	})
	for _, n := range []int{0, 3, 5} {
		t.addConnectionError("6.4", fmt.Sprint("reset-length-", n), fmt.Sprintf("RST_STREAM of %d bytes", n), anyOf(codeFrameSize), func(h *http2Conn) {
			id := h.openStream(false, h.getRequest()...)
			h.writeRaw(frameReset, 0, id, make([]byte, n)...)
		})
	}
	t.add("6.4", "reset", "RST_STREAM ends one stream, and no other", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(false, h.getRequest()...)
		h.writeRaw(frameReset, 0, id, encodeUint32(8)...)
		h.expectServed()
	})
}

// addSettingsCases adds the cases of section 6.5.
func (t *http2Table) addSettingsCases() {
	t.addConnectionError("6.5", "settings-ack-length", "an acknowledgement of SETTINGS with a payload", anyOf(codeFrameSize), sendFrame(frameSettings, 1, 0, encodeSetting(1, 0)...))
	for _, n := range []int{1, 5, 7} {
		t.addConnectionError("6.5", fmt.Sprint("settings-length-", n), fmt.Sprintf("SETTINGS of %d bytes", n), anyOf(codeFrameSize), sendFrame(frameSettings, 0, 0, make([]byte, n)...))
	}
	for _, s := range []struct {
		name string
		id   uint16
		v    uint32
		code http2.ErrCode
	}{
		{"enable-push-2", 2, 2, codeProtocol}, {"window-2-31", 4, 1 << 31, codeFlowControl}, {"window-most", 4, 1<<32 - 1, codeFlowControl},
		{"max-frame-low", 5, 16383, codeProtocol}, {"max-frame-high", 5, 1 << 24, codeProtocol},
	} {
		t.addConnectionError("6.5.2", s.name, fmt.Sprintf("setting %d of %d", s.id, s.v), anyOf(s.code), sendFrame(frameSettings, 0, 0, encodeSetting(s.id, s.v)...))
	}
	for _, s := range []struct {
		name string
		id   uint16
		v    uint32
	}{
		{"table-size-0", 1, 0}, {"table-size-most", 1, 1<<32 - 1}, {"enable-push-0", 2, 0}, {"enable-push-1", 2, 1}, {"max-streams-0", 3, 0}, {"window-most-allowed", 4, 1<<31 - 1},
		{"max-frame-least", 5, 16384}, {"max-frame-most", 5, 1<<24 - 1}, {"max-header-list", 6, 100},
	} {
		t.add("6.5.2", s.name, fmt.Sprintf("setting %d of %d is no error", s.id, s.v), func(h *http2Conn) {
			h.handshake()
			h.writeRaw(frameSettings, 0, 0, encodeSetting(s.id, s.v)...)
			h.expectServed()
		})
	}
	t.add("6.5.3", "settings-acked", "each SETTINGS is acknowledged", func(h *http2Conn) {
		h.handshake()
		for range 3 {
			h.must(h.framer.WriteSettings())
		}
		for range 3 {
			h.readUntil(func(f http2.Frame) bool { s, ok := f.(*http2.SettingsFrame); return ok && s.IsAck() }, "an acknowledgement")
		}
	})
}

// addPushPingGoAwayCases adds the cases of sections 6.6 to 6.8.
func (t *http2Table) addPushPingGoAwayCases() {
	t.addConnectionError("6.6", "push-promise", "PUSH_PROMISE from a client", anyOf(codeProtocol), sendFrame(framePushPromise, 4, 1, 0, 0, 0, 2, 0x82))
	t.add("6.7", "ping", "PING is answered with its data", func(h *http2Conn) {
		h.handshake()
		h.expectPingAck()
	})
	t.add("6.7", "ping-ack", "an acknowledgement of a PING that was not sent is ignored", func(h *http2Conn) {
		h.handshake()
		h.writeRaw(framePing, 1, 0, make([]byte, 8)...)
		h.expectPingAck()
	})
	for _, n := range []int{0, 7, 9} {
		t.addConnectionError("6.7", fmt.Sprint("ping-length-", n), fmt.Sprintf("PING of %d bytes", n), anyOf(codeFrameSize), sendFrame(framePing, 0, 0, make([]byte, n)...))
	}
	t.addConnectionError("6.8", "goaway-length", "GOAWAY of 7 bytes", anyOf(codeFrameSize), sendFrame(frameGoAway, 0, 0, make([]byte, 7)...))
	t.add("6.8", "goaway-goes-on", "streams that were open at the client's GOAWAY are answered", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(false, h.getRequest()...)
		h.writeRaw(frameGoAway, 0, 0, append(encodeUint32(0), encodeUint32(0)...)...)
		h.writeRaw(frameData, 1, id)
		if s, _ := h.readAnswer(id); s != "200" {
			h.fail("status %s", s)
		}
	})
}

// addWindowCases adds the cases of section 6.9: flow control.
func (t *http2Table) addWindowCases() {
	t.addConnectionError("6.9", "window-0", "WINDOW_UPDATE of the connection by 0", anyOf(codeProtocol), sendFrame(frameWindowUpdate, 0, 0, encodeUint32(0)...))
	t.add("6.9", "window-0-stream", "WINDOW_UPDATE of a stream by 0 ends the stream", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(false, h.getRequest()...)
		h.writeRaw(frameWindowUpdate, 0, id, encodeUint32(0)...)
		h.expectReset(id, codeProtocol)
	})
	for _, n := range []int{0, 3, 5} {
		t.addConnectionError("6.9", fmt.Sprint("window-length-", n), fmt.Sprintf("WINDOW_UPDATE of %d bytes", n), anyOf(codeFrameSize), sendFrame(frameWindowUpdate, 0, 0, make([]byte, n)...))
	}
	t.addConnectionError("6.9.1", "window-overflow", "a window of the connection over 2^31-1", anyOf(codeFlowControl), sendFrame(frameWindowUpdate, 0, 0, encodeUint32(1<<31-1)...))
	t.add("6.9.1", "window-overflow-stream", "a window of a stream over 2^31-1 ends the stream", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(false, h.getRequest()...)
		h.writeRaw(frameWindowUpdate, 0, id, encodeUint32(1<<31-1)...)
		h.expectReset(id, codeFlowControl)
	})
	t.add("6.9.2", "window-negative", "a smaller INITIAL_WINDOW_SIZE is accepted while streams are open", func(h *http2Conn) {
		h.handshake()
		h.openStream(false, h.getRequest()...)
		h.writeRaw(frameSettings, 0, 0, encodeSetting(4, 1)...)
		h.expectPingAck()
	})
	t.addConnectionError("6.9.2", "window-overflow-settings", "an INITIAL_WINDOW_SIZE that takes a stream's window over 2^31-1", anyOf(codeFlowControl), func(h *http2Conn) {
		id := h.openStream(false, h.getRequest()...)
		h.writeRaw(frameWindowUpdate, 0, id, encodeUint32(1000)...)
		h.writeRaw(frameSettings, 0, 0, encodeSetting(4, 1<<31-1)...)
	})
}

// addContinuationCases adds the cases of section 6.10.
func (t *http2Table) addContinuationCases() {
	t.addConnectionError("6.10", "continuation-flood", "an endless sequence of CONTINUATION frames", anyOf(codeEnhanceYourCalm, codeProtocol, codeCompression), func(h *http2Conn) {
		h.writeRaw(frameHeaders, 1, 1, h.encodeHeaders(h.getRequest()...)...)
		for range 20_000 {
			if h.framer.WriteRawFrame(frameContinuation, 0, 1, nil) != nil {
				return
			}
		}
	})
	t.addConnectionError("6.10", "continuation-elsewhere", "CONTINUATION on another stream", anyOf(codeProtocol), func(h *http2Conn) {
		b := h.encodeHeaders(h.getRequest()...)
		h.writeRaw(frameHeaders, 1, 1, b...)
		h.writeRaw(frameContinuation, 4, 3)
	})
	t.addConnectionError("6.10", "continuation-behind-end", "CONTINUATION after END_HEADERS", anyOf(codeProtocol), func(h *http2Conn) {
		id := h.openStream(false, h.getRequest()...)
		h.writeRaw(frameContinuation, 4, id, 0x82)
	})
}
