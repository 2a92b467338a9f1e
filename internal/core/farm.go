package core

import (
	"cmp"
	"slices"

	"cobaltflow/rules"
)

// FarmWorker is one worker as a source of the farm tells of it.
type FarmWorker struct {
	Name             string
	Zone, Kind, Cell int
	State            rules.WorkerState
	Weight           float64
	StartedAt        Time // 0: long ago
}

// farm is the list of workers, from every source: discovery, and the sessions of the Faktory front.
type farm struct {
	workers map[string]*farmMember
	lists   uint64 // that have come, whole ones and changes
}

type farmMember struct {
	FarmWorker
	carrier Carrier // who tells of the worker carries to it
	list    uint64  // the last that told of it, by its number
}

func newFarm() farm { return farm{workers: map[string]*farmMember{}} }

// Farm takes news of the workers of one carrier, for the main pool.
func (c *Core) Farm(from Carrier, form rules.ListForm, news []FarmWorker) {
	c.main.Farm(from, form, news)
	c.sites.listed()
	if c.Listed != nil {
		c.Listed()
	}
}

// Main is the pool of all transactions that name none.
func (c *Core) Main() *Pool { return c.main }

// Pool is a part of the farm with a Dispatcher of its own: its transactions go to its workers only, and what
// they suffer is no other pool's. A worker may be in several.
type Pool struct {
	Name       string
	core       *Core
	dispatcher *rules.Dispatcher
	farm       farm
	share      *fleetShare // nil: the decisions are told of all workers
	closed     bool
}

// NewPool makes a pool without workers. It stands until Close.
func (c *Core) NewPool(name string, settings rules.Settings, seed uint64) *Pool {
	p := &Pool{Name: name, core: c, farm: newFarm()}
	settings.MayBroadcast = settings.MayBroadcast && c.main == nil // the peers share the main pool's workers only
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
func (p *Pool) Idle() bool { return len(p.farm.workers) == 0 }

// Ready tells whether a carrier's worker, other than but's, may be sent work in the pool.
func (p *Pool) Ready(but Carrier) bool {
	for _, m := range p.farm.workers {
		if m.State == rules.Ready && m.carrier != but {
			return true
		}
	}
	return false
}

// Farm takes news of the workers of one carrier. A whole list speaks for that carrier alone: its
// workers that are absent have gone, those of others stay.
func (p *Pool) Farm(from Carrier, form rules.ListForm, news []FarmWorker) {
	c := p.core
	whole := form == rules.ListFull || form == rules.ListCached
	p.farm.lists++
	entries := make([]rules.ListEntry, 0, len(news))
	for i := range news {
		w := &news[i]
		m := p.farm.workers[w.Name]
		if m != nil && m.carrier != from {
			c.Log.Warn("farm: told of by two sources; the first is kept", "worker", w.Name)
			continue
		}
		switch {
		case w.State == rules.Gone:
			delete(p.farm.workers, w.Name)
		case m == nil:
			p.farm.workers[w.Name] = &farmMember{FarmWorker: *w, carrier: from, list: p.farm.lists}
		default:
			m.FarmWorker, m.list = *w, p.farm.lists
		}
		entries = append(entries, w.entry())
	}
	if whole {
		entries = append(entries, p.farm.absent(from)...)
	}
	p.dispatcher.List(c.Loop.now, &rules.List{Form: form, Entries: p.divided(whole, entries)})
}

// absent takes the workers of a carrier out that its last list, a whole one, did not hold, and gives the entries of all
// other carriers' by name.
func (f *farm) absent(from Carrier) (others []rules.ListEntry) {
	for name, m := range f.workers {
		switch {
		case m.carrier != from:
			others = append(others, m.entry())
		case m.list != f.lists:
			delete(f.workers, name)
		}
	}
	slices.SortFunc(others, func(a, b rules.ListEntry) int { return cmp.Compare(a.Worker, b.Worker) })
	return others
}

// Hold takes a worker of the main pool out by an operator's hand (out), or lets it back in; the decisions keep
// it from new work until then, whatever the list says. It tells whether the worker is listed.
func (c *Core) Hold(worker string, out bool) bool {
	told := c.main.dispatcher.SetDisabled(c.Loop.now, rules.WorkerID(worker), rules.ByOperator, out)
	return told || c.main.farm.workers[worker] != nil // one of another scheduler's share may become ours
}

// Lists tells whether a worker of the main pool is listed.
func (c *Core) Lists(worker string) bool { return c.main.farm.workers[worker] != nil }

// ColdElsewhere tells the decisions whether a later process of this scheduler has its slow-start budgets.
func (c *Core) ColdElsewhere(elsewhere bool) { c.main.dispatcher.YieldColdBudget(elsewhere) }

// Avoided is the number of listed workers of the main pool that get nothing new now, by hand or by choice.
func (c *Core) Avoided() int { return c.main.dispatcher.OutOfRotation(c.Loop.now) }

// FarmSize is the number of workers known.
func (c *Core) FarmSize() int { return len(c.main.farm.workers) }

func (w *FarmWorker) entry() rules.ListEntry {
	return rules.ListEntry{Worker: rules.WorkerID(w.Name), Zone: w.Zone, Kind: w.Kind, Cell: w.Cell, State: w.State,
		Weight: w.Weight, StartedAt: w.StartedAt}
}

// keyOf gives the decisions a key's number (FNV-1a): they only compare and spread it.
func keyOf(key string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * 1099511628211
	}
	return h
}
