package conformance

import (
	"golang.org/x/net/http2"
)

// addStreamStateCases adds the cases of section 5.1: the frames that each stream state allows.
func (t *http2Table) addStreamStateCases() {
	t.addConnectionError("5.1", "data-on-idle", "DATA on an idle stream", anyOf(codeProtocol), sendFrame(frameData, 1, 1, 'a'))
	t.addConnectionError("5.1", "reset-on-idle", "RST_STREAM on an idle stream", anyOf(codeProtocol), sendFrame(frameReset, 0, 1, encodeUint32(8)...))
	t.addConnectionError("5.1", "window-on-idle", "WINDOW_UPDATE on an idle stream", anyOf(codeProtocol), sendFrame(frameWindowUpdate, 0, 1, encodeUint32(1)...))
	t.addConnectionError("5.1", "continuation-on-idle", "CONTINUATION on an idle stream", anyOf(codeProtocol), sendFrame(frameContinuation, 4, 1, 0x82))
	t.add("5.1", "priority-on-idle", "PRIORITY on an idle stream is no error", func(h *http2Conn) {
		h.handshake()
		h.writeRaw(framePriority, 0, 9, 0, 0, 0, 0, 1)
		h.expectServed()
	})
	t.add("5.1", "data-on-half-closed", "DATA on a half-closed stream is a STREAM_CLOSED error", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(true, h.getRequest()...)
		h.writeRaw(frameData, 1, id, 'a')
		h.expectStreamClosed(id)
	})
	t.add("5.1", "headers-on-closed", "HEADERS on a closed stream is a STREAM_CLOSED error", func(h *http2Conn) {
		id := h.openClosedStream()
		h.writeRaw(frameHeaders, 5, id, h.encodeHeaders(h.getRequest()...)...)
		h.expectStreamClosed(id)
	})
	t.add("5.1", "data-on-closed", "DATA on a closed stream is a STREAM_CLOSED error", func(h *http2Conn) {
		id := h.openClosedStream()
		h.writeRaw(frameData, 1, id, 'a')
		h.expectStreamClosed(id)
	})
	t.add("5.1", "window-on-closed", "WINDOW_UPDATE on a closed stream is no error", func(h *http2Conn) {
		id := h.openClosedStream()
		h.writeRaw(frameWindowUpdate, 0, id, encodeUint32(1)...)
		h.expectServed()
	})
	t.add("5.1", "reset-on-closed", "RST_STREAM on a closed stream is no error", func(h *http2Conn) {
		id := h.openClosedStream()
		h.writeRaw(frameReset, 0, id, encodeUint32(8)...)
		h.expectServed()
	})
}

// maxStreamsToOpen bounds the MAX_CONCURRENT_STREAMS that the suite tries to exceed.
const maxStreamsToOpen = 2000

// addStreamNumberCases adds the other cases of section 5: stream identifiers and limits, errors, extensions.
func (t *http2Table) addStreamNumberCases() {
	t.addConnectionError("5.1.1", "even-stream", "a client's stream with an even identifier", anyOf(codeProtocol), func(h *http2Conn) { h.writeRaw(frameHeaders, 5, 2, h.encodeHeaders(h.getRequest()...)...) })
	t.addConnectionError("5.1.1", "lower-stream", "a stream with a lower identifier than an earlier one", anyOf(codeProtocol, codeStreamClosed), func(h *http2Conn) {
		h.nextStream = 5
		h.readAnswer(h.openStream(true, h.getRequest()...))
		h.writeRaw(frameHeaders, 5, 3, h.encodeHeaders(h.getRequest()...)...)
	})
	t.add("5.1.1", "numbers-left-out", "stream identifiers may be skipped", func(h *http2Conn) {
		h.handshake()
		h.nextStream = 101
		h.expectServed()
	})
	t.add("5.1.2", "too-many-streams", "a stream beyond MAX_CONCURRENT_STREAMS is refused", func(h *http2Conn) {
		h.handshake()
		limit, isSet := h.serverSettings[http2.SettingMaxConcurrentStreams]
		if !isSet || limit > maxStreamsToOpen {
			return // the server sets no limit, or one too high to reach here
		}
		for range limit {
			h.openStream(false, ":method", "POST", ":scheme", "http", ":path", h.Path, ":authority", "c")
		}
		h.expectReset(h.openStream(false, h.getRequest()...), codeRefusedStream, codeProtocol)
	})
	t.addConnectionError("5.4.1", "goaway-names-last", "GOAWAY ends the connection", anyOf(codeProtocol), func(h *http2Conn) {
		h.expectServed()
		h.writeRaw(frameData, 0, 0, 'a')
	})
	t.add("5.5", "unknown-setting", "an unknown setting is ignored", func(h *http2Conn) {
		h.handshake(http2.Setting{ID: 0x99, Val: 7})
		h.expectServed()
	})
	t.addConnectionError("5.5", "unknown-in-block", "a frame of an unknown type within a header block", anyOf(codeProtocol), func(h *http2Conn) {
		h.writeRaw(frameHeaders, 1, 1, h.encodeHeaders(h.getRequest()...)...)
		h.writeRaw(0x16, 0, 1)
	})
}

// openClosedStream completes the handshake and returns a stream that is closed, since its request was answered.
func (h *http2Conn) openClosedStream() uint32 {
	h.handshake()
	id := h.openStream(true, h.getRequest()...)
	h.readAnswer(id)
	return id
}

// expectStreamClosed waits for a STREAM_CLOSED error of the stream or the connection. The stream's answer may arrive before.
func (h *http2Conn) expectStreamClosed(id uint32) {
	for {
		f, err := h.framer.ReadFrame()
		if err != nil {
			h.fail("waiting for STREAM_CLOSED: %v", err)
		}
		switch f := f.(type) {
		case *http2.RSTStreamFrame:
			if f.StreamID == id && f.ErrCode == codeStreamClosed {
				return
			}
		case *http2.GoAwayFrame:
			if f.ErrCode != codeStreamClosed && f.ErrCode != codeProtocol {
				h.fail("GOAWAY %v", f.ErrCode)
			}
			return
		}
	}
}
