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
func (f *Front) take(j *jobs.Job) error {
	if f.core.HasRequest(j.ID) && f.jobs.Find(j.ID) == nil {
		return fmt.Errorf("jid %s is in use", j.ID)
	}
	v := f.jobs.Push(f.loop.Now(), j)
	switch {
	case v.Taken:
		return nil
	case v.Known != nil:
		// Pushed again, in flight or lately ended: what was taken stands, and nothing runs twice.
		if s := v.Known.State; s == jobs.Refused || s == jobs.Failed || s == jobs.Dead {
			return fmt.Errorf("job %s has ended: %s", j.ID, s)
		}
		return nil
	case v.Unique:
		return errNotUnique
	}
	after := v.After
	if v.Full == jobs.ShutDown {
		after = 2 * core.Second // a client may look for the next process then
	}
	why := string(v.Full) + " is reached"
	if v.Full == jobs.ShutDown {
		why = "the program ends"
	}
	return fmt.Errorf("refused, %s, return in %.3f s", why, float64(after)/float64(core.Second))
}

var errNotUnique = errors.New("NOTUNIQUE Job not unique")

// failureOfPush is the error reply to a PUSH. NOTUNIQUE stands in the place of ERR, as clients look for it.
func failureOfPush(err error) []byte {
	if errors.Is(err, errNotUnique) {
		return []byte("-" + errNotUnique.Error() + "\r\n")
	}
	return failure(err.Error())
}

func (f *Front) push(s *session, q *request) {
	if q.job == nil && q.bad == nil {
		f.prepare(s, q)
	}
	if q.bad == nil {
		q.bad = f.take(q.job)
	}
	if q.bad != nil {
		s.reply(failureOfPush(q.bad))
		return
	}
	s.reply(replyOK)
}

// bulkPush is a PUSHB that is under way: a part of it is taken in each turn, so that it holds up nobody.
type bulkPush struct {
	many []pushed
	bad  map[string]string // jid to what is wrong
}

func (f *Front) pushBulk(s *session, q *request) {
	if q.many == nil && q.bad == nil {
		f.prepare(s, q)
	}
	if q.bad != nil {
		s.reply(failure(q.bad.Error()))
		return
	}
	s.blocked = true
	s.bulk = &bulkPush{many: q.many, bad: map[string]string{}}
	f.pushMore(s)
}

func (f *Front) pushMore(s *session) {
	b := s.bulk
	if s.Ended {
		return // nobody hears of the rest, which was not taken
	}
	for n := 0; n < bulkAtOnce && len(b.many) > 0; n++ {
		p := &b.many[0]
		if p.bad == nil {
			p.bad = f.take(p.job)
		}
		if p.bad != nil {
			b.bad[p.jid] = p.bad.Error()
		}
		b.many[0] = pushed{}
		b.many = b.many[1:]
	}
	if len(b.many) > 0 {
		f.loop.Post(func() { f.pushMore(s) })
		return
	}
	s.bulk = nil
	text, _ := json.Marshal(b.bad)
	s.resume(bulk(text))
}

// fetch gives the worker an attempt that is pending for it, now or within the time of a FETCH.
func (f *Front) fetch(s *session, q *request) {
	w := s.worker
	if w == nil {
		s.reply(failure("FETCH is for workers: HELLO had no wid"))
		return
	}
	if string(q.arg) != s.asked || s.queues == nil {
		s.asked, s.queues = string(q.arg), strings.Fields(string(q.arg))
		if len(s.queues) == 0 {
			s.queues = []string{f.conf.Faktory.Queue}
		}
		for _, name := range s.queues {
			if !goodQueue(name) {
				s.reply(fault("unusable queue name %.32q", name))
				s.queues = nil
				return
			}
		}
	}
	if w.draining {
		// It has said that it takes nothing new; what still waits for it goes back unrun.
		f.returnPending(w)
		s.reply(replyNone)
		return
	}
	s.blocked = true
	if f.deliverPending(w, s) {
		return
	}
	for _, name := range s.queues {
		if f.jobs.Make(name) {
			f.join(w, name)
		}
	}
	w.waiting = append(w.waiting, s)
	if !f.jobs.Wait(f.loop.Now(), &s.ask, w.wid, s.queues) {
		w.unwait(s)
		f.turned[string(jobs.FullQueues)]++
		s.resume(fault("refused, %s is reached, return in 1.000 s", jobs.FullQueues))
		return
	}
	f.forgetPools()
	f.asking = append(f.asking, s)
}

