// Package endpoints is the far side of the schedulers in a rig: table workers, and discovery that tells of them. Both follow
// the platform's protocol on sockets, behind relays, and decide nothing. What they see goes to a Recorder.
package endpoints

import (
	"sync"
	"time"

	"cobaltflow/internal/fleet/record"
)

// Recorder collects the records of a run. It may be used from any goroutine.
type Recorder struct {
	start time.Time
	mu    sync.Mutex
	rec   record.Records
	tries map[string]record.Try // tries that a worker may meet, by id
}

// NewRecorder makes a recorder; Begin sets its clock.
func NewRecorder() *Recorder { return &Recorder{start: time.Now(), tries: map[string]record.Try{}} }

// Begin sets the moment from which times count.
func (r *Recorder) SetStart(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start = at
}

// Now is the time since the beginning, in microseconds.
func (r *Recorder) ElapsedUS() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.start).Microseconds()
}

// At gives the time of a moment of the run.
func (r *Recorder) TimeAt(us int64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.start.Add(time.Duration(us) * time.Microsecond)
}

// Sent notes that a client sends a try; workers know it from now on.
func (r *Recorder) TrySent(t record.Try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tries[t.ID] = t
}

// Ended notes how a try ended. Late attempts of it may still come to a worker.
func (r *Recorder) TryEnded(t record.Try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Tries = append(r.rec.Tries, t)
}

// Find gives the try of an id.
func (r *Recorder) FindTry(id string) (record.Try, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tries[id]
	return t, ok
}

// Ran notes an attempt at a worker, when it is over.
func (r *Recorder) AttemptEnded(run record.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Attempts = append(r.rec.Attempts, run)
}

// Sample notes how full workers are.
func (r *Recorder) AddSamples(s []record.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Samples = append(r.rec.Samples, s...)
}

// Told notes what a scheduler was told of a worker.
func (r *Recorder) AddListUpdate(t record.ListUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.ListUpdates = append(r.rec.ListUpdates, t)
}

// Event notes a fault or what a process did.
func (r *Recorder) AddEvent(e record.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Events = append(r.rec.Events, e)
}

// Records gives what was recorded, when the run is over.
func (r *Recorder) Records() *record.Records {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.rec
	return &rec
}

// Totals gives the answers so far, for a live line.
func (r *Recorder) AnswerCounts() (served, refused, other int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.rec.Tries {
		switch r.rec.Tries[i].Status {
		case 200:
			served++
		case 429, 503:
			refused++
		default:
			other++
		}
	}
	return
}
