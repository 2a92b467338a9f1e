package rules

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// group is several dispatchers that hear one another.
func group(n int, s Settings, workers ...ListEntry) []*bed {
	s.GroupSize, s.MayBroadcast, s.PeerMessageCost = n, true, 0.0001
	var beds []*bed
	for i := range n {
		s.Rank = i
		b := newBed(s, workers...)
		b.pass(ms)
		beds = append(beds, b)
	}
	hearAll(beds)
	for _, b := range beds {
		b.pass(tickInterval) // housekeeping counts who tells
	}
	hearAll(beds)
	return beds
}

// hearAll brings all that was told to all others.
func hearAll(beds []*bed) {
	for i, from := range beds {
		for _, data := range from.a.told {
			for _, b := range beds {
				b.PeerMessage(b.now, i, data)
			}
		}
		from.a.told = nil
	}
}

// With a few jobs of its own on any worker, a dispatcher knows the load from what its peers tell.
func TestPeersKnowOneAnothersLoad(t *testing.T) {
	beds := group(8, oneClass(Once), fleet(6)...)
	var ids []RequestID
	sum := func(b *bed) (n float64) {
		for _, w := range b.workers {
			n += b.load(b.now, w)
		}
		return n
	}
	for k := range 12 {
		ids = append(ids, beds[k%4].ask(uint64(k)))
		hearAll(beds)
	}
	for i, b := range beds {
		b.pass(tickInterval)
		hearAll(beds)
		if n := sum(b); n < 11.9 || n > 12.1 {
			t.Errorf("dispatcher %d believes in %.2f slots taken, 12 are", i, n)
		}
	}
	for k, id := range ids {
		b := beds[k%4]
		b.end(id, 0, b.requests[id].attempts[0].w.id, OK)
	}
	for _, b := range beds {
		b.pass(maxReportDelay + 2*tickInterval)
	}
	hearAll(beds)
	for i, b := range beds {
		if n := sum(b); n > 0.1 {
			t.Errorf("dispatcher %d believes in %.2f slots taken, none are", i, n)
		}
	}
}

// All dispatchers together keep to a cold worker's budget, and use it, whether they hear one another or not.
func TestPeersShareAColdWorkersBudget(t *testing.T) {
	s := oneClass(Once)
	s.SlowStartMinCapacity, s.SlowStartWindow, s.OverloadFactor, s.OverloadWindow = 0.3, 9_000_000, 3, 1_000_000
	s.Classes[0].LatencyTarget, s.Classes[0].Deadline = 500*ms, 60_000*ms
	count := func(heard bool) (sent int) {
		cold := ListEntry{Worker: "cold", Weight: 1, StartedAt: 1_000_000_000}
		beds := group(20, s, cold)
		for i, b := range beds {
			b.rng = rand.New(rand.NewPCG(uint64(i), 1))
		}
		if !heard {
			for _, b := range beds {
				clear(b.reporter.lastSeen)
				b.a.told = nil
				b.pass(tickInterval)
			}
		}
		for range 30 {
			for _, b := range beds {
				b.ask(1)
				if heard {
					hearAll(beds)
				}
			}
			for _, b := range beds {
				b.pass(100 * ms)
			}
			if heard {
				hearAll(beds)
			}
		}
		for _, b := range beds {
			sent += len(b.a.sends)
		}
		return sent
	}
	// A job counts for 1.5 aims until one was seen to run: 0.75 s. The worker is taken to have one slot, and
	// gets half of three times a third of it for three seconds: one or two jobs, and one for the start.
	together, alone := count(true), count(false)
	if together < 2 || together > 6 {
		t.Errorf("%d jobs sent by dispatchers that hear one another", together)
	}
	if alone < 2 || alone > 6 {
		t.Errorf("%d jobs sent by dispatchers that hear nothing", alone)
	}
}

// An end waits for the next job that goes out, for a bounded time: a message costs as much as what it could hold.
func TestEndsAreToldWithTheNextJob(t *testing.T) {
	beds := group(2, oneClass(Once), fleet(4)...)
	b := beds[0]
	r := b.ask(1)
	b.a.told = nil
	b.end(r, 0, b.a.last().w, OK)
	if len(b.a.told) != 0 {
		t.Errorf("an end was told alone: %v", b.a.told)
	}
	b.ask(2)
	if len(b.a.told) != 1 || len(b.a.told[0]) != 2*recordSize {
		t.Errorf("told %v", b.a.told)
	}
	b.a.told = nil
	b.end(RequestID(fmt.Sprint("r", b.n)), 0, b.a.last().w, OK)
	if b.pass(maxReportDelay + 2*tickInterval); len(b.a.told) == 0 {
		t.Error("an end was never told")
	}
}

