package rules

// Broadcasts to the peers, the other dispatchers that send to the same workers: which jobs are reported,
// when a message is sent, and how the peers' messages are applied, from the cost of a message and the
// slot-time of a job.

import "math"

const (
	minMessageCost    = 16               // bytes that even the shortest message costs
	keepaliveInterval = 4 * second       // a dispatcher with nothing to report sends a keepalive this often
	maxReportDelay    = 3 * tickInterval // an end waits this long for a send to be reported with
	peerTimeout       = 10 * second      // a peer without a message for this long counts as silent
	minEndLossRate    = 0.001            // least part of the reported ends that is assumed lost
	peerJobRuns       = 1.5              // mean time in runs that a peer's job is outstanding
	// Jobs are reported only if a larger part of the workers' load than this may be the peers'.
	minForeignToBroadcast = 0.5
)

// SetSharing sets with how many dispatchers this one shares the workers of a kind (negative: of all kinds)
// on its list: senders dispatchers, this one included, may send to each of them, and foreign is the part of
// the load there, 0 to 1, that may be of the others.
func (d *Dispatcher) SetSharing(kind, senders int, foreign float64) {
	k := d.kind(kind)
	k.senders, k.foreign = float64(max(1, senders)), foreign
	if kind < 0 {
		d.reporter.setEnabled(d.cfg.MayBroadcast && d.cfg.minReportedCost() < 1 &&
			foreign > minForeignToBroadcast, d.cfg.GroupSize)
	}
}

// PeerMessage applies a broadcast of the peer of rank from. Messages that are malformed, of this dispatcher
// or of an unknown rank are ignored. A dispatcher with few jobs at a worker learns its load mainly from
// such messages, which are milliseconds old where load reports are a second old [D9].
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
				w.triedAt = now // the peer's job serves as a probe request, too
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

// expirePeerJobs discounts a peer's job that has been outstanding for so long that, at the observed loss
// rate, the report of its end was probably lost, and removes it once its class's deadline has passed.
func (d *Dispatcher) expirePeerJobs(now Time, w *worker) {
	limit := peerJobRuns * math.Log(1+1/max(minEndLossRate, d.endLossRate.v))
	for i := len(w.peerJobs) - 1; i >= 0; i-- {
		class, age := min(int(w.peerJobs[i].record.class), len(d.classes)-1), now-w.peerJobs[i].sent
		if float64(age) > limit*d.expectedRun(class) {
			w.discountPeerJob(i)
		}
		if age > d.classes[class].Deadline {
			d.endLossRate.add(1, gain/4)
			w.removePeerJob(i)
		}
	}
}

// shouldReport weighs what the peers learn from a job's report against the cost of a message to each of
// them. With many peers only the jobs that take most of the slot-time are reported, and their reports stand
// for the others too [D9].
func (d *Dispatcher) shouldReport(r *request) bool {
	return d.reporter.shouldReport(d.jobCost(r), d.cfg.minReportedCost())
}

// minReportedCost returns the slot-time, over the mean, from which a job is worth reporting. If it is 1 or
// more, a mean job is not worth reporting, and broadcasts are disabled: the remaining jobs show too little
// of the load, and keepalives would cost more than the reports gain.
func (s *Settings) minReportedCost() float64 {
	return reportCostMultiple * s.PeerMessageCost * minMessageCost / fullMessageSize * float64(s.GroupSize-1)
}

// shouldReport counts a job of that slot-time, in microseconds, and reports whether it is at least the
// given multiple of the mean.
func (p *peerReporter) shouldReport(slotTime, multiple float64) bool {
	p.slotTime.add(slotTime, gain/8)
	report := p.lastSeen != nil && slotTime >= multiple*p.slotTime.v
	if !report {
		slotTime = 0
	}
	p.reportedTime.add(slotTime, gain/8)
	return report
}

// enqueue adds a record to the next message. A message of one record costs as much as one of four, so ends
// wait for the next send, which is broadcast at once.
func (p *peerReporter) enqueue(now Time, rec record, actions Actions) {
	if p.lastSeen == nil {
		return
	}
	if len(p.pending) == 0 {
		p.pendingSince = now
	}
	p.pending = rec.append(p.pending)
	if rec.event == eventSent || rec.event == eventAlive || len(p.pending) > fullMessageSize-recordSize {
		actions.Broadcast(p.pending)
		p.pending, p.sentAt = nil, now
	}
}

// flush sends records that have waited long enough, or a keepalive, and returns the number of peers that
// broadcast.
func (p *peerReporter) flush(now Time, actions Actions) (reporting float64) {
	if len(p.pending) > 0 && now-p.pendingSince > maxReportDelay || now-p.sentAt > keepaliveInterval {
		p.enqueue(now, record{event: eventAlive}, actions)
	}
	for _, at := range p.lastSeen {
		if at > 0 && now-at < peerTimeout {
			reporting++
		}
	}
	return reporting
}
