package endpoints

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/relay"
	"cobaltflow/internal/fleet/scenario"
)

// Worker is a simulated table worker with slots, a FIFO queue, a cache of keys and delayed load reports. It has one
// listener for each site, so that the network can impair the path from each site separately.
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
	ports     []*reservedPort // by site, reserved from the first start on

	mu             sync.Mutex
	rng            *rand.Rand
	servers        []*workerServer // by site; nil: the worker does not run
	generation     int             // number of starts
	isUp           bool
	isSilent       bool
	hasCollapsed   bool
	started        time.Time // zero: long ago, so that the worker is warm
	slowdown       float64   // factor of the running times
	isFailing      bool
	reportsIdle    bool
	freezesReports bool
	running        []*job
	queue          []*job
	cachedKeys     []int32   // cached, least recently used first
	recentWork     []arrival // work received within the last TipAfterS, for the cold budget
	reports        []loadReport
	nextReportAt   time.Time
	ProbeCount     atomic.Int64
	conns          atomic.Int64
	meanRun        time.Duration
}

// job is an attempt that waits or runs at a worker.
type job struct {
	attempt       record.Attempt
	try           record.Try
	generation    int
	timer         *time.Timer
	startReported chan struct{} // closed when the callback for the start has ended
	connectTime   time.Duration // added to the running time for a new connection
}

// arrival is the work that a cold worker received with one job.
type arrival struct {
	at   time.Time
	work time.Duration
}

// loadReport holds the load figures of one report.
type loadReport struct {
	visibleAt             time.Time
	queue, inFlight, free int
	latency               float64
}

// NewWorker returns a table worker that does not run yet; Start starts it.
func NewWorker(number, site, kind int, s *scenario.Scenario, recorder *Recorder, network *relay.Network, callbacks *Callbacks, seed uint64) *Worker {
	return &Worker{Number: number, Name: fmt.Sprintf("t%03d", number), Site: site, Kind: kind, cfg: &s.Workers, speed: s.Workers.Kinds[kind].Speed,
		recorder: recorder, network: network, callbacks: callbacks, slowdown: 1, rng: rand.New(rand.NewPCG(seed, uint64(number)+1)),
		ports: make([]*reservedPort, len(s.Sites)), meanRun: time.Duration(s.MeanRunS() * float64(time.Second))}
}

// Start starts the worker, cold (its slow start begins now) or warm. It listens at the same addresses after each start.
func (w *Worker) Start(isCold bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = make([]*workerServer, len(w.ports))
	for site := range w.ports {
		srv, err := w.listen(site)
		if err != nil {
			return err
		}
		w.servers[site] = srv
	}
	w.generation++
	w.isUp, w.isSilent, w.hasCollapsed = true, false, false
	w.started = time.Time{}
	if isCold {
		w.started = time.Now()
	}
	w.cachedKeys, w.recentWork, w.reports, w.nextReportAt = nil, nil, nil, time.Time{}
	w.currentReport(time.Now())
	return nil
}

// Address returns the address at which schedulers of a site reach the worker.
func (w *Worker) Address(site int) string { return w.ports[site].address.String() }

// StartedMS returns the last start as Unix time in milliseconds, or 0 if the worker was started warm.
func (w *Worker) StartedMS() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.started.IsZero() {
		return 0
	}
	return w.started.UnixMilli()
}

// Stop crashes the worker's process: open connections are reset and new ones refused. With reportsLost the machine itself
// is still up, and reports the lost jobs to their schedulers.
func (w *Worker) Stop(reportsLost bool) {
	w.mu.Lock()
	if !w.isUp {
		w.mu.Unlock()
		return
	}
	w.isUp = false
	servers := w.servers
	w.servers = nil
	lost := w.dropAll(record.OutcomeLost)
	w.mu.Unlock()
	for _, srv := range servers {
		srv.close()
	}
	if reportsLost {
		for _, j := range lost {
			w.callbacks.send(w, j, "lost", "")
		}
	}
}

// ReleasePorts frees the worker's ports. The worker cannot be started again after it.
func (w *Worker) ReleasePorts() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, port := range w.ports {
		if port != nil {
			port.release()
		}
	}
}

// Silence makes the worker silent, as if its machine had lost power: it neither answers nor sends callbacks. With isHung
// only the process hangs, and the kernel still accepts connections.
func (w *Worker) Silence(isHung bool) {
	w.mu.Lock()
	servers := w.servers
	w.isSilent = true
	w.dropAll(record.OutcomeLost)
	w.mu.Unlock()
	for _, srv := range servers {
		srv.listener.SetSilent(true, isHung)
	}
}

