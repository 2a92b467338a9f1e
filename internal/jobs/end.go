package jobs

import "strings"

// Ended tells how the job's request in the core ended. after is when the core wants to be asked again, of a refusal;
// f what was told of a failure, which may be nil.
func (m *Machine) RequestEnded(now Time, j *Job, end Outcome, after Time, f *Failure) {
	if !j.isOpen {
		return
	}
	q := m.queues[j.Queue]
	asked, loose := m.closeRequest(j)
	switch over := j.deadline > 0 && now >= j.deadline; {
	case end == OutcomeServed:
		m.finish(now, j, Served, Done)
		if loose {
			q.tableWindow = min(q.tableWindow+1, m.settings.TableWindow)
		}
	case end == OutcomeFailed:
		m.runFailed(now, j, f)
	case m.draining:
		m.finish(now, j, j.unrunState(), ShutDown)
	case over || j.ExpiresAt > 0 && now >= j.ExpiresAt:
		m.finish(now, j, j.unrunState(), Expired)
	default:
		// It surely never ran, so it stands first in its queue again. It is not let in again at once: whoever
		// turned it away would do so again.
		m.armExpiry(j)
		j.State, j.StateSince = Enqueued, now
		m.enqueued++
		q.addFirst(j)
		q.notBefore = now + min(max(after, minRefusalDelay), Second)
		m.timers.set(&q.resumeTimer, q.notBefore)
		if loose {
			q.tableWindow = max(1, q.tableWindow/2)
		}
	}
	if asked != nil {
		m.matchFetch(now, asked)
	}
	if q.usesTableWorkers {
		m.openRequests(now, q)
	}
}

// refusedWait is the least time for which a queue lets nothing in after the core refused one of its jobs.
const minRefusalDelay = 10 * Millisecond

// unrun is the final state of a job of which no try runs.
func (j *Job) unrunState() State {
	if j.mayHaveRun {
		return Failed
	}
	return Refused
}

// shut takes the job's request out of the counts.
func (m *Machine) closeRequest(j *Job) (asked *Fetch, loose bool) {
	q := m.queues[j.Queue]
	if j.isOpen = false; j.State != Working {
		q.openCount--
		m.enqueued--
	}
	j.unlink()
	if loose = j.countsAsTable; loose {
		j.countsAsTable = false
		q.tableOpen--
	}
	if asked = j.fetch; asked != nil {
		j.fetch, asked.job = nil, nil
	}
	m.setNextStep(j, 0)
	j.Worker = ""
	return asked, loose
}

// failed decides on a try that may have run: only where the class permits it and the job asks for it, there
// is another.
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
	case m.draining:
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

// backoff is the public server's wait before a retry, count⁴ + 15 + rand(30)·(count + 1) seconds, for the number
// of retries so far.
func (m *Machine) backoff(count int) Time {
	c := Time(min(count, 50))
	return (c*c*c*c+15)*Second + Time(m.rng.IntN(30))*(c+1)*Second
}

// giveUp ends a job that no worker holds.
func (m *Machine) endUnheld(now Time, j *Job, why Reason) { m.terminate(now, j, j.unrunState(), why) }

// drop takes a job that no worker holds out of wherever it is, and ends it.
func (m *Machine) terminate(now Time, j *Job, state State, why Reason) {
	var asked *Fetch
	switch {
	case j.State.IsFinal():
		return
	case j.isOpen:
		working := j.State == Working
		if asked, _ = m.closeRequest(j); working {
			j.mayHaveRun, state = true, Failed
		}
		m.actions.CancelRequest(j)
	case j.State == Enqueued:
		j.unlink()
		m.queues[j.Queue].backlog--
		m.enqueued--
	default:
		j.unlink()
	}
	m.finish(now, j, state, why)
	if asked != nil {
		m.matchFetch(now, asked)
	}
}

// finish gives a held job its one final state.
func (m *Machine) finish(now Time, j *Job, state State, why Reason) {
	m.held--
	m.heldBytes -= int(j.Size)
	m.queues[j.Queue].heldCount--
	c := m.clients[j.Client]
	c.bytes -= int(j.Size)
	if c.jobs--; c.jobs == 0 {
		delete(m.clients, j.Client)
	}
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
	if state == Dead {
		m.dead.add(j)
		m.evictOldest(&m.dead, m.settings.MaxDead, m.settings.MaxDeadBytes, &m.totals.DeadEvicted)
		return
	}
	j.Payload = ""
	// The names are parts of the payload, which is not kept for them.
	j.ID, j.Type, j.Queue = strings.Clone(j.ID), strings.Clone(j.Type), strings.Clone(j.Queue)
	j.Size = int32(endedOverheadBytes + len(j.ID) + len(j.Type) + len(j.Result))
	m.ended.add(j)
	m.evictOldest(&m.ended, m.settings.MaxEnded, m.settings.MaxEndedBytes, &m.totals.EndedEvicted)
}

// endedSize is what is reckoned for an ended job beyond its texts.
const endedOverheadBytes = 512

// trim forgets the oldest of a set beyond its bounds, and counts them.
func (m *Machine) evictOldest(l *list, most, bytes int, forgotten *uint64) {
	for l.count > most || l.bytes > bytes && l.count > 0 {
		m.remove(l.first)
		*forgotten++
	}
}

// forget lets go of an ended or dead job.
func (m *Machine) remove(j *Job) {
	j.unlink()
	if m.jobs[j.ID] == j {
		delete(m.jobs, j.ID)
	}
	if l := j.lock; l != nil {
		l.job = &Job{} // the lock stands for its time, the job need not
	}
}

// Drain begins the end: nothing new is taken, and all that no worker holds is ended, over as many calls of Due
// as it takes. What a worker holds is waited for.
func (m *Machine) Drain() {
	m.draining = true
	m.clearReason = ShutDown
}

// Clear ends all that is held, with workers too, and forgets what is dead or ended. Whoever still runs a job
// reports to nobody.
func (m *Machine) Flush() {
	if !m.draining {
		m.clearReason = Flushed
	}
}

// Clearing tells whether a Clear or Drain is not done yet.
func (m *Machine) IsClearing() bool { return m.clearReason != "" }

// clear does a part of what Drain or Clear asked for.
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
