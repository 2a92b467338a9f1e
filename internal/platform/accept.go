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
type connBudget struct{ clients, workers int }

// share leaves room for the listeners, the poller, the watch, the log and the other fronts.
func divideSockets(sockets, others int) connBudget {
	spare := max(24, sockets/8)
	spare += others
	workers := (sockets - spare) * 2 / 5
	return connBudget{clients: sockets - spare - workers, workers: workers}
}

// others is the number of connections that the other fronts may have.
func (f *Front) otherFrontSockets() (n int) {
	if f.conf.Faktory.On() {
		n = f.conf.Faktory.MaxSessions
	}
	if f.conf.HTTP2.On() {
		n += f.conf.HTTP2.MaxConnections
	}
	if f.conf.Admin != "" {
		n += admin.MaxConnections
	}
	return n
}

// shareOut sets the budgets by the limits, and by how many processes share them. The loop keeps the clients' one.
func (f *Front) applyBudgets() {
	f.budget = divideSockets(f.conf.Limits.Sockets, f.otherFrontSockets())
	f.spareSockets = f.conf.Limits.Sockets - f.budget.clients - f.budget.workers
	f.budget.clients /= f.processes
	f.budget.workers /= f.processes
	f.updateAcceptLimit()
}

// ShareLimits divides the limits among so many processes of this scheduler, which the platform counts as one.
func (f *Front) DivideLimits(processes int) {
	f.processes = processes
	f.applyBudgets()
}

// Limits are the configured ones with this process's part of the memory.
func (f *Front) Limits() config.Limits {
	limits := f.conf.Limits
	limits.MemoryMB /= f.processes
	return limits
}

// bound sets what the poller lets in: all that the workers leave free at present, but for half of the spare
// part. A burst, which the loop brings back to the budget as it turns, costs no usual client its place then.
func (f *Front) updateAcceptLimit() {
	free := (f.spareSockets - f.otherFrontSockets()) / 2 / f.processes
	used := f.pool.links.Len() + f.pool.pendingDials
	f.acceptLimit.Store(int64(f.budget.clients + f.budget.workers + free - used))
}

type connKey struct{}

// bounded turns away what comes faster than the loop turns, or the descriptors would run out.
type limitedListener struct {
	netpoll.Listener
	f *Front
}

// Accept runs on the poller; nothing accepted and no error tells it to go on.
func (l limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if c == nil || err != nil || l.f.acceptedConns.Load() < l.f.acceptLimit.Load() {
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
func (f *Front) onAccept(nc netpoll.Connection) context.Context {
	f.acceptedConns.Add(1)
	a := &clientConn{front: f}
	a.Init(nc, "agent", nc.RemoteAddr().String(), 0)
	a.OnClose = func() {
		if a.inFlight != nil {
			f.core.ClientDisconnected(a.inFlight)
		}
	}
	nc.AddCloseCallback(func(netpoll.Connection) error {
		f.loop.Post(func() { f.onConnClosed(a) })
		return nil
	})
	f.loop.Post(func() {
		if a.Ended {
			return
		}
		a.Opened, a.lastUsed, a.partialSince = f.loop.Now(), f.loop.Now(), f.loop.Now()
		a.ref = f.clients.Add(a)
		if f.clients.Len() > f.budget.clients {
			f.enforceClientBudget(a)
		}
	})
	return context.WithValue(context.Background(), connKey{}, a)
}

// shed closes a connection so that the budget holds: first one that is to be closed in any case or has
// said nothing for a while, then one that never brought a job, then one that is new, then an idle one, of
// each the oldest; where all are busy it is the newest. So those who flood or stay silent take no place
// from those who ask.
func (f *Front) enforceClientBudget(newest *clientConn) {
	victim, best, over := newest, busyRank, f.clients.Len()-f.budget.clients
	f.clients.Each(func(_ core.Ref, a *clientConn) {
		if a.ClosedLocally || a.CloseReason == link.OverBudget {
			over-- // it is going already
			return
		}
		if rank := a.evictionRank(); a != newest && rank < busyRank && (rank < best || rank == best && a.lastUsed < victim.lastUsed) {
			victim, best = a, rank
		}
	})
	if over > 0 && !(victim == newest && newest.HasPendingMessage()) { // whose request has come whole is served: the poller's bound holds
		f.log.Info("a client's connection is closed for another", "peer", victim.Peer, "rank", best, "unread", victim.Conn.Reader().Len(),
			"clients", f.clients.Len(), "budget", f.budget.clients, "processes", f.processes)
		f.evictClient(victim)
	}
}

// closeForAnother ends a connection whose place is wanted. Where some of a request has been read the client is told: it
// could not tell the bare end from a request that was taken and lost. The answer's connection lingers within what the
// poller lets in.
func (f *Front) evictClient(a *clientConn) {
	if a.Conn.Reader().Len() > 0 {
		f.rejectAndClose(a, link.OverBudget, 503, "too many connections; try again\n", "Retry-After", "1")
		return
	}
	a.Close(link.OverBudget)
}

const busyRank = 5 // the rank of a connection that is kept

func (a *clientConn) evictionRank() int {
	unread := a.Conn.Reader().Len()
	silent := a.MessageCount == 0 && unread == 0
	switch {
	case a.inFlight != nil || a.HasPendingMessage() || !a.IsWriterIdle() || a.isCallback && unread > 0:
		return busyRank // it owes an answer, or has not given it whole
	case a.CloseReason != "" || silent && a.front.loop.Now()-a.Opened > firstRequestGrace:
		return 0
	case a.jobCount == 0 && !a.isCallback && !silent:
		return 1
	case silent: // but new: a usual client's first bytes come with the connection
		return 2
	case unread == 0:
		return 3
	}
	return 4
}
