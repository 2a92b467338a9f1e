package ownership

import "math"

// members is the membership as one scheduler sees it.
type members struct {
	cfg           *Settings
	byRank        []member
	liveCount     int
	lastTurn      Time
	settledAt     Time // from then on the membership is believed, and cold workers are taken on
	nextHeartbeat Time // of the next heartbeat
	// epoch counts the changes of who is alive and in which zone. Each may change the order of any worker.
	epoch int
	// drift is how far two members' places may have moved against each other by weights, at most, since the start.
	drift float64
}

type member struct {
	hash          uint64
	zone          int
	isAlive       bool
	hasHeartbeat  bool // a heartbeat of it came
	lastSeen      Time
	weight        float64 // natural logarithm of its weight in rendezvous hashing
	appliedWeight float64 // the weight by which workers are ordered in the present round
	utilization   float64
}

const (
	// settleBeats is the number of heartbeat intervals in which all other live members should have been heard.
	settleIntervals = 1.5

	weightGain      = 0.3  // part of the difference to the mean, as logarithms, that is corrected with each heartbeat
	maxWeightStep   = 0.05 // of the logarithm, at most with each heartbeat: the share changes by a twentieth
	weightTolerance = 0.05 // a difference under it is let be
	maxLogWeight    = 3.0  // of the logarithm, either way
	idleUtilization = 0.02 // mean part of slots taken under which the weights go back to 1
)

func newMembers(set *Settings, now Time) members {
	m := members{cfg: set, byRank: make([]member, set.Members), liveCount: set.Members, lastTurn: now}
	for i := range m.byRank {
		m.byRank[i] = member{hash: memberHash(i), zone: UnknownZone, isAlive: true, lastSeen: now}
	}
	m.self().zone, m.self().hasHeartbeat = set.Zone, true
	m.delaySettling(now)
	return m
}

func (m *members) self() *member { return &m.byRank[m.cfg.Rank] }

// settle waits until the other members may have been heard again.
func (m *members) delaySettling(now Time) {
	if m.cfg.UsesHeartbeats {
		m.settledAt = now + Time(settleIntervals*float64(m.cfg.HeartbeatInterval))
	}
}

// hear takes a heartbeat, and tells whether the member was taken for alive before, and is now.
func (m *members) handleHeartbeat(now Time, rank int, h Heartbeat) (was, is bool) {
	if rank < 0 || rank >= len(m.byRank) || rank == m.cfg.Rank {
		return false, false
	}
	x := &m.byRank[rank]
	was = x.isAlive
	if h.IsLeaving {
		m.markDead(x)
		return was, false
	}
	if !x.isAlive {
		m.liveCount++
	}
	if !x.isAlive || x.zone != h.Zone {
		m.epoch++
	}
	x.isAlive, x.hasHeartbeat, x.lastSeen = true, true, now
	x.zone, x.weight, x.utilization = h.Zone, h.Weight, h.Utilization
	return was, true
}

func (m *members) markDead(x *member) {
	if x.isAlive {
		x.isAlive = false
		m.liveCount--
		m.epoch++
	}
}

// applyWeights begins a round, whose order goes by the weights as they are now.
func (m *members) applyWeights() {
	own, others := 0.0, 0.0
	for i := range m.byRank {
		x := &m.byRank[i]
		moved := math.Abs(x.weight - x.appliedWeight)
		if x.appliedWeight = x.weight; i == m.cfg.Rank {
			own = moved
		} else {
			others = max(others, moved)
		}
	}
	m.drift += own + others
}

// wake notices that the host was stopped for so long that others may have taken this scheduler for dead. What was not
// heard meanwhile proves nothing against the others: each has until the next heartbeats are due.
func (m *members) resumeAfterPause(now Time) {
	if m.cfg.UsesHeartbeats && now-m.lastTurn > m.cfg.ExpireAfter/2 {
		m.delaySettling(now)
		m.nextHeartbeat = now
		for i := range m.byRank {
			m.byRank[i].lastSeen = max(m.byRank[i].lastSeen, m.settledAt-m.cfg.ExpireAfter)
		}
	}
	m.lastTurn = now
}

// expire gives the members that were not heard for too long, and takes them for dead.
func (m *members) expire(now Time) (dead []int) {
	if !m.cfg.UsesHeartbeats {
		return nil
	}
	for i := range m.byRank {
		if x := &m.byRank[i]; i != m.cfg.Rank && x.isAlive && now-x.lastSeen > m.cfg.ExpireAfter {
			m.markDead(x)
			dead = append(dead, i)
		}
	}
	return dead
}

// balance moves the own weight towards that at which as much of the own share is taken as of the others'.
func (m *members) adjustWeight(occupied float64) {
	self := m.self()
	self.utilization = occupied
	mean := m.meanUtilization()
	if mean < idleUtilization {
		self.weight = quantizeWeight(self.weight * (1 - 2*maxWeightStep))
		return
	}
	difference := math.Log(max(occupied, idleUtilization/2) / mean)
	if math.Abs(difference) < weightTolerance {
		return
	}
	step := min(max(weightGain*difference, -maxWeightStep), maxWeightStep)
	self.weight = quantizeWeight(self.weight + step)
}

// rounded is a weight as a heartbeat tells it: all members have to find the same order by it.
func quantizeWeight(weight float64) float64 {
	return math.Round(min(max(weight, -maxLogWeight), maxLogWeight)*weightStepsPerUnit) / weightStepsPerUnit
}

// meanOccupied is the mean over the live members that are known.
func (m *members) meanUtilization() float64 {
	sum, count := 0.0, 0
	for i := range m.byRank {
		if m.byRank[i].isAlive && m.byRank[i].hasHeartbeat {
			sum += m.byRank[i].utilization
			count++
		}
	}
	return sum / float64(max(1, count))
}
