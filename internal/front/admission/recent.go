package admission

import "hash/maphash"

// maxRecentIDs limits the number of remembered IDs, and thereby the memory to a quarter of a MB.
const maxRecentIDs = 8192

// recentIDs remembers the IDs of recently ended requests, as hashes.
type recentIDs struct {
	seed   maphash.Seed
	hashes map[uint64]struct{}
	ring   []uint64 // in the order in which the requests ended; once full, the oldest is at next
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
