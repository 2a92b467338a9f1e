package link

import "sync/atomic"

// Backlog bounds what a connection has handed to the loop and the loop has not handled, for a front that takes
// messages in batches. The reading goroutine adds and waits, the loop takes off and ends.
type Backlog struct {
	pendingCost atomic.Int64
	spaceFreed  chan struct{}
	closed      chan struct{}
}

// Costs of messages.
const (
	MaxBacklogBytes = 256 << 10 // of a connection, before it is read on
	MinMessageCost  = 512       // of a message, however short: it takes its part of a turn
)

// NewBacklog makes an empty one.
func NewBacklog() *Backlog {
	return &Backlog{spaceFreed: make(chan struct{}, 1), closed: make(chan struct{})}
}

// Add counts messages that are about to be posted.
func (b *Backlog) Add(cost int) { b.pendingCost.Add(int64(cost)) }

// Wait waits until the loop has caught up. It gives false where the connection ended meanwhile.
func (b *Backlog) Wait() bool {
	for b.pendingCost.Load() > MaxBacklogBytes {
		select {
		case <-b.spaceFreed:
		case <-b.closed:
			return false
		}
	}
	return true
}

// Done takes off what the loop has handled.
func (b *Backlog) Done(cost int) {
	b.pendingCost.Add(-int64(cost))
	select {
	case b.spaceFreed <- struct{}{}:
	default:
	}
}

// End lets a reader that waits go. It is called once, when the connection has ended.
func (b *Backlog) Close() { close(b.closed) }
