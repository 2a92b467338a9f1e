package platform_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"cobaltflow/internal/standin"
)

// The time left of a request that its client writes slowly counts from its last byte, as the protocol says. Guards against a
// refusal of a request whose client still waits.
func TestSlowlyWrittenRequestCountsFromItsLastByte(t *testing.T) {
	t.Parallel()
	n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
	c, err := net.Dial("tcp", n.Front.Address())
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id-1\r\nX-Time-Left-Ms: 500\r\nContent-Length: 2\r\n\r\n")
	time.Sleep(700 * time.Millisecond)
	fmt.Fprint(c, "ab")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, 200, resp.StatusCode)
}

// The time left of a stream counts from its own bytes, not from those of a frame before it that came in two parts. Guards
// against a refusal of a request whose client still waits.
func TestStreamBehindASplitFrameCountsFromItsOwnRead(t *testing.T) {
	t.Parallel()
	n := startHTTP2(t, nil, standin.NewWorker(t, "s-1", nil))
	c, err := net.Dial("tcp", n.HTTP2.Address())
	require.NoError(t, err)
	defer c.Close()
	var out bytes.Buffer
	framer := http2.NewFramer(&out, c)
	out.WriteString(http2.ClientPreface)
	require.NoError(t, framer.WriteSettings())
	require.NoError(t, framer.WriteSettingsAck())
	require.NoError(t, framer.WritePing(false, [8]byte{1}))
	whole := out.Len()
	require.NoError(t, framer.WritePing(false, [8]byte{2}))
	first := bytes.Clone(out.Bytes()[:whole+3])
	rest := bytes.Clone(out.Bytes()[whole+3:])
	_, err = c.Write(first)
	require.NoError(t, err)
	time.Sleep(700 * time.Millisecond)
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, h := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/move/k"}, {":authority", "x"},
		{"x-correlation-id", "id-1"}, {"x-time-left-ms", "500"}} {
		require.NoError(t, encoder.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]}))
	}
	out.Reset()
	require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block.Bytes(), EndStream: true, EndHeaders: true}))
	_, err = c.Write(append(rest, out.Bytes()...))
	require.NoError(t, err)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	for {
		f, err := framer.ReadFrame()
		require.NoError(t, err)
		if h, ok := f.(*http2.MetaHeadersFrame); ok {
			assert.Equal(t, "200", h.PseudoValue("status"))
			return
		}
	}
}
