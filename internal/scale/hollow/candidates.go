package hollow

import (
	"cmp"
	"slices"

	"cobaltflow/internal/ownership"
	"cobaltflow/internal/world"
	"cobaltflow/rules"
)

// Candidate is a way of dividing the worker list among the schedulers.
type Candidate struct {
	Name      string
	Directory func(f *Fleet) world.Directory // nil: each scheduler has the whole list
	Ownership *ownership.Settings            // divides the list by package ownership; nil: it does not
}

// ownershipSettings returns settings that divide fleets of any size. The parameter heartbeats enables messages between
// schedulers, and near prefers the schedulers of a worker's zone.
func ownershipSettings(heartbeats, near bool) *ownership.Settings {
	return &ownership.Settings{MinShare: 1, UsesHeartbeats: heartbeats, PrefersOwnZone: near, SlowStartWindow: coldDuration}
}

// Candidates returns the candidates that are compared.
func Candidates() []Candidate {
	return []Candidate{
		{Name: "whole list"},
		{Name: "rendezvous 1 near", Directory: func(f *Fleet) world.Directory { return newRendezvous(f, 1, true) }},
		{Name: "rendezvous 2 near", Directory: func(f *Fleet) world.Directory { return newRendezvous(f, 2, true) }},
		{Name: "rendezvous 4 near", Directory: func(f *Fleet) world.Directory { return newRendezvous(f, 4, true) }},
		{Name: "rendezvous 1 flat", Directory: func(f *Fleet) world.Directory { return newRendezvous(f, 1, false) }},
		{Name: "rendezvous 2 flat", Directory: func(f *Fleet) world.Directory { return newRendezvous(f, 2, false) }},
		{Name: "rendezvous 4 flat", Directory: func(f *Fleet) world.Directory { return newRendezvous(f, 4, false) }},
		{Name: "equal shares", Directory: func(f *Fleet) world.Directory { return equalShares{f} }},
		{Name: "package ownership", Ownership: ownershipSettings(true, true)},
		{Name: "package ownership flat", Ownership: ownershipSettings(true, false)},
		{Name: "package ownership mute", Ownership: ownershipSettings(false, false)},
		{Name: "partial view", Directory: func(f *Fleet) world.Directory { return newPartialView(f) }},
	}
}

// rendezvous assigns each worker to the first live schedulers in the order of rendezvous hashing.
type rendezvous struct {
	fleet   *Fleet
	holders int  // schedulers per worker
	near    bool // schedulers of the worker's zone come first, then those of its region
	// shares caches the shares of all schedulers by membership, with one byte per scheduler in the key.
	shares map[string][][]int
}

// maxCachedMemberships limits the cache of shares; the cache is cleared when it is full.
const maxCachedMemberships = 16

func newRendezvous(f *Fleet, holders int, near bool) *rendezvous {
	return &rendezvous{fleet: f, holders: min(holders, f.Schedulers), near: near, shares: map[string][][]int{}}
}

// Holders implements world.Directory.
func (r *rendezvous) Holders() int { return r.holders }

// Share implements world.Directory.
func (r *rendezvous) Share(scheduler int, alive []bool) []int {
	key := make([]byte, len(alive))
	for i, isAlive := range alive {
		if isAlive {
			key[i] = 1
		}
	}
	shares, known := r.shares[string(key)]
	if !known {
		if len(r.shares) >= maxCachedMemberships {
			clear(r.shares)
		}
		shares = r.divide(alive)
		r.shares[string(key)] = shares
	}
	return shares[scheduler]
}

// holder is a live scheduler in the order of a worker: by distance, then by descending weight.
type holder struct {
	scheduler int
	distance  int
	weight    uint64
}

// divide returns the workers of each scheduler for a membership.
func (r *rendezvous) divide(alive []bool) [][]int {
	shares := make([][]int, len(alive))
	order := make([]holder, 0, len(alive))
	for worker := range r.fleet.Workers() {
		order = order[:0]
		hash := splitmix64(uint64(worker) + 1)
		for scheduler, isAlive := range alive {
			if isAlive {
				order = append(order, holder{scheduler, r.distance(worker, scheduler), splitmix64(hash ^ splitmix64(uint64(scheduler)))})
			}
		}
		slices.SortFunc(order, func(a, b holder) int {
			return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight))
		})
		for _, h := range order[:min(r.holders, len(order))] {
			shares[h.scheduler] = append(shares[h.scheduler], worker)
		}
	}
	return shares
}

