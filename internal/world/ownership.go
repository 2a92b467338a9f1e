package world

import (
	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// fleetShare hosts a scheduler's ownership.Table, as the core does: the decisions are told of its share of the workers.
type ownershipHost struct {
	scheduler *scheduler
	table     *ownership.Table
	changed   []rules.ListEntry // by the present turn
}

// divideFleet begins the division, before the first list.
func (x *scheduler) startOwnership() {
	w := x.world
	set := *w.setup.Ownership
	set.Rank, set.Members = x.rank, w.setup.Schedulers
	set.Zone = ZoneOf(x.rank, w.setup.Rules.Zones)
	x.ownershipHost = &ownershipHost{scheduler: x}
	x.ownershipHost.table = ownership.New(set, w.now, x.ownershipHost)
	x.ownershipHost.turn()
}

func (s *ownershipHost) turn() {
	x, now := s.scheduler, s.scheduler.world.now
	occupied := 0.0
	if s.table.IsDivided() {
		occupied = x.dispatcher.Utilization(now)
	}
	next := s.table.Turn(now, occupied)
	if len(s.changed) > 0 {
		x.countListEntries(s.changed)
		x.dispatcher.List(now, &rules.List{Entries: s.changed})
		s.changed = s.changed[:0]
	}
	x.decideAt(next, s.turn)
}

// listed tells the table of workers and gives what the decisions are told of them.
func (s *ownershipHost) filterList(whole bool, entries []rules.ListEntry) (kept []rules.ListEntry) {
	update := ownership.Update{IsSnapshot: whole}
	for _, e := range entries {
		if e.State == rules.Gone {
			update.Removed = append(update.Removed, string(e.Worker))
		} else {
			update.Listed = append(update.Listed, ownership.Worker{Name: string(e.Worker), Zone: e.Zone, Kind: e.Kind, StartedAt: e.StartedAt})
		}
	}
	x := s.scheduler
	s.table.UpdateWorkers(x.world.now, update)
	for _, e := range entries {
		holds := e.State != rules.Gone && s.table.InShare(string(e.Worker))
		place := x.world.byID[e.Worker].index
		known := x.assigned[place]
		x.assigned[place] = holds
		if !holds {
			e.State = rules.Gone
		}
		if holds || known && !whole {
			kept = append(kept, e)
		}
	}
	return kept
}

// Enter implements ownership.Actions, like the methods below.
func (s *ownershipHost) AcquireWorker(name string) {
	t := s.scheduler.world.byID[rules.WorkerID(name)]
	s.scheduler.assigned[t.index] = true
	s.changed = append(s.changed, t.entry)
}

// Leave has the decisions send nothing new to a worker.
func (s *ownershipHost) ReleaseWorker(name string) {
	t := s.scheduler.world.byID[rules.WorkerID(name)]
	s.scheduler.assigned[t.index] = false
	gone := t.entry
	gone.State = rules.Gone
	s.changed = append(s.changed, gone)
}

// Divide tells the decisions how a kind is divided.
func (s *ownershipHost) SetDivision(d ownership.Division) {
	s.scheduler.dispatcher.SetSharing(d.Kind, d.ColdSenders, d.ForeignLoad)
}

// Member is not counted here.
func (s *ownershipHost) MemberChanged(int, bool) {}

// Broadcast sends a heartbeat to all other schedulers.
func (s *ownershipHost) Broadcast(h ownership.Heartbeat) {
	x := s.scheduler
	data := h.Append(nil)
	x.broadcast(len(data), func(y *scheduler) {
		if heartbeat, err := ownership.ParseHeartbeat(data); err == nil && y.ownershipHost != nil {
			y.ownershipHost.table.HandleHeartbeat(x.world.now, x.rank, heartbeat)
		}
	})
}
