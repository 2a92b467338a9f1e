// Package jobs owns the lifecycle of a job of the Faktory work protocol, from its PUSH to its one final state:
//
//	scheduled → enqueued → working → served | refused | failed | dead
//
// with retries in between. It decides when a job gets a request in the core and for which waiting FETCH, whether and
// when a failed job is retried, which PUSH is rejected when a limit is reached, and which finished jobs are evicted. It
// never chooses a worker: each run of a job is one request in the core, where package rules decides. Package faktory is
// its only caller.
//
// # Obligations of the host
//
// A Machine is used by one goroutine at a time and does no I/O. Every event carries now, in microseconds of a monotonic
// clock; the random source is passed to New. Actions are called from within the event methods; the host calls the
// machine back only after the event has returned. After each event the host calls NextDue, and calls ProcessDue at that
// time or later. Each OpenRequest is followed by exactly one RequestEnded, unless the machine cancelled the request
// with CancelRequest.
//
// The protocol is the public one of github.com/contribsys/faktory's documentation ("The Job Payload", "Work Protocol",
// "Mutate API"). Where that is silent, the job's class decides; docs/design/faktory.md lists these choices.
package jobs

// Time is a point in time or a duration on the host's clock, in microseconds.
type Time = int64

// Durations.
const (
	Millisecond Time = 1_000
	Second      Time = 1_000_000
)

// State is the position of a job in its lifecycle.
type State uint8

// The states; those from Served on are final.
const (
	Unknown State = iota
	Scheduled
	Enqueued
	Working
	Retrying
	Served
	Refused // the job never ran
	Failed  // it may have run, and is not kept for a retry
	Dead    // it failed permanently and is kept for the operator
)

var stateNames = [...]string{"unknown", "scheduled", "enqueued", "working", "retries", "served", "refused", "failed", "dead"}

func (s State) String() string { return stateNames[s] }

// IsFinal reports whether a job in this state has its one final answer.
func (s State) IsFinal() bool { return s >= Served }

// Reason says why a job ended or why a PUSH was rejected. Replies, the log and the operator's page show it.
type Reason string

