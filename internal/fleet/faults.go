package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"cobaltflow/internal/fleet/endpoints"
	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/relay"
	"cobaltflow/internal/fleet/scenario"
)

// turn is a fault's begin or end, at a time.
type faultEvent struct {
	atS   float64
	kind  string
	isEnd bool
	run   func()
}

// faults gives the turns of a scenario's faults, drawn from its seed, in the order written.
func (r *harness) faultEvents(ctx context.Context) (turns []faultEvent) {
	rng := rand.New(rand.NewPCG(r.seed, 0x6661756c74))
	for i := range r.scenario.Faults {
		f := &r.scenario.Faults[i]
		for at := f.AtS; ; at += f.Every {
			turns = append(turns, r.faultEventsAt(ctx, f, at, rng)...)
			if f.Every <= 0 || at+f.Every >= f.Until {
				break
			}
		}
	}
	return turns
}

// injection collects the turns of one fault.
type injection struct {
	harness  *harness
	fault    *scenario.Fault
	atS      float64 // seconds
	rng      *rand.Rand
	site, to int // -1: all
	kinds    []relay.Kind
	events   []faultEvent
}

// fault gives the turns of a fault that begins at a second of the run.
func (r *harness) faultEventsAt(ctx context.Context, f *scenario.Fault, at float64, rng *rand.Rand) []faultEvent {
	in := &injection{harness: r, fault: f, atS: at, rng: rng, site: r.scenario.SiteIndex(f.Site), to: r.scenario.SiteIndex(f.To)}
	for _, p := range f.Paths {
		in.kinds = append(in.kinds, relay.ParseKind(p))
	}
	in.addWorkerFaults()
	in.addSchedulerFaults(ctx)
	in.addProcessFaults(ctx)
	in.addOperatorCalls(ctx)
	in.addNetworkFaults()
	in.addDiscoveryFaults()
	return in.events
}

// begin has something happen some seconds after the fault's beginning.
func (in *injection) atStart(later float64, run func()) {
	in.events = append(in.events, faultEvent{in.atS + later, in.fault.What, false, run})
}

// end has something happen some seconds after the fault's end, if it has one.
func (in *injection) atEnd(later float64, run func()) {
	if in.fault.ForS > 0 {
		in.events = append(in.events, faultEvent{in.atS + in.fault.ForS + later, in.fault.What, true, run})
	}
}

// workers draws the workers that the fault meets.
func (in *injection) drawWorkers() []*endpoints.Worker {
	return drawTargets(in.harness.workers, in.fault, in.rng, func(w *endpoints.Worker) bool { return in.site < 0 || w.Site == in.site })
}

// schedulers draws the schedulers that the fault meets.
func (in *injection) drawSchedulers() []*scheduler {
	return drawTargets(in.harness.schedulers, in.fault, in.rng, func(s *scheduler) bool { return in.site < 0 || s.site == in.site })
}

// set changes the behaviour of the workers that the fault meets, and changes it back.
func (in *injection) changeWorkers(on, off func(*endpoints.Behaviour)) {
	some := in.drawWorkers()
	in.atStart(0, func() { each(some, func(w *endpoints.Worker) { w.UpdateBehaviour(on) }) })
	in.atEnd(0, func() { each(some, func(w *endpoints.Worker) { w.UpdateBehaviour(off) }) })
}

// path changes the paths that the fault meets, and changes them back.
func (in *injection) changePaths(on, off func(*relay.Impairment)) {
	in.atStart(0, func() { in.harness.network.UpdateImpairments(in.kinds, in.site, in.to, !in.fault.OneWay, on) })
	in.atEnd(0, func() { in.harness.network.UpdateImpairments(in.kinds, in.site, in.to, !in.fault.OneWay, off) })
}

