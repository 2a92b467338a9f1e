// Package core owns the open requests, their attempts, the list of workers and the Dispatcher of package rules, which
// chooses a worker for each request and decides on retries and refusals. The fronts (the listeners of the client
// protocols) hand it requests and get one final answer for each; a Transport sends its attempts to the workers and
// reports how they ended. The package knows no protocol, and neither fronts nor transports call the Dispatcher.
package core

import (
	"log/slog"

	"cobaltflow/rules"
)

// Job is what a request asks a worker to do, independent of the protocol it came by.
type Job struct {
	Class        int    // index into rules.Settings.Classes
	Tenant       int    // counted from 1 in the order of rules.Settings.Tenants; 0: the job counts against no quota
	Target       string // path and query
	Key          string // the object that the job is about; may be empty
	Body         []byte // valid until Client.Released is called
	HeaderFields []byte // further HTTP/1.1 field lines for the worker; other transports ignore them
}

// Request is one request of a client.
type Request struct {
	ID             string // unique among the requests that the core holds
	Job            Job
	Deadline       Time    // the final answer is due by this time of the loop's clock
	Slots          float64 // worker slots that the job occupies; 0: 1
	Memory         float64 // worker memory that the job occupies, in the unit of rules.Load.FreeMem
	Hint           Time    // running time on a core of average speed, as the client estimates it; 0: unknown
	Client         Client
	Pool           *Pool  // the workers that may run the job; nil: the main pool
	FetchingWorker string // a worker that is fetching work and should get the job first; empty: none
	// AtMostOnce is set by a front that decides on retries itself: the Dispatcher ends the request as soon as it may have
	// run, whatever its class allows. The core's settings must come from WithAtMostOnceClasses.
	AtMostOnce bool

	ref            Ref
	closed         bool   // has its final answer, or the client cancelled it
	clientDetached bool   // the client has gone and no further attempt begins
	mayHaveRun     bool   // an ended attempt may have run
	attempts       int    // made so far; the number of the next one
	queuedSends    int    // sends the Dispatcher has decided on and that are executed at the end of this turn
	inFlight       []Ref  // attempts that have not ended
	timer          *Timer // fires at the deadline; nil: none is set
}

// TimeLeft is the time until the request's deadline; negative once the deadline has passed.
func (r *Request) TimeLeft(now Time) Time { return r.Deadline - now }

// Client receives the outcome of a request.
type Client interface {
	// Answer delivers the final answer. It is called once, unless the client has disconnected before.
	Answer(request *Request, answer Answer)
	// Released is called once, after Answer or Core.ClientDisconnected, when no transport uses the request's job any
	// more: Job.Body may be overwritten from then on. No attempt begins after Answer, so that a client may also take
	// the body back within Answer.
	Released(request *Request)
}

// PresenceReporter may be implemented by a Client that knows that it has gone before the event of it is handled.
type PresenceReporter interface {
	// IsGone reports whether nobody waits for the answer any more.
	IsGone() bool
}

// isClientGone reports whether the client of a request is known to have gone.
func (r *Request) isClientGone() bool {
	if r.clientDetached {
		return true
	}
	client, ok := r.Client.(PresenceReporter)
	return ok && client.IsGone()
}

// AttemptObserver may be implemented by a Client that wants a call for each attempt handed to a transport.
type AttemptObserver interface {
	AttemptSent(request *Request, attempt *Attempt)
}

// AnswerKind is how a request ended.
type AnswerKind uint8

// The kinds of final answers.
const (
	Served  AnswerKind = iota
	Refused            // no worker ran the job, or running it again is harmless: the client may retry
	Failed             // the job may or may not have run
)

var answerKindNames = [...]string{"served", "refused", "failed"}

// String returns the kind's name in the log.
func (k AnswerKind) String() string { return answerKindNames[k] }

// Answer is the final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Result     []byte // of Served; valid during the call of Client.Answer
	RetryAfter Time   // of Refused: how long the client should wait before it retries
}

