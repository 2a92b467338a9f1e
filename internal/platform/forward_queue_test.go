package platform_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/platform"
	"cobaltflow/internal/standin"
)

// heldOffers is a process of a scheduler whose offers of callbacks to the other processes wait for the test.
type heldOffers struct {
	*standin.Node
	started chan string // the ID of a callback as its offer begins; its buffer holds all
	results chan bool   // whether it was accepted
}

// holdOffers starts such a process. All of its offers end with the test.
func holdOffers(t *testing.T) *heldOffers {
	const most = 1024
	h := &heldOffers{standin.Start(t, nil), make(chan string, most), make(chan bool, most)}
	t.Cleanup(func() { close(h.results) })
	h.RunOnLoop(func() {
		h.Front.DivideLimits(2)
		h.Front.SetOffer(func(message []byte) bool {
			_, after, _ := strings.Cut(string(message), `"id":"`)
			id, _, _ := strings.Cut(after, `"`)
			h.started <- id
			return <-h.results
		})
	})
	return h
}

// send sends the callback of a job, and returns the channel of its status; 0 means that there was no response.
func (h *heldOffers) send(id string) chan int {
	status := make(chan int, 1)
	go func() { status <- sendCallbackTo(h.Front.Address(), id) }()
	return status
}

// sendQueued is send for the n-th callback that has to wait, and returns once that waits.
func (h *heldOffers) sendQueued(id string, n int) chan int {
	status := h.send(id)
	h.awaitQueued(n)
	return status
}

// awaitQueued waits until n callbacks wait.
func (h *heldOffers) awaitQueued(n int) {
	eventuallyOnLoop(h.Node, func() bool { queued, _ := h.Front.QueuedForwards(); return queued == n })
}

// fill makes the process forward as many callbacks as it does at a time.
func (h *heldOffers) fill() {
	for i := range platform.MaxForwarding {
		h.send(fmt.Sprint("first-", i))
	}
	for range platform.MaxForwarding {
		receive(h.T, h.started)
	}
}

// Callbacks above maxForwarding wait in the order of their arrival until others have ended, each on its connection, up to a
// bound; one above that is refused.
func TestCallbacksWaitToBeForwardedInOrder(t *testing.T) {
	h := holdOffers(t)
	h.fill()
	_, bound := h.QueuedForwards()
	require.Positive(t, bound)
	var waiting []chan int
	for i := range bound {
		waiting = append(waiting, h.sendQueued(fmt.Sprint("id-", i), i+1))
	}
	assert.Equal(t, 503, receive(t, h.send("too-many")), "the queue is full")
	assert.Empty(t, h.started, "at most maxForwarding at a time")
	for i := range bound {
		h.results <- true
		require.Equal(t, fmt.Sprint("id-", i), receive(t, h.started))
	}
	for range platform.MaxForwarding {
		h.results <- true
	}
	for _, status := range waiting {
		assert.Equal(t, 204, receive(t, status))
	}
}

// QueuedForwards returns the number of callbacks that wait, and its bound.
func (h *heldOffers) QueuedForwards() (queued, bound int) {
	h.RunOnLoop(func() { queued, bound = h.Front.QueuedForwards() })
	return queued, bound
}

// A waiting callback leaves the queue when its connection ends: its worker has given up the try.
func TestWaitingCallbackLeavesWithItsConnection(t *testing.T) {
	h := holdOffers(t)
	h.fill()
	const body = `{"id":"gone","from":"s-1","state":"done"}`
	c := standin.Dial(t, h.Front.Address())
	c.Send(fmt.Sprintf("POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	h.awaitQueued(1)
	status := h.sendQueued("id-1", 2)
	c.Close()
	h.awaitQueued(1)
	h.results <- true
	assert.Equal(t, "id-1", receive(t, h.started))
	for range platform.MaxForwarding {
		h.results <- true
	}
	assert.Equal(t, 204, receive(t, status))
}

// A repeated callback takes no second place while the first one is forwarded or waits, and gets its outcome. One of the same
// job with another state is another message.
func TestRepeatedCallbackJoinsTheFirst(t *testing.T) {
	h := holdOffers(t)
	first := h.send("id-1")
	require.Equal(t, "id-1", receive(t, h.started))
	repeated := h.send("id-1")
	eventuallyOnLoop(h.Node, func() bool { _, _, held := h.Front.ClientCounts(); return held == 2 })
	h.RunOnLoop(func() { assert.Equal(t, 1, h.Front.Forwarding()) })
	other := make(chan int, 1)
	go func() {
		other <- standin.PostCallback(h.URL("/v1/job-events"), map[string]any{"id": "id-1", "from": "s-1", "state": "started"})
	}()
	require.Equal(t, "id-1", receive(t, h.started), "another message")
	for range 2 {
		h.results <- true
	}
	for _, status := range []chan int{first, repeated, other} {
		assert.Equal(t, 204, receive(t, status))
	}
	h.fill()
	first = h.sendQueued("id-2", 1)
	repeated = h.send("id-2")
	eventuallyOnLoop(h.Node, func() bool { _, _, held := h.Front.ClientCounts(); return held == platform.MaxForwarding+2 })
	queued, _ := h.QueuedForwards()
	assert.Equal(t, 1, queued)
	for range platform.MaxForwarding + 1 {
		h.results <- true
	}
	assert.Equal(t, []int{204, 204}, []int{receive(t, first), receive(t, repeated)})
}
