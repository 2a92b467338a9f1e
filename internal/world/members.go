package world

import (
	"slices"

	"cobaltflow/rules"
)

func (w *World) makeSchedulers() {
	for rank := range w.setup.Schedulers {
		w.schedulers = append(w.schedulers, &scheduler{world: w, rank: rank})
	}
	for _, sc := range w.schedulers {
		if !w.startsByFault(sc.rank) {
			sc.start()
		}
	}
}

// startsByFault reports whether a scheduler's first fault is its start, so that it does not run at time 0.
func (w *World) startsByFault(rank int) bool {
	first := Fault{Kind: KillScheduler, At: w.setup.Duration + 1}
	for _, f := range w.setup.Faults {
		if (f.Kind == StartScheduler || f.Kind == KillScheduler) && f.Scheduler == rank && f.At < first.At {
			first = f
		}
	}
	return first.Kind == StartScheduler
}

// start starts a scheduler process. It holds which schedulers are alive and its share of the worker list, and nothing of an
// earlier process.
func (sc *scheduler) start() {
	w := sc.world
	settings := w.setup.Rules
	settings.Rank, settings.GroupSize = sc.rank, w.setup.Schedulers
	settings.Zone = ZoneOf(sc.rank, settings.Zones)
	sc.sent, sc.jobs = map[rules.RequestID][]*attempt{}, map[rules.RequestID]*job{}
	sc.connUsedAt = make([]rules.Time, len(w.workers))
	sc.assigned = make([]bool, len(w.workers))
	sc.aliveMembers = w.initialMembers(sc.rank)
	sc.isAlive = true
	seed := w.setup.Seed<<16 + uint64(sc.rank) + sc.incarnation<<40
	sc.decide(func() {
		sc.dispatcher = rules.New(settings, seed, w.now, sc)
		if w.setup.Directory != nil {
			sc.setHolders(w.setup.Directory.Holders())
		}
		sc.dispatcher.List(w.now, &rules.List{Form: rules.ListFull, Entries: sc.firstList()})
	})
}

// firstList returns the entries of the workers that the scheduler may send to at its start.
func (sc *scheduler) firstList() []rules.ListEntry {
	if sc.world.setup.Ownership != nil {
		sc.startOwnership()
		return sc.ownershipHost.filterList(true, sc.world.entries(sc.world.workers))
	}
	return sc.world.entries(sc.assign(sc.currentShare()))
}

// minForeignShare is the least share of a worker's load that the dispatchers attribute to other schedulers. With 0 they
// would never probe a worker, and so never learn its capacity.
const minForeignShare = 0.04

// setHolders sets how many schedulers the dispatcher expects to send to each worker.
func (sc *scheduler) setHolders(holders int) {
	if holders >= sc.world.setup.Schedulers {
		return // the dispatcher's default
	}
	for kind := -1; kind < sc.world.setup.Rules.Kinds; kind++ {
		sc.dispatcher.SetSharing(kind, holders, max(minForeignShare, 1-1/float64(holders)))
	}
}

// initialMembers returns which schedulers a starting scheduler considers alive. At the start of the simulation these are
// all that no fault starts later.
func (w *World) initialMembers(rank int) []bool {
	alive := make([]bool, len(w.schedulers))
	for i, sc := range w.schedulers {
		alive[i] = sc.isAlive || i == rank || w.now == 1 && !w.startsByFault(i)
	}
	return alive
}

// currentShare returns the indexes of the workers that the scheduler is to hold now.
func (sc *scheduler) currentShare() []int {
	w := sc.world
	if w.setup.Directory != nil {
		return w.setup.Directory.Share(sc.rank, sc.aliveMembers)
	}
	all := make([]int, len(w.workers))
	for i := range all {
		all[i] = i
	}
	return all
}

// assign marks the workers of a share as held and returns those that the scheduler did not hold before.
func (sc *scheduler) assign(share []int) (added []*worker) {
	for _, index := range share {
		if !sc.assigned[index] {
			sc.assigned[index] = true
			added = append(added, sc.world.workers[index])
		}
	}
	return added
}

// assignedCount returns how many workers the scheduler holds; 0 if it does not run.
func (sc *scheduler) assignedCount() (n int) {
	for _, holds := range sc.assigned {
		if holds && sc.isAlive {
			n++
		}
	}
	return n
}

// entries returns the worker list's entries of those workers that have joined.
func (w *World) entries(workers []*worker) (entries []rules.ListEntry) {
	for _, wk := range workers {
		if wk.isListed {
			entries = append(entries, wk.entry)
		}
	}
	return entries
}

// deliverList passes the changed entries of the workers that the scheduler holds to its dispatcher.
func (sc *scheduler) deliverList(changed []*worker) {
	w := sc.world
	if !sc.isAlive {
		return
	}
	if sc.ownershipHost != nil {
		sc.decide(func() { sc.applyList(sc.ownershipHost.filterList(false, w.entries(changed))) })
		return
	}
	changed = slices.DeleteFunc(slices.Clone(changed), func(wk *worker) bool { return !sc.assigned[wk.index] })
	entries := w.entries(changed)
	sc.decide(func() { sc.applyList(entries) })
}

// applyList passes changed entries to the dispatcher. The caller must be inside decide.
func (sc *scheduler) applyList(entries []rules.ListEntry) {
	if len(entries) > 0 {
		sc.countListEntries(entries)
		sc.dispatcher.List(sc.world.now, &rules.List{Entries: entries})
	}
}

func (sc *scheduler) countListEntries(entries []rules.ListEntry) {
	if sc.world.isCounting() {
		sc.world.figures.ListEntries += len(entries)
	}
}

// setMember updates whether the scheduler considers another one alive, and applies its new share. A worker that leaves the
// share is Gone for the dispatcher; attempts already sent to it continue.
func (sc *scheduler) setMember(member int, alive bool) {
	w := sc.world
	if !sc.isAlive || sc.aliveMembers[member] == alive || member == sc.rank {
		return
	}
	sc.aliveMembers[member] = alive
	if w.setup.Directory == nil {
		return
	}
	share := sc.currentShare()
	entries := w.entries(sc.assign(share))
	inShare := make([]bool, len(w.workers))
	for _, index := range share {
		inShare[index] = true
	}
	for index, holds := range sc.assigned {
		if holds && !inShare[index] {
			sc.assigned[index] = false
			gone := w.workers[index].entry
			gone.State = rules.Gone
			entries = append(entries, gone)
		}
	}
	sc.applyList(entries)
}