// newRefusal returns a refusal with a retry delay of at least minRetryAfter: a client that is given no delay retries at
// once.
func newRefusal(after Time) Answer {
	return Answer{Kind: Refused, RetryAfter: max(after, minRetryAfter)}
}

const minRetryAfter = 50 * Millisecond

// Attempt is one try to run a request at a worker. A transport gets what the worker is to do from Core.BeginAttempt alone, so
// that it cannot send an attempt that may not begin any more.
type Attempt struct {
	Ref            Ref
	RequestID      string
	Client         Client // of the request
	Worker         string
	Number         int // among the attempts of the request, from 0
	TransportState any // owned by the transport

	request *Request

	transport Transport // nil: the attempt was never handed to one
	sentAt    Time
}

// Transport sends attempts to the workers that it has reported with UpdateWorkerList. The core calls it on the loop
// goroutine.
type Transport interface {
	// Send starts an attempt. The transport reports its end with Core.AttemptEnded, once and never within this call.
	Send(attempt *Attempt)
	// Cancel gives an attempt up and returns whether it may have reached the worker; if not, it never ran. The transport
	// need not report the attempt's end afterwards.
	Cancel(attempt *Attempt) (mayHaveRun bool)
	// HasBegun returns whether any part of an attempt in flight may have left for the worker.
	HasBegun(attempt *Attempt) bool
	// Probe requests a load report of a worker. The transport reports the result with Core.Probed.
	Probe(worker string)
}

// Core owns the requests, the attempts, the worker list and the Dispatcher. Its methods must be called on the loop
// goroutine.
type Core struct {
	Loop *Loop
	Log  *slog.Logger
	// OnWorkerList, if set, is called after each update of the main pool's worker list.
	OnWorkerList func()
	// Broadcast, if set, sends a message to all other schedulers. The message may be lost. Data is valid during the call.
	Broadcast func(data []byte)

	settings        rules.Settings
	mainPool        *Pool
	pools           []*Pool         // the main pool first
	disabledWorkers map[string]bool // by operators
	pendingActions  []func()        // decided on in this turn
	broadcastBuffer []byte          // messages to the other schedulers, sent at the end of this turn

	sites *siteWatch // nil: sites are not watched

	requests       SlotMap[*Request]
	byID           map[string]*Request
	openRequests   int // requests without a final answer
	attempts       SlotMap[*Attempt]
	Counts         Counts
	AnswersByClass []AnswerCounts // indexed by Job.Class; as long as the highest class answered so far requires
}

// AnswerCounts counts the final answers of one class since the process started.
type AnswerCounts struct{ Served, Refused, Failed uint64 }

// Counts holds totals since the process started.
type Counts struct {
	Accepted, Served, Refused, Failed, Cancelled, Attempts, Probes uint64
}

// New returns a core without workers. Its first worker list must be set before the first request is accepted.
func New(loop *Loop, settings rules.Settings, seed uint64, log *slog.Logger) *Core {
	c := &Core{Loop: loop, Log: log, settings: settings, byID: map[string]*Request{}, disabledWorkers: map[string]bool{}}
	loop.now = loop.Clock()
	c.mainPool = c.NewPool("", settings, seed)
	loop.onTurnEnd = c.runPendingActions
	return c
}

// WithAtMostOnceClasses returns the settings with a second copy of each class, appended in the same order, whose effect
// is rules.Once. Requests with AtMostOnce set use the copies.
func WithAtMostOnceClasses(s rules.Settings) rules.Settings {
	classes := append([]rules.Class(nil), s.Classes...)
	for _, class := range s.Classes {
		class.Effect = rules.Once
		classes = append(classes, class)
	}
	s.Classes = classes
	return s
}

// Settings returns the settings that New got. They must not be changed.
func (c *Core) Settings() *rules.Settings { return &c.settings }

// OpenRequests returns the number of requests without a final answer.
func (c *Core) OpenRequests() int { return c.openRequests }

