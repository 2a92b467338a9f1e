package admission

import "cobaltflow/internal/core"

// State is a job's state in the ledger.
type State string

// The states. All except Open are final.
const (
	Open    State = "open"
	Served  State = "served"
	Refused State = "refused" // it never ran, or may be retried safely
	Failed  State = "failed"  // it may have run
)

// Entry is a job in the ledger.
type Entry struct {
	ID        string
	State     State
	Result    []byte // set if Served
	expiresAt core.Time
}

// Ledger keeps the outcome of each job for a bounded time after its end, so that a client that reset its stream or lost
// its connection can look it up. Lookup requires the job's ID: entries can't be listed.
type Ledger struct {
	maxJobs, maxBytes int
	retention         core.Time
	entries           map[string]*Entry
	ended             []*Entry // in the order in which the jobs ended
	usedBytes         int      // of the ended entries
	Evicted           uint64   // entries removed before their retention time because a limit was reached
}

// entryOverheadBytes is the estimated memory of an entry in addition to its ID and result.
const entryOverheadBytes = 160

// NewLedger returns a ledger that keeps at most maxJobs ended jobs of together maxBytes, each for the retention time.
func NewLedger(maxJobs, maxBytes int, retention core.Time) *Ledger {
	return &Ledger{maxJobs: maxJobs, maxBytes: maxBytes, retention: retention, entries: map[string]*Entry{}}
}

// Begin adds an accepted job as Open.
func (l *Ledger) Begin(id string) { l.entries[id] = &Entry{ID: id, State: Open} }

// End records a job's final answer and copies the result. It does nothing if the job is unknown or has ended. If a limit
// is exceeded it evicts the jobs that ended first.
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

// Find returns a job's entry, or nil if the job is unknown or no longer kept.
func (l *Ledger) Find(id string) *Entry { return l.entries[id] }

// Expire removes entries whose retention time has passed.
func (l *Ledger) Expire(now core.Time) {
	for len(l.ended) > 0 && l.ended[0].expiresAt <= now {
		l.removeOldest()
	}
}

// Len returns the number of ended jobs that are kept and their size in bytes.
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
