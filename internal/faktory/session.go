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

// session is one connection, of a client that pushes or of a worker.
type session struct {
	link.Link
	ref          core.Ref
	front        *Front
	client       string // IP address; its jobs count against the limits of one client
	input        inputState
	salt         string
	greeted      bool
	helloTimer   *core.Timer // closes the session if no HELLO comes
	worker       *worker     // nil: a client that only pushes
	replies      []byte      // of this turn, not sent yet
	repliedBytes int         // sent since the commands have waited for the other sessions last
	isDirty      bool        // it is in Front.sessionsToFlush

	queues         []string // of the last FETCH
	lastFetchArg   string   // the argument that queues was parsed from
	fetch          jobs.Fetch
	fetchTimer     *core.Timer // ends the waiting FETCH
	isBlocked      bool        // a command waits for its reply, and so do the commands behind it
	queuedCommands []parsedCommand
	bulkPush       *bulkPush // the PUSHB in progress
	bulkBytes      int       // of its command
}

// countKept tells the account how many bytes the front keeps for the session.
func (s *session) countKept() { s.SetKept(len(s.replies) + s.bulkBytes) }

// dropBuffers drops what waits for the session, as it is about to be closed over the account's limit. No job is given to its
// FETCH any more. The caller may be in the middle of an event of the jobs' machine, which sessionEnded calls later.
func (s *session) dropBuffers() {
	s.replies, s.queuedCommands, s.bulkPush = nil, nil, nil
	if s.worker != nil {
		s.worker.removeWaiting(s)
	}
}

// largeReplyBytes is the size from which on a reply is passed on as it is. Smaller ones may be shared by all sessions.
const largeReplyBytes = 16 << 10

// reply appends a reply; all replies of a turn are sent in one write.
func (s *session) reply(message []byte) {
	if s.Ended || s.CloseReason != "" {
		return
	}
	isLarge := len(message) >= largeReplyBytes
	if len(s.replies) > 0 && (isLarge || len(s.replies) >= link.MaxPartBytes) {
		s.sendReplies(false)
	}
	if isLarge {
		s.replies = message // without a copy: those of a pipeline would be as much garbage as the account allows to be held
	} else {
		s.replies = append(s.replies, message...)
	}
	if !s.isDirty {
		s.isDirty = true
		s.front.sessionsToFlush = append(s.front.sessionsToFlush, s)
	}
	s.countKept()
	s.front.account.Enforce()
}

func (s *session) flush() {
	s.isDirty = false
	if len(s.replies) > 0 {
		s.sendReplies(s.CloseReason != "" && !s.ClosedLocally)
	}
}

func (s *session) sendReplies(closeAfter bool) {
	out := s.replies
	s.replies = nil
	s.countKept()
	s.repliedBytes += len(out)
	s.Send(s.front.loop, link.Outgoing{Message: out, CloseAfter: closeAfter})
}

// replyAndClose sends a last reply and closes the session for a reason, which the log shows.
func (s *session) replyAndClose(message []byte, reason string) {
	s.reply(message)
	if s.CloseReason == "" {
		s.CloseReason = reason
	}
}

// refuse ends the session with an error, as the process ends.
func (s *session) refuse() { s.replyAndClose(errorReplyf("refused, this process ends"), link.Shutdown) }

// finishCommand sends the reply of the command that blocks the session, and runs the commands behind it.
func (s *session) finishCommand(message []byte) {
	s.reply(message)
	if !s.isBlocked {
		return
	}
	s.isBlocked = false
	if len(s.queuedCommands) > 0 {
		// In a later event, since this call may come from within another event's handler.
		s.front.loop.Post(func() {
			if !s.isBlocked {
				s.runQueued()
			}
		})
	}
}

// resume goes on with the commands that waited until the account had space, or until the client had read.
func (s *session) resume() {
	s.isBlocked = false
	s.runQueued()
}

func (s *session) runQueued() {
	behind := s.queuedCommands
	s.queuedCommands = nil
	s.queuedCommands = s.front.runCommands(s, behind)
}

// handle runs a batch of commands. While a command waits for its reply, those behind it are queued, so that replies
// keep the order of the commands.
func (f *Front) handle(s *session, batch []parsedCommand) {
	if s.isBlocked || len(s.queuedCommands) > 0 {
		s.queuedCommands = append(s.queuedCommands, batch...)
		return
	}
	s.queuedCommands = f.runCommands(s, batch)
}

