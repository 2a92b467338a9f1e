package world

import (
	"math/rand/v2"

	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// TimeRange is a range of times in microseconds. Each use draws a time from it, uniformly.
type TimeRange struct{ Min, Max rules.Time }

func (r TimeRange) draw(rng *rand.Rand) rules.Time {
	return r.Min + rules.Time(rng.Float64()*float64(r.Max-r.Min))
}

// Worker describes a number of equal table workers.
type Worker struct {
	Count    int
	Slots    int
	Speed    float64    // divides the running times of jobs; 0: 1
	Slowdown float64    // multiplies the running times of jobs, unknown to the schedulers; 0: 1
	Zone     int        // index as in Rules.Zones
	JoinsAt  rules.Time // when it starts, cold, and joins all worker lists at once; 0: long before the simulation
}

// Traffic is the rule by which clients choose a scheduler for a job.
type Traffic uint8

// The rules by which clients choose a scheduler.
const (
	Evenly Traffic = iota // any scheduler, weighted by Setup.BusySchedulerFactor
	ByKey                 // the jobs of a key go to Setup.SchedulersPerKey of the schedulers
	ByZone                // every zone has equally many jobs, which go to schedulers of their own zone
)

// Directory assigns workers to schedulers. A scheduler recomputes its share whenever its view of which schedulers are
// alive has changed.
type Directory interface {
	// Holders returns how many schedulers may send to one worker. The dispatchers get it by SetSharing.
	Holders() int
	// Share returns the indexes of the workers assigned to a scheduler, in the order of Setup.Workers. The callee must not
	// keep alive, and the caller must not modify the result.
	Share(scheduler int, alive []bool) []int
}

// Setup configures a simulation. Times are in microseconds.
type Setup struct {
	Schedulers          int
	Workers             []Worker
	Rules               rules.Settings // Simulate sets GroupSize, Rank and Zone of each scheduler
	Shares              []float64      // of each class in the jobs, relative to one another
	MeanRunTime         float64        // of jobs at speed 1, exponentially distributed
	MeanRunTimeByClass  []float64      // of each class; nil: MeanRunTime for all
	Load                float64        // offered work, as a fraction of the capacity of the workers present at the start
	Keys                int
	Skew                float64   // exponent of the Zipf distribution of keys
	BusySchedulerFactor float64   // a tenth of the schedulers get this multiple of the others' jobs; 0: all get the same
	MaxQueue            int       // jobs that may wait at a worker; it refuses any more
	ReportAge           TimeRange // interval between the load reports that a worker makes
	ReportDelay         TimeRange // from a report's making until schedulers can see it
	Noise               float64   // relative error of the numbers in reports, at most
	NetworkDelay        TimeRange // of a message, one way
	PeerMessageLoss     float64   // fraction of the messages between schedulers that is lost
	LyingWorkers        int       // the first so many workers always report that they are idle
	WarmUp, Duration    rules.Time
	Seed                uint64
	// ChooseWorker, if set, replaces the dispatchers by a baseline policy. It returns the index of a worker.
	ChooseWorker func(*View) int

	Traffic               Traffic
	SchedulersPerKey      int                 // for ByKey; 0: 1
	RampUp                rules.Time          // time at the start in which additional jobs fill the system to its steady state; 0: no additional jobs
	SampleInterval        rules.Time          // between two samples of all workers, and the least time between reports; 0: 50 ms
	ConnectionIdleTimeout rules.Time          // a connection to a worker stays open so long after its last use; 0: each use opens a connection
	KeyMissWindows        []rules.Time        // for Figures.KeyMissesIn
	Directory             Directory           // nil: every scheduler may send to all workers
	Ownership             *ownership.Settings // nil: package ownership assigns no workers; Simulate sets Rank, Members and Zone
	ListDelay             TimeRange           // until a scheduler learns of a worker list update caused by a Fault or a restart
	DetectionDelay        TimeRange           // until a scheduler learns that another one failed or started, for Directory
	Faults                []Fault
	RestartsPerS          float64 // workers that drain, and restart cold after RestartDuration
	RestartDuration       rules.Time
	// CountRunning counts the jobs that run at the end as served. It is for jobs that are long compared with Duration.
	CountRunning bool
	// AroundDecision, if set, is called for each event of a dispatcher and calls decide once. It can measure the dispatcher.
	AroundDecision func(decide func())
}

// FaultKind is the kind of a Fault.
type FaultKind uint8

// The kinds of faults.
const (
	KillScheduler  FaultKind = iota // and lose all its requests
	StartScheduler                  // a killed scheduler; one whose first fault this is was not running before
	PauseScheduler                  // it processes no event for Fault.Duration, then continues with its old state
	SplitMembers                    // a network partition: for Fault.Duration each half considers the other dead
	LoseZone                        // its workers fail with their attempts, and restart cold after Fault.Duration
)

// Fault is one fault to inject. Scheduler and Zone apply to the kinds that name one.
type Fault struct {
	Kind         FaultKind
	At, Duration rules.Time
	Scheduler    int
	Zone         int
}

// View is the state that a baseline policy may use.
type View struct {
	Rng          *rand.Rand
	Workers      int
	JobsNow      func(worker int) int               // jobs that run or wait at the worker
	JobsReported func(worker int) (int, rules.Time) // the same by the visible report, and the report's age
}

// defaultSampleInterval is the value of Setup.SampleInterval if it is 0, in microseconds.
const defaultSampleInterval = 50_000

// meanRunTimeOf returns the mean running time of a class at speed 1.
func (s *Setup) meanRunTimeOf(class int) float64 {
	if s.MeanRunTimeByClass == nil {
		return s.MeanRunTime
	}
	return s.MeanRunTimeByClass[class]
}

// overallMeanRunTime returns the mean running time over all jobs at speed 1.
func (s *Setup) overallMeanRunTime() float64 {
	if s.MeanRunTimeByClass == nil {
		return s.MeanRunTime
	}
	sum, shares := 0.0, 0.0
	for class, share := range s.Shares {
		sum += share * s.MeanRunTimeByClass[class]
		shares += share
	}
	return sum / shares
}
