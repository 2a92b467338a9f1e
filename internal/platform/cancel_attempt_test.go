package platform_test

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/standin"
)

// An attempt that is cancelled before its 202 is not delivered to the worker later.
//
// In seeds 2012 and 2034 of the soak, requests were written on open connections while a network was cut for two seconds, and
// their clients were answered 503 at their deadlines. When the cut ended, the requests reached the workers and ran, up to
// 1.1 s after an operator had been shown the worker as out. An attempt is cancelled by closing its connection, and after an
// orderly close the system keeps retransmitting unacknowledged bytes for minutes; the log had reason=given-up for each of
// them before the end of the cut. A reset makes the system drop the bytes, so the connection has to end with one.
func TestCancelledAttemptIsReset(t *testing.T) {
	for name, cancel := range map[string]func(n *standin.Node, c *standin.RawConn){
		"client disconnects":   func(_ *standin.Node, c *standin.RawConn) { c.Close() },
		"deadline expires":     func(*standin.Node, *standin.RawConn) {},
		"scheduler shuts down": func(n *standin.Node, _ *standin.RawConn) { n.RunOnLoop(func() { n.Front.Stop(n.Loop.Stop) }) },
	} {
		t.Run(name, func(t *testing.T) {
			worker, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer worker.Close()
			n := standin.Start(t, nil)
			updateWorkerList(n, standin.ListEntry("s-1", worker.Addr().String(), "up"))
			c := standin.Dial(t, n.Front.Address())
			c.Send("POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id-1\r\nX-Time-Left-Ms: 1500\r\n\r\n")
			attempt := awaitRequestConn(t, worker)
			cancel(n, c)
			require.NoError(t, attempt.SetReadDeadline(time.Now().Add(standin.WaitTimeout)))
			_, err = io.Copy(io.Discard, attempt)
			assert.ErrorIs(t, err, syscall.ECONNRESET, "a reset, since the system keeps sending after an orderly close")
		})
	}
}

// awaitRequestConn returns the next connection on which a request arrives, after reading its method; connections with probes
// are skipped.
func awaitRequestConn(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	require.NoError(t, ln.(*net.TCPListener).SetDeadline(time.Now().Add(standin.WaitTimeout)))
	for {
		c, err := ln.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.SetReadDeadline(time.Now().Add(standin.WaitTimeout)))
		method := make([]byte, len("POST"))
		if _, err := io.ReadFull(c, method); err == nil && bytes.Equal(method, []byte("POST")) {
			return c
		}
	}
}