// runCommands runs commands up to the first that blocks the session, and returns those behind it.
func (f *Front) runCommands(s *session, batch []parsedCommand) (rest []parsedCommand) {
	for i := range batch {
		cmd := &batch[i]
		if !s.isBlocked && f.account.IsOver() {
			s.isBlocked = true
			f.account.WhenFree(s.resume)
		}
		if !s.isBlocked && s.QueuedBytes() > maxUnreadBytes { // a client that reads nothing is closed by the timeout of the write
			s.isBlocked = true
			f.loop.At(f.loop.Now()+sweepInterval, s.resume)
		}
		if !s.isBlocked && s.repliedBytes > link.MaxPartBytes { // the other sessions have their turns before
			s.isBlocked, s.repliedBytes = true, 0
			f.loop.Post(s.resume)
		}
		if s.isBlocked {
			return batch[i:]
		}
		if !s.Ended && s.CloseReason == "" {
			s.MessageCount++
			f.commandCount++
			if w := s.worker; w != nil {
				w.lastSeen = f.loop.Now()
			}
			f.dispatch(s, cmd)
		}
		s.commandsDone(cmd.size, cmd.cost)
	}
	return nil
}

// dispatch calls the handler of one command.
func (f *Front) dispatch(s *session, cmd *parsedCommand) {
	handle, known := commands[cmd.verb]
	switch {
	case cmd.isFatal:
		s.replyAndClose(errorReply(cmd.err.Error()), link.BadInput)
	case !s.greeted && cmd.verb != "HELLO":
		s.replyAndClose(errorReply("say HELLO first"), link.BadInput)
	case f.handover != nil && operatorVerbs[cmd.verb]:
		s.reply(errorReply(errHandsOver.Error()))
	case known:
		handle(f, s, cmd)
	case cmd.verb == "":
		s.reply(errorReply("empty command"))
	default:
		s.reply(errorReplyf("unknown command %.32q", cmd.verb))
	}
}

// commands are the handlers by verb; a handler that cannot answer at once blocks its session. verbs maps each verb to
// itself, for lookups without an allocation. Both are set in init, since the handlers refer to them indirectly.
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
		"ACK":    (*Front).report,
		"FAIL":   (*Front).report,
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

// operatorVerbs are the commands on jobs and queues that only the process which owns the jobs carries out.
var operatorVerbs = map[string]bool{"QUEUE": true, "MUTATE": true, "FLUSH": true}

// Verbs returns the supported commands in alphabetical order.
func Verbs() []string { return slices.Sorted(maps.Keys(commands)) }

func (f *Front) hello(s *session, cmd *parsedCommand) {
	var h struct {
		Hostname string   `json:"hostname"`
		WID      string   `json:"wid"`
		PID      int64    `json:"pid"`
		Labels   []string `json:"labels"`
		Username string   `json:"username"`
		Version  int      `json:"v"`
		Hash     string   `json:"pwdhash"`
	}
	cfg := &f.conf.Faktory
	switch err := json.Unmarshal(cmd.arg, &h); {
	case err != nil:
		s.replyAndClose(errorReply("malformed HELLO: "+err.Error()), link.BadInput)
	case s.greeted:
		s.reply(errorReply("HELLO was said"))
	case h.Version != protocolLevel:
		s.replyAndClose(errorReplyf("protocol version %d is not spoken here, %d is", h.Version, protocolLevel), link.BadInput)
	case s.salt != "" && subtle.ConstantTimeCompare([]byte(PasswordHash(cfg.Password, s.salt, cfg.HashRounds)), []byte(h.Hash)) != 1:
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

// registerWorker makes the session one of a worker's. A different process with a known wid is a new worker; the earlier
// one is removed, even if its connections have not ended yet.
func (f *Front) registerWorker(s *session, wid, process string) {
	w := f.workers[wid]
	if w != nil && w.process != process {
		f.log.Warn("faktory: worker restarted under the same wid", "wid", wid)
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
	w.lastSeen = f.loop.Now()
	s.worker, s.Party = w, "faktory-worker"
}

// PasswordHash is the protocol's password hash: SHA-256 over password and salt, then rounds-1 times over its own
// result, in hex.
func PasswordHash(password, salt string, rounds int) string {
	sum := sha256.Sum256([]byte(password + salt))
	for range rounds - 1 {
		sum = sha256.Sum256(sum[:])
	}
	return hex.EncodeToString(sum[:])
}

func errorReplyf(format string, args ...any) []byte { return errorReply(fmt.Sprintf(format, args...)) }
