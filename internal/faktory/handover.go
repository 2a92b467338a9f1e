package faktory

import (
	"net"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/core"
)

// The owner's side of a handover. Processes that were started later wait at the owner's socket. When this process gets
// SIGTERM, it exports its jobs to the latest of them, with what it knows of ended ones, and then the owner's socket. Pushes
// are rejected meanwhile. The successor accepts connections once it has all; this process goes on with the jobs that
// workers hold and exports each when its run has ended.

// Bounds of one message with jobs.
const (
	maxExportedJobs  = 500
	maxExportedBytes = 1 << 20
)

// handover is a handover in progress, or a complete one whose jobs are not all exported.
type handover struct {
	successor  *handoverConn
	isAccepted bool // the successor goes on until it has all, even if it gets SIGTERM
	isWriting  bool // a batch of jobs is being written; the next one waits for it
	isComplete bool // the successor has the owner's socket
	isEnded    bool // the last message is queued
	// outcomes are due to the successor behind the jobs that they are about.
	outcomes []*reportOutcome
}

// own makes this process the owner of the jobs: it lets later processes wait for a handover.
func (f *Front) own(socket *net.UnixListener) {
	f.ownerSocket = socket
	go f.acceptSuccessors(socket)
}

// acceptSuccessors accepts the connections of processes that wait for a handover, until the socket is closed.
func (f *Front) acceptSuccessors(socket *net.UnixListener) {
	for {
		nc, err := socket.AcceptUnix()
		if err != nil {
			return
		}
		go f.serveSuccessor(nc)
	}
}

// serveSuccessor receives the messages of a process that waits for a handover.
func (f *Front) serveSuccessor(nc *net.UnixConn) {
	c, err := newHandoverConn(nc)
	if err != nil {
		f.log.Warn("faktory: connection to the owner's socket rejected", "error", err)
		return
	}
	defer c.close()
	first, err := c.receive()
	if err != nil || first.Hello == nil || first.Hello.Version != handoverVersion {
		f.log.Warn("faktory: no handover to a process that speaks another version", "error", err)
		return
	}
	f.loop.Post(func() { f.addSuccessor(c) })
	defer f.loop.Post(func() { f.removeSuccessor(c) })
	for {
		m, err := c.receive()
		if err != nil {
			return
		}
		f.loop.Post(func() { f.handleSuccessorMessage(c, m) })
	}
}

func (f *Front) handleSuccessorMessage(c *handoverConn, m *handoverMessage) {
	switch {
	case m.Accepted:
		if h := f.handover; h != nil && h.successor == c {
			h.isAccepted = true
			f.exportJobs()
		}
	case m.Listening:
		f.log.Info("faktory: the successor accepts connections")
		f.closeListener(f.predecessor == nil)
	case m.Report != nil:
		f.handleRemoteReport(c, m.Report)
	}
}

// addSuccessor records a process that waits for a handover, and begins it if this process ends already.
func (f *Front) addSuccessor(c *handoverConn) {
	if f.ownerSocket == nil { // it finds the next owner when it connects again
		c.close()
		return
	}
	f.successors = append(f.successors, c)
	c.send(outgoingHandover{message: &handoverMessage{Registered: true}})
	f.beginHandover()
}

// removeSuccessor handles the end of a waiting process or of a successor.
func (f *Front) removeSuccessor(c *handoverConn) {
	for i, waiting := range f.successors {
		if waiting == c {
			f.successors = append(f.successors[:i], f.successors[i+1:]...)
			break
		}
	}
	if f.handover == nil || f.handover.successor != c || f.handover.isEnded {
		return
	}
	f.log.Warn("faktory: the successor has ended before this process", "complete", f.handover.isComplete)
	f.handover = nil
	f.jobs.AbortExport()
	f.beginHandover()
}

// successorGrace is how long the jobs are held for a successor that is alive and not registered yet.
const successorGrace = core.Second / 2

// endOwnership begins the handover to a successor, or ends the jobs if there is none. A process that waits for a handover
// itself gives that up, unless the handover has begun: then becomeOwner goes on.
func (f *Front) endOwnership(hasSuccessor bool) {
	switch {
	case f.isWaitingForOwner():
		if f.predecessor == nil {
			f.stopWaiting()
		}
	case len(f.successors) > 0:
		f.beginHandover()
	case hasSuccessor && f.ownerSocket != nil:
		f.holdForSuccessor()
	default:
		f.jobs.Drain()
	}
}

// isWaitingForOwner reports whether another process owns the jobs and has not handed them over.
func (f *Front) isWaitingForOwner() bool {
	return isShareable(f.conf) && f.ownerSocket == nil && !f.hasHandedOver()
}

// holdForSuccessor keeps the jobs for a successor that may register within successorGrace, and ends them after that.
func (f *Front) holdForSuccessor() {
	f.jobs.BeginExport()
	f.loop.At(f.loop.Now()+successorGrace, func() {
		if f.handover == nil {
			f.jobs.AbortExport()
		}
	})
}

