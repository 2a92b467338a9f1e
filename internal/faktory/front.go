// Package faktory is the second front: it speaks the public Faktory work protocol with clients that
// push jobs and workers that fetch them, on the same core, decisions and rules as the HTTP front.
//
// A PUSH opens a transaction. A worker that fetches is a member of the farm; a proxy pass to it waits
// in its hand until it fetches, and is withdrawn unrun before that.
package faktory

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
	"cobaltflow/rules"
)

const (
	fetchWait     = 2 * core.Second        // a FETCH that finds nothing is answered after it
	decideWithin  = 100 * core.Millisecond // a PUSH that is held longer than this counts as taken
	sweepEvery    = core.Second / 4
	restartTime   = 2 * core.Second // after which a client may look for the next process
	hashRounds    = 1545
	workerPrefix  = "faktory:"
	protocolLevel = 2
)

// Front is the Faktory front, and the carrier to the workers that are connected to it.
type Front struct {
	loop *core.Loop
	core *core.Core
	conf *config.Config
	log  *slog.Logger

	listener netpoll.Listener
	server   netpoll.EventLoop
	sessions core.Table[*session]
	workers  map[string]*worker // by wid
	jobs     map[string]*pushed // by jid
	ended    []*pushed          // in order of their end
	closed   bool
	quiet    bool // the program is to end: nothing new is taken
	began    time.Time
	pushes   uint64
	fetches  uint64
}

// worker is a process that fetches jobs, over one or more sessions.
type worker struct {
	wid      string
	sessions int
	joined   bool
	start    core.Time // when it joined
	draining bool
	beat     core.Time // the last sign of life
	queues   []string
	pending  []*core.ProxyPass // not fetched yet, in order of their sending
	fetched  map[string]*core.ProxyPass
	waiting  []*session // FETCHes that wait
}

type handState struct{ fetched bool }

type sessionKey struct{}

// New makes the front; Start opens it.
func New(c *core.Core, conf *config.Config, log *slog.Logger) *Front {
	return &Front{loop: c.Loop, core: c, conf: conf, log: log, workers: map[string]*worker{}, jobs: map[string]*pushed{},
		began: time.Now()}
}

// Start listens.
func (f *Front) Start() error {
	ln, err := netpoll.CreateListener("tcp", f.conf.Faktory.Listen)
	if err != nil {
		return &config.Error{Key: "faktory.listen", Text: err.Error()}
	}
	f.listener = ln
	f.server, err = netpoll.NewEventLoop(onRequest, netpoll.WithOnPrepare(f.prepare),
		netpoll.WithOnDisconnect(func(ctx context.Context, _ netpoll.Connection) {
			s := ctx.Value(sessionKey{}).(*session)
			f.loop.Post(func() { f.gone(s) })
		}))
	if err != nil {
		return err
	}
	go f.server.Serve(ln)
	f.loop.Post(f.sweep)
	return nil
}

// Address is where the front listens.
func (f *Front) Address() string { return f.listener.Addr().String() }

// Quiet has the front take no new jobs, since the program is to end. What was taken goes on: workers
// fetch and report until the last of it has its final state.
func (f *Front) Quiet() { f.quiet = true }

// Close ends all sessions.
func (f *Front) Close() {
	f.closed = true
	f.listener.Close()
	f.sessions.Each(func(_ core.Ref, s *session) { s.Close(link.ShutDown) })
}

