package platform

import (
	"time"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/http1"
)

// The kernel assigns a worker's connection to any process of a scheduler, so a callback may reach one that does not have its
// job. If that process refused it, the worker would retry ten times at most, each with the same odds: with two processes,
// one callback in 1,024 would never reach the right one. A process therefore forwards an unknown callback to the scheduler's
// own address, where each new connection is as likely as not to reach another process.
const (
	headerForwarded = "X-Passed-On" // marks a forwarded callback, which is not forwarded again
	// maxForwardAttempts bounds the connections for one callback. The probability that in all ten tries of the worker none
	// of them reaches a given one of three processes is below 1 in 10^30.
	maxForwardAttempts    = 20
	forwardAttemptTimeout = 100 * time.Millisecond // for connecting, and again for the answer
	forwardTimeout        = 500 * time.Millisecond // for all connections of a callback, while its worker waits
	// maxForwarding bounds the callbacks that are forwarded at a time; one above it is refused, and its worker retries.
	maxForwarding = 64
)

// forwardCallback offers a callback to the other processes of this scheduler. The connection that it arrived on waits for
// the outcome, and the callback is refused if no process knows its ID. The result reports whether the connection waits;
// false means that there is no other process, that too many callbacks are being forwarded, or that this one already was.
func (f *Front) forwardCallback(c *clientConn, req *http1.Request) (waits bool) {
	if f.processes < 2 || f.forwarding >= maxForwarding || req.Get(headerForwarded) != nil {
		return false
	}
	f.forwarding++
	address, keepAlive := f.Address(), req.KeepAlive
	message := http1.AppendRequest(nil, "POST", PathEvents, address, len(req.Body), nil, headerForwarded, "1", "Connection", "close")
	message = append(message, req.Body...)
	go func() { // the calls block, so they run outside of the loop
		isAccepted, until := false, clock.Monotonic()+forwardTimeout
		for n := 0; n < maxForwardAttempts && !isAccepted && clock.Monotonic() < until; n++ {
			isAccepted = postCallback(address, message)
		}
		f.loop.Post(func() {
			f.forwarding--
			if isAccepted {
				f.forwardedCallbacks++
				f.reply(c, 204, nil, keepAlive)
			} else {
				f.refuseUnknownCallback(c)
			}
			c.ReleaseBuffer()
		})
	}()
	return true
}

// refuseUnknownCallback answers a callback whose job ID no process knows.
func (f *Front) refuseUnknownCallback(c *clientConn) {
	f.unknownCallbacks++
	f.reply(c, 503, nil, false)
}

// postCallback sends a callback on a connection of its own, and reports whether the process that got it accepted it.
func postCallback(address string, message []byte) bool {
	nc, err := dialTCP(address, forwardAttemptTimeout)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetReadTimeout(forwardAttemptTimeout)
	if _, err := nc.Write(message); err != nil {
		return false
	}
	return readSuccess(nc.Reader())
}

// readSuccess reads an HTTP response and reports whether its status is in the 2xx range.
func readSuccess(r netpoll.Reader) bool {
	var response http1.Response
	for need := 1; ; {
		head, err := r.Peek(max(need, r.Len()))
		if err != nil {
			return false
		}
		more, fault := http1.ParseResponse(head, &response, false)
		switch {
		case fault != nil:
			return false
		case more > 0:
			need = max(more, len(head)+1)
		default:
			return response.Status/100 == 2
		}
	}
}
