package platform

import (
	"container/list"
	"context"
	"time"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/core"
	"cobaltflow/internal/discovery"
	"cobaltflow/internal/http1"
	"cobaltflow/internal/link"
	"cobaltflow/rules"
)

const defaultConnectTimeout = 150 * core.Millisecond // without a connect timeout in the settings

// connPool holds the connections to the workers. A connection has one call in progress at most and is kept open between
// calls.
type connPool struct {
	front          *Front
	workers        map[string]*poolWorker
	links          core.SlotMap[*workerLink]
	pendingDials   int // connections that are being established
	dial           dialFunc
	idleTimeout    core.Time // after which an idle connection is closed
	connectTimeout core.Time
	idle           idleLinks
	inUse          int // connections with a call on them

	listUpdates      uint64    // updates of the worker list so far
	removals         []removal // workers removed from the list, in the order of their removal
	removedRetention core.Time // how long a removed worker is remembered
}

// poolWorker is a worker that the pool knows, with its idle connections.
type poolWorker struct {
	name, address string
	idle          []*workerLink // the most recently used one last

	keepAlive       core.Time     // estimate of how long it keeps idle connections open; 0: none, see connPool.keepAliveOf
	keepAliveSeenAt core.Time     // when that was last observed
	earlyCloserElem *list.Element // its element of idleLinks.earlyClosers; nil: it is not among them
	startedAt       core.Time     // start of the worker's process

	lastListed uint64    // number of the last list update that contained it
	removedAt  core.Time // when it was removed from the list; 0: it is listed

	surplusDue   core.Time // with surplus idle connections: when the oldest one becomes too old for jobs
	surplusIndex int       // its position in idleLinks.surplus, from 1; 0: it is not in it
}

// call is one request on a connection to a worker: an attempt, a probe, or the cancellation of an attempt.
type call struct {
	message      []byte                                // set by onBegin at the latest
	onBegin      func(l *workerLink)                   // a connection was found; the message is about to be written
	onWritten    func(err error)                       // the message was written or the write failed; may be nil
	onResponse   func(r *http1.Response)               // the response has arrived
	onFailed     func(reason string, mayHaveRead bool) // no response will arrive
	timeout      *core.Timer
	isIdempotent bool        // the message may be sent twice
	isOnceOnly   bool        // an attempt at a request that must not run twice
	needsNewConn bool        // idle connections must not be used
	isWanted     func() bool // whether the call is still needed; nil: it is
	mayBegin     func() bool // whether the call may still begin, checked just before its first byte is sent; nil: it may
	onAcquire    func()      // a connection is being acquired and nothing of the message has been sent; may be nil
	isWritten    bool        // the last byte of the message was written
	connEnded    bool        // the connection ended before the writer was done
}

func newConnPool(f *Front) connPool {
	// A worker may close a connection at the end of the configured idle time. A request that is sent at that moment ends
	// in a reset and may have run, so the pool closes its idle connections earlier: by a fifth of the time or by 2 s (by
	// half of the time if that is less), whichever is more.
	idle := f.conf.Names.ConnIdleTimeout
	connect := f.conf.Settings.ConnectTimeout
	if connect <= 0 {
		connect = defaultConnectTimeout
	}
	return connPool{front: f, workers: map[string]*poolWorker{}, dial: dialTCP, connectTimeout: connect,
		idleTimeout: idle - max(idle/5, min(idle/2, 2*core.Second)), removedRetention: removedRetentionFor(f.conf.Settings.Classes)}
}

// dialFunc opens a connection and blocks until that has succeeded, failed or timed out.
type dialFunc func(address string, timeout time.Duration) (netpoll.Connection, error)

func dialTCP(address string, timeout time.Duration) (netpoll.Connection, error) {
	return netpoll.DialConnection("tcp", address, timeout)
}

