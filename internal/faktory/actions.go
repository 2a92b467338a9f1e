package faktory

import (
	"net/url"

	"cobaltflow/internal/core"
	"cobaltflow/internal/jobs"
)

// jobRequest is one request in the core, for one run of a pushed job, and its client.
type jobRequest struct {
	front   *Front
	job     *jobs.Job
	request *core.Request
	failure *jobs.Failure // as the worker or the front reported it; nil: no report
}

// host implements jobs.Actions.
type host struct{ f *Front }

// unlimitedDeadline is the deadline of a job whose client waits without limit; its reservation ends a run earlier.
const unlimitedDeadline = 400 * 24 * 3600 * core.Second

// OpenRequest implements jobs.Actions.
func (h host) OpenRequest(j *jobs.Job, worker string) {
	f := h.f
	req := &core.Request{ID: j.ID, Deadline: j.Deadline(), Slots: j.Slots, Hint: j.Hint, Pool: f.poolFor(j.Queue), AtMostOnce: true,
		Job: core.Job{Class: int(j.Class), Tenant: int(j.Tenant), Target: f.targetOf(j), Key: j.Key}}
	if f.conf.Faktory.UsesTableWorkers(j.Queue) {
		req.Job.Body = argsOf(j)
	}
	if worker != "" {
		req.FetchingWorker = workerPrefix + worker
	}
	if req.Deadline == 0 {
		req.Deadline = f.loop.Now() + unlimitedDeadline
	}
	r := &jobRequest{front: f, job: j, request: req}
	req.Client = r
	f.requests[j] = r
	if !f.core.Accept(req) {
		// Another front has a request with the same id in the core, which has to end first.
		delete(f.requests, j)
		f.loop.Post(func() { f.jobs.RequestEnded(f.loop.Now(), j, jobs.OutcomeRefused, core.Second/10, nil) })
	}
}

// targetOf is the request target for a table worker.
func (f *Front) targetOf(j *jobs.Job) string {
	target := "/" + f.conf.Names.Classes[j.Class]
	if j.Key != "" {
		target += "/" + url.PathEscape(j.Key)
	}
	return target
}

// CancelRequest implements jobs.Actions.
func (h host) CancelRequest(j *jobs.Job) {
	if r := h.f.requests[j]; r != nil {
		delete(h.f.requests, j)
		h.f.core.ClientDisconnected(r.request)
	}
}

// ExpireReservation implements jobs.Actions.
func (h host) ExpireReservation(j *jobs.Job) {
	if r := h.f.requests[j]; r != nil {
		r.failure = &jobs.Failure{Type: "ReservationExpired", Message: "worker " + j.Worker + " did not report in time"}
		h.f.core.TimeOutAttempts(r.request)
	}
}

// JobEnded implements jobs.Actions.
func (h host) JobEnded(j *jobs.Job) {
	if j.Reason == jobs.Done {
		return
	}
	h.f.log.Debug("faktory: job ended", "jid", j.ID, "state", j.State.String(), "reason", string(j.Reason), "failures", j.Failures)
}

// Answer implements core.Client. It is never called after CancelRequest: a cancelled request gets no answer.
func (r *jobRequest) Answer(_ *core.Request, answer core.Answer) {
	f, now := r.front, r.front.loop.Now()
	delete(f.requests, r.job)
	switch answer.Kind {
	case core.Served:
		r.job.Result = string(answer.Result)
		f.jobs.RequestEnded(now, r.job, jobs.OutcomeServed, 0, nil)
	case core.Refused:
		f.jobs.RequestEnded(now, r.job, jobs.OutcomeRefused, answer.RetryAfter, nil)
	default:
		f.jobs.RequestEnded(now, r.job, jobs.OutcomeFailed, 0, r.failure)
	}
}

// Released implements core.Client. There is no buffer to return: the job owns its payload.
func (r *jobRequest) Released(*core.Request) {}

// AttemptSent implements core.AttemptObserver: a table worker holds the job from here on, a worker that fetches only
// when its FETCH is answered.
func (r *jobRequest) AttemptSent(_ *core.Request, attempt *core.Attempt) {
	if _, isPending := attempt.TransportState.(*attemptState); !isPending {
		r.front.jobs.Started(r.front.loop.Now(), r.job, attempt.Worker, nil)
	}
}

// recordFailure notes why an attempt failed, for the failure that its job keeps.
func (f *Front) recordFailure(attempt *core.Attempt, kind, message string) {
	if r, isOurs := attempt.Client.(*jobRequest); isOurs {
		r.failure = &jobs.Failure{Type: kind, Message: message}
	}
}

// argsOf returns the args of a job's payload, which are the body for a table worker.
func argsOf(j *jobs.Job) []byte { return []byte(j.Payload[j.ArgsOffset : j.ArgsOffset+j.ArgsLen]) }
