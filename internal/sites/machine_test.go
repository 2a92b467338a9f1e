package sites

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// world answers a machine as its workers would: those that are there answer after a while, the others never.
type world struct {
	m             *Machine
	now           Time
	next          Time
	reachable     map[string]bool
	replyDelay    Time // an answer takes so long
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
	w.sendJob(worker)
}

func (w *world) sendJob(worker string) {
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

// run lets time pass; jobs a second go out, the i-th to the worker that to names (empty: to nobody).
func (w *world) run(until Time, every Time, to func(i int) string) {
	for i, job := 0, w.now; w.now < until; {
		next := min(until, w.next)
		if every > 0 {
			next = min(next, job)
		}
		for _, a := range w.replies {
			next = min(next, a.at)
		}
		w.now = max(w.now, next)
		kept := w.replies[:0]
		for _, a := range w.replies {
			if a.at <= w.now {
				w.m.WorkerResponded(w.now, a.worker)
			} else {
				kept = append(kept, a)
			}
		}
		w.replies = kept
		if every > 0 && w.now >= job {
			job += every
			if worker := to(i); worker != "" && !w.m.IsDisabled(worker) {
				w.sendJob(worker)
			}
			i++
		}
		if w.now >= w.next {
			w.next = w.m.Turn(w.now)
		}
	}
}

func (w *world) setReachable(site, n int, there bool) {
	for i := range n {
		w.reachable[workerName(site, i)] = there
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

// spread sends jobs to all workers of two sites in turn.
func alternateSites(n int) func(int) string {
	return func(i int) string { return workerName(i%2, i*7/2%n) }
}

// A lost site is known within two waits of the first job that goes there, by a quiet scheduler as by a busy one, and a
// scheduler with nothing to do knows it too.
func TestALossIsKnown(t *testing.T) {
	for _, every := range []Time{0, 20 * millisecond, 500 * millisecond} {
		w := newWorld(Settings{MayProbe: true}, 30, 30)
		w.run(w.now+10*second, every, alternateSites(30))
		require.Equal(t, Whole, w.state(1))
		w.setReachable(1, 30, false)
		lost := w.now
		w.run(lost+2200*millisecond, every, alternateSites(30))
		require.Equal(t, Lost, w.state(1), "a job every %d us", every)
		require.Equal(t, 30, w.disabledAt(1))
		require.Zero(t, w.disabledAt(0))
		_, since := w.m.State(1)
		if every > 0 {
			require.Less(t, since-lost, 2*every+8*w.m.replyTimeout())
		}
	}
}

// Where workers may not be asked jobs alone show it.
func TestALossIsKnownWithoutProbes(t *testing.T) {
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

// A site of one worker, and no probes: what it owed when it was lost is not held against it when it is back.
func TestASiteOfOneWithoutProbes(t *testing.T) {
	w := newWorld(Settings{}, 1, 1)
	to := func(i int) string { return workerName(i%2, 0) }
	w.run(w.now+second, 80*millisecond, to)
	w.setReachable(0, 1, false)
	w.run(w.now+2*second, 80*millisecond, to)
	require.Positive(t, w.disabledCount)
	w.setReachable(0, 1, true)
	w.run(w.now+10*second, 80*millisecond, to)
	require.Zero(t, w.disabledAt(0))
}

// A worker that is listed at a lost site is out like the others, and one that leaves the list is no longer anybody's.
func TestTheListChangesWhileASiteIsLost(t *testing.T) {
	w := newWorld(Settings{MayProbe: true}, 2, 6)
	w.run(w.now+5*second, 20*millisecond, alternateSites(2))
	w.setReachable(1, 6, false)
	w.run(w.now+3*second, 20*millisecond, alternateSites(2))
	require.Equal(t, Lost, w.state(1))
	list := []Member{{workerName(0, 0), 0}, {workerName(0, 1), 0}, {"new", 1}}
	for i := range 5 {
		list = append(list, Member{workerName(1, i), 1})
	}
	outs := w.disabledCount
	w.m.UpdateWorkers(w.now, list)
	require.True(t, w.m.IsDisabled("new"))
	require.Equal(t, outs+1, w.disabledCount, "the host is told of it")
	require.Equal(t, []string{workerName(1, 5)}, w.enabled, "nothing is kept of one that has left")
	w.reachable[workerName(0, 0)], w.reachable[workerName(0, 1)] = false, false
	w.run(w.now+5*second, 20*millisecond, alternateSites(2))
	require.Less(t, w.disabledAt(0), 2, "somebody is left")
}

// A third of a site that goes does not make it lost: those that are gone are taken out by themselves.
func TestAThirdOfASite(t *testing.T) {
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

// A site that answers late is alive: patience follows what answers take.
func TestASlowSiteIsAlive(t *testing.T) {
	w := newWorld(Settings{MayProbe: true}, 30, 30)
	w.run(w.now+5*second, 20*millisecond, alternateSites(30))
	w.replyDelay = 60 * millisecond
	w.run(w.now+10*second, 20*millisecond, alternateSites(30))
	require.NotContains(t, w.states, "1:lost")
	w.replyDelay = 300 * millisecond // all at once: held for lost for a moment, at most, and back by itself
	w.run(w.now+20*second, 20*millisecond, alternateSites(30))
	require.Equal(t, Whole, max(w.state(1), Whole)&^Suspect)
	require.Zero(t, w.disabledAt(0)+w.disabledAt(1))
}

// A host that was stopped has answers that it has not read: they are no evidence.
func TestAStoppedHostLosesNobody(t *testing.T) {
	w := newWorld(Settings{MayProbe: true}, 30, 30)
	w.run(w.now+5*second, 20*millisecond, alternateSites(30))
	for i := range 10 {
		w.sendJob(workerName(1, i))
	}
	w.replies, w.now = nil, w.now+5*second // it wakes, and its timers come before its sockets
	w.next = w.m.Turn(w.now)
	require.Zero(t, w.disabledCount)
	for i := range 10 {
		w.m.WorkerResponded(w.now, workerName(1, i))
	}
	w.run(w.now+2*second, 20*millisecond, alternateSites(30))
	require.Zero(t, w.disabledCount)
}

// If nobody answers at all it is not the sites that are lost: somebody is always left to send to.
func TestSomebodyIsLeft(t *testing.T) {
	w := newWorld(Settings{MayProbe: true}, 8, 8)
	w.run(w.now+5*second, 20*millisecond, alternateSites(8))
	w.setReachable(0, 8, false)
	w.setReachable(1, 8, false)
	w.run(w.now+5*second, 20*millisecond, alternateSites(8))
	require.Less(t, w.disabledAt(0)+w.disabledAt(1), 16)
}

// All other sites gone at once, and ours there: rather we are cut off.
func TestCutOff(t *testing.T) {
	w := newWorld(Settings{MayProbe: true, OwnSite: 0}, 8, 8, 8)
	w.run(w.now+5*second, 20*millisecond, func(i int) string { return workerName(i%3, i%8) })
	w.setReachable(1, 8, false)
	w.setReachable(2, 8, false)
	w.run(w.now+3*second, 20*millisecond, func(i int) string { return workerName(i%3, i%8) })
	require.Equal(t, CutOff, w.state(1))
	require.Equal(t, CutOff, w.state(2))
	require.Equal(t, Whole, w.state(0))
}

// A site that is back is let back in steps, in an order that all schedulers share.
func TestTheReturn(t *testing.T) {
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

// A site that comes and goes is trusted more slowly each time.
func TestFlapping(t *testing.T) {
	w := newWorld(Settings{MayProbe: true}, 10, 10)
	w.run(w.now+5*second, 20*millisecond, alternateSites(10))
	var away []Time
	for range 4 {
		w.setReachable(1, 10, false)
		w.run(w.now+5*second, 20*millisecond, alternateSites(10))
		back := w.now
		w.setReachable(1, 10, true)
		for w.state(1) != Returning && w.now < back+10*second {
			w.run(w.now+25*millisecond, 20*millisecond, alternateSites(10))
		}
		away = append(away, w.now-back)
		w.run(back+5*second, 20*millisecond, alternateSites(10))
	}
	require.Greater(t, away[3], 2*away[0])
	require.Less(t, away[3], 5*second)
}

// Whatever goes and comes: somebody is left, what is out is let back once it answers for good, and questions stay few.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 12), 2, 4).Draw(t, "sizes")
		asks := rapid.Bool().Draw(t, "asks")
		w := newWorld(Settings{MayProbe: asks}, sizes...)
		all := 0
		for _, n := range sizes {
			all += n
		}
		every := Time(rapid.IntRange(5, 200).Draw(t, "every")) * millisecond
		to := func(i int) string { s := i % len(sizes); return workerName(s, i/len(sizes)*5%sizes[s]) }
		from := w.now
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			s := rapid.IntRange(0, len(sizes)-1).Draw(t, "site")
			w.setReachable(s, rapid.IntRange(0, sizes[s]).Draw(t, "n"), rapid.Bool().Draw(t, "there"))
			w.replyDelay = Time(rapid.IntRange(1, 400).Draw(t, "late")) * millisecond
			w.run(w.now+Time(rapid.IntRange(50, 4000).Draw(t, "for"))*millisecond, every, to)
			out := 0
			for i := range sizes {
				out += w.disabledAt(i)
			}
			if out >= all {
				t.Fatalf("all %d are out", all)
			}
		}
		if most := 40 + int((w.now-from)/second)*(3*all+10); w.probeCount > most {
			t.Fatalf("%d questions in %d s", w.probeCount, (w.now-from)/second)
		}
		for i, n := range sizes {
			w.setReachable(i, n, true)
		}
		w.replyDelay = 3 * millisecond
		w.run(w.now+60*second, every, to)
		for i := range sizes {
			if w.disabledAt(i) > 0 {
				t.Fatalf("%d of site %d, %s, are still out", w.disabledAt(i), i, w.state(i))
			}
		}
	})
}
