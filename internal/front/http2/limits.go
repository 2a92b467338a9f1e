package http2

import "cobaltflow/internal/core"

// Reasons of this front, as they stand in the log line of an ended connection, in the figures and on the operator's
// page.
const (
	ReasonHeaders  = "header-flood"  // a block of headers without an end
	ReasonResets   = "reset-flood"   // streams opened and reset faster than they are worth
	ReasonControl  = "control-flood" // SETTINGS, PING, PRIORITY and WINDOW_UPDATE beyond use
	ReasonEmpty    = "empty-flood"   // DATA without data
	ReasonWindow   = "window-full"   // the client left its window full
	ReasonSettings = "no-settings"   // it never sent, or never acknowledged, SETTINGS
	ReasonStreams  = "stream-flood"  // streams beyond the bound, again and again
)

// Limits of the front. Rates are of one connection.
type Limits struct {
	Connections  int
	Streams      int // at once, of a connection
	HeaderList   int // bytes of a decoded list (RFC 9113, section 6.5.2)
	HeaderTable  int // bytes of the HPACK table
	HeaderFrames int // frames of one block
	Unsent       int // bytes of answers that a connection's windows may hold back
	BodyBytes    int // of requests that are not whole, of a connection
	Stall        core.Time
	Settings     core.Time // within which SETTINGS, and their acknowledgement, have to come
	Idle         core.Time
	Drain        core.Time // between the first and the second GOAWAY
	ResetsPerS   float64
	ControlPerS  float64
	EmptyPerS    float64
}

// budget is a bucket that fills by a rate and holds a few seconds of it.
type budget struct {
	left float64
	at   core.Time
}

// burst is how many seconds' worth a budget holds.
const burst = 4

// spend takes one out; false: there is none left.
func (b *budget) spend(now core.Time, rate float64) bool {
	if b.at == 0 {
		b.left = burst * rate
	}
	b.left = min(burst*rate, b.left+rate*float64(now-b.at)/float64(core.Second))
	if b.at = now; b.left < 1 {
		return false
	}
	b.left--
	return true
}
