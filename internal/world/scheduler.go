package world

import (
	"slices"

	"cobaltflow/rules"
)

// peerDelay is what a message between schedulers takes beside the network, in microseconds.
const peerDelay = 2000

// scheduler is the host of one dispatcher.
type scheduler struct {
	world       *World
	rank        int
	dispatcher  *rules.Dispatcher
	fleet       *fleetShare // nil: no Setup.Ownership
	sent        map[rules.RequestID][]*attempt
	jobs        map[rules.RequestID]*job
	starts      uint64
	alive       bool
	pausedUntil rules.Time
	believes    []bool       // which members are alive, as this one knows
	knows       []bool       // by worker: whether it is given to this one
	usedAt      []rules.Time // by worker: last use of a connection; 0: none
}

// decide gives an event to the decisions: none to a dead scheduler, and later to one that stands still.
func (x *scheduler) decide(event func()) {
	w := x.world
	starts := x.starts
	switch {
	case !x.alive:
	case w.now < x.pausedUntil:
		w.at(x.pausedUntil, func() {
			if x.starts == starts {
				x.decide(event)
			}
		})
	case w.set.Around != nil:
		w.set.Around(event)
	default:
		event()
	}
}

// later has an event given to the decisions of this process, not of one that starts after its death.
func (x *scheduler) later(at rules.Time, event func()) {
	starts := x.starts
	x.world.at(at, func() {
		if x.starts == starts {
			x.decide(event)
		}
	})
}

// connect counts a connection opened where none is kept.
func (x *scheduler) connect(t *worker, probe bool) {
	w := x.world
	if last := x.usedAt[t.place]; w.counting() && (last == 0 || w.now-last > w.set.ConnectionIdle) {
		w.connections++
		if probe {
			w.probeConnections++
		}
	}
	x.usedAt[t.place] = w.now
}

// Send is part of rules.Actions, like the methods below.
func (x *scheduler) Send(r rules.RequestID, _ rules.Time, id rules.WorkerID) {
	w := x.world
	p := &attempt{job: x.jobs[r], number: len(x.sent[r]), worker: w.byID[id], starts: x.starts}
	x.sent[r] = append(x.sent[r], p)
	x.connect(p.worker, false)
	if w.counting() && p.worker.set.Zone != ZoneOf(x.rank, w.set.Rules.Zones) {
		w.crossings++
	}
	w.at(w.now+w.set.Net.draw(w.rng), func() { w.arrive(p) })
}

// Cancel gives up what waits.
func (x *scheduler) Cancel(r rules.RequestID, number int) {
	w, p := x.world, x.sent[r][number]
	w.at(w.now+w.set.Net.draw(w.rng), func() {
		if i := slices.Index(p.worker.queue, p); i >= 0 {
			p.worker.queue = slices.Delete(p.worker.queue, i, i+1)
			w.end(p, rules.Cancelled)
		}
	})
}

// Refuse ends a job.
func (x *scheduler) Refuse(r rules.RequestID, _ rules.Time, _ rules.Reason) {
	x.over(r, &x.world.figures.Refused)
}

// Fail ends a job.
func (x *scheduler) Fail(r rules.RequestID, _ rules.Reason) {
	x.over(r, &x.world.figures.Failed)
}

func (x *scheduler) over(r rules.RequestID, count *int) {
	if x.jobs[r].due >= x.world.set.Warm {
		*count++
	}
	delete(x.jobs, r)
	x.forget(r)
}

// forget lets go of the attempts of a job that is over, once none of them is out.
func (x *scheduler) forget(r rules.RequestID) {
	if x.jobs[r] != nil {
		return
	}
	for _, p := range x.sent[r] {
		if !p.over {
			return
		}
	}
	delete(x.sent, r)
}

// Timer comes back.
func (x *scheduler) Timer(delay rules.Time, token uint64) {
	x.later(x.world.now+delay, func() { x.dispatcher.TimerDue(x.world.now, token) })
}

// Probe asks a worker for its figures.
func (x *scheduler) Probe(id rules.WorkerID) {
	w, t := x.world, x.world.byID[id]
	if w.counting() {
		w.probes++
	}
	x.connect(t, true)
	asked := w.now
	w.at(w.now+w.set.Net.draw(w.rng), func() {
		status, load := rules.OK, rules.Load{}
		if t.down {
			status = rules.Unreachable
		} else {
			load = w.report(t)
		}
		x.later(w.now+w.set.Net.draw(w.rng), func() {
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
		if w.counting() {
			w.told++
			w.toldBytes += size
		}
		if lost := w.rng.Float64() < w.set.PeersLost; lost || w.cut(x, y) {
			continue
		}
		y.later(w.now+w.set.Net.draw(w.rng)+peerDelay, func() { hear(y) })
	}
}

// Watch, Fetch and Log mean nothing here: lists are pushed.
func (x *scheduler) Watch(bool) {}

// Fetch is not asked for.
func (x *scheduler) Fetch() {}

// Log is let pass.
func (x *scheduler) Log(string) {}