// InFlightAttempts returns the number of attempts that have not ended.
func (c *Core) InFlightAttempts() int { return c.attempts.Len() }

// Accept takes a request over: it gets exactly one final answer unless its client disconnects before. Accept returns
// false and does nothing if the core still holds a request with the same ID.
func (c *Core) Accept(request *Request) bool {
	if c.byID[request.ID] != nil {
		return false
	}
	now := c.Loop.now
	if request.Pool == nil {
		request.Pool = c.mainPool
	}
	c.Counts.Accepted++
	c.openRequests++
	class := request.Job.Class
	if request.AtMostOnce {
		class += len(c.settings.Classes) / 2
	}
	request.ref = c.requests.Add(request)
	c.byID[request.ID] = request
	request.timer = c.Loop.At(request.Deadline, func() { c.deadlineExpired(request) })
	request.Pool.dispatcher.Request(now, &rules.Request{
		ID: rules.RequestID(request.ID), Class: class, Tenant: request.Job.Tenant - 1,
		Key: hashKey(request.Job.Key), HasKey: request.Job.Key != "",
		Deadline: request.Deadline, Hint: request.Hint, Slots: request.Slots, Memory: request.Memory,
		FetchingWorker: rules.WorkerID(request.FetchingWorker),
	})
	return true
}

// HasRequest returns whether the core holds a request with the ID: one without a final answer, or with attempts that
// have not ended.
func (c *Core) HasRequest(id string) bool { return c.byID[id] != nil }

// ClientDisconnected cancels a request whose client has gone. The client gets no answer, and Client.Released once the
// attempts have ended.
func (c *Core) ClientDisconnected(request *Request) {
	if request.closed {
		return
	}
	c.Counts.Cancelled++
	c.markClosed(request)
	c.traceClientGone(request)
	request.Pool.dispatcher.ClientDisconnected(c.Loop.now, rules.RequestID(request.ID))
	c.releaseIfDone(request)
}

// deadlineExpired ends the attempts of a request at its deadline. The Dispatcher then refuses or fails the request; if it
// has not done so within AnswerSlack, the core fails it, since every request gets an answer.
func (c *Core) deadlineExpired(request *Request) {
	if request.closed {
		return
	}
	c.TimeOutAttempts(request)
	if request.closed {
		return
	}
	request.timer = c.Loop.At(c.Loop.now+max(c.settings.AnswerSlack, 5*Millisecond), func() {
		if !request.closed {
			c.Log.Error("request failed: the dispatcher did not end it by its deadline", "id", request.ID)
			c.answer(request, Answer{Kind: Failed}, reasonNoDecision)
			request.Pool.dispatcher.ClientDisconnected(c.Loop.now, rules.RequestID(request.ID))
			c.releaseIfDone(request)
		}
	})
}

// TimeOutAttempts ends the attempts of a request that are in flight: as timed out or, where they never reached a worker,
// as not sent. The Dispatcher decides what becomes of the request.
func (c *Core) TimeOutAttempts(request *Request) {
	for _, ref := range append([]Ref(nil), request.inFlight...) {
		if attempt, ok := c.attempts.Get(ref); ok && attempt.transport != nil {
			status := rules.TimedOut
			if !attempt.transport.Cancel(attempt) {
				status = rules.NotSent
			}
			c.endAttempt(attempt, status, nil, rules.Load{})
		}
	}
}

// AbortRequests answers at once all open requests whose client matches, because the process ends: the clients are still
// connected, and those that get a refusal can retry elsewhere. The Dispatcher is not consulted, but its rule for what may
// be refused applies.
func (c *Core) AbortRequests(match func(Client) bool) {
	c.requests.Each(func(_ Ref, request *Request) {
		if match(request.Client) {
			c.abort(request)
		}
	})
}

