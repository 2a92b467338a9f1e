// Package platform is the HTTP/1.1 front: user agents and workers' call-backs on one listener, the
// pool of connections to the workers, probes, and the watch on discovery.
package platform

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/http1"
	"cobaltflow/internal/link"
	"cobaltflow/rules"
)

// Paths and headers of the platform's protocol.
const (
	PathReady   = "/-/ready"
	PathHealthy = "/-/healthy"
	PathLoad    = "/-/load"
	PathEvents  = "/v1/job-events"
	PathTargets = "/api/targets"
	PathJobs    = "/jobs/"

	HeaderID          = "X-Correlation-Id"
	HeaderClass       = "X-Service-Class"
	HeaderTimeLeft    = "X-Time-Left-Ms"
	HeaderFacts       = "X-Facts"
	HeaderLoad        = "X-Backend-Load"
	HeaderUnprocessed = "X-Unprocessed"
)

const (
	longestID = 128
	// An answer at a client's deadline is on its way while the client gives up, so ours is due earlier.
	answerMargin = 10 * core.Millisecond
	longestLeft  = 24 * 3600 * 1000 // milliseconds
	sweepEvery   = 500 * core.Millisecond
	acceptOn     = 500 * core.Millisecond // for so long after SIGTERM clients may still find us
)

// Front is the HTTP/1.1 front and the carrier to the workers that discovery tells of.
type Front struct {
	loop  *core.Loop
	core  *core.Core
	conf  *config.Config
	log   func(string)
	ready bool

	listener netpoll.Listener
	server   netpoll.EventLoop
	agents   core.Table[*agentLink]
	budget   budget

	pool  pool
	watch *watch

	stopping core.Time // SIGTERM came then; 0: it has not
	stopped  func()
}

// budget shares out the descriptors that the process may hold, by party.
type budget struct{ agents, workers int }

// share leaves room for the listeners, the poller, the watch, the log and the second front.
func share(sockets int, second *config.Faktory) budget {
	spare := max(24, sockets/8)
	if second.On() {
		spare += second.MaxSessions
	}
	workers := (sockets - spare) * 2 / 5
	return budget{agents: sockets - spare - workers, workers: workers}
}

// agentLink is an accepted connection: a user agent's, or a worker's that calls back.
type agentLink struct {
	link.Link
	ref       core.Ref
	front     *Front
	request   http1.Request // in hand, while the loop holds the buffer
	in        *core.Transaction
	callsBack bool
	last      core.Time
}

type linkKey struct{}

// New makes the front; Start opens it.
func New(c *core.Core, conf *config.Config, log func(string)) *Front {
	f := &Front{loop: c.Loop, core: c, conf: conf, log: log, budget: share(conf.Limits.Sockets, &conf.Faktory)}
	f.pool = newPool(f)
	return f
}

// Start takes the last known list, watches discovery and listens. It is called before the loop runs.
func (f *Front) Start() error {
	list, err := ParseList(f.conf.Known, &f.conf.Names, f.loop.FromUnix)
	if len(f.conf.Known) > 0 && err != nil {
		f.log("known list: " + err.Error())
		list = &FarmNews{}
	}
	f.pool.addresses(list)
	f.core.Farm(f, rules.ListCached, list.Workers)
	f.watch = newWatch(f, f.conf.Discovery, list.Version)

	ln, err := netpoll.CreateListener("tcp", f.conf.Listen)
	if err != nil {
		return &config.Error{Key: "listen", Text: err.Error()}
	}
	f.listener = ln
	f.server, err = netpoll.NewEventLoop(onRequest,
		netpoll.WithOnPrepare(f.prepare),
		netpoll.WithOnDisconnect(func(ctx context.Context, _ netpoll.Connection) {
			a := ctx.Value(linkKey{}).(*agentLink)
			f.loop.Post(func() { f.gone(a) })
		}))
	if err != nil {
		return err
	}
	go f.server.Serve(ln)
	f.loop.Post(func() {
		f.ready = true
		f.watch.open(0)
		f.sweep()
	})
	return nil
}

// Reload takes a new configuration over, within one event: the watch goes to its discovery at once, and
// the budgets follow its limits. All that is open lives on, and so does what is known of the workers.
func (f *Front) Reload(next *config.Config) {
	for _, key := range f.conf.Unchangeable(next) {
		f.log("reload: " + key + " can't change while the program runs; the old one is kept")
	}
	kept := *f.conf
	kept.Discovery, kept.Limits = next.Discovery, next.Limits
	f.conf = &kept
	f.budget = share(kept.Limits.Sockets, &kept.Faktory)
	f.watch.move(kept.Discovery)
	f.log("reload: taken over")
}

// Address is where the front listens.
func (f *Front) Address() string { return f.listener.Addr().String() }

