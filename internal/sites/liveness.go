package sites

// The requests and responses that the host reports, and the adaptive reply timeout that follows from them.

import "math"

// ReplyExpected records that a request or probe was sent to a worker.
func (m *Machine) ReplyExpected(now Time, worker string) {
	w := m.members[worker]
	if w == nil {
		return
	}
	// A request older than the site's last response says nothing about the site, so a newer one replaces it.
	if w.unansweredSince == 0 || w.unansweredSince <= m.sites[w.Site].lastSeen && now-w.unansweredSince < m.replyTimeout() {
		w.unansweredSince = now
		m.markPending(w)
	}
}

// WorkerResponded records a response of a worker, whatever its content.
func (m *Machine) WorkerResponded(now Time, worker string) {
	w := m.members[worker]
	if w == nil {
		return
	}
	if w.unansweredSince > 0 {
		replyTime := float64(now - w.unansweredSince)
		m.replyCount++
		gain := max(replyTimeGain, 1/m.replyCount)
		m.replyTimeDev += (math.Abs(replyTime-m.meanReplyTime) - m.replyTimeDev) * gain
		m.meanReplyTime += (replyTime - m.meanReplyTime) * gain
	}
	w.unansweredSince, w.connectFailedAt, w.recheckedAt, w.lastSeen = 0, 0, 0, now
	m.sites[w.Site].lastSeen = now
}

// ConnectFailed records that a connection to a worker was refused or could not be established.
func (m *Machine) ConnectFailed(now Time, worker string) {
	if w := m.members[worker]; w != nil && w.connectFailedAt == 0 {
		w.connectFailedAt = now
		if w.unansweredSince == 0 {
			w.unansweredSince = now
		}
		m.markPending(w)
	}
}

// ReplyAbandoned records that the scheduler itself gave up a request to a worker: the missing response is no evidence
// against the worker.
func (m *Machine) ReplyAbandoned(worker string) {
	if w := m.members[worker]; w != nil && w.connectFailedAt == 0 {
		w.unansweredSince = 0
	}
}

// replyTimeout returns the time after which a missing response makes a worker silent.
func (m *Machine) replyTimeout() Time {
	if m.replyCount < 4 {
		return (m.cfg.MinReplyTimeout + m.cfg.MaxReplyTimeout) / 2
	}
	return min(max(m.cfg.MinReplyTimeout, Time(m.meanReplyTime+timeoutDeviations*m.replyTimeDev)), m.cfg.MaxReplyTimeout)
}

// isSilent reports whether a connect failed or a response is missing for longer than replyTimeout.
func (m *Machine) isSilent(now Time, w *member) bool {
	return w.connectFailedAt > 0 || w.unansweredSince > 0 && now-w.unansweredSince > m.replyTimeout()
}
