// Package endpoints simulates the table workers and discovery servers that scheduler processes connect to through package
// relay, and records what they observe. Package fleet calls it.
package endpoints

import (
	"sync"
	"time"

	"cobaltflow/internal/fleet/record"
)

// Recorder collects the records of a run. It is safe for concurrent use.
type Recorder struct {
	start time.Time
	mu    sync.Mutex
	rec   record.Records
	tries map[string]record.Try // all tries that were sent, by ID
}

// NewRecorder returns an empty recorder; SetStart sets the start of its clock.
func NewRecorder() *Recorder { return &Recorder{start: time.Now(), tries: map[string]record.Try{}} }

// SetStart sets the time that all recorded times count from.
func (r *Recorder) SetStart(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start = at
}

// ElapsedUS returns the time since the start, in microseconds.
func (r *Recorder) ElapsedUS() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.start).Microseconds()
}

// TimeAt returns the time that is us microseconds after the start.
func (r *Recorder) TimeAt(us int64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.start.Add(time.Duration(us) * time.Microsecond)
}

// TrySent adds a try that a client is about to send, so that workers find it by its ID.
func (r *Recorder) TrySent(try record.Try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tries[try.ID] = try
}

// TryEnded records a try that has ended. It can still be found, as a late attempt of it may arrive at a worker.
func (r *Recorder) TryEnded(try record.Try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Tries = append(r.rec.Tries, try)
}

// FindTry returns the try with an ID, and whether there is one.
func (r *Recorder) FindTry(id string) (record.Try, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	try, ok := r.tries[id]
	return try, ok
}

// AttemptEnded records an attempt at a worker that has ended.
func (r *Recorder) AttemptEnded(attempt record.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Attempts = append(r.rec.Attempts, attempt)
}

// AddSamples records the load of workers.
func (r *Recorder) AddSamples(samples []record.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Samples = append(r.rec.Samples, samples...)
}

// AddListUpdate records a worker list update that was sent to a scheduler.
func (r *Recorder) AddListUpdate(update record.ListUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.ListUpdates = append(r.rec.ListUpdates, update)
}

// AddEvent records a fault or an event of a process.
func (r *Recorder) AddEvent(event record.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Events = append(r.rec.Events, event)
}

// AddLag records how late the harness was in an interval.
func (r *Recorder) AddLag(lag record.Lag) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Lags = append(r.rec.Lags, lag)
}

// Records returns what was recorded. Nothing may be recorded after it.
func (r *Recorder) Records() *record.Records {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.rec
	return &rec
}

// AnswerCounts returns the number of ended tries by answer: 200, 429 or 503, and all others.
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
