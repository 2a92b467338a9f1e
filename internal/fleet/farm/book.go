// Package farm is the far side of the schedulers in a rig: table workers, and discovery that tells of them. Both follow
// the platform's protocol on sockets, behind relays, and decide nothing. What they see is written into a book.
package farm

import (
	"sync"
	"time"

	"cobaltflow/internal/fleet/record"
)

// Book is what a run writes down. It may be used from any goroutine.
type Book struct {
	began time.Time
	mu    sync.Mutex
	rec   record.Records
	open  map[string]record.Try // tries that a worker may meet, by id
}

// NewBook opens a book; Begin sets its clock.
func NewBook() *Book { return &Book{began: time.Now(), open: map[string]record.Try{}} }

// Begin sets the moment from which times count.
func (b *Book) Begin(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.began = at
}

// Now is the time since the beginning, in microseconds.
func (b *Book) Now() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.began).Microseconds()
}

// At gives the time of a moment of the run.
func (b *Book) At(us int64) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.began.Add(time.Duration(us) * time.Microsecond)
}

// Sent notes that a client sends a try; workers know it from now on.
func (b *Book) Sent(t record.Try) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[t.ID] = t
}

// Ended notes how a try ended. Late attempts of it may still come to a worker.
func (b *Book) Ended(t record.Try) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rec.Tries = append(b.rec.Tries, t)
}

// Find gives the try of an id.
func (b *Book) Find(id string) (record.Try, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.open[id]
	return t, ok
}

// Ran notes an attempt at a worker, when it is over.
func (b *Book) Ran(r record.Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rec.Runs = append(b.rec.Runs, r)
}

// Sample notes how full workers are.
func (b *Book) Sample(s []record.Sample) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rec.Samples = append(b.rec.Samples, s...)
}

// Told notes what a scheduler was told of a worker.
func (b *Book) Told(t record.Told) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rec.Told = append(b.rec.Told, t)
}

// Event notes a fault or what a process did.
func (b *Book) Event(e record.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rec.Events = append(b.rec.Events, e)
}

// Records gives what was written, when the run is over.
func (b *Book) Records() *record.Records {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.rec
	return &rec
}

// Totals gives the answers so far, for a live line.
func (b *Book) Totals() (served, refused, other int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.rec.Tries {
		switch b.rec.Tries[i].Status {
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
