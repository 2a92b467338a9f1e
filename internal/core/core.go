// Package core deals in transactions, proxy passes and outcomes. It owns the decision module's
// Dispatcher and stands between it and the fronts: a front hands over a transaction and gets one
// final answer; a carrier takes a proxy pass to a worker and reports how it ended. No wire's types
// are known here, and neither front nor carrier calls the decisions.
package core

import (
	"log/slog"

	"cobaltflow/rules"
)

// Work is what a transaction is about, in no wire's terms.
type Job struct {
	Class        int
	Tenant       int    // whose share it counts against, as the settings number them from 1; 0: nobody's
	Target       string // what is to be done, in the form of a path and query
	Key          string // what it concerns; may be empty
	Body         []byte // valid until the transaction's Released call
	HeaderFields []byte // further header fields for the worker, in the form of HTTP/1.1's field lines; not for other transports
}

// Transaction is one request of a user agent.
type Request struct {
	ID             string
	Job            Job
	Deadline       Time // the final answer is due by then
	Slots          float64
	Memory         float64
	Hint           Time // the work that the agent expects, on a core of usual speed; 0: it says nothing
	Client         Client
	Pool           *Pool  // whose workers may run it; nil: the main one's
	FetchingWorker string // a worker that asks for work; empty: none does
	// Single is for a front that decides on other tries itself: the decisions end the transaction once it may
	// have run, whatever its class. The core must have been made with SingleClasses.
	AtMostOnce bool

	ref            Ref
	closed         bool
	clientDetached bool // its client has gone, and no further attempt begins
	mayHaveRun     bool // an ended pass may have run
	attempts       int  // sent so far
	queuedSends    int  // sends that were decided on and are carried out at the end of this turn
	inFlight       []Ref
	timer          *Timer
}

// Left is the time until the transaction's deadline.
func (t *Request) TimeLeft(now Time) Time { return t.Deadline - now }

// UserAgent is the client's side of a transaction.
type Client interface {
	// Answer gives the final answer, once.
	Answer(t *Request, a Answer)
	// Released tells that no carrier holds the transaction's work any more. It comes after Answer or
	// the hang-up, once, and from then on Work.Body may be overwritten; an agent may take it away with Answer, from when
	// on no pass begins.
	Released(t *Request)
}

// Placed may be implemented by a UserAgent: it is told of each pass that a carrier takes.
type AttemptObserver interface {
	AttemptSent(t *Request, p *Attempt)
}

// AnswerKind is how a transaction ended.
type AnswerKind uint8

// The final answers.
const (
	Served  AnswerKind = iota
	Refused            // refused: trying again is harmless
	Failed             // promises nothing
)

var answerKindNames = [...]string{"served", "refused", "failed"}

// String is the kind's name in the log.
func (k AnswerKind) String() string { return answerKindNames[k] }

// Answer is a transaction's final answer.
type Answer struct {
	Kind       AnswerKind
	Result     []byte // of Served; valid during the call
	RetryAfter Time   // of Unavailable: when to come back
}

// unavailableAnswer is a refusal. The user agent is always told when to come back: a refusal that
// gives no time would have it ask again at once.
func newRefusal(after Time) Answer {
	return Answer{Kind: Refused, RetryAfter: max(after, minRetryAfter)}
}

const minRetryAfter = 50 * Millisecond

// ProxyPass is one attempt of a transaction at a worker.
type Attempt struct {
	Ref            Ref
	Request        *Request
	Worker         string
	Number         int
	TransportState any // the carrier's own

	transport Transport
	sentAt    Time
}

// Carrier takes proxy passes to the workers that it has brought into the farm.
type Transport interface {
	// Carry starts a pass. Its end is reported with Core.Ended, once, never within the call.
	Send(p *Attempt)
	// Withdraw gives a pass up. It returns whether the pass may have reached the worker: if not, it
	// never ran. Nothing more needs to be reported of the pass.
	Cancel(p *Attempt) (mayHaveRun bool)
	// Begun tells of a pass that is out whether anything of it may have left for the worker.
	HasBegun(p *Attempt) bool
	// Probe asks a worker for its load; the end is reported with Core.Probed.
	Probe(worker string)
}

