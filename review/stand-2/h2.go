package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// h2Conn is a client's HTTP/2 connection by prior knowledge (RFC 9113), as far as the cases need it.
type h2Conn struct {
	conn net.Conn
	mu   sync.Mutex
	// what has come
	answered map[uint32]string // stream to its first header byte, as text
	ended    map[uint32]bool
	resets   map[uint32]uint32
	goAways  []string
	closed   error
	changed  chan struct{}
}

const (
	h2Data, h2Headers, h2Reset, h2Settings, h2Ping, h2GoAway = 0, 1, 3, 4, 6, 7
)

func h2Frame(kind, flags byte, stream uint32, payload []byte) []byte {
	b := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags}
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

// hpackField is a literal field without indexing and without Huffman coding (RFC 7541, section 6.2.2); both texts are under 127 bytes.
func hpackField(b []byte, name, value string) []byte {
	b = append(b, 0, byte(len(name)))
	b = append(b, name...)
	b = append(b, byte(len(value)))
	return append(b, value...)
}

// h2Request is a whole request: HEADERS, and DATA with the body.
func h2Request(stream uint32, id, class, key string, left time.Duration, body []byte) []byte {
	var h []byte
	for _, field := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/" + class + "/" + key}, {":authority", "api.internal"},
		{"x-correlation-id", id}, {"x-service-class", class}, {"x-time-left-ms", strconv.FormatInt(left.Milliseconds(), 10)},
		{"content-length", strconv.Itoa(len(body))}} {
		h = hpackField(h, field[0], field[1])
	}
	return append(h2Frame(h2Headers, 4, stream, h), h2Frame(h2Data, 1, stream, body)...)
}

// h2Get is a whole GET request.
func h2Get(stream uint32, path string) []byte {
	var h []byte
	for _, field := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", path}, {":authority", "api.internal"}} {
		h = hpackField(h, field[0], field[1])
	}
	return h2Frame(h2Headers, 5, stream, h)
}

// dialH2 opens a connection, exchanges SETTINGS and reads from then on.
func dialH2(address string, note func(format string, args ...any)) (*h2Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &h2Conn{conn: conn, answered: map[uint32]string{}, ended: map[uint32]bool{}, resets: map[uint32]uint32{}, changed: make(chan struct{}, 1)}
	if _, err := conn.Write(append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), h2Frame(h2Settings, 0, 0, nil)...)); err != nil {
		return nil, err
	}
	go c.read(note)
	return c, nil
}

func (c *h2Conn) read(note func(format string, args ...any)) {
	for {
		head := make([]byte, 9)
		_, err := io.ReadFull(c.conn, head)
		var payload []byte
		if err == nil {
			payload = make([]byte, int(head[0])<<16|int(head[1])<<8|int(head[2]))
			_, err = io.ReadFull(c.conn, payload)
		}
		c.mu.Lock()
		if err != nil {
			c.closed = err
			c.mu.Unlock()
			note("client: the connection has ended: %v", err)
			c.notify()
			return
		}
		kind, flags, stream := head[3], head[4], binary.BigEndian.Uint32(head[5:])
		text := ""
		switch {
		case kind == h2Settings && flags&1 == 0:
			c.conn.Write(h2Frame(h2Settings, 1, 0, nil))
		case kind == h2Ping && flags&1 == 0:
			c.conn.Write(h2Frame(h2Ping, 1, 0, payload))
		case kind == h2Headers:
			c.answered[stream] = statusOf(payload)
			text = fmt.Sprintf("client: HEADERS on stream %d, status %s", stream, c.answered[stream])
		case kind == h2Reset:
			c.resets[stream] = binary.BigEndian.Uint32(payload)
			text = fmt.Sprintf("client: RST_STREAM on stream %d, code %d", stream, c.resets[stream])
		case kind == h2GoAway:
			text = fmt.Sprintf("GOAWAY, last stream %d, code %d, %q", binary.BigEndian.Uint32(payload), binary.BigEndian.Uint32(payload[4:]), payload[8:])
			c.goAways = append(c.goAways, text)
			text = "client: " + text
		}
		if (kind == h2Headers || kind == h2Data) && flags&1 != 0 {
			c.ended[stream] = true
		}
		c.mu.Unlock()
		if text != "" {
			note("%s", text)
		}
		c.notify()
	}
}

func (c *h2Conn) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// statusOf returns the status of an answer whose first field is an indexed :status of the static table, else its bytes.
func statusOf(block []byte) string {
	static := map[byte]string{0x88: "200", 0x89: "204", 0x8c: "400", 0x8d: "404", 0x8e: "500"}
	if len(block) > 0 && static[block[0]] != "" {
		return static[block[0]]
	}
	return fmt.Sprintf("other (%x)", block[:min(len(block), 5)])
}

// await waits until a condition holds, the connection has ended or the time is over.
func (c *h2Conn) await(until time.Time, isDone func() bool) bool {
	for {
		c.mu.Lock()
		done, closed := isDone(), c.closed != nil
		c.mu.Unlock()
		if done || closed || time.Now().After(until) {
			return done
		}
		select {
		case <-c.changed:
		case <-time.After(20 * time.Millisecond):
		}
	}
}
