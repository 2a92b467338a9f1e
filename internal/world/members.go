package world

import (
	"slices"

	"cobaltflow/rules"
)

func (w *World) makeSchedulers() {
	for rank := range w.setup.Schedulers {
		w.schedulers = append(w.schedulers, &scheduler{world: w, rank: rank})
	}
	for _, x := range w.schedulers {
		if !w.startsByFault(x.rank) {
			x.start()
		}
	}
}

// startsLater tells of a scheduler whose first fault is its start.
func (w *World) startsByFault(rank int) bool {
	first := Fault{Kind: KillScheduler, At: w.setup.Duration + 1}
	for _, f := range w.setup.Faults {
		if (f.Kind == StartScheduler || f.Kind == KillScheduler) && f.Scheduler == rank && f.At < first.At {
			first = f
		}
	}
	return first.Kind == StartScheduler
}

// start begins a process that knows of its members and its share of the list, and of nothing else.
func (x *scheduler) start() {
	w := x.world
	set := w.setup.Rules
	set.Rank, set.GroupSize = x.rank, w.setup.Schedulers
	set.Zone = ZoneOf(x.rank, set.Zones)
	x.sent, x.jobs = map[rules.RequestID][]*attempt{}, map[rules.RequestID]*job{}
	x.connUsedAt = make([]rules.Time, len(w.workers))
	x.assigned = make([]bool, len(w.workers))
	x.aliveMembers = w.initialMembers(x.rank)
	x.isAlive = true
	seed := w.setup.Seed<<16 + uint64(x.rank) + x.incarnation<<40
	x.decide(func() {
		x.dispatcher = rules.New(set, seed, w.now, x)
		if w.setup.Directory != nil {
			x.setHolders(w.setup.Directory.Holders())
		}
		x.dispatcher.List(w.now, &rules.List{Form: rules.ListFull, Entries: x.firstList()})
	})
}

// firstList gives the workers that the scheduler knows at its start.
func (x *scheduler) firstList() []rules.ListEntry {
	if x.world.setup.Ownership != nil {
		x.startOwnership()
		return x.ownershipHost.filterList(true, x.world.entries(x.world.workers))
	}
	return x.world.entries(x.assign(x.currentShare()))
}

// leastForeign is the part of the load that the decisions are told may be others': with none they never ask a worker,
// and never learn what it can carry.
const minForeignShare = 0.04

// divide tells the decisions that so many schedulers may send to each worker.
func (x *scheduler) setHolders(holders int) {
	if holders >= x.world.setup.Schedulers {
		return // as at the start
	}
	for kind := -1; kind < x.world.setup.Rules.Kinds; kind++ {
		x.dispatcher.SetSharing(kind, holders, max(minForeignShare, 1-1/float64(holders)))
	}
}

// members gives who is alive as a scheduler that starts learns it: at time 0 all that do not start later.
func (w *World) initialMembers(rank int) []bool {
	alive := make([]bool, len(w.schedulers))
	for i, x := range w.schedulers {
		alive[i] = x.isAlive || i == rank || w.now == 1 && !w.startsByFault(i)
	}
	return alive
}

// share gives the workers that the scheduler is to be given now.
func (x *scheduler) currentShare() []int {
	w := x.world
	if w.setup.Directory != nil {
		return w.setup.Directory.Share(x.rank, x.aliveMembers)
	}
	all := make([]int, len(w.workers))
	for i := range all {
		all[i] = i
	}
	return all
}

// take notes a share and gives its workers that were not known before.
func (x *scheduler) assign(share []int) (fresh []*worker) {
	for _, place := range share {
		if !x.assigned[place] {
			x.assigned[place] = true
			fresh = append(fresh, x.world.workers[place])
		}
	}
	return fresh
}

// held counts the workers that the scheduler is given.
func (x *scheduler) assignedCount() (n int) {
	for _, knows := range x.assigned {
		if knows && x.isAlive {
			n++
		}
	}
	return n
}

// entries gives what the list says of workers; nothing of those that have not joined yet.
func (w *World) entries(workers []*worker) (entries []rules.ListEntry) {
	for _, t := range workers {
		if t.isListed {
			entries = append(entries, t.entry)
		}
	}
	return entries
}

// tellList tells the scheduler of changed workers, as far as they are its own.
func (x *scheduler) deliverList(changed []*worker) {
	w := x.world
	if !x.isAlive {
		return
	}
	if x.ownershipHost != nil {
		x.decide(func() { x.applyList(x.ownershipHost.filterList(false, w.entries(changed))) })
		return
	}
	changed = slices.DeleteFunc(slices.Clone(changed), func(t *worker) bool { return !x.assigned[t.index] })
	entries := w.entries(changed)
	x.decide(func() { x.applyList(entries) })
}

// list gives the decisions changed entries. The caller is within decide.
func (x *scheduler) applyList(entries []rules.ListEntry) {
	if len(entries) > 0 {
		x.countListEntries(entries)
		x.dispatcher.List(x.world.now, &rules.List{Entries: entries})
	}
}

func (x *scheduler) countListEntries(entries []rules.ListEntry) {
	if x.world.isCounting() {
		x.world.figures.ListEntries += len(entries)
	}
}

// believe changes what a scheduler knows of the members, and gives it its new share: workers of others are Gone for
// it, while its attempts that are out there go on.
func (x *scheduler) setMember(member int, alive bool) {
	w := x.world
	if !x.isAlive || x.aliveMembers[member] == alive || member == x.rank {
		return
	}
	x.aliveMembers[member] = alive
	if w.setup.Directory == nil {
		return
	}
	share := x.currentShare()
	entries := w.entries(x.assign(share))
	mine := make([]bool, len(w.workers))
	for _, place := range share {
		mine[place] = true
	}
	for place, knows := range x.assigned {
		if knows && !mine[place] {
			x.assigned[place] = false
			gone := w.workers[place].entry
			gone.State = rules.Gone
			entries = append(entries, gone)
		}
	}
	x.applyList(entries)
}
