// Package platform is the HTTP/1.1 front: clients and workers' callbacks on one listener, the
// pool of connections to the workers, probes, and the watch on discovery.
package platform

import (
	"context"
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
	"cobaltflow/rules"
)

// Paths and headers of the platform's protocol.
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
	sweepInterval     = 50 * core.Millisecond
	firstRequestGrace = 200 * core.Millisecond // in which a new connection brings its first bytes, where we end
	// The platform kills a scheduler no sooner after SIGTERM than the longest deadline, counted as killMost where it
	// is longer, and killLater more. What is still open killMargin before that gets its answer while there is time
	// for it to arrive.
	maxCountedDeadline  = 3 * core.Second
	killDelay           = 700 * core.Millisecond
	killMargin          = 150 * core.Millisecond
	newConnectionWindow = 450 * core.Millisecond // for so long after SIGTERM new connections may come
	// firstList is how long readiness waits for the agent's list at the start: it may be silent, and ready we must be.
	initialListTimeout = core.Second
	// Within messageTime a message has to come to its end, and a connection to its first job: those that say
	// nothing, or half of something, take no place from others for longer.
	messageTimeout = 2 * core.Second
)

// Front is the HTTP/1.1 front and the carrier to the workers that discovery tells of.
type Front struct {
	admission    *admission.Controller
	loop         *core.Loop
	core         *core.Core
	conf         *config.Config
	log          *slog.Logger
	dialFailures log.FailureThrottle // peers that could not be reached
	ready        bool

	listener      netpoll.Listener
	server        netpoll.EventLoop
	clients       core.SlotMap[*clientConn]
	budget        connBudget
	spareSockets  int          // descriptors in no budget
	acceptedConns atomic.Int64 // connections, also those the loop has not heard of yet
	acceptLimit   atomic.Int64 // of them: past it a new one is closed by the poller

	pool          connPool
	watch         *discoveryWatch
	shutdownTimes shutdownSchedule

	listLimits      discovery.Limits     // of what discovery sends
	workerStarts    discovery.StartTimes // of the workers
	hasReceivedList bool                 // discovery has told what there was before we ran

	peers *peers // nil: there are none to talk to

	stoppingSince    core.Time // SIGTERM came then; 0: it has not
	onStopped        func()
	drainingSince    core.Time // an operator asked for a drain then; 0: none is on
	isHandingOver    bool      // a successor serves at our address: SIGTERM ends us as soon as may be
	isListenerClosed bool      // the listener is closed
	beforeIdleClose  func()    // for tests: called between the last look at a resting connection and its end
	relayed          uint64    // requests written whole to the workers
	// processes is how many of this scheduler live, this one among them: the limits are divided among them.
	processes          int
	unknownCallbacks   uint64 // callbacks of ids that no process knows, refused
	forwarding         int    // callbacks that are being passed on to the scheduler's other processes
	forwardedCallbacks uint64 // callbacks that another process of the scheduler took
}

// notUp logs a connection that never came up: at a peer's first failure, then at growing intervals with a
// count, since one that is gone is tried again and again.
func (f *Front) recordDialFailure(party, peer string, age core.Time) {
	if n, tell := f.dialFailures.Failed(peer, f.loop.Now()); tell {
		link.LogEnd(f.log, party, peer, link.ConnectFailed, 0, age, "failures", n)
	}
}

// isUp ends a peer's failures.
func (f *Front) recordDialSuccess(peer string) {
	if n := f.dialFailures.Reached(peer); n > 1 {
		f.log.Info("peer is back", "peer", peer, "failures", n)
	}
}

// clientLink is an accepted connection: a client's, or a worker's that calls back.
type clientConn struct {
	link.Link
	ref          core.Ref
	front        *Front
	request      http1.Request // in hand, while the loop holds the buffer
	inFlight     *core.Request
	isCallback   bool
	jobCount     int       // transactions that it has brought
	lastUsed     core.Time // when it was last of use
	partialSince core.Time // the message that is coming was first seen then; 0: none is
}

