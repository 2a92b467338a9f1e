package rules

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// coldRun is one draw of the model: a worker starts cold before dispatchers that all have more for it than it may be
// sent, and some of them are restarted, or upgraded, while it warms.
type coldRun struct {
	rng      *rand.Rand
	set      Settings
	run      Time
	slots    float64
	late     int // steps until a word is heard; -1: never
	start    Time
	beds     []*coldBed
	sent     []Time
	restarts bool
	// chance is that of a job at a dispatcher in a step: 1 where it has far more than the worker may be sent. From rushFrom
	// on it is rush times as much.
	chance, rush float64
	rushFrom     Time // after the worker's start
	steps        int
}

// coldBed is a process of a dispatcher.
type coldBed struct {
	*bed
	rank    int
	yields  Time // when it hears of its successor; 0: it has none
	ends    Time
	counted int // of its sends
}

const (
	coldStep      = 20 * ms
	coldSteps     = 300
	thinHistory   = 1500    // steps, after which what is known of a dispatcher's traffic is near its mean
	successorSeen = 60 * ms // the look at the state folder, and a turn
)

func newColdRun(seed uint64, late int, restarts, thin bool, rush float64) *coldRun {
	rng := rand.New(rand.NewPCG(seed, 7))
	c := &coldRun{rng: rng, late: late, restarts: restarts, chance: 1, rush: rush, steps: coldSteps, run: Time(50+rng.IntN(450)) * ms, slots: float64(1 + rng.IntN(8))}
	c.set = oneClass(Once)
	c.set.GroupSize = 2 + rng.IntN(59)
	c.set.SlowStartMinCapacity, c.set.SlowStartWindow = 0.1+0.4*rng.Float64(), Time(4000+rng.IntN(20000))*ms
	c.set.OverloadFactor, c.set.OverloadWindow = 2+2*rng.Float64(), Time(800+rng.IntN(1200))*ms
	c.set.MayBroadcast, c.set.PeerMessageCost = late >= 0, 0.0001
	if thin {
		c.set.GroupSize += 60
		c.chance = (0.05 + 0.35*rng.Float64()) * float64(coldStep) / float64(c.set.OverloadWindow)
	}
	for i, b := range coldBeds(c.set.GroupSize, c.set, c.run, c.slots) {
		b.rng = rand.New(rand.NewPCG(seed, uint64(i)))
		c.beds = append(c.beds, &coldBed{bed: b, rank: i})
	}
	if thin { // they know their traffic from the time before
		for range thinHistory {
			for _, b := range c.beds {
				c.ask(b, c.chance)
				b.pass(coldStep)
			}
		}
	}
	c.start, c.rushFrom = c.beds[0].now, c.set.SlowStartWindow/2
	for _, b := range c.beds {
		b.learn(c.start)
	}
	return c
}

// ask has a client ask a dispatcher, by chance.
func (c *coldRun) ask(b *coldBed, chance float64) {
	if c.rng.Float64() < chance {
		b.ask(7)
	}
}

func (b *coldBed) learn(start Time) {
	b.List(b.now, &List{Form: ListDelta, Entries: []ListEntry{{Worker: "cold", Weight: 1, StartedAt: start}}})
}

// again starts another process of a dispatcher, which knows what the settings and its first jobs have told it.
func (c *coldRun) again(rank int, now Time) *coldBed {
	s := c.set
	s.Rank = rank
	b := newBed(s)
	b.now, b.a.now = now, now
	b.Dispatcher = New(s, c.rng.Uint64(), now, b.a)
	b.meanRun.add(float64(c.run), gain)
	for range 20 {
		b.classes[0].run.add(float64(c.run), gain)
	}
	b.fleetCapacity.add(c.slots, gain)
	fresh := &coldBed{bed: b, rank: rank}
	fresh.learn(c.start)
	return fresh
}

// disturb restarts a dispatcher, or starts a second process of one that has none yet.
func (c *coldRun) disturb(now Time) {
	at := c.rng.IntN(len(c.beds))
	b := c.beds[at]
	if b.yields > 0 {
		return
	}
	if c.rng.IntN(2) == 0 {
		c.beds[at] = c.again(b.rank, now)
		return
	}
	b.yields, b.ends = now+successorSeen, now+3700*ms
	c.beds = append(c.beds, c.again(b.rank, now))
}

func (c *coldRun) chanceAt(now Time) float64 {
	if now > c.start+c.rushFrom {
		return c.rush * c.chance
	}
	return c.chance
}

