package platform_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/link"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/standin"
)

// Of a megabyte of memory two requests of this size fit the eighth that requests in hand may take.
const largeBodyBytes = 60_000

// largeRequest is a request with a large body.
func largeRequest(id string) string {
	return fmt.Sprintf(requestHead, id) + fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBodyBytes) + strings.Repeat("x", largeBodyBytes)
}

// startHolding starts a node whose workers hold the jobs that they accept; finish ends one.
func startHolding(t *testing.T, memoryMB int) (n *standin.Node, accepted chan string, finish func(id string)) {
	var mu sync.Mutex
	holders := map[string]*standin.Worker{}
	accepted = make(chan string, 8)
	var workers []*standin.Worker
	for i := range 4 {
		workers = append(workers, standin.NewWorker(t, fmt.Sprint("s-", i), func(w *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			holders[id] = w
			mu.Unlock()
			rw.WriteHeader(202)
			accepted <- id
		}))
	}
	n = standin.Start(t, func(c *config.Config) { c.Limits.MemoryMB = memoryMB }, workers...)
	return n, accepted, func(id string) {
		mu.Lock()
		defer mu.Unlock()
		holders[id].SendCallback(id, "done", map[string]any{"result": "r"})
	}
}

// sendAccepted sends large requests, of which each is with a worker before the next.
func sendAccepted(t *testing.T, n *standin.Node, accepted <-chan string, count int) (clients []*standin.RawConn) {
	for i := range count {
		c := standin.Dial(t, n.Front.Address())
		c.Send(largeRequest(fmt.Sprint("id-", i)))
		<-accepted
		clients = append(clients, c)
	}
	return clients
}

// Guards against requests in hand that are closed as flooding, without an answer, since their bodies count as unread input: one
// that does not fit the memory besides them is refused, and they are answered.
func TestRequestsInHandAreNoFlood(t *testing.T) {
	n, accepted, finish := startHolding(t, 1)
	clients := sendAccepted(t, n, accepted, 2)
	third := standin.Dial(t, n.Front.Address())
	third.Send(largeRequest("id-2"))
	r, err := http.ReadResponse(third.Reader, nil)
	require.NoError(t, err)
	assert.Equal(t, 503, r.StatusCode)
	assert.Equal(t, "1", r.Header.Get("Retry-After"))
	sweepTwice(n)
	for i, c := range clients {
		finish(fmt.Sprint("id-", i))
		assert.Equal(t, 200, readStatus(t, c))
	}
	again := standin.Dial(t, n.Front.Address())
	again.Send(largeRequest("id-3"))
	assert.Equal(t, "id-3", <-accepted, "their bytes are free again")
	finish("id-3")
	assert.Equal(t, 200, readStatus(t, again))
}

// Guards against the same in an upgrade, in which a process has half of its memory from one moment to the next.
func TestRequestsInHandOutliveDivisionOfMemory(t *testing.T) {
	n, accepted, finish := startHolding(t, 2)
	clients := sendAccepted(t, n, accepted, 3)
	n.RunOnLoop(func() { n.Front.DivideLimits(2) })
	sweepTwice(n)
	for i, c := range clients {
		finish(fmt.Sprint("id-", i))
		assert.Equal(t, 200, readStatus(t, c))
	}
}

// Guards against clients that lose their requests, or take memory, since others send theirs slowly at the same time: what is not
// whole stays in the kernel, however many clients there are.
func TestHalfSentRequestsHoldNoMemoryAndAreServed(t *testing.T) {
	const clients, rest = 12, 1000
	n, accepted, finish := startHolding(t, 1)
	var half []*standin.RawConn
	for i := range clients { // together five times what may be in hand
		c := standin.Dial(t, n.Front.Address())
		request := largeRequest(fmt.Sprint("id-", i))
		c.Send(request[:len(request)-rest])
		half = append(half, c)
	}
	eventuallyOnLoop(n, func() bool { registered, _, _ := n.Front.ClientCounts(); return registered == clients })
	for _, c := range half {
		blockUntil(t, func() bool { return hasArrived(t, c) })
	}
	sweepTwice(n)
	assert.Zero(t, n.Gateway.Poller().Buffers.Used(), "bytes of large messages that were read")
	for i, c := range half {
		id := fmt.Sprint("id-", i)
		c.Send(strings.Repeat("x", rest))
		require.Equal(t, id, receive(t, accepted))
		assert.Positive(t, n.Gateway.Poller().Buffers.Used())
		finish(id)
		assert.Equal(t, 200, readStatus(t, c))
	}
	n.Eventually(func() bool { return n.Gateway.Poller().Buffers.Used() == 0 })
	assert.False(t, n.HasLogged("reason=flooding"))
}

