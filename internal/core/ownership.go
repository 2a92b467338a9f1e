package core

import (
	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// DiscoveredTransport is implemented by a Transport whose workers are listed by all schedulers and may therefore be
// divided among them. The workers of other transports belong to this scheduler alone.
type DiscoveredTransport interface{ HasDiscoveredWorkers() }

// workerShare limits the main pool's Dispatcher to this scheduler's share of the workers, as package ownership computes
// it. The core keeps the whole list. A nil workerShare is switched off: the Dispatcher gets all workers.
type workerShare struct {
	core          *Core
	table         *ownership.Table
	changes       []rules.ListEntry // of the share, collected during a turn of the table
	loggedLeftOut int               // workers over ownership.MaxWorkers, as last logged
}

// EnableOwnership divides the main pool's workers among the schedulers. It must be called before the first worker list;
// the settings must have passed their Check.
func (c *Core) EnableOwnership(set ownership.Settings) {
	s := &workerShare{core: c}
	s.table = ownership.New(set, c.Loop.now, s)
	c.mainPool.share = s
	s.turn()
}

// AnnounceLeaving notifies the other schedulers that this one is ending, so that they take its workers over.
func (c *Core) AnnounceLeaving() {
	if c.mainPool.share != nil {
		c.mainPool.share.table.AnnounceLeaving()
	}
}

// OwnershipStats describes how the workers are divided, as this scheduler sees it.
type OwnershipStats struct {
	LiveSchedulers            int     // schedulers considered alive, this one included
	HeldWorkers, TotalWorkers int     // in this scheduler's share, and in all shares
	Span                      float64 // how far the share extends beyond the owned workers, see package ownership; 1: not at all
	Weight                    float64 // of this scheduler relative to the others; 1: the same
}

// Ownership returns how the workers are divided, and false if they are not.
func (c *Core) Ownership() (OwnershipStats, bool) {
	s := c.mainPool.share
	if s == nil || !s.table.IsDivided() {
		return OwnershipStats{}, false
	}
	held, total := s.table.ShareSize()
	return OwnershipStats{LiveSchedulers: s.table.LiveMembers(), HeldWorkers: held, TotalWorkers: total, Span: s.table.Span(),
		Weight: s.table.Weight()}, true
}

// turn runs a turn of the table, hands the changes of the share to the Dispatcher and sets the timer of the next turn.
func (s *workerShare) turn() {
	c := s.core
	utilization := 0.0
	if s.table.IsDivided() {
		utilization = c.mainPool.dispatcher.Utilization(c.Loop.now)
	}
	next := s.table.Turn(c.Loop.now, utilization)
	if len(s.changes) > 0 {
		c.mainPool.dispatcher.List(c.Loop.now, &rules.List{Entries: s.changes})
		s.changes = s.changes[:0]
	}
	c.Loop.At(next, s.turn)
}

// ownedEntries returns the entries that the pool's Dispatcher gets: a worker outside of the share is left out of a full
// list and marked as gone in a change. It reuses the memory of entries.
func (p *Pool) ownedEntries(full bool, entries []rules.ListEntry) []rules.ListEntry {
	s := p.share
	if s == nil {
		return entries
	}
	s.table.UpdateWorkers(p.core.Loop.now, s.toUpdate(full, entries))
	if n := s.table.OmittedWorkers(); n > s.loggedLeftOut {
		p.core.Log.Warn("ownership: too many workers; the last ones get no jobs", "left_out", n, "most", ownership.MaxWorkers)
		s.loggedLeftOut = n
	}
	owned := entries[:0]
	for _, e := range entries {
		if e.State != rules.Gone && !p.owns(string(e.Worker)) {
			if full {
				continue
			}
			e.State = rules.Gone
		}
		owned = append(owned, e)
	}
	return owned
}

// toUpdate returns the part of a list that concerns the workers divided among the schedulers.
func (s *workerShare) toUpdate(full bool, entries []rules.ListEntry) ownership.Update {
	u := ownership.Update{IsSnapshot: full}
	for _, e := range entries {
		switch name := string(e.Worker); {
		case e.State == rules.Gone:
			u.Removed = append(u.Removed, name)
		case s.isShared(name):
			u.Listed = append(u.Listed, ownership.Worker{Name: name, Zone: e.Zone, Kind: e.Kind, StartedAt: e.StartedAt})
		}
	}
	return u
}

// isShared returns whether a listed worker is one of those divided among the schedulers.
func (s *workerShare) isShared(worker string) bool {
	entry := s.core.mainPool.list.workers[worker]
	if entry == nil {
		return false
	}
	_, discovered := entry.transport.(DiscoveredTransport)
	return discovered
}

// owns returns whether the pool's Dispatcher may use a listed worker.
func (p *Pool) owns(worker string) bool {
	return p.share == nil || !p.share.isShared(worker) || p.share.table.InShare(worker)
}

// AcquireWorker implements ownership.Actions: the worker joins the share.
func (s *workerShare) AcquireWorker(worker string) {
	if entry := s.core.mainPool.list.workers[worker]; entry != nil {
		s.changes = append(s.changes, entry.entry())
	}
}

// ReleaseWorker implements ownership.Actions: the worker leaves the share, and its running jobs go on.
func (s *workerShare) ReleaseWorker(worker string) {
	if entry := s.core.mainPool.list.workers[worker]; entry != nil {
		e := entry.entry()
		e.State = rules.Gone
		s.changes = append(s.changes, e)
	}
}

// SetDivision implements ownership.Actions: the division of a kind of workers has changed.
func (s *workerShare) SetDivision(d ownership.Division) {
	s.core.mainPool.dispatcher.SetSharing(d.Kind, d.ColdSenders, d.ForeignLoad)
	if d.Kind == ownership.AllKinds {
		held, total := s.table.ShareSize()
		s.core.Log.Info("ownership", "divided", d.IsDivided, "held", held, "workers", total, "schedulers", s.table.LiveMembers(),
			"span", s.table.Span())
	}
}

// MemberChanged implements ownership.Actions: another scheduler is considered dead, or alive again.
func (s *workerShare) MemberChanged(rank int, alive bool) {
	s.core.Log.Info("ownership: scheduler lost or back", "rank", rank, "alive", alive)
}

// Broadcast implements ownership.Actions: it sends a heartbeat to all other schedulers.
func (s *workerShare) Broadcast(h ownership.Heartbeat) {
	if s.core.Broadcast != nil {
		s.core.Broadcast(h.Append(nil))
	}
}

// handleHeartbeat handles a message of another scheduler if it is a heartbeat, and returns whether it was one. A nil
// workerShare ignores heartbeats.
func (s *workerShare) handleHeartbeat(from int, data []byte) bool {
	h, err := ownership.ParseHeartbeat(data)
	if s == nil || err != nil {
		return err == nil
	}
	s.table.HandleHeartbeat(s.core.Loop.now, from, h)
	return true
}
