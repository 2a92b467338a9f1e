package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// endpoint is one table worker on the list.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// discovery is the stand-in of discovery: the whole list, and a watch on its changes.
type discovery struct {
	mu      sync.Mutex
	index   int
	list    []endpoint
	changes []change
	wake    chan struct{}
	server  *http.Server
	address string
	// endsByClose frames the whole list by the end of its connection (RFC 9112, section 6.3), in place of a length.
	endsByClose bool
}

type change struct {
	index int
	entry endpoint
}

func startDiscovery(list []endpoint) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{index: 1, list: list, wake: make(chan struct{}), address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/targets", d.serve)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(l)
	return d, nil
}

// set changes the status of a worker, from now on.
func (d *discovery) set(name, status string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for i := range d.list {
		if d.list[i].Name == name {
			d.list[i].Status = status
			d.changes = append(d.changes, change{d.index, d.list[i]})
		}
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	type list struct {
		Index     int        `json:"index"`
		Snapshot  bool       `json:"snapshot"`
		Endpoints []endpoint `json:"endpoints"`
	}
	if r.URL.Query().Get("watch") == "" {
		d.mu.Lock()
		text, _ := json.Marshal(list{d.index, true, d.list})
		d.mu.Unlock()
		if d.endsByClose {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			conn.Write(append([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"), text...))
			conn.Close()
			return
		}
		w.Write(text)
		return
	}
	flusher := w.(http.Flusher)
	sent := 0
	json.Unmarshal([]byte(r.URL.Query().Get("after")), &sent)
	w.WriteHeader(200)
	flusher.Flush()
	for {
		d.mu.Lock()
		out := list{d.index, false, []endpoint{}}
		for _, c := range d.changes {
			if c.index > sent {
				out.Endpoints = append(out.Endpoints, c.entry)
			}
		}
		wake := d.wake
		d.mu.Unlock()
		text := []byte("\n")
		if len(out.Endpoints) > 0 {
			text, _ = json.Marshal(out)
			text = append(text, '\n')
			sent = out.Index
		}
		if _, err := w.Write(text); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-wake:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}
