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

// pool holds the connections to the workers. Each carries one request at a time and is kept.
type connPool struct {
	f              *Front
	workers        map[string]*poolWorker
	links          core.SlotMap[*workerLink]
	pendingDials   int
	dial           dialFunc
	idleTimeout    core.Time
	connectTimeout core.Time
	idle           idleLinks
	inUse          int // connections with a call on them

	listUpdates      uint64    // of the list, so far
	removals         []removal // workers off the list, in the order in which they left it
	removedRetention core.Time // so long they stay known
}

type poolWorker struct {
	name, address string
	idle          []*workerLink // the last used is last

	keepAlive       core.Time     // it closes connections that have been idle for little more; 0: not seen to
	keepAliveSeenAt core.Time     // when that was last seen
	earlyCloserElem *list.Element // its place among the workers that do; nil: it has none
	startedAt       core.Time     // its process's

	lastListed uint64    // the last update of the list that held it
	removedAt  core.Time // when it left the list; 0: it has not

	surplusDue   core.Time // where it is crowded: when its oldest idle connection may carry no job any more
	surplusIndex int       // its place in the heap of crowded workers, from 1; 0: it is not
}

// call is one request on a connection: a pass, a probe, or the withdrawal of a pass.
type call struct {
	message           []byte
	onBegin           func(l *workerLink)                   // a connection was found, the message is being written
	onWritten         func(err error)                       // it has been written, or could not be
	onResponse        func(r *http1.Response)               // the answer came
	onRefused         func(load rules.Load)                 // the answer was that it is not begun; nil: got is told that too
	onFailed          func(reason string, mayHaveRead bool) // there will be none
	timeout           *core.Timer
	isIdempotent      bool        // it may be sent twice
	needsNewConn      bool        // only a new connection will do
	isWanted          func() bool // whether it is wanted yet; nil: it is
	mayBegin          func() bool // whether it may begin now, asked as its first byte is about to leave; nil: it may
	onDial            func()      // it waits for a new connection, nothing of it has left
	isAnswerAmbiguous bool        // its answer may be a second one to the request before
	isWritten         bool
	connEnded         bool // the connection went while the writer was still at it
}

func newConnPool(f *Front) connPool {
	// A worker may close a connection at the end of its idle time, and a request that crosses the close
	// is a reset that may have run: ours are retired well before.
	idle := f.conf.Names.ConnIdle
	connect := f.conf.Settings.ConnectTimeout
	if connect <= 0 {
		connect = 150 * core.Millisecond
	}
	return connPool{f: f, workers: map[string]*poolWorker{}, dial: dialTCP, connectTimeout: connect,
		idleTimeout: idle - max(idle/5, min(idle/2, 2*core.Second)), removedRetention: removedRetentionFor(f.conf.Settings.Classes)}
}

// dialer opens a connection, and blocks meanwhile.
type dialFunc func(address string, within time.Duration) (netpoll.Connection, error)

func dialTCP(address string, within time.Duration) (netpoll.Connection, error) {
	return netpoll.DialConnection("tcp", address, within)
}

// addresses takes the addresses of a list. Of a process that has gone or was started anew nothing is
// believed any more: its connections ended with it.
func (p *connPool) updateWorkers(update *discovery.Update) {
	for i := range update.Workers {
		m, address := &update.Workers[i], update.Addresses[i]
		w := p.workers[m.Name]
		if w == nil {
			if m.State != rules.Gone {
				p.workers[m.Name] = &poolWorker{name: m.Name, address: address, startedAt: m.StartedAt}
			}
			continue
		}
		if m.State == rules.Gone || m.StartedAt != w.startedAt {
			w.startedAt = m.StartedAt
			p.forgetKeepAlive(w)
		}
		if m.State != rules.Gone && w.address != address {
			w.address = address
			for len(w.idle) > 0 {
				p.closeIdle(w.idle[0], link.AddressChanged)
			}
		}
	}
	p.recordRemovals(update)
}

// wanted finds a connection for the call: an idle one, the last used first, or a new one. A call that must
// not be sent twice gets none that has been idle for longer than the worker is known to keep one.
func (k *call) acquireConn(f *Front, w *poolWorker) {
	p := &f.pool
	oldest := f.loop.Now() - p.currentKeepAlive(w)
	if k.onDial != nil {
		k.onDial()
	}
	for n := len(w.idle); n > 0 && !k.needsNewConn; n = len(w.idle) {
		l := w.idle[n-1]
		if !k.isIdempotent && l.stateSince < oldest {
			break
		}
		p.removeIdle(l)
		if l.Ended || l.CloseReason != "" || !l.Conn.IsActive() {
			continue
		}
		l.startCall(k)
		return
	}
	if p.links.Len()+p.pendingDials >= f.budget.workers && !p.evict() {
		f.log.Warn("no descriptor left for a worker", "worker", w.name)
		f.loop.Post(func() { k.onFailed(link.OverBudget, false) })
		return
	}
	p.pendingDials++
	address, began, dial := w.address, f.loop.Now(), p.dial
	go func() { // a dial blocks, so it is run outside the loop
		nc, err := dial(address, time.Duration(p.connectTimeout)*time.Microsecond)
		f.loop.Post(func() {
			p.pendingDials--
			if err != nil {
				f.recordDialFailure("worker", address, f.loop.Now()-began)
				if k.isWanted == nil || k.isWanted() {
					k.onFailed(link.ConnectFailed, false)
				}
				return
			}
			f.recordDialSuccess(address)
			l := p.addLink(nc, w, address)
			if address != w.address { // the worker has moved since
				l.Close(link.AddressChanged)
				k.onFailed(link.AddressChanged, false)
				return
			}
			l.startCall(k)
		})
	}()
}

func (p *connPool) addLink(nc netpoll.Connection, w *poolWorker, address string) *workerLink {
	l := &workerLink{f: p.f, worker: w, stateSince: p.f.loop.Now()}
	l.Init(nc, "worker", address, p.f.loop.Now())
	l.ref = p.links.Add(l)
	nc.SetOnRequest(func(context.Context, netpoll.Connection) error { return l.readResponse() })
	nc.AddCloseCallback(func(netpoll.Connection) error {
		p.f.loop.Post(l.onEnded)
		return nil
	})
	if !nc.IsActive() { // it ended before the callback was there
		p.f.loop.Post(l.onEnded)
	}
	return l
}

func (p *connPool) close() {
	p.links.Each(func(_ core.Ref, l *workerLink) { l.Close(link.Shutdown) })
}
