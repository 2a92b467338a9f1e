package admission

import "cobaltflow/internal/core"

// State is where a job stands in the books.
type State string

// The states; those but Open are final.
const (
	Open    State = "open"
	Served  State = "served"
	Refused State = "refused" // it never ran, or asking again is harmless
	Failed  State = "failed"  // it may have run
)

// Entry is a job in the books.
type Entry struct {
	ID     string
	State  State
	Result []byte // of Served
	until  core.Time
}

// Books hold, for a bounded time after its end, how each job ended, so that a client that reset its stream or lost
// its connection can learn it. Who does not know an id learns nothing: nothing is listed.
type Books struct {
	most, bytes int
	keep        core.Time
	entries     map[string]*Entry
	ended       []*Entry // in order of their end
	used        int      // bytes of the ended
	Forgotten   uint64   // before their time, since there was no room
}

// entrySize is what an entry is reckoned to take beyond its texts, in bytes.
const entrySize = 160

// NewBooks makes books that hold at most so many ended jobs and bytes of them, each for at most keep.
func NewBooks(most, bytes int, keep core.Time) *Books {
	return &Books{most: most, bytes: bytes, keep: keep, entries: map[string]*Entry{}}
}

// Begin notes a job that was taken.
func (b *Books) Begin(id string) { b.entries[id] = &Entry{ID: id, State: Open} }

// End notes its one final answer. The result is copied.
func (b *Books) End(now core.Time, id string, s State, result []byte) {
	e := b.entries[id]
	if e == nil || e.State != Open {
		return
	}
	e.State, e.until = s, now+b.keep
	if s == Served {
		e.Result = append([]byte{}, result...)
	}
	b.ended = append(b.ended, e)
	b.used += e.size()
	for len(b.ended) > b.most || b.used > b.bytes {
		b.forget()
		b.Forgotten++
	}
}

// Find gives a job; nil: it is not known, or no more.
func (b *Books) Find(id string) *Entry { return b.entries[id] }

// Expire forgets what has been kept for its time.
func (b *Books) Expire(now core.Time) {
	for len(b.ended) > 0 && b.ended[0].until <= now {
		b.forget()
	}
}

// Len is the number of ended jobs that are kept, and the bytes they take.
func (b *Books) Len() (jobs, bytes int) { return len(b.ended), b.used }

func (b *Books) forget() {
	e := b.ended[0]
	b.ended[0] = nil
	b.ended = b.ended[1:]
	b.used -= e.size()
	if b.entries[e.ID] == e {
		delete(b.entries, e.ID)
	}
}

func (e *Entry) size() int { return entrySize + len(e.ID) + len(e.Result) }
