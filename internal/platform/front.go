// Package platform is the HTTP/1.1 front: a listener for clients and for the workers' callbacks, the pool of connections
// on which attempts and probes are sent to the workers, and the watch on discovery. Package gateway creates one Front for
// each process and starts, reloads, drains and stops it; package core calls it as a transport.
package platform

import (
	"log/slog"
	"sync/atomic"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/discovery"
	"cobaltflow/internal/front/admission"
	"cobaltflow/internal/http1"
	"cobaltflow/internal/link"
	"cobaltflow/internal/log"
	"cobaltflow/internal/reactor"
	"cobaltflow/rules"
)

// Paths and header names of the protocol that clients, workers and discovery speak.
const (
	PathReady   = "/-/ready"
	PathHealthy = "/-/healthy"
	PathLoad    = "/-/load"
	PathEvents  = "/v1/job-events"
	PathTargets = "/api/targets"
	PathJobs    = "/jobs/"

	HeaderID          = admission.HeaderID
	HeaderClass       = admission.HeaderClass
	HeaderTimeLeft    = admission.HeaderTimeLeft
	HeaderFacts       = admission.HeaderFacts
	HeaderLoad        = "X-Backend-Load"
	HeaderUnprocessed = "X-Unprocessed"
)

const (
	sweepInterval = 50 * core.Millisecond
	// firstRequestGrace is how long a drain or a shutdown leaves a new connection open for the first bytes of its first
	// request.
	firstRequestGrace = 200 * core.Millisecond
	// The platform kills a scheduler, at the earliest, the longest class deadline plus killDelay after SIGTERM; a longest
	// deadline above maxCountedDeadline counts as that. Requests that are still open killMargin before the kill are
	// answered then, so that their answers have time to arrive and the process to end, also if it gets only a quarter of the
	// processor's time, in turns of up to 0.2 s. minAnswerTime keeps the rest for new connections where deadlines are short.
	maxCountedDeadline  = 3 * core.Second
	killDelay           = 700 * core.Millisecond
	killMargin          = 500 * core.Millisecond
	minAnswerTime       = 500 * core.Millisecond
	closeMargin         = 200 * core.Millisecond // before the kill, in which the process waits for no peer
	newConnectionWindow = 450 * core.Millisecond // after SIGTERM, in which new connections may still arrive
	// initialListTimeout bounds the wait for the first worker list at startup: the local discovery server may not
	// respond, and the front must become ready nonetheless.
	initialListTimeout = core.Second
	// messageTimeout bounds the time from the first byte of a message to its last, and from the start of a connection to
	// its first job, so that idle and slow peers do not use up the connection budget.
	messageTimeout = 2 * core.Second
)

// Front is the HTTP/1.1 front, and the core's transport to the workers that discovery lists. Its methods run on the
// loop unless their comments say otherwise.
type Front struct {
	admission    *admission.Controller
	onDrain      func(draining bool) // see OnDrain
	account      *link.Account       // of the bytes that all fronts hold for their clients
	loop         *core.Loop
	core         *core.Core
	conf         *config.Config
	log          *slog.Logger
	dialFailures log.FailureThrottle // limits the log lines of peers that can't be reached
	isStarted    bool                // startup is over, see markReady

	// listener is what the shutdown closes: drainingListener, unless a test has put a hook before it. It stays open while
	// it drains.
	listener         netpoll.Listener
	drainingListener *link.DrainingListener
	poller           *reactor.Poller
	clients          core.SlotMap[*clientConn]
	budget           connBudget
	spareSockets     int          // descriptors outside of both budgets
	acceptedConns    atomic.Int64 // open accepted connections, including those not yet registered on the loop
	acceptLimit      atomic.Int64 // bound of acceptedConns without those on the callback reserve

	callbackReserve   callbackReserve
	acceptedOnReserve bool // of the connection that the poller accepts; the poller's alone

	pool          connPool
	watch         *discoveryWatch
	shutdownTimes shutdownSchedule

	listLimits      discovery.Limits     // bounds of the lists that discovery sends
	workerStarts    discovery.StartTimes // when each listed worker's process started
	hasReceivedList bool                 // discovery has sent a list since this process started

	peers *peers // nil: no peers are configured

	stoppingSince      core.Time // time of SIGTERM; 0: none was received
	onStopped          func()    // called once when the shutdown is complete
	drainingSince      core.Time // start of the operator's drain; 0: none is in force
	isHandingOver      bool      // a successor serves at this address: after SIGTERM this process ends as early as it can
	onListenerDrain    func()    // called when the listener begins to drain; nil: nobody
	shutdownTimer      *core.Timer
	isListenerDraining bool   // the listener has begun to drain, and closes behind that
	isEnding           bool   // nothing is pending: the last connections are being closed
	beforeIdleClose    func() // test hook: runs between the check that a connection is idle and its close; nil: none
	// afterAccept is a test hook that runs on the poller between an accept and the count of its connection; nil: none.
	afterAccept atomic.Pointer[func()]
	relayed     uint64 // requests written completely to the workers
	// processes is the number of live processes of this scheduler, this one included, which divide its limits.
	processes          int
	hadThird           bool   // more than two processes have lived at once
	unknownCallbacks   uint64 // callbacks refused because no process knows their job ID
	othersCheck        othersCheck
	forwards           forwardQueue
	forwardedCallbacks uint64 // callbacks that another process of the scheduler accepted
}

