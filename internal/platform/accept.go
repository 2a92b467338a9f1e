package platform

import (
	"net"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/front/admin"
	"cobaltflow/internal/link"
	"cobaltflow/internal/reactor"
)

// connBudget is the number of connections to clients and to workers that the process may hold.
type connBudget struct{ clients, workers int }

// divideSockets splits the descriptors of the scheduler into budgets. It reserves an eighth, or at least 24, for the
// listeners, the poller, the watch and the log, and as many as the other fronts may open; of the rest the workers get two
// fifths.
func divideSockets(sockets, others int) connBudget {
	spare := max(24, sockets/8)
	spare += others
	workers := (sockets - spare) * 2 / 5
	return connBudget{clients: sockets - spare - workers, workers: workers}
}

// otherFrontSockets returns the number of connections that the other fronts may have open.
func (f *Front) otherFrontSockets() (n int) {
	if f.conf.Faktory.IsEnabled() {
		n = f.conf.Faktory.MaxSessions
	}
	if f.conf.HTTP2.IsEnabled() {
		n += f.conf.HTTP2.MaxConnections
	}
	if f.conf.Admin != "" {
		n += admin.MaxConnections
	}
	return n
}

// applyBudgets computes the budgets from the limits and from the number of processes that divide them. The loop enforces
// the clients' budget, see enforceClientBudget.
func (f *Front) applyBudgets() {
	f.budget = divideSockets(f.conf.Limits.Sockets, f.otherFrontSockets())
	f.spareSockets = f.conf.Limits.Sockets - f.budget.clients - f.budget.workers
	f.budget.clients /= f.processes
	f.budget.workers /= f.processes
	f.updateAcceptLimit()
}

// DivideLimits divides the limits by the number of processes of this scheduler, which the platform counts as one.
func (f *Front) DivideLimits(processes int) {
	f.processes, f.hadThird = processes, f.hadThird || processes > 2
	f.applyBudgets()
}

// Limits returns the configured limits, with this process's part of the memory.
func (f *Front) Limits() config.Limits {
	limits := f.conf.Limits
	limits.MemoryMB /= f.processes
	return limits
}

// updateAcceptLimit sets the number of connections that the poller admits: everything that the workers leave free at
// present, and half of the reserve. A burst then does not displace connections in use before the loop has reduced it to
// the clients' budget. A part of that half is for callbacks, see callbackReserve.
func (f *Front) updateAcceptLimit() {
	free := (f.spareSockets - f.otherFrontSockets()) / 2 / f.processes
	forCallbacks := max(1, free/3)
	used := f.pool.links.Len() + f.pool.pendingDials
	f.acceptLimit.Store(int64(f.budget.clients + f.budget.workers + free - forCallbacks - used))
	f.callbackReserve.limit.Store(int64(forCallbacks))
}

// limitedListener counts accepted connections, and closes those above the accept limit that the callback reserve does not
// hold either. Without the limit, connections that arrive faster than the loop turns would use up the descriptors. A connection
// is counted before it leaves the kernel's accept queue: one that is in neither would be missed by a shutdown that looks for
// what is pending.
type limitedListener struct {
	*link.DrainingListener
	f *Front
}

// Accept runs on the poller, which goes on after a result without a connection and without an error, and calls onAccept before
// the next Accept.
func (l limitedListener) Accept() (net.Conn, error) {
	count := l.f.acceptedConns.Add(1)
	nc, err := l.DrainingListener.Accept()
	if nc == nil || err != nil {
		l.f.acceptedConns.Add(-1)
		return nc, err
	}
	if hook := l.f.afterAccept.Load(); hook != nil {
		(*hook)()
	}
	isOverLimit := count-l.f.callbackReserve.used.Load() > l.f.acceptLimit.Load()
	if l.f.acceptedOnReserve = isOverLimit && l.f.callbackReserve.acquire(); l.f.acceptedOnReserve || !isOverLimit {
		return nc, nil
	}
	peer := nc.RemoteAddr().String()
	nc.Close()
	l.Registered()
	l.f.acceptedConns.Add(-1)
	l.f.loop.Post(func() {
		link.LogEnd(l.f.log, "agent", peer, link.OverBudget, 0, 0)
	})
	return nil, nil
}

