package faktory

import (
	"strings"

	"cobaltflow/internal/core"
	"cobaltflow/rules"
)

// worker is a process that fetches jobs, over one or more sessions.
type worker struct {
	wid             string
	name            string // among the endpoints
	process         string // what HELLO told of it: another one under the same wid is another worker
	sessionCount    int
	pools           map[*core.Pool]bool // the pools that it has joined
	joinedAt        core.Time           // when it first did
	draining        bool
	state           string           // as its BEAT told
	lastBeat        core.Time        // the last sign of life
	rssKB           int64            // kB, as its BEAT told
	pending         []pendingAttempt // not fetched yet, in order of their sending
	fetched         map[string]*core.Attempt
	waitingSessions []*session // FETCHes that wait
}

// pendingAttempt is an attempt that waits for its worker's FETCH.
type pendingAttempt struct {
	attempt *core.Attempt
	queue   string
	since   core.Time
}

// attemptState is what an attempt carries of ours.
type attemptState struct{ isFetched bool }

// removeWorker takes a worker out of the endpoints. What it had fetched may have run, what it had not never did.
func (f *Front) removeWorker(w *worker) {
	if f.workers[w.wid] != w {
		return // it has vanished before; another may have come under its wid since
	}
	delete(f.workers, w.wid)
	pending, fetched := w.pending, w.fetched
	w.pending, w.fetched = nil, nil
	f.updatePools(w, rules.Gone)
	for _, h := range pending {
		f.core.AttemptEnded(h.attempt.Ref, rules.Unreachable, nil, rules.Load{})
	}
	for _, p := range fetched {
		f.recordFailure(p, "WorkerVanished", "worker "+w.wid+" vanished with the job")
		f.core.AttemptEnded(p.Ref, rules.Reset, nil, rules.Load{})
	}
}

// tell tells all pools of a worker.
func (f *Front) updatePools(w *worker, state rules.WorkerState) {
	for p := range w.pools {
		f.updatePool(w, p, state)
	}
}

func (f *Front) updatePool(w *worker, p *core.Pool, state rules.WorkerState) {
	p.UpdateWorkerList(f, rules.ListDelta, []core.ListedWorker{{Name: w.name, Zone: f.core.Settings().Zone, Kind: -1,
		State: state, Weight: 1, StartedAt: w.joinedAt}})
}

// join makes a worker that fetches from a queue for the first time a member of its pool. It has just started as
// far as is known here, so the rules for cold workers hold for it.
func (f *Front) joinPool(w *worker, queue string) {
	p := f.poolFor(queue)
	if w.pools[p] {
		return
	}
	if w.joinedAt == 0 {
		w.joinedAt = f.loop.Now()
	}
	w.pools[p] = true
	state := rules.Ready
	if w.draining {
		state = rules.Draining
	}
	f.updatePool(w, p, state)
}

func (f *Front) workerByName(name string) *worker {
	return f.workers[strings.TrimPrefix(name, workerPrefix)]
}

// Carry implements core.Carrier: the attempt waits for the worker's FETCH.
func (f *Front) Send(p *core.Attempt) {
	p.TransportState = &attemptState{}
	w := f.workerByName(p.Worker)
	if w == nil {
		f.loop.Post(func() { f.core.AttemptEnded(p.Ref, rules.Unreachable, nil, rules.Load{}) })
		return
	}
	queue := f.queueOf(p.Request)
	for _, s := range w.waitingSessions {
		if s.fetch.HasQueue(queue) {
			f.deliver(w, s, p)
			return
		}
	}
	w.pending = append(w.pending, pendingAttempt{p, queue, f.loop.Now()})
}

// Begun implements core.Carrier.
func (f *Front) HasBegun(p *core.Attempt) bool { return p.TransportState.(*attemptState).isFetched }