// Guards against a request in hand that gets no answer, since its client pipelines more behind it than may be read ahead: it is
// answered, and the connection ends behind the answer. The requests behind it reach no worker.
func TestRequestInHandIsAnsweredBesidePipelinedOnes(t *testing.T) {
	const pipelined = 4 // each of them nearly what may be read ahead
	for _, memoryMB := range []int{192, 2} {
		t.Run(fmt.Sprint(memoryMB, " MB"), func(t *testing.T) {
			n, accepted, finish := startHolding(t, memoryMB)
			clients := sendAccepted(t, n, accepted, 2)
			piped, other := clients[0], clients[1]
			go func() {
				for i := range pipelined {
					fmt.Fprint(piped.Conn, largeRequest(fmt.Sprint("piped-", i)))
				}
			}()
			eventuallyOnLoop(n, func() bool {
				n.Front.Sweep()
				return n.Front.EndingAsFlooding() == 1
			})
			sweepTwice(n)
			for i, c := range []*standin.RawConn{piped, other} {
				finish(fmt.Sprint("id-", i))
				assert.Equal(t, 200, readStatus(t, c))
			}
			n.Eventually(func() bool { return n.HasLogged("reason=flooding") })
			n.RunOnLoop(func() { assert.Zero(t, n.Core.OpenRequests()) })
			assert.Empty(t, accepted, "what came behind it is not served")
		})
	}
}

// Guards against a valid request that is answered with an error, or not at all, over what is pipelined behind it, since the sweep
// looks before the loop has handled it.
func TestRequestIsHandledBeforeTheSweepOfPipelinedOnes(t *testing.T) {
	for _, memoryMB := range []int{192, 2} {
		t.Run(fmt.Sprint(memoryMB, " MB"), func(t *testing.T) {
			n, accepted, finish := startHolding(t, memoryMB)
			c := standin.Dial(t, n.Front.Address())
			eventuallyOnLoop(n, func() bool { registered, _, _ := n.Front.ClientCounts(); return registered == 1 })
			n.RunOnLoop(func() {
				for i := range 3 { // two of them are more than may be pipelined
					c.Send(largeRequest(fmt.Sprint("id-", i)))
				}
				blockUntil(t, func() bool {
					_, _, complete := n.Front.ClientCounts()
					return complete == 1 && n.Front.LargestUnread() > link.MaxReadAheadBytes
				})
				n.Front.Sweep()
			})
			assert.Equal(t, "id-0", receive(t, accepted))
			finish("id-0")
			assert.Equal(t, 200, readStatus(t, c))
		})
	}
}

// Guards against a request in hand that is sent on with other bytes, since its connection's buffer is free for what its client
// pipelines behind it: a second attempt carries the body as it came.
func TestRequestInHandKeepsItsBodyBesidePipelinedOnes(t *testing.T) {
	var attempts atomic.Int32
	refuse := make(chan struct{})
	release := sync.OnceFunc(func() { close(refuse) })
	defer release()
	do := func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) > 1 {
			standin.CompleteJob(w, id, rw, r)
			return
		}
		<-refuse
		rw.Header().Set(platform.HeaderUnprocessed, "1")
		rw.WriteHeader(503)
	}
	a, b := standin.NewWorker(t, "s-0", do), standin.NewWorker(t, "s-1", do)
	n := standin.Start(t, nil, a, b)
	c := standin.Dial(t, n.Front.Address())
	c.Send(largeRequest("id-0"))
	n.Eventually(func() bool { return attempts.Load() == 1 })
	go c.Write([]byte(strings.Repeat("y", 4*largeBodyBytes)))
	eventuallyOnLoop(n, func() bool {
		n.Front.Sweep()
		return n.Front.EndingAsFlooding() == 1
	})
	release()
	assert.Equal(t, 200, readStatus(t, c))
	jobs := append(a.Jobs(), b.Jobs()...)
	require.Len(t, jobs, 2)
	for _, job := range jobs {
		assert.Equal(t, strings.Repeat("x", largeBodyBytes), job.Body)
	}
}

// sweepTwice waits until the front has looked at all connections.
func sweepTwice(n *standin.Node) {
	for range 2 {
		n.RunOnLoop(n.Front.Sweep)
	}
}

// Guards against a client that goes on sending a request which is too large and finds its connection closed without the error: the
// sweep sees what is unread before the loop has the rejection.
func TestErrorOfLargeRequestPrecedesTheSweep(t *testing.T) {
	n := standin.Start(t, nil)
	c := standin.Dial(t, n.Front.Address())
	eventuallyOnLoop(n, func() bool { registered, _, _ := n.Front.ClientCounts(); return registered == 1 })
	sent := make(chan struct{})
	n.RunOnLoop(func() {
		go func() {
			defer close(sent)
			fmt.Fprintf(c.Conn, requestHead+"Content-Length: 62914560\r\n\r\n%s", "id-1", strings.Repeat("x", 300<<10))
		}()
		blockUntil(t, func() bool {
			_, _, complete := n.Front.ClientCounts()
			return complete == 1 && n.Front.LargestUnread() > link.MaxReadAheadBytes
		})
		n.Front.Sweep()
	})
	assert.Equal(t, 413, readStatus(t, c))
	<-sent
}
