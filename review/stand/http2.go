package stand

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"
)

// H2Conn is a connection of an HTTP/2 client (RFC 9113, by prior knowledge), as far as the cases need one.
type H2Conn struct {
	net.Conn
	Next uint32 // id of the next stream
	in   *bufio.Reader
}

// DialH2 connects and sends the preface, SETTINGS with the initial window of a stream, and a window update that gives the
// connection its window.
func DialH2(address string, streamWindow, window uint32) (*H2Conn, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &H2Conn{Conn: nc, Next: 1, in: bufio.NewReaderSize(nc, 256<<10)}
	settings := binary.BigEndian.AppendUint32([]byte{0, 4}, streamWindow)
	out := append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), h2Frame(4, 0, 0, settings)...)
	out = append(out, h2Frame(8, 0, 0, binary.BigEndian.AppendUint32(nil, window-65535))...)
	out = append(out, h2Frame(4, 1, 0, nil)...) // the acknowledgement of the server's SETTINGS, which come first of all
	if _, err := nc.Write(out); err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

func h2Frame(kind, flags byte, stream uint32, payload []byte) []byte {
	b := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags}
	return append(binary.BigEndian.AppendUint32(b, stream), payload...)
}

// Request sends a request on a new stream. fields are pairs of names and values, the pseudo-header fields first.
func (c *H2Conn) Request(body []byte, fields ...string) (stream uint32, err error) {
	var block []byte
	for i := 0; i+1 < len(fields); i += 2 { // literal fields without indexing, their strings without Huffman coding
		block = append(block, 0)
		block = h2String(block, fields[i])
		block = h2String(block, fields[i+1])
	}
	stream = c.Next
	c.Next += 2
	flags := byte(4)
	if len(body) == 0 {
		flags |= 1
	}
	out := h2Frame(1, flags, stream, block)
	for len(body) > 0 {
		n := min(len(body), 16<<10)
		end := byte(0)
		if n == len(body) {
			end = 1
		}
		out = append(out, h2Frame(0, end, stream, body[:n])...)
		body = body[n:]
	}
	_, err = c.Write(out)
	return stream, err
}

func h2String(b []byte, s string) []byte {
	if len(s) < 127 {
		b = append(b, byte(len(s)))
	} else {
		n := len(s) - 127
		b = append(b, 127)
		for n >= 128 {
			b = append(b, byte(n&127|128))
			n >>= 7
		}
		b = append(b, byte(n))
	}
	return append(b, s...)
}

// Kinds of frames.
const (
	H2Data   = 0
	H2Reset  = 3
	H2GoAway = 7
)

// H2Frame is a frame of the server.
type H2Frame struct {
	Kind, Flags byte
	Stream      uint32
	Payload     []byte
}

// Update opens the connection's window by n bytes.
func (c *H2Conn) Update(n uint32) error {
	_, err := c.Write(h2Frame(8, 0, 0, binary.BigEndian.AppendUint32(nil, n)))
	return err
}

// ReadFrame reads the next frame.
func (c *H2Conn) ReadFrame() (H2Frame, error) {
	var head [9]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return H2Frame{}, err
	}
	f := H2Frame{Kind: head[3], Flags: head[4], Stream: binary.BigEndian.Uint32(head[5:]) & (1<<31 - 1)}
	f.Payload = make([]byte, int(head[0])<<16|int(head[1])<<8|int(head[2]))
	_, err := io.ReadFull(c.in, f.Payload)
	return f, err
}

// String tells a frame's kind, flags and stream.
func (f H2Frame) String() string {
	return fmt.Sprintf("frame %d flags %x stream %d of %d bytes", f.Kind, f.Flags, f.Stream, len(f.Payload))
}

// Half sends the head of a request whose body does not follow.
func (c *H2Conn) Half(fields ...string) error {
	var block []byte
	for i := 0; i+1 < len(fields); i += 2 {
		block = h2String(h2String(append(block, 0), fields[i]), fields[i+1])
	}
	_, err := c.Write(h2Frame(1, 4, c.Next, block))
	c.Next += 2
	return err
}
