// Package discovery decodes the worker lists of service discovery: the workers' names, addresses and states. Package platform
// passes it the bytes read from a connection; it does no I/O, reads no clock and starts no goroutine.
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

// Update is one list from discovery, or the known list of the configuration: all workers, or only those that changed.
type Update struct {
	Version       int64
	IsSnapshot    bool
	Workers       []core.ListedWorker
	Addresses     []string // of the workers, in the same order; empty: the worker was removed
	StartedUnixMS []int64  // their start times by discovery's clock, in the same order; 0: long ago
}

// listFields is the JSON form of a list.
type listFields struct {
	Index     *int64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// endpoint is the JSON form of one entry of a list.
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

// Mapping maps the names and dates of a list to the scheduler's indexes and times. FromUnix is called on the decoding
// goroutine.
type Mapping struct {
	Names    *config.Names
	FromUnix func(milliseconds int64) core.Time
}

var errNoIndex = errors.New("index is missing")

// ParseList parses a text that holds one list. It returns an error, and no update, if any entry is invalid.
func ParseList(text []byte, mapping Mapping) (*Update, error) {
	var fields listFields
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	if fields.Index == nil {
		return nil, errNoIndex
	}
	u := &Update{Version: *fields.Index, IsSnapshot: fields.Snapshot}
	for i := range fields.Endpoints {
		if err := u.appendEndpoint(&fields.Endpoints[i], mapping); err != nil {
			return nil, err
		}
	}
	return u, nil
}

// appendEndpoint appends a worker, or returns the fault of its entry.
func (u *Update) appendEndpoint(e *endpoint, mapping Mapping) error {
	if e.Name == "" {
		return errors.New("an endpoint has no name")
	}
	w := core.ListedWorker{Name: e.Name, Cell: e.Group, Weight: 1}
	w.Zone = max(0, slices.Index(mapping.Names.Zones, e.Zone))
	w.Kind = max(0, slices.Index(mapping.Names.Kinds, e.Type))
	switch e.Status {
	case "up":
		w.State = rules.Ready
	case "removed":
		w.State = rules.Gone
	default: // draining, or an unknown state: the worker gets no new jobs
		w.State = rules.Draining
	}
	if e.Weight != nil {
		w.Weight = *e.Weight
	}
	if e.SinceMS > 0 {
		w.StartedAt = max(1, mapping.FromUnix(e.SinceMS))
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
