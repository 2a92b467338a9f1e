package jobs

import (
	"math/rand/v2"
	"slices"
)

// Machine owns all jobs. The package comment lists the obligations of its host.
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
	// exportedWorking holds the jobs that workers hold and the successor has as remote.
	exportedWorking list
	timers          timers

	held, heldBytes   int
	enqueued          int // not with a worker yet; includes those that have a request in the core
	tableWorkersReady bool
	draining          bool
	isExporting       bool   // the jobs leave with Export
	clearReason       Reason // Flush or Drain is ending all held jobs, for this reason
	mutations         []*runningMutation
	lastEndAt         Time
	meanEndInterval   float64 // moving average of the time between two job ends, in µs
	totals            Totals
}

// clientUsage counts the held jobs of one client, and their bytes.
type clientUsage struct{ jobs, bytes int }

// lock is the lock of a unique job's fingerprint. It is removed when its timer fires, when the job starts if it is
// UniqueUntilStart, or when the job was served or refused.
type lock struct {
	job   *Job
	key   [32]byte
	timer timer
}

// Totals are counters since the start of the process.
type Totals struct {
	Pushed, Served, Refused, Failed, Dead uint64 // jobs, by their final state
	FailedRuns                            uint64 // runs that failed
	Retried                               uint64
	DeadEvicted, EndedEvicted             uint64
	NotUnique                             uint64
	RejectedByReason                      map[Reason]uint64 // rejected PUSHes, by the limit that was reached
}

// Stats are the present numbers of jobs, queues, clients and locks, and the totals.
type Stats struct {
	Held, HeldBytes, Enqueued, Scheduled, Retries, Working int
	Dead, DeadBytes, Ended, EndedBytes                     int
	Queues, Clients, Locks                                 int
	Totals                                                 Totals
}

// New returns a machine without jobs. usesTableWorkers reports whether the table workers also run the jobs of a queue.
func New(s Settings, rng *rand.Rand, actions Actions, usesTableWorkers func(queue string) bool) *Machine {
	m := &Machine{settings: s, actions: actions, rng: rng, usesTableWorkers: usesTableWorkers, meanEndInterval: float64(Second / 16), jobs: map[string]*Job{},
		queues: map[string]*queue{}, clients: map[string]*clientUsage{}, locks: map[[32]byte]*lock{}}
	m.totals.RejectedByReason = map[Reason]uint64{}
	return m
}

// Find returns the job with this id; nil: it is unknown, or it has ended and was evicted.
func (m *Machine) Find(id string) *Job { return m.jobs[id] }

// Stats returns the present numbers and the totals.
func (m *Machine) Stats() Stats {
	return Stats{Held: m.held, HeldBytes: m.heldBytes, Enqueued: m.enqueued, Scheduled: m.scheduled.count,
		Retries: m.retries.count, Working: m.working.count + m.exportedWorking.count, Dead: m.dead.count, DeadBytes: m.dead.bytes, Ended: m.ended.count,
		EndedBytes: m.ended.bytes, Queues: len(m.queues), Clients: len(m.clients), Locks: len(m.locks), Totals: m.totals}
}

