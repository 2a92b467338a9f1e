package jobs

import "container/heap"

// timer is an entry of the machine's timer heap. A job has up to two, for its expiry and for its next step; a lock has
// one, and so has a queue, for the end of its refusal delay.
type timer struct {
	at     Time
	index  int // position in the heap, from 1; 0: not in it
	seq    uint64
	job    *Job
	lock   *lock
	queue  *queue
	isStep bool // fires the job's next step; else its expiry
}

type timers struct {
	items []*timer
	seq   uint64
}

func (h *timers) Len() int { return len(h.items) }
func (h *timers) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (h *timers) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index, h.items[j].index = i+1, j+1
}
func (h *timers) Push(x any) {
	t := x.(*timer)
	h.items = append(h.items, t)
	t.index = len(h.items)
}
func (h *timers) Pop() any {
	n := len(h.items) - 1
	t := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	t.index = 0
	return t
}

// set starts or moves a timer; at 0 stops it.
func (h *timers) set(t *timer, at Time) {
	if at == 0 {
		if t.index > 0 {
			heap.Remove(h, t.index-1)
		}
		return
	}
	h.seq++
	t.at, t.seq = at, h.seq
	if t.index > 0 {
		heap.Fix(h, t.index-1)
	} else {
		heap.Push(h, t)
	}
}

func (h *timers) pop() *timer { return heap.Pop(h).(*timer) }

// list is a set of jobs in the order of insertion. A job is in at most one list.
type list struct {
	first, last *Job
	count       int
	bytes       int
	lastSeq     uint64
	cursor      *Job // of an iteration in progress
}

func (l *list) add(j *Job) {
	l.lastSeq++
	j.seq = l.lastSeq
	if j.prev, j.next = l.last, nil; l.last != nil {
		l.last.next = j
	} else {
		l.first = j
	}
	l.last = j
	l.countAdded(j)
}

// addFirst puts a job at the front.
func (l *list) addFirst(j *Job) {
	j.seq = 0
	if j.prev, j.next = nil, l.first; l.first != nil {
		l.first.prev = j
	} else {
		l.last = j
	}
	l.first = j
	l.countAdded(j)
}

// countAdded counts a job that was added.
func (l *list) countAdded(j *Job) {
	j.list = l
	l.count++
	l.bytes += int(j.Size)
}

// unlink removes a job from its list.
func (j *Job) unlink() {
	l := j.list
	if l == nil {
		return
	}
	if j.prev != nil {
		j.prev.next = j.next
	} else {
		l.first = j.next
	}
	if j.next != nil {
		j.next.prev = j.prev
	} else {
		l.last = j.prev
	}
	if l.cursor == j {
		l.cursor = j.next
	}
	l.count--
	l.bytes -= int(j.Size)
	j.list, j.prev, j.next = nil, nil, nil
}
