package endpoints

import (
	"encoding/json"
	"errors"
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
	"sync/atomic"
	"syscall"
	"time"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/relay"
	"cobaltflow/internal/fleet/scenario"
)

// ListEntry is a table worker as the worker list of the discovery protocol describes it.
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

// listUpdate is a message of the discovery protocol: a snapshot of the worker list, or the entries that changed.
type listUpdate struct {
	Index     int         `json:"index"`
	Snapshot  bool        `json:"snapshot"`
	Endpoints []ListEntry `json:"endpoints"`
}

// Discovery is the service that sends the worker list to the schedulers. Each scheduler has a discovery server of its own,
// as it has one on its machine, and each server learns of a change after a delay of its own.
type Discovery struct {
	scenario *scenario.Scenario
	recorder *Recorder
	network  *relay.Network
	servers  []*discoveryServer
	mu       sync.Mutex
	rng      *rand.Rand
}

// discoveryServer is the discovery server of one scheduler, with the worker list that it has sent.
type discoveryServer struct {
	discovery *Discovery
	scheduler int
	site      int
	server    *http.Server
	address   string

	mu            sync.Mutex
	index         int
	entries       map[string]ListEntry
	changes       []change      // one entry each, by index
	updated       chan struct{} // closed at the next change
	isFrozen      bool
	deferred      []ListEntry   // changes that wait while the list is frozen or discovery is down
	outages       int           // current outages, which may overlap
	outageStarted chan struct{} // closed when an outage starts
}

// discoveryHost is the address of all discovery servers.
var discoveryHost = net.IPv4(127, 0, 3, 1)

// NewDiscovery starts a discovery server for each scheduler. Each knows all workers from the start.
func NewDiscovery(s *scenario.Scenario, recorder *Recorder, n *relay.Network, workers []*Worker, seed uint64) (*Discovery, error) {
	d := &Discovery{scenario: s, recorder: recorder, network: n, rng: rand.New(rand.NewPCG(seed, 0x64697363))}
	for i, site := range s.SchedulerSites() {
		srv := &discoveryServer{discovery: d, scheduler: i, site: site, entries: map[string]ListEntry{}, updated: make(chan struct{}), outageStarted: make(chan struct{}), index: 1}
		ln, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: discoveryHost})
		if err != nil {
			return nil, err
		}
		srv.address = ln.Addr().String()
		for _, w := range workers {
			srv.entries[w.Name] = d.entry(w, srv, "up")
		}
		srv.server = &http.Server{Handler: srv}
		go srv.server.Serve(relayedListener{ln, n, relay.Path{Kind: relay.List, From: site, To: site}})
		d.servers = append(d.servers, srv)
	}
	return d, nil
}

// relayedListener wraps the connections that it accepts, so that a path of the network delays and impairs them.
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

// entry returns the list entry of a worker as the discovery server srv sends it.
func (d *Discovery) entry(w *Worker, srv *discoveryServer, status string) ListEntry {
	return ListEntry{Name: w.Name, Address: w.Address(srv.site), Zone: d.scenario.Sites[w.Site].Name, Type: d.scenario.Workers.Kinds[w.Kind].Name,
		Group: w.Site, Status: status, Weight: 1, SinceMS: w.StartedMS(), worker: w.Number}
}

// Address returns the address of a scheduler's discovery server.
func (d *Discovery) Address(scheduler int) string { return d.servers[scheduler].address }

// CurrentList returns the worker list that a scheduler's discovery server has now, as JSON, for the configuration of a
// process that starts.
func (d *Discovery) CurrentList(scheduler int) json.RawMessage {
	srv := d.servers[scheduler]
	srv.mu.Lock()
	defer srv.mu.Unlock()
	text, _ := json.Marshal(srv.snapshot())
	return text
}

// snapshot returns the whole worker list. The caller holds mu.
func (srv *discoveryServer) snapshot() listUpdate {
	l := listUpdate{Index: srv.index, Snapshot: true, Endpoints: []ListEntry{}}
	for _, name := range slices.Sorted(maps.Keys(srv.entries)) {
		l.Endpoints = append(l.Endpoints, srv.entries[name])
	}
	return l
}

