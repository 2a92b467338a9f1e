package endpoints

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/relay"
	"cobaltflow/internal/fleet/scenario"
)

// Worker is a table worker: slots, a queue served in the order of arrival, kept keys, and reports that are late. It
// listens once for each site, so that the relay of each pair of sites stands before it.
type Worker struct {
	Number   int
	Name     string
	Site     int
	Kind     int
	set      *scenario.Workers
	speed    float64
	recorder *Recorder
	net      *relay.Net
	back     *Backs
	ports    []*reservedPort // by site, from the first start on

	mu      sync.Mutex
	rng     *rand.Rand
	gates   []*gate // by site; nil: it does not run
	life    int     // grows with each start
	up      bool
	silent  bool
	fallen  bool
	started time.Time // zero: long ago
	slow    float64   // running times are multiplied by it
	failing bool
	lying   bool
	stuck   bool
	running []*job
	queue   []*job
	keys    []int32 // kept, the last used last
	pushed  []push  // work that came within the last while, for the cold budget
	reports []report
	nextAt  time.Time
	Probes  atomic.Int64
	conns   atomic.Int64
	meanRun time.Duration
}

type job struct {
	run     record.Run
	try     record.Try
	life    int
	timer   *time.Timer
	begun   chan struct{} // closed when the call that tells of the start is over
	opening time.Duration // what its connection's opening cost
}

type push struct {
	at   time.Time
	work time.Duration
}

type report struct {
	at                    time.Time
	queue, inFlight, free int
	latency               float64
}

// NewWorker makes a table worker; Start runs it.
func NewWorker(number, site, kind int, s *scenario.Scenario, recorder *Recorder, net *relay.Net, back *Backs, seed uint64) *Worker {
	return &Worker{Number: number, Name: fmt.Sprintf("t%03d", number), Site: site, Kind: kind, set: &s.Workers, speed: s.Workers.Kinds[kind].Speed,
		recorder: recorder, net: net, back: back, slow: 1, rng: rand.New(rand.NewPCG(seed, uint64(number)+1)),
		ports: make([]*reservedPort, len(s.Sites)), meanRun: time.Duration(s.MeanRunS() * float64(time.Second))}
}

// Start runs the worker: cold, unless it has run for long. It keeps its addresses.
func (w *Worker) Start(cold bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gates = make([]*gate, len(w.ports))
	for site := range w.ports {
		g, err := w.open(site)
		if err != nil {
			return err
		}
		w.gates[site] = g
	}
	w.life++
	w.up, w.silent, w.fallen = true, false, false
	w.started = time.Time{}
	if cold {
		w.started = time.Now()
	}
	w.keys, w.pushed, w.reports, w.nextAt = nil, nil, nil, time.Time{}
	w.report(time.Now())
	return nil
}

// Address is where schedulers of a site find it.
func (w *Worker) Address(site int) string { return w.ports[site].at.String() }

// Since is its last start as Unix time in milliseconds; 0: long ago.
func (w *Worker) Since() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.started.IsZero() {
		return 0
	}
	return w.started.UnixMilli()
}

// Stop has the process die: connections are reset and new ones refused. Where the machine's agent lives it tells of the
// jobs that were lost.
func (w *Worker) Stop(agent bool) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	gates := w.gates
	w.gates = nil
	lost := w.drop(record.HowLost)
	w.mu.Unlock()
	for _, g := range gates {
		g.close()
	}
	if agent {
		for _, j := range lost {
			w.back.tell(w, j, "lost", "")
		}
	}
}

// Release gives the worker's ports back, when it is not started again.
func (w *Worker) Release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, port := range w.ports {
		if port != nil {
			port.release()
		}
	}
}

// Silence has the machine vanish: nothing is answered nor told any more. Where only the process hangs, connections still
// come up.
func (w *Worker) Silence(hung bool) {
	w.mu.Lock()
	gates := w.gates
	w.silent = true
	w.drop(record.HowLost)
	w.mu.Unlock()
	for _, g := range gates {
		g.listener.Silence(true, hung)
	}
}

