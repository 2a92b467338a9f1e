// Package flood plays overload against real processes of the program: clients that send more, slower or other input than they
// may, beside clients that behave. It reports the peak memory against the limit, what the well-behaved clients got, attempts
// that began after their client had left, and IDs that ran twice. It never connects to anything but the loopback address.
package flood

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind names what the misbehaving clients do.
type Kind string

// The kinds of misbehaving clients.
const (
	None            Kind = "none"
	HalfBody        Kind = "half-body"         // stop in the middle of the largest body and stay
	SlowBody        Kind = "slow-body"         // write the largest body in parts within the time that a message has
	LargeRequests   Kind = "large-requests"    // the largest requests, one behind the other, at full speed
	SmallRequests   Kind = "small-requests"    // small requests under ever new names, at full speed
	HugeBody        Kind = "huge-body"         // a body of 60 MB
	Unreadable      Kind = "unreadable"        // bytes that are no HTTP
	ManyFields      Kind = "many-fields"       // heads of very many short fields, without an end
	Callbacks       Kind = "callbacks"         // callbacks of jobs that nobody knows, at full speed
	UnreadAnswers   Kind = "unread-answers"    // requests whose answers are not read
	ConnectAndLeave Kind = "connect-and-leave" // connections that are closed at once
	PipelineAndGo   Kind = "pipeline-and-go"   // pipeline requests, leave at once and come again
	Mixed           Kind = "mixed"             // another one of the above each second
	FaktoryJobs     Kind = "faktory-jobs"      // small jobs under ever new names, at full speed, on the Faktory front
	FaktoryLarge    Kind = "faktory-large"     // large jobs at full speed
	FaktoryEndless  Kind = "faktory-endless"   // commands without an end
	RepeatedIDs     Kind = "repeated-ids"      // a request, an end some milliseconds later, and the same request again
)

// Kinds are all kinds of floods.
var Kinds = []Kind{HalfBody, SlowBody, LargeRequests, SmallRequests, HugeBody, Unreadable, ManyFields, Callbacks, UnreadAnswers,
	ConnectAndLeave, PipelineAndGo, Mixed, RepeatedIDs, FaktoryJobs, FaktoryLarge,
	FaktoryEndless}

// isFaktory reports whether the clients are those of the Faktory front.
func (k Kind) isFaktory() bool { return k == FaktoryJobs || k == FaktoryLarge || k == FaktoryEndless }

// mixable are the kinds that Mixed draws from.
var mixable = []Kind{HalfBody, SlowBody, LargeRequests, SmallRequests, HugeBody, Unreadable, ManyFields, Callbacks, UnreadAnswers,
	ConnectAndLeave, PipelineAndGo}

// Case is one play.
type Case struct {
	Flood       Kind
	MemoryMB    int // limits.memory_mb
	Sockets     int // limits.sockets
	Clients     int // misbehaving connections; 0: two thirds of those that the clients may have
	Seconds     float64
	Seed        uint64
	WithUpgrade bool    // a second process takes over at half of the time
	KillAtS     float64 // the process is killed then and started again; 0: it is not
	Core        int     // the core that the processes run on; below 0: any
}

// Well-behaved clients of each play.
const (
	soundClients    = 8
	soundRatePerS   = 20 // of each
	soundTimeoutMS  = 5000
	answerTolerance = 500 * time.Millisecond // after its time an answer only earns nothing, later it is lost
)

// disconnectTolerance is how long after its client's end an attempt may still begin.
const disconnectTolerance = 100 * time.Millisecond

// Report is the outcome of a case.
type Report struct {
	Case            Case
	PeakBytes       int64 // of the resident memory of all processes together
	LiveBytes       int64 // resident at the end
	Sound           Outcomes
	Attempts        int // of the misbehaving clients' requests, at the workers
	LateAttempts    int // began more than disconnectTolerance after their client's end
	LatestAttempt   time.Duration
	RanTwice        []string // IDs
	Exited          bool     // a process ended by itself
	ProcessorShare  float64  // of one core
	FloodedRequests int64    // messages that the misbehaving clients wrote
	Outages         []interval
	Log             string // of the processes, its last lines
}

// LimitBytes returns the limit for PeakBytes.
func (r *Report) LimitBytes() int64 { return int64(r.Case.MemoryMB) << 20 }

