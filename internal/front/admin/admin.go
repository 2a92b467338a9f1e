// Package admin serves the operators' HTTP address: readiness, metrics, disabling and enabling table workers, and draining
// clients. Package gateway starts its Front and implements Directives; package admin makes no scheduling decision itself.
package admin

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/directive"
	"cobaltflow/internal/http1"
	"cobaltflow/internal/link"
)

// Limits of the admin address.
const (
	// MaxConnections bounds the open connections. Beyond it the oldest one without a complete request is closed
	// (over-budget), so that silent connections do not keep out one that sends a request.
	MaxConnections = 32
	// RequestTimeout bounds the time from opening a connection to its complete request; then the connection gets 408
	// and is closed.
	RequestTimeout = 900 * core.Millisecond
	readTimeout    = time.Second // netpoll's own bound on a read that has begun; a second bound beside RequestTimeout
	// answerMargin is the part of RequestTimeout that is left to write the answer to a change that was not confirmed in
	// time.
	answerMargin = 50 * core.Millisecond
)

// MaxDisabledWorkers bounds the table workers that operators may have disabled at once. A disable beyond it gets 409.
const MaxDisabledWorkers = directive.MaxOn

// ClientFront is the clients' front, as far as the admin address controls and reports it.
type ClientFront interface {
	Ready() bool
	Drain()
	Resume()
	Relayed() uint64 // attempts written completely to workers
}

// Directives puts the operators' directives in force in all processes of this scheduler. Its methods are called on the loop.
type Directives interface {
	// Change sets a directive. done is called once, on the loop, within the given time: with nil when the directive is in
	// force in, and persisted by, every process of this scheduler.
	Change(key directive.Key, on bool, within time.Duration, done func(error))
	// IsKnownWorker reports whether a table worker is listed, or disabled by an operator.
	IsKnownWorker(worker string) bool
	// Failures returns how often the directives could not be read or written.
	Failures() uint64
}

// Front answers the operators' requests, one per connection, on the loop.
type Front struct {
	loop       *core.Loop
	core       *core.Core
	conf       *config.Config
	clients    ClientFront
	directives Directives
	log        *slog.Logger

	link.FrontListener
	server netpoll.EventLoop
	conns  core.SlotMap[*conn]
	closed bool
}

// conn is one connection of an operator.
type conn struct {
	link.Link
	ref      core.Ref
	request  http1.Request
	received bool // the complete request was read
	answered bool
	timeout  *core.Timer
}

type connKey struct{}

// New creates a Front; Start opens it.
func New(c *core.Core, conf *config.Config, clients ClientFront, directives Directives, log *slog.Logger) *Front {
	return &Front{loop: c.Loop, core: c, conf: conf, clients: clients, directives: directives, log: log}
}

// Start listens at the configured address. It is called before the loop runs. An address that can't be listened at is a
// *config.Error.
func (f *Front) Start() error {
	ln, err := link.Listen(f.conf.Admin)
	if err != nil {
		return &config.Error{Key: "admin", Text: err.Error()}
	}
	f.FrontListener = link.NewFrontListener(link.NewDrainingListener(ln, "admin", f.loop, f.log))
	f.server, err = netpoll.NewEventLoop(f.onRequest, netpoll.WithOnPrepare(f.prepare))
	if err != nil {
		return err
	}
	go f.server.Serve(f.DrainingListener)
	return nil
}

// Address returns the address at which the front listens.
func (f *Front) Address() string { return f.Listener.Addr().String() }

// IsClosed reports whether the listener is closed and no connection is left.
func (f *Front) IsClosed() bool { return f.IsListenerClosed() && f.conns.Len() == 0 }

// Close closes the listener and answers every connection that waits for an answer or has not sent its call, also those that
// the listener's drain still accepts.
func (f *Front) Close() {
	f.closed = true
	f.Listener.Close()
	f.conns.Each(func(_ core.Ref, c *conn) { f.refuse(c) })
}

// refuse answers a connection that has no answer yet, as the process ends.
func (f *Front) refuse(c *conn) {
	switch {
	case c.answered || c.ClosedLocally:
	case c.received:
		f.answer(c, link.Shutdown, 503, unconfirmedText)
	default:
		f.answer(c, link.Shutdown, 503, "this process ends; call again\n")
	}
}

// unconfirmedText answers a change that is not known to be in force in all processes.
const unconfirmedText = "in force here, but not confirmed in time; ask again\n"

