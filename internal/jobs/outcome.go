package jobs

import "strings"

// RequestEnded reports the outcome of the job's request in the core. after is how long the core asked to wait after a
// refusal; f describes a failure and may be nil.
func (m *Machine) RequestEnded(now Time, j *Job, outcome Outcome, after Time, f *Failure) {
	if !j.isOpen {
		return
	}
	q := m.queues[j.Queue]
	fetch, countsAsTable := m.closeRequest(j)
	switch isPastDeadline := j.deadline > 0 && now >= j.deadline; {
	case outcome == OutcomeServed:
		m.finish(now, j, Served, Done)
		if countsAsTable {
			q.tableWindow = min(q.tableWindow+1, m.settings.TableWindow)
		}
	case outcome == OutcomeFailed:
		m.runFailed(now, j, f)
	case m.draining && !m.isExporting:
		m.finish(now, j, j.unrunState(), ShutDown)
	case isPastDeadline || j.ExpiresAt > 0 && now >= j.ExpiresAt:
		m.finish(now, j, j.unrunState(), Expired)
	default:
		// The job never ran, so it returns to the front of its queue. It is not opened again at once, since the same
		// refusal would follow.
		m.armExpiry(j)
		j.State, j.StateSince = Enqueued, now
		m.enqueued++
		q.addFirst(j)
		q.notBefore = now + min(max(after, minRefusalDelay), Second)
		m.timers.set(&q.resumeTimer, q.notBefore)
		if countsAsTable {
			q.tableWindow = max(1, q.tableWindow/2)
		}
	}
	if fetch != nil {
		m.matchFetch(now, fetch)
	}
	if q.usesTableWorkers {
		m.openRequests(now, q)
	}
}

// minRefusalDelay is the least time for which a queue opens no request after the core refused one of its jobs.
const minRefusalDelay = 10 * Millisecond

// unrunState is the final state of a job that has no run in progress.
func (j *Job) unrunState() State {
	if j.mayHaveRun {
		return Failed
	}
	return Refused
}

// closeRequest removes the job's request from the counts and from its lists. It returns the FETCH that the request was
// bound to, and whether it was opened for the table workers.
func (m *Machine) closeRequest(j *Job) (fetch *Fetch, countsAsTable bool) {
	q := m.queues[j.Queue]
	if j.isOpen = false; j.State != Working {
		q.openCount--
		m.enqueued--
	}
	j.unlink()
	if countsAsTable = j.countsAsTable; countsAsTable {
		j.countsAsTable = false
		q.tableOpen--
	}
	if fetch = j.fetch; fetch != nil {
		j.fetch, fetch.job = nil, nil
	}
	m.setNextStep(j, 0)
	j.Worker, j.isRemote, j.isOrphan = "", false, false
	return fetch, countsAsTable
}

// runFailed handles the end of a run that may have started: the job is retried only where its class permits it and its
// retry allows it.
func (m *Machine) runFailed(now Time, j *Job, f *Failure) {
	m.totals.FailedRuns++
	j.mayHaveRun = true
	j.Failures++
	if f == nil {
		f = &Failure{Type: "Lost", Message: "the try ended without a report"}
	}
	f.At = now
	j.Failure = f.Truncate()
	switch {
	case j.deadline > 0 && now >= j.deadline:
		m.finish(now, j, Failed, DeadlinePassed)
	case j.Retry < 0:
		m.finish(now, j, Failed, Discarded)
	case !m.settings.IsRepeatable[j.Class]:
		m.finish(now, j, Dead, MayHaveRun)
	case m.draining && !m.isExporting:
		m.finish(now, j, Failed, ShutDown)
	case j.Failures > j.Retry:
		m.finish(now, j, Dead, RetriesExhausted)
	case m.retries.count >= m.settings.MaxRetries:
		m.finish(now, j, Dead, RetriesFull)
	default:
		j.State, j.StateSince = Retrying, now
		m.retries.add(j)
		m.armExpiry(j)
		m.setNextStep(j, now+m.backoff(int(j.Failures)-1))
	}
}

// backoff is the public Faktory server's delay before a retry, count⁴ + 15 + rand(30)·(count + 1) seconds, where count
// is the number of retries so far.
func (m *Machine) backoff(count int) Time {
	c := Time(min(count, 50))
	return (c*c*c*c+15)*Second + Time(m.rng.IntN(30))*(c+1)*Second
}

// endUnheld ends a job that no worker holds.
func (m *Machine) endUnheld(now Time, j *Job, why Reason) { m.terminate(now, j, j.unrunState(), why) }

// terminate removes a job from its list, cancels its request in the core, if any, and ends it. A job that a worker
// holds ends as Failed.
func (m *Machine) terminate(now Time, j *Job, state State, why Reason) {
	if j.State.IsFinal() {
		return
	}
	if j.State == Working {
		j.mayHaveRun, state = true, Failed
	}
	fetch := m.detach(j)
	m.finish(now, j, state, why)
	if fetch != nil {
		m.matchFetch(now, fetch)
	}
}

