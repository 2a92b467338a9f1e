package rules

// Timers of requests and of housekeeping: a heap by time, in front of the one timer of the host.

import (
	"cmp"
	"math"
	"slices"
)

// timerHeap is a binary min-heap by time.
type timerHeap []timerEntry

type timerEntry struct {
	at Time
	r  *request // nil: housekeeping
}

func (h *timerHeap) push(e timerEntry) {
	if len(*h) == cap(*h) {
		h.dropEnded()
	}
	*h = append(*h, e)
	a := *h
	for i := len(a) - 1; i > 0 && a[(i-1)/2].at > a[i].at; i = (i - 1) / 2 {
		a[i], a[(i-1)/2] = a[(i-1)/2], a[i]
	}
}

// dropEnded removes the timers of ended requests. It is called when the heap would have to grow: a deadline
// may be hours away while the job was done in milliseconds.
func (h *timerHeap) dropEnded() {
	kept := (*h)[:0]
	for _, e := range *h {
		if e.r == nil || !e.r.closed || e.r.outstanding > 0 {
			kept = append(kept, e)
		}
	}
	clear((*h)[len(kept):])
	if len(kept) > cap(kept)/2 {
		kept = slices.Grow(kept, cap(kept))
	}
	slices.SortFunc(kept, func(a, b timerEntry) int { return cmp.Compare(a.at, b.at) }) // a sorted slice is a heap
	*h = kept
}

func (h *timerHeap) pop() timerEntry {
	a := *h
	top, n := a[0], len(a)-1
	a[0], a[n] = a[n], timerEntry{}
	a = a[:n]
	for i := 0; ; {
		child := 2*i + 1
		if child >= n {
			break
		}
		if child+1 < n && a[child+1].at < a[child].at {
			child++
		}
		if a[i].at <= a[child].at {
			break
		}
		a[i], a[child] = a[child], a[i]
		i = child
	}
	*h = a
	return top
}

// setTimer schedules a review of the request, or housekeeping if it is nil, at the time.
func (d *Dispatcher) setTimer(now, at Time, r *request) {
	d.timers.push(timerEntry{at, r})
	d.armTimer(now)
}

// armTimer requests a timer of the host for the earliest entry, unless one is due by then.
func (d *Dispatcher) armTimer(now Time) {
	if len(d.timers) > 0 && d.timers[0].at < d.timerAt {
		d.timerAt = d.timers[0].at
		d.actions.Timer(max(0, d.timerAt-now), 0)
	}
}

// TimerDue handles a timer requested with Actions.Timer. The token is not used.
func (d *Dispatcher) TimerDue(now Time, token uint64) {
	if now >= d.timerAt {
		d.timerAt = math.MaxInt64
	}
	for len(d.timers) > 0 && d.timers[0].at <= now {
		if e := d.timers.pop(); e.r == nil {
			d.housekeeping(now)
			d.setTimer(now, now+tickInterval, nil)
		} else if !e.r.closed {
			d.review(now, e.r)
			d.forgetIfEnded(e.r)
		}
	}
	d.armTimer(now)
}
