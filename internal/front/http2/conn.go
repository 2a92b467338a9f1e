package http2

import (
	"encoding/binary"

	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
)

// write appends frames; all frames of a turn are sent in one write.
func (c *conn) write(b []byte) {
	if c.Ended || c.ClosedLocally || c.isAbandoned {
		return
	}
	if len(c.output) >= link.MaxPartBytes {
		c.sendOutput(false)
	}
	c.output = append(c.output, b...)
	c.countKept()
	if !c.isDirty {
		c.isDirty = true
		c.front.connsToFlush = append(c.front.connsToFlush, c)
	}
}

func (c *conn) flush() {
	c.isDirty = false
	if len(c.output) > 0 {
		c.sendOutput(c.CloseReason != "")
	}
}

func (c *conn) sendOutput(closeAfter bool) {
	out := c.output
	c.output = nil
	c.countKept()
	c.Send(c.front.loop, link.Outgoing{Message: out, CloseAfter: closeAfter})
}

// countKept tells the account how many bytes the front keeps for the connection.
func (c *conn) countKept() {
	c.SetKept(len(c.output) + c.unsentBytes + c.bodyBytes + c.headerBytes)
}

// dropBuffers drops the answers that are not sent, as the connection is about to be closed over the account's limit.
func (c *conn) dropBuffers() {
	c.isAbandoned = true
	for _, s := range c.blockedStreams {
		s.unsent = nil
	}
	c.output, c.blockedStreams, c.unsentBytes = nil, nil, 0
}

// closeWithGoAway sends a GOAWAY and closes the connection; the log shows the reason. Its open streams end as if the
// client had reset them.
func (c *conn) closeWithGoAway(code Code, reason, text string) {
	if c.CloseReason != "" {
		return
	}
	c.write(appendGoAway(nil, c.lastAcceptedID, code, text))
	c.CloseReason = reason
	c.DiscardInput()
	for _, s := range c.streams {
		s.disconnect()
	}
	clear(c.streams)
	c.blockedStreams, c.unsentBytes = nil, 0
}

// fail closes the connection for an error of the client.
func (c *conn) fail(e *connError) {
	reason := e.reason
	if reason == "" {
		reason = link.BadInput
	}
	c.closeWithGoAway(e.code, reason, e.text)
}

// sendGoAway announces the shutdown of the front: with the highest possible stream ID first, then with the last
// accepted one.
func (c *conn) sendGoAway(last uint32) {
	if c.CloseReason == "" {
		c.isGoingAway = true
		c.write(appendGoAway(nil, last, NoError, ""))
	}
}

// reset resets a stream with RST_STREAM.
func (c *conn) reset(id uint32, code Code) {
	c.write(appendRSTStream(nil, id, code))
	c.resetStreams.add(id)
	if s := c.streams[id]; s != nil {
		s.disconnect()
		c.removeStream(s)
	}
}

// removeStream removes a closed stream and its bytes from the connection's counts. A body that the core still uses counts
// until it is released.
func (c *conn) removeStream(s *stream) {
	delete(c.streams, s.id)
	c.unsentBytes -= len(s.unsent)
	c.headerBytes -= s.header.size
	if s.request == nil {
		s.uncountBody()
	}
	c.closedUnreturned.addClosed(s.unreturned, c.front.limits.MaxStreams)
	s.unsent, s.closed = nil, true
	c.countKept()
	c.lastUsed = c.front.loop.Now()
}

// handleFrame handles one frame. The error, if any, closes the connection.
func (c *conn) handleFrame(f *frame) *connError {
	now, k := c.front.loop.Now(), &c.front.limits
	switch f.kind {
	case frameHeaders:
		return c.handleHeaders(f)
	case frameData:
		return c.handleData(f)
	case frameSettings, framePing, framePriority:
		isOwed := f.kind == frameSettings && f.flags&flagAck != 0 && !c.settingsAcked // the acknowledgement of ours
		if !isOwed && !c.controlBudget.take(now, k.ControlPerS) {
			return &connError{code: EnhanceYourCalm, reason: ReasonControlFlood, text: "too many control frames"}
		}
	}
	switch f.kind {
	case frameSettings:
		return c.handleSettings(f)
	case framePing:
		if f.flags&flagAck == 0 {
			c.write(appendPingAck(nil, f.data))
		}
	case frameRSTStream:
		return c.handleReset(f)
	case frameWindowUpdate:
		return c.handleWindowUpdate(f)
	case frameGoAway:
		c.isGoingAway = true // the client opens no more streams; the open ones go on
	}
	return nil
}