func (f *Front) prepare(nc netpoll.Connection) context.Context {
	s := &session{front: f}
	s.Init(nc, "faktory", nc.RemoteAddr().String(), 0)
	nc.AddCloseCallback(func(netpoll.Connection) error {
		f.loop.Post(func() { f.gone(s) })
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
		s.Close(link.OverBudget)
		return
	}
	hi := map[string]any{"v": protocolLevel}
	if f.conf.Faktory.Password != "" {
		var salt [8]byte
		rand.Read(salt[:])
		s.salt = hex.EncodeToString(salt[:])
		hi["s"], hi["i"] = s.salt, hashRounds
	}
	text, _ := json.Marshal(hi)
	s.reply(simple("HI " + string(text)))
	f.loop.At(f.loop.Now()+5*core.Second, func() {
		if !s.greeted && !s.Ended {
			s.Close(link.SlowInput)
		}
	})
}

// gone has a session end. The worker whose last one it was has gone with it.
func (f *Front) gone(s *session) {
	if !s.Farewell(f.log, f.loop.Now()) {
		return
	}
	f.sessions.Free(s.ref)
	f.loop.Drop(s.fetch)
	if w := s.worker; w != nil {
		w.unwait(s)
		if w.sessions--; w.sessions == 0 {
			f.vanish(w)
		}
	}
	s.Release()
}

// vanish takes a worker out of the farm. What it had fetched may have run, what it had not never did.
func (f *Front) vanish(w *worker) {
	if f.workers[w.wid] != w {
		return // it has vanished before; another may have come under its wid since
	}
	delete(f.workers, w.wid)
	pending, fetched := w.pending, w.fetched
	w.pending, w.fetched = nil, nil
	if w.joined {
		f.tell(w, rules.Gone)
	}
	for _, p := range pending {
		f.core.Ended(p.Ref, rules.Unreachable, nil, rules.Load{})
	}
	for _, p := range fetched {
		f.core.Ended(p.Ref, rules.Reset, nil, rules.Load{})
	}
}

func (f *Front) tell(w *worker, state rules.WorkerState) {
	f.core.Farm(f, rules.ListDelta, []core.FarmWorker{{Name: workerPrefix + w.wid, Zone: f.core.Settings().Zone, Kind: -1,
		State: state, Weight: 1, StartedAt: w.start}})
}

// join makes a worker that fetches for the first time a member of the farm. It has just started as far
// as is known here, so the rules for cold workers hold for it.
func (f *Front) join(w *worker) {
	if !w.joined {
		w.joined = true
		w.start = f.loop.Now()
		f.tell(w, w.state())
	}
}

func (w *worker) state() rules.WorkerState {
	if w.draining {
		return rules.Draining
	}
	return rules.Ready
}

// sweep ends workers that have given no sign of life for too long, and floods.
func (f *Front) sweep() {
	limit := f.loop.Now() - f.conf.Faktory.Beat()
	for _, w := range f.workers {
		if w.beat < limit {
			f.log.Warn("faktory: a worker missed its beats", "wid", w.wid)
			f.sessions.Each(func(_ core.Ref, s *session) {
				if s.worker == w {
					s.Close(link.NoAnswer)
				}
			})
			f.vanish(w)
		}
	}
	f.sessions.Each(func(_ core.Ref, s *session) {
		if s.NC.Reader().Len() > longestCommand+link.AheadMost {
			s.Close(link.Flooding)
		}
	})
	if !f.closed {
		f.loop.At(f.loop.Now()+sweepEvery, f.sweep)
	}
}

// Carry implements core.Carrier: the pass waits for the worker's FETCH.
func (f *Front) Carry(p *core.ProxyPass) {
	p.Carried = &handState{}
	ref := p.Ref
	w := f.workers[strings.TrimPrefix(p.Worker, workerPrefix)]
	switch {
	case w == nil:
		f.loop.Post(func() { f.core.Ended(ref, rules.Unreachable, nil, rules.Load{}) })
	case !w.serves(f.queueOf(p.Transaction)):
		// It would wait for ever: the worker fetches from other queues.
		f.loop.Post(func() { f.core.Ended(ref, rules.Refused, nil, rules.Load{}) })
	default:
		w.pending = append(w.pending, p)
		f.hand(w)
	}
}

// Withdraw implements core.Carrier. A pass that was not fetched never ran; of one that was, the
// protocol has no way to tell the worker, which goes on with it.
func (f *Front) Withdraw(p *core.ProxyPass) (mayHaveRun bool) {
	w := f.workers[strings.TrimPrefix(p.Worker, workerPrefix)]
	if w != nil {
		for i, q := range w.pending {
			if q == p {
				w.pending = append(w.pending[:i], w.pending[i+1:]...)
				return false
			}
		}
		if w.fetched[p.Transaction.ID] == p {
			delete(w.fetched, p.Transaction.ID)
		}
	}
	return p.Carried.(*handState).fetched
}

// Probe implements core.Carrier. What would be asked is known here.
func (f *Front) Probe(name string) {
	w := f.workers[strings.TrimPrefix(name, workerPrefix)]
	status, load := rules.Unreachable, rules.Load{}
	if w != nil {
		status = rules.OK
		load = rules.Load{Has: rules.HasQueue | rules.HasInFlight | rules.HasFreeSlots, Queue: float64(len(w.pending)),
			InFlight: float64(len(w.pending) + len(w.fetched)), FreeSlots: float64(len(w.waiting))}
	}
	f.loop.Post(func() { f.core.Probed(name, status, 0, load) })
}

// hand gives waiting passes to waiting FETCHes.
func (f *Front) hand(w *worker) {
	for i := 0; i < len(w.pending); {
		p := w.pending[i]
		queue := f.queueOf(p.Transaction)
		s := w.waiter(queue)
		if s == nil {
			i++
			continue
		}
		w.pending = append(w.pending[:i], w.pending[i+1:]...)
		w.unwait(s)
		f.loop.Drop(s.fetch)
		f.give(w, s, p)
	}
}

// give answers a FETCH with a pass. From here on it may have run.
func (f *Front) give(w *worker, s *session, p *core.ProxyPass) {
	p.Carried.(*handState).fetched = true
	w.fetched[p.Transaction.ID] = p
	if job := f.jobs[p.Transaction.ID]; job != nil {
		job.state = stateWorking
	}
	f.fetches++
	s.reply(bulk(f.payload(p.Transaction)))
	s.Release()
	// The note goes in after the event that is being applied, as every event does.
	ref := p.Ref
	f.loop.Post(func() { f.core.Started(ref) })
}

func (w *worker) waiter(queue string) *session {
	for _, s := range w.waiting {
		for _, q := range s.queues {
			if q == queue {
				return s
			}
		}
	}
	return nil
}

func (w *worker) unwait(s *session) {
	for i, other := range w.waiting {
		if other == s {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			return
		}
	}
}

func (w *worker) serves(queue string) bool {
	for _, q := range w.queues {
		if q == queue {
			return true
		}
	}
	return false
}

// info is the reply to INFO, in the shape of the public server's.
func (f *Front) info() []byte {
	waiting, working := 0, 0
	for _, w := range f.workers {
		waiting += len(w.pending)
		working += len(w.fetched)
	}
	n := f.core.Counts
	text, _ := json.Marshal(map[string]any{
		"now":             time.Now().UTC().Format(time.RFC3339Nano),
		"server_utc_time": time.Now().UTC().Format("15:04:05 UTC"),
		"faktory": map[string]any{"total_enqueued": waiting, "total_processed": n.Served, "total_failures": n.Failed,
			"total_queues": 1, "queues": map[string]int{f.conf.Faktory.Queue: waiting}, "tasks": map[string]any{"working": working}},
		"server": map[string]any{"description": "cobaltflow", "faktory_version": "1.9.0",
			"uptime": int(time.Since(f.began).Seconds()), "connections": f.sessions.Len(), "command_count": f.pushes + f.fetches},
	})
	return text
}

var _ core.Carrier = (*Front)(nil)

func fault(format string, args ...any) []byte { return failure(fmt.Sprintf(format, args...)) }
