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
	Number    int
	Name      string
	Site      int
	Kind      int
	cfg       *scenario.Workers
	speed     float64
	recorder  *Recorder
	network   *relay.Network
	callbacks *Callbacks
	ports     []*reservedPort // by site, from the first start on

	mu             sync.Mutex
	rng            *rand.Rand
	servers        []*workerServer // by site; nil: it does not run
	generation     int             // grows with each start
	isUp           bool
	isSilent       bool
	hasCollapsed   bool
	started        time.Time // zero: long ago
	slowdown       float64   // running times are multiplied by it
	isFailing      bool
	reportsIdle    bool
	freezesReports bool
	running        []*job
	queue          []*job
	cachedKeys     []int32   // kept, the last used last
	recentWork     []arrival // work that came within the last while, for the cold budget
	reports        []loadReport
	nextReportAt   time.Time
	ProbeCount     atomic.Int64
	conns          atomic.Int64
	meanRun        time.Duration
}

type job struct {
	attempt       record.Attempt
	try           record.Try
	generation    int
	timer         *time.Timer
	startReported chan struct{} // closed when the call that tells of the start is over
	connectTime   time.Duration // what its connection's opening cost
}

type arrival struct {
	at   time.Time
	work time.Duration
}

type loadReport struct {
	visibleAt             time.Time
	queue, inFlight, free int
	latency               float64
}

// NewWorker makes a table worker; Start runs it.
func NewWorker(number, site, kind int, s *scenario.Scenario, recorder *Recorder, net *relay.Network, back *Callbacks, seed uint64) *Worker {
	return &Worker{Number: number, Name: fmt.Sprintf("t%03d", number), Site: site, Kind: kind, cfg: &s.Workers, speed: s.Workers.Kinds[kind].Speed,
		recorder: recorder, network: net, callbacks: back, slowdown: 1, rng: rand.New(rand.NewPCG(seed, uint64(number)+1)),
		ports: make([]*reservedPort, len(s.Sites)), meanRun: time.Duration(s.MeanRunS() * float64(time.Second))}
}

// Start runs the worker: cold, unless it has run for long. It keeps its addresses.
func (w *Worker) Start(cold bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = make([]*workerServer, len(w.ports))
	for site := range w.ports {
		g, err := w.listen(site)
		if err != nil {
			return err
		}
		w.servers[site] = g
	}
	w.generation++
	w.isUp, w.isSilent, w.hasCollapsed = true, false, false
	w.started = time.Time{}
	if cold {
		w.started = time.Now()
	}
	w.cachedKeys, w.recentWork, w.reports, w.nextReportAt = nil, nil, nil, time.Time{}
	w.currentReport(time.Now())
	return nil
}

// Address is where schedulers of a site find it.
func (w *Worker) Address(site int) string { return w.ports[site].address.String() }

// Since is its last start as Unix time in milliseconds; 0: long ago.
func (w *Worker) StartedMS() int64 {
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
	if !w.isUp {
		w.mu.Unlock()
		return
	}
	w.isUp = false
	gates := w.servers
	w.servers = nil
	lost := w.dropAll(record.OutcomeLost)
	w.mu.Unlock()
	for _, g := range gates {
		g.close()
	}
	if agent {
		for _, j := range lost {
			w.callbacks.send(w, j, "lost", "")
		}
	}
}

// Release gives the worker's ports back, when it is not started again.
func (w *Worker) ReleasePorts() {
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
	gates := w.servers
	w.isSilent = true
	w.dropAll(record.OutcomeLost)
	w.mu.Unlock()
	for _, g := range gates {
		g.listener.SetSilent(true, hung)
	}
}

// drop forgets all jobs.
func (w *Worker) dropAll(how string) []*job {
	all := append(append([]*job(nil), w.running...), w.queue...)
	w.running, w.queue = nil, nil
	for _, j := range all {
		if j.timer != nil {
			j.timer.Stop()
		}
		w.recordEnd(j, how)
	}
	return all
}

