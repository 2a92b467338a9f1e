package jobs

import (
	"math/rand/v2"
	"slices"
)

// Machine owns all jobs. See api.go for what its host owes.
type Machine struct {
	settings         Settings
	actions          Actions
	rng              *rand.Rand
	usesTableWorkers func(queue string) bool

	jobs       map[string]*Job
	queues     map[string]*queue
	queueOrder []*queue
	clients    map[string]*clientUsage
	locks      map[[32]byte]*lock
	scheduled  list
	retries    list
	dead       list
	ended      list
	working    list
	timers     timers

	held, heldBytes   int
	enqueued          int // in the core too, but not with a worker
	tableWorkersReady bool
	draining          bool
	clearReason       Reason // all that is held is being ended for it
	mutations         []*runningMutation
	lastEndAt         Time
	meanEndInterval   float64 // between two ends, as a fading mean
	totals            Totals
}

type clientUsage struct{ jobs, bytes int }

type lock struct {
	job   *Job
	key   [32]byte
	timer timer
}

// Totals count since the start.
type Totals struct {
	Pushed, Served, Refused, Failed, Dead uint64 // jobs, by their end
	FailedRuns                            uint64 // tries that failed
	Retried                               uint64
	DeadEvicted, EndedEvicted             uint64
	NotUnique                             uint64
	RejectedByReason                      map[Reason]uint64 // PUSHes, by the bound
}

// Figures are what is held now.
type Stats struct {
	Held, HeldBytes, Enqueued, Scheduled, Retries, Working int
	Dead, DeadBytes, Ended, EndedBytes                     int
	Queues, Clients, Locks                                 int
	Totals                                                 Totals
}

// New makes a machine. atTables tells of a queue whether the table workers run its jobs too.
func New(s Settings, rng *rand.Rand, act Actions, atTables func(queue string) bool) *Machine {
	m := &Machine{settings: s, actions: act, rng: rng, usesTableWorkers: atTables, meanEndInterval: float64(Second / 16), jobs: map[string]*Job{},
		queues: map[string]*queue{}, clients: map[string]*clientUsage{}, locks: map[[32]byte]*lock{}}
	m.totals.RejectedByReason = map[Reason]uint64{}
	return m
}

// Find gives a job by its id, as long as it is remembered.
func (m *Machine) Find(id string) *Job { return m.jobs[id] }

// Figures tell what is held and what has been.
func (m *Machine) Stats() Stats {
	return Stats{Held: m.held, HeldBytes: m.heldBytes, Enqueued: m.enqueued, Scheduled: m.scheduled.count,
		Retries: m.retries.count, Working: m.working.count, Dead: m.dead.count, DeadBytes: m.dead.bytes, Ended: m.ended.count,
		EndedBytes: m.ended.bytes, Queues: len(m.queues), Clients: len(m.clients), Locks: len(m.locks), Totals: m.totals}
}

// Push takes a job, or says why not. A job that was taken comes to exactly one final state.
func (m *Machine) Push(now Time, j *Job) PushResult {
	if old := m.jobs[j.ID]; old != nil {
		return PushResult{Existing: old}
	}
	if j.Options == nil {
		j.Options = &noOptions
	}
	if j.UniqueFor > 0 {
		if l := m.locks[j.Fingerprint]; l != nil && l.timer.at > now {
			m.totals.NotUnique++
			return PushResult{NotUnique: true}
		}
	}
	q, full := m.checkLimits(now, j)
	if full != "" {
		m.totals.RejectedByReason[full]++
		return PushResult{Rejected: full, RetryAfter: m.retryAfter()}
	}
	m.totals.Pushed++
	j.Priority = min(max(j.Priority, MinPriority), MaxPriority)
	m.jobs[j.ID] = j
	m.addHeld(now, j, q)
	if j.UniqueFor > 0 {
		m.acquireLock(now, j)
	}
	if j.NotBefore > now {
		j.State, j.StateSince = Scheduled, now
		m.scheduled.add(j)
		m.setNextStep(j, j.NotBefore)
	} else {
		m.enqueue(now, j)
	}
	return PushResult{Accepted: true}
}

// room checks the bounds for a job that is to be held, and finds its queue.
func (m *Machine) checkLimits(now Time, j *Job) (*queue, Reason) {
	s := &m.settings
	c := m.clients[j.Client]
	if c == nil {
		c = &clientUsage{}
	}
	switch {
	case m.draining || m.clearReason != "":
		return nil, ShutDown
	case m.held >= s.MaxHeldJobs:
		return nil, LimitHeldJobs
	case m.heldBytes+int(j.Size) > s.MaxHeldBytes:
		return nil, LimitHeldBytes
	case c.jobs >= s.MaxClientJobs:
		return nil, LimitClientJobs
	case c.bytes+int(j.Size) > s.MaxClientBytes:
		return nil, LimitClientBytes
	case j.NotBefore > now && m.scheduled.count >= s.MaxScheduled:
		return nil, LimitScheduled
	case j.UniqueFor > 0 && len(m.locks) >= 2*s.MaxHeldJobs:
		return nil, LimitUniqueLocks
	}
	q := m.findOrCreateQueue(j.Queue)
	if q == nil {
		return nil, LimitQueues
	}
	if q.heldCount >= s.MaxQueueJobs {
		return nil, LimitQueueJobs
	}
	return q, ""
}

