package sites

// What workers are asked, what they answer, and how long they may take for it.

import "math"

// Asked tells that something goes out to a worker that it has to answer.
func (m *Machine) ReplyExpected(now Time, worker string) {
	w := m.members[worker]
	if w == nil {
		return
	}
	// What was asked before the site was last heard of says nothing of the site; what is asked now may.
	if w.unansweredSince == 0 || w.unansweredSince <= m.sites[w.Site].lastSeen && now-w.unansweredSince < m.replyTimeout() {
		w.unansweredSince = now
		m.markPending(w)
	}
}

// Answered tells of a sign of life, whatever it says.
func (m *Machine) WorkerResponded(now Time, worker string) {
	w := m.members[worker]
	if w == nil {
		return
	}
	if w.unansweredSince > 0 {
		took := float64(now - w.unansweredSince)
		m.replyCount++
		gain := max(replyTimeGain, 1/m.replyCount)
		m.replyTimeDev += (math.Abs(took-m.meanReplyTime) - m.replyTimeDev) * gain
		m.meanReplyTime += (took - m.meanReplyTime) * gain
	}
	w.unansweredSince, w.connectFailedAt, w.recheckedAt, w.lastSeen = 0, 0, 0, now
	m.sites[w.Site].lastSeen = now
}

// Refused tells that a worker's machine turned a connection away, or that none came up.
func (m *Machine) ConnectFailed(now Time, worker string) {
	if w := m.members[worker]; w != nil && w.connectFailedAt == 0 {
		w.connectFailedAt = now
		if w.unansweredSince == 0 {
			w.unansweredSince = now
		}
		m.markPending(w)
	}
}

// Dropped tells that what was asked of a worker is given up by ourselves: that it has no answer proves nothing.
func (m *Machine) ReplyAbandoned(worker string) {
	if w := m.members[worker]; w != nil && w.connectFailedAt == 0 {
		w.unansweredSince = 0
	}
}

// wait is how long a worker may take for an answer.
func (m *Machine) replyTimeout() Time {
	if m.replyCount < 4 {
		return (m.cfg.MinReplyTimeout + m.cfg.MaxReplyTimeout) / 2
	}
	return min(max(m.cfg.MinReplyTimeout, Time(m.meanReplyTime+timeoutDeviations*m.replyTimeDev)), m.cfg.MaxReplyTimeout)
}

// silent tells of a worker that owes an answer for too long.
func (m *Machine) isSilent(now Time, w *member) bool {
	return w.connectFailedAt > 0 || w.unansweredSince > 0 && now-w.unansweredSince > m.replyTimeout()
}
