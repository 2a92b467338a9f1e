package jobs

// Set names a set of jobs that an operator may change.
type Set string

// The sets.
const (
	SetScheduled Set = "scheduled"
	SetRetries   Set = "retries"
	SetDead      Set = "dead"
)

// Command is the operation of a MUTATE on the jobs that match.
type Command string

// The commands.
const (
	Kill    Command = "kill"    // moved to the dead
	Discard Command = "discard" // ended or, if dead, removed
	Requeue Command = "requeue" // enqueued now
	Clear   Command = "clear"   // as Discard, for all jobs of the set
)

// Mutation is an operator's MUTATE and its result.
type Mutation struct {
	Command         Command
	Set             Set
	IDs             []string          // nil: all jobs of the set
	Matches         func(j *Job) bool // nil: all jobs
	Changed         int               // number of jobs
	Rejected        map[Reason]int    // jobs that could not be requeued, by reason
	RejectedExample map[Reason]string // one id for each reason
}

// runningMutation is a mutation that is queued or in progress.
type runningMutation struct {
	Mutation
	token      uint64
	hasStarted bool
	lastSeq    uint64 // jobs that were added to the set later are skipped
	nextID     int    // index into IDs
}

// MaxMutations is the number of mutations that may be in progress at once.
const MaxMutations = 16

// Mutate starts a mutation; false: MaxMutations are in progress. Mutations run one after the other, each over several
// calls of ProcessDue, and Actions.MutationDone reports the end.
func (m *Machine) Mutate(mu Mutation, token uint64) bool {
	if len(m.mutations) >= MaxMutations {
		return false
	}
	mu.Rejected, mu.RejectedExample = map[Reason]int{}, map[Reason]string{}
	m.mutations = append(m.mutations, &runningMutation{Mutation: mu, token: token})
	return true
}

func (m *Machine) listOf(s Set) *list {
	switch s {
	case SetScheduled:
		return &m.scheduled
	case SetRetries:
		return &m.retries
	}
	return &m.dead
}

// runMutations does a part of the oldest mutation, budget jobs in all.
func (m *Machine) runMutations(now Time, budget int) {
	for ; budget > 0 && len(m.mutations) > 0; budget-- {
		r := m.mutations[0]
		l := m.listOf(r.Set)
		if !r.hasStarted {
			r.hasStarted, r.lastSeq, l.cursor = true, l.lastSeq, l.first
		}
		var j *Job
		if r.IDs != nil {
			for r.nextID < len(r.IDs) && j == nil {
				if j = m.jobs[r.IDs[r.nextID]]; j != nil && j.list != l {
					j = nil
				}
				r.nextID++
			}
		} else if j = l.cursor; j != nil && j.seq > r.lastSeq {
			j = nil
		} else if j != nil {
			l.cursor = j.next
		}
		if j == nil {
			l.cursor = nil
			m.mutations = m.mutations[1:]
			m.actions.MutationDone(r.token, r.Mutation)
			continue
		}
		if r.Matches == nil || r.Matches(j) {
			m.apply(now, r, j)
		}
	}
}

// apply runs the mutation's command on one job.
func (m *Machine) apply(now Time, r *runningMutation, j *Job) {
	switch {
	case r.Command == Requeue:
		if reason := m.requeue(now, j); reason != "" {
			r.Rejected[reason]++
			r.RejectedExample[reason] = j.ID
			return
		}
	case j.State == Dead && r.Command == Kill:
		return
	case j.State == Dead:
		m.remove(j)
	case r.Command == Kill:
		m.terminate(now, j, Dead, ByOperator)
	default:
		m.endUnheld(now, j, ByOperator)
	}
	r.Changed++
}

// requeue enqueues a job of a set now. A dead job starts over with all its retries, unless it may have run and its
// class forbids a second run; then it stays dead.
func (m *Machine) requeue(now Time, j *Job) (rejected Reason) {
	if j.State == Dead {
		if j.mayHaveRun && !m.settings.IsRepeatable[j.Class] {
			return MayHaveRun
		}
		if j.ExpiresAt > 0 && now >= j.ExpiresAt {
			return Expired
		}
		q, rejected := m.checkLimits(now, j)
		if rejected != "" {
			return rejected
		}
		j.unlink()
		j.NotBefore, j.Failures, j.Reason = 0, 0, ""
		m.addHeld(now, j, q)
	} else {
		j.unlink()
		m.setNextStep(j, 0)
	}
	m.enqueue(now, j)
	return ""
}
