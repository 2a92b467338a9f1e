package rules

import (
	"math/rand/v2"
	"testing"
)

// afterJobs returns a dispatcher after n jobs that ran one after the other, with hints and running times drawn by
// job.
func afterJobs(s Settings, n int, job func(rng *rand.Rand) (hint, run Time)) *testDispatcher {
	d := newTestDispatcher(s, workerList(1)...)
	rng := rand.New(rand.NewPCG(5, 7))
	for range n {
		hint, run := job(rng)
		r := d.submit(Request{Hint: hint})
		w := d.rec.lastSend().worker
		d.advance(run)
		d.endAttempt(r, 0, w, OK)
	}
	return d
}

// A hint counts as much as hints have predicted running times so far. Their bias does not count; hints without any
// relation to the running time, and missing ones, change nothing.
func TestHintsAreWeightedByAccuracy(t *testing.T) {
	skewed := func(rng *rand.Rand) Time { return Time(30_000 * (1 + 3*rng.ExpFloat64())) }
	size := func(job func(*rand.Rand) (Time, Time)) float64 {
		d := afterJobs(oneClass(Once), 300, job)
		return d.relativeSize(&request{Request: Request{Hint: 4 * Time(d.classes[0].hint.v)}})
	}
	good := size(func(rng *rand.Rand) (Time, Time) { run := skewed(rng); return run, run })
	biased := size(func(rng *rand.Rand) (Time, Time) { run := skewed(rng); return 7 * run, run })
	rough := size(func(rng *rand.Rand) (Time, Time) {
		run := skewed(rng)
		return run + Time(rng.Float64()*900_000), run
	})
	unrelated := size(func(rng *rand.Rand) (Time, Time) { return skewed(rng), skewed(rng) })
	inverse := size(func(rng *rand.Rand) (Time, Time) { run := skewed(rng); return 1e11 / run, run })
	if good < 3.5 || good > 4.1 || biased < 3.5 || biased > 4.1 {
		t.Errorf("the size by a hint of four times the mean is %.2f, with a bias %.2f; want about 4", good, biased)
	}
	if rough > good-0.5 || rough < 1.3 {
		t.Errorf("the size by a rough hint is %.2f, by a good one %.2f", rough, good)
	}
	if unrelated > 1.6 || inverse > 1.2 {
		t.Errorf("the size by an unrelated hint is %.2f, by an inverse one %.2f; want about 1", unrelated, inverse)
	}
	d := afterJobs(oneClass(Once), 1, func(*rand.Rand) (Time, Time) { return 1, 1 })
	if got := d.relativeSize(&request{}); got != 1 {
		t.Errorf("the size of a job without a hint is %.2f, want 1", got)
	}
}

// A long job whose hint said so does not count against its worker.
func TestHintedLongJobDoesNotSlowItsWorker(t *testing.T) {
	slowness := func(hints bool) float64 {
		d := afterJobs(oneClass(Once), 200, func(rng *rand.Rand) (Time, Time) {
			run := Time(50_000 * (1 + 2*rng.ExpFloat64()))
			if hints {
				return run, run
			}
			return 0, run
		})
		for range 4 {
			hint := Time(0)
			if hints {
				hint = 900_000
			}
			r := d.submit(Request{Hint: hint})
			d.advance(900 * ms)
			d.endAttempt(r, 0, "w0", OK)
		}
		return d.slowness(d.now, d.byID["w0"])
	}
	if hinted, unhinted := slowness(true), slowness(false); hinted > 1.3 || unhinted < 1.5 {
		t.Errorf("the slowness after four long jobs is %.2f with hints, %.2f without", hinted, unhinted)
	}
}

// Where value counts by work, a long job has the same value density as a short one. Where it counts by job, the long
// one is shed first under overload.
func TestValueByWork(t *testing.T) {
	for _, byWork := range []bool{false, true} {
		s := oneClass(Once)
		s.ValueByWork = byWork
		d := newTestDispatcher(s, workerList(1)...)
		d.meanRun, d.classes[0].run = ewma{100_000, 100}, ewma{100_000, 100}
		d.recentRequests, d.classes[0].recentRequests = 10, 10
		long, short := &request{size: 4, Request: Request{Slots: 1}}, &request{size: 0.5, Request: Request{Slots: 1}}
		if l, s := d.relativeDensity(long), d.relativeDensity(short); byWork && l != s || !byWork && l >= s/4 {
			t.Errorf("by work %v: the long job's density is %.2f, the short one's %.2f", byWork, l, s)
		}
	}
}

