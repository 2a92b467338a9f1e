package rules

import (
	"math"
	"slices"
)

// What dispatchers tell one another of their jobs: the records, and the book in which a dispatcher keeps what
// its peers have out at a worker. Nothing here decides anything.

const (
	recordSize      = 4
	fullMessageSize = 256  // bytes of a full message, which has the price
	maxPeers        = 4096 // peers beyond are not listened to, and count as silent
	maxPeerJobs     = 512  // jobs of peers kept for a worker; past it the oldest is let go
)

// what a record tells of a job; three bits
type peerEvent uint8

const (
	eventAlive  peerEvent = iota // of none: the peer is there
	eventSent                    // it is on its way
	eventServed                  // it has ended, in one of these ways
	eventRefused
	eventFailed
	eventEnded // any other way, which says nothing of the worker
)

// record is one thing told: three bits of what, two of the slots' power of two, three of the class, then 16 bits
// of the worker's hash, then how long the job ran. Two workers of one tag both get what is told of either.
type record struct {
	event peerEvent
	size  uint8 // slots, as a power of two; 3: 8 or more
	class uint8 // 7: that or a later one
	tag   uint16
	run   uint8 // of an end: eighths of the binary logarithm of the milliseconds it ran, and one more; 0: not known
}

func (r *record) setRunTime(run Time) {
	r.run = uint8(min(255, 1+math.Round(8*math.Log2(max(1, float64(run)/1000)))))
}

// ran gives the running time in microseconds, within a tenth; 0: not known.
func (r record) runTime() float64 {
	if r.run == 0 {
		return 0
	}
	return 1000 * math.Exp2(float64(r.run-1)/8)
}

func newRecord(what peerEvent, w *worker, r *request) record {
	rec := record{event: what, class: uint8(min(r.Class, 7)), tag: workerTag(w)}
	for rec.size < 3 && float64(int(1)<<rec.size) < r.Slots {
		rec.size++
	}
	return rec
}

// endTold puts an attempt's end into a record's words.
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

func (r record) slots() float64 { return float64(int(1) << r.size) }

func (r record) append(to []byte) []byte {
	return append(to, byte(r.event)<<5|r.size<<3|r.class, byte(r.tag>>8), byte(r.tag), r.run)
}

// readRecord reads the first record of data, which holds one at least.
func decodeRecord(data []byte) record {
	return record{peerEvent(data[0] >> 5), data[0] >> 3 & 3, data[0] & 7, uint16(data[1])<<8 | uint16(data[2]), data[3]}
}

func workerTag(w *worker) uint16 { return uint16(w.hash >> 48) }

// peerJob is a job that a peer has out.
type peerJob struct {
	from       int
	record     record
	sent       Time
	discounted bool // its end may have been lost: it counts no more
}

func (w *worker) addPeerJob(j peerJob) {
	if len(w.peerJobs) >= maxPeerJobs {
		w.removePeerJob(0)
	}
	w.peerJobs = append(w.peerJobs, j)
	w.peerSlots += j.record.slots()
}

// peerEnded takes the peer's oldest job of that class and size off the book. A message may be lost: there may be none.
func (w *worker) endPeerJob(from int, rec record) (known bool) {
	for i := range w.peerJobs {
		if j := w.peerJobs[i]; j.from == from && j.record.class == rec.class && j.record.size == rec.size {
			w.removePeerJob(i)
			return true
		}
	}
	return false
}

// peerDoubted counts a job no more; its end may still come.
func (w *worker) discountPeerJob(i int) {
	if j := &w.peerJobs[i]; !j.discounted {
		j.discounted = true
		w.peerSlots = max(0, w.peerSlots-j.record.slots())
	}
}

func (w *worker) removePeerJob(i int) {
	w.discountPeerJob(i)
	if w.peerJobs = slices.Delete(w.peerJobs, i, i+1); len(w.peerJobs) == 0 {
		w.peerSlots = 0
	}
}

// talk is the conversation with the peers. Its zero value neither tells nor hears.
type peerReporter struct {
	lastSeen     []Time // by rank: when the peer told anything last; 0: never
	sentAt       Time
	pending      []byte // records that wait
	pendingSince Time   // the first of them does

	slotTime, reportedTime ewma // of a job of ours, and what of it the peers are told
}

// open begins the conversation with so many peers, or ends it. One that goes on is left as it is.
func (t *peerReporter) setEnabled(open bool, peers int) {
	switch {
	case !open:
		t.lastSeen, t.pending = nil, nil
	case t.lastSeen == nil:
		t.lastSeen = make([]Time, min(peers, maxPeers))
	}
}

// heardFrom takes a message of a peer down and tells whether it can be read.
func (t *peerReporter) receive(now Time, from int, data []byte) bool {
	if from < 0 || from >= len(t.lastSeen) || len(data)%recordSize != 0 {
		return false
	}
	t.lastSeen[from] = now
	return true
}

// part of our slot-time that is told. The peers' jobs are of the same kinds, and so is what they tell.
func (t *peerReporter) reportedFraction() float64 {
	if t.slotTime.n == 0 {
		return 1
	}
	return t.reportedTime.v / max(1, t.slotTime.v)
}
