package platform

import (
	"bytes"

	"cobaltflow/internal/http1"
	"cobaltflow/internal/link"
)

// netpoll reads whatever the loop does, and a request stays in the read buffer until it is answered. So both are bounded here, each
// by the same share of the memory: the requests in hand as they are admitted, and what is unread beyond them by the sweep. On each
// connection MaxReadAheadBytes may be unread behind a message besides.

// inputMemoryShare is the part of the memory that requests in hand may take, and the part that unread input may.
const inputMemoryShare = 8

// maxInputBytes returns the bytes that requests in hand may take, and those that unread input may.
func (f *Front) maxInputBytes() int { return f.Limits().MemoryMB << 20 / inputMemoryShare }

// hasMemoryFor reports whether a request may be taken in hand besides those that are.
func (f *Front) hasMemoryFor(req *http1.Request) bool {
	return f.inFlightBytes == 0 || f.inFlightBytes+req.Size <= f.maxInputBytes()
}

// unreadInput is what is unread beyond the requests in hand, and the connection that has most of it.
type unreadInput struct {
	bytes        int
	largest      *clientConn
	largestBytes int
}

// add counts a connection, unless it is being closed.
func (u *unreadInput) add(c *clientConn) {
	if c.CloseReason != "" {
		return
	}
	unread := c.unreadBeyondRequest(c.Conn.Reader().Len())
	u.bytes += unread
	if unread > u.largestBytes {
		u.largest, u.largestBytes = c, unread
	}
}

// endLargestInput ends the connection with most unread input. One that has sent a part of a request gets a 503, since its client
// could not tell a close without an answer from a request that was accepted and lost.
func (f *Front) endLargestInput(c *clientConn) {
	switch {
	case c.inFlight != nil:
		f.refusePipelined(c)
	case c.awaitsItsTurn():
	case c.HasPendingMessage():
		c.Close(link.Flooding) // more came behind a callback that waits, which its worker repeats
	default:
		f.rejectAndClose(c, link.Flooding, 503, "too much input is unread; try again\n", "Retry-After", "1")
	}
}

// awaitsItsTurn reports whether a message is complete that the loop has yet to handle, in its next turn. What is unread behind it
// is looked at by the next sweep, when the message is in hand or answered.
func (c *clientConn) awaitsItsTurn() bool {
	return c.HasPendingMessage() && c.inFlight == nil && c.callback == nil
}

// refusePipelined ends a connection on which too much is pipelined behind the request in hand, with the answer to that one. The
// pipelined requests are not served: their client sends them again, as after any close. The request gets memory of its own, so
// that the read buffer is free and the rest can be discarded; a client that sends more than all of them may have unread is
// closed at once, and its request cancelled.
func (f *Front) refusePipelined(c *clientConn) {
	c.CloseReason = link.Flooding
	job := &c.inFlight.Job
	job.Body = bytes.Clone(job.Body)
	c.request = http1.Request{Method: []byte("POST")} // as all jobs; the answer needs no more of it
	c.DiscardInputUpTo(f.maxInputBytes())
	c.ReleaseBuffer()
}

// unreadBeyondRequest returns how many of the unread bytes do not belong to the request in hand, whose bytes stay in the buffer.
func (c *clientConn) unreadBeyondRequest(unread int) int {
	if c.inFlight == nil && !c.HasPendingMessage() {
		return unread
	}
	return max(0, unread-http1.MaxMessage)
}
