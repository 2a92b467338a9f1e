package discovery

import (
	"cobaltflow/internal/core"
	"cobaltflow/rules"
)

// mostDeparted is how many workers that have gone are remembered by their start; past it the one that left first is
// forgotten, and counts as started anew if it comes back.
const maxDepartedWorkers = 4096

// Starts says when workers were started, in the loop's time. Discovery tells a start as a date of the wall clock, which may
// have been stepped on either machine; so the date is only compared with the one told before. A worker whose date is the
// same was not restarted. One whose date has changed while we run is restarted now, whatever the two clocks say. Only the
// first list after our own start, in which nothing can be compared, is read by the wall clock.
type StartTimes struct {
	known       map[string]workerStart
	departed    []string // in the order in which they left; one that has come back is skipped
	updateCount uint64   // so far
}

type workerStart struct {
	startedUnixMS int64
	startedAt     core.Time
	lastUpdate    uint64 // the last that named it
	gone          bool
}

// Settle sets the start of each worker of an update, which holds it by the wall clock. first says that the update tells what
// happened before we ran. It is called for each update, in their order, on the loop.
func (s *StartTimes) Resolve(u *Update, now core.Time, first bool) {
	if s.known == nil {
		s.known = make(map[string]workerStart, len(u.Workers))
	}
	s.updateCount++
	for i := range u.Workers {
		w, since := &u.Workers[i], u.StartedUnixMS[i]
		known, met := s.known[w.Name]
		switch {
		case since == 0:
			w.StartedAt = 0
		case met && known.startedUnixMS == since:
			w.StartedAt = known.startedAt
		case first:
			w.StartedAt = min(w.StartedAt, now)
		default:
			w.StartedAt = now
		}
		s.known[w.Name] = workerStart{startedUnixMS: since, startedAt: w.StartedAt, lastUpdate: s.updateCount}
		if w.State == rules.Gone {
			s.markDeparted(w.Name)
		}
	}
	if u.IsSnapshot {
		s.markAbsentDeparted()
	}
}

// departAbsent lets those go that a whole list did not name.
func (s *StartTimes) markAbsentDeparted() {
	for name, w := range s.known {
		if !w.gone && w.lastUpdate != s.updateCount {
			s.markDeparted(name)
		}
	}
}

func (s *StartTimes) markDeparted(name string) {
	w := s.known[name]
	w.gone = true
	s.known[name] = w
	s.departed = append(s.departed, name)
	if len(s.departed) > maxDepartedWorkers {
		if first := s.departed[0]; s.known[first].gone {
			delete(s.known, first)
		}
		s.departed = s.departed[1:]
	}
}
