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
type turn struct {
	at   float64
	what string
	ends bool
	run  func()
}

// faults gives the turns of a scenario's faults, drawn from its seed, in the order written.
func (r *rig) faults(ctx context.Context) (turns []turn) {
	rng := rand.New(rand.NewPCG(r.seed, 0x6661756c74))
	for i := range r.set.Faults {
		f := &r.set.Faults[i]
		for at := f.AtS; ; at += f.Every {
			turns = append(turns, r.fault(ctx, f, at, rng)...)
			if f.Every <= 0 || at+f.Every >= f.Until {
				break
			}
		}
	}
	return turns
}

// injection collects the turns of one fault.
type injection struct {
	rig      *rig
	fault    *scenario.Fault
	at       float64 // seconds
	rng      *rand.Rand
	site, to int // -1: all
	kinds    []relay.Kind
	turns    []turn
}

// fault gives the turns of a fault that begins at a second of the run.
func (r *rig) fault(ctx context.Context, f *scenario.Fault, at float64, rng *rand.Rand) []turn {
	in := &injection{rig: r, fault: f, at: at, rng: rng, site: r.set.Site(f.Site), to: r.set.Site(f.To)}
	for _, p := range f.Paths {
		in.kinds = append(in.kinds, relay.KindOf(p))
	}
	in.onWorkers()
	in.onSchedulers(ctx)
	in.onProcesses(ctx)
	in.onOperators(ctx)
	in.onPaths()
	in.onDiscovery()
	return in.turns
}

// begin has something happen some seconds after the fault's beginning.
func (in *injection) begin(later float64, run func()) {
	in.turns = append(in.turns, turn{in.at + later, in.fault.What, false, run})
}

// end has something happen some seconds after the fault's end, if it has one.
func (in *injection) end(later float64, run func()) {
	if in.fault.ForS > 0 {
		in.turns = append(in.turns, turn{in.at + in.fault.ForS + later, in.fault.What, true, run})
	}
}

// workers draws the workers that the fault meets.
func (in *injection) workers() []*endpoints.Worker {
	return share(in.rig.workers, in.fault, in.rng, func(w *endpoints.Worker) bool { return in.site < 0 || w.Site == in.site })
}

// schedulers draws the schedulers that the fault meets.
func (in *injection) schedulers() []*scheduler {
	return share(in.rig.schedulers, in.fault, in.rng, func(s *scheduler) bool { return in.site < 0 || s.site == in.site })
}

// set changes the behaviour of the workers that the fault meets, and changes it back.
func (in *injection) set(on, off func(*endpoints.Behaviour)) {
	some := in.workers()
	in.begin(0, func() { each(some, func(w *endpoints.Worker) { w.Set(on) }) })
	in.end(0, func() { each(some, func(w *endpoints.Worker) { w.Set(off) }) })
}

// path changes the paths that the fault meets, and changes them back.
func (in *injection) path(on, off func(*relay.Trouble)) {
	in.begin(0, func() { in.rig.net.Change(in.kinds, in.site, in.to, !in.fault.OneWay, on) })
	in.end(0, func() { in.rig.net.Change(in.kinds, in.site, in.to, !in.fault.OneWay, off) })
}

// onWorkers adds the faults of workers alone.
func (in *injection) onWorkers() {
	f, r := in.fault, in.rig
	switch f.What {
	case "silence-workers", "crash-workers":
		ws := in.workers()
		in.begin(0, func() { r.loseWorkers(ws, f.What == "silence-workers", f.Hung) })
		in.end(0, func() { r.returnWorkers(ws, f.Back) })
	case "drain-workers":
		ws := in.workers()
		in.begin(0, func() {
			each(ws, func(w *endpoints.Worker) { r.discovery.Change(w, "draining", r.set.Discovery.AddS) })
		})
		in.end(0, func() {
			each(ws, func(w *endpoints.Worker) { w.Stop(true) })
			r.returnWorkers(ws, f.Back)
		})
	case "slow-workers":
		in.set(func(b *endpoints.Behaviour) { b.Slow = f.Factor }, func(b *endpoints.Behaviour) { b.Slow = 1 })
	case "failing-workers":
		in.set(func(b *endpoints.Behaviour) { b.Failing = true }, func(b *endpoints.Behaviour) { b.Failing = false })
	case "lying-workers":
		in.set(func(b *endpoints.Behaviour) { b.Lying = true }, func(b *endpoints.Behaviour) { b.Lying = false })
	case "stuck-reports":
		in.set(func(b *endpoints.Behaviour) { b.Stuck = true }, func(b *endpoints.Behaviour) { b.Stuck = false })
	}
}

