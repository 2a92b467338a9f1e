package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Endpoint is an entry of discovery's list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

type list struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Discovery serves the list and watches on it.
type Discovery struct {
	Address string

	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	index   int
	entries []Endpoint
	history []list // one entry a change
	server  *http.Server
}

// StartDiscovery starts a discovery with a first list.
func StartDiscovery(address string, entries []Endpoint) (*Discovery, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: address, changed: make(chan struct{}), index: 1, entries: entries}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(ln)
	return d, nil
}

// Close ends discovery.
func (d *Discovery) Close() { d.server.Close() }

// Set changes entries of the list.
func (d *Discovery) Set(changes ...Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, change := range changes {
		kept := d.entries[:0:0]
		for _, e := range d.entries {
			if e.Name != change.Name {
				kept = append(kept, e)
			}
		}
		if change.Status != "removed" {
			kept = append(kept, change)
		}
		d.entries = kept
	}
	d.history = append(d.history, list{Index: d.index, Endpoints: changes})
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		d.mu.Lock()
		text, _ := json.Marshal(list{Index: d.index, Snapshot: true, Endpoints: d.entries})
		d.mu.Unlock()
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		w.Write(text)
		return
	}
	after := 0
	fmt.Sscan(r.URL.Query().Get("after"), &after)
	flusher := w.(http.Flusher)
	w.WriteHeader(200)
	flusher.Flush()
	for {
		d.mu.Lock()
		var due []list
		for _, l := range d.history {
			if l.Index > after {
				due = append(due, l)
			}
		}
		changed := d.changed
		d.mu.Unlock()
		for _, l := range due {
			text, _ := json.Marshal(l)
			if _, err := w.Write(append(text, '\n')); err != nil {
				return
			}
			after = l.Index
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			flusher.Flush()
		}
	}
}
