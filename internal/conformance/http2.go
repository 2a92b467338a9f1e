package conformance

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// HTTP2Server describes how to reach a server that speaks HTTP/2 without TLS, with prior knowledge.
type HTTP2Server struct {
	Address string
	Path    string // path for which a GET is answered with 200; empty: /-/ready
}

// http2Conn is the connection of one case and its state. Helpers end the case if an expectation is not met.
type http2Conn struct {
	HTTP2Server
	conn           net.Conn
	framer         *http2.Framer
	decoder        *hpack.Decoder
	encoder        *hpack.Encoder
	headerBuffer   bytes.Buffer
	nextStream     uint32
	serverSettings map[http2.SettingID]uint32 // as received from the server
}

// http2Case is a case of the suite, with the section of the RFC that it checks.
type http2Case struct {
	section, name, description string
	run                        func(h *http2Conn)
}

// RunHTTP2 runs the suite, several cases at a time, and sends the results in the order of the table. The channel closes
// after the last.
func RunHTTP2(s HTTP2Server) <-chan Result {
	if s.Path == "" {
		s.Path = "/-/ready"
	}
	cases := http2Cases()
	out := make(chan Result)
	go func() {
		defer close(out)
		runSuite(len(cases), func(i int) Result { return s.run(cases[i]) }, out)
	}()
	return out
}

// run runs a case on its own connection.
func (s HTTP2Server) run(c http2Case) Result {
	h := &http2Conn{HTTP2Server: s, nextStream: 1, serverSettings: map[http2.SettingID]uint32{}}
	start := time.Now()
	err := catchFailure(func() {
		h.dial()
		defer h.conn.Close()
		c.run(h)
	})
	return Result{c.section + "/" + c.name, c.description, err, time.Since(start)}
}

// HTTP2CaseCount returns the number of cases in the table.
func HTTP2CaseCount() int { return len(http2Cases()) }

// fail ends the case with an error.
func (h *http2Conn) fail(format string, args ...any) { panic(failure{fmt.Errorf(format, args...)}) }

// must ends the case if err is not nil.
func (h *http2Conn) must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

// dial connects; the whole case has 15 s from there.
func (h *http2Conn) dial() {
	conn, err := net.DialTimeout("tcp", h.Address, 5*time.Second)
	h.must(err)
	conn.SetDeadline(time.Now().Add(15 * time.Second))
	h.conn = conn
	h.framer = http2.NewFramer(conn, conn)
	h.framer.AllowIllegalWrites, h.framer.AllowIllegalReads = true, true
	h.decoder = hpack.NewDecoder(4096, nil)
	h.encoder = hpack.NewEncoder(&h.headerBuffer)
}

// handshake exchanges the preface and SETTINGS (RFC 9113, section 3.4) with the given client settings.
func (h *http2Conn) handshake(settings ...http2.Setting) {
	h.write(http2.ClientPreface)
	h.must(h.framer.WriteSettings(settings...))
	f := h.readFrame()
	s, ok := f.(*http2.SettingsFrame)
	if !ok || s.IsAck() {
		h.fail("the server's first frame is %v", f)
	}
	s.ForeachSetting(func(v http2.Setting) error { h.serverSettings[v.ID] = v.Val; return nil })
	h.must(h.framer.WriteSettingsAck())
	h.readUntil(func(f http2.Frame) bool { s, ok := f.(*http2.SettingsFrame); return ok && s.IsAck() }, "the acknowledgement of SETTINGS")
}

// write writes text unchanged.
func (h *http2Conn) write(text string) {
	_, err := io.WriteString(h.conn, text)
	h.must(err)
}

// writeRaw writes any frame, valid or not. It ignores a write error: the server may have closed the connection already, which
// the case checks when it reads.
func (h *http2Conn) writeRaw(kind http2.FrameType, flags http2.Flags, stream uint32, payload ...byte) {
	h.framer.WriteRawFrame(kind, flags, stream, payload)
}

// readFrame reads the next frame.
func (h *http2Conn) readFrame() http2.Frame {
	f, err := h.framer.ReadFrame()
	if err != nil {
		panic(failure{err})
	}
	return f
}

// readUntil reads frames until one matches, and returns that one. A GOAWAY before ends the case.
func (h *http2Conn) readUntil(is func(http2.Frame) bool, what string) http2.Frame {
	for {
		f, err := h.framer.ReadFrame()
		if err != nil {
			h.fail("waiting for %s: %v", what, err)
		}
		if is(f) {
			return f
		}
		if g, ok := f.(*http2.GoAwayFrame); ok {
			h.fail("waiting for %s: GOAWAY %v %q", what, g.ErrCode, g.DebugData())
		}
	}
}

// encodeHeaders encodes a header block; fields alternates names and values.
func (h *http2Conn) encodeHeaders(fields ...string) []byte {
	h.headerBuffer.Reset()
	for i := 0; i+1 < len(fields); i += 2 {
		h.must(h.encoder.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]}))
	}
	return slices.Clone(h.headerBuffer.Bytes())
}

// getRequest returns the fields of a valid GET request, followed by more.
func (h *http2Conn) getRequest(more ...string) []string {
	return append([]string{":method", "GET", ":scheme", "http", ":path", h.Path, ":authority", "conformance"}, more...)
}

