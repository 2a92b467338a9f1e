// Package rules decides, for one dispatcher, which worker each job goes to. This file is the
// whole interface: settings, events and actions; the files that deploy/balancer.toml names as policy hold every
// decision, by concern.
//
// # What the host owes
//
// One Dispatcher is used by one goroutine at a time. Every event carries now, in microseconds of
// any clock that never goes back. Events are given in the order in which they arrived. Actions
// are emitted from within the event methods and run in the order emitted. A timer asked for
// with Timer comes back through TimerDue once, at its time or later, never from within the call.
// Each Send is followed by exactly one Outcome, also after the request's end; attempts of a
// request are numbered 0, 1, 2 ... in the order sent. A request ends with the first outcome whose
// Closed is set, with Refuse or Fail, or with Hangup. A new Dispatcher gets one List (which may be
// stale or empty) before its first request. Strings handed in may be kept.
package rules

import "slices"

// Time is a point in, or a length of, the host's clock, in microseconds.
type Time = int64

// RequestID and WorkerID are opaque; every dispatcher sees the same id for the same worker.
type (
	RequestID string
	WorkerID  string
)

// Effect tells what a class allows once an attempt may have run.
type Effect uint8

const (
	Once       Effect = iota // never again, and no refusal (the default: the safest reading)
	Keyed                    // again only inside Group and within Window
	Repeatable               // again at will
)

// Group is the set of workers that drops the repeats of a Keyed request.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests. Zero values are the defaults.
type Class struct {
	LatencyTarget Time    // an answer within it earns full worth; 0: half the deadline
	TargetStretch float64 // the aim grows by this multiple of the job's own running time
	Deadline      Time    // the client's patience; each request carries its own
	Value         float64 // 0: 1
	LateValue     float64 // the part of the worth paid after the aim
	Effect        Effect
	Group         Group
	Window        Time // how long a Keyed repeat is dropped, from the first attempt's send
	Kind          int  // the one kind of worker that can run it; below 0: any
	Priority      int
}

// Tenant is one customer of the service and its share of it.
type Tenant struct {
	QuotaPerS float64 // requests a second over all dispatchers; 0: no quota
}

// Settings are given once, at start. A zero value stands for the default noted.
type Settings struct {
	Classes   []Class
	Tenants   []Tenant
	Zones     int
	Kinds     int
	Zone      int // this dispatcher's own
	Rank      int // this dispatcher's number among GroupSize
	GroupSize int // dispatchers sending to the same workers; 0: 1

	PullsList        bool // the list comes only after Watch or Fetch; otherwise it is pushed
	PollWithin       Time // an unsubscribed dispatcher must ask this often; 0: 10 s
	MayProbe         bool
	MayCancel        bool
	MayBroadcast     bool // dispatchers may send one another messages
	MayHedge         bool // two attempts of a request may be out at once
	MaxAttempts      int  // 0: 3
	RetryAfter       bool // a refusal may tell the client how long to stay away
	MaxRetryAfter    Time
	ConnectTimeout   Time
	ReportsStart     bool // workers note a job's start
	ProgressInterval Time // and its progress; 0: never
	LoadInAnswers    bool // outcomes carry load reports
	LoadInProbes     bool // probe results carry load reports
	WeightsAreSize   bool // list weights compare the sizes of workers

	AnswerSlack          Time    // an answer this long past the deadline still counts; 0: none
	DrainGrace           Time    // sends to a draining worker end within it
	SlowStartMinCapacity float64 // a worker starts with this part of its capacity at least; 0: 0.1
	SlowStartWindow      Time    // and is warm after this; 0: 30 s
	OverloadFactor       float64 // more than this multiple of its present capacity ...; 0: 2
	OverloadWindow       Time    // ... for this long pushes a cold worker over; 0: 1 s

	ProbeCost       float64 // price of one probe a request, as a part of the service's worth
	PeerMessageCost float64 // the same for a full message to one peer, of 256 bytes
	CrossZoneCost   float64 // the same for crossing zones
	OriginFetchCost float64 // the same for a fetch from the key store
	OverQuotaValue  float64 // the worth of traffic beyond a tenant's share
	ValueByWork     bool    // a job is worth its class's worth for each unit of its work, else as a whole
}

