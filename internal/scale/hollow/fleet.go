// Package hollow simulates many schedulers in one process, in virtual time: the decisions of package rules with the
// simulated workers of package world, without sockets. It sets up fleets of the planned size and fractions of it,
// simulates them under several ways of dividing the worker list, and returns runs and slopes in the form of package
// result. Command "measure hollow" calls it.
package hollow

import (
	"fmt"

	"cobaltflow/internal/world"
	"cobaltflow/rules"
)

// The planned size.
const (
	fullSchedulers     = 32
	fullZones          = 19
	fullRegions        = 5
	fullWorkersPerZone = 1737
	fullSlots          = 19
	fullKeys           = 20_000
)

// Durations, in microseconds.
const (
	millisecond rules.Time = 1_000
	second      rules.Time = 1_000_000
	minute                 = 60 * second
)

// Tasks selects the mean running time of a fleet's jobs. Running times are exponentially distributed.
type Tasks string

// Kinds of jobs.
const (
	Short Tasks = "short" // 0.5 s
	Long  Tasks = "long"  // 188 s
	Mixed Tasks = "mixed" // half of the jobs short, half long
)

// Mean running times, in microseconds.
const (
	shortMeanRun = 500_000.0
	longMeanRun  = 188_000_000.0
)

// Fleet describes the simulated schedulers, workers and load. NewFleet returns one with the defaults.
type Fleet struct {
	Schedulers         int
	Zones, Regions     int
	WorkersPerZone     int
	Slots              int
	Keys               int
	Skew               float64 // exponent of the Zipf law of the keys
	Load               float64 // arriving work as a fraction of the capacity of all slots
	Tasks              Tasks
	Traffic            world.Traffic
	TargetStretch      float64    // of the classes of long tasks: growth of the latency target per unit of running time
	HotSchedulerFactor float64    // load of a tenth of the schedulers over that of the others; 0: equal loads
	ProbeCost          float64    // in the rules' settings; below 0: probes are disabled
	WarmUp, Duration   rules.Time // WarmUp: time before counting starts; Duration: total simulated time
	ConnectionIdle     rules.Time // how long an idle connection to a worker is kept; 0: not kept
	RestartsPerS       float64    // workers that drain and restart
	Faults             []world.Fault
	Seed               uint64
}

// Defaults of the model.
const (
	defaultProbeCost           = 0.0018
	crossZoneCost              = 0.13
	schedulersPerKey           = 2
	connectionIdle             = 48 * second
	shortFetchWindow           = 10 * second // of the count of jobs that come to a worker as the first of their key
	longFetchWindow            = 300 * second
	queueLimit                 = 1000 // jobs that wait at a worker
	maxSlots                   = 64   // of a worker
	defaultSkew                = 0.9
	defaultLoad                = 0.8
	longTargetStretch          = 1.2
	longSamplePeriod           = second // of workers whose tasks run for minutes
	shortSamplePeriod          = 50 * millisecond
	minDetectDelay             = 5 * second // until a change of members is known
	maxDetectDelay             = 7 * second
	minListDelay               = 200 * millisecond // until a change of the list is known
	maxListDelay               = second
	longRamp                   = minute
	longWarmUp, longDuration   = 5 * minute, 8 * minute
	shortWarmUp, shortDuration = 8 * second, 20 * second
	slowStartWindow            = 8_900 * millisecond
	coldDuration               = slowStartWindow + second // slow start plus the overload window of the rules
	restartDuration            = 10 * second
)

// NewFleet returns a fleet whose workers and keys are the planned numbers divided by divisor. Schedulers, zones and
// slots are those of the planned size, so a scheduler sees a worker as rarely as at the full size.
func NewFleet(divisor int, tasks Tasks) Fleet {
	f := Fleet{Schedulers: fullSchedulers, Zones: fullZones, Regions: fullRegions, WorkersPerZone: max(1, fullWorkersPerZone/divisor), Slots: fullSlots,
		Keys: max(1, fullKeys/divisor), Skew: defaultSkew, Load: defaultLoad, Tasks: tasks, ProbeCost: defaultProbeCost, TargetStretch: longTargetStretch,
		WarmUp: longWarmUp, Duration: longDuration, ConnectionIdle: connectionIdle, Seed: 1}
	if tasks == Short {
		f.WarmUp, f.Duration = shortWarmUp, shortDuration
	}
	return f
}

// Workers returns the number of workers.
func (f *Fleet) Workers() int { return f.Zones * f.WorkersPerZone }

// regionOf returns the region of a zone. Consecutive zones share a region.
func (f *Fleet) regionOf(zone int) int { return zone * f.Regions / f.Zones }

// zoneOf returns the zone of a worker, from its index.
func (f *Fleet) zoneOf(worker int) int { return worker / f.WorkersPerZone }

