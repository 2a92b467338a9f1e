// Package discovery decodes the lists of endpoints that service discovery sends: which workers there are, where, and in
// what state. It is given what was read of a connection, and does no I/O, has no clock and no goroutine of its own.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/rules"
)

// Update is one list of discovery, or the known list: all endpoints, or those that have changed.
type Update struct {
	Version       int64
	IsSnapshot    bool
	Workers       []core.ListedWorker
	Addresses     []string // of the workers, in their order; empty: the worker has gone
	StartedUnixMS []int64  // their starts as dates of discovery's clock, in Unix milliseconds; 0: long ago
}

// listFields are the fields of a list on the wire.
type listFields struct {
	Index     *int64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// endpoint is one entry of a list on the wire.
type endpoint struct {
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Type    string   `json:"type"`
	Group   int      `json:"group"`
	Status  string   `json:"status"`
	Weight  *float64 `json:"weight"`
	SinceMS int64    `json:"since_ms"`
}

// Format turns the words of a list into what the decisions know. Its functions are called on the goroutine that decodes.
type Mapping struct {
	Names    *config.Names
	FromUnix func(milliseconds int64) core.Time
}

var errNoIndex = errors.New("index is missing")

// ParseList reads a text that is one list. A list with a fault is not taken at all.
func ParseList(text []byte, format Mapping) (*Update, error) {
	var fields listFields
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	if fields.Index == nil {
		return nil, errNoIndex
	}
	u := &Update{Version: *fields.Index, IsSnapshot: fields.Snapshot}
	for i := range fields.Endpoints {
		if err := u.appendEndpoint(&fields.Endpoints[i], format); err != nil {
			return nil, err
		}
	}
	return u, nil
}

// add appends an endpoint, or tells why it is none.
func (u *Update) appendEndpoint(e *endpoint, format Mapping) error {
	if e.Name == "" {
		return errors.New("an endpoint has no name")
	}
	w := core.ListedWorker{Name: e.Name, Cell: e.Group, Weight: 1}
	w.Zone = max(0, slices.Index(format.Names.Zones, e.Zone))
	w.Kind = max(0, slices.Index(format.Names.Kinds, e.Type))
	switch e.Status {
	case "up":
		w.State = rules.Ready
	case "removed":
		w.State = rules.Gone
	default: // draining, or a state not known yet: nothing new goes there
		w.State = rules.Draining
	}
	if e.Weight != nil {
		w.Weight = *e.Weight
	}
	if e.SinceMS > 0 {
		w.StartedAt = max(1, format.FromUnix(e.SinceMS))
	}
	address := ""
	if w.State != rules.Gone {
		if address = e.Address; address == "" {
			return fmt.Errorf("endpoint %s has no address", e.Name)
		}
	}
	u.Workers = append(u.Workers, w)
	u.Addresses = append(u.Addresses, address)
	u.StartedUnixMS = append(u.StartedUnixMS, max(0, e.SinceMS))
	return nil
}
