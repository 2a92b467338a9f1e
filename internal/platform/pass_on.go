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
	headerPassedOn = "X-Passed-On" // a callback with it is passed on no further
	// passTries bounds the connections for one callback. That none of them reaches one of three processes, in any of the
	// worker's ten tries, has a chance of under 1 in 10^30.
	passTries = 20
	passCall  = 100 * time.Millisecond // for a connection, and for an answer on it
	passAll   = 500 * time.Millisecond // for all of a callback's connections: its worker waits
	// mostPassing bounds the callbacks that are passed on at once; over it one is refused, and its worker tries again.
	mostPassing = 64
)

// passOn looks for the process of this scheduler that knows a callback's id. The connection that brought it waits; where
// nobody knows the id, or nobody else lives, it is refused. It tells whether the connection is waiting.
func (f *Front) passOn(a *clientLink, q *http1.Request) (waits bool) {
	if f.processes < 2 || f.passing >= mostPassing || q.Get(headerPassedOn) != nil {
		return false
	}
	f.passing++
	address, keepAlive := f.Address(), q.KeepAlive
	message := http1.AppendRequest(nil, "POST", PathEvents, address, len(q.Body), nil, headerPassedOn, "1", "Connection", "close")
	message = append(message, q.Body...)
	go func() { // it blocks, so it is run outside the loop
		taken, until := false, clock.Monotonic()+passAll
		for n := 0; n < passTries && !taken && clock.Monotonic() < until; n++ {
			taken = takenAt(address, message)
		}
		f.loop.Post(func() {
			f.passing--
			if taken {
				f.passedOn++
				f.reply(a, 204, nil, keepAlive)
			} else {
				f.refuseForeign(a)
			}
			a.Release()
		})
	}()
	return true
}

// refuseForeign answers a callback of an id that no process knows.
func (f *Front) refuseForeign(a *clientLink) {
	f.foreign++
	f.reply(a, 503, nil, false)
}

// takenAt sends a callback on a connection of its own and tells whether whoever has it knows its id.
func takenAt(address string, message []byte) bool {
	nc, err := dialTCP(address, passCall)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetReadTimeout(passCall)
	if _, err := nc.Write(message); err != nil {
		return false
	}
	return answersYes(nc.Reader())
}

// answersYes reads an answer and tells whether it is a yes.
func answersYes(r netpoll.Reader) bool {
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
