// Package endpoints simulates the table workers and discovery servers that scheduler processes connect to through package
// relay, and records what they observe. Package fleet calls it.
package endpoints

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cobaltflow/internal/fleet/record"
)

// Recorder collects the records of a run. It is safe for concurrent use. Nothing of it takes a lock: on a busy machine the
// holder of a lock that every event takes may wait for a processor, or for the garbage collector while it allocates, and all
// others would wait for it in a row, and act and note their times late.
type Recorder struct {
	start       atomic.Pointer[time.Time]
	tries       sync.Map // all tries that were sent: ID to record.Try
	ended       appendList[record.Try]
	attempts    appendList[record.Attempt]
	samples     appendList[record.Sample]
	listUpdates appendList[record.ListUpdate]
	events      appendList[record.Event]
	lags        appendList[record.Lag]
}

// NewRecorder returns an empty recorder; SetStart sets the start of its clock.
func NewRecorder() *Recorder {
	r := &Recorder{}
	r.SetStart(time.Now())
	return r
}

// SetStart sets the time that all recorded times count from.
func (r *Recorder) SetStart(at time.Time) { r.start.Store(&at) }

// ElapsedUS returns the time since the start, in microseconds.
func (r *Recorder) ElapsedUS() int64 { return time.Since(*r.start.Load()).Microseconds() }

// TimeAt returns the time that is us microseconds after the start.
func (r *Recorder) TimeAt(us int64) time.Time {
	return r.start.Load().Add(time.Duration(us) * time.Microsecond)
}

// USAt returns a time in microseconds since the start.
func (r *Recorder) USAt(at time.Time) int64 { return at.Sub(*r.start.Load()).Microseconds() }

// TrySent adds a try that a client is about to send, so that workers find it by its ID.
func (r *Recorder) TrySent(try record.Try) { r.tries.Store(try.ID, try) }

// TryEnded records a try that has ended. It can still be found, as a late attempt of it may arrive at a worker.
func (r *Recorder) TryEnded(try record.Try) { r.ended.add(try) }

// FindTry returns the try with an ID, and whether there is one.
func (r *Recorder) FindTry(id string) (record.Try, bool) {
	if try, ok := r.tries.Load(id); ok {
		return try.(record.Try), true
	}
	return record.Try{}, false
}

// AttemptEnded records an attempt at a worker that has ended.
func (r *Recorder) AttemptEnded(attempt record.Attempt) { r.attempts.add(attempt) }

// AddSamples records the load of workers.
func (r *Recorder) AddSamples(samples []record.Sample) { r.samples.add(samples...) }

// AddListUpdate records a worker list update that was sent to a scheduler.
func (r *Recorder) AddListUpdate(update record.ListUpdate) { r.listUpdates.add(update) }

// AddEvent records a fault or an event of a process.
func (r *Recorder) AddEvent(event record.Event) { r.events.add(event) }

// AddLag records how late the harness was in an interval.
func (r *Recorder) AddLag(lag record.Lag) { r.lags.add(lag) }

// Records returns what was recorded. Nothing may be recorded after it.
func (r *Recorder) Records() *record.Records {
	return &record.Records{Tries: r.ended.all(), Attempts: r.attempts.all(), Samples: r.samples.all(), ListUpdates: r.listUpdates.all(),
		Events: r.events.all(), Lags: r.lags.all()}
}

// AnswerCounts returns the number of ended tries by answer: 200, 429 or 503, and all others.
func (r *Recorder) AnswerCounts() (served, refused, other int) {
	for e := r.ended.last.Load(); e != nil; e = e.previous {
		switch e.value.Status {
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

// appendList is a list that many goroutines append to without waiting for each other.
type appendList[T any] struct {
	last atomic.Pointer[listElement[T]]
}

type listElement[T any] struct {
	value    T
	previous *listElement[T]
}

// add appends values.
func (l *appendList[T]) add(values ...T) {
	for _, value := range values {
		e := &listElement[T]{value: value}
		for {
			e.previous = l.last.Load()
			if l.last.CompareAndSwap(e.previous, e) {
				break
			}
		}
	}
}

// all returns the values in the order in which they were appended; nil: none.
func (l *appendList[T]) all() (values []T) {
	for e := l.last.Load(); e != nil; e = e.previous {
		values = append(values, e.value)
	}
	slices.Reverse(values)
	return values
}
