package sites

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// world simulates the workers of a machine in virtual time: reachable ones reply after a delay, the others never.
type world struct {
	m             *Machine
	now           Time
	next          Time
	reachable     map[string]bool
	replyDelay    Time
	replies       []pendingReply
	disabledCount int
	probeCount    int
	enabled       []string
	states        []string
}

type pendingReply struct {
	at     Time
	worker string
}

func (w *world) ProbeWorker(worker string) {
	w.probeCount++
	w.send(worker)
}

// send sends a job or probe, and schedules the reply of a reachable worker.
func (w *world) send(worker string) {
	w.m.ReplyExpected(w.now, worker)
	if w.reachable[worker] {
		w.replies = append(w.replies, pendingReply{w.now + w.replyDelay, worker})
	}
}

func (w *world) DisableWorker(string, bool)         { w.disabledCount++ }
func (w *world) EnableWorker(worker string, _ bool) { w.enabled = append(w.enabled, worker) }
func (w *world) StateChanged(site int, from, to State) {
	w.states = append(w.states, fmt.Sprint(site, ":", to))
}

func workerName(site, i int) string { return fmt.Sprintf("s%d-%d", site, i) }

func newWorld(set Settings, sizes ...int) *world {
	w := &world{now: second, reachable: map[string]bool{}, replyDelay: 3 * millisecond}
	set.SiteCount = len(sizes)
	w.m = New(set, 1, w.now, w)
	var list []Member
	for s, n := range sizes {
		for i := range n {
			list = append(list, Member{workerName(s, i), s})
			w.reachable[workerName(s, i)] = true
		}
	}
	w.m.UpdateWorkers(w.now, list)
	w.next = w.m.Turn(w.now)
	return w
}

// run advances the clock to until. A job is sent every interval (0: none), the i-th one to the worker that target
// returns (empty: not sent).
func (w *world) run(until Time, interval Time, target func(i int) string) {
	for i, job := 0, w.now; w.now < until; {
		next := min(until, w.next)
		if interval > 0 {
			next = min(next, job)
		}
		for _, reply := range w.replies {
			next = min(next, reply.at)
		}
		w.now = max(w.now, next)
		kept := w.replies[:0]
		for _, reply := range w.replies {
			if reply.at <= w.now {
				w.m.WorkerResponded(w.now, reply.worker)
			} else {
				kept = append(kept, reply)
			}
		}
		w.replies = kept
		if interval > 0 && w.now >= job {
			job += interval
			if worker := target(i); worker != "" && !w.m.IsDisabled(worker) {
				w.send(worker)
			}
			i++
		}
		if w.now >= w.next {
			w.next = w.m.Turn(w.now)
		}
	}
}

// setReachable sets whether the first n workers of a site are reachable.
func (w *world) setReachable(site, n int, reachable bool) {
	for i := range n {
		w.reachable[workerName(site, i)] = reachable
	}
}

func (w *world) state(site int) State {
	s, _ := w.m.State(site)
	return s
}

func (w *world) disabledAt(site int) int {
	n, _ := w.m.WorkerCounts(site)
	return n
}

// alternateSites distributes jobs over all workers of two sites in turn.
func alternateSites(n int) func(int) string {
	return func(i int) string { return workerName(i%2, i*7/2%n) }
}

// The loss of a site is detected within a few reply timeouts of the first job sent there, by a scheduler with little
// traffic as by a busy one. A scheduler without jobs detects it by probes.
func TestLostSiteIsDetected(t *testing.T) {
	for _, interval := range []Time{0, 20 * millisecond, 500 * millisecond} {
		w := newWorld(Settings{MayProbe: true}, 30, 30)
		w.run(w.now+10*second, interval, alternateSites(30))
		require.Equal(t, Whole, w.state(1))
		w.setReachable(1, 30, false)
		lost := w.now
		w.run(lost+2200*millisecond, interval, alternateSites(30))
		require.Equal(t, Lost, w.state(1), "a job every %d us", interval)
		require.Equal(t, 30, w.disabledAt(1))
		require.Zero(t, w.disabledAt(0))
		_, since := w.m.State(1)
		if interval > 0 {
			require.Less(t, since-lost, 2*interval+8*w.m.replyTimeout())
		}
	}
}

