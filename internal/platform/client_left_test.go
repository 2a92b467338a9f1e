package platform_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/standin"
)

// Guards against attempts that begin after their client has closed its connection, of which the poller has yet to learn: the dial
// comes up between the close and the poller's next look.
func TestNoAttemptBeginsForAClientWhoseEndIsNotReadYet(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	var connected chan string
	var release chan struct{}
	n.RunOnLoop(func() { connected, release = n.Front.HoldDials(t) })
	c := standin.Dial(t, n.Front.Address())
	c.Send(fmt.Sprintf(completeRequest, "id-1"))
	receive(t, connected)
	resume := standin.PausePoller(n)
	require.NoError(t, c.Close())
	release <- struct{}{}
	eventuallyOnLoop(n, func() bool { return n.Front.PendingDials() == 0 })
	n.RunOnLoop(func() {}) // the attempt ends in a turn of its own
	resume()
	eventuallyOnLoop(n, func() bool { return n.Core.OpenRequests() == 0 })
	assert.Empty(t, w.Jobs())
}

// Guards against a request that is lost in a drain, since it was read and the loop has yet to handle it: its connection counts as
// idle neither by what is unread nor by what is in hand.
func TestRequestThatWaitsForTheLoopIsServedInADrain(t *testing.T) {
	n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
	c := standin.Dial(t, n.Front.Address())
	c.Send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	require.Equal(t, 200, readStatus(t, c))
	n.RunOnLoop(func() {
		c.Send(fmt.Sprintf(completeRequest, "id-1"))
		blockUntil(t, func() bool { _, unread, complete := n.Front.ClientCounts(); return complete == 1 && unread == 0 })
		n.Front.Drain()
	})
	assert.Equal(t, 200, readStatus(t, c))
}

// Guards against requests that are sent on although their client has left, since they lay behind one in hand: their bytes came
// before the end of the connection, and are looked at after it.
func TestPipelinedRequestsOfAClientThatLeftAreNotSent(t *testing.T) {
	n, accepted, finish := startHolding(t, 192)
	c := standin.Dial(t, n.Front.Address())
	for i := range 40 {
		c.Send(fmt.Sprintf(completeRequest, fmt.Sprint("id-", i)))
	}
	require.Equal(t, "id-0", receive(t, accepted))
	require.NoError(t, c.Close())
	eventuallyOnLoop(n, func() bool { registered, _, _ := n.Front.ClientCounts(); return registered == 0 })
	finish("id-0")
	n.RunOnLoop(func() { assert.Zero(t, n.Core.OpenRequests()) })
	assert.Empty(t, accepted, "what lay behind it")
}
