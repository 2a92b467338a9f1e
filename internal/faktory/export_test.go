package faktory

import (
	"fmt"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/core"
)

// ExpireForTest ends a job's reservation now, within the present turn of the loop.
func (f *Front) ExpireForTest(jid string) {
	if j := f.jobs.Find(jid); j != nil {
		host{f}.ExpireReservation(j)
	}
}

// PushForTest pushes a job without a connection.
func (f *Front) PushForTest(payload string) error {
	j, err := f.parseJob([]byte(payload), "here")
	if err != nil {
		return err
	}
	return f.pushJob(j)
}

// DeadForTest returns the number of dead jobs.
func (f *Front) DeadForTest() int { return f.jobs.Stats().Dead }

// FillForTest schedules n jobs without a connection.
func (f *Front) FillForTest(n int) {
	for i := range n {
		j, err := f.parseJob(fmt.Appendf(nil, `{"jid":"dead-%07d","jobtype":"move","queue":"q","args":[%d]}`, i, i), "here")
		if err != nil {
			panic(err)
		}
		if j.NotBefore = f.loop.Now() + core.Time(1<<50); !f.jobs.Push(f.loop.Now(), j).Accepted {
			panic("not taken")
		}
	}
}

// Waiting returns the number of waiting FETCHes. It must be called on the loop.
func (f *Front) Waiting() (n int) {
	for _, w := range f.workers {
		n += len(w.waitingSessions)
	}
	return n
}

// ReplaceListener sets the listener that Close closes to the result of replace. It is called on the loop.
func (f *Front) ReplaceListener(replace func(netpoll.Listener) netpoll.Listener) {
	f.Listener = replace(f.Listener)
}

// Successors returns the number of processes that wait for a handover. It must be called on the loop.
func (f *Front) Successors() int { return len(f.successors) }

// Pending returns the number of attempts that wait for a worker's FETCH. It must be called on the loop.
func (f *Front) Pending(wid string) int { return len(f.workers[wid].pending) }

// Sweep runs one more sweep at once. It is called on the loop.
func (f *Front) Sweep() { f.sweep() }

// QueuedBytes returns the most bytes that a session's client has not taken. It is called on the loop.
func (f *Front) QueuedBytes() (most int64) {
	f.sessions.Each(func(_ core.Ref, s *session) { most = max(most, s.Link.QueuedBytes()) })
	return most
}
