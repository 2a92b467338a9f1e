package http2

import (
	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/core"
)

// ReplaceListener sets the listener that Close closes to the result of replace. It is called on the loop.
func (f *Front) ReplaceListener(replace func(netpoll.Listener) netpoll.Listener) {
	f.Listener = replace(f.Listener)
}

// SetFinalGoAwayDelay sets the time between the two GOAWAYs of a drain. It is called on the loop.
func (f *Front) SetFinalGoAwayDelay(delay core.Time) { f.limits.FinalGoAwayDelay = delay }

// SetStallTimeout sets the time for which a window may hold back data without progress. It is called on the loop.
func (f *Front) SetStallTimeout(timeout core.Time) { f.limits.StallTimeout = timeout }

// QueuedBytes returns the most bytes that a connection's client has not taken. It is called on the loop.
func (f *Front) QueuedBytes() (most int64) {
	f.conns.Each(func(_ core.Ref, c *conn) { most = max(most, c.Link.QueuedBytes()) })
	return most
}
