package rules

// Telling the peers: which jobs are told, when a message goes out, and what is made of theirs, from the
// price of a message and the slot-time that a job takes.

import "math"

const (
	minMessageCost        = 16               // bytes that a message costs at least, as was measured
	keepaliveInterval     = 4 * second       // a dispatcher that had nothing to tell for so long says that it is there
	maxReportDelay        = 3 * tickInterval // an end waits so long for a job that goes out
	peerTimeout           = 10 * second
	minEndLossRate        = 0.001 // part of the words of ends that is taken to be lost at least
	peerJobRuns           = 1.5   // running times that a job is out, with its wait
	minForeignToBroadcast = 0.5   // part of the load that may be others' from which on jobs are told
)

// Divide tells that the list holds only our share of a kind's workers (below 0: of all kinds): how many may
// send to one of them, and which part of the load there may be others'.
func (d *Dispatcher) SetSharing(kind, senders int, foreign float64) {
	k := d.kind(kind)
	k.senders, k.foreign = float64(max(1, senders)), foreign
	if kind < 0 {
		d.reporter.setEnabled(d.cfg.MayBroadcast && d.cfg.minReportedCost() < 1 && foreign > minForeignToBroadcast, d.cfg.GroupSize)
	}
}

// Peer takes what a peer tells of its jobs. With a few jobs of our own on a worker this is nearly all that
// we know of it, and it is milliseconds old where reports are a second [D9].
func (d *Dispatcher) PeerMessage(now Time, from int, data []byte) {
	if from == d.cfg.Rank || !d.reporter.receive(now, from, data) {
		return
	}
	for ; len(data) > 0; data = data[recordSize:] {
		rec := decodeRecord(data)
		class := min(int(rec.class), len(d.classes)-1)
		for _, w := range d.tags[rec.tag] {
			d.mark(w)
			if rec.event == eventSent {
				w.addPeerJob(peerJob{from: from, record: rec, sent: now})
				w.triedAt = now // by a peer
				continue
			}
			if w.endPeerJob(from, rec) {
				d.endLossRate.add(0, gain/4)
			}
			switch {
			case rec.event == eventServed:
				w.errorRate *= 1 - loadGain
				if run := rec.runTime(); run > 0 {
					d.recordRun(now, class, w, run, 1)
				}
			case rec.event == eventRefused:
				w.fullUntil = max(w.fullUntil, now+Time(d.meanRun.v*d.rng.Float64()))
			case rec.event == eventFailed && w.ejectedUntil < now:
				d.recordFailure(now, w, loadGain)
			}
		}
	}
}

// doubtPeers looks at the jobs that peers told of. One that has been out for so long that the word of its end
// was likelier lost, by how often that happens, counts no more; past its client's patience it is over.
func (d *Dispatcher) expirePeerJobs(now Time, w *worker) {
	doubt := peerJobRuns * math.Log(1+1/max(minEndLossRate, d.endLossRate.v))
	for i := len(w.peerJobs) - 1; i >= 0; i-- {
		class, out := min(int(w.peerJobs[i].record.class), len(d.classes)-1), now-w.peerJobs[i].sent
		if float64(out) > doubt*d.expectedRun(class) {
			w.discountPeerJob(i)
		}
		if out > d.classes[class].Deadline {
			d.endLossRate.add(1, gain/4)
			w.removePeerJob(i)
		}
	}
}

// worthTelling weighs what the peers would learn against the price of a message to each: with many peers only
// the jobs that hold most of the slot-time are told, and stand for the others too [D9].
func (d *Dispatcher) shouldReport(r *request) bool {
	return d.reporter.shouldReport(d.jobCost(r), d.cfg.minReportedCost())
}

// leastTold is the slot-time, over what is usual, from which a job is worth telling. Where a usual job has
// less, nothing is told: the rest shows too little of a load, and words of presence cost more than they earn.
func (s *Settings) minReportedCost() float64 {
	return reportCostMultiple * s.PeerMessageCost * minMessageCost / fullMessageSize * float64(s.GroupSize-1)
}

// worth tells whether a job's slot-time is so many times what is usual, and counts it.
func (t *peerReporter) shouldReport(cost, times float64) bool {
	t.slotTime.add(cost, gain/8)
	tells := t.lastSeen != nil && cost >= times*t.slotTime.v
	if !tells {
		cost = 0
	}
	t.reportedTime.add(cost, gain/8)
	return tells
}

// tell puts a record into the next message. A message of one record costs as much as one of four: ends
// wait for a job that goes out, which is told at once.
func (t *peerReporter) enqueue(now Time, rec record, act Actions) {
	if t.lastSeen == nil {
		return
	}
	if len(t.pending) == 0 {
		t.pendingSince = now
	}
	t.pending = rec.append(t.pending)
	if rec.event == eventSent || rec.event == eventAlive || len(t.pending) > fullMessageSize-recordSize {
		act.Broadcast(t.pending)
		t.pending, t.sentAt = nil, now
	}
}

// keepUp tells what has waited long enough, or that the dispatcher is there, and counts the peers that do.
func (t *peerReporter) flush(now Time, act Actions) (tellers float64) {
	if len(t.pending) > 0 && now-t.pendingSince > maxReportDelay || now-t.sentAt > keepaliveInterval {
		t.enqueue(now, record{event: eventAlive}, act)
	}
	for _, at := range t.lastSeen {
		if at > 0 && now-at < peerTimeout {
			tellers++
		}
	}
	return tellers
}
