package world

import (
	"fmt"

	"cobaltflow/rules"
)

// Figures are those from Setup.Warm to the end of Setup.For. With Setup.CountRunning, jobs that still run at the end count
// as served when they would end.
type Figures struct {
	Jobs, Refused, Failed int
	IdleBesideWaiting     float64   // part of the slots that is free while as much waits elsewhere
	WaitMean, WaitP99     float64   // seconds from arrival at a worker to start
	LongestQueue          float64   // longest queue, mean over the run
	Herd                  float64   // most arrivals at one worker within a report's age over its fair part
	ValueRatio            float64   // earned, as a part of what was asked for
	ValueRatioByClass     []float64 // the same of each class
	StartedTwice, Overdue int       // jobs that may run once and started twice; jobs that got no answer in their time and the slack
	Probes, Messages      float64   // for each job
	KeyMisses             float64   // jobs that came to a worker as the first of their key in 10 s, as a part
	StarvedWorkers        int       // workers without a job for 5 s while jobs waited elsewhere
	MaxColdWork           float64   // most work in the tip-over time at a worker that joined, over what it may get then

	JobsAtWorkers        float64   // jobs that run or wait at workers, mean over the run
	NewConnections       float64   // for each job: attempts and probes at a worker without a kept connection
	ProbeConnectionShare float64   // part of these that a probe opened
	CrossZoneAttempts    float64   // attempts for each job at a worker of another zone
	KeyMissesIn          []float64 // as Fetches, for each of Setup.FetchWindows
	Lost                 int       // jobs that a killed scheduler held
	ListEntries          int       // told to schedulers, over all of them, after the first lists
	MessageBytes         int       // of messages between schedulers, over all of them
	MaxColdJobs          float64   // most jobs in the tip-over time at a cold worker, over N + 2·√N + 2 of what it may get
	MaxUnheld            int       // most workers that no living scheduler was given, at one look
	UnheldAtEnd          int       // the same at the last look
	Held                 []int     // workers that each scheduler was given at the end
}

func (f Figures) String() string {
	return fmt.Sprintf("jobs %d refused %.4f failed %d idle %.3f wait %.3f p99 %.2f longest %.1f herd %.1f worth %.3f probes %.2f messages %.2f first of key %.3f left out %d cold %.2f",
		f.Jobs, float64(f.Refused)/float64(max(1, f.Jobs)), f.Failed, f.IdleBesideWaiting, f.WaitMean, f.WaitP99, f.LongestQueue, f.Herd, f.ValueRatio, f.Probes,
		f.Messages, f.KeyMisses, f.StarvedWorkers, f.MaxColdWork)
}

// counts is what is added up while a World plays.
type counts struct {
	figures                                 Figures
	waits                                   []float64
	idleBesideWaiting, slots, longestQueues float64
	jobsAtWorkers                           float64
	samples                                 int
	earnedValue, offeredValue               []float64 // by class
	probes, messages, keyMisses             int
	messageBytes, crossZoneAttempts         int
	connections                             int
	probeConnections                        int
	keyMissesIn                             []int // by Setup.FetchWindows
}

func newCounts(s *Setup) counts {
	return counts{earnedValue: make([]float64, len(s.Shares)), offeredValue: make([]float64, len(s.Shares)), keyMissesIn: make([]int, len(s.KeyMissWindows))}
}

// counting tells whether what happens now belongs to the figures.
func (w *World) isCounting() bool { return w.now >= w.setup.WarmUp }

// serve counts what a job has earned that was or will be served at a time.
func (w *World) recordServed(j *job, at rules.Time) {
	c := &w.setup.Rules.Classes[j.class]
	if j.arrivedAt < w.setup.WarmUp {
		return
	}
	switch took := at - j.arrivedAt; {
	case took <= c.LatencyTarget+rules.Time(c.TargetStretch*j.runTime):
		w.earnedValue[j.class] += c.Value
	case took <= c.Deadline:
		w.earnedValue[j.class] += c.Value * c.LateValue
	}
}
