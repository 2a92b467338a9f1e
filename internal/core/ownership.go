package core

import (
	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// Discovered may be implemented by a Carrier whose workers all schedulers are told of, and which may therefore be
// divided among them. Workers of others are this scheduler's alone and stay so.
type DiscoveredTransport interface{ HasDiscoveredWorkers() }

// fleetShare hands the decisions of the main pool this scheduler's share of the workers, as package ownership finds it.
// The core goes on knowing all of them. A nil one is switched off: the decisions get the whole list.
type workerShare struct {
	core          *Core
	table         *ownership.Table
	changes       []rules.ListEntry // what a turn of the table changes
	loggedLeftOut int               // workers over the bound, as last logged
}

// DivideFleet has the core divide the main pool's workers among the schedulers. It is called before the first list; the
// settings must have passed their Check.
func (c *Core) EnableOwnership(set ownership.Settings) {
	s := &workerShare{core: c}
	s.table = ownership.New(set, c.Loop.now, s)
	c.mainPool.share = s
	s.turn()
}

// LeaveFleet tells the other schedulers that this one ends.
func (c *Core) AnnounceLeaving() {
	if c.mainPool.share != nil {
		c.mainPool.share.table.Leave()
	}
}

// ShareFigures tell how the fleet is divided, as this scheduler sees it.
type OwnershipStats struct {
	LiveSchedulers            int     // schedulers taken to be alive
	HeldWorkers, TotalWorkers int     // workers of the own share, and all
	Span                      float64 // how far it goes beyond what it owns; 1: not at all
	Weight                    float64 // of this scheduler against others; 1: as much
}

// Share gives the figures of the division; false: the fleet is not divided.
func (c *Core) Ownership() (OwnershipStats, bool) {
	s := c.mainPool.share
	if s == nil || !s.table.Divided() {
		return OwnershipStats{}, false
	}
	held, size := s.table.Held()
	return OwnershipStats{LiveSchedulers: s.table.Live(), HeldWorkers: held, TotalWorkers: size, Span: s.table.Span(), Weight: s.table.Weight()}, true
}

func (s *workerShare) turn() {
	c := s.core
	occupied := 0.0
	if s.table.Divided() {
		occupied = c.mainPool.dispatcher.Utilization(c.Loop.now)
	}
	next := s.table.Turn(c.Loop.now, occupied)
	if len(s.changes) > 0 {
		c.mainPool.dispatcher.List(c.Loop.now, &rules.List{Entries: s.changes})
		s.changes = s.changes[:0]
	}
	c.Loop.At(next, s.turn)
}

// divided gives the part of a list that the decisions of the pool are told: what is not in the share has gone, as far as
// they know.
func (p *Pool) ownedEntries(whole bool, entries []rules.ListEntry) []rules.ListEntry {
	s := p.share
	if s == nil {
		return entries
	}
	s.table.Listed(p.core.Loop.now, s.toUpdate(whole, entries))
	if n := s.table.LeftOut(); n > s.loggedLeftOut {
		p.core.Log.Warn("ownership: too many workers; the last ones get no jobs", "left_out", n, "most", ownership.MostWorkers)
		s.loggedLeftOut = n
	}
	kept := entries[:0]
	for _, e := range entries {
		if e.State != rules.Gone && !p.owns(string(e.Worker)) {
			if whole {
				continue
			}
			e.State = rules.Gone
		}
		kept = append(kept, e)
	}
	return kept
}

func (s *workerShare) toUpdate(whole bool, entries []rules.ListEntry) ownership.Update {
	u := ownership.Update{Whole: whole}
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

// covers tells whether a worker is one of those that are divided.
func (s *workerShare) isShared(worker string) bool {
	m := s.core.mainPool.list.workers[worker]
	if m == nil {
		return false
	}
	_, discovered := m.transport.(DiscoveredTransport)
	return discovered
}

// holds tells whether the pool's decisions are told of a worker that is listed.
func (p *Pool) owns(worker string) bool {
	return p.share == nil || !p.share.isShared(worker) || p.share.table.Holds(worker)
}

// Enter implements ownership.Actions.
func (s *workerShare) Enter(worker string) {
	if m := s.core.mainPool.list.workers[worker]; m != nil {
		s.changes = append(s.changes, m.entry())
	}
}

// Leave implements ownership.Actions.
func (s *workerShare) Leave(worker string) {
	if m := s.core.mainPool.list.workers[worker]; m != nil {
		e := m.entry()
		e.State = rules.Gone
		s.changes = append(s.changes, e)
	}
}

// Divide implements ownership.Actions.
func (s *workerShare) Divide(d ownership.Division) {
	s.core.mainPool.dispatcher.SetSharing(d.Kind, d.Senders, d.Foreign)
	if d.Kind == ownership.AllKinds {
		held, size := s.table.Held()
		s.core.Log.Info("ownership", "divided", d.Divided, "held", held, "workers", size, "schedulers", s.table.Live(),
			"span", s.table.Span())
	}
}

// Member implements ownership.Actions.
func (s *workerShare) Member(rank int, alive bool) {
	s.core.Log.Info("ownership: scheduler lost or back", "rank", rank, "alive", alive)
}

// Broadcast implements ownership.Actions.
func (s *workerShare) Broadcast(h ownership.Heartbeat) {
	if s.core.Broadcast != nil {
		s.core.Broadcast(h.Append(nil))
	}
}

// heard takes a message of another scheduler if it is a heartbeat.
func (s *workerShare) handleHeartbeat(from int, data []byte) bool {
	h, err := ownership.ParseHeartbeat(data)
	if s == nil || err != nil {
		return err == nil
	}
	s.table.Heard(s.core.Loop.now, from, h)
	return true
}
