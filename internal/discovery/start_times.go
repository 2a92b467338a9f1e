package discovery

import (
	"cobaltflow/internal/core"
	"cobaltflow/rules"
)

// maxDepartedWorkers bounds the departed workers whose start times are remembered. Beyond it the earliest one is forgotten,
// and counts as restarted if it is listed again.
const maxDepartedWorkers = 4096

// StartTimes tracks when workers were started, in the loop's time. Discovery reports a start as a wall-clock date, and the
// clock of either machine may have been stepped. A date is therefore only compared with the previous one: a worker with the
// same date was not restarted, and one whose date has changed was restarted now, whatever the two clocks say. Only the first
// list after the scheduler's own start, which has no previous dates, is read by the wall clock.
type StartTimes struct {
	known       map[string]workerStart // by worker name
	departed    []string               // in the order of departure; may include workers that are listed again
	updateCount uint64                 // updates resolved so far
}

// workerStart is the last known start of a worker.
type workerStart struct {
	startedUnixMS int64 // by discovery's clock
	startedAt     core.Time
	lastUpdate    uint64 // number of the last update that named the worker
	gone          bool   // departed
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
			s.markDeparted(w.Name)
		}
	}
	if u.IsSnapshot {
		s.markAbsentDeparted()
	}
}

// markAbsentDeparted marks the workers departed that the current snapshot does not name.
func (s *StartTimes) markAbsentDeparted() {
	for name, w := range s.known {
		if !w.gone && w.lastUpdate != s.updateCount {
			s.markDeparted(name)
		}
	}
}

// markDeparted marks a worker departed, and forgets the earliest departed one beyond maxDepartedWorkers.
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
