package config

import (
	"errors"

	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// Ownership is how a large fleet of table workers is divided among the schedulers; off without Divide.
type Ownership struct {
	DividesFleet        bool    `json:"divide"`
	MinShare            int     `json:"least_share"`
	HeartbeatIntervalMS int64   `json:"heartbeat_ms"`
	ExpireAfterMS       int64   `json:"expire_ms"`
	GrowAbove           float64 `json:"grow_above"`
	ShrinkBelow         float64 `json:"shrink_below"`
}

// settings are those of the module. coldFor is how long a worker counts as cold.
func (o Ownership) settings(set *rules.Settings, heartbeats bool) ownership.Settings {
	return ownership.Settings{Rank: set.Rank, Members: max(1, set.GroupSize), Zone: set.Zone, MinShare: o.MinShare,
		UsesHeartbeats: heartbeats, PrefersOwnZone: set.CrossZoneCost > 0, HeartbeatInterval: o.HeartbeatIntervalMS * ownership.Millisecond, ExpireAfter: o.ExpireAfterMS * ownership.Millisecond,
		SlowStartWindow: set.SlowStartWindow + set.OverloadWindow, GrowAbove: o.GrowAbove, ShrinkBelow: o.ShrinkBelow}
}

// ownership checks the section against the settings and peers. It is read after both.
func (c *Config) readOwnership(section Ownership) error {
	if !section.DividesFleet || c.Settings.GroupSize < 2 {
		return nil
	}
	heartbeats := c.Peers.Listen != ""
	if !heartbeats && c.Settings.CrossZoneCost > 0 {
		c.Warnings = append(c.Warnings, "ownership.divide: without messages between schedulers nobody knows their zones, and crossing zones "+
			"has a price: the fleet is not divided")
		return nil
	}
	set := section.settings(&c.Settings, heartbeats)
	if err := set.Check(); err != nil {
		return newError(keyOfError(err), "%v", err)
	}
	c.Ownership = &set
	return nil
}

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
