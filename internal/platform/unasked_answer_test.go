package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/core"
	"cobaltflow/internal/standin"
)

// A callback that waits to be forwarded for longer than a message may take to arrive is whole, and not answered 408. Guards
// against an answer that the worker takes for that of its callback.
func TestHeldCallbackIsNotSlowInput(t *testing.T) {
	t.Parallel()
	h := holdOffers(t)
	status := h.send("id-held")
	receive(t, h.started)
	select {
	case s := <-status:
		t.Fatal("answered while held: ", s)
	case <-time.After(2400 * time.Millisecond):
	}
	h.results <- true
	assert.Equal(t, 204, receive(t, status))
}

// A kept connection of a worker whose callback was held gets nothing behind the callback's answer. Guards against a 408 that
// nobody asked for, which the worker would take for the answer to its next callback.
func TestKeptWorkerConnectionAfterHeldCallback(t *testing.T) {
	t.Parallel()
	h := holdOffers(t)
	c, err := net.Dial("tcp", h.Front.Address())
	require.NoError(t, err)
	defer c.Close()
	body := `{"id":"id-x","from":"s-1","state":"started"}`
	fmt.Fprintf(c, "POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	receive(t, h.started)
	time.Sleep(150 * time.Millisecond)
	h.results <- true
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, 204, resp.StatusCode)
	require.False(t, resp.Close)
	c.SetReadDeadline(time.Now().Add(2500 * time.Millisecond))
	got := make([]byte, 100)
	n, err := r.Read(got)
	ne, isTimeout := err.(net.Error)
	assert.True(t, isTimeout && ne.Timeout(), "read %q %v", got[:n], err)
}

// A sweep in the turn of an answer, before the goroutine that reads has skipped the request, takes that request for nothing
// new. Guards against a 408 that nobody asked for on a kept connection.
func TestIdleClientAfterSweepInTheTurnOfItsAnswer(t *testing.T) {
	t.Parallel()
	w := standin.NewWorker(t, "s-1", func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) { rw.WriteHeader(202) })
	n := standin.Start(t, nil, w)
	const clients = 30
	var conns []net.Conn
	for i := range clients {
		c, err := net.Dial("tcp", n.Front.Address())
		require.NoError(t, err)
		defer c.Close()
		fmt.Fprintf(c, "POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id-%d\r\nX-Time-Left-Ms: 5000\r\nContent-Length: 2\r\n\r\nab", i)
		conns = append(conns, c)
	}
	eventuallyOnLoop(n, func() bool { return n.Core.OpenRequests() == clients })
	n.RunOnLoop(func() {
		n.Core.AbortRequests(func(core.Client) bool { return true })
		n.Front.Sweep()
	})
	unasked := 0
	until := time.Now().Add(2500 * time.Millisecond)
	for _, c := range conns {
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.False(t, resp.Close)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		c.SetReadDeadline(until)
		if second, err := http.ReadResponse(r, nil); err == nil {
			unasked++
			t.Log(second.StatusCode)
		}
	}
	assert.Zero(t, unasked, "answers that nobody asked for")
}
