package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"cobaltflow/internal/fleet/endpoints"
	"cobaltflow/internal/fleet/record"
)

// onProcesses adds what operators and the platform do to the processes of a scheduler, and crowds of clients before it.
func (in *injection) onProcesses(ctx context.Context) {
	f, r := in.fault, in.rig
	switch f.What {
	case "end-schedulers":
		ss := in.schedulers()
		in.begin(0, func() { r.kill(ss, syscall.SIGTERM) })
		in.begin(r.killAfter().Seconds(), func() { r.restart(ctx, ss) })
	case "upgrade-schedulers":
		ss := in.schedulers()
		in.begin(0, func() { each(ss, func(s *scheduler) { go r.upgrade(ctx, s) }) })
	case "reload-schedulers":
		ss, seed := in.schedulers(), in.rng.Uint64()
		rng := rand.New(rand.NewPCG(seed, 1))
		for n := range max(1, f.Count) {
			in.begin(float64(n)*f.StepS, func() { each(ss, func(s *scheduler) { s.signalOne(rng, syscall.SIGHUP) }) })
		}
	case "hold-schedulers":
		ss := in.schedulers()
		in.begin(0, func() { each(ss, func(s *scheduler) { s.signal(syscall.SIGSTOP) }) })
		in.end(0, func() { each(ss, func(s *scheduler) { s.signal(syscall.SIGCONT) }) })
	case "lose-folder":
		ss := in.schedulers()
		in.begin(0, func() { each(ss, func(s *scheduler) { s.moveFolder(true) }) })
		in.end(0, func() { each(ss, func(s *scheduler) { s.moveFolder(false) }) })
	case "crowd":
		ss := in.schedulers()
		in.begin(0, func() {
			each(ss, func(s *scheduler) { go crowd(ctx, s, time.Duration(f.ForS*float64(time.Second))) })
		})
	}
}

// onOperators adds the operators' calls. Which process of a scheduler takes a call is drawn when it is made.
func (in *injection) onOperators(ctx context.Context) {
	f, r := in.fault, in.rig
	rng := &lockedRand{rng: rand.New(rand.NewPCG(in.rng.Uint64(), 2))}
	switch f.What {
	case "disable-workers":
		ws := in.workers()
		in.begin(0, func() { r.tellAll(ctx, rng, ws, true) })
		in.end(0, func() { r.tellAll(ctx, rng, ws, false) })
	case "drain-clients":
		ss := in.schedulers()
		in.begin(0, func() { each(ss, func(s *scheduler) { go r.drain(ctx, rng, s, f.ForS) }) })
	}
}

type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (l *lockedRand) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n)
}

func (r *rig) upgrade(ctx context.Context, s *scheduler) {
	if err := s.upgrade(ctx); err != nil && ctx.Err() == nil {
		r.note(record.Event{What: "crashed", Text: err.Error(), Scheduler: int32(s.number), Worker: -1})
	}
}

// newborn is the age under which a process may not have its signal handlers yet: until the language's runtime has set them
// the kernel ends a process that gets SIGHUP, and no program can change that.
const newborn = 100 * time.Millisecond

// signalOne sends a signal to one of the processes that are old enough to take it.
func (s *scheduler) signalOne(rng *rand.Rand, sig syscall.Signal) {
	all := slices.DeleteFunc(s.all(), func(p *process) bool { return time.Since(p.started) < newborn })
	if len(all) > 0 {
		s.signalTo(all[rng.IntN(len(all))], sig)
	}
}

// moveFolder has the folder for temporary files be away, or brings it back.
func (s *scheduler) moveFolder(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, to := s.temp, s.temp+".away"
	if !away {
		from, to = to, from
	}
	os.Rename(from, to)
}

// tellAll makes a call about workers at one process of each scheduler.
func (r *rig) tellAll(ctx context.Context, rng *lockedRand, ws []*endpoints.Worker, out bool) {
	for _, s := range r.schedulers {
		for _, w := range ws {
			go r.tellOne(ctx, rng, s, w, out)
		}
	}
}

// bindsAfter is how long after an operator's call it binds, whether or not it was answered.
const bindsAfter = time.Second

