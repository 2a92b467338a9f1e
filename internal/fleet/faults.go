package fleet

import (
	"context"
	"errors"
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

// faultEvent is the start or the end of a fault.
type faultEvent struct {
	atS   float64 // second of the run
	kind  string  // Fault.What
	isEnd bool
	run   func()
}

// faultEvents returns the events of all faults of the scenario, drawn from the run's seed, in the order of the file.
func (h *harness) faultEvents(ctx context.Context) (events []faultEvent) {
	rng := rand.New(rand.NewPCG(h.seed, 0x6661756c74))
	for i := range h.scenario.Faults {
		fault := &h.scenario.Faults[i]
		for atS := fault.AtS; ; atS += fault.Every {
			events = append(events, h.faultEventsAt(ctx, fault, atS, rng)...)
			if fault.Every <= 0 || atS+fault.Every >= fault.Until {
				break
			}
		}
	}
	return events
}

// injection collects the events of one occurrence of a fault.
type injection struct {
	harness  *harness
	fault    *scenario.Fault
	atS      float64 // start, in seconds of the run
	rng      *rand.Rand
	site, to int // -1: all sites
	kinds    []relay.Kind
	events   []faultEvent
}

// faultEventsAt returns the events of one occurrence of a fault, which starts atS seconds into the run.
func (h *harness) faultEventsAt(ctx context.Context, fault *scenario.Fault, atS float64, rng *rand.Rand) []faultEvent {
	in := &injection{harness: h, fault: fault, atS: atS, rng: rng, site: h.scenario.SiteIndex(fault.Site), to: h.scenario.SiteIndex(fault.To)}
	for _, name := range fault.Paths {
		in.kinds = append(in.kinds, relay.ParseKind(name))
	}
	in.addWorkerFaults()
	in.addSchedulerFaults(ctx)
	in.addProcessFaults(ctx)
	in.addOperatorCalls(ctx)
	in.addNetworkFaults()
	in.addDiscoveryFaults()
	return in.events
}

// atStart schedules run delayS seconds after the start of the fault.
func (in *injection) atStart(delayS float64, run func()) {
	in.events = append(in.events, faultEvent{in.atS + delayS, in.fault.What, false, run})
}

// atEnd schedules run delayS seconds after the end of the fault, if it has one.
func (in *injection) atEnd(delayS float64, run func()) {
	if in.fault.ForS > 0 {
		in.events = append(in.events, faultEvent{in.atS + in.fault.ForS + delayS, in.fault.What, true, run})
	}
}

// drawWorkers draws the workers that the fault affects.
func (in *injection) drawWorkers() []*endpoints.Worker {
	return drawTargets(in.harness.workers, in.fault, in.rng, func(w *endpoints.Worker) bool { return in.site < 0 || w.Site == in.site })
}

// drawSchedulers draws the schedulers that the fault affects.
func (in *injection) drawSchedulers() []*scheduler {
	return drawTargets(in.harness.schedulers, in.fault, in.rng, func(s *scheduler) bool { return in.site < 0 || s.site == in.site })
}

// changeWorkers applies on to the behaviour of the affected workers at the start of the fault, and off at its end.
func (in *injection) changeWorkers(on, off func(*endpoints.Behaviour)) {
	workers := in.drawWorkers()
	in.atStart(0, func() { each(workers, func(w *endpoints.Worker) { w.UpdateBehaviour(on) }) })
	in.atEnd(0, func() { each(workers, func(w *endpoints.Worker) { w.UpdateBehaviour(off) }) })
}

// changePaths applies on to the impairments of the affected paths at the start of the fault, and off at its end.
func (in *injection) changePaths(on, off func(*relay.Impairment)) {
	in.atStart(0, func() { in.harness.network.UpdateImpairments(in.kinds, in.site, in.to, !in.fault.OneWay, on) })
	in.atEnd(0, func() { in.harness.network.UpdateImpairments(in.kinds, in.site, in.to, !in.fault.OneWay, off) })
}

// addWorkerFaults adds the faults that affect workers only.
func (in *injection) addWorkerFaults() {
	f, h := in.fault, in.harness
	switch f.What {
	case "silence-workers", "crash-workers":
		workers := in.drawWorkers()
		in.atStart(0, func() { h.loseWorkers(workers, f.What == "silence-workers", f.Hung) })
		in.atEnd(0, func() { h.returnWorkers(workers, f.Back) })
	case "drain-workers":
		workers := in.drawWorkers()
		in.atStart(0, func() {
			each(workers, func(w *endpoints.Worker) { h.discovery.Announce(w, "draining", h.scenario.Discovery.AddS) })
		})
		in.atEnd(0, func() {
			each(workers, func(w *endpoints.Worker) { w.Stop(true) })
			h.returnWorkers(workers, f.Back)
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

// addSchedulerFaults adds the faults of schedulers and of whole sites.
func (in *injection) addSchedulerFaults(ctx context.Context) {
	f, h := in.fault, in.harness
	switch f.What {
	case "lose-site":
		workers, schedulers := in.drawWorkers(), in.drawSchedulers()
		in.atStart(0, func() { h.loseWorkers(workers, true, f.Hung); h.signalSchedulers(schedulers, syscall.SIGKILL) })
		in.atEnd(max(0, -f.LaterS), func() { h.returnWorkers(workers, f.Back) })
		in.atEnd(max(0, f.LaterS), func() { h.restartSchedulers(ctx, schedulers) })
	case "kill-schedulers":
		schedulers := in.drawSchedulers()
		in.atStart(0, func() { h.signalSchedulers(schedulers, syscall.SIGKILL) })
		in.atEnd(0, func() { h.restartSchedulers(ctx, schedulers) })
	case "term-schedulers":
		schedulers := in.drawSchedulers()
		in.atStart(0, func() { h.signalSchedulers(schedulers, syscall.SIGTERM) })
		in.atEnd(0, func() { h.restartSchedulers(ctx, schedulers) })
	case "release-schedulers":
		for i, s := range in.drawSchedulers() {
			in.atStart(float64(i)*f.StepS, func() {
				p := s.latest()
				h.signalSchedulers([]*scheduler{s}, syscall.SIGTERM)
				if p != nil {
					<-p.exited
				}
				h.restartSchedulers(ctx, []*scheduler{s})
			})
		}
	case "stop-schedulers":
		schedulers := in.drawSchedulers()
		in.atStart(0, func() {
			each(schedulers, func(s *scheduler) {
				s.signal(syscall.SIGSTOP)
				h.addEvent(record.Event{Kind: "stopped", Text: s.name(), Scheduler: int32(s.index), Worker: -1})
				h.markDownLater(s)
			})
		})
		in.atEnd(0, func() {
			each(schedulers, func(s *scheduler) {
				s.signal(syscall.SIGCONT)
				h.addEvent(record.Event{Kind: "continued", Text: s.name(), Scheduler: int32(s.index), Worker: -1})
				h.balancer.setUp(s.index, s.isLive())
			})
		})
	}
}

// addNetworkFaults adds the faults of the network.
func (in *injection) addNetworkFaults() {
	f, h := in.fault, in.harness
	switch f.What {
	case "cut":
		in.changePaths(func(i *relay.Impairment) { i.Cuts++ }, func(i *relay.Impairment) { i.Cuts-- })
	case "delay":
		delay := time.Duration(f.MS * float64(time.Millisecond))
		in.changePaths(func(i *relay.Impairment) { i.Delay += delay }, func(i *relay.Impairment) { i.Delay -= delay })
	case "lossy":
		in.changePaths(func(i *relay.Impairment) { i.LossRate += f.Share }, func(i *relay.Impairment) { i.LossRate -= f.Share })
	case "trickle":
		in.changePaths(func(i *relay.Impairment) { i.Throttles++ }, func(i *relay.Impairment) { i.Throttles-- })
	case "reset":
		in.atStart(0, func() { h.network.ResetConns(in.kinds, in.site, in.to, f.Share) })
	}
}

// addDiscoveryFaults adds the faults of discovery.
func (in *injection) addDiscoveryFaults() {
	h := in.harness
	switch in.fault.What {
	case "freeze-list":
		schedulers := in.drawSchedulers()
		in.atStart(0, func() { each(schedulers, func(s *scheduler) { h.discovery.SetFrozen(s.index, true) }) })
		in.atEnd(0, func() { each(schedulers, func(s *scheduler) { h.discovery.SetFrozen(s.index, false) }) })
	case "silence-discovery":
		in.atStart(0, func() { h.discovery.SetOutage(true) })
		in.atEnd(0, func() { h.discovery.SetOutage(false) })
	}
}

// each calls f for each element of list.
func each[T any](list []T, f func(T)) {
	for _, x := range list {
		f(x)
	}
}

// drawTargets draws the targets of a fault among the candidates: the part Share of them, or all, but at most Count.
func drawTargets[T any](all []T, f *scenario.Fault, rng *rand.Rand, isCandidate func(T) bool) (targets []T) {
	for _, x := range all {
		if isCandidate(x) {
			targets = append(targets, x)
		}
	}
	n := len(targets)
	if f.Share > 0 {
		n = max(1, int(f.Share*float64(n)+0.5))
	}
	if f.Count > 0 {
		n = min(n, f.Count)
	}
	rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(n, len(targets))]
}

// loseWorkers makes machines silent, or their processes crash. Discovery removes a silent worker after silent_s, or never,
// and a crashed one after notice_s.
func (h *harness) loseWorkers(workers []*endpoints.Worker, areSilent, areHung bool) {
	var group sync.WaitGroup // in parallel, as making a listener silent takes some milliseconds
	for _, w := range workers {
		if areSilent {
			group.Go(func() { w.Silence(areHung) })
			h.discovery.Announce(w, "removed", h.scenario.Discovery.SilentS)
		} else {
			w.Stop(true)
			h.discovery.Announce(w, "removed", h.scenario.Discovery.NoticeS)
		}
	}
	group.Wait()
}

// returnWorkers starts lost workers again, cold or warm, unless mode is "never".
func (h *harness) returnWorkers(workers []*endpoints.Worker, mode string) {
	if mode == "never" {
		return
	}
	for _, w := range workers {
		if w.HasCollapsed() {
			continue // a collapsed worker stays down
		}
		w.Stop(false)
		if err := w.Start(mode != "warm"); err != nil {
			h.addEvent(record.Event{Kind: "rig", Text: err.Error(), Scheduler: -1, Worker: int32(w.Number)})
			continue
		}
		h.discovery.Announce(w, "up", h.scenario.Discovery.AddS)
	}
}

// signalSchedulers records and sends a signal that ends schedulers, and has the balancer notice it later.
func (h *harness) signalSchedulers(schedulers []*scheduler, sig syscall.Signal) {
	for _, s := range schedulers {
		// Recorded first, as a client may see the end before the signal call has returned.
		kind := "killed"
		if sig == syscall.SIGTERM {
			kind = "terminated"
		}
		h.addEvent(record.Event{Kind: kind, Text: fmt.Sprint(s.name(), " ", sig), Scheduler: int32(s.index), Worker: -1})
		s.signal(sig)
		h.markDownLater(s)
	}
}

// markDownLater takes a scheduler out of the balancer after a delay drawn from front.notice_s, if it is not live then.
func (h *harness) markDownLater(s *scheduler) {
	h.mu.Lock()
	wait := h.scenario.Front.NoticeS.Draw(h.rng)
	h.mu.Unlock()
	time.AfterFunc(time.Duration(wait*float64(time.Second)), func() {
		if !s.isLive() {
			h.balancer.setUp(s.index, false)
		}
	})
}

// restartSchedulers kills what still runs of the schedulers and starts them again, in parallel within the start slots. It
// does not wait.
func (h *harness) restartSchedulers(ctx context.Context, schedulers []*scheduler) {
	for _, s := range schedulers {
		go func() {
			if s.latest() != nil {
				h.addEvent(record.Event{Kind: "killed", Text: s.name(), Scheduler: int32(s.index), Worker: -1})
			}
			s.killAll()
			if ctx.Err() != nil {
				return
			}
			err := h.startScheduler(ctx, s)
			isTerminated := errors.Is(err, errTerminated)
			if isTerminated && !s.isLive() {
				return // it is absent until the fault that terminated it starts the next process
			}
			if err != nil && !isTerminated && ctx.Err() == nil {
				h.addEvent(record.Event{Kind: "crashed", Text: err.Error(), Scheduler: int32(s.index), Worker: -1})
				return
			}
			h.addEvent(record.Event{Kind: "ready", Text: s.name(), Scheduler: int32(s.index), Worker: -1})
		}()
	}
}