// New makes the front; Start opens it.
func New(c *core.Core, conf *config.Config, controller *admission.Controller, logger *slog.Logger) *Front {
	f := &Front{loop: c.Loop, core: c, conf: conf, admission: controller, log: logger, listLimits: discovery.DefaultLimits, processes: 1, shutdownTimes: newShutdownSchedule(conf.Settings.Classes)}
	f.pool = newConnPool(f)
	f.applyBudgets()
	return f
}

// Start takes the last known list, watches discovery and listens. It is called before the loop runs.
func (f *Front) Start() error {
	list, err := discovery.ParseList(f.conf.Known, f.listFormat())
	if err != nil {
		if len(f.conf.Known) > 0 {
			f.log.Warn("known list is kept out", "error", err)
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
	f.listener = ln
	f.server, err = netpoll.NewEventLoop(onRequest,
		netpoll.WithOnPrepare(f.onAccept),
		netpoll.WithOnDisconnect(func(ctx context.Context, _ netpoll.Connection) {
			a := ctx.Value(connKey{}).(*clientConn)
			f.loop.Post(func() { f.onConnClosed(a) })
		}))
	if err != nil {
		return err
	}
	if err := f.openPeerSocket(); err != nil {
		return err
	}
	go f.server.Serve(limitedListener{ln, f})
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

// informed makes the front ready: the list that its agent holds has come, or was waited for long enough. What the agent
// holds counts as told from the process's first moment, and the list known at the start may be older.
func (f *Front) markReady() { f.ready = true }

// Reload takes a new configuration over, within one event: the watch goes to its discovery at once, and
// the budgets follow its limits. All that is open lives on, and so does what is known of the workers.
func (f *Front) Reload(next *config.Config) {
	for _, key := range f.conf.Unchangeable(next) {
		f.log.Warn("reload: a key can't change while the program runs; the old one is kept", "key", key)
	}
	kept := *f.conf
	kept.Discovery, kept.Limits = next.Discovery, next.Limits
	f.conf = &kept
	f.applyBudgets()
	f.watch.moveTo(kept.Discovery)
	f.log.Info("reload: taken over")
}

// Address is where the front listens.
func (f *Front) Address() string { return f.listener.Addr().String() }

// sweep looks after connections now and then: floods, peers that are slow or say nothing, idle worker
// connections. netpoll reads on whatever we do, so what a peer may send ahead, and what all may together,
// is bounded here, by the configured memory.
func (f *Front) sweep() {
	now, all := f.loop.Now(), 0
	var largest *clientConn
	most := 0
	f.clients.Each(func(_ core.Ref, a *clientConn) {
		unread := a.Conn.Reader().Len()
		if all += unread; unread > most {
			largest, most = a, unread
		}
		switch {
		case a.inFlight != nil:
			if unread > a.request.Size+link.MaxReadAheadBytes {
				a.Close(link.Flooding)
			}
		case a.CloseReason != "":
		case unread > http1.MaxMessage+link.MaxReadAheadBytes:
			a.Close(link.Flooding)
		case unread > 0 && a.partialSince == 0:
			a.partialSince = now
		case a.partialSince > 0 && now-a.partialSince > messageTimeout:
			f.rejectAndClose(a, link.SlowInput, 408, "no whole request came in time\n")
		case a.partialSince == 0 && a.jobCount == 0 && !a.isCallback && now-a.lastUsed > messageTimeout:
			a.closeIfIdle(link.IdleTimeout)
		}
	})
	if all > f.Limits().MemoryMB<<20/8 {
		largest.Close(link.Flooding)
	}
	if f.drainingSince > 0 {
		f.closeIdleClients(now)
	}
	f.pool.closeExpiredIdle()
	f.pool.forgetRemoved()
	f.watch.closeIfStalled()
	f.updateAcceptLimit()
	f.loop.At(now+sweepInterval, f.sweep)
}

// Ready tells whether the front takes new clients: it has started, and neither a drain nor SIGTERM is on.
func (f *Front) Ready() bool { return f.ready && f.drainingSince == 0 && f.stoppingSince == 0 }

// Relayed is the number of requests written whole to the workers since the start.
func (f *Front) Relayed() uint64 { return f.relayed }
