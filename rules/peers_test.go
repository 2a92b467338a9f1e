package rules

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// peerGroup returns n dispatchers that have received each other's keepalives.
func peerGroup(n int, s Settings, workers ...ListEntry) []*testDispatcher {
	s.GroupSize, s.MayBroadcast, s.PeerMessageCost = n, true, 0.0001
	var dispatchers []*testDispatcher
	for i := range n {
		s.Rank = i
		d := newTestDispatcher(s, workers...)
		d.advance(ms)
		dispatchers = append(dispatchers, d)
	}
	deliverBroadcasts(dispatchers)
	for _, d := range dispatchers {
		d.advance(tickInterval) // housekeeping counts the peers that broadcast
	}
	deliverBroadcasts(dispatchers)
	return dispatchers
}

// deliverBroadcasts delivers all pending broadcasts to all dispatchers.
func deliverBroadcasts(dispatchers []*testDispatcher) {
	for i, from := range dispatchers {
		for _, data := range from.rec.broadcasts {
			for _, d := range dispatchers {
				d.PeerMessage(d.now, i, data)
			}
		}
		from.rec.broadcasts = nil
	}
}

// A dispatcher with few jobs of its own knows the load of the workers from its peers' reports.
func TestPeersKnowEachOthersLoad(t *testing.T) {
	dispatchers := peerGroup(8, oneClass(Once), workerList(6)...)
	var ids []RequestID
	sum := func(d *testDispatcher) (n float64) {
		for _, w := range d.workers {
			n += d.load(d.now, w)
		}
		return n
	}
	for k := range 12 {
		ids = append(ids, dispatchers[k%4].submitKey(uint64(k)))
		deliverBroadcasts(dispatchers)
	}
	for i, d := range dispatchers {
		d.advance(tickInterval)
		deliverBroadcasts(dispatchers)
		if n := sum(d); n < 11.9 || n > 12.1 {
			t.Errorf("dispatcher %d estimates %.2f slots taken, want 12", i, n)
		}
	}
	for k, id := range ids {
		d := dispatchers[k%4]
		d.endAttempt(id, 0, d.requests[id].attempts[0].w.id, OK)
	}
	for _, d := range dispatchers {
		d.advance(maxReportDelay + 2*tickInterval)
	}
	deliverBroadcasts(dispatchers)
	for i, d := range dispatchers {
		if n := sum(d); n > 0.1 {
			t.Errorf("dispatcher %d estimates %.2f slots taken, want none", i, n)
		}
	}
}

// All dispatchers together stay within a cold worker's budget, and use it, with and without broadcasts.
func TestPeersShareAColdWorkersBudget(t *testing.T) {
	s := oneClass(Once)
	s.SlowStartMinCapacity, s.SlowStartWindow, s.OverloadFactor, s.OverloadWindow = 0.3, 9_000_000, 3, 1_000_000
	s.Classes[0].LatencyTarget, s.Classes[0].Deadline = 500*ms, 60_000*ms
	count := func(delivered bool) (sent int) {
		cold := ListEntry{Worker: "cold", Weight: 1, StartedAt: 1_000_000_000}
		dispatchers := peerGroup(20, s, cold)
		for i, d := range dispatchers {
			d.rng = rand.New(rand.NewPCG(uint64(i), 1))
		}
		if !delivered {
			for _, d := range dispatchers {
				clear(d.reporter.lastSeen)
				d.rec.broadcasts = nil
				d.advance(tickInterval)
			}
		}
		for range 30 {
			for _, d := range dispatchers {
				d.submitKey(1)
				if delivered {
					deliverBroadcasts(dispatchers)
				}
			}
			for _, d := range dispatchers {
				d.advance(100 * ms)
			}
			if delivered {
				deliverBroadcasts(dispatchers)
			}
		}
		for _, d := range dispatchers {
			sent += len(d.rec.sends)
		}
		return sent
	}
	// Until jobs have ended, one counts for 1.5 latency targets: 0.75 s. The worker counts with one slot, and gets
	// half of three times a third of it for three seconds: one or two jobs, plus one for its start.
	with, without := count(true), count(false)
	if with < 2 || with > 6 {
		t.Errorf("%d jobs sent with broadcasts, want 2 to 6", with)
	}
	if without < 2 || without > 6 {
		t.Errorf("%d jobs sent without broadcasts, want 2 to 6", without)
	}
}

