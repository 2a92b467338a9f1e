package world

import (
	"slices"

	"cobaltflow/rules"
)

// peerProcessingDelay is the time from a peer message's arrival to its processing, in microseconds.
const peerProcessingDelay = 2000

// scheduler runs one dispatcher and implements rules.Actions for it.
type scheduler struct {
	world         *World
	rank          int
	dispatcher    *rules.Dispatcher
	ownershipHost *ownershipHost // nil: no Setup.Ownership
	sent          map[rules.RequestID][]*attempt
	jobs          map[rules.RequestID]*job
	incarnation   uint64 // number of the process, which each kill raises
	isAlive       bool
	pausedUntil   rules.Time
	aliveMembers  []bool       // by rank: schedulers that this one considers alive
	assigned      []bool       // by worker: whether this scheduler holds it
	connUsedAt    []rules.Time // by worker: last use of the connection; 0: none
}

// decide runs an event of the dispatcher. A dead scheduler drops it; a paused one runs it after the pause.
func (sc *scheduler) decide(event func()) {
	w := sc.world
	starts := sc.incarnation
	switch {
	case !sc.isAlive:
	case w.now < sc.pausedUntil:
		w.schedule(sc.pausedUntil, func() {
			if sc.incarnation == starts {
				sc.decide(event)
			}
		})
	case w.setup.AroundDecision != nil:
		w.setup.AroundDecision(event)
	default:
		event()
	}
}

// decideAt runs an event of the dispatcher at a time, unless this process has been killed by then.
func (sc *scheduler) decideAt(at rules.Time, event func()) {
	starts := sc.incarnation
	sc.world.schedule(at, func() {
		if sc.incarnation == starts {
			sc.decide(event)
		}
	})
}

// countConnection counts a new connection to a worker unless one is still open from its last use.
func (sc *scheduler) countConnection(wk *worker, probe bool) {
	w := sc.world
	if last := sc.connUsedAt[wk.index]; w.isCounting() && (last == 0 || w.now-last > w.setup.ConnectionIdleTimeout) {
		w.connections++
		if probe {
			w.probeConnections++
		}
	}
	sc.connUsedAt[wk.index] = w.now
}

// Send sends an attempt to a worker.
func (sc *scheduler) Send(r rules.RequestID, _ rules.Time, id rules.WorkerID) {
	w := sc.world
	a := &attempt{job: sc.jobs[r], number: len(sc.sent[r]), worker: w.byID[id], incarnation: sc.incarnation}
	sc.sent[r] = append(sc.sent[r], a)
	sc.countConnection(a.worker, false)
	if w.isCounting() && a.worker.setup.Zone != ZoneOf(sc.rank, w.setup.Rules.Zones) {
		w.crossZoneAttempts++
	}
	w.schedule(w.now+w.setup.NetworkDelay.draw(w.rng), func() { w.arrive(a) })
}

// Cancel cancels an attempt that still waits in its worker's queue; one that runs continues.
func (sc *scheduler) Cancel(r rules.RequestID, number int) {
	w, a := sc.world, sc.sent[r][number]
	w.schedule(w.now+w.setup.NetworkDelay.draw(w.rng), func() {
		if i := slices.Index(a.worker.queue, a); i >= 0 {
			a.worker.queue = slices.Delete(a.worker.queue, i, i+1)
			w.reportOutcome(a, rules.Cancelled)
		}
	})
}

// Refuse ends a request with a refusal.
func (sc *scheduler) Refuse(r rules.RequestID, _ rules.Time, _ rules.Reason) {
	sc.endJob(r, &sc.world.figures.Refused)
}

// Fail ends a request with a failure.
func (sc *scheduler) Fail(r rules.RequestID, _ rules.Reason) {
	sc.endJob(r, &sc.world.figures.Failed)
}

// endJob counts a request that got no result and removes it.
func (sc *scheduler) endJob(r rules.RequestID, count *int) {
	if sc.jobs[r].arrivedAt >= sc.world.setup.WarmUp {
		*count++
	}
	delete(sc.jobs, r)
	sc.releaseAttempts(r)
}

// releaseAttempts removes the attempts of an answered request once all their outcomes have arrived.
func (sc *scheduler) releaseAttempts(r rules.RequestID) {
	if sc.jobs[r] != nil {
		return
	}
	for _, a := range sc.sent[r] {
		if !a.hasReturned {
			return
		}
	}
	delete(sc.sent, r)
}

// Timer calls the dispatcher back with the token after the delay.
func (sc *scheduler) Timer(delay rules.Time, token uint64) {
	sc.decideAt(sc.world.now+delay, func() { sc.dispatcher.TimerDue(sc.world.now, token) })
}

// Probe requests a worker's load report.
func (sc *scheduler) Probe(id rules.WorkerID) {
	w, wk := sc.world, sc.world.byID[id]
	if w.isCounting() {
		w.probes++
	}
	sc.countConnection(wk, true)
	sentAt := w.now
	w.schedule(w.now+w.setup.NetworkDelay.draw(w.rng), func() {
		status, load := rules.OK, rules.Load{}
		if wk.isDown {
			status = rules.Unreachable
		} else {
			load = w.visibleLoad(wk)
		}
		sc.decideAt(w.now+w.setup.NetworkDelay.draw(w.rng), func() {
			sc.dispatcher.Probed(w.now, &rules.ProbeResult{Worker: id, Status: status, Latency: w.now - sentAt, Load: load})
		})
	})
}

// Broadcast sends a dispatcher's message to all other schedulers. Each copy may get lost.
func (sc *scheduler) Broadcast(data []byte) {
	data = slices.Clone(data)
	sc.broadcast(len(data), func(peer *scheduler) { peer.dispatcher.PeerMessage(sc.world.now, sc.rank, data) })
}

// broadcast delivers a message of size bytes to all other schedulers. Copies get lost at random, by Setup.PeerMessageLoss,
// and between the halves of a network partition.
func (sc *scheduler) broadcast(size int, deliver func(peer *scheduler)) {
	w := sc.world
	for _, peer := range w.schedulers {
		if peer == sc {
			continue
		}
		if w.isCounting() {
			w.messages++
			w.messageBytes += size
		}
		if lost := w.rng.Float64() < w.setup.PeerMessageLoss; lost || w.isPartitioned(sc, peer) {
			continue
		}
		peer.decideAt(w.now+w.setup.NetworkDelay.draw(w.rng)+peerProcessingDelay, func() { deliver(peer) })
	}
}

// Watch does nothing: worker list updates are always pushed.
func (sc *scheduler) Watch(bool) {}

// Fetch does nothing: worker list updates are always pushed.
func (sc *scheduler) Fetch() {}

// Log drops the message.
func (sc *scheduler) Log(string) {}