// onAccept registers a new connection, which limitedListener has counted. It runs on the poller, before anything is read
// from the connection.
func (f *Front) onAccept(conn *reactor.Conn) reactor.Handler {
	c := &clientConn{front: f, isOnReserve: f.acceptedOnReserve}
	c.InitAccepted(conn, &f.poller.Buffers, "agent")
	c.messages = c.newMessageReader()
	c.CountsQueuedTime = true
	c.OnClose = func() {
		if c.inFlight != nil {
			f.core.ClientDisconnected(c.inFlight)
		}
	}
	f.poller.Post(func() {
		f.drainingListener.Registered()
		if c.Ended {
			return
		}
		c.Opened, c.lastUsed, c.partialSince = f.loop.Now(), f.loop.Now(), f.loop.Now()
		c.ref = f.clients.Add(c)
		f.account.Add(&c.Link)
		if c.isOnReserve {
			f.closeIfSilentAfterGrace(c)
		}
		if f.clients.Len() > f.budget.clients {
			f.enforceClientBudget(c)
		}
	})
	return c
}

// enforceClientBudget closes one connection if there are more than the budget allows. It prefers, in this order, one that
// is closing anyway or has been silent for a while, one that never brought a job, a new one, and an idle one, and among
// equals the one that was used least recently; if all are busy it moves the newest to the callback reserve, or closes it.
// Connections that flood or stay silent thus do not displace clients with jobs.
func (f *Front) enforceClientBudget(newest *clientConn) {
	victim, bestRank, excess := newest, busyRank, f.clients.Len()-f.budget.clients
	f.clients.Each(func(_ core.Ref, c *clientConn) {
		if c.ClosedLocally || c.CloseReason == link.OverBudget || c.isOnReserve {
			excess-- // it is closing already, or not in the budget
			return
		}
		if rank := c.evictionRank(); c != newest && rank < busyRank && (rank < bestRank || rank == bestRank && c.lastUsed < victim.lastUsed) {
			victim, bestRank = c, rank
		}
	})
	// A newest connection whose request may be whole is served: the accept limit still bounds the connections.
	if excess <= 0 || victim == newest && (newest.MayHaveMessage() || f.moveToReserve(newest)) {
		return
	}
	f.log.Info("client connection evicted", "peer", victim.Peer, "rank", bestRank, "unread", victim.UnreadBytes(),
		"clients", f.clients.Len(), "budget", f.budget.clients, "processes", f.processes)
	f.evictClient(victim)
}

// evictClient closes a connection to keep the budget. If part of a request has been read the client gets a 503,
// since it could not distinguish a close without an answer from a request that was accepted and lost. The connection then stays
// open until the answer is sent, which the accept limit allows for.
func (f *Front) evictClient(c *clientConn) {
	if c.UnreadBytes() > 0 && !c.IsWriteClosed() {
		f.rejectAndClose(c, link.OverBudget, 503, "too many connections; try again\n", "Retry-After", "1")
		return
	}
	c.Close(link.OverBudget)
}

// busyRank is the rank of a connection that is never evicted.
const busyRank = 5

// evictionRank orders connections for eviction, lowest first: 0 is closing or has been silent for too long, 1 has brought
// no job, 2 is new, 3 is idle, 4 has unread input and busyRank has a request or an answer in flight.
func (c *clientConn) evictionRank() int {
	if c.IsWriteClosed() {
		return 0 // its answer is written
	}
	if c.inFlight != nil || c.MayHaveMessage() {
		return busyRank
	}
	unread := c.UnreadBytes()
	silent := c.MessageCount == 0 && unread == 0
	switch {
	case !c.IsWriterIdle() || c.isCallback && unread > 0:
		return busyRank // a request is unanswered, or its answer is not written completely
	case c.CloseReason != "" || silent && c.front.loop.Now()-c.Opened > firstRequestGrace:
		return 0
	case c.jobCount == 0 && !c.isCallback && !silent:
		return 1
	case silent: // and new: a well-behaved client's first bytes follow the connection closely
		return 2
	case unread == 0:
		return 3
	}
	return 4
}
