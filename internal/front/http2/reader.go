package http2

import (
	"bytes"
	"encoding/binary"

	"golang.org/x/net/http2/hpack"
)

// frame is one frame, or one whole block of headers, for the loop. Its slices are copies.
type frame struct {
	kind    byte
	flags   byte
	stream  uint32
	data    []byte // of DATA without its padding; the payload of others
	length  int    // of the payload with its padding, which flow control counts
	request *head  // of HEADERS
	size    int    // bytes that it took
	bad     *connError
}

// reader cuts a connection's bytes into frames and decodes blocks of headers, which have to be decoded in order. It
// belongs to netpoll's goroutine and holds no more than one block of headers.
type reader struct {
	limits    *Limits
	decoder   *hpack.Decoder
	fields    []hpack.HeaderField
	listSize  int
	tooLarge  bool
	prefaced  bool
	first     bool // the first frame, which has to be SETTINGS, has come
	block     []byte
	blockOf   uint32
	blockEnd  byte // flagEndStream of its HEADERS
	pieces    int  // frames of the block
	blockSize int
}

func newReader(l *Limits) *reader {
	r := &reader{limits: l}
	r.decoder = hpack.NewDecoder(uint32(l.HeaderTable), func(f hpack.HeaderField) {
		// What is beyond the bound is decoded, since the table has to be kept, but not held.
		if r.listSize += int(f.Size()); r.listSize > l.HeaderList {
			r.tooLarge = true
			return
		}
		r.fields = append(r.fields, f)
	})
	r.decoder.SetMaxStringLength(l.HeaderList)
	return r
}

// take cuts one frame off buf. used 0 tells that need bytes have to be there; a frame without a kind to handle has
// no frame.
func (r *reader) take(buf []byte) (f *frame, used, need int) {
	if !r.prefaced {
		n := min(len(buf), len(preface))
		if string(buf[:n]) != preface[:n] {
			return &frame{bad: connFault(ProtocolError, "no preface of HTTP/2 (RFC 9113, section 3.4)")}, len(buf), 0
		}
		if n < len(preface) {
			return nil, 0, len(preface)
		}
		r.prefaced = true
		return nil, n, 0
	}
	if len(buf) < headLength {
		return nil, 0, headLength
	}
	length := int(buf[0])<<16 | int(buf[1])<<8 | int(buf[2])
	kind, flags := buf[3], buf[4]
	stream := binary.BigEndian.Uint32(buf[5:]) & mostStreamID
	fail := func(code Code, format string, args ...any) (*frame, int, int) {
		return &frame{bad: connFault(code, format, args...)}, len(buf), 0
	}
	if length > usualMaxFrame {
		return fail(FrameSizeError, "a frame of %d bytes (RFC 9113, section 4.2)", length)
	}
	if !r.first && (kind != frameSettings || flags&flagAck != 0) {
		return fail(ProtocolError, "the first frame is not SETTINGS (RFC 9113, section 3.4)")
	}
	if r.blockOf != 0 && (kind != frameContinuation || stream != r.blockOf) {
		return fail(ProtocolError, "a block of headers is cut by another frame (RFC 9113, section 6.10)")
	}
	if len(buf) < headLength+length {
		return nil, 0, headLength + length
	}
	r.first = true
	used = headLength + length
	payload := buf[headLength:used]
	switch kind {
	case frameData, frameHeaders, framePriority, frameReset, frameContinuation:
		if stream == 0 {
			return fail(ProtocolError, "a frame of type %d on stream 0", kind)
		}
	case frameSettings, framePing, frameGoAway:
		if stream != 0 {
			return fail(ProtocolError, "a frame of type %d on stream %d", kind, stream)
		}
	case framePushPromise:
		return fail(ProtocolError, "PUSH_PROMISE from a client (RFC 9113, section 8.4)")
	case frameWindow:
	default:
		return nil, used, 0 // unknown types are let pass (RFC 9113, section 5.5)
	}
	f = &frame{kind: kind, flags: flags, stream: stream, length: length, size: used}
	if bad := r.content(f, payload); bad != nil {
		return &frame{bad: bad}, len(buf), 0
	}
	if (kind == frameHeaders || kind == frameContinuation) && f.request == nil {
		return nil, used, 0 // of a block that goes on
	}
	return f, used, 0
}

