// Package faktory is the second front: it speaks the public Faktory work protocol with clients that
// push jobs and workers that fetch them, on the same core, decisions and rules as the HTTP front.
//
// Package jobs owns the life of a pushed job. For each try the front opens a request in the core, and a worker that
// fetches is one of the endpoints; an attempt at it is pending until it fetches, and is withdrawn unrun before that. Jobs of a queue go to the workers that fetch from it, by decisions of the queue's own.
package faktory

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/jobs"
	"cobaltflow/internal/link"
	"cobaltflow/rules"
)

const (
	fetchTimeout       = 2 * core.Second // a FETCH that finds nothing is answered after it
	helloTimeout       = 5 * core.Second
	sweepInterval      = core.Second / 4
	maxPendingTime     = core.Second / 4 // an attempt is pending for one worker for so long, while another asks
	maxDueStepsPerTurn = 1000            // steps of the jobs' machine in one turn
	maxUnreadBytes     = 4 << 20         // bytes of replies that a session may leave unread
	workerPrefix       = "faktory:"
	protocolLevel      = 2
)

// Front is the Faktory front, and the transport to the workers that are connected to it. All but what its fields
// say otherwise is the loop's.
type Front struct {
	loop *core.Loop
	core *core.Core
	conf *config.Config
	log  *slog.Logger

	listener        netpoll.Listener
	server          netpoll.EventLoop
	sessions        core.SlotMap[*session]
	sessionsToFlush []*session         // with replies of this turn
	newFetches      []*session         // whose FETCH came in this turn
	workers         map[string]*worker // by wid
	queuePools      map[string]*core.Pool
	jobs            *jobs.Machine
	requests        map[*jobs.Job]*jobRequest
	jobsTimer       *core.Timer // of the machine
	jobsTimerAt     core.Time
	mutationWaiters map[uint64]*session // whose MUTATE is under way, by its token
	flushWaiters    []*session
	lastToken       uint64

	inputBytes      atomic.Int64 // bytes of commands that are not handled, of all sessions
	maxInputBytes   int64
	maxCommandBytes int // bytes of a command

	closed         bool
	draining       bool // the program is to end: nothing new is taken
	requestedState string
	startedAt      time.Duration
	commandCount   uint64
	rejected       map[string]uint64 // what was turned away, by the bound
}

type sessionKey struct{}

// New makes the front; Start opens it. The core must have been made with
// core.SingleClasses: of a try that may have run the jobs' own life decides whether there is another, and when.
func New(c *core.Core, conf *config.Config, log *slog.Logger) *Front {
	k := &conf.Faktory
	f := &Front{loop: c.Loop, core: c, conf: conf, log: log, workers: map[string]*worker{}, queuePools: map[string]*core.Pool{},
		requests: map[*jobs.Job]*jobRequest{}, mutationWaiters: map[uint64]*session{}, startedAt: clock.Monotonic(), rejected: map[string]uint64{},
		maxInputBytes: int64(k.MaxInputMB) << 20, maxCommandBytes: k.MaxCommandKB << 10}
	set := jobs.Settings{DefaultReservation: core.Time(k.ReserveS) * core.Second, MaxHeldJobs: k.MaxHeldJobs, MaxHeldBytes: k.MaxHeldMB << 20,
		MaxQueueJobs: k.MaxQueueJobs, MaxClientJobs: k.MaxClientJobs, MaxClientBytes: k.MaxClientMB << 20, MaxScheduled: k.MaxScheduled,
		MaxRetries: k.MaxRetries, MaxQueues: k.MaxQueues, MaxDead: k.MaxDead, MaxDeadBytes: k.MaxDeadMB << 20,
		MaxEnded: k.MaxEndedJobs, MaxEndedBytes: k.MaxEndedMB << 20, TableWindow: k.TableWindow}
	for i := range conf.Names.Classes {
		set.IsRepeatable = append(set.IsRepeatable, conf.Settings.Classes[i].Effect == rules.Repeatable)
	}
	f.jobs = jobs.New(set, mathrand.New(mathrand.NewPCG(conf.Seed, 0x6661_6b74_6f72_79)), host{f}, k.UsesTableWorkers)
	c.OnWorkerList = func() { f.jobs.SetTableWorkersReady(f.loop.Now(), c.MainPool().HasReadyWorker(f)) }
	return f
}

