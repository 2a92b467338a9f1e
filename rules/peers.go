package rules

import (
	"math"
	"slices"
)

// Reports among peers: the format of the records that dispatchers broadcast about their jobs, and the table of the
// peers' jobs outstanding at each worker. No decisions are made here.

const (
	recordSize      = 4    // bytes
	fullMessageSize = 256  // bytes of a message that costs PeerMessageCost
	maxPeers        = 4096 // messages of peers of this rank or a higher one are ignored; these peers count as silent
	maxPeerJobs     = 512  // jobs of peers kept per worker; beyond it the oldest is removed
)

// peerEvent is what a record reports about a job. It has three bits.
type peerEvent uint8

const (
	eventAlive   peerEvent = iota // keepalive, about no job
	eventSent                     // the job was sent
	eventServed                   // it ended with OK
	eventRefused                  // it ended with a refusal
	eventFailed                   // it ended with an error, or its connection failed or broke
	eventEnded                    // it ended otherwise, which shows nothing about the worker
)

// record reports one event. It is encoded as three bits of event, two of the slots, three of the class, 16 bits of
// the worker's hash, and eight of the running time. If two workers have the same tag, a record applies to both.
type record struct {
	event peerEvent
	size  uint8 // slots, as a power of two; 3: 8 or more
	class uint8 // 7: that or a later one
	tag   uint16
	run   uint8 // running time at an end, log2 of milliseconds in eighths, plus one; 0: unknown
}

// setRunTime sets the running time, in microseconds.
func (r *record) setRunTime(run Time) {
	r.run = uint8(min(255, 1+math.Round(8*math.Log2(max(1, float64(run)/1000)))))
}

// runTime returns the running time in microseconds, within a tenth; 0: unknown.
func (r record) runTime() float64 {
	if r.run == 0 {
		return 0
	}
	return 1000 * math.Exp2(float64(r.run-1)/8)
}

// newRecord returns a record of the event for the request at the worker, without a running time.
func newRecord(event peerEvent, w *worker, r *request) record {
	rec := record{event: event, class: uint8(min(r.Class, 7)), tag: workerTag(w)}
	for rec.size < 3 && float64(int(1)<<rec.size) < r.Slots {
		rec.size++
	}
	return rec
}

// endEvent returns the event that reports an attempt's end with the status.
func endEvent(s Status) peerEvent {
	switch s {
	case OK:
		return eventServed
	case Refused:
		return eventRefused
	case Error, Unreachable, Reset:
		return eventFailed
	}
	return eventEnded
}

// slots returns the slots of the job; 8 if it has more.
func (r record) slots() float64 { return float64(int(1) << r.size) }

// append appends the encoded record to to.
func (r record) append(to []byte) []byte {
	return append(to, byte(r.event)<<5|r.size<<3|r.class, byte(r.tag>>8), byte(r.tag), r.run)
}

// decodeRecord decodes the first record of data, which must hold at least one.
func decodeRecord(data []byte) record {
	return record{peerEvent(data[0] >> 5), data[0] >> 3 & 3, data[0] & 7, uint16(data[1])<<8 | uint16(data[2]), data[3]}
}

// workerTag returns the part of a worker's hash that identifies it in records.
func workerTag(w *worker) uint16 { return uint16(w.hash >> 48) }

// peerJob is an outstanding job of a peer.
type peerJob struct {
	from       int // rank of the peer
	record     record
	sent       Time // when its report was received
	discounted bool // the report of its end was probably lost: it is not counted in peerSlots
}

// addPeerJob adds a job that a peer has sent to the worker.
func (w *worker) addPeerJob(j peerJob) {
	if len(w.peerJobs) >= maxPeerJobs {
		w.removePeerJob(0)
	}
	w.peerJobs = append(w.peerJobs, j)
	w.peerSlots += j.record.slots()
}

// endPeerJob removes the peer's oldest job of the record's class and size, and reports whether there was one: the
// message of its send may have been lost.
func (w *worker) endPeerJob(from int, rec record) (known bool) {
	for i := range w.peerJobs {
		if j := w.peerJobs[i]; j.from == from && j.record.class == rec.class && j.record.size == rec.size {
			w.removePeerJob(i)
			return true
		}
	}
	return false
}

// discountPeerJob removes a job from peerSlots. It stays in peerJobs, since the report of its end may still arrive.
func (w *worker) discountPeerJob(i int) {
	if j := &w.peerJobs[i]; !j.discounted {
		j.discounted = true
		w.peerSlots = max(0, w.peerSlots-j.record.slots())
	}
}

// removePeerJob removes a job.
func (w *worker) removePeerJob(i int) {
	w.discountPeerJob(i)
	if w.peerJobs = slices.Delete(w.peerJobs, i, i+1); len(w.peerJobs) == 0 {
		w.peerSlots = 0
	}
}

// peerReporter collects the records to broadcast, and tracks which peers broadcast. Its zero value is disabled: it
// sends nothing and ignores messages.
type peerReporter struct {
	lastSeen     []Time // by rank: when the peer's last message was received; 0: never. nil: disabled
	sentAt       Time   // last broadcast
	pending      []byte // records to be sent
	pendingSince Time   // when the first of them was added

	slotTime, reportedTime ewma // mean slot-time of an own job, and what is reported of it
}

// setEnabled enables the reporter for that number of peers, or disables it. Enabling it again keeps its state.
func (p *peerReporter) setEnabled(enabled bool, peers int) {
	switch {
	case !enabled:
		p.lastSeen, p.pending = nil, nil
	case p.lastSeen == nil:
		p.lastSeen = make([]Time, min(peers, maxPeers))
	}
}

// receive records a message of a peer and reports whether it is from a known rank and well-formed.
func (p *peerReporter) receive(now Time, from int, data []byte) bool {
	if from < 0 || from >= len(p.lastSeen) || len(data)%recordSize != 0 {
		return false
	}
	p.lastSeen[from] = now
	return true
}

// reportedFraction returns the part of the slot-time of this dispatcher's jobs that it reports. The peers' jobs are
// of the same kinds, so they report about the same part.
func (p *peerReporter) reportedFraction() float64 {
	if p.slotTime.n == 0 {
		return 1
	}
	return p.reportedTime.v / max(1, p.slotTime.v)
}
