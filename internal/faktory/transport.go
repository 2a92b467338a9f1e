package faktory

import (
	"strings"

	"cobaltflow/internal/core"
	"cobaltflow/rules"
)

// worker is a process that fetches jobs, over one or more sessions.
type worker struct {
	wid             string
	name            string // its name among the endpoints
	process         string // host and pid from HELLO; a different one under the same wid is another worker
	sessionCount    int
	pools           map[*core.Pool]bool // the pools that it has joined
	joinedAt        core.Time           // when it joined its first pool
	draining        bool
	state           string                   // from its last BEAT that had one
	lastSeen        core.Time                // when its last command arrived
	rssKB           int64                    // resident memory in kB, from its last BEAT
	pending         []pendingAttempt         // attempts that are not fetched yet, in the order they were sent
	fetched         map[string]*core.Attempt // by jid
	waitingSessions []*session               // sessions with a waiting FETCH
}

// pendingAttempt is an attempt that waits for its worker's FETCH.
type pendingAttempt struct {
	attempt *core.Attempt
	queue   string
	since   core.Time
}

// attemptState is the front's state of an attempt, in core.Attempt.TransportState.
type attemptState struct{ isFetched bool }

// removeWorker removes a worker from the endpoints. The jobs that it has fetched may have run; its pending attempts
// never did.
func (f *Front) removeWorker(w *worker) {
	if f.workers[w.wid] != w {
		return // already removed; another worker may have the wid now
	}
	delete(f.workers, w.wid)
	pending, fetched := w.pending, w.fetched
	w.pending, w.fetched = nil, nil
	f.updatePools(w, rules.Gone)
	for _, waiting := range pending {
		f.core.AttemptEnded(waiting.attempt.Ref, rules.Unreachable, nil, rules.Load{})
	}
	for _, attempt := range fetched {
		f.recordFailure(attempt, "WorkerVanished", "worker "+w.wid+" vanished with the job")
		f.core.AttemptEnded(attempt.Ref, rules.Reset, nil, rules.Load{})
	}
}

// updatePools reports a worker's state to all pools that it has joined.
func (f *Front) updatePools(w *worker, state rules.WorkerState) {
	for pool := range w.pools {
		f.updatePool(w, pool, state)
	}
}

// updatePool reports a worker's state to one pool, as a worker list update.
func (f *Front) updatePool(w *worker, pool *core.Pool, state rules.WorkerState) {
	pool.UpdateWorkerList(f, rules.ListDelta, []core.ListedWorker{{Name: w.name, Zone: f.core.Settings().Zone, Kind: -1,
		State: state, Weight: 1, StartedAt: w.joinedAt}})
}

// joinPool adds a worker to the pool of a queue on its first FETCH from it. When the process started is not known, so
// the worker counts as just started and is subject to slow start.
func (f *Front) joinPool(w *worker, queue string) {
	pool := f.poolFor(queue)
	if w.pools[pool] {
		return
	}
	if w.joinedAt == 0 {
		w.joinedAt = f.loop.Now()
	}
	w.pools[pool] = true
	state := rules.Ready
	if w.draining {
		state = rules.Draining
	}
	f.updatePool(w, pool, state)
}

func (f *Front) workerByName(name string) *worker {
	return f.workers[strings.TrimPrefix(name, workerPrefix)]
}

// Send implements core.Transport: it answers a waiting FETCH of the worker, or lets the attempt wait for the next one.
func (f *Front) Send(attempt *core.Attempt) {
	attempt.TransportState = &attemptState{}
	w := f.workerByName(attempt.Worker)
	if w == nil {
		f.loop.Post(func() { f.core.AttemptEnded(attempt.Ref, rules.Unreachable, nil, rules.Load{}) })
		return
	}
	queue := f.queueOf(attempt.Client)
	for _, s := range w.waitingSessions {
		if s.CloseReason == "" && s.fetch.HasQueue(queue) && !s.IsPeerGone() {
			f.deliver(w, s, attempt) // one that may not begin ends in a later turn
			return
		}
	}
	w.pending = append(w.pending, pendingAttempt{attempt, queue, f.loop.Now()})
}

// HasBegun implements core.Transport.
func (f *Front) HasBegun(attempt *core.Attempt) bool {
	return attempt.TransportState.(*attemptState).isFetched
}

