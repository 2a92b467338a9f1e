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

// parsedCommand is one command of a session with its payload parsed. Its slices belong to the buffer of its batch,
// which outlives netpoll's, since commands may wait behind a FETCH.
type parsedCommand struct {
	verb    string
	arg     []byte
	size    int
	cost    int       // towards the session's backlog
	job     *jobs.Job // of a PUSH
	bulk    []bulkJob // of a PUSHB
	err     error
	isFatal bool // the session ends, since nothing behind it can be read
}

// bulkJob is one job of a PUSHB.
type bulkJob struct {
	jid string
	job *jobs.Job
	err error
}

// inputState is the reading side of a session. It belongs to netpoll's goroutine, except for the atomic and the locked
// fields.
type inputState struct {
	buffer  []byte      // bytes of a command that is not complete yet
	scanned int         // bytes of buffer without a line end
	greeted atomic.Bool // HELLO was accepted, so payloads are parsed on netpoll's goroutine
	// mu guards heldBytes and closed.
	mu        sync.Mutex
	heldBytes int64 // what this session counts in Front.inputBytes
	closed    bool
	backlog   *link.Backlog
	stopped   bool
}

const (
	expensiveCommandCost = 8 << 10 // towards the backlog, of a command whose work grows with the number of queues and jobs
	maxBatchCommands     = 256     // commands handed to the loop at once
	maxBulkJobsPerTurn   = 500     // jobs of a PUSHB that are pushed in one turn
)

// onRequest is called by netpoll, on a goroutine of its own, as long as input is unread.
func onRequest(ctx context.Context, _ netpoll.Connection) error {
	s := ctx.Value(sessionKey{}).(*session)
	return s.read()
}

// read takes all input, splits it into commands, parses their payloads and posts them to the loop. It blocks while the
// loop is behind; sweep bounds what netpoll reads meanwhile.
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
		// An incomplete command exceeds max_input_mb, the limit of all sessions together: its session is closed.
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

// splitCommands takes complete commands from the buffer. The batch keeps the buffer's bytes; the rest is copied to a
// new buffer, so that it does not keep the batch in memory.
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

// expensiveVerbs are the verbs whose work does not depend on their length.
var expensiveVerbs = map[string]bool{"INFO": true, "QUEUE": true, "MUTATE": true, "FLUSH": true}

// verbString returns the verb as a string, without an allocation if it is known.
func verbString(b []byte) string {
	if v, ok := verbs[string(b)]; ok {
		return v
	}
	return fmt.Sprintf("%.32s", b)
}

// parsePayload parses the job payloads of PUSH and PUSHB, so that the loop need not.
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

// addInputBytes counts bytes towards the input limit of all sessions, until the session has ended.
func (s *session) addInputBytes(n int64) {
	s.input.mu.Lock()
	defer s.input.mu.Unlock()
	if !s.input.closed {
		s.input.heldBytes += n
		s.front.inputBytes.Add(n)
	}
}

// releaseInput removes the session's bytes from the input limit and ends its backlog, when the session has ended.
func (s *session) releaseInput() {
	s.input.mu.Lock()
	defer s.input.mu.Unlock()
	if !s.input.closed {
		s.input.closed = true
		s.front.inputBytes.Add(-s.input.heldBytes)
		s.input.backlog.Close()
	}
}

// commandsDone tells the reading side that the loop has handled commands.
func (s *session) commandsDone(size, cost int) {
	s.addInputBytes(-int64(size))
	s.input.backlog.Done(cost)
}