// beginHandover begins the handover to the latest process that waits for it, if this process ends.
func (f *Front) beginHandover() {
	if !f.draining || f.handover != nil || f.ownerSocket == nil || len(f.successors) == 0 {
		return
	}
	successor := f.successors[len(f.successors)-1]
	f.handover = &handover{successor: successor}
	f.jobs.BeginExport()
	begin := &handoverBegin{ClockOffset: f.clockOffset(), UncertainUntil: f.uncertainUntil, Classes: f.conf.Names.Classes}
	for _, queue := range f.jobs.QueueStats(f.loop.Now()) {
		if queue.Paused {
			begin.PausedQueues = append(begin.PausedQueues, queue.Name)
		}
	}
	successor.send(outgoingHandover{message: &handoverMessage{Begin: begin}})
}

// clockOffset returns the difference from the machine's clock, which all processes read, to the loop's.
func (f *Front) clockOffset() core.Time { return f.loop.Clock() - core.Time(clock.MachineMicros()) }

// exportJobs sends the jobs that the successor does not have yet, a batch at a time, and then the owner's socket.
func (f *Front) exportJobs() {
	h := f.handover
	if h == nil || !h.isAccepted || h.isWriting {
		return
	}
	message := &handoverMessage{Jobs: f.jobs.Export(f.loop.Now(), maxExportedJobs, maxExportedBytes)}
	outgoing := outgoingHandover{message: message}
	if len(message.Jobs) == 0 {
		if h.isComplete {
			h.sendOutcomes()
			if f.closed {
				h.end()
			}
			return
		}
		if f.jobs.IsClearing() {
			return
		}
		socket, err := f.ownerSocket.File()
		if err != nil {
			f.log.Warn("faktory: the owner's socket can't be handed over", "error", err)
			h.successor.close()
			return
		}
		h.isComplete, message.Complete, outgoing.socket = true, true, socket
	}
	h.isWriting = true
	outgoing.done = func(err error) { f.loop.Post(func() { f.jobsWritten(h, err) }) }
	h.successor.send(outgoing)
}

// sendOutcomes sends the outcomes of the reports that came to the successor.
func (h *handover) sendOutcomes() {
	for _, outcome := range h.outcomes {
		h.successor.send(outgoingHandover{message: &handoverMessage{Outcome: outcome}})
	}
	h.outcomes = nil
}

// end closes the connection behind a last message: the successor has all jobs to itself from then on.
func (h *handover) end() {
	if !h.isEnded {
		h.isEnded = true
		h.successor.send(outgoingHandover{message: &handoverMessage{}, done: func(error) { h.successor.close() }})
	}
}

// jobsWritten handles the end of the write of a batch or of the owner's socket. After the latter the processes that still
// wait here connect again, to the new owner.
func (f *Front) jobsWritten(h *handover, err error) {
	if h.isWriting = false; f.handover != h {
		return
	}
	if err != nil {
		h.successor.close()
		return
	}
	if h.isComplete && f.ownerSocket != nil {
		f.log.Info("faktory: jobs handed over to the successor")
		f.closeOwnerSocket()
		for _, waiting := range f.successors {
			if waiting != h.successor {
				waiting.close()
			}
		}
	}
	f.exportJobs()
}

func (f *Front) closeOwnerSocket() {
	if f.ownerSocket != nil {
		f.ownerSocket.Close()
		f.ownerSocket = nil
	}
}

// isHandoverIdle reports whether nothing that is due to the successor is left to be written.
func (f *Front) isHandoverIdle() bool {
	return f.handover == nil || !f.handover.isWriting && f.handover.successor.isIdle()
}

// hasHandedOver reports whether the successor owns the jobs.
func (f *Front) hasHandedOver() bool { return f.handover != nil && f.handover.isComplete }

// CloseListener begins the drain of the listener. After a handover it also ends what this process still does for the jobs.
func (f *Front) CloseListener(hasOneSuccessor bool) {
	f.stopWaiting()
	f.releaseJobs()
	f.closeListener(hasOneSuccessor)
}

func (f *Front) closeListener(hasOneSuccessor bool) {
	if f.DrainingListener != nil {
		f.FrontListener.CloseListener(hasOneSuccessor)
	}
}

// IsListenerClosed reports whether the listener's drain is complete, or the front never listened.
func (f *Front) IsListenerClosed() bool {
	return f.DrainingListener == nil || f.FrontListener.IsListenerClosed()
}

// releaseJobs closes the sessions after a handover and forgets the jobs that workers still hold: these workers report to the
// successor, for which the jobs are orphans once this process has ended.
func (f *Front) releaseJobs() {
	if !f.hasHandedOver() {
		return
	}
	f.sessions.Each(func(_ core.Ref, s *session) { s.refuse() })
	f.jobs.ForgetExported()
}