// Core owns transactions, proxy passes, the farm and the Dispatcher. All methods are for the loop
// goroutine.
type Core struct {
	Loop *Loop
	Log  *slog.Logger
	// Listed, where it is set, is called after each news of the main pool's workers.
	OnWorkerList func()
	// Tell, where it is set, sends a message to all other schedulers; it may be lost.
	Broadcast func(data []byte)

	settings        rules.Settings
	mainPool        *Pool
	pools           []*Pool // the main one first
	pendingActions  []func()
	broadcastBuffer []byte // what is told at the end of this turn

	sites *siteWatch // nil: nothing is known of sites

	requests       SlotMap[*Request]
	byID           map[string]*Request
	openRequests   int // transactions that still need an answer
	attempts       SlotMap[*Attempt]
	Counts         Counts
	AnswersByClass []AnswerCounts // by the class of the work, counted as each final answer is given; grows to the classes seen
}

// Ends are the final answers of one class since the start.
type AnswerCounts struct{ Served, Refused, Failed uint64 }

// Counts are totals since the start.
type Counts struct {
	Accepted, Served, Refused, Failed, Cancelled, Attempts, Probes uint64
}

// New makes the core. The first list must come before the first transaction.
func New(loop *Loop, settings rules.Settings, seed uint64, log *slog.Logger) *Core {
	c := &Core{Loop: loop, Log: log, settings: settings, byID: map[string]*Request{}}
	loop.now = loop.clock()
	c.mainPool = c.NewPool("", settings, seed)
	loop.onTurnEnd = c.runPendingActions
	return c
}

// SingleClasses gives settings in which each class stands a second time, for transactions that are Single.
func WithAtMostOnceClasses(s rules.Settings) rules.Settings {
	classes := append([]rules.Class(nil), s.Classes...)
	for _, class := range s.Classes {
		class.Effect = rules.Once
		classes = append(classes, class)
	}
	s.Classes = classes
	return s
}

// Settings are those that the decisions were given.
func (c *Core) Settings() *rules.Settings { return &c.settings }

// Open is the number of transactions that still need an answer.
func (c *Core) OpenRequests() int { return c.openRequests }

// Passes is the number of proxy passes that are out.
func (c *Core) InFlightAttempts() int { return c.attempts.Len() }

// Take opens a transaction; it will get exactly one final answer unless its agent hangs up. It gives
// false where the id is already in use, and the transaction is then not taken.
func (c *Core) Accept(t *Request) bool {
	if c.byID[t.ID] != nil {
		return false
	}
	now := c.Loop.now
	if t.Pool == nil {
		t.Pool = c.mainPool
	}
	c.Counts.Accepted++
	c.openRequests++
	class := t.Job.Class
	if t.AtMostOnce {
		class += len(c.settings.Classes) / 2
	}
	t.ref = c.requests.Add(t)
	c.byID[t.ID] = t
	t.timer = c.Loop.At(t.Deadline, func() { c.deadlineExpired(t) })
	t.Pool.dispatcher.Request(now, &rules.Request{
		ID: rules.RequestID(t.ID), Class: class, Tenant: t.Job.Tenant - 1, Key: hashKey(t.Job.Key), HasKey: t.Job.Key != "",
		Deadline: t.Deadline, Hint: t.Hint, Slots: t.Slots, Memory: t.Memory,
		FetchingWorker: rules.WorkerID(t.FetchingWorker),
	})
	return true
}

// Known tells whether a transaction with the id is open.
func (c *Core) HasRequest(id string) bool { return c.byID[id] != nil }

// HangUp tells that the agent has gone away.
func (c *Core) ClientDisconnected(t *Request) {
	if t.closed {
		return
	}
	c.Counts.Cancelled++
	c.markClosed(t)
	c.traceClientGone(t)
	t.Pool.dispatcher.ClientDisconnected(c.Loop.now, rules.RequestID(t.ID))
	c.releaseIfDone(t)
}

