package http2

import (
	"encoding/binary"

	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
)

// write adds frames; all of a turn leave in one piece.
func (c *conn) write(b []byte) {
	if c.Ended || c.ClosedLocally {
		return
	}
	c.out = append(c.out, b...)
	if !c.marked {
		c.marked = true
		c.front.dirty = append(c.front.dirty, c)
	}
}

func (c *conn) flush() {
	c.marked = false
	if out := c.out; len(out) > 0 {
		c.out = nil
		c.Send(c.front.loop, link.Outgoing{Message: out, CloseAfter: c.CloseReason != ""})
	}
}

// goAway ends the connection with a GOAWAY and, in the log, a reason. Streams that were taken end as if reset.
func (c *conn) goAway(code Code, reason, text string) {
	if c.CloseReason != "" {
		return
	}
	c.write(appendGoAway(nil, c.highest, code, text))
	c.CloseReason = reason
	c.DiscardInput()
	for _, s := range c.streams {
		s.abandon()
	}
	clear(c.streams)
	c.waiting, c.unsent = nil, 0
}

func (c *conn) fail(e *connError) {
	reason := e.reason
	if reason == "" {
		reason = link.BadInput
	}
	c.goAway(e.code, reason, e.text)
}

// warn tells that the front ends: with the highest possible stream first, then with the last one taken.
func (c *conn) warn(last uint32) {
	if c.CloseReason == "" {
		c.warned = true
		c.write(appendGoAway(nil, last, NoError, ""))
	}
}

// reset ends a stream from our side.
func (c *conn) reset(id uint32, code Code) {
	c.write(appendReset(nil, id, code))
	c.rest.add(id)
	if s := c.streams[id]; s != nil {
		s.abandon()
		c.forget(s)
	}
}

// forget lets go of a stream that is closed.
func (c *conn) forget(s *stream) {
	delete(c.streams, s.id)
	c.unsent -= len(s.out)
	c.bodies -= len(s.body)
	s.out, s.gone = nil, true
	c.used = c.front.loop.Now()
}

// frame handles one frame, by its type. An error is the connection's.
func (c *conn) frame(f *frame) *connError {
	now, k := c.front.loop.Now(), &c.front.limits
	switch f.kind {
	case frameHeaders:
		return c.headers(f)
	case frameData:
		return c.data(f)
	case frameSettings, framePing, framePriority:
		if !c.control.spend(now, k.ControlPerS) {
			return &connError{code: EnhanceYourCalm, reason: ReasonControl, text: "too many control frames"}
		}
	}
	switch f.kind {
	case frameSettings:
		return c.settings(f)
	case framePing:
		if f.flags&flagAck == 0 {
			c.write(appendPingAck(nil, f.data))
		}
	case frameReset:
		return c.resetBy(f)
	case frameWindow:
		return c.windowUpdate(f)
	case frameGoAway:
		c.warned = true // it opens no more streams; those it has go on
	}
	return nil
}

// idle tells of a stream that nobody has opened yet (RFC 9113, section 5.1).
func (c *conn) idle(id uint32) bool { return id > c.highest || id%2 == 0 }

func (c *conn) settings(f *frame) *connError {
	if f.flags&flagAck != 0 {
		c.acked = true
		return nil
	}
	c.settled = true
	for p := f.data; len(p) > 0; p = p[6:] {
		id, v := binary.BigEndian.Uint16(p), binary.BigEndian.Uint32(p[2:])
		switch id {
		case settingTableSize:
			c.encoder.SetMaxDynamicTableSizeLimit(min(v, uint32(c.front.limits.HeaderTable)))
		case settingEnablePush:
			if v > 1 {
				return connFault(ProtocolError, "ENABLE_PUSH %d (RFC 9113, section 6.5.2)", v)
			}
		case settingInitialWindow:
			if v > mostWindow {
				return connFault(FlowControlError, "INITIAL_WINDOW_SIZE %d (RFC 9113, section 6.5.2)", v)
			}
			by := int64(v) - c.peerWindow
			c.peerWindow = int64(v)
			for _, s := range c.streams {
				if s.window += by; s.window > mostWindow {
					return connFault(FlowControlError, "a window over 2^31-1 (RFC 9113, section 6.9.2)")
				}
			}
		case settingMaxFrame:
			if v < usualMaxFrame || v > mostMaxFrame {
				return connFault(ProtocolError, "MAX_FRAME_SIZE %d (RFC 9113, section 6.5.2)", v)
			}
			c.peerFrame = int(min(v, 64<<10))
		}
	}
	c.write(appendFrame(nil, 0, frameSettings, flagAck, 0))
	c.push()
	return nil
}

func (c *conn) windowUpdate(f *frame) *connError {
	by := int64(binary.BigEndian.Uint32(f.data) & mostWindow)
	if f.stream == 0 {
		if by == 0 {
			return connFault(ProtocolError, "WINDOW_UPDATE by 0 (RFC 9113, section 6.9)")
		}
		if c.window += by; c.window > mostWindow {
			return connFault(FlowControlError, "a window over 2^31-1 (RFC 9113, section 6.9.1)")
		}
		return c.useful(c.push())
	}
	if c.idle(f.stream) {
		return connFault(ProtocolError, "WINDOW_UPDATE of idle stream %d (RFC 9113, section 5.1)", f.stream)
	}
	s := c.streams[f.stream]
	if s == nil {
		return c.useful(false)
	}
	if by == 0 {
		c.reset(s.id, ProtocolError)
		return nil
	}
	if s.window += by; s.window > mostWindow {
		c.reset(s.id, FlowControlError)
		return nil
	}
	return c.useful(c.push())
}

