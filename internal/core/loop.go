package core

import (
	"container/heap"
	"sync"
	"time"

	"cobaltflow/internal/clock"
	"cobaltflow/rules"
)

// Time is a point on, or a length of, the loop's clock: whole monotonic microseconds.
type Time = rules.Time

// Lengths of time.
const (
	Millisecond Time = 1_000
	Second      Time = 1_000_000
)

// clockBase keeps the clock well above zero, so that a worker's start some time before ours is a
// positive time: the decisions read zero as "long ago".
const clockBase Time = 1 << 42

// Loop is the one goroutine that owns all state of the core and the fronts. Everything else (netpoll
// callbacks, dials, writers) posts to its mailbox. A turn drains the mailbox, reads the clock once,
// applies the events in the order of their arrival, then the deadlines that are due, then carries
// out what was decided.
type Loop struct {
	mu      sync.Mutex
	mailbox []func()
	wake    chan struct{}
	stopped bool

	start     time.Duration // the monotonic clock at start
	startUnix int64         // the wall clock at start, in Unix microseconds
	now       Time
	timers    timerHeap
	due       []*Timer
	seq       uint64
	onTurnEnd func()
	afterTurn []func() // at the very end of each turn
}

// NewLoop makes a loop whose clock starts now.
func NewLoop() *Loop {
	return &Loop{wake: make(chan struct{}, 1), start: clock.Monotonic(), startUnix: clock.Wall().UnixMicro(), now: clockBase}
}

// Post puts an event into the mailbox. It never blocks and may be called from any goroutine.
func (l *Loop) Post(event func()) {
	l.mu.Lock()
	l.mailbox = append(l.mailbox, event)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Now is the time of the turn; for the loop goroutine only.
func (l *Loop) Now() Time { return l.now }

// FromUnix turns a wall-clock time in milliseconds into the loop's, by the two clocks as they were at the loop's start:
// what happened before it is read so, whatever has been done to the wall clock since.
func (l *Loop) FromUnixMilli(ms int64) Time { return clockBase + ms*Millisecond - l.startUnix }

// Deadline is an entry of the loop's ordered deadlines.
type Timer struct {
	at    Time
	seq   uint64
	index int // in the heap; -1: not in it
	fire  func()

	cancelled bool
}

// At calls due in the first turn at or past the time. A deadline that is past comes due in the next
// turn, never within the call.
func (l *Loop) At(at Time, due func()) *Timer {
	l.seq++
	d := &Timer{at: at, seq: l.seq, fire: due}
	heap.Push(&l.timers, d)
	return d
}

// Drop takes a deadline out; nil and one that has come due are let pass.
func (l *Loop) CancelTimer(d *Timer) {
	if d == nil {
		return
	}
	if d.cancelled = true; d.index >= 0 {
		heap.Remove(&l.timers, d.index)
	}
}

// AfterTurn has a function called at the end of each turn, when all that was decided is carried out.
func (l *Loop) AfterTurn(f func()) { l.afterTurn = append(l.afterTurn, f) }

// FromWall turns a date that somebody names into the loop's time: as long from now as it is by the wall clock now. It may
// be called from any goroutine.
func (l *Loop) FromWall(t time.Time) Time { return l.clock() + t.Sub(clock.Wall()).Microseconds() }

// Wall turns a time of the loop into a date: as long from the wall clock's present date as it is from now.
func (l *Loop) ToWall(at Time) time.Time {
	return clock.Wall().Add(time.Duration(at-l.clock()) * time.Microsecond)
}

// Stop ends Run after the present turn.
func (l *Loop) Stop() { l.stopped = true }

// Run turns until Stop.
func (l *Loop) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var batch []func()
	for !l.stopped {
		l.mu.Lock()
		batch, l.mailbox = l.mailbox, batch[:0]
		l.mu.Unlock()
		l.turn(batch)
		clear(batch)
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = time.Duration(l.timers[0].at-l.clock()) * time.Microsecond
		}
		if wait <= 0 {
			continue
		}
		timer.Reset(wait)
		select {
		case <-l.wake:
		case <-timer.C:
		}
	}
}

func (l *Loop) clock() Time { return clockBase + (clock.Monotonic() - l.start).Microseconds() }

func (l *Loop) turn(batch []func()) {
	l.now = l.clock()
	for _, event := range batch {
		event()
	}
	// All that is due is taken out before any of it is run: a deadline set meanwhile, however early, waits
	// for the next turn and holds up none of these.
	due := l.due[:0]
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		due = append(due, heap.Pop(&l.timers).(*Timer))
	}
	for _, d := range due {
		if !d.cancelled { // by one that came before it
			d.fire()
		}
	}
	clear(due)
	l.due = due
	if l.onTurnEnd != nil {
		l.onTurnEnd()
	}
	for _, f := range l.afterTurn {
		f()
	}
}

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	d := x.(*Timer)
	d.index = len(*h)
	*h = append(*h, d)
}
func (h *timerHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	d.index = -1
	return d
}