// withDefaults puts the defaults noted in the place of zero values.
func (s Settings) withDefaults() Settings {
	s.GroupSize = max(1, s.GroupSize)
	defaultTo(&s.MaxAttempts, 3)
	defaultTo(&s.PollWithin, 10_000_000)
	defaultTo(&s.SlowStartMinCapacity, 0.1)
	defaultTo(&s.SlowStartWindow, 30_000_000)
	defaultTo(&s.OverloadFactor, 2)
	defaultTo(&s.OverloadWindow, 1_000_000)
	if len(s.Classes) == 0 {
		s.Classes = []Class{{Kind: -1}}
	}
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		c := &s.Classes[i]
		defaultTo(&c.Deadline, 60_000_000)
		defaultTo(&c.LatencyTarget, c.Deadline/2)
		defaultTo(&c.Value, 1)
	}
	return s
}

func defaultTo[T int | int64 | float64](v *T, otherwise T) {
	if *v == 0 {
		*v = otherwise
	}
}

// WorkerState is what the list says of a worker.
type WorkerState uint8

const (
	Ready WorkerState = iota
	Draining
	Gone
)

// Holder is who takes a worker out beside the list. Each lets back only what it took.
type DisabledBy int

// The holders.
const (
	ByOperator DisabledBy = iota // an operator
	BySites                      // the knowledge of sites: it does not answer
	numDisabledBy
)

// ListEntry is one worker of the list.
type ListEntry struct {
	Worker           WorkerID
	Zone, Kind, Cell int
	State            WorkerState
	Weight           float64
	StartedAt        Time // 0: long ago
}

// ListForm tells how to read a list.
type ListForm uint8

const (
	ListDelta  ListForm = iota // changed entries only
	ListFull                   // everything; who is absent is gone
	ListCached                 // everything as last stored, perhaps stale
	ListFailed                 // a call failed or the watch broke; no entries
)

// List is news of the fleet.
type List struct {
	Form    ListForm
	Entries []ListEntry
}

// Request is a job that a client asks for.
type Request struct {
	ID             RequestID
	Class          int
	Tenant         int
	Key            uint64
	HasKey         bool
	Deadline       Time    // the client gives up at this time
	Hint           Time    // expected running time; 0: unknown
	Slots          float64 // 0: 1
	Memory         float64
	FetchingWorker WorkerID // a worker that asks for work, and stands first in the sample; empty: none does
}

// Status is how an attempt ended.
type Status uint8

const (
	OK          Status = iota
	Error              // the worker answered with an error; may have run
	Refused            // turned away unseen: never ran
	TimedOut           // may have run
	Unreachable        // no connection: never ran
	Reset              // the connection broke: may have run
	Cancelled          // withdrawn: may have run
	NotSent            // never left: never ran
	Unknown            // any other; may have run
)

// NeverRan tells whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool { return s == Refused || s == Unreachable || s == NotSent }

// Reason tells, for the log alone, why a request was refused or failed.
type Reason uint8

const (
	DeadlineExceeded  Reason = iota // its deadline has passed
	AttemptsExhausted               // it has had as many as the settings allow
	NotRetryable                    // an attempt may have run, and its class allows no further one
	Shed                            // it would start too late to be of worth, or others are worth more
)

var reasons = [...]string{"time-over", "attempts-used", "not-repeated", "shed"}

// String is the reason's name in the log.
func (r Reason) String() string { return reasons[r] }

var statuses = [...]string{"ok", "error", "refused", "timed-out", "unreachable", "reset", "cancelled", "not-sent", "unknown"}

// String is the status's name in the log.
func (s Status) String() string { return statuses[s] }

// Load is a worker's report. Has tells which of the figures it holds.
type Load struct {
	Has                                       LoadField
	Queue, InFlight, Util, FreeSlots, FreeMem float64
}

// LoadField is a set of report figures.
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
	Latency Time
	Closed  bool // the request has its final answer
	Load    Load
}

// Note is news of an attempt still out.
type Progress struct {
	Request      RequestID
	Attempt      int
	Worker       WorkerID
	Started      bool    // the job has started
	FractionDone float64 // else: the part done
}

// Probed is the result of a probe.
type ProbeResult struct {
	Worker  WorkerID
	Status  Status
	Latency Time
	Load    Load
}

// Actions is what a Dispatcher asks of its host.
type Actions interface {
	Send(r RequestID, until Time, w WorkerID) // until 0: for as long as the client waits
	Cancel(r RequestID, attempt int)
	Refuse(r RequestID, retryAfter Time, why Reason) // final: trying again is harmless
	Fail(r RequestID, why Reason)                    // final: promises nothing
	Timer(delay Time, token uint64)
	Probe(w WorkerID)
	Broadcast(data []byte) // to all peers, late or not at all; what of them comes back through Peer
	Watch(on bool)         // subscribe to the list
	Fetch()                // the whole list, once
	Log(text string)
}
