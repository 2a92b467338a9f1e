package rules

import (
	"fmt"
	"math"
	"testing"
)

// All dispatchers are told of a worker's start in the same moment, and each has far more for it than it may be sent. What
// they send together in the time in which it would fall over stays within N + 2*sqrt(N) + 2 requests of mean work, N
// being what the settings allow by then: with peers whose words are heard within 20 to 80 ms, and with none to be heard.
func TestTogetherDispatchersKeepToAColdWorkersBudget(t *testing.T) {
	const run, slots, step, steps = 200 * ms, 4, 20 * ms, 250
	for _, n := range []int{20, 30} {
		for _, late := range []int{0, 1, 3, 5, 10, 25, -1} { // steps until a word is heard; -1: never
			t.Run(fmt.Sprintf("%d dispatchers, heard after %d steps", n, late), func(t *testing.T) {
				s := oneClass(Once)
				s.GroupSize, s.SlowStartMinCapacity, s.SlowStartWindow, s.OverloadFactor, s.OverloadWindow = n, 0.3, 9000*ms, 3, 1000*ms
				s.MayBroadcast, s.PeerMessageCost = late >= 0, 0.0001
				beds := coldBeds(n, s, run, slots)
				start := beds[0].now
				for _, b := range beds {
					b.List(b.now, &List{Form: ListDelta, Entries: []ListEntry{{Worker: "cold", Weight: 1, StartedAt: start}}})
				}
				for at := range steps {
					for _, b := range beds {
						b.ask(7)
						b.pass(step)
					}
					if late >= 0 && at%(late+1) == late {
						hearAll(beds)
					}
				}
				var sent []Time
				for _, b := range beds {
					for _, x := range b.a.sends {
						sent = append(sent, x.at)
					}
				}
				if len(sent) == 0 {
					t.Fatal("a cold worker must get some work, or it never warms by work done")
				}
				for _, from := range sent {
					together := 0
					for _, at := range sent {
						if at >= from && at < from+s.OverloadWindow {
							together++
						}
					}
					warmth := s.SlowStartMinCapacity + (1-s.SlowStartMinCapacity)*float64(from-start)/float64(s.SlowStartWindow)
					allowed := s.OverloadFactor * slots * warmth * float64(s.OverloadWindow) / float64(run)
					if most := allowed + 2*math.Sqrt(allowed) + 2; float64(together) > most {
						t.Fatalf("%d requests within the time from %d us on, at most %.1f are borne", together, from-start, most)
					}
				}
			})
		}
	}
}

// coldBeds gives dispatchers that know the running time of jobs and the slots of workers, and have heard one another
// where the settings let them tell.
func coldBeds(n int, s Settings, run Time, slots float64) (beds []*bed) {
	for i := range n {
		s.Rank = i
		b := newBed(s)
		b.Dispatcher = New(s, uint64(i), b.now, b.a)
		b.meanRun.add(float64(run), gain)
		for range 20 {
			b.classes[0].run.add(float64(run), gain)
		}
		b.fleetCapacity.add(slots, gain)
		b.pass(ms)
		beds = append(beds, b)
	}
	if s.MayBroadcast {
		hearAll(beds)
	}
	for _, b := range beds {
		b.pass(tickInterval) // housekeeping counts who tells
	}
	if s.MayBroadcast {
		hearAll(beds)
	}
	return beds
}
