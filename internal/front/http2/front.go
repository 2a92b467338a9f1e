// Package http2 is the HTTP/2 front for clients (RFC 9113, without TLS, by prior knowledge): frames, HPACK, streams and
// flow control. It hands requests to package admission, as the HTTP/1.1 front does; package gateway starts and stops
// it. Workers' callbacks are served by the HTTP/1.1 front only.
package http2

import (
	"bytes"
	"log/slog"
	"sync/atomic"

	"golang.org/x/net/http2/hpack"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/front/admission"
	"cobaltflow/internal/link"
	"cobaltflow/internal/reactor"
)

const (
	sweepInterval  = 50 * core.Millisecond
	maxBatchFrames = 32      // frames handed to the loop at once, which bounds a connection's work in a turn
	maxUnreadBytes = 4 << 20 // bytes that a client may leave unread in its socket before its frames wait

	// Connections over max_connections that may be open, until their clients have read why: a quarter, and at least so many.
	rejectedConnsShare = 4
	minRejectedConns   = 8
)

// Front is the HTTP/2 front. All its fields belong to the loop.
type Front struct {
	loop      *core.Loop
	core      *core.Core
	conf      *config.Config
	log       *slog.Logger
	limits    Limits
	admission *admission.Controller
	ledger    *admission.Ledger
	account   *link.Account // of the bytes that all fronts hold for their clients

	link.FrontListener
	poller          *reactor.Poller
	conns           core.SlotMap[*conn]
	connsToFlush    []*conn
	isReady         func() bool // whether new clients are accepted, see SetIsReady
	clientsDraining bool        // clients are sent to other schedulers, see SetClientsDraining
	draining        bool
	finalGoAwaySent bool // the second GOAWAY has been sent
	closed          bool
	Stats           Stats
}

// Stats are counters since the start of the process.
type Stats struct {
	Connections, Streams, Answered, Resets, Refused uint64
	ClosedByReason                                  map[string]uint64 // connections that the front closed, by reason
}

// New makes the front; Start opens it. Its connections are the poller's.
func New(c *core.Core, conf *config.Config, controller *admission.Controller, account *link.Account, poller *reactor.Poller, log *slog.Logger) *Front {
	cfg := &conf.HTTP2
	return &Front{poller: poller, loop: c.Loop, core: c, conf: conf, log: log, admission: controller, account: account, Stats: Stats{ClosedByReason: map[string]uint64{}},
		isReady: func() bool { return true },
		ledger:  admission.NewLedger(cfg.MaxEndedJobs, cfg.MaxEndedMB<<20, core.Time(cfg.EndedRetentionS*float64(core.Second))),
		limits: Limits{MaxConnections: cfg.MaxConnections, MaxStreams: cfg.MaxStreams, MaxHeaderListBytes: cfg.MaxHeaderKB << 10, HeaderTableBytes: cfg.HeaderTableBytes,
			MaxHeaderFrames: 16, MaxUnsentBytes: cfg.MaxUnsentKB << 10, MaxBodyBytes: cfg.MaxBodyKB << 10, StallTimeout: core.Time(cfg.StallTimeoutMS) * core.Millisecond,
			SettingsTimeout: core.Time(cfg.SettingsTimeoutMS) * core.Millisecond, IdleTimeout: core.Time(cfg.IdleTimeoutS) * core.Second, FinalGoAwayDelay: core.Second,
			ResetsPerS: float64(cfg.ResetsPerS), ControlPerS: float64(cfg.ControlPerS), EmptyPerS: float64(cfg.EmptyPerS)}}
}

// Start opens the listener and begins to serve; a *config.Error says that the address cannot be used.
func (f *Front) Start() error {
	ln, err := link.Listen(f.conf.HTTP2.Listen)
	if err != nil {
		return &config.Error{Key: "http2.listen", Text: err.Error()}
	}
	f.FrontListener = link.NewFrontListener(link.NewDrainingListener(ln, "http2", f.loop, f.log))
	f.DrainingListener.LimitOpen(f.limits.MaxConnections + max(minRejectedConns, f.limits.MaxConnections/rejectedConnsShare))
	if err := f.poller.Serve(f.DrainingListener, f.accept); err != nil {
		return err
	}
	f.loop.AfterTurn(f.afterTurn)
	f.loop.Post(f.sweep)
	return nil
}

