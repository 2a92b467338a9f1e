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
type Work struct {
	Class  int
	Tenant int    // whose share it counts against, as the settings number them from 1; 0: nobody's
	Target string // what is to be done, in the form of a path and query
	Key    string // what it concerns; may be empty
	Body   []byte // valid until the transaction's Released call
	Fields []byte // further header fields for the worker, in the form of HTTP/1.1's field lines; not for other transports
}

// Transaction is one request of a user agent.
type Transaction struct {
	ID       string
	Work     Work
	Deadline Time // the final answer is due by then
	Slots    float64
	Memory   float64
	Hint     Time // the work that the agent expects, on a core of usual speed; 0: it says nothing
	Agent    UserAgent
	Pool     *Pool  // whose workers may run it; nil: the main one's
	Asker    string // a worker that asks for work; empty: none does
	// Single is for a front that decides on other tries itself: the decisions end the transaction once it may
	// have run, whatever its class. The core must have been made with SingleClasses.
	Single bool

	ref      Ref
	closed   bool
	left     bool // its client has gone, and no further attempt begins
	ran      bool // an ended pass may have run
	passes   int  // sent so far
	sending  int  // sends that were decided on and are carried out at the end of this turn
	out      []Ref
	deadline *Deadline
}

// Left is the time until the transaction's deadline.
func (t *Transaction) Left(now Time) Time { return t.Deadline - now }

// UserAgent is the client's side of a transaction.
type UserAgent interface {
	// Answer gives the final answer, once.
	Answer(t *Transaction, a Answer)
	// Released tells that no carrier holds the transaction's work any more. It comes after Answer or
	// the hang-up, once, and from then on Work.Body may be overwritten; an agent may take it away with Answer, from when
	// on no pass begins.
	Released(t *Transaction)
}

// Placed may be implemented by a UserAgent: it is told of each pass that a carrier takes.
type Placed interface {
	Placed(t *Transaction, p *ProxyPass)
}

// AnswerKind is how a transaction ended.
type AnswerKind uint8

// The final answers.
const (
	Served      AnswerKind = iota
	Unavailable            // refused: trying again is harmless
	Failed                 // promises nothing
)

var answerKinds = [...]string{"served", "refused", "failed"}

// String is the kind's name in the log.
func (k AnswerKind) String() string { return answerKinds[k] }

// Answer is a transaction's final answer.
type Answer struct {
	Kind       AnswerKind
	Result     []byte // of Served; valid during the call
	RetryAfter Time   // of Unavailable: when to come back
}

// unavailableAnswer is a refusal. The user agent is always told when to come back: a refusal that
// gives no time would have it ask again at once.
func unavailableAnswer(after Time) Answer {
	return Answer{Kind: Unavailable, RetryAfter: max(after, minRetryAfter)}
}

const minRetryAfter = 50 * Millisecond

// ProxyPass is one attempt of a transaction at a worker.
type ProxyPass struct {
	Ref         Ref
	Transaction *Transaction
	Worker      string
	Number      int
	Carried     any // the carrier's own

	carrier Carrier
	sent    Time
}

// Carrier takes proxy passes to the workers that it has brought into the farm.
type Carrier interface {
	// Carry starts a pass. Its end is reported with Core.Ended, once, never within the call.
	Carry(p *ProxyPass)
	// Withdraw gives a pass up. It returns whether the pass may have reached the worker: if not, it
	// never ran. Nothing more needs to be reported of the pass.
	Withdraw(p *ProxyPass) (mayHaveRun bool)
	// Begun tells of a pass that is out whether anything of it may have left for the worker.
	Begun(p *ProxyPass) bool
	// Probe asks a worker for its load; the end is reported with Core.Probed.
	Probe(worker string)
}

// Core owns transactions, proxy passes, the farm and the Dispatcher. All methods are for the loop
// goroutine.
type Core struct {
	Loop *Loop
	Log  *slog.Logger
	// Listed, where it is set, is called after each news of the main pool's workers.
	Listed func()
	// Tell, where it is set, sends a message to all other schedulers; it may be lost.
	Tell func(data []byte)

	settings rules.Settings
	main     *Pool
	pools    []*Pool // the main one first
	queue    []func()
	telling  []byte // what is told at the end of this turn

	sites *siteWatch // nil: nothing is known of sites

	transactions Table[*Transaction]
	byID         map[string]*Transaction
	open         int // transactions that still need an answer
	passes       Table[*ProxyPass]
	Counts       Counts
	ByClass      []Ends // by the class of the work, counted as each final answer is given; grows to the classes seen
}

// Ends are the final answers of one class since the start.
type Ends struct{ Served, Refused, Failed uint64 }

// Counts are totals since the start.
type Counts struct {
	Taken, Served, Refused, Failed, HungUp, Passes, Probes uint64
}

