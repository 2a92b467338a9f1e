package world

import (
	"math/rand/v2"

	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// Span is a time drawn anew each time, evenly, in microseconds.
type TimeRange struct{ Min, Max rules.Time }

func (s TimeRange) draw(rng *rand.Rand) rules.Time {
	return s.Min + rules.Time(rng.Float64()*float64(s.Max-s.Min))
}

// Worker is a kind of table worker of the model, and how many there are.
type Worker struct {
	Count    int
	Slots    int
	Speed    float64    // running times are divided by it; 0: 1
	Slowdown float64    // and multiplied by it, which the schedulers are not told; 0: 1
	Zone     int        // of the settings
	JoinsAt  rules.Time // when it starts, cold, and all are told at once; 0: long ago
}

// Traffic tells to which schedulers jobs come.
type Traffic uint8

// The ways in which clients choose a scheduler.
const (
	Evenly Traffic = iota // any of them, by Setup.Unlike
	ByKey                 // the jobs of a key come to Setup.SchedulersPerKey of them
	ByZone                // the zones have alike many jobs, and each goes to a scheduler of its own zone
)

// Directory decides which part of the worker list each scheduler is given. It is asked again whenever a scheduler's
// belief of which members are alive has changed.
type Directory interface {
	// Holders is how many schedulers may send to one worker, as the decisions are told.
	Holders() int
	// Share gives the places, in the order of Setup.Workers, of the workers that a scheduler is given. It may keep
	// neither slice, and the world doesn't change what it returns.
	Share(scheduler int, alive []bool) []int
}

// Setup is what is played. Times are microseconds.
type Setup struct {
	Schedulers          int
	Workers             []Worker
	Rules               rules.Settings // GroupSize and Rank are set by the world; zones are dealt out in turn
	Shares              []float64      // of the classes
	MeanRunTime         float64        // mean running time at speed 1, exponential
	MeanRunTimeByClass  []float64      // the same by class; nil: Run for all
	Load                float64        // of what the workers present at the start can do together
	Keys                int
	Skew                float64   // exponent of a Zipf law
	BusySchedulerFactor float64   // a tenth of the schedulers get so many times what the others get; 0: alike
	MaxQueue            int       // jobs that wait at a worker at most; one more is turned away
	ReportAge           TimeRange // figures are made anew this often
	ReportDelay         TimeRange // and seen so much later
	Noise               float64   // of them, as a part
	NetworkDelay        TimeRange // one way
	PeerMessageLoss     float64   // part of the messages between schedulers that is lost, where the rules may tell
	LyingWorkers        int       // workers, the first ones, whose reports always tell of nothing
	WarmUp, Duration    rules.Time
	Seed                uint64
	// Choose, where it is set, takes the place of the decisions: a baseline that may look at anything.
	ChooseWorker func(*View) int

	Traffic               Traffic
	SchedulersPerKey      int                 // of ByKey; 0: 1
	RampUp                rules.Time          // the work of the steady state comes within it, at the start; 0: it builds up by itself
	SampleInterval        rules.Time          // workers are looked at this often, and make reports at most this often; 0: 50 ms
	ConnectionIdleTimeout rules.Time          // a connection to a worker is kept so long after its last use; 0: none is kept
	KeyMissWindows        []rules.Time        // for Figures.FetchesIn
	Directory             Directory           // nil: every scheduler is given all workers
	Ownership             *ownership.Settings // the fleet is divided by package ownership; Self, Members and Zone are set by the world
	ListDelay             TimeRange           // a change of the list by a Fault or a restart is known so much later
	DetectionDelay        TimeRange           // a change of members is known so much later, where a Directory divides the list
	Faults                []Fault
	RestartsPerS          float64 // workers that drain, and start anew after RestartTakes
	RestartDuration       rules.Time
	// CountRunning tells that jobs run for long beside For, and those that run at its end are counted as well.
	CountRunning bool
	// Around, where it is set, is called around each event that is given to the decisions, and calls decide once.
	AroundDecision func(decide func())
}

// FaultKind tells what happens.
type FaultKind uint8

// The faults.
const (
	KillScheduler  FaultKind = iota // with all that it holds
	StartScheduler                  // one that was killed; one that was not starts only then
	PauseScheduler                  // it does nothing for Fault.For, and wakes with what it knew
	SplitMembers                    // the two halves believe one another dead for Fault.For
	LoseZone                        // its workers are gone with what they run, and back cold after Fault.For
)

// Fault is one thing that happens in a run.
type Fault struct {
	Kind         FaultKind
	At, Duration rules.Time
	Scheduler    int
	Zone         int
}

// View is what a baseline chooses by.
type View struct {
	Rng          *rand.Rand
	Workers      int
	JobsNow      func(worker int) int               // jobs that are there
	JobsReported func(worker int) (int, rules.Time) // by the report that can be seen now, and how long ago it was made
}

// defaultSample is Setup.SampleEvery where it is 0.
const defaultSampleInterval = 50_000

// runOf is the mean running time of a class.
func (s *Setup) meanRunTimeOf(class int) float64 {
	if s.MeanRunTimeByClass == nil {
		return s.MeanRunTime
	}
	return s.MeanRunTimeByClass[class]
}

// meanRun is the mean running time over all jobs.
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
