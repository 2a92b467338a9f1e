// Package gateway assembles one scheduler from its parts: the event loop, the core, and the fronts that the configuration
// enables. Command cobaltflow starts, reloads and stops it.
package gateway

import (
	"log/slog"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"

	"cobaltflow/internal/claims"
	"cobaltflow/internal/clock"
	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/faktory"
	"cobaltflow/internal/front/admin"
	"cobaltflow/internal/front/admission"
	"cobaltflow/internal/front/http2"
	"cobaltflow/internal/link"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/reactor"
)

// Gateway is one scheduler in this process.
type Gateway struct {
	Conf       *config.Config
	Loop       *core.Loop
	Core       *core.Core
	Front      *platform.Front // HTTP/1.1
	Faktory    *faktory.Front  // nil: off
	HTTP2      *http2.Front    // nil: off
	Admin      *admin.Front    // nil: no admin address is configured
	admission  *admission.Controller
	poller     *reactor.Poller // of the connections of all fronts
	pollerErr  error           // why there is no poller
	account    *link.Account   // of the bytes that all fronts hold for their clients
	log        *slog.Logger
	closeUntil core.Time // when closeFronts ends its wait; 0: it has not begun

	directives *directives
	onReload   func()
}

// New returns a gateway that does not listen yet; see Start.
func New(conf *config.Config, log *slog.Logger) *Gateway {
	g := &Gateway{Conf: conf, Loop: core.NewLoop(), log: log}
	settings := conf.Settings
	if conf.Faktory.IsEnabled() {
		settings = core.WithAtMostOnceClasses(settings)
	}
	g.Core = core.New(g.Loop, settings, conf.Seed, log)
	if conf.Sites.FailoverEnabled {
		g.Core.WatchSites(conf.Sites.Settings(&conf.Settings), conf.Names.Zones, conf.Seed)
	}
	if conf.Ownership != nil {
		g.Core.EnableOwnership(*conf.Ownership)
	}
	g.poller, g.pollerErr = reactor.New(g.Loop.Post, g.Loop.Clock)
	g.account = link.NewAccount(g.Loop, conf.ClientBufferBytes(conf.Limits.MemoryMB))
	controller := admission.NewController(g.Core, &conf.Names)
	g.admission = controller
	g.Front = platform.New(g.Core, conf, controller, g.account, g.poller, log)
	g.Front.OnListenerDrain(g.closeListeners)
	if conf.HTTP2.IsEnabled() {
		g.HTTP2 = http2.New(g.Core, conf, controller, g.account, g.poller, log)
		g.HTTP2.SetIsReady(g.Front.Ready)
		g.Front.OnDrain(g.HTTP2.SetClientsDraining)
	}
	if conf.Faktory.IsEnabled() {
		g.Faktory = faktory.New(g.Core, conf, g.account, g.poller, log)
	}
	return g
}

// Start opens the listeners. It must be called before Run. If an address cannot be used, the error names its settings key.
func (g *Gateway) Start() error {
	if g.pollerErr != nil {
		return g.pollerErr
	}
	g.poller.Buffers.SetLimit(g.Front.MaxInputBytes())
	for _, note := range g.Conf.Warnings {
		g.log.Info("configuration", "note", note)
	}
	g.directives = openDirectives(g)
	g.directives.reload = g.onReload
	if table, err := claims.Open(stateFilePath(g.Conf, "ids")); err != nil {
		g.log.Warn("request IDs are not shared with the scheduler's other processes", "error", err)
	} else {
		g.admission.ShareClaims(table)
	}
	g.Core.Log = g.log.With("generation", g.directives.generation())
	// Before the front listens: the first callback may already be one of another process's job.
	if others := g.directives.replica.InitialProcesses(); others.Alive > 0 {
		g.directives.updateProcesses(others)
	}
	g.Front.SetIsAlone(g.directives.replica.IsAlone)
	// Before the HTTP front listens, whose first connections would wait: the start may have to wait for the jobs' owner.
	if g.Faktory != nil {
		if err := g.Faktory.Start(); err != nil {
			return err
		}
	}
	if err := g.Front.Start(); err != nil {
		return err
	}
	g.directives.applyInitial()
	g.log.Info("serves", "name", g.Conf.Name, "address", g.Front.Address(), "workers", g.Core.WorkerCount(), "generation",
		g.directives.generation())
	if g.Conf.Admin != "" {
		g.Admin = admin.New(g.Core, g.Conf, g.Front, g.directives, g.poller, g.log)
		if err := g.Admin.Start(); err != nil {
			return err
		}
		g.log.Info("admin: serves", "address", g.Admin.Address())
	}
	if g.HTTP2 != nil {
		if err := g.HTTP2.Start(); err != nil {
			return err
		}
		g.log.Info("http2: serves", "address", g.HTTP2.Address())
	}
	if err := writePIDFile(g.Conf); err != nil {
		g.log.Warn("a predecessor of an older version will not detect this process", "error", err)
	}
	g.directives.replica.MarkServing()
	g.directives.replica.Run()
	g.directives.awaitAnnouncement()
	return nil
}

