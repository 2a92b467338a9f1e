package platform

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"cobaltflow/internal/core"
	"cobaltflow/internal/discovery"
	"cobaltflow/internal/link"
)

// HoldDials makes each dial to a worker wait, once its connection is established, until the test sends on release. The
// address of each established connection is sent on connected. It is called on the loop.
func (f *Front) HoldDials(t *testing.T) (connected chan string, release chan struct{}) {
	f.pool.dial, connected, release = newHeldDialer(t)
	return connected, release
}

// HoldWatchDials is HoldDials for the connections to discovery.
func (f *Front) HoldWatchDials(t *testing.T) (connected chan string, release chan struct{}) {
	f.watch.dial, connected, release = newHeldDialer(t)
	return connected, release
}

// WatchSilence is the time without input after which a watch is reopened.
const WatchSilence = watchSilenceTimeout

// WatchSilentFor returns the time since the watch last received something, by the loop's clock. It is called on the loop.
func (f *Front) WatchSilentFor() core.Time { return f.loop.Now() - f.watch.lastReceived }

// WatchFailures returns the number of calls to discovery that have failed in a row. It is called on the loop.
func (f *Front) WatchFailures() int { return f.watch.failures }

// newHeldDialer returns a dialer for HoldDials. Dials that are still held at the end of the test are released.
func newHeldDialer(t *testing.T) (dial dialFunc, connected chan string, release chan struct{}) {
	connected, release = make(chan string, 16), make(chan struct{}, 16)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	dial = func(address string, within time.Duration) (netpoll.Connection, error) {
		nc, err := dialTCP(address, within)
		connected <- address
		select {
		case <-release:
		case <-ended:
		}
		return nc, err
	}
	return dial, connected, release
}

// BreakIdleConns makes the next write on each idle connection to a worker fail immediately, like a write on a connection
// that the worker has closed unnoticed. It is called on the loop.
func (f *Front) BreakIdleConns(t *testing.T) {
	for _, w := range f.pool.workers {
		for _, l := range w.idle {
			if err := unix.Shutdown(l.Conn.(netpoll.Conn).Fd(), unix.SHUT_WR); err != nil {
				t.Error(err)
			}
		}
	}
}

// IdleConns returns the number of idle connections to workers. It is called on the loop.
func (f *Front) IdleConns() (n int) {
	for _, w := range f.pool.workers {
		n += len(w.idle)
	}
	return n
}

// MarkIdleConnsJustUsed makes the idle connections to workers count as used a moment ago. It is called on the loop.
func (f *Front) MarkIdleConnsJustUsed() {
	for _, w := range f.pool.workers {
		for _, l := range slices.Clone(w.idle) {
			f.pool.removeIdle(l)
			l.becomeIdleSince(f.loop.Now() + core.Second)
			l.refusedAt = f.loop.Now() + core.Second
		}
	}
}

// SetBeforeIdleClose sets a function that runs between the check that a client's connection is idle and its close. It is
// called on the loop.
func (f *Front) SetBeforeIdleClose(hook func()) { f.beforeIdleClose = hook }

// ClientCounts returns the number of accepted connections that are registered on the loop, how many of them have unread
// bytes, and how many have a complete message that waits for the loop. It is called on the loop.
func (f *Front) ClientCounts() (registered, unread, complete int) {
	f.clients.Each(func(_ core.Ref, c *clientConn) {
		registered++
		if c.UnreadBytes() > 0 {
			unread++
		}
		if c.HasPendingMessage() {
			complete++
		}
	})
	return registered, unread, complete
}

// AcceptedConns returns the number of open connections that the poller has accepted, including those that are not
// registered on the loop yet.
func (f *Front) AcceptedConns() int { return int(f.acceptedConns.Load()) }

// PendingDials returns the number of connections to workers that are being established. It is called on the loop.
func (f *Front) PendingDials() int { return f.pool.pendingDials }

// SetWatchFailures sets the number of calls to discovery that count as failed in a row before the present one. It is called
// on the loop.
func (f *Front) SetWatchFailures(n int) { f.watch.failures = n }

// ListEndpointsRead returns how many endpoints have been read on the present connection to discovery.
func (f *Front) ListEndpointsRead() uint64 { return f.watch.stream.reader.DecodedEndpoints() }

// KnowsWorker reports whether the pool has an address for the named worker. It is called on the loop.
func (f *Front) KnowsWorker(worker string) bool { return f.pool.workers[worker] != nil }

// SetListLimits sets the bounds of the lists that are read on connections to discovery opened from now on. It is called on
// the loop.
func (f *Front) SetListLimits(limits discovery.Limits) { f.listLimits = limits }

