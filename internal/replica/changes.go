package replica

// Changes that are made in this process, from the call until all processes hold them.

import (
	"slices"
	"time"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/directive"
)

// change is a pending change of a directive.
type change struct {
	key       directive.Key
	on        bool
	entry     directive.Entry // set once applied
	applied   bool            // part of the set
	persisted bool            // written to this process's file
	changedAt uint64          // time of the call, in microseconds of the machine's clock
	deadline  time.Duration   // monotonic time; 0: refused
	done      func(error)
}

// Change sets a directive. done is called once, from the replica's goroutine: with nil when the directive is in force in,
// and persisted by, every process of the scheduler, or with the error that prevented this within the given time. After
// ErrBusy it is called from the caller's goroutine. It is not called after Close.
func (r *Replica) Change(key directive.Key, on bool, within time.Duration, done func(error)) {
	c := &change{key: key, on: on, changedAt: clock.MachineMicros(), deadline: clock.Monotonic() + within, done: done}
	r.changesMade.Add(1)
	select {
	case r.changes <- c:
	default:
		r.changesMade.Add(^uint64(0)) // one less
		done(ErrBusy)
	}
}

// HasUnpersistedChanges reports whether a change that was made in this process is not in its file yet. If the process ends, no other
// one hears of that change.
func (r *Replica) HasUnpersistedChanges() bool {
	return r.changesMade.Load() != r.changesPersisted.Load()
}

// applyChanges assigns versions to new changes. After a successful scan they are above those of all earlier changes in other
// processes. If the scan failed, the time of the call ensures that: without it, a process that has never read the directory
// would count from 1, below the versions of changes made long before.
func (r *Replica) applyChanges() (changed []directive.Entry) {
	for _, c := range r.pending {
		if c.applied {
			continue
		}
		c.applied = true
		r.changesApplied++
		entry, err := r.set.Change(c.key, c.on, c.changedAt)
		changed = append(changed, entry) // after an error: the previous state
		if err != nil {
			c.done(err)
			c.deadline = 0
			continue
		}
		c.entry, r.dirty = entry, true
		if !r.hasScanned {
			r.changedBeforeScan[c.key] = c.on
		}
		r.Log.Info("directive: changed", "key", string(c.key), "on", c.on, "version", entry.Version, "generation", r.generation)
	}
	r.pending = slices.DeleteFunc(r.pending, func(c *change) bool { return c.deadline == 0 })
	return changed
}

// completeChanges completes the changes that all processes hold, and those whose deadline has passed.
func (r *Replica) completeChanges(scanned bool) {
	now := clock.Monotonic()
	r.pending = slices.DeleteFunc(r.pending, func(c *change) bool {
		switch {
		case scanned && c.persisted && r.isConfirmed(c.entry):
			c.done(nil)
		case now < c.deadline:
			return false
		case !c.persisted:
			c.done(ErrNotPersisted)
		default:
			c.done(ErrNotConfirmed)
		}
		return true
	})
}
