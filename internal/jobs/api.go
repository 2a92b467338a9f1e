// Package jobs owns the life of a job of the Faktory work protocol, from its PUSH to its one final state:
//
//	scheduled → enqueued → working → served | refused | failed | dead
//
// with retries between. It decides when a job is let into the core, for which waiting FETCH, whether and
// when a failed one is tried again, what is turned away when a bound is reached, and what is forgotten.
// It never chooses a worker: each try is a request in the core, where package rules does.
//
// # What the host owes
//
// A Machine is used by one goroutine at a time and does no I/O. Every event carries now, in microseconds of
// a clock that never goes back; randomness comes in with New. Actions are emitted from within the event
// methods; the host calls the machine back only after the event has returned. After each
// event the host asks Next, and calls Due at that time or later. Each Open is followed by exactly one Ended,
// unless the machine withdrew the job with Withdraw.
//
// The protocol is the public one of github.com/contribsys/faktory's documentation ("The Job Payload", "Work
// Protocol", "Mutate API"); where it is silent the class decides, and the choice is told in docs/design/faktory.md.
package jobs

// Time is a point in, or a length of, the host's clock, in microseconds.
type Time = int64

// Lengths of time.
const (
	Millisecond Time = 1_000
	Second      Time = 1_000_000
)

// State is where a job stands.
type State uint8

// The states; those from Served on are final.
const (
	Unknown State = iota
	Scheduled
	Enqueued
	Working
	Retrying
	Served
	Refused // it never ran
	Failed  // it may have run, and is not kept for another try
	Dead    // it failed for good and is kept for the operator
)

var stateNames = [...]string{"unknown", "scheduled", "enqueued", "working", "retries", "served", "refused", "failed", "dead"}

func (s State) String() string { return stateNames[s] }

// Final tells whether a job in this state has its one final answer.
func (s State) IsFinal() bool { return s >= Served }

// Reason says why a job came to its end, or why a PUSH was not taken. It stands in answers, the log and the
// operator's page alike.
type Reason string

// The reasons.
const (
	Done             Reason = "done"
	Expired          Reason = "expired"           // its time was over before it started
	DeadlinePassed   Reason = "time-over"         // its time was over while it ran
	Discarded        Reason = "discarded"         // it failed, and its retry is -1
	RetriesExhausted Reason = "retries-exhausted" // it failed as often as its retry allows
	MayHaveRun       Reason = "may-have-run"      // its class forbids a second run
	RetriesFull      Reason = "retries-full"      // the set of retries had no room
	ByOperator       Reason = "operator"          // killed or discarded by MUTATE
	QueueRemoved     Reason = "queue-removed"
	Flushed          Reason = "flushed"
	ShutDown         Reason = "shut-down"

	LimitHeldJobs    Reason = "max_held_jobs"
	LimitHeldBytes   Reason = "max_held_mb"
	LimitQueueJobs   Reason = "max_queue_jobs"
	LimitClientJobs  Reason = "max_client_jobs"
	LimitClientBytes Reason = "max_client_mb"
	LimitScheduled   Reason = "max_scheduled"
	LimitQueues      Reason = "max_queues"
	LimitUniqueLocks Reason = "max_unique"
)

// Settings are given once. All bounds are above 0; sizes are in bytes.
type Settings struct {
	IsRepeatable       []bool // by class: what may have run may run again
	DefaultReservation Time   // of a job that names none

	MaxHeldJobs, MaxHeldBytes     int
	MaxQueueJobs                  int
	MaxClientJobs, MaxClientBytes int
	MaxScheduled, MaxRetries      int
	MaxQueues                     int
	MaxDead, MaxDeadBytes         int
	MaxEnded, MaxEndedBytes       int
	TableWindow                   int // jobs of a table queue that are with the table workers at once
}

// Priorities of a job within its queue; the highest comes first.
const (
	MinPriority     = 1
	DefaultPriority = 5
	MaxPriority     = 9
)

// UsualRetry is the number of retries of a job that names none.
const DefaultRetries = 25

