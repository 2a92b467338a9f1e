package platform

import (
	"container/heap"
	"container/list"
	"slices"

	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
)

const (
	staleBreakWindow  = 20 * core.Millisecond // a connection that breaks so soon after its use had been closed before
	earlyCloseTTL     = 60 * core.Second      // for so long what was seen of it is believed
	minKeepAlive      = 5 * core.Millisecond
	idleKeptForProbes = 2
	minEarlyClosers   = 2 // workers that close early before all others are taken to
)

// idleLinks are the connections of all workers that no call uses. Each stands in its worker's own stack too.
type idleLinks struct {
	order   list.List   // of *workerLink, the one that has been idle longest first
	surplus surplusHeap // the workers with more idle connections than probes can try
	scanned uint64      // connections that evict and retire have looked at

	earlyClosers          list.List // of *workerLinks that have closed kept connections before their time, the last seen last
	longestEarlyKeepAlive core.Time // the longest of what they still keep one for
}

// crowdedHeap orders workers by when their oldest idle connection may carry no job any more.
type surplusHeap []*poolWorker

func (h surplusHeap) Len() int           { return len(h) }
func (h surplusHeap) Less(i, j int) bool { return h[i].surplusDue < h[j].surplusDue }
func (h surplusHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].surplusIndex, h[j].surplusIndex = i+1, j+1
}

// Push implements heap.Interface.
func (h *surplusHeap) Push(x any) {
	w := x.(*poolWorker)
	*h = append(*h, w)
	w.surplusIndex = len(*h)
}

// Pop implements heap.Interface.
func (h *surplusHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.surplusIndex = 0
	return w
}

// addIdle puts a connection with the idle ones, by the time since which it has been so: as a rule the last. One that
// was taken for a call that may not begin any more goes back among those that have been idle for less.
func (p *connPool) addIdle(l *workerLink) {
	w := l.worker
	w.idle = append(w.idle, l)
	before := p.idle.order.Back()
	for before != nil && before.Value.(*workerLink).stateSince > l.stateSince {
		before = before.Prev()
	}
	if before == nil {
		l.idleElem = p.idle.order.PushFront(l)
	} else {
		l.idleElem = p.idle.order.InsertAfter(l, before)
	}
	p.updateSurplus(w)
}

// removeIdle takes a connection from the idle ones, where it is one of them.
func (p *connPool) removeIdle(l *workerLink) {
	if l.idleElem == nil {
		return
	}
	p.idle.order.Remove(l.idleElem)
	l.idleElem = nil
	w := l.worker
	switch last := len(w.idle) - 1; l {
	case w.idle[last]:
		w.idle[last] = nil
		w.idle = w.idle[:last]
	case w.idle[0]:
		w.idle[0] = nil
		w.idle = w.idle[1:]
	default:
		i := slices.Index(w.idle, l)
		w.idle = slices.Delete(w.idle, i, i+1)
	}
	p.updateSurplus(w)
}

// closeIdle takes a connection from the idle ones and closes it.
func (p *connPool) closeIdle(l *workerLink, reason string) {
	p.removeIdle(l)
	l.Close(reason)
}

// review has a worker stand at its place among the crowded ones, or not at all.
func (p *connPool) updateSurplus(w *poolWorker) {
	crowded := len(w.idle) > idleKeptForProbes
	if crowded {
		w.surplusDue = w.idle[0].stateSince + p.keepAliveOf(w)
	}
	switch {
	case crowded && w.surplusIndex == 0:
		heap.Push(&p.idle.surplus, w)
	case crowded:
		heap.Fix(&p.idle.surplus, w.surplusIndex-1)
	case w.surplusIndex > 0:
		heap.Remove(&p.idle.surplus, w.surplusIndex-1)
	}
}

// evict closes the connection that has been idle longest, of any worker.
func (p *connPool) evict() bool {
	oldest := p.idle.order.Front()
	if oldest == nil {
		return false
	}
	p.idle.scanned++
	p.closeIdle(oldest.Value.(*workerLink), link.OverBudget)
	return true
}

