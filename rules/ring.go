package rules

// The hash rings on which scans find workers. No decisions are made here.

import (
	"math"
	"slices"

	"github.com/bits-and-blooms/bitset"
)

// ringIndexMask selects the low bits of a ring point, which hold the worker's index; the others are of its hash.
const ringIndexMask = 1<<20 - 1

// ring is the consistent-hash ring of the ready workers of one kind, or of all kinds. Each worker has several points
// on it, a larger one more. The ring is built at its first use. From then on it is updated by the changes of single
// workers, and has the same points as one built anew.
type ring struct {
	weighted  bool // the list's weights are sizes: a worker's points are in proportion to its weight
	built     bool
	points    []uint64
	oldPoints []uint64  // the points before the last change, kept for their memory
	stale     []*worker // changed since the last call of current; bounded by the number of known workers

	members     bitset.BitSet // by worker.index
	counts      []uint8       // number of points by worker.index
	weights     []float64     // by worker.index; 0: not a member
	memberCount float64       // number of members
	weightSum   ringWeight    // the weights that the number of points is computed with

	removed, added []uint64 // points that the last change removed and added
}

// ringWeight is the number of a ring's members and their total weight, which determine the mean weight.
type ringWeight struct{ members, total float64 }

// markStale records that a worker has joined or left the ring, or has another weight.
func (r *ring) markStale(workers []*worker, w *worker) {
	if !r.built {
		return
	}
	if len(r.stale) > len(workers) { // this ring is not being used: it is rebuilt at its next use
		*r = ring{weighted: r.weighted}
		return
	}
	r.stale = append(r.stale, w)
}

// current applies the recorded changes and returns the sorted points, which are valid until the next call. kind is
// that of the ring's workers; negative: all kinds.
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

// grow extends the slices by worker.index to that number of workers.
func (r *ring) grow(workers int) {
	if more := workers - len(r.counts); more > 0 {
		r.counts = append(r.counts, make([]uint8, more)...)
		r.weights = append(r.weights, make([]float64, more)...)
	}
}

// setMember sets whether a worker is a member, and its weight.
func (r *ring) setMember(w *worker, member bool) {
	i := uint(w.index)
	if wasMember := r.members.Test(i); wasMember != member {
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

// updateWeights sums the weights, and if the mean has changed updates the points of all members whose number of
// points changes with it. The sum is always in the order of the list: otherwise its last bits, and with them the
// points, would depend on the history of the ring.
func (r *ring) updateWeights(workers []*worker) {
	sum := ringWeight{members: r.memberCount}
	for _, weight := range r.weights {
		sum.total += weight
	}
	if sum == r.weightSum {
		return
	}
	r.weightSum = sum
	for i, more := r.members.NextSet(0); more; i, more = r.members.NextSet(i + 1) {
		if n := r.wantedPoints(int(i)); n != r.counts[i] {
			r.setPoints(workers[i], n)
		}
	}
}

// wantedPoints returns the number of points that the worker of that index should have.
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

// setPoints changes a worker's number of points, and records the points to remove or add.
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

// ringPoint returns a worker's point of number p.
func ringPoint(w *worker, p uint8) uint64 {
	return mixHash(w.hash+uint64(p))&^ringIndexMask | uint64(w.index)&ringIndexMask
}

// applyChange merges the points removed and added into the sorted points.
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
		i, _ := slices.BinarySearch(rest, (*next)[0])
		merged = append(merged, rest[:i]...)
		if rest = rest[i:]; removes {
			rest = rest[1:]
		} else {
			merged = append(merged, (*next)[0])
		}
		*next = (*next)[1:]
	}
	r.points, r.oldPoints = append(merged, rest...), r.points
}

// mixHash is the finaliser of splitmix64.
func mixHash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