// overdue ends the passes of a transaction whose time is over. The decisions then give it up; where
// they have not by the end of the slack, it is failed without them: the answer is owed in any case.
func (c *Core) deadlineExpired(t *Request) {
	if t.closed {
		return
	}
	c.TimeOutAttempts(t)
	if t.closed {
		return
	}
	t.timer = c.Loop.At(c.Loop.now+max(c.settings.AnswerSlack, 5*Millisecond), func() {
		if !t.closed {
			c.Log.Error("transaction given up without a decision", "id", t.ID)
			c.answer(t, Answer{Kind: Failed}, reasonNoDecision)
			t.Pool.dispatcher.ClientDisconnected(c.Loop.now, rules.RequestID(t.ID))
			c.releaseIfDone(t)
		}
	})
}

// TimeOut ends the passes of a transaction that are out, as timed out or, where they never reached a worker, as
// not sent. What becomes of it the decisions say.
func (c *Core) TimeOutAttempts(t *Request) {
	for _, ref := range append([]Ref(nil), t.inFlight...) {
		if p, ok := c.attempts.Get(ref); ok && p.transport != nil {
			status := rules.TimedOut
			if !p.transport.Cancel(p) {
				status = rules.NotSent
			}
			c.endAttempt(p, status, nil, rules.Load{})
		}
	}
}

// GiveUp answers all that is open of the agents named, at once, since the program ends: they are still
// there to hear it, and those whose jobs may be asked for again can do so elsewhere. The decisions are not
// asked any more; their rule for what may be refused holds.
func (c *Core) AbortRequests(of func(Client) bool) {
	c.requests.Each(func(_ Ref, t *Request) {
		if t.closed || !of(t.Client) {
			return
		}
		for _, ref := range append([]Ref(nil), t.inFlight...) {
			if p, ok := c.attempts.Get(ref); ok && p.transport != nil && p.transport.Cancel(p) {
				t.mayHaveRun = true
			}
		}
		c.answer(t, c.answerWithoutResult(t), reasonProcessEnds)
		for _, ref := range append([]Ref(nil), t.inFlight...) {
			if p, ok := c.attempts.Get(ref); ok {
				c.endAttempt(p, rules.Cancelled, nil, rules.Load{})
			}
		}
		t.Pool.dispatcher.ClientDisconnected(c.Loop.now, rules.RequestID(t.ID))
		c.releaseIfDone(t)
	})
}

// Ended reports the end of a pass. The first report counts: a pass that has ended, or that belonged to
// an earlier holder of the slot, is let pass, so that the decisions get one outcome for each send.
func (c *Core) AttemptEnded(ref Ref, status rules.Status, result []byte, load rules.Load) bool {
	p, ok := c.attempts.Get(ref)
	if !ok {
		return false
	}
	c.endAttempt(p, status, result, load)
	return true
}

func (c *Core) endAttempt(p *Attempt, status rules.Status, result []byte, load rules.Load) {
	t := p.Request
	c.attempts.Free(p.Ref)
	for i, r := range t.inFlight {
		if r == p.Ref {
			t.inFlight = append(t.inFlight[:i], t.inFlight[i+1:]...)
			break
		}
	}
	t.mayHaveRun = t.mayHaveRun || !status.NeverRan()
	c.traceEnd(p, status)
	switch {
	case t.closed:
	case status == rules.OK:
		c.sites.addRetryCredit()
		c.answer(t, Answer{Kind: Served, Result: result}, reasonDone)
	case t.clientDetached && len(t.inFlight) == 0:
		c.answer(t, c.answerWithoutResult(t), reasonClientGone)
	}
	t.Pool.dispatcher.Outcome(c.Loop.now, &rules.Outcome{
		Request: rules.RequestID(t.ID), Attempt: p.Number, Worker: rules.WorkerID(p.Worker), Status: status,
		Latency: c.Loop.now - p.sentAt, Closed: t.closed, Load: load,
	})
	c.releaseIfDone(t)
}

