package discovery

import (
	"cobaltflow/internal/core"
	"cobaltflow/rules"
)

// mostDeparted is how many workers that have gone are remembered by their start; past it the one that left first is
// forgotten, and counts as started anew if it comes back.
const mostDeparted = 4096

// Starts says when workers were started, in the loop's time. Discovery tells a start as a date of the wall clock, which may
// have been stepped on either machine; so the date is only compared with the one told before. A worker whose date is the
// same was not restarted. One whose date has changed while we run is restarted now, whatever the two clocks say. Only the
// first list after our own start, in which nothing can be compared, is read by the wall clock.
type Starts struct {
	known    map[string]startedWorker
	departed []string // in the order in which they left; one that has come back is skipped
	updates  uint64   // so far
}

type startedWorker struct {
	sinceMS int64
	at      core.Time
	update  uint64 // the last that named it
	gone    bool
}

// Settle sets the start of each worker of an update, which holds it by the wall clock. first says that the update tells what
// happened before we ran. It is called for each update, in their order, on the loop.
func (s *Starts) Settle(u *Update, now core.Time, first bool) {
	if s.known == nil {
		s.known = make(map[string]startedWorker, len(u.Workers))
	}
	s.updates++
	for i := range u.Workers {
		w, since := &u.Workers[i], u.SinceMS[i]
		known, met := s.known[w.Name]
		switch {
		case since == 0:
			w.StartedAt = 0
		case met && known.sinceMS == since:
			w.StartedAt = known.at
		case first:
			w.StartedAt = min(w.StartedAt, now)
		default:
			w.StartedAt = now
		}
		s.known[w.Name] = startedWorker{sinceMS: since, at: w.StartedAt, update: s.updates}
		if w.State == rules.Gone {
			s.depart(w.Name)
		}
	}
	if u.Whole {
		s.departAbsent()
	}
}

// departAbsent lets those go that a whole list did not name.
func (s *Starts) departAbsent() {
	for name, w := range s.known {
		if !w.gone && w.update != s.updates {
			s.depart(name)
		}
	}
}

func (s *Starts) depart(name string) {
	w := s.known[name]
	w.gone = true
	s.known[name] = w
	s.departed = append(s.departed, name)
	if len(s.departed) > mostDeparted {
		if first := s.departed[0]; s.known[first].gone {
			delete(s.known, first)
		}
		s.departed = s.departed[1:]
	}
}
