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

// An attempt that is given up before its 202 is not delivered later.
//
// Seen: seeds 2012 and 2034 of the soak. A network was cut for two seconds, requests were written on open connections
// meanwhile, and their clients were answered 503 when their time was over. As the cut ended the requests came to the
// workers and ran, up to 1.1 s after an operator had been told that the worker was out; nobody waited for them.
// Cause: an attempt is given up by closing its connection, and it was closed in order: the system keeps what the peer has
// not acknowledged, and sends it again for minutes after the program has closed.
// Proof: the log has reason=given-up for each of them before the cut's end; with a reset in place of the orderly end the
// system drops the bytes, and none comes.
func TestAnAttemptGivenUpIsTakenBackFromTheNetwork(t *testing.T) {
	for name, giveUp := range map[string]func(n *standin.Node, c *standin.Raw){
		"the client leaves":   func(_ *standin.Node, c *standin.Raw) { c.Close() },
		"the time runs out":   func(*standin.Node, *standin.Raw) {},
		"the scheduler's end": func(n *standin.Node, _ *standin.Raw) { n.On(func() { n.Front.Stop(n.Loop.Stop) }) },
	} {
		t.Run(name, func(t *testing.T) {
			worker, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer worker.Close()
			n := standin.Start(t, nil)
			updateWorkerList(n, standin.Entry("s-1", worker.Addr().String(), "up"))
			c := standin.Dial(t, n.Front.Address())
			c.Say("POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id-1\r\nX-Time-Left-Ms: 1500\r\n\r\n")
			attempt := awaitRequestConn(t, worker)
			giveUp(n, c)
			require.NoError(t, attempt.SetReadDeadline(time.Now().Add(standin.Patience)))
			_, err = io.Copy(io.Discard, attempt)
			assert.ErrorIs(t, err, syscall.ECONNRESET, "not an orderly end, behind which the system goes on sending")
		})
	}
}

// nextRequest gives the next connection on which a request, and no probe, has come, after the head of the request.
func awaitRequestConn(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	require.NoError(t, ln.(*net.TCPListener).SetDeadline(time.Now().Add(standin.Patience)))
	for {
		c, err := ln.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.SetReadDeadline(time.Now().Add(standin.Patience)))
		head := make([]byte, len("POST"))
		if _, err := io.ReadFull(c, head); err == nil && bytes.Equal(head, []byte("POST")) {
			return c
		}
	}
}
