package core

import (
	"cmp"
	"slices"

	"cobaltflow/rules"
)

// FarmWorker is one worker as a source of the farm tells of it.
type ListedWorker struct {
	Name             string
	Zone, Kind, Cell int
	State            rules.WorkerState
	Weight           float64
	StartedAt        Time // 0: long ago
}

// farm is the list of workers, from every source: discovery, and the sessions of the Faktory front.
type workerList struct {
	workers map[string]*workerEntry
	updates uint64 // that have come, whole ones and changes
}

type workerEntry struct {
	ListedWorker
	transport  Transport // who tells of the worker carries to it
	lastUpdate uint64    // the last that told of it, by its number
}

func newWorkerList() workerList { return workerList{workers: map[string]*workerEntry{}} }

// Farm takes news of the workers of one carrier, for the main pool.
func (c *Core) UpdateWorkerList(from Transport, form rules.ListForm, news []ListedWorker) {
	c.mainPool.UpdateWorkerList(from, form, news)
	c.sites.updateMembers()
	if c.OnWorkerList != nil {
		c.OnWorkerList()
	}
}

// Main is the pool of all transactions that name none.
func (c *Core) MainPool() *Pool { return c.mainPool }

// Pool is a part of the farm with a Dispatcher of its own: its transactions go to its workers only, and what
// they suffer is no other pool's. A worker may be in several.
type Pool struct {
	Name       string
	core       *Core
	dispatcher *rules.Dispatcher
	list       workerList
	share      *workerShare // nil: the decisions are told of all workers
	closed     bool
}

// NewPool makes a pool without workers. It stands until Close.
func (c *Core) NewPool(name string, settings rules.Settings, seed uint64) *Pool {
	p := &Pool{Name: name, core: c, list: newWorkerList()}
	settings.MayBroadcast = settings.MayBroadcast && c.mainPool == nil // the peers share the main pool's workers only
	p.dispatcher = rules.New(settings, seed, c.Loop.now, actions{p})
	c.pools = append(c.pools, p)
	return p
}

// Close lets go of a pool that has no transaction any more.
func (p *Pool) Close() {
	p.closed = true
	p.core.pools = slices.DeleteFunc(p.core.pools, func(other *Pool) bool { return other == p })
}

// Idle tells whether no worker is left in the pool.
func (p *Pool) IsEmpty() bool { return len(p.list.workers) == 0 }

// Ready tells whether a carrier's worker, other than but's, may be sent work in the pool.
func (p *Pool) HasReadyWorker(but Transport) bool {
	for _, m := range p.list.workers {
		if m.State == rules.Ready && m.transport != but {
			return true
		}
	}
	return false
}

// Farm takes news of the workers of one carrier. A whole list speaks for that carrier alone: its
// workers that are absent have gone, those of others stay.
func (p *Pool) UpdateWorkerList(from Transport, form rules.ListForm, news []ListedWorker) {
	c := p.core
	whole := form == rules.ListFull || form == rules.ListCached
	p.list.updates++
	entries := make([]rules.ListEntry, 0, len(news))
	for i := range news {
		w := &news[i]
		m := p.list.workers[w.Name]
		if m != nil && m.transport != from {
			c.Log.Warn("farm: told of by two sources; the first is kept", "worker", w.Name)
			continue
		}
		switch {
		case w.State == rules.Gone:
			delete(p.list.workers, w.Name)
		case m == nil:
			p.list.workers[w.Name] = &workerEntry{ListedWorker: *w, transport: from, lastUpdate: p.list.updates}
		default:
			m.ListedWorker, m.lastUpdate = *w, p.list.updates
		}
		entries = append(entries, w.entry())
	}
	if whole {
		entries = append(entries, p.list.removeAbsent(from)...)
	}
	p.dispatcher.List(c.Loop.now, &rules.List{Form: form, Entries: p.ownedEntries(whole, entries)})
}

// absent takes the workers of a carrier out that its last list, a whole one, did not hold, and gives the entries of all
// other carriers' by name.
func (f *workerList) removeAbsent(from Transport) (others []rules.ListEntry) {
	for name, m := range f.workers {
		switch {
		case m.transport != from:
			others = append(others, m.entry())
		case m.lastUpdate != f.updates:
			delete(f.workers, name)
		}
	}
	slices.SortFunc(others, func(a, b rules.ListEntry) int { return cmp.Compare(a.Worker, b.Worker) })
	return others
}

// Hold takes a worker of the main pool out by an operator's hand (out), or lets it back in; the decisions keep
// it from new work until then, whatever the list says. It tells whether the worker is listed.
func (c *Core) SetWorkerDisabled(worker string, out bool) bool {
	told := c.mainPool.dispatcher.SetDisabled(c.Loop.now, rules.WorkerID(worker), rules.ByOperator, out)
	return told || c.mainPool.list.workers[worker] != nil // one of another scheduler's share may become ours
}

// Lists tells whether a worker of the main pool is listed.
func (c *Core) IsListed(worker string) bool { return c.mainPool.list.workers[worker] != nil }

// ColdElsewhere tells the decisions whether a later process of this scheduler has its slow-start budgets.
func (c *Core) SetSlowStartElsewhere(elsewhere bool) {
	c.mainPool.dispatcher.YieldColdBudget(elsewhere)
}

// Avoided is the number of listed workers of the main pool that get nothing new now, by hand or by choice.
func (c *Core) WorkersOutOfRotation() int { return c.mainPool.dispatcher.OutOfRotation(c.Loop.now) }

// FarmSize is the number of workers known.
func (c *Core) WorkerCount() int { return len(c.mainPool.list.workers) }

func (w *ListedWorker) entry() rules.ListEntry {
	return rules.ListEntry{Worker: rules.WorkerID(w.Name), Zone: w.Zone, Kind: w.Kind, Cell: w.Cell, State: w.State,
		Weight: w.Weight, StartedAt: w.StartedAt}
}

// keyOf gives the decisions a key's number (FNV-1a): they only compare and spread it.
func hashKey(key string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * 1099511628211
	}
	return h
}