// Announce sends a worker's status to all schedulers, to each after a delay drawn from delay in seconds. A removal whose
// greatest delay is 0 or less is never sent.
func (d *Discovery) Announce(w *Worker, status string, delay scenario.Range) {
	if delay.Max <= 0 && status == "removed" {
		return
	}
	for _, srv := range d.servers {
		e := d.entry(w, srv, status)
		d.mu.Lock()
		wait := delay.Draw(d.rng)
		d.mu.Unlock()
		time.AfterFunc(time.Duration(wait*float64(time.Second)), func() { srv.apply(e) })
	}
}

// apply changes the worker list and records the update, or defers it while the list is frozen or discovery is down.
func (srv *discoveryServer) apply(entry ListEntry) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.isFrozen || srv.outages > 0 {
		srv.deferred = append(srv.deferred, entry)
		return
	}
	if known, ok := srv.entries[entry.Name]; ok && known.SinceMS > entry.SinceMS {
		return // an update of a later start of the worker has come first
	}
	srv.index++
	if entry.Status == "removed" {
		delete(srv.entries, entry.Name)
	} else {
		srv.entries[entry.Name] = entry
	}
	srv.changes = append(srv.changes, change{listUpdate{Index: srv.index, Endpoints: []ListEntry{entry}}, record.ListUpdate{
		AtUS: srv.discovery.recorder.ElapsedUS(), Scheduler: int32(srv.scheduler), Worker: int32(entry.worker), Status: entry.Status}})
	close(srv.updated)
	srv.updated = make(chan struct{})
}

// change is an update of the worker list and its record.
type change struct {
	listUpdate
	row record.ListUpdate
}

// RecordUpdates records all updates, in their order for each scheduler. It is called once, at the end of a run.
func (d *Discovery) RecordUpdates() {
	for _, srv := range d.servers {
		srv.mu.Lock()
		for i := range srv.changes {
			d.recorder.AddListUpdate(srv.changes[i].row)
		}
		srv.mu.Unlock()
	}
}

// markWritten records that a watch which began at watchUS has written the updates after an index up to another. Updates from
// before the watch keep the time at which discovery had them: their scheduler was not there, and the server was not late. Of
// the watches of a scheduler's processes the first one counts.
func (srv *discoveryServer) markWritten(after, last int, watchUS int64) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	nowUS := srv.discovery.recorder.ElapsedUS()
	for i := range srv.changes {
		if c := &srv.changes[i]; c.Index > after && c.Index <= last && c.row.AtUS >= watchUS && c.row.WrittenUS == 0 {
			c.row.WrittenUS = nowUS
		}
	}
}

// SetFrozen stops the updates to a scheduler, or sends it all that were deferred.
func (d *Discovery) SetFrozen(scheduler int, on bool) {
	d.servers[scheduler].updateState(func(srv *discoveryServer) { srv.isFrozen = on })
}

// SetOutage starts or ends an outage of discovery for all schedulers. Outages may overlap: discovery answers again when all
// have ended.
func (d *Discovery) SetOutage(on bool) {
	for _, srv := range d.servers {
		srv.updateState(func(srv *discoveryServer) {
			switch {
			case on:
				if srv.outages++; srv.outages == 1 {
					close(srv.outageStarted)
				}
			default:
				if srv.outages--; srv.outages == 0 {
					srv.outageStarted = make(chan struct{})
				}
			}
		})
	}
}

// updateState changes the state, and then applies the deferred updates if neither a freeze nor an outage is left.
func (srv *discoveryServer) updateState(update func(*discoveryServer)) {
	srv.mu.Lock()
	update(srv)
	var deferred []ListEntry
	if !srv.isFrozen && srv.outages == 0 {
		deferred, srv.deferred = srv.deferred, nil
	}
	srv.mu.Unlock()
	for _, e := range deferred {
		srv.apply(e)
	}
}