// useful takes a WINDOW_UPDATE that let something go for nothing, and any other from the budget of control frames.
func (c *conn) useful(moved bool) *connError {
	if !moved && !c.control.spend(c.front.loop.Now(), c.front.limits.ControlPerS) {
		return &connError{code: EnhanceYourCalm, reason: ReasonControl, text: "too many window updates of no use"}
	}
	return nil
}

// resetBy takes a client's RST_STREAM. A stream that was opened and reset before its answer cost work for nothing.
func (c *conn) resetBy(f *frame) *connError {
	if c.idle(f.stream) {
		return connFault(ProtocolError, "RST_STREAM of idle stream %d (RFC 9113, section 6.4)", f.stream)
	}
	s := c.streams[f.stream]
	if s == nil {
		return nil
	}
	c.front.Figures.Resets++
	unanswered := !s.answered
	s.abandon()
	c.rest.add(s.id)
	c.forget(s)
	if unanswered && !c.resets.spend(c.front.loop.Now(), c.front.limits.ResetsPerS) {
		return &connError{code: EnhanceYourCalm, reason: ReasonResets, text: "streams are reset faster than they are worth"}
	}
	return nil
}

// headers opens a stream, or ends one's body with trailers.
func (c *conn) headers(f *frame) *connError {
	h, k := f.request, &c.front.limits
	end := f.flags&flagEndStream != 0
	if s := c.streams[f.stream]; s != nil {
		switch {
		case s.ended:
			return connFault(StreamClosed, "HEADERS on half-closed stream %d (RFC 9113, section 5.1)", s.id)
		case !end || h.pseudo || h.bad != "" || h.tooLarge:
			c.reset(s.id, ProtocolError) // trailers end the body, and have no pseudo-header fields (section 8.1)
		default:
			s.whole()
		}
		return nil
	}
	if f.stream <= c.highest {
		if c.rest.has(f.stream) {
			return nil // it was on its way when we, or the client, reset the stream
		}
		return connFault(StreamClosed, "HEADERS on closed stream %d (RFC 9113, section 5.1.1)", f.stream)
	}
	if c.front.last {
		// Past the last stream of the GOAWAY: it was never taken, and the client may send it elsewhere.
		c.front.Figures.Refused++
		c.write(appendReset(nil, f.stream, RefusedStream))
		return nil
	}
	c.highest = f.stream
	if len(c.streams) >= k.Streams {
		// Never taken, so it may be sent again. Before our SETTINGS are known it is no fault of the client's.
		c.front.Figures.Refused++
		c.write(appendReset(nil, f.stream, RefusedStream))
		c.rest.add(f.stream)
		if c.acked && !c.over.spend(c.front.loop.Now(), k.ResetsPerS) {
			return &connError{code: EnhanceYourCalm, reason: ReasonStreams, text: "more streams than MAX_CONCURRENT_STREAMS, again and again"}
		}
		return nil
	}
	c.front.Figures.Streams++
	s := &stream{conn: c, id: f.stream, head: h, window: c.peerWindow, received: usualWindow}
	c.streams[s.id] = s
	if h.checkRequest(); h.bad != "" {
		c.reset(s.id, ProtocolError)
		return nil
	}
	if h.tooLarge {
		s.refuse(431, "the header list is over max_header_kb")
		return nil
	}
	if end {
		s.whole()
	} else {
		s.early()
	}
	return nil
}

// data takes a part of a body. Flow control counts it whole, padding too, whatever becomes of it.
func (c *conn) data(f *frame) *connError {
	now, k := c.front.loop.Now(), &c.front.limits
	if c.idle(f.stream) {
		return connFault(ProtocolError, "DATA on idle stream %d (RFC 9113, section 5.1)", f.stream)
	}
	if c.received -= int64(f.length); c.received < 0 {
		return connFault(FlowControlError, "more DATA than the connection's window (RFC 9113, section 6.9)")
	}
	if c.received < usualWindow/2 {
		c.write(appendWindow(nil, 0, int(usualWindow-c.received)))
		c.received = usualWindow
	}
	if end := f.flags&flagEndStream != 0; len(f.data) == 0 && !end && !c.empty.spend(now, k.EmptyPerS) {
		return &connError{code: EnhanceYourCalm, reason: ReasonEmpty, text: "DATA without data, again and again"}
	}
	s := c.streams[f.stream]
	if s == nil {
		if !c.rest.has(f.stream) {
			c.write(appendReset(nil, f.stream, StreamClosed))
			c.rest.add(f.stream)
		}
		return nil
	}
	if s.ended {
		c.reset(s.id, StreamClosed)
		return nil
	}
	if s.received -= int64(f.length); s.received < 0 {
		c.reset(s.id, FlowControlError)
		return nil
	}
	s.take(f.data, f.flags&flagEndStream != 0)
	return nil
}

// stalled ends a connection whose client has left its windows full for too long.
func (c *conn) stalled() {
	for _, s := range append([]*stream(nil), c.waiting...) {
		if !s.gone {
			c.reset(s.id, Cancel)
		}
	}
	c.goAway(EnhanceYourCalm, ReasonWindow, "the window stayed full")
}

// forgotten remembers the last streams that were reset: what comes on them was on its way.
type forgotten struct {
	ring [256]uint32
	next int
	set  map[uint32]bool
}

func newForgotten() *forgotten { return &forgotten{set: map[uint32]bool{}} }

func (r *forgotten) add(id uint32) {
	if r.set[id] {
		return
	}
	delete(r.set, r.ring[r.next])
	r.ring[r.next] = id
	r.set[id] = true
	r.next = (r.next + 1) % len(r.ring)
}

func (r *forgotten) has(id uint32) bool { return r.set[id] }

var _ core.Client = (*stream)(nil)
