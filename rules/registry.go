package rules

// The workers of the list by id and by number, and what is kept in step with each change of one: the count of ready
// workers, the rings, the tags that peers use, and the set of workers that housekeeping visits. Nothing here decides
// anything.

import (
	"iter"
	"slices"

	"github.com/bits-and-blooms/bitset"
)

// registry holds the workers that are listed, or gone with attempts of ours still out there. A change costs by the
// workers that it changes, not by the length of the list.
type registry struct {
	byID       map[WorkerID]*worker
	workers    []*worker // by worker.index, so in order of first listing; nil: removed. At most twice as long as byID
	readyCount int
	marked     bitset.BitSet        // indexes of the workers that housekeeping visits
	tags       map[uint16][]*worker // those that are not gone, by tagOf, in order of first listing
	rings      []ring               // by kind, 0 for any
}

func newRegistry(kinds int, weightsAreSize bool) registry {
	g := registry{byID: map[WorkerID]*worker{}, tags: map[uint16][]*worker{}, rings: make([]ring, kinds+1)}
	for k := range g.rings {
		g.rings[k].weighted = weightsAreSize
	}
	return g
}

// add makes a worker, which is gone until it is updated.
func (g *registry) add(id WorkerID) *worker {
	w := &worker{id: id, hash: hashID(id), index: len(g.workers), state: Gone}
	g.byID[id] = w
	g.workers = append(g.workers, w)
	return w
}

// update takes what the list says of a worker now, and the state that it has with that.
func (g *registry) update(w *worker, e ListEntry, state WorkerState) {
	old, oldState := w.ListEntry, w.state
	w.ListEntry, w.state = e, state
	if oldState == Ready || state == Ready {
		if oldState != state || old.Kind != e.Kind || old.Weight != e.Weight {
			g.updateRings(w, old.Kind)
		}
	}
	if oldState == Ready {
		g.readyCount--
	}
	if state == Ready {
		g.readyCount++
	}
	if oldState == Gone && state != Gone {
		g.addTag(w)
	} else if oldState != Gone && state == Gone {
		g.removeTag(w)
		g.mark(w) // to be removed once nothing is out there
	}
}

// dropUnlisted takes an entire list: a worker that is absent from it has gone.
func (g *registry) setUnlistedGone(entries []ListEntry) {
	listed := make(map[WorkerID]bool, len(entries))
	for i := range entries {
		listed[entries[i].Worker] = true
	}
	for w := range g.all() {
		if w.state != Gone && !listed[w.id] {
			g.update(w, w.ListEntry, Gone)
		}
	}
}

// all gives the workers in order of first listing.
func (g *registry) all() iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, w := range g.workers {
			if w != nil && !yield(w) {
				return
			}
		}
	}
}

// visit has housekeeping look at a worker until leave.
func (g *registry) mark(w *worker) { g.marked.Set(uint(w.index)) }

func (g *registry) unmark(w *worker) { g.marked.Clear(uint(w.index)) }

// toVisit gives the workers that housekeeping looks at, in order of first listing. The one given may leave, or be
// removed, meanwhile.
func (g *registry) allMarked() iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i, more := g.marked.NextSet(0); more; i, more = g.marked.NextSet(i + 1) {
			if !yield(g.workers[i]) {
				return
			}
		}
	}
}

// remove forgets a worker that has gone.
func (g *registry) remove(w *worker) {
	g.unmark(w)
	delete(g.byID, w.id)
	g.workers[w.index] = nil
}

// compact numbers the workers anew, in the same order, when most numbers are of removed ones. The rings are then built
// anew at their next use: over time that is once for as many removals as there are workers.
func (g *registry) compact() {
	if len(g.workers) <= 2*len(g.byID) {
		return
	}
	visited := bitset.BitSet{}
	kept := g.workers[:0]
	for _, w := range g.workers {
		if w == nil {
			continue
		}
		if g.marked.Test(uint(w.index)) {
			visited.Set(uint(len(kept)))
		}
		w.index = len(kept)
		kept = append(kept, w)
	}
	clear(g.workers[len(kept):])
	g.workers, g.marked = kept, visited
	for k := range g.rings {
		g.rings[k] = ring{weighted: g.rings[k].weighted}
	}
}

// placeOnRings has a worker's place looked at on the rings that it is or was on.
func (g *registry) updateRings(w *worker, oldKind int) {
	g.rings[0].markStale(g.workers, w)
	for _, kind := range []int{oldKind, w.Kind} {
		if kind >= 0 && kind < len(g.rings)-1 {
			g.rings[kind+1].markStale(g.workers, w)
		}
	}
}

// ring gives the points of a kind's ring, 0 for any.
func (g *registry) ring(k int) []uint64 {
	return g.rings[k].current(g.workers, k-1)
}

func (g *registry) addTag(w *worker) {
	tag := workerTag(w)
	at, _ := slices.BinarySearchFunc(g.tags[tag], w.index, func(x *worker, index int) int { return x.index - index })
	g.tags[tag] = slices.Insert(g.tags[tag], at, w)
}

func (g *registry) removeTag(w *worker) {
	tag := workerTag(w)
	rest := slices.DeleteFunc(g.tags[tag], func(x *worker) bool { return x == w })
	if g.tags[tag] = rest; len(rest) == 0 {
		delete(g.tags, tag)
	}
}
