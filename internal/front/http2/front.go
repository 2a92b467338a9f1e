// Package http2 is the HTTP/2 front for clients (RFC 9113, without TLS, by prior knowledge): frames, HPACK, streams
// and flow control before the same admission, core and decisions as the HTTP/1.1 front. It holds wire and nothing else;
// what a request needs to be taken package admission says. Workers' callbacks don't come here.
package http2

import (
	"bytes"
	"context"
	"log/slog"

	"github.com/cloudwego/netpoll"
	"golang.org/x/net/http2/hpack"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/front/admission"
	"cobaltflow/internal/link"
)

const (
	sweepInterval  = 50 * core.Millisecond
	maxBatchFrames = 128     // frames handed to the loop at once: the work of a turn for a connection
	maxUnreadBytes = 4 << 20 // bytes that a client may leave unread in its socket
)

// Front is the HTTP/2 front. All of it is the loop's.
type Front struct {
	loop      *core.Loop
	core      *core.Core
	conf      *config.Config
	log       *slog.Logger
	limits    Limits
	admission *admission.Controller
	ledger    *admission.Ledger

	listener        netpoll.Listener
	server          netpoll.EventLoop
	conns           core.SlotMap[*conn]
	connsToFlush    []*conn
	draining        bool
	finalGoAwaySent bool // the second GOAWAY has been sent
	closed          bool
	Stats           Stats
}

// Figures are totals since the start.
type Stats struct {
	Connections, Streams, Answered, Resets, Refused uint64
	ClosedByReason                                  map[string]uint64 // connections that the front ended, by reason
}

type connKey struct{}

// New makes the front; Start opens it.
func New(c *core.Core, conf *config.Config, controller *admission.Controller, log *slog.Logger) *Front {
	k := &conf.HTTP2
	return &Front{loop: c.Loop, core: c, conf: conf, log: log, admission: controller, Stats: Stats{ClosedByReason: map[string]uint64{}},
		ledger: admission.NewLedger(k.MaxEndedJobs, k.MaxEndedMB<<20, core.Time(k.EndedRetentionS*float64(core.Second))),
		limits: Limits{MaxConnections: k.MaxConnections, MaxStreams: k.MaxStreams, MaxHeaderListBytes: k.MaxHeaderKB << 10, HeaderTableBytes: k.HeaderTableBytes,
			MaxHeaderFrames: 16, MaxUnsentBytes: k.MaxUnsentKB << 10, MaxBodyBytes: k.MaxBodyKB << 10, StallTimeout: core.Time(k.StallTimeoutMS) * core.Millisecond,
			SettingsTimeout: core.Time(k.SettingsTimeoutMS) * core.Millisecond, IdleTimeout: core.Time(k.IdleTimeoutS) * core.Second, FinalGoAwayDelay: core.Second,
			ResetsPerS: float64(k.ResetsPerS), ControlPerS: float64(k.ControlPerS), EmptyPerS: float64(k.EmptyPerS)}}
}

// Start listens.
func (f *Front) Start() error {
	ln, err := netpoll.CreateListener("tcp", f.conf.HTTP2.Listen)
	if err != nil {
		return &config.Error{Key: "http2.listen", Text: err.Error()}
	}
	f.listener = ln
	f.server, err = netpoll.NewEventLoop(onRequest, netpoll.WithOnPrepare(f.accept),
		netpoll.WithOnDisconnect(func(ctx context.Context, _ netpoll.Connection) {
			c := ctx.Value(connKey{}).(*conn)
			f.loop.Post(func() { f.connEnded(c) })
		}))
	if err != nil {
		return err
	}
	go f.server.Serve(ln)
	f.loop.AfterTurn(f.afterTurn)
	f.loop.Post(f.sweep)
	return nil
}

// Address is where the front listens.
func (f *Front) Address() string { return f.listener.Addr().String() }

func (f *Front) accept(nc netpoll.Connection) context.Context {
	c := &conn{front: f, streams: map[uint32]*stream{}, sendWindow: defaultWindow, initialSendWindow: defaultWindow, maxSendFrame: defaultMaxFrame,
		recvWindow: defaultWindow, reader: newReader(&f.limits), backlog: link.NewBacklog(), resetStreams: newRecentStreams()}
	c.encoder = hpack.NewEncoder(&c.headerBuffer)
	c.Init(nc, "h2-agent", nc.RemoteAddr().String(), 0)
	nc.AddCloseCallback(func(netpoll.Connection) error {
		f.loop.Post(func() { f.connEnded(c) })
		return nil
	})
	f.loop.Post(func() { f.greet(c) })
	return context.WithValue(context.Background(), connKey{}, c)
}

