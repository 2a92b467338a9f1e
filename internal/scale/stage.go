package scale

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cobaltflow/internal/fleet/endpoints"
	"cobaltflow/internal/fleet/relay"
	"cobaltflow/internal/procfs"
	"cobaltflow/internal/scale/client"
	"cobaltflow/internal/scale/discovery"
	"cobaltflow/internal/scale/process"
	"cobaltflow/internal/scale/traffic"
	"cobaltflow/internal/scale/worker"
)

// setup is what a case stands on.
type setup struct {
	workers     int
	zones       int
	slots       int // of each worker
	schedulers  int
	groupSize   int // that the schedulers are told; 0: their number
	mode        process.Mode
	listUnknown bool // no list is known at the start
	tenants     int
	http2       bool // clients use it
	memoryMB    int  // the limit of a scheduler
	maxSockets  int  // the same
}

// The operators' fleet.
const (
	fleetWorkers    = 33_000
	fleetZones      = 19
	fleetSchedulers = 32
)

// baseSetup is one scheduler of the operators' fleet, as the operators' budget has it.
func baseSetup() setup {
	return setup{workers: fleetWorkers, zones: fleetZones, slots: 8, schedulers: 1, groupSize: fleetSchedulers, mode: process.Pull,
		memoryMB: 256, maxSockets: 20_000}
}

// parameters are those that stand beside the one that the case varies.
func (s *setup) parameters() map[string]float64 {
	one := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	list := map[string]float64{"workers": float64(s.workers), "schedulers": float64(s.schedulers), "memory_limit_mb": float64(s.memoryMB),
		"sockets_limit": float64(s.maxSockets), "list_known": one(!s.listUnknown), "list_pushed": one(s.mode == process.Push), "http2": one(s.http2)}
	if s.groupSize != s.schedulers { // else it says the same, and lines would be fitted along both
		list["group_size"] = float64(s.groupSize)
	}
	return list
}

// measurement is one run of a case, with all that it stands on.
type measurement struct {
	ctx     context.Context
	program Program
	dir     string
	seed    uint64
	pace    pace
	figures map[string]float64

	memoryBytes int64 // of the machine

	setup        setup
	counter      traffic.Counter
	workers      *worker.Fleet
	discovery    *discovery.Server
	network      *relay.Network
	peers        *relay.PeerRelay
	configs      []process.Config
	mu           sync.Mutex // guards schedulers while they start together
	schedulers   []*process.Scheduler
	clients      *client.Clients
	maxReadyTime time.Duration
}

// tenantQuotaPerS is each tenant's quota of jobs a second, far above what the cases send.
const tenantQuotaPerS = 1000

// startsAtOnce bounds how many processes start at the same time.
const maxConcurrentStarts = 8

// readyLimit is how long a scheduler may take to be ready.
const readyTimeout = 20 * time.Second