// Push accepts or rejects a job. An accepted job reaches exactly one final state, unless an operator requeues it when
// it is dead.
func (m *Machine) Push(now Time, j *Job) PushResult {
	if existing := m.jobs[j.ID]; existing != nil {
		return PushResult{Existing: existing}
	}
	if j.Options == nil {
		j.Options = &noOptions
	}
	if j.UniqueFor > 0 {
		if held := m.locks[j.Fingerprint]; held != nil && held.timer.at > now {
			m.totals.NotUnique++
			return PushResult{NotUnique: true}
		}
	}
	q, rejected := m.checkLimits(now, j)
	if rejected != "" {
		m.totals.RejectedByReason[rejected]++
		return PushResult{Rejected: rejected, RetryAfter: m.retryAfter()}
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

// checkLimits checks the limits for a job that is to be held, and finds or creates its queue. The reason is empty when
// the job fits.
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

// addHeld counts a job as held, from its PUSH or its requeue on, and starts its deadline.
func (m *Machine) addHeld(now Time, j *Job, q *queue) {
	m.countHeld(j, q)
	if j.deadline = 0; j.TimeLeft > 0 {
		j.deadline = max(now, j.NotBefore) + j.TimeLeft
	}
	m.armExpiry(j)
}

// countHeld counts a job towards the limits.
func (m *Machine) countHeld(j *Job, q *queue) {
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
}

// uncountHeld undoes countHeld.
func (m *Machine) uncountHeld(j *Job) {
	m.held--
	m.heldBytes -= int(j.Size)
	m.queues[j.Queue].heldCount--
	c := m.clients[j.Client]
	c.bytes -= int(j.Size)
	if c.jobs--; c.jobs == 0 {
		delete(m.clients, j.Client)
	}
}

// armExpiry sets the timer for the earlier of a job's deadline and its ExpiresAt, which apply until a worker holds it.
func (m *Machine) armExpiry(j *Job) {
	at := j.deadline
	if j.ExpiresAt > 0 && (at == 0 || j.ExpiresAt < at) {
		at = j.ExpiresAt
	}
	m.setExpiry(j, at)
}

// retryAfter returns how long a rejected client should wait before it pushes again: the time of about 16 job ends at the
// present rate, bounded to 100 ms to 30 s.
func (m *Machine) retryAfter() Time {
	return min(max(Time(16*m.meanEndInterval), 100*Millisecond), 30*Second)
}

// setExpiry sets the timer that ends a job which has not started; at 0 stops it. A job without timers allocates none.
func (m *Machine) setExpiry(j *Job, at Time) { m.setTimer(&j.expiryTimer, j, at, false) }

// setNextStep sets the timer for a job's next state change; at 0 stops it.
func (m *Machine) setNextStep(j *Job, at Time) { m.setTimer(&j.stepTimer, j, at, true) }

func (m *Machine) setTimer(t **timer, j *Job, at Time, isStep bool) {
	if *t == nil {
		if at == 0 {
			return
		}
		*t = &timer{job: j, isStep: isStep}
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

// openRequests opens requests in the core for the jobs of a queue, one for each waiting FETCH and as many as the table
// workers may hold. The rest of the backlog stays here, where it uses no capacity of the core.
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

// mayOpen reports whether jobs of the queue may get a request in the core now.
func (m *Machine) mayOpen(now Time, q *queue) bool {
	return !q.paused && !m.draining && m.clearReason == "" && now >= q.notBefore
}

// openNext opens a request for the next job of a queue: for a FETCH or, with nil, for the table workers.
func (m *Machine) openNext(q *queue, fetch *Fetch) {
	j := q.head()
	j.unlink()
	q.backlog--
	q.openCount++
	j.isOpen, j.fetch = true, fetch
	worker := ""
	if fetch == nil {
		j.countsAsTable = true
		q.tableOpen++
		q.unbound.add(j)
	} else {
		fetch.job, worker = j, fetch.Worker
		q.bound.add(j)
	}
	m.actions.OpenRequest(j, worker)
}

// AddFetch registers a FETCH that waits for a job of the named queues. It returns false when none of the queues could
// be created because there are too many. The host answers the FETCH when an attempt reaches the worker, and then calls
// Started.
func (m *Machine) AddFetch(now Time, fetch *Fetch, worker string, names []string) bool {
	fetch.Worker = worker
	if !slices.Equal(fetch.names, names) || slices.ContainsFunc(fetch.queues, func(w weightedQueue) bool { return w.q.removed }) {
		fetch.names, fetch.queues = append(fetch.names[:0], names...), fetch.queues[:0]
		for _, name := range names {
			if i := slices.IndexFunc(fetch.queues, func(w weightedQueue) bool { return w.q.name == name }); i >= 0 {
				fetch.queues[i].weight++
			} else if q := m.findOrCreateQueue(name); q != nil {
				fetch.queues = append(fetch.queues, weightedQueue{q, 1})
			}
		}
		fetch.nodes = make([]waiter, len(fetch.queues))
		for i := range fetch.nodes {
			fetch.nodes[i].fetch = fetch
		}
		if len(fetch.queues) == 0 {
			fetch.names = fetch.names[:0]
			return false
		}
	}
	fetch.isWaiting = true
	m.matchFetch(now, fetch)
	return true
}

// matchFetch finds a job for a FETCH: from the first of its queues that has one, in the order of orderQueues.
func (m *Machine) matchFetch(now Time, fetch *Fetch) {
	for _, w := range fetch.orderQueues(m.rng) {
		q := w.q
		if !q.usesTableWorkers && q.unbound.first != nil {
			m.bind(q.unbound.first, fetch)
			return
		}
		if q.backlog > 0 && m.mayOpen(now, q) {
			m.openNext(q, fetch)
			return
		}
	}
	fetch.joinQueues()
}

// bind assigns a waiting FETCH to a job that has a request in the core already.
func (m *Machine) bind(j *Job, fetch *Fetch) {
	j.unlink()
	m.queues[j.Queue].bound.add(j)
	j.fetch, fetch.job = fetch, j
}

// unbind removes a job's FETCH. It assigns another one that waits at the queue, unless table workers also run the
// queue's jobs.
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

// CancelFetch ends a FETCH without a job.
func (m *Machine) CancelFetch(fetch *Fetch) {
	if !fetch.isWaiting {
		return
	}
	fetch.isWaiting = false
	fetch.leaveQueues()
	if j := fetch.job; j != nil {
		fetch.job = nil
		m.unbind(j)
	}
}

// Started reports that a worker holds the job: by the FETCH that is answered with it or, with nil, as a table worker.
// From here on the job may have run.
func (m *Machine) Started(now Time, j *Job, worker string, fetch *Fetch) {
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
		m.setExpiry(j, 0) // the core times out a run when the client's deadline passes
		if j.UniqueUntilStart {
			m.releaseLock(j)
		}
	}
	previous := j.fetch
	j.fetch = nil
	reservation := j.Reservation
	if reservation == 0 {
		reservation = m.settings.DefaultReservation
	}
	m.setNextStep(j, now+reservation)
	if fetch != nil {
		other := fetch.job
		fetch.isWaiting, fetch.job = false, nil
		fetch.leaveQueues()
		if other != nil && other != j {
			m.unbind(other)
		}
	}
	if previous != nil && previous != fetch {
		previous.job = nil
		m.matchFetch(now, previous)
	}
}

// Extend moves the end of a job's reservation to a later time.
func (m *Machine) Extend(j *Job, until Time) {
	if j.State == Working && j.stepTimer != nil && j.stepTimer.index > 0 {
		m.setNextStep(j, max(until, j.stepTimer.at))
	}
}

// SetTableWorkersReady records whether any table worker is ready. If so, it opens requests for the queues' backlogs.
func (m *Machine) SetTableWorkersReady(now Time, ready bool) {
	if m.tableWorkersReady = ready; ready {
		for _, q := range m.queueOrder {
			m.openRequests(now, q)
		}
	}
}

// ProcessDue runs the timers that are due and a part of any flush, drain or mutation, budget steps in all. It reports
// whether more is due now.
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

// advance moves a job on when its step timer fires: a scheduled or retrying job is enqueued, the reservation of a
// working one ends.
func (m *Machine) advance(now Time, j *Job) {
	switch j.State {
	case Scheduled, Retrying:
		if j.State == Retrying {
			m.totals.Retried++
		}
		j.unlink()
		m.enqueue(now, j)
	case Working:
		if j.isOrphan {
			m.RequestEnded(now, j, OutcomeFailed, 0, &Failure{Type: "ReservationExpired",
				Message: "worker " + j.Worker + " did not report in time, and the process that it fetched from has ended"})
			return
		}
		m.actions.ExpireReservation(j)
	}
}

// NextDue returns when ProcessDue has to be called; false: nothing is pending.
func (m *Machine) NextDue(now Time) (at Time, ok bool) {
	if m.clearReason != "" || len(m.mutations) > 0 {
		return now, true
	}
	if m.timers.Len() > 0 {
		return m.timers.items[0].at, true
	}
	return 0, false
}

// acquireLock gives the job the lock of its fingerprint, from an older job if need be, for UniqueFor.
func (m *Machine) acquireLock(now Time, j *Job) {
	if old := m.locks[j.Fingerprint]; old != nil {
		m.timers.set(&old.timer, 0)
		old.job.lock = nil
	}
	m.lockUntil(j, max(now, j.NotBefore)+j.UniqueFor)
}

// lockUntil gives the job the free lock of its fingerprint.
func (m *Machine) lockUntil(j *Job, until Time) {
	l := &lock{job: j, key: j.Fingerprint}
	l.timer.lock = l
	j.lock = l
	m.locks[j.Fingerprint] = l
	m.timers.set(&l.timer, until)
}

// releaseLock removes the job's lock, if it still holds it.
func (m *Machine) releaseLock(j *Job) {
	if l := j.lock; l != nil && m.locks[l.key] == l {
		m.timers.set(&l.timer, 0)
		delete(m.locks, l.key)
	}
	j.lock = nil
}
