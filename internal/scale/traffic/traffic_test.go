package traffic

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// exchange sends a request from the other end and reads the answer there.
func exchange(t *testing.T, here, there net.Conn, request, answer string, began func()) {
	t.Helper()
	send(t, there, here, request)
	began()
	send(t, here, there, answer)
}

// send writes a text at one end of a pipe, reads it at the other, and waits for both.
func send(t *testing.T, from, to net.Conn, text string) {
	t.Helper()
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(from, text)
		written <- err
	}()
	_, err := io.ReadFull(to, make([]byte, len(text)))
	require.NoError(t, err)
	require.NoError(t, <-written)
}

func TestMixedConnectionCountsRequestsByKind(t *testing.T) {
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	var counter Counter
	c := counter.WrapMixedConn(here)
	exchange(t, c, there, "probe", "load", func() { c.BeginRequest(Probe) })
	exchange(t, c, there, "job", "taken!", func() { c.BeginRequest(Job) })
	exchange(t, c, there, "probe", "load", func() { c.BeginRequest(Probe) })
	before := counter.Totals()
	require.Equal(t, Amount{BytesIn: 8, BytesOut: 10, Messages: 2, Connections: 1}, before[Probe])
	require.Equal(t, Amount{BytesIn: 6, BytesOut: 3, Messages: 1}, before[Job])
	exchange(t, c, there, "job", "no", func() { c.BeginRequest(Job) })
	require.Equal(t, Amount{BytesIn: 2, BytesOut: 3, Messages: 1}, counter.Totals().Sub(before)[Job])
}

func TestConnectionOfOneKindCountsAllTraffic(t *testing.T) {
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	var counter Counter
	c := counter.WrapConn(here, List)
	exchange(t, c, there, "watch", "a list", func() {})
	require.Equal(t, Amount{BytesIn: 6, BytesOut: 5, Connections: 1}, counter.Totals()[List])
}