// worldSetup returns the setup of the simulation.
func (f *Fleet) worldSetup() world.Setup {
	s := world.Setup{Schedulers: f.Schedulers, MeanRunTime: shortMeanRun, Load: f.Load, Keys: f.Keys, Skew: f.Skew, BusySchedulerFactor: f.HotSchedulerFactor, MaxQueue: queueLimit,
		ReportAge: world.TimeRange{Min: 470 * millisecond, Max: 700 * millisecond}, ReportDelay: world.TimeRange{Min: 100 * millisecond, Max: 200 * millisecond},
		Noise: 0.05, NetworkDelay: world.TimeRange{Min: 100, Max: 300}, WarmUp: f.WarmUp, Duration: f.Duration, Seed: f.Seed,
		Traffic: f.Traffic, SchedulersPerKey: schedulersPerKey, SampleInterval: shortSamplePeriod, CountRunning: true, ConnectionIdleTimeout: f.ConnectionIdle,
		KeyMissWindows: []rules.Time{shortFetchWindow, longFetchWindow}, ListDelay: world.TimeRange{Min: minListDelay, Max: maxListDelay}, DetectionDelay: world.TimeRange{Min: minDetectDelay, Max: maxDetectDelay},
		Faults: f.Faults, RestartsPerS: f.RestartsPerS, RestartDuration: restartDuration, Rules: f.rules()}
	for zone := range f.Zones {
		s.Workers = append(s.Workers, world.Worker{Count: f.WorkersPerZone, Slots: f.Slots, Zone: zone})
	}
	s.Shares = []float64{0.45, 0.45, 0.1}
	switch f.Tasks {
	case Long:
		s.MeanRunTime, s.RampUp, s.SampleInterval = longMeanRun, longRamp, longSamplePeriod
	case Mixed:
		s.RampUp, s.SampleInterval = longRamp, longSamplePeriod
		s.Shares, s.MeanRunTimeByClass = []float64{0.5, 0.25, 0.25}, []float64{shortMeanRun, longMeanRun, longMeanRun}
	}
	return s
}

func (f *Fleet) rules() rules.Settings {
	return rules.Settings{Zones: f.Zones, Kinds: 1, MayProbe: f.ProbeCost >= 0, MayCancel: true, MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: 2 * second,
		ConnectTimeout: 150 * millisecond, ReportsStart: true, LoadInProbes: true, AnswerSlack: 10 * millisecond, DrainGrace: second, SlowStartMinCapacity: 0.31,
		SlowStartWindow: slowStartWindow, OverloadFactor: 3, OverloadWindow: second, ProbeCost: max(0, f.ProbeCost), PeerMessageCost: 0.0096,
		CrossZoneCost: crossZoneCost, Classes: f.classes()}
}

// classes returns three classes: urgent, normal, and one whose jobs must not run twice. Long tasks may wait for as long
// as urgent work at the planned size (1 s), and longer if their class allows it.
func (f *Fleet) classes() []rules.Class {
	short := []rules.Class{
		{LatencyTarget: 500 * millisecond, TargetStretch: 2, Deadline: 5 * second, Value: 3, LateValue: 0.25, Effect: rules.Repeatable, Kind: -1},
		{LatencyTarget: second, TargetStretch: 2, Deadline: 10 * second, Value: 2, LateValue: 0.3, Kind: -1},
		{LatencyTarget: 1200 * millisecond, TargetStretch: 2, Deadline: 20 * second, Value: 10, LateValue: 0.3, Kind: -1}}
	if f.Tasks == Short {
		return short
	}
	long := []rules.Class{
		{LatencyTarget: second, TargetStretch: f.TargetStretch, Deadline: 30 * minute, Value: 3, LateValue: 0.25, Effect: rules.Repeatable, Kind: -1},
		{LatencyTarget: 20 * second, TargetStretch: f.TargetStretch, Deadline: 30 * minute, Value: 2, LateValue: 0.3, Kind: -1},
		{LatencyTarget: minute, TargetStretch: f.TargetStretch, Deadline: 30 * minute, Value: 10, LateValue: 0.3, Kind: -1}}
	if f.Tasks == Mixed {
		long[0] = short[0]
	}
	return long
}

// Validate returns an error if the fleet cannot be simulated.
func (f *Fleet) Validate() error {
	switch {
	case f.Schedulers < 1 || f.Zones < 1 || f.WorkersPerZone < 1 || f.Slots < 1 || f.Slots > maxSlots:
		return fmt.Errorf("hollow: invalid fleet: %d schedulers, %d zones, %d workers per zone, %d slots per worker", f.Schedulers, f.Zones, f.WorkersPerZone, f.Slots)
	case f.Load <= 0 || f.Load > 2:
		return fmt.Errorf("hollow: load %g is not above 0 and at most 2", f.Load)
	case f.WarmUp >= f.Duration:
		return fmt.Errorf("hollow: warm-up of %d us does not end before the end of the simulation at %d us", f.WarmUp, f.Duration)
	}
	return nil
}
