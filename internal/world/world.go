// Package world simulates a deployment in virtual time: many schedulers, each with a rules.Dispatcher, table workers with
// slots, queues and delayed load reports, clients that send requests in an open loop, and faults. It makes no scheduling
// decision and uses no socket, goroutine or clock; the same seed gives the same figures. Tests of the rules and package
// scale/hollow call it.
package world

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"cobaltflow/rules"
)

// World is the state of one simulation of a Setup.
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
	splitUntil rules.Time // end of the network partition between the two halves of the schedulers
	capacity   float64    // slots of the workers present at the start, each weighted by the worker's speed
}

// event is a function due at a time. Events due at the same time run in the order of their scheduling.
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

// schedule runs a function at a time, or now if the time is past. An event after the end of the simulation is dropped.
func (w *World) schedule(at rules.Time, do func()) {
	w.seq++
	if at <= w.setup.Duration {
		heap.Push(&w.events, event{max(at, w.now), w.seq, do})
	}
}

// Simulate runs a setup to its end and returns the figures.
func Simulate(s Setup) Figures {
	w := &World{counts: newCounts(&s), setup: s, rng: rand.New(rand.NewPCG(s.Seed, 0x776f726c64)), byID: map[rules.WorkerID]*worker{}, now: 1}
	w.setup.Workers = slices.Clone(s.Workers) // makeWorkers sets defaults, which the caller must not see
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
	index := len(w.workers)
	wk := &worker{id: WorkerID(index), index: index, setup: k, startedAt: k.JoinsAt, isLying: index < w.setup.LyingWorkers, keyArrivedAt: map[uint64]rules.Time{}}
	wk.entry = rules.ListEntry{Worker: wk.id, Zone: k.Zone, Weight: 1, StartedAt: k.JoinsAt}
	w.workers = append(w.workers, wk)
	w.byID[wk.id] = wk
	if k.JoinsAt == 0 {
		w.capacity += float64(k.Slots) * k.Speed
		wk.isListed = true
		return
	}
	w.schedule(k.JoinsAt, func() {
		wk.isListed = true
		for _, sc := range w.schedulers {
			sc.deliverList([]*worker{wk})
		}
	})
}

// WorkerID returns the ID of the worker at an index of the order in which Setup.Workers lists them.
func WorkerID(index int) rules.WorkerID { return rules.WorkerID(fmt.Sprintf("t%03d", index)) }

// ZoneOf returns the zone of a scheduler. Zones are assigned round-robin, by the scheduler's rank.
func ZoneOf(scheduler, zones int) int { return scheduler % max(1, zones) }