// onWorkers adds the faults of workers alone.
func (in *injection) addWorkerFaults() {
	f, r := in.fault, in.harness
	switch f.What {
	case "silence-workers", "crash-workers":
		ws := in.drawWorkers()
		in.atStart(0, func() { r.loseWorkers(ws, f.What == "silence-workers", f.Hung) })
		in.atEnd(0, func() { r.returnWorkers(ws, f.Back) })
	case "drain-workers":
		ws := in.drawWorkers()
		in.atStart(0, func() {
			each(ws, func(w *endpoints.Worker) { r.discovery.Announce(w, "draining", r.scenario.Discovery.AddS) })
		})
		in.atEnd(0, func() {
			each(ws, func(w *endpoints.Worker) { w.Stop(true) })
			r.returnWorkers(ws, f.Back)
		})
	case "slow-workers":
		in.changeWorkers(func(b *endpoints.Behaviour) { b.Slowdown = f.Factor }, func(b *endpoints.Behaviour) { b.Slowdown = 1 })
	case "failing-workers":
		in.changeWorkers(func(b *endpoints.Behaviour) { b.IsFailing = true }, func(b *endpoints.Behaviour) { b.IsFailing = false })
	case "lying-workers":
		in.changeWorkers(func(b *endpoints.Behaviour) { b.ReportsIdle = true }, func(b *endpoints.Behaviour) { b.ReportsIdle = false })
	case "stuck-reports":
		in.changeWorkers(func(b *endpoints.Behaviour) { b.FreezesReports = true }, func(b *endpoints.Behaviour) { b.FreezesReports = false })
	}
}

// onSchedulers adds the faults of schedulers, and those of a whole site.
func (in *injection) addSchedulerFaults(ctx context.Context) {
	f, r := in.fault, in.harness
	switch f.What {
	case "lose-site":
		ws, ss := in.drawWorkers(), in.drawSchedulers()
		in.atStart(0, func() { r.loseWorkers(ws, true, f.Hung); r.signalSchedulers(ss, syscall.SIGKILL) })
		in.atEnd(max(0, -f.LaterS), func() { r.returnWorkers(ws, f.Back) })
		in.atEnd(max(0, f.LaterS), func() { r.restartSchedulers(ctx, ss) })
	case "kill-schedulers":
		ss := in.drawSchedulers()
		in.atStart(0, func() { r.signalSchedulers(ss, syscall.SIGKILL) })
		in.atEnd(0, func() { r.restartSchedulers(ctx, ss) })
	case "term-schedulers":
		ss := in.drawSchedulers()
		in.atStart(0, func() { r.signalSchedulers(ss, syscall.SIGTERM) })
		in.atEnd(0, func() { r.restartSchedulers(ctx, ss) })
	case "release-schedulers":
		for i, s := range in.drawSchedulers() {
			in.atStart(float64(i)*f.StepS, func() {
				p := s.latest()
				r.signalSchedulers([]*scheduler{s}, syscall.SIGTERM)
				if p != nil {
					<-p.exited
				}
				r.restartSchedulers(ctx, []*scheduler{s})
			})
		}
	case "stop-schedulers":
		ss := in.drawSchedulers()
		in.atStart(0, func() {
			each(ss, func(s *scheduler) {
				s.signal(syscall.SIGSTOP)
				r.addEvent(record.Event{Kind: "stopped", Text: s.name(), Scheduler: int32(s.index), Worker: -1})
				r.markDownLater(s)
			})
		})
		in.atEnd(0, func() {
			each(ss, func(s *scheduler) {
				s.signal(syscall.SIGCONT)
				r.addEvent(record.Event{Kind: "continued", Text: s.name(), Scheduler: int32(s.index), Worker: -1})
				r.balancer.setUp(s.index, s.isLive())
			})
		})
	}
}

// onPaths adds the faults of the network.
func (in *injection) addNetworkFaults() {
	f, r := in.fault, in.harness
	switch f.What {
	case "cut":
		in.changePaths(func(t *relay.Impairment) { t.Cuts++ }, func(t *relay.Impairment) { t.Cuts-- })
	case "delay":
		by := time.Duration(f.MS * float64(time.Millisecond))
		in.changePaths(func(t *relay.Impairment) { t.Delay += by }, func(t *relay.Impairment) { t.Delay -= by })
	case "lossy":
		in.changePaths(func(t *relay.Impairment) { t.LossRate += f.Share }, func(t *relay.Impairment) { t.LossRate -= f.Share })
	case "trickle":
		in.changePaths(func(t *relay.Impairment) { t.Throttles++ }, func(t *relay.Impairment) { t.Throttles-- })
	case "reset":
		in.atStart(0, func() { r.network.ResetConns(in.kinds, in.site, in.to, f.Share) })
	}
}

