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
	Wipe    Command = "clear"   // discard all
)

// Mutation is an operator's MUTATE, and what became of it.
type Mutation struct {
	Command Command
	Set     Set
	IDs     []string          // only these; nil: all
	Match   func(j *Job) bool // only these; nil: all
	Changed int               // jobs
	Barred  map[Reason]int    // jobs that were to be requeued and could not be, by why
	Example map[Reason]string // one id for each of these
}

type running struct {
	Mutation
	token uint64
	began bool
	until uint64 // jobs that came into the set later are not looked at
	next  int    // of IDs
}

// MaxMutations may be under way at once; one more is not taken.
const MaxMutations = 16

// Mutate begins a mutation. It is done over as many calls of Due as it takes, one after the other, and its end
// is told with Mutated.
func (m *Machine) Mutate(mu Mutation, token uint64) bool {
	if len(m.mutations) >= MaxMutations {
		return false
	}
	mu.Barred, mu.Example = map[Reason]int{}, map[Reason]string{}
	m.mutations = append(m.mutations, &running{Mutation: mu, token: token})
	return true
}

func (m *Machine) setOf(s Set) *list {
	switch s {
	case SetScheduled:
		return &m.scheduled
	case SetRetries:
		return &m.retries
	}
	return &m.dead
}

// mutate does a part of the mutation at the head.
func (m *Machine) mutate(now Time, budget int) {
	for ; budget > 0 && len(m.mutations) > 0; budget-- {
		r := m.mutations[0]
		l := m.setOf(r.Set)
		if !r.began {
			r.began, r.until, l.cursor = true, l.order, l.first
		}
		var j *Job
		if r.IDs != nil {
			for r.next < len(r.IDs) && j == nil {
				if j = m.jobs[r.IDs[r.next]]; j != nil && j.home != l {
					j = nil
				}
				r.next++
			}
		} else if j = l.cursor; j != nil && j.order > r.until {
			j = nil
		} else if j != nil {
			l.cursor = j.next
		}
		if j == nil {
			l.cursor = nil
			m.mutations = m.mutations[1:]
			m.act.Mutated(r.token, r.Mutation)
			continue
		}
		if r.Match == nil || r.Match(j) {
			m.change(now, r, j)
		}
	}
}

func (m *Machine) change(now Time, r *running, j *Job) {
	switch {
	case r.Command == Requeue:
		if why := m.requeue(now, j); why != "" {
			r.Barred[why]++
			r.Example[why] = j.ID
			return
		}
	case j.State == Dead && r.Command == Kill:
		return
	case j.State == Dead:
		m.forget(j)
	case r.Command == Kill:
		m.drop(now, j, Dead, ByOperator)
	default:
		m.giveUp(now, j, ByOperator)
	}
	r.Changed++
}

// requeue enqueues a job of a set now. A dead one begins a new life, with all its retries, where its class lets
// it run again: one that may have run and must not twice stays dead.
func (m *Machine) requeue(now Time, j *Job) (barred Reason) {
	if j.State == Dead {
		if j.ran && !m.set.Repeatable[j.Class] {
			return MayHaveRun
		}
		if j.ExpiresAt > 0 && now >= j.ExpiresAt {
			return Expired
		}
		q, full := m.room(now, j)
		if full != "" {
			return full
		}
		j.leave()
		j.At, j.Failures, j.Reason = 0, 0, ""
		m.take(now, j, q)
	} else {
		j.leave()
		m.wakeAt(j, 0)
	}
	m.enqueue(now, j)
	return ""
}
