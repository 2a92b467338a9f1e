package faktory

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"
	"unicode/utf8"

	"cobaltflow/internal/core"
)

// Job is the part of the Faktory job payload that is of use here.
type Job struct {
	JID     string          `json:"jid"`
	Jobtype string          `json:"jobtype"`
	Args    json.RawMessage `json:"args"`
	Queue   string          `json:"queue,omitempty"`
	At      string          `json:"at,omitempty"`
	Custom  Custom          `json:"custom"`

	raw   []byte
	class int
}

// Custom holds what a job may say beyond the public payload.
type Custom struct {
	TimeLeftMS *int64  `json:"time_left_ms,omitempty"` // for how long the pusher waits
	Key        string  `json:"key,omitempty"`          // what the job concerns
	Slots      float64 `json:"slots,omitempty"`
}

const (
	longestID    = 128
	longestLeft  = 24 * 3600 * 1000
	stateWaiting = "enqueued"
	stateWorking = "working"
	stateServed  = "served"
	stateRefused = "refused"
	stateFailed  = "failed"
)

// parseJob reads a pushed job; the text is copied, since the job outlives the command.
func (f *Front) parseJob(arg []byte) (*Job, error) {
	j := &Job{raw: append([]byte(nil), arg...)}
	if err := json.Unmarshal(j.raw, j); err != nil {
		return nil, Fault("malformed job: " + err.Error())
	}
	if len(j.JID) < 8 || len(j.JID) > longestID || strings.ContainsFunc(j.JID, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`,"/?#%`, r)
	}) {
		return nil, Fault("a job has a jid of 8 to 128 plain characters")
	}
	if j.class = f.conf.JobClass(j.Jobtype); j.class < 0 {
		return nil, Fault("no class for jobtype " + j.Jobtype)
	}
	if len(j.Args) == 0 || j.Args[0] != '[' {
		return nil, Fault("a job has an array of args")
	}
	if len(j.Args) > 64<<10 {
		return nil, Fault("args too large")
	}
	if j.At != "" {
		at, err := time.Parse(time.RFC3339Nano, j.At)
		if err != nil {
			return nil, Fault("malformed at")
		}
		if time.Until(at) > 0 {
			return nil, Fault("jobs for a later time are not taken")
		}
	}
	if left := j.Custom.TimeLeftMS; left != nil && (*left <= 0 || *left > longestLeft) {
		return nil, Fault("custom.time_left_ms is unusable")
	}
	if j.Custom.Slots < 0 || j.Custom.Slots > 1e6 {
		return nil, Fault("custom.slots is unusable")
	}
	if j.Queue == "" {
		j.Queue = f.conf.Faktory.Queue
	}
	return j, nil
}

// transaction makes the core's side of a pushed job.
func (f *Front) transaction(j *Job) *core.Transaction {
	left := f.core.Settings().Classes[j.class].Deadline
	if j.Custom.TimeLeftMS != nil {
		left = *j.Custom.TimeLeftMS * core.Millisecond
	}
	target := "/" + f.conf.Names.Classes[j.class]
	if j.Custom.Key != "" {
		target += "/" + url.PathEscape(j.Custom.Key)
	}
	return &core.Transaction{ID: j.JID, Deadline: f.loop.Now() + left, Slots: j.Custom.Slots,
		Work: core.Work{Class: j.class, Target: target, Key: j.Custom.Key, Body: j.Args, Native: j}}
}

// payload is what a worker's FETCH is given: a pushed job as it came, any other transaction as a job
// whose one argument tells of the request.
func (f *Front) payload(t *core.Transaction) []byte {
	if j, ok := t.Work.Native.(*Job); ok {
		return j.raw
	}
	request := map[string]string{"target": t.Work.Target}
	if utf8.Valid(t.Work.Body) {
		request["body"] = string(t.Work.Body)
	} else {
		b, _ := json.Marshal(t.Work.Body) // base64, in quotes
		request["body_base64"] = string(b[1 : len(b)-1])
	}
	left := max(1, t.Left(f.loop.Now())/core.Millisecond)
	b, err := json.Marshal(map[string]any{
		"jid": t.ID, "jobtype": f.conf.Names.Classes[t.Work.Class], "queue": f.conf.Faktory.Queue,
		"args": []any{request}, "retry": 0, "reserve_for": (left + 999) / 1000,
		"created_at": time.Now().UTC().Format(time.RFC3339Nano),
		"custom":     map[string]any{"time_left_ms": left},
	})
	if err != nil {
		f.log.Error("faktory: a job could not be written", "error", err)
	}
	return b
}

func (f *Front) queueOf(t *core.Transaction) string {
	if j, ok := t.Work.Native.(*Job); ok {
		return j.Queue
	}
	return f.conf.Faktory.Queue
}

// pushed is a pushed job from its PUSH on, until it is forgotten some time after its end.
type pushed struct {
	front  *Front
	job    *Job
	state  string
	result []byte
	at     time.Time
	waits  *session // whose PUSH has no reply yet
	soon   *core.Deadline
}

// Placed implements core.Placed: a worker was chosen, so the job is taken.
func (p *pushed) Placed(*core.Transaction) { p.reply(replyOK) }

// Answer implements core.UserAgent.
func (p *pushed) Answer(_ *core.Transaction, a core.Answer) {
	f := p.front
	p.at = time.Now()
	switch a.Kind {
	case core.Served:
		p.state, p.result = stateServed, append([]byte(nil), a.Result...)
		p.reply(replyOK)
	case core.Unavailable:
		p.state = stateRefused
		if p.waits != nil {
			// It was never taken, so nothing of it is kept: it may be pushed again under the same jid.
			delete(f.jobs, p.job.JID)
			p.reply(failure(fmt.Sprintf("refused, return in %.3f s", float64(a.RetryAfter)/float64(core.Second))))
			return
		}
	default:
		p.state = stateFailed
		p.reply(failure("failed"))
	}
	f.keep(p)
}

// Released implements core.UserAgent: the job's text is its own.
func (p *pushed) Released(*core.Transaction) {}

// reply answers the PUSH, once.
func (p *pushed) reply(message []byte) {
	s := p.waits
	if p.waits = nil; s == nil {
		return
	}
	p.front.loop.Drop(p.soon)
	s.reply(message)
	s.Release()
}

// keep remembers an ended job; above the most that are kept the oldest is forgotten.
func (f *Front) keep(p *pushed) {
	f.ended = append(f.ended, p)
	for len(f.ended) > f.conf.Faktory.KeptJobs {
		if old := f.ended[0]; f.jobs[old.job.JID] == old {
			delete(f.jobs, old.job.JID)
		}
		f.ended[0] = nil
		f.ended = f.ended[1:]
	}
}
