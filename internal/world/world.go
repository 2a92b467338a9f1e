// Package world is the model of what the decisions serve, in virtual time: many dispatchers of package rules, table
// workers with slots, queues and late reports, clients in an open loop, and faults. It owns no socket, goroutine or
// clock; the same seed gives the same record. It never decides anything.
package world

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"cobaltflow/rules"
)

// World plays one Setup.
type World struct {
	counts
	setup      Setup
	rng        *rand.Rand
	now        rules.Time
	events     events
	seq        uint64
	schedulers []*scheduler
	workers    []*worker
	byID       map[rules.WorkerID]*worker
	splitUntil rules.Time // messages between the halves of the schedulers are lost
	capacity   float64    // slots at speed 1 of the workers present at the start
}

// event is something due. Of two due at once the first made goes first.
type event struct {
	at   rules.Time
	seq  uint64
	fire func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// at has something done at a time, or now where that is over. What would be done after the end is let go.
func (w *World) schedule(t rules.Time, do func()) {
	w.seq++
	if t <= w.setup.Duration {
		heap.Push(&w.events, event{max(t, w.now), w.seq, do})
	}
}

// Play plays a setup and gives its figures.
func Simulate(s Setup) Figures {
	w := &World{counts: newCounts(&s), setup: s, rng: rand.New(rand.NewPCG(s.Seed, 0x776f726c64)), byID: map[rules.WorkerID]*worker{}, now: 1}
	w.setup.Workers = slices.Clone(s.Workers) // the caller's stay as they are
	w.makeWorkers()
	w.makeSchedulers()
	w.startClients(s.Load * w.capacity / s.overallMeanRunTime())
	w.schedule(s.WarmUp, w.sample)
	w.scheduleFaults()
	for len(w.events) > 0 && w.events[0].at <= s.Duration {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fire()
	}
	return w.summarize()
}

func (w *World) makeWorkers() {
	for i := range w.setup.Workers {
		k := &w.setup.Workers[i]
		k.Speed, k.Slowdown = cmp.Or(k.Speed, 1), cmp.Or(k.Slowdown, 1)
		for range k.Count {
			w.makeWorker(k)
		}
	}
}

func (w *World) makeWorker(k *Worker) {
	place := len(w.workers)
	t := &worker{id: WorkerID(place), index: place, setup: k, startedAt: k.JoinsAt, isLying: place < w.setup.LyingWorkers, keyArrivedAt: map[uint64]rules.Time{}}
	t.entry = rules.ListEntry{Worker: t.id, Zone: k.Zone, Weight: 1, StartedAt: k.JoinsAt}
	w.workers = append(w.workers, t)
	w.byID[t.id] = t
	if k.JoinsAt == 0 {
		w.capacity += float64(k.Slots) * k.Speed
		t.isListed = true
		return
	}
	w.schedule(k.JoinsAt, func() {
		t.isListed = true
		for _, x := range w.schedulers {
			x.deliverList([]*worker{t})
		}
	})
}

// WorkerID is the id of the worker at a place in the order of Setup.Workers.
func WorkerID(place int) rules.WorkerID { return rules.WorkerID(fmt.Sprintf("t%03d", place)) }

// ZoneOf is the zone of a scheduler: zones are dealt out in turn.
func ZoneOf(scheduler, zones int) int { return scheduler % max(1, zones) }
