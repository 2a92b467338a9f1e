// Package rules decides, for one dispatcher, which worker each job goes to: it owns the worker
// registry, the load estimates and every placement, retry and admission decision. A host (the core of
// the gateway, or the simulator's adapter) feeds it events and carries out the actions it emits.
//
// # Contract of the host
//
// One Dispatcher is used by one goroutine at a time. Every event carries now, in microseconds of
// any clock that never goes backwards. Events are passed in the order in which they arrived. Actions
// are emitted from within the event methods and must be carried out in the order emitted. A timer
// requested with Timer is returned once through TimerDue, at its time or later, never from within
// the call. Each Send is followed by exactly one Outcome, also after the request has ended; attempts
// of a request are numbered 0, 1, 2 ... in the order sent. A request ends with the first outcome whose
// Closed is set, with Refuse or Fail, or with ClientDisconnected. A new Dispatcher gets one List
// (which may be stale or empty) before its first request. The Dispatcher may keep strings passed to it.
package rules

// This file is the whole interface: settings, events and actions. The files that deploy/balancer.toml
// names as policy hold the decisions; the others hold data structures.

import "slices"

// Time is a point in time on the host's clock, or a duration, in microseconds.
type Time = int64

// RequestID and WorkerID are opaque. Every dispatcher sees the same id for the same worker.
type (
	RequestID string
	WorkerID  string
)

// Effect states whether a request may be repeated once an attempt of it may have run.
type Effect uint8

const (
	Once       Effect = iota // never repeated, and never refused after such an attempt (the default: the safest)
	Keyed                    // repeated only inside Group and within Window
	Repeatable               // idempotent: repeated freely
)

// Group is the set of workers that deduplicates a Keyed request: a repeat inside it is dropped.
type Group uint8

const (
	GroupAll  Group = iota // all workers
	GroupZone              // the workers of one zone
	GroupCell              // the workers of one cell
)

// Class describes one class of requests. Zero values stand for the defaults noted.
type Class struct {
	LatencyTarget Time    // an answer within it earns the full Value; 0: half the deadline
	TargetStretch float64 // the target grows by this multiple of the job's own running time
	Deadline      Time    // how long the client waits; each request carries its own deadline; 0: 60 s
	Value         float64 // 0: 1
	LateValue     float64 // fraction of Value that an answer after the target earns
	Effect        Effect
	Group         Group
	Window        Time // how long a Keyed repeat is dropped, from the first attempt's send
	Kind          int  // the one kind of worker that can run it; negative: any
	Priority      int  // not used by the decisions
}

// Tenant is one customer of the service and its quota.
type Tenant struct {
	QuotaPerS float64 // requests per second over all dispatchers; 0: no quota
}

// Settings are passed to New and don't change afterwards. Zero values stand for the defaults noted.
type Settings struct {
	Classes   []Class
	Tenants   []Tenant
	Zones     int // number of zones
	Kinds     int // number of kinds of workers
	Zone      int // zone of this dispatcher
	Rank      int // number of this dispatcher, from 0 to GroupSize-1
	GroupSize int // number of dispatchers that send to the same workers; 0: 1

	PullsList        bool // the list is sent only after Watch or Fetch; otherwise it is pushed
	PollWithin       Time // a dispatcher that is not subscribed must poll this often; 0: 10 s
	MayProbe         bool
	MayCancel        bool
	MayBroadcast     bool // dispatchers may send one another messages
	MayHedge         bool // two attempts of a request may be outstanding at once
	MaxAttempts      int  // 0: 3
	RetryAfter       bool // a refusal may state when the client may retry
	MaxRetryAfter    Time // the delay that a refusal states beyond a quota
	ConnectTimeout   Time
	ReportsStart     bool // workers report a job's start
	ProgressInterval Time // workers report a job's progress this often; 0: never
	LoadInAnswers    bool // outcomes carry load reports
	LoadInProbes     bool // probe results carry load reports
	WeightsAreSize   bool // list weights are the relative sizes of workers

	AnswerSlack          Time    // an answer this long past the deadline still counts; 0: none
	DrainGrace           Time    // attempts at a draining worker end within it
	SlowStartMinCapacity float64 // fraction of its capacity that a worker starts with at least; 0: 0.1
	SlowStartWindow      Time    // time from a worker's start until it is warm; 0: 30 s
	OverloadFactor       float64 // more than this multiple of its present capacity ...; 0: 2
	OverloadWindow       Time    // ... for this long overloads a cold worker; 0: 1 s

	ProbeCost       float64 // cost of one probe per request, as a fraction of the service's value
	PeerMessageCost float64 // the same for a full message, 256 bytes, to one peer
	CrossZoneCost   float64 // the same for sending to another zone
	OriginFetchCost float64 // the same for a fetch from the key store
	OverQuotaValue  float64 // factor on the value of traffic beyond a tenant's quota
	ValueByWork     bool    // a job earns its class's value per unit of its work, otherwise per job
}

