package faktory

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"cobaltflow/internal/core"
	"cobaltflow/internal/jobs"
	"cobaltflow/internal/link"
	"cobaltflow/rules"
)

// The commands of clients and workers; operators.go has those of operators.

// pushJob pushes a job into the machine; a rejection becomes the error text of the reply.
func (f *Front) pushJob(j *jobs.Job) error {
	if f.core.HasRequest(j.ID) && f.jobs.Find(j.ID) == nil {
		return fmt.Errorf("jid %s is in use", j.ID)
	}
	if wait := f.uncertainUntil - f.loop.Now(); wait > 0 && f.jobs.Find(j.ID) == nil {
		f.rejected["uncertain"]++
		return fmt.Errorf("refused, a process that may have had this job has ended without a handover, return in %.3f s",
			float64(wait)/float64(core.Second))
	}
	result := f.jobs.Push(f.loop.Now(), j)
	switch {
	case result.Accepted:
		return nil
	case result.Existing != nil:
		// A repeated PUSH of a job that is in flight or has ended lately: only the first one counts, so nothing runs twice.
		if s := result.Existing.State; s == jobs.Refused || s == jobs.Failed || s == jobs.Dead {
			return fmt.Errorf("job %s has ended: %s", j.ID, s)
		}
		return nil
	case result.NotUnique:
		return errNotUniqueJob
	}
	after := result.RetryAfter
	if result.Rejected == jobs.ShutDown {
		after = 2 * core.Second // by then a client may reach the next process
	}
	reason := string(result.Rejected) + " is reached"
	if result.Rejected == jobs.ShutDown {
		reason = "the program ends"
	}
	return fmt.Errorf("refused, %s, return in %.3f s", reason, float64(after)/float64(core.Second))
}

// errHandsOver is the reply to a command about jobs that the successor owns, or is about to own.
var errHandsOver = errors.New("refused, this process hands its jobs over to the next one, connect again")

var errNotUniqueJob = errors.New("NOTUNIQUE Job not unique")

// pushErrorReply is the error reply to a PUSH. NOTUNIQUE replaces ERR, as Faktory's clients expect.
func pushErrorReply(err error) []byte {
	if errors.Is(err, errNotUniqueJob) {
		return []byte("-" + errNotUniqueJob.Error() + "\r\n")
	}
	return errorReply(err.Error())
}

func (f *Front) push(s *session, cmd *parsedCommand) {
	if cmd.job == nil && cmd.err == nil {
		f.parsePayload(s, cmd)
	}
	if cmd.err == nil {
		cmd.err = f.pushJob(cmd.job)
	}
	if cmd.err != nil {
		s.reply(pushErrorReply(cmd.err))
		return
	}
	s.reply(replyOK)
}

// bulkPush is a PUSHB in progress. Each turn pushes a part of it, so that other sessions are not delayed.
type bulkPush struct {
	remaining  []bulkJob
	errorsByID map[string]string // error texts by jid
}

func (f *Front) pushBulk(s *session, cmd *parsedCommand) {
	if cmd.bulk == nil && cmd.err == nil {
		f.parsePayload(s, cmd)
	}
	if cmd.err != nil {
		s.reply(errorReply(cmd.err.Error()))
		return
	}
	s.isBlocked = true
	s.bulkPush, s.bulkBytes = &bulkPush{remaining: cmd.bulk, errorsByID: map[string]string{}}, cmd.size
	s.countKept()
	f.pushNextJobs(s)
}

// pushNextJobs pushes up to maxBulkJobsPerTurn jobs, and replies after the last.
func (f *Front) pushNextJobs(s *session) {
	b := s.bulkPush
	if s.Ended || b == nil {
		return // the rest is not pushed, since no reply can report it
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
	s.bulkPush, s.bulkBytes = nil, 0
	text, _ := json.Marshal(b.errorsByID)
	s.finishCommand(bulkReply(text))
}

// fetch handles FETCH: it answers with a pending attempt of the worker, or waits up to fetchTimeout for one.
func (f *Front) fetch(s *session, cmd *parsedCommand) {
	if s.IsPeerGone() {
		s.Close(link.PeerClosed) // nobody would run the job
		return
	}
	w := s.worker
	if w == nil {
		s.reply(errorReply("FETCH is for workers: HELLO had no wid"))
		return
	}
	if string(cmd.arg) != s.lastFetchArg || s.queues == nil {
		s.lastFetchArg, s.queues = string(cmd.arg), strings.Fields(string(cmd.arg))
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
		// The worker takes no new jobs; its pending attempts go back unrun.
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

// startFetchTimers starts the timeout of each FETCH of this turn that was not answered within the turn.
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

// beat handles BEAT, a worker's heartbeat. While the front drains, the reply requests the worker to go quiet or to
// terminate.
func (f *Front) beat(s *session, cmd *parsedCommand) {
	var b struct {
		WID   string `json:"wid"`
		State string `json:"current_state"`
		RSS   int64  `json:"rss_kb"`
	}
	if err := json.Unmarshal(cmd.arg, &b); err != nil {
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

// stopFetches answers the waiting FETCHes of a worker that takes no new jobs with null.
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

// track handles TRACK GET jid, the state of a job, and TRACK SET {...}, a worker's progress report.
func (f *Front) track(s *session, cmd *parsedCommand) {
	verb, arg, _ := strings.Cut(string(cmd.arg), " ")
	switch {
	case verb == "GET" && arg != "" && f.handover != nil && f.jobs.Find(arg) == nil:
		s.reply(errorReply(errHandsOver.Error()))
	case verb == "GET" && arg != "":
		text, _ := json.Marshal(f.trackReply(arg))
		s.reply(bulkReply(text))
	case verb == "SET" && arg != "":
		f.trackSet(s, arg)
	default:
		s.reply(errorReply("TRACK takes GET and a jid, or SET and an object"))
	}
}