// drop forgets all jobs.
func (w *Worker) drop(how string) []*job {
	all := append(append([]*job(nil), w.running...), w.queue...)
	w.running, w.queue = nil, nil
	for _, j := range all {
		if j.timer != nil {
			j.timer.Stop()
		}
		w.over(j, how)
	}
	return all
}

func (w *Worker) over(j *job, how string) {
	j.run.EndedUS, j.run.How = w.recorder.Now(), how
	w.recorder.Ran(j.run)
}

// Set changes how the worker behaves.
func (w *Worker) Set(f func(*Behaviour)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := Behaviour{w.slow, w.failing, w.lying, w.stuck}
	f(&b)
	w.slow, w.failing, w.lying, w.stuck = b.Slow, b.Failing, b.Lying, b.Stuck
}

// Behaviour is what faults change at a worker that runs.
type Behaviour struct {
	Slow                  float64 // running times are multiplied by it
	Failing, Lying, Stuck bool
}

// warmth is the part of its capacity that it has now.
func (w *Worker) warmth(now time.Time) float64 {
	if w.started.IsZero() || w.set.WarmS <= 0 {
		return 1
	}
	return min(1, w.set.ColdFrom+(1-w.set.ColdFrom)*now.Sub(w.started).Seconds()/w.set.WarmS)
}

// tips counts the work that comes to a cold worker, and tells whether it falls over: sent more than a multiple of what
// it can do for a while, and what the operators' terms let pass for chance.
func (w *Worker) tips(now time.Time, work time.Duration) bool {
	warmth := w.warmth(now)
	if warmth >= 1 {
		w.pushed = w.pushed[:0]
		return false
	}
	window := time.Duration(w.set.TipAfterS * float64(time.Second))
	for len(w.pushed) > 0 && now.Sub(w.pushed[0].at) > window {
		w.pushed = w.pushed[1:]
	}
	w.pushed = append(w.pushed, push{now, work})
	sum := time.Duration(0)
	for _, p := range w.pushed {
		sum += p.work
	}
	allowed := w.set.OverloadFactor * float64(w.set.Slots) * warmth * float64(window) / float64(w.meanRun)
	return float64(sum)/float64(w.meanRun) > bearable(allowed)
}

