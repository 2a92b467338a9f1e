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
func (in *injection) addProcessFaults(ctx context.Context) {
	f, r := in.fault, in.harness
	switch f.What {
	case "end-schedulers":
		ss := in.drawSchedulers()
		in.atStart(0, func() { r.signalSchedulers(ss, syscall.SIGTERM) })
		in.atStart(r.killDelay().Seconds(), func() { r.restartSchedulers(ctx, ss) })
	case "upgrade-schedulers":
		ss := in.drawSchedulers()
		in.atStart(0, func() { each(ss, func(s *scheduler) { go r.upgrade(ctx, s) }) })
	case "reload-schedulers":
		ss, seed := in.drawSchedulers(), in.rng.Uint64()
		rng := rand.New(rand.NewPCG(seed, 1))
		for n := range max(1, f.Count) {
			in.atStart(float64(n)*f.StepS, func() { each(ss, func(s *scheduler) { s.signalRandom(rng, syscall.SIGHUP) }) })
		}
	case "hold-schedulers":
		ss := in.drawSchedulers()
		in.atStart(0, func() { each(ss, func(s *scheduler) { s.signal(syscall.SIGSTOP) }) })
		in.atEnd(0, func() { each(ss, func(s *scheduler) { s.signal(syscall.SIGCONT) }) })
	case "lose-folder":
		ss := in.drawSchedulers()
		in.atStart(0, func() { each(ss, func(s *scheduler) { s.moveTempDir(true) }) })
		in.atEnd(0, func() { each(ss, func(s *scheduler) { s.moveTempDir(false) }) })
	case "crowd":
		ss := in.drawSchedulers()
		in.atStart(0, func() {
			each(ss, func(s *scheduler) { go holdConnections(ctx, s, time.Duration(f.ForS*float64(time.Second))) })
		})
	}
}

