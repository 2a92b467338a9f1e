package rules

// The workers of the list by id and by index, and what is updated with each change of one: the number of ready
// workers, the rings, the tags that peers use, and the set of workers that housekeeping visits. No decisions are made
// here.

import (
	"iter"
	"slices"

	"github.com/bits-and-blooms/bitset"
)

// registry holds the workers that are listed, or gone with outstanding attempts of this dispatcher. The cost of a
// change depends on the number of workers that it changes, not on the length of the list.
type registry struct {
	byID       map[WorkerID]*worker
	workers    []*worker // by worker.index, so in order of first listing; nil: removed. At most twice as long as byID
	readyCount int
	marked     bitset.BitSet        // indexes of the workers that housekeeping visits
	tags       map[uint16][]*worker // workers that are not gone, by workerTag, in order of first listing
	rings      []ring               // by kind+1; 0: all kinds
}

func newRegistry(kinds int, weightsAreSize bool) registry {
	g := registry{byID: map[WorkerID]*worker{}, tags: map[uint16][]*worker{}, rings: make([]ring, kinds+1)}
	for k := range g.rings {
		g.rings[k].weighted = weightsAreSize
	}
	return g
}

// add adds a worker, which is gone until it is updated.
func (g *registry) add(id WorkerID) *worker {
	w := &worker{id: id, hash: hashID(id), index: len(g.workers), state: Gone}
	g.byID[id] = w
	g.workers = append(g.workers, w)
	return w
}

// update sets a worker's list entry, and its state by the entry and by what disables the worker.
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
		g.mark(w) // housekeeping removes it once it has no outstanding attempt
	}
}

// setUnlistedGone sets the workers that are absent from an entire list to Gone.
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

// all iterates over the workers in order of first listing.
func (g *registry) all() iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, w := range g.workers {
			if w != nil && !yield(w) {
				return
			}
		}
	}
}

// mark has housekeeping visit a worker at each tick, until unmark.
func (g *registry) mark(w *worker) { g.marked.Set(uint(w.index)) }

// unmark ends the visits to a worker.
func (g *registry) unmark(w *worker) { g.marked.Clear(uint(w.index)) }

// allMarked iterates over the workers that housekeeping visits, in order of first listing. The current one may be
// unmarked or removed meanwhile.
func (g *registry) allMarked() iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i, more := g.marked.NextSet(0); more; i, more = g.marked.NextSet(i + 1) {
			if !yield(g.workers[i]) {
				return
			}
		}
	}
}

// remove removes a worker that has gone.
func (g *registry) remove(w *worker) {
	g.unmark(w)
	delete(g.byID, w.id)
	g.workers[w.index] = nil
}

// compact reassigns the indexes, in the same order, when most of them belong to removed workers. The rings are then
// rebuilt at their next use: over time, once for as many removals as there are workers.
func (g *registry) compact() {
	if len(g.workers) <= 2*len(g.byID) {
		return
	}
	marked := bitset.BitSet{}
	kept := g.workers[:0]
	for _, w := range g.workers {
		if w == nil {
			continue
		}
		if g.marked.Test(uint(w.index)) {
			marked.Set(uint(len(kept)))
		}
		w.index = len(kept)
		kept = append(kept, w)
	}
	clear(g.workers[len(kept):])
	g.workers, g.marked = kept, marked
	for k := range g.rings {
		g.rings[k] = ring{weighted: g.rings[k].weighted}
	}
}

// updateRings marks a worker as changed on the rings that it is or was on.
func (g *registry) updateRings(w *worker, oldKind int) {
	g.rings[0].markStale(g.workers, w)
	for _, kind := range []int{oldKind, w.Kind} {
		if kind >= 0 && kind < len(g.rings)-1 {
			g.rings[kind+1].markStale(g.workers, w)
		}
	}
}

// ring returns the sorted points of the ring of a kind, by kind+1; 0: all kinds.
func (g *registry) ring(i int) []uint64 {
	return g.rings[i].current(g.workers, i-1)
}

// addTag adds a worker to those of its tag.
func (g *registry) addTag(w *worker) {
	tag := workerTag(w)
	i, _ := slices.BinarySearchFunc(g.tags[tag], w.index, func(x *worker, index int) int { return x.index - index })
	g.tags[tag] = slices.Insert(g.tags[tag], i, w)
}

// removeTag removes a worker from those of its tag.
func (g *registry) removeTag(w *worker) {
	tag := workerTag(w)
	rest := slices.DeleteFunc(g.tags[tag], func(x *worker) bool { return x == w })
	if g.tags[tag] = rest; len(rest) == 0 {
		delete(g.tags, tag)
	}
}
