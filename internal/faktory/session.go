package faktory

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cobaltflow/internal/core"
	"cobaltflow/internal/jobs"
	"cobaltflow/internal/link"
)

// session is one connection: a client's that pushes, or a worker's.
type session struct {
	link.Link
	ref     core.Ref
	front   *Front
	client  string // the address that its jobs are counted for
	input   inputState
	salt    string
	greeted bool
	worker  *worker // nil: a client that only pushes
	replies []byte  // replies of this turn
	isDirty bool    // it is among those that have some

	queues         []string // of its last FETCH
	lastFetchArg   string   // as they were written
	fetch          jobs.Fetch
	fetchTimer     *core.Timer // of the FETCH that waits
	isBlocked      bool        // a command waits for its reply: those behind it wait too
	queuedCommands []parsedCommand
	bulkPush       *bulkPush // a PUSHB that is under way
}

// reply adds a reply; all of a turn leave in one piece.
func (s *session) reply(message []byte) {
	if s.Ended || s.CloseReason != "" {
		return
	}
	s.replies = append(s.replies, message...)
	if !s.isDirty {
		s.isDirty = true
		s.front.sessionsToFlush = append(s.front.sessionsToFlush, s)
	}
}

func (s *session) flush() {
	s.isDirty = false
	if s.QueuedBytes() > maxUnreadBytes {
		s.Close(link.NotReading)
		return
	}
	if out := s.replies; len(out) > 0 {
		s.replies = nil
		s.Send(s.front.loop, link.Outgoing{Message: out, CloseAfter: s.CloseReason != "" && !s.ClosedLocally})
	}
}

// end replies and closes.
func (s *session) replyAndClose(message []byte, reason string) {
	s.reply(message)
	if s.CloseReason == "" {
		s.CloseReason = reason
	}
}

// resume gives the reply that a command waited for, and goes on with those behind it.
func (s *session) finishCommand(message []byte) {
	s.reply(message)
	if !s.isBlocked {
		return
	}
	s.isBlocked = false
	if len(s.queuedCommands) > 0 {
		// In an event of its own: this reply may come from within another's.
		s.front.loop.Post(func() {
			if !s.isBlocked {
				behind := s.queuedCommands
				s.queuedCommands = nil
				s.queuedCommands = s.front.runCommands(s, behind)
			}
		})
	}
}

// handle has commands in hand. Those behind one that waits for its reply wait too, so that replies keep the order
// of the commands.
func (f *Front) handle(s *session, batch []parsedCommand) {
	if s.isBlocked || len(s.queuedCommands) > 0 {
		s.queuedCommands = append(s.queuedCommands, batch...)
		return
	}
	s.queuedCommands = f.runCommands(s, batch)
}

// run carries commands out up to the first that waits, and gives those behind it.
func (f *Front) runCommands(s *session, batch []parsedCommand) (rest []parsedCommand) {
	for i := range batch {
		q := &batch[i]
		if s.isBlocked {
			return batch[i:]
		}
		if !s.Ended && s.CloseReason == "" {
			s.MessageCount++
			f.commandCount++
			if w := s.worker; w != nil {
				w.lastBeat = f.loop.Now()
			}
			f.dispatch(s, q)
		}
		s.commandsDone(q.size, q.cost)
	}
	return nil
}

func (f *Front) dispatch(s *session, q *parsedCommand) {
	handle, known := commands[q.verb]
	switch {
	case q.isFatal:
		s.replyAndClose(errorReply(q.err.Error()), link.BadInput)
	case !s.greeted && q.verb != "HELLO":
		s.replyAndClose(errorReply("say HELLO first"), link.BadInput)
	case known:
		handle(f, s, q)
	case q.verb == "":
		s.reply(errorReply("empty command"))
	default:
		s.reply(errorReplyf("unknown command %.32q", q.verb))
	}
}

// commands are the verbs that are spoken here, and verbs gives each as a string that need not be made. A handler
// that can't answer at once blocks its session. They are set in init, since the handlers lead back here.
var (
	commands map[string]func(f *Front, s *session, q *parsedCommand)
	verbs    = map[string]string{}
)

