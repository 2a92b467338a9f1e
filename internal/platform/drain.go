package platform

import (
	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
	"cobaltflow/rules"
)

// ending is what happens when after SIGTERM, by how soon the platform may kill us.
type shutdownSchedule struct {
	// For acceptOn requests are taken as ever, and connections kept: clients go on using those they have, and where
	// all schedulers of a zone are restarted in turn there may be nobody else yet.
	acceptUntil core.Time
	// With a successor beside us, jobs that come later than takeLast are refused, and the listener is closed at
	// answerBy: the kernel would go on giving us half of all new connections until the kill.
	refuseJobsAfter core.Time
	answerBy        core.Time // what is open is answered then
}

func newShutdownSchedule(classes []rules.Class) shutdownSchedule {
	longest := core.Time(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	if longest == 0 {
		longest = maxCountedDeadline
	}
	answerBy := min(longest, maxCountedDeadline) + killDelay - killMargin
	acceptOn := max(answerBy*11/30, min(newConnectionWindow, answerBy*3/4))
	return shutdownSchedule{acceptUntil: acceptOn, refuseJobsAfter: max(answerBy*17/30, (3*acceptOn+answerBy)/4), answerBy: answerBy}
}

// Stop begins the end after SIGTERM. New connections are taken for as long as the platform's front
// may still send some; then idle ones are closed, all that was taken is answered, and the listener,
// to which the workers call back, stays open until then. done is called when nothing is left.
func (f *Front) Stop(done func()) { f.StopSince(f.loop.Now(), done) }

// StopSince is Stop for a SIGTERM that came at since, not later than now; what is due by then is done at once.
func (f *Front) StopSince(since core.Time, done func()) {
	if f.stoppingSince == 0 {
		f.stoppingSince, f.onStopped = min(since, f.loop.Now()), done
		f.log.Info("stopping", "open", f.core.OpenRequests())
		f.loop.At(f.stoppingSince+f.shutdownTimes.acceptUntil, f.pollShutdown)
		f.loop.At(f.stoppingSince+f.shutdownTimes.answerBy, func() {
			f.core.AbortRequests(func(u core.Client) bool { _, ours := u.(*clientConn); return ours })
		})
	}
}

// AnswersWithin is how long after SIGTERM all that is open is answered at the latest.
func (f *Front) AnswerTimeout() core.Time { return f.shutdownTimes.answerBy }

// HandOver has SIGTERM end the front as soon as may be: a successor serves at the same address. Clients are
// drained at once, jobs that come after takeLast are refused, and the listener closes at answerBy.
func (f *Front) HandOver() {
	f.isHandingOver = true
	f.Drain()
}

// Drain has the clients go elsewhere: the readiness check at their address says no from now on, each
// connection is closed as soon as it holds no job, and the job it holds is answered with Connection: close.
// The workers' call-backs go on. Twice is once.
func (f *Front) Drain() {
	if f.drainingSince == 0 {
		f.drainingSince = f.loop.Now()
		f.log.Info("drain: clients are sent away", "open", f.core.OpenRequests(), "connections", f.clients.Len())
		f.closeIdleClients(f.drainingSince)
	}
}

// Resume takes clients again after a drain; not in a process that its successor has taken over from.
func (f *Front) Resume() {
	if f.drainingSince > 0 && !f.isHandingOver {
		f.drainingSince = 0
		f.log.Info("drain: over, clients are taken again")
	}
}

// letGo closes, while a drain is on, each client's connection that holds nothing: no job, nothing unread,
// nothing to write. A new one is given the moment in which its first request comes with it.
func (f *Front) closeIdleClients(now core.Time) {
	f.clients.Each(func(_ core.Ref, a *clientConn) {
		if !a.isCallback && !a.awaitsFirstRequest(now) {
			a.closeIfIdle(link.Shutdown)
		}
	})
}

// fresh tells of a connection whose first request may still be on its way.
func (a *clientConn) awaitsFirstRequest(now core.Time) bool {
	return a.MessageCount == 0 && now-a.Opened < firstRequestGrace
}

// letGo ends our side of a connection that holds nothing: no job, nothing unread or to write. What arrives between the
// look and the end is never taken. On a connection that has brought nothing yet that would be a first request, whose
// client takes a bare end for a loss: it gets its refusal in advance.
func (a *clientConn) closeIfIdle(reason string) {
	if a.inFlight != nil || a.CloseReason != "" || a.Conn.Reader().Len() > 0 || !a.IsWriterIdle() {
		return
	}
	if a.front.beforeIdleClose != nil {
		a.front.beforeIdleClose()
	}
	if a.MessageCount == 0 {
		a.front.rejectAndClose(a, reason, 503, "this connection ends; try again\n", "Retry-After", "0")
		return
	}
	a.CloseWrite(a.front.loop, reason)
}

// drain looks, from acceptOn after SIGTERM on, whether anything is still owed, and ends the front when nothing is. The
// listener is closed first and all is looked at once more: what was accepted until then is served too.
func (f *Front) pollShutdown() {
	now, owed := f.loop.Now(), 0
	over := now >= f.stoppingSince+f.shutdownTimes.answerBy
	f.clients.Each(func(_ core.Ref, a *clientConn) {
		switch {
		case a.isCallback:
		case a.IsWriteClosed():
			if !over { // else only its peer's end is to come
				owed++
			}
		case a.awaitsFirstRequest(now) && !(f.isHandingOver && over): // its first request may be on its way
			owed++
		default:
			owed++
			a.closeIfIdle(link.Shutdown)
		}
	})
	owed += f.core.OpenRequests() + f.pool.inUse
	owed += int(f.acceptedConns.Load()) - f.clients.Len() // accepted, and not heard of yet
	if owed == 0 && f.isListenerClosed {
		f.log.Info("stopped taking", "foreign_call_backs", f.unknownCallbacks, "passed_on", f.forwardedCallbacks)
		f.clients.Each(func(_ core.Ref, a *clientConn) { a.Close(link.Shutdown) })
		f.pool.close()
		f.watch.stop()
		if f.peers != nil {
			f.peers.close()
		}
		f.loop.At(now+20*core.Millisecond, f.onStopped)
		return
	}
	// With a successor, the listener closes at answerBy whatever is open: what comes later could not end in
	// time. A connection that is closed under a request unread is the client's to send again, to the successor.
	if !f.isListenerClosed && (owed == 0 || f.isHandingOver && over) {
		f.isListenerClosed = true
		f.listener.Close()
	}
	f.loop.At(now+20*core.Millisecond, f.pollShutdown)
}