// The report of an end waits for the next send, for a bounded time: a message with one record costs as much as one
// with several.
func TestEndsAreReportedWithNextSend(t *testing.T) {
	dispatchers := peerGroup(2, oneClass(Once), workerList(4)...)
	d := dispatchers[0]
	r := d.submitKey(1)
	d.rec.broadcasts = nil
	d.endAttempt(r, 0, d.rec.lastSend().worker, OK)
	if len(d.rec.broadcasts) != 0 {
		t.Errorf("an end was broadcast by itself: %v", d.rec.broadcasts)
	}
	d.submitKey(2)
	if len(d.rec.broadcasts) != 1 || len(d.rec.broadcasts[0]) != 2*recordSize {
		t.Errorf("broadcasts %v, want one of two records", d.rec.broadcasts)
	}
	d.rec.broadcasts = nil
	d.endAttempt(RequestID(fmt.Sprint("r", d.requestCount)), 0, d.rec.lastSend().worker, OK)
	if d.advance(maxReportDelay + 2*tickInterval); len(d.rec.broadcasts) == 0 {
		t.Error("an end was never broadcast")
	}
}

// Messages that are malformed, or from an unknown rank or the dispatcher itself, change nothing. A job whose end was
// not reported is removed after its class's deadline. The number of peers' jobs kept per worker is bounded.
func TestMalformedAndLostMessages(t *testing.T) {
	dispatchers := peerGroup(3, oneClass(Once), workerList(2)...)
	d := dispatchers[0]
	w := d.workers[0]
	sent := newRecord(eventSent, w, &request{Request: Request{Slots: 2}}).append(nil)
	d.PeerMessage(d.now, 1, sent[:2])
	d.PeerMessage(d.now, 0, sent)
	d.PeerMessage(d.now, 3, sent)
	d.PeerMessage(d.now, -1, sent)
	d.PeerMessage(d.now, 1, newRecord(eventServed, w, &request{Request: Request{Slots: 2}}).append(nil))
	d.PeerMessage(d.now, 1, []byte{0xff, sent[1], sent[2], 0})
	if w.peerSlots != 0 {
		t.Fatalf("%g slots from messages that are to be ignored", w.peerSlots)
	}
	for range 2 * maxPeerJobs {
		d.PeerMessage(d.now, 1, sent)
	}
	if len(w.peerJobs) != maxPeerJobs || w.peerSlots != 2*maxPeerJobs {
		t.Errorf("%d jobs of %g slots kept", len(w.peerJobs), w.peerSlots)
	}
	d.advance(d.cfg.Classes[0].Deadline + 2*tickInterval)
	if len(w.peerJobs) != 0 || w.peerSlots != 0 {
		t.Errorf("%d jobs of %g slots kept after their deadline", len(w.peerJobs), w.peerSlots)
	}
}

// Where broadcasts would cost more than they gain, no job is reported, and the load is known from load reports only.
func TestReportsDependOnMessageCost(t *testing.T) {
	s := oneClass(Once)
	s.GroupSize, s.MayBroadcast, s.PeerMessageCost = 1000, true, 0.0096
	d := newTestDispatcher(s, workerList(4)...)
	for k := range 50 {
		d.submitKey(uint64(k))
	}
	if d.silentFraction() != 1 {
		t.Errorf("the silent fraction is %g, want 1", d.silentFraction())
	}
	for _, data := range d.rec.broadcasts {
		if rec := decodeRecord(data); rec.event != eventAlive {
			t.Errorf("a job was reported: %v", rec)
		}
	}
}