// retire closes connections that have stood idle for long, and of those that no job may have any more all
// but the few that probes can still try.
func (p *connPool) closeExpiredIdle() {
	now := p.f.loop.Now()
	for first := p.idle.earlyClosers.Front(); first != nil; first = p.idle.earlyClosers.Front() {
		w := first.Value.(*poolWorker)
		if now-w.keepAliveSeenAt <= earlyCloseTTL {
			break
		}
		p.forgetKeepAlive(w)
	}
	for oldest := p.idle.order.Front(); oldest != nil; oldest = p.idle.order.Front() {
		p.idle.scanned++
		l := oldest.Value.(*workerLink)
		if l.stateSince >= now-p.idleTimeout {
			break
		}
		p.closeIdle(l, link.IdleTimeout)
	}
	for len(p.idle.surplus) > 0 {
		p.idle.scanned++
		w := p.idle.surplus[0]
		if w.surplusDue >= now {
			break
		}
		p.closeIdle(w.idle[0], link.IdleTimeout)
	}
}

// closedEarly learns from a kept connection that the worker ended, idle or at its next use, for how long
// the worker keeps one. A request that crosses such a close is a reset and may have run: one that must not
// run twice is lost with it.
func (p *connPool) recordEarlyClose(l *workerLink) {
	now := p.f.loop.Now()
	idle := now - l.stateSince
	if l.call != nil {
		if idle > staleBreakWindow || l.MessageCount < 2 {
			return
		}
		idle = l.idleBeforeUse
	}
	w := l.worker
	keep := max(minKeepAlive, idle*6/10)
	if keep >= p.currentKeepAlive(w) {
		return
	}
	common := p.commonKeepAlive()
	if w.earlyCloserElem == nil {
		w.earlyCloserElem = p.idle.earlyClosers.PushBack(w)
	} else {
		p.idle.earlyClosers.MoveToBack(w.earlyCloserElem)
	}
	w.keepAlive, w.keepAliveSeenAt = keep, now
	p.idle.longestEarlyKeepAlive = max(p.idle.longestEarlyKeepAlive, keep)
	p.reorderSurplus(w, common)
}

// forget has a worker count as one that keeps connections for their time.
func (p *connPool) forgetKeepAlive(w *poolWorker) {
	if w.earlyCloserElem == nil {
		return
	}
	common := p.commonKeepAlive()
	p.idle.earlyClosers.Remove(w.earlyCloserElem)
	w.earlyCloserElem, w.keepAlive = nil, 0
	if p.idle.earlyClosers.Len() == 0 {
		p.idle.longestEarlyKeepAlive = 0
	}
	p.reorderSurplus(w, common)
}

// keepChanged follows a change of how long a worker keeps connections; common is what it was for all others.
func (p *connPool) reorderSurplus(w *poolWorker, common core.Time) {
	if common == p.commonKeepAlive() {
		p.updateSurplus(w)
		return
	}
	for _, w := range p.idle.surplus {
		w.surplusDue = w.idle[0].stateSince + p.keepAliveOf(w)
	}
	heap.Init(&p.idle.surplus)
}

// keepsFor is how long a connection may have been idle for a call that must not be sent twice.
func (p *connPool) currentKeepAlive(w *poolWorker) core.Time {
	if p.f.loop.Now()-w.keepAliveSeenAt > earlyCloseTTL {
		p.forgetKeepAlive(w)
	}
	return p.keepAliveOf(w)
}

// keep is how long a worker keeps a connection, by what is believed of it.
func (p *connPool) keepAliveOf(w *poolWorker) core.Time {
	if w.keepAlive > 0 {
		return w.keepAlive
	}
	return p.commonKeepAlive()
}

// commonKeep is how long a worker keeps a connection of which nothing else is known.
func (p *connPool) commonKeepAlive() core.Time {
	if p.idle.earlyClosers.Len() >= minEarlyClosers {
		return min(p.idleTimeout, p.idle.longestEarlyKeepAlive)
	}
	return p.idleTimeout
}
