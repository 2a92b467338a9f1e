package world

import (
	"slices"

	"cobaltflow/rules"
)

// peerDelay is what a message between schedulers takes beside the network, in microseconds.
const peerProcessingDelay = 2000

// scheduler is the host of one dispatcher.
type scheduler struct {
	world         *World
	rank          int
	dispatcher    *rules.Dispatcher
	ownershipHost *ownershipHost // nil: no Setup.Ownership
	sent          map[rules.RequestID][]*attempt
	jobs          map[rules.RequestID]*job
	incarnation   uint64
	isAlive       bool
	pausedUntil   rules.Time
	aliveMembers  []bool       // which members are alive, as this one knows
	assigned      []bool       // by worker: whether it is given to this one
	connUsedAt    []rules.Time // by worker: last use of a connection; 0: none
}

// decide gives an event to the decisions: none to a dead scheduler, and later to one that stands still.
func (x *scheduler) decide(event func()) {
	w := x.world
	starts := x.incarnation
	switch {
	case !x.isAlive:
	case w.now < x.pausedUntil:
		w.schedule(x.pausedUntil, func() {
			if x.incarnation == starts {
				x.decide(event)
			}
		})
	case w.setup.AroundDecision != nil:
		w.setup.AroundDecision(event)
	default:
		event()
	}
}

// later has an event given to the decisions of this process, not of one that starts after its death.
func (x *scheduler) decideAt(at rules.Time, event func()) {
	starts := x.incarnation
	x.world.schedule(at, func() {
		if x.incarnation == starts {
			x.decide(event)
		}
	})
}

// connect counts a connection opened where none is kept.
func (x *scheduler) countConnection(t *worker, probe bool) {
	w := x.world
	if last := x.connUsedAt[t.index]; w.isCounting() && (last == 0 || w.now-last > w.setup.ConnectionIdleTimeout) {
		w.connections++
		if probe {
			w.probeConnections++
		}
	}
	x.connUsedAt[t.index] = w.now
}

// Send is part of rules.Actions, like the methods below.
func (x *scheduler) Send(r rules.RequestID, _ rules.Time, id rules.WorkerID) {
	w := x.world
	p := &attempt{job: x.jobs[r], number: len(x.sent[r]), worker: w.byID[id], incarnation: x.incarnation}
	x.sent[r] = append(x.sent[r], p)
	x.countConnection(p.worker, false)
	if w.isCounting() && p.worker.setup.Zone != ZoneOf(x.rank, w.setup.Rules.Zones) {
		w.crossZoneAttempts++
	}
	w.schedule(w.now+w.setup.NetworkDelay.draw(w.rng), func() { w.arrive(p) })
}

// Cancel gives up what waits.
func (x *scheduler) Cancel(r rules.RequestID, number int) {
	w, p := x.world, x.sent[r][number]
	w.schedule(w.now+w.setup.NetworkDelay.draw(w.rng), func() {
		if i := slices.Index(p.worker.queue, p); i >= 0 {
			p.worker.queue = slices.Delete(p.worker.queue, i, i+1)
			w.reportOutcome(p, rules.Cancelled)
		}
	})
}

// Refuse ends a job.
func (x *scheduler) Refuse(r rules.RequestID, _ rules.Time, _ rules.Reason) {
	x.endJob(r, &x.world.figures.Refused)
}

// Fail ends a job.
func (x *scheduler) Fail(r rules.RequestID, _ rules.Reason) {
	x.endJob(r, &x.world.figures.Failed)
}

func (x *scheduler) endJob(r rules.RequestID, count *int) {
	if x.jobs[r].arrivedAt >= x.world.setup.WarmUp {
		*count++
	}
	delete(x.jobs, r)
	x.releaseAttempts(r)
}

// forget lets go of the attempts of a job that is over, once none of them is out.
func (x *scheduler) releaseAttempts(r rules.RequestID) {
	if x.jobs[r] != nil {
		return
	}
	for _, p := range x.sent[r] {
		if !p.hasReturned {
			return
		}
	}
	delete(x.sent, r)
}

// Timer comes back.
func (x *scheduler) Timer(delay rules.Time, token uint64) {
	x.decideAt(x.world.now+delay, func() { x.dispatcher.TimerDue(x.world.now, token) })
}

// Probe asks a worker for its figures.
func (x *scheduler) Probe(id rules.WorkerID) {
	w, t := x.world, x.world.byID[id]
	if w.isCounting() {
		w.probes++
	}
	x.countConnection(t, true)
	asked := w.now
	w.schedule(w.now+w.setup.NetworkDelay.draw(w.rng), func() {
		status, load := rules.OK, rules.Load{}
		if t.isDown {
			status = rules.Unreachable
		} else {
			load = w.visibleLoad(t)
		}
		x.decideAt(w.now+w.setup.NetworkDelay.draw(w.rng), func() {
			x.dispatcher.Probed(w.now, &rules.ProbeResult{Worker: id, Status: status, Latency: w.now - asked, Load: load})
		})
	})
}

// Tell sends to all other schedulers; each may lose it.
func (x *scheduler) Broadcast(data []byte) {
	data = slices.Clone(data)
	x.broadcast(len(data), func(y *scheduler) { y.dispatcher.PeerMessage(x.world.now, x.rank, data) })
}

// broadcast has all other schedulers hear a message of so many bytes. Between the halves of a split none comes through.
func (x *scheduler) broadcast(size int, hear func(y *scheduler)) {
	w := x.world
	for _, y := range w.schedulers {
		if y == x {
			continue
		}
		if w.isCounting() {
			w.messages++
			w.messageBytes += size
		}
		if lost := w.rng.Float64() < w.setup.PeerMessageLoss; lost || w.isPartitioned(x, y) {
			continue
		}
		y.decideAt(w.now+w.setup.NetworkDelay.draw(w.rng)+peerProcessingDelay, func() { hear(y) })
	}
}

// Watch, Fetch and Log mean nothing here: lists are pushed.
func (x *scheduler) Watch(bool) {}

// Fetch is not asked for.
func (x *scheduler) Fetch() {}

// Log is let pass.
func (x *scheduler) Log(string) {}