// Where the peers report their jobs, a scan whose sample is full finds a free worker instead of queueing at the few
// next ones on the ring. By load reports alone, all dispatchers would send to the same workers that seem empty.
func TestScanWidensWhileSampleIsFull(t *testing.T) {
	for _, reporting := range []bool{true, false} {
		dispatchers := peerGroup(2, oneClass(Once), workerList(20)...)
		d := dispatchers[0]
		if !reporting {
			clear(d.reporter.lastSeen)
		}
		d.advance(tickInterval)
		const key = 7
		d.fillSample(&request{Request: Request{Key: key}}, sampleSize)
		inSample := map[WorkerID]bool{}
		for _, w := range d.sampleBuf {
			inSample[w.id] = true
			const queued = widenScanLoad * defaultSlots
			if w.ownSlots = queued; !reporting {
				w.ownSlots, w.othersLoad, w.othersLastSeen, w.othersSeenAt = 0, ewma{queued, 9}, queued, d.now
			}
		}
		if d.submitKey(key); reporting == inSample[d.rec.lastSend().worker] {
			t.Errorf("peers report %v: sent to %s, full are %v", reporting, d.rec.lastSend().worker, inSample)
		}
	}
}

// A send of a peer serves as a probe request, so no job that would be shed is sent there as another one. By load
// reports alone no worker of a long list is observed for a long time, and every job that should have been shed was
// sent.
func TestPeerSendReplacesProbeRequest(t *testing.T) {
	for _, probed := range []bool{true, false} {
		dispatchers := peerGroup(2, oneClass(Repeatable), workerList(1)...)
		d := dispatchers[0]
		for k := range uint64(10) {
			d.serve(k, 400*ms)
		}
		w := d.workers[0]
		for range 60 {
			d.PeerMessage(d.now, 1, newRecord(eventSent, w, &request{Request: Request{Slots: 1}}).append(nil))
		}
		w.othersSeenAt = 0
		if !probed {
			w.triedAt = 0
		}
		sent, refused := len(d.rec.sends), len(d.rec.refused)
		d.submitKey(1)
		if got := len(d.rec.sends) - sent; got != map[bool]int{true: 0, false: 1}[probed] || len(d.rec.refused)-refused != 1-got {
			t.Errorf("sent to by peers %v: %d sent, %d refused", probed, got, len(d.rec.refused)-refused)
		}
	}
}

// The report of an end has the running time as its sender measured it: the time between the two reports would include
// the job's wait and that of the report. Peers' jobs don't change the mean running time, since only long ones are
// reported.
func TestRunningTimesAreReported(t *testing.T) {
	s := oneClass(Once)
	s.ReportsStart = true
	dispatchers := peerGroup(2, s, workerList(1)...)
	from, to := dispatchers[0], dispatchers[1]
	mean := to.meanRun
	r := from.submitKey(1)
	from.advance(3000 * ms)
	from.Progress(from.now, &Progress{Request: r, Worker: "w0", Started: true})
	from.advance(400 * ms)
	from.endAttempt(r, 0, "w0", OK)
	from.advance(maxReportDelay + 2*tickInterval)
	deliverBroadcasts(dispatchers)
	if run := to.classes[0].run; run.n != 1 || run.v < 360_000 || run.v > 440_000 {
		t.Errorf("%g runs of %g us were recorded, one of 400,000 was reported", run.n, run.v)
	}
	if to.meanRun != mean {
		t.Errorf("the mean running time of own jobs changed from %v to %v", mean, to.meanRun)
	}
}

// The report of a worker with few jobs shows its capacity; with many jobs, the number of slots that they take is a
// guess.
func TestCapacityIsLearnedFromIdleWorkers(t *testing.T) {
	d := newTestDispatcher(oneClass(Once), workerList(1)...)
	has := HasInFlight | HasQueue | HasFreeSlots
	d.Probed(d.now, &ProbeResult{Worker: "w0", Load: Load{Has: has, FreeSlots: 4}})
	d.Probed(d.now, &ProbeResult{Worker: "w0", Load: Load{Has: has, InFlight: 9, Queue: 1}})
	if n := d.slots(d.workers[0]); n != 4 {
		t.Errorf("%g slots, want 4", n)
	}
}

