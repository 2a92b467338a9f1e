package http2

import (
	"context"
	"errors"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
)

// onRequest is called by netpoll, on a goroutine of its own, as long as input is unread.
func onRequest(ctx context.Context, _ netpoll.Connection) error {
	c := ctx.Value(connKey{}).(*conn)
	return c.read()
}

// read splits the input into frames and posts them to the loop in batches. It blocks while the loop is behind.
func (c *conn) read() error {
	r := c.Conn.Reader()
	if c.readStopped {
		r.Skip(r.Len())
		return r.Release()
	}
	for need := 1; ; {
		buf, err := r.Peek(max(need, r.Len()))
		receivedAt := c.front.loop.Clock()
		if errors.Is(err, netpoll.ErrReadTimeout) {
			c.front.loop.Post(c.frameTimedOut)
			continue // until the frame is complete, or the connection closed
		}
		if err != nil {
			c.front.loop.Post(func() { c.Close(link.PeerClosed) })
			c.readStopped = true
			r.Skip(r.Len())
			c.Conn.Close()
			return nil
		}
		batch, used, needed := c.splitFrames(buf)
		c.noteFieldBlock(receivedAt)
		r.Skip(used)
		if err := r.Release(); err != nil {
			return err
		}
		if len(batch) > 0 {
			receivedAt = min(receivedAt, c.ArrivalTime(c.front.loop))
			cost := max(used, link.MinMessageCost*len(batch))
			c.backlog.Add(cost)
			c.Hold(cost)
			c.front.loop.Post(func() { c.handle(&frameBatch{frames: batch, cost: cost, receivedAt: receivedAt}) })
			if !c.backlog.Wait() {
				c.readStopped = true
				return nil
			}
		}
		if needed == 0 || c.readStopped {
			return nil
		}
		need = needed
	}
}

// noteFieldBlock records since when a field block is incomplete, for the sweep.
func (c *conn) noteFieldBlock(now core.Time) {
	switch isOpen := c.reader.blockStream != 0; {
	case !isOpen:
		c.blockSince.Store(0)
	case c.blockSince.Load() == 0:
		c.blockSince.Store(now)
	}
}

// splitFrames takes frames from buf, up to maxBatchFrames. needed above 0 says that the last frame is incomplete, and
// how many bytes it needs.
func (c *conn) splitFrames(buf []byte) (batch []*frame, used, needed int) {
	for used < len(buf) && len(batch) < maxBatchFrames {
		f, n, need := c.reader.readFrame(buf[used:])
		if need > 0 {
			return batch, used, need
		}
		used += n
		if f != nil {
			batch = append(batch, f)
			if f.err != nil {
				c.readStopped = true
				return batch, len(buf), 0
			}
		}
	}
	return batch, used, 0
}

// frameBatch is a batch of frames for the loop.
type frameBatch struct {
	frames     []*frame
	cost       int       // towards the backlog
	receivedAt core.Time // when the last bytes had arrived
}

// handle handles a batch of frames, behind those that wait.
func (c *conn) handle(batch *frameBatch) {
	c.waitingBatches = append(c.waitingBatches, batch)
	if len(c.waitingBatches) == 1 {
		c.handleWaiting()
	}
}

// handleWaiting handles the batches in the order in which they came, while the account has space for what they ask for and the
// client reads what it has asked for before. A client that reads nothing is closed by the timeout of the write.
func (c *conn) handleWaiting() {
	for len(c.waitingBatches) > 0 {
		batch := c.waitingBatches[0]
		c.lastUsed, c.receivedAt = c.front.loop.Now(), batch.receivedAt
		for len(batch.frames) > 0 && !c.Ended && c.CloseReason == "" {
			if c.front.account.IsOver() {
				c.front.account.WhenFree(c.handleWaiting)
				return
			}
			if c.QueuedBytes() > maxUnreadBytes {
				c.front.loop.At(c.front.loop.Now()+sweepInterval, c.handleWaiting)
				return
			}
			next := batch.frames[0]
			batch.frames = batch.frames[1:]
			c.handleOne(next)
		}
		c.waitingBatches[0] = nil // the array would hold the frames until it is replaced
		c.waitingBatches = c.waitingBatches[1:]
		c.backlog.Done(batch.cost)
		c.Hold(-batch.cost)
	}
}

// handleOne handles a frame; an error closes the connection.
func (c *conn) handleOne(next *frame) {
	c.MessageCount++
	err := next.err
	if err == nil {
		err = c.handleFrame(next)
	}
	if err != nil {
		c.fail(err)
	}
}