// dropAll ends all jobs with an outcome and returns them. The caller holds mu.
func (w *Worker) dropAll(outcome string) []*job {
	all := append(append([]*job(nil), w.running...), w.queue...)
	w.running, w.queue = nil, nil
	for _, j := range all {
		if j.timer != nil {
			j.timer.Stop()
		}
		w.recordEnd(j, outcome)
	}
	return all
}

// recordEnd records the end of a job's attempt.
func (w *Worker) recordEnd(j *job, outcome string) {
	j.attempt.EndedUS, j.attempt.Outcome = w.recorder.ElapsedUS(), outcome
	w.recorder.AttemptEnded(j.attempt)
}

// UpdateBehaviour changes how the worker behaves.
func (w *Worker) UpdateBehaviour(update func(*Behaviour)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := Behaviour{w.slowdown, w.isFailing, w.reportsIdle, w.freezesReports}
	update(&b)
	w.slowdown, w.isFailing, w.reportsIdle, w.freezesReports = b.Slowdown, b.IsFailing, b.ReportsIdle, b.FreezesReports
}

// Behaviour holds what faults change at a running worker.
type Behaviour struct {
	Slowdown                               float64 // factor of the running times
	IsFailing, ReportsIdle, FreezesReports bool
}

// warmFraction returns the part of its full capacity that the worker has now, in (0, 1].
func (w *Worker) warmFraction(now time.Time) float64 {
	if w.started.IsZero() || w.cfg.WarmS <= 0 {
		return 1
	}
	return min(1, w.cfg.ColdFrom+(1-w.cfg.ColdFrom)*now.Sub(w.started).Seconds()/w.cfg.WarmS)
}

// isOverloadedBy adds new work to what a cold worker received within TipAfterS, and reports whether the worker collapses
// under it: whether the work exceeds OverloadFactor times the worker's capacity, plus the random excess that the
// operators' terms allow.
func (w *Worker) isOverloadedBy(now time.Time, work time.Duration) bool {
	capacity := w.warmFraction(now)
	if capacity >= 1 {
		w.recentWork = w.recentWork[:0]
		return false
	}
	window := time.Duration(w.cfg.TipAfterS * float64(time.Second))
	for len(w.recentWork) > 0 && now.Sub(w.recentWork[0].at) > window {
		w.recentWork = w.recentWork[1:]
	}
	w.recentWork = append(w.recentWork, arrival{now, work})
	received := time.Duration(0)
	for _, p := range w.recentWork {
		received += p.work
	}
	allowed := w.cfg.OverloadFactor * float64(w.cfg.Slots) * capacity * float64(window) / float64(w.meanRun)
	return float64(received)/float64(w.meanRun) > maxColdRequests(allowed)
}

