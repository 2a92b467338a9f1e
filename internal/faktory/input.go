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
	commandCopies        = 2       // of a command that are held at a time: as it was received, and its payload for the job
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
	f, input := s.front, &s.input
	r := s.Conn.Reader()
	n := r.Len()
	if input.stopped {
		r.Skip(n)
		return r.Release()
	}
	data, err := r.Next(n)
	if err != nil {
		return nil
	}
	s.addInputBytes(int64(n))
	input.buffer = append(input.buffer, data...)
	if err := r.Release(); err != nil {
		return err
	}
	for !input.stopped {
		batch, cost := s.splitCommands()
		if len(batch) == 0 {
			break
		}
		input.backlog.Add(cost)
		f.loop.Post(func() { f.handle(s, batch) })
		if !input.backlog.Wait() {
			input.stopped = true
			return nil
		}
	}
	if f.inputBytes.Load() > f.maxInputBytes && len(input.buffer) > 0 && !input.stopped {
		// An incomplete command exceeds max_input_mb, the limit of all sessions together: its session is closed.
		input.stopped = true
		s.addInputBytes(-int64(len(input.buffer)))
		input.buffer = nil
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
	f, input := s.front, &s.input
	used, isIncomplete := 0, false
	for used < len(input.buffer) && len(batch) < maxBatchCommands {
		rest := input.buffer[used:]
		if used == 0 && input.scanned > 0 && rest[0] != '*' && bytes.IndexByte(rest[input.scanned:], '\n') < 0 && len(rest) <= f.maxCommandBytes {
			isIncomplete = true
			break
		}
		var parsed Command
		need, err := ParseCommand(rest, &parsed, f.maxCommandBytes)
		if err != nil {
			batch = append(batch, parsedCommand{err: err, isFatal: true, size: len(rest)})
			input.stopped = true
			used = len(input.buffer)
			break
		}
		if isIncomplete = need > 0; isIncomplete {
			break
		}
		cmd := parsedCommand{verb: verbString(parsed.Verb), arg: parsed.Arg, size: parsed.Size, cost: max(parsed.Size, link.MinMessageCost)}
		if expensiveVerbs[cmd.verb] {
			cmd.cost = max(parsed.Size, expensiveCommandCost)
		}
		cost += cmd.cost
		if input.greeted.Load() {
			s.front.parsePayload(s, &cmd)
		}
		batch = append(batch, cmd)
		used += parsed.Size
	}
	rest := input.buffer[used:]
	if used > 0 {
		rest = append([]byte(nil), rest...)
		if len(rest) == 0 {
			rest = nil
		}
	}
	input.buffer, input.scanned = rest, 0
	if isIncomplete { // else whole commands may follow, which the next batch takes
		input.scanned = len(rest)
	}
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
func (f *Front) parsePayload(s *session, cmd *parsedCommand) {
	switch cmd.verb {
	case "PUSH":
		cmd.job, cmd.err = f.parseJob(cmd.arg, s.client)
	case "PUSHB":
		if !gjson.ValidBytes(cmd.arg) || cmd.arg[0] != '[' {
			cmd.err = errors.New("malformed PUSHB: a list of jobs is needed")
			return
		}
		cmd.bulk = []bulkJob{}
		gjson.ParseBytes(cmd.arg).ForEach(func(_, v gjson.Result) bool {
			item := bulkJob{}
			if item.job, item.err = f.parseJob([]byte(v.Raw), s.client); item.err == nil {
				item.jid = item.job.ID
			} else if item.jid = v.Get("jid").String(); item.jid == "" {
				item.jid = fmt.Sprintf("#%d", len(cmd.bulk))
			}
			cmd.bulk = append(cmd.bulk, item)
			return true
		})
		cmd.arg = nil
	}
}

// addInputBytes counts bytes towards the input limit of all sessions, until the session has ended.
func (s *session) addInputBytes(n int64) {
	s.input.mu.Lock()
	defer s.input.mu.Unlock()
	if !s.input.closed {
		s.input.heldBytes += n
		s.front.inputBytes.Add(n)
		s.Hold(int(n) * commandCopies)
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

// commandsDone reports to the reading side that the loop has handled commands.
func (s *session) commandsDone(size, cost int) {
	s.addInputBytes(-int64(size))
	s.input.backlog.Done(cost)
}
