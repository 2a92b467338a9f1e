// Package admin serves the operators' HTTP address: readiness, metrics, disabling and enabling table workers, and draining
// clients. Package gateway starts its Front and implements Directives; package admin makes no scheduling decision itself.
package admin

import (
	"log/slog"
	"strings"
	"time"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/directive"
	"cobaltflow/internal/http1"
	"cobaltflow/internal/link"
	"cobaltflow/internal/reactor"
)

// Limits of the admin address.
const (
	// MaxConnections bounds the open connections. Beyond it the oldest one without a complete request is closed
	// (over-budget), so that silent connections do not keep out one that sends a request.
	MaxConnections = 32
	// RequestTimeout bounds the time from opening a connection to its complete request; then the connection gets 408
	// and is closed.
	RequestTimeout = 900 * core.Millisecond
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
	poller *reactor.Poller
	conns  core.SlotMap[*conn]
	closed bool
}

// conn is one connection of an operator.
type conn struct {
	link.Link
	front    *Front
	messages link.MessageReader
	fault    *http1.Error // of the request
	ref      core.Ref
	request  http1.Request
	received bool // the complete request was read
	answered bool
	timeout  *core.Timer
}

// New creates a Front; Start opens it.
func New(c *core.Core, conf *config.Config, clients ClientFront, directives Directives, poller *reactor.Poller, log *slog.Logger) *Front {
	return &Front{poller: poller, loop: c.Loop, core: c, conf: conf, clients: clients, directives: directives, log: log}
}

// Start listens at the configured address. It is called before the loop runs. An address that can't be listened at is a
// *config.Error.
func (f *Front) Start() error {
	ln, err := link.Listen(f.conf.Admin)
	if err != nil {
		return &config.Error{Key: "admin", Text: err.Error()}
	}
	f.FrontListener = link.NewFrontListener(link.NewDrainingListener(ln, "admin", f.loop, f.log))
	return f.poller.Serve(f.DrainingListener, f.accept)
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

// accept sets up a new connection. It runs on the poller, before anything is read from the connection.
func (f *Front) accept(nc *reactor.Conn) reactor.Handler {
	c := &conn{front: f}
	c.InitAccepted(nc, &f.poller.Buffers, "operator")
	c.messages = link.MessageReader{Poller: f.poller, Loop: f.loop, Parse: c.parse, MaxBytes: http1.MaxMessage,
		Handle: func() { f.handle(c, c.fault) }, Refuse: func() { f.handle(c, errNoMemory) }}
	f.poller.Post(func() {
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
	return c
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

// errNoMemory answers a request that there is no memory for.
var errNoMemory = &http1.Error{Status: 503, Text: "no memory for the request"}

// HandleInput implements reactor.Handler.
func (c *conn) HandleInput(in *reactor.Input) reactor.Next {
	return c.Link.HandleInput(in, &c.messages)
}

// PeerEnded implements reactor.Handler. An operator may end the output behind a request and wait for the answer.
func (c *conn) PeerEnded() {}

// Closed implements reactor.Handler.
func (c *conn) Closed() { c.front.loop.Post(func() { c.front.onClose(c) }) }

// parse parses the request on the poller; package link defines which goroutine owns the read buffer.
func (c *conn) parse(buf []byte, _ bool) (size, need int, invalid bool) {
	need, c.fault = http1.ParseRequest(buf, &c.request)
	return c.request.Size, need, c.fault != nil
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
		return 200, string(Metrics(f.core, f.clients, f.directives, f.poller, f.conf.Names.Classes))
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
