// Package worker plays many workers of the platform's protocol in one process behind one listener: each has an
// address of its own in 127.0.0.0/8, and all have the same port. They take jobs, report loads and call back; they do
// no work.
package worker

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"cobaltflow/internal/scale/discovery"
	"cobaltflow/internal/scale/traffic"
)

// MaxWorkers is how many workers one fleet may have.
const MaxWorkers = 1 << 16

// MaxJobs is how many jobs a fleet holds in all; past it one is turned away unprocessed.
const MaxJobs = 1 << 16

// Kind is the one kind of worker that there is.
const Kind = "hollow"

// Settings of a fleet.
type Settings struct {
	Workers int
	Zones   int // the workers are spread over them in order, in even shares
	Slots   int // jobs that a worker runs at once
	Queue   int // jobs that wait at a worker; past it one is turned away unprocessed
}

// Fleet is the workers. Its methods may be called from any goroutine.
type Fleet struct {
	settings  Settings
	counter   *traffic.Counter
	server    *server
	callbacks *callbacks

	mu      sync.Mutex
	workers []workerState
	jobs    map[string]*job
	closed  bool
	Counts  // guarded by mu
}

// Counts is what has happened at the workers.
type Counts struct {
	Probes    uint64 // answered
	Accepted  uint64 // jobs accepted
	Started   uint64
	Done      uint64
	Rejected  uint64 // jobs turned away unprocessed
	Cancelled uint64 // jobs withdrawn
}

// state is what is kept of one worker.
type workerState struct {
	running int
	waiting []*job
	down    bool
	sinceMS int64
}

type job struct {
	id      string
	worker  int
	runTime time.Duration
	timer   *time.Timer
	started bool
}

// Start runs a fleet that calls back to schedulers at the addresses, by their numbers.
func Start(settings Settings, counter *traffic.Counter, schedulers []netip.AddrPort) (*Fleet, error) {
	if settings.Workers < 1 || settings.Workers > MaxWorkers || settings.Zones < 1 || settings.Slots < 1 {
		return nil, fmt.Errorf("fleet of %+v: %w", settings, errInvalidSettings)
	}
	f := &Fleet{settings: settings, counter: counter, workers: make([]workerState, settings.Workers), jobs: map[string]*job{}}
	f.callbacks = newCallbacks(counter, schedulers)
	var err error
	f.server, err = startServer(f)
	return f, err
}

// Close ends the listener, all connections and all jobs; nothing is called back any more.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	for _, j := range f.jobs {
		if j.timer != nil {
			j.timer.Stop()
		}
	}
	f.mu.Unlock()
	f.server.close()
	f.callbacks.close()
}

// Zone is the number of a worker's zone.
func (f *Fleet) Zone(worker int) int { return worker * f.settings.Zones / f.settings.Workers }

// ZoneName is a zone's name, from its number.
func ZoneName(zone int) string { return fmt.Sprintf("z%02d", zone) }

// Name is a worker's name, from its number.
func Name(worker int) string { return fmt.Sprintf("w%05d", worker) }

// Entry is a worker's entry of the list.
func (f *Fleet) Entry(worker int, status discovery.Status) discovery.Entry {
	f.mu.Lock()
	since := f.workers[worker].sinceMS
	f.mu.Unlock()
	zone := f.Zone(worker)
	return discovery.Entry{Name: Name(worker), Address: f.server.address(worker), Zone: ZoneName(zone), Type: Kind,
		Group: zone, Status: status, Weight: 1, SinceMS: since}
}

// Entries are those of all workers.
func (f *Fleet) Entries() []discovery.Entry {
	list := make([]discovery.Entry, f.settings.Workers)
	for i := range list {
		list[i] = f.Entry(i, discovery.Up)
	}
	return list
}

// Stop has a worker's machine go: its connections are reset, new ones too, and its jobs are lost untold. One listener
// stands for all, so that new connections are reset after they came up, where a machine without a listener refuses
// them.
func (f *Fleet) Stop(worker int) {
	f.mu.Lock()
	w := &f.workers[worker]
	w.down, w.running, w.waiting = true, 0, nil
	for id, j := range f.jobs {
		if j.worker != worker {
			continue
		}
		if j.timer != nil {
			j.timer.Stop()
		}
		delete(f.jobs, id)
	}
	f.mu.Unlock()
	f.server.resetConns(worker)
}

// Restart has a worker come up anew, cold from now on.
func (f *Fleet) Restart(worker int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[worker].down = false
	f.workers[worker].sinceMS = now.UnixMilli()
}

// Read gives the counts so far.
func (f *Fleet) ReadCounts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Counts
}

// Held is the number of jobs that are at the workers.
func (f *Fleet) HeldJobs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.jobs)
}

func (f *Fleet) isDown(worker int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[worker].down
}

// load is a worker's report in the form of the protocol.
func (f *Fleet) loadReport(worker int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Probes++
	w := &f.workers[worker]
	waiting := len(w.waiting)
	return fmt.Sprintf("TEXT queue=%d, latency_ms=%d, inflight=%d, x0=%d", waiting, reportedLatencyMS, waiting+w.running,
		f.settings.Slots-w.running)
}

// reportedLatencyMS is the latency that all workers report.
const reportedLatencyMS = 50

// take accepts a job, or tells that it is turned away.
func (f *Fleet) accept(worker int, id string, runs time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &f.workers[worker]
	full := w.running >= f.settings.Slots && len(w.waiting) >= f.settings.Queue
	if f.closed || w.down || full || len(f.jobs) >= MaxJobs || f.jobs[id] != nil {
		f.Rejected++
		return false
	}
	f.Accepted++
	j := &job{id: id, worker: worker, runTime: runs}
	f.jobs[id] = j
	if w.running < f.settings.Slots {
		f.startLocked(j)
	} else {
		w.waiting = append(w.waiting, j)
	}
	return true
}

func (f *Fleet) startLocked(j *job) {
	f.workers[j.worker].running++
	f.Started++
	j.started = true
	told := make(chan struct{})
	go func() {
		f.callbacks.send(j.id, Name(j.worker), stateStarted, "")
		close(told)
	}()
	j.timer = time.AfterFunc(j.runTime, func() { f.finish(j, told) })
}

// finish ends a job and calls back, behind the callback that told of its start.
func (f *Fleet) finish(j *job, told chan struct{}) {
	f.mu.Lock()
	if f.closed || f.jobs[j.id] != j {
		f.mu.Unlock()
		return
	}
	delete(f.jobs, j.id)
	f.Done++
	f.releaseSlotLocked(j.worker)
	f.mu.Unlock()
	<-told
	f.callbacks.send(j.id, Name(j.worker), stateDone, "result of "+j.id)
}

// nextLocked frees a slot of a worker and starts the job that has waited longest.
func (f *Fleet) releaseSlotLocked(worker int) {
	w := &f.workers[worker]
	w.running--
	if len(w.waiting) > 0 {
		j := w.waiting[0]
		w.waiting = w.waiting[1:]
		f.startLocked(j)
	}
}

// withdraw gives up a job that waits; one that runs goes on.
func (f *Fleet) cancel(worker int, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Cancelled++
	w := &f.workers[worker]
	for i, j := range w.waiting {
		if j.id == id {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			delete(f.jobs, id)
			return
		}
	}
}
