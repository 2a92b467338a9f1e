package faktory

import (
	"net/url"

	"cobaltflow/internal/core"
	"cobaltflow/internal/jobs"
)

// try is one request of a pushed job in the core, and the client of it.
type try struct {
	front   *Front
	job     *jobs.Job
	t       *core.Request
	failure *jobs.Failure // what was told of it
}

// host carries out what the jobs' machine asks for.
type host struct{ f *Front }

// forever is for a try of a job whose pusher waits without end: its reservation ends it before.
const forever = 400 * 24 * 3600 * core.Second

// Open implements jobs.Actions.
func (h host) Open(j *jobs.Job, worker string) {
	f := h.f
	t := &core.Request{ID: j.ID, Deadline: j.Deadline(), Slots: j.Slots, Hint: j.Hint, Pool: f.pool(j.Queue), AtMostOnce: true,
		Job: core.Job{Class: int(j.Class), Tenant: int(j.Tenant), Target: f.target(j), Key: j.Key}}
	if f.conf.Faktory.UsesTableWorkers(j.Queue) {
		t.Job.Body = argsOf(j)
	}
	if worker != "" {
		t.FetchingWorker = workerPrefix + worker
	}
	if t.Deadline == 0 {
		t.Deadline = f.loop.Now() + forever
	}
	y := &try{front: f, job: j, t: t}
	t.Client = y
	f.tries[j] = y
	if !f.core.Accept(t) {
		// The other front has a request under the same id in the core: it goes first.
		delete(f.tries, j)
		f.loop.Post(func() { f.jobs.Ended(f.loop.Now(), j, jobs.EndRefused, core.Second/10, nil) })
	}
}

// target is what a table worker is asked for.
func (f *Front) target(j *jobs.Job) string {
	target := "/" + f.conf.Names.Classes[j.Class]
	if j.Key != "" {
		target += "/" + url.PathEscape(j.Key)
	}
	return target
}

// Withdraw implements jobs.Actions.
func (h host) Withdraw(j *jobs.Job) {
	if y := h.f.tries[j]; y != nil {
		delete(h.f.tries, j)
		h.f.core.ClientDisconnected(y.t)
	}
}

// Expire implements jobs.Actions.
func (h host) Expire(j *jobs.Job) {
	if y := h.f.tries[j]; y != nil {
		y.failure = &jobs.Failure{Type: "ReservationExpired", Message: "worker " + j.Worker + " did not report in time"}
		h.f.core.TimeOutAttempts(y.t)
	}
}

// Ended implements jobs.Actions.
func (h host) Ended(j *jobs.Job) {
	if j.Reason == jobs.Done {
		return
	}
	h.f.log.Debug("faktory: job ended", "jid", j.ID, "state", j.State.String(), "reason", string(j.Reason), "failures", j.Failures)
}

// Answer implements core.UserAgent. It never comes after a Withdraw: what was cancelled is not answered.
func (y *try) Answer(_ *core.Request, a core.Answer) {
	f, now := y.front, y.front.loop.Now()
	delete(f.tries, y.job)
	switch a.Kind {
	case core.Served:
		y.job.Result = string(a.Result)
		f.jobs.Ended(now, y.job, jobs.EndServed, 0, nil)
	case core.Refused:
		f.jobs.Ended(now, y.job, jobs.EndRefused, a.RetryAfter, nil)
	default:
		f.jobs.Ended(now, y.job, jobs.EndFailed, 0, y.failure)
	}
}

// Released implements core.UserAgent: the job's text is its own.
func (y *try) Released(*core.Request) {}

// Placed implements core.Placed: a table worker has the job from here on; one that fetches only with its FETCH.
func (y *try) AttemptSent(t *core.Request, p *core.Attempt) {
	if _, waits := p.TransportState.(*attemptState); !waits {
		y.front.jobs.Given(y.front.loop.Now(), y.job, p.Worker, nil)
	}
}

// failed notes what is known of an attempt that failed.
func (f *Front) failed(p *core.Attempt, kind, message string) {
	if y, ours := p.Request.Client.(*try); ours {
		y.failure = &jobs.Failure{Type: kind, Message: message}
	}
}

// argsOf finds the args within a payload, for a table worker's body.
func argsOf(j *jobs.Job) []byte { return []byte(j.Payload[j.ArgsAt : j.ArgsAt+j.ArgsLen]) }
