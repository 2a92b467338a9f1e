package world

import (
	"fmt"

	"cobaltflow/rules"
)

// Figures are the results of a simulation, measured from Setup.WarmUp to Setup.Duration. With Setup.CountRunning, jobs that
// still run at the end count as served at the time at which they would end.
type Figures struct {
	Jobs, Refused, Failed int
	IdleBesideWaiting     float64   // fraction of the slots that is free while as many jobs wait elsewhere
	WaitMean, WaitP99     float64   // seconds from a job's arrival at a worker to its start
	LongestQueue          float64   // jobs in the longest queue, mean over the samples
	Herd                  float64   // most arrivals at one worker within the largest report interval, over its fair share
	ValueRatio            float64   // value earned by served jobs, as a fraction of the value of all jobs
	ValueRatioByClass     []float64 // ValueRatio of each class
	StartedTwice, Overdue int       // jobs of effect Once that started twice; jobs without an answer at their deadline plus Rules.AnswerSlack
	Probes, Messages      float64   // probes of workers and messages between schedulers, per job
	KeyMisses             float64   // fraction of the jobs that were the first of their key at their worker in 10 s
	StarvedWorkers        int       // workers that got no job for 5 s while jobs waited elsewhere
	MaxColdWork           float64   // most work that a cold worker got within Rules.OverloadWindow, over N + 3·√N + 3, where N is its limit during slow start in mean jobs

	JobsAtWorkers        float64   // jobs that run or wait at workers, mean over the samples
	NewConnections       float64   // per job: attempts and probes sent to a worker without a kept connection
	ProbeConnectionShare float64   // fraction of NewConnections that a probe opened
	CrossZoneAttempts    float64   // per job: attempts sent to a worker of another zone
	KeyMissesIn          []float64 // as KeyMisses, with each of Setup.KeyMissWindows instead of 10 s
	Lost                 int       // requests without an answer in a scheduler that was killed
	ListEntries          int       // entries of worker list updates, over all schedulers, without the first lists
	MessageBytes         int       // bytes of messages between schedulers, over all schedulers
	MaxColdJobs          float64   // most jobs that a cold worker got within Rules.OverloadWindow, over N + 2·√N + 2, where N is its limit in jobs
	MaxUnheld            int       // most workers that no running scheduler held, over the samples
	UnheldAtEnd          int       // workers that no running scheduler held at the last sample
	Held                 []int     // workers that each scheduler held at the end
}

// String returns the main figures on one line.
func (f Figures) String() string {
	return fmt.Sprintf("jobs %d refused %.4f failed %d idle %.3f wait %.3f p99 %.2f longest %.1f herd %.1f worth %.3f probes %.2f messages %.2f first of key %.3f left out %d cold %.2f",
		f.Jobs, float64(f.Refused)/float64(max(1, f.Jobs)), f.Failed, f.IdleBesideWaiting, f.WaitMean, f.WaitP99, f.LongestQueue, f.Herd, f.ValueRatio, f.Probes,
		f.Messages, f.KeyMisses, f.StarvedWorkers, f.MaxColdWork)
}

// counts holds the sums from which the Figures are computed at the end.
type counts struct {
	figures                                 Figures
	waits                                   []float64
	idleBesideWaiting, slots, longestQueues float64
	jobsAtWorkers                           float64
	samples                                 int
	earnedValue, offeredValue               []float64 // by class of job
	probes, messages, keyMisses             int
	messageBytes, crossZoneAttempts         int
	connections                             int
	probeConnections                        int
	keyMissesIn                             []int // by index of Setup.KeyMissWindows
}

func newCounts(s *Setup) counts {
	return counts{earnedValue: make([]float64, len(s.Shares)), offeredValue: make([]float64, len(s.Shares)), keyMissesIn: make([]int, len(s.KeyMissWindows))}
}

// isCounting reports whether the present events count in the figures, as the warm-up is over.
func (w *World) isCounting() bool { return w.now >= w.setup.WarmUp }

// recordServed adds the value that a job earns by an answer at a time: all of it within the latency target, a part of it
// within the deadline.
func (w *World) recordServed(j *job, at rules.Time) {
	c := &w.setup.Rules.Classes[j.class]
	if j.arrivedAt < w.setup.WarmUp {
		return
	}
	switch latency := at - j.arrivedAt; {
	case latency <= c.LatencyTarget+rules.Time(c.TargetStretch*j.runTime):
		w.earnedValue[j.class] += c.Value
	case latency <= c.Deadline:
		w.earnedValue[j.class] += c.Value * c.LateValue
	}
}