// recordDialFailure logs a connection that could not be established: the first failure of a peer, and then a count of
// failures at growing intervals, since a peer that is down is dialled again and again.
func (f *Front) recordDialFailure(party, peer string, age core.Time) {
	if n, isDue := f.dialFailures.Failed(peer, f.loop.Now()); isDue {
		link.LogEnd(f.log, party, peer, link.ConnectFailed, 0, age, "failures", n)
	}
}

// recordDialSuccess resets a peer's failure count and logs that a peer with several failures is reachable again.
func (f *Front) recordDialSuccess(peer string) {
	if n := f.dialFailures.Reached(peer); n > 1 {
		f.log.Info("peer reachable again", "peer", peer, "failures", n)
	}
}

// clientConn is an accepted connection: from a client, or from a worker that sends callbacks.
type clientConn struct {
	link.Link
	ref          core.Ref
	front        *Front
	messages     link.MessageReader
	fault        *http1.Error  // of the last parsed request
	hasContinued bool          // 100 Continue was sent for the request that is incomplete; the poller's alone
	request      http1.Request // the last parsed request, valid while the loop holds the read buffer
	inFlight     *core.Request // the request that is not answered yet; nil: none
	callback     *heldCallback // the callback that is not answered yet; nil: none, or it was answered at once
	isCallback   bool          // a worker's connection: it has sent a callback
	isOnReserve  bool          // it is over the limits and on the callback reserve
	jobCount     int           // requests that were admitted
	lastUsed     core.Time     // when the last message arrived or the last request was released
	partialSince core.Time     // when an incomplete message was first seen, or the connection opened; 0: no message is due
}

// New returns a front that is not listening yet; Start opens it. Its connections are the poller's.
func New(c *core.Core, conf *config.Config, controller *admission.Controller, account *link.Account, poller *reactor.Poller, logger *slog.Logger) *Front {
	f := &Front{poller: poller, loop: c.Loop, core: c, conf: conf, admission: controller, account: account, log: logger, listLimits: discovery.DefaultLimits,
		processes: 1, onDrain: func(bool) {}, shutdownTimes: newShutdownSchedule(conf.Settings.Classes),
		othersCheck: othersCheck{isAlone: func() (bool, error) { return true, nil }, timeout: othersCheckTimeout},
		forwards:    forwardQueue{offer: offerCallback, byMessage: map[string]*forward{}}}
	f.pool = newConnPool(f)
	f.applyBudgets()
	return f
}

