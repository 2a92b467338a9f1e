package core

import (
	"maps"
	"slices"

	"cobaltflow/internal/sites"
	"cobaltflow/rules"
)

// Signs may be implemented by a Carrier that tells of its workers' signs of life, with Core.Asked and the calls beside
// it. Workers of others are held for alive as long as they are listed.
type Signs interface{ TellsSigns() }

const (
	retryPart  = 0.1 // passes that may be tried again at once for each that is served, when their worker is lost
	retryDepth = 20  // and how many of them may have been saved up
)

// siteWatch carries out what package sites says of the main pool's workers. A nil one is switched off: nothing is known
// of sites.
type siteWatch struct {
	core     *Core
	machine  *sites.Machine
	next     *Deadline
	budget   float64
	stranded []Ref // passes at workers that are out, which may be repeated as soon as the budget allows
	names    []string
}

// WatchSites has the core know sites, which have these names. It is called before the first list.
func (c *Core) WatchSites(set sites.Settings, names []string, seed uint64) {
	w := &siteWatch{core: c, budget: retryDepth, names: names}
	w.machine = sites.New(set, seed, c.Loop.now, w)
	c.sites = w
	w.turn()
}

// Asked tells that something goes out to a worker that it has to answer.
func (c *Core) Asked(worker string) {
	if c.sites != nil {
		c.sites.machine.Asked(c.Loop.now, worker)
		c.sites.soon()
	}
}

// Answered tells of a sign of life.
func (c *Core) Answered(worker string) {
	if c.sites != nil {
		c.sites.machine.Answered(c.Loop.now, worker)
	}
}

// NotReached tells that a worker took no connection.
func (c *Core) NotReached(worker string) {
	if c.sites != nil {
		c.sites.machine.Refused(c.Loop.now, worker)
	}
}

// Dropped tells that what was asked of a worker was given up by ourselves.
func (c *Core) Dropped(worker string) {
	if c.sites != nil {
		c.sites.machine.Dropped(worker)
	}
}

// SiteFigures are what is known of one site.
type SiteFigures struct {
	Name     string
	State    sites.State
	Since    Time
	Out, All int
}

// Sites tells of all sites; nil: they are not watched.
func (c *Core) Sites() (list []SiteFigures) {
	if c.sites == nil {
		return nil
	}
	for i, name := range c.sites.names {
		f := SiteFigures{Name: name}
		f.State, f.Since = c.sites.machine.State(i)
		f.Out, f.All = c.sites.machine.OutOf(i)
		list = append(list, f)
	}
	return list
}

// listed hands the list on.
func (w *siteWatch) listed() {
	if w == nil {
		return
	}
	farm := w.core.main.farm.workers
	var list []sites.Member
	for _, name := range slices.Sorted(maps.Keys(farm)) {
		m := farm[name]
		if _, tells := m.carrier.(Signs); tells && m.State == rules.Ready {
			list = append(list, sites.Member{Worker: name, Site: m.Zone})
		}
	}
	w.machine.Listed(w.core.Loop.now, list)
}

// soon has the machine's turn come before its idle time: something is out that may go unanswered.
func (w *siteWatch) soon() {
	if w.next != nil && w.next.at > w.core.Loop.now+soonest {
		w.core.Loop.Drop(w.next)
		w.next = w.core.Loop.At(w.core.Loop.now+soonest, w.turn)
	}
}

const soonest = 25 * Millisecond

func (w *siteWatch) turn() {
	w.next = w.core.Loop.At(w.machine.Turn(w.core.Loop.now), w.turn)
	w.rescue()
}

// served earns the right to repeat.
func (w *siteWatch) served() {
	if w != nil {
		w.budget = min(w.budget+retryPart, retryDepth)
	}
}

// Ask implements sites.Actions.
func (w *siteWatch) Ask(worker string) { (actions{w.core.main}).Probe(rules.WorkerID(worker)) }

// Changed implements sites.Actions.
func (w *siteWatch) Changed(site int, from, to sites.State) {
	if from == sites.Suspect && to == sites.Whole || to == sites.Suspect {
		return // now and then a worker is late; what it comes to is told
	}
	out, all := w.machine.OutOf(site)
	w.core.Log.Warn("site", "name", w.names[site], "state", to.String(), "was", from.String(), "workers_out", out, "workers", all)
}

// Out implements sites.Actions: nothing new goes there, and what may be repeated is, in the order in which it is due.
func (w *siteWatch) Out(worker string, siteLost bool) {
	c := w.core
	c.main.dispatcher.SetDisabled(c.Loop.now, rules.WorkerID(worker), rules.BySites, true)
	if !siteLost {
		c.Log.Info("table worker is silent, and gets nothing new", "worker", worker)
	}
	c.passes.Each(func(ref Ref, p *ProxyPass) {
		if p.Worker == worker && p.Transaction.Pool == c.main && !p.Transaction.closed && w.repeatable(p.Transaction) {
			w.stranded = append(w.stranded, ref)
		}
	})
}

func (w *siteWatch) repeatable(t *Transaction) bool {
	return !t.Single && w.core.settings.Classes[t.Work.Class].Effect == rules.Repeatable
}

// Back implements sites.Actions. A worker that was away with its site may have been started anew before the list tells:
// it is listed as started now, so that all schedulers keep to its cold budget.
func (w *siteWatch) Back(worker string, cold bool) {
	c := w.core
	if m := c.main.farm.workers[worker]; m != nil && cold && m.StartedAt < c.Loop.now-c.settings.SlowStartWindow {
		m.StartedAt = c.Loop.now
		c.main.dispatcher.List(c.Loop.now, &rules.List{Entries: c.main.divided(false, []rules.ListEntry{m.entry()})})
	}
	c.main.dispatcher.SetDisabled(c.Loop.now, rules.WorkerID(worker), rules.BySites, false)
}

// rescue ends stranded passes as far as the budget goes, those that are due first before the others, so that the
// decisions try again elsewhere. The rest waits for the next turn; one whose worker has come back goes on.
func (w *siteWatch) rescue() {
	if len(w.stranded) == 0 {
		return
	}
	c := w.core
	kept := w.stranded[:0]
	for _, ref := range w.stranded {
		if p, out := c.passes.Get(ref); out && !p.Transaction.closed && w.machine.Out(p.Worker) {
			kept = append(kept, ref)
		}
	}
	slices.SortStableFunc(kept, func(a, b Ref) int {
		p, _ := c.passes.Get(a)
		q, _ := c.passes.Get(b)
		return int(min(max(p.Transaction.Deadline-q.Transaction.Deadline, -1), 1))
	})
	n := 0
	for n < len(kept) && w.budget >= 1 {
		p, _ := c.passes.Get(kept[n])
		n++
		w.budget--
		status := rules.Reset
		if p.carrier != nil && !p.carrier.Withdraw(p) {
			status = rules.NotSent
		}
		c.end(p, status, nil, rules.Load{})
	}
	w.stranded = slices.Clone(kept[n:])
}