// Start listens.
func (f *Front) Start() error {
	ln, err := netpoll.CreateListener("tcp", f.conf.Faktory.Listen)
	if err != nil {
		return &config.Error{Key: "faktory.listen", Text: err.Error()}
	}
	f.listener = ln
	f.server, err = netpoll.NewEventLoop(onRequest, netpoll.WithOnPrepare(f.accept),
		netpoll.WithOnDisconnect(func(ctx context.Context, _ netpoll.Connection) {
			s := ctx.Value(sessionKey{}).(*session)
			f.loop.Post(func() { f.sessionEnded(s) })
		}))
	if err != nil {
		return err
	}
	go f.server.Serve(ln)
	f.loop.AfterTurn(f.afterTurn)
	f.loop.Post(func() {
		f.jobs.SetTableWorkersReady(f.loop.Now(), f.core.MainPool().HasReadyWorker(f))
		f.sweep()
	})
	return nil
}

// Address is where the front listens.
func (f *Front) Address() string { return f.listener.Addr().String() }

// Quiet has the front take no new jobs, since the program is to end. What no worker holds ends now, unrun;
// workers are told to take nothing new, and what they hold is waited for, up to the time for it.
func (f *Front) Drain() {
	if f.draining {
		return
	}
	f.draining, f.requestedState = true, "quiet"
	f.jobs.Drain()
	stop := core.Time(f.conf.Faktory.StopS * float64(core.Second))
	f.loop.At(f.loop.Now()+stop/2, func() { f.requestedState = "terminate" })
	f.loop.At(f.loop.Now()+stop, func() {
		f.core.AbortRequests(func(u core.Client) bool { _, ours := u.(*jobRequest); return ours })
	})
}

// Close ends all sessions.
func (f *Front) Close() {
	f.closed = true
	f.listener.Close()
	f.sessions.Each(func(_ core.Ref, s *session) { s.Close(link.Shutdown) })
}

func (f *Front) accept(nc netpoll.Connection) context.Context {
	s := &session{front: f}
	s.Init(nc, "faktory", nc.RemoteAddr().String(), 0)
	s.client, _, _ = net.SplitHostPort(s.Peer)
	s.input.backlog = link.NewBacklog()
	nc.AddCloseCallback(func(netpoll.Connection) error {
		f.loop.Post(func() { f.sessionEnded(s) })
		return nil
	})
	f.loop.Post(func() { f.greet(s) })
	return context.WithValue(context.Background(), sessionKey{}, s)
}

func (f *Front) greet(s *session) {
	if s.Ended {
		return
	}
	s.Opened = f.loop.Now()
	s.ref = f.sessions.Add(s)
	if f.sessions.Len() > f.conf.Faktory.MaxSessions {
		f.rejected["max_sessions"]++
		s.replyAndClose(errorReplyf("refused, max_sessions is reached, return in 1.000 s"), link.OverBudget)
		return
	}
	hi := map[string]any{"v": protocolLevel}
	if f.conf.Faktory.Password != "" {
		var salt [8]byte
		rand.Read(salt[:])
		s.salt = hex.EncodeToString(salt[:])
		hi["s"], hi["i"] = s.salt, f.conf.Faktory.HashRounds
	}
	text, _ := json.Marshal(hi)
	s.reply(simpleReply("HI " + string(text)))
	f.loop.At(f.loop.Now()+helloTimeout, func() {
		if !s.greeted && !s.Ended {
			s.Close(link.SlowInput)
		}
	})
}

