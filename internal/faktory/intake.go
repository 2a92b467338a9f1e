package faktory

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
	"github.com/tidwall/gjson"

	"cobaltflow/internal/jobs"
	"cobaltflow/internal/link"
)

// request is one command of a session, read and with its payload parsed. It holds slices of a buffer that is
// its batch's own: a batch outlives what netpoll hands out, since commands may wait behind a FETCH.
type request struct {
	verb string
	arg  []byte
	size int
	cost int       // towards what a session may have unhandled
	job  *jobs.Job // of PUSH
	many []pushed  // of PUSHB
	bad  error
	end  bool // nothing can be read behind it
}

// pushed is one job of a PUSHB.
type pushed struct {
	jid string
	job *jobs.Job
	bad error
}

// intake is the reading side of a session. It belongs to netpoll's goroutine, but for what is atomic.
type intake struct {
	part    []byte      // of a command that is not whole yet
	seen    int         // bytes of it in which no end was found
	known   atomic.Bool // HELLO was accepted: its payloads are worth parsing here
	mu      sync.Mutex
	held    int64 // bytes that count towards what all sessions may hold
	closed  bool
	backlog *link.Backlog
	stopped bool
}

const (
	dearCost   = 8 << 10 // towards the backlog, of a command that looks at all there is
	batchMost  = 256     // commands handed to the loop at once
	bulkAtOnce = 500     // jobs of a PUSHB that are taken in one turn
)

// onRequest runs on a goroutine of netpoll's, again and again while input is unread.
func onRequest(ctx context.Context, _ netpoll.Connection) error {
	s := ctx.Value(sessionKey{}).(*session)
	return s.read()
}

// read takes all that has come, cuts it into commands, parses their payloads and posts them. Where the loop is
// behind it waits, and netpoll's own reading is bounded by the sweep.
func (s *session) read() error {
	f, in := s.front, &s.in
	r := s.Conn.Reader()
	n := r.Len()
	if in.stopped {
		r.Skip(n)
		return r.Release()
	}
	data, err := r.Next(n)
	if err != nil {
		return nil
	}
	s.account(int64(n))
	in.part = append(in.part, data...)
	if err := r.Release(); err != nil {
		return err
	}
	for !in.stopped {
		batch, cost := s.cut()
		if len(batch) == 0 {
			break
		}
		in.backlog.Add(cost)
		f.loop.Post(func() { f.handle(s, batch) })
		if !in.backlog.Wait() {
			in.stopped = true
			return nil
		}
	}
	if f.input.Load() > f.inputMost && len(in.part) > 0 && !in.stopped {
		// Half a command that would take more than all may: the session that brings it pays.
		in.stopped = true
		s.account(-int64(len(in.part)))
		in.part = nil
		f.loop.Post(func() {
			f.turned["max_input_mb"]++
			s.end(fault("refused, max_input_mb is reached, return in 1.000 s"), link.OverBudget)
		})
	}
	return nil
}

// cut takes whole commands off what has come. Their bytes are handed over with them; what is left of the
// buffer is copied, so that a batch can live on.
func (s *session) cut() (batch []request, cost int) {
	f, in := s.front, &s.in
	at := 0
	for at < len(in.part) && len(batch) < batchMost {
		rest := in.part[at:]
		if at == 0 && in.seen > 0 && rest[0] != '*' && bytes.IndexByte(rest[in.seen:], '\n') < 0 && len(rest) <= f.longest {
			break
		}
		var c Command
		need, err := ParseCommand(rest, &c, f.longest)
		if err != nil {
			batch = append(batch, request{bad: err, end: true, size: len(rest)})
			in.stopped = true
			at = len(in.part)
			break
		}
		if need > 0 {
			break
		}
		q := request{verb: verbOf(c.Verb), arg: c.Arg, size: c.Size, cost: max(c.Size, link.MinMessageCost)}
		if dear[q.verb] {
			q.cost = max(c.Size, dearCost)
		}
		cost += q.cost
		if in.known.Load() {
			s.front.prepare(s, &q)
		}
		batch = append(batch, q)
		at += c.Size
	}
	left := in.part[at:]
	if at > 0 {
		left = append([]byte(nil), left...)
		if len(left) == 0 {
			left = nil
		}
	}
	in.part, in.seen = left, len(left)
	return batch, cost
}

// dear are the verbs whose work does not go by their length.
var dear = map[string]bool{"INFO": true, "QUEUE": true, "MUTATE": true, "FLUSH": true}

// verbOf gives the verb as a string without an allocation where it is known.
func verbOf(b []byte) string {
	if v, ok := verbs[string(b)]; ok {
		return v
	}
	return fmt.Sprintf("%.32s", b)
}

// prepare parses the payloads that take time, so that the loop need not.
func (f *Front) prepare(s *session, q *request) {
	switch q.verb {
	case "PUSH":
		q.job, q.bad = f.parseJob(q.arg, s.client)
	case "PUSHB":
		if !gjson.ValidBytes(q.arg) || q.arg[0] != '[' {
			q.bad = errors.New("malformed PUSHB: a list of jobs is needed")
			return
		}
		q.many = []pushed{}
		gjson.ParseBytes(q.arg).ForEach(func(_, v gjson.Result) bool {
			p := pushed{}
			if p.job, p.bad = f.parseJob([]byte(v.Raw), s.client); p.bad == nil {
				p.jid = p.job.ID
			} else if p.jid = v.Get("jid").String(); p.jid == "" {
				p.jid = fmt.Sprintf("#%d", len(q.many))
			}
			q.many = append(q.many, p)
			return true
		})
		q.arg = nil
	}
}

// account counts bytes towards what all sessions may hold, until the session has gone.
func (s *session) account(n int64) {
	s.in.mu.Lock()
	defer s.in.mu.Unlock()
	if !s.in.closed {
		s.in.held += n
		s.front.input.Add(n)
	}
}

// letGo gives all that the session held back, when it has gone.
func (s *session) letGo() {
	s.in.mu.Lock()
	defer s.in.mu.Unlock()
	if !s.in.closed {
		s.in.closed = true
		s.front.input.Add(-s.in.held)
		s.in.backlog.Close()
	}
}

// handled tells the reading side that the loop has done with commands.
func (s *session) handled(bytes, cost int) {
	s.account(-int64(bytes))
	s.in.backlog.Done(cost)
}
