package platform

import (
	"cobaltflow/internal/core"
	"cobaltflow/internal/discovery"
	"cobaltflow/rules"
)

// minRemovedRetention is the least time for which a worker is remembered after its removal from the list. Its attempts
// may be running until their deadlines, and may be cancelled; its idle connections are closed by then.
const minRemovedRetention = 60 * core.Second

// removal is the removal of a worker from the list.
type removal struct {
	worker    *poolWorker
	removedAt core.Time
}

// recordRemovals records which workers an update removes from the list, so that they are forgotten later: replaced
// workers return under new names, and the old ones would accumulate.
func (p *connPool) recordRemovals(update *discovery.Update) {
	now := p.front.loop.Now()
	p.listUpdates++
	for i := range update.Workers {
		entry := &update.Workers[i]
		w := p.workers[entry.Name]
		switch {
		case w == nil:
		case entry.State == rules.Gone:
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

// markRemoved records the removal of a worker, unless it is removed already.
func (p *connPool) markRemoved(w *poolWorker, now core.Time) {
	if w.removedAt == 0 {
		w.removedAt = now
		p.removals = append(p.removals, removal{w, now})
	}
}

// forgetRemoved deletes the workers whose retention has expired.
func (p *connPool) forgetRemoved() {
	cutoff := p.front.loop.Now() - p.removedRetention
	expired := 0
	for _, r := range p.removals {
		if r.removedAt > cutoff {
			break
		}
		expired++
		if r.worker.removedAt == r.removedAt { // not listed again since
			p.forgetKeepAlive(r.worker)
			delete(p.workers, r.worker.name)
		}
	}
	if expired > 0 {
		clear(p.removals[:expired])
		p.removals = p.removals[expired:]
	}
}

// removedRetentionFor returns how long a removed worker is remembered: until all its attempts are past their deadlines.
func removedRetentionFor(classes []rules.Class) core.Time {
	longest := minRemovedRetention
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