// A site of few workers is lost when all that were still enabled are silent. A worker that was disabled alone before does not
// keep the site from being lost, with which the last jobs there would wait for their deadlines.
func TestSiteWithADisabledWorkerIsLost(t *testing.T) {
	for size := 2; size <= 6; size++ {
		for alone := 1; alone < size; alone++ {
			w := newWorld(Settings{MayProbe: true}, size, size)
			w.run(w.now+5*second, 20*millisecond, alternateSites(size))
			w.setReachable(1, alone, false)
			w.run(w.now+3*second, 20*millisecond, alternateSites(size))
			require.Equal(t, alone, w.disabledAt(1), "%d of %d workers", alone, size)
			require.NotContains(t, w.states, "1:lost")
			w.setReachable(1, size, false)
			w.run(w.now+2*second, 20*millisecond, alternateSites(size))
			require.Equal(t, Lost, w.state(1), "%d of %d workers were disabled before", alone, size)
			require.Equal(t, size, w.disabledAt(1))
			w.setReachable(1, size, true)
			w.run(w.now+5*second, 20*millisecond, alternateSites(size))
			require.Equal(t, Whole, w.state(1))
			require.Zero(t, w.disabledAt(1))
		}
	}
}

// Without probes the loss and the return of a site are detected by jobs alone.
func TestLostSiteIsDetectedWithoutProbes(t *testing.T) {
	w := newWorld(Settings{}, 10, 10)
	w.run(w.now+5*second, 50*millisecond, alternateSites(10))
	w.setReachable(1, 10, false)
	w.run(w.now+2*second, 50*millisecond, alternateSites(10))
	require.Equal(t, Lost, w.state(1))
	w.setReachable(1, 10, true)
	w.run(w.now+10*second, 50*millisecond, alternateSites(10))
	require.Equal(t, Whole, w.state(1))
	require.Zero(t, w.disabledAt(1))
}

// A site of one worker returns without probes. Replies still missing from before its loss must not disable it again.
func TestSiteOfOneWorkerReturnsWithoutProbes(t *testing.T) {
	w := newWorld(Settings{}, 1, 1)
	target := func(i int) string { return workerName(i%2, 0) }
	w.run(w.now+second, 80*millisecond, target)
	w.setReachable(0, 1, false)
	w.run(w.now+2*second, 80*millisecond, target)
	require.Positive(t, w.disabledCount)
	w.setReachable(0, 1, true)
	w.run(w.now+10*second, 80*millisecond, target)
	require.Zero(t, w.disabledAt(0))
}

// A worker that is added to a lost site is disabled like the others, and one that is removed leaves no state behind.
func TestListChangesWhileSiteIsLost(t *testing.T) {
	w := newWorld(Settings{MayProbe: true}, 2, 6)
	w.run(w.now+5*second, 20*millisecond, alternateSites(2))
	w.setReachable(1, 6, false)
	w.run(w.now+3*second, 20*millisecond, alternateSites(2))
	require.Equal(t, Lost, w.state(1))
	list := []Member{{workerName(0, 0), 0}, {workerName(0, 1), 0}, {"new", 1}}
	for i := range 5 {
		list = append(list, Member{workerName(1, i), 1})
	}
	disabledBefore := w.disabledCount
	w.m.UpdateWorkers(w.now, list)
	require.True(t, w.m.IsDisabled("new"))
	require.Equal(t, disabledBefore+1, w.disabledCount, "the host gets the action")
	require.Equal(t, []string{workerName(1, 5)}, w.enabled, "a removed worker is enabled")
	w.reachable[workerName(0, 0)], w.reachable[workerName(0, 1)] = false, false
	w.run(w.now+5*second, 20*millisecond, alternateSites(2))
	require.Less(t, w.disabledAt(0), 2, "a worker stays enabled")
}

// The failure of a third of a site's workers does not make the site lost: the failed workers are disabled individually.
func TestPartialFailureDisablesSingleWorkers(t *testing.T) {
	w := newWorld(Settings{MayProbe: true}, 30, 30)
	w.run(w.now+5*second, 20*millisecond, alternateSites(30))
	w.setReachable(1, 10, false)
	w.run(w.now+10*second, 20*millisecond, alternateSites(30))
	require.Equal(t, Whole, max(w.state(1), Whole)&^Suspect)
	require.Equal(t, 10, w.disabledAt(1))
	w.setReachable(1, 10, true)
	w.run(w.now+10*second, 20*millisecond, alternateSites(30))
	require.Zero(t, w.disabledAt(1))
}

