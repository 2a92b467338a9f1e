package rules

import (
	"fmt"
	"math"
	"testing"
)

// probesPerJob runs jobs one after the other, with all probes answered, and returns the mean number of probes per
// job.
func probesPerJob(d *testDispatcher, jobs int) float64 {
	answered, ended := 0, 0
	for k := range jobs {
		d.submitKey(uint64(k))
		for ; answered < len(d.rec.probes); answered++ {
			w := d.rec.probes[answered]
			idle := Load{Has: HasInFlight | HasQueue, InFlight: d.byID[w].ownSlots} // no jobs of other dispatchers
			d.Probed(d.now, &ProbeResult{Worker: w, Status: OK, Load: idle})
		}
		d.advance(20 * ms)
		for ; ended < len(d.rec.sends); ended++ {
			d.endAttempt(d.rec.sends[ended].request, 0, d.rec.sends[ended].worker, OK)
		}
	}
	return float64(len(d.rec.probes)) / float64(jobs)
}

// newSharedDispatcher returns one of 32 dispatchers, whose workers are its share of the list. foreign is the part of
// their load that may be of other dispatchers.
func newSharedDispatcher(foreign float64, workers ...ListEntry) *testDispatcher {
	s := oneClass(Once)
	s.GroupSize, s.MayProbe, s.LoadInProbes, s.ProbeCost = 32, true, true, 0.0001
	d := newTestDispatcher(s, workers...)
	d.SetSharing(0, 2, foreign)
	d.SetSharing(-1, 2, foreign)
	return d
}

// A dispatcher with exclusive workers probes each of them once, and later few, but some: nothing else may show their
// capacity.
func TestExclusiveWorkersAreProbedSeldom(t *testing.T) {
	own, shared := newSharedDispatcher(0, workerList(100)...), newSharedDispatcher(1, workerList(100)...)
	if n := probesPerJob(own, 1000); n < 0.05 || n > 0.12 {
		t.Errorf("%.3f probes per job for the first jobs, want about 0.1, one for each worker", n)
	}
	before := len(own.rec.probes)
	own.rec.sends = nil
	for range 3 {
		probesPerJob(own, 1000)
		own.rec.sends = nil
	}
	if n := len(own.rec.probes) - before; n == 0 || n > 60 {
		t.Errorf("%d probes for 3000 later jobs, want 1 to 60", n)
	}
	if n := probesPerJob(shared, 1000); n < 1 {
		t.Errorf("%.3f probes per job with shared workers, want at least 1", n)
	}
}

// A worker that is added to the share while it runs another dispatcher's jobs is probed before its first job, and
// counts with that load.
func TestNewWorkerOfShareIsProbedFirst(t *testing.T) {
	d := newSharedDispatcher(0, workerList(20)...)
	d.meanRun = ewma{60 * second, 100}
	probesPerJob(d, 500)
	d.meanRun = ewma{60 * second, 100}
	d.List(d.now, &List{Entries: []ListEntry{{Worker: "new", Weight: 1}}})
	probed, sent := len(d.rec.probes), len(d.rec.sends)
	for k := range uint64(20) {
		d.submitKey(1000 + k)
		d.advance(100)
	}
	if len(d.rec.probes) != probed+1 || d.rec.probes[probed] != "new" {
		t.Fatalf("probed: %v, want the new worker once", d.rec.probes[probed:])
	}
	d.Probed(d.now, &ProbeResult{Worker: "new", Status: OK, Load: Load{Has: HasInFlight | HasQueue, InFlight: 8}})
	for k := range uint64(6) {
		d.submitKey(2000 + k)
	}
	for _, s := range d.rec.sends[sent:] {
		if s.worker == "new" {
			t.Fatalf("a job was sent to a worker that is full of another dispatcher's jobs")
		}
	}
	if load := d.load(d.now, d.byID["new"]); load < 7.5 {
		t.Errorf("the load of the worker with 8 jobs of another dispatcher is %.1f", load)
	}
	if load := d.load(d.now+120*second, d.byID["new"]); load > 2 {
		t.Errorf("the load two running times later is still %.1f", load)
	}
}

// The budget of a cold worker is divided among the dispatchers that may send to it, not among all: their shares are
// equal and add up to the whole budget, whichever dispatchers they are.
func TestColdBudgetIsSharedBySenders(t *testing.T) {
	shares := func(senders int) (sum float64, holders int) {
		for rank := range 32 {
			s := oneClass(Once)
			s.GroupSize, s.Rank = 32, rank
			d := newTestDispatcher(s, ListEntry{Worker: "w", Weight: 1, StartedAt: 1_000_000_000 - 10})
			d.SetSharing(0, senders, 0)
			w, r := d.byID["w"], &request{Request: Request{Slots: 1}, size: 0.0001}
			w.coldTokensAt = d.now
			d.coldBudgetAllows(d.now+second, w, r)
			if w.coldTokens > 0 {
				sum += w.coldTokens
				holders++
			}
		}
		return sum, holders
	}
	one, _ := shares(1) // each of the 32 counts as the only sender
	whole := one / 32
	for _, senders := range []int{2, 5, 32} {
		sum, holders := shares(senders)
		sending := float64(senders) / 32 // the part of the 32 that are senders
		if senders == 32 {
			sending = 1
		}
		if got := sum * sending; math.Abs(got-whole) > 0.01*whole {
			t.Errorf("%d senders: their shares sum to %g slot-microseconds, the budget is %g", senders, got, whole)
		}
		if senders == 32 && (holders < 3 || holders > 12) {
			t.Errorf("%d of 32 have a share, want 3 to 12", holders)
		}
	}
}

// Where no load is of other dispatchers, a scan whose sample is full goes on to a free worker of the share: no other
// dispatcher can fill it meanwhile.
func TestScanWidensWhereLoadIsKnown(t *testing.T) {
	sentToFreeWorker := func(foreign float64) bool {
		s := oneClass(Once)
		s.GroupSize = 32
		d := newTestDispatcher(s, workerList(64)...)
		d.SetSharing(0, 2, foreign)
		d.SetSharing(-1, 2, foreign)
		d.meanRun = ewma{400_000, 100}
		d.fillSample(&request{Request: Request{Key: 7, HasKey: true}}, sampleSize)
		for _, w := range d.sampleBuf {
			w.ownSlots = 1.5 * defaultSlots // a queue, but too short to widen the scan of a dispatcher with shared workers
		}
		d.submitKey(7)
		return len(d.rec.sends) == 1 && d.byID[d.rec.lastSend().worker].ownSlots == 1
	}
	if !sentToFreeWorker(0) {
		t.Error("a job is queued or refused although exclusive workers are free")
	}
	if sentToFreeWorker(1) {
		t.Error("a job went to a shared worker that only seems free")
	}
}

// BenchmarkSample measures a sample that holds all workers.
func BenchmarkSample(b *testing.B) {
	for _, workers := range []int{128, 1031} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			d := newTestDispatcher(oneClass(Once), workerList(workers)...)
			for i := range b.N {
				d.fillSample(&request{Request: Request{Key: uint64(i), HasKey: true}}, workers)
			}
		})
	}
}
