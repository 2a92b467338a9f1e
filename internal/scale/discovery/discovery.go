// Package discovery is a fake service discovery for the scale measurements. It serves one worker list, whole or as a
// watch of changes, to any number of schedulers; its only fault is an outage.
package discovery

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cobaltflow/internal/platform"
	"cobaltflow/internal/scale/traffic"
)

const (
	chunkBytes        = 16 << 10        // a list is sent in chunks of at most this size
	heartbeatPeriod   = 2 * time.Second // an empty line is sent this often on an idle watch
	maxHistoryUpdates = 20_000          // a watch that continues from before them receives the whole list first
	maxHistoryBytes   = 64 << 20        // beyond it the oldest updates are dropped
)

// Server holds the list and serves it to schedulers. Its methods may be called from any goroutine.
type Server struct {
	counter *traffic.Counter
	http    *http.Server
	address netip.AddrPort

	mu           sync.Mutex
	version      int64
	entries      map[string]Entry
	fullList     update   // cache of the whole list, valid for the version that it names
	history      []update // the latest updates, in order
	historyBytes int
	changed      chan struct{} // closed and replaced at each update
	down         bool
	wentDown     chan struct{} // closed when an outage begins
	watches      int
}

// Start serves a list on a port of 127.0.3.1 that the kernel chooses.
func Start(entries []Entry, counter *traffic.Counter) (*Server, error) {
	s := &Server{counter: counter, version: 1, entries: make(map[string]Entry, len(entries)),
		changed: make(chan struct{}), wentDown: make(chan struct{})}
	for _, e := range entries {
		s.entries[e.Name] = e
	}
	s.http = &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}
	ln, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 3, 1)})
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().(*net.TCPAddr).AddrPort()
	go s.http.Serve(&countingListener{Listener: ln, server: s})
	return s, nil
}

// Close stops the server and closes its connections.
func (s *Server) Close() error { return s.http.Close() }

// Address returns the address at which the list is served.
func (s *Server) Address() netip.AddrPort { return s.address }

// FullList returns the whole current list in the form of the protocol.
func (s *Server) FullList() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, err := s.fullListLocked()
	return u.text, err
}

// Version returns the current version of the list.
func (s *Server) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// WorkerCount returns the number of workers on the list.
func (s *Server) WorkerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// WatchCount returns the number of open watches.
func (s *Server) WatchCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (s *Server) fullListLocked() (update, error) {
	if s.fullList.version == s.version {
		return s.fullList, nil
	}
	list := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	u, err := newUpdate(s.version, true, list)
	if err == nil {
		s.fullList = u
	}
	return u, err
}

// Update makes one new version of the list with the entries and sends it to all watches as one line.
func (s *Server) Update(entries ...Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, err := newUpdate(s.version+1, false, entries)
	if err != nil {
		return err
	}
	s.version++
	for _, e := range entries {
		if e.Status == Removed {
			delete(s.entries, e.Name)
		} else {
			s.entries[e.Name] = e
		}
	}
	s.history = append(s.history, u)
	s.historyBytes += len(u.text)
	for len(s.history) > maxHistoryUpdates || s.historyBytes > maxHistoryBytes {
		s.historyBytes -= len(s.history[0].text)
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// SetDown starts or ends an outage. During an outage all connections are closed and new ones are reset; updates are
// kept.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down == s.down {
		return
	}
	if s.down = down; down {
		close(s.wentDown)
		return
	}
	s.wentDown = make(chan struct{})
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// countingListener counts the traffic on its connections as traffic of the list.
type countingListener struct {
	net.Listener
	server *Server
}

// Accept resets connections that arrive during an outage.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.server.isDown() {
			return l.server.counter.WrapConn(nc, traffic.List), nil
		}
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
}

// ServeHTTP answers a request for the list or a watch.
func (s *Server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathTargets {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	s.counter.AddMessage(traffic.List)
	if r.URL.Query().Get("watch") == "" {
		text, err := s.FullList()
		if err != nil {
			rw.WriteHeader(http.StatusInternalServerError)
			return
		}
		writeChunks(rw, text)
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.watch(rw, r, after)
}

// watch sends the updates after a version until the scheduler disconnects or an outage begins.
func (s *Server) watch(rw http.ResponseWriter, r *http.Request, after int64) {
	s.mu.Lock()
	s.watches++
	awayFrom := s.wentDown
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watches--
		s.mu.Unlock()
	}()
	rw.WriteHeader(http.StatusOK)
	rw.(http.Flusher).Flush()
	heartbeat := time.NewTicker(heartbeatPeriod)
	defer heartbeat.Stop()
	for {
		updates, changed, err := s.updatesAfter(after)
		if err != nil {
			return
		}
		for _, u := range updates {
			if !writeChunks(rw, append(u.text[:len(u.text):len(u.text)], '\n')) {
				return
			}
			s.counter.AddMessage(traffic.List)
			after = u.version
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if !writeChunks(rw, []byte("\n")) {
				return
			}
		case <-awayFrom:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// updatesAfter returns the updates that a watch has to send next, and a channel that is closed at the next update. If
// the history does not reach back far enough, it returns the whole list as the only update.
func (s *Server) updatesAfter(after int64) ([]update, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after >= s.version {
		return nil, s.changed, nil
	}
	if len(s.history) == 0 || s.history[0].version > after+1 {
		u, err := s.fullListLocked()
		return []update{u}, s.changed, err
	}
	first := int(after + 1 - s.history[0].version)
	return slices.Clone(s.history[first:]), s.changed, nil
}

// writeChunks sends a text in chunks and reports whether all of it was written.
func writeChunks(rw http.ResponseWriter, text []byte) bool {
	flusher := rw.(http.Flusher)
	for chunk := range slices.Chunk(text, chunkBytes) {
		if _, err := rw.Write(chunk); err != nil {
			return false
		}
		flusher.Flush()
	}
	return true
}
