package http2_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	xhttp2 "golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"cobaltflow/internal/config"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/standin"
)

func start(t *testing.T, change func(*config.Config), workers ...*standin.Worker) *standin.Node {
	return standin.Start(t, func(c *config.Config) {
		c.HTTP2.Listen = "127.0.0.1:0"
		if change != nil {
			change(c)
		}
	}, workers...)
}

// newClient returns the standard library's HTTP/2 client, which this project did not write, over one connection.
func newClient(n *standin.Node) *http.Client {
	var clearText http.Protocols
	clearText.SetUnencryptedHTTP2(true)
	t := &http.Transport{Protocols: &clearText, MaxConnsPerHost: 1, HTTP2: &http.HTTP2Config{StrictMaxConcurrentRequests: true}}
	n.T.Cleanup(t.CloseIdleConnections)
	return &http.Client{Transport: t, Timeout: standin.WaitTimeout}
}

func newRequest(ctx context.Context, n *standin.Node, class, id string, leftMS int, body string) *http.Request {
	q, _ := http.NewRequestWithContext(ctx, "POST", "http://"+n.HTTP2.Address()+"/"+class+"/k", strings.NewReader(body))
	q.Header.Set(platform.HeaderID, id)
	q.Header.Set(platform.HeaderTimeLeft, fmt.Sprint(leftMS))
	return q
}

func send(c *http.Client, q *http.Request) (int, string, error) {
	r, err := c.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, string(text), err
}

func jobState(n *standin.Node, c *http.Client, id string) (out struct{ State, Result string }) {
	r, err := c.Get("http://" + n.HTTP2.Address() + "/jobs/" + id)
	require.NoError(n.T, err)
	defer r.Body.Close()
	if r.StatusCode == 404 {
		return out
	}
	require.NoError(n.T, json.NewDecoder(r.Body).Decode(&out))
	return out
}

// rawConn is a connection on which the test writes frames itself.
type rawConn struct {
	*xhttp2.Framer
	nc   net.Conn
	enc  *hpack.Encoder
	buf  strings.Builder
	next uint32
}

func dial(n *standin.Node, settings ...xhttp2.Setting) *rawConn {
	nc, err := net.Dial("tcp", n.HTTP2.Address())
	require.NoError(n.T, err)
	n.T.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(standin.WaitTimeout))
	return newRawConn(nc, settings...)
}

// newRawConn sends the client's preface on a connection.
func newRawConn(nc net.Conn, settings ...xhttp2.Setting) *rawConn {
	r := &rawConn{Framer: xhttp2.NewFramer(nc, nc), nc: nc, next: 1}
	r.AllowIllegalWrites = true
	r.enc = hpack.NewEncoder(&r.buf)
	io.WriteString(nc, xhttp2.ClientPreface)
	r.WriteSettings(settings...)
	r.WriteSettingsAck()
	return r
}

// requestFields are the fields of a request.
func requestFields(class, id string, leftMS int) [][2]string {
	return [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/" + class + "/k"}, {":authority", "x"},
		{"x-correlation-id", id}, {"x-time-left-ms", fmt.Sprint(leftMS)}}
}

// sendRequest writes the HEADERS of a request and returns its stream ID.
func (r *rawConn) sendRequest(class, id string, leftMS int, end bool) uint32 {
	r.next += 2
	r.writeFields(r.next-2, end, requestFields(class, id, leftMS)...)
	return r.next - 2
}

// writeFields writes a field block on a stream.
func (r *rawConn) writeFields(stream uint32, end bool, fields ...[2]string) {
	r.buf.Reset()
	for _, f := range fields {
		r.enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	r.WriteHeaders(xhttp2.HeadersFrameParam{StreamID: stream, BlockFragment: []byte(r.buf.String()), EndHeaders: true, EndStream: end})
}

// readUntil reads frames until one matches, and returns it.
func (r *rawConn) readUntil(t *testing.T, matches func(xhttp2.Frame) bool) xhttp2.Frame {
	for {
		f, err := r.ReadFrame()
		require.NoError(t, err)
		if matches(f) {
			return f
		}
	}
}

func isGoAway(f xhttp2.Frame) bool { _, yes := f.(*xhttp2.GoAwayFrame); return yes }
