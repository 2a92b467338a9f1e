package admission

import "cobaltflow/internal/core"

// State is where a job stands in the ledger.
type State string

// The states; those but Open are final.
const (
	Open    State = "open"
	Served  State = "served"
	Refused State = "refused" // it never ran, or asking again is harmless
	Failed  State = "failed"  // it may have run
)

// Entry is a job in the ledger.
type Entry struct {
	ID        string
	State     State
	Result    []byte // of Served
	expiresAt core.Time
}

// Ledger holds, for a bounded time after its end, how each job ended, so that a client that reset its stream or lost
// its connection can learn it. Who does not know an id learns nothing: nothing is listed.
type Ledger struct {
	maxJobs, maxBytes int
	retention         core.Time
	entries           map[string]*Entry
	ended             []*Entry // in order of their end
	usedBytes         int      // bytes of the ended
	Evicted           uint64   // before their time, since there was no room
}

// entrySize is what an entry is reckoned to take beyond its texts, in bytes.
const entryOverheadBytes = 160

// NewLedger makes a ledger that holds at most so many ended jobs and bytes of them, each for at most keep.
func NewLedger(most, bytes int, keep core.Time) *Ledger {
	return &Ledger{maxJobs: most, maxBytes: bytes, retention: keep, entries: map[string]*Entry{}}
}

// Begin notes a job that was taken.
func (l *Ledger) Begin(id string) { l.entries[id] = &Entry{ID: id, State: Open} }

// End notes its one final answer. The result is copied.
func (l *Ledger) End(now core.Time, id string, s State, result []byte) {
	e := l.entries[id]
	if e == nil || e.State != Open {
		return
	}
	e.State, e.expiresAt = s, now+l.retention
	if s == Served {
		e.Result = append([]byte{}, result...)
	}
	l.ended = append(l.ended, e)
	l.usedBytes += e.size()
	for len(l.ended) > l.maxJobs || l.usedBytes > l.maxBytes {
		l.removeOldest()
		l.Evicted++
	}
}

// Find gives a job; nil: it is not known, or no more.
func (l *Ledger) Find(id string) *Entry { return l.entries[id] }

// Expire forgets what has been kept for its time.
func (l *Ledger) Expire(now core.Time) {
	for len(l.ended) > 0 && l.ended[0].expiresAt <= now {
		l.removeOldest()
	}
}

// Len is the number of ended jobs that are kept, and the bytes they take.
func (l *Ledger) Len() (jobs, bytes int) { return len(l.ended), l.usedBytes }

func (l *Ledger) removeOldest() {
	e := l.ended[0]
	l.ended[0] = nil
	l.ended = l.ended[1:]
	l.usedBytes -= e.size()
	if l.entries[e.ID] == e {
		delete(l.entries, e.ID)
	}
}

func (e *Entry) size() int { return entryOverheadBytes + len(e.ID) + len(e.Result) }
