package conformance

import (
	"golang.org/x/net/http2"
)

// streamStates has section 5.1: what may come in which state of a stream.
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
	t.add("5.1", "data-on-half-closed", "DATA on a stream whose request is whole is an error of STREAM_CLOSED", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(true, h.getRequest()...)
		h.writeRaw(frameData, 1, id, 'a')
		h.expectStreamClosed(id)
	})
	t.add("5.1", "headers-on-closed", "HEADERS on a closed stream is an error of STREAM_CLOSED", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(true, h.getRequest()...)
		h.readAnswer(id)
		h.writeRaw(frameHeaders, 5, id, h.encodeHeaders(h.getRequest()...)...)
		h.expectStreamClosed(id)
	})
	t.add("5.1", "data-on-closed", "DATA on a closed stream is an error of STREAM_CLOSED", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(true, h.getRequest()...)
		h.readAnswer(id)
		h.writeRaw(frameData, 1, id, 'a')
		h.expectStreamClosed(id)
	})
	t.add("5.1", "window-on-closed", "WINDOW_UPDATE on a closed stream is no error", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(true, h.getRequest()...)
		h.readAnswer(id)
		h.writeRaw(frameWindowUpdate, 0, id, encodeUint32(1)...)
		h.expectServed()
	})
	t.add("5.1", "reset-on-closed", "RST_STREAM on a closed stream is no error", func(h *http2Conn) {
		h.handshake()
		id := h.openStream(true, h.getRequest()...)
		h.readAnswer(id)
		h.writeRaw(frameReset, 0, id, encodeUint32(8)...)
		h.expectServed()
	})
}

// streamNumbers has the rest of section 5: numbers and bounds of streams, errors, extensions.
func (t *http2Table) addStreamNumberCases() {
	t.addConnectionError("5.1.1", "even-stream", "a client's stream with an even number", anyOf(codeProtocol), func(h *http2Conn) { h.writeRaw(frameHeaders, 5, 2, h.encodeHeaders(h.getRequest()...)...) })
	t.addConnectionError("5.1.1", "lower-stream", "a stream with a lower number than one before", anyOf(codeProtocol, codeStreamClosed), func(h *http2Conn) {
		h.nextStream = 5
		h.readAnswer(h.openStream(true, h.getRequest()...))
		h.writeRaw(frameHeaders, 5, 3, h.encodeHeaders(h.getRequest()...)...)
	})
	t.add("5.1.1", "numbers-left-out", "streams may leave numbers out", func(h *http2Conn) {
		h.handshake()
		h.nextStream = 101
		h.expectServed()
	})
	t.add("5.1.2", "too-many-streams", "a stream beyond MAX_CONCURRENT_STREAMS is refused", func(h *http2Conn) {
		h.handshake()
		most, told := h.serverSettings[http2.SettingMaxConcurrentStreams]
		if !told || most > 2000 {
			return // it sets no bound that can be tried
		}
		for range most {
			h.openStream(false, ":method", "POST", ":scheme", "http", ":path", h.Path, ":authority", "c")
		}
		h.expectReset(h.openStream(false, h.getRequest()...), codeRefusedStream, codeProtocol)
	})
	t.addConnectionError("5.4.1", "goaway-names-last", "GOAWAY ends the connection", anyOf(codeProtocol), func(h *http2Conn) {
		h.expectServed()
		h.writeRaw(frameData, 0, 0, 'a')
	})
	t.add("5.5", "unknown-setting", "a setting that is not known is ignored", func(h *http2Conn) {
		h.handshake(http2.Setting{ID: 0x99, Val: 7})
		h.expectServed()
	})
	t.addConnectionError("5.5", "unknown-in-block", "a frame of an unknown type within a block of headers", anyOf(codeProtocol), func(h *http2Conn) {
		h.writeRaw(frameHeaders, 1, 1, h.encodeHeaders(h.getRequest()...)...)
		h.writeRaw(0x16, 0, 1)
	})
}

// closedStream waits for an error of STREAM_CLOSED, of the stream or the connection; the answer may come before.
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