// Cancel implements core.Transport. An attempt that was not fetched never ran. The protocol cannot cancel a fetched
// one, so its worker goes on with it.
func (f *Front) Cancel(attempt *core.Attempt) (mayHaveRun bool) {
	if w := f.workerByName(attempt.Worker); w != nil {
		for i, waiting := range w.pending {
			if waiting.attempt == attempt {
				w.pending = append(w.pending[:i], w.pending[i+1:]...)
				return false
			}
		}
		if w.fetched[attempt.RequestID] == attempt {
			delete(w.fetched, attempt.RequestID)
		}
	}
	return attempt.TransportState.(*attemptState).isFetched
}

// Probe implements core.Transport. The worker's load is known here, so no message is sent.
func (f *Front) Probe(name string) {
	w := f.workerByName(name)
	status, load := rules.Unreachable, rules.Load{}
	if w != nil {
		status, load = rules.OK, w.load(0)
	}
	f.loop.Post(func() { f.core.Probed(name, status, 0, load) })
}

// load is the load that a table worker would report. extraSlots are FETCHes that are about to come.
func (w *worker) load(extraSlots int) rules.Load {
	return rules.Load{Has: rules.HasQueue | rules.HasInFlight | rules.HasFreeSlots, Queue: float64(len(w.pending)),
		InFlight: float64(len(w.pending) + len(w.fetched)), FreeSlots: float64(len(w.waitingSessions) + extraSlots)}
}

// deliver answers a FETCH with an attempt, which may have run from here on. It returns false if the attempt may not begin any
// more: it may have waited for the FETCH for long.
func (f *Front) deliver(w *worker, s *session, attempt *core.Attempt) bool {
	request := f.core.BeginAttempt(attempt.Ref)
	if request == nil {
		return false
	}
	attempt.TransportState.(*attemptState).isFetched = true
	w.fetched[attempt.RequestID] = attempt
	w.removeWaiting(s)
	f.loop.CancelTimer(s.fetchTimer)
	s.fetchTimer = nil
	if r, isOurs := attempt.Client.(*jobRequest); isOurs {
		f.jobs.Started(f.loop.Now(), r.job, w.wid, &s.fetch)
	} else {
		f.jobs.CancelFetch(&s.fetch)
	}
	s.finishCommand(bulkReply(f.fetchPayload(request)))
	f.core.AttemptStarted(attempt.Ref)
	return true
}

// deliverPending answers a FETCH with a pending attempt of its worker, if any: by the order of the FETCH's queues, then
// by the order in which the attempts were sent.
func (f *Front) deliverPending(w *worker, s *session) bool {
	for _, queue := range s.queues {
		for i := 0; i < len(w.pending); i++ {
			waiting := w.pending[i]
			if waiting.queue != queue {
				continue
			}
			w.pending = append(w.pending[:i], w.pending[i+1:]...)
			i--
			if f.deliver(w, s, waiting.attempt) {
				return true
			}
		}
	}
	return false
}

// reassign ends attempts that have been pending for a worker for maxPendingTime while another worker waits for a job of
// their queue. They count as refused, so the core retries them elsewhere.
func (f *Front) reassign(w *worker, now core.Time) {
	for i := 0; i < len(w.pending); i++ {
		waiting := w.pending[i]
		if now-waiting.since < maxPendingTime || !f.hasWaitingFetch(waiting.queue) {
			continue
		}
		w.pending = append(w.pending[:i], w.pending[i+1:]...)
		i--
		f.core.AttemptEnded(waiting.attempt.Ref, rules.Refused, nil, w.load(0))
	}
}

// hasWaitingFetch reports whether any FETCH waits for a job of the queue.
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

// returnPending ends all pending attempts of a worker that will not fetch them.
func (f *Front) returnPending(w *worker) {
	pending := w.pending
	w.pending = nil
	for _, waiting := range pending {
		f.core.AttemptEnded(waiting.attempt.Ref, rules.Refused, nil, rules.Load{})
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

// queueOf is the queue of a request: the pushed job's, or the default queue for a request of the HTTP fronts.
func (f *Front) queueOf(client core.Client) string {
	if r, ok := client.(*jobRequest); ok {
		return r.job.Queue
	}
	return f.conf.Faktory.Queue
}
