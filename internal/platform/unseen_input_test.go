package platform_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"cobaltflow/internal/standin"
)

// Guards against clients that stop half way in a large request and keep their place: what is there of it is a part, which is known
// without a look at all of it.
func TestHalfOfALargeRequestIsSlow(t *testing.T) {
	n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
	c := standin.Dial(t, n.Front.Address())
	c.Send(largeRequest("id-1")[:largeBodyBytes/2])
	eventuallyOnLoop(n, func() bool { return n.Front.LargestUnread() == largeBodyBytes/2 })
	n.Eventually(func() (isEvictable bool) {
		n.RunOnLoop(func() { isEvictable = n.Front.EvictableClients() == 1 })
		return isEvictable
	})
	assert.Equal(t, 408, readStatus(t, c))
}

// Guards against clients that are told 408, or lose their connection, for a request that came whole in time: the poller has not
// looked at it for longer than a request may take to come.
func TestRequestThatWaitsForThePollerIsNotSlow(t *testing.T) {
	const beyondMessageTimeout = 2500 * time.Millisecond
	t.Run("HTTP/1.1", func(t *testing.T) {
		n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
		fresh, half := standin.Dial(t, n.Front.Address()), standin.Dial(t, n.Front.Address())
		request := fmt.Sprintf(completeRequest, "id-1")
		half.Send(request[:20])
		eventuallyOnLoop(n, func() bool { registered, unread, _ := n.Front.ClientCounts(); return registered == 2 && unread == 1 })
		resume := standin.PausePoller(n)
		half.Send(request[20:])
		fresh.Send(fmt.Sprintf(completeRequest, "id-2"))
		time.Sleep(beyondMessageTimeout)
		resume()
		assert.Equal(t, 200, readStatus(t, half))
		assert.Equal(t, 200, readStatus(t, fresh))
	})
	t.Run("HTTP/2", func(t *testing.T) {
		w := standin.NewWorker(t, "s-1", nil)
		n := startHTTP2(t, nil, w)
		c := standin.Dial(t, n.HTTP2.Address())
		c.Send(http2.ClientPreface)
		framer := http2.NewFramer(c, c.Reader)
		require.NoError(t, framer.WriteSettings())
		require.NoError(t, framer.WriteSettingsAck())
		block := encodeHTTP2Request("id-1")
		require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block[:5], EndStream: true}))
		n.Eventually(func() bool { return hasArrived(t, c) && n.Gateway.Poller().Unhandled() == 0 })
		time.Sleep(50 * time.Millisecond) // the turn in which the block is seen to be incomplete
		resume := standin.PausePoller(n)
		require.NoError(t, framer.WriteContinuation(1, true, block[5:]))
		time.Sleep(beyondMessageTimeout)
		resume()
		n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	})
}
