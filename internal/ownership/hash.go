package ownership

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// pairHash is that of a member and a worker: the same at all schedulers.
func pairHash(member, worker uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], member)
	binary.LittleEndian.PutUint64(pair[8:], worker)
	return xxhash.Sum64(pair[:])
}

// fraction is a number from 0 to under 1, drawn for a pair and independent of its hash in the other order.
func pairFraction(worker, member uint64) float64 {
	return float64(pairHash(worker, member)>>11) / (1 << 53)
}

// memberHash stands for a member.
func memberHash(rank int) uint64 {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(rank))
	return xxhash.Sum64(number[:])
}

const gumbelBits = 16

// gumbel holds -ln(-ln u) for evenly spaced u. In weighted rendezvous hashing the member with the greatest
// -w/ln(u) owns a worker, which is the one with the greatest ln(w) + gumbel(u).
var gumbel = func() *[1 << gumbelBits]float32 {
	table := new([1 << gumbelBits]float32)
	for i := range table {
		u := (float64(i) + 0.5) / (1 << gumbelBits)
		table[i] = float32(-math.Log(-math.Log(u)))
	}
	return table
}()

// place is a member's in the order of a worker: the greater score comes first, then the greater hash.
type priority struct {
	score float64
	hash  uint64
}

func (p priority) precedes(other priority) bool {
	return p.score > other.score || p.score == other.score && p.hash > other.hash
}

// placeOf gives a member's place for a worker. Near is what a member of the worker's zone has more.
func priorityOf(m *member, worker uint64, zone int, near float64) priority {
	hash := pairHash(m.hash, worker)
	score := m.appliedWeight + float64(gumbel[hash>>(64-gumbelBits)])
	if m.zone != UnknownZone && m.zone == zone {
		score += near
	}
	return priority{score, hash}
}