// take counts a job as held, from its PUSH or its requeue on.
func (m *Machine) addHeld(now Time, j *Job, q *queue) {
	m.held++
	m.heldBytes += int(j.Size)
	q.heldCount++
	c := m.clients[j.Client]
	if c == nil {
		c = &clientUsage{}
		m.clients[j.Client] = c
	}
	c.jobs++
	c.bytes += int(j.Size)
	if j.deadline = 0; j.TimeLeft > 0 {
		j.deadline = max(now, j.NotBefore) + j.TimeLeft
	}
	m.armExpiry(j)
}

// armEnd has the job's time end while no worker holds it.
func (m *Machine) armExpiry(j *Job) {
	at := j.deadline
	if j.ExpiresAt > 0 && (at == 0 || j.ExpiresAt < at) {
		at = j.ExpiresAt
	}
	m.setExpiry(j, at)
}

// comeBack is when a client that was turned away may try again: by the pace at which jobs end.
func (m *Machine) retryAfter() Time {
	return min(max(Time(16*m.meanEndInterval), 100*Millisecond), 30*Second)
}

// endAt arms the end of a job's time, and wakeAt its next step; at 0 they take it out. A job that needs neither has
// no timers.
func (m *Machine) setExpiry(j *Job, at Time) { m.setTimer(&j.expiryTimer, j, at, false) }

func (m *Machine) setNextStep(j *Job, at Time) { m.setTimer(&j.stepTimer, j, at, true) }

func (m *Machine) setTimer(t **timer, j *Job, at Time, wakes bool) {
	if *t == nil {
		if at == 0 {
			return
		}
		*t = &timer{job: j, isStep: wakes}
	}
	if m.timers.set(*t, at); at == 0 {
		*t = nil
	}
}

func (m *Machine) enqueue(now Time, j *Job) {
	q := m.queues[j.Queue]
	j.State, j.StateSince = Enqueued, now
	m.enqueued++
	q.add(j)
	m.openRequests(now, q)
}

// letIn opens requests for the jobs of a queue, as far as FETCHes wait for them, or the table workers take
// them: a backlog waits here, where it takes no place from others in the core.
func (m *Machine) openRequests(now Time, q *queue) {
	for q.backlog > 0 && m.mayOpen(now, q) {
		if w := q.waiting.first; w != nil {
			w.fetch.leaveQueues()
			m.openNext(q, w.fetch)
		} else if q.usesTableWorkers && m.tableWorkersReady && q.tableOpen < q.tableWindow {
			m.openNext(q, nil)
		} else {
			return
		}
	}
}

func (m *Machine) mayOpen(now Time, q *queue) bool {
	return !q.paused && !m.draining && m.clearReason == "" && now >= q.notBefore
}

// open lets the next job of a queue in.
func (m *Machine) openNext(q *queue, a *Fetch) {
	j := q.head()
	j.unlink()
	q.backlog--
	q.openCount++
	j.isOpen, j.fetch = true, a
	worker := ""
	if a == nil {
		j.countsAsTable = true
		q.tableOpen++
		q.unbound.add(j)
	} else {
		a.job, worker = j, a.Worker
		q.bound.add(j)
	}
	m.actions.OpenRequest(j, worker)
}

// Wait has a FETCH wait for a job of the queues named. It gives false where none of them can be had, since
// there are too many queues. The answer is the host's to give, when an attempt comes; it then calls Given.
func (m *Machine) AddFetch(now Time, a *Fetch, worker string, names []string) bool {
	a.Worker = worker
	if !slices.Equal(a.names, names) || slices.ContainsFunc(a.queues, func(w weightedQueue) bool { return w.q.removed }) {
		a.names, a.queues = append(a.names[:0], names...), a.queues[:0]
		for _, name := range names {
			if i := slices.IndexFunc(a.queues, func(w weightedQueue) bool { return w.q.name == name }); i >= 0 {
				a.queues[i].weight++
			} else if q := m.findOrCreateQueue(name); q != nil {
				a.queues = append(a.queues, weightedQueue{q, 1})
			}
		}
		a.nodes = make([]waiter, len(a.queues))
		for i := range a.nodes {
			a.nodes[i].fetch = a
		}
		if len(a.queues) == 0 {
			a.names = a.names[:0]
			return false
		}
	}
	a.isWaiting = true
	m.matchFetch(now, a)
	return true
}

// serve finds a job for a FETCH: the first of its queues that has one, in its order of them.
func (m *Machine) matchFetch(now Time, a *Fetch) {
	for _, w := range a.orderQueues(m.rng) {
		q := w.q
		if !q.usesTableWorkers && q.unbound.first != nil {
			m.bind(q.unbound.first, a)
			return
		}
		if q.backlog > 0 && m.mayOpen(now, q) {
			m.openNext(q, a)
			return
		}
	}
	a.joinQueues()
}

