package jobs

import "math/rand/v2"

// queue holds the enqueued jobs of one name, and the FETCHes that wait for them.
type queue struct {
	name       string
	byPriority [MaxPriority + 1]list
	backlog    int // enqueued and not let into the core
	openCount  int // let in, and not with a worker yet
	heldCount  int // in any state before the end
	paused     bool
	removed    bool
	waiting    waiterList
	bound      list // let in for a FETCH that waits, and not with a worker yet
	unbound    list // let in, and no FETCH waits for it

	usesTableWorkers bool // the table workers run its jobs too
	tableWindow      int  // of those that may be with them at once
	tableOpen        int  // of those that are
	notBefore        Time // nothing is let in before
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

// head is the next job: of the highest priority, and of these the one that came first.
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

// Ask is a FETCH that waits. The host keeps one for each connection and may use it again once it has ended.
type Fetch struct {
	Worker string

	names     []string // as last given, to be compared with
	queues    []weightedQueue
	nodes     []waiter
	job       *Job // let into the core for it
	isWaiting bool
}

// Waiting tells whether the FETCH has no answer yet.
func (a *Fetch) IsWaiting() bool { return a.isWaiting }

// Lists tells whether the FETCH names the queue.
func (a *Fetch) HasQueue(queue string) bool {
	for i := range a.queues {
		if a.queues[i].q.name == queue {
			return true
		}
	}
	return false
}

type weightedQueue struct {
	q      *queue
	weight int
}

// waiter is an Ask's place among those that wait at a queue.
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

// rest has an Ask wait at all its queues.
func (a *Fetch) joinQueues() {
	for i := range a.queues {
		a.queues[i].q.waiting.add(&a.nodes[i])
	}
}

// rise takes it from them.
func (a *Fetch) leaveQueues() {
	for i := range a.nodes {
		a.queues[i].q.waiting.remove(&a.nodes[i])
	}
}

// order puts the queues of a FETCH into the order of this one: as they are listed, or by weighted draws where
// a queue is listed more than once (the public documentation's weighted queues).
func (a *Fetch) orderQueues(rng *rand.Rand) []weightedQueue {
	total := 0
	for i := range a.queues {
		total += a.queues[i].weight
	}
	if total == len(a.queues) {
		return a.queues
	}
	left := append([]weightedQueue(nil), a.queues...)
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

// queue finds a queue, or makes it where there is room. One that nothing is known of but its name gives way.
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
	q := &queue{name: name, usesTableWorkers: m.usesTableWorkers(name), tableWindow: m.settings.TableWindow}
	q.resumeTimer.queue = q
	m.queues[name] = q
	m.queueOrder = append(m.queueOrder, q)
	return q
}

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

// HasQueue tells whether anything is known of a queue.
func (m *Machine) HasQueue(name string) bool { return m.queues[name] != nil }

// Make has a queue known; false: there are too many.
func (m *Machine) EnsureQueue(name string) bool { return m.findOrCreateQueue(name) != nil }

// Pause has a queue hand out nothing more, and Resume has it go on. What is in the core goes on.
func (m *Machine) PauseQueue(now Time, name string) bool {
	q := m.findOrCreateQueue(name)
	if q == nil {
		return false
	}
	q.paused = true
	return true
}

// Resume ends a pause.
func (m *Machine) ResumeQueue(now Time, name string) bool {
	q := m.queues[name]
	if q == nil {
		return m.findOrCreateQueue(name) != nil
	}
	q.paused = false
	m.openRequests(now, q)
	return true
}

// Remove ends all jobs that wait in a queue; those in the core go on.
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

// QueueFigures tell of one queue.
type QueueStats struct {
	Name     string
	Enqueued int  // not with a worker yet
	Latency  Time // how long the job that is next has waited
	Paused   bool
}

// Queues tells of all queues, in the order of their first use.
func (m *Machine) QueueStats(now Time) (out []QueueStats) {
	for _, q := range m.queueOrder {
		f := QueueStats{Name: q.name, Enqueued: q.backlog + q.openCount, Paused: q.paused}
		if j := q.head(); j != nil {
			f.Latency = now - j.StateSince
		}
		out = append(out, f)
	}
	return out
}