// The reasons for the end of a job, then the limits that reject a PUSH.
const (
	Done             Reason = "done"
	Expired          Reason = "expired"           // its deadline or expires_at passed before it started
	DeadlinePassed   Reason = "time-over"         // its deadline passed while it ran
	Discarded        Reason = "discarded"         // it failed, and its retry is -1
	RetriesExhausted Reason = "retries-exhausted" // it failed more often than its retry allows
	MayHaveRun       Reason = "may-have-run"      // its class forbids a second run
	RetriesFull      Reason = "retries-full"      // the set of retries was full
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

// Settings are passed to New and do not change. All limits are above 0; sizes are in bytes.
type Settings struct {
	IsRepeatable       []bool // by class: a job that may have run may run again
	DefaultReservation Time   // of a job that has no reserve_for

	MaxHeldJobs, MaxHeldBytes     int
	MaxQueueJobs                  int
	MaxClientJobs, MaxClientBytes int
	MaxScheduled, MaxRetries      int
	MaxQueues                     int
	MaxDead, MaxDeadBytes         int
	MaxEnded, MaxEndedBytes       int
	TableWindow                   int // jobs of a table queue that may be with the table workers at once
}

// Priorities of a job within its queue; the highest is fetched first.
const (
	MinPriority     = 1
	DefaultPriority = 5
	MaxPriority     = 9
)

// DefaultRetries is the number of retries of a job that has no retry.
const DefaultRetries = 25

// Job is one pushed job. The host sets the fields of the first group before Push and does not change them afterwards.
// Up to a hundred thousand jobs are held at once, so fields that few jobs use are behind pointers.
type Job struct {
	ID, Type, Queue     string
	Client              string
	Payload             string // as it was pushed; dropped when the job ends in another state than Dead
	ArgsOffset, ArgsLen int32  // position of its args in Payload
	Class               int32
	Priority            int32 // 1 to 9: MinPriority to MaxPriority
	Retry               int32 // retries after the first failure; 0: dead at the first, -1: discarded at the first
	Size                int32 // counts towards the limits, in bytes
	NotBefore           Time  // earliest start; 0: now
	TimeLeft            Time  // how long the client waits, from the PUSH or from NotBefore; 0: without limit
	*Options                  // never nil after Push; may be shared between jobs

	State      State
	Failures   int32 // runs that may have started and failed
	Reason     Reason
	Failure    *Failure  // the last one
	StateSince Time      // when it entered State
	Result     string    // of a Served job; set by the host before RequestEnded
	Worker     string    // the worker that holds it, while Working
	Progress   *Progress // as its worker reported it; nil: no report

	jobLinks
}

// jobLinks is what ties a job to its machine.
type jobLinks struct {
	isOpen        bool // it has a request in the core, or is remote or an orphan
	mayHaveRun    bool // a run may have started
	countsAsTable bool // opened for the table workers, and counted in queue.tableOpen
	isRemote      bool // a worker holds it and reports to the predecessor
	isOrphan      bool // a worker holds it that fetched it from a predecessor which has ended

	deadline               Time   // when the client stops waiting; 0: never
	reservedUntil          Time   // of a remote job: the end of its reservation
	fetch                  *Fetch // the FETCH that its request was opened for
	expiryTimer, stepTimer *timer
	list                   *list
	prev, next             *Job
	seq                    uint64 // position in its list
	lock                   *lock
}

// Options are the fields that only few jobs set.
type Options struct {
	Key              string
	Tenant           int32 // the tenant whose quota it counts against, numbered from 1; 0: none
	Slots            float64
	Hint             Time // expected run time; 0: unknown
	Reservation      Time // how long a worker may hold it; 0: Settings.DefaultReservation
	ExpiresAt        Time // latest start; 0: no limit
	UniqueFor        Time // 0: the job is not unique
	UniqueUntilStart bool // the lock is released at the start, else when the job was served or refused
	Fingerprint      [32]byte
}

var noOptions Options

// Progress is what a worker reported about its job.
type Progress struct {
	Percent int
	Desc    string
}

// Deadline is the time at which the client stops waiting; 0: never.
func (j *Job) Deadline() Time { return j.deadline }

// Failure describes a failed run, as the worker or the gateway reported it. Truncate bounds its texts.
type Failure struct {
	Type, Message string
	Backtrace     []string
	At            Time
}

// Limits of a Failure's texts, in bytes and lines.
const (
	MaxMessageBytes       = 1000
	MaxTypeBytes          = 100
	MaxBacktraceLines     = 30
	MaxBacktraceLineBytes = 300
)

// Truncate cuts a failure's texts to their limits and returns it.
func (f *Failure) Truncate() *Failure {
	truncate := func(s string, limit int) string { return s[:min(len(s), limit)] }
	f.Type, f.Message = truncate(f.Type, MaxTypeBytes), truncate(f.Message, MaxMessageBytes)
	f.Backtrace = f.Backtrace[:min(len(f.Backtrace), MaxBacktraceLines)]
	for i, line := range f.Backtrace {
		f.Backtrace[i] = truncate(line, MaxBacktraceLineBytes)
	}
	return f
}

// PushResult is the result of a PUSH. One of Accepted, Existing, NotUnique and Rejected is set.
type PushResult struct {
	Accepted   bool
	Existing   *Job   // the job that has this id already
	NotUnique  bool   // another job with the same fingerprint holds the lock
	Rejected   Reason // the limit that was reached, or ShutDown
	RetryAfter Time   // how long the client should wait before it pushes again; set with Rejected
}

// Outcome is how a request in the core ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeServed  Outcome = iota
	OutcomeRefused         // the job never ran
	OutcomeFailed          // the job may have run
)

// Actions are the calls of a Machine to its host.
type Actions interface {
	// OpenRequest opens a request in the core for the job. worker is the one whose FETCH it answers; empty: none.
	OpenRequest(j *Job, worker string)
	// CancelRequest cancels the job's request. The machine has ended the job; no RequestEnded may follow.
	CancelRequest(j *Job)
	// ExpireReservation times out the run of a job whose reservation has ended. RequestEnded follows.
	ExpireReservation(j *Job)
	// JobEnded reports that the job has reached a final state.
	JobEnded(j *Job)
	// MutationDone reports the result of a mutation.
	MutationDone(token uint64, m Mutation)
}