// patient gives the FETCHes of a turn that found nothing in it their time.
func (f *Front) patient() {
	for _, s := range f.asking {
		if w := s.worker; s.blocked && s.fetch == nil && s.ask.Waiting() && !s.Ended {
			s.fetch = f.loop.At(f.loop.Now()+fetchWait, func() {
				s.fetch = nil
				w.unwait(s)
				f.jobs.Stop(&s.ask)
				s.resume(replyNone)
			})
		}
	}
	clear(f.asking)
	f.asking = f.asking[:0]
}

// held finds the attempt that a worker reports on, and the object that it sent; nil: its time was over, or it came
// before a restart.
func (f *Front) held(s *session, verb string, arg []byte) (*core.Attempt, gjson.Result) {
	if !gjson.ValidBytes(arg) {
		s.reply(fault("malformed %s: not an object of JSON", verb))
		return nil, gjson.Result{}
	}
	r := gjson.ParseBytes(arg)
	jid := r.Get("jid")
	if jid.Type != gjson.String || jid.Str == "" {
		s.reply(fault("malformed %s: jid: missing", verb))
		return nil, r
	}
	if s.worker == nil {
		s.reply(fault("%s is for workers: HELLO had no wid", verb))
		return nil, r
	}
	s.reply(replyOK)
	p := s.worker.fetched[jid.Str]
	if p != nil {
		delete(s.worker.fetched, jid.Str)
	}
	return p, r
}

func (f *Front) ack(s *session, q *request) {
	p, r := f.held(s, "ACK", q.arg)
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

func (f *Front) fail(s *session, q *request) {
	p, r := f.held(s, "FAIL", q.arg)
	if p == nil {
		return
	}
	if y, ours := p.Request.Client.(*try); ours {
		y.failure = &jobs.Failure{Type: r.Get("errtype").String(), Message: r.Get("message").String()}
		r.Get("backtrace").ForEach(func(_, line gjson.Result) bool {
			y.failure.Backtrace = append(y.failure.Backtrace, line.String())
			return len(y.failure.Backtrace) < jobs.MostBacktrace
		})
	}
	f.core.AttemptEnded(p.Ref, rules.Error, nil, s.worker.load(1))
}

// beat takes a worker's sign of life, and tells it where it is to go quiet or to end.
func (f *Front) beat(s *session, q *request) {
	var b struct {
		WID   string `json:"wid"`
		State string `json:"current_state"`
		RSS   int64  `json:"rss_kb"`
	}
	if err := json.Unmarshal(q.arg, &b); err != nil {
		s.reply(failure("malformed BEAT"))
		return
	}
	w := s.worker
	if w == nil || b.WID != "" && b.WID != w.wid {
		s.reply(failure("BEAT of an unknown worker"))
		return
	}
	switch b.State {
	case "":
	case "quiet", "terminate":
		if w.state = b.State; !w.draining {
			w.draining = true
			f.tell(w, rules.Draining)
			f.returnPending(w)
			f.stopFetches(w)
		}
	default:
		s.reply(fault("unknown state %.32q", b.State))
		return
	}
	if w.rss = b.RSS; f.state == "" || f.state == w.state || w.state == "terminate" {
		s.reply(replyOK)
		return
	}
	s.reply(bulk([]byte(`{"state":"` + f.state + `"}`)))
}

// stopFetches answers the FETCHes of a worker that wants nothing new.
func (f *Front) stopFetches(w *worker) {
	for len(w.waiting) > 0 {
		s := w.waiting[0]
		w.unwait(s)
		f.loop.CancelTimer(s.fetch)
		s.fetch = nil
		f.jobs.Stop(&s.ask)
		s.resume(replyNone)
	}
}

// track looks a job up, or takes what its worker tells of it: TRACK GET jid, TRACK SET {...}.
func (f *Front) track(s *session, q *request) {
	verb, arg, _ := strings.Cut(string(q.arg), " ")
	switch {
	case verb == "GET" && arg != "":
		text, _ := json.Marshal(f.tracked(arg))
		s.reply(bulk(text))
	case verb == "SET" && arg != "":
		f.trackSet(s, arg)
	default:
		s.reply(failure("TRACK takes GET and a jid, or SET and an object"))
	}
}