func (c *coldRun) play() {
	for at := range c.steps {
		now := c.beds[0].now
		if now >= c.start+c.set.SlowStartWindow {
			break
		}
		if c.restarts && c.rng.IntN(10) == 0 {
			c.disturb(now)
		}
		c.beds = slices.DeleteFunc(c.beds, func(b *coldBed) bool { return b.ends > 0 && now >= b.ends })
		for _, b := range c.beds {
			if b.yields > 0 && now >= b.yields {
				b.YieldColdBudget(true)
			}
			c.ask(b, c.chanceAt(now))
			b.pass(coldStep)
			for ; b.counted < len(b.a.sends); b.counted++ {
				c.sent = append(c.sent, b.a.sends[b.counted].at)
			}
		}
		if c.late >= 0 && at%(c.late+1) == c.late {
			var all []*bed
			for _, b := range c.beds {
				if b.ends == 0 {
					all = append(all, b.bed)
				}
			}
			hearAll(all)
		}
	}
	slices.Sort(c.sent)
}

// allowed is the number of requests that the settings allow in TipAfter from a time on, all dispatchers together.
func (c *coldRun) allowed(from Time) float64 {
	warmth := min(1, c.set.SlowStartMinCapacity+(1-c.set.SlowStartMinCapacity)*float64(from-c.start)/float64(c.set.SlowStartWindow))
	return c.set.OverloadFactor * c.slots * warmth * float64(c.set.OverloadWindow) / float64(c.run)
}

// over gives the worst time while the worker is cold: how many requests over the bound came in TipAfter from it on.
func (c *coldRun) over() (worst float64, from Time) {
	worst = math.Inf(-1)
	end := 0
	for i, at := range c.sent {
		if at >= c.start+c.set.SlowStartWindow {
			break
		}
		for end < len(c.sent) && c.sent[end] < at+c.set.OverloadWindow {
			end++
		}
		n := c.allowed(at)
		most := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			most = n + 3*math.Sqrt(n) + 3
		}
		if over := float64(end-i) - most; over > worst {
			worst, from = over, at-c.start
		}
	}
	return worst, from
}

// Over 200 draws of settings, with words of peers that are heard soon, late or never, and with restarts and upgrades
// while the worker warms, all dispatchers together keep to the bound, and use a part of the budget.
func TestAColdWorkersBoundHoldsWithoutHearing(t *testing.T) {
	const seeds = 200
	for _, late := range []int{-1, 5, 25} {
		for _, how := range []struct{ restarts, thin bool }{{false, false}, {true, false}, {false, true}} {
			t.Run(fmt.Sprintf("heard after %d steps, restarts %v, thin traffic %v", late, how.restarts, how.thin), func(t *testing.T) {
				t.Parallel()
				used, could := 0.0, 0.0
				for seed := range uint64(seeds) {
					c := newColdRun(seed, late, how.restarts, how.thin, 2)
					c.play()
					if over, from := c.over(); over > 0 {
						t.Errorf("seed %d: %.1f requests over the bound, within the time from %d us on", seed, over, from)
					}
					used += float64(len(c.sent))
					for at := Time(0); at < min(coldSteps*coldStep, c.set.SlowStartWindow); at += c.set.OverloadWindow {
						could += c.allowed(c.start + at)
					}
				}
				t.Logf("%.2f of what the settings allow was sent", used/could)
				if !how.thin && used < could/4 {
					t.Errorf("%.2f of what the settings allow was sent", used/could)
				}
			})
		}
	}
}

// The bound holds in a rush too: traffic that is thin and known from the time before becomes many times as much at all
// dispatchers at once, while the worker warms.
//
// Seen: the audit of the slow start, and a play of the soak (seed 6026) in which 33 jobs of 13 schedulers came to one worker
// within 0.25 s after a quiet second. A dispatcher with thin traffic has a part of the budget by the jobs that it usually has:
// more have a part than the worker bears whole jobs over its budget. While they have nothing to send, their parts fill to a
// whole job each; where many then have one at once, each sends it, as none hears of the others in time.
func TestAColdWorkersBoundHoldsInARush(t *testing.T) {
	const seeds = 200
	for _, rush := range []float64{3, 10, 100} {
		for _, late := range []int{-1, 5, 25} {
			t.Run(fmt.Sprintf("%v times the traffic, heard after %d steps", rush, late), func(t *testing.T) {
				t.Parallel()
				broken, worst, at := 0, 0.0, uint64(0)
				for seed := range uint64(seeds) {
					c := newColdRun(seed, late, false, true, rush)
					c.steps = int(c.set.SlowStartWindow / coldStep)
					c.rushFrom = Time(c.rng.Float64() * float64(c.set.SlowStartWindow))
					c.play()
					if over, _ := c.over(); over > 0 {
						broken++
						if over > worst {
							worst, at = over, seed
						}
					}
				}
				if broken > 0 {
					t.Errorf("%d of %d seeds over the bound, the worst by %.1f requests (seed %d)", broken, seeds, worst, at)
				}
			})
		}
	}
}
