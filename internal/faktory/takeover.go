package faktory

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"cobaltflow/internal/core"
	"cobaltflow/internal/jobs"
)

// The successor's side of a handover. A process that finds another owner of the jobs waits at its socket, and does not accept
// connections before it has the owner's jobs and socket. If the owner ends without a handover, one of those that wait becomes
// the owner. It can't know then which jobs the last one had, and rejects new ones until no client repeats a push any more.

const (
	// takeOverPause is the time between two attempts to reach the owner or to become it.
	takeOverPause = 5 * time.Millisecond
	// registrationTimeout bounds the wait of a start until the owner has registered this process, so that a handover goes to it
	// from then on: the owner may be held up.
	registrationTimeout = time.Second
	// listenRetryInterval is the time between two attempts to listen at the front's address after a handover.
	listenRetryInterval = core.Second / 10
)

// predecessor is the process that hands its jobs over, from its first message to its end.
type predecessor struct {
	conn       *handoverConn
	shift      core.Time // from its clock to this process's
	classes    []string  // as its records number them
	isComplete bool      // all jobs are here
	reports    map[uint64]*forwardedReport
	lastToken  uint64
}

// awaitRegistration waits until the owner has registered this process, or this process has become the owner.
func (f *Front) awaitRegistration() {
	timeout := time.NewTimer(registrationTimeout)
	defer timeout.Stop()
	select {
	case <-f.registered:
	case <-timeout.C:
		f.log.Warn("faktory: the process that owns the jobs does not answer")
	}
}

// takeOver waits until this process is the owner of the jobs. It runs on a goroutine of its own.
func (f *Front) takeOver() {
	address := ownerAddress(f.conf)
	isUncertain := false // the last owner has ended without a handover
	hasWarned := false
	for ; !f.hasStopped(); time.Sleep(takeOverPause) {
		conn, err := dialOwner(address)
		if err == nil {
			if f.followOwner(conn) {
				return
			}
			isUncertain = true
			continue
		}
		socket, listenErr := listenAsOwner(address)
		if listenErr == nil {
			f.setRegistered()
			f.loop.Post(func() { f.becomeOwner(socket, isUncertain) })
			return
		}
		if isExpected := errors.Is(err, unix.ECONNREFUSED) && errors.Is(listenErr, unix.EADDRINUSE); !isExpected && !hasWarned {
			f.log.Warn("faktory: can't reach the process that owns the jobs, retrying", "error", err, "listen_error", listenErr)
			hasWarned = true
		}
	}
}

// followOwner waits for the owner's handover, and returns whether it came. After a handover it goes on with what the owner
// still sends, until that process ends.
func (f *Front) followOwner(conn *handoverConn) (isComplete bool) {
	defer conn.close()
	if !f.setOwnerConn(conn) {
		return false
	}
	p := &predecessor{conn: conn, reports: map[uint64]*forwardedReport{}}
	conn.send(outgoingHandover{message: &handoverMessage{Hello: &handoverHello{Version: handoverVersion}}})
	for {
		m, err := conn.receive()
		if err != nil {
			f.loop.Post(func() { f.predecessorEnded(p) })
			return isComplete
		}
		if m.Registered {
			f.setRegistered()
		}
		if !m.Complete {
			f.loop.Post(func() { f.handleOwnerMessage(p, m) })
			continue
		}
		socket, err := conn.takeSocket()
		if err != nil {
			f.log.Warn("faktory: handover failed", "error", err)
			return isComplete
		}
		isComplete = true
		f.loop.Post(func() {
			p.isComplete = true
			f.becomeOwner(socket, false)
		})
	}
}

// setOwnerConn records the connection to the owner, which stopWaiting closes. It returns false if this process ends.
func (f *Front) setOwnerConn(conn *handoverConn) bool {
	f.waitMu.Lock()
	defer f.waitMu.Unlock()
	f.ownerConn = conn
	return !f.isWaitStopped
}

func (f *Front) hasStopped() bool {
	f.waitMu.Lock()
	defer f.waitMu.Unlock()
	return f.isWaitStopped
}

// stopWaiting ends the wait for a handover, as this process ends. After a handover it has no effect.
func (f *Front) stopWaiting() {
	f.waitMu.Lock()
	defer f.waitMu.Unlock()
	f.isWaitStopped = true
	if f.ownerConn != nil && f.predecessor == nil {
		f.ownerConn.close()
	}
}

func (f *Front) handleOwnerMessage(p *predecessor, m *handoverMessage) {
	now := f.loop.Now()
	switch {
	case m.Begin != nil:
		f.predecessor = p
		p.shift, p.classes = f.clockOffset()-m.Begin.ClockOffset, m.Begin.Classes
		if m.Begin.UncertainUntil > 0 {
			f.uncertainUntil = max(f.uncertainUntil, m.Begin.UncertainUntil+p.shift)
		}
		for _, queue := range m.Begin.PausedQueues {
			f.jobs.PauseQueue(now, queue)
		}
		p.conn.send(outgoingHandover{message: &handoverMessage{Accepted: true}})
	case m.Outcome != nil:
		f.handleReportOutcome(p, m.Outcome)
	}
	for i := range m.Jobs {
		record := &m.Jobs[i]
		record.Shift(p.shift)
		f.renumberClass(p, record)
		if !f.jobs.Import(now, *record) {
			f.log.Error("faktory: the predecessor has handed over a job that is here already", "jid", record.ID)
		}
	}
}

// renumberClass gives a job the number of its class in this process's settings. A job whose class is not in them any more ends.
func (f *Front) renumberClass(p *predecessor, record *jobs.Record) {
	name := ""
	if int(record.Class) < len(p.classes) {
		name = p.classes[record.Class]
	}
	class := f.conf.Names.Class(name)
	if class < 0 {
		f.log.Warn("faktory: job of a class that is not in the settings any more ended", "jid", record.ID, "class", name)
		record.End(jobs.ShutDown)
		class = 0
	}
	record.Class = int32(class)
}

// predecessorEnded handles the end of the connection to the predecessor.
func (f *Front) predecessorEnded(p *predecessor) {
	if f.predecessor != p {
		return
	}
	f.predecessor = nil
	f.jobs.PredecessorEnded(f.loop.Now())
	f.endForwardedReports(p)
}

// becomeOwner makes this process the owner of the jobs, and accepts connections from now on.
func (f *Front) becomeOwner(socket *net.UnixListener, isUncertain bool) {
	if f.closed {
		socket.Close()
		return
	}
	if isUncertain {
		f.uncertainUntil = f.loop.Now() + f.longestDeadline()
		f.log.Warn("faktory: the process that owned the jobs has ended without a handover, new jobs are rejected for a while",
			"seconds", float64(f.longestDeadline())/float64(core.Second))
	}
	f.own(socket)
	if f.draining {
		f.holdForSuccessor()
	}
	f.listenAfterTakeover()
}

// listenAfterTakeover accepts connections at the front's address, and reports that to the predecessor.
func (f *Front) listenAfterTakeover() {
	if f.closed || f.isListening() {
		return
	}
	if err := f.listen(); err != nil {
		f.log.Error("faktory: can't listen, retrying", "error", err)
		f.loop.At(f.loop.Now()+listenRetryInterval, f.listenAfterTakeover)
		return
	}
	if f.predecessor != nil {
		f.predecessor.conn.send(outgoingHandover{message: &handoverMessage{Listening: true}})
	}
}

// longestDeadline is the longest time for which a client of any class waits for a job, and so may push it again.
func (f *Front) longestDeadline() (longest core.Time) {
	for _, class := range f.conf.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
