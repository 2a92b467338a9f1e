package ownership

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// pairHash hashes a member and a worker. All schedulers compute the same value.
func pairHash(member, worker uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], member)
	binary.LittleEndian.PutUint64(pair[8:], worker)
	return xxhash.Sum64(pair[:])
}

// pairFraction returns a pseudo-random number in [0, 1) for a pair. It hashes the pair in reverse order, so that it is
// independent of pairHash.
func pairFraction(worker, member uint64) float64 {
	return float64(pairHash(worker, member)>>11) / (1 << 53)
}

// memberHash hashes a member's rank.
func memberHash(rank int) uint64 {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(rank))
	return xxhash.Sum64(number[:])
}

const gumbelBits = 16

// gumbel holds -ln(-ln u) for evenly spaced u. In weighted rendezvous hashing the member with the greatest -w/ln(u) owns
// a worker; that is the member with the greatest ln(w) + gumbel(u).
var gumbel = func() *[1 << gumbelBits]float32 {
	table := new([1 << gumbelBits]float32)
	for i := range table {
		u := (float64(i) + 0.5) / (1 << gumbelBits)
		table[i] = float32(-math.Log(-math.Log(u)))
	}
	return table
}()

// priority orders the members in a worker's ranking: by descending score, then by descending hash.
type priority struct {
	score float64
	hash  uint64
}

func (p priority) precedes(other priority) bool {
	return p.score > other.score || p.score == other.score && p.hash > other.hash
}

// priorityOf returns a member's priority for a worker. zoneBonus is added to the score of a member in the worker's zone.
func priorityOf(m *member, worker uint64, zone int, zoneBonus float64) priority {
	hash := pairHash(m.hash, worker)
	score := m.appliedWeight + float64(gumbel[hash>>(64-gumbelBits)])
	if m.zone != UnknownZone && m.zone == zone {
		score += zoneBonus
	}
	return priority{score, hash}
}