// gone has a session end. The worker whose last one it was has gone with it.
func (f *Front) sessionEnded(s *session) {
	if !s.MarkEnded(f.log, f.loop.Now()) {
		return
	}
	s.releaseInput()
	f.sessions.Free(s.ref)
	f.loop.CancelTimer(s.fetchTimer)
	f.jobs.CancelFetch(&s.fetch)
	if w := s.worker; w != nil {
		w.removeWaiting(s)
		if w.sessionCount--; w.sessionCount == 0 {
			f.removeWorker(w)
		}
	}
}

// afterTurn sends the replies of a turn, each session's in one piece, and has the machine called when it is due.
func (f *Front) afterTurn() {
	f.startFetchTimers()
	for _, s := range f.sessionsToFlush {
		s.flush()
	}
	clear(f.sessionsToFlush)
	f.sessionsToFlush = f.sessionsToFlush[:0]
	at, ok := f.jobs.NextDue(f.loop.Now())
	switch {
	case !ok || f.jobsTimer != nil && f.jobsTimerAt <= at:
	default:
		f.loop.CancelTimer(f.jobsTimer)
		f.jobsTimerAt = at
		f.jobsTimer = f.loop.At(at, f.processJobs)
	}
}

func (f *Front) processJobs() {
	f.jobsTimer = nil
	f.jobs.ProcessDue(f.loop.Now(), maxDueStepsPerTurn)
	if len(f.flushWaiters) > 0 && !f.jobs.IsClearing() {
		done := f.flushWaiters
		f.flushWaiters = nil
		for _, s := range done {
			s.finishCommand(replyOK)
		}
	}
}

// sweep ends workers that have given no sign of life for too long, floods, and attempts that are pending for the wrong
// worker.
func (f *Front) sweep() {
	now := f.loop.Now()
	limit := now - f.conf.Faktory.HeartbeatTimeout()
	for _, w := range f.workers {
		if w.lastBeat < limit {
			f.log.Warn("faktory: a worker missed its beats", "wid", w.wid)
			f.sessions.Each(func(_ core.Ref, s *session) {
				if s.worker == w {
					s.Close(link.NoAnswer)
				}
			})
			f.removeWorker(w)
			continue
		}
		f.reassign(w, now)
	}
	f.sessions.Each(func(_ core.Ref, s *session) {
		if s.Conn.Reader().Len() > f.maxCommandBytes+link.MaxReadAheadBytes {
			s.Close(link.Flooding)
		} else if s.QueuedBytes() > maxUnreadBytes {
			s.Close(link.NotReading)
		}
	})
	if !f.closed {
		f.loop.At(now+sweepInterval, f.sweep)
	}
}

// pool gives the pool of a queue: the main one where the table workers run its jobs too, or it is where jobs of
// the HTTP front are handed out, else one of its own.
func (f *Front) poolFor(queue string) *core.Pool {
	if queue == f.conf.Faktory.Queue || f.conf.Faktory.UsesTableWorkers(queue) {
		return f.core.MainPool()
	}
	p := f.queuePools[queue]
	if p == nil {
		s := core.WithAtMostOnceClasses(f.conf.Settings)
		for i := range s.Classes {
			s.Classes[i].Kind = -1
		}
		s.MayProbe, s.CrossZoneCost, s.GroupSize, s.Rank = false, 0, 1, 0
		h := fnv.New64a()
		h.Write([]byte(queue))
		p = f.core.NewPool(queue, s, f.conf.Seed^h.Sum64())
		f.queuePools[queue] = p
	}
	return p
}

// forgetPools lets go of the pools of queues that are no more.
func (f *Front) closeUnusedPools() {
	if len(f.queuePools) <= f.conf.Faktory.MaxQueues {
		return
	}
	for name, p := range f.queuePools {
		if !f.jobs.HasQueue(name) && p.IsEmpty() {
			delete(f.queuePools, name)
			for _, w := range f.workers {
				delete(w.pools, p)
			}
			p.Close()
		}
	}
}

var _ core.Transport = (*Front)(nil)
