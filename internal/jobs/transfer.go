package jobs

// A rolling restart passes all jobs from one process to its successor. The predecessor exports them, the successor imports
// them, and each job has one owner at any time: the predecessor until Export has returned it, the successor from then on.
// A job that a worker holds is exported too, but its run ends in the predecessor, which exports it again with the outcome.
// The successor counts it as remote until then.

// Record is a job that is passed to another process.
type Record struct {
	Job
	MayHaveRun  bool
	DeadlineAt  Time // when the client stops waiting; 0: never
	NextStepAt  Time // of a scheduled or retrying job its next step, of a working one the end of its reservation
	UniqueUntil Time // when the lock ends that it holds; 0: it holds none
}

// Shift adds the difference between two processes' clocks to all times of the record.
func (r *Record) Shift(by Time) {
	times := []*Time{&r.NotBefore, &r.StateSince, &r.DeadlineAt, &r.NextStepAt, &r.UniqueUntil}
	if r.Failure != nil {
		times = append(times, &r.Failure.At)
	}
	if r.Options != nil {
		times = append(times, &r.ExpiresAt)
	}
	for _, t := range times {
		if *t != 0 {
			*t += by
		}
	}
}

// End makes the record one of a job that has ended, if it is not that already: refused if it never ran, else failed.
func (r *Record) End(why Reason) {
	if r.State.IsFinal() {
		return
	}
	if r.MayHaveRun || r.State == Working {
		r.State = Failed
	} else {
		r.State = Refused
	}
	r.Reason, r.Payload = why, ""
}

// BeginExport ends admission: from now on new jobs are rejected and no request is opened. The jobs leave with Export.
func (m *Machine) BeginExport() { m.draining, m.isExporting = true, true }

// AbortExport ends the jobs that have not been exported, as Drain does.
func (m *Machine) AbortExport() {
	m.isExporting = false
	m.Drain()
}

// Export returns the next jobs that are due to the successor, up to a number of jobs and about as many bytes of payload, and
// forgets those that no worker holds. The result is empty when nothing is due at the moment.
func (m *Machine) Export(now Time, maxJobs, maxBytes int) (records []Record) {
	for size := 0; len(records) < maxJobs && size < maxBytes; {
		j := m.nextToExport()
		if j == nil {
			break
		}
		size += int(j.Size)
		records = append(records, m.export(now, j))
	}
	return records
}

// nextToExport returns the next job that the successor does not have; nil: there is none. A job that a worker holds counts
// as had once it has been exported.
func (m *Machine) nextToExport() *Job {
	if m.clearReason != "" {
		return nil
	}
	for _, l := range []*list{&m.ended, &m.dead, &m.working, &m.scheduled, &m.retries} {
		if l.first != nil {
			return l.first
		}
	}
	for _, q := range m.queueOrder {
		for _, l := range []*list{&q.bound, &q.unbound} {
			if l.first != nil {
				return l.first
			}
		}
		if j := q.head(); j != nil {
			return j
		}
	}
	return nil
}

func (m *Machine) export(now Time, j *Job) Record {
	if j.State == Working {
		j.unlink()
		m.exportedWorking.add(j)
		return m.recordOf(j)
	}
	record := m.recordOf(j)
	fetch := m.detach(j)
	m.forget(j)
	if fetch != nil {
		m.matchFetch(now, fetch)
	}
	return record
}

// recordOf returns a copy of a job without what ties it to this machine.
func (m *Machine) recordOf(j *Job) Record {
	r := Record{Job: *j, MayHaveRun: j.mayHaveRun, DeadlineAt: j.deadline, NextStepAt: j.reservedUntil}
	if j.stepTimer != nil {
		r.NextStepAt = j.stepTimer.at
	}
	if l := j.lock; l != nil && m.locks[l.key] == l {
		r.UniqueUntil = l.timer.at
	}
	r.jobLinks = jobLinks{}
	return r
}

// forget removes a job that is in no list any more, without an end.
func (m *Machine) forget(j *Job) {
	if !j.State.IsFinal() {
		m.uncountHeld(j)
	}
	m.setExpiry(j, 0)
	m.setNextStep(j, 0)
	m.releaseLock(j)
	delete(m.jobs, j.ID)
}

// ForgetExported cancels the requests of the jobs that workers hold, and forgets these jobs: their workers report to the
// successor from now on.
func (m *Machine) ForgetExported() {
	for j := m.exportedWorking.first; j != nil; j = m.exportedWorking.first {
		m.closeRequest(j)
		m.actions.CancelRequest(j)
		m.forget(j)
	}
}

// Import takes over a job of the predecessor. It replaces a remote job, whose run has ended there. A job that is owned here
// already stays as it is, and the result is false.
func (m *Machine) Import(now Time, r Record) bool {
	known := m.jobs[r.ID]
	if known != nil {
		if !known.isRemote {
			return false
		}
		known.unlink()
		m.forget(known)
	}
	j := &r.Job
	j.mayHaveRun, j.deadline = r.MayHaveRun, r.DeadlineAt
	if j.Options == nil {
		j.Options = &noOptions
	}
	m.jobs[j.ID] = j
	if r.UniqueUntil > now && m.locks[j.Fingerprint] == nil {
		m.lockUntil(j, r.UniqueUntil)
	}
	if j.State.IsFinal() {
		m.keepEnded(j)
		return true
	}
	q := m.findOrCreateQueue(j.Queue)
	if q == nil { // the predecessor had room for it under the same limit
		q = m.addQueue(j.Queue)
	}
	m.countHeld(j, q)
	switch j.State {
	case Working:
		j.isOpen, j.isRemote, j.reservedUntil = true, true, r.NextStepAt
		m.working.add(j)
	case Scheduled:
		m.importWaiting(j, &m.scheduled, r.NextStepAt)
	case Retrying:
		m.importWaiting(j, &m.retries, r.NextStepAt)
	default:
		m.armExpiry(j)
		m.enqueued++
		if known != nil { // a job that came back unrun is the next of its queue
			q.addFirst(j)
		} else {
			q.add(j)
		}
		m.openRequests(now, q)
	}
	return true
}

// importWaiting adds a job to the set of those that wait for a time.
func (m *Machine) importWaiting(j *Job, set *list, until Time) {
	m.armExpiry(j)
	set.add(j)
	m.setNextStep(j, until)
}

// PredecessorEnded reports that nothing more comes from the predecessor. The remote jobs are orphans from now on: their
// workers report to this process, until the end of their reservations or of their clients' time.
func (m *Machine) PredecessorEnded(now Time) {
	for _, l := range []*list{&m.working, &m.exportedWorking} {
		for j := l.first; j != nil; j = j.next {
			if !j.isRemote {
				continue
			}
			j.isRemote, j.isOrphan = false, true
			until := j.reservedUntil
			if j.deadline > 0 {
				until = min(until, j.deadline)
			}
			m.setNextStep(j, max(now, until))
		}
	}
}

// IsRemote reports whether a worker holds the job and reports to the predecessor.
func (j *Job) IsRemote() bool { return j.isRemote }

// IsOrphanOf reports whether the worker holds the job, which it has fetched from a predecessor that has ended.
func (j *Job) IsOrphanOf(worker string) bool { return j.isOrphan && j.Worker == worker }