// onDiscovery adds the faults of discovery.
func (in *injection) addDiscoveryFaults() {
	r := in.harness
	switch in.fault.What {
	case "freeze-list":
		ss := in.drawSchedulers()
		in.atStart(0, func() { each(ss, func(s *scheduler) { r.discovery.SetFrozen(s.index, true) }) })
		in.atEnd(0, func() { each(ss, func(s *scheduler) { r.discovery.SetFrozen(s.index, false) }) })
	case "silence-discovery":
		in.atStart(0, func() { r.discovery.SetOutage(true) })
		in.atEnd(0, func() { r.discovery.SetOutage(false) })
	}
}

func each[T any](list []T, f func(T)) {
	for _, x := range list {
		f(x)
	}
}

// share draws those that a fault meets.
func drawTargets[T any](all []T, f *scenario.Fault, rng *rand.Rand, may func(T) bool) (some []T) {
	for _, x := range all {
		if may(x) {
			some = append(some, x)
		}
	}
	n := len(some)
	if f.Share > 0 {
		n = max(1, int(f.Share*float64(n)+0.5))
	}
	if f.Count > 0 {
		n = min(n, f.Count)
	}
	rng.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:min(n, len(some))]
}

// loseWorkers has machines vanish, or their processes die. Of a silent one discovery tells later, or never.
func (r *harness) loseWorkers(ws []*endpoints.Worker, silent, hung bool) {
	var all sync.WaitGroup // at once: to fall silent takes some milliseconds
	for _, w := range ws {
		if silent {
			all.Go(func() { w.Silence(hung) })
			r.discovery.Announce(w, "removed", r.scenario.Discovery.SilentS)
		} else {
			w.Stop(true)
			r.discovery.Announce(w, "removed", r.scenario.Discovery.NoticeS)
		}
	}
	all.Wait()
}

func (r *harness) returnWorkers(ws []*endpoints.Worker, back string) {
	if back == "never" {
		return
	}
	for _, w := range ws {
		if w.HasCollapsed() {
			continue // it stays down
		}
		w.Stop(false)
		if err := w.Start(back != "warm"); err != nil {
			r.addEvent(record.Event{Kind: "rig", Text: err.Error(), Scheduler: -1, Worker: int32(w.Number)})
			continue
		}
		r.discovery.Announce(w, "up", r.scenario.Discovery.AddS)
	}
}

func (r *harness) signalSchedulers(ss []*scheduler, sig syscall.Signal) {
	for _, s := range ss {
		// Noted first: a client may see the end before the signal has returned.
		what := "killed"
		if sig == syscall.SIGTERM {
			what = "terminated"
		}
		r.addEvent(record.Event{Kind: what, Text: fmt.Sprint(s.name(), " ", sig), Scheduler: int32(s.index), Worker: -1})
		s.signal(sig)
		r.markDownLater(s)
	}
}

// gone has the front notice after a while that a scheduler is not there, if it still is not then.
func (r *harness) markDownLater(s *scheduler) {
	r.mu.Lock()
	wait := r.scenario.Front.NoticeS.Draw(r.rng)
	r.mu.Unlock()
	time.AfterFunc(time.Duration(wait*float64(time.Second)), func() {
		if !s.isLive() {
			r.balancer.setUp(s.index, false)
		}
	})
}

// restart starts schedulers that have ended, all at once as far as the machine bears it.
func (r *harness) restartSchedulers(ctx context.Context, ss []*scheduler) {
	for _, s := range ss {
		go func() {
			if s.latest() != nil {
				r.addEvent(record.Event{Kind: "killed", Text: s.name(), Scheduler: int32(s.index), Worker: -1})
			}
			s.killAll()
			if ctx.Err() != nil {
				return
			}
			if err := r.startScheduler(ctx, s); err != nil && ctx.Err() == nil {
				r.addEvent(record.Event{Kind: "crashed", Text: err.Error(), Scheduler: int32(s.index), Worker: -1})
				return
			}
			r.addEvent(record.Event{Kind: "ready", Text: s.name(), Scheduler: int32(s.index), Worker: -1})
		}()
	}
}
