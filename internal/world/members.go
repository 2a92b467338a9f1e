package world

import (
	"slices"

	"cobaltflow/rules"
)

func (w *World) makeSchedulers() {
	for rank := range w.set.Schedulers {
		w.schedulers = append(w.schedulers, &scheduler{world: w, rank: rank})
	}
	for _, x := range w.schedulers {
		if !w.startsLater(x.rank) {
			x.start()
		}
	}
}

// startsLater tells of a scheduler whose first fault is its start.
func (w *World) startsLater(rank int) bool {
	first := Fault{Kind: KillScheduler, At: w.set.For + 1}
	for _, f := range w.set.Faults {
		if (f.Kind == StartScheduler || f.Kind == KillScheduler) && f.Scheduler == rank && f.At < first.At {
			first = f
		}
	}
	return first.Kind == StartScheduler
}

// start begins a process that knows of its members and its share of the list, and of nothing else.
func (x *scheduler) start() {
	w := x.world
	set := w.set.Rules
	set.Rank, set.GroupSize = x.rank, w.set.Schedulers
	set.Zone = ZoneOf(x.rank, set.Zones)
	x.sent, x.jobs = map[rules.RequestID][]*attempt{}, map[rules.RequestID]*job{}
	x.usedAt = make([]rules.Time, len(w.workers))
	x.knows = make([]bool, len(w.workers))
	x.believes = w.members(x.rank)
	x.alive = true
	seed := w.set.Seed<<16 + uint64(x.rank) + x.starts<<40
	x.decide(func() {
		x.dispatcher = rules.New(set, seed, w.now, x)
		if w.set.Directory != nil {
			x.divide(w.set.Directory.Holders())
		}
		x.dispatcher.List(w.now, &rules.List{Form: rules.ListFull, Entries: x.firstList()})
	})
}

// firstList gives the workers that the scheduler knows at its start.
func (x *scheduler) firstList() []rules.ListEntry {
	if x.world.set.Ownership != nil {
		x.divideFleet()
		return x.fleet.listed(true, x.world.entries(x.world.workers))
	}
	return x.world.entries(x.take(x.share()))
}

// leastForeign is the part of the load that the decisions are told may be others': with none they never ask a worker,
// and never learn what it can carry.
const leastForeign = 0.04

// divide tells the decisions that so many schedulers may send to each worker.
func (x *scheduler) divide(holders int) {
	if holders >= x.world.set.Schedulers {
		return // as at the start
	}
	for kind := -1; kind < x.world.set.Rules.Kinds; kind++ {
		x.dispatcher.SetSharing(kind, holders, max(leastForeign, 1-1/float64(holders)))
	}
}

// members gives who is alive as a scheduler that starts learns it: at time 0 all that do not start later.
func (w *World) members(rank int) []bool {
	alive := make([]bool, len(w.schedulers))
	for i, x := range w.schedulers {
		alive[i] = x.alive || i == rank || w.now == 1 && !w.startsLater(i)
	}
	return alive
}

// share gives the workers that the scheduler is to be given now.
func (x *scheduler) share() []int {
	w := x.world
	if w.set.Directory != nil {
		return w.set.Directory.Share(x.rank, x.believes)
	}
	all := make([]int, len(w.workers))
	for i := range all {
		all[i] = i
	}
	return all
}

// take notes a share and gives its workers that were not known before.
func (x *scheduler) take(share []int) (fresh []*worker) {
	for _, place := range share {
		if !x.knows[place] {
			x.knows[place] = true
			fresh = append(fresh, x.world.workers[place])
		}
	}
	return fresh
}

// held counts the workers that the scheduler is given.
func (x *scheduler) held() (n int) {
	for _, knows := range x.knows {
		if knows && x.alive {
			n++
		}
	}
	return n
}

// entries gives what the list says of workers; nothing of those that have not joined yet.
func (w *World) entries(workers []*worker) (entries []rules.ListEntry) {
	for _, t := range workers {
		if t.listed {
			entries = append(entries, t.entry)
		}
	}
	return entries
}

// tellList tells the scheduler of changed workers, as far as they are its own.
func (x *scheduler) tellList(changed []*worker) {
	w := x.world
	if !x.alive {
		return
	}
	if x.fleet != nil {
		x.decide(func() { x.list(x.fleet.listed(false, w.entries(changed))) })
		return
	}
	changed = slices.DeleteFunc(slices.Clone(changed), func(t *worker) bool { return !x.knows[t.place] })
	entries := w.entries(changed)
	x.decide(func() { x.list(entries) })
}

// list gives the decisions changed entries. The caller is within decide.
func (x *scheduler) list(entries []rules.ListEntry) {
	if len(entries) > 0 {
		x.countList(entries)
		x.dispatcher.List(x.world.now, &rules.List{Entries: entries})
	}
}

func (x *scheduler) countList(entries []rules.ListEntry) {
	if x.world.counting() {
		x.world.figures.ListEntries += len(entries)
	}
}

// believe changes what a scheduler knows of the members, and gives it its new share: workers of others are Gone for
// it, while its attempts that are out there go on.
func (x *scheduler) believe(member int, alive bool) {
	w := x.world
	if !x.alive || x.believes[member] == alive || member == x.rank {
		return
	}
	x.believes[member] = alive
	if w.set.Directory == nil {
		return
	}
	share := x.share()
	entries := w.entries(x.take(share))
	mine := make([]bool, len(w.workers))
	for _, place := range share {
		mine[place] = true
	}
	for place, knows := range x.knows {
		if knows && !mine[place] {
			x.knows[place] = false
			gone := w.workers[place].entry
			gone.State = rules.Gone
			entries = append(entries, gone)
		}
	}
	x.list(entries)
}
