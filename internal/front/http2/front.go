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
	sweepEvery = 50 * core.Millisecond
	batchMost  = 128     // frames handed to the loop at once: the work of a turn for a connection
	unreadMost = 4 << 20 // bytes that a client may leave unread in its socket
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

	listener netpoll.Listener
	server   netpoll.EventLoop
	conns    core.SlotMap[*conn]
	dirty    []*conn
	quiet    bool
	last     bool // the second GOAWAY has been sent
	closed   bool
	Figures  Figures
}

// Figures are totals since the start.
type Figures struct {
	Connections, Streams, Answered, Resets, Refused uint64
	Ended                                           map[string]uint64 // connections that the front ended, by reason
}

type connKey struct{}

// New makes the front; Start opens it.
func New(c *core.Core, conf *config.Config, controller *admission.Controller, log *slog.Logger) *Front {
	k := &conf.HTTP2
	return &Front{loop: c.Loop, core: c, conf: conf, log: log, admission: controller, Figures: Figures{Ended: map[string]uint64{}},
		ledger: admission.NewLedger(k.MaxEndedJobs, k.MaxEndedMB<<20, core.Time(k.EndedRetentionS*float64(core.Second))),
		limits: Limits{Connections: k.MaxConnections, Streams: k.MaxStreams, HeaderList: k.MaxHeaderKB << 10, HeaderTable: k.HeaderTableBytes,
			HeaderFrames: 16, Unsent: k.MaxUnsentKB << 10, BodyBytes: k.MaxBodyKB << 10, Stall: core.Time(k.StallTimeoutMS) * core.Millisecond,
			Settings: core.Time(k.SettingsTimeoutMS) * core.Millisecond, Idle: core.Time(k.IdleTimeoutS) * core.Second, Drain: core.Second,
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
			f.loop.Post(func() { f.gone(c) })
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
	c := &conn{front: f, streams: map[uint32]*stream{}, window: usualWindow, peerWindow: usualWindow, peerFrame: usualMaxFrame,
		received: usualWindow, in: newReader(&f.limits), backlog: link.NewBacklog(), rest: newForgotten()}
	c.encoder = hpack.NewEncoder(&c.encoded)
	c.Init(nc, "h2-agent", nc.RemoteAddr().String(), 0)
	nc.AddCloseCallback(func(netpoll.Connection) error {
		f.loop.Post(func() { f.gone(c) })
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
	c.Opened, c.used, c.moved = now, now, now
	c.ref = f.conns.Add(c)
	f.Figures.Connections++
	c.write(appendSettings(nil, settingMaxStreams, uint32(f.limits.Streams), settingMaxHeaderList, uint32(f.limits.HeaderList),
		settingTableSize, uint32(f.limits.HeaderTable)))
	switch {
	case f.conns.Len() > f.limits.Connections:
		c.goAway(EnhanceYourCalm, link.OverBudget, "max_connections is reached")
	case f.quiet:
		c.warn(mostStreamID)
	}
}

// gone has a connection end. What it waited for goes on or is withdrawn, as for a stream that was reset.
func (f *Front) gone(c *conn) {
	if !c.MarkEnded(f.log, f.loop.Now()) {
		return
	}
	if c.CloseReason != "" {
		f.Figures.Ended[c.CloseReason]++
	}
	c.backlog.Close()
	f.conns.Free(c.ref)
	for _, s := range c.streams {
		s.abandon()
	}
	clear(c.streams)
}

func (f *Front) afterTurn() {
	for _, c := range f.dirty {
		c.flush()
	}
	clear(f.dirty)
	f.dirty = f.dirty[:0]
}

// sweep looks after connections that are slow, silent or full.
func (f *Front) sweep() {
	now := f.loop.Now()
	f.ledger.Expire(now)
	f.conns.Each(func(_ core.Ref, c *conn) {
		switch {
		case c.CloseReason != "" || c.ClosedLocally:
		case c.Conn.Reader().Len() > link.MaxBacklogBytes+mostUnread:
			c.goAway(EnhanceYourCalm, link.Flooding, "more came than a client may send ahead")
		case c.QueuedBytes() > unreadMost:
			c.Close(link.NotReading)
		case (!c.settled || !c.acked) && now-c.Opened > f.limits.Settings:
			c.goAway(SettingsTimeout, ReasonSettings, "no SETTINGS, or no acknowledgement of ours, came in time")
		case c.unsent > 0 && now-c.moved > f.limits.Stall:
			c.stalled()
		case len(c.streams) == 0 && now-c.used > f.limits.Idle:
			c.goAway(NoError, link.IdleTimeout, "")
		}
	})
	if !f.closed {
		f.loop.At(now+sweepEvery, f.sweep)
	}
}

const mostUnread = 128 << 10

// Quiet begins the end: a first GOAWAY tells that there will be a last stream, a second which one it was. Streams
// that were taken go on to their answers, but for those that are still open at within from now, since the platform may
// kill the process soon after: they are given up, each with its answer. Those past the last were never taken.
func (f *Front) Quiet(within core.Time) {
	if f.quiet {
		return
	}
	f.quiet = true
	f.conns.Each(func(_ core.Ref, c *conn) { c.warn(mostStreamID) })
	f.loop.At(f.loop.Now()+min(f.limits.Drain, within/2), func() {
		f.last = true
		f.conns.Each(func(_ core.Ref, c *conn) { c.warn(c.highest) })
	})
	f.loop.At(f.loop.Now()+within, func() {
		f.core.AbortRequests(func(u core.Client) bool { _, ours := u.(*stream); return ours })
	})
}

// Done tells whether no connection has a stream any more, and the last GOAWAY has been sent.
func (f *Front) Done() bool {
	if !f.last {
		return false
	}
	done := true
	f.conns.Each(func(_ core.Ref, c *conn) { done = done && len(c.streams) == 0 && c.unsent == 0 && c.IsWriterIdle() })
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
	ref     core.Ref
	front   *Front
	in      *reader // netpoll's
	stopped bool    // nothing is read any more; netpoll's
	backlog *link.Backlog

	streams    map[uint32]*stream
	highest    uint32 // the last stream that was taken, or refused
	rest       *forgotten
	settled    bool // the client's SETTINGS came
	acked      bool // and its acknowledgement of ours
	encoder    *hpack.Encoder
	encoded    bytes.Buffer
	window     int64 // that the client gives us, for the connection
	received   int64 // that it has left of what we gave
	peerWindow int64 // of a new stream
	peerFrame  int
	waiting    []*stream // with data that a window holds back, in the order of their turn
	unsent     int       // bytes of it
	bodies     int       // bytes of requests that are not whole
	moved      core.Time // when a byte of an answer left last, or there was none to leave
	used       core.Time
	out        []byte
	marked     bool
	warned     bool

	resets, control, empty, over budget
}
