package rules

// The rings on which a scan looks for workers. Nothing here decides anything.

import (
	"math"
	"slices"

	"github.com/bits-and-blooms/bitset"
)

const ringIndexMask = 1<<20 - 1 // a ring point is a hash whose low bits are the worker's index

// ring is the hash ring of the ready workers of one kind, or of all. Each is at points by its hash, more for a larger
// one. It is built at its first use; from then on it follows the changes of single workers, with the same points as one
// that is built anew.
type ring struct {
	weighted  bool // the list's weights are sizes: the points of a worker go by its weight over the mean
	built     bool
	points    []uint64
	oldPoints []uint64  // the points before the last change, whose memory is used again
	stale     []*worker // changed since current was last asked for; at most as many as workers are known

	members     bitset.BitSet // by worker.index
	counts      []uint8       // points of each worker, by its index
	weights     []float64     // by index; 0: not a member
	memberCount float64       // of members
	weightSum   ringWeight    // as the points go by it

	removed, added []uint64 // the last change of points
}

// ringMean is the mean weight of a ring's members, as the two that it is made of.
type ringWeight struct{ members, total float64 }

// changed tells of a worker that has come to the ring or left it, or has another weight.
func (r *ring) markStale(workers []*worker, w *worker) {
	if !r.built {
		return
	}
	if len(r.stale) > len(workers) { // nobody asks for this ring: it is built anew if anybody does
		*r = ring{weighted: r.weighted}
		return
	}
	r.stale = append(r.stale, w)
}

// current gives the points in order. They are good until the next call. A kind below 0 is that of the ring of all.
func (r *ring) current(workers []*worker, kind int) []uint64 {
	if !r.built {
		r.built = true
		for _, w := range workers {
			if w != nil {
				r.stale = append(r.stale, w)
			}
		}
	}
	if len(r.stale) == 0 {
		return r.points
	}
	r.grow(len(workers))
	r.removed, r.added = r.removed[:0], r.added[:0]
	for _, w := range r.stale {
		r.setMember(w, w.state == Ready && (kind < 0 || w.Kind == kind))
	}
	if r.weighted {
		r.updateWeights(workers)
	}
	for _, w := range r.stale {
		r.setPoints(w, r.wantedPoints(w.index))
	}
	clear(r.stale)
	r.stale = r.stale[:0]
	r.applyChange()
	return r.points
}

// resize makes place for all indexes of workers.
func (r *ring) grow(workers int) {
	if more := workers - len(r.counts); more > 0 {
		r.counts = append(r.counts, make([]uint8, more)...)
		r.weights = append(r.weights, make([]float64, more)...)
	}
}

func (r *ring) setMember(w *worker, member bool) {
	i := uint(w.index)
	if was := r.members.Test(i); was != member {
		r.members.SetTo(i, member)
		if member {
			r.memberCount++
		} else {
			r.memberCount--
		}
	}
	if r.weights[i] = 0; member {
		r.weights[i] = w.Weight
	}
}

// weigh sums the weights up, and where the mean has changed gives those other points whose share of it is another now.
// The order of the sum is always that of the list, or its last bits would tell how the ring came about.
func (r *ring) updateWeights(workers []*worker) {
	mean := ringWeight{members: r.memberCount}
	for _, weight := range r.weights {
		mean.total += weight
	}
	if mean == r.weightSum {
		return
	}
	r.weightSum = mean
	for i, more := r.members.NextSet(0); more; i, more = r.members.NextSet(i + 1) {
		if n := r.wantedPoints(int(i)); n != r.counts[i] {
			r.setPoints(workers[i], n)
		}
	}
}

// pointsFor is how many points the worker of that index is to have.
func (r *ring) wantedPoints(index int) uint8 {
	if !r.members.Test(uint(index)) {
		return 0
	}
	points := pointsPerWorker
	if r.weighted && r.weightSum.total > 0 {
		points = max(1, int(math.Round(pointsPerWorker*r.weights[index]*r.weightSum.members/r.weightSum.total)))
	}
	return uint8(min(points, 4*pointsPerWorker))
}

func (r *ring) setPoints(w *worker, want uint8) {
	have := r.counts[w.index]
	r.counts[w.index] = want
	for p := want; p < have; p++ {
		r.removed = append(r.removed, ringPoint(w, p))
	}
	for p := have; p < want; p++ {
		r.added = append(r.added, ringPoint(w, p))
	}
}

func ringPoint(w *worker, p uint8) uint64 {
	return mixHash(w.hash+uint64(p))&^ringIndexMask | uint64(w.index)&ringIndexMask
}

// applyChange brings the points up to date with those removed and added.
func (r *ring) applyChange() {
	removed, added, rest := r.removed, r.added, r.points
	if len(removed)+len(added) == 0 {
		return
	}
	slices.Sort(removed)
	slices.Sort(added)
	merged := slices.Grow(r.oldPoints[:0], len(rest)+len(added))
	for len(removed)+len(added) > 0 {
		removes := len(added) == 0 || len(removed) > 0 && removed[0] < added[0]
		next := &added
		if removes {
			next = &removed
		}
		at, _ := slices.BinarySearch(rest, (*next)[0])
		merged = append(merged, rest[:at]...)
		if rest = rest[at:]; removes {
			rest = rest[1:]
		} else {
			merged = append(merged, (*next)[0])
		}
		*next = (*next)[1:]
	}
	r.points, r.oldPoints = append(merged, rest...), r.points
}

func mixHash(x uint64) uint64 { // the finaliser of splitmix64
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
