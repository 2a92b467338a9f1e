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

// HTTP2 says how to reach a server of HTTP/2 without TLS, by prior knowledge.
type HTTP2Server struct {
	Address string
	Path    string // that a GET gets 200 for; empty: /-/ready
}

// h2 is what a case works with: one connection, and what it has read of it.
type http2Conn struct {
	HTTP2Server
	conn           net.Conn
	framer         *http2.Framer
	decoder        *hpack.Decoder
	encoder        *hpack.Encoder
	headerBuffer   bytes.Buffer
	nextStream     uint32
	serverSettings map[http2.SettingID]uint32 // the server's
}

type http2Case struct {
	section, name, description string
	run                        func(h *http2Conn)
}

// RunHTTP2 runs the suite, some cases at a time, and gives the results in the order of the table.
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

// run runs a case on a connection of its own.
func (s HTTP2Server) run(c http2Case) Result {
	h := &http2Conn{HTTP2Server: s, nextStream: 1, serverSettings: map[http2.SettingID]uint32{}}
	began := time.Now()
	err := catchFailure(func() {
		h.dial()
		defer h.conn.Close()
		c.run(h)
	})
	return Result{c.section + "/" + c.name, c.description, err, time.Since(began)}
}

// HTTP2Cases is the number of cases in the table.
func HTTP2CaseCount() int { return len(http2Cases()) }

func (h *http2Conn) fail(format string, args ...any) { panic(failure{fmt.Errorf(format, args...)}) }

func (h *http2Conn) must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

func (h *http2Conn) dial() {
	nc, err := net.DialTimeout("tcp", h.Address, 5*time.Second)
	h.must(err)
	nc.SetDeadline(time.Now().Add(15 * time.Second))
	h.conn = nc
	h.framer = http2.NewFramer(nc, nc)
	h.framer.AllowIllegalWrites, h.framer.AllowIllegalReads = true, true
	h.decoder = hpack.NewDecoder(4096, nil)
	h.encoder = hpack.NewEncoder(&h.headerBuffer)
}

// hello does the handshake of RFC 9113, section 3.4, with the client's settings.
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

func (h *http2Conn) write(text string) {
	_, err := io.WriteString(h.conn, text)
	h.must(err)
}

// raw writes any frame. An error is let pass: the server may have ended the connection, which is to be seen.
func (h *http2Conn) writeRaw(kind http2.FrameType, flags http2.Flags, stream uint32, payload ...byte) {
	h.framer.WriteRawFrame(kind, flags, stream, payload)
}

func (h *http2Conn) readFrame() http2.Frame {
	f, err := h.framer.ReadFrame()
	if err != nil {
		panic(failure{err})
	}
	return f
}

// until reads up to a frame, and gives it.
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

// block encodes a block of headers: names and values in turn.
func (h *http2Conn) encodeHeaders(fields ...string) []byte {
	h.headerBuffer.Reset()
	for i := 0; i+1 < len(fields); i += 2 {
		h.must(h.encoder.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]}))
	}
	return slices.Clone(h.headerBuffer.Bytes())
}

func (h *http2Conn) getRequest(more ...string) []string {
	return append([]string{":method", "GET", ":scheme", "http", ":path", h.Path, ":authority", "conformance"}, more...)
}

// open sends HEADERS on a new stream.
func (h *http2Conn) openStream(end bool, fields ...string) uint32 {
	id := h.nextStream
	h.nextStream += 2
	h.must(h.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: h.encodeHeaders(fields...), EndStream: end, EndHeaders: true}))
	return id
}

// status reads a stream's answer to its end, and gives its status and body.
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

// ok has the connection still serve.
func (h *http2Conn) expectServed() {
	if s, _ := h.readAnswer(h.openStream(true, h.getRequest()...)); s != "200" {
		h.fail("status %s", s)
	}
}

// goAway waits for the connection's end with one of the codes; an end without GOAWAY will do too, as the RFC
// allows it.
func (h *http2Conn) expectGoAway(codes ...http2.ErrCode) {
	for {
		f, err := h.framer.ReadFrame()
		if g, ok := f.(*http2.GoAwayFrame); ok && err == nil {
			if !slices.Contains(codes, g.ErrCode) {
				h.fail("GOAWAY with %v, %v was due", g.ErrCode, codes)
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

// reset waits for a stream's RST_STREAM with one of the codes; an error of the whole connection with such a code will
// do too (RFC 9113, section 5.4.2).
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
					h.fail("RST_STREAM with %v, %v was due", f.ErrCode, codes)
				}
				return
			}
		case *http2.GoAwayFrame:
			if !slices.Contains(codes, f.ErrCode) {
				h.fail("GOAWAY with %v, RST_STREAM with %v was due", f.ErrCode, codes)
			}
			return
		case *http2.HeadersFrame:
			if f.StreamID == id {
				h.fail("stream %d was answered, RST_STREAM with %v was due", id, codes)
			}
		}
	}
}

// malformed has a request on a stream of its own end as malformed (RFC 9113, section 8.1.1): RST_STREAM, or a 400.
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
				h.fail("it was answered with %s", fields[0].Value)
			}
			return
		}
	}
}

// ping has a PING answered with its data.
func (h *http2Conn) expectPingAck() {
	data := [8]byte{1, 2, 3, 4, 5, 6, 7, 8}
	h.must(h.framer.WritePing(false, data))
	h.readUntil(func(f http2.Frame) bool { p, ok := f.(*http2.PingFrame); return ok && p.IsAck() && p.Data == data }, "the answer to PING")
}

func encodeUint32(v uint32) []byte { return binary.BigEndian.AppendUint32(nil, v) }

func encodeSetting(id uint16, v uint32) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint16(nil, id), v)
}
