package admission

import "hash/maphash"

// recentKept bounds the ids that are remembered, and with them the memory: a quarter of a MB at most.
const maxRecentIDs = 8192

// recent remembers the ids of requests that have lately ended, by their hashes.
type recentIDs struct {
	seed   maphash.Seed
	hashes map[uint64]struct{}
	ring   []uint64 // in order of their end, once it is full from next on
	next   int
}

func (r *recentIDs) add(id string) {
	if r.hashes == nil {
		r.seed, r.hashes = maphash.MakeSeed(), map[uint64]struct{}{}
	}
	h := maphash.String(r.seed, id)
	if _, known := r.hashes[h]; known {
		return
	}
	r.hashes[h] = struct{}{}
	if len(r.ring) < maxRecentIDs {
		r.ring = append(r.ring, h)
		return
	}
	delete(r.hashes, r.ring[r.next])
	r.ring[r.next] = h
	r.next = (r.next + 1) % maxRecentIDs
}

func (r *recentIDs) has(id string) bool {
	if r.hashes == nil {
		return false
	}
	_, known := r.hashes[maphash.String(r.seed, id)]
	return known
}
