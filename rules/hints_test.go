package rules

import (
	"math/rand/v2"
	"testing"
)

// served has n jobs run one after another, whose hints and running times the functions draw, and gives the bed.
func served(s Settings, n int, job func(rng *rand.Rand) (hint, run Time)) *bed {
	b := newBed(s, fleet(1)...)
	rng := rand.New(rand.NewPCG(5, 7))
	for range n {
		hint, run := job(rng)
		r := b.askAs(Request{Hint: hint})
		w := b.a.last().w
		b.pass(run)
		b.end(r, 0, w, OK)
	}
	return b
}

// What a hint makes of a job follows from what hints have proved to tell: their bias says nothing, one that
// has nothing to do with the running time changes nothing, and so does none.
func TestHintsCountAsFarAsTheyProve(t *testing.T) {
	skewed := func(rng *rand.Rand) Time { return Time(30_000 * (1 + 3*rng.ExpFloat64())) }
	size := func(job func(*rand.Rand) (Time, Time)) float64 {
		b := served(oneClass(Once), 300, job)
		return b.relativeSize(&request{Request: Request{Hint: 4 * Time(b.classes[0].hint.v)}})
	}
	good := size(func(rng *rand.Rand) (Time, Time) { run := skewed(rng); return run, run })
	biased := size(func(rng *rand.Rand) (Time, Time) { run := skewed(rng); return 7 * run, run })
	rough := size(func(rng *rand.Rand) (Time, Time) {
		run := skewed(rng)
		return run + Time(rng.Float64()*900_000), run
	})
	none := size(func(rng *rand.Rand) (Time, Time) { return skewed(rng), skewed(rng) })
	contrary := size(func(rng *rand.Rand) (Time, Time) { run := skewed(rng); return 1e11 / run, run })
	if good < 3.5 || good > 4.1 || biased < 3.5 || biased > 4.1 {
		t.Errorf("a hint of four times the mean makes %.2f, with a bias %.2f; want about 4", good, biased)
	}
	if rough > good-0.5 || rough < 1.3 {
		t.Errorf("a rough hint makes %.2f, a good one %.2f", rough, good)
	}
	if none > 1.6 || contrary > 1.2 {
		t.Errorf("a hint that tells nothing makes %.2f, one that tells the contrary %.2f; want about 1", none, contrary)
	}
	b := served(oneClass(Once), 1, func(*rand.Rand) (Time, Time) { return 1, 1 })
	if got := b.relativeSize(&request{}); got != 1 {
		t.Errorf("a job without a hint has the size %.2f", got)
	}
}

// A job that was known to be long and took long says nothing of its worker.
func TestALongJobThatWasToldDoesNotSlowItsWorker(t *testing.T) {
	slow := func(hints bool) float64 {
		b := served(oneClass(Once), 200, func(rng *rand.Rand) (Time, Time) {
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
			r := b.askAs(Request{Hint: hint})
			b.pass(900 * ms)
			b.end(r, 0, "w0", OK)
		}
		return b.slowness(b.now, b.byID["w0"])
	}
	if told, untold := slow(true), slow(false); told > 1.3 || untold < 1.5 {
		t.Errorf("after four long jobs the worker counts as %.2f times as slow with hints, %.2f without", told, untold)
	}
}

// Where worth counts by work, a long job is worth its slots as much as a short one; where it counts by request,
// the long one goes first when not all can be done.
func TestWorthByWork(t *testing.T) {
	for _, byWork := range []bool{false, true} {
		s := oneClass(Once)
		s.ValueByWork = byWork
		b := newBed(s, fleet(1)...)
		b.meanRun, b.classes[0].run = ewma{100_000, 100}, ewma{100_000, 100}
		b.recentRequests, b.classes[0].recentRequests = 10, 10
		long, short := &request{size: 4, Request: Request{Slots: 1}}, &request{size: 0.5, Request: Request{Slots: 1}}
		if l, s := b.relativeDensity(long), b.relativeDensity(short); byWork && l != s || !byWork && l >= s/4 {
			t.Errorf("by work %v: the long job's density is %.2f, the short one's %.2f", byWork, l, s)
		}
	}
}

// A request waits for its workers to tell their load only where they have not been asked for some running times.
func TestProbesOfWorkersLatelyAskedAreNotWaitedFor(t *testing.T) {
	s := oneClass(Once)
	s.MayProbe, s.LoadInProbes = true, true
	b := newBed(s, fleet(3)...)
	b.meanRun = ewma{400_000, 100}
	for i, since := range []Time{second, 200 * ms, second} { // 2.5, 0.5 and 2.5 running times
		b.pass(since)
		b.a.probes, b.a.sends = nil, nil
		b.ask(7)
		if sent, want := len(b.a.sends), i%2; sent != want || len(b.a.probes) == 0 {
			t.Errorf("request %d: %d sent at once, want %d; %d workers asked", i, sent, want, len(b.a.probes))
		}
		for _, w := range b.a.probes {
			b.Probed(b.now, &ProbeResult{Worker: w, Status: OK})
		}
		if len(b.a.sends) != 1 {
			t.Errorf("request %d: %d sends after the answers", i, len(b.a.sends))
		}
	}
}

// Where a worker is seen often, one sight of it is not all that counts: every dispatcher has it and acts on it at
// once. Where it is seldom seen, the last sight is the only one that is of today.
func TestTheLastSightWeighsByHowRareSightsAre(t *testing.T) {
	load := func(every Time) float64 {
		b := newBed(oneClass(Once), fleet(1)...)
		w := b.byID["w0"]
		b.meanRun = ewma{100_000, 100}
		for range 50 {
			b.pass(every)
			b.recordOthersLoad(b.now, w, 6)
		}
		b.pass(every)
		b.recordOthersLoad(b.now, w, 0)
		return b.load(b.now, w)
	}
	if often, rare := load(20*ms), load(5000*ms); often < 2.5 || rare > 0.5 {
		t.Errorf("seen empty once after 50 times full: load %.2f where seen often, %.2f where seldom", often, rare)
	}
}

// Places for the own zone in a sample follow from the price of crossing.
func TestOwnPlacesFollowThePrice(t *testing.T) {
	far := func(price float64) (n int) {
		s := oneClass(Once)
		s.CrossZoneCost = price
		b := newBed(s, fleet(40)...)
		for key := range uint64(100) {
			b.fillSample(&request{Request: Request{Key: key}}, sampleSize)
			for _, w := range b.sampleBuf {
				if w.Zone != 0 {
					n++
				}
			}
		}
		return n
	}
	free, cheap, dear := far(0), far(0.015), far(0.5)
	if cheap != free || dear > 200 || free < 160 {
		t.Errorf("of 400 places %d are far without a price, %d with a low one, %d with a high one", free, cheap, dear)
	}
}

// Whom to ask is looked up for every request: that takes no memory, whoever turns out to be asked.
func TestAskingTakesNoMemory(t *testing.T) {
	s := oneClass(Once)
	s.MayProbe, s.LoadInProbes, s.ProbeCost = true, true, 0.0018
	b := newBed(s, fleet(20)...)
	b.ask(1)
	b.pass(500 * ms) // the wait for answers is over, and the key has a set
	if e := b.table.byKey[1]; e == nil || len(e.set) == 0 {
		t.Fatal("the key has no set")
	}
	for _, w := range b.workers {
		w.probedAt = b.now // asked just now, so that no probe goes out
	}
	r := &request{Request: Request{Key: 1, HasKey: true}}
	if n := testing.AllocsPerRun(100, func() { b.probeLoads(b.now, r) }); n > 0 {
		t.Errorf("%g allocations a request", n)
	}
}
