package http2

import (
	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
)

const (
	// messageTimeout is how long a request may take to come whole, as for the HTTP/1.1 front.
	messageTimeout = 2 * core.Second
	// evictableAfter is how long a connection without a stream has not been used before it gives way to a new one.
	evictableAfter = core.Second / 5
	// drainGrace is how long a connection without a stream stays open while clients are sent to other schedulers.
	drainGrace = core.Second / 5
)

// SetIsReady sets the function that tells whether new clients are accepted, which GET /-/ready answers. It must be called
// before Start.
func (f *Front) SetIsReady(isReady func() bool) { f.isReady = isReady }

// SetClientsDraining begins or ends a drain of the clients, which operators or a handover ask for: each connection gets a GOAWAY
// and is closed once it has no stream. Requests that come all the same are served.
func (f *Front) SetClientsDraining(draining bool) {
	if f.clientsDraining = draining; !draining || f.draining {
		return
	}
	f.conns.Each(func(_ core.Ref, c *conn) { c.sendGoAway(maxStreamID) })
}

// isUnusedSince reports whether the connection has no stream and has had none, and no frame, since a time.
func (c *conn) isUnusedSince(since core.Time) bool { return len(c.streams) == 0 && c.lastUsed < since }

// closeIdleFor closes the connection without a stream that was used least recently, in favour of a new one. It returns false
// if there is none that has been unused for a moment.
func (f *Front) closeIdleFor(newest *conn) bool {
	var oldest *conn
	since := f.loop.Now() - evictableAfter
	closing := 0
	f.conns.Each(func(_ core.Ref, c *conn) {
		switch {
		case c.CloseReason != "" || c.ClosedLocally:
			closing++
		case c != newest && c.isUnusedSince(since) && (oldest == nil || c.lastUsed < oldest.lastUsed):
			oldest = c
		}
	})
	if f.conns.Len()-closing <= f.limits.MaxConnections {
		return true
	}
	if oldest == nil {
		return false
	}
	oldest.closeWithGoAway(NoError, link.OverBudget, "")
	return true
}

// hasWholeRequest reports whether a request that came whole is open. The connection is kept for its answer, however slowly
// another one comes in.
func (c *conn) hasWholeRequest() bool {
	for _, s := range c.streams {
		if s.requestEnded {
			return true
		}
	}
	return false
}

// endSlowRequests answers requests that have not come whole in time with 408, and closes a connection whose field block has
// not.
func (c *conn) endSlowRequests(now core.Time) {
	if since := c.partialSince.Load(); since > 0 && now-since > messageTimeout && !c.hasWholeRequest() && !c.MayHaveMessage() {
		c.closeWithGoAway(EnhanceYourCalm, link.SlowInput, "a frame did not come whole in time")
		return
	}
	if since := c.blockSince.Load(); since > 0 && now-since > messageTimeout && !c.hasWholeRequest() && !c.MayHaveMessage() {
		c.closeWithGoAway(EnhanceYourCalm, link.SlowInput, "a block of headers did not come whole in time")
		return
	}
	for _, s := range c.streams {
		if !s.requestEnded && !s.answered && now-s.openedAt > messageTimeout && !c.MayHaveMessage() {
			s.rejectEarly(408, "no whole request came in time")
		}
	}
}

// isStalled reports whether answers have waited for a window for too long without progress. A client that reads makes progress in
// each round trip, so answers beyond MaxUnsentBytes are held too, but the more bytes wait, the shorter they may.
func (c *conn) isStalled(now core.Time) bool {
	if c.unsentBytes == 0 {
		return false
	}
	timeout, limit := c.front.limits.StallTimeout, c.front.limits.MaxUnsentBytes
	if c.unsentBytes > limit {
		timeout = timeout * core.Time(limit) / core.Time(c.unsentBytes)
	}
	return now-c.lastProgress > timeout
}

// resetStalled resets the streams of a stalled connection whose answers wait for a window: the last ones as far as they are beyond
// MaxUnsentBytes, or else all. The connection goes on while it has other requests in hand, which may fit the windows that are
// left; else it is closed.
func (c *conn) resetStalled() {
	blocked := c.blockedStreams
	if limit := c.front.limits.MaxUnsentBytes; c.unsentBytes > limit {
		for i := len(blocked) - 1; i >= 0 && c.unsentBytes > limit; i-- {
			c.resetBlocked(blocked[i], EnhanceYourCalm)
			c.blockedStreams = blocked[:i]
		}
		return
	}
	c.blockedStreams = nil
	for _, s := range blocked {
		c.resetBlocked(s, Cancel)
	}
	if len(c.streams) == 0 {
		c.closeWithGoAway(EnhanceYourCalm, ReasonWindowFull, "the window stayed full")
	}
}

// resetBlocked resets a stream whose answer waits for a window. Its client can look the answer up under PathJobs.
func (c *conn) resetBlocked(s *stream, code Code) {
	if !s.closed {
		c.reset(s.id, code)
	}
}
