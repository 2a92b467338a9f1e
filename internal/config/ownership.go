package config

import (
	"errors"

	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// Ownership is how a large fleet of table workers is divided among the schedulers; off without Divide.
type Ownership struct {
	Divide      bool    `json:"divide"`
	LeastShare  int     `json:"least_share"`
	HeartbeatMS int64   `json:"heartbeat_ms"`
	ExpireMS    int64   `json:"expire_ms"`
	GrowAbove   float64 `json:"grow_above"`
	ShrinkBelow float64 `json:"shrink_below"`
}

// settings are those of the module. coldFor is how long a worker counts as cold.
func (o Ownership) settings(set *rules.Settings, heartbeats bool) ownership.Settings {
	return ownership.Settings{Self: set.Rank, Members: max(1, set.GroupSize), Zone: set.Zone, LeastShare: o.LeastShare,
		Heartbeats: heartbeats, NearFirst: set.CrossZoneCost > 0, HeartbeatEvery: o.HeartbeatMS * ownership.Millisecond, ExpireAfter: o.ExpireMS * ownership.Millisecond,
		ColdFor: set.SlowStartWindow + set.OverloadWindow, GrowAbove: o.GrowAbove, ShrinkBelow: o.ShrinkBelow}
}

// ownership checks the section against the settings and peers. It is read after both.
func (c *Config) ownership(section Ownership) error {
	if !section.Divide || c.Settings.GroupSize < 2 {
		return nil
	}
	heartbeats := c.Peers.Listen != ""
	if !heartbeats && c.Settings.CrossZoneCost > 0 {
		c.Notes = append(c.Notes, "ownership.divide: without messages between schedulers nobody knows their zones, and crossing zones "+
			"has a price: the fleet is not divided")
		return nil
	}
	set := section.settings(&c.Settings, heartbeats)
	if err := set.Check(); err != nil {
		return fault(ownershipKey(err), "%v", err)
	}
	c.Ownership = &set
	return nil
}

func ownershipKey(err error) string {
	switch {
	case errors.Is(err, ownership.ErrMembers):
		return "settings.groupSize"
	case errors.Is(err, ownership.ErrSelf):
		return "settings.rank"
	case errors.Is(err, ownership.ErrExpire):
		return "ownership.expire_ms"
	}
	return "ownership.grow_above"
}
