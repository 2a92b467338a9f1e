package config

import (
	"fmt"
	"slices"

	"cobaltflow/rules"
)

// Names maps the names used on the wire to the numbers that package rules uses, and holds the workers' idle timeout.
type Names struct {
	Classes, Zones, Kinds []string
	ConnIdleTimeout       rules.Time // a worker closes a connection that is idle for this long

	tenants map[string]int // name to number, from 1
}

// Class returns the number of a class, or -1 if the name is unknown.
func (n *Names) Class(name string) int { return slices.Index(n.Classes, name) }

// Tenant returns the number of a tenant, from 1, or 0 if the settings do not contain the name: its requests count against
// no quota.
func (n *Names) Tenant(name []byte) int { return n.tenants[string(name)] }

// setTenants sets the tenants' names, in the order of their numbers. key is the configuration key of the list.
func (n *Names) setTenants(names []string, key string) error {
	n.tenants = make(map[string]int, len(names))
	for i, name := range names {
		if name == "" {
			return newError(fmt.Sprintf("%s.%d.name", key, i), "missing")
		}
		if n.tenants[name] > 0 {
			return newError(fmt.Sprintf("%s.%d.name", key, i), "duplicate name %q", name)
		}
		n.tenants[name] = i + 1
	}
	return nil
}
