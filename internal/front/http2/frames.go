package http2

import (
	"encoding/binary"
	"fmt"
)

// Frame types, flags and settings of RFC 9113, sections 6 and 6.5.2, and sizes and limits of its sections 3.4, 4.1, 4.2,
// 5.1.1 and 6.9.1.
const (
	frameData         = 0x0
	frameHeaders      = 0x1
	framePriority     = 0x2
	frameRSTStream    = 0x3
	frameSettings     = 0x4
	framePushPromise  = 0x5
	framePing         = 0x6
	frameGoAway       = 0x7
	frameWindowUpdate = 0x8
	frameContinuation = 0x9

	flagEndStream  = 0x1
	flagAck        = 0x1
	flagEndHeaders = 0x4
	flagPadded     = 0x8
	flagPriority   = 0x20

	settingHeaderTableSize      = 0x1
	settingEnablePush           = 0x2
	settingMaxConcurrentStreams = 0x3
	settingInitialWindowSize    = 0x4
	settingMaxFrameSize         = 0x5
	settingMaxHeaderListSize    = 0x6

	frameHeaderBytes = 9
	defaultWindow    = 65535
	defaultMaxFrame  = 16384
	maxMaxFrame      = 1<<24 - 1
	maxWindow        = 1<<31 - 1
	maxStreamID      = 1<<31 - 1
	clientPreface    = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// Code is an error code of RFC 9113, section 7.
type Code uint32

// The error codes.
const (
	NoError            Code = 0x0
	ProtocolError      Code = 0x1
	InternalError      Code = 0x2
	FlowControlError   Code = 0x3
	SettingsTimeout    Code = 0x4
	StreamClosed       Code = 0x5
	FrameSizeError     Code = 0x6
	RefusedStream      Code = 0x7
	Cancel             Code = 0x8
	CompressionError   Code = 0x9
	ConnectError       Code = 0xa
	EnhanceYourCalm    Code = 0xb
	InadequateSecurity Code = 0xc
	HTTP11Required     Code = 0xd
)

// connError is an error that closes the connection (RFC 9113, section 5.4.1).
type connError struct {
	code   Code
	reason string // for the log; empty: bad-input
	text   string
}

func (e *connError) Error() string { return e.text }

func connErrorf(code Code, format string, args ...any) *connError {
	return &connError{code: code, text: fmt.Sprintf(format, args...)}
}

// appendFrameHeader appends a frame header (RFC 9113, section 4.1).
func appendFrameHeader(b []byte, length int, kind, flags byte, stream uint32) []byte {
	b = append(b, byte(length>>16), byte(length>>8), byte(length), kind, flags)
	return binary.BigEndian.AppendUint32(b, stream)
}

func appendSettings(b []byte, pairs ...uint32) []byte {
	b = appendFrameHeader(b, len(pairs)*3, frameSettings, 0, 0)
	for i := 0; i < len(pairs); i += 2 {
		b = binary.BigEndian.AppendUint16(b, uint16(pairs[i]))
		b = binary.BigEndian.AppendUint32(b, pairs[i+1])
	}
	return b
}

func appendRSTStream(b []byte, stream uint32, code Code) []byte {
	return binary.BigEndian.AppendUint32(appendFrameHeader(b, 4, frameRSTStream, 0, stream), uint32(code))
}

func appendWindowUpdate(b []byte, stream uint32, by int) []byte {
	return binary.BigEndian.AppendUint32(appendFrameHeader(b, 4, frameWindowUpdate, 0, stream), uint32(by))
}

func appendGoAway(b []byte, last uint32, code Code, text string) []byte {
	b = appendFrameHeader(b, 8+len(text), frameGoAway, 0, 0)
	b = binary.BigEndian.AppendUint32(b, last)
	b = binary.BigEndian.AppendUint32(b, uint32(code))
	return append(b, text...)
}

func appendPingAck(b, data []byte) []byte {
	return append(appendFrameHeader(b, 8, framePing, flagAck, 0), data...)
}
