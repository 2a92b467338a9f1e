package world

import (
	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// ownershipHost runs a scheduler's ownership.Table as the core does: the dispatcher's worker list holds only the workers
// that the table assigns to the scheduler. It implements ownership.Actions.
type ownershipHost struct {
	scheduler *scheduler
	table     *ownership.Table
	changed   []rules.ListEntry // by the present turn of the table
}

// startOwnership creates the ownership table. It has to run before the first list.
func (sc *scheduler) startOwnership() {
	w := sc.world
	settings := *w.setup.Ownership
	settings.Rank, settings.Members = sc.rank, w.setup.Schedulers
	settings.Zone = ZoneOf(sc.rank, w.setup.Rules.Zones)
	sc.ownershipHost = &ownershipHost{scheduler: sc}
	sc.ownershipHost.table = ownership.New(settings, w.now, sc.ownershipHost)
	sc.ownershipHost.turn()
}

// turn runs the table's periodic work, passes the resulting changes to the dispatcher and schedules the next turn.
func (h *ownershipHost) turn() {
	sc, now := h.scheduler, h.scheduler.world.now
	occupied := 0.0
	if h.table.IsDivided() {
		occupied = sc.dispatcher.Utilization(now)
	}
	next := h.table.Turn(now, occupied)
	if len(h.changed) > 0 {
		sc.countListEntries(h.changed)
		sc.dispatcher.List(now, &rules.List{Entries: h.changed})
		h.changed = h.changed[:0]
	}
	sc.decideAt(next, h.turn)
}

// filterList passes a list or an update to the table and returns the entries that the dispatcher is to see: those of workers
// that the scheduler holds, and Gone for those that it held before.
func (h *ownershipHost) filterList(isFull bool, entries []rules.ListEntry) (kept []rules.ListEntry) {
	update := ownership.Update{IsSnapshot: isFull}
	for _, e := range entries {
		if e.State == rules.Gone {
			update.Removed = append(update.Removed, string(e.Worker))
		} else {
			update.Listed = append(update.Listed, ownership.Worker{Name: string(e.Worker), Zone: e.Zone, Kind: e.Kind, StartedAt: e.StartedAt})
		}
	}
	sc := h.scheduler
	h.table.UpdateWorkers(sc.world.now, update)
	for _, e := range entries {
		holds := e.State != rules.Gone && h.table.InShare(string(e.Worker))
		index := sc.world.byID[e.Worker].index
		known := sc.assigned[index]
		sc.assigned[index] = holds
		if !holds {
			e.State = rules.Gone
		}
		if holds || known && !isFull {
			kept = append(kept, e)
		}
	}
	return kept
}

// AcquireWorker adds a worker to the dispatcher's list.
func (h *ownershipHost) AcquireWorker(name string) {
	wk := h.scheduler.world.byID[rules.WorkerID(name)]
	h.scheduler.assigned[wk.index] = true
	h.changed = append(h.changed, wk.entry)
}

// ReleaseWorker removes a worker from the dispatcher's list; it gets no new attempts.
func (h *ownershipHost) ReleaseWorker(name string) {
	wk := h.scheduler.world.byID[rules.WorkerID(name)]
	h.scheduler.assigned[wk.index] = false
	gone := wk.entry
	gone.State = rules.Gone
	h.changed = append(h.changed, gone)
}

// SetDivision sets how many schedulers share the workers of a kind.
func (h *ownershipHost) SetDivision(d ownership.Division) {
	h.scheduler.dispatcher.SetSharing(d.Kind, d.ColdSenders, d.ForeignLoad)
}

// MemberChanged does nothing: the simulation does not count members.
func (h *ownershipHost) MemberChanged(int, bool) {}

// Broadcast sends a heartbeat to all other schedulers, in its encoded form.
func (h *ownershipHost) Broadcast(heartbeat ownership.Heartbeat) {
	sc := h.scheduler
	data := heartbeat.Append(nil)
	sc.broadcast(len(data), func(peer *scheduler) {
		if received, err := ownership.ParseHeartbeat(data); err == nil && peer.ownershipHost != nil {
			peer.ownershipHost.table.HandleHeartbeat(sc.world.now, sc.rank, received)
		}
	})
}
