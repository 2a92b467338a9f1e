// Package hollow measures many schedulers in one process, in virtual time: the decisions of package rules before the
// workers of package world, without sockets. It sets up fleets of the size to design for and parts of it, plays them
// under several ways of dividing the worker list, and gives runs and slopes in the form of package result.
package hollow

import (
	"fmt"

	"cobaltflow/internal/world"
	"cobaltflow/rules"
)

// The size to design for.
const (
	fullSchedulers     = 32
	fullZones          = 19
	fullRegions        = 5
	fullWorkersPerZone = 1737
	fullSlots          = 19
	fullKeys           = 20_000
)

// Lengths of time, in microseconds.
const (
	millisecond rules.Time = 1_000
	second      rules.Time = 1_000_000
	minute                 = 60 * second
)

// Tasks tells how long the jobs of a fleet run, in the mean. Running times are exponential.
type Tasks string

// The kinds of jobs.
const (
	Short Tasks = "short" // 0.5 s
	Long  Tasks = "long"  // 188 s
	Mixed Tasks = "mixed" // as many short ones as long ones
)

// Mean running times, in microseconds.
const (
	shortMeanRun = 500_000.0
	longMeanRun  = 188_000_000.0
)

// Fleet is what is played. The zero value of a field that has a default stands for it.
type Fleet struct {
	Schedulers         int
	Zones, Regions     int
	WorkersPerZone     int
	Slots              int
	Keys               int
	Skew               float64 // exponent of the Zipf law of the keys
	Load               float64
	Tasks              Tasks
	Traffic            world.Traffic
	TargetStretch      float64 // of the classes of long tasks: how far the aim grows with the own running time
	HotSchedulerFactor float64 // see world.Setup
	ProbeCost          float64 // of the decisions; below 0: probes are forbidden
	WarmUp, Duration   rules.Time
	ConnectionIdle     rules.Time
	RestartsPerS       float64
	Faults             []world.Fault
	Seed               uint64
}

// Defaults of the model, which the measurement page names.
const (
	defaultProbeCost           = 0.0018
	crossZoneCost              = 0.13
	schedulersPerKey           = 2
	connectionIdle             = 48 * second
	shortWindow                = 10 * second
	longWindow                 = 300 * second
	queueLimit                 = 1000
	maxSlots                   = 64
	defaultSkew                = 0.9
	defaultLoad                = 0.8
	longTargetStretch          = 1.2
	longSamplePeriod           = second // at workers whose tasks run for minutes
	shortSamplePeriod          = 50 * millisecond
	minDetectDelay             = 5 * second // after which a change of members is known
	maxDetectDelay             = 7 * second
	minListDelay               = 200 * millisecond // after which a change of the list is known
	maxListDelay               = second
	longRamp                   = minute
	longWarmUp, longDuration   = 5 * minute, 8 * minute
	shortWarmUp, shortDuration = 8 * second, 20 * second
	slowStartWindow            = 8_900 * millisecond
	coldDuration               = slowStartWindow + second // with the time after which a worker is pushed over
	restartDuration            = 10 * second
)

// Sized gives a fleet whose workers and keys are one part of so many of those of the size to design for. Schedulers,
// zones and slots stay: so a scheduler sees a worker as seldom as at the full size.
func NewFleet(part int, tasks Tasks) Fleet {
	f := Fleet{Schedulers: fullSchedulers, Zones: fullZones, Regions: fullRegions, WorkersPerZone: max(1, fullWorkersPerZone/part), Slots: fullSlots,
		Keys: max(1, fullKeys/part), Skew: defaultSkew, Load: defaultLoad, Tasks: tasks, ProbeCost: defaultProbeCost, TargetStretch: longTargetStretch,
		WarmUp: longWarmUp, Duration: longDuration, ConnectionIdle: connectionIdle, Seed: 1}
	if tasks == Short {
		f.WarmUp, f.Duration = shortWarmUp, shortDuration
	}
	return f
}

