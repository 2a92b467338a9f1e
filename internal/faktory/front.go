// Package faktory is the front for the public Faktory work protocol: clients push jobs and workers fetch them, on the
// same core and rules as the HTTP fronts. Package gateway starts and stops it.
//
// Package jobs owns the lifecycle of a pushed job. For each run of a job the front opens a request in the core. A
// worker that fetches is one of the endpoints; an attempt sent to it is pending until the worker's FETCH, and can be
// cancelled unrun before that. A queue's jobs go to the workers that fetch from it; each queue has a pool and a
// dispatcher of its own, unless it uses the main pool.
package faktory

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"hash/fnv"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/jobs"
	"cobaltflow/internal/link"
	"cobaltflow/internal/reactor"
	"cobaltflow/rules"
)

const (
	fetchTimeout       = 2 * core.Second // a FETCH that finds no job is answered with null after it
	helloTimeout       = 5 * core.Second
	sweepInterval      = core.Second / 4
	maxPendingTime     = core.Second / 4 // how long an attempt stays pending for one worker while another waits
	maxDueStepsPerTurn = 1000            // timers and steps of the jobs' machine in one turn of the loop
	maxUnreadBytes     = 4 << 20         // bytes of replies that a session may leave unread before its commands wait

	// Connections over max_sessions that may be open, until their clients have read why: a quarter, and at least so many.
	rejectedConnsShare = 4
	minRejectedConns   = 8

	workerPrefix  = "faktory:"
	protocolLevel = 2
)

// Front is the Faktory front, and the core's transport to the workers that are connected to it. Its fields belong to
// the loop, unless they say otherwise.
type Front struct {
	loop *core.Loop
	core *core.Core
	conf *config.Config
	log  *slog.Logger
	// account is of the bytes that all fronts hold for their clients.
	account *link.Account

	link.FrontListener
	poller          *reactor.Poller
	sessions        core.SlotMap[*session]
	sessionsToFlush []*session         // have replies from this turn
	newFetches      []*session         // their FETCH came in this turn
	workers         map[string]*worker // by wid
	queuePools      map[string]*core.Pool
	// jobs is the state machine of all pushed jobs.
	jobs            *jobs.Machine
	requests        map[*jobs.Job]*jobRequest // the jobs with a request in the core
	jobsTimer       *core.Timer               // for the next call of jobs.ProcessDue
	jobsTimerAt     core.Time                 // when jobsTimer fires
	mutationWaiters map[uint64]*session       // sessions whose MUTATE is in progress, by its token
	// flushWaiters are the sessions whose FLUSH is in progress.
	flushWaiters []*session
	lastToken    uint64 // of the last MUTATE

	// The input of all sessions, in bytes.
	inputBytes      atomic.Int64 // bytes of commands that are not handled yet, of all sessions
	maxInputBytes   int64        // limit of inputBytes
	maxCommandBytes int          // limit for one command

	ownerSocket *net.UnixListener // not nil: this process owns the jobs, and later ones wait there
	successors  []*handoverConn   // the processes that wait, in the order of their arrival
	handover    *handover         // nil: none has begun
	predecessor *predecessor      // nil: none, or it has ended
	// uncertainUntil is when new jobs may be accepted: the last owner may have had them, and has ended without a handover.
	uncertainUntil core.Time
	setRegistered  func()        // closes registered
	registered     chan struct{} // closed once the owner of the jobs has registered this process
	waitMu         sync.Mutex    // guards the fields up to the next blank line
	ownerConn      *handoverConn
	isWaitStopped  bool

	closed         bool
	draining       bool          // the process shuts down: new jobs are rejected
	requestedState string        // of the workers, in replies to BEAT: empty, quiet or terminate
	startedAt      time.Duration // on the monotonic clock
	commandCount   uint64
	rejected       map[string]uint64 // rejected commands and connections, by the limit
}

