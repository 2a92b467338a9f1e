package core

import (
	"maps"
	"slices"

	"cobaltflow/internal/sites"
	"cobaltflow/rules"
)

// Heartbeats is implemented by a Transport that reports signs of life of its workers with Core.ReplyExpected,
// WorkerResponded, ConnectFailed and ReplyAbandoned. The workers of other transports count as alive while they are listed.
type Heartbeats interface{ ReportsHeartbeats() }

// The retry credit is the number of attempts at silent workers that may be ended and retried at once.
const (
	retryCreditPerAnswer = 0.1 // earned by each request that is served
	maxRetryCredit       = 20  // the credit's upper bound, and its value at the start
)

// siteWatch applies the decisions of package sites (failover between sites) to the main pool's workers. A nil siteWatch
// is switched off.
type siteWatch struct {
	core        *Core
	machine     *sites.Machine
	timer       *Timer // of the machine's next turn
	retryCredit float64
	stranded    []Ref // attempts at silent workers that may be retried and wait for retry credit
	siteNames   []string
}

// WatchSites enables the failover between sites, given by their names. It must be called before the first worker list.
func (c *Core) WatchSites(set sites.Settings, names []string, seed uint64) {
	w := &siteWatch{core: c, retryCredit: maxRetryCredit, siteNames: names}
	w.machine = sites.New(set, seed, c.Loop.now, w)
	c.sites = w
	w.turn()
}

// ReplyExpected reports that something is sent to a worker that it has to reply to.
func (c *Core) ReplyExpected(worker string) {
	if c.sites != nil {
		c.sites.machine.ReplyExpected(c.Loop.now, worker)
		c.sites.scheduleSoon()
	}
}

// WorkerResponded reports a sign of life of a worker: a reply or anything else it sends.
func (c *Core) WorkerResponded(worker string) {
	if c.sites != nil {
		c.sites.machine.WorkerResponded(c.Loop.now, worker)
	}
}

// ConnectFailed reports that no connection to a worker could be established.
func (c *Core) ConnectFailed(worker string) {
	if c.sites != nil {
		c.sites.machine.ConnectFailed(c.Loop.now, worker)
	}
}

// ReplyAbandoned reports that this process no longer waits for a worker's reply, so that its absence proves nothing.
func (c *Core) ReplyAbandoned(worker string) {
	if c.sites != nil {
		c.sites.machine.ReplyAbandoned(worker)
	}
}

// SiteStatus is the state of one site.
type SiteStatus struct {
	Name                string
	State               sites.State
	Since               Time // when the site entered the state
	WorkersOut, Workers int  // listed workers of the site that get no new jobs, and all of them
}

// Sites returns the state of all sites; nil if sites are not watched.
func (c *Core) Sites() (list []SiteStatus) {
	if c.sites == nil {
		return nil
	}
	for i, name := range c.sites.siteNames {
		status := SiteStatus{Name: name}
		status.State, status.Since = c.sites.machine.State(i)
		status.WorkersOut, status.Workers = c.sites.machine.WorkerCounts(i)
		list = append(list, status)
	}
	return list
}

// updateMembers hands the ready workers to the machine, after each update of the main pool's worker list.
func (w *siteWatch) updateMembers() {
	if w == nil {
		return
	}
	workers := w.core.mainPool.list.workers
	var members []sites.Member
	for _, name := range slices.Sorted(maps.Keys(workers)) {
		entry := workers[name]
		if _, reports := entry.transport.(Heartbeats); reports && entry.State == rules.Ready {
			members = append(members, sites.Member{Worker: name, Site: entry.Zone})
		}
	}
	w.machine.UpdateWorkers(w.core.Loop.now, members)
}

// scheduleSoon moves the machine's next turn forward to at most soonTurnDelay from now: a reply is expected that may not
// come, and an idle machine would be called again too late.
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

// addRetryCredit adds the credit that a served request earns.
func (w *siteWatch) addRetryCredit() {
	if w != nil {
		w.retryCredit = min(w.retryCredit+retryCreditPerAnswer, maxRetryCredit)
	}
}

// ProbeWorker implements sites.Actions: it probes a worker.
func (w *siteWatch) ProbeWorker(worker string) {
	(actions{w.core.mainPool}).Probe(rules.WorkerID(worker))
}

// StateChanged implements sites.Actions: it logs the change of a site's state.
func (w *siteWatch) StateChanged(site int, from, to sites.State) {
	if from == sites.Suspect && to == sites.Whole || to == sites.Suspect {
		return // single late replies are frequent; only a change that has consequences is logged
	}
	out, all := w.machine.WorkerCounts(site)
	w.core.Log.Warn("site", "name", w.siteNames[site], "state", to.String(), "was", from.String(),
		"workers_out", out, "workers", all)
}

// DisableWorker implements sites.Actions: a silent worker gets no new jobs, and its attempts that may be retried are
// queued for retryStranded.
func (w *siteWatch) DisableWorker(worker string, siteLost bool) {
	c := w.core
	c.mainPool.dispatcher.SetDisabled(c.Loop.now, rules.WorkerID(worker), rules.BySites, true)
	if !siteLost {
		c.Log.Info("worker is silent and gets no new jobs", "worker", worker)
	}
	c.attempts.Each(func(ref Ref, attempt *Attempt) {
		if attempt.Worker == worker && attempt.request.Pool == c.mainPool && !attempt.request.closed &&
			c.isRepeatable(attempt.request) {
			w.stranded = append(w.stranded, ref)
		}
	})
}

// EnableWorker implements sites.Actions: the worker gets jobs again. One that was away with its whole site may have been
// restarted before the worker list shows it: if it is to be treated as cold, its start time is set to now, so that all
// schedulers keep to its slow-start budget.
func (w *siteWatch) EnableWorker(worker string, cold bool) {
	c := w.core
	if entry := c.mainPool.list.workers[worker]; entry != nil && cold &&
		entry.StartedAt < c.Loop.now-c.settings.SlowStartWindow {
		entry.StartedAt = c.Loop.now
		c.mainPool.dispatcher.List(c.Loop.now,
			&rules.List{Entries: c.mainPool.ownedEntries(false, []rules.ListEntry{entry.entry()})})
	}
	c.mainPool.dispatcher.SetDisabled(c.Loop.now, rules.WorkerID(worker), rules.BySites, false)
}

// retryStranded ends stranded attempts as far as the retry credit allows, those with the earliest deadline first, so that
// the Dispatcher retries them at other workers. The rest waits for the next turn; an attempt whose worker is back goes on.
func (w *siteWatch) retryStranded() {
	if len(w.stranded) == 0 {
		return
	}
	c := w.core
	waiting := w.stranded[:0]
	for _, ref := range w.stranded {
		if attempt, inFlight := c.attempts.Get(ref); inFlight && !attempt.request.closed && w.machine.IsDisabled(attempt.Worker) {
			waiting = append(waiting, ref)
		}
	}
	slices.SortStableFunc(waiting, func(a, b Ref) int {
		first, _ := c.attempts.Get(a)
		second, _ := c.attempts.Get(b)
		return int(min(max(first.request.Deadline-second.request.Deadline, -1), 1))
	})
	n := 0
	for n < len(waiting) && w.retryCredit >= 1 {
		attempt, _ := c.attempts.Get(waiting[n])
		n++
		w.retryCredit--
		status := rules.Reset
		if attempt.transport != nil && !attempt.transport.Cancel(attempt) {
			status = rules.NotSent
		}
		c.endAttempt(attempt, status, nil, rules.Load{})
	}
	w.stranded = slices.Clone(waiting[n:])
}
