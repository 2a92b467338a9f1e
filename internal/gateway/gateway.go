// Package gateway puts the parts of one scheduler together: the loop, the core, and the fronts that the
// configuration asks for. It decides nothing and knows no wire.
package gateway

import (
	"log/slog"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/faktory"
	"cobaltflow/internal/front/admin"
	"cobaltflow/internal/front/admission"
	"cobaltflow/internal/front/http2"
	"cobaltflow/internal/platform"
)

// Gateway is one scheduler in this process.
type Gateway struct {
	Conf        *config.Config
	Loop        *core.Loop
	Core        *core.Core
	Front       *platform.Front
	Faktory     *faktory.Front // nil: off
	HTTP2       *http2.Front   // nil: off
	Admin       *admin.Front   // nil: there is no operators' address
	log         *slog.Logger
	closeChecks int

	directives *directives
	onReload   func()
}

// New makes a gateway; Start opens it.
func New(conf *config.Config, log *slog.Logger) *Gateway {
	g := &Gateway{Conf: conf, Loop: core.NewLoop(), log: log}
	settings := conf.Settings
	if conf.Faktory.On() {
		settings = core.WithAtMostOnceClasses(settings)
	}
	g.Core = core.New(g.Loop, settings, conf.Seed, log)
	if conf.Sites.Plan {
		g.Core.WatchSites(conf.Sites.Settings(&conf.Settings), conf.Names.Zones, conf.Seed)
	}
	if conf.Ownership != nil {
		g.Core.EnableOwnership(*conf.Ownership)
	}
	controller := admission.NewController(g.Core, &conf.Names)
	g.Front = platform.New(g.Core, conf, controller, log)
	if conf.HTTP2.On() {
		g.HTTP2 = http2.New(g.Core, conf, controller, log)
	}
	if conf.Faktory.On() {
		g.Faktory = faktory.New(g.Core, conf, log)
	}
	return g
}

// Start listens. It is called before Run; its error names the key of an address that can't be had.
func (g *Gateway) Start() error {
	for _, note := range g.Conf.Notes {
		g.log.Info("configuration", "note", note)
	}
	g.directives = openDirectives(g.Conf, g.Core, g.Front, g.log)
	g.directives.reload = g.onReload
	g.Core.Log = g.log.With("generation", g.directives.generation())
	if err := g.Front.Start(); err != nil {
		return err
	}
	g.directives.applyInitial()
	g.log.Info("serves", "name", g.Conf.Name, "address", g.Front.Address(), "workers", g.Core.WorkerCount(), "generation",
		g.directives.generation())
	if g.Conf.Admin != "" {
		g.Admin = admin.New(g.Core, g.Conf, g.Front, g.directives, g.log)
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
	if g.Faktory != nil {
		if err := g.Faktory.Start(); err != nil {
			return err
		}
		g.log.Info("faktory: serves", "address", g.Faktory.Address())
	}
	if err := writePIDFile(g.Conf); err != nil {
		g.log.Warn("a predecessor of an older version will not know of this process", "error", err)
	}
	g.directives.replica.MarkServing()
	g.directives.replica.Run()
	return nil
}

// Run turns the loop until Stop has come to its end.
func (g *Gateway) Run() {
	g.Loop.Run()
	g.directives.replica.Close()
	n := g.Core.Counts
	g.log.Info("ended", "taken", n.Accepted, "served", n.Served, "refused", n.Refused, "failed", n.Failed, "hung_up", n.Cancelled,
		"passes", n.Attempts, "probes", n.Probes)
}

// OnReload sets what is called, on the loop, when another process of this scheduler was asked to read its configuration
// again; it must not block. It is called before Start.
func (g *Gateway) OnReload(reload func()) { g.onReload = reload }

// TellReload tells the scheduler's other processes that this one was asked to read its configuration again. It may be
// called from any goroutine.
func (g *Gateway) BroadcastReload() { g.Loop.Post(g.directives.broadcastReload) }

// Reload takes a new configuration over; it may be called from any goroutine.
func (g *Gateway) Reload(next *config.Config) {
	g.Loop.Post(func() {
		g.Front.Reload(next)
		ApplyLimits(g.Front.Limits())
	})
}

// ReloadFailed logs why the old configuration stands.
func (g *Gateway) ReloadFailed(err error) {
	// By the loop, which runs no event once the log is closed.
	g.Loop.Post(func() { g.log.Warn("reload: the old configuration is kept", "error", err) })
}

// Stop has the gateway end in order: what was taken is answered first. It may be called from any goroutine.
func (g *Gateway) Stop() {
	// Read before the loop is asked: the loop does no I/O of its own.
	handOver := g.directives.hasSuccessor()
	g.Loop.Post(func() {
		if handOver {
			g.log.Info("a successor serves at the same address: the clients are sent over")
			g.Front.HandOver()
		}
		g.Core.AnnounceLeaving()
		if g.Faktory != nil {
			g.Faktory.Quiet()
		}
		if g.HTTP2 != nil {
			g.HTTP2.Quiet(g.Front.AnswerTimeout())
		}
		g.Front.Stop(g.closeFronts)
	})
}

// end closes the other fronts when the first has nothing left: their jobs are the core's too, so that only answers
// may still be on their way, for a bounded time.
func (g *Gateway) closeFronts() {
	if g.HTTP2 != nil && !g.HTTP2.Done() && g.closeChecks < 100 {
		g.closeChecks++
		g.Loop.At(g.Loop.Now()+20*core.Millisecond, g.closeFronts)
		return
	}
	if g.Faktory != nil {
		g.Faktory.Close()
	}
	if g.HTTP2 != nil {
		g.HTTP2.Close()
	}
	if g.Admin != nil {
		g.Admin.Close()
	}
	g.Loop.At(g.Loop.Now()+20*core.Millisecond, g.Loop.Stop)
}

// KeepWithin sets the runtime's own limits.
func ApplyLimits(l config.Limits) {
	// A poller that sleeps in a system call holds a proc until the runtime takes it back, which can
	// take milliseconds: with one proc more than the cores nothing waits for that.
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

// pace has the collector run next when the heap has grown by a part of the limit, not of what lives: with little
// alive the usual ratio has it run all the time, and with much it lets the heap double.
func adjustGCPercent() {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	most, live := memoryLimit.Load(), max(int64(sample[0].Value.Uint64()), 1<<20)
	debug.SetGCPercent(int(min(max(max(most/16, most/8-live/8)*100/live, 20), 1600)))
}

// afterEachCollection calls f after each run of the collector, on a goroutine of the runtime's: an object that
// nobody holds is found by each run.
func afterEachGC(f func()) {
	type sentinel struct{ _ *byte }
	var arm func()
	arm = func() {
		runtime.SetFinalizer(&sentinel{}, func(*sentinel) {
			f()
			arm()
		})
	}
	arm()
}
