package http2

import "github.com/cloudwego/netpoll"

// ReplaceListener sets the listener that Close closes to the result of replace. It is called on the loop.
func (f *Front) ReplaceListener(replace func(netpoll.Listener) netpoll.Listener) {
	f.Listener = replace(f.Listener)
}