func init() {
	commands = map[string]func(f *Front, s *session, q *parsedCommand){
		"HELLO":  (*Front).hello,
		"PUSH":   (*Front).push,
		"PUSHB":  (*Front).pushBulk,
		"FETCH":  (*Front).fetch,
		"ACK":    (*Front).ack,
		"FAIL":   (*Front).fail,
		"BEAT":   (*Front).beat,
		"INFO":   func(f *Front, s *session, _ *parsedCommand) { s.reply(bulkReply(f.info())) },
		"QUEUE":  (*Front).queue,
		"MUTATE": (*Front).mutate,
		"TRACK":  (*Front).track,
		"FLUSH":  (*Front).flush,
		"END":    func(_ *Front, s *session, _ *parsedCommand) { s.replyAndClose(replyOK, link.Answered) },
	}
	for v := range commands {
		verbs[v] = v
	}
}

// Verbs lists the commands that are spoken here.
func Verbs() []string { return slices.Sorted(maps.Keys(commands)) }

func (f *Front) hello(s *session, q *parsedCommand) {
	var h struct {
		Hostname string   `json:"hostname"`
		WID      string   `json:"wid"`
		PID      int64    `json:"pid"`
		Labels   []string `json:"labels"`
		Username string   `json:"username"`
		Version  int      `json:"v"`
		Hash     string   `json:"pwdhash"`
	}
	k := &f.conf.Faktory
	switch err := json.Unmarshal(q.arg, &h); {
	case err != nil:
		s.replyAndClose(errorReply("malformed HELLO: "+err.Error()), link.BadInput)
	case s.greeted:
		s.reply(errorReply("HELLO was said"))
	case h.Version != protocolLevel:
		s.replyAndClose(errorReplyf("protocol version %d is not spoken here, %d is", h.Version, protocolLevel), link.BadInput)
	case s.salt != "" && subtle.ConstantTimeCompare([]byte(PasswordHash(k.Password, s.salt, k.HashRounds)), []byte(h.Hash)) != 1:
		f.rejected["password"]++
		s.replyAndClose(errorReply("invalid password"), link.BadInput)
	case len(h.WID) > maxIDBytes || strings.ContainsAny(h.WID, " \r\n\t"):
		s.replyAndClose(errorReply("unusable wid"), link.BadInput)
	default:
		s.greeted = true
		s.input.greeted.Store(true)
		if h.WID != "" {
			f.registerWorker(s, h.WID, fmt.Sprintf("%.64s/%d", h.Hostname, h.PID))
		}
		s.reply(replyOK)
	}
}

// enlist makes the session one of a worker's. Another process under a wid that is known is another worker: the
// one before it has gone, though its connections may not have told so yet.
func (f *Front) registerWorker(s *session, wid, process string) {
	w := f.workers[wid]
	if w != nil && w.process != process {
		f.log.Warn("faktory: a worker came anew", "wid", wid)
		f.sessions.Each(func(_ core.Ref, other *session) {
			if other.worker == w {
				other.Close(link.AddressChanged)
			}
		})
		f.removeWorker(w)
		w = nil
	}
	if w == nil {
		w = &worker{wid: wid, name: workerPrefix + wid, process: process, pools: map[*core.Pool]bool{}, fetched: map[string]*core.Attempt{}}
		f.workers[wid] = w
	}
	w.sessionCount++
	w.lastBeat = f.loop.Now()
	s.worker, s.Party = w, "faktory-worker"
}

// PasswordHash is the public protocol's: SHA-256 over password and salt, then over its own output.
func PasswordHash(password, salt string, rounds int) string {
	sum := sha256.Sum256([]byte(password + salt))
	for range rounds - 1 {
		sum = sha256.Sum256(sum[:])
	}
	return hex.EncodeToString(sum[:])
}

func errorReplyf(format string, args ...any) []byte { return errorReply(fmt.Sprintf(format, args...)) }
