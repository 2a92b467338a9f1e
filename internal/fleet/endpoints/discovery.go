package endpoints

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/relay"
	"cobaltflow/internal/fleet/scenario"
)

// Entry is a table worker in discovery's form.
type ListEntry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`

	worker int
}

type listUpdate struct {
	Index     int         `json:"index"`
	Snapshot  bool        `json:"snapshot"`
	Endpoints []ListEntry `json:"endpoints"`
}

// Discovery tells schedulers of the table workers, each late by a time of its own. Every scheduler has an address of
// its own to ask, as it has an agent on its machine.
type Discovery struct {
	scenario *scenario.Scenario
	recorder *Recorder
	network  *relay.Network
	servers  []*discoveryServer
	mu       sync.Mutex
	rng      *rand.Rand
}

// view is what one scheduler has been told.
type discoveryServer struct {
	discovery *Discovery
	scheduler int
	site      int
	server    *http.Server
	address   string

	mu            sync.Mutex
	index         int
	entries       map[string]ListEntry
	changes       []listUpdate // one entry each, in order
	updated       chan struct{}
	isFrozen      bool
	deferred      []ListEntry   // changes that wait while it is frozen
	outages       int           // outages that are on: several may cross
	outageStarted chan struct{} // closed when discovery goes down
}

// discoveryAt is the address of all agents.
var discoveryHost = net.IPv4(127, 0, 3, 1)

// NewDiscovery starts an agent for each scheduler. All know the workers from the start.
func NewDiscovery(s *scenario.Scenario, recorder *Recorder, n *relay.Network, workers []*Worker, seed uint64) (*Discovery, error) {
	d := &Discovery{scenario: s, recorder: recorder, network: n, rng: rand.New(rand.NewPCG(seed, 0x64697363))}
	for i, site := range s.SchedulerSites() {
		v := &discoveryServer{discovery: d, scheduler: i, site: site, entries: map[string]ListEntry{}, updated: make(chan struct{}), outageStarted: make(chan struct{}), index: 1}
		ln, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: discoveryHost})
		if err != nil {
			return nil, err
		}
		v.address = ln.Addr().String()
		for _, w := range workers {
			v.entries[w.Name] = d.entry(w, v, "up")
		}
		v.server = &http.Server{Handler: v}
		go v.server.Serve(relayedListener{ln, n, relay.Path{Kind: relay.List, From: site, To: site}})
		d.servers = append(d.servers, v)
	}
	return d, nil
}

// wrapped puts what a listener takes on a path.
type relayedListener struct {
	net.Listener
	network *relay.Network
	path    relay.Path
}

func (l relayedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.Wrap(c, l.path, false), nil
}

func (d *Discovery) entry(w *Worker, v *discoveryServer, status string) ListEntry {
	return ListEntry{Name: w.Name, Address: w.Address(v.site), Zone: d.scenario.Sites[w.Site].Name, Type: d.scenario.Workers.Kinds[w.Kind].Name,
		Group: w.Site, Status: status, Weight: 1, SinceMS: w.StartedMS(), worker: w.Number}
}

// Address is where a scheduler asks.
func (d *Discovery) Address(scheduler int) string { return d.servers[scheduler].address }

// Known is the list as a scheduler has it now, for its start.
func (d *Discovery) CurrentList(scheduler int) json.RawMessage {
	v := d.servers[scheduler]
	v.mu.Lock()
	defer v.mu.Unlock()
	text, _ := json.Marshal(v.snapshot())
	return text
}

func (v *discoveryServer) snapshot() listUpdate {
	l := listUpdate{Index: v.index, Snapshot: true, Endpoints: []ListEntry{}}
	for _, name := range slices.Sorted(maps.Keys(v.entries)) {
		l.Endpoints = append(l.Endpoints, v.entries[name])
	}
	return l
}

// Change tells all schedulers of a worker's state, each after a time drawn from late. at most 0: they are not told.
func (d *Discovery) Announce(w *Worker, status string, late scenario.Range) {
	if late.Max <= 0 && status == "removed" {
		return
	}
	for _, v := range d.servers {
		e := d.entry(w, v, status)
		d.mu.Lock()
		wait := late.Draw(d.rng)
		d.mu.Unlock()
		time.AfterFunc(time.Duration(wait*float64(time.Second)), func() { v.apply(e) })
	}
}

func (v *discoveryServer) apply(e ListEntry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isFrozen || v.outages > 0 {
		v.deferred = append(v.deferred, e)
		return
	}
	if old, ok := v.entries[e.Name]; ok && old.SinceMS > e.SinceMS {
		return // overtaken by an update of a later start
	}
	v.index++
	if e.Status == "removed" {
		delete(v.entries, e.Name)
	} else {
		v.entries[e.Name] = e
	}
	v.changes = append(v.changes, listUpdate{Index: v.index, Endpoints: []ListEntry{e}})
	close(v.updated)
	v.updated = make(chan struct{})
	v.discovery.recorder.AddListUpdate(record.ListUpdate{AtUS: v.discovery.recorder.ElapsedUS(), Scheduler: int32(v.scheduler), Worker: int32(e.worker), Status: e.Status})
}

// Freeze has a scheduler hear nothing new of the list, or all that it has missed.
func (d *Discovery) SetFrozen(scheduler int, on bool) {
	d.servers[scheduler].updateState(func(v *discoveryServer) { v.isFrozen = on })
}

// Down has discovery fall silent for all, or come back.
func (d *Discovery) SetOutage(on bool) {
	for _, v := range d.servers {
		v.updateState(func(v *discoveryServer) {
			switch {
			case on:
				if v.outages++; v.outages == 1 {
					close(v.outageStarted)
				}
			default:
				if v.outages--; v.outages == 0 {
					v.outageStarted = make(chan struct{})
				}
			}
		})
	}
}

func (v *discoveryServer) updateState(f func(*discoveryServer)) {
	v.mu.Lock()
	f(v)
	var held []ListEntry
	if !v.isFrozen && v.outages == 0 {
		held, v.deferred = v.deferred, nil
	}
	v.mu.Unlock()
	for _, e := range held {
		v.apply(e)
	}
}

// ServeHTTP answers a scheduler's questions.
func (v *discoveryServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	down, stop := v.outages > 0, v.outageStarted
	v.mu.Unlock()
	if r.URL.Path != "/api/targets" {
		rw.WriteHeader(404)
		return
	}
	if down {
		if v.discovery.scenario.Discovery.Mode == "ask" {
			rw.WriteHeader(503)
			return
		}
		<-r.Context().Done() // an agent that hears nothing says nothing
		return
	}
	if r.URL.Query().Get("watch") == "" {
		v.mu.Lock()
		text, _ := json.Marshal(v.snapshot())
		v.mu.Unlock()
		rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
		rw.Write(text)
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	v.watch(rw, r, after, stop)
}

// watch sends changes after an index as they come, until the scheduler goes or discovery is stopped.
func (v *discoveryServer) watch(rw http.ResponseWriter, r *http.Request, after int, stop <-chan struct{}) {
	rw.WriteHeader(200)
	flush := rw.(http.Flusher)
	flush.Flush()
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for {
		v.mu.Lock()
		var lines []listUpdate
		for _, c := range v.changes {
			if c.Index > after {
				lines = append(lines, c)
			}
		}
		updated := v.updated
		v.mu.Unlock()
		for _, l := range lines {
			text, _ := json.Marshal(l)
			fmt.Fprintf(rw, "%s\n", text)
			after = l.Index
		}
		if len(lines) > 0 {
			flush.Flush()
		}
		select {
		case <-updated:
		case <-beat.C:
			v.mu.Lock()
			quiet := v.outages > 0
			v.mu.Unlock()
			if !quiet {
				fmt.Fprint(rw, "\n")
				flush.Flush()
			}
		case <-stop:
			if v.discovery.scenario.Discovery.Mode == "ask" {
				panic(http.ErrAbortHandler)
			}
			stop = nil
		case <-r.Context().Done():
			return
		}
	}
}

// Close ends all agents.
func (d *Discovery) Close() {
	for _, v := range d.servers {
		v.server.Close()
	}
}

// Ports gives addresses at which nothing listens yet, apart from those of outgoing connections. All are held until the
// last is chosen: the program listens with SO_REUSEPORT, so that two that were given one port would share it unseen.
func FreePorts(host [4]byte, n int, udp bool) (list []netip.AddrPort, err error) {
	ip := net.IP(host[:])
	for range n {
		var held io.Closer
		var at net.Addr
		if udp {
			c, bad := net.ListenUDP("udp4", &net.UDPAddr{IP: ip})
			if err = bad; err == nil {
				held, at = c, c.LocalAddr()
			}
		} else {
			ln, bad := net.ListenTCP("tcp4", &net.TCPAddr{IP: ip})
			if err = bad; err == nil {
				held, at = ln, ln.Addr()
			}
		}
		if err != nil {
			return nil, err
		}
		defer held.Close()
		list = append(list, netip.MustParseAddrPort(at.String()))
	}
	return list, nil
}