// Poller returns the poller of the fronts' connections.
func (g *Gateway) Poller() *reactor.Poller { return g.poller }

// Run runs the loop until the shutdown that Stop begins is complete.
func (g *Gateway) Run() {
	g.Loop.Run()
	g.poller.Close()
	g.directives.replica.Close()
	n := g.Core.Counts
	g.log.Info("ended", "taken", n.Accepted, "served", n.Served, "refused", n.Refused, "failed", n.Failed, "hung_up", n.Cancelled,
		"passes", n.Attempts, "probes", n.Probes)
}

// OnReload sets the function that is called, on the loop goroutine, when another process of this scheduler was asked to
// reread its configuration. The function must not block. OnReload must be called before Start.
func (g *Gateway) OnReload(reload func()) { g.onReload = reload }

// BroadcastReload makes the scheduler's other processes reread their configuration as well. It may be called from any
// goroutine.
func (g *Gateway) BroadcastReload() { g.Loop.Post(g.directives.broadcastReload) }

// Reload applies a new configuration. It may be called from any goroutine.
func (g *Gateway) Reload(next *config.Config) {
	g.Loop.Post(func() {
		g.Front.Reload(next)
		g.applyLimits()
	})
}

// applyLimits applies this process's part of the configured limits.
func (g *Gateway) applyLimits() {
	limits := g.Front.Limits()
	ApplyLimits(limits)
	g.account.SetLimit(g.Conf.ClientBufferBytes(limits.MemoryMB))
	g.poller.Buffers.SetLimit(g.Front.MaxInputBytes())
}

// ReloadFailed logs why the old configuration is kept. It may be called from any goroutine.
func (g *Gateway) ReloadFailed(err error) {
	// Logged on the loop goroutine, since the loop runs no event after the log is closed.
	g.Loop.Post(func() { g.log.Warn("reload: the old configuration is kept", "error", err) })
}

// Stop begins a graceful shutdown: all accepted requests are answered first. It may be called from any
// goroutine.
func (g *Gateway) Stop() {
	// The schedule counts from here, however late the loop's next turn is.
	since := g.Loop.FromWall(clock.Wall())
	// Called before the event is posted, since hasSuccessor reads files and the loop goroutine must not block on I/O.
	handOver := g.directives.hasSuccessor()
	g.Loop.Post(func() {
		if handOver {
			g.log.Info("a successor serves at the same address, clients are drained to it")
			g.Front.HandOver()
		}
		g.Core.AnnounceLeaving()
		if g.Faktory != nil {
			g.Faktory.Drain(handOver)
		}
		if g.HTTP2 != nil {
			g.HTTP2.Drain(max(0, since+g.Front.AnswerTimeout()-g.Loop.Now()))
		}
		g.Front.StopSince(since, g.closeFronts)
	})
}

const (
	closeCheckPeriod = 5 * core.Millisecond
	maxCloseWait     = 2 * core.Second
)

// closableFront is a front that ends after the HTTP/1.1 front.
type closableFront interface {
	// CloseListener begins the drain of the front's listener, which steers new connections to the one successor, if any.
	CloseListener(hasOneSuccessor bool)
	// IsListenerClosed reports whether that drain is complete.
	IsListenerClosed() bool
	// Close closes the front's listener and connections, which are read over until their peers close them.
	Close()
	// IsClosed reports whether that is complete.
	IsClosed() bool
}

