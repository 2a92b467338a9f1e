package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// world is the host, the core and the workers of a Machine; it keeps its own record of each job to check against.
type world struct {
	t           *rapid.T
	m           *Machine
	now         Time
	open        map[*Job]bool   // jobs with a request in the core
	withWorker  map[*Job]*Fetch // jobs that a worker holds
	fetches     []*Fetch
	finalStates map[*Job]int // final states that were reported
	lifetimes   map[*Job]int // how often the job was pushed or requeued from the dead
	runs        map[*Job]int // runs that may have started
	pushed      []*Job
	mutated     int
}

func (w *world) OpenRequest(j *Job, worker string) {
	if w.open[j] {
		w.t.Fatalf("%s is opened twice", j.ID)
	}
	if j.State != Enqueued {
		w.t.Fatalf("%s is opened in state %s", j.ID, j.State)
	}
	if w.runs[j] > 0 && !w.m.settings.IsRepeatable[j.Class] {
		w.t.Fatalf("%s may have run and is opened again, which its class forbids", j.ID)
	}
	if w.m.queues[j.Queue].paused {
		w.t.Fatalf("%s is opened from a paused queue", j.ID)
	}
	w.open[j] = true
}

func (w *world) CancelRequest(j *Job) {
	if !w.open[j] {
		w.t.Fatalf("%s is cancelled and has no request", j.ID)
	}
	delete(w.open, j)
	delete(w.withWorker, j)
}

func (w *world) ExpireReservation(j *Job) {
	if w.withWorker[j] == nil {
		w.t.Fatalf("the reservation of %s ended, and no worker holds it", j.ID)
	}
	w.end(j, OutcomeFailed)
}

func (w *world) JobEnded(j *Job) {
	w.finalStates[j]++
	if j.State == Refused && w.runs[j] > 0 {
		w.t.Fatalf("%s may have run and was reported as refused", j.ID)
	}
}

func (w *world) MutationDone(uint64, Mutation) { w.mutated++ }

// end ends a request, as the core does, in an event of its own.
func (w *world) end(j *Job, e Outcome) {
	delete(w.open, j)
	delete(w.withWorker, j)
	w.m.RequestEnded(w.now, j, e, 0, nil)
}

func (w *world) check() {
	m := w.m
	stats := m.Stats()
	held, bytes, working, enqueued := 0, 0, 0, 0
	for _, j := range m.jobs {
		if !j.State.IsFinal() {
			held++
			bytes += int(j.Size)
		}
		switch j.State {
		case Working:
			working++
		case Enqueued:
			enqueued++
		}
		if j.isOpen != w.open[j] {
			w.t.Fatalf("%s: request open in the machine %v, in the core %v", j.ID, j.isOpen, w.open[j])
		}
	}
	if held != stats.Held || bytes != stats.HeldBytes || working != stats.Working || enqueued != stats.Enqueued {
		w.t.Fatalf("held %d/%d, bytes %d/%d, working %d/%d, enqueued %d/%d", held, stats.Held, bytes, stats.HeldBytes, working, stats.Working, enqueued, stats.Enqueued)
	}
	s := &m.settings
	if stats.Held > s.MaxHeldJobs || stats.HeldBytes > s.MaxHeldBytes || stats.Scheduled > s.MaxScheduled || stats.Retries > s.MaxRetries ||
		stats.Dead > s.MaxDead || stats.Ended > s.MaxEnded || stats.Queues > s.MaxQueues || stats.EndedBytes > s.MaxEndedBytes {
		w.t.Fatalf("a limit is exceeded: %+v", stats)
	}
	for _, j := range w.pushed {
		final := 0
		if j.State.IsFinal() {
			final = 1
		}
		if w.finalStates[j] != w.lifetimes[j]-1+final {
			w.t.Fatalf("%s has %d final states in %d lifetimes and is %s", j.ID, w.finalStates[j], w.lifetimes[j], j.State)
		}
	}
	for _, q := range m.queueOrder {
		if q.backlog > 0 && q.waiting.first != nil && m.mayOpen(w.now, q) {
			w.t.Fatalf("queue %s has jobs while a FETCH waits for them", q.name)
		}
		if q.bound.count+q.unbound.count != q.openCount {
			w.t.Fatalf("queue %s: %d open, %d bound, %d unbound", q.name, q.openCount, q.bound.count, q.unbound.count)
		}
	}
	for _, fetch := range w.fetches {
		if j := fetch.job; j != nil && (j.fetch != fetch || !fetch.isWaiting || !j.isOpen) {
			w.t.Fatalf("a FETCH is bound to %s, which is bound to another or to none", j.ID)
		}
	}
}

