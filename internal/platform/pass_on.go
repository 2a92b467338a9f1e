package platform

import (
	"time"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/http1"
)

// A worker's callback comes to any process of its scheduler, as the kernel gives it a connection. Refused, it is repeated ten
// times at most, each with the same chance: one in 1,024 would never reach the one of two processes that has its job. So a
// process passes on what it does not know, at the scheduler's own address, where each new connection reaches another process
// as often as not.
const (
	headerForwarded = "X-Passed-On" // a callback with it is passed on no further
	// passTries bounds the connections for one callback. That none of them reaches one of three processes, in any of the
	// worker's ten tries, has a chance of under 1 in 10^30.
	maxForwardAttempts    = 20
	forwardAttemptTimeout = 100 * time.Millisecond // for a connection, and for an answer on it
	forwardTimeout        = 500 * time.Millisecond // for all of a callback's connections: its worker waits
	// mostPassing bounds the callbacks that are passed on at once; over it one is refused, and its worker tries again.
	maxForwarding = 64
)

// passOn looks for the process of this scheduler that knows a callback's id. The connection that brought it waits; where
// nobody knows the id, or nobody else lives, it is refused. It tells whether the connection is waiting.
func (f *Front) forwardCallback(a *clientConn, q *http1.Request) (waits bool) {
	if f.processes < 2 || f.forwarding >= maxForwarding || q.Get(headerForwarded) != nil {
		return false
	}
	f.forwarding++
	address, keepAlive := f.Address(), q.KeepAlive
	message := http1.AppendRequest(nil, "POST", PathEvents, address, len(q.Body), nil, headerForwarded, "1", "Connection", "close")
	message = append(message, q.Body...)
	go func() { // it blocks, so it is run outside the loop
		taken, until := false, clock.Monotonic()+forwardTimeout
		for n := 0; n < maxForwardAttempts && !taken && clock.Monotonic() < until; n++ {
			taken = postCallback(address, message)
		}
		f.loop.Post(func() {
			f.forwarding--
			if taken {
				f.forwardedCallbacks++
				f.reply(a, 204, nil, keepAlive)
			} else {
				f.refuseUnknownCallback(a)
			}
			a.ReleaseBuffer()
		})
	}()
	return true
}

// refuseForeign answers a callback of an id that no process knows.
func (f *Front) refuseUnknownCallback(a *clientConn) {
	f.unknownCallbacks++
	f.reply(a, 503, nil, false)
}

// takenAt sends a callback on a connection of its own and tells whether whoever has it knows its id.
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

// answersYes reads an answer and tells whether it is a yes.
func readSuccess(r netpoll.Reader) bool {
	var answer http1.Response
	for need := 1; ; {
		head, err := r.Peek(max(need, r.Len()))
		if err != nil {
			return false
		}
		more, fault := http1.ParseResponse(head, &answer, false)
		switch {
		case fault != nil:
			return false
		case more > 0:
			need = max(more, len(head)+1)
		default:
			return answer.Status/100 == 2
		}
	}
}