// New makes the front; Start opens it. The core must have been made with core.WithAtMostOnceClasses: package jobs, not
// the core, decides whether and when a job that may have run runs again.
func New(c *core.Core, conf *config.Config, account *link.Account, poller *reactor.Poller, log *slog.Logger) *Front {
	cfg := &conf.Faktory
	f := &Front{poller: poller, loop: c.Loop, core: c, conf: conf, account: account, log: log, workers: map[string]*worker{}, queuePools: map[string]*core.Pool{},
		requests: map[*jobs.Job]*jobRequest{}, mutationWaiters: map[uint64]*session{}, startedAt: clock.Monotonic(), rejected: map[string]uint64{},
		maxInputBytes: int64(cfg.MaxInputMB) << 20, maxCommandBytes: cfg.MaxCommandKB << 10}
	f.registered = make(chan struct{})
	f.setRegistered = sync.OnceFunc(func() { close(f.registered) })
	settings := jobs.Settings{DefaultReservation: core.Time(cfg.ReserveS) * core.Second, MaxHeldJobs: cfg.MaxHeldJobs, MaxHeldBytes: cfg.MaxHeldMB << 20,
		MaxQueueJobs: cfg.MaxQueueJobs, MaxClientJobs: cfg.MaxClientJobs, MaxClientBytes: cfg.MaxClientMB << 20, MaxScheduled: cfg.MaxScheduled,
		MaxRetries: cfg.MaxRetries, MaxQueues: cfg.MaxQueues, MaxDead: cfg.MaxDead, MaxDeadBytes: cfg.MaxDeadMB << 20,
		MaxEnded: cfg.MaxEndedJobs, MaxEndedBytes: cfg.MaxEndedMB << 20, TableWindow: cfg.TableWindow}
	for i := range conf.Names.Classes {
		settings.IsRepeatable = append(settings.IsRepeatable, conf.Settings.Classes[i].Effect == rules.Repeatable)
	}
	f.jobs = jobs.New(settings, mathrand.New(mathrand.NewPCG(conf.Seed, 0x6661_6b74_6f72_79)), host{f}, cfg.UsesTableWorkers)
	c.OnWorkerList = func() { f.jobs.SetTableWorkersReady(f.loop.Now(), c.MainPool().HasReadyWorker(f)) }
	return f
}

// Start opens the listener and begins to serve; a *config.Error says that the address cannot be used. While another process of
// the scheduler owns the jobs, Start returns once that process has registered this one, and the front begins to serve after the
// handover.
func (f *Front) Start() error {
	f.loop.AfterTurn(f.afterTurn)
	f.loop.Post(func() {
		f.jobs.SetTableWorkersReady(f.loop.Now(), f.core.MainPool().HasReadyWorker(f))
		f.sweep()
	})
	if isShareable(f.conf) {
		socket, err := listenAsOwner(ownerAddress(f.conf))
		if errors.Is(err, unix.EADDRINUSE) {
			f.log.Info("faktory: waits for the process that owns the jobs")
			go f.takeOver()
			f.awaitRegistration()
			return nil
		}
		if err != nil {
			return &config.Error{Key: "faktory.listen", Text: "the owner's socket: " + err.Error()}
		}
		f.own(socket)
	}
	return f.listen()
}

// listen opens the listener.
func (f *Front) listen() error {
	ln, err := link.Listen(f.conf.Faktory.Listen)
	if err != nil {
		return &config.Error{Key: "faktory.listen", Text: err.Error()}
	}
	f.FrontListener = link.NewFrontListener(link.NewDrainingListener(ln, "faktory", f.loop, f.log))
	f.DrainingListener.LimitOpen(f.conf.Faktory.MaxSessions + max(minRejectedConns, f.conf.Faktory.MaxSessions/rejectedConnsShare))
	if err := f.poller.Serve(f.DrainingListener, f.accept); err != nil {
		return err
	}
	f.log.Info("faktory: serves", "address", f.Address())
	return nil
}

// isListening reports whether the front has opened its listener.
func (f *Front) isListening() bool { return f.DrainingListener != nil }

// Address returns the address of the listener, or the configured one before there is a listener.
func (f *Front) Address() string {
	if !f.isListening() {
		return f.conf.Faktory.Listen
	}
	return f.Listener.Addr().String()
}

// Drain rejects new jobs from now on, since the process is about to end. Jobs that no worker holds are handed over to a
// successor or, without one, end now, unrun; hasSuccessor says that there is one, even if it has not come to the owner's socket. Replies to BEAT request workers to go quiet and, after half of faktory.stop_s, to
// terminate. At the end of faktory.stop_s the jobs that they still hold are aborted.
func (f *Front) Drain(hasSuccessor bool) {
	if f.draining {
		return
	}
	f.draining, f.requestedState = true, "quiet"
	f.endOwnership(hasSuccessor)
	stop := core.Time(f.conf.Faktory.StopS * float64(core.Second))
	f.loop.At(f.loop.Now()+stop/2, func() { f.requestedState = "terminate" })
	f.loop.At(f.loop.Now()+stop, func() {
		f.core.AbortRequests(func(client core.Client) bool { _, isOurs := client.(*jobRequest); return isOurs })
	})
}

