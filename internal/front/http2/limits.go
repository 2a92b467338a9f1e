package http2

import "cobaltflow/internal/core"

// Reasons of this front, as they stand in the log line of an ended connection, in the figures and on the operator's
// page.
const (
	ReasonHeaderFlood  = "header-flood"  // a block of headers without an end
	ReasonResetFlood   = "reset-flood"   // streams opened and reset faster than they are worth
	ReasonControlFlood = "control-flood" // SETTINGS, PING, PRIORITY and WINDOW_UPDATE beyond use
	ReasonEmptyFlood   = "empty-flood"   // DATA without data
	ReasonWindowFull   = "window-full"   // the client left its window full
	ReasonNoSettings   = "no-settings"   // it never sent, or never acknowledged, SETTINGS
	ReasonStreamFlood  = "stream-flood"  // streams beyond the bound, again and again
)

// Limits of the front. Rates are of one connection.
type Limits struct {
	MaxConnections     int
	MaxStreams         int // at once, of a connection
	MaxHeaderListBytes int // bytes of a decoded list (RFC 9113, section 6.5.2)
	HeaderTableBytes   int // bytes of the HPACK table
	MaxHeaderFrames    int // frames of one block
	MaxUnsentBytes     int // bytes of answers that a connection's windows may hold back
	MaxBodyBytes       int // of requests that are not whole, of a connection
	StallTimeout       core.Time
	SettingsTimeout    core.Time // within which SETTINGS, and their acknowledgement, have to come
	IdleTimeout        core.Time
	FinalGoAwayDelay   core.Time // between the first and the second GOAWAY
	ResetsPerS         float64
	ControlPerS        float64
	EmptyPerS          float64
}

// budget is a bucket that fills by a rate and holds a few seconds of it.
type tokenBucket struct {
	tokens    float64
	updatedAt core.Time
}

// burst is how many seconds' worth a budget holds.
const burstSeconds = 4

// spend takes one out; false: there is none left.
func (b *tokenBucket) take(now core.Time, rate float64) bool {
	if b.updatedAt == 0 {
		b.tokens = burstSeconds * rate
	}
	b.tokens = min(burstSeconds*rate, b.tokens+rate*float64(now-b.updatedAt)/float64(core.Second))
	if b.updatedAt = now; b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
