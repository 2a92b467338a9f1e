package http2

import "slices"

// streamState is the state of a stream for the frames that its client sends (RFC 9113, section 5.1). Every handler of a frame
// asks for it, so that they agree on which streams exist.
type streamState int

const (
	stateIdle       streamState = iota // not opened by the client yet; only HEADERS and PRIORITY are allowed
	stateOpen                          // the client has not ended it
	stateHalfClosed                    // the client has ended it, and its answer is not complete
	stateReset                         // reset by either side lately: frames may have been on their way, and are ignored
	stateClosed                        // answered, reset long ago, or left out by the client, which opened a higher one
)

// stateOf returns the state of a stream.
func (c *conn) stateOf(id uint32) streamState {
	s := c.streams[id]
	switch {
	case s != nil && s.requestEnded:
		return stateHalfClosed
	case s != nil:
		return stateOpen
	case id%2 == 0 || id > c.lastOpenedID:
		return stateIdle
	case c.resetStreams.has(id):
		return stateReset
	}
	return stateClosed
}

// recentStreams remembers the last 256 streams that were reset. Frames that the client sent on them before it saw the
// reset are no error.
type recentStreams struct {
	ring [256]uint32
	next int
	ids  map[uint32]bool
}

func newRecentStreams() *recentStreams { return &recentStreams{ids: map[uint32]bool{}} }

func (r *recentStreams) add(id uint32) {
	if r.ids[id] {
		return
	}
	delete(r.ids, r.ring[r.next])
	r.ring[r.next] = id
	r.ids[id] = true
	r.next = (r.next + 1) % len(r.ring)
}

func (r *recentStreams) has(id uint32) bool { return r.ids[id] }

// remove forgets a stream. Its place in the ring is cleared, since the stream may be added again.
func (r *recentStreams) remove(id uint32) {
	delete(r.ids, id)
	if i := slices.Index(r.ring[:], id); i >= 0 {
		r.ring[i] = 0
	}
}
