package faktory

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/tidwall/gjson"

	"cobaltflow/internal/core"
	"cobaltflow/internal/jobs"
	"cobaltflow/rules"
)

// The commands of clients and workers; those of operators are in operate.go.

// take has the machine take a job, and puts its verdict into words.
func (f *Front) pushJob(j *jobs.Job) error {
	if f.core.HasRequest(j.ID) && f.jobs.Find(j.ID) == nil {
		return fmt.Errorf("jid %s is in use", j.ID)
	}
	v := f.jobs.Push(f.loop.Now(), j)
	switch {
	case v.Accepted:
		return nil
	case v.Existing != nil:
		// Pushed again, in flight or lately ended: what was taken stands, and nothing runs twice.
		if s := v.Existing.State; s == jobs.Refused || s == jobs.Failed || s == jobs.Dead {
			return fmt.Errorf("job %s has ended: %s", j.ID, s)
		}
		return nil
	case v.NotUnique:
		return errNotUniqueJob
	}
	after := v.RetryAfter
	if v.Rejected == jobs.ShutDown {
		after = 2 * core.Second // a client may look for the next process then
	}
	why := string(v.Rejected) + " is reached"
	if v.Rejected == jobs.ShutDown {
		why = "the program ends"
	}
	return fmt.Errorf("refused, %s, return in %.3f s", why, float64(after)/float64(core.Second))
}

var errNotUniqueJob = errors.New("NOTUNIQUE Job not unique")

// failureOfPush is the error reply to a PUSH. NOTUNIQUE stands in the place of ERR, as clients look for it.
func pushErrorReply(err error) []byte {
	if errors.Is(err, errNotUniqueJob) {
		return []byte("-" + errNotUniqueJob.Error() + "\r\n")
	}
	return errorReply(err.Error())
}

func (f *Front) push(s *session, q *parsedCommand) {
	if q.job == nil && q.err == nil {
		f.parsePayload(s, q)
	}
	if q.err == nil {
		q.err = f.pushJob(q.job)
	}
	if q.err != nil {
		s.reply(pushErrorReply(q.err))
		return
	}
	s.reply(replyOK)
}

// bulkPush is a PUSHB that is under way: a part of it is taken in each turn, so that it holds up nobody.
type bulkPush struct {
	remaining  []bulkJob
	errorsByID map[string]string // jid to what is wrong
}

func (f *Front) pushBulk(s *session, q *parsedCommand) {
	if q.bulk == nil && q.err == nil {
		f.parsePayload(s, q)
	}
	if q.err != nil {
		s.reply(errorReply(q.err.Error()))
		return
	}
	s.isBlocked = true
	s.bulkPush = &bulkPush{remaining: q.bulk, errorsByID: map[string]string{}}
	f.pushNextJobs(s)
}

func (f *Front) pushNextJobs(s *session) {
	b := s.bulkPush
	if s.Ended {
		return // nobody hears of the rest, which was not taken
	}
	for n := 0; n < maxBulkJobsPerTurn && len(b.remaining) > 0; n++ {
		p := &b.remaining[0]
		if p.err == nil {
			p.err = f.pushJob(p.job)
		}
		if p.err != nil {
			b.errorsByID[p.jid] = p.err.Error()
		}
		b.remaining[0] = bulkJob{}
		b.remaining = b.remaining[1:]
	}
	if len(b.remaining) > 0 {
		f.loop.Post(func() { f.pushNextJobs(s) })
		return
	}
	s.bulkPush = nil
	text, _ := json.Marshal(b.errorsByID)
	s.finishCommand(bulkReply(text))
}

// fetch gives the worker an attempt that is pending for it, now or within the time of a FETCH.
func (f *Front) fetch(s *session, q *parsedCommand) {
	w := s.worker
	if w == nil {
		s.reply(errorReply("FETCH is for workers: HELLO had no wid"))
		return
	}
	if string(q.arg) != s.lastFetchArg || s.queues == nil {
		s.lastFetchArg, s.queues = string(q.arg), strings.Fields(string(q.arg))
		if len(s.queues) == 0 {
			s.queues = []string{f.conf.Faktory.Queue}
		}
		for _, name := range s.queues {
			if !isValidQueueName(name) {
				s.reply(errorReplyf("unusable queue name %.32q", name))
				s.queues = nil
				return
			}
		}
	}
	if w.draining {
		// It has said that it takes nothing new; what still waits for it goes back unrun.
		f.returnPending(w)
		s.reply(replyNull)
		return
	}
	s.isBlocked = true
	if f.deliverPending(w, s) {
		return
	}
	for _, name := range s.queues {
		if f.jobs.EnsureQueue(name) {
			f.joinPool(w, name)
		}
	}
	w.waitingSessions = append(w.waitingSessions, s)
	if !f.jobs.AddFetch(f.loop.Now(), &s.fetch, w.wid, s.queues) {
		w.removeWaiting(s)
		f.rejected[string(jobs.LimitQueues)]++
		s.finishCommand(errorReplyf("refused, %s is reached, return in 1.000 s", jobs.LimitQueues))
		return
	}
	f.closeUnusedPools()
	f.newFetches = append(f.newFetches, s)
}

