package core

import (
	"container/heap"
	"sync"
	"time"

	"cobaltflow/internal/clock"
	"cobaltflow/rules"
)

// Time is a point in time on the loop's clock, or a duration, in whole microseconds. The clock is monotonic.
type Time = rules.Time

// Durations.
const (
	Millisecond Time = 1_000
	Second      Time = 1_000_000
)

// clockBase is the clock's value at the start of the loop: so far above zero that the start time of a worker that was
// started before this process is positive too. The Dispatcher reads a start time of zero as "long ago".
const clockBase Time = 1 << 42

// Loop is the event loop: one goroutine that owns all state of the core and the fronts. Everything else (netpoll
// callbacks, dials, writers) posts events to its mailbox. A turn drains the mailbox, reads the clock once, runs the events
// in the order of their arrival, then the timers that are due, then the actions that the Dispatcher decided on.
type Loop struct {
	mu      sync.Mutex
	mailbox []func()
	wake    chan struct{}
	stopped bool

	start     time.Duration // the monotonic clock at start
	startUnix int64         // the wall clock at start, in Unix microseconds
	now       Time          // of the turn
	timers    timerHeap
	due       []*Timer // buffer of turn
	seq       uint64   // of the last timer
	onTurnEnd func()   // runs the Dispatcher's actions
	afterTurn []func() // run at the very end of each turn
}

// NewLoop returns a loop whose clock starts now.
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

// Now returns the time at which the current turn began. It must be called on the loop goroutine.
func (l *Loop) Now() Time { return l.now }

// FromUnixMilli converts Unix time in milliseconds to the loop's time, by the difference of the two clocks at the loop's
// start: the same Unix time always gives the same result, even if the wall clock was stepped since.
func (l *Loop) FromUnixMilli(ms int64) Time { return clockBase + ms*Millisecond - l.startUnix }

// Timer is a pending call of the loop; see At.
type Timer struct {
	at    Time
	seq   uint64 // orders timers of the same time
	index int    // in the heap; -1: not in it
	fire  func()

	cancelled bool
}

// At calls fire in the first turn at or after the time. A timer whose time has passed fires in the next turn, never within
// the call. At must be called on the loop goroutine or before Run.
func (l *Loop) At(at Time, fire func()) *Timer {
	l.seq++
	t := &Timer{at: at, seq: l.seq, fire: fire}
	heap.Push(&l.timers, t)
	return t
}

// CancelTimer stops a timer from firing. Nil and a timer that has fired are ignored.
func (l *Loop) CancelTimer(t *Timer) {
	if t == nil {
		return
	}
	if t.cancelled = true; t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// AfterTurn registers a function to be called at the end of each turn, after the Dispatcher's actions.
func (l *Loop) AfterTurn(f func()) { l.afterTurn = append(l.afterTurn, f) }

// FromWall converts a wall-clock time to the loop's time: both are equally far from the present. It may be called from any
// goroutine.
func (l *Loop) FromWall(t time.Time) Time { return l.Clock() + t.Sub(clock.Wall()).Microseconds() }

// ToWall converts a time of the loop to wall-clock time: both are equally far from the present.
func (l *Loop) ToWall(at Time) time.Time {
	return clock.Wall().Add(time.Duration(at-l.Clock()) * time.Microsecond)
}

// Stop ends Run after the current turn. It must be called on the loop goroutine.
func (l *Loop) Stop() { l.stopped = true }

// Run runs turns on the calling goroutine until Stop.
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
			wait = time.Duration(l.timers[0].at-l.Clock()) * time.Microsecond
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

// Clock returns the present time, which may be later than the turn's. It may be called from any goroutine.
func (l *Loop) Clock() Time { return clockBase + (clock.Monotonic() - l.start).Microseconds() }

func (l *Loop) turn(batch []func()) {
	l.now = l.Clock()
	for _, event := range batch {
		event()
	}
	// All due timers are removed from the heap before any of them fires: a timer that is set meanwhile waits for the next
	// turn, however early its time, and delays none of these.
	due := l.due[:0]
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		due = append(due, heap.Pop(&l.timers).(*Timer))
	}
	for _, t := range due {
		if !t.cancelled { // by a timer that fired before it in this turn
			t.fire()
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
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
