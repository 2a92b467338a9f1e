// Package worker simulates the workers of the platform's protocol in one process behind one listener: each has its own
// address in 127.0.0.0/8, and all share one port. They accept jobs, report load and call back, but do no work. Package
// scale calls it.
package worker

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"cobaltflow/internal/scale/discovery"
	"cobaltflow/internal/scale/traffic"
)

// MaxWorkers is the largest number of workers of a fleet.
const MaxWorkers = 1 << 16

// MaxJobs is the largest number of jobs that a fleet holds in all; further jobs are rejected as unprocessed.
const MaxJobs = 1 << 16

// Kind is the kind of all workers.
const Kind = "hollow"

// Settings configure a fleet.
type Settings struct {
	Workers int
	Zones   int // workers are assigned to them in order, in equal shares
	Slots   int // jobs that a worker runs at the same time
	Queue   int // jobs that wait at a worker; further jobs are rejected as unprocessed
}

// Fleet is a set of simulated workers. Its methods may be called from any goroutine.
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

// Counts holds the numbers of events at the workers.
type Counts struct {
	Probes    uint64 // answered
	Accepted  uint64 // jobs
	Started   uint64
	Done      uint64
	Rejected  uint64 // jobs rejected as unprocessed
	Cancelled uint64 // cancellations received, whether or not the job was waiting
}

// workerState is the state of one worker.
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

// Start runs a fleet whose callbacks go to the schedulers at these addresses, which are indexed by the scheduler's
// number.
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

// Close closes the listener and all connections and drops all jobs. No callback is sent afterwards.
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

// Zone returns the number of a worker's zone.
func (f *Fleet) Zone(worker int) int { return worker * f.settings.Zones / f.settings.Workers }

// ZoneName returns a zone's name, from its number.
func ZoneName(zone int) string { return fmt.Sprintf("z%02d", zone) }

// Name returns a worker's name, from its number.
func Name(worker int) string { return fmt.Sprintf("w%05d", worker) }

// Entry returns a worker's entry for the worker list, with a status.
func (f *Fleet) Entry(worker int, status discovery.Status) discovery.Entry {
	f.mu.Lock()
	since := f.workers[worker].sinceMS
	f.mu.Unlock()
	zone := f.Zone(worker)
	return discovery.Entry{Name: Name(worker), Address: f.server.address(worker), Zone: ZoneName(zone), Type: Kind,
		Group: zone, Status: status, Weight: 1, SinceMS: since}
}

// Entries returns the entries of all workers, with the status Up.
func (f *Fleet) Entries() []discovery.Entry {
	list := make([]discovery.Entry, f.settings.Workers)
	for i := range list {
		list[i] = f.Entry(i, discovery.Up)
	}
	return list
}

// Stop simulates the loss of a worker's machine: its connections are reset, also new ones, and its jobs are lost
// without a callback. All workers share one listener, so a new connection is reset after it is established, where a
// machine without a listener would refuse it.
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

// Restart starts a stopped worker again. It counts as cold from now on.
func (f *Fleet) Restart(worker int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[worker].down = false
	f.workers[worker].sinceMS = now.UnixMilli()
}

// ReadCounts returns the counts so far.
func (f *Fleet) ReadCounts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Counts
}

// HeldJobs returns the number of jobs that run or wait at the workers.
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

// loadReport returns a worker's load report in the form of the protocol and counts the probe.
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

// accept accepts a job and starts it or puts it into the worker's queue. It returns false if it rejects the job.
func (f *Fleet) accept(worker int, id string, runTime time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &f.workers[worker]
	isFull := w.running >= f.settings.Slots && len(w.waiting) >= f.settings.Queue
	if f.closed || w.down || isFull || len(f.jobs) >= MaxJobs || f.jobs[id] != nil {
		f.Rejected++
		return false
	}
	f.Accepted++
	j := &job{id: id, worker: worker, runTime: runTime}
	f.jobs[id] = j
	if w.running < f.settings.Slots {
		f.startLocked(j)
	} else {
		w.waiting = append(w.waiting, j)
	}
	return true
}

// startLocked occupies a slot with a job, sends the callback for its start and sets the timer for its end.
func (f *Fleet) startLocked(j *job) {
	f.workers[j.worker].running++
	f.Started++
	j.started = true
	startReported := make(chan struct{})
	go func() {
		f.callbacks.send(j.id, Name(j.worker), stateStarted, "")
		close(startReported)
	}()
	j.timer = time.AfterFunc(j.runTime, func() { f.finish(j, startReported) })
}

// finish ends a job and sends its callback after the one for its start.
func (f *Fleet) finish(j *job, startReported chan struct{}) {
	f.mu.Lock()
	if f.closed || f.jobs[j.id] != j {
		f.mu.Unlock()
		return
	}
	delete(f.jobs, j.id)
	f.Done++
	f.releaseSlotLocked(j.worker)
	f.mu.Unlock()
	<-startReported
	f.callbacks.send(j.id, Name(j.worker), stateDone, "result of "+j.id)
}

// releaseSlotLocked frees a slot of a worker and starts the job that has waited longest.
func (f *Fleet) releaseSlotLocked(worker int) {
	w := &f.workers[worker]
	w.running--
	if len(w.waiting) > 0 {
		j := w.waiting[0]
		w.waiting = w.waiting[1:]
		f.startLocked(j)
	}
}

// cancel removes a waiting job. A job that already runs continues.
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
