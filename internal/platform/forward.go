package platform

import (
	"time"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/core"
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
)

// heldCallback is a callback of an ID that this process does not know. The connection that it arrived on waits for its answer.
type heldCallback struct {
	conn      *clientConn
	keepAlive bool
	message   string      // as it is sent to the other processes; a copy, since the connection may end first
	timeout   *core.Timer // of the check for other processes; nil: there was none
}

// dropHeldCallback removes a callback whose connection has ended from where it waits. One that is being forwarded goes on.
func (f *Front) dropHeldCallback(held *heldCallback) {
	f.othersCheck.remove(held)
	f.loop.CancelTimer(held.timeout)
	f.forwards.remove(held)
}

// handleUnknownCallback forwards a callback of an ID that this process does not know, unless that is conclusively in vain:
// another process has forwarded it here, or there is no other process. The result reports whether it is answered later.
func (f *Front) handleUnknownCallback(c *clientConn, req *http1.Request) (waits bool) {
	if req.Get(headerForwarded) != nil {
		f.refuseUnknownCallback(c)
		return false
	}
	message := http1.AppendRequest(nil, "POST", PathEvents, f.Address(), len(req.Body), nil, headerForwarded, "1", "Connection", "close")
	held := &heldCallback{conn: c, keepAlive: req.KeepAlive, message: string(append(message, req.Body...))}
	c.callback = held
	if f.processes > 1 {
		f.forwardCallback(held)
	} else {
		f.checkOthers(held)
	}
	return true
}

// acceptHeldCallback answers a callback that another process has accepted.
func (f *Front) acceptHeldCallback(held *heldCallback) {
	held.conn.callback = nil
	f.reply(held.conn, 204, nil, held.keepAlive)
	held.conn.ReleaseBuffer()
}

// refuseHeldCallback answers a callback that no process has accepted.
func (f *Front) refuseHeldCallback(held *heldCallback) {
	held.conn.callback = nil
	f.refuseUnknownCallback(held.conn)
	held.conn.ReleaseBuffer()
}

// refuseUnknownCallback answers a callback whose job ID no process knows with 503 and closes the connection; the worker
// retries ten times at most.
func (f *Front) refuseUnknownCallback(c *clientConn) {
	f.unknownCallbacks++
	f.reply(c, 503, nil, false)
}

// offerCallback sends a callback to an address, each time on a new connection, until a process accepts it or one of the
// bounds is reached, and reports whether one did.
func offerCallback(address string, message []byte) bool {
	until := clock.Monotonic() + forwardTimeout
	for n := 0; n < maxForwardAttempts && clock.Monotonic() < until; n++ {
		if postCallback(address, message) {
			return true
		}
	}
	return false
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