// Where a mean job is worth reporting, every job sent to a cold worker is reported, however small: few dispatchers
// send it jobs, and the others know its load only from their reports.
func TestJobsToAColdWorkerAreAlwaysReported(t *testing.T) {
	s := oneClass(Once)
	s.GroupSize, s.MayBroadcast, s.PeerMessageCost = 80, true, 0.0096
	s.SlowStartMinCapacity, s.SlowStartWindow, s.OverloadFactor = 0.3, 9_000_000, 1000
	for _, cold := range []bool{true, false} {
		w := ListEntry{Worker: "w", Weight: 1}
		if cold {
			w.StartedAt = 1_000_000_000 - 4_000_000
		}
		d := newTestDispatcher(s, w)
		d.advance(tickInterval + ms)
		for range 4 {
			r := d.submit(Request{Slots: 4})
			d.advance(500 * ms)
			d.endAttempt(r, 0, "w", OK)
		}
		d.advance(1000 * ms)
		d.rec.broadcasts = nil
		d.submitKey(1)
		if len(d.rec.sends) != 5 {
			t.Fatalf("%d sends, want 5", len(d.rec.sends))
		}
		if reported := len(d.rec.broadcasts) > 0; reported != cold {
			t.Errorf("cold %v, reported %v", cold, reported)
		}
	}
}

// If messages cost so much that a mean job is not worth reporting, nothing is broadcast, not even keepalives, and no
// peers count as reporting: those that broadcast would not learn of this dispatcher's sends.
func TestNothingIsBroadcastWhereMessagesCostTooMuch(t *testing.T) {
	s := oneClass(Once)
	s.GroupSize, s.MayBroadcast, s.PeerMessageCost = 320, true, 0.0096
	d := newTestDispatcher(s, ListEntry{Worker: "w", Weight: 1})
	d.serve(1, 500*ms)
	d.rec.broadcasts = nil
	for from := range 300 {
		d.PeerMessage(d.now, from+1, record{event: eventAlive}.append(nil))
	}
	for k := range uint64(20) {
		d.serve(k, 500*ms)
	}
	if len(d.rec.broadcasts) > 0 {
		t.Errorf("%d messages, want none", len(d.rec.broadcasts))
	}
	if d.reportingPeers != 0 {
		t.Errorf("%g reporting peers, want none", d.reportingPeers)
	}
}

// Whatever peers send, the number of their jobs kept stays bounded, and no own job is ended or sent twice by it.
func FuzzPeerMessage(f *testing.F) {
	f.Add([]byte{0x20, 1, 2, 0, 0x40, 1, 2, 90}, 1)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff}, 2)
	f.Fuzz(func(t *testing.T, data []byte, from int) {
		dispatchers := peerGroup(3, oneClass(Once), workerList(3)...)
		d := dispatchers[0]
		r := d.submitKey(1)
		for _, w := range d.workers { // replace the tags in the message by those of workers
			for i := 0; i+recordSize <= len(data); i += recordSize {
				data[i+1], data[i+2] = byte(workerTag(w)>>8), byte(workerTag(w))
			}
			d.PeerMessage(d.now, from, data)
		}
		d.advance(500 * ms)
		if d.requests[r] == nil || len(d.rec.sends) != 1 {
			t.Errorf("request %v, %d sends", d.requests[r], len(d.rec.sends))
		}
		for _, w := range d.workers {
			if w.peerSlots < 0 || len(w.peerJobs) > maxPeerJobs || w.peerSlots > 8*maxPeerJobs {
				t.Errorf("%s: %g slots in %d jobs", w.id, w.peerSlots, len(w.peerJobs))
			}
		}
	})
}

// BenchmarkDecision measures the decisions for one job: it is accepted, sent and ended, among eighty dispatchers that
// report theirs.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{10, 60, 1000} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			s := oneClass(Once)
			s.GroupSize, s.MayBroadcast = 80, true
			d := newTestDispatcher(s, workerList(workers)...)
			for i := range 80 {
				d.PeerMessage(d.now, i, record{event: eventAlive}.append(nil))
			}
			d.advance(tickInterval)
			b.ReportAllocs()
			b.ResetTimer()
			for k := range b.N {
				r := d.submitKey(uint64(k % 500))
				x := d.rec.lastSend()
				d.PeerMessage(d.now, 1+k%79, newRecord(eventSent, d.byID[x.worker], d.requests[r]).append(nil))
				d.now += 100
				d.endAttempt(r, 0, x.worker, OK)
				d.PeerMessage(d.now, 1+k%79, newRecord(eventServed, d.byID[x.worker], &request{Request: Request{Slots: 1}}).append(nil))
				d.rec.sends, d.rec.timers, d.rec.broadcasts = d.rec.sends[:0], d.rec.timers[:0], d.rec.broadcasts[:0]
			}
		})
	}
}
