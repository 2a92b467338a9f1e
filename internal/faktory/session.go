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
	in      intake
	salt    string
	greeted bool
	worker  *worker // nil: a client that only pushes
	out     []byte  // replies of this turn
	marked  bool    // it is among those that have some

	queues  []string // of its last FETCH
	asked   string   // as they were written
	ask     jobs.Ask
	fetch   *core.Timer // of the FETCH that waits
	blocked bool        // a command waits for its reply: those behind it wait too
	behind  []request
	bulk    *bulkPush // a PUSHB that is under way
}

// reply adds a reply; all of a turn leave in one piece.
func (s *session) reply(message []byte) {
	if s.Ended || s.CloseReason != "" {
		return
	}
	s.out = append(s.out, message...)
	if !s.marked {
		s.marked = true
		s.front.dirty = append(s.front.dirty, s)
	}
}

func (s *session) flush() {
	s.marked = false
	if s.QueuedBytes() > unreadMost {
		s.Close(link.NotReading)
		return
	}
	if out := s.out; len(out) > 0 {
		s.out = nil
		s.Send(s.front.loop, link.Outgoing{Message: out, CloseAfter: s.CloseReason != "" && !s.ClosedLocally})
	}
}

// end replies and closes.
func (s *session) end(message []byte, reason string) {
	s.reply(message)
	if s.CloseReason == "" {
		s.CloseReason = reason
	}
}

// resume gives the reply that a command waited for, and goes on with those behind it.
func (s *session) resume(message []byte) {
	s.reply(message)
	if !s.blocked {
		return
	}
	s.blocked = false
	if len(s.behind) > 0 {
		// In an event of its own: this reply may come from within another's.
		s.front.loop.Post(func() {
			if !s.blocked {
				behind := s.behind
				s.behind = nil
				s.behind = s.front.run(s, behind)
			}
		})
	}
}

// handle has commands in hand. Those behind one that waits for its reply wait too, so that replies keep the order
// of the commands.
func (f *Front) handle(s *session, batch []request) {
	if s.blocked || len(s.behind) > 0 {
		s.behind = append(s.behind, batch...)
		return
	}
	s.behind = f.run(s, batch)
}

// run carries commands out up to the first that waits, and gives those behind it.
func (f *Front) run(s *session, batch []request) (rest []request) {
	for i := range batch {
		q := &batch[i]
		if s.blocked {
			return batch[i:]
		}
		if !s.Ended && s.CloseReason == "" {
			s.MessageCount++
			f.commands++
			if w := s.worker; w != nil {
				w.beat = f.loop.Now()
			}
			f.command(s, q)
		}
		s.handled(q.size, q.cost)
	}
	return nil
}

func (f *Front) command(s *session, q *request) {
	handle, known := commands[q.verb]
	switch {
	case q.end:
		s.end(failure(q.bad.Error()), link.BadInput)
	case !s.greeted && q.verb != "HELLO":
		s.end(failure("say HELLO first"), link.BadInput)
	case known:
		handle(f, s, q)
	case q.verb == "":
		s.reply(failure("empty command"))
	default:
		s.reply(fault("unknown command %.32q", q.verb))
	}
}

// commands are the verbs that are spoken here, and verbs gives each as a string that need not be made. A handler
// that can't answer at once blocks its session. They are set in init, since the handlers lead back here.
var (
	commands map[string]func(f *Front, s *session, q *request)
	verbs    = map[string]string{}
)

func init() {
	commands = map[string]func(f *Front, s *session, q *request){
		"HELLO":  (*Front).hello,
		"PUSH":   (*Front).push,
		"PUSHB":  (*Front).pushBulk,
		"FETCH":  (*Front).fetch,
		"ACK":    (*Front).ack,
		"FAIL":   (*Front).fail,
		"BEAT":   (*Front).beat,
		"INFO":   func(f *Front, s *session, _ *request) { s.reply(bulk(f.info())) },
		"QUEUE":  (*Front).queue,
		"MUTATE": (*Front).mutate,
		"TRACK":  (*Front).track,
		"FLUSH":  (*Front).flush,
		"END":    func(_ *Front, s *session, _ *request) { s.end(replyOK, link.Answered) },
	}
	for v := range commands {
		verbs[v] = v
	}
}

// Verbs lists the commands that are spoken here.
func Verbs() []string { return slices.Sorted(maps.Keys(commands)) }

func (f *Front) hello(s *session, q *request) {
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
		s.end(failure("malformed HELLO: "+err.Error()), link.BadInput)
	case s.greeted:
		s.reply(failure("HELLO was said"))
	case h.Version != protocolLevel:
		s.end(fault("protocol version %d is not spoken here, %d is", h.Version, protocolLevel), link.BadInput)
	case s.salt != "" && subtle.ConstantTimeCompare([]byte(PasswordHash(k.Password, s.salt, k.HashRounds)), []byte(h.Hash)) != 1:
		f.turned["password"]++
		s.end(failure("invalid password"), link.BadInput)
	case len(h.WID) > longestID || strings.ContainsAny(h.WID, " \r\n\t"):
		s.end(failure("unusable wid"), link.BadInput)
	default:
		s.greeted = true
		s.in.known.Store(true)
		if h.WID != "" {
			f.enlist(s, h.WID, fmt.Sprintf("%.64s/%d", h.Hostname, h.PID))
		}
		s.reply(replyOK)
	}
}

// enlist makes the session one of a worker's. Another process under a wid that is known is another worker: the
// one before it has gone, though its connections may not have told so yet.
func (f *Front) enlist(s *session, wid, process string) {
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
		w = &worker{wid: wid, name: workerPrefix + wid, process: process, in: map[*core.Pool]bool{}, fetched: map[string]*core.Attempt{}}
		f.workers[wid] = w
	}
	w.sessions++
	w.beat = f.loop.Now()
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

func fault(format string, args ...any) []byte { return failure(fmt.Sprintf(format, args...)) }