// maxColdRequests returns how many requests of mean work a cold worker handles within its window, where the settings allow
// N: by the operators' terms N + 2*sqrt(N) + 2, and N + 3*sqrt(N) + 3 if N is below 30.
func maxColdRequests(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// acceptResult is the worker's reaction to a job request.
type acceptResult uint8

const (
	accepted  acceptResult = iota // answered 202
	queueFull                     // answered 503
	failed                        // answered 500
	collapsed                     // the connection is aborted
)

// accept adds a job to the queue, unless the worker is down, collapses, fails or has a full queue. conn is the connection
// that its request came on.
func (w *Worker) accept(try record.Try, connectTime time.Duration, timeLeftMS int64, conn *relay.Conn) acceptResult {
	now := time.Now()
	attempt := record.Attempt{ID: try.ID, Worker: int32(w.Number), Scheduler: try.Scheduler, ArrivedUS: w.recorder.ElapsedUS(), TimeLeftMS: timeLeftMS,
		ReceivedUS: w.recorder.USAt(conn.LastReceived()), ReachedUS: w.recorder.USAt(conn.LastArrived())}
	w.mu.Lock()
	defer w.mu.Unlock()
	attempt.QueueLength = int32(len(w.queue))
	j := &job{attempt: attempt, try: try, generation: w.generation, startReported: make(chan struct{}), connectTime: connectTime}
	work := time.Duration(float64(try.RunUS) * 1000 / w.speed)
	switch {
	case !w.isUp || w.isSilent:
		w.recordEnd(j, record.OutcomeLost)
		return collapsed
	case w.isOverloadedBy(now, work):
		w.hasCollapsed = true
		w.recordEnd(j, record.OutcomeLost)
		w.recorder.AddEvent(record.Event{AtUS: attempt.ArrivedUS, Kind: "fell", Text: w.Name, Scheduler: -1, Worker: int32(w.Number)})
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

// startWaiting starts waiting jobs while slots are free. The caller holds mu.
func (w *Worker) startWaiting(now time.Time) {
	for len(w.queue) > 0 && len(w.running) < w.cfg.Slots {
		j := w.queue[0]
		w.queue = w.queue[1:]
		w.running = append(w.running, j)
		runTime := time.Duration(float64(j.try.RunUS) * 1000 * w.slowdown / w.speed / w.warmFraction(now))
		if w.fetchKey(j.try.Key) {
			j.attempt.FetchedKey = true
			runTime += time.Duration(w.cfg.FetchMS * float64(time.Millisecond))
		}
		runTime += j.connectTime
		j.attempt.StartedUS = w.recorder.ElapsedUS()
		j.timer = time.AfterFunc(runTime, func() { w.finish(j) })
		go func() {
			w.callbacks.send(w, j, "started", "")
			close(j.startReported)
		}()
	}
}

// fetchKey reports whether a key has to be fetched because it is not cached, and caches it.
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

// finish ends a job that has run and sends its result, after the callback for its start.
func (w *Worker) finish(j *job) {
	w.mu.Lock()
	if j.generation != w.generation || !w.isUp || w.isSilent {
		w.mu.Unlock()
		return
	}
	i := slices.Index(w.running, j)
	if i < 0 { // it was dropped as its timer fired, at the end of the run
		w.mu.Unlock()
		return
	}
	w.running = slices.Delete(w.running, i, i+1)
	w.recordEnd(j, record.OutcomeDone)
	w.startWaiting(time.Now())
	w.mu.Unlock()
	<-j.startReported
	w.callbacks.send(w, j, "done", Result(j.try.ID, w.Name))
}

// Result returns the result that a worker sends for a job.
func Result(id, worker string) string { return id + " by " + worker }

// cancelWaiting removes a waiting job. A running job continues.
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

// currentReport makes a new report when one is due, and returns the latest visible one. The caller holds mu.
func (w *Worker) currentReport(now time.Time) loadReport {
	if now.After(w.nextReportAt) && !(w.freezesReports && len(w.reports) > 0) {
		noisy := func(n int) int {
			return max(0, int(float64(n)*(1+w.cfg.Noise*(2*w.rng.Float64()-1))+0.5))
		}
		report := loadReport{visibleAt: now.Add(time.Duration(w.cfg.ReportDelayS.Draw(w.rng) * float64(time.Second))), queue: noisy(len(w.queue)),
			inFlight: noisy(len(w.queue) + len(w.running)), free: w.cfg.Slots - len(w.running), latency: w.meanRun.Seconds() * 1000 * w.slowdown / w.speed}
		if w.reportsIdle {
			report.queue, report.inFlight, report.free, report.latency = 0, 0, w.cfg.Slots, 1
		}
		if len(w.reports) == 0 {
			report.visibleAt = now // the first report is visible at once, as there is no older one
		}
		w.reports = append(w.reports, report)
		w.nextReportAt = now.Add(time.Duration(w.cfg.ReportS.Draw(w.rng) * float64(time.Second)))
	}
	for len(w.reports) > 1 && !w.reports[1].visibleAt.After(now) {
		w.reports = w.reports[1:]
	}
	return w.reports[0]
}

// Sample returns the worker's load, and makes a new report when one is due.
func (w *Worker) Sample(atUS int64) record.Sample {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	sample := record.Sample{AtUS: atUS, Worker: int32(w.Number), Running: float32(len(w.running)), Waiting: int32(len(w.queue))}
	if w.isUp && !w.isSilent {
		w.currentReport(now)
		sample.UsableSlots = float32(float64(w.cfg.Slots) * w.warmFraction(now))
	}
	return sample
}

// HasCollapsed reports whether the worker has collapsed under overload since its last start.
func (w *Worker) HasCollapsed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasCollapsed
}

// RecordOpenJobs records the jobs that wait or run when the run ends.
func (w *Worker) RecordOpenJobs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropAll(record.OutcomeOpen)
}
