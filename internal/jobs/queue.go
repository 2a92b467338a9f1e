package jobs

import "math/rand/v2"

// queue holds the enqueued jobs of one name, and the FETCHes that wait for them.
type queue struct {
	name    string
	levels  [HighestPriority + 1]list
	count   int // enqueued and not let into the core
	open    int // let in, and not with a worker yet
	held    int // in any state before the end
	paused  bool
	gone    bool
	idle    waiters
	covered list // let in for a FETCH that waits, and not with a worker yet
	adrift  list // let in, and no FETCH waits for it

	table  bool // the table workers run its jobs too
	window int  // of those that may be with them at once
	loose  int  // of those that are
	later  Time // nothing is let in before
	wake   timer
}

func (q *queue) add(j *Job) {
	q.levels[j.Priority].add(j)
	q.count++
}

func (q *queue) addFirst(j *Job) {
	q.levels[j.Priority].addFirst(j)
	q.count++
}

// head is the next job: of the highest priority, and of these the one that came first.
func (q *queue) head() *Job {
	if q.count == 0 {
		return nil
	}
	for p := HighestPriority; p >= LowestPriority; p-- {
		if j := q.levels[p].first; j != nil {
			return j
		}
	}
	return nil
}

// Ask is a FETCH that waits. The host keeps one for each connection and may use it again once it has ended.
type Ask struct {
	Worker string

	names   []string // as last given, to be compared with
	queues  []weighted
	nodes   []waiter
	cover   *Job // let into the core for it
	waiting bool
}

// Waiting tells whether the FETCH has no answer yet.
func (a *Ask) Waiting() bool { return a.waiting }

// Lists tells whether the FETCH names the queue.
func (a *Ask) Lists(queue string) bool {
	for i := range a.queues {
		if a.queues[i].q.name == queue {
			return true
		}
	}
	return false
}

type weighted struct {
	q      *queue
	weight int
}

// waiter is an Ask's place among those that wait at a queue.
type waiter struct {
	ask        *Ask
	prev, next *waiter
	in         bool
}

type waiters struct{ first, last *waiter }

func (l *waiters) add(w *waiter) {
	w.in = true
	if w.prev, w.next = l.last, nil; l.last != nil {
		l.last.next = w
	} else {
		l.first = w
	}
	l.last = w
}

func (l *waiters) remove(w *waiter) {
	if !w.in {
		return
	}
	w.in = false
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
func (a *Ask) rest() {
	for i := range a.queues {
		a.queues[i].q.idle.add(&a.nodes[i])
	}
}

// rise takes it from them.
func (a *Ask) rise() {
	for i := range a.nodes {
		a.queues[i].q.idle.remove(&a.nodes[i])
	}
}

// order puts the queues of a FETCH into the order of this one: as they are listed, or by weighted draws where
// a queue is listed more than once (the public documentation's weighted queues).
func (a *Ask) order(rng *rand.Rand) []weighted {
	total := 0
	for i := range a.queues {
		total += a.queues[i].weight
	}
	if total == len(a.queues) {
		return a.queues
	}
	left := append([]weighted(nil), a.queues...)
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
func (m *Machine) queue(name string) *queue {
	if q := m.queues[name]; q != nil {
		return q
	}
	if len(m.queues) >= m.set.MaxQueues {
		for _, q := range m.order {
			if q.held == 0 && !q.paused && q.idle.first == nil {
				m.forgetQueue(q)
				break
			}
		}
		if len(m.queues) >= m.set.MaxQueues {
			return nil
		}
	}
	q := &queue{name: name, table: m.atTables(name), window: m.set.TableWindow}
	q.wake.queue = q
	m.queues[name] = q
	m.order = append(m.order, q)
	return q
}

func (m *Machine) forgetQueue(q *queue) {
	q.gone = true
	m.timers.set(&q.wake, 0)
	delete(m.queues, q.name)
	for i, other := range m.order {
		if other == q {
			m.order = append(m.order[:i], m.order[i+1:]...)
			return
		}
	}
}

// HasQueue tells whether anything is known of a queue.
func (m *Machine) HasQueue(name string) bool { return m.queues[name] != nil }

// Make has a queue known; false: there are too many.
func (m *Machine) Make(name string) bool { return m.queue(name) != nil }

// Pause has a queue hand out nothing more, and Resume has it go on. What is in the core goes on.
func (m *Machine) Pause(now Time, name string) bool {
	q := m.queue(name)
	if q == nil {
		return false
	}
	q.paused = true
	return true
}

// Resume ends a pause.
func (m *Machine) Resume(now Time, name string) bool {
	q := m.queues[name]
	if q == nil {
		return m.queue(name) != nil
	}
	q.paused = false
	m.letIn(now, q)
	return true
}

// Remove ends all jobs that wait in a queue; those in the core go on.
func (m *Machine) Remove(now Time, name string) (removed int) {
	q := m.queues[name]
	if q == nil {
		return 0
	}
	for j := q.head(); j != nil; j = q.head() {
		m.giveUp(now, j, QueueRemoved)
		removed++
	}
	q.paused = false
	if q.held == 0 && q.idle.first == nil {
		m.forgetQueue(q)
	}
	return removed
}

// QueueFigures tell of one queue.
type QueueFigures struct {
	Name     string
	Enqueued int  // not with a worker yet
	Latency  Time // how long the job that is next has waited
	Paused   bool
}

// Queues tells of all queues, in the order of their first use.
func (m *Machine) Queues(now Time) (out []QueueFigures) {
	for _, q := range m.order {
		f := QueueFigures{Name: q.name, Enqueued: q.count + q.open, Paused: q.paused}
		if j := q.head(); j != nil {
			f.Latency = now - j.Since
		}
		out = append(out, f)
	}
	return out
}