// drawJob draws one of the jobs in from; nil: there is none.
func (w *world) drawJob(from map[*Job]bool, label string) *Job {
	var list []*Job
	for _, j := range w.pushed {
		if from[j] {
			list = append(list, j)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return rapid.SampledFrom(list).Draw(w.t, label)
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: 1 << 42, open: map[*Job]bool{}, withWorker: map[*Job]*Fetch{}, finalStates: map[*Job]int{}, lifetimes: map[*Job]int{},
		runs: map[*Job]int{}}
	w.m = New(Settings{IsRepeatable: []bool{true, false}, DefaultReservation: 5 * Second, MaxHeldJobs: 12, MaxHeldBytes: 1100, MaxQueueJobs: 8, MaxClientJobs: 9,
		MaxClientBytes: 900, MaxScheduled: 5, MaxRetries: 3, MaxQueues: 4, MaxDead: 4, MaxDeadBytes: 350, MaxEnded: 5,
		MaxEndedBytes: 3000, TableWindow: 2}, rand.New(rand.NewPCG(1, 2)), w, func(q string) bool { return q == "tables" })
	for range 3 {
		w.fetches = append(w.fetches, &Fetch{})
	}
	return w
}

// queueNames are queues that jobs are pushed to and fetched from; the table workers run the jobs of "tables".
var queueNames = []string{"a", "b", "tables"}

// push pushes a random job.
func (w *world) push(t *rapid.T) {
	j := &Job{ID: fmt.Sprint("job-", rapid.IntRange(0, 30).Draw(t, "id")), Options: &Options{}, Class: rapid.Int32Range(0, 1).Draw(t, "class"),
		Queue: rapid.SampledFrom(append(queueNames, "c", "d")).Draw(t, "queue"), Priority: rapid.Int32Range(0, 10).Draw(t, "priority"),
		Retry: rapid.Int32Range(-1, 2).Draw(t, "retry"), Size: rapid.Int32Range(50, 150).Draw(t, "size"),
		Client: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "client")}
	if rapid.Bool().Draw(t, "later") {
		j.NotBefore = w.now + Time(rapid.IntRange(1, 20).Draw(t, "at"))*Second
	}
	if rapid.Bool().Draw(t, "limited") {
		j.TimeLeft = Time(rapid.IntRange(1, 40).Draw(t, "left")) * Second
	}
	if rapid.IntRange(0, 3).Draw(t, "unique") == 0 {
		j.UniqueFor, j.Fingerprint[0], j.UniqueUntilStart = 10*Second, byte(rapid.IntRange(0, 2).Draw(t, "print")), rapid.Bool().Draw(t, "start")
	}
	if old := w.m.Find(j.ID); w.m.Push(w.now, j).Accepted {
		if old != nil {
			t.Fatalf("%s is accepted twice", j.ID)
		}
		w.pushed, w.lifetimes[j] = append(w.pushed, j), 1
	}
}

// assign gives an open job to a FETCH that waits for it, or to a table worker.
func (w *world) assign(t *rapid.T) {
	j := w.drawJob(w.open, "open")
	if j == nil || w.withWorker[j] != nil {
		return
	}
	var to *Fetch
	for _, fetch := range w.fetches {
		if fetch.isWaiting && fetch.HasQueue(j.Queue) && (to == nil || rapid.Bool().Draw(t, "other")) {
			to = fetch
		}
	}
	if to == nil && j.Queue != "tables" {
		return
	}
	w.runs[j]++
	w.withWorker[j] = to
	if to == nil {
		w.withWorker[j] = &Fetch{}
	}
	w.m.Started(w.now, j, "w", to)
	if w.m.Stats().Working == 0 {
		t.Fatal("a job was started and none is working")
	}
}