// greet takes a connection in and sends our SETTINGS, which need not wait for the client's (RFC 9113, section 3.4).
func (f *Front) greet(c *conn) {
	if c.Ended {
		return
	}
	now := f.loop.Now()
	c.Opened, c.lastUsed, c.lastProgress = now, now, now
	c.ref = f.conns.Add(c)
	f.Stats.Connections++
	c.write(appendSettings(nil, settingMaxConcurrentStreams, uint32(f.limits.MaxStreams), settingMaxHeaderListSize, uint32(f.limits.MaxHeaderListBytes),
		settingHeaderTableSize, uint32(f.limits.HeaderTableBytes)))
	switch {
	case f.conns.Len() > f.limits.MaxConnections:
		c.closeWithGoAway(EnhanceYourCalm, link.OverBudget, "max_connections is reached")
	case f.draining:
		c.sendGoAway(maxStreamID)
	}
}

// gone has a connection end. What it waited for goes on or is withdrawn, as for a stream that was reset.
func (f *Front) connEnded(c *conn) {
	if !c.MarkEnded(f.log, f.loop.Now()) {
		return
	}
	if c.CloseReason != "" {
		f.Stats.ClosedByReason[c.CloseReason]++
	}
	c.backlog.Close()
	f.conns.Free(c.ref)
	for _, s := range c.streams {
		s.disconnect()
	}
	clear(c.streams)
}

func (f *Front) afterTurn() {
	for _, c := range f.connsToFlush {
		c.flush()
	}
	clear(f.connsToFlush)
	f.connsToFlush = f.connsToFlush[:0]
}

// sweep looks after connections that are slow, silent or full.
func (f *Front) sweep() {
	now := f.loop.Now()
	f.ledger.Expire(now)
	f.conns.Each(func(_ core.Ref, c *conn) {
		switch {
		case c.CloseReason != "" || c.ClosedLocally:
		case c.Conn.Reader().Len() > link.MaxBacklogBytes+maxUnreadInputBytes:
			c.closeWithGoAway(EnhanceYourCalm, link.Flooding, "more came than a client may send ahead")
		case c.QueuedBytes() > maxUnreadBytes:
			c.Close(link.NotReading)
		case (!c.settingsReceived || !c.settingsAcked) && now-c.Opened > f.limits.SettingsTimeout:
			c.closeWithGoAway(SettingsTimeout, ReasonNoSettings, "no SETTINGS, or no acknowledgement of ours, came in time")
		case c.unsentBytes > 0 && now-c.lastProgress > f.limits.StallTimeout:
			c.closeStalled()
		case len(c.streams) == 0 && now-c.lastUsed > f.limits.IdleTimeout:
			c.closeWithGoAway(NoError, link.IdleTimeout, "")
		}
	})
	if !f.closed {
		f.loop.At(now+sweepInterval, f.sweep)
	}
}

const maxUnreadInputBytes = 128 << 10

// Quiet begins the end: a first GOAWAY tells that there will be a last stream, a second which one it was. Streams
// that were taken go on to their answers, but for those that are still open at within from now, since the platform may
// kill the process soon after: they are given up, each with its answer. Those past the last were never taken.
func (f *Front) Drain(within core.Time) {
	if f.draining {
		return
	}
	f.draining = true
	f.conns.Each(func(_ core.Ref, c *conn) { c.sendGoAway(maxStreamID) })
	f.loop.At(f.loop.Now()+min(f.limits.FinalGoAwayDelay, within/2), func() {
		f.finalGoAwaySent = true
		f.conns.Each(func(_ core.Ref, c *conn) { c.sendGoAway(c.lastStreamID) })
	})
	f.loop.At(f.loop.Now()+within, func() {
		f.core.AbortRequests(func(u core.Client) bool { _, ours := u.(*stream); return ours })
	})
}

// Done tells whether no connection has a stream any more, and the last GOAWAY has been sent.
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

// Close ends all connections.
func (f *Front) Close() {
	f.closed = true
	f.listener.Close()
	f.conns.Each(func(_ core.Ref, c *conn) { c.Close(link.Shutdown) })
}

// conn is a client's connection. Its reader and what is said to be so are netpoll's goroutine's.
type conn struct {
	link.Link
	ref         core.Ref
	front       *Front
	reader      *reader // netpoll's
	readStopped bool    // nothing is read any more; netpoll's
	backlog     *link.Backlog

	streams           map[uint32]*stream
	lastStreamID      uint32 // the last stream that was taken, or refused
	resetStreams      *recentStreams
	settingsReceived  bool // the client's SETTINGS came
	settingsAcked     bool // and its acknowledgement of ours
	encoder           *hpack.Encoder
	headerBuffer      bytes.Buffer
	sendWindow        int64 // that the client gives us, for the connection
	recvWindow        int64 // that it has left of what we gave
	initialSendWindow int64 // of a new stream
	maxSendFrame      int
	blockedStreams    []*stream // with data that a window holds back, in the order of their turn
	unsentBytes       int       // bytes of it
	bodyBytes         int       // bytes of requests that are not whole
	lastProgress      core.Time // when a byte of an answer left last, or there was none to leave
	lastUsed          core.Time
	output            []byte
	isDirty           bool
	goAwaySent        bool

	resetBudget, controlBudget, emptyDataBudget, excessStreamBudget tokenBucket
}
