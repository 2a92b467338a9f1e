package http2

import (
	"bytes"
	"encoding/binary"

	"golang.org/x/net/http2/hpack"

	"cobaltflow/internal/core"
)

// frame is one frame or one whole field block. Its slices are copies, since it is handed to the loop.
type frame struct {
	kind     byte
	flags    byte
	streamID uint32
	data     []byte        // of DATA, without its padding; else the payload
	length   int           // of the payload with its padding, which flow control counts
	header   *fieldSection // of HEADERS
	size     int           // bytes on the wire
	// receivedAt is when its last byte had arrived.
	receivedAt core.Time
	err        *connError
}

// reader splits a connection's bytes into frames and decodes field blocks, which HPACK requires to be in order. It
// belongs to netpoll's goroutine and holds at most one field block.
type reader struct {
	limits         *Limits
	decoder        *hpack.Decoder
	fields         []hpack.HeaderField
	listSize       int
	tooLarge       bool
	prefaceRead    bool
	firstFrameRead bool // the first frame, which must be SETTINGS, was read
	fieldBlock     []byte
	blockStream    uint32
	blockEndStream byte // flagEndStream of the block's HEADERS
	blockFrames    int  // frames of the block so far
	blockSize      int
}

func newReader(l *Limits) *reader {
	r := &reader{limits: l}
	r.decoder = hpack.NewDecoder(uint32(l.HeaderTableBytes), func(f hpack.HeaderField) {
		// Fields beyond the limit must be decoded to keep the HPACK table in step, but are not stored.
		if r.listSize += int(f.Size()); r.listSize > l.MaxHeaderListBytes {
			r.tooLarge = true
			return
		}
		r.fields = append(r.fields, f)
	})
	r.decoder.SetMaxStringLength(l.MaxHeaderListBytes)
	return r
}

// readFrame takes one frame from buf. used 0 says that need bytes must be there. f is nil for a frame that the loop
// need not handle; an error is in f.err.
func (r *reader) readFrame(buf []byte) (f *frame, used, need int) {
	if !r.prefaceRead {
		n := min(len(buf), len(clientPreface))
		if string(buf[:n]) != clientPreface[:n] {
			return &frame{err: connErrorf(ProtocolError, "no preface of HTTP/2 (RFC 9113, section 3.4)")}, len(buf), 0
		}
		if n < len(clientPreface) {
			return nil, 0, len(clientPreface)
		}
		r.prefaceRead = true
		return nil, n, 0
	}
	if len(buf) < frameHeaderBytes {
		return nil, 0, frameHeaderBytes
	}
	length := int(buf[0])<<16 | int(buf[1])<<8 | int(buf[2])
	kind, flags := buf[3], buf[4]
	stream := binary.BigEndian.Uint32(buf[5:]) & maxStreamID
	fail := func(code Code, format string, args ...any) (*frame, int, int) {
		return &frame{err: connErrorf(code, format, args...)}, len(buf), 0
	}
	if length > defaultMaxFrame {
		return fail(FrameSizeError, "a frame of %d bytes (RFC 9113, section 4.2)", length)
	}
	if !r.firstFrameRead && (kind != frameSettings || flags&flagAck != 0) {
		return fail(ProtocolError, "the first frame is not SETTINGS (RFC 9113, section 3.4)")
	}
	if r.blockStream != 0 && (kind != frameContinuation || stream != r.blockStream) {
		return fail(ProtocolError, "a block of headers is cut by another frame (RFC 9113, section 6.10)")
	}
	if len(buf) < frameHeaderBytes+length {
		return nil, 0, frameHeaderBytes + length
	}
	r.firstFrameRead = true
	used = frameHeaderBytes + length
	payload := buf[frameHeaderBytes:used]
	switch kind {
	case frameData, frameHeaders, framePriority, frameRSTStream, frameContinuation:
		if stream == 0 {
			return fail(ProtocolError, "a frame of type %d on stream 0", kind)
		}
	case frameSettings, framePing, frameGoAway:
		if stream != 0 {
			return fail(ProtocolError, "a frame of type %d on stream %d", kind, stream)
		}
	case framePushPromise:
		return fail(ProtocolError, "PUSH_PROMISE from a client (RFC 9113, section 8.4)")
	case frameWindowUpdate:
	default:
		return nil, used, 0 // unknown types are ignored (RFC 9113, section 5.5)
	}
	f = &frame{kind: kind, flags: flags, streamID: stream, length: length, size: used}
	if bad := r.parsePayload(f, payload); bad != nil {
		return &frame{err: bad}, len(buf), 0
	}
	if (kind == frameHeaders || kind == frameContinuation) && f.header == nil {
		return nil, used, 0 // the field block goes on
	}
	return f, used, 0
}

