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

// On stale days workers end kept connections after a fraction of a second, some only as the next request
// comes. A job that must not run twice is lost to such a close, so it gets no connection idle for as long.
func TestKeptConnectionsAreNotTrustedPastWhatAWorkerKeeps(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	f := &Front{loop: core.NewLoop(), log: slog.New(slog.DiscardHandler), conf: &config.Config{Names: config.Names{ConnIdle: 60_000_000}}}
	f.budget.workers = 9
	f.pool = newPool(f)
	p, now := &f.pool, f.loop.Now()
	address := ln.Addr().String()
	a, b, c := &workerLinks{name: "a", address: address}, &workerLinks{name: "b"}, &workerLinks{name: "c"}
	p.workers["a"] = a
	ended := func(w *workerLinks, messages int, idle, used core.Time, busy bool) {
		l := &workerLink{Link: link.Link{Count: messages}, f: f, worker: w, since: now - idle}
		if busy {
			l.call, l.rested, l.since = &call{}, idle, now-used
		}
		p.closedEarly(l)
	}
	ended(a, 2, 700*core.Millisecond, core.Second, true)
	assert.Equal(t, p.idleFor, p.keepsFor(a), "it broke long after the request: no stale one")
	ended(a, 1, 700*core.Millisecond, 0, true)
	assert.Equal(t, p.idleFor, p.keepsFor(a), "it was new")
	ended(a, 1, 500*core.Millisecond, 0, false)
	ended(a, 2, 200*core.Millisecond, core.Millisecond, true)
	assert.Equal(t, 120*core.Millisecond, p.keepsFor(a))
	assert.Equal(t, p.idleFor, p.keepsFor(c), "one worker does not speak for all")
	ended(b, 1, 100*core.Millisecond, 0, false)
	assert.Equal(t, 300*core.Millisecond, p.keepsFor(c), "two do, by the longer of what they showed")

	nc, err := netpoll.DialConnection("tcp", address, time.Second)
	require.NoError(t, err)
	l := p.add(nc, a, address)
	l.restSince(now - 130*core.Millisecond)
	k := &call{begin: func(*workerLink) {}}
	k.wanted(f, a)
	assert.Equal(t, 1, p.dials, "a pass gets a new one")
	k = &call{safe: true, begin: func(*workerLink) {}}
	k.wanted(f, a)
	assert.Same(t, k, l.call, "a probe may try the kept one")

	for range 4 {
		more, err := netpoll.DialConnection("tcp", address, time.Second)
		require.NoError(t, err)
		old := p.add(more, a, address)
		old.restSince(now - 130*core.Millisecond)
	}
	p.retire()
	assert.Len(t, a.idle, probesKeep, "the others would pile up unused")

	p.addresses(&discovery.Update{Workers: []core.ListedWorker{{Name: "a", State: rules.Ready, StartedAt: 7}}, Addresses: []string{address}})
	assert.Equal(t, p.idleFor, p.keepsFor(a), "a process started anew has shown nothing yet")
}