// bearable is how many requests of mean work a cold worker bears in its window where the settings allow so many: by the
// operators' terms N + 2 x root of N + 2, and under 30 N + 3 x root of N + 3.
func bearable(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// taken is what became of a job that came.
type taken uint8

const (
	took taken = iota
	turnedAway
	failedAtOnce
	fell
)

// take has a job join the queue.
func (w *Worker) take(t record.Try, opening time.Duration, leftMS int64) taken {
	now := time.Now()
	run := record.Run{ID: t.ID, Worker: int32(w.Number), Scheduler: t.Scheduler, ArrivedUS: w.recorder.Now(), LeftMS: leftMS}
	w.mu.Lock()
	defer w.mu.Unlock()
	run.WaitingAt = int32(len(w.queue))
	j := &job{run: run, try: t, life: w.life, begun: make(chan struct{}), opening: opening}
	work := time.Duration(float64(t.RunUS) * 1000 / w.speed)
	switch {
	case !w.up || w.silent:
		w.over(j, record.HowLost)
		return fell
	case w.tips(now, work):
		w.fallen = true
		w.over(j, record.HowLost)
		w.recorder.Event(record.Event{AtUS: run.ArrivedUS, What: "fell", Text: w.Name, Scheduler: -1, Worker: int32(w.Number)})
		go w.Stop(true)
		return fell
	case w.failing:
		w.over(j, record.HowFailed)
		return failedAtOnce
	case len(w.queue) >= w.set.Queue:
		w.over(j, record.HowFull)
		return turnedAway
	}
	w.queue = append(w.queue, j)
	w.next(now)
	return took
}

// next starts what fits.
func (w *Worker) next(now time.Time) {
	for len(w.queue) > 0 && len(w.running) < w.set.Slots {
		j := w.queue[0]
		w.queue = w.queue[1:]
		w.running = append(w.running, j)
		takes := time.Duration(float64(j.try.RunUS) * 1000 * w.slow / w.speed / w.warmth(now))
		if w.fetch(j.try.Key) {
			j.run.Fetched = true
			takes += time.Duration(w.set.FetchMS * float64(time.Millisecond))
		}
		takes += j.opening
		j.run.StartedUS = w.recorder.Now()
		j.timer = time.AfterFunc(takes, func() { w.finish(j) })
		go func() {
			w.back.tell(w, j, "started", "")
			close(j.begun)
		}()
	}
}

// fetch tells whether a key has to be brought, and keeps it.
func (w *Worker) fetch(key int32) bool {
	if w.set.KeptKeys == 0 {
		return false
	}
	for i, k := range w.keys {
		if k == key {
			w.keys = append(append(w.keys[:i:i], w.keys[i+1:]...), key)
			return false
		}
	}
	if w.keys = append(w.keys, key); len(w.keys) > w.set.KeptKeys {
		w.keys = w.keys[1:]
	}
	return true
}

func (w *Worker) finish(j *job) {
	w.mu.Lock()
	if j.life != w.life || !w.up || w.silent {
		w.mu.Unlock()
		return
	}
	for i, x := range w.running {
		if x == j {
			w.running = append(w.running[:i], w.running[i+1:]...)
			break
		}
	}
	w.over(j, record.HowDone)
	w.next(time.Now())
	w.mu.Unlock()
	<-j.begun
	w.back.tell(w, j, "done", Result(j.try.ID, w.Name))
}

// Result is the answer that a worker gives for a job.
func Result(id, worker string) string { return id + " by " + worker }

// withdraw gives a waiting job up; one that runs goes on.
func (w *Worker) withdraw(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, j := range w.queue {
		if j.run.ID == id {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			w.over(j, record.HowWithdrawn)
			return
		}
	}
}

// report makes new figures when it is time, and gives those that can be seen now.
func (w *Worker) report(now time.Time) report {
	if now.After(w.nextAt) && !(w.stuck && len(w.reports) > 0) {
		noisy := func(n int) int {
			return max(0, int(float64(n)*(1+w.set.Noise*(2*w.rng.Float64()-1))+0.5))
		}
		r := report{at: now.Add(time.Duration(w.set.ReportDelayS.Draw(w.rng) * float64(time.Second))), queue: noisy(len(w.queue)),
			inFlight: noisy(len(w.queue) + len(w.running)), free: w.set.Slots - len(w.running), latency: w.meanRun.Seconds() * 1000 * w.slow / w.speed}
		if w.lying {
			r.queue, r.inFlight, r.free, r.latency = 0, 0, w.set.Slots, 1
		}
		if len(w.reports) == 0 {
			r.at = now // the first one is seen at once: there is no older
		}
		w.reports = append(w.reports, r)
		w.nextAt = now.Add(time.Duration(w.set.ReportS.Draw(w.rng) * float64(time.Second)))
	}
	for len(w.reports) > 1 && !w.reports[1].at.After(now) {
		w.reports = w.reports[1:]
	}
	return w.reports[0]
}

// Sample tells how full it is; reports are refreshed by the same clock.
func (w *Worker) Sample(atUS int64) record.Sample {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	s := record.Sample{AtUS: atUS, Worker: int32(w.Number), Running: float32(len(w.running)), Waiting: int32(len(w.queue))}
	if w.up && !w.silent {
		w.report(now)
		s.Room = float32(float64(w.set.Slots) * w.warmth(now))
	}
	return s
}

// Fallen tells whether it was pushed over.
func (w *Worker) Fallen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fallen
}

// End notes the jobs that are still there when the run ends.
func (w *Worker) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drop(record.HowOpen)
}