// creditControlFrame gives credit for one control frame, so that frames that come with each stream, each reset or each round trip
// of data are no flood at any rate.
func (c *conn) creditControlFrame() {
	c.controlBudget.credit(c.front.loop.Now(), c.front.limits.ControlPerS)
}

// handleSettings applies the client's SETTINGS and acknowledges them, or notes the acknowledgement of ours.
func (c *conn) handleSettings(f *frame) *connError {
	if f.flags&flagAck != 0 {
		c.settingsAcked = true
		return nil
	}
	c.settingsReceived = true
	for p := f.data; len(p) > 0; p = p[6:] {
		id, v := binary.BigEndian.Uint16(p), binary.BigEndian.Uint32(p[2:])
		switch id {
		case settingHeaderTableSize:
			c.encoder.SetMaxDynamicTableSizeLimit(min(v, uint32(c.front.limits.HeaderTableBytes)))
		case settingEnablePush:
			if v > 1 {
				return connErrorf(ProtocolError, "ENABLE_PUSH %d (RFC 9113, section 6.5.2)", v)
			}
		case settingInitialWindowSize:
			if v > maxWindow {
				return connErrorf(FlowControlError, "INITIAL_WINDOW_SIZE %d (RFC 9113, section 6.5.2)", v)
			}
			delta := int64(v) - c.initialSendWindow
			c.initialSendWindow = int64(v)
			for _, s := range c.streams {
				if s.sendWindow += delta; s.sendWindow > maxWindow {
					return connErrorf(FlowControlError, "a window over 2^31-1 (RFC 9113, section 6.9.2)")
				}
			}
		case settingMaxFrameSize:
			if v < defaultMaxFrame || v > maxMaxFrame {
				return connErrorf(ProtocolError, "MAX_FRAME_SIZE %d (RFC 9113, section 6.5.2)", v)
			}
			c.maxSendFrame = int(min(v, 64<<10))
		}
	}
	c.write(appendFrameHeader(nil, 0, frameSettings, flagAck, 0))
	c.sendBlockedData()
	return nil
}

// handleReset handles a client's RST_STREAM. A stream that is reset before its answer is charged to the reset budget,
// since its work was wasted (the rapid reset attack). Each answered request gives credit for one: streams that are answered are
// limited by max_streams, and a client that stands for many people cancels as they leave.
func (c *conn) handleReset(f *frame) *connError {
	if c.stateOf(f.streamID) == stateIdle {
		return connErrorf(ProtocolError, "RST_STREAM of idle stream %d (RFC 9113, section 6.4)", f.streamID)
	}
	s := c.streams[f.streamID]
	if s == nil {
		return nil
	}
	c.front.Stats.Resets++
	c.creditControlFrame() // a client may check by a PING that the connection works
	unanswered := !s.answered
	s.disconnect()
	c.resetStreams.add(s.id)
	c.removeStream(s)
	if unanswered && !c.resetBudget.take(c.front.loop.Now(), c.front.limits.ResetsPerS) {
		return &connError{code: EnhanceYourCalm, reason: ReasonResetFlood, text: "streams are reset faster than they are worth"}
	}
	return nil
}

// handleHeaders opens a stream, or ends the body of one with trailers.
func (c *conn) handleHeaders(f *frame) *connError {
	switch c.stateOf(f.streamID) {
	case stateIdle:
		return c.openStream(f)
	case stateOpen:
		c.streams[f.streamID].addTrailers(f)
	case stateHalfClosed:
		c.reset(f.streamID, StreamClosed)
	case stateReset:
		// The client sent it before it saw the reset. Behind its last field block it sends nothing any more.
		c.resetStreams.remove(f.streamID)
	case stateClosed:
		return c.rejectHeadersOnClosed(f)
	}
	return nil
}

