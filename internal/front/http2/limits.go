package http2

import "cobaltflow/internal/core"

// The reasons for which this front closes a connection. The log line of a closed connection, the stats and the
// operator's page show them.
const (
	ReasonHeaderFlood  = "header-flood"  // a field block without an end
	ReasonResetFlood   = "reset-flood"   // more streams reset than answered, at a higher rate than resets_per_s
	ReasonControlFlood = "control-flood" // SETTINGS, PING, PRIORITY and useless WINDOW_UPDATE at a higher rate than control_per_s
	ReasonEmptyFlood   = "empty-flood"   // DATA without data at a higher rate than empty_per_s
	ReasonWindowFull   = "window-full"   // the client left its window full
	ReasonNoSettings   = "no-settings"   // the client did not send or acknowledge SETTINGS in time
	ReasonStreamFlood  = "stream-flood"  // too many streams beyond the limit
)

// Limits of the front. Rates are per connection, in events per second.
type Limits struct {
	MaxConnections     int
	MaxStreams         int       // open at once, of a connection
	MaxHeaderListBytes int       // bytes of a decoded field section (RFC 9113, section 6.5.2)
	HeaderTableBytes   int       // bytes of the HPACK dynamic table
	MaxHeaderFrames    int       // frames of one field block
	MaxUnsentBytes     int       // bytes of answers that a connection's windows may hold back for all of StallTimeout
	MaxBodyBytes       int       // bytes of incomplete request bodies, of a connection
	StallTimeout       core.Time // how long a window may hold back data without progress
	SettingsTimeout    core.Time // for the client's SETTINGS and its acknowledgement of ours
	IdleTimeout        core.Time // of a connection without streams
	FinalGoAwayDelay   core.Time // between the first and the second GOAWAY
	ResetsPerS         float64
	ControlPerS        float64
	EmptyPerS          float64
}

// tokenBucket is a rate limit: it fills at a rate and holds burstSeconds of it. It starts full.
type tokenBucket struct {
	tokens    float64
	updatedAt core.Time
}

// burstSeconds is the size of a bucket, in seconds of its rate.
const burstSeconds = 4

// take takes one token; false: there is none left.
func (b *tokenBucket) take(now core.Time, rate float64) bool {
	b.fill(now, rate)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// credit adds one token, unless the bucket is full.
func (b *tokenBucket) credit(now core.Time, rate float64) {
	b.fill(now, rate)
	b.tokens = min(burstSeconds*rate, b.tokens+1)
}

// fill adds what has accrued since the last call.
func (b *tokenBucket) fill(now core.Time, rate float64) {
	if b.updatedAt == 0 {
		b.tokens = burstSeconds * rate
	}
	b.tokens = min(burstSeconds*rate, b.tokens+rate*float64(now-b.updatedAt)/float64(core.Second))
	b.updatedAt = now
}
