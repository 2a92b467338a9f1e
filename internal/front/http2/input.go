package http2

import (
	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
	"cobaltflow/internal/reactor"
)

// frameBatch is a batch of frames for the loop.
type frameBatch struct {
	frames []*frame
	cost   int // of the frames in the account
}

// HandleInput implements reactor.Handler: it posts the whole frames at the start of the input to the loop. The next ones are read
// when these are handled; a part of a frame stays in the kernel.
func (c *conn) HandleInput(in *reactor.Input) reactor.Next {
	if c.readStopped || c.DiscardsInput() {
		return c.DiscardTurn(in, c.front.poller)
	}
	input, err := in.PeekShared()
	if err != nil {
		c.readStopped = true
		c.front.poller.Post(func() { c.Close(link.PeerClosed) })
		return reactor.Pause
	}
	receivedAt := c.front.loop.Clock()
	frames, used, needed := c.splitFrames(input, in, min(receivedAt, c.ArrivalTime(c.front.loop)))
	c.noteFieldBlock(receivedAt)
	c.notePartialFrame(receivedAt, used, needed)
	if used > 0 {
		in.Consume(used)
	}
	if len(frames) > 0 {
		c.postFrames(frames, used)
		return reactor.Pause
	}
	if used > 0 {
		return reactor.Again
	}
	in.Need(needed)
	return reactor.Wait
}

// postFrames posts a batch to the loop.
func (c *conn) postFrames(frames []*frame, used int) {
	batch := &frameBatch{frames: frames, cost: max(used, link.MinMessageCost*len(frames))}
	c.Hold(batch.cost)
	c.front.poller.PostBatch(len(frames), func() {
		c.batch = batch
		c.handleBatch()
	})
}

// PeerEnded implements reactor.Handler. Nobody reads the answers any more.
func (c *conn) PeerEnded() {
	c.front.poller.Post(func() {
		if !c.Ended {
			c.Close(link.PeerClosed)
		}
	})
}

// Closed implements reactor.Handler.
func (c *conn) Closed() {
	c.front.DrainingListener.Closed()
	c.front.loop.Post(func() { c.front.connEnded(c) })
}

// notePartialFrame records since when a frame is incomplete, for the sweep.
func (c *conn) notePartialFrame(now core.Time, used, needed int) {
	switch {
	case needed == 0:
		c.partialSince.Store(0)
	case used > 0 || c.partialSince.Load() == 0:
		c.partialSince.Store(now)
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
// how many bytes it needs. No frame has arrived later than receivedAt.
func (c *conn) splitFrames(buf []byte, in *reactor.Input, receivedAt core.Time) (batch []*frame, used, needed int) {
	for used < len(buf) && len(batch) < maxBatchFrames {
		f, n, need := c.reader.readFrame(buf[used:])
		if need > 0 {
			return batch, used, need
		}
		used += n
		if f != nil {
			f.receivedAt = min(receivedAt, in.ArrivedBy(used))
			batch = append(batch, f)
			if f.err != nil {
				c.readStopped = true
				return batch, len(buf), 0
			}
		}
	}
	return batch, used, 0
}

// handleBatch handles the frames that were read, while the account has space for what they ask for and the client reads what it has
// asked for before. A client that reads nothing is closed by the timeout of the write.
func (c *conn) handleBatch() {
	batch := c.batch
	c.lastUsed = c.front.loop.Now()
	for len(batch.frames) > 0 && !c.Ended && c.CloseReason == "" {
		if c.front.account.IsOver() {
			c.front.account.WhenFree(c.handleBatch)
			return
		}
		if c.QueuedBytes() > maxUnreadBytes {
			c.front.loop.At(c.front.loop.Now()+sweepInterval, c.handleBatch)
			return
		}
		next := batch.frames[0]
		batch.frames = batch.frames[1:]
		c.receivedAt = next.receivedAt
		c.handleOne(next)
	}
	c.batch = nil
	c.Hold(-batch.cost)
	c.ResumeInput()
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