// tellOne takes a worker out at one process of a scheduler, or lets it back, and notes from when that binds: from the yes,
// or a second after the call; what lets it back, from the call on.
func (r *rig) tellOne(ctx context.Context, rng *lockedRand, s *scheduler, w *endpoints.Worker, out bool) {
	verb, what := "enable", "back"
	if out {
		verb, what = "disable", "out"
	}
	e := record.Event{What: what, Text: s.name() + " " + w.Name, Scheduler: int32(s.number), Worker: int32(w.Number)}
	called := time.Now()
	e.CalledUS = r.recorder.Now()
	if !out {
		r.note(e)
	}
	status := r.call(ctx, rng, s, "/-/table-workers/"+w.Name+"/"+verb)
	r.noteCall(e, verb, status, time.Since(called))
	switch {
	case !out:
	case status == http.StatusServiceUnavailable:
		time.Sleep(time.Until(called.Add(bindsAfter)))
		fallthrough
	case status == http.StatusOK:
		r.note(e)
	}
}

// noteCall notes how an operator's call was answered, and how long that took.
func (r *rig) noteCall(e record.Event, verb string, status int, took time.Duration) {
	e.What, e.Text = "called", fmt.Sprintf("%s: %s answered %d after %.3f s", e.Text, verb, status, took.Seconds())
	r.note(e)
}

// call makes an operator's call at one process of a scheduler; where that has just ended, or does not listen yet, at each of
// the others in turn. 0: none took it.
func (r *rig) call(ctx context.Context, rng *lockedRand, s *scheduler, path string) (status int) {
	all := s.all()
	if len(all) == 0 {
		return 0
	}
	first := rng.intN(len(all))
	for n := range all {
		p := all[(first+n)%len(all)]
		ctx, cancel := context.WithTimeout(ctx, bindsAfter)
		status, err := ask(ctx, "POST", p.admin, path)
		cancel()
		if err == nil {
			return status
		}
	}
	return 0
}

// drain has a scheduler send its clients away for some seconds. Once it has said yes nothing at its clients' address may
// say that it is ready, whichever of its processes answers.
func (r *rig) drain(ctx context.Context, rng *lockedRand, s *scheduler, seconds float64) {
	const notice = 200 * time.Millisecond // the front asks ten times a second, and sends clients for so much longer
	starts, resumed := s.startsSoFar(), s.resumed.Load()
	stands := func() bool { return s.startsSoFar() == starts && s.resumed.Load() == resumed }
	if r.call(ctx, rng, s, "/-/drain") != http.StatusOK {
		return
	}
	until := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	time.AfterFunc(notice, func() { r.front.set(s.number, false) })
	for time.Now().Before(until) && ctx.Err() == nil && stands() {
		if status, _ := ask(ctx, "GET", s.listen, "/-/ready"); status == http.StatusOK && stands() {
			r.note(record.Event{What: "still-ready", Text: s.name(), Scheduler: int32(s.number), Worker: -1})
		}
		time.Sleep(notice / 2)
	}
	s.resumed.Add(1) // the call back undoes each drain before it, another operator's too
	r.call(ctx, rng, s, "/-/resume")
	r.front.set(s.number, s.live())
}

// startsSoFar counts the folders that the scheduler's processes have had: with a new one it starts from nothing.
func (s *scheduler) startsSoFar() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.temp
}

// crowd has clients connect to a scheduler and stay: idle, or with half a request. They come again when they are closed.
func crowd(ctx context.Context, s *scheduler, long time.Duration) {
	const (
		clients = 60
		half    = "POST /view/k1 HTTP/1.1\r\nHost: x\r\nX-Corr"
		pause   = 20 * time.Millisecond
	)
	ctx, cancel := context.WithTimeout(ctx, long)
	defer cancel()
	var all sync.WaitGroup
	for n := range clients {
		all.Go(func() {
			for ctx.Err() == nil {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", s.listen.String())
				if err == nil {
					if n%2 == 0 {
						fmt.Fprint(c, half)
					}
					stop := context.AfterFunc(ctx, func() { c.Close() })
					io.Copy(io.Discard, c)
					stop()
					c.Close()
				}
				select {
				case <-time.After(pause):
				case <-ctx.Done():
				}
			}
		})
	}
	all.Wait()
}
