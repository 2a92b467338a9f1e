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

// addProcessFaults adds what operators and the platform do to the processes of schedulers, and clients that hold many
// connections to them.
func (in *injection) addProcessFaults(ctx context.Context) {
	f, h := in.fault, in.harness
	switch f.What {
	case "end-schedulers":
		schedulers := in.drawSchedulers()
		in.atStart(0, func() {
			h.signalSchedulers(schedulers, syscall.SIGTERM)
			each(schedulers, func(s *scheduler) {
				each(s.running(), func(p *process) { s.startStops(p, f.StoppedMS) })
			})
		})
		in.atStart(h.killDelay().Seconds(), func() { h.restartSchedulers(ctx, schedulers) })
	case "upgrade-schedulers":
		schedulers := in.drawSchedulers()
		in.atStart(0, func() { each(schedulers, func(s *scheduler) { go h.upgrade(ctx, s, f.StoppedMS) }) })
	case "reload-schedulers":
		schedulers, seed := in.drawSchedulers(), in.rng.Uint64()
		rng := rand.New(rand.NewPCG(seed, 1))
		for n := range max(1, f.Count) {
			in.atStart(float64(n)*f.StepS, func() { each(schedulers, func(s *scheduler) { s.signalRandom(rng, syscall.SIGHUP) }) })
		}
	case "hold-schedulers":
		schedulers := in.drawSchedulers()
		in.atStart(0, func() { each(schedulers, func(s *scheduler) { s.signal(syscall.SIGSTOP) }) })
		in.atEnd(0, func() { each(schedulers, func(s *scheduler) { s.signal(syscall.SIGCONT) }) })
	case "lose-folder":
		schedulers := in.drawSchedulers()
		in.atStart(0, func() { each(schedulers, func(s *scheduler) { s.moveTempDir(true) }) })
		in.atEnd(0, func() { each(schedulers, func(s *scheduler) { s.moveTempDir(false) }) })
	case "crowd":
		schedulers := in.drawSchedulers()
		in.atStart(0, func() {
			each(schedulers, func(s *scheduler) { go holdConnections(ctx, s, time.Duration(f.ForS*float64(time.Second))) })
		})
	}
}

// addOperatorCalls adds the operators' admin calls. The process of a scheduler that receives a call is drawn when the call
// is made.
func (in *injection) addOperatorCalls(ctx context.Context) {
	f, h := in.fault, in.harness
	rng := &lockedRand{rng: rand.New(rand.NewPCG(in.rng.Uint64(), 2))}
	switch f.What {
	case "disable-workers":
		workers := in.drawWorkers()
		in.atStart(0, func() { h.setWorkersDisabled(ctx, rng, workers, true) })
		in.atEnd(0, func() { h.setWorkersDisabled(ctx, rng, workers, false) })
	case "drain-clients":
		schedulers := in.drawSchedulers()
		in.atStart(0, func() { each(schedulers, func(s *scheduler) { go h.drainClients(ctx, rng, s, f.ForS) }) })
	}
}

// lockedRand is a random source that several goroutines may use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (l *lockedRand) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n)
}

// upgrade upgrades a scheduler and records a failure as a crash. stoppedMS is as in startStops.
func (h *harness) upgrade(ctx context.Context, s *scheduler, stoppedMS float64) {
	if err := s.upgrade(ctx, stoppedMS); err != nil && ctx.Err() == nil {
		h.addEvent(record.Event{Kind: "crashed", Text: err.Error(), Scheduler: int32(s.index), Worker: -1})
	}
}

// startStops stops an ending process for stoppedMS and lets it run for a third of that, in turns until it has exited. It
// does not wait; with 0 it does nothing. The process must have been sent SIGTERM and be killed later, which bounds the turns.
func (s *scheduler) startStops(p *process, stoppedMS float64) {
	if stoppedMS <= 0 {
		return
	}
	stopped := time.Duration(stoppedMS * float64(time.Millisecond))
	go func() {
		for {
			for _, turn := range []struct {
				signal syscall.Signal
				length time.Duration
			}{{syscall.SIGSTOP, stopped}, {syscall.SIGCONT, stopped / 3}} {
				s.signalTo(p, turn.signal)
				select {
				case <-time.After(turn.length):
				case <-p.exited:
					return
				}
			}
		}
	}()
}

// minSignalAge is the age from which a process is sent SIGHUP. A younger one may not have its signal handlers yet: until
// the Go runtime has installed them, SIGHUP ends the process, which no program can prevent.
const minSignalAge = 100 * time.Millisecond

// signalRandom sends a signal to one of the processes that are at least minSignalAge old.
func (s *scheduler) signalRandom(rng *rand.Rand, sig syscall.Signal) {
	candidates := slices.DeleteFunc(s.running(), func(p *process) bool { return time.Since(p.started) < minSignalAge })
	if len(candidates) > 0 {
		s.signalTo(candidates[rng.IntN(len(candidates))], sig)
	}
}

// moveTempDir renames the directory for temporary files, so that the processes cannot find it, or renames it back.
func (s *scheduler) moveTempDir(isAway bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, to := s.tempDir, s.tempDir+".away"
	if !isAway {
		from, to = to, from
	}
	os.Rename(from, to)
}