// onSchedulers adds the faults of schedulers, and those of a whole site.
func (in *injection) onSchedulers(ctx context.Context) {
	f, r := in.fault, in.rig
	switch f.What {
	case "lose-site":
		ws, ss := in.workers(), in.schedulers()
		in.begin(0, func() { r.loseWorkers(ws, true, f.Hung); r.kill(ss, syscall.SIGKILL) })
		in.end(max(0, -f.LaterS), func() { r.returnWorkers(ws, f.Back) })
		in.end(max(0, f.LaterS), func() { r.restart(ctx, ss) })
	case "kill-schedulers":
		ss := in.schedulers()
		in.begin(0, func() { r.kill(ss, syscall.SIGKILL) })
		in.end(0, func() { r.restart(ctx, ss) })
	case "term-schedulers":
		ss := in.schedulers()
		in.begin(0, func() { r.kill(ss, syscall.SIGTERM) })
		in.end(0, func() { r.restart(ctx, ss) })
	case "release-schedulers":
		for i, s := range in.schedulers() {
			in.begin(float64(i)*f.StepS, func() {
				p := s.latest()
				r.kill([]*scheduler{s}, syscall.SIGTERM)
				if p != nil {
					<-p.ended
				}
				r.restart(ctx, []*scheduler{s})
			})
		}
	case "stop-schedulers":
		ss := in.schedulers()
		in.begin(0, func() {
			each(ss, func(s *scheduler) {
				s.signal(syscall.SIGSTOP)
				r.note(record.Event{What: "stopped", Text: s.name(), Scheduler: int32(s.number), Worker: -1})
				r.gone(s)
			})
		})
		in.end(0, func() {
			each(ss, func(s *scheduler) {
				s.signal(syscall.SIGCONT)
				r.note(record.Event{What: "continued", Text: s.name(), Scheduler: int32(s.number), Worker: -1})
				r.front.set(s.number, s.live())
			})
		})
	}
}

// onPaths adds the faults of the network.
func (in *injection) onPaths() {
	f, r := in.fault, in.rig
	switch f.What {
	case "cut":
		in.path(func(t *relay.Trouble) { t.Cut++ }, func(t *relay.Trouble) { t.Cut-- })
	case "delay":
		by := time.Duration(f.MS * float64(time.Millisecond))
		in.path(func(t *relay.Trouble) { t.Delay += by }, func(t *relay.Trouble) { t.Delay -= by })
	case "lossy":
		in.path(func(t *relay.Trouble) { t.Lost += f.Share }, func(t *relay.Trouble) { t.Lost -= f.Share })
	case "trickle":
		in.path(func(t *relay.Trouble) { t.Trickle++ }, func(t *relay.Trouble) { t.Trickle-- })
	case "reset":
		in.begin(0, func() { r.net.Reset(in.kinds, in.site, in.to, f.Share) })
	}
}

// onDiscovery adds the faults of discovery.
func (in *injection) onDiscovery() {
	r := in.rig
	switch in.fault.What {
	case "freeze-list":
		ss := in.schedulers()
		in.begin(0, func() { each(ss, func(s *scheduler) { r.discovery.Freeze(s.number, true) }) })
		in.end(0, func() { each(ss, func(s *scheduler) { r.discovery.Freeze(s.number, false) }) })
	case "silence-discovery":
		in.begin(0, func() { r.discovery.Down(true) })
		in.end(0, func() { r.discovery.Down(false) })
	}
}

func each[T any](list []T, f func(T)) {
	for _, x := range list {
		f(x)
	}
}

// share draws those that a fault meets.
func share[T any](all []T, f *scenario.Fault, rng *rand.Rand, may func(T) bool) (some []T) {
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
func (r *rig) loseWorkers(ws []*endpoints.Worker, silent, hung bool) {
	var all sync.WaitGroup // at once: to fall silent takes some milliseconds
	for _, w := range ws {
		if silent {
			all.Go(func() { w.Silence(hung) })
			r.discovery.Change(w, "removed", r.set.Discovery.SilentS)
		} else {
			w.Stop(true)
			r.discovery.Change(w, "removed", r.set.Discovery.NoticeS)
		}
	}
	all.Wait()
}

func (r *rig) returnWorkers(ws []*endpoints.Worker, back string) {
	if back == "never" {
		return
	}
	for _, w := range ws {
		if w.Fallen() {
			continue // it stays down
		}
		w.Stop(false)
		if err := w.Start(back != "warm"); err != nil {
			r.note(record.Event{What: "rig", Text: err.Error(), Scheduler: -1, Worker: int32(w.Number)})
			continue
		}
		r.discovery.Change(w, "up", r.set.Discovery.AddS)
	}
}

func (r *rig) kill(ss []*scheduler, sig syscall.Signal) {
	for _, s := range ss {
		// Noted first: a client may see the end before the signal has returned.
		what := "killed"
		if sig == syscall.SIGTERM {
			what = "terminated"
		}
		r.note(record.Event{What: what, Text: fmt.Sprint(s.name(), " ", sig), Scheduler: int32(s.number), Worker: -1})
		s.signal(sig)
		r.gone(s)
	}
}

// gone has the front notice after a while that a scheduler is not there, if it still is not then.
func (r *rig) gone(s *scheduler) {
	r.mu.Lock()
	wait := r.set.Front.NoticeS.Draw(r.rng)
	r.mu.Unlock()
	time.AfterFunc(time.Duration(wait*float64(time.Second)), func() {
		if !s.live() {
			r.front.set(s.number, false)
		}
	})
}

// restart starts schedulers that have ended, all at once as far as the machine bears it.
func (r *rig) restart(ctx context.Context, ss []*scheduler) {
	for _, s := range ss {
		go func() {
			if s.latest() != nil {
				r.note(record.Event{What: "killed", Text: s.name(), Scheduler: int32(s.number), Worker: -1})
			}
			s.end()
			if ctx.Err() != nil {
				return
			}
			if err := r.startOne(ctx, s); err != nil && ctx.Err() == nil {
				r.note(record.Event{What: "crashed", Text: err.Error(), Scheduler: int32(s.number), Worker: -1})
				return
			}
			r.note(record.Event{What: "ready", Text: s.name(), Scheduler: int32(s.number), Worker: -1})
		}()
	}
}
