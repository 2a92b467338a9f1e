package rules

// The wake-ups of requests and of housekeeping: a heap by time, before the one timer of the host.

import (
	"cmp"
	"math"
	"slices"
)

// wakes is a heap by time.
type timerHeap []timerEntry

type timerEntry struct {
	at Time
	r  *request // nil: housekeeping
}

func (h *timerHeap) push(k timerEntry) {
	if len(*h) == cap(*h) {
		h.dropEnded()
	}
	*h = append(*h, k)
	a := *h
	for i := len(a) - 1; i > 0 && a[(i-1)/2].at > a[i].at; i = (i - 1) / 2 {
		a[i], a[(i-1)/2] = a[(i-1)/2], a[i]
	}
}

// thin drops the wake-ups of requests that are over, when the heap would have to grow: a client's patience may
// be hours, and its job be done in milliseconds.
func (h *timerHeap) dropEnded() {
	kept := (*h)[:0]
	for _, k := range *h {
		if k.r == nil || !k.r.closed || k.r.outstanding > 0 {
			kept = append(kept, k)
		}
	}
	clear((*h)[len(kept):])
	if len(kept) > cap(kept)/2 {
		kept = slices.Grow(kept, cap(kept))
	}
	slices.SortFunc(kept, func(a, b timerEntry) int { return cmp.Compare(a.at, b.at) }) // sorted is a heap
	*h = kept
}

func (q *timerHeap) pop() timerEntry {
	h := *q
	top, n := h[0], len(h)-1
	h[0], h[n] = h[n], timerEntry{}
	h = h[:n]
	for i := 0; ; {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && h[c+1].at < h[c].at {
			c++
		}
		if h[i].at <= h[c].at {
			break
		}
		h[i], h[c] = h[c], h[i]
		i = c
	}
	*q = h
	return top
}

// wakeUp has the request looked at then; nil is housekeeping. One timer of the host is armed, for the heap's top.
func (d *Dispatcher) setTimer(now, at Time, r *request) {
	d.timers.push(timerEntry{at, r})
	d.armTimer(now)
}

func (d *Dispatcher) armTimer(now Time) {
	if len(d.timers) > 0 && d.timers[0].at < d.timerAt {
		d.timerAt = d.timers[0].at
		d.actions.Timer(max(0, d.timerAt-now), 0)
	}
}

// TimerDue brings back a timer.
func (d *Dispatcher) TimerDue(now Time, token uint64) {
	if now >= d.timerAt {
		d.timerAt = math.MaxInt64
	}
	for len(d.timers) > 0 && d.timers[0].at <= now {
		if k := d.timers.pop(); k.r == nil {
			d.housekeeping(now)
			d.setTimer(now, now+tickInterval, nil)
		} else if !k.r.closed {
			d.review(now, k.r)
			d.forgetIfEnded(k.r)
		}
	}
	d.armTimer(now)
}
