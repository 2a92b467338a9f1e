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
type parsedCommand struct {
	verb    string
	arg     []byte
	size    int
	cost    int       // towards what a session may have unhandled
	job     *jobs.Job // of PUSH
	bulk    []bulkJob // of PUSHB
	err     error
	isFatal bool // nothing can be read behind it
}

// pushed is one job of a PUSHB.
type bulkJob struct {
	jid string
	job *jobs.Job
	err error
}

// intake is the reading side of a session. It belongs to netpoll's goroutine, but for what is atomic.
type inputState struct {
	buffer    []byte      // of a command that is not whole yet
	scanned   int         // bytes of it in which no end was found
	greeted   atomic.Bool // HELLO was accepted: its payloads are worth parsing here
	mu        sync.Mutex
	heldBytes int64 // bytes that count towards what all sessions may hold
	closed    bool
	backlog   *link.Backlog
	stopped   bool
}

const (
	expensiveCommandCost = 8 << 10 // towards the backlog, of a command that looks at all there is
	maxBatchCommands     = 256     // commands handed to the loop at once
	maxBulkJobsPerTurn   = 500     // jobs of a PUSHB that are taken in one turn
)

// onRequest runs on a goroutine of netpoll's, again and again while input is unread.
func onRequest(ctx context.Context, _ netpoll.Connection) error {
	s := ctx.Value(sessionKey{}).(*session)
	return s.read()
}

// read takes all that has come, cuts it into commands, parses their payloads and posts them. Where the loop is
// behind it waits, and netpoll's own reading is bounded by the sweep.
func (s *session) read() error {
	f, in := s.front, &s.input
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
	s.addInputBytes(int64(n))
	in.buffer = append(in.buffer, data...)
	if err := r.Release(); err != nil {
		return err
	}
	for !in.stopped {
		batch, cost := s.splitCommands()
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
	if f.inputBytes.Load() > f.maxInputBytes && len(in.buffer) > 0 && !in.stopped {
		// Half a command that would take more than all may: the session that brings it pays.
		in.stopped = true
		s.addInputBytes(-int64(len(in.buffer)))
		in.buffer = nil
		f.loop.Post(func() {
			f.rejected["max_input_mb"]++
			s.replyAndClose(errorReplyf("refused, max_input_mb is reached, return in 1.000 s"), link.OverBudget)
		})
	}
	return nil
}

// cut takes whole commands off what has come. Their bytes are handed over with them; what is left of the
// buffer is copied, so that a batch can live on.
func (s *session) splitCommands() (batch []parsedCommand, cost int) {
	f, in := s.front, &s.input
	at := 0
	for at < len(in.buffer) && len(batch) < maxBatchCommands {
		rest := in.buffer[at:]
		if at == 0 && in.scanned > 0 && rest[0] != '*' && bytes.IndexByte(rest[in.scanned:], '\n') < 0 && len(rest) <= f.maxCommandBytes {
			break
		}
		var c Command
		need, err := ParseCommand(rest, &c, f.maxCommandBytes)
		if err != nil {
			batch = append(batch, parsedCommand{err: err, isFatal: true, size: len(rest)})
			in.stopped = true
			at = len(in.buffer)
			break
		}
		if need > 0 {
			break
		}
		q := parsedCommand{verb: verbString(c.Verb), arg: c.Arg, size: c.Size, cost: max(c.Size, link.MinMessageCost)}
		if expensiveVerbs[q.verb] {
			q.cost = max(c.Size, expensiveCommandCost)
		}
		cost += q.cost
		if in.greeted.Load() {
			s.front.parsePayload(s, &q)
		}
		batch = append(batch, q)
		at += c.Size
	}
	left := in.buffer[at:]
	if at > 0 {
		left = append([]byte(nil), left...)
		if len(left) == 0 {
			left = nil
		}
	}
	in.buffer, in.scanned = left, len(left)
	return batch, cost
}

// dear are the verbs whose work does not go by their length.
var expensiveVerbs = map[string]bool{"INFO": true, "QUEUE": true, "MUTATE": true, "FLUSH": true}

// verbOf gives the verb as a string without an allocation where it is known.
func verbString(b []byte) string {
	if v, ok := verbs[string(b)]; ok {
		return v
	}
	return fmt.Sprintf("%.32s", b)
}

// prepare parses the payloads that take time, so that the loop need not.
func (f *Front) parsePayload(s *session, q *parsedCommand) {
	switch q.verb {
	case "PUSH":
		q.job, q.err = f.parseJob(q.arg, s.client)
	case "PUSHB":
		if !gjson.ValidBytes(q.arg) || q.arg[0] != '[' {
			q.err = errors.New("malformed PUSHB: a list of jobs is needed")
			return
		}
		q.bulk = []bulkJob{}
		gjson.ParseBytes(q.arg).ForEach(func(_, v gjson.Result) bool {
			p := bulkJob{}
			if p.job, p.err = f.parseJob([]byte(v.Raw), s.client); p.err == nil {
				p.jid = p.job.ID
			} else if p.jid = v.Get("jid").String(); p.jid == "" {
				p.jid = fmt.Sprintf("#%d", len(q.bulk))
			}
			q.bulk = append(q.bulk, p)
			return true
		})
		q.arg = nil
	}
}

// account counts bytes towards what all sessions may hold, until the session has gone.
func (s *session) addInputBytes(n int64) {
	s.input.mu.Lock()
	defer s.input.mu.Unlock()
	if !s.input.closed {
		s.input.heldBytes += n
		s.front.inputBytes.Add(n)
	}
}

// letGo gives all that the session held back, when it has gone.
func (s *session) releaseInput() {
	s.input.mu.Lock()
	defer s.input.mu.Unlock()
	if !s.input.closed {
		s.input.closed = true
		s.front.inputBytes.Add(-s.input.heldBytes)
		s.input.backlog.Close()
	}
}

// handled tells the reading side that the loop has done with commands.
func (s *session) commandsDone(bytes, cost int) {
	s.addInputBytes(-int64(bytes))
	s.input.backlog.Done(cost)
}