// ServeHTTP answers a scheduler's requests for the worker list.
func (srv *discoveryServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	srv.mu.Lock()
	isDown, outageStarted := srv.outages > 0, srv.outageStarted
	srv.mu.Unlock()
	if r.URL.Path != "/api/targets" {
		rw.WriteHeader(404)
		return
	}
	if isDown {
		if srv.discovery.scenario.Discovery.Mode == "ask" {
			rw.WriteHeader(503)
			return
		}
		<-r.Context().Done() // in push mode a server that is cut off from the service does not answer
		return
	}
	if r.URL.Query().Get("watch") == "" {
		srv.mu.Lock()
		text, _ := json.Marshal(srv.snapshot())
		srv.mu.Unlock()
		rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
		rw.Write(text)
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	srv.watch(rw, r, after, outageStarted)
}

// watch streams the changes after an index, with an empty line as heartbeat every 2 s, until the scheduler disconnects. When
// an outage starts it aborts the connection in ask mode, and only stays silent in push mode.
func (srv *discoveryServer) watch(rw http.ResponseWriter, r *http.Request, after int, outageStarted <-chan struct{}) {
	rw.WriteHeader(200)
	flusher := rw.(http.Flusher)
	flusher.Flush()
	watchUS := srv.discovery.recorder.ElapsedUS()
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	for {
		srv.mu.Lock()
		var updates []listUpdate
		for _, c := range srv.changes {
			if c.Index > after {
				updates = append(updates, c.listUpdate)
			}
		}
		updated, previous := srv.updated, after
		srv.mu.Unlock()
		for _, update := range updates {
			text, _ := json.Marshal(update)
			fmt.Fprintf(rw, "%s\n", text)
			after = update.Index
		}
		if len(updates) > 0 {
			flusher.Flush()
			srv.markWritten(previous, after, watchUS)
		}
		select {
		case <-updated:
		case <-heartbeat.C:
			srv.mu.Lock()
			isDown := srv.outages > 0
			srv.mu.Unlock()
			if !isDown {
				fmt.Fprint(rw, "\n")
				flusher.Flush()
			}
		case <-outageStarted:
			if srv.discovery.scenario.Discovery.Mode == "ask" {
				panic(http.ErrAbortHandler)
			}
			outageStarted = nil
		case <-r.Context().Done():
			return
		}
	}
}

// Close stops all discovery servers.
func (d *Discovery) Close() {
	for _, srv := range d.servers {
		srv.server.Close()
	}
}

// Ports that FreePorts draws from. They lie below the range from which the kernel chooses ports, so that neither outgoing
// connections nor listeners of other test processes take one between its draw and its use.
const (
	firstFreePort = 10_000
	freePortCount = 22_000
)

// freePortsDrawn counts the ports drawn so far, from a random start: test processes that run at the same time rarely meet.
var freePortsDrawn = func() *atomic.Uint32 {
	drawn := new(atomic.Uint32)
	drawn.Store(rand.Uint32N(freePortCount))
	return drawn
}()

// FreePorts returns n addresses of a host at which nothing listens. All ports stay bound until the last is chosen: the
// program listens with SO_REUSEPORT, so two processes with the same port would share it without an error.
func FreePorts(host [4]byte, n int, udp bool) (list []netip.AddrPort, err error) {
	for tries := 0; len(list) < n; tries++ {
		address := netip.AddrPortFrom(netip.AddrFrom4(host), uint16(firstFreePort+freePortsDrawn.Add(1)%freePortCount))
		held, err := bindPort(address, udp)
		if errors.Is(err, syscall.EADDRINUSE) && tries < freePortCount {
			continue
		}
		if err != nil {
			return nil, err
		}
		defer held.Close()
		list = append(list, address)
	}
	return list, nil
}

// bindPort binds an address until the result is closed.
func bindPort(address netip.AddrPort, udp bool) (io.Closer, error) {
	if udp {
		return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	}
	return net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
}