// prepare runs on the poller, before anything of the connection can be read.
func (f *Front) prepare(nc netpoll.Connection) context.Context {
	a := &agentLink{front: f}
	a.Init(nc, "agent", nc.RemoteAddr().String(), 0)
	a.Cut = func() {
		if a.in != nil {
			f.core.HangUp(a.in)
		}
	}
	nc.AddCloseCallback(func(netpoll.Connection) error {
		f.loop.Post(func() { f.gone(a) })
		return nil
	})
	f.loop.Post(func() {
		if a.Ended {
			return
		}
		a.Opened, a.last = f.loop.Now(), f.loop.Now()
		a.ref = f.agents.Add(a)
		if f.agents.Len() > f.budget.agents {
			f.shed(a)
		}
	})
	return context.WithValue(context.Background(), linkKey{}, a)
}

// shed closes the connection that has stood idle longest, so that the budget holds; where all are busy
// it is the new one.
func (f *Front) shed(oldest *agentLink) {
	f.agents.Each(func(_ core.Ref, a *agentLink) {
		if a.in == nil && a.Reason == "" && a.last < oldest.last {
			oldest = a
		}
	})
	oldest.Close(link.OverBudget)
}

// onRequest runs on a goroutine of netpoll's; package link says who holds the buffer.
func onRequest(ctx context.Context, _ netpoll.Connection) error {
	a := ctx.Value(linkKey{}).(*agentLink)
	f, told := a.front, false
	var fault *http1.Error
	return a.Read(f.loop, func(buf []byte) (int, int, bool) {
		var need int
		need, fault = http1.ParseRequest(buf, &a.request)
		if fault == nil && need > 0 && !told && string(a.request.Get("Expect")) == "100-continue" {
			told = true
			f.loop.Post(func() { a.Send(f.loop, link.Outgoing{Message: []byte("HTTP/1.1 100 Continue\r\n\r\n")}) })
		}
		return a.request.Size, need, fault != nil
	}, func() { f.take(a, fault) })
}

// take has a whole message in hand, or a fault in it.
func (f *Front) take(a *agentLink, fault *http1.Error) {
	a.Count++
	a.last = f.loop.Now()
	if a.Ended || a.Reason != "" {
		a.Release()
		return
	}
	q := &a.request
	if fault != nil {
		a.Reason = link.BadInput
		f.reply(a, fault.Status, []byte(fault.Text+"\n"), false)
		a.Release()
		return
	}
	path := string(q.Path)
	r, fixed := routes[path]
	if !fixed {
		if f.open(a, q, path) {
			return // the transaction holds the buffer
		}
	} else if m := string(q.Method); m == r.method || m == "HEAD" && r.method == "GET" {
		r.handle(f, a, q)
	} else {
		f.refuseInput(a, 405, r.method)
	}
	a.Release()
}

type route struct {
	method string
	handle func(f *Front, a *agentLink, q *http1.Request)
}

// routes are the fixed paths; any other is a class's.
var routes = map[string]route{
	PathReady:   {"GET", (*Front).health},
	PathHealthy: {"GET", (*Front).health},
	PathEvents:  {"POST", (*Front).event},
}

// Routes lists method and path of all that is served; the last two stand for the classes.
func Routes() (out []string) {
	for path, r := range routes {
		out = append(out, r.method+" "+path)
	}
	slices.Sort(out)
	return append(out, "POST /{class}", "POST /{class}/{key}")
}

func (f *Front) health(a *agentLink, q *http1.Request) {
	if f.ready {
		f.reply(a, 200, nil, q.KeepAlive)
	} else {
		f.reply(a, 503, nil, q.KeepAlive, "Retry-After", "1")
	}
}

func (f *Front) refuseInput(a *agentLink, status int, text string) {
	extra := []string(nil)
	if status == 405 {
		extra = []string{"Allow", text}
	}
	f.reply(a, status, []byte(text+"\n"), a.request.KeepAlive, extra...)
}

// open turns a request into a transaction; what can't be one is link.Answered and reaches no worker.
func (f *Front) open(a *agentLink, q *http1.Request, path string) bool {
	segments := strings.Split(path[1:], "/")
	class := f.conf.Names.Class(segments[0])
	if class < 0 {
		f.refuseInput(a, 404, "no such path or class")
		return false
	}
	if string(q.Method) != "POST" {
		f.refuseInput(a, 405, "POST")
		return false
	}
	t, text := newTransaction(q, segments, class)
	if text != "" {
		f.refuseInput(a, 400, text)
		return false
	}
	t.Agent = a
	t.Deadline = f.loop.Now() + max(core.Millisecond, t.Deadline-answerMargin)
	if !f.core.Take(t) {
		f.refuseInput(a, 400, HeaderID+" is in use")
		return false
	}
	a.in = t
	return true
}

