package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"cobaltflow/internal/fleet/farm"
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

func (r *rig) fault(ctx context.Context, f *scenario.Fault, at float64, rng *rand.Rand) (turns []turn) {
	site, to := r.set.Site(f.Site), r.set.Site(f.To)
	begin := func(later float64, run func()) { turns = append(turns, turn{at + later, f.What, false, run}) }
	end := func(later float64, run func()) {
		if f.ForS > 0 {
			turns = append(turns, turn{at + f.ForS + later, f.What, true, run})
		}
	}
	workers := func() []*farm.Worker {
		return share(r.workers, f, rng, func(w *farm.Worker) bool { return site < 0 || w.Site == site })
	}
	schedulers := func() []*scheduler {
		return share(r.schedulers, f, rng, func(s *scheduler) bool { return site < 0 || s.site == site })
	}
	set := func(on, off func(*farm.Behaviour)) {
		some := workers()
		begin(0, func() { each(some, func(w *farm.Worker) { w.Set(on) }) })
		end(0, func() { each(some, func(w *farm.Worker) { w.Set(off) }) })
	}
	var kinds []relay.Kind
	for _, p := range f.Paths {
		kinds = append(kinds, relay.KindOf(p))
	}
	path := func(on, off func(*relay.Trouble)) {
		begin(0, func() { r.net.Change(kinds, site, to, !f.OneWay, on) })
		end(0, func() { r.net.Change(kinds, site, to, !f.OneWay, off) })
	}
	switch f.What {
	case "lose-site":
		ws, ss := workers(), schedulers()
		begin(0, func() { r.loseWorkers(ws, true, f.Hung); r.kill(ss, syscall.SIGKILL) })
		end(max(0, -f.LaterS), func() { r.returnWorkers(ws, f.Back) })
		end(max(0, f.LaterS), func() { r.restart(ctx, ss) })
	case "silence-workers", "crash-workers":
		ws := workers()
		begin(0, func() { r.loseWorkers(ws, f.What == "silence-workers", f.Hung) })
		end(0, func() { r.returnWorkers(ws, f.Back) })
	case "drain-workers":
		ws := workers()
		begin(0, func() {
			each(ws, func(w *farm.Worker) { r.discovery.Change(w, "draining", r.set.Discovery.AddS) })
		})
		end(0, func() {
			each(ws, func(w *farm.Worker) { w.Stop(true) })
			r.returnWorkers(ws, f.Back)
		})
	case "slow-workers":
		set(func(b *farm.Behaviour) { b.Slow = f.Factor }, func(b *farm.Behaviour) { b.Slow = 1 })
	case "failing-workers":
		set(func(b *farm.Behaviour) { b.Failing = true }, func(b *farm.Behaviour) { b.Failing = false })
	case "lying-workers":
		set(func(b *farm.Behaviour) { b.Lying = true }, func(b *farm.Behaviour) { b.Lying = false })
	case "stuck-reports":
		set(func(b *farm.Behaviour) { b.Stuck = true }, func(b *farm.Behaviour) { b.Stuck = false })
	case "kill-schedulers":
		ss := schedulers()
		begin(0, func() { r.kill(ss, syscall.SIGKILL) })
		end(0, func() { r.restart(ctx, ss) })
	case "term-schedulers":
		ss := schedulers()
		begin(0, func() { r.kill(ss, syscall.SIGTERM) })
		end(0, func() { r.restart(ctx, ss) })
	case "release-schedulers":
		for i, s := range schedulers() {
			begin(float64(i)*f.StepS, func() {
				r.kill([]*scheduler{s}, syscall.SIGTERM)
				<-s.ended
				r.restart(ctx, []*scheduler{s})
			})
		}
	case "stop-schedulers":
		ss := schedulers()
		begin(0, func() {
			each(ss, func(s *scheduler) {
				s.signal(syscall.SIGSTOP)
				r.note(record.Event{What: "stopped", Text: s.name(), Scheduler: int32(s.number), Worker: -1})
				r.gone(s)
			})
		})
		end(0, func() {
			each(ss, func(s *scheduler) {
				s.signal(syscall.SIGCONT)
				r.note(record.Event{What: "continued", Text: s.name(), Scheduler: int32(s.number), Worker: -1})
				r.front.set(s.number, s.live())
			})
		})
	case "cut":
		path(func(t *relay.Trouble) { t.Cut++ }, func(t *relay.Trouble) { t.Cut-- })
	case "delay":
		by := time.Duration(f.MS * float64(time.Millisecond))
		path(func(t *relay.Trouble) { t.Delay += by }, func(t *relay.Trouble) { t.Delay -= by })
	case "lossy":
		path(func(t *relay.Trouble) { t.Lost += f.Share }, func(t *relay.Trouble) { t.Lost -= f.Share })
	case "trickle":
		path(func(t *relay.Trouble) { t.Trickle++ }, func(t *relay.Trouble) { t.Trickle-- })
	case "reset":
		begin(0, func() { r.net.Reset(kinds, site, to, f.Share) })
	case "freeze-list":
		ss := schedulers()
		begin(0, func() { each(ss, func(s *scheduler) { r.discovery.Freeze(s.number, true) }) })
		end(0, func() { each(ss, func(s *scheduler) { r.discovery.Freeze(s.number, false) }) })
	case "silence-discovery":
		begin(0, func() { r.discovery.Down(true) })
		end(0, func() { r.discovery.Down(false) })
	}
	return turns
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
func (r *rig) loseWorkers(ws []*farm.Worker, silent, hung bool) {
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

func (r *rig) returnWorkers(ws []*farm.Worker, back string) {
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
		r.note(record.Event{What: "killed", Text: fmt.Sprint(s.name(), " ", sig), Scheduler: int32(s.number), Worker: -1})
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