// prepare brings up the surroundings and all schedulers.
func (m *measurement) prepare(s setup) error {
	if s.groupSize == 0 {
		s.groupSize = s.schedulers
	}
	m.setup = s
	if err := m.startEnvironment(); err != nil {
		return err
	}
	m.schedulers = make([]*process.Scheduler, s.schedulers)
	group, _ := errgroup.WithContext(m.ctx)
	group.SetLimit(maxConcurrentStarts)
	for number := range m.schedulers {
		group.Go(func() error { return m.startScheduler(number) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	m.figures["ready_s"] = m.maxReadyTime.Seconds()
	return nil
}

func (m *measurement) startEnvironment() error {
	s := m.setup
	ports, err := endpoints.FreePorts([4]byte{127, 0, 2, 1}, 3*s.schedulers, false)
	if err != nil {
		return err
	}
	listen, admin, http2 := ports[:s.schedulers], ports[s.schedulers:2*s.schedulers], ports[2*s.schedulers:]
	m.workers, err = worker.Start(worker.Settings{Workers: s.workers, Zones: s.zones, Slots: s.slots, Queue: 2 * s.slots}, &m.counter, listen)
	if err != nil {
		return err
	}
	if m.discovery, err = discovery.Start(m.workers.Entries(), &m.counter); err != nil {
		return err
	}
	var known []byte
	if !s.listUnknown {
		if known, err = m.discovery.FullList(); err != nil {
			return err
		}
	}
	for number := range s.schedulers {
		c := process.Config{Name: fmt.Sprintf("s%02d", number), Listen: listen[number], Admin: admin[number], Discovery: m.discovery.Address(),
			Mode: s.mode, KnownList: known, MemoryMB: s.memoryMB, Sockets: s.maxSockets, Seed: m.seed*1000 + uint64(number) + 1, Rank: number,
			GroupSize: s.groupSize, Zone: number % s.zones, Zones: s.zones, Tenants: s.tenants, QuotaPerS: tenantQuotaPerS, Subsystems: m.program.Sections}
		if s.http2 {
			c.HTTP2 = http2[number]
		}
		m.configs = append(m.configs, c)
	}
	if m.clients = client.New(&m.counter, listen); s.http2 {
		m.clients = client.NewHTTP2(&m.counter, http2, process.HTTP2Connections)
	}
	return m.startPeerRelay()
}

// preparePeers puts a relay between the schedulers, which counts their messages; one alone has nobody to tell.
func (m *measurement) startPeerRelay() error {
	s := m.setup
	if s.schedulers < 2 || s.schedulers != s.groupSize {
		return nil
	}
	own, err := endpoints.FreePorts([4]byte{127, 0, 4, 1}, s.schedulers, true)
	if err != nil {
		return err
	}
	m.network = relay.New(1, [2]time.Duration{}, [2]time.Duration{}, m.seed)
	if m.peers, err = m.network.NewPeerRelay(make([]int, s.schedulers), own, 0, 0, func() time.Duration { return 0 }); err != nil {
		return err
	}
	each, all := m.peers.Addresses()
	for number := range m.configs {
		m.configs[number].Peers = &process.Peers{Listen: own[number], Each: each, All: all}
	}
	return nil
}

// startScheduler runs one scheduler, in the place of an earlier process of it if there was one.
func (m *measurement) startScheduler(number int) error {
	dir := filepath.Join(m.dir, fmt.Sprintf("s%02d", number))
	p, took, err := process.Start(m.ctx, m.program.Path, dir, m.configs[number], readyTimeout)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.schedulers[number] = p
	m.maxReadyTime = max(m.maxReadyTime, took)
	m.mu.Unlock()
	return nil
}

// close ends all of it.
func (m *measurement) close() {
	for _, s := range m.schedulers {
		if s != nil {
			s.Kill()
		}
	}
	if m.workers != nil {
		m.workers.Close()
	}
	if m.discovery != nil {
		m.discovery.Close()
	}
	if m.peers != nil {
		m.peers.Close()
	}
	if m.clients != nil {
		m.clients.Close()
	}
}

// mark is a moment from which something is measured.
type mark struct {
	at     time.Time
	usage  []process.Usage
	totals traffic.Totals
	counts worker.Counts
}

// mark reads all counters.
func (m *measurement) takeMark() (mark, error) {
	at := mark{at: time.Now(), totals: m.totals(), counts: m.workers.ReadCounts()}
	for _, s := range m.schedulers {
		u, err := s.Usage()
		if err != nil {
			return at, err
		}
		at.usage = append(at.usage, u)
	}
	return at, m.checkMemory(at.usage)
}

// checkMemory ends the run where all processes together take more of the machine's memory than they may.
func (m *measurement) checkMemory(usage []process.Usage) error {
	sum, err := procfs.Memory(os.Getpid(), procfs.ResidentMemory)
	if err != nil {
		return err
	}
	for _, u := range usage {
		sum += u.ResidentBytes
	}
	if most := m.memoryBytes / memoryDivisor; sum > most {
		return fmt.Errorf("%w: %d bytes, %d are allowed", errMemoryLimit, sum, most)
	}
	return nil
}

var errMemoryLimit = errors.New("the processes take too much memory")

// totals is what has passed on all sockets, the messages between schedulers among them.
func (m *measurement) totals() traffic.Totals {
	t := m.counter.Totals()
	if m.peers != nil {
		passed := m.network.Traffic(relay.Peer)
		t[traffic.Peer].BytesIn, t[traffic.Peer].Messages = passed.Bytes, passed.Messages
		// Each message leaves its scheduler once and is passed on to all others.
		t[traffic.Peer].BytesOut = passed.Bytes / uint64(len(m.schedulers)-1)
	}
	return t
}

// window is what happened between two marks.
type window struct {
	seconds       float64
	cpuTime       time.Duration // of all schedulers
	residentBytes int64         // of the largest
	descriptors   int           // of the one that has most
	totals        traffic.Totals
	counts        worker.Counts
	schedulers    float64
}

func (m *measurement) measureSince(from mark) (window, error) {
	to, err := m.takeMark()
	if err != nil {
		return window{}, err
	}
	w := window{seconds: to.at.Sub(from.at).Seconds(), totals: to.totals.Sub(from.totals), schedulers: float64(len(m.schedulers))}
	w.counts.Probes, w.counts.Accepted = to.counts.Probes-from.counts.Probes, to.counts.Accepted-from.counts.Accepted
	for i, u := range to.usage {
		w.cpuTime += u.CPUTime - from.usage[i].CPUTime
		w.residentBytes = max(w.residentBytes, u.ResidentBytes)
		w.descriptors = max(w.descriptors, u.Descriptors)
	}
	return w, nil
}

// cores is the processor time a second of one scheduler.
func (w *window) cores() float64 { return w.cpuTime.Seconds() / w.seconds / w.schedulers }

// controlBytes is the control traffic of one scheduler, in and out.
func (w *window) controlBytes() float64 {
	sum := uint64(0)
	for _, k := range traffic.ControlKinds() {
		sum += w.totals[k].BytesIn + w.totals[k].BytesOut
	}
	return float64(sum) / w.schedulers
}

// workerConnections is the number of connections to workers that were opened.
func (w *window) workerConnections() float64 {
	return float64(w.totals[traffic.Probe].Connections + w.totals[traffic.Job].Connections)
}

// pause waits, unless the run ends first.
func (m *measurement) pause(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-m.ctx.Done():
		return m.ctx.Err()
	}
}

// pace is how long the parts of a run take.
type pace uint8

const (
	quickPace pace = iota // of the small set
	fullPace
	testPace // shows only that a case runs
)

// shortPart divides the lengths of the small set where a case is only shown to run.
const testPaceDivisor = 10

// pick gives one of two lengths of time, by whether all is measured or the small set.
func (m *measurement) duration(small, full time.Duration) time.Duration {
	switch m.pace {
	case fullPace:
		return full
	case testPace:
		return small / testPaceDivisor
	}
	return small
}

// merge takes figures over.
func (m *measurement) merge(figures map[string]float64) { maps.Copy(m.figures, figures) }

// quantile gives a quantile of lengths of time in milliseconds; 1 is the longest.
func quantileMS(list []time.Duration, part float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	at := min(len(sorted)-1, int(part*float64(len(sorted))))
	return sorted[at].Seconds() * 1000
}