// Workers is the number of workers.
func (f *Fleet) Workers() int { return f.Zones * f.WorkersPerZone }

// regionOf is the region of a zone: neighbours share one.
func (f *Fleet) regionOf(zone int) int { return zone * f.Regions / f.Zones }

// zoneOf is the zone of the worker at a place.
func (f *Fleet) zoneOf(worker int) int { return worker / f.WorkersPerZone }

// setup makes what the model plays.
func (f *Fleet) worldSetup() world.Setup {
	s := world.Setup{Schedulers: f.Schedulers, Run: shortMeanRun, Load: f.Load, Keys: f.Keys, Skew: f.Skew, Unlike: f.HotSchedulerFactor, Queue: queueLimit,
		ReportAge: world.Span{Least: 470 * millisecond, Most: 700 * millisecond}, ReportLate: world.Span{Least: 100 * millisecond, Most: 200 * millisecond},
		Noise: 0.05, Net: world.Span{Least: 100, Most: 300}, Warm: f.WarmUp, For: f.Duration, Seed: f.Seed,
		Traffic: f.Traffic, SchedulersPerKey: schedulersPerKey, SampleEvery: shortSamplePeriod, CountRunning: true, ConnectionIdle: f.ConnectionIdle,
		FetchWindows: []rules.Time{shortWindow, longWindow}, ListLate: world.Span{Least: minListDelay, Most: maxListDelay}, Detect: world.Span{Least: minDetectDelay, Most: maxDetectDelay},
		Faults: f.Faults, RestartsPerS: f.RestartsPerS, RestartTakes: restartDuration, Rules: f.rules()}
	for zone := range f.Zones {
		s.Workers = append(s.Workers, world.Worker{Count: f.WorkersPerZone, Slots: f.Slots, Zone: zone})
	}
	s.Shares = []float64{0.45, 0.45, 0.1}
	switch f.Tasks {
	case Long:
		s.Run, s.Ramp, s.SampleEvery = longMeanRun, longRamp, longSamplePeriod
	case Mixed:
		s.Ramp, s.SampleEvery = longRamp, longSamplePeriod
		s.Shares, s.RunOf = []float64{0.5, 0.25, 0.25}, []float64{shortMeanRun, longMeanRun, longMeanRun}
	}
	return s
}

func (f *Fleet) rules() rules.Settings {
	return rules.Settings{Zones: f.Zones, Kinds: 1, MayProbe: f.ProbeCost >= 0, MayCancel: true, MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: 2 * second,
		ConnectTimeout: 150 * millisecond, ReportsStart: true, LoadInProbes: true, AnswerSlack: 10 * millisecond, DrainGrace: second, SlowStartMinCapacity: 0.31,
		SlowStartWindow: slowStartWindow, OverloadFactor: 3, OverloadWindow: second, ProbeCost: max(0, f.ProbeCost), PeerMessageCost: 0.0096,
		CrossZoneCost: crossZoneCost, Classes: f.classes()}
}

// classes are three: urgent, usual, and one whose jobs may run once only. Long tasks may wait for as long as urgent
// work at the size to design for (1 s), and more where there is time.
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

// Check tells what is wrong with a fleet; nil: nothing.
func (f *Fleet) Validate() error {
	switch {
	case f.Schedulers < 1 || f.Zones < 1 || f.WorkersPerZone < 1 || f.Slots < 1 || f.Slots > maxSlots:
		return fmt.Errorf("hollow: %d schedulers, %d zones of %d workers of %d slots are no fleet", f.Schedulers, f.Zones, f.WorkersPerZone, f.Slots)
	case f.Load <= 0 || f.Load > 2:
		return fmt.Errorf("hollow: a load of %g is not over 0 and at most 2", f.Load)
	case f.WarmUp >= f.Duration:
		return fmt.Errorf("hollow: nothing is counted between %d and %d us", f.WarmUp, f.Duration)
	}
	return nil
}
