package config

import (
	"errors"

	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// Ownership is the configuration section of the division of a large fleet of table workers among the schedulers, which
// is off unless DividesFleet is set.
type Ownership struct {
	DividesFleet        bool    `json:"divide"`
	MinShare            int     `json:"least_share"`
	HeartbeatIntervalMS int64   `json:"heartbeat_ms"`
	ExpireAfterMS       int64   `json:"expire_ms"`
	GrowAbove           float64 `json:"grow_above"`
	ShrinkBelow         float64 `json:"shrink_below"`
}

// settings returns the settings of package ownership for the section and the rules' settings. usesHeartbeats reports
// whether the schedulers may exchange messages.
func (o Ownership) settings(set *rules.Settings, usesHeartbeats bool) ownership.Settings {
	return ownership.Settings{Rank: set.Rank, Members: max(1, set.GroupSize), Zone: set.Zone, MinShare: o.MinShare,
		UsesHeartbeats: usesHeartbeats, PrefersOwnZone: set.CrossZoneCost > 0, HeartbeatInterval: o.HeartbeatIntervalMS * ownership.Millisecond, ExpireAfter: o.ExpireAfterMS * ownership.Millisecond,
		SlowStartWindow: set.SlowStartWindow + set.OverloadWindow, GrowAbove: o.GrowAbove, ShrinkBelow: o.ShrinkBelow}
}

// readOwnership validates the section against the settings and the peers, which must have been read.
func (c *Config) readOwnership(section Ownership) error {
	if !section.DividesFleet || c.Settings.GroupSize < 2 {
		return nil
	}
	usesHeartbeats := c.Peers.Listen != ""
	if !usesHeartbeats && c.Settings.CrossZoneCost > 0 {
		c.Warnings = append(c.Warnings, "ownership.divide: the fleet is not divided, because crossing zones has a cost and without messages between "+
			"schedulers their zones are unknown")
		return nil
	}
	set := section.settings(&c.Settings, usesHeartbeats)
	if err := set.Check(); err != nil {
		return newError(keyOfError(err), "%v", err)
	}
	c.Ownership = &set
	return nil
}

// keyOfError returns the configuration key to which an error of ownership.Settings.Check belongs.
func keyOfError(err error) string {
	switch {
	case errors.Is(err, ownership.ErrMembers):
		return "settings.groupSize"
	case errors.Is(err, ownership.ErrRank):
		return "settings.rank"
	case errors.Is(err, ownership.ErrExpiry):
		return "ownership.expire_ms"
	}
	return "ownership.grow_above"
}