// AbortRequestsAt is AbortRequests for the requests with an attempt in flight on a transport, whichever front they came from.
// What the transport's workers report about them can no longer arrive.
func (c *Core) AbortRequestsAt(transport Transport) {
	c.requests.Each(func(_ Ref, request *Request) {
		for _, ref := range request.inFlight {
			if attempt, ok := c.attempts.Get(ref); ok && attempt.transport == transport {
				c.abort(request)
				return
			}
		}
	})
}

// abort answers a request because the process ends.
func (c *Core) abort(request *Request) {
	if request.closed {
		return
	}
	for _, ref := range append([]Ref(nil), request.inFlight...) {
		if attempt, ok := c.attempts.Get(ref); ok && attempt.transport != nil && attempt.transport.Cancel(attempt) {
			request.mayHaveRun = true
		}
	}
	c.answer(request, c.answerWithoutResult(request), reasonProcessEnds)
	for _, ref := range append([]Ref(nil), request.inFlight...) {
		if attempt, ok := c.attempts.Get(ref); ok {
			c.endAttempt(attempt, rules.Cancelled, nil, rules.Load{})
		}
	}
	request.Pool.dispatcher.ClientDisconnected(c.Loop.now, rules.RequestID(request.ID))
	c.releaseIfDone(request)
}

// AttemptEnded reports the end of an attempt. Only the first report counts, so that the Dispatcher gets one outcome for
// each send: AttemptEnded returns false and does nothing if the attempt has already ended.
func (c *Core) AttemptEnded(ref Ref, status rules.Status, result []byte, load rules.Load) bool {
	attempt, ok := c.attempts.Get(ref)
	if !ok {
		return false
	}
	c.endAttempt(attempt, status, result, load)
	return true
}

func (c *Core) endAttempt(attempt *Attempt, status rules.Status, result []byte, load rules.Load) {
	request := attempt.request
	c.attempts.Free(attempt.Ref)
	for i, ref := range request.inFlight {
		if ref == attempt.Ref {
			request.inFlight = append(request.inFlight[:i], request.inFlight[i+1:]...)
			break
		}
	}
	request.mayHaveRun = request.mayHaveRun || !status.NeverRan()
	c.traceEnd(attempt, status)
	switch {
	case request.closed:
	case status == rules.OK:
		c.sites.addRetryCredit()
		c.answer(request, Answer{Kind: Served, Result: result}, reasonDone)
	case request.clientDetached && len(request.inFlight) == 0:
		c.answer(request, c.answerWithoutResult(request), reasonClientGone)
	}
	request.Pool.dispatcher.Outcome(c.Loop.now, &rules.Outcome{
		Request: rules.RequestID(request.ID), Attempt: attempt.Number, Worker: rules.WorkerID(attempt.Worker), Status: status,
		Latency: c.Loop.now - attempt.sentAt, Closed: request.closed, Load: load,
	})
	c.releaseIfDone(request)
}

// BeginAttempt returns the request of an attempt that begins now, or nil if it may not begin. A transport calls it right before
// the first byte leaves, however long the attempt has waited: since the send was decided on, the client or the worker may
// have gone, or the time in which the request may be retried may have passed. An attempt that may not begin ends as not
// sent, in a later turn.
func (c *Core) BeginAttempt(ref Ref) *Request {
	attempt, ok := c.attempts.Get(ref)
	if !ok {
		return nil
	}
	request := attempt.request
	if !request.isClientGone() && request.Pool.dispatcher.Begin(c.Loop.now, rules.RequestID(request.ID), attempt.Number) {
		return request
	}
	c.Loop.Post(func() { c.AttemptEnded(ref, rules.NotSent, nil, rules.Load{}) })
	return nil
}

// AttemptStarted reports that a worker has started an attempt's job.
func (c *Core) AttemptStarted(ref Ref) {
	if attempt, ok := c.attempts.Get(ref); ok {
		c.reportProgress(attempt, true, 0)
	}
}

