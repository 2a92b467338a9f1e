package link

import "github.com/cloudwego/netpoll"

// FrontListener is the draining listener of a front, with the part of the front's end that concerns it. A front embeds it and
// sets it when it starts; package gateway closes the listener through the front, before the front's connections. All methods run
// on the loop.
type FrontListener struct {
	// Listener is what CloseListener closes: DrainingListener, unless a test has put a hook before it.
	Listener         netpoll.Listener
	DrainingListener *DrainingListener
}

// NewFrontListener returns a front's listener that drains before it closes.
func NewFrontListener(d *DrainingListener) FrontListener {
	return FrontListener{Listener: d, DrainingListener: d}
}

// CloseListener begins the drain of the listener, which closes when its accept queue is empty. hasOneSuccessor says that
// exactly one other process listens at the address, which gets the new connections.
func (l *FrontListener) CloseListener(hasOneSuccessor bool) {
	if hasOneSuccessor {
		l.DrainingListener.SteerToSuccessor()
	}
	l.Listener.Close()
}

// IsListenerClosed reports whether the listener's drain is complete and every connection that came out of it is registered.
func (l *FrontListener) IsListenerClosed() bool {
	return l.DrainingListener.IsClosed() && !l.DrainingListener.HasPendingAccepts()
}