// What can't be read, comes from nobody or from oneself changes nothing; a lost word of an end is let go of when
// the client's patience is over; the book of a worker has a bound.
func TestBadAndLostMessages(t *testing.T) {
	beds := group(3, oneClass(Once), fleet(2)...)
	b := beds[0]
	w := b.workers[0]
	sent := newRecord(eventSent, w, &request{Request: Request{Slots: 2}}).append(nil)
	b.PeerMessage(b.now, 1, sent[:2])
	b.PeerMessage(b.now, 0, sent)
	b.PeerMessage(b.now, 3, sent)
	b.PeerMessage(b.now, -1, sent)
	b.PeerMessage(b.now, 1, newRecord(eventServed, w, &request{Request: Request{Slots: 2}}).append(nil))
	b.PeerMessage(b.now, 1, []byte{0xff, sent[1], sent[2], 0})
	if w.peerSlots != 0 {
		t.Fatalf("%g slots from messages that say nothing", w.peerSlots)
	}
	for range 2 * maxPeerJobs {
		b.PeerMessage(b.now, 1, sent)
	}
	if len(w.peerJobs) != maxPeerJobs || w.peerSlots != 2*maxPeerJobs {
		t.Errorf("%d jobs of %g slots kept", len(w.peerJobs), w.peerSlots)
	}
	b.pass(b.cfg.Classes[0].Deadline + 2*tickInterval)
	if len(w.peerJobs) != 0 || w.peerSlots != 0 {
		t.Errorf("%d jobs of %g slots kept past their time", len(w.peerJobs), w.peerSlots)
	}
}

// Where telling all peers would cost more than it is worth, nothing is told, and reports tell of the load.
func TestTellingHasAPrice(t *testing.T) {
	s := oneClass(Once)
	s.GroupSize, s.MayBroadcast, s.PeerMessageCost = 1000, true, 0.0096
	b := newBed(s, fleet(4)...)
	for k := range 50 {
		b.ask(uint64(k))
	}
	if b.silentFraction() != 1 {
		t.Errorf("silent %g", b.silentFraction())
	}
	for _, data := range b.a.told {
		if rec := decodeRecord(data); rec.event != eventAlive {
			t.Errorf("told of a job: %v", rec)
		}
	}
}

// Where the peers tell of their load, a job whose sample is taken finds the worker that is free: it does not queue
// behind the few that stand next on the ring. By reports alone, all would pile onto what seems empty.
func TestAScanGoesOnWhileItsSampleIsTaken(t *testing.T) {
	for _, telling := range []bool{true, false} {
		beds := group(2, oneClass(Once), fleet(20)...)
		b := beds[0]
		if !telling {
			clear(b.reporter.lastSeen)
		}
		b.pass(tickInterval)
		const key = 7
		b.fillSample(&request{Request: Request{Key: key}}, sampleSize)
		taken := map[WorkerID]bool{}
		for _, w := range b.sampleBuf {
			taken[w.id] = true
			const queued = widenScanLoad * defaultSlots
			if w.ownSlots = queued; !telling {
				w.ownSlots, w.othersLoad, w.othersLastSeen, w.othersSeenAt = 0, ewma{queued, 9}, queued, b.now
			}
		}
		if b.ask(key); telling == taken[b.a.last().w] {
			t.Errorf("telling %v: sent to %s, taken are %v", telling, b.a.last().w, taken)
		}
	}
}

// A worker that peers try is seen: what would be shed is not sent there as a trial. By reports alone no worker of a
// large fleet is seen for long, and all that was hopeless was sent.
func TestAWorkerThatPeersTryNeedsNoTrial(t *testing.T) {
	for _, tried := range []bool{true, false} {
		beds := group(2, oneClass(Repeatable), fleet(1)...)
		b := beds[0]
		for k := range uint64(10) {
			b.serve(k, 400*ms)
		}
		w := b.workers[0]
		for range 60 {
			b.PeerMessage(b.now, 1, newRecord(eventSent, w, &request{Request: Request{Slots: 1}}).append(nil))
		}
		w.othersSeenAt = 0
		if !tried {
			w.triedAt = 0
		}
		sent, refused := len(b.a.sends), len(b.a.refused)
		b.ask(1)
		if got := len(b.a.sends) - sent; got != map[bool]int{true: 0, false: 1}[tried] || len(b.a.refused)-refused != 1-got {
			t.Errorf("tried by peers %v: %d sent, %d refused", tried, got, len(b.a.refused)-refused)
		}
	}
}

// The running time comes with the word of the end, as its sender measured it: the time between the two words would
// hold the job's wait, and that of the word. A peer's jobs leave our own mean alone, since only long ones are told.
func TestRunningTimesAreTold(t *testing.T) {
	s := oneClass(Once)
	s.ReportsStart = true
	beds := group(2, s, fleet(1)...)
	from, to := beds[0], beds[1]
	mean := to.meanRun
	r := from.ask(1)
	from.pass(3000 * ms)
	from.Progress(from.now, &Progress{Request: r, Worker: "w0", Started: true})
	from.pass(400 * ms)
	from.end(r, 0, "w0", OK)
	from.pass(maxReportDelay + 2*tickInterval)
	hearAll(beds)
	if run := to.classes[0].run; run.n != 1 || run.v < 360_000 || run.v > 440_000 {
		t.Errorf("heard of %g runs of %g us, one of 400,000 was told", run.n, run.v)
	}
	if to.meanRun != mean {
		t.Errorf("the mean of our own jobs moved from %v to %v", mean, to.meanRun)
	}
}