// IsClosed reports whether the listener is closed, no connection is left and the successor has what is due to it.
func (f *Front) IsClosed() bool {
	return f.IsListenerClosed() && f.sessions.Len() == 0 && f.isHandoverIdle()
}

// Close closes the listener and ends all sessions, also those that the listener's drain still accepts. Each gets an error
// first, which is the reply to a command that is on its way.
func (f *Front) Close() {
	f.closed = true
	f.CloseListener(false)
	if !f.hasHandedOver() {
		f.closeOwnerSocket()
	}
	f.sessions.Each(func(_ core.Ref, s *session) { s.refuse() })
}

// accept sets up a new session. It runs on the poller, before anything is read from the connection.
func (f *Front) accept(nc *reactor.Conn) reactor.Handler {
	s := &session{front: f}
	s.InitAccepted(nc, &f.poller.Buffers, "faktory")
	s.client, _, _ = net.SplitHostPort(s.Peer)
	s.OnAbandon = s.dropBuffers
	f.poller.Post(func() { f.greet(s) })
	return s
}

// greet adds a new connection to the sessions and sends HI, or closes it when max_sessions is reached.
func (f *Front) greet(s *session) {
	f.DrainingListener.Registered()
	if s.Ended {
		return
	}
	s.Opened = f.loop.Now()
	s.ref = f.sessions.Add(s)
	f.account.Add(&s.Link)
	if f.closed {
		s.refuse()
		return
	}
	if f.sessions.Len() > f.conf.Faktory.MaxSessions {
		f.rejected["max_sessions"]++
		s.replyAndClose(errorReplyf("refused, max_sessions is reached, return in 1.000 s"), link.OverBudget)
		return
	}
	greeting := map[string]any{"v": protocolLevel}
	if f.conf.Faktory.Password != "" {
		var salt [8]byte
		rand.Read(salt[:])
		s.salt = hex.EncodeToString(salt[:])
		greeting["s"], greeting["i"] = s.salt, f.conf.Faktory.HashRounds
	}
	text, _ := json.Marshal(greeting)
	s.reply(simpleReply("HI " + string(text)))
	s.helloTimer = f.loop.At(f.loop.Now()+helloTimeout, func() {
		if !s.greeted && !s.Ended {
			s.Close(link.SlowInput)
		}
	})
}

// sessionEnded cleans up after a session. A worker whose last session has ended is removed.
func (f *Front) sessionEnded(s *session) {
	if !s.MarkEnded(f.log, f.loop.Now()) {
		return
	}
	s.releaseInput()
	f.sessions.Free(s.ref)
	f.loop.CancelTimer(s.helloTimer) // which would keep the session, and what it has read, until its time
	f.loop.CancelTimer(s.fetchTimer)
	f.jobs.CancelFetch(&s.fetch)
	if w := s.worker; w != nil {
		w.removeWaiting(s)
		if w.sessionCount--; w.sessionCount == 0 {
			f.removeWorker(w)
		}
	}
}

// afterTurn sends the replies of a turn, each session's in one write, and sets the timer for the next call of
// jobs.ProcessDue.
func (f *Front) afterTurn() {
	f.exportJobs()
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

// processJobs processes what is due in the jobs' machine, and answers FLUSH commands that are complete.
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

// sweep removes workers that missed their heartbeats and moves attempts that are pending for a busy worker.
func (f *Front) sweep() {
	now := f.loop.Now()
	expiredBefore := now - f.conf.Faktory.HeartbeatTimeout()
	for _, w := range f.workers {
		if w.lastSeen < expiredBefore {
			f.log.Warn("faktory: worker missed its heartbeats", "wid", w.wid)
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
	if !f.closed {
		f.loop.At(now+sweepInterval, f.sweep)
	}
}

// poolFor returns the pool of a queue: the main one if the table workers run its jobs too or if it hands out the HTTP
// fronts' requests, else one of its own.
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

// closeUnusedPools closes the pools of queues that no longer exist, when there are more pools than max_queues.
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