// New makes the core. The first list must come before the first transaction.
func New(loop *Loop, settings rules.Settings, seed uint64, log *slog.Logger) *Core {
	c := &Core{Loop: loop, Log: log, settings: settings, byID: map[string]*Transaction{}}
	loop.now = loop.clock()
	c.main = c.NewPool("", settings, seed)
	loop.turnEnd = c.carryOut
	return c
}

// SingleClasses gives settings in which each class stands a second time, for transactions that are Single.
func SingleClasses(s rules.Settings) rules.Settings {
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
func (c *Core) Open() int { return c.open }

// Passes is the number of proxy passes that are out.
func (c *Core) Passes() int { return c.passes.Len() }

// Take opens a transaction; it will get exactly one final answer unless its agent hangs up. It gives
// false where the id is already in use, and the transaction is then not taken.
func (c *Core) Take(t *Transaction) bool {
	if c.byID[t.ID] != nil {
		return false
	}
	now := c.Loop.now
	if t.Pool == nil {
		t.Pool = c.main
	}
	c.Counts.Taken++
	c.open++
	class := t.Work.Class
	if t.Single {
		class += len(c.settings.Classes) / 2
	}
	t.ref = c.transactions.Add(t)
	c.byID[t.ID] = t
	t.deadline = c.Loop.At(t.Deadline, func() { c.overdue(t) })
	t.Pool.dispatcher.Request(now, &rules.Request{
		ID: rules.RequestID(t.ID), Class: class, Tenant: t.Work.Tenant - 1, Key: keyOf(t.Work.Key), HasKey: t.Work.Key != "",
		Deadline: t.Deadline, Hint: t.Hint, Slots: t.Slots, Memory: t.Memory,
		FetchingWorker: rules.WorkerID(t.Asker),
	})
	return true
}

// Known tells whether a transaction with the id is open.
func (c *Core) Known(id string) bool { return c.byID[id] != nil }

// HangUp tells that the agent has gone away.
func (c *Core) HangUp(t *Transaction) {
	if t.closed {
		return
	}
	c.Counts.HungUp++
	c.close(t)
	c.traceLeft(t)
	t.Pool.dispatcher.ClientDisconnected(c.Loop.now, rules.RequestID(t.ID))
	c.settle(t)
}

// overdue ends the passes of a transaction whose time is over. The decisions then give it up; where
// they have not by the end of the slack, it is failed without them: the answer is owed in any case.
func (c *Core) overdue(t *Transaction) {
	if t.closed {
		return
	}
	c.TimeOut(t)
	if t.closed {
		return
	}
	t.deadline = c.Loop.At(c.Loop.now+max(c.settings.AnswerSlack, 5*Millisecond), func() {
		if !t.closed {
			c.Log.Error("transaction given up without a decision", "id", t.ID)
			c.answer(t, Answer{Kind: Failed}, whyUndecided)
			t.Pool.dispatcher.ClientDisconnected(c.Loop.now, rules.RequestID(t.ID))
			c.settle(t)
		}
	})
}

// TimeOut ends the passes of a transaction that are out, as timed out or, where they never reached a worker, as
// not sent. What becomes of it the decisions say.
func (c *Core) TimeOut(t *Transaction) {
	for _, ref := range append([]Ref(nil), t.out...) {
		if p, ok := c.passes.Get(ref); ok && p.carrier != nil {
			status := rules.TimedOut
			if !p.carrier.Withdraw(p) {
				status = rules.NotSent
			}
			c.end(p, status, nil, rules.Load{})
		}
	}
}

// GiveUp answers all that is open of the agents named, at once, since the program ends: they are still
// there to hear it, and those whose jobs may be asked for again can do so elsewhere. The decisions are not
// asked any more; their rule for what may be refused holds.
func (c *Core) GiveUp(of func(UserAgent) bool) {
	c.transactions.Each(func(_ Ref, t *Transaction) {
		if t.closed || !of(t.Agent) {
			return
		}
		for _, ref := range append([]Ref(nil), t.out...) {
			if p, ok := c.passes.Get(ref); ok && p.carrier != nil && p.carrier.Withdraw(p) {
				t.ran = true
			}
		}
		c.answer(t, c.unserved(t), whyEnding)
		for _, ref := range append([]Ref(nil), t.out...) {
			if p, ok := c.passes.Get(ref); ok {
				c.end(p, rules.Cancelled, nil, rules.Load{})
			}
		}
		t.Pool.dispatcher.ClientDisconnected(c.Loop.now, rules.RequestID(t.ID))
		c.settle(t)
	})
}

// Ended reports the end of a pass. The first report counts: a pass that has ended, or that belonged to
// an earlier holder of the slot, is let pass, so that the decisions get one outcome for each send.
func (c *Core) Ended(ref Ref, status rules.Status, result []byte, load rules.Load) bool {
	p, ok := c.passes.Get(ref)
	if !ok {
		return false
	}
	c.end(p, status, result, load)
	return true
}

func (c *Core) end(p *ProxyPass, status rules.Status, result []byte, load rules.Load) {
	t := p.Transaction
	c.passes.Free(p.Ref)
	for i, r := range t.out {
		if r == p.Ref {
			t.out = append(t.out[:i], t.out[i+1:]...)
			break
		}
	}
	t.ran = t.ran || !status.NeverRan()
	c.traceEnd(p, status)
	switch {
	case t.closed:
	case status == rules.OK:
		c.sites.served()
		c.answer(t, Answer{Kind: Served, Result: result}, whyDone)
	case t.left && len(t.out) == 0:
		c.answer(t, c.unserved(t), whyLeft)
	}
	t.Pool.dispatcher.Outcome(c.Loop.now, &rules.Outcome{
		Request: rules.RequestID(t.ID), Attempt: p.Number, Worker: rules.WorkerID(p.Worker), Status: status,
		Latency: c.Loop.now - p.sent, Closed: t.closed, Load: load,
	})
	c.settle(t)
}

// Begin tells a carrier whether a pass may begin now, as its first byte is about to leave: the client may have gone
// since, or the worker, or the time in which it may be repeated. A pass that may not ends as not sent, in a later turn.
func (c *Core) Begin(ref Ref) bool {
	p, ok := c.passes.Get(ref)
	if !ok {
		return false
	}
	if !p.Transaction.left && p.Transaction.Pool.dispatcher.Begin(c.Loop.now, rules.RequestID(p.Transaction.ID), p.Number) {
		return true
	}
	c.Loop.Post(func() { c.Ended(ref, rules.NotSent, nil, rules.Load{}) })
	return false
}

// Started reports that a pass's job has started.
func (c *Core) Started(ref Ref) {
	if p, ok := c.passes.Get(ref); ok {
		c.note(p, true, 0)
	}
}

// Progress reports the part of a pass's job that is done.
func (c *Core) Progress(ref Ref, share float64) {
	if p, ok := c.passes.Get(ref); ok {
		c.note(p, false, share)
	}
}

func (c *Core) note(p *ProxyPass, started bool, share float64) {
	p.Transaction.Pool.dispatcher.Progress(c.Loop.now, &rules.Progress{Request: rules.RequestID(p.Transaction.ID), Attempt: p.Number,
		Worker: rules.WorkerID(p.Worker), Started: started, FractionDone: share})
}

// MostTold is how many bytes a message between schedulers has at most.
const MostTold = 256

// Peer takes a message of another scheduler, by its rank. Data is valid during the call.
func (c *Core) Peer(from int, data []byte) {
	if !c.main.share.heard(from, data) {
		c.main.dispatcher.PeerMessage(c.Loop.now, from, data)
	}
}

// Probed reports the end of a probe, to all pools that the worker is in.
func (c *Core) Probed(worker string, status rules.Status, took Time, load rules.Load) {
	for _, p := range c.pools {
		if p.farm.workers[worker] != nil || p == c.main {
			p.dispatcher.Probed(c.Loop.now, &rules.ProbeResult{Worker: rules.WorkerID(worker), Status: status, Latency: took, Load: load})
		}
	}
}

// Find gives the pass that is out for a request id at a worker, if there is one.
func (c *Core) Find(id, worker string) (*ProxyPass, bool) {
	t := c.byID[id]
	if t == nil {
		return nil, false
	}
	for _, ref := range t.out {
		if p, ok := c.passes.Get(ref); ok && p.Worker == worker {
			return p, true
		}
	}
	return nil, false
}

// answer gives a request its final answer; why is for the log.
func (c *Core) answer(t *Transaction, a Answer, why string) {
	if t.closed {
		return
	}
	c.close(t)
	c.traceAnswer(t, a, why)
	for len(c.ByClass) <= t.Work.Class {
		c.ByClass = append(c.ByClass, Ends{})
	}
	e := &c.ByClass[t.Work.Class]
	switch a.Kind {
	case Served:
		c.Counts.Served++
		e.Served++
	case Unavailable:
		c.Counts.Refused++
		e.Refused++
	default:
		c.Counts.Failed++
		e.Failed++
	}
	t.Agent.Answer(t, a)
}

func (c *Core) close(t *Transaction) {
	t.closed = true
	c.open--
	c.Loop.Drop(t.deadline)
	t.deadline = nil
}

// settle lets go of a transaction that has its answer and no pass out. A pass that is out still, since it may not be
// cancelled, is ended at the transaction's deadline: its worker may never say a word.
func (c *Core) settle(t *Transaction) {
	switch {
	case !t.closed:
	case t.sending > 0: // the pass that is made of it ends as not sent
	case len(t.out) > 0:
		if t.deadline == nil {
			t.deadline = c.Loop.At(max(t.Deadline, c.Loop.now), func() { c.TimeOut(t) })
		}
	case c.transactions.Free(t.ref):
		c.Loop.Drop(t.deadline)
		delete(c.byID, t.ID)
		t.Agent.Released(t)
	}
}