// cover has a FETCH that waits stand for a job that is in the core already.
func (m *Machine) bind(j *Job, a *Fetch) {
	j.unlink()
	m.queues[j.Queue].bound.add(j)
	j.fetch, a.job = a, j
}

// uncover finds another FETCH for a job that has lost its own.
func (m *Machine) unbind(j *Job) {
	j.fetch = nil
	q := m.queues[j.Queue]
	j.unlink()
	q.unbound.add(j)
	if w := q.waiting.first; w != nil && !q.usesTableWorkers {
		w.fetch.leaveQueues()
		m.bind(j, w.fetch)
	}
}

// Stop ends a FETCH without a job.
func (m *Machine) CancelFetch(a *Fetch) {
	if !a.isWaiting {
		return
	}
	a.isWaiting = false
	a.leaveQueues()
	if j := a.job; j != nil {
		a.job = nil
		m.unbind(j)
	}
}

// Given tells that a worker has the job: by the FETCH a, which is answered with it, or, where a is nil, as a
// table worker. From here on it may run.
func (m *Machine) Started(now Time, j *Job, worker string, a *Fetch) {
	q := m.queues[j.Queue]
	if !j.isOpen {
		return
	}
	j.Worker = worker
	if j.State != Working {
		j.State, j.StateSince = Working, now
		q.openCount--
		m.enqueued--
		j.unlink()
		m.working.add(j)
		m.setExpiry(j, 0) // the core ends a try when the pusher's time is over
		if j.UniqueUntilStart {
			m.releaseLock(j)
		}
	}
	mine := j.fetch
	j.fetch = nil
	reserve := j.Reservation
	if reserve == 0 {
		reserve = m.settings.DefaultReservation
	}
	m.setNextStep(j, now+reserve)
	if a != nil {
		other := a.job
		a.isWaiting, a.job = false, nil
		a.leaveQueues()
		if other != nil && other != j {
			m.unbind(other)
		}
	}
	if mine != nil && mine != a {
		mine.job = nil
		m.matchFetch(now, mine)
	}
}

// Extend moves the end of a reservation, for a worker that says how long it will still take.
func (m *Machine) Extend(j *Job, until Time) {
	if j.State == Working && j.stepTimer != nil && j.stepTimer.index > 0 {
		m.setNextStep(j, max(until, j.stepTimer.at))
	}
}

// Tables tells whether there are table workers.
func (m *Machine) SetTableWorkersReady(now Time, ready bool) {
	if m.tableWorkersReady = ready; ready {
		for _, q := range m.queueOrder {
			m.openRequests(now, q)
		}
	}
}

// Due does what has come due, and a bounded part of what takes long; it tells whether more is due now.
func (m *Machine) ProcessDue(now Time, budget int) (more bool) {
	budget = m.clearSome(now, budget)
	for ; budget > 0 && m.timers.Len() > 0 && m.timers.items[0].at <= now; budget-- {
		t := m.timers.pop()
		switch j := t.job; {
		case t.lock != nil:
			delete(m.locks, t.lock.key)
		case t.queue != nil:
			m.openRequests(now, t.queue)
		case t.isStep:
			m.advance(now, j)
		default:
			m.endUnheld(now, j, Expired)
		}
	}
	m.runMutations(now, budget)
	at, ok := m.NextDue(now)
	return ok && at <= now
}

// step takes a job's next step: it is due, to be tried again, or its reservation has run out.
func (m *Machine) advance(now Time, j *Job) {
	switch j.State {
	case Scheduled, Retrying:
		if j.State == Retrying {
			m.totals.Retried++
		}
		j.unlink()
		m.enqueue(now, j)
	case Working:
		m.actions.ExpireReservation(j)
	}
}

// Next tells when Due has to be called; false: there is nothing to wait for.
func (m *Machine) NextDue(now Time) (at Time, ok bool) {
	if m.clearReason != "" || len(m.mutations) > 0 {
		return now, true
	}
	if m.timers.Len() > 0 {
		return m.timers.items[0].at, true
	}
	return 0, false
}

// guard takes the job's lock, and unguard gives it back.
func (m *Machine) acquireLock(now Time, j *Job) {
	if old := m.locks[j.Fingerprint]; old != nil {
		m.timers.set(&old.timer, 0)
		old.job.lock = nil
	}
	l := &lock{job: j, key: j.Fingerprint}
	l.timer.lock = l
	j.lock = l
	m.locks[j.Fingerprint] = l
	m.timers.set(&l.timer, max(now, j.NotBefore)+j.UniqueFor)
}

func (m *Machine) releaseLock(j *Job) {
	if l := j.lock; l != nil && m.locks[l.key] == l {
		m.timers.set(&l.timer, 0)
		delete(m.locks, l.key)
	}
	j.lock = nil
}
