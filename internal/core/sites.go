package core

import (
	"maps"
	"slices"

	"cobaltflow/internal/sites"
	"cobaltflow/rules"
)

// Signs may be implemented by a Carrier that tells of its workers' signs of life, with Core.Asked and the calls beside
// it. Workers of others are held for alive as long as they are listed.
type Heartbeats interface{ ReportsHeartbeats() }

const (
	retryCreditPerAnswer = 0.1 // passes that may be tried again at once for each that is served, when their worker is lost
	maxRetryCredit       = 20  // and how many of them may have been saved up
)

// siteWatch carries out what package sites says of the main pool's workers. A nil one is switched off: nothing is known
// of sites.
type siteWatch struct {
	core        *Core
	machine     *sites.Machine
	timer       *Timer
	retryCredit float64
	stranded    []Ref // passes at workers that are out, which may be repeated as soon as the budget allows
	siteNames   []string
}

// WatchSites has the core know sites, which have these names. It is called before the first list.
func (c *Core) WatchSites(set sites.Settings, names []string, seed uint64) {
	w := &siteWatch{core: c, retryCredit: maxRetryCredit, siteNames: names}
	w.machine = sites.New(set, seed, c.Loop.now, w)
	c.sites = w
	w.turn()
}

// Asked tells that something goes out to a worker that it has to answer.
func (c *Core) ReplyExpected(worker string) {
	if c.sites != nil {
		c.sites.machine.Asked(c.Loop.now, worker)
		c.sites.scheduleSoon()
	}
}

// Answered tells of a sign of life.
func (c *Core) WorkerResponded(worker string) {
	if c.sites != nil {
		c.sites.machine.Answered(c.Loop.now, worker)
	}
}

// NotReached tells that a worker took no connection.
func (c *Core) ConnectFailed(worker string) {
	if c.sites != nil {
		c.sites.machine.Refused(c.Loop.now, worker)
	}
}

// Dropped tells that what was asked of a worker was given up by ourselves.
func (c *Core) ReplyAbandoned(worker string) {
	if c.sites != nil {
		c.sites.machine.Dropped(worker)
	}
}

// SiteFigures are what is known of one site.
type SiteStatus struct {
	Name                string
	State               sites.State
	Since               Time
	WorkersOut, Workers int
}

// Sites tells of all sites; nil: they are not watched.
func (c *Core) Sites() (list []SiteStatus) {
	if c.sites == nil {
		return nil
	}
	for i, name := range c.sites.siteNames {
		f := SiteStatus{Name: name}
		f.State, f.Since = c.sites.machine.State(i)
		f.WorkersOut, f.Workers = c.sites.machine.OutOf(i)
		list = append(list, f)
	}
	return list
}

// listed hands the list on.
func (w *siteWatch) updateMembers() {
	if w == nil {
		return
	}
	farm := w.core.mainPool.list.workers
	var list []sites.Member
	for _, name := range slices.Sorted(maps.Keys(farm)) {
		m := farm[name]
		if _, tells := m.transport.(Heartbeats); tells && m.State == rules.Ready {
			list = append(list, sites.Member{Worker: name, Site: m.Zone})
		}
	}
	w.machine.Listed(w.core.Loop.now, list)
}

// soon has the machine's turn come before its idle time: something is out that may go unanswered.
func (w *siteWatch) scheduleSoon() {
	if w.timer != nil && w.timer.at > w.core.Loop.now+soonTurnDelay {
		w.core.Loop.CancelTimer(w.timer)
		w.timer = w.core.Loop.At(w.core.Loop.now+soonTurnDelay, w.turn)
	}
}

const soonTurnDelay = 25 * Millisecond

func (w *siteWatch) turn() {
	w.timer = w.core.Loop.At(w.machine.Turn(w.core.Loop.now), w.turn)
	w.retryStranded()
}

// served earns the right to repeat.
func (w *siteWatch) addRetryCredit() {
	if w != nil {
		w.retryCredit = min(w.retryCredit+retryCreditPerAnswer, maxRetryCredit)
	}
}

// Ask implements sites.Actions.
func (w *siteWatch) Ask(worker string) { (actions{w.core.mainPool}).Probe(rules.WorkerID(worker)) }

// Changed implements sites.Actions.
func (w *siteWatch) Changed(site int, from, to sites.State) {
	if from == sites.Suspect && to == sites.Whole || to == sites.Suspect {
		return // now and then a worker is late; what it comes to is told
	}
	out, all := w.machine.OutOf(site)
	w.core.Log.Warn("site", "name", w.siteNames[site], "state", to.String(), "was", from.String(), "workers_out", out, "workers", all)
}

// Out implements sites.Actions: nothing new goes there, and what may be repeated is, in the order in which it is due.
func (w *siteWatch) Out(worker string, siteLost bool) {
	c := w.core
	c.mainPool.dispatcher.SetDisabled(c.Loop.now, rules.WorkerID(worker), rules.BySites, true)
	if !siteLost {
		c.Log.Info("table worker is silent, and gets nothing new", "worker", worker)
	}
	c.attempts.Each(func(ref Ref, p *Attempt) {
		if p.Worker == worker && p.Request.Pool == c.mainPool && !p.Request.closed && w.mayRepeat(p.Request) {
			w.stranded = append(w.stranded, ref)
		}
	})
}

func (w *siteWatch) mayRepeat(t *Request) bool {
	return !t.AtMostOnce && w.core.settings.Classes[t.Job.Class].Effect == rules.Repeatable
}

// Back implements sites.Actions. A worker that was away with its site may have been started anew before the list tells:
// it is listed as started now, so that all schedulers keep to its cold budget.
func (w *siteWatch) Back(worker string, cold bool) {
	c := w.core
	if m := c.mainPool.list.workers[worker]; m != nil && cold && m.StartedAt < c.Loop.now-c.settings.SlowStartWindow {
		m.StartedAt = c.Loop.now
		c.mainPool.dispatcher.List(c.Loop.now, &rules.List{Entries: c.mainPool.ownedEntries(false, []rules.ListEntry{m.entry()})})
	}
	c.mainPool.dispatcher.SetDisabled(c.Loop.now, rules.WorkerID(worker), rules.BySites, false)
}

// rescue ends stranded passes as far as the budget goes, those that are due first before the others, so that the
// decisions try again elsewhere. The rest waits for the next turn; one whose worker has come back goes on.
func (w *siteWatch) retryStranded() {
	if len(w.stranded) == 0 {
		return
	}
	c := w.core
	kept := w.stranded[:0]
	for _, ref := range w.stranded {
		if p, out := c.attempts.Get(ref); out && !p.Request.closed && w.machine.Out(p.Worker) {
			kept = append(kept, ref)
		}
	}
	slices.SortStableFunc(kept, func(a, b Ref) int {
		p, _ := c.attempts.Get(a)
		q, _ := c.attempts.Get(b)
		return int(min(max(p.Request.Deadline-q.Request.Deadline, -1), 1))
	})
	n := 0
	for n < len(kept) && w.retryCredit >= 1 {
		p, _ := c.attempts.Get(kept[n])
		n++
		w.retryCredit--
		status := rules.Reset
		if p.transport != nil && !p.transport.Cancel(p) {
			status = rules.NotSent
		}
		c.endAttempt(p, status, nil, rules.Load{})
	}
	w.stranded = slices.Clone(kept[n:])
}
