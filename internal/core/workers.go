package core

import (
	"cmp"
	"slices"

	"cobaltflow/rules"
)

// ListedWorker is one worker as a transport reports it.
type ListedWorker struct {
	Name             string
	Zone, Kind, Cell int // as the settings number them; Kind below 0: unknown
	State            rules.WorkerState
	Weight           float64
	StartedAt        Time // on the loop's clock; 0: long ago
}

// workerList holds the workers of a pool from all sources: discovery and the sessions of the Faktory front.
type workerList struct {
	workers map[string]*workerEntry // by name
	updates uint64                  // applied so far, full lists and changes
}

type workerEntry struct {
	ListedWorker
	transport  Transport // reported the worker and sends attempts to it
	lastUpdate uint64    // number of the last update that named the worker
}

func newWorkerList() workerList { return workerList{workers: map[string]*workerEntry{}} }

// UpdateWorkerList applies an update of a transport's workers to the main pool; see Pool.UpdateWorkerList.
func (c *Core) UpdateWorkerList(from Transport, form rules.ListForm, workers []ListedWorker) {
	c.mainPool.UpdateWorkerList(from, form, workers)
	c.sites.updateMembers()
	if c.OnWorkerList != nil {
		c.OnWorkerList()
	}
}

// MainPool returns the pool of all requests that name none.
func (c *Core) MainPool() *Pool { return c.mainPool }

// Pool is a set of workers with a Dispatcher of its own: its requests run at its workers only, and its load and failures
// do not affect other pools. A worker may be in several pools.
type Pool struct {
	Name       string
	core       *Core
	dispatcher *rules.Dispatcher
	list       workerList
	share      *workerShare // nil: the Dispatcher gets all workers
	closed     bool
}

// NewPool returns a pool without workers. It stays in use until Close.
func (c *Core) NewPool(name string, settings rules.Settings, seed uint64) *Pool {
	p := &Pool{Name: name, core: c, list: newWorkerList()}
	settings.MayBroadcast = settings.MayBroadcast && c.mainPool == nil // the peers share the main pool's workers only
	p.dispatcher = rules.New(settings, seed, c.Loop.now, actions{p})
	for worker := range c.disabledWorkers {
		p.setDisabled(worker, true)
	}
	c.pools = append(c.pools, p)
	return p
}

// setDisabled disables or enables a worker in the pool, and returns whether the pool lists it.
func (p *Pool) setDisabled(worker string, disabled bool) (isListed bool) {
	known := p.dispatcher.SetDisabled(p.core.Loop.now, rules.WorkerID(worker), rules.ByOperator, disabled)
	return known || p.list.workers[worker] != nil // a worker of another scheduler's share may become ours
}

// Close removes a pool. It must have no requests.
func (p *Pool) Close() {
	p.closed = true
	p.core.pools = slices.DeleteFunc(p.core.pools, func(other *Pool) bool { return other == p })
}

// IsEmpty returns whether the pool has no workers.
func (p *Pool) IsEmpty() bool { return len(p.list.workers) == 0 }

// HasReadyWorker returns whether the pool lists a ready worker of another transport than except.
func (p *Pool) HasReadyWorker(except Transport) bool {
	for _, entry := range p.list.workers {
		if entry.State == rules.Ready && entry.transport != except {
			return true
		}
	}
	return false
}

// UpdateWorkerList applies an update of a transport's workers. A full or cached list replaces the workers of that
// transport; the workers of other transports stay. A worker that another transport has already reported is ignored.
func (p *Pool) UpdateWorkerList(from Transport, form rules.ListForm, workers []ListedWorker) {
	c := p.core
	full := form == rules.ListFull || form == rules.ListCached
	p.list.updates++
	entries := make([]rules.ListEntry, 0, len(workers))
	for i := range workers {
		w := &workers[i]
		known := p.list.workers[w.Name]
		if known != nil && known.transport != from {
			c.Log.Warn("worker list: worker reported by two sources, the first one is kept", "worker", w.Name)
			continue
		}
		switch {
		case w.State == rules.Gone:
			delete(p.list.workers, w.Name)
		case known == nil:
			p.list.workers[w.Name] = &workerEntry{ListedWorker: *w, transport: from, lastUpdate: p.list.updates}
		default:
			known.ListedWorker, known.lastUpdate = *w, p.list.updates
		}
		entries = append(entries, w.entry())
	}
	if full {
		entries = append(entries, p.list.removeAbsent(from)...)
	}
	p.dispatcher.List(c.Loop.now, &rules.List{Form: form, Entries: p.ownedEntries(full, entries)})
}

// removeAbsent removes the workers of a transport that its latest update, a full list, did not name. It returns the
// entries of all other transports' workers, ordered by name.
func (l *workerList) removeAbsent(from Transport) (others []rules.ListEntry) {
	for name, entry := range l.workers {
		switch {
		case entry.transport != from:
			others = append(others, entry.entry())
		case entry.lastUpdate != l.updates:
			delete(l.workers, name)
		}
	}
	slices.SortFunc(others, func(a, b rules.ListEntry) int { return cmp.Compare(a.Worker, b.Worker) })
	return others
}

// SetWorkerDisabled applies an operator's directive to a worker in all pools, those that it joins later included: while it is
// disabled, no Dispatcher sends it new jobs, whatever the list says. It returns whether the worker is listed.
func (c *Core) SetWorkerDisabled(worker string, disabled bool) (isListed bool) {
	if delete(c.disabledWorkers, worker); disabled {
		c.disabledWorkers[worker] = true
	}
	for _, p := range c.pools {
		isListed = p.setDisabled(worker, disabled) || isListed
	}
	return isListed
}

// IsListed returns whether any pool lists a worker.
func (c *Core) IsListed(worker string) bool {
	return slices.ContainsFunc(c.pools, func(p *Pool) bool { return p.list.workers[worker] != nil })
}

// SetSlowStartElsewhere sets whether a later process of this scheduler uses its slow-start budgets: the Dispatcher's
// shares of the cold budgets, see rules.Dispatcher.YieldColdBudget.
func (c *Core) SetSlowStartElsewhere(elsewhere bool) {
	c.mainPool.dispatcher.YieldColdBudget(elsewhere)
}

// WorkersOutOfRotation returns the number of the main pool's workers that get no new jobs now, because they are disabled
// or because the Dispatcher avoids them after failures.
func (c *Core) WorkersOutOfRotation() int { return c.mainPool.dispatcher.OutOfRotation(c.Loop.now) }

// WorkerCount returns the number of the main pool's workers.
func (c *Core) WorkerCount() int { return len(c.mainPool.list.workers) }

func (w *ListedWorker) entry() rules.ListEntry {
	return rules.ListEntry{Worker: rules.WorkerID(w.Name), Zone: w.Zone, Kind: w.Kind, Cell: w.Cell, State: w.State,
		Weight: w.Weight, StartedAt: w.StartedAt}
}

// hashKey hashes a key with 64-bit FNV-1a. The Dispatcher only compares and spreads the hashes.
func hashKey(key string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * 1099511628211
	}
	return h
}
