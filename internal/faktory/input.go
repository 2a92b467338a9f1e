package faktory

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/bytedance/gopkg/util/gopool"
	"github.com/tidwall/gjson"

	"cobaltflow/internal/jobs"
	"cobaltflow/internal/link"
	"cobaltflow/internal/reactor"
)

// parsedCommand is one command of a session with its payload parsed. Its slices belong to the buffer of its batch,
// which outlives the turn, since commands may wait behind a FETCH.
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

// inputState is the reading side of a session. It belongs to the session's turns, except for the atomic and the locked
// fields.
type inputState struct {
	buffer   []byte      // bytes of a command that is not complete yet
	scanned  int         // bytes of buffer without a line end
	greeted  atomic.Bool // HELLO was accepted, so payloads are parsed outside of the loop
	stopped  bool        // nothing more is read
	hasWhole bool        // more whole commands may be in buffer, which go before further input
	// mu guards heldBytes, pendingCost, isHeld and closed.
	mu          sync.Mutex
	heldBytes   int64 // what this session counts in Front.inputBytes
	pendingCost int   // of the commands that the loop has not handled
	isHeld      bool  // the session's turns wait until the loop has handled commands
	closed      bool
}

const (
	commandCopies        = 2       // of a command that are held at a time: as it was received, and its payload for the job
	expensiveCommandCost = 8 << 10 // towards the backlog, of a command whose work grows with the number of queues and jobs
	maxBatchCommands     = 32      // commands handed to the loop at once
	maxBulkJobsPerTurn   = 500     // jobs of a PUSHB that are pushed in one turn
	longCommandBytes     = 128 << 10
)

// HandleInput implements reactor.Handler: it takes input, splits it into commands, parses their payloads and posts them to the
// loop. While the loop has MaxBacklogBytes of the session to handle, nothing more is read. A long command is split and parsed on a
// goroutine of its own, so that it does not delay other connections.
func (s *session) HandleInput(in *reactor.Input) reactor.Next {
	input := &s.input
	if input.stopped || s.DiscardsInput() {
		input.buffer = nil
		return s.DiscardTurn(in, s.front.poller)
	}
	if s.holdForAccount() {
		return reactor.Pause
	}
	if !input.hasWhole {
		data, err := in.PeekShared()
		if err != nil {
			input.stopped = true
			s.front.poller.Post(func() { s.Close(link.PeerClosed) })
			return reactor.Pause
		}
		if len(data) == 0 {
			return reactor.Wait
		}
		s.addInputBytes(int64(len(data)))
		input.buffer = append(input.buffer, data...)
		in.Consume(len(data))
	}
	if len(input.buffer) > longCommandBytes {
		gopool.Go(func() {
			if s.postCommands() {
				s.TakeTurnSoon()
				s.ResumeInput()
			}
		})
		return reactor.Pause
	}
	if !s.postCommands() {
		return reactor.Pause
	}
	return reactor.Again
}

// holdForAccount makes the session's turns wait while the clients hold more than they may, and reports whether they do.
func (s *session) holdForAccount() bool {
	if !s.front.account.IsOver() {
		return false
	}
	s.front.poller.Post(func() {
		s.front.account.WhenFree(func() {
			s.TakeTurnSoon()
			s.ResumeInput()
		})
	})
	return true
}

// postCommands posts a batch of the complete commands in the buffer to the loop. It returns false if the session's turns have to wait until
// the loop has handled some, which resumes them.
func (s *session) postCommands() bool {
	f, input := s.front, &s.input
	batch, cost := s.splitCommands()
	input.hasWhole = len(batch) == maxBatchCommands
	if len(batch) > 0 {
		mayGoOn := s.addPending(cost)
		f.poller.PostBatch(len(batch), func() { f.handle(s, batch) })
		if !mayGoOn || input.hasWhole {
			return mayGoOn
		}
	}
	if f.inputBytes.Load() > f.maxInputBytes && len(input.buffer) > 0 && !input.stopped {
		// An incomplete command exceeds max_input_mb, the limit of all sessions together: its session is closed.
		input.stopped = true
		s.addInputBytes(-int64(len(input.buffer)))
		input.buffer = nil
		f.poller.Post(func() {
			f.rejected["max_input_mb"]++
			s.replyAndClose(errorReplyf("refused, max_input_mb is reached, return in 1.000 s"), link.OverBudget)
		})
	}
	return true
}

// PeerEnded implements reactor.Handler. The commands that came before the end are run, as their jobs outlive the session, up to a
// FETCH that waits: what is behind it has no reader for its replies.
func (s *session) PeerEnded() {
	s.front.poller.Post(func() {
		if !s.Ended && s.fetch.IsWaiting() {
			s.Close(link.PeerClosed)
		}
	})
}

// Closed implements reactor.Handler.
func (s *session) Closed() {
	s.front.DrainingListener.Closed()
	s.front.loop.Post(func() { s.front.sessionEnded(s) })
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

// releaseInput removes the session's bytes from the input limit, when the session has ended.
func (s *session) releaseInput() {
	s.input.mu.Lock()
	defer s.input.mu.Unlock()
	if !s.input.closed {
		s.input.closed = true
		s.front.inputBytes.Add(-s.input.heldBytes)
	}
}

// addPending counts commands that are about to be posted, and reports whether more may be posted behind them.
func (s *session) addPending(cost int) (mayGoOn bool) {
	s.input.mu.Lock()
	defer s.input.mu.Unlock()
	s.input.pendingCost += cost
	s.input.isHeld = s.input.pendingCost > link.MaxBacklogBytes
	return !s.input.isHeld
}

// commandsDone reports to the reading side that the loop has handled commands.
func (s *session) commandsDone(size, cost int) {
	s.addInputBytes(-int64(size))
	s.input.mu.Lock()
	s.input.pendingCost -= cost
	resumes := s.input.isHeld && s.input.pendingCost <= link.MaxBacklogBytes
	if resumes {
		s.input.isHeld = false
	}
	s.input.mu.Unlock()
	if resumes {
		s.TakeTurnSoon()
		s.ResumeInput()
	}
}