// setWorkersDisabled disables or enables workers at each scheduler, with a call to one of its processes for each worker.
func (h *harness) setWorkersDisabled(ctx context.Context, rng *lockedRand, workers []*endpoints.Worker, isDisabled bool) {
	for _, s := range h.schedulers {
		for _, w := range workers {
			go h.setWorkerDisabled(ctx, rng, s, w, isDisabled)
		}
	}
}

// adminCallTimeout is how long after an operator's call its directive is in force, whether or not the call was answered.
// It also bounds the call.
const adminCallTimeout = time.Second

// setWorkerDisabled disables or enables a worker at one process of a scheduler, and records from when on that is in force:
// a disabling from the 200 answer, or adminCallTimeout after the call if it was answered 503; an enabling from the call on. A
// call that another process gets again, as the first one did not answer, counts from then.
func (h *harness) setWorkerDisabled(ctx context.Context, rng *lockedRand, s *scheduler, w *endpoints.Worker, isDisabled bool) {
	verb, kind := "enable", "back"
	if isDisabled {
		verb, kind = "disable", "out"
	}
	e := record.Event{Kind: kind, Text: s.name() + " " + w.Name, Scheduler: int32(s.index), Worker: int32(w.Number)}
	var called time.Time
	status := h.callAdmin(ctx, rng, s, "/-/table-workers/"+w.Name+"/"+verb, func() {
		called, e.CalledUS = time.Now(), h.recorder.ElapsedUS()
		if !isDisabled {
			h.addEvent(e)
		}
	})
	h.addCallEvent(e, verb, status, time.Since(called))
	switch {
	case !isDisabled:
	case status == http.StatusServiceUnavailable:
		time.Sleep(time.Until(called.Add(adminCallTimeout)))
		fallthrough
	case status == http.StatusOK:
		h.addEvent(e)
	}
}

// addCallEvent records the status that an operator's call was answered with, and how long the answer took.
func (h *harness) addCallEvent(e record.Event, verb string, status int, took time.Duration) {
	e.Kind, e.Text = "called", fmt.Sprintf("%s: %s answered %d after %.3f s", e.Text, verb, status, took.Seconds())
	h.addEvent(e)
}

// callAdmin makes an operator's call to a random process of a scheduler. If that process has just ended or does not listen
// yet, it tries the others in turn. beforeCall is called before the call of each process. It returns the status of the answer,
// or 0 if no process answered.
func (h *harness) callAdmin(ctx context.Context, rng *lockedRand, s *scheduler, path string, beforeCall func()) (status int) {
	processes := s.running()
	if len(processes) == 0 {
		return 0
	}
	first := rng.intN(len(processes))
	for n := range processes {
		p := processes[(first+n)%len(processes)]
		beforeCall()
		ctx, cancel := context.WithTimeout(ctx, adminCallTimeout)
		status, err := sendRequest(ctx, "POST", p.admin, path)
		cancel()
		if err == nil {
			return status
		}
	}
	return 0
}

// drainClients drains a scheduler's clients for some seconds. Once the drain call is answered 200, no process that answers
// at the clients' address may report ready; each that does is recorded as "still-ready".
func (h *harness) drainClients(ctx context.Context, rng *lockedRand, s *scheduler, seconds float64) {
	const notice = 200 * time.Millisecond // the balancer polls readiness ten times a second, and sends clients for this long after a drain
	tempDir, resumeCalls := s.currentTempDir(), s.resumeCalls.Load()
	isInForce := func() bool { return s.currentTempDir() == tempDir && s.resumeCalls.Load() == resumeCalls }
	if h.callAdmin(ctx, rng, s, "/-/drain", func() {}) != http.StatusOK {
		return
	}
	until := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	time.AfterFunc(notice, func() { h.balancer.setUp(s.index, false) })
	for time.Now().Before(until) && ctx.Err() == nil && isInForce() {
		if status, _ := sendRequest(ctx, "GET", s.listen, "/-/ready"); status == http.StatusOK && isInForce() {
			h.addEvent(record.Event{Kind: "still-ready", Text: s.name(), Scheduler: int32(s.index), Worker: -1})
		}
		time.Sleep(notice / 2)
	}
	s.resumeCalls.Add(1) // a resume call ends every drain before it, also another operator's
	h.callAdmin(ctx, rng, s, "/-/resume", func() {})
	h.balancer.setUp(s.index, s.isLive())
}

// currentTempDir returns the directory for temporary files. Each start of the scheduler has a new one, and with it no
// directives of earlier starts.
func (s *scheduler) currentTempDir() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tempDir
}

// holdConnections opens 60 connections to a scheduler and holds them for a duration, half of them idle and half with a
// partial request. A connection that the scheduler closes is opened again after 20 ms.
func holdConnections(ctx context.Context, s *scheduler, duration time.Duration) {
	const (
		connCount      = 60
		partialRequest = "POST /view/k1 HTTP/1.1\r\nHost: x\r\nX-Corr"
		reconnectDelay = 20 * time.Millisecond
	)
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var group sync.WaitGroup
	for n := range connCount {
		group.Go(func() {
			for ctx.Err() == nil {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", s.listen.String())
				if err == nil {
					if n%2 == 0 {
						fmt.Fprint(conn, partialRequest)
					}
					stop := context.AfterFunc(ctx, func() { conn.Close() })
					io.Copy(io.Discard, conn)
					stop()
					conn.Close()
				}
				select {
				case <-time.After(reconnectDelay):
				case <-ctx.Done():
				}
			}
		})
	}
	group.Wait()
}