// Address returns the address of the listener; valid after Start.
func (f *Front) Address() string { return f.Listener.Addr().String() }

// accept sets up a new connection. It runs on the poller, before anything is read from the connection.
func (f *Front) accept(nc *reactor.Conn) reactor.Handler {
	c := &conn{front: f, streams: map[uint32]*stream{}, sendWindow: defaultWindow, initialSendWindow: defaultWindow, maxSendFrame: defaultMaxFrame,
		recvWindow: defaultWindow, reader: newReader(&f.limits), resetStreams: newRecentStreams()}
	c.encoder = hpack.NewEncoder(&c.headerBuffer)
	c.InitAccepted(nc, &f.poller.Buffers, "h2-agent")
	c.OnAbandon = c.dropBuffers
	f.poller.Post(func() { f.greet(c) })
	return c
}

// greet adds a new connection and sends our SETTINGS, which need not wait for the client's (RFC 9113, section 3.4).
func (f *Front) greet(c *conn) {
	f.DrainingListener.Registered()
	if c.Ended {
		return
	}
	now := f.loop.Now()
	c.Opened, c.lastUsed, c.lastProgress = now, now, now
	c.isOpenedLate = f.finalGoAwaySent
	c.ref = f.conns.Add(c)
	f.account.Add(&c.Link)
	f.Stats.Connections++
	c.write(appendSettings(nil, settingMaxConcurrentStreams, uint32(f.limits.MaxStreams), settingMaxHeaderListSize, uint32(f.limits.MaxHeaderListBytes),
		settingHeaderTableSize, uint32(f.limits.HeaderTableBytes)))
	switch {
	case f.closed:
		c.closeWithGoAway(NoError, link.Shutdown, "")
	case f.conns.Len() > f.limits.MaxConnections && !f.closeIdleFor(c):
		c.closeWithGoAway(EnhanceYourCalm, link.OverBudget, "max_connections is reached")
	case f.draining || f.clientsDraining:
		c.sendGoAway(maxStreamID)
	}
}

// connEnded cleans up after a connection; its open streams end as if the client had reset them.
func (f *Front) connEnded(c *conn) {
	if !c.MarkEnded(f.log, f.loop.Now()) {
		return
	}
	if c.CloseReason != "" {
		f.Stats.ClosedByReason[c.CloseReason]++
	}
	f.conns.Free(c.ref)
	for _, s := range c.streams {
		s.disconnect()
	}
	clear(c.streams)
}

// afterTurn sends the frames of a turn, each connection's in one write.
func (f *Front) afterTurn() {
	for _, c := range f.connsToFlush {
		c.flush()
	}
	clear(f.connsToFlush)
	f.connsToFlush = f.connsToFlush[:0]
}

// sweep closes connections that are slow, idle or flooding, or that do not read, and expires the ledger's entries.
func (f *Front) sweep() {
	now := f.loop.Now()
	f.ledger.Expire(now)
	f.conns.Each(func(_ core.Ref, c *conn) {
		switch {
		case c.CloseReason != "" || c.ClosedLocally:
		case (!c.settingsReceived || !c.settingsAcked) && now-c.Opened > f.limits.SettingsTimeout:
			c.closeWithGoAway(SettingsTimeout, ReasonNoSettings, "no SETTINGS, or no acknowledgement of ours, came in time")
		case c.isStalled(now):
			c.resetStalled()
		case len(c.streams) == 0 && now-c.lastUsed > f.limits.IdleTimeout:
			c.closeWithGoAway(NoError, link.IdleTimeout, "")
		case f.clientsDraining && c.isUnusedSince(now-drainGrace):
			c.closeWithGoAway(NoError, link.Shutdown, "")
		default:
			c.endSlowRequests(now)
		}
	})
	if !f.closed {
		f.loop.At(now+sweepInterval, f.sweep)
	}
}