// parsePayload checks a frame's payload by its type, and copies what the loop needs.
func (r *reader) parsePayload(f *frame, payload []byte) *connError {
	switch f.kind {
	case frameData, frameHeaders:
		if f.flags&flagPadded != 0 {
			if len(payload) == 0 || int(payload[0]) >= len(payload) {
				return connErrorf(ProtocolError, "padding of the whole frame (RFC 9113, section 6.1)")
			}
			payload = payload[1 : len(payload)-int(payload[0])]
		}
		if f.kind == frameData {
			f.data = bytes.Clone(payload)
			return nil
		}
		if f.flags&flagPriority != 0 {
			if len(payload) < 5 {
				return connErrorf(FrameSizeError, "HEADERS too short for its priority (RFC 9113, section 6.2)")
			}
			payload = payload[5:]
		}
		if f.streamID%2 == 0 {
			return connErrorf(ProtocolError, "a client's stream %d (RFC 9113, section 5.1.1)", f.streamID)
		}
		r.fieldBlock, r.blockStream, r.blockEndStream, r.blockFrames, r.blockSize = r.fieldBlock[:0], f.streamID, f.flags&flagEndStream, 0, 0
		return r.addFragment(f, payload)
	case frameContinuation:
		if r.blockStream == 0 {
			return connErrorf(ProtocolError, "CONTINUATION of nothing (RFC 9113, section 6.10)")
		}
		return r.addFragment(f, payload)
	case framePriority:
		if len(payload) != 5 {
			// A stream error by the RFC; but the stream need not exist, so it is treated as a connection error here.
			return connErrorf(FrameSizeError, "PRIORITY of %d bytes (RFC 9113, section 6.3)", len(payload))
		}
		return nil
	case frameRSTStream, frameWindowUpdate:
		if len(payload) != 4 {
			return connErrorf(FrameSizeError, "a frame of type %d of %d bytes", f.kind, len(payload))
		}
	case frameSettings:
		if f.flags&flagAck != 0 && len(payload) != 0 || len(payload)%6 != 0 {
			return connErrorf(FrameSizeError, "SETTINGS of %d bytes (RFC 9113, section 6.5)", len(payload))
		}
	case framePing:
		if len(payload) != 8 {
			return connErrorf(FrameSizeError, "PING of %d bytes (RFC 9113, section 6.7)", len(payload))
		}
	case frameGoAway:
		if len(payload) < 8 {
			return connErrorf(FrameSizeError, "GOAWAY of %d bytes (RFC 9113, section 6.8)", len(payload))
		}
		payload = payload[:8]
	}
	f.data = bytes.Clone(payload)
	return nil
}

// addFragment adds a fragment of a field block, and decodes the block at its end.
func (r *reader) addFragment(f *frame, payload []byte) *connError {
	r.blockFrames++
	r.blockSize += f.size
	// Bounded by bytes and by frames, since empty CONTINUATION frames have no bytes (the CONTINUATION flood of 2024,
	// related to CVE-2023-44487).
	if len(r.fieldBlock)+len(payload) > 2*r.limits.MaxHeaderListBytes || r.blockFrames > r.limits.MaxHeaderFrames {
		return &connError{code: EnhanceYourCalm, reason: ReasonHeaderFlood, text: "a block of headers without an end"}
	}
	r.fieldBlock = append(r.fieldBlock, payload...)
	if f.flags&flagEndHeaders == 0 {
		return nil
	}
	r.fields, r.listSize, r.tooLarge = nil, 0, false
	if _, err := r.decoder.Write(r.fieldBlock); err != nil {
		return connErrorf(CompressionError, "%v", err)
	}
	if err := r.decoder.Close(); err != nil {
		return connErrorf(CompressionError, "%v", err)
	}
	f.kind, f.streamID, f.flags, f.size = frameHeaders, r.blockStream, f.flags&^flagEndStream|r.blockEndStream, r.blockSize
	f.header = newFieldSection(r.fields, r.tooLarge)
	r.blockStream, r.fields = 0, nil
	return nil
}