// ReplaceListener sets the listener that the shutdown closes to the result of replace. It is called on the loop.
func (f *Front) ReplaceListener(replace func(netpoll.Listener) netpoll.Listener) {
	f.listener = replace(f.listener)
}

// SetAfterAccept sets a function that runs between the accept of a connection and its count. It is called on the poller.
func (f *Front) SetAfterAccept(hook func()) { f.afterAccept.Store(&hook) }

// hookedListener is a front's listener with another address or with a step before its close.
type hookedListener struct {
	netpoll.Listener
	address     net.Addr
	beforeClose func()
}

// Addr implements net.Listener.
func (l hookedListener) Addr() net.Addr { return l.address }

// Close implements net.Listener.
func (l hookedListener) Close() error {
	l.beforeClose()
	return l.Listener.Close()
}

// SetSharedAddress sets the address that Address returns, at which the scheduler's other processes listen too. It is called
// on the loop.
func (f *Front) SetSharedAddress(address net.Addr) {
	f.listener = hookedListener{f.listener, address, func() {}}
}

// SetBeforeListenerClose sets a function that runs just before the listener is closed. It is called on the loop.
func (f *Front) SetBeforeListenerClose(hook func()) {
	f.listener = hookedListener{f.listener, f.listener.Addr(), hook}
}

// MaxForwarding is the number of callbacks that are forwarded at a time.
const MaxForwarding = maxForwarding

// Forwarding returns the number of callbacks that are being forwarded. It is called on the loop.
func (f *Front) Forwarding() int { return f.forwards.active }

// QueuedForwards returns the number of callbacks that wait to be forwarded, and its bound. It is called on the loop.
func (f *Front) QueuedForwards() (queued, bound int) {
	return len(f.forwards.waiting), min(maxQueuedForwards, f.budget.clients/2)
}

// SetOffer replaces the function that offers a forwarded callback to the other processes. It is called on the loop.
func (f *Front) SetOffer(offer func(message []byte) bool) {
	f.forwards.offer = func(_ string, message []byte) bool { return offer(message) }
}

// RefusedCallbacks returns the number of callbacks that were refused since no process is known to have their job. It is
// called on the loop.
func (f *Front) RefusedCallbacks() uint64 { return f.unknownCallbacks }

// AwaitingScan returns the number of callbacks that wait for a scan for other processes. It is called on the loop.
func (f *Front) AwaitingScan() int { return len(f.othersCheck.current) + len(f.othersCheck.next) }

// SetOthersCheckTimeout sets the longest wait for a scan for other processes. It is called on the loop.
func (f *Front) SetOthersCheckTimeout(timeout time.Duration) {
	f.othersCheck.timeout = timeout.Microseconds()
}

// ConnLimits returns the budget of client connections and the number of connections that the poller accepts at present. It is
// called on the loop.
func (f *Front) ConnLimits() (budget, accepted int) {
	f.updateAcceptLimit()
	return f.budget.clients, int(f.acceptLimit.Load())
}

// CallbackReserve returns the number of places of the callback reserve that are used, and of all. It is called on the loop.
func (f *Front) CallbackReserve() (used, limit int) {
	return int(f.callbackReserve.used.Load()), int(f.callbackReserve.limit.Load())
}

// RegisteredOnReserve returns the number of connections on the callback reserve that the loop knows and that are not closing. It
// is called on the loop.
func (f *Front) RegisteredOnReserve() (n int) {
	f.clients.Each(func(_ core.Ref, c *clientConn) {
		if c.isOnReserve && !c.ClosedLocally && c.CloseReason == "" {
			n++
		}
	})
	return n
}

// Sweep runs one more sweep at once. It is called on the loop.
func (f *Front) Sweep() { f.sweep() }

// EndingAsFlooding returns how many clients' connections end since too much came on them. It is called on the loop.
func (f *Front) EndingAsFlooding() (n int) {
	f.clients.Each(func(_ core.Ref, c *clientConn) {
		if c.CloseReason == link.Flooding {
			n++
		}
	})
	return n
}

// EvictableClients returns how many clients' connections may be closed for others, of those that are not closing. It is called on the
// loop.
func (f *Front) EvictableClients() (n int) {
	f.clients.Each(func(_ core.Ref, c *clientConn) {
		if c.CloseReason == "" && c.evictionRank() < busyRank {
			n++
		}
	})
	return n
}

// LargestUnread returns the most bytes that a client's connection has unread. It is called on the loop.
func (f *Front) LargestUnread() (bytes int) {
	f.clients.Each(func(_ core.Ref, c *clientConn) { bytes = max(bytes, c.UnreadBytes()) })
	return bytes
}