// openStream sends HEADERS on a new stream, with END_STREAM if endStream is set, and returns the stream's ID.
func (h *http2Conn) openStream(endStream bool, fields ...string) uint32 {
	id := h.nextStream
	h.nextStream += 2
	h.must(h.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: h.encodeHeaders(fields...), EndStream: endStream, EndHeaders: true}))
	return id
}

// readAnswer reads the answer on a stream to its end, and returns the status and the body.
func (h *http2Conn) readAnswer(id uint32) (status string, body []byte) {
	for {
		f, err := h.framer.ReadFrame()
		if err != nil {
			h.fail("waiting for the answer on stream %d: %v", id, err)
		}
		switch f := f.(type) {
		case *http2.HeadersFrame:
			fields, err := h.decoder.DecodeFull(f.HeaderBlockFragment())
			h.must(err)
			if f.StreamID != id {
				continue
			}
			for _, v := range fields {
				if v.Name == ":status" {
					status = v.Value
				}
			}
			if f.StreamEnded() {
				return status, body
			}
		case *http2.DataFrame:
			if f.StreamID != id {
				continue
			}
			if body = append(body, f.Data()...); f.StreamEnded() {
				return status, body
			}
		case *http2.RSTStreamFrame:
			if f.StreamID == id && (status == "" || f.ErrCode != http2.ErrCodeNo) {
				h.fail("stream %d was reset: %v", id, f.ErrCode)
			}
		case *http2.GoAwayFrame:
			h.fail("GOAWAY %v %q", f.ErrCode, f.DebugData())
		}
	}
}

// expectServed sends a request that has to be answered with 200, so that the connection is known to work.
func (h *http2Conn) expectServed() {
	if s, _ := h.readAnswer(h.openStream(true, h.getRequest()...)); s != "200" {
		h.fail("status %s", s)
	}
}

// expectGoAway waits until the server ends the connection with one of the codes. An end without GOAWAY passes too, as the RFC
// allows it.
func (h *http2Conn) expectGoAway(codes ...http2.ErrCode) {
	for {
		f, err := h.framer.ReadFrame()
		if g, ok := f.(*http2.GoAwayFrame); ok && err == nil {
			if !slices.Contains(codes, g.ErrCode) {
				h.fail("GOAWAY with %v, wanted %v", g.ErrCode, codes)
			}
			return
		}
		if errors.Is(err, io.EOF) || err != nil && strings.Contains(err.Error(), "reset by peer") {
			return
		}
		if err != nil {
			h.fail("waiting for GOAWAY: %v", err)
		}
	}
}

// expectReset waits for RST_STREAM on a stream with one of the codes. A connection error with such a code passes too
// (RFC 9113, section 5.4.2).
func (h *http2Conn) expectReset(id uint32, codes ...http2.ErrCode) {
	for {
		f, err := h.framer.ReadFrame()
		if err != nil {
			h.fail("waiting for RST_STREAM: %v", err)
		}
		switch f := f.(type) {
		case *http2.RSTStreamFrame:
			if f.StreamID == id {
				if !slices.Contains(codes, f.ErrCode) {
					h.fail("RST_STREAM with %v, wanted %v", f.ErrCode, codes)
				}
				return
			}
		case *http2.GoAwayFrame:
			if !slices.Contains(codes, f.ErrCode) {
				h.fail("GOAWAY with %v, wanted RST_STREAM with %v", f.ErrCode, codes)
			}
			return
		case *http2.HeadersFrame:
			if f.StreamID == id {
				h.fail("stream %d was answered, wanted RST_STREAM with %v", id, codes)
			}
		}
	}
}

// expectMalformed waits until the server rejects a stream's request as malformed (RFC 9113, section 8.1.1), by RST_STREAM or
// status 400.
func (h *http2Conn) expectMalformed(id uint32) {
	for {
		f, err := h.framer.ReadFrame()
		if err != nil {
			h.fail("waiting for the end of a malformed request: %v", err)
		}
		switch f := f.(type) {
		case *http2.RSTStreamFrame:
			if f.StreamID == id && f.ErrCode == http2.ErrCodeProtocol {
				return
			}
		case *http2.GoAwayFrame:
			h.fail("GOAWAY %v: a malformed request is a stream's error", f.ErrCode)
		case *http2.HeadersFrame:
			fields, err := h.decoder.DecodeFull(f.HeaderBlockFragment())
			h.must(err)
			if f.StreamID == id && len(fields) > 0 && fields[0].Value != "400" {
				h.fail("malformed request was answered with status %s", fields[0].Value)
			}
			return
		}
	}
}

// expectPingAck sends a PING whose acknowledgement has to repeat its data.
func (h *http2Conn) expectPingAck() {
	data := [8]byte{1, 2, 3, 4, 5, 6, 7, 8}
	h.must(h.framer.WritePing(false, data))
	h.readUntil(func(f http2.Frame) bool { p, ok := f.(*http2.PingFrame); return ok && p.IsAck() && p.Data == data }, "the answer to PING")
}

// encodeUint32 encodes a number in network byte order.
func encodeUint32(v uint32) []byte { return binary.BigEndian.AppendUint32(nil, v) }

// encodeSetting encodes one setting of a SETTINGS frame.
func encodeSetting(id uint16, v uint32) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint16(nil, id), v)
}
