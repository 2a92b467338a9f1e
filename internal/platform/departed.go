package platform

import (
	"cobaltflow/internal/core"
	"cobaltflow/internal/discovery"
	"cobaltflow/rules"
)

// departedLeast is how long a worker that is off the list stays known, at least. Attempts may be in hand there until
// their deadlines, and be withdrawn; its idle connections have been retired by then.
const minRemovedRetention = 60 * core.Second

// departure is a worker that has left the list.
type removal struct {
	worker    *poolWorker
	removedAt core.Time
}

// noteDepartures takes note of the workers that an update takes off the list, so that they are forgotten in the end:
// workers that are replaced come back under new names.
func (p *connPool) recordRemovals(update *discovery.Update) {
	now := p.f.loop.Now()
	p.listUpdates++
	for i := range update.Workers {
		m := &update.Workers[i]
		w := p.workers[m.Name]
		switch {
		case w == nil:
		case m.State == rules.Gone:
			p.markRemoved(w, now)
		default:
			w.lastListed, w.removedAt = p.listUpdates, 0
		}
	}
	if !update.IsSnapshot {
		return
	}
	for _, w := range p.workers {
		if w.lastListed != p.listUpdates {
			p.markRemoved(w, now)
		}
	}
}

func (p *connPool) markRemoved(w *poolWorker, now core.Time) {
	if w.removedAt == 0 {
		w.removedAt = now
		p.removals = append(p.removals, removal{w, now})
	}
}

// dropDeparted forgets the workers that left the list long ago.
func (p *connPool) forgetRemoved() {
	before := p.f.loop.Now() - p.removedRetention
	dropped := 0
	for _, d := range p.removals {
		if d.removedAt > before {
			break
		}
		dropped++
		if d.worker.removedAt == d.removedAt { // it has not come back since
			p.forgetKeepAlive(d.worker)
			delete(p.workers, d.worker.name)
		}
	}
	if dropped > 0 {
		clear(p.removals[:dropped])
		p.removals = p.removals[dropped:]
	}
}

// departedFor is how long a worker that is off the list stays known: until every attempt there is past its deadline.
func removedRetentionFor(classes []rules.Class) core.Time {
	longest := minRemovedRetention
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
