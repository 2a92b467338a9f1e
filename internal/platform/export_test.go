package platform

import (
	"slices"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"cobaltflow/internal/core"
	"cobaltflow/internal/discovery"
)

// HoldDials has each connection to a worker wait, once it is up, until the test lets it go. It is called on the loop.
// The channel gives the address of each that is up.
func (f *Front) HoldDials(t *testing.T) (up chan string, letGo chan struct{}) {
	f.pool.dial, up, letGo = newHeldDialer(t)
	return up, letGo
}

// HoldWatchDials is HoldDials for the connections to discovery.
func (f *Front) HoldWatchDials(t *testing.T) (up chan string, letGo chan struct{}) {
	f.watch.dial, up, letGo = newHeldDialer(t)
	return up, letGo
}

// WatchSilence is how long a watch may be silent.
const WatchSilence = watchSilenceTimeout

// WatchSilentFor is for how long the watch has not been heard, by the loop's clock. It is called on the loop.
func (f *Front) WatchSilentFor() core.Time { return f.loop.Now() - f.watch.lastReceived }

// WatchFailures is how many calls to discovery have failed in a row. It is called on the loop.
func (f *Front) WatchFailures() int { return f.watch.failures }

func newHeldDialer(t *testing.T) (dial dialFunc, up chan string, letGo chan struct{}) {
	up, letGo = make(chan string, 16), make(chan struct{}, 16)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	dial = func(address string, within time.Duration) (netpoll.Connection, error) {
		nc, err := dialTCP(address, within)
		up <- address
		select {
		case <-letGo:
		case <-ended:
		}
		return nc, err
	}
	return dial, up, letGo
}

// BreakIdle has the next write on each idle connection to a worker fail in the call itself, as on one that the worker
// has closed and that nobody has noticed yet. It is called on the loop.
func (f *Front) BreakIdleConns(t *testing.T) {
	for _, w := range f.pool.workers {
		for _, l := range w.idle {
			if err := unix.Shutdown(l.Conn.(netpoll.Conn).Fd(), unix.SHUT_WR); err != nil {
				t.Error(err)
			}
		}
	}
}

// Idle is the number of idle connections to workers.
func (f *Front) IdleConns() (n int) {
	for _, w := range f.pool.workers {
		n += len(w.idle)
	}
	return n
}

// JustRested has the idle connections to workers count as used a moment ago. It is called on the loop.
func (f *Front) MarkIdleConnsJustUsed() {
	for _, w := range f.pool.workers {
		for _, l := range slices.Clone(w.idle) {
			f.pool.removeIdle(l)
			l.becomeIdleSince(f.loop.Now() + core.Second)
		}
	}
}

// Crossing has a function called between the last look at a client's resting connection and its end. It is called on the loop.
func (f *Front) SetBeforeIdleClose(between func()) { f.beforeIdleClose = between }

// Clients gives how many accepted connections the loop knows of, how many hold unread bytes, and on how many a whole
// message waits. It is called on the loop.
func (f *Front) ClientCounts() (known, unread, inHand int) {
	f.clients.Each(func(_ core.Ref, a *clientConn) {
		known++
		if a.Conn.Reader().Len() > 0 {
			unread++
		}
		if a.HasPendingMessage() {
			inHand++
		}
	})
	return known, unread, inHand
}

// Accepted is the number of connections that the poller has accepted, those too that the loop has not heard of.
func (f *Front) AcceptedConns() int { return int(f.acceptedConns.Load()) }

// Dials is the number of connections to workers that are not up yet.
func (f *Front) PendingDials() int { return f.pool.pendingDials }

// FailedCalls has so many calls to discovery in a row count as failed before the present one. It is called on the loop.
func (f *Front) SetWatchFailures(n int) { f.watch.failures = n }

// Knows tells whether a worker of the name has an address. It is called on the loop.
func (f *Front) KnowsWorker(worker string) bool { return f.pool.workers[worker] != nil }

// LimitLists sets the bounds of the lists that are read on connections to discovery from now on. It is called on the loop.
func (f *Front) SetListLimits(limits discovery.Limits) { f.listLimits = limits }