// A request waits for probe results only from workers that were not probed for several running times.
func TestRecentlyProbedWorkersAreNotAwaited(t *testing.T) {
	s := oneClass(Once)
	s.MayProbe, s.LoadInProbes = true, true
	d := newTestDispatcher(s, workerList(3)...)
	d.meanRun = ewma{400_000, 100}
	for i, since := range []Time{second, 200 * ms, second} { // 2.5, 0.5 and 2.5 running times
		d.advance(since)
		d.rec.probes, d.rec.sends = nil, nil
		d.submitKey(7)
		if sent, want := len(d.rec.sends), i%2; sent != want || len(d.rec.probes) == 0 {
			t.Errorf("request %d: %d sent at once, want %d; %d workers probed", i, sent, want, len(d.rec.probes))
		}
		for _, w := range d.rec.probes {
			d.Probed(d.now, &ProbeResult{Worker: w, Status: OK})
		}
		if len(d.rec.sends) != 1 {
			t.Errorf("request %d: %d sends after the probe results", i, len(d.rec.sends))
		}
	}
}

// Where a worker's load is observed often, the last observation counts little: all dispatchers have it and act on it
// at the same time. Where it is observed rarely, only the last observation is recent.
func TestLastObservationWeighsByInterval(t *testing.T) {
	load := func(every Time) float64 {
		d := newTestDispatcher(oneClass(Once), workerList(1)...)
		w := d.byID["w0"]
		d.meanRun = ewma{100_000, 100}
		for range 50 {
			d.advance(every)
			d.recordOthersLoad(d.now, w, 6)
		}
		d.advance(every)
		d.recordOthersLoad(d.now, w, 0)
		return d.load(d.now, w)
	}
	if often, rare := load(20*ms), load(5000*ms); often < 2.5 || rare > 0.5 {
		t.Errorf("observed empty once after 50 times full: load %.2f if observed often, %.2f if rarely", often, rare)
	}
}

// The places of a sample that are reserved for the own zone depend on the cost of crossing zones.
func TestOwnZonePlacesFollowCrossZoneCost(t *testing.T) {
	crossZone := func(cost float64) (n int) {
		s := oneClass(Once)
		s.CrossZoneCost = cost
		d := newTestDispatcher(s, workerList(40)...)
		for key := range uint64(100) {
			d.fillSample(&request{Request: Request{Key: key}}, sampleSize)
			for _, w := range d.sampleBuf {
				if w.Zone != 0 {
					n++
				}
			}
		}
		return n
	}
	free, low, high := crossZone(0), crossZone(0.015), crossZone(0.5)
	if low != free || high > 200 || free < 160 {
		t.Errorf("of 400 places %d are in the other zone without a cost, %d with a low one, %d with a high one", free, low, high)
	}
}

// probeLoads runs for every request, and must not allocate.
func TestProbeLoadsDoesNotAllocate(t *testing.T) {
	s := oneClass(Once)
	s.MayProbe, s.LoadInProbes, s.ProbeCost = true, true, 0.0018
	d := newTestDispatcher(s, workerList(20)...)
	d.submitKey(1)
	d.advance(500 * ms) // the wait for probe results is over, and the key has a set
	if e := d.table.byKey[1]; e == nil || len(e.set) == 0 {
		t.Fatal("the key has no set")
	}
	for _, w := range d.workers {
		w.probedAt = d.now // probed just now, so that no probe is sent
	}
	r := &request{Request: Request{Key: 1, HasKey: true}}
	if n := testing.AllocsPerRun(100, func() { d.probeLoads(d.now, r) }); n > 0 {
		t.Errorf("%g allocations per request", n)
	}
}