// updateWorkers takes over the addresses of a worker list update. The keep-alive estimate of a process that has ended
// or restarted is dropped, since its connections ended with it.
func (p *connPool) updateWorkers(update *discovery.Update) {
	for i := range update.Workers {
		entry, address := &update.Workers[i], update.Addresses[i]
		w := p.workers[entry.Name]
		if w == nil {
			if entry.State != rules.Gone {
				p.workers[entry.Name] = &poolWorker{name: entry.Name, address: address, startedAt: entry.StartedAt}
			}
			continue
		}
		if entry.State == rules.Gone || entry.StartedAt != w.startedAt {
			w.startedAt = entry.StartedAt
			p.forgetKeepAlive(w)
		}
		if entry.State != rules.Gone && w.address != address {
			w.address = address
			for len(w.idle) > 0 {
				p.closeIdle(w.idle[0], link.AddressChanged)
			}
		}
	}
	p.recordRemovals(update)
}

// refusedIdleConns returns how many idle connections the worker has on which a request was refused.
func (w *poolWorker) refusedIdleConns() (n int) {
	for _, l := range w.idle {
		if l.hasRefused {
			n++
		}
	}
	return n
}

// acquireConn starts the call on an idle connection to the worker that can carry it, the most recently used first, or dials a
// new one. A call that must not be sent twice never gets a connection that has been idle for longer than the worker is
// known to keep one open.
func (c *call) acquireConn(f *Front, w *poolWorker) {
	p := &f.pool
	minIdleSince := f.loop.Now() - p.currentKeepAlive(w)
	if c.onAcquire != nil {
		c.onAcquire()
	}
	for i := len(w.idle) - 1; i >= 0 && !c.needsNewConn; i-- {
		l := w.idle[i]
		if !c.isIdempotent && l.stateSince < minIdleSince {
			break
		}
		if !l.canCarry(c) {
			continue
		}
		p.removeIdle(l)
		if l.Ended || l.CloseReason != "" || !l.Conn.IsActive() {
			continue
		}
		l.startCall(c)
		return
	}
	if p.links.Len()+p.pendingDials >= f.budget.workers && !p.evict() {
		f.log.Warn("worker connection limit reached, call not sent", "worker", w.name)
		f.loop.Post(func() { c.onFailed(link.OverBudget, false) })
		return
	}
	p.pendingDials++
	address, start, dial := w.address, f.loop.Now(), p.dial
	go func() { // a dial blocks and must not run on the loop
		nc, err := dial(address, time.Duration(p.connectTimeout)*time.Microsecond)
		f.loop.Post(func() {
			p.pendingDials--
			if err != nil {
				f.recordDialFailure("worker", address, f.loop.Now()-start)
				if c.isWanted == nil || c.isWanted() {
					c.onFailed(link.ConnectFailed, false)
				}
				return
			}
			f.recordDialSuccess(address)
			l := p.addLink(nc, w, address)
			if address != w.address { // the worker's address has changed meanwhile
				l.Close(link.AddressChanged)
				c.onFailed(link.AddressChanged, false)
				return
			}
			l.startCall(c)
		})
	}()
}

// addLink adds an established connection to the pool. It is neither idle nor in use yet.
func (p *connPool) addLink(nc netpoll.Connection, w *poolWorker, address string) *workerLink {
	l := &workerLink{front: p.front, worker: w, stateSince: p.front.loop.Now()}
	l.Init(nc, "worker", address, p.front.loop.Now())
	l.ref = p.links.Add(l)
	nc.SetOnRequest(func(context.Context, netpoll.Connection) error { return l.readResponse() })
	nc.AddCloseCallback(func(netpoll.Connection) error {
		p.front.loop.Post(l.onEnded)
		return nil
	})
	if !nc.IsActive() { // the connection ended before the callback was registered
		p.front.loop.Post(l.onEnded)
	}
	return l
}

// close closes all connections.
func (p *connPool) close() {
	p.links.Each(func(_ core.Ref, l *workerLink) { l.Close(link.Shutdown) })
}