// distance returns 0 within a zone, 1 within a region and 2 otherwise. Without near, it is always 0.
func (r *rendezvous) distance(worker, scheduler int) int {
	if !r.near {
		return 0
	}
	workerZone, schedulerZone := r.fleet.zoneOf(worker), world.ZoneOf(scheduler, r.fleet.Zones)
	switch {
	case workerZone == schedulerZone:
		return 0
	case r.fleet.regionOf(workerZone) == r.fleet.regionOf(schedulerZone):
		return 1
	}
	return 2
}

// equalShares deals the workers to the schedulers in turn, one holder each: the result of an ideal division into equal
// shares. It assumes that all members are alive.
type equalShares struct{ fleet *Fleet }

// Holders implements world.Directory.
func (e equalShares) Holders() int { return 1 }

// Share implements world.Directory.
func (e equalShares) Share(scheduler int, alive []bool) (share []int) {
	for worker := scheduler; worker < e.fleet.Workers(); worker += len(alive) {
		share = append(share, worker)
	}
	return share
}

// partialView gives a scheduler the workers that the keys of its jobs map to on the hash ring of package rules: the
// first workers of each key, and the first ones in the scheduler's own zone, which the rules sample as well.
type partialView struct {
	fleet *Fleet
	ring  []ringPoint
}

type ringPoint struct {
	at     uint64
	worker int
}

// Sample sizes and ring points per worker, equal to those of package rules.
const (
	sampleSize    = 4
	ownZoneSample = 2
	ringPoints    = 8
)

func newPartialView(f *Fleet) *partialView {
	v := &partialView{fleet: f}
	for worker := range f.Workers() {
		hash := workerHash(world.WorkerID(worker))
		for point := range uint64(ringPoints) {
			v.ring = append(v.ring, ringPoint{splitmix64(hash + point), worker})
		}
	}
	slices.SortFunc(v.ring, func(a, b ringPoint) int { return cmp.Compare(a.at, b.at) })
	return v
}

// Holders implements world.Directory. The keys of any scheduler may map to a worker.
func (v *partialView) Holders() int { return v.fleet.Schedulers }

// Share implements world.Directory. It assumes that all keys that reach the scheduler have been used.
func (v *partialView) Share(scheduler int, _ []bool) []int {
	taken := make([]bool, v.fleet.Workers())
	for key := range v.fleet.Keys {
		if v.receivesKey(key, scheduler) {
			v.markWorkers(key, world.ZoneOf(scheduler, v.fleet.Zones), taken)
		}
	}
	var share []int
	for worker, isTaken := range taken {
		if isTaken {
			share = append(share, worker)
		}
	}
	return share
}

// receivesKey reports whether jobs with the key reach the scheduler.
func (v *partialView) receivesKey(key, scheduler int) bool {
	return v.fleet.Traffic != world.ByKey || slices.Contains(world.SchedulersForKey(key, v.fleet.Schedulers, schedulersPerKey), scheduler)
}

// markWorkers marks the workers that a key maps to.
func (v *partialView) markWorkers(key, zone int, taken []bool) {
	position, _ := slices.BinarySearchFunc(v.ring, splitmix64(world.Key(key)), func(p ringPoint, hash uint64) int { return cmp.Compare(p.at, hash) })
	sampled, sampledInZone := 0, 0
	seen := map[int]bool{}
	for range len(v.ring) {
		if sampled >= sampleSize && sampledInZone >= ownZoneSample {
			return
		}
		worker := v.ring[position%len(v.ring)].worker
		position++
		if seen[worker] {
			continue
		}
		seen[worker] = true
		isInZone := v.fleet.zoneOf(worker) == zone
		if sampled < sampleSize || isInZone && sampledInZone < ownZoneSample {
			taken[worker] = true
		}
		sampled++
		if isInZone {
			sampledInZone++
		}
	}
}

// splitmix64 is the finalizer of the splitmix64 generator. Package rules uses it to place workers on its hash ring.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// workerHash is FNV-1a followed by splitmix64, as in package rules.
func workerHash(id rules.WorkerID) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return splitmix64(h)
}