// onOperators adds the operators' calls. Which process of a scheduler takes a call is drawn when it is made.
func (in *injection) addOperatorCalls(ctx context.Context) {
	f, r := in.fault, in.harness
	rng := &lockedRand{rng: rand.New(rand.NewPCG(in.rng.Uint64(), 2))}
	switch f.What {
	case "disable-workers":
		ws := in.drawWorkers()
		in.atStart(0, func() { r.setWorkersDisabled(ctx, rng, ws, true) })
		in.atEnd(0, func() { r.setWorkersDisabled(ctx, rng, ws, false) })
	case "drain-clients":
		ss := in.drawSchedulers()
		in.atStart(0, func() { each(ss, func(s *scheduler) { go r.drainClients(ctx, rng, s, f.ForS) }) })
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

func (r *harness) upgrade(ctx context.Context, s *scheduler) {
	if err := s.upgrade(ctx); err != nil && ctx.Err() == nil {
		r.addEvent(record.Event{Kind: "crashed", Text: err.Error(), Scheduler: int32(s.index), Worker: -1})
	}
}

// newborn is the age under which a process may not have its signal handlers yet: until the language's runtime has set them
// the kernel ends a process that gets SIGHUP, and no program can change that.
const minSignalAge = 100 * time.Millisecond

// signalOne sends a signal to one of the processes that are old enough to take it.
func (s *scheduler) signalRandom(rng *rand.Rand, sig syscall.Signal) {
	all := slices.DeleteFunc(s.running(), func(p *process) bool { return time.Since(p.started) < minSignalAge })
	if len(all) > 0 {
		s.signalTo(all[rng.IntN(len(all))], sig)
	}
}

// moveFolder has the folder for temporary files be away, or brings it back.
func (s *scheduler) moveTempDir(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, to := s.tempDir, s.tempDir+".away"
	if !away {
		from, to = to, from
	}
	os.Rename(from, to)
}

// tellAll makes a call about workers at one process of each scheduler.
func (r *harness) setWorkersDisabled(ctx context.Context, rng *lockedRand, ws []*endpoints.Worker, out bool) {
	for _, s := range r.schedulers {
		for _, w := range ws {
			go r.setWorkerDisabled(ctx, rng, s, w, out)
		}
	}
}

// bindsAfter is how long after an operator's call it binds, whether or not it was answered.
const adminCallTimeout = time.Second

// tellOne takes a worker out at one process of a scheduler, or lets it back, and notes from when that binds: from the yes,
// or a second after the call; what lets it back, from the call on.
func (r *harness) setWorkerDisabled(ctx context.Context, rng *lockedRand, s *scheduler, w *endpoints.Worker, out bool) {
	verb, what := "enable", "back"
	if out {
		verb, what = "disable", "out"
	}
	e := record.Event{Kind: what, Text: s.name() + " " + w.Name, Scheduler: int32(s.index), Worker: int32(w.Number)}
	called := time.Now()
	e.CalledUS = r.recorder.ElapsedUS()
	if !out {
		r.addEvent(e)
	}
	status := r.callAdmin(ctx, rng, s, "/-/table-workers/"+w.Name+"/"+verb)
	r.addCallEvent(e, verb, status, time.Since(called))
	switch {
	case !out:
	case status == http.StatusServiceUnavailable:
		time.Sleep(time.Until(called.Add(adminCallTimeout)))
		fallthrough
	case status == http.StatusOK:
		r.addEvent(e)
	}
}

// noteCall notes how an operator's call was answered, and how long that took.
func (r *harness) addCallEvent(e record.Event, verb string, status int, took time.Duration) {
	e.Kind, e.Text = "called", fmt.Sprintf("%s: %s answered %d after %.3f s", e.Text, verb, status, took.Seconds())
	r.addEvent(e)
}

// call makes an operator's call at one process of a scheduler; where that has just ended, or does not listen yet, at each of
// the others in turn. 0: none took it.
func (r *harness) callAdmin(ctx context.Context, rng *lockedRand, s *scheduler, path string) (status int) {
	all := s.running()
	if len(all) == 0 {
		return 0
	}
	first := rng.intN(len(all))
	for n := range all {
		p := all[(first+n)%len(all)]
		ctx, cancel := context.WithTimeout(ctx, adminCallTimeout)
		status, err := sendRequest(ctx, "POST", p.admin, path)
		cancel()
		if err == nil {
			return status
		}
	}
	return 0
}

// drain has a scheduler send its clients away for some seconds. Once it has said yes nothing at its clients' address may
// say that it is ready, whichever of its processes answers.
func (r *harness) drainClients(ctx context.Context, rng *lockedRand, s *scheduler, seconds float64) {
	const notice = 200 * time.Millisecond // the front asks ten times a second, and sends clients for so much longer
	starts, resumed := s.currentTempDir(), s.resumeCalls.Load()
	stands := func() bool { return s.currentTempDir() == starts && s.resumeCalls.Load() == resumed }
	if r.callAdmin(ctx, rng, s, "/-/drain") != http.StatusOK {
		return
	}
	until := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	time.AfterFunc(notice, func() { r.balancer.setUp(s.index, false) })
	for time.Now().Before(until) && ctx.Err() == nil && stands() {
		if status, _ := sendRequest(ctx, "GET", s.listen, "/-/ready"); status == http.StatusOK && stands() {
			r.addEvent(record.Event{Kind: "still-ready", Text: s.name(), Scheduler: int32(s.index), Worker: -1})
		}
		time.Sleep(notice / 2)
	}
	s.resumeCalls.Add(1) // the call back undoes each drain before it, another operator's too
	r.callAdmin(ctx, rng, s, "/-/resume")
	r.balancer.setUp(s.index, s.isLive())
}

// startsSoFar counts the folders that the scheduler's processes have had: with a new one it starts from nothing.
func (s *scheduler) currentTempDir() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tempDir
}

// crowd has clients connect to a scheduler and stay: idle, or with half a request. They come again when they are closed.
func holdConnections(ctx context.Context, s *scheduler, long time.Duration) {
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