// String is the report's line.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-17s %3d MB %4d sockets %3d clients", r.Case.Flood, r.Case.MemoryMB, r.Case.Sockets, r.Case.Clients)
	if r.Case.WithUpgrade {
		b.WriteString(" upgrade")
	}
	fmt.Fprintf(&b, ": peak %.1f MB, at the end %.1f MB, core %.2f; sound: %s; attempts %d, late %d (latest %.2f s), twice %d",
		float64(r.PeakBytes)/(1<<20), float64(r.LiveBytes)/(1<<20), r.ProcessorShare, &r.Sound, r.Attempts, r.LateAttempts,
		r.LatestAttempt.Seconds(), len(r.RanTwice))
	if r.Exited {
		b.WriteString("; A PROCESS ENDED")
	}
	return b.String()
}

// Outcomes counts how the requests of the well-behaved clients ended.
type Outcomes struct {
	Sent, Served, Refused, Failed, Unanswered int

	latencies  []time.Duration // of the served ones
	unanswered []interval
}

// interval is a time between two moments.
type interval struct{ from, to time.Time }

// UnansweredBeside returns how many requests without an answer were under way at no moment of an outage.
func (o *Outcomes) UnansweredBeside(outages []interval) (count int) {
	for _, lost := range o.unanswered {
		if !slices.ContainsFunc(outages, func(out interval) bool { return lost.from.Before(out.to) && lost.to.After(out.from) }) {
			count++
		}
	}
	return count
}

// String implements fmt.Stringer.
func (o *Outcomes) String() string {
	return fmt.Sprintf("%d sent, %d served, %d refused, %d failed, %d unanswered, p50 %.0f ms, p99 %.0f ms", o.Sent, o.Served, o.Refused, o.Failed,
		o.Unanswered, ms(o.Quantile(0.5)), ms(o.Quantile(0.99)))
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Quantile returns a quantile of the latency of the served requests; q is between 0 and 1.
func (o *Outcomes) Quantile(q float64) time.Duration {
	if len(o.latencies) == 0 {
		return 0
	}
	slices.Sort(o.latencies)
	return o.latencies[int(q*float64(len(o.latencies)-1))]
}

// Play runs a case with a program and returns its report. dir is for configuration and temporary files.
func Play(ctx context.Context, binary, dir string, c Case) (*Report, error) {
	if c.Clients == 0 && c.Flood.isFaktory() {
		c.Clients = faktorySessions
	}
	if c.Clients == 0 {
		budget := clientBudget(c.Sockets)
		if c.WithUpgrade {
			budget /= 2 // each of the two processes has half
		}
		c.Clients = budget * 2 / 3
	}
	workers, err := startWorkers()
	if err != nil {
		return nil, err
	}
	defer workers.close()
	s, err := startScheduler(binary, dir, c, workers)
	if err != nil {
		return nil, err
	}
	defer s.close()
	runCtx, cancel := context.WithTimeout(ctx, time.Duration(c.Seconds*float64(time.Second)))
	defer cancel()
	cpuBefore, started := s.processorTime(), time.Now()
	var clients sync.WaitGroup
	bad := &misbehaving{address: s.floodAddress(), seed: c.Seed, started: started, departures: workers.departures}
	if c.Flood != None {
		for i := range c.Clients {
			clients.Go(func() { bad.run(runCtx, c.Flood, i) })
		}
	}
	sound := &soundLoad{address: s.listen, seed: c.Seed}
	clients.Go(func() { sound.run(runCtx) })
	var faultErr error
	clients.Go(func() { faultErr = s.injectFaults(runCtx) })
	clients.Wait()
	if faultErr != nil {
		return nil, fmt.Errorf("%w\n%s", faultErr, s.logTail())
	}
	report := &Report{Case: c, Sound: sound.outcomes, FloodedRequests: bad.written.Load(), Exited: s.hasExited(), PeakBytes: s.peak(),
		ProcessorShare: (s.processorTime() - cpuBefore).Seconds() / time.Since(started).Seconds()}
	report.LiveBytes, report.Outages = s.resident(), s.outages
	workers.settle()
	report.Attempts, report.LateAttempts, report.LatestAttempt, report.RanTwice = workers.departures.judge()
	report.Log = s.logTail()
	return report, nil
}

// clientBudget returns how many connections the clients may have, as the README states it.
func clientBudget(sockets int) int {
	spare := max(24, sockets/8) + adminConnections // the Faktory front is on in its own floods alone
	return sockets - spare - (sockets-spare)*2/5
}

// adminConnections are set aside for the operators' address.
const adminConnections = 32
