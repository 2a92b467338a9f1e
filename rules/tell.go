package rules

// Telling the peers: which jobs are told, when a message goes out, and what is made of theirs, from the
// price of a message and the slot-time that a job takes.

import "math"

const (
	leastMessage = 16         // bytes that a message costs at least, as was measured
	tellEvery    = 4 * second // a dispatcher that had nothing to tell for so long says that it is there
	tellWait     = 3 * tick   // an end waits so long for a job that goes out
	peerQuiet    = 10 * second
	lostLeast    = 0.001 // part of the words of ends that is taken to be lost at least
	doubtRuns    = 1.5   // running times that a job is out, with its wait
	shareTold    = 0.5   // part of the load that may be others' from which on jobs are told
)

// Divide tells that the list holds only our share of a kind's workers (below 0: of all kinds): how many may
// send to one of them, and which part of the load there may be others'.
func (d *Dispatcher) Divide(kind, senders int, foreign float64) {
	k := d.kind(kind)
	k.senders, k.foreign = float64(max(1, senders)), foreign
	if kind < 0 {
		d.talk.open(d.set.MayTell && d.set.leastTold() < 1 && foreign > shareTold, d.set.GroupSize)
	}
}

// Peer takes what a peer tells of its jobs. With a few jobs of our own on a worker this is nearly all that
// we know of it, and it is milliseconds old where reports are a second [D9].
func (d *Dispatcher) Peer(now Time, from int, data []byte) {
	if from == d.set.Rank || !d.talk.heardFrom(now, from, data) {
		return
	}
	for ; len(data) > 0; data = data[recordSize:] {
		rec := readRecord(data)
		class := min(int(rec.class), len(d.classes)-1)
		for _, w := range d.tags[rec.tag] {
			d.visit(w)
			if rec.what == toldSent {
				w.peerSent(peerJob{from: from, record: rec, sent: now})
				w.triedAt = now // by a peer
				continue
			}
			if w.peerEnded(from, rec) {
				d.endLost.add(0, gain/4)
			}
			switch {
			case rec.what == toldServed:
				w.errors *= 1 - loadGain
				if run := rec.ran(); run > 0 {
					d.ran(now, class, w, run, 1)
				}
			case rec.what == toldFull:
				w.fullUntil = max(w.fullUntil, now+Time(d.meanRun.v*d.rng.Float64()))
			case rec.what == toldFailed && w.benchUntil < now:
				d.failed(now, w, loadGain)
			}
		}
	}
}

// doubtPeers looks at the jobs that peers told of. One that has been out for so long that the word of its end
// was likelier lost, by how often that happens, counts no more; past its client's patience it is over.
func (d *Dispatcher) doubtPeers(now Time, w *worker) {
	doubt := doubtRuns * math.Log(1+1/max(lostLeast, d.endLost.v))
	for i := len(w.peers) - 1; i >= 0; i-- {
		class, out := min(int(w.peers[i].record.class), len(d.classes)-1), now-w.peers[i].sent
		if float64(out) > doubt*d.runOf(class) {
			w.peerDoubted(i)
		}
		if out > d.classes[class].Deadline {
			d.endLost.add(1, gain/4)
			w.peerLetGo(i)
		}
	}
}

// worthTelling weighs what the peers would learn against the price of a message to each: with many peers only
// the jobs that hold most of the slot-time are told, and stand for the others too [D9].
func (d *Dispatcher) worthTelling(r *request) bool {
	return d.talk.worth(d.jobCost(r), d.set.leastTold())
}

// leastTold is the slot-time, over what is usual, from which a job is worth telling. Where a usual job has
// less, nothing is told: the rest shows too little of a load, and words of presence cost more than they earn.
func (s *Settings) leastTold() float64 {
	return tellLeast * s.PeerPrice * leastMessage / peerMessage * float64(s.GroupSize-1)
}

// worth tells whether a job's slot-time is so many times what is usual, and counts it.
func (t *talk) worth(cost, times float64) bool {
	t.slotTime.add(cost, gain/8)
	tells := t.heard != nil && cost >= times*t.slotTime.v
	if !tells {
		cost = 0
	}
	t.toldTime.add(cost, gain/8)
	return tells
}

// tell puts a record into the next message. A message of one record costs as much as one of four: ends
// wait for a job that goes out, which is told at once.
func (t *talk) tell(now Time, rec record, act Actions) {
	if t.heard == nil {
		return
	}
	if len(t.untold) == 0 {
		t.since = now
	}
	t.untold = rec.append(t.untold)
	if rec.what == toldSent || rec.what == toldAlive || len(t.untold) > peerMessage-recordSize {
		act.Tell(t.untold)
		t.untold, t.toldAt = nil, now
	}
}

// keepUp tells what has waited long enough, or that the dispatcher is there, and counts the peers that do.
func (t *talk) keepUp(now Time, act Actions) (tellers float64) {
	if len(t.untold) > 0 && now-t.since > tellWait || now-t.toldAt > tellEvery {
		t.tell(now, record{what: toldAlive}, act)
	}
	for _, at := range t.heard {
		if at > 0 && now-at < peerQuiet {
			tellers++
		}
	}
	return tellers
}