// A site with slow replies is not lost: the reply timeout follows the measured reply times.
func TestSlowSiteIsNotLost(t *testing.T) {
	w := newWorld(Settings{MayProbe: true}, 30, 30)
	w.run(w.now+5*second, 20*millisecond, alternateSites(30))
	w.replyDelay = 60 * millisecond
	w.run(w.now+10*second, 20*millisecond, alternateSites(30))
	require.NotContains(t, w.states, "1:lost")
	w.replyDelay = 300 * millisecond // a sudden step: the site may be lost briefly, and must return without help
	w.run(w.now+20*second, 20*millisecond, alternateSites(30))
	require.Equal(t, Whole, max(w.state(1), Whole)&^Suspect)
	require.Zero(t, w.disabledAt(0)+w.disabledAt(1))
}

// After a pause of the host, replies that wait unread in its sockets must not make their workers silent.
func TestPausedHostDisablesNoWorker(t *testing.T) {
	w := newWorld(Settings{MayProbe: true}, 30, 30)
	w.run(w.now+5*second, 20*millisecond, alternateSites(30))
	for i := range 10 {
		w.send(workerName(1, i))
	}
	w.replies, w.now = nil, w.now+5*second // the host resumes, and handles its timers before its sockets
	w.next = w.m.Turn(w.now)
	require.Zero(t, w.disabledCount)
	for i := range 10 {
		w.m.WorkerResponded(w.now, workerName(1, i))
	}
	w.run(w.now+2*second, 20*millisecond, alternateSites(30))
	require.Zero(t, w.disabledCount)
}

// If no worker responds at all, some workers stay enabled, so that jobs can still be sent.
func TestSomeWorkerStaysEnabled(t *testing.T) {
	w := newWorld(Settings{MayProbe: true}, 8, 8)
	w.run(w.now+5*second, 20*millisecond, alternateSites(8))
	w.setReachable(0, 8, false)
	w.setReachable(1, 8, false)
	w.run(w.now+5*second, 20*millisecond, alternateSites(8))
	require.Less(t, w.disabledAt(0)+w.disabledAt(1), 16)
}

// If all other sites are lost while the own one responds, their state is CutOff.
func TestOtherSitesAreCutOffTogether(t *testing.T) {
	w := newWorld(Settings{MayProbe: true, OwnSite: 0}, 8, 8, 8)
	w.run(w.now+5*second, 20*millisecond, func(i int) string { return workerName(i%3, i%8) })
	w.setReachable(1, 8, false)
	w.setReachable(2, 8, false)
	w.run(w.now+3*second, 20*millisecond, func(i int) string { return workerName(i%3, i%8) })
	require.Equal(t, CutOff, w.state(1))
	require.Equal(t, CutOff, w.state(2))
	require.Equal(t, Whole, w.state(0))
}

// The workers of a returning site are enabled in steps, in the same order at all schedulers.
func TestSiteReturnsInSteps(t *testing.T) {
	var orders [][]string
	for range 2 {
		w := newWorld(Settings{MayProbe: true, ReturnWindow: 4 * second}, 20, 20)
		w.run(w.now+5*second, 20*millisecond, alternateSites(20))
		w.setReachable(1, 20, false)
		w.run(w.now+5*second, 20*millisecond, alternateSites(20))
		require.Equal(t, Lost, w.state(1))
		w.setReachable(1, 20, true)
		w.run(w.now+3*second, 20*millisecond, alternateSites(20))
		require.Equal(t, Returning, w.state(1))
		require.Greater(t, w.disabledAt(1), 2)
		require.Less(t, w.disabledAt(1), 18)
		w.run(w.now+4*second, 20*millisecond, alternateSites(20))
		require.Equal(t, Whole, w.state(1))
		require.Zero(t, w.disabledAt(1))
		orders = append(orders, w.enabled)
	}
	require.Equal(t, orders[0], orders[1])
}