// detach removes a job from its list and cancels its request in the core, if any. It returns the FETCH that the request was
// bound to.
func (m *Machine) detach(j *Job) (fetch *Fetch) {
	switch {
	case j.isOpen:
		fetch, _ = m.closeRequest(j)
		m.actions.CancelRequest(j)
	case j.State == Enqueued:
		j.unlink()
		m.queues[j.Queue].backlog--
		m.enqueued--
	default:
		j.unlink()
	}
	return fetch
}

// finish moves a held job to its one final state.
func (m *Machine) finish(now Time, j *Job, state State, why Reason) {
	m.uncountHeld(j)
	m.setExpiry(j, 0)
	m.setNextStep(j, 0)
	if state == Served || state == Refused {
		m.releaseLock(j)
	}
	m.meanEndInterval += (float64(min(now-m.lastEndAt, 60*Second)) - m.meanEndInterval) / 32
	m.lastEndAt = now
	j.State, j.Reason, j.StateSince = state, why, now
	switch state {
	case Served:
		m.totals.Served++
	case Refused:
		m.totals.Refused++
	case Failed:
		m.totals.Failed++
	case Dead:
		m.totals.Dead++
	}
	m.actions.JobEnded(j)
	if state != Dead {
		j.Payload = ""
		// ID, Type and Queue are substrings of the payload; clones let it be freed.
		j.ID, j.Type, j.Queue = strings.Clone(j.ID), strings.Clone(j.Type), strings.Clone(j.Queue)
		j.Size = int32(endedOverheadBytes + len(j.ID) + len(j.Type) + len(j.Result))
	}
	m.keepEnded(j)
}

// keepEnded adds a job in a final state to those that are kept, and evicts the oldest ones above the limits.
func (m *Machine) keepEnded(j *Job) {
	if j.State == Dead {
		m.dead.add(j)
		m.evictOldest(&m.dead, m.settings.MaxDead, m.settings.MaxDeadBytes, &m.totals.DeadEvicted)
		return
	}
	m.ended.add(j)
	m.evictOldest(&m.ended, m.settings.MaxEnded, m.settings.MaxEndedBytes, &m.totals.EndedEvicted)
}

// endedOverheadBytes is the size that counts for an ended job beyond its texts.
const endedOverheadBytes = 512

// evictOldest removes the oldest jobs of a list beyond its limits, and counts them in evicted.
func (m *Machine) evictOldest(l *list, maxCount, maxBytes int, evicted *uint64) {
	for l.count > maxCount || l.bytes > maxBytes && l.count > 0 {
		m.remove(l.first)
		*evicted++
	}
}

// remove deletes an ended or dead job.
func (m *Machine) remove(j *Job) {
	j.unlink()
	if m.jobs[j.ID] == j {
		delete(m.jobs, j.ID)
	}
	if l := j.lock; l != nil {
		l.job = &Job{} // the lock stays until its time is over, without keeping the job in memory
	}
}

// Drain begins the shutdown: new jobs are rejected and all jobs that no worker holds are ended, over several calls of
// ProcessDue. Jobs that workers hold run on.
func (m *Machine) Drain() {
	m.draining = true
	m.clearReason = ShutDown
}

// Flush ends all held jobs, those with workers too, and removes dead and ended ones. Later reports on them are ignored.
func (m *Machine) Flush() {
	if !m.draining {
		m.clearReason = Flushed
	}
}

// IsClearing reports whether a Flush or Drain is still in progress.
func (m *Machine) IsClearing() bool { return m.clearReason != "" }

// clearSome does a part of a Flush or Drain and returns what is left of the budget.
func (m *Machine) clearSome(now Time, budget int) (left int) {
	if m.clearReason == "" {
		return budget
	}
	for ; budget > 0; budget-- {
		j := m.nextToClear()
		if j == nil {
			m.clearReason = ""
			for _, q := range m.queueOrder {
				q.paused = q.paused && m.draining
			}
			return budget
		}
		if j.State.IsFinal() {
			m.remove(j)
		} else {
			m.endUnheld(now, j, m.clearReason)
		}
	}
	return 0
}

// nextToClear returns the next job that a Flush or Drain has to end or remove; nil: none is left.
func (m *Machine) nextToClear() *Job {
	for _, l := range []*list{&m.scheduled, &m.retries} {
		if l.first != nil {
			return l.first
		}
	}
	for _, q := range m.queueOrder {
		if j := q.head(); j != nil {
			return j
		}
		if q.unbound.first != nil {
			return q.unbound.first
		}
		if q.bound.first != nil {
			return q.bound.first
		}
	}
	if m.clearReason != Flushed {
		return nil
	}
	for _, l := range []*list{&m.working, &m.dead, &m.ended} {
		if l.first != nil {
			return l.first
		}
	}
	return nil
}
