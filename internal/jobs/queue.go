package jobs

import "math/rand/v2"

// queue holds the enqueued jobs of one queue name and the FETCHes that wait for them.
type queue struct {
	name       string
	byPriority [MaxPriority + 1]list
	backlog    int // enqueued jobs without a request in the core
	openCount  int // jobs with a request in the core that no worker holds yet
	heldCount  int // jobs in any state that is not final
	paused     bool
	removed    bool
	waiting    waiterList
	bound      list // jobs of openCount with a waiting FETCH
	unbound    list // jobs of openCount without one

	usesTableWorkers bool // the table workers also run its jobs
	tableWindow      int  // limit of tableOpen
	tableOpen        int  // jobs whose request was opened for the table workers
	notBefore        Time // no request is opened before this time
	resumeTimer      timer
}

func (q *queue) add(j *Job) {
	q.byPriority[j.Priority].add(j)
	q.backlog++
}

func (q *queue) addFirst(j *Job) {
	q.byPriority[j.Priority].addFirst(j)
	q.backlog++
}

// head returns the next job: the first of the highest priority; nil: there is none.
func (q *queue) head() *Job {
	if q.backlog == 0 {
		return nil
	}
	for p := MaxPriority; p >= MinPriority; p-- {
		if j := q.byPriority[p].first; j != nil {
			return j
		}
	}
	return nil
}

// Fetch is a FETCH that waits for a job. The host keeps one for each connection and may reuse it when it has ended.
type Fetch struct {
	Worker string

	names     []string // as in the last AddFetch
	queues    []weightedQueue
	nodes     []waiter
	job       *Job // the job whose request it is bound to
	isWaiting bool
}

// IsWaiting reports whether the FETCH has no reply yet.
func (f *Fetch) IsWaiting() bool { return f.isWaiting }

// HasQueue reports whether the FETCH names the queue.
func (f *Fetch) HasQueue(queue string) bool {
	for i := range f.queues {
		if f.queues[i].q.name == queue {
			return true
		}
	}
	return false
}

// weightedQueue is a queue of a FETCH and how often the FETCH lists it.
type weightedQueue struct {
	q      *queue
	weight int
}

// waiter is the entry of a Fetch in the list of one queue.
type waiter struct {
	fetch      *Fetch
	prev, next *waiter
	linked     bool
}

type waiterList struct{ first, last *waiter }

func (l *waiterList) add(w *waiter) {
	w.linked = true
	if w.prev, w.next = l.last, nil; l.last != nil {
		l.last.next = w
	} else {
		l.first = w
	}
	l.last = w
}

func (l *waiterList) remove(w *waiter) {
	if !w.linked {
		return
	}
	w.linked = false
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		l.first = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		l.last = w.prev
	}
}

// joinQueues adds the FETCH to the waiting list of each of its queues.
func (f *Fetch) joinQueues() {
	for i := range f.queues {
		f.queues[i].q.waiting.add(&f.nodes[i])
	}
}

// leaveQueues removes it from these lists.
func (f *Fetch) leaveQueues() {
	for i := range f.nodes {
		f.queues[i].q.waiting.remove(&f.nodes[i])
	}
}

// orderQueues returns the queues of a FETCH in the order to search them: as listed or, when a queue is listed more than
// once, by weighted random draws (the weighted queues of Faktory's public documentation).
func (f *Fetch) orderQueues(rng *rand.Rand) []weightedQueue {
	total := 0
	for i := range f.queues {
		total += f.queues[i].weight
	}
	if total == len(f.queues) {
		return f.queues
	}
	left := append([]weightedQueue(nil), f.queues...)
	for i := range left {
		n := rng.IntN(total)
		for k := i; ; k++ {
			if n -= left[k].weight; n < 0 {
				left[i], left[k] = left[k], left[i]
				break
			}
		}
		total -= left[i].weight
	}
	return left
}

// findOrCreateQueue returns the queue of this name. At MaxQueues it replaces a queue without jobs, pause and waiting
// FETCHes; nil: there is none.
func (m *Machine) findOrCreateQueue(name string) *queue {
	if q := m.queues[name]; q != nil {
		return q
	}
	if len(m.queues) >= m.settings.MaxQueues {
		for _, q := range m.queueOrder {
			if q.heldCount == 0 && !q.paused && q.waiting.first == nil {
				m.removeQueue(q)
				break
			}
		}
		if len(m.queues) >= m.settings.MaxQueues {
			return nil
		}
	}
	return m.addQueue(name)
}

// addQueue creates a queue.
func (m *Machine) addQueue(name string) *queue {
	q := &queue{name: name, usesTableWorkers: m.usesTableWorkers(name), tableWindow: m.settings.TableWindow}
	q.resumeTimer.queue = q
	m.queues[name] = q
	m.queueOrder = append(m.queueOrder, q)
	return q
}

// removeQueue removes a queue without jobs and its timer.
func (m *Machine) removeQueue(q *queue) {
	q.removed = true
	m.timers.set(&q.resumeTimer, 0)
	delete(m.queues, q.name)
	for i, other := range m.queueOrder {
		if other == q {
			m.queueOrder = append(m.queueOrder[:i], m.queueOrder[i+1:]...)
			return
		}
	}
}

// HasQueue reports whether the queue exists.
func (m *Machine) HasQueue(name string) bool { return m.queues[name] != nil }

// EnsureQueue creates the queue if need be; false: there are too many.
func (m *Machine) EnsureQueue(name string) bool { return m.findOrCreateQueue(name) != nil }

// PauseQueue stops a queue from opening requests; jobs in the core are not affected. It returns false when the queue
// could not be created.
func (m *Machine) PauseQueue(now Time, name string) bool {
	q := m.findOrCreateQueue(name)
	if q == nil {
		return false
	}
	q.paused = true
	return true
}

// ResumeQueue ends a pause. It returns false when the queue could not be created.
func (m *Machine) ResumeQueue(now Time, name string) bool {
	q := m.queues[name]
	if q == nil {
		return m.findOrCreateQueue(name) != nil
	}
	q.paused = false
	m.openRequests(now, q)
	return true
}

// RemoveQueue ends all jobs that wait in a queue and returns their number; jobs in the core are not affected.
func (m *Machine) RemoveQueue(now Time, name string) (removed int) {
	q := m.queues[name]
	if q == nil {
		return 0
	}
	for j := q.head(); j != nil; j = q.head() {
		m.endUnheld(now, j, QueueRemoved)
		removed++
	}
	q.paused = false
	if q.heldCount == 0 && q.waiting.first == nil {
		m.removeQueue(q)
	}
	return removed
}

// QueueStats describes one queue.
type QueueStats struct {
	Name     string
	Enqueued int  // jobs that no worker holds yet
	Latency  Time // how long the next job has waited
	Paused   bool
}

// QueueStats describes all queues, in the order of their first use.
func (m *Machine) QueueStats(now Time) (out []QueueStats) {
	for _, q := range m.queueOrder {
		stats := QueueStats{Name: q.name, Enqueued: q.backlog + q.openCount, Paused: q.paused}
		if j := q.head(); j != nil {
			stats.Latency = now - j.StateSince
		}
		out = append(out, stats)
	}
	return out
}