// patient gives the FETCHes of a turn that found nothing in it their time.
func (f *Front) startFetchTimers() {
	for _, s := range f.newFetches {
		if w := s.worker; s.isBlocked && s.fetchTimer == nil && s.fetch.IsWaiting() && !s.Ended {
			s.fetchTimer = f.loop.At(f.loop.Now()+fetchTimeout, func() {
				s.fetchTimer = nil
				w.removeWaiting(s)
				f.jobs.CancelFetch(&s.fetch)
				s.finishCommand(replyNull)
			})
		}
	}
	clear(f.newFetches)
	f.newFetches = f.newFetches[:0]
}

// held finds the attempt that a worker reports on, and the object that it sent; nil: its time was over, or it came
// before a restart.
func (f *Front) reportedAttempt(s *session, verb string, arg []byte) (*core.Attempt, gjson.Result) {
	if !gjson.ValidBytes(arg) {
		s.reply(errorReplyf("malformed %s: not an object of JSON", verb))
		return nil, gjson.Result{}
	}
	r := gjson.ParseBytes(arg)
	jid := r.Get("jid")
	if jid.Type != gjson.String || jid.Str == "" {
		s.reply(errorReplyf("malformed %s: jid: missing", verb))
		return nil, r
	}
	if s.worker == nil {
		s.reply(errorReplyf("%s is for workers: HELLO had no wid", verb))
		return nil, r
	}
	s.reply(replyOK)
	p := s.worker.fetched[jid.Str]
	if p != nil {
		delete(s.worker.fetched, jid.Str)
	}
	return p, r
}

func (f *Front) ack(s *session, q *parsedCommand) {
	p, r := f.reportedAttempt(s, "ACK", q.arg)
	if p == nil {
		return
	}
	var result []byte // a text as it reads, anything else as it was written
	if v := r.Get("result"); v.Type == gjson.String {
		result = []byte(v.Str)
	} else if v.Exists() {
		result = []byte(v.Raw)
	}
	f.core.AttemptEnded(p.Ref, rules.OK, result, s.worker.load(1))
}

func (f *Front) fail(s *session, q *parsedCommand) {
	p, r := f.reportedAttempt(s, "FAIL", q.arg)
	if p == nil {
		return
	}
	if y, ours := p.Request.Client.(*jobRequest); ours {
		y.failure = &jobs.Failure{Type: r.Get("errtype").String(), Message: r.Get("message").String()}
		r.Get("backtrace").ForEach(func(_, line gjson.Result) bool {
			y.failure.Backtrace = append(y.failure.Backtrace, line.String())
			return len(y.failure.Backtrace) < jobs.MaxBacktraceLines
		})
	}
	f.core.AttemptEnded(p.Ref, rules.Error, nil, s.worker.load(1))
}

// beat takes a worker's sign of life, and tells it where it is to go quiet or to end.
func (f *Front) beat(s *session, q *parsedCommand) {
	var b struct {
		WID   string `json:"wid"`
		State string `json:"current_state"`
		RSS   int64  `json:"rss_kb"`
	}
	if err := json.Unmarshal(q.arg, &b); err != nil {
		s.reply(errorReply("malformed BEAT"))
		return
	}
	w := s.worker
	if w == nil || b.WID != "" && b.WID != w.wid {
		s.reply(errorReply("BEAT of an unknown worker"))
		return
	}
	switch b.State {
	case "":
	case "quiet", "terminate":
		if w.state = b.State; !w.draining {
			w.draining = true
			f.updatePools(w, rules.Draining)
			f.returnPending(w)
			f.stopFetches(w)
		}
	default:
		s.reply(errorReplyf("unknown state %.32q", b.State))
		return
	}
	if w.rssKB = b.RSS; f.requestedState == "" || f.requestedState == w.state || w.state == "terminate" {
		s.reply(replyOK)
		return
	}
	s.reply(bulkReply([]byte(`{"state":"` + f.requestedState + `"}`)))
}

// stopFetches answers the FETCHes of a worker that wants nothing new.
func (f *Front) stopFetches(w *worker) {
	for len(w.waitingSessions) > 0 {
		s := w.waitingSessions[0]
		w.removeWaiting(s)
		f.loop.CancelTimer(s.fetchTimer)
		s.fetchTimer = nil
		f.jobs.CancelFetch(&s.fetch)
		s.finishCommand(replyNull)
	}
}

// track looks a job up, or takes what its worker tells of it: TRACK GET jid, TRACK SET {...}.
func (f *Front) track(s *session, q *parsedCommand) {
	verb, arg, _ := strings.Cut(string(q.arg), " ")
	switch {
	case verb == "GET" && arg != "":
		text, _ := json.Marshal(f.trackReply(arg))
		s.reply(bulkReply(text))
	case verb == "SET" && arg != "":
		f.trackSet(s, arg)
	default:
		s.reply(errorReply("TRACK takes GET and a jid, or SET and an object"))
	}
}
