package discovery

import (
	"cobaltflow/internal/core"
	"cobaltflow/rules"
)

// maxRemovedWorkers bounds the removed workers whose start times are remembered. Beyond it the earliest one is forgotten,
// and counts as restarted if it is listed again.
const maxRemovedWorkers = 4096

// StartTimes tracks when workers were started, in the loop's time. Discovery reports a start as a wall-clock date, and the
// clock of either machine may have been stepped. A date is therefore only compared with the previous one: a worker with the
// same date was not restarted, and one whose date has changed was restarted now, whatever the two clocks say. Only the first
// list after the scheduler's own start, which has no previous dates, is read by the wall clock.
type StartTimes struct {
	known       map[string]workerStart // by worker name
	removed     []string               // in the order of their removal; may include workers that are listed again
	updateCount uint64                 // updates resolved so far
}

// workerStart is the last known start of a worker.
type workerStart struct {
	startedUnixMS int64 // by discovery's clock
	startedAt     core.Time
	lastUpdate    uint64 // number of the last update that named the worker
	isRemoved     bool   // discovery does not list the worker any more
}

// Resolve replaces the start time of each worker of an update, which is given by the wall clock. isFirst says that the update
// describes starts before the scheduler's own. It is called for each update, in order, on the loop.
func (s *StartTimes) Resolve(u *Update, now core.Time, isFirst bool) {
	if s.known == nil {
		s.known = make(map[string]workerStart, len(u.Workers))
	}
	s.updateCount++
	for i := range u.Workers {
		w, startedUnixMS := &u.Workers[i], u.StartedUnixMS[i]
		known, isKnown := s.known[w.Name]
		switch {
		case startedUnixMS == 0:
			w.StartedAt = 0
		case isKnown && known.startedUnixMS == startedUnixMS:
			w.StartedAt = known.startedAt
		case isFirst:
			w.StartedAt = min(w.StartedAt, now)
		default:
			w.StartedAt = now
		}
		s.known[w.Name] = workerStart{startedUnixMS: startedUnixMS, startedAt: w.StartedAt, lastUpdate: s.updateCount}
		if w.State == rules.Gone {
			s.markRemoved(w.Name)
		}
	}
	if u.IsSnapshot {
		s.markAbsentRemoved()
	}
}

// markAbsentRemoved marks the workers as removed that the current snapshot does not name.
func (s *StartTimes) markAbsentRemoved() {
	for name, w := range s.known {
		if !w.isRemoved && w.lastUpdate != s.updateCount {
			s.markRemoved(name)
		}
	}
}

// markRemoved marks a worker as removed, and forgets the earliest removed one beyond maxRemovedWorkers.
func (s *StartTimes) markRemoved(name string) {
	w := s.known[name]
	w.isRemoved = true
	s.known[name] = w
	s.removed = append(s.removed, name)
	if len(s.removed) > maxRemovedWorkers {
		if first := s.removed[0]; s.known[first].isRemoved {
			delete(s.known, first)
		}
		s.removed = s.removed[1:]
	}
}
