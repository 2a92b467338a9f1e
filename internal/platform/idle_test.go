package platform

import (
	"fmt"
	"testing"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
)

// inertConn is an active connection on which nothing happens.
type inertConn struct{ netpoll.Connection }

func (inertConn) Close() error   { return nil }
func (inertConn) IsActive() bool { return true }

// newIdlePool returns a pool that knows the given number of workers and has no connection, and the workers.
func newIdlePool(workers int) (*connPool, []*poolWorker) {
	f := newPoolFront()
	all := make([]*poolWorker, workers)
	for i := range all {
		name := fmt.Sprint("w-", i)
		all[i] = &poolWorker{name: name, address: name}
		f.pool.workers[name] = all[i]
	}
	return &f.pool, all
}

// newInertLink adds a connection to the pool on which nothing happens.
func newInertLink(p *connPool, w *poolWorker) *workerLink {
	l := &workerLink{Link: link.Link{Conn: inertConn{}, Peer: w.address}, front: p.front, worker: w}
	l.ref = p.links.Add(l)
	return l
}

// expectedClosed returns the connections that closeExpiredIdle must close, by examining all of them: those idle for
// longer than idleTimeout and, of workers with more than maxProbeIdleConns, those too old for jobs.
func expectedClosed(p *connPool) map[*workerLink]bool {
	expected, now := map[*workerLink]bool{}, p.front.loop.Now()
	for _, w := range p.workers {
		p.currentKeepAlive(w) // drops outdated estimates first, of any worker
	}
	for _, w := range p.workers {
		minIdleSince := now - p.currentKeepAlive(w)
		for i, l := range w.idle {
			if l.stateSince >= now-p.idleTimeout && (len(w.idle)-i <= maxProbeIdleConns || l.stateSince >= minIdleSince) {
				break
			}
			expected[l] = true
		}
	}
	return expected
}

// closeExpiredIdle and evict find their connections without a scan of all workers. They must choose the same ones as a
// full scan, whatever keep-alive estimates were made and dropped before.
func TestIdleConnectionsCloseAsInFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, workers := newIdlePool(6)
		now := p.front.loop.Now()
		var open []*workerLink
		since := now - 100*core.Second
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			w := rapid.SampledFrom(workers).Draw(t, "worker")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0: // the worker closes an idle connection early
				l := newInertLink(p, w)
				l.MessageCount, l.stateSince = 2, now-rapid.Int64Range(0, 20_000_000).Draw(t, "idle")
				p.recordEarlyClose(l)
			case 1: // its estimate becomes outdated
				if w.earlyCloserElem != nil {
					w.keepAliveSeenAt = now - 2*earlyCloseTTL
					p.idle.earlyClosers.MoveToFront(w.earlyCloserElem)
				}
			case 2:
				p.forgetKeepAlive(w)
			case 3: // the last used one is acquired for a call that may not begin, and stays idle as before
				if n := len(w.idle); n > 0 {
					l := w.idle[n-1]
					p.removeIdle(l)
					l.startCall(&call{mayBegin: func() bool { return false }})
				}
			case 4: // a connection ends
				if len(w.idle) > 0 {
					p.removeIdle(rapid.SampledFrom(w.idle).Draw(t, "ended"))
				}
			default:
				since = min(now, since+rapid.Int64Range(0, 5_000_000).Draw(t, "later"))
				l := newInertLink(p, w)
				l.becomeIdleSince(since)
				open = append(open, l)
			}
		}
		want := expectedClosed(p)
		p.closeExpiredIdle()
		for _, l := range open {
			if l.CloseReason != "" {
				assert.Equal(t, link.IdleTimeout, l.CloseReason)
			}
			assert.Equal(t, want[l], l.CloseReason != "", "idle for %d us", now-l.stateSince)
		}
		for more := true; more; {
			oldest := now + 1
			for _, w := range workers {
				for _, l := range w.idle {
					oldest = min(oldest, l.stateSince)
				}
			}
			if front := p.idle.order.Front(); front != nil {
				assert.Equal(t, oldest, front.Value.(*workerLink).stateSince)
			}
			more = p.evict()
		}
		assert.Zero(t, p.idle.order.Len())
		assert.Empty(t, p.idle.surplus)
	})
}

// evict and closeExpiredIdle must scan no more connections with 33,000 workers than with 1,000.
func TestIdleScanIsIndependentOfWorkerCount(t *testing.T) {
	for _, workers := range fleetSizes {
		p, all := newIdlePool(workers)
		now := p.front.loop.Now()
		const idle, due, evicted = 4000, 10, 100
		for i := range idle {
			since := now
			if i < due {
				since -= 2 * p.idleTimeout
			}
			newInertLink(p, all[i%workers]).becomeIdleSince(since)
		}
		p.closeExpiredIdle()
		assert.Equal(t, idle-due, p.idle.order.Len())
		assert.LessOrEqual(t, p.idle.scanned, uint64(due+2), "the expired ones and the next one of each order")
		p.idle.scanned = 0
		for range evicted {
			assert.True(t, p.evict())
		}
		assert.Equal(t, uint64(evicted), p.idle.scanned)
	}
}

// inUse must follow the calls that begin and end, and connections that end during a call.
func TestInUseCountsConnectionsWithCalls(t *testing.T) {
	p, workers := newIdlePool(1)
	a, b := newInertLink(p, workers[0]), newInertLink(p, workers[0])
	a.setCall(&call{})
	b.setCall(&call{})
	a.setCall(&call{})
	assert.Equal(t, 2, p.inUse)
	a.finishCall(true)
	a.setCall(nil)
	assert.Equal(t, 1, p.inUse)
	b.onEnded()
	assert.Zero(t, p.inUse)
}

// fleetSizes are the numbers of workers that are compared.
var fleetSizes = []int{1000, 33_000}

// BenchmarkEvict closes the longest idle connection while another one becomes idle.
func BenchmarkEvict(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			p, all := newIdlePool(workers)
			for i := range 4000 {
				newInertLink(p, all[i%workers]).becomeIdle()
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				l := newInertLink(p, all[n%workers])
				l.becomeIdle()
				p.evict()
				p.links.Free(l.ref)
				n++
			}
		})
	}
}

// BenchmarkSweepOfIdleConnections runs closeExpiredIdle with 4,000 idle connections, none of them expired, and 4,000 in
// use.
func BenchmarkSweepOfIdleConnections(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			p, all := newIdlePool(workers)
			for i := range 4000 {
				newInertLink(p, all[i%workers]).becomeIdle()
				newInertLink(p, all[i%workers]).setCall(&call{})
			}
			b.ReportAllocs()
			for b.Loop() {
				p.closeExpiredIdle()
			}
		})
	}
}
