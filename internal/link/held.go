package link

import (
	"sync"

	"cobaltflow/internal/core"
)

// holding counts the bytes that a link holds for its peer, in an account once the link has been added to one.
type holding struct {
	mu        sync.Mutex
	account   *Account // nil: not added yet
	bytes     int64
	writing   int64 // bytes of the message that the writer has in hand; part of bytes
	isEnded   bool  // the link has ended or was abandoned: nothing more counts
	releasing int64 // what writing was then, until the writer has released it

	kept int64 // of bytes, what SetKept has set last; belongs to the loop
}

// Hold adds bytes to those that the link holds; a negative number releases bytes. It may be called on any goroutine.
func (l *Link) Hold(n int) { l.held.add(int64(n)) }

// SetKept sets how many bytes the front keeps for the link, besides what was passed to Send and to Hold. It is called on the
// loop.
func (l *Link) SetKept(n int) {
	delta := int64(n) - l.held.kept
	l.held.kept = int64(n)
	if delta != 0 {
		l.held.add(delta)
	}
}

// HeldBytes returns the bytes that the link holds.
func (l *Link) HeldBytes() int64 {
	l.held.mu.Lock()
	defer l.held.mu.Unlock()
	return l.held.bytes
}

func (h *holding) add(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isEnded {
		return
	}
	h.bytes += n
	if h.account != nil {
		h.account.charge(n)
	}
}

// beginWrite records that the writer has a message in hand. A message that it took as the link ended does not count.
func (h *holding) beginWrite(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isEnded {
		h.writing = n
	}
}

// endWrite releases the message that the writer has had in hand.
func (h *holding) endWrite() {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.writing
	if h.isEnded {
		n = h.releasing
		h.releasing = 0
	} else {
		h.bytes -= n
		h.writing = 0
	}
	if h.account == nil {
		return
	}
	if h.isEnded {
		h.account.releasing.Add(-n)
	}
	h.account.charge(-n)
}

// joinAccount charges the link's bytes to an account from now on.
func (l *Link) joinAccount(a *Account) {
	l.held.mu.Lock()
	defer l.held.mu.Unlock()
	l.held.account = a
	a.charge(l.held.bytes)
}

// endHolding releases all bytes, as the link has ended or is about to be closed, but for the message that its writer has in
// hand: that one is released as the write ends.
func (l *Link) endHolding() {
	h := &l.held
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isEnded {
		return
	}
	h.isEnded = true
	if h.account != nil {
		h.releasing = h.writing
		h.account.releasing.Add(h.releasing)
		h.account.charge(h.releasing - h.bytes)
		delete(h.account.links, l)
	}
	h.bytes, h.writing = 0, 0
}

// abandon drops all that waits to be written, and closes the connection in a later turn: the caller may be in the middle of
// an event of another connection.
func (l *Link) abandon(loop *core.Loop, reason string) {
	if l.CloseReason == "" {
		l.CloseReason = reason
	}
	if l.OnAbandon != nil {
		l.OnAbandon()
	}
	l.endHolding()
	l.dropOutbox(loop)
	loop.Post(func() {
		if !l.Ended {
			l.Close(reason)
		}
	})
}

// dropOutbox drops the messages that wait to be written.
func (l *Link) dropOutbox(loop *core.Loop) {
	l.mu.Lock()
	dropped := l.outbox
	l.outbox = nil
	l.mu.Unlock()
	for _, o := range dropped {
		l.queuedBytes.Add(-int64(len(o.Message)))
		if o.Done != nil {
			loop.Post(func() { o.Done(errConnEnded) })
		}
	}
}