// Begin tells a carrier whether a pass may begin now, as its first byte is about to leave: the client may have gone
// since, or the worker, or the time in which it may be repeated. A pass that may not ends as not sent, in a later turn.
func (c *Core) BeginAttempt(ref Ref) bool {
	p, ok := c.attempts.Get(ref)
	if !ok {
		return false
	}
	if !p.Request.clientDetached && p.Request.Pool.dispatcher.Begin(c.Loop.now, rules.RequestID(p.Request.ID), p.Number) {
		return true
	}
	c.Loop.Post(func() { c.AttemptEnded(ref, rules.NotSent, nil, rules.Load{}) })
	return false
}

// Started reports that a pass's job has started.
func (c *Core) AttemptStarted(ref Ref) {
	if p, ok := c.attempts.Get(ref); ok {
		c.reportProgress(p, true, 0)
	}
}

// Progress reports the part of a pass's job that is done.
func (c *Core) AttemptProgress(ref Ref, share float64) {
	if p, ok := c.attempts.Get(ref); ok {
		c.reportProgress(p, false, share)
	}
}

func (c *Core) reportProgress(p *Attempt, started bool, share float64) {
	p.Request.Pool.dispatcher.Progress(c.Loop.now, &rules.Progress{Request: rules.RequestID(p.Request.ID), Attempt: p.Number,
		Worker: rules.WorkerID(p.Worker), Started: started, FractionDone: share})
}

// MostTold is how many bytes a message between schedulers has at most.
const MaxPeerMessageBytes = 256

// Peer takes a message of another scheduler, by its rank. Data is valid during the call.
func (c *Core) PeerMessage(from int, data []byte) {
	if !c.mainPool.share.handleHeartbeat(from, data) {
		c.mainPool.dispatcher.PeerMessage(c.Loop.now, from, data)
	}
}

// Probed reports the end of a probe, to all pools that the worker is in.
func (c *Core) Probed(worker string, status rules.Status, took Time, load rules.Load) {
	for _, p := range c.pools {
		if p.list.workers[worker] != nil || p == c.mainPool {
			p.dispatcher.Probed(c.Loop.now, &rules.ProbeResult{Worker: rules.WorkerID(worker), Status: status, Latency: took, Load: load})
		}
	}
}

// Find gives the pass that is out for a request id at a worker, if there is one.
func (c *Core) FindAttempt(id, worker string) (*Attempt, bool) {
	t := c.byID[id]
	if t == nil {
		return nil, false
	}
	for _, ref := range t.inFlight {
		if p, ok := c.attempts.Get(ref); ok && p.Worker == worker {
			return p, true
		}
	}
	return nil, false
}

// answer gives a request its final answer; why is for the log.
func (c *Core) answer(t *Request, a Answer, why string) {
	if t.closed {
		return
	}
	c.markClosed(t)
	c.traceAnswer(t, a, why)
	for len(c.AnswersByClass) <= t.Job.Class {
		c.AnswersByClass = append(c.AnswersByClass, AnswerCounts{})
	}
	e := &c.AnswersByClass[t.Job.Class]
	switch a.Kind {
	case Served:
		c.Counts.Served++
		e.Served++
	case Refused:
		c.Counts.Refused++
		e.Refused++
	default:
		c.Counts.Failed++
		e.Failed++
	}
	t.Client.Answer(t, a)
}

func (c *Core) markClosed(t *Request) {
	t.closed = true
	c.openRequests--
	c.Loop.CancelTimer(t.timer)
	t.timer = nil
}

// settle lets go of a transaction that has its answer and no pass out. A pass that is out still, since it may not be
// cancelled, is ended at the transaction's deadline: its worker may never say a word.
func (c *Core) releaseIfDone(t *Request) {
	switch {
	case !t.closed:
	case t.queuedSends > 0: // the pass that is made of it ends as not sent
	case len(t.inFlight) > 0:
		if t.timer == nil {
			t.timer = c.Loop.At(max(t.Deadline, c.Loop.now), func() { c.TimeOutAttempts(t) })
		}
	case c.requests.Free(t.ref):
		c.Loop.CancelTimer(t.timer)
		delete(c.byID, t.ID)
		t.Client.Released(t)
	}
}
