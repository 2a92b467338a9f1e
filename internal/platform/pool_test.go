package platform

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/discovery"
	"cobaltflow/internal/link"
	"cobaltflow/rules"
)

// newPoolFront returns a front of which only the pool of connections to workers works.
func newPoolFront() *Front {
	f := &Front{loop: core.NewLoop(), log: slog.New(slog.DiscardHandler), conf: &config.Config{Names: config.Names{ConnIdleTimeout: 60_000_000}}}
	f.budget.workers = 9
	f.pool = newConnPool(f)
	return f
}

// Some workers close idle connections after a fraction of a second, some of them only when the next request arrives. A
// job that must not run twice is lost by such a close, so it must not get a connection that was idle for as long.
func TestJobsAvoidConnectionsPastKeepAlive(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	f := newPoolFront()
	p, now := &f.pool, f.loop.Now()
	address := ln.Addr().String()
	a, b, c := &poolWorker{name: "a", address: address}, &poolWorker{name: "b"}, &poolWorker{name: "c"}
	p.workers["a"] = a
	recordEnd := func(w *poolWorker, messages int, idle, used core.Time, busy bool) {
		l := &workerLink{Link: link.Link{MessageCount: messages}, front: f, worker: w, stateSince: now - idle}
		if busy {
			l.call, l.idleBeforeUse, l.stateSince = &call{}, idle, now-used
		}
		p.recordEarlyClose(l)
	}
	recordEnd(a, 2, 700*core.Millisecond, core.Second, true)
	assert.Equal(t, p.idleTimeout, p.currentKeepAlive(a), "broke long after the request: not stale")
	recordEnd(a, 1, 700*core.Millisecond, 0, true)
	assert.Equal(t, p.idleTimeout, p.currentKeepAlive(a), "broke at its first call: not stale")
	recordEnd(a, 1, 500*core.Millisecond, 0, false)
	recordEnd(a, 2, 200*core.Millisecond, core.Millisecond, true)
	assert.Equal(t, 120*core.Millisecond, p.currentKeepAlive(a))
	assert.Equal(t, p.idleTimeout, p.currentKeepAlive(c), "one early closer does not count for all workers")
	recordEnd(b, 1, 100*core.Millisecond, 0, false)
	assert.Equal(t, 300*core.Millisecond, p.currentKeepAlive(c), "two do, by the longer of their estimates")

	nc, err := netpoll.DialConnection("tcp", address, time.Second)
	require.NoError(t, err)
	l := p.addLink(nc, a, address)
	l.becomeIdleSince(now - 130*core.Millisecond)
	k := &call{onBegin: func(*workerLink) {}}
	k.acquireConn(f, a)
	assert.Equal(t, 1, p.pendingDials, "an attempt gets a new connection")
	k = &call{isIdempotent: true, onBegin: func(*workerLink) {}}
	k.acquireConn(f, a)
	assert.Same(t, k, l.call, "a probe may use the idle connection")

	for range 4 {
		more, err := netpoll.DialConnection("tcp", address, time.Second)
		require.NoError(t, err)
		old := p.addLink(more, a, address)
		old.becomeIdleSince(now - 130*core.Millisecond)
	}
	p.closeExpiredIdle()
	assert.Len(t, a.idle, maxProbeIdleConns, "the others would accumulate unused")

	p.updateWorkers(&discovery.Update{Workers: []core.ListedWorker{{Name: "a", State: rules.Ready, StartedAt: 7}}, Addresses: []string{address}})
	assert.Equal(t, p.idleTimeout, p.currentKeepAlive(a), "nothing is known of a restarted process")
}

// A connection on which a request was refused carries no attempt that must not run twice, one that may be repeated only once a
// second refusal is no longer to be expected, and probes at any time. A worker keeps few of them.
func TestConnectionsThatRefusedAreKeptFromAttempts(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	f := newPoolFront()
	p, now, address := &f.pool, f.loop.Now(), ln.Addr().String()
	w := &poolWorker{name: "a", address: address}
	p.workers["a"] = w
	addIdle := func(hasRefused bool, refusedAt core.Time) *workerLink {
		nc, err := netpoll.DialConnection("tcp", address, time.Second)
		require.NoError(t, err)
		l := p.addLink(nc, w, address)
		l.hasRefused, l.refusedAt = hasRefused, refusedAt
		l.becomeIdleSince(now)
		return l
	}
	unused, rested, recent := addIdle(false, 0), addIdle(true, now-duplicateAnswerWindow), addIdle(true, now)
	surplus := addIdle(true, now-duplicateAnswerWindow)
	assert.True(t, surplus.ClosedLocally, "a third one is closed")
	assert.Len(t, w.idle, 3)
	for _, want := range []struct {
		call *call
		link *workerLink
	}{
		{&call{isIdempotent: true}, recent},
		{&call{}, rested},
		{&call{isOnceOnly: true}, unused},
	} {
		want.call.onBegin = func(*workerLink) {}
		want.call.acquireConn(f, w)
		assert.Same(t, want.call, want.link.call)
	}
	assert.Zero(t, p.pendingDials)
	addIdle(true, now)
	for _, c := range []*call{{isOnceOnly: true}, {}} {
		c.acquireConn(f, w)
	}
	assert.Equal(t, 2, p.pendingDials, "no connection is left for attempts")
	assert.Len(t, w.idle, 1)
}