// advance moves the clock and processes what is due.
func (w *world) advance(t *rapid.T) {
	w.now += Time(rapid.IntRange(1, 30_000).Draw(t, "ms")) * Millisecond
	for range 40 {
		if !w.m.ProcessDue(w.now, 3) {
			return
		}
	}
}

// mutate runs a random MUTATE to its end.
func (w *world) mutate(t *rapid.T) {
	before := map[*Job]bool{}
	for _, j := range w.pushed {
		before[j] = j.State == Dead && w.m.jobs[j.ID] == j
	}
	mu := Mutation{Command: rapid.SampledFrom([]Command{Kill, Discard, Requeue}).Draw(t, "command"),
		Set: rapid.SampledFrom([]Set{SetScheduled, SetRetries, SetDead}).Draw(t, "set")}
	if rapid.Bool().Draw(t, "some") {
		mu.IDs = []string{"job-1", "job-2", "job-3", "none"}
	}
	w.m.Mutate(mu, 1)
	for done := w.mutated; w.mutated == done; {
		w.m.ProcessDue(w.now, 2)
	}
	for _, j := range w.pushed {
		if before[j] && !j.State.IsFinal() {
			w.lifetimes[j]++
		}
	}
}

// flush empties the machine, in one of ten calls.
func (w *world) flush(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
		return
	}
	for w.m.Flush(); w.m.IsClearing(); {
		w.m.ProcessDue(w.now, 5)
	}
	if stats := w.m.Stats(); stats.Held+stats.Dead+stats.Ended != 0 {
		t.Fatalf("jobs left after a flush: %+v", stats)
	}
}

// fetch registers a FETCH that does not wait yet.
func (w *world) fetch(t *rapid.T) {
	fetch := rapid.SampledFrom(w.fetches).Draw(t, "ask")
	if !fetch.isWaiting {
		w.m.AddFetch(w.now, fetch, "w", rapid.SliceOfN(rapid.SampledFrom(queueNames), 1, 4).Draw(t, "queues"))
	}
}

// endSome ends an open job: as refused if no worker holds it, else as served or failed.
func (w *world) endSome(t *rapid.T) {
	if j := w.drawJob(w.open, "open"); j != nil && w.withWorker[j] != nil {
		w.end(j, rapid.SampledFrom([]Outcome{OutcomeServed, OutcomeFailed}).Draw(t, "end"))
	} else if j != nil {
		w.end(j, OutcomeRefused)
	}
}

// Draws events in random order and checks after each: an accepted job has one final state in each lifetime, a job that
// may have run is opened again only if its class allows it, limits and counts hold, and no FETCH waits while its queue
// has a job.
func TestInvariantsHoldInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		m := w.m
		t.Repeat(map[string]func(*rapid.T){
			"push":   w.push,
			"fetch":  w.fetch,
			"stop":   func(t *rapid.T) { m.CancelFetch(rapid.SampledFrom(w.fetches).Draw(t, "ask")) },
			"give":   w.assign,
			"end":    w.endSome,
			"time":   w.advance,
			"tables": func(t *rapid.T) { m.SetTableWorkersReady(w.now, rapid.Bool().Draw(t, "ready")) },
			"pause":  func(t *rapid.T) { m.PauseQueue(w.now, rapid.SampledFrom(queueNames).Draw(t, "queue")) },
			"resume": func(t *rapid.T) { m.ResumeQueue(w.now, rapid.SampledFrom(queueNames).Draw(t, "queue")) },
			"remove": func(t *rapid.T) { m.RemoveQueue(w.now, rapid.SampledFrom(queueNames).Draw(t, "queue")) },
			"mutate": w.mutate,
			"flush":  w.flush,
			"":       func(t *rapid.T) { w.t = t; w.check() },
		})
		// After a drain, jobs that no worker holds have ended; the others end with their worker.
		m.Drain()
		for m.IsClearing() {
			m.ProcessDue(w.now, 2)
		}
		for _, j := range w.pushed {
			if w.open[j] {
				w.end(j, OutcomeServed)
			}
		}
		w.check()
		if stats := m.Stats(); stats.Held != 0 || stats.Clients != 0 {
			t.Fatalf("held after the drain: %+v", stats)
		}
	})
}