// content checks a frame's payload by its type, and copies what the loop is to have.
func (r *reader) content(f *frame, payload []byte) *connError {
	switch f.kind {
	case frameData, frameHeaders:
		if f.flags&flagPadded != 0 {
			if len(payload) == 0 || int(payload[0]) >= len(payload) {
				return connFault(ProtocolError, "padding of the whole frame (RFC 9113, section 6.1)")
			}
			payload = payload[1 : len(payload)-int(payload[0])]
		}
		if f.kind == frameData {
			f.data = bytes.Clone(payload)
			return nil
		}
		if f.flags&flagPriority != 0 {
			if len(payload) < 5 {
				return connFault(FrameSizeError, "HEADERS too short for its priority (RFC 9113, section 6.2)")
			}
			payload = payload[5:]
		}
		if f.stream%2 == 0 {
			return connFault(ProtocolError, "a client's stream %d (RFC 9113, section 5.1.1)", f.stream)
		}
		r.block, r.blockOf, r.blockEnd, r.pieces, r.blockSize = r.block[:0], f.stream, f.flags&flagEndStream, 0, 0
		return r.piece(f, payload)
	case frameContinuation:
		if r.blockOf == 0 {
			return connFault(ProtocolError, "CONTINUATION of nothing (RFC 9113, section 6.10)")
		}
		return r.piece(f, payload)
	case framePriority:
		if len(payload) != 5 {
			// A stream error by the RFC; the stream need not exist, so it is the connection's here.
			return connFault(FrameSizeError, "PRIORITY of %d bytes (RFC 9113, section 6.3)", len(payload))
		}
		return nil
	case frameReset, frameWindow:
		if len(payload) != 4 {
			return connFault(FrameSizeError, "a frame of type %d of %d bytes", f.kind, len(payload))
		}
	case frameSettings:
		if f.flags&flagAck != 0 && len(payload) != 0 || len(payload)%6 != 0 {
			return connFault(FrameSizeError, "SETTINGS of %d bytes (RFC 9113, section 6.5)", len(payload))
		}
	case framePing:
		if len(payload) != 8 {
			return connFault(FrameSizeError, "PING of %d bytes (RFC 9113, section 6.7)", len(payload))
		}
	case frameGoAway:
		if len(payload) < 8 {
			return connFault(FrameSizeError, "GOAWAY of %d bytes (RFC 9113, section 6.8)", len(payload))
		}
		payload = payload[:8]
	}
	f.data = bytes.Clone(payload)
	return nil
}

// piece takes a part of a block of headers, and decodes the block at its end.
func (r *reader) piece(f *frame, payload []byte) *connError {
	r.pieces++
	r.blockSize += f.size
	// Bounded by bytes and by frames: empty CONTINUATIONs have no bytes (the flood of 2024, CVE-2023-44487's kin).
	if len(r.block)+len(payload) > 2*r.limits.HeaderList || r.pieces > r.limits.HeaderFrames {
		return &connError{code: EnhanceYourCalm, reason: ReasonHeaders, text: "a block of headers without an end"}
	}
	r.block = append(r.block, payload...)
	if f.flags&flagEndHeaders == 0 {
		return nil
	}
	r.fields, r.listSize, r.tooLarge = nil, 0, false
	if _, err := r.decoder.Write(r.block); err != nil {
		return connFault(CompressionError, "%v", err)
	}
	if err := r.decoder.Close(); err != nil {
		return connFault(CompressionError, "%v", err)
	}
	f.kind, f.stream, f.flags, f.size = frameHeaders, r.blockOf, f.flags&^flagEndStream|r.blockEnd, r.blockSize
	f.request = newHead(r.fields, r.tooLarge)
	r.blockOf, r.fields = 0, nil
	return nil
}