// Job is a job of the host's making. The fields of the first part are set before Push and not changed. A hundred
// thousand of them are held at once, so what few jobs have lies behind pointers.
type Job struct {
	ID, Type, Queue     string
	Client              string
	Payload             string // as it was pushed; let go at an end that is not dead
	ArgsOffset, ArgsLen int32  // where its args stand in it
	Class               int32
	Priority            int32 // 1 to 9
	Retry               int32 // retries after the first failure; 0: dead at once, -1: discarded at once
	Size                int32 // bytes that it takes
	NotBefore           Time  // not before; 0: now
	TimeLeft            Time  // its pusher waits for so long, from the PUSH or from At; 0: for ever
	*Options                  // never nil from Push on, and perhaps shared

	State         State
	isOpen        bool  // it has a request in the core
	mayHaveRun    bool  // a try may have run
	countsAsTable bool  // let in for the table workers, or its FETCH has gone
	Failures      int32 // tries that may have run and failed
	Reason        Reason
	Failure       *Failure  // the last
	StateSince    Time      // in this state
	Result        string    // of Served; set by the host before Ended
	Worker        string    // that holds it, while working
	Progress      *Progress // as its worker told; nil: it has not

	deadline               Time   // its pusher has gone by then; 0: never
	fetch                  *Fetch // the FETCH for which it was let in
	expiryTimer, stepTimer *timer
	list                   *list
	prev, next             *Job
	seq                    uint64 // in its set
	lock                   *lock
}

// Options are what few jobs ask for.
type Options struct {
	Key              string
	Tenant           int32 // whose share it counts against, numbered from 1; 0: nobody's
	Slots            float64
	Hint             Time // the work that its pusher expects; 0: it says nothing
	Reservation      Time // for which a worker may hold it; 0: the usual
	ExpiresAt        Time // it must have started by then; 0: never
	UniqueFor        Time // 0: not unique
	UniqueUntilStart bool // it is unique until its start, else until it was served
	Fingerprint      [32]byte
}

var noOptions Options

// Progress is what a worker told of its job.
type Progress struct {
	Percent int
	Desc    string
}

// Deadline is when its pusher stops waiting; 0: never.
func (j *Job) Deadline() Time { return j.deadline }

// Failure is what a worker, or the gateway, told of a failed try. Texts are cut to bounds.
type Failure struct {
	Type, Message string
	Backtrace     []string
	At            Time
}

// Bounds of a Failure's texts, in bytes and lines.
const (
	MaxMessageBytes       = 1000
	MaxTypeBytes          = 100
	MaxBacktraceLines     = 30
	MaxBacktraceLineBytes = 300
)

// Cut keeps a failure within its bounds.
func (f *Failure) Truncate() *Failure {
	cut := func(s string, most int) string { return s[:min(len(s), most)] }
	f.Type, f.Message = cut(f.Type, MaxTypeBytes), cut(f.Message, MaxMessageBytes)
	f.Backtrace = f.Backtrace[:min(len(f.Backtrace), MaxBacktraceLines)]
	for i, line := range f.Backtrace {
		f.Backtrace[i] = cut(line, MaxBacktraceLineBytes)
	}
	return f
}

// Verdict is the answer to a PUSH.
type PushResult struct {
	Accepted   bool
	Existing   *Job   // the job that has this id already
	NotUnique  bool   // another job with the same fingerprint holds the lock
	Rejected   Reason // the bound that was reached, or ShutDown
	RetryAfter Time   // when to come back, where Full
}

// End is how a request in the core ended.
type Outcome uint8

// The ends.
const (
	OutcomeServed  Outcome = iota
	OutcomeRefused         // it surely never ran
	OutcomeFailed          // it may have run
)

// Actions is what a Machine asks of its host.
type Actions interface {
	// Open opens a request in the core for the job. worker is the one that asks for work; empty: none does.
	OpenRequest(j *Job, worker string)
	// Withdraw ends the job's request; the machine has ended the job, and nothing more is reported of it.
	CancelRequest(j *Job)
	// Expire ends the try of a job whose reservation ran out, as timed out. Ended follows.
	ExpireReservation(j *Job)
	// Ended tells of a job that has come to a final state.
	JobEnded(j *Job)
	// Mutated tells that a mutation is done.
	MutationDone(token uint64, m Mutation)
}
