package faktory

import (
	"errors"
	"fmt"

	"github.com/tidwall/gjson"

	"cobaltflow/internal/jobs"
	"cobaltflow/rules"
)

// workerReport is a worker's ACK or FAIL.
type workerReport struct {
	jobID   string
	status  rules.Status  // OK or Error
	result  []byte        // of an ACK
	failure *jobs.Failure // of a FAIL
}

// parseReport parses the argument of an ACK or FAIL.
func parseReport(verb string, arg []byte) (*workerReport, error) {
	if !gjson.ValidBytes(arg) {
		return nil, fmt.Errorf("malformed %s: not an object of JSON", verb)
	}
	object := gjson.ParseBytes(arg)
	jid := object.Get("jid")
	if jid.Type != gjson.String || jid.Str == "" {
		return nil, fmt.Errorf("malformed %s: jid: missing", verb)
	}
	if verb == "FAIL" {
		return &workerReport{jobID: jid.Str, status: rules.Error, failure: parseFailure(object)}, nil
	}
	r := &workerReport{jobID: jid.Str, status: rules.OK}
	// A string without its quotes, any other JSON value as it was sent.
	if v := object.Get("result"); v.Type == gjson.String {
		r.result = []byte(v.Str)
	} else if v.Exists() {
		r.result = []byte(v.Raw)
	}
	return r, nil
}

func parseFailure(object gjson.Result) *jobs.Failure {
	failure := &jobs.Failure{Type: object.Get("errtype").String(), Message: object.Get("message").String()}
	object.Get("backtrace").ForEach(func(_, line gjson.Result) bool {
		failure.Backtrace = append(failure.Backtrace, line.String())
		return len(failure.Backtrace) < jobs.MaxBacktraceLines
	})
	return failure
}

// report handles ACK and FAIL. A report that changes nothing is answered with OK as well: the job's time was over, or the
// worker has reported before.
func (f *Front) report(s *session, cmd *parsedCommand) {
	r, err := parseReport(cmd.verb, cmd.arg)
	if err == nil && s.worker == nil {
		err = fmt.Errorf("%s is for workers: HELLO had no wid", cmd.verb)
	}
	if err != nil {
		s.reply(errorReply(err.Error()))
		return
	}
	if !f.endFetched(s.worker, r) && !f.endOrphan(s.worker, r) && f.mayBeRemote(r.jobID) {
		f.forwardReport(s, cmd, r)
		return
	}
	s.reply(replyOK)
}

// endFetched ends the attempt that a worker reports on. It returns false if the worker holds no such job of this process.
func (f *Front) endFetched(w *worker, r *workerReport) bool {
	attempt := w.fetched[r.jobID]
	if attempt == nil {
		return false
	}
	delete(w.fetched, r.jobID)
	if request, isOurs := attempt.Client.(*jobRequest); isOurs && r.failure != nil {
		request.failure = r.failure
	}
	f.core.AttemptEnded(attempt.Ref, r.status, r.result, w.load(1))
	return true
}

// endOrphan ends the run of a job that a worker fetched from a predecessor which has ended.
func (f *Front) endOrphan(w *worker, r *workerReport) bool {
	j := f.jobs.Find(r.jobID)
	if j == nil || !j.IsOrphanOf(w.wid) {
		return false
	}
	if r.status == rules.OK {
		j.Result = string(r.result)
		f.jobs.RequestEnded(f.loop.Now(), j, jobs.OutcomeServed, 0, nil)
	} else {
		f.jobs.RequestEnded(f.loop.Now(), j, jobs.OutcomeFailed, 0, r.failure)
	}
	return true
}

// forwardedReport is a worker's report that the predecessor has to decide on. Its session waits for the reply.
type forwardedReport struct {
	session *session
	worker  *worker
	report  *workerReport
}

// mayBeRemote reports whether a worker may hold a job of the predecessor with this ID: one that it has handed over, or a
// request of its HTTP fronts.
func (f *Front) mayBeRemote(jobID string) bool {
	if f.predecessor == nil {
		return false
	}
	j := f.jobs.Find(jobID)
	return j == nil || j.IsRemote()
}

// forwardReport sends a worker's report to the predecessor. Each session has at most one on its way.
func (f *Front) forwardReport(s *session, cmd *parsedCommand, r *workerReport) {
	s.isBlocked = true
	p := f.predecessor
	p.lastToken++
	p.reports[p.lastToken] = &forwardedReport{session: s, worker: s.worker, report: r}
	p.conn.send(outgoingHandover{message: &handoverMessage{Report: &remoteReport{Token: p.lastToken, Worker: s.worker.wid, Verb: cmd.verb,
		Argument: append([]byte(nil), cmd.arg...)}}})
}

// handleReportOutcome replies to a worker whose report the predecessor has decided on.
func (f *Front) handleReportOutcome(p *predecessor, o *reportOutcome) {
	if forwarded := p.reports[o.Token]; forwarded != nil {
		delete(p.reports, o.Token)
		forwarded.session.finishCommand(replyOK)
	}
}

var errReportAgain = errors.New("refused, the process that had the job has ended, report again")

// endForwardedReports replies to the reports that the predecessor has not decided on before its end.
func (f *Front) endForwardedReports(p *predecessor) {
	for _, forwarded := range p.reports {
		if f.endOrphan(forwarded.worker, forwarded.report) {
			forwarded.session.finishCommand(replyOK)
		} else {
			forwarded.session.finishCommand(errorReply(errReportAgain.Error()))
		}
	}
	p.reports = nil
}

// handleRemoteReport handles a worker's ACK or FAIL that came to the successor.
func (f *Front) handleRemoteReport(c *handoverConn, remote *remoteReport) {
	outcome := &reportOutcome{Token: remote.Token}
	if w := f.workers[remote.Worker]; w != nil {
		if r, err := parseReport(remote.Verb, remote.Argument); err == nil {
			outcome.IsKnown = f.endFetched(w, r)
		}
	}
	if h := f.handover; h != nil && h.successor == c {
		h.outcomes = append(h.outcomes, outcome)
		f.exportJobs()
	}
}