// prepare sets up a new connection. It runs on the poller, before anything is read from the connection.
func (f *Front) prepare(nc netpoll.Connection) context.Context {
	c := &conn{}
	c.Init(nc, "operator", nc.RemoteAddr().String(), 0)
	nc.SetReadTimeout(readTimeout)
	nc.AddCloseCallback(func(netpoll.Connection) error {
		f.loop.Post(func() { f.onClose(c) })
		return nil
	})
	f.loop.Post(func() {
		f.DrainingListener.Registered()
		if c.Ended {
			return
		}
		c.Opened = f.loop.Now()
		c.ref = f.conns.Add(c)
		c.timeout = f.loop.At(c.Opened+RequestTimeout, func() {
			switch {
			case c.answered || c.ClosedLocally:
			case c.received:
				f.answer(c, link.NoAnswer, 503, unconfirmedText)
			default:
				f.answer(c, link.SlowInput, 408, "no whole call came within 900 ms\n")
			}
		})
		if f.closed {
			f.refuse(c)
		} else if f.conns.Len() > MaxConnections {
			f.closeOldest(c)
		}
	})
	return context.WithValue(context.Background(), connKey{}, c)
}

// closeOldest closes the oldest connection without a complete request, or the newest connection if each has one.
func (f *Front) closeOldest(newest *conn) {
	victim := newest
	f.conns.Each(func(_ core.Ref, c *conn) {
		if !c.ClosedLocally && !c.answered && c.MessageCount == 0 && (victim == newest || c.Opened < victim.Opened) {
			victim = c
		}
	})
	victim.Close(link.OverBudget)
}

// onRequest reads a connection. It runs on one of netpoll's goroutines; package link defines which goroutine owns the read
// buffer.
func (f *Front) onRequest(ctx context.Context, _ netpoll.Connection) error {
	c := ctx.Value(connKey{}).(*conn)
	var fault *http1.Error
	return c.Read(f.loop, func(buf []byte, _ bool) (int, int, bool) {
		var need int
		need, fault = http1.ParseRequest(buf, &c.request)
		return c.request.Size, need, fault != nil
	}, func() { f.handle(c, fault) })
}

// handle answers a request, or the fault that parsing it found, on the loop.
func (f *Front) handle(c *conn, fault *http1.Error) {
	defer c.ReleaseBuffer()
	c.MessageCount++
	if c.Ended || c.ClosedLocally || c.answered || c.received {
		return
	}
	c.received = true
	if fault != nil {
		f.answer(c, link.BadInput, fault.Status, fault.Text+"\n")
		return
	}
	method, path := string(c.request.Method), string(c.request.Path)
	if cmd, ok := f.parseCommand(method, path); ok {
		f.applyCommand(c, cmd)
		return
	}
	status, body := f.serve(method, path)
	reason, extra := link.Answered, []string(nil)
	if status >= 400 {
		reason = link.BadInput
	}
	if status == 405 {
		extra = []string{"Allow", allowedMethod(path)}
	}
	if method == "HEAD" {
		body = ""
	}
	f.answer(c, reason, status, body, extra...)
}

// answer writes the answer and closes the connection after it. reason is logged when the connection ends.
func (f *Front) answer(c *conn, reason string, status int, body string, extra ...string) {
	c.answered = true
	f.loop.CancelTimer(c.timeout)
	c.CloseReason = reason
	message := http1.AppendResponse(nil, status, false, []byte(body), append(extra, "Content-Type", "text/plain")...)
	c.Send(f.loop, link.Outgoing{Message: message, CloseAfter: true})
}

// onClose frees a connection that has ended.
func (f *Front) onClose(c *conn) {
	if !c.MarkEnded(f.log, f.loop.Now()) {
		return
	}
	f.loop.CancelTimer(c.timeout)
	f.conns.Free(c.ref)
	c.ReleaseBuffer()
}

// Paths of the admin requests.
const (
	PathReady   = "/-/ready"
	PathMetrics = "/-/metrics"
	PathDrain   = "/-/drain"
	PathResume  = "/-/resume"
	PathWorkers = "/-/table-workers/"
)

// serve returns the status and body for a request that changes nothing: 2xx is success, and the body of a 4xx names the
// fault.
func (f *Front) serve(method, path string) (int, string) {
	want := allowedMethod(path)
	known := path == PathReady || path == PathMetrics || path == PathDrain || path == PathResume ||
		strings.HasPrefix(path, PathWorkers)
	switch {
	case !known:
		return 404, "no such call: " + path + "; the calls are GET /-/ready, GET /-/metrics, POST /-/drain, " +
			"POST /-/resume, POST /-/table-workers/ID/disable and /enable\n"
	case method != want && !(method == "HEAD" && want == "GET"):
		return 405, method + " " + path + ": only " + want + " is answered here\n"
	}
	switch path {
	case PathReady:
		if f.clients.Ready() {
			return 200, "ready\n"
		}
		return 503, "not ready: starting, draining or ending\n"
	case PathMetrics:
		return 200, string(Metrics(f.core, f.clients, f.directives, f.conf.Names.Classes))
	}
	return f.unknownWorker(strings.TrimPrefix(path, PathWorkers))
}

// allowedMethod returns the method that a path allows.
func allowedMethod(path string) string {
	if path == PathReady || path == PathMetrics {
		return "GET"
	}
	return "POST"
}
