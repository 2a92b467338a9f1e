package platform

import (
	"context"
	"net"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/front/admin"
	"cobaltflow/internal/link"
)

// budget shares out the descriptors that the process may hold, by party.
type budget struct{ clients, workers int }

// share leaves room for the listeners, the poller, the watch, the log and the other fronts.
func share(sockets, others int) budget {
	spare := max(24, sockets/8)
	spare += others
	workers := (sockets - spare) * 2 / 5
	return budget{clients: sockets - spare - workers, workers: workers}
}

// others is the number of connections that the other fronts may have.
func (f *Front) others() (n int) {
	if f.conf.Faktory.On() {
		n = f.conf.Faktory.MaxSessions
	}
	if f.conf.HTTP2.On() {
		n += f.conf.HTTP2.MaxConnections
	}
	if f.conf.Admin != "" {
		n += admin.MostCalls
	}
	return n
}

// shareOut sets the budgets by the limits, and by how many processes share them. The loop keeps the clients' one.
func (f *Front) shareOut() {
	f.budget = share(f.conf.Limits.Sockets, f.others())
	f.spare = f.conf.Limits.Sockets - f.budget.clients - f.budget.workers
	f.budget.clients /= f.processes
	f.budget.workers /= f.processes
	f.bound()
}

// ShareLimits divides the limits among so many processes of this scheduler, which the platform counts as one.
func (f *Front) ShareLimits(processes int) {
	f.processes = processes
	f.shareOut()
}

// Limits are the configured ones with this process's part of the memory.
func (f *Front) Limits() config.Limits {
	limits := f.conf.Limits
	limits.MemoryMB /= f.processes
	return limits
}

// bound sets what the poller lets in: all that the workers leave free at present, but for half of the spare
// part. A burst, which the loop brings back to the budget as it turns, costs no usual client its place then.
func (f *Front) bound() {
	free := (f.spare - f.others()) / 2 / f.processes
	used := f.pool.links.Len() + f.pool.dials
	f.most.Store(int64(f.budget.clients + f.budget.workers + free - used))
}

type linkKey struct{}

// bounded turns away what comes faster than the loop turns, or the descriptors would run out.
type bounded struct {
	netpoll.Listener
	f *Front
}

// Accept runs on the poller; nothing accepted and no error tells it to go on.
func (l bounded) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if c == nil || err != nil || l.f.accepted.Load() < l.f.most.Load() {
		return c, err
	}
	peer := c.RemoteAddr().String()
	c.Close()
	l.f.loop.Post(func() {
		link.LogEnd(l.f.log, "agent", peer, link.OverBudget, 0, 0)
	})
	return nil, nil
}

// prepare runs on the poller, before anything of the connection can be read.
func (f *Front) prepare(nc netpoll.Connection) context.Context {
	f.accepted.Add(1)
	a := &clientLink{front: f}
	a.Init(nc, "agent", nc.RemoteAddr().String(), 0)
	a.Cut = func() {
		if a.in != nil {
			f.core.ClientDisconnected(a.in)
		}
	}
	nc.AddCloseCallback(func(netpoll.Connection) error {
		f.loop.Post(func() { f.gone(a) })
		return nil
	})
	f.loop.Post(func() {
		if a.Ended {
			return
		}
		a.Opened, a.last, a.begun = f.loop.Now(), f.loop.Now(), f.loop.Now()
		a.ref = f.clients.Add(a)
		if f.clients.Len() > f.budget.clients {
			f.shed(a)
		}
	})
	return context.WithValue(context.Background(), linkKey{}, a)
}

// shed closes a connection so that the budget holds: first one that is to be closed in any case or has
// said nothing for a while, then one that never brought a job, then one that is new, then an idle one, of
// each the oldest; where all are busy it is the newest. So those who flood or stay silent take no place
// from those who ask.
func (f *Front) shed(newest *clientLink) {
	victim, best, over := newest, busy, f.clients.Len()-f.budget.clients
	f.clients.Each(func(_ core.Ref, a *clientLink) {
		if a.Closed || a.Reason == link.OverBudget {
			over-- // it is going already
			return
		}
		if rank := a.rank(); a != newest && rank < busy && (rank < best || rank == best && a.last < victim.last) {
			victim, best = a, rank
		}
	})
	if over > 0 && !(victim == newest && newest.InHand()) { // whose request has come whole is served: the poller's bound holds
		f.log.Info("a client's connection is closed for another", "peer", victim.Peer, "rank", best, "unread", victim.NC.Reader().Len(),
			"clients", f.clients.Len(), "budget", f.budget.clients, "processes", f.processes)
		f.closeForAnother(victim)
	}
}

// closeForAnother ends a connection whose place is wanted. Where some of a request has been read the client is told: it
// could not tell the bare end from a request that was taken and lost. The answer's connection lingers within what the
// poller lets in.
func (f *Front) closeForAnother(a *clientLink) {
	if a.NC.Reader().Len() > 0 {
		f.turnAway(a, link.OverBudget, 503, "too many connections; try again\n", "Retry-After", "1")
		return
	}
	a.Close(link.OverBudget)
}

const busy = 5 // the rank of a connection that is kept

func (a *clientLink) rank() int {
	unread := a.NC.Reader().Len()
	silent := a.Count == 0 && unread == 0
	switch {
	case a.in != nil || a.InHand() || !a.IdleWriter() || a.callsBack && unread > 0:
		return busy // it owes an answer, or has not given it whole
	case a.Reason != "" || silent && a.front.loop.Now()-a.Opened > firstUse:
		return 0
	case a.jobs == 0 && !a.callsBack && !silent:
		return 1
	case silent: // but new: a usual client's first bytes come with the connection
		return 2
	case unread == 0:
		return 3
	}
	return 4
}