// withDefaults returns a copy in which zero values are replaced by the defaults noted.
func (s Settings) withDefaults() Settings {
	s.GroupSize = max(1, s.GroupSize)
	setDefault(&s.MaxAttempts, 3)
	setDefault(&s.PollWithin, 10_000_000)
	setDefault(&s.SlowStartMinCapacity, 0.1)
	setDefault(&s.SlowStartWindow, 30_000_000)
	setDefault(&s.OverloadFactor, 2)
	setDefault(&s.OverloadWindow, 1_000_000)
	if len(s.Classes) == 0 {
		s.Classes = []Class{{Kind: -1}}
	}
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		c := &s.Classes[i]
		setDefault(&c.Deadline, 60_000_000)
		setDefault(&c.LatencyTarget, c.Deadline/2)
		setDefault(&c.Value, 1)
	}
	return s
}

func setDefault[T int | int64 | float64](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// WorkerState is the state of a worker on the list.
type WorkerState uint8

const (
	Ready    WorkerState = iota // may be sent jobs
	Draining                    // finishes its jobs and gets no new ones
	Gone                        // no longer listed
)

// DisabledBy is a source, other than the list, that disables a worker. Each source enables only what it
// has disabled itself.
type DisabledBy int

// Sources that disable workers.
const (
	ByOperator    DisabledBy = iota // an operator's directive
	BySites                         // the failover policy: the worker's site does not answer
	numDisabledBy                   // number of sources
)

// ListEntry is one worker of the list.
type ListEntry struct {
	Worker           WorkerID
	Zone, Kind, Cell int
	State            WorkerState
	Weight           float64
	StartedAt        Time // start of the worker's process; 0: long ago
}

// ListForm states how to apply a List.
type ListForm uint8

const (
	ListDelta  ListForm = iota // changed entries only
	ListFull                   // all entries; absent workers are gone
	ListCached                 // all entries as last stored, possibly stale
	ListFailed                 // a call failed or the watch broke; no entries
)

// List is an update of the worker list.
type List struct {
	Form    ListForm
	Entries []ListEntry
}

// Request is a job requested by a client.
type Request struct {
	ID             RequestID
	Class          int
	Tenant         int
	Key            uint64
	HasKey         bool
	Deadline       Time     // the client stops waiting at this time
	Hint           Time     // expected running time; 0: unknown
	Slots          float64  // slots that the job takes; 0: 1
	Memory         float64  // memory that the job takes, in the unit of Load.FreeMem; 0: not limited
	FetchingWorker WorkerID // worker that is fetching a job and is considered first; empty: none
}

// Status is how an attempt ended.
type Status uint8

const (
	OK          Status = iota
	Error              // the worker answered with an error: may have run
	Refused            // rejected by the worker unprocessed: never ran
	TimedOut           // may have run
	Unreachable        // no connection: never ran
	Reset              // the connection broke: may have run
	Cancelled          // cancelled by this side: may have run
	NotSent            // never transmitted: never ran
	Unknown            // any other: may have run
)

// NeverRan reports whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool { return s == Refused || s == Unreachable || s == NotSent }

// Reason states why a request was refused or failed. It is used for logging only.
type Reason uint8

const (
	DeadlineExceeded  Reason = iota // its deadline has passed
	AttemptsExhausted               // it has had MaxAttempts attempts
	NotRetryable                    // an attempt may have run, and its class allows no further one
	Shed                            // it would start too late to earn its value, or others earn more
)

var reasons = [...]string{"time-over", "attempts-used", "not-repeated", "shed"}

// String returns the reason's name in the log.
func (r Reason) String() string { return reasons[r] }

var statuses = [...]string{"ok", "error", "refused", "timed-out", "unreachable", "reset", "cancelled", "not-sent", "unknown"}

// String returns the status's name in the log.
func (s Status) String() string { return statuses[s] }

// Load is a worker's load report. Has states which of its figures are set. Queue counts the jobs that
// wait and InFlight all jobs there, waiting ones included; Util is the fraction of the slots in use.
type Load struct {
	Has                                       LoadField
	Queue, InFlight, Util, FreeSlots, FreeMem float64
}

// LoadField is a bit set of the figures of a Load.
type LoadField uint8

const (
	HasQueue LoadField = 1 << iota
	HasInFlight
	HasUtil
	HasFreeSlots
	HasFreeMem
)

// Outcome is the end of one attempt.
type Outcome struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Status  Status
	Latency Time // from the send to the end
	Closed  bool // the request has its final answer
	Load    Load
}

// Progress is a worker's report on an outstanding attempt.
type Progress struct {
	Request      RequestID
	Attempt      int
	Worker       WorkerID
	Started      bool    // the report is of the job's start
	FractionDone float64 // otherwise: fraction of the job that is done
}

// ProbeResult is the result of a probe, which requests a worker's load and runs no job.
type ProbeResult struct {
	Worker  WorkerID
	Status  Status
	Latency Time
	Load    Load
}

// Actions is implemented by the host and carries out what a Dispatcher decides.
type Actions interface {
	Send(r RequestID, until Time, w WorkerID) // until 0: for as long as the client waits
	Cancel(r RequestID, attempt int)
	Refuse(r RequestID, retryAfter Time, why Reason) // final answer: retrying is safe
	Fail(r RequestID, why Reason)                    // final answer: the request may have run, or may not
	Timer(delay Time, token uint64)                  // calls TimerDue with the token after the delay
	Probe(w WorkerID)                                // requests the worker's load; its end is passed to Probed
	Broadcast(data []byte)                           // best effort, to all peers; each that receives it calls PeerMessage
	Watch(on bool)                                   // subscribes to the list or ends the subscription
	Fetch()                                          // requests the whole list once
	Log(text string)
}
