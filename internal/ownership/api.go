// Package ownership divides a large fleet of workers among the schedulers that send to it. Each worker has an owner
// among the live schedulers, found by rendezvous hashing, so that a scheduler keeps state, connections and probes for
// its own part of the fleet only. The package is a state machine without I/O, clock or goroutine: events in, actions
// out. It never chooses a worker for a job; that is what package rules does, among the workers that it is handed.
//
// # Rendezvous hashing
//
// For each worker all live members are ordered by a hash of the pair and the member's weight; a member of the worker's
// zone may weigh more. The first is the worker's owner, the next one takes its place when it dies, and so on. Every
// member finds the same order without a message, and a member that joins or leaves changes the owner of its own
// workers only.
//
// # With heartbeats
//
// Where members may send one another messages, each sends a heartbeat in equal intervals, and one that was not heard
// for Settings.ExpireAfter is taken for dead. The heartbeat tells the member's weight and which part of its share's
// slots its jobs take. Each member moves its own weight in small steps until that part is the same at all, so that
// unlike loads of the schedulers, of the zones and of the shares even out, and each worker still has one owner.
//
// # Without
//
// Where they may not, all members are taken to be alive, and all weights are equal. A scheduler's span tells how far
// down the workers' orders it goes: 1 is the workers that it owns, 2 those for which it is the next one as well, and
// the number of members is the whole fleet. It grows in small steps while its workers are busy, and shrinks again when
// they are not: unlike loads even out, and the workers of a dead member are reached as the others get its load.
package ownership

import (
	"errors"
	"fmt"
)

// Time is a point on, or a length of, the host's clock, in microseconds. The clock never goes back.
type Time = int64

// Lengths of time.
const (
	Millisecond Time = 1_000
	Second      Time = 1_000_000
)

// AnyZone is the zone of a member of which none is known.
const UnknownZone = -1

// Worker is what has to be known of a worker to find its owner.
type Worker struct {
	Name      string
	Zone      int
	Kind      int
	StartedAt Time // 0: long ago
}

// Settings are given once, at the start. A zero value stands for the default noted.
type Settings struct {
	Rank    int // the rank of this scheduler, from 0 to Members-1
	Members int
	Zone    int // this scheduler's own; AnyZone: none
	// LeastShare is the number of workers of one kind for each member from which on the kind is divided. Fewer are
	// known whole to all members. 0: 256.
	MinShare int
	// Heartbeats tells that members may send one another messages.
	UsesHeartbeats bool
	// NearFirst tells that a job at a worker of another zone has a price: members of a worker's zone come first.
	PrefersOwnZone    bool
	HeartbeatInterval Time // 0: 2 s
	ExpireAfter       Time // 0: 3.5 times HeartbeatEvery
	AdjustInterval    Time // the span is looked at this often, and the share brought up to date within it; 0: 1 s
	// ColdFor is how long after its start a worker counts as cold. A cold worker is its owner's alone. 0: 30 s.
	SlowStartWindow Time
	// GrowAbove and ShrinkBelow are the parts of the share's slots that are taken by this scheduler's own jobs at
	// which the span grows and shrinks. 0: 0.95 and 0.85.
	GrowAbove, ShrinkBelow float64
}

// Sizes and bounds.
const (
	MaxMembers = 4096    // a setting over it is refused
	MaxWorkers = 500_000 // workers beyond are not divided: their names are left out and counted

	defaultMinShare          = 256
	defaultHeartbeatInterval = 2 * Second
	defaultAdjustInterval    = Second
	defaultSlowStartWindow   = 30 * Second
	defaultGrowAbove         = 0.95
	defaultShrinkBelow       = 0.85
)

// Errors of the settings.
var (
	ErrMembers    = errors.New("the number of members is out of range")
	ErrRank       = errors.New("the own rank is not among the members")
	ErrThresholds = errors.New("the thresholds of the span are out of order")
	ErrExpiry     = errors.New("a member would expire between two heartbeats")
)

// Check tells what is wrong with the settings; nil: nothing.
func (s Settings) Check() error {
	s = s.withDefaults()
	switch {
	case s.Members < 1 || s.Members > MaxMembers:
		return fmt.Errorf("%w: %d is not from 1 to %d", ErrMembers, s.Members, MaxMembers)
	case s.Rank < 0 || s.Rank >= s.Members:
		return fmt.Errorf("%w: %d is not from 0 to %d", ErrRank, s.Rank, s.Members-1)
	case !(0 < s.ShrinkBelow && s.ShrinkBelow < s.GrowAbove && s.GrowAbove <= 1):
		return fmt.Errorf("%w: 0 < %g < %g <= 1 does not hold", ErrThresholds, s.ShrinkBelow, s.GrowAbove)
	case s.ExpireAfter <= s.HeartbeatInterval:
		return fmt.Errorf("%w: %d us is not over %d us", ErrExpiry, s.ExpireAfter, s.HeartbeatInterval)
	}
	return nil
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.MinShare, defaultMinShare)
	setDefault(&s.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&s.ExpireAfter, 7*s.HeartbeatInterval/2)
	setDefault(&s.AdjustInterval, defaultAdjustInterval)
	setDefault(&s.SlowStartWindow, defaultSlowStartWindow)
	setDefault(&s.GrowAbove, defaultGrowAbove)
	setDefault(&s.ShrinkBelow, defaultShrinkBelow)
	return s
}

func setDefault[T int | Time | float64](value *T, otherwise T) {
	if *value == 0 {
		*value = otherwise
	}
}

// Update is news of the workers.
type Update struct {
	IsSnapshot bool // these are all workers there are
	Listed     []Worker
	Removed    []string
}

// Actions is what a Table asks of its host.
type Actions interface {
	// Enter tells that the scheduler may send to the worker from now on.
	AcquireWorker(worker string)
	// Leave tells that it sends nothing new there. What is in hand there goes on.
	ReleaseWorker(worker string)
	// Divide tells how the workers of a kind are divided from now on. Before the first call they are not.
	SetDivision(d Division)
	// Member tells that a member was taken for dead, or is back.
	MemberChanged(rank int, alive bool)
	// Broadcast sends a heartbeat to all other members. It may be lost.
	Broadcast(h Heartbeat)
}

// Division tells how the workers of one kind are divided at present.
type Division struct {
	Kind      int // AllKinds: what holds for a job that any kind may run
	IsDivided bool
	// Senders is the number of schedulers that may send to a cold worker of the share at once, while views of the
	// membership differ.
	ColdSenders int
	// Foreign is the part of the load on the share's workers that may be other schedulers', from 0 to 1.
	ForeignLoad float64
}
