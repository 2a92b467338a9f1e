package platform

import "cobaltflow/internal/link"

// A request is read when it is whole and there is memory for it; until then it is in the kernel. So only the requests in hand are
// bounded here, and how much a client may pipeline behind one: what fills the kernel's buffer hides the client's end.

// inputMemoryShare is the part of the memory that requests in hand may take.
const inputMemoryShare = 8

// MaxInputBytes returns the bytes that requests in hand may take.
func (f *Front) MaxInputBytes() int { return f.Limits().MemoryMB << 20 / inputMemoryShare }

// endPipelining lets a connection on which too much is pipelined behind the request in hand end with the answer to that one. The
// pipelined requests are not served: their client sends them again, as after any close.
func (c *clientConn) endPipelining() {
	if c.inFlight != nil && c.CloseReason == "" && c.UnreadBytes() > link.MaxReadAheadBytes {
		c.CloseReason = link.Flooding
	}
}
