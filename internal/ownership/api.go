// Package ownership divides a large fleet of workers among the schedulers, so that each scheduler keeps state,
// connections and probes for its own share only. Package core feeds it events and executes the actions that it emits; it
// does no I/O, reads no clock and starts no goroutine. It does not choose a worker for a job: package rules does, among
// the workers of the share.
//
// # Rendezvous hashing
//
// For each worker the live members (schedulers) are ranked by a hash of the pair and by the member's weight; members in
// the worker's zone may get a bonus. The first member is the worker's owner, and the next one replaces it when it dies.
// All members compute the same ranking without messages, and a member that joins or leaves changes the owner of its own
// workers only.
//
// # With heartbeats
//
// Where members may exchange messages, each broadcasts a heartbeat at a fixed interval and expires members whose last
// heartbeat is older than Settings.ExpireAfter. A heartbeat contains the member's weight and the utilization of its
// share, the fraction of the slots that its own jobs occupy. Each member adjusts its weight in small steps until the
// utilization of all members is equal. Uneven loads of schedulers, zones and shares even out, and each worker still has
// one owner.
//
// # Without heartbeats
//
// Where members may not exchange messages, all members are assumed to be alive and have equal weights. A scheduler's
// span is the number of positions in the workers' rankings that it covers: 1 covers the workers that it owns, 2 also
// those for which it is second, and the number of members covers the whole fleet. The span grows in small steps while
// the share is busy and shrinks while it is not. Uneven loads even out, and the workers of a dead member are used again
// as the other schedulers receive its load.
package ownership

import (
	"errors"
	"fmt"
)

// Time is an instant or a duration of the host's monotonic clock, in microseconds.
type Time = int64

// Durations.
const (
	Millisecond Time = 1_000
	Second      Time = 1_000_000
)

// UnknownZone is the zone of a member whose zone is not known.
const UnknownZone = -1

// Worker holds the attributes of a worker that determine its owner.
type Worker struct {
	Name      string
	Zone      int
	Kind      int
	StartedAt Time // 0: unknown, treated as warm
}

// Settings configures a Table. A zero value selects the default noted at the field.
type Settings struct {
	Rank    int // this scheduler's rank, from 0 to Members-1
	Members int
	Zone    int // this scheduler's zone, or UnknownZone
	// MinShare is the number of workers of one kind per member at which the kind is divided. Below it every member uses
	// all workers of the kind. 0: 256.
	MinShare int
	// UsesHeartbeats reports whether members may exchange messages.
	UsesHeartbeats bool
	// PrefersOwnZone ranks members in a worker's zone first, because jobs sent to another zone have a cost.
	PrefersOwnZone    bool
	HeartbeatInterval Time // 0: 2 s
	ExpireAfter       Time // 0: 3.5 times HeartbeatInterval
	AdjustInterval    Time // of the span; all workers are updated once within it; 0: 1 s
	// SlowStartWindow is the time after its start during which a worker is cold. Only its owner uses a cold worker.
	// 0: 30 s.
	SlowStartWindow Time
	// GrowAbove and ShrinkBelow are the utilizations of the share by this scheduler's own jobs above which the span
	// grows and below which it shrinks. 0: 0.95 and 0.85.
	GrowAbove, ShrinkBelow float64
}

// Limits.
const (
	MaxMembers = 4096    // larger values of Settings.Members are rejected
	MaxWorkers = 500_000 // further workers are omitted from the table and counted

	defaultMinShare          = 256
	defaultHeartbeatInterval = 2 * Second
	defaultAdjustInterval    = Second
	defaultSlowStartWindow   = 30 * Second
	defaultGrowAbove         = 0.95
	defaultShrinkBelow       = 0.85
)

// Errors that Settings.Check wraps.
var (
	ErrMembers    = errors.New("the number of members is out of range")
	ErrRank       = errors.New("the scheduler's rank is out of range")
	ErrThresholds = errors.New("the span thresholds are out of order")
	ErrExpiry     = errors.New("the expiry time does not exceed the heartbeat interval")
)

// Check validates the settings. It wraps ErrMembers, ErrRank, ErrThresholds or ErrExpiry.
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

func setDefault[T int | Time | float64](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// Update is a worker list update.
type Update struct {
	IsSnapshot bool // Listed holds all workers
	Listed     []Worker
	Removed    []string
}

// Actions are the effects that a Table emits for its host to execute.
type Actions interface {
	// AcquireWorker adds a worker to the share: the scheduler may send to it.
	AcquireWorker(worker string)
	// ReleaseWorker removes a worker from the share: it gets no new attempts. Attempts in flight continue.
	ReleaseWorker(worker string)
	// SetDivision sets how the workers of a kind are divided. Until the first call for a kind it is not divided.
	SetDivision(d Division)
	// MemberChanged reports that a member expired or left, or that it is alive again.
	MemberChanged(rank int, isAlive bool)
	// Broadcast sends a heartbeat to all other members. Delivery is not guaranteed.
	Broadcast(h Heartbeat)
}

// Division describes how the workers of one kind are divided.
type Division struct {
	Kind      int // AllKinds: for jobs that any kind may run
	IsDivided bool
	// ColdSenders is the maximum number of schedulers that may send to a cold worker of the share at the same time while
	// their views of the membership differ.
	ColdSenders int
	// ForeignLoad is the maximum fraction, from 0 to 1, of the load on the share's workers that other schedulers cause.
	ForeignLoad float64
}
