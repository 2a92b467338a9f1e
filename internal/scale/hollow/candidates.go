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
	Directory func(f *Fleet) world.Directory // nil: none
	Ownership *ownership.Settings            // package ownership; nil: not
}

// ownershipSettings divide fleets of any size, with messages between schedulers or without, and the schedulers of a
// worker's zone before others or not.
func ownershipSettings(heartbeats, near bool) *ownership.Settings {
	return &ownership.Settings{MinShare: 1, UsesHeartbeats: heartbeats, PrefersOwnZone: near, SlowStartWindow: coldDuration}
}

// Candidates are those that are compared.
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

// rendezvous gives each worker to the first schedulers of an order found by rendezvous hashing over the live ones.
type rendezvous struct {
	fleet   *Fleet
	holders int
	near    bool // the schedulers of the worker's zone come first, then those of its region
	// shares holds the shares of all schedulers for the memberships that were asked for last.
	shares map[string][][]int
}

// mostMemberships bounds the memberships whose shares are kept; past it all are forgotten.
const maxCachedMemberships = 16

func newRendezvous(f *Fleet, holders int, near bool) *rendezvous {
	return &rendezvous{fleet: f, holders: min(holders, f.Schedulers), near: near, shares: map[string][][]int{}}
}

// Holders is part of world.Directory.
func (o *rendezvous) Holders() int { return o.holders }

// Share is part of world.Directory.
func (o *rendezvous) Share(scheduler int, alive []bool) []int {
	key := make([]byte, len(alive))
	for i, a := range alive {
		if a {
			key[i] = 1
		}
	}
	shares, known := o.shares[string(key)]
	if !known {
		if len(o.shares) >= maxCachedMemberships {
			clear(o.shares)
		}
		shares = o.divide(alive)
		o.shares[string(key)] = shares
	}
	return shares[scheduler]
}

// holder is a live scheduler in the order of a worker: the nearest first, and among these the highest weight.
type holder struct {
	scheduler int
	distance  int
	weight    uint64
}

func (o *rendezvous) divide(alive []bool) [][]int {
	shares := make([][]int, len(alive))
	order := make([]holder, 0, len(alive))
	for worker := range o.fleet.Workers() {
		order = order[:0]
		hash := splitmix64(uint64(worker) + 1)
		for scheduler, a := range alive {
			if a {
				order = append(order, holder{scheduler, o.distance(worker, scheduler), splitmix64(hash ^ splitmix64(uint64(scheduler)))})
			}
		}
		slices.SortFunc(order, func(a, b holder) int {
			return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight))
		})
		for _, h := range order[:min(o.holders, len(order))] {
			shares[h.scheduler] = append(shares[h.scheduler], worker)
		}
	}
	return shares
}

// distance is 0 in one zone, 1 in one region, and 2 else.
func (o *rendezvous) distance(worker, scheduler int) int {
	if !o.near {
		return 0
	}
	at, own := o.fleet.zoneOf(worker), world.ZoneOf(scheduler, o.fleet.Zones)
	switch {
	case at == own:
		return 0
	case o.fleet.regionOf(at) == o.fleet.regionOf(own):
		return 1
	}
	return 2
}

// equalShares deals the workers out in turn: what one holder each could reach with shares of one size. It takes all
// members to be alive.
type equalShares struct{ fleet *Fleet }

// Holders is part of world.Directory.
func (e equalShares) Holders() int { return 1 }

// Share is part of world.Directory.
func (e equalShares) Share(scheduler int, alive []bool) (share []int) {
	for worker := scheduler; worker < e.fleet.Workers(); worker += len(alive) {
		share = append(share, worker)
	}
	return share
}

// partialView gives a scheduler the workers that the keys of its jobs point to on the ring of the decisions: the first
// workers of each key, and the first of the scheduler's own zone, which the decisions look at as well.
type partialView struct {
	fleet *Fleet
	ring  []ringPoint
}

type ringPoint struct {
	at     uint64
	worker int
}

// The sample of the decisions and the points of a worker on their ring, as package rules has them.
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

// Holders is part of world.Directory: the keys of any scheduler may point to a worker.
func (v *partialView) Holders() int { return v.fleet.Schedulers }

// Share is part of world.Directory. The view is taken to be warm: all keys that come to the scheduler have been used.
func (v *partialView) Share(scheduler int, _ []bool) []int {
	taken := make([]bool, v.fleet.Workers())
	for key := range v.fleet.Keys {
		if v.receivesKey(key, scheduler) {
			v.markWorkers(key, world.ZoneOf(scheduler, v.fleet.Zones), taken)
		}
	}
	var share []int
	for worker, is := range taken {
		if is {
			share = append(share, worker)
		}
	}
	return share
}

func (v *partialView) receivesKey(key, scheduler int) bool {
	return v.fleet.Traffic != world.ByKey || slices.Contains(world.SchedulersOf(key, v.fleet.Schedulers, schedulersPerKey), scheduler)
}

// take marks the workers that a key points to.
func (v *partialView) markWorkers(key, zone int, taken []bool) {
	at, _ := slices.BinarySearchFunc(v.ring, splitmix64(world.Key(key)), func(p ringPoint, hash uint64) int { return cmp.Compare(p.at, hash) })
	any, own := 0, 0
	seen := map[int]bool{}
	for range len(v.ring) {
		if any >= sampleSize && own >= ownZoneSample {
			return
		}
		worker := v.ring[at%len(v.ring)].worker
		at++
		if seen[worker] {
			continue
		}
		seen[worker] = true
		near := v.fleet.zoneOf(worker) == zone
		if any < sampleSize || near && own < ownZoneSample {
			taken[worker] = true
		}
		any++
		if near {
			own++
		}
	}
}

// mix is the finaliser of splitmix64, and workerHash FNV-1a with it: where package rules puts a worker on its ring.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func workerHash(id rules.WorkerID) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return splitmix64(h)
}
