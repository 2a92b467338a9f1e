package faktory

import (
	"net/url"

	"cobaltflow/internal/core"
	"cobaltflow/internal/jobs"
)

// try is one request of a pushed job in the core, and the client of it.
type jobRequest struct {
	front   *Front
	job     *jobs.Job
	request *core.Request
	failure *jobs.Failure // what was told of it
}

// host carries out what the jobs' machine asks for.
type host struct{ f *Front }

// forever is for a try of a job whose pusher waits without end: its reservation ends it before.
const unlimitedDeadline = 400 * 24 * 3600 * core.Second

// Open implements jobs.Actions.
func (h host) OpenRequest(j *jobs.Job, worker string) {
	f := h.f
	t := &core.Request{ID: j.ID, Deadline: j.Deadline(), Slots: j.Slots, Hint: j.Hint, Pool: f.poolFor(j.Queue), AtMostOnce: true,
		Job: core.Job{Class: int(j.Class), Tenant: int(j.Tenant), Target: f.targetOf(j), Key: j.Key}}
	if f.conf.Faktory.UsesTableWorkers(j.Queue) {
		t.Job.Body = argsOf(j)
	}
	if worker != "" {
		t.FetchingWorker = workerPrefix + worker
	}
	if t.Deadline == 0 {
		t.Deadline = f.loop.Now() + unlimitedDeadline
	}
	y := &jobRequest{front: f, job: j, request: t}
	t.Client = y
	f.requests[j] = y
	if !f.core.Accept(t) {
		// The other front has a request under the same id in the core: it goes first.
		delete(f.requests, j)
		f.loop.Post(func() { f.jobs.RequestEnded(f.loop.Now(), j, jobs.OutcomeRefused, core.Second/10, nil) })
	}
}

// target is what a table worker is asked for.
func (f *Front) targetOf(j *jobs.Job) string {
	target := "/" + f.conf.Names.Classes[j.Class]
	if j.Key != "" {
		target += "/" + url.PathEscape(j.Key)
	}
	return target
}

// Withdraw implements jobs.Actions.
func (h host) CancelRequest(j *jobs.Job) {
	if y := h.f.requests[j]; y != nil {
		delete(h.f.requests, j)
		h.f.core.ClientDisconnected(y.request)
	}
}

// Expire implements jobs.Actions.
func (h host) ExpireReservation(j *jobs.Job) {
	if y := h.f.requests[j]; y != nil {
		y.failure = &jobs.Failure{Type: "ReservationExpired", Message: "worker " + j.Worker + " did not report in time"}
		h.f.core.TimeOutAttempts(y.request)
	}
}

// Ended implements jobs.Actions.
func (h host) JobEnded(j *jobs.Job) {
	if j.Reason == jobs.Done {
		return
	}
	h.f.log.Debug("faktory: job ended", "jid", j.ID, "state", j.State.String(), "reason", string(j.Reason), "failures", j.Failures)
}

// Answer implements core.UserAgent. It never comes after a Withdraw: what was cancelled is not answered.
func (y *jobRequest) Answer(_ *core.Request, a core.Answer) {
	f, now := y.front, y.front.loop.Now()
	delete(f.requests, y.job)
	switch a.Kind {
	case core.Served:
		y.job.Result = string(a.Result)
		f.jobs.RequestEnded(now, y.job, jobs.OutcomeServed, 0, nil)
	case core.Refused:
		f.jobs.RequestEnded(now, y.job, jobs.OutcomeRefused, a.RetryAfter, nil)
	default:
		f.jobs.RequestEnded(now, y.job, jobs.OutcomeFailed, 0, y.failure)
	}
}

// Released implements core.UserAgent: the job's text is its own.
func (y *jobRequest) Released(*core.Request) {}

// Placed implements core.Placed: a table worker has the job from here on; one that fetches only with its FETCH.
func (y *jobRequest) AttemptSent(t *core.Request, p *core.Attempt) {
	if _, waits := p.TransportState.(*attemptState); !waits {
		y.front.jobs.Started(y.front.loop.Now(), y.job, p.Worker, nil)
	}
}

// failed notes what is known of an attempt that failed.
func (f *Front) recordFailure(p *core.Attempt, kind, message string) {
	if y, ours := p.Request.Client.(*jobRequest); ours {
		y.failure = &jobs.Failure{Type: kind, Message: message}
	}
}

// argsOf finds the args within a payload, for a table worker's body.
func argsOf(j *jobs.Job) []byte { return []byte(j.Payload[j.ArgsOffset : j.ArgsOffset+j.ArgsLen]) }
