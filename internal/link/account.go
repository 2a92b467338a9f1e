package link

import (
	"sync/atomic"

	"cobaltflow/internal/core"
)

// Account bounds the bytes that a process holds for the clients of all its fronts: answers that they have not read, and input
// that is not complete or not handled. Limits of one connection or one front do not bound the process, as a client may open
// many connections. Above the limit the connections that hold most are closed, so that a slow client costs itself and no
// other, and the fronts handle no more input until their bytes are free.
//
// Links are added and removed, and Enforce and WhenFree are called, on the loop. Bytes may be charged on any goroutine.
type Account struct {
	loop  *core.Loop
	limit atomic.Int64
	used  atomic.Int64
	// releasing is the part of used that closed links still hold: messages that their writers have in hand.
	releasing atomic.Int64
	// isEnforcementDue and isResumeDue are set while a call of Enforce or of resume is posted to the loop.
	isEnforcementDue atomic.Bool
	isResumeDue      atomic.Bool
	hasWaiting       atomic.Bool
	links            map[*Link]struct{}
	waiting          []func() // in the order of the calls of WhenFree
}

// NewAccount returns an account with a limit in bytes.
func NewAccount(loop *core.Loop, limit int64) *Account {
	a := &Account{loop: loop, links: map[*Link]struct{}{}}
	a.limit.Store(limit)
	return a
}

// SetLimit changes the limit, which is in bytes.
func (a *Account) SetLimit(limit int64) {
	a.limit.Store(limit)
	a.post(&a.isEnforcementDue, a.Enforce)
	a.post(&a.isResumeDue, a.resume)
}

// Add makes a link's bytes count, those that it holds already included, until its end.
func (a *Account) Add(l *Link) {
	a.links[l] = struct{}{}
	l.joinAccount(a)
}

// IsOver reports whether more is held than the limit. Enforce ends that within some turns of the loop.
func (a *Account) IsOver() bool { return a.used.Load() > a.limit.Load() }

// WhenFree calls f in a later turn in which the bytes are within the limit. The calls are in the order of those of WhenFree.
func (a *Account) WhenFree(f func()) {
	a.waiting = append(a.waiting, f)
	a.hasWaiting.Store(true)
	a.post(&a.isResumeDue, a.resume)
}

func (a *Account) resume() {
	for len(a.waiting) > 0 && !a.IsOver() {
		next := a.waiting[0]
		a.waiting[0] = nil
		a.waiting = a.waiting[1:]
		next()
	}
	a.hasWaiting.Store(len(a.waiting) > 0)
}

// Enforce closes the links that hold most until the others are within the limit.
func (a *Account) Enforce() {
	for a.used.Load()-a.releasing.Load() > a.limit.Load() {
		var largest *Link
		most := int64(0)
		for l := range a.links {
			if n := l.HeldBytes(); n > most {
				largest, most = l, n
			}
		}
		if largest == nil {
			return
		}
		largest.abandon(a.loop, OverMemory)
	}
}

// charge adds bytes, and posts what follows from that.
func (a *Account) charge(n int64) {
	isOver := a.used.Add(n) > a.limit.Load()
	switch {
	case isOver && n > 0:
		a.post(&a.isEnforcementDue, a.Enforce)
	case !isOver && n < 0 && a.hasWaiting.Load():
		a.post(&a.isResumeDue, a.resume)
	}
}

// post posts a call to the loop, unless one is due.
func (a *Account) post(isDue *atomic.Bool, call func()) {
	if isDue.CompareAndSwap(false, true) {
		a.loop.Post(func() {
			isDue.Store(false)
			call()
		})
	}
}