// With a few jobs running, a report tells what the worker can run; with many, how many slots these hold is a guess.
func TestCapacityIsLearnedFromIdleWorkers(t *testing.T) {
	b := newBed(oneClass(Once), fleet(1)...)
	has := HasInFlight | HasQueue | HasFreeSlots
	b.Probed(b.now, &ProbeResult{Worker: "w0", Load: Load{Has: has, FreeSlots: 4}})
	b.Probed(b.now, &ProbeResult{Worker: "w0", Load: Load{Has: has, InFlight: 9, Queue: 1}})
	if n := b.slots(b.workers[0]); n != 4 {
		t.Errorf("%g slots", n)
	}
}

// Where a usual job is worth telling, what goes to a cold worker is, however small: few send it jobs, and by these alone do
// the others know its load.
func TestJobsToAColdWorkerAreAlwaysTold(t *testing.T) {
	s := oneClass(Once)
	s.GroupSize, s.MayBroadcast, s.PeerMessageCost = 80, true, 0.0096
	s.SlowStartMinCapacity, s.SlowStartWindow, s.OverloadFactor = 0.3, 9_000_000, 1000
	for _, cold := range []bool{true, false} {
		w := ListEntry{Worker: "w", Weight: 1}
		if cold {
			w.StartedAt = 1_000_000_000 - 4_000_000
		}
		b := newBed(s, w)
		b.pass(tickInterval + ms)
		for range 4 {
			r := b.askAs(Request{Slots: 4})
			b.pass(500 * ms)
			b.end(r, 0, "w", OK)
		}
		b.pass(1000 * ms)
		b.a.told = nil
		b.ask(1)
		if len(b.a.sends) != 5 {
			t.Fatalf("%d sends", len(b.a.sends))
		}
		if told := len(b.a.told) > 0; told != cold {
			t.Errorf("cold %v, told %v", cold, told)
		}
	}
}

// With messages so dear that a usual job is not worth telling nothing is told at all, not even that the dispatcher is
// there, and the cold budget is not taken for one that is shared: peers that tell don't hear of what we send.
func TestNothingIsToldWhereMessagesAreTooDear(t *testing.T) {
	s := oneClass(Once)
	s.GroupSize, s.MayBroadcast, s.PeerMessageCost = 320, true, 0.0096
	b := newBed(s, ListEntry{Worker: "w", Weight: 1})
	b.serve(1, 500*ms)
	b.a.told = nil
	for from := range 300 {
		b.PeerMessage(b.now, from+1, record{event: eventAlive}.append(nil))
	}
	for k := range uint64(20) {
		b.serve(k, 500*ms)
	}
	if len(b.a.told) > 0 {
		t.Errorf("%d messages", len(b.a.told))
	}
	if b.reportingPeers != 0 {
		t.Errorf("the budget is shared with %g", b.reportingPeers)
	}
}

// Whatever peers say, the books stay within their bounds and no job is ended or sent twice by it.
func FuzzPeer(f *testing.F) {
	f.Add([]byte{0x20, 1, 2, 0, 0x40, 1, 2, 90}, 1)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff}, 2)
	f.Fuzz(func(t *testing.T, data []byte, from int) {
		beds := group(3, oneClass(Once), fleet(3)...)
		b := beds[0]
		r := b.ask(1)
		for _, w := range b.workers { // the tags that the message holds are those of workers
			for i := 0; i+recordSize <= len(data); i += recordSize {
				data[i+1], data[i+2] = byte(workerTag(w)>>8), byte(workerTag(w))
			}
			b.PeerMessage(b.now, from, data)
		}
		b.pass(500 * ms)
		if b.requests[r] == nil || len(b.a.sends) != 1 {
			t.Errorf("request %v, %d sends", b.requests[r], len(b.a.sends))
		}
		for _, w := range b.workers {
			if w.peerSlots < 0 || len(w.peerJobs) > maxPeerJobs || w.peerSlots > 8*maxPeerJobs {
				t.Errorf("%s: %g slots in %d jobs", w.id, w.peerSlots, len(w.peerJobs))
			}
		}
	})
}

// The cost of a decision: a job taken, sent and ended, with what is told of it by eighty schedulers' peers.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{10, 60, 1000} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			s := oneClass(Once)
			s.GroupSize, s.MayBroadcast = 80, true
			d := newBed(s, fleet(workers)...)
			for i := range 80 {
				d.PeerMessage(d.now, i, record{event: eventAlive}.append(nil))
			}
			d.pass(tickInterval)
			b.ReportAllocs()
			b.ResetTimer()
			for k := range b.N {
				r := d.ask(uint64(k % 500))
				x := d.a.last()
				d.PeerMessage(d.now, 1+k%79, newRecord(eventSent, d.byID[x.w], d.requests[r]).append(nil))
				d.now += 100
				d.end(r, 0, x.w, OK)
				d.PeerMessage(d.now, 1+k%79, newRecord(eventServed, d.byID[x.w], &request{Request: Request{Slots: 1}}).append(nil))
				d.a.sends, d.a.timers, d.a.told = d.a.sends[:0], d.a.timers[:0], d.a.told[:0]
			}
		})
	}
}
