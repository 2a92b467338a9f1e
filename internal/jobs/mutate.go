package jobs

// Set names a set of jobs that an operator may change.
type Set string

// The sets.
const (
	SetScheduled Set = "scheduled"
	SetRetries   Set = "retries"
	SetDead      Set = "dead"
)

// Command is what MUTATE does to the jobs that it finds.
type Command string

// The commands.
const (
	Kill    Command = "kill"    // to the dead
	Discard Command = "discard" // ended, or forgotten where dead
	Requeue Command = "requeue" // enqueued now
	Clear   Command = "clear"   // discard all
)

// Mutation is an operator's MUTATE, and what became of it.
type Mutation struct {
	Command         Command
	Set             Set
	IDs             []string          // only these; nil: all
	Matches         func(j *Job) bool // only these; nil: all
	Changed         int               // jobs
	Rejected        map[Reason]int    // jobs that were to be requeued and could not be, by why
	RejectedExample map[Reason]string // one id for each of these
}

type runningMutation struct {
	Mutation
	token      uint64
	hasStarted bool
	lastSeq    uint64 // jobs that came into the set later are not looked at
	nextID     int    // of IDs
}

// MaxMutations may be under way at once; one more is not taken.
const MaxMutations = 16

// Mutate begins a mutation. It is done over as many calls of Due as it takes, one after the other, and its end
// is told with Mutated.
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

// mutate does a part of the mutation at the head.
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

func (m *Machine) apply(now Time, r *runningMutation, j *Job) {
	switch {
	case r.Command == Requeue:
		if why := m.requeue(now, j); why != "" {
			r.Rejected[why]++
			r.RejectedExample[why] = j.ID
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

// requeue enqueues a job of a set now. A dead one begins a new life, with all its retries, where its class lets
// it run again: one that may have run and must not twice stays dead.
func (m *Machine) requeue(now Time, j *Job) (barred Reason) {
	if j.State == Dead {
		if j.mayHaveRun && !m.settings.IsRepeatable[j.Class] {
			return MayHaveRun
		}
		if j.ExpiresAt > 0 && now >= j.ExpiresAt {
			return Expired
		}
		q, full := m.checkLimits(now, j)
		if full != "" {
			return full
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