// Drain begins the shutdown with two GOAWAYs: the first announces it, the second names the last accepted stream.
// Accepted streams run on to their answers. Those still open after within are aborted, each with its answer, since the
// platform may kill the process soon after. Streams past the last accepted one are refused and may be sent elsewhere.
func (f *Front) Drain(within core.Time) {
	if f.draining {
		return
	}
	f.draining = true
	f.conns.Each(func(_ core.Ref, c *conn) { c.sendGoAway(maxStreamID) })
	f.loop.At(f.loop.Now()+min(f.limits.FinalGoAwayDelay, within/2), func() {
		f.finalGoAwaySent = true
		f.conns.Each(func(_ core.Ref, c *conn) { c.sendGoAway(c.lastAcceptedID) })
	})
	f.loop.At(f.loop.Now()+within, func() {
		f.core.AbortRequests(func(client core.Client) bool { _, isOurs := client.(*stream); return isOurs })
	})
}

// IsDrained reports whether the second GOAWAY has been sent and no connection has an open stream or unsent data.
func (f *Front) IsDrained() bool {
	if !f.finalGoAwaySent {
		return false
	}
	done := true
	f.conns.Each(func(_ core.Ref, c *conn) {
		done = done && len(c.streams) == 0 && c.unsentBytes == 0 && c.IsWriterIdle()
	})
	return done
}

// IsClosed reports whether the listener is closed and no connection is left.
func (f *Front) IsClosed() bool { return f.IsListenerClosed() && f.conns.Len() == 0 }

// Close closes the listener and all connections, also those that the listener's drain still accepts. Each gets a GOAWAY with
// the last stream that was accepted on it, so that its client may send later ones elsewhere.
func (f *Front) Close() {
	f.closed = true
	f.Listener.Close()
	f.conns.Each(func(_ core.Ref, c *conn) { c.closeWithGoAway(NoError, link.Shutdown, "") })
}

// conn is a client's connection. Its fields belong to the loop, except for those that belong to the poller's goroutine.
type conn struct {
	link.Link
	ref         core.Ref
	front       *Front
	reader      *reader     // the poller's
	readStopped bool        // input is discarded; the poller's
	batch       *frameBatch // frames that are not handled yet, before which nothing more is read; nil: none
	// partialSince is when the incomplete frame at the start of the input was seen first, on the loop's clock; 0: there is none.
	partialSince atomic.Int64

	streams           map[uint32]*stream
	lastOpenedID      uint32         // the highest stream that the client has opened
	lastAcceptedID    uint32         // the last stream that may have been accepted, which a GOAWAY names
	resetStreams      *recentStreams // streams that were reset lately
	settingsReceived  bool           // the client's SETTINGS came
	settingsAcked     bool           // the client acknowledged ours
	encoder           *hpack.Encoder
	headerBuffer      bytes.Buffer
	sendWindow        int64          // what we may send on the connection, in bytes
	recvWindow        int64          // what the client may still send on it, in bytes
	unreturned        unreturnedData // of the connection's window
	closedUnreturned  unreturnedData // of the windows of streams that are closed
	initialSendWindow int64          // sendWindow of a new stream
	maxSendFrame      int            // bytes of one DATA frame
	blockedStreams    []*stream      // streams with data that a window holds back, in round-robin order
	unsentBytes       int            // bytes of data held back
	bodyBytes         int            // bytes of request bodies that are not complete, or not released by the core
	headerBytes       int            // bytes of the headers of open streams
	// blockSince is when a field block began that is not complete, on the loop's clock; 0: there is none.
	blockSince   atomic.Int64
	lastProgress core.Time // when data was sent last, or when unsentBytes last rose from 0
	lastUsed     core.Time // when a frame came or a stream ended last
	receivedAt   core.Time // when the frames had arrived that are being handled
	output       []byte    // frames of this turn, not sent yet
	isDirty      bool      // it is in Front.connsToFlush
	isGoingAway  bool      // a GOAWAY was sent or received
	isOpenedLate bool      // it was opened after the drain's last GOAWAY, for look-ups alone
	isAbandoned  bool      // it is about to be closed over the account's limit, and nothing is written any more

	resetBudget, controlBudget, emptyDataBudget, excessStreamBudget tokenBucket
}
