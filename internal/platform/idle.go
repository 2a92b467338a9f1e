package platform

import (
	"container/heap"
	"container/list"
	"slices"

	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
)

const (
	// staleBreakWindow is the time from the start of a call within which a break of its connection shows that the worker
	// had closed the connection while it was idle.
	staleBreakWindow = 20 * core.Millisecond
	// earlyCloseTTL is how long a keep-alive estimate is used after the last observation.
	earlyCloseTTL = 60 * core.Second
	// minKeepAlive is the least keep-alive estimate.
	minKeepAlive = 5 * core.Millisecond
	// maxProbeIdleConns is how many idle connections too old for jobs a worker may have: probes can still use them.
	maxProbeIdleConns = 2
	// minEarlyClosers is how many workers must close connections early before all are assumed to.
	minEarlyClosers = 2
)

// idleLinks holds the connections without a call, of all workers. Each is also in the idle stack of its worker.
type idleLinks struct {
	order   list.List   // of *workerLink, the longest idle first
	surplus surplusHeap // workers with more idle connections than maxProbeIdleConns
	scanned uint64      // connections and workers examined by evict and closeExpiredIdle

	earlyClosers          list.List // of *poolWorker: those with a keep-alive estimate, the last observed last
	longestEarlyKeepAlive core.Time // the longest of their estimates
}

// surplusHeap orders workers by surplusDue, when their oldest idle connection becomes too old for jobs.
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

// addIdle adds a connection to the idle ones, ordered by the time since which it has been idle. That is usually the
// last place; a connection that was acquired for a call that could not begin returns to its earlier place.
func (p *connPool) addIdle(l *workerLink) {
	w := l.worker
	w.idle = append(w.idle, l)
	prev := p.idle.order.Back()
	for prev != nil && prev.Value.(*workerLink).stateSince > l.stateSince {
		prev = prev.Prev()
	}
	if prev == nil {
		l.idleElem = p.idle.order.PushFront(l)
	} else {
		l.idleElem = p.idle.order.InsertAfter(l, prev)
	}
	p.updateSurplus(w)
}

// removeIdle removes a connection from the idle ones, if it is one of them.
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

// closeIdle removes a connection from the idle ones and closes it.
func (p *connPool) closeIdle(l *workerLink, reason string) {
	p.removeIdle(l)
	l.Close(reason)
}

// updateSurplus adds a worker to the surplus heap, moves it there or removes it, according to its idle connections.
func (p *connPool) updateSurplus(w *poolWorker) {
	hasSurplus := len(w.idle) > maxProbeIdleConns
	if hasSurplus {
		w.surplusDue = w.idle[0].stateSince + p.keepAliveOf(w)
	}
	switch {
	case hasSurplus && w.surplusIndex == 0:
		heap.Push(&p.idle.surplus, w)
	case hasSurplus:
		heap.Fix(&p.idle.surplus, w.surplusIndex-1)
	case w.surplusIndex > 0:
		heap.Remove(&p.idle.surplus, w.surplusIndex-1)
	}
}

// evict closes the connection that has been idle longest, of any worker. It returns false if none is idle.
func (p *connPool) evict() bool {
	oldest := p.idle.order.Front()
	if oldest == nil {
		return false
	}
	p.idle.scanned++
	p.closeIdle(oldest.Value.(*workerLink), link.OverBudget)
	return true
}

// closeExpiredIdle closes the connections that have been idle for idleTimeout, and those too old for jobs, of which
// each worker keeps maxProbeIdleConns for probes.
func (p *connPool) closeExpiredIdle() {
	now := p.front.loop.Now()
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

// recordEarlyClose estimates how long a worker keeps idle connections open, from one that the worker closed while it
// was idle or at its next use: 60 % of its idle time, at least minKeepAlive. A request sent at the moment of such a
// close ends in a reset and may have run; if it must not run twice, it is lost.
func (p *connPool) recordEarlyClose(l *workerLink) {
	now := p.front.loop.Now()
	idle := now - l.stateSince
	if l.call != nil {
		if idle > staleBreakWindow || l.MessageCount < 2 {
			return
		}
		idle = l.idleBeforeUse
	}
	w := l.worker
	keepAlive := max(minKeepAlive, idle*6/10)
	if keepAlive >= p.currentKeepAlive(w) {
		return
	}
	oldCommon := p.commonKeepAlive()
	if w.earlyCloserElem == nil {
		w.earlyCloserElem = p.idle.earlyClosers.PushBack(w)
	} else {
		p.idle.earlyClosers.MoveToBack(w.earlyCloserElem)
	}
	w.keepAlive, w.keepAliveSeenAt = keepAlive, now
	p.idle.longestEarlyKeepAlive = max(p.idle.longestEarlyKeepAlive, keepAlive)
	p.reorderSurplus(w, oldCommon)
}

// forgetKeepAlive drops the keep-alive estimate of a worker.
func (p *connPool) forgetKeepAlive(w *poolWorker) {
	if w.earlyCloserElem == nil {
		return
	}
	oldCommon := p.commonKeepAlive()
	p.idle.earlyClosers.Remove(w.earlyCloserElem)
	w.earlyCloserElem, w.keepAlive = nil, 0
	if p.idle.earlyClosers.Len() == 0 {
		p.idle.longestEarlyKeepAlive = 0
	}
	p.reorderSurplus(w, oldCommon)
}

// reorderSurplus updates the surplus heap after the keep-alive estimate of a worker has changed. oldCommon is
// commonKeepAlive before the change.
func (p *connPool) reorderSurplus(w *poolWorker, oldCommon core.Time) {
	if oldCommon == p.commonKeepAlive() {
		p.updateSurplus(w)
		return
	}
	for _, w := range p.idle.surplus {
		w.surplusDue = w.idle[0].stateSince + p.keepAliveOf(w)
	}
	heap.Init(&p.idle.surplus)
}

// currentKeepAlive returns how long a connection to a worker may have been idle for a call that must not be sent twice.
// An outdated estimate is dropped first.
func (p *connPool) currentKeepAlive(w *poolWorker) core.Time {
	if p.front.loop.Now()-w.keepAliveSeenAt > earlyCloseTTL {
		p.forgetKeepAlive(w)
	}
	return p.keepAliveOf(w)
}

// keepAliveOf returns how long a worker is assumed to keep idle connections open.
func (p *connPool) keepAliveOf(w *poolWorker) core.Time {
	if w.keepAlive > 0 {
		return w.keepAlive
	}
	return p.commonKeepAlive()
}

// commonKeepAlive returns the assumption for workers without an estimate: idleTimeout or, when several workers close
// early, the longest of their estimates.
func (p *connPool) commonKeepAlive() core.Time {
	if p.idle.earlyClosers.Len() >= minEarlyClosers {
		return min(p.idleTimeout, p.idle.longestEarlyKeepAlive)
	}
	return p.idleTimeout
}
