package ownership

import "math"

// members is one scheduler's view of the membership.
type members struct {
	cfg           *Settings
	byRank        []member
	liveCount     int
	lastTurn      Time
	settledAt     Time // time from which the membership is complete enough to acquire cold workers
	nextHeartbeat Time
	// epoch counts the changes of the set of live members and of their zones. Each may change the ranking of any worker.
	epoch int
	// drift is an upper bound on how far weight changes have moved this member's score against any other's since the
	// start.
	drift float64
}

type member struct {
	hash          uint64
	zone          int
	isAlive       bool
	hasHeartbeat  bool // at least one was received
	lastSeen      Time
	weight        float64 // natural logarithm of the weight in rendezvous hashing
	appliedWeight float64 // weight that ranks the workers in the current update round
	utilization   float64
}

const (
	// settleIntervals is the number of heartbeat intervals within which every live member's heartbeat should arrive.
	settleIntervals = 1.5

	weightGain      = 0.3  // fraction of the logarithmic difference to the mean that each heartbeat corrects
	maxWeightStep   = 0.05 // of the logarithm, per heartbeat: the share changes by a twentieth
	weightTolerance = 0.05 // smaller differences are not corrected
	maxLogWeight    = 3.0  // absolute value
	idleUtilization = 0.02 // mean utilization below which the weights return to 1
)

func newMembers(settings *Settings, now Time) members {
	m := members{cfg: settings, byRank: make([]member, settings.Members), liveCount: settings.Members, lastTurn: now}
	for i := range m.byRank {
		m.byRank[i] = member{hash: memberHash(i), zone: UnknownZone, isAlive: true, lastSeen: now}
	}
	m.self().zone, m.self().hasHeartbeat = settings.Zone, true
	m.delaySettling(now)
	return m
}

func (m *members) self() *member { return &m.byRank[m.cfg.Rank] }

// delaySettling postpones settledAt until the other members' next heartbeats should have arrived.
func (m *members) delaySettling(now Time) {
	if m.cfg.UsesHeartbeats {
		m.settledAt = now + Time(settleIntervals*float64(m.cfg.HeartbeatInterval))
	}
}

// handleHeartbeat records a member's heartbeat. It reports whether the member was alive before and is alive now.
func (m *members) handleHeartbeat(now Time, rank int, h Heartbeat) (wasAlive, isAlive bool) {
	if rank < 0 || rank >= len(m.byRank) || rank == m.cfg.Rank {
		return false, false
	}
	peer := &m.byRank[rank]
	wasAlive = peer.isAlive
	if h.IsLeaving {
		m.markDead(peer)
		return wasAlive, false
	}
	if !peer.isAlive {
		m.liveCount++
	}
	if !peer.isAlive || peer.zone != h.Zone {
		m.epoch++
	}
	peer.isAlive, peer.hasHeartbeat, peer.lastSeen = true, true, now
	peer.zone, peer.weight, peer.utilization = h.Zone, h.Weight, h.Utilization
	return wasAlive, true
}

func (m *members) markDead(peer *member) {
	if peer.isAlive {
		peer.isAlive = false
		m.liveCount--
		m.epoch++
	}
}

// applyWeights starts an update round, which ranks the workers by the current weights.
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

// resumeAfterPause detects that the host was stopped for so long that other members may have expired this scheduler.
// Missing heartbeats during the pause are no evidence against the others: each gets until the next heartbeats are due.
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

// expire marks members dead whose last heartbeat is older than Settings.ExpireAfter, and returns their ranks.
func (m *members) expire(now Time) (dead []int) {
	if !m.cfg.UsesHeartbeats {
		return nil
	}
	for i := range m.byRank {
		if peer := &m.byRank[i]; i != m.cfg.Rank && peer.isAlive && now-peer.lastSeen > m.cfg.ExpireAfter {
			m.markDead(peer)
			dead = append(dead, i)
		}
	}
	return dead
}

// adjustWeight moves this member's weight towards the value at which its utilization equals the mean.
func (m *members) adjustWeight(utilization float64) {
	self := m.self()
	self.utilization = utilization
	mean := m.meanUtilization()
	if mean < idleUtilization {
		self.weight = quantizeWeight(self.weight * (1 - 2*maxWeightStep))
		return
	}
	difference := math.Log(max(utilization, idleUtilization/2) / mean)
	if math.Abs(difference) < weightTolerance {
		return
	}
	step := min(max(weightGain*difference, -maxWeightStep), maxWeightStep)
	self.weight = quantizeWeight(self.weight + step)
}

// quantizeWeight rounds a weight to a value that a heartbeat can encode, so that all members compute the same ranking.
func quantizeWeight(weight float64) float64 {
	return math.Round(min(max(weight, -maxLogWeight), maxLogWeight)*weightStepsPerUnit) / weightStepsPerUnit
}

// meanUtilization is the mean over the live members that have sent a heartbeat.
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
