package link

import "sync/atomic"

// Backlog bounds the messages that a connection has posted to the loop and the loop has not handled yet, for a front
// that reads messages in batches. The reading goroutine calls Add and Wait, the loop calls Done and Close.
type Backlog struct {
	pendingCost atomic.Int64
	spaceFreed  chan struct{} // signals Wait that Done was called
	closed      chan struct{}
}

// Costs of messages, in bytes.
const (
	MaxBacklogBytes = 256 << 10 // unhandled on one connection; above it nothing more is read from the connection
	MinMessageCost  = 512       // charged for a short message: each takes its part of a turn of the loop
)

// NewBacklog returns an empty backlog.
func NewBacklog() *Backlog {
	return &Backlog{spaceFreed: make(chan struct{}, 1), closed: make(chan struct{})}
}

// Add charges messages that are about to be posted; cost is in bytes.
func (b *Backlog) Add(cost int) { b.pendingCost.Add(int64(cost)) }

// Wait blocks while the backlog exceeds MaxBacklogBytes. It returns false if the backlog was closed meanwhile.
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

// Done credits messages that the loop has handled; cost is what was charged for them with Add.
func (b *Backlog) Done(cost int) {
	b.pendingCost.Add(-int64(cost))
	select {
	case b.spaceFreed <- struct{}{}:
	default:
	}
}

// Close unblocks a waiting reader. It must be called once, when the connection has ended.
func (b *Backlog) Close() { close(b.closed) }