// Start loads the last known worker list, opens the watch on discovery and listens for connections. It is called before
// the loop runs. An address that can't be listened on is reported as a *config.Error.
func (f *Front) Start() error {
	list, err := discovery.ParseList(f.conf.KnownWorkers, f.listFormat())
	if err != nil {
		if len(f.conf.KnownWorkers) > 0 {
			f.log.Warn("known worker list ignored", "error", err)
		}
		list = &discovery.Update{}
	}
	f.workerStarts.Resolve(list, f.loop.Now(), true)
	f.pool.updateWorkers(list)
	f.core.UpdateWorkerList(f, rules.ListCached, list.Workers)
	f.watch = newDiscoveryWatch(f, f.conf.Discovery, list.Version)

	ln, err := link.Listen(f.conf.Listen)
	if err != nil {
		return &config.Error{Key: "listen", Text: err.Error()}
	}
	f.drainingListener = link.NewDrainingListener(ln, "http1", f.loop, f.log)
	f.drainingListener.OnClosed(f.pollShutdownNow)
	f.listener = f.drainingListener
	if err := f.openPeerSocket(); err != nil {
		return err
	}
	if err := f.poller.Serve(limitedListener{f.drainingListener, f}, f.onAccept); err != nil {
		return err
	}
	f.loop.Post(func() {
		f.watch.open(0)
		if f.watch.needsFullList && f.conf.Discovery != "" {
			f.loop.At(f.loop.Now()+initialListTimeout, f.markReady)
		} else {
			f.markReady()
		}
		f.sweep()
	})
	return nil
}

// markReady ends the startup: the list of the local discovery server has arrived, or initialListTimeout is over. Readiness
// waits for it since everything that server holds counts as known from the start of this process, and the list loaded at
// startup may be older.
func (f *Front) markReady() { f.isStarted = true }

// Reload applies the discovery address and the limits of a new configuration within one event: the watch moves to the new
// address at once, and the connection budgets are recomputed. Open connections and requests continue, and what is known
// of the workers is kept. Other keys keep their values; those that differ are logged.
func (f *Front) Reload(next *config.Config) {
	for _, key := range f.conf.RestartRequired(next) {
		f.log.Warn("reload: key can't be changed at run time, old value kept", "key", key)
	}
	merged := *f.conf
	merged.Discovery, merged.Limits = next.Discovery, next.Limits
	f.conf = &merged
	f.applyBudgets()
	f.watch.moveTo(merged.Discovery)
	f.log.Info("reload: taken over")
}

// Address returns the address that the front listens on. Any goroutine may call it once Start has returned.
func (f *Front) Address() string { return f.listener.Addr().String() }

// sweep runs every sweepInterval and closes connections that flood, that are slow or silent, or that are idle.
func (f *Front) sweep() {
	now := f.loop.Now()
	f.clients.Each(func(_ core.Ref, c *clientConn) { f.sweepClient(c, now) })
	if f.drainingSince > 0 {
		f.closeIdleClients(now)
	}
	f.pool.closeExpiredIdle()
	f.pool.forgetRemoved()
	f.watch.closeIfStalled()
	f.updateAcceptLimit()
	f.loop.At(now+sweepInterval, f.sweep)
}

// sweepClient closes a connection that floods, that is slow or silent, or that is idle.
func (f *Front) sweepClient(c *clientConn, now core.Time) {
	unread := c.UnreadBytes()
	if c.HasPendingMessage() || unread == 0 && c.MessageCount > 0 {
		c.partialSince = 0 // what is unread is a whole message, perhaps a callback that waits for its answer
	}
	switch {
	case c.CloseReason != "":
	case c.inFlight != nil:
		c.endPipelining()
	case c.MayHaveMessage(): // it may be whole, and waits for the poller or the loop
	case unread > 0 && c.partialSince == 0:
		c.partialSince = now
	case c.partialSince > 0 && now-c.partialSince > messageTimeout:
		f.rejectAndClose(c, link.SlowInput, 408, "no whole request came in time\n")
	case c.partialSince == 0 && c.jobCount == 0 && !c.isCallback && now-c.lastUsed > messageTimeout:
		c.closeIfIdle(link.IdleTimeout)
	}
}

// Ready reports whether the front accepts new clients: startup is over, no drain is in force and SIGTERM was not received.
func (f *Front) Ready() bool { return f.isStarted && f.drainingSince == 0 && f.stoppingSince == 0 }

// Relayed returns the number of requests written completely to the workers since the start.
func (f *Front) Relayed() uint64 { return f.relayed }