// Withdraw implements core.Carrier. An attempt that was not fetched never ran; of one that was, the
// protocol has no way to tell the worker, which goes on with it.
func (f *Front) Cancel(p *core.Attempt) (mayHaveRun bool) {
	if w := f.workerByName(p.Worker); w != nil {
		for i, h := range w.pending {
			if h.attempt == p {
				w.pending = append(w.pending[:i], w.pending[i+1:]...)
				return false
			}
		}
		if w.fetched[p.Request.ID] == p {
			delete(w.fetched, p.Request.ID)
		}
	}
	return p.TransportState.(*attemptState).isFetched
}

// Probe implements core.Carrier. What would be asked is known here.
func (f *Front) Probe(name string) {
	w := f.workerByName(name)
	status, load := rules.Unreachable, rules.Load{}
	if w != nil {
		status, load = rules.OK, w.load(0)
	}
	f.loop.Post(func() { f.core.Probed(name, status, 0, load) })
}

// load is what the decisions would hear from a table worker. free are FETCHes that are sure to come.
func (w *worker) load(free int) rules.Load {
	return rules.Load{Has: rules.HasQueue | rules.HasInFlight | rules.HasFreeSlots, Queue: float64(len(w.pending)),
		InFlight: float64(len(w.pending) + len(w.fetched)), FreeSlots: float64(len(w.waitingSessions) + free)}
}

// deliver answers a FETCH with an attempt. From here on it may have run.
func (f *Front) deliver(w *worker, s *session, p *core.Attempt) {
	p.TransportState.(*attemptState).isFetched = true
	w.fetched[p.Request.ID] = p
	w.removeWaiting(s)
	f.loop.CancelTimer(s.fetchTimer)
	s.fetchTimer = nil
	if try, ours := p.Request.Client.(*jobRequest); ours {
		f.jobs.Started(f.loop.Now(), try.job, w.wid, &s.fetch)
	} else {
		f.jobs.CancelFetch(&s.fetch)
	}
	s.finishCommand(bulkReply(f.fetchPayload(p.Request)))
	f.core.AttemptStarted(p.Ref)
}

// deliverPending answers a FETCH with what is pending for its worker: in the order of its queues, and of these in the
// order of their coming.
func (f *Front) deliverPending(w *worker, s *session) bool {
	for _, q := range s.queues {
		for i, h := range w.pending {
			if h.queue == q {
				w.pending = append(w.pending[:i], w.pending[i+1:]...)
				f.deliver(w, s, h.attempt)
				return true
			}
		}
	}
	return false
}

// reassign ends the attempts that are pending for a busy worker while another asks for their queue: they were refused, and
// go elsewhere.
func (f *Front) reassign(w *worker, now core.Time) {
	for i := 0; i < len(w.pending); i++ {
		h := w.pending[i]
		if now-h.since < maxPendingTime || !f.hasWaitingFetch(h.queue) {
			continue
		}
		w.pending = append(w.pending[:i], w.pending[i+1:]...)
		i--
		f.core.AttemptEnded(h.attempt.Ref, rules.Refused, nil, w.load(0))
	}
}

func (f *Front) hasWaitingFetch(queue string) bool {
	for _, w := range f.workers {
		for _, s := range w.waitingSessions {
			if s.fetch.HasQueue(queue) {
				return true
			}
		}
	}
	return false
}

// returnPending ends the attempts that a worker will not fetch any more.
func (f *Front) returnPending(w *worker) {
	pending := w.pending
	w.pending = nil
	for _, h := range pending {
		f.core.AttemptEnded(h.attempt.Ref, rules.Refused, nil, rules.Load{})
	}
}

func (w *worker) removeWaiting(s *session) {
	for i, other := range w.waitingSessions {
		if other == s {
			w.waitingSessions = append(w.waitingSessions[:i], w.waitingSessions[i+1:]...)
			return
		}
	}
}

func (f *Front) queueOf(t *core.Request) string {
	if try, ok := t.Client.(*jobRequest); ok {
		return try.job.Queue
	}
	return f.conf.Faktory.Queue
}