// A site whose workers all respond again returns as fast as the design states: it is probed twice a second, at drawn times,
// has to respond for half of the backoff, and then gets all its workers back within the return window, no worker before its
// turn. That holds at whatever time between two probes it returns, and for few workers as for many.
func TestSiteReturnsWithinTheStatedTimes(t *testing.T) {
	const (
		returnWindow = 2 * second
		firstBy      = 750*millisecond + 125*millisecond // the longest drawn probe delay, and half of the backoff
		turns        = 2 * busyTurnInterval              // each of the two steps may wait for a turn
	)
	for _, size := range []int{4, 30} {
		for offset := Time(0); offset < second; offset += 20 * millisecond {
			w := newWorld(Settings{MayProbe: true}, size, size)
			w.run(w.now+5*second, 20*millisecond, alternateSites(size))
			w.setReachable(1, size, false)
			w.run(w.now+3*second+offset, 20*millisecond, alternateSites(size))
			require.Equal(t, Lost, w.state(1))
			require.Equal(t, size, w.disabledAt(1))
			w.setReachable(1, size, true)
			returned := w.now
			for w.disabledAt(1) == size && w.now < returned+firstBy+turns+w.replyDelay {
				w.run(w.now+5*millisecond, 20*millisecond, alternateSites(size))
			}
			require.Less(t, w.disabledAt(1), size, "no worker is enabled %d us after the return", w.now-returned)
			_, returning := w.m.State(1)
			for w.now < returning+returnWindow {
				enabled := size - w.disabledAt(1)
				require.LessOrEqual(t, enabled, int(int64(size)*(w.now-returning)/returnWindow)+1, "%d us after the first worker", w.now-returning)
				w.run(w.now+5*millisecond, 20*millisecond, alternateSites(size))
			}
			require.Zero(t, w.disabledAt(1), "%d us after the first worker", w.now-returning)
			require.Equal(t, Whole, w.state(1))
		}
	}
}

// A flapping site has to respond for longer after each loss before it returns.
func TestFlappingSiteReturnsLater(t *testing.T) {
	w := newWorld(Settings{MayProbe: true}, 10, 10)
	w.run(w.now+5*second, 20*millisecond, alternateSites(10))
	var returnTimes []Time
	for range 4 {
		w.setReachable(1, 10, false)
		w.run(w.now+5*second, 20*millisecond, alternateSites(10))
		reachableAt := w.now
		w.setReachable(1, 10, true)
		for w.state(1) != Returning && w.now < reachableAt+10*second {
			w.run(w.now+25*millisecond, 20*millisecond, alternateSites(10))
		}
		returnTimes = append(returnTimes, w.now-reachableAt)
		w.run(reachableAt+5*second, 20*millisecond, alternateSites(10))
	}
	require.Greater(t, returnTimes[3], 2*returnTimes[0])
	require.Less(t, returnTimes[3], 5*second)
}

// Under random faults some worker stays enabled, all workers are enabled once they respond again for good, and the number
// of probes stays bounded.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 12), 2, 4).Draw(t, "sizes")
		mayProbe := rapid.Bool().Draw(t, "mayProbe")
		w := newWorld(Settings{MayProbe: mayProbe}, sizes...)
		total := 0
		for _, n := range sizes {
			total += n
		}
		interval := Time(rapid.IntRange(5, 200).Draw(t, "interval")) * millisecond
		target := func(i int) string { s := i % len(sizes); return workerName(s, i/len(sizes)*5%sizes[s]) }
		from := w.now
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			s := rapid.IntRange(0, len(sizes)-1).Draw(t, "site")
			w.setReachable(s, rapid.IntRange(0, sizes[s]).Draw(t, "n"), rapid.Bool().Draw(t, "reachable"))
			w.replyDelay = Time(rapid.IntRange(1, 400).Draw(t, "delay")) * millisecond
			w.run(w.now+Time(rapid.IntRange(50, 4000).Draw(t, "duration"))*millisecond, interval, target)
			disabled := 0
			for i := range sizes {
				disabled += w.disabledAt(i)
			}
			if disabled >= total {
				t.Fatalf("all %d workers are disabled", total)
			}
		}
		if maxProbes := 40 + int((w.now-from)/second)*(3*total+10); w.probeCount > maxProbes {
			t.Fatalf("%d probes in %d s", w.probeCount, (w.now-from)/second)
		}
		for i, n := range sizes {
			w.setReachable(i, n, true)
		}
		w.replyDelay = 3 * millisecond
		w.run(w.now+60*second, interval, target)
		for i := range sizes {
			if w.disabledAt(i) > 0 {
				t.Fatalf("%d workers of site %d, %s, are still disabled", w.disabledAt(i), i, w.state(i))
			}
		}
	})
}