// AttemptProgress reports the fraction of an attempt's job that is done, from 0 to 1.
func (c *Core) AttemptProgress(ref Ref, fraction float64) {
	if attempt, ok := c.attempts.Get(ref); ok {
		c.reportProgress(attempt, false, fraction)
	}
}

func (c *Core) reportProgress(attempt *Attempt, started bool, fraction float64) {
	attempt.request.Pool.dispatcher.Progress(c.Loop.now, &rules.Progress{Request: rules.RequestID(attempt.RequestID),
		Attempt: attempt.Number, Worker: rules.WorkerID(attempt.Worker), Started: started, FractionDone: fraction})
}

// MaxPeerMessageBytes is the largest message that schedulers send to each other, in bytes.
const MaxPeerMessageBytes = 256

// PeerMessage handles a message of another scheduler, given by its rank. Data is valid during the call.
func (c *Core) PeerMessage(from int, data []byte) {
	if !c.mainPool.share.handleHeartbeat(from, data) {
		c.mainPool.dispatcher.PeerMessage(c.Loop.now, from, data)
	}
}

// Probed reports the result of a probe to the main pool and to all other pools that list the worker.
func (c *Core) Probed(worker string, status rules.Status, latency Time, load rules.Load) {
	for _, pool := range c.pools {
		if pool.list.workers[worker] != nil || pool == c.mainPool {
			pool.dispatcher.Probed(c.Loop.now,
				&rules.ProbeResult{Worker: rules.WorkerID(worker), Status: status, Latency: latency, Load: load})
		}
	}
}

// MayRepeat reports whether the request of an attempt may run more than once, at any worker.
func (c *Core) MayRepeat(attempt *Attempt) bool { return c.isRepeatable(attempt.request) }

// isRepeatable reports whether a request may run more than once, at any worker.
func (c *Core) isRepeatable(request *Request) bool {
	return !request.AtMostOnce && c.settings.Classes[request.Job.Class].Effect == rules.Repeatable
}

// FindAttempt returns the attempt of a request, given by its ID, that is in flight at a worker, and whether there is one.
func (c *Core) FindAttempt(id, worker string) (*Attempt, bool) {
	request := c.byID[id]
	if request == nil {
		return nil, false
	}
	for _, ref := range request.inFlight {
		if attempt, ok := c.attempts.Get(ref); ok && attempt.Worker == worker {
			return attempt, true
		}
	}
	return nil, false
}

// answer delivers the final answer of a request that has none; reason is for the log.
func (c *Core) answer(request *Request, answer Answer, reason string) {
	if request.closed {
		return
	}
	c.markClosed(request)
	c.traceAnswer(request, answer, reason)
	for len(c.AnswersByClass) <= request.Job.Class {
		c.AnswersByClass = append(c.AnswersByClass, AnswerCounts{})
	}
	counts := &c.AnswersByClass[request.Job.Class]
	switch answer.Kind {
	case Served:
		c.Counts.Served++
		counts.Served++
	case Refused:
		c.Counts.Refused++
		counts.Refused++
	default:
		c.Counts.Failed++
		counts.Failed++
	}
	request.Client.Answer(request, answer)
}

func (c *Core) markClosed(request *Request) {
	request.closed = true
	c.openRequests--
	c.Loop.CancelTimer(request.timer)
	request.timer = nil
}

// releaseIfDone releases a closed request that has no attempt left. An attempt that may not be cancelled ends at the
// request's deadline at the latest: its worker may never reply.
func (c *Core) releaseIfDone(request *Request) {
	switch {
	case !request.closed:
	case request.queuedSends > 0: // the attempt made of each ends as not sent, and calls this function again
	case len(request.inFlight) > 0:
		if request.timer == nil {
			request.timer = c.Loop.At(max(request.Deadline, c.Loop.now), func() { c.TimeOutAttempts(request) })
		}
	case c.requests.Free(request.ref):
		c.Loop.CancelTimer(request.timer)
		delete(c.byID, request.ID)
		request.Client.Released(request)
	}
}
