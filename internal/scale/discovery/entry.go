package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
)

// Status is a worker's state on the list.
type Status string

// Statuses of the platform's protocol.
const (
	Up      Status = "up"
	Removed Status = "removed"
)

// Entry is a worker's entry on the list.
type Entry struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	Type    string         `json:"type"`
	Group   int            `json:"group"`
	Status  Status         `json:"status"`
	Weight  float64        `json:"weight"`
	SinceMS int64          `json:"since_ms"` // Unix time of the worker's start in milliseconds; 0: long ago
}

// update is one version of the list: the changed entries, or the whole list.
type update struct {
	version int64
	text    []byte // JSON, without a line feed
}

// newUpdate encodes an update.
func newUpdate(version int64, whole bool, entries []Entry) (update, error) {
	var text bytes.Buffer
	fmt.Fprintf(&text, `{"index":%d,"snapshot":%t,"endpoints":[`, version, whole)
	for i := range entries {
		entry, err := json.Marshal(&entries[i])
		if err != nil {
			return update{}, err
		}
		if i > 0 {
			text.WriteByte(',')
		}
		text.Write(entry)
	}
	text.WriteString("]}")
	return update{version: version, text: text.Bytes()}, nil
}