// rejectHeadersOnClosed rejects a field block on a stream that is closed. A request there uses its identifier again, which is a
// connection error; trailers may belong to a stream that was reset so long ago that nothing is known of it any more.
func (c *conn) rejectHeadersOnClosed(f *frame) *connError {
	if f.header.hasPseudo {
		return connErrorf(ProtocolError, "HEADERS on closed stream %d (RFC 9113, section 5.1.1)", f.streamID)
	}
	if !c.controlBudget.take(c.front.loop.Now(), c.front.limits.ControlPerS) {
		return &connError{code: EnhanceYourCalm, reason: ReasonControlFlood, text: "too many trailers on closed streams"}
	}
	c.write(appendRSTStream(nil, f.streamID, StreamClosed))
	return nil
}

// openStream opens a stream for a new request, or refuses it. The reader has checked that its ID is odd.
func (c *conn) openStream(f *frame) *connError {
	h, limits := f.header, &c.front.limits
	c.lastOpenedID = f.streamID
	isLookUp := c.isOpenedLate && f.flags&flagEndStream != 0 && h.isLocal()
	if c.front.finalGoAwaySent && !isLookUp {
		// Past the last stream of the GOAWAY: it was never accepted, so the client may send it elsewhere.
		c.refuse(f)
		return nil
	}
	c.lastAcceptedID = f.streamID
	if len(c.streams) >= limits.MaxStreams {
		// Never accepted, so it may be sent again. Until the client has acknowledged our SETTINGS it cannot know the
		// limit, and is not charged.
		c.refuse(f)
		if c.settingsAcked && !c.excessStreamBudget.take(c.front.loop.Now(), limits.ResetsPerS) {
			return &connError{code: EnhanceYourCalm, reason: ReasonStreamFlood, text: "more streams than MAX_CONCURRENT_STREAMS, again and again"}
		}
		return nil
	}
	c.front.Stats.Streams++
	c.creditControlFrame() // a client may give each of its streams a PRIORITY
	c.emptyDataBudget.credit(c.front.loop.Now(), limits.EmptyPerS)
	s := &stream{conn: c, id: f.streamID, openedAt: c.front.loop.Now(), header: h, sendWindow: c.initialSendWindow, recvWindow: defaultWindow}
	c.streams[s.id] = s
	c.headerBytes += h.size
	c.countKept()
	s.begin(f.flags&flagEndStream != 0)
	return nil
}

// refuse resets a new stream that is not accepted.
func (c *conn) refuse(f *frame) {
	c.front.Stats.Refused++
	c.reset(f.streamID, RefusedStream)
}

// handleData takes a part of a body. Flow control counts the whole frame with its padding, even if the frame is
// dropped.
func (c *conn) handleData(f *frame) *connError {
	now, limits := c.front.loop.Now(), &c.front.limits
	state := c.stateOf(f.streamID)
	if state == stateIdle {
		return connErrorf(ProtocolError, "DATA on idle stream %d (RFC 9113, section 5.1)", f.streamID)
	}
	if c.recvWindow -= int64(f.length); c.recvWindow < 0 {
		return connErrorf(FlowControlError, "more DATA than the connection's window (RFC 9113, section 6.9)")
	}
	if c.recvWindow < defaultWindow/2 {
		c.write(appendWindowUpdate(nil, 0, int(defaultWindow-c.recvWindow)))
		c.recvWindow = defaultWindow
	}
	if end := f.flags&flagEndStream != 0; len(f.data) == 0 && !end && !c.emptyDataBudget.take(now, limits.EmptyPerS) {
		return &connError{code: EnhanceYourCalm, reason: ReasonEmptyFlood, text: "DATA without data, again and again"}
	}
	switch state {
	case stateClosed, stateHalfClosed:
		c.reset(f.streamID, StreamClosed)
	case stateOpen:
		s := c.streams[f.streamID]
		if s.recvWindow -= int64(f.length); s.recvWindow < 0 {
			c.reset(s.id, FlowControlError)
			return nil
		}
		s.addBody(f.data, f.flags&flagEndStream != 0)
	}
	return nil
}

var _ core.Client = (*stream)(nil)
