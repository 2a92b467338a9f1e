package platform

import (
	"sync/atomic"

	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
)

// callbackReserve is a small number of connections beside those that clients may use. A new connection that all limits would
// turn away is accepted on it, so that what it brings is read: a callback is served, since it ends a job and frees a
// connection, and a job is refused. Such a connection is closed after its first message, or if it brings nothing within
// firstRequestGrace.
type callbackReserve struct {
	limit atomic.Int64
	used  atomic.Int64 // connections, those included that are closing
}

// acquire takes a place and reports whether one was free. The poller and the loop call it.
func (r *callbackReserve) acquire() bool {
	for n := r.used.Load(); n < r.limit.Load(); n = r.used.Load() {
		if r.used.CompareAndSwap(n, n+1) {
			return true
		}
	}
	return false
}

// moveToReserve lets a new connection over the clients' budget stay on the callback reserve, and reports whether it can. If no
// place is free, it gets the one of the connection on the reserve that has been silent for the longest time.
func (f *Front) moveToReserve(c *clientConn) bool {
	if c.isOnReserve {
		return true // since it was accepted
	}
	if !f.callbackReserve.acquire() {
		silent := f.longestSilentOnReserve()
		if silent == nil {
			return false
		}
		silent.isOnReserve = false // the place is the new connection's at once
		silent.Close(link.OverBudget)
	}
	c.isOnReserve = true
	f.closeIfSilentAfterGrace(c)
	return true
}

// longestSilentOnReserve returns the oldest connection on the callback reserve that has brought nothing; nil: none.
func (f *Front) longestSilentOnReserve() (oldest *clientConn) {
	f.clients.Each(func(_ core.Ref, c *clientConn) {
		if c.isOnReserve && !c.ClosedLocally && c.CloseReason == "" && c.isSilent() && (oldest == nil || c.Opened < oldest.Opened) {
			oldest = c
		}
	})
	return oldest
}

// closeIfSilentAfterGrace closes a connection on the callback reserve if it brings nothing within firstRequestGrace.
func (f *Front) closeIfSilentAfterGrace(c *clientConn) {
	f.loop.At(c.Opened+firstRequestGrace, func() {
		if !c.Ended && c.CloseReason == "" && c.isSilent() {
			c.Close(link.OverBudget)
		}
	})
}

// isSilent reports whether nothing has arrived on the connection.
func (c *clientConn) isSilent() bool { return c.MessageCount == 0 && c.UnreadBytes() == 0 }
