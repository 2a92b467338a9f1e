package hollow

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"cobaltflow/internal/scale/result"
	"cobaltflow/internal/world"
)

// Sizes on the wire in bytes, which convert messages of the model to control traffic.
const (
	probeBytes     = 250 // of a probe; its response has the same size
	datagramBytes  = 28  // IP and UDP headers of a message between schedulers; one datagram is sent for all receivers
	listEntryBytes = 130 // of an entry of the worker list: 4.3 MB for 33,000 entries
)

// Outcome holds the counts of a simulation and the resources that it used.
type Outcome struct {
	Fleet        Fleet
	Candidate    string
	Counts       world.Figures
	DecisionTime time.Duration // CPU time in the rules, of all schedulers
	HeapBytes    uint64        // largest sample of heap in use during the run, of schedulers and model together
}

// Simulate runs a fleet with a candidate. It returns an error if the fleet is invalid.
func Simulate(f Fleet, c Candidate) (Outcome, error) {
	if err := f.Validate(); err != nil {
		return Outcome{}, err
	}
	s := f.worldSetup()
	if c.Directory != nil {
		s.Directory = c.Directory(&f)
	}
	s.Ownership = c.Ownership
	meter := &meter{}
	s.AroundDecision = meter.measure
	o := Outcome{Fleet: f, Candidate: c.Name}
	o.Counts = world.Simulate(s)
	meter.sampleHeap()
	o.DecisionTime, o.HeapBytes = meter.cpuTime, meter.heapBytes
	return o, nil
}

// meter estimates the CPU time that the calling thread spends in events by measuring one in meterInterval of them.
type meter struct {
	cpuTime   time.Duration
	heapBytes uint64
	events    int
}

const (
	meterInterval      = 7       // not a divisor of the events in a turn of all schedulers
	heapSampleInterval = 1 << 20 // events between two samples of the heap
)

func (m *meter) measure(decide func()) {
	if m.events++; m.events%meterInterval != 0 {
		decide()
		return
	}
	runtime.LockOSThread()
	before := threadTime()
	decide()
	m.cpuTime += meterInterval * (threadTime() - before)
	runtime.UnlockOSThread()
	if m.events%heapSampleInterval < meterInterval {
		m.sampleHeap()
	}
}

func (m *meter) sampleHeap() {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	m.heapBytes = max(m.heapBytes, stats.HeapInuse)
}

// threadTime returns the CPU time of the calling thread, or 0 if the clock cannot be read.
func threadTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// seconds returns the length of the counted time.
func (o *Outcome) seconds() float64 {
	return float64(o.Fleet.Duration-o.Fleet.WarmUp) / float64(second)
}

// perScheduler converts a count to a rate per second and scheduler.
func (o *Outcome) perScheduler(count float64) float64 {
	return count / o.seconds() / float64(o.Fleet.Schedulers)
}

// peerBytes returns the traffic between schedulers in and out of one of them, in bytes per second.
func (o *Outcome) peerBytes() float64 {
	c := &o.Counts
	in := float64(c.MessageBytes) + c.Messages*float64(c.Jobs)*datagramBytes
	return o.perScheduler(in + in/float64(max(1, o.Fleet.Schedulers-1)))
}

// AsRun returns the outcome as a run of a case.
func (o *Outcome) AsRun(caseName, program string, parameters map[string]float64) result.Run {
	return result.Run{Case: caseName, Kind: result.Hollow, Seed: o.Fleet.Seed, Program: program, Parameters: parameters, Figures: o.Figures()}
}

// Figures returns the figures by name; each name ends with the unit.
func (o *Outcome) Figures() map[string]float64 {
	c := &o.Counts
	jobs := float64(max(1, c.Jobs))
	held := 0.0
	for _, n := range c.Held {
		held += float64(n)
	}
	figures := map[string]float64{
		"worth":                              c.ValueRatio,
		"refused_part":                       float64(c.Refused) / jobs,
		"failed_part":                        float64(c.Failed) / jobs,
		"wait_mean_s":                        c.WaitMean,
		"wait_p99_s":                         c.WaitP99,
		"herd":                               c.Herd,
		"crossings_per_job":                  c.CrossZoneAttempts,
		"probes_per_job":                     c.Probes,
		"new_connections_per_job":            c.NewConnections,
		"probe_connections_part":             c.ProbeConnectionShare,
		"starts_per_s":                       jobs / o.seconds(),
		"in_hand":                            c.JobsAtWorkers,
		"workers_held_mean":                  held / float64(o.Fleet.Schedulers),
		"probe_bytes_per_s":                  o.perScheduler(c.Probes * jobs * 2 * probeBytes),
		"list_bytes_per_s":                   o.perScheduler(float64(c.ListEntries) * listEntryBytes),
		"peer_bytes_per_s":                   o.peerBytes(),
		"decisions_us_per_job":               float64(o.DecisionTime.Microseconds()) / jobs * o.seconds() / (float64(o.Fleet.Duration) / float64(second)),
		"decisions_core_part_each_scheduler": o.DecisionTime.Seconds() / (float64(o.Fleet.Duration) / float64(second)) / float64(o.Fleet.Schedulers),
		"heap_bytes":                         float64(o.HeapBytes),
	}
	if len(c.KeyMissesIn) == 2 {
		figures["fetches_10s_per_job"], figures["fetches_300s_per_job"] = c.KeyMissesIn[0], c.KeyMissesIn[1]
	}
	return figures
}