func (w *Worker) recordEnd(j *job, how string) {
	j.attempt.EndedUS, j.attempt.Outcome = w.recorder.ElapsedUS(), how
	w.recorder.AttemptEnded(j.attempt)
}

// Set changes how the worker behaves.
func (w *Worker) UpdateBehaviour(f func(*Behaviour)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := Behaviour{w.slowdown, w.isFailing, w.reportsIdle, w.freezesReports}
	f(&b)
	w.slowdown, w.isFailing, w.reportsIdle, w.freezesReports = b.Slowdown, b.IsFailing, b.ReportsIdle, b.FreezesReports
}

// Behaviour is what faults change at a worker that runs.
type Behaviour struct {
	Slowdown                               float64 // running times are multiplied by it
	IsFailing, ReportsIdle, FreezesReports bool
}

// warmth is the part of its capacity that it has now.
func (w *Worker) warmFraction(now time.Time) float64 {
	if w.started.IsZero() || w.cfg.WarmS <= 0 {
		return 1
	}
	return min(1, w.cfg.ColdFrom+(1-w.cfg.ColdFrom)*now.Sub(w.started).Seconds()/w.cfg.WarmS)
}

// tips counts the work that comes to a cold worker, and tells whether it falls over: sent more than a multiple of what
// it can do for a while, and what the operators' terms let pass for chance.
func (w *Worker) isOverloadedBy(now time.Time, work time.Duration) bool {
	warmth := w.warmFraction(now)
	if warmth >= 1 {
		w.recentWork = w.recentWork[:0]
		return false
	}
	window := time.Duration(w.cfg.TipAfterS * float64(time.Second))
	for len(w.recentWork) > 0 && now.Sub(w.recentWork[0].at) > window {
		w.recentWork = w.recentWork[1:]
	}
	w.recentWork = append(w.recentWork, arrival{now, work})
	sum := time.Duration(0)
	for _, p := range w.recentWork {
		sum += p.work
	}
	allowed := w.cfg.OverloadFactor * float64(w.cfg.Slots) * warmth * float64(window) / float64(w.meanRun)
	return float64(sum)/float64(w.meanRun) > maxColdRequests(allowed)
}

