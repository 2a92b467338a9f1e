package rules

import (
	"fmt"
	"math"
	"testing"
)

// All dispatchers learn of a worker's start at the same moment, and each has far more jobs for it than it may be
// sent. What they send together within OverloadWindow stays within N + 2*sqrt(N) + 2 jobs of mean size, where N is
// what the settings allow at that time: with broadcasts delivered after 20 to 520 ms, and without any.
func TestTogetherDispatchersKeepToAColdWorkersBudget(t *testing.T) {
	const run, slots, step, steps = 200 * ms, 4, 20 * ms, 250
	for _, n := range []int{20, 30} {
		for _, delay := range []int{0, 1, 3, 5, 10, 25, -1} { // steps until broadcasts are delivered; -1: never
			t.Run(fmt.Sprintf("%d dispatchers, broadcasts after %d steps", n, delay), func(t *testing.T) {
				s := oneClass(Once)
				s.GroupSize, s.SlowStartMinCapacity, s.SlowStartWindow, s.OverloadFactor, s.OverloadWindow = n, 0.3, 9000*ms, 3, 1000*ms
				s.MayBroadcast, s.PeerMessageCost = delay >= 0, 0.0001
				dispatchers := newColdDispatchers(n, s, run, slots)
				start := dispatchers[0].now
				for _, d := range dispatchers {
					d.List(d.now, &List{Form: ListDelta, Entries: []ListEntry{{Worker: "cold", Weight: 1, StartedAt: start}}})
				}
				for at := range steps {
					for _, d := range dispatchers {
						d.submitKey(7)
						d.advance(step)
					}
					if delay >= 0 && at%(delay+1) == delay {
						deliverBroadcasts(dispatchers)
					}
				}
				var sent []Time
				for _, d := range dispatchers {
					for _, x := range d.rec.sends {
						sent = append(sent, x.at)
					}
				}
				if len(sent) == 0 {
					t.Fatal("a cold worker got nothing, so it would never warm up by doing work")
				}
				for _, from := range sent {
					count := 0
					for _, at := range sent {
						if at >= from && at < from+s.OverloadWindow {
							count++
						}
					}
					warmth := s.SlowStartMinCapacity + (1-s.SlowStartMinCapacity)*float64(from-start)/float64(s.SlowStartWindow)
					allowed := s.OverloadFactor * slots * warmth * float64(s.OverloadWindow) / float64(run)
					if bound := allowed + 2*math.Sqrt(allowed) + 2; float64(count) > bound {
						t.Fatalf("%d requests in the window from %d us on, at most %.1f are allowed", count, from-start, bound)
					}
				}
			})
		}
	}
}

// newColdDispatchers returns dispatchers that have learned the running time of jobs and the slots of workers, and
// have received each other's keepalives if the settings allow broadcasts.
func newColdDispatchers(n int, s Settings, run Time, slots float64) (dispatchers []*testDispatcher) {
	for i := range n {
		s.Rank = i
		d := newTestDispatcher(s)
		d.Dispatcher = New(s, uint64(i), d.now, d.rec)
		d.meanRun.add(float64(run), gain)
		for range 20 {
			d.classes[0].run.add(float64(run), gain)
		}
		d.fleetCapacity.add(slots, gain)
		d.advance(ms)
		dispatchers = append(dispatchers, d)
	}
	if s.MayBroadcast {
		deliverBroadcasts(dispatchers)
	}
	for _, d := range dispatchers {
		d.advance(tickInterval) // housekeeping counts the peers that broadcast
	}
	if s.MayBroadcast {
		deliverBroadcasts(dispatchers)
	}
	return dispatchers
}
