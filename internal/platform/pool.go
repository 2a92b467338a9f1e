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
type pool struct {
	f       *Front
	workers map[string]*workerLinks
	links   core.SlotMap[*workerLink]
	dials   int
	dial    dialer
	idleFor core.Time
	connect core.Time
	idle    idleLinks
	inUse   int // connections with a call on them

	updates     uint64      // of the list, so far
	departures  []departure // workers off the list, in the order in which they left it
	departedFor core.Time   // so long they stay known
}

type workerLinks struct {
	name, address string
	idle          []*workerLink // the last used is last

	keep   core.Time     // it closes connections that have been idle for little more; 0: not seen to
	keepAt core.Time     // when that was last seen
	early  *list.Element // its place among the workers that do; nil: it has none
	start  core.Time     // its process's

	listed   uint64    // the last update of the list that held it
	departed core.Time // when it left the list; 0: it has not

	due       core.Time // where it is crowded: when its oldest idle connection may carry no job any more
	crowdedAt int       // its place in the heap of crowded workers, from 1; 0: it is not
}

// call is one request on a connection: a pass, a probe, or the withdrawal of a pass.
type call struct {
	message []byte
	begin   func(l *workerLink)                   // a connection was found, the message is being written
	wrote   func(err error)                       // it has been written, or could not be
	got     func(r *http1.Response)               // the answer came
	refused func(load rules.Load)                 // the answer was that it is not begun; nil: got is told that too
	broken  func(reason string, mayHaveRead bool) // there will be none
	limit   *core.Timer
	safe    bool        // it may be sent twice
	fresh   bool        // only a new connection will do
	still   func() bool // whether it is wanted yet; nil: it is
	may     func() bool // whether it may begin now, asked as its first byte is about to leave; nil: it may
	waits   func()      // it waits for a new connection, nothing of it has left
	doubted bool        // its answer may be a second one to the request before
	written bool
	gone    bool // the connection went while the writer was still at it
}

func newPool(f *Front) pool {
	// A worker may close a connection at the end of its idle time, and a request that crosses the close
	// is a reset that may have run: ours are retired well before.
	idle := f.conf.Names.ConnIdle
	connect := f.conf.Settings.ConnectTimeout
	if connect <= 0 {
		connect = 150 * core.Millisecond
	}
	return pool{f: f, workers: map[string]*workerLinks{}, dial: dialTCP, connect: connect,
		idleFor: idle - max(idle/5, min(idle/2, 2*core.Second)), departedFor: departedFor(f.conf.Settings.Classes)}
}

// dialer opens a connection, and blocks meanwhile.
type dialer func(address string, within time.Duration) (netpoll.Connection, error)

func dialTCP(address string, within time.Duration) (netpoll.Connection, error) {
	return netpoll.DialConnection("tcp", address, within)
}

// addresses takes the addresses of a list. Of a process that has gone or was started anew nothing is
// believed any more: its connections ended with it.
func (p *pool) addresses(update *discovery.Update) {
	for i := range update.Workers {
		m, address := &update.Workers[i], update.Addresses[i]
		w := p.workers[m.Name]
		if w == nil {
			if m.State != rules.Gone {
				p.workers[m.Name] = &workerLinks{name: m.Name, address: address, start: m.StartedAt}
			}
			continue
		}
		if m.State == rules.Gone || m.StartedAt != w.start {
			w.start = m.StartedAt
			p.forget(w)
		}
		if m.State != rules.Gone && w.address != address {
			w.address = address
			for len(w.idle) > 0 {
				p.closeIdle(w.idle[0], link.Moved)
			}
		}
	}
	p.noteDepartures(update)
}

// wanted finds a connection for the call: an idle one, the last used first, or a new one. A call that must
// not be sent twice gets none that has been idle for longer than the worker is known to keep one.
func (k *call) wanted(f *Front, w *workerLinks) {
	p := &f.pool
	oldest := f.loop.Now() - p.keepsFor(w)
	if k.waits != nil {
		k.waits()
	}
	for n := len(w.idle); n > 0 && !k.fresh; n = len(w.idle) {
		l := w.idle[n-1]
		if !k.safe && l.since < oldest {
			break
		}
		p.removeIdle(l)
		if l.Ended || l.Reason != "" || !l.NC.IsActive() {
			continue
		}
		l.use(k)
		return
	}
	if p.links.Len()+p.dials >= f.budget.workers && !p.evict() {
		f.log.Warn("no descriptor left for a worker", "worker", w.name)
		f.loop.Post(func() { k.broken(link.OverBudget, false) })
		return
	}
	p.dials++
	address, began, dial := w.address, f.loop.Now(), p.dial
	go func() { // a dial blocks, so it is run outside the loop
		nc, err := dial(address, time.Duration(p.connect)*time.Microsecond)
		f.loop.Post(func() {
			p.dials--
			if err != nil {
				f.recordDialFailure("worker", address, f.loop.Now()-began)
				if k.still == nil || k.still() {
					k.broken(link.NotUp, false)
				}
				return
			}
			f.recordDialSuccess(address)
			l := p.add(nc, w, address)
			if address != w.address { // the worker has moved since
				l.Close(link.Moved)
				k.broken(link.Moved, false)
				return
			}
			l.use(k)
		})
	}()
}

func (p *pool) add(nc netpoll.Connection, w *workerLinks, address string) *workerLink {
	l := &workerLink{f: p.f, worker: w, since: p.f.loop.Now()}
	l.Init(nc, "worker", address, p.f.loop.Now())
	l.ref = p.links.Add(l)
	nc.SetOnRequest(func(context.Context, netpoll.Connection) error { return l.onResponse() })
	nc.AddCloseCallback(func(netpoll.Connection) error {
		p.f.loop.Post(l.gone)
		return nil
	})
	if !nc.IsActive() { // it ended before the callback was there
		p.f.loop.Post(l.gone)
	}
	return l
}

func (p *pool) close() {
	p.links.Each(func(_ core.Ref, l *workerLink) { l.Close(link.ShutDown) })
}