// bearable is how many requests of mean work a cold worker bears in its window where the settings allow so many: by the
// operators' terms N + 2 x root of N + 2, and under 30 N + 3 x root of N + 3.
func maxColdRequests(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// taken is what became of a job that came.
type acceptResult uint8

const (
	accepted acceptResult = iota
	queueFull
	failed
	collapsed
)

// take has a job join the queue.
func (w *Worker) accept(t record.Try, opening time.Duration, leftMS int64) acceptResult {
	now := time.Now()
	run := record.Attempt{ID: t.ID, Worker: int32(w.Number), Scheduler: t.Scheduler, ArrivedUS: w.recorder.ElapsedUS(), TimeLeftMS: leftMS}
	w.mu.Lock()
	defer w.mu.Unlock()
	run.QueueLength = int32(len(w.queue))
	j := &job{attempt: run, try: t, generation: w.generation, startReported: make(chan struct{}), connectTime: opening}
	work := time.Duration(float64(t.RunUS) * 1000 / w.speed)
	switch {
	case !w.isUp || w.isSilent:
		w.recordEnd(j, record.OutcomeLost)
		return collapsed
	case w.isOverloadedBy(now, work):
		w.hasCollapsed = true
		w.recordEnd(j, record.OutcomeLost)
		w.recorder.AddEvent(record.Event{AtUS: run.ArrivedUS, Kind: "fell", Text: w.Name, Scheduler: -1, Worker: int32(w.Number)})
		go w.Stop(true)
		return collapsed
	case w.isFailing:
		w.recordEnd(j, record.OutcomeFailed)
		return failed
	case len(w.queue) >= w.cfg.Queue:
		w.recordEnd(j, record.OutcomeQueueFull)
		return queueFull
	}
	w.queue = append(w.queue, j)
	w.startWaiting(now)
	return accepted
}

// next starts what fits.
func (w *Worker) startWaiting(now time.Time) {
	for len(w.queue) > 0 && len(w.running) < w.cfg.Slots {
		j := w.queue[0]
		w.queue = w.queue[1:]
		w.running = append(w.running, j)
		takes := time.Duration(float64(j.try.RunUS) * 1000 * w.slowdown / w.speed / w.warmFraction(now))
		if w.fetchKey(j.try.Key) {
			j.attempt.FetchedKey = true
			takes += time.Duration(w.cfg.FetchMS * float64(time.Millisecond))
		}
		takes += j.connectTime
		j.attempt.StartedUS = w.recorder.ElapsedUS()
		j.timer = time.AfterFunc(takes, func() { w.finish(j) })
		go func() {
			w.callbacks.send(w, j, "started", "")
			close(j.startReported)
		}()
	}
}

// fetch tells whether a key has to be brought, and keeps it.
func (w *Worker) fetchKey(key int32) bool {
	if w.cfg.KeptKeys == 0 {
		return false
	}
	for i, k := range w.cachedKeys {
		if k == key {
			w.cachedKeys = append(append(w.cachedKeys[:i:i], w.cachedKeys[i+1:]...), key)
			return false
		}
	}
	if w.cachedKeys = append(w.cachedKeys, key); len(w.cachedKeys) > w.cfg.KeptKeys {
		w.cachedKeys = w.cachedKeys[1:]
	}
	return true
}

func (w *Worker) finish(j *job) {
	w.mu.Lock()
	if j.generation != w.generation || !w.isUp || w.isSilent {
		w.mu.Unlock()
		return
	}
	for i, x := range w.running {
		if x == j {
			w.running = append(w.running[:i], w.running[i+1:]...)
			break
		}
	}
	w.recordEnd(j, record.OutcomeDone)
	w.startWaiting(time.Now())
	w.mu.Unlock()
	<-j.startReported
	w.callbacks.send(w, j, "done", Result(j.try.ID, w.Name))
}

// Result is the answer that a worker gives for a job.
func Result(id, worker string) string { return id + " by " + worker }

// withdraw gives a waiting job up; one that runs goes on.
func (w *Worker) cancelWaiting(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, j := range w.queue {
		if j.attempt.ID == id {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			w.recordEnd(j, record.OutcomeCancelled)
			return
		}
	}
}

// report makes new figures when it is time, and gives those that can be seen now.
func (w *Worker) currentReport(now time.Time) loadReport {
	if now.After(w.nextReportAt) && !(w.freezesReports && len(w.reports) > 0) {
		noisy := func(n int) int {
			return max(0, int(float64(n)*(1+w.cfg.Noise*(2*w.rng.Float64()-1))+0.5))
		}
		r := loadReport{visibleAt: now.Add(time.Duration(w.cfg.ReportDelayS.Draw(w.rng) * float64(time.Second))), queue: noisy(len(w.queue)),
			inFlight: noisy(len(w.queue) + len(w.running)), free: w.cfg.Slots - len(w.running), latency: w.meanRun.Seconds() * 1000 * w.slowdown / w.speed}
		if w.reportsIdle {
			r.queue, r.inFlight, r.free, r.latency = 0, 0, w.cfg.Slots, 1
		}
		if len(w.reports) == 0 {
			r.visibleAt = now // the first one is seen at once: there is no older
		}
		w.reports = append(w.reports, r)
		w.nextReportAt = now.Add(time.Duration(w.cfg.ReportS.Draw(w.rng) * float64(time.Second)))
	}
	for len(w.reports) > 1 && !w.reports[1].visibleAt.After(now) {
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
	if w.isUp && !w.isSilent {
		w.currentReport(now)
		s.UsableSlots = float32(float64(w.cfg.Slots) * w.warmFraction(now))
	}
	return s
}

// Fallen tells whether it was pushed over.
func (w *Worker) HasCollapsed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasCollapsed
}

// End notes the jobs that are still there when the run ends.
func (w *Worker) RecordOpenJobs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropAll(record.OutcomeOpen)
}