// newTransaction reads the headers; Deadline is still the time left. A text tells what is wrong.
func newTransaction(q *http1.Request, segments []string, class int) (*core.Transaction, string) {
	id := q.Get(HeaderID)
	if len(id) == 0 || len(id) > longestID || q.Count(HeaderID) > 1 || strings.ContainsAny(string(id), " ,\t\"/?#%") {
		return nil, HeaderID + " is missing or unusable"
	}
	left, err := strconv.ParseUint(string(q.Get(HeaderTimeLeft)), 10, 32)
	if err != nil || left == 0 || left > longestLeft || q.Count(HeaderTimeLeft) > 1 {
		return nil, HeaderTimeLeft + " is missing or unusable"
	}
	if named := q.Get(HeaderClass); named != nil && string(named) != segments[0] {
		return nil, HeaderClass + " is not the class of the path"
	}
	t := &core.Transaction{ID: string(id), Deadline: core.Time(left) * core.Millisecond,
		Work: core.Work{Class: class, Target: string(q.Target), Body: q.Body}}
	if len(segments) > 1 {
		t.Work.Key = segments[len(segments)-1]
	}
	for fact := range strings.SplitSeq(string(q.Get(HeaderFacts)), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(fact), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v < 1e9) {
			continue // a figure that is not known here or is none
		}
		switch name {
		case "slots":
			t.Slots = v
		case "memory":
			t.Memory = v
		}
	}
	return t, ""
}

// Answer implements core.UserAgent.
func (a *agentLink) Answer(t *core.Transaction, answer core.Answer) {
	f := a.front
	switch answer.Kind {
	case core.Served:
		f.reply(a, 200, answer.Result, a.request.KeepAlive)
	case core.Unavailable:
		f.reply(a, 503, nil, a.request.KeepAlive, "Retry-After", seconds(answer.RetryAfter))
	default:
		f.reply(a, 500, nil, a.request.KeepAlive)
	}
}

// seconds writes a length of time in decimal seconds, to the millisecond above.
func seconds(t core.Time) string {
	ms := (t + core.Millisecond - 1) / core.Millisecond
	return fmt.Sprintf("%d.%03d", ms/1000, ms%1000)
}

// Released implements core.UserAgent: no pass needs the request's bytes any more.
func (a *agentLink) Released(*core.Transaction) {
	a.in = nil
	a.last = a.front.loop.Now()
	a.Release()
}

// reply queues an answer. The message is put together anew, since it outlives the turn and with it
// the call-back's buffer that the result is a slice of.
func (f *Front) reply(a *agentLink, status int, body []byte, keepAlive bool, extra ...string) {
	if a.Ended {
		return
	}
	keepAlive = keepAlive && (f.stopping == 0 || a.callsBack) && a.Reason == ""
	if string(a.request.Method) == "HEAD" {
		body = nil
	}
	message := http1.AppendResponse(make([]byte, 0, 160+len(body)), status, keepAlive, body, extra...)
	a.Send(f.loop, link.Outgoing{Message: message, Last: !keepAlive})
}

// gone has an accepted connection end: what it waited for is hung up.
func (f *Front) gone(a *agentLink) {
	line, first := a.Farewell(f.loop.Now())
	if !first {
		return
	}
	if a.callsBack {
		line = strings.Replace(line, "party=agent", "party=call-back", 1)
	}
	f.log(line)
	f.agents.Free(a.ref)
	if a.in != nil {
		f.core.HangUp(a.in)
	}
	a.Release()
}

// sweep looks after connections now and then: floods, idle worker connections, the end.
func (f *Front) sweep() {
	f.agents.Each(func(_ core.Ref, a *agentLink) {
		if a.NC.Reader().Len() > http1.MaxHead+4*http1.MaxBody+link.AheadMost {
			a.Close(link.Flooding) // netpoll reads on while a request is in hand: this bounds it
		}
	})
	f.pool.retire()
	f.loop.At(f.loop.Now()+sweepEvery, f.sweep)
}

// Stop begins the end after SIGTERM. New connections are taken for as long as the platform's front
// may still send some; then idle ones are closed, all that was taken is link.Answered, and the listener,
// to which the workers call back, stays open until then. done is called when nothing is left.
func (f *Front) Stop(done func()) {
	if f.stopping == 0 {
		f.stopping, f.stopped = f.loop.Now(), done
		f.log(fmt.Sprintf("stopping: %d open", f.core.Open()))
		f.loop.At(f.stopping+acceptOn, f.drain)
	}
}

func (f *Front) drain() {
	agents, open := 0, f.core.Open()
	f.agents.Each(func(_ core.Ref, a *agentLink) {
		if a.callsBack {
			return
		}
		if agents++; a.in == nil && a.NC.Reader().Len() == 0 && a.IdleWriter() {
			a.Close(link.ShutDown)
		}
	})
	if open == 0 && agents == 0 && f.pool.writing() == 0 {
		f.listener.Close()
		f.agents.Each(func(_ core.Ref, a *agentLink) { a.Close(link.ShutDown) })
		f.pool.close()
		f.watch.stop()
		f.loop.At(f.loop.Now()+20*core.Millisecond, f.stopped)
		return
	}
	f.loop.At(f.loop.Now()+20*core.Millisecond, f.drain)
}