// otherFronts returns the fronts besides the HTTP/1.1 front.
func (g *Gateway) otherFronts() (fronts []closableFront) {
	if g.Faktory != nil {
		fronts = append(fronts, g.Faktory)
	}
	if g.HTTP2 != nil {
		fronts = append(fronts, g.HTTP2)
	}
	if g.Admin != nil {
		fronts = append(fronts, g.Admin)
	}
	return fronts
}

// closeListeners begins the drain of the other fronts' listeners together with that of the HTTP/1.1 front.
func (g *Gateway) closeListeners() {
	for _, front := range g.otherFronts() {
		front.CloseListener(g.Front.HasOneSuccessor())
	}
}

// closeFronts closes the other fronts once the HTTP/1.1 front has ended. The core then has no open requests, theirs
// included. Only their listeners may still drain and the answers of the HTTP/2 front may be unsent, which get up to
// maxCloseWait, and not the last moments before the kill.
func (g *Gateway) closeFronts() {
	now := g.Loop.Now()
	if g.closeUntil == 0 {
		g.closeUntil = min(now+maxCloseWait, g.Front.CloseBy())
	}
	if !g.areFrontsDrained() && now < g.closeUntil {
		g.Loop.At(now+closeCheckPeriod, g.closeFronts)
		return
	}
	for _, front := range g.otherFronts() {
		front.Close()
	}
	g.awaitClose(g.Front.LingerUntil())
}

// awaitClose ends the loop when the other fronts have no connection left, or at until. Directives that operators gave to this
// process alone, and that it can't write yet, are waited for until the kill may be near.
func (g *Gateway) awaitClose(until core.Time) {
	now := g.Loop.Now()
	isWaiting := now < until && g.hasOpenConnections() || now < g.Front.CloseBy() && g.directives.hasUnpersisted()
	if isWaiting {
		g.Loop.At(now+closeCheckPeriod, func() { g.awaitClose(until) })
		return
	}
	if g.directives.hasUnpersisted() {
		g.log.Error("directive: this process ends with changes that it could not write", "generation", g.directives.generation())
	}
	g.Loop.Post(g.Loop.Stop) // behind the ends of the connections, which are logged
}

// hasOpenConnections reports whether a front besides the HTTP/1.1 front is not closed yet.
func (g *Gateway) hasOpenConnections() bool {
	for _, front := range g.otherFronts() {
		if !front.IsClosed() {
			return true
		}
	}
	return false
}

// areFrontsDrained reports whether the other fronts' listeners are closed and the HTTP/2 front has sent its answers.
func (g *Gateway) areFrontsDrained() bool {
	for _, front := range g.otherFronts() {
		if !front.IsListenerClosed() {
			return false
		}
	}
	return g.HTTP2 == nil || g.HTTP2.IsDrained()
}

// ApplyLimits sets the Go runtime's limits (GOMAXPROCS, the memory limit and the collector's pace) from the configured ones.
func ApplyLimits(l config.Limits) {
	// A poller that sleeps in a system call keeps its P until the runtime retakes it, which can take milliseconds. With
	// one P more than there are cores no goroutine has to wait for that.
	runtime.GOMAXPROCS(int(l.Cores+0.999) + 1)
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 / 3 * 2)
	memoryLimit.Store(int64(l.MemoryMB) << 20)
	adjustGCPercent()
	startGCHook.Do(func() { afterEachGC(adjustGCPercent) })
}

var (
	memoryLimit atomic.Int64 // bytes
	startGCHook sync.Once
)

// adjustGCPercent makes the next collection start when the heap has grown by a fraction of the memory limit, instead of a
// fraction of the live heap: with the default ratio the collector would run all the time while little is live, and let
// the heap double while much is. The growth is an eighth of what the limit leaves above the live heap, at least a
// sixteenth of the limit; the percentage is kept from 20 to 1600.
func adjustGCPercent() {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	limit, live := memoryLimit.Load(), max(int64(sample[0].Value.Uint64()), 1<<20)
	debug.SetGCPercent(int(min(max(max(limit/16, limit/8-live/8)*100/live, 20), 1600)))
}

// afterEachGC calls f after each collection, on the runtime's finalizer goroutine: each collection finalizes an
// unreachable object, whose finalizer calls f and creates the next one.
func afterEachGC(f func()) {
	type sentinel struct{ _ *byte }
	var armNext func()
	armNext = func() {
		runtime.SetFinalizer(&sentinel{}, func(*sentinel) {
			f()
			armNext()
		})
	}
	armNext()
}
