package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var idBase = uint64(time.Now().UnixNano()) &^ 0xfffff
var idCount atomic.Uint64

// newID returns a fresh X-Correlation-Id.
func newID() string { return fmt.Sprintf("%016x", idBase+idCount.Add(1)) }

// outcome is what a client saw of one request.
type outcome struct {
	id, class string
	sentAt    time.Time // of the last byte
	written   bool      // the last byte was written
	took      time.Duration
	status    int   // 0: no answer
	err       error // why there is none
	body      string
}

func (o *outcome) String() string {
	if o.status > 0 {
		return fmt.Sprintf("answered %d after %.3f s", o.status, o.took.Seconds())
	}
	return fmt.Sprintf("no answer after %.3f s: %v", o.took.Seconds(), o.err)
}

// clientConn is a client's kept connection, one request at a time.
type clientConn struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
}

// do sends a job and waits for its answer until its time is over and half a second more.
func (c *clientConn) do(id, class, key string, deadline time.Duration, body string) *outcome {
	o := &outcome{id: id, class: class}
	isKept := c.conn != nil
	for {
		if c.conn == nil {
			conn, err := net.DialTimeout("tcp", c.address, time.Second)
			if err != nil {
				o.err = err
				return o
			}
			c.conn, c.in = conn, bufio.NewReader(conn)
		}
		text := fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			class, key, id, class, deadline.Milliseconds(), len(body), body)
		c.conn.SetDeadline(time.Now().Add(deadline + 600*time.Millisecond))
		_, err := io.Copy(c.conn, strings.NewReader(text))
		o.sentAt, o.written = time.Now(), err == nil
		var resp *http.Response
		var answer []byte
		if err == nil {
			resp, err = http.ReadResponse(c.in, nil)
		}
		if err == nil {
			answer, err = io.ReadAll(resp.Body)
		}
		o.took = time.Since(o.sentAt)
		if err != nil {
			c.close()
			if isKept && o.took < 50*time.Millisecond && errors.Is(err, io.ErrUnexpectedEOF) {
				isKept = false // the close of a resting connection has crossed the request, which is sent once more
				continue
			}
			o.err = err
			return o
		}
		o.status, o.body = resp.StatusCode, string(answer)
		if resp.Close {
			c.close()
		}
		return o
	}
}

func (c *clientConn) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
