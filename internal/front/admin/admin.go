// Package admin is the operators' address: readiness, figures, table workers taken out and back by hand,
// drains. It hands the decisions events and reads figures where they are kept; it decides nothing itself.
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

// Bounds of the operators' address.
const (
	// MostCalls is how many connections may be open at once; over it the oldest that has brought no whole
	// call is closed (over-budget), so callers who connect and say nothing take no place from one who asks.
	MaxConnections = 32
	// CallTime is how long a connection has to bring its whole call; then it gets 408 and is closed.
	CallTimeout = 900 * core.Millisecond
	readTimeout = time.Second // netpoll's own bound on a read that has begun, behind CallTime
	// answerMargin of a connection's CallTime is left for the way of a call that could not be carried out in time.
	answerMargin = 50 * core.Millisecond
)

// MostHeld bounds the table workers that may be out by hand at once; a disable over it is refused with 409.
const MaxDisabledWorkers = directive.MaxOn

// Clients is what the admin address drives of the clients' front.
type ClientFront interface {
	Ready() bool
	Drain()
	Resume()
	Relayed() uint64
}

// Directives is where the front hands what operators tell, to be in force in all processes of this scheduler. All of it
// is the loop's.
type Directives interface {
	// Change tells a directive. answer is called once, on the loop, within the time: with nil when the directive is in
	// force in, and kept by, every process of this scheduler.
	Change(key directive.Key, on bool, within time.Duration, answer func(error))
	// Known tells whether a table worker is listed, or out by hand.
	IsKnownWorker(worker string) bool
	// Failures counts how often the directives could not be read or written.
	Failures() uint64
}

// Front serves the operators' calls, one a connection, on the loop.
type Front struct {
	loop       *core.Loop
	core       *core.Core
	conf       *config.Config
	clients    ClientFront
	directives Directives
	log        *slog.Logger

	listener netpoll.Listener
	server   netpoll.EventLoop
	calls    core.SlotMap[*call]
}

// call is one connection of an operator's.
type call struct {
	link.Link
	ref      core.Ref
	request  http1.Request
	received bool // its whole call is in hand
	answered bool
	timeout  *core.Timer
}

type callKey struct{}

// New makes the front; Start opens it.
func New(c *core.Core, conf *config.Config, clients ClientFront, directives Directives, log *slog.Logger) *Front {
	return &Front{loop: c.Loop, core: c, conf: conf, clients: clients, directives: directives, log: log}
}

// Start listens. It is called before the loop runs.
func (f *Front) Start() error {
	ln, err := link.Listen(f.conf.Admin)
	if err != nil {
		return &config.Error{Key: "admin", Text: err.Error()}
	}
	f.listener = ln
	f.server, err = netpoll.NewEventLoop(f.onRequest, netpoll.WithOnPrepare(f.prepare))
	if err != nil {
		return err
	}
	go f.server.Serve(ln)
	return nil
}

// Address is where the front listens.
func (f *Front) Address() string { return f.listener.Addr().String() }

// Close ends the listener and every call.
func (f *Front) Close() {
	f.listener.Close()
	f.calls.Each(func(_ core.Ref, k *call) { k.Close(link.Shutdown) })
}

// prepare runs on the poller, before anything of the connection can be read.
func (f *Front) prepare(nc netpoll.Connection) context.Context {
	k := &call{}
	k.Init(nc, "operator", nc.RemoteAddr().String(), 0)
	nc.SetReadTimeout(readTimeout)
	nc.AddCloseCallback(func(netpoll.Connection) error {
		f.loop.Post(func() { f.onClose(k) })
		return nil
	})
	f.loop.Post(func() {
		if k.Ended {
			return
		}
		k.Opened = f.loop.Now()
		k.ref = f.calls.Add(k)
		k.timeout = f.loop.At(k.Opened+CallTimeout, func() {
			switch {
			case k.answered || k.ClosedLocally:
			case k.received:
				f.answer(k, link.NoAnswer, 503, "in force here, but not confirmed in time; ask again\n")
			default:
				f.answer(k, link.SlowInput, 408, "no whole call came within 900 ms\n")
			}
		})
		if f.calls.Len() > MaxConnections {
			f.closeOldest(k)
		}
	})
	return context.WithValue(context.Background(), callKey{}, k)
}

// shed closes the oldest connection that has no whole call; where all have one, the newest.
func (f *Front) closeOldest(newest *call) {
	victim := newest
	f.calls.Each(func(_ core.Ref, k *call) {
		if !k.ClosedLocally && !k.answered && k.MessageCount == 0 && (victim == newest || k.Opened < victim.Opened) {
			victim = k
		}
	})
	victim.Close(link.OverBudget)
}

// onRequest runs on a goroutine of netpoll's; package link says who holds the buffer.
func (f *Front) onRequest(ctx context.Context, _ netpoll.Connection) error {
	k := ctx.Value(callKey{}).(*call)
	var fault *http1.Error
	return k.Read(f.loop, func(buf []byte) (int, int, bool) {
		var need int
		need, fault = http1.ParseRequest(buf, &k.request)
		return k.request.Size, need, fault != nil
	}, func() { f.handle(k, fault) })
}

// take has a whole call in hand, or a fault in it. The answer is put together at once, on the loop.
func (f *Front) handle(k *call, fault *http1.Error) {
	defer k.ReleaseBuffer()
	k.MessageCount++
	if k.Ended || k.ClosedLocally || k.answered || k.received {
		return
	}
	k.received = true
	if fault != nil {
		f.answer(k, link.BadInput, fault.Status, fault.Text+"\n")
		return
	}
	method, path := string(k.request.Method), string(k.request.Path)
	if d, ok := f.parseCommand(method, path); ok {
		f.applyCommand(k, d)
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
	f.answer(k, reason, status, body, extra...)
}

// answer writes the one answer of a connection, which is closed after it. The reason stands in its log line.
func (f *Front) answer(k *call, reason string, status int, body string, extra ...string) {
	k.answered = true
	f.loop.CancelTimer(k.timeout)
	k.CloseReason = reason
	message := http1.AppendResponse(nil, status, false, []byte(body), append(extra, "Content-Type", "text/plain")...)
	k.Send(f.loop, link.Outgoing{Message: message, CloseAfter: true})
}

func (f *Front) onClose(k *call) {
	if !k.MarkEnded(f.log, f.loop.Now()) {
		return
	}
	f.loop.CancelTimer(k.timeout)
	f.calls.Free(k.ref)
	k.ReleaseBuffer()
}

// Paths of the calls.
const (
	PathReady   = "/-/ready"
	PathMetrics = "/-/metrics"
	PathDrain   = "/-/drain"
	PathResume  = "/-/resume"
	PathWorkers = "/-/table-workers/"
)

// serve carries a call out and gives its status and body. 2xx is yes; 4xx names what was wrong.
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

// wanted is the method of a call.
func allowedMethod(path string) string {
	if path == PathReady || path == PathMetrics {
		return "GET"
	}
	return "POST"
}
