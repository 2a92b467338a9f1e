package platform_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/standin"
)

// A job that arrives on the callback reserve is refused with a hint when to retry, and its connection closed, whether the
// clients' budget or the accept limit is reached.
func TestJobOnCallbackReserveIsRefused(t *testing.T) {
	for name, upToAcceptLimit := range map[string]bool{"budget": false, "accept limit": true} {
		t.Run(name, func(t *testing.T) {
			n, _ := startWithBusyClients(t, upToAcceptLimit)
			open := openRequests(n)
			c := dialOnReserve(n)
			c.Send(fmt.Sprintf(completeRequest, "one-too-many"))
			r, err := http.ReadResponse(c.Reader, nil)
			require.NoError(t, err)
			assert.Equal(t, 503, r.StatusCode)
			assert.Equal(t, "1", r.Header.Get("Retry-After"))
			io.Copy(io.Discard, r.Body)
			assertEOF(t, c)
			assert.Equal(t, open, openRequests(n))
			n.Eventually(func() bool { used, _ := reserve(n); return used == 0 })
		})
	}
}

// The connection of a callback on the reserve ends with the answer, although its worker would keep it: the place is free for
// the next callback.
func TestCallbackOnReserveIsTheLastMessage(t *testing.T) {
	n, _ := startWithBusyClients(t, false)
	c := dialOnReserve(n)
	const body = `{"id":"id-0","from":"s-1","state":"started"}`
	c.Send(fmt.Sprintf("POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	assert.Equal(t, 204, readStatus(t, c))
	assertEOF(t, c)
	n.Eventually(func() bool { used, _ := reserve(n); return used == 0 })
}

// Connections that bring nothing do not keep a callback off the reserve: the newest gets the place of the one that has been
// silent for the longest time, and each is closed after firstRequestGrace. Their number stays within the reserve.
func TestSilentConnectionsDoNotBlockTheCallbackReserve(t *testing.T) {
	n, client := startWithBusyClients(t, false)
	_, limit := reserve(n)
	require.Positive(t, limit)
	for range 3 * limit {
		dialOnReserve(n)
		used, _ := reserve(n)
		require.LessOrEqual(t, used, limit)
	}
	assert.Equal(t, 204, sendCallbackAfterConnecting(n, "id-0"))
	assert.Equal(t, 200, readStatus(t, client))
	n.Eventually(func() bool { used, _ := reserve(n); return used == 0 })
}

// Above the accept limit the poller accepts as many connections as the reserve has places, and closes the others.
func TestPollerBoundsTheCallbackReserve(t *testing.T) {
	n, _ := startWithBusyClients(t, true)
	accepted, more := n.Front.AcceptedConns(), 0
	n.RunOnLoop(func() { // the poller goes on, the loop frees no place
		_, more = n.Front.CallbackReserve()
		for i := range more {
			standin.Dial(t, n.Front.Address())
			blockUntil(t, func() bool { return n.Front.AcceptedConns() == accepted+i+1 })
		}
		for range 3 {
			_, err := standin.Dial(t, n.Front.Address()).Reader.ReadByte()
			assert.Error(t, err, "closed")
		}
		// The count includes an accept in progress. A connection accepted too many would stay counted, as the loop stands still.
		blockUntil(t, func() bool { return n.Front.AcceptedConns() == accepted+more })
	})
	require.Positive(t, more)
}

// dialOnReserve connects to a process whose connections are all in use, and returns once the connection is on the reserve.
func dialOnReserve(n *standin.Node) *standin.RawConn {
	before := 0
	n.RunOnLoop(func() { before = n.Front.RegisteredOnReserve() })
	n.ClearLog()
	c := standin.Dial(n.T, n.Front.Address())
	eventuallyOnLoop(n, func() bool {
		return n.Front.RegisteredOnReserve() > before || n.HasLogged("reason=over-budget") // in place of another one
	})
	return c
}

// reserve returns the number of places of the callback reserve that are used, and of all.
func reserve(n *standin.Node) (used, limit int) {
	n.RunOnLoop(func() { used, limit = n.Front.CallbackReserve() })
	return used, limit
}
