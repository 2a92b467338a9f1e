package http2

import (
	"encoding/binary"

	"cobaltflow/internal/front/admission"
)

// windowUpdateBytes is the size of a WINDOW_UPDATE frame. An update that returns fewer bytes takes more than it gives.
const windowUpdateBytes = frameHeaderBytes + 4

// unreturnedData is DATA that was sent and that the client has not returned by WINDOW_UPDATE yet. It bounds the client's updates by
// what they are of use for, whatever their size and rate: a sound client returns what it has read, and no more.
type unreturnedData struct {
	bytes  int64
	frames int // each also allows an update that returns less than windowUpdateBytes
}

// add counts a DATA frame that was sent.
func (d *unreturnedData) add(bytes int) {
	d.bytes += int64(bytes)
	d.frames++
}

// giveBack takes off what an update returns, and reports whether that makes it useful. An update by more than was sent raises the
// window, and returns nothing.
func (d *unreturnedData) giveBack(increment int64) (isUseful bool) {
	isReturn := increment <= d.bytes
	if isReturn {
		d.bytes -= increment
	}
	isUseful = isReturn && increment >= windowUpdateBytes
	if !isUseful && d.frames > 0 {
		d.frames--
		isUseful = true
	}
	if d.bytes == 0 {
		d.frames = 0
	}
	return isUseful
}

// addClosed takes over the data of a stream that is closed, which its client may still return, up to what maxStreams streams
// carry.
func (d *unreturnedData) addClosed(closed unreturnedData, maxStreams int) {
	maxBytes := int64(maxStreams) * admission.MaxBody
	d.bytes = min(d.bytes+closed.bytes, maxBytes)
	d.frames = min(d.frames+closed.frames, int(maxBytes/defaultMaxFrame))
}

// handleWindowUpdate opens a send window and sends the data that it held back.
func (c *conn) handleWindowUpdate(f *frame) *connError {
	increment := int64(binary.BigEndian.Uint32(f.data) & maxWindow)
	if f.streamID == 0 {
		return c.raiseConnWindow(increment)
	}
	if c.stateOf(f.streamID) == stateIdle {
		return connErrorf(ProtocolError, "WINDOW_UPDATE of idle stream %d (RFC 9113, section 5.1)", f.streamID)
	}
	s := c.streams[f.streamID]
	if s == nil {
		return c.chargeUpdate(c.closedUnreturned.giveBack(increment))
	}
	if increment == 0 {
		c.reset(s.id, ProtocolError)
		return nil
	}
	if s.sendWindow += increment; s.sendWindow > maxWindow {
		c.reset(s.id, FlowControlError)
		return nil
	}
	isFirst := !s.windowRaised // a client may raise the window of each of its streams
	s.windowRaised = true
	isReturn := s.unreturned.giveBack(increment)
	return c.chargeUpdate(c.sendBlockedData() || isReturn || isFirst)
}

// raiseConnWindow opens the connection's send window.
func (c *conn) raiseConnWindow(increment int64) *connError {
	if increment == 0 {
		return connErrorf(ProtocolError, "WINDOW_UPDATE by 0 (RFC 9113, section 6.9)")
	}
	if c.sendWindow += increment; c.sendWindow > maxWindow {
		return connErrorf(FlowControlError, "a window over 2^31-1 (RFC 9113, section 6.9.1)")
	}
	isReturn := c.unreturned.giveBack(increment)
	return c.chargeUpdate(c.sendBlockedData() || isReturn)
}

// chargeUpdate charges a WINDOW_UPDATE to the budget of control frames if it was of no use: it returned no data that was sent, and
// let no data be sent.
func (c *conn) chargeUpdate(wasUseful bool) *connError {
	if !wasUseful && !c.controlBudget.take(c.front.loop.Now(), c.front.limits.ControlPerS) {
		return &connError{code: EnhanceYourCalm, reason: ReasonControlFlood, text: "too many window updates of no use"}
	}
	return nil
}
