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

// setup configures the workers, discovery and schedulers of a case.
type setup struct {
	workers     int
	zones       int
	slots       int // of each worker
	schedulers  int
	groupSize   int // group size in the schedulers' configuration; 0: their number
	mode        process.Mode
	listUnknown bool // the schedulers start without a known list
	tenants     int
	http2       bool // the clients use HTTP/2
	memoryMB    int  // memory limit of a scheduler
	maxSockets  int  // socket limit of a scheduler
}

// The operators' fleet.
const (
	fleetWorkers    = 33_000
	fleetZones      = 19
	fleetSchedulers = 32
)

// baseSetup is one scheduler of the operators' fleet with the operators' budget.
func baseSetup() setup {
	return setup{workers: fleetWorkers, zones: fleetZones, slots: 8, schedulers: 1, groupSize: fleetSchedulers, mode: process.Pull,
		memoryMB: 256, maxSockets: 20_000}
}

// parameters returns the parameters of the setup that are recorded beside the one that the case varies.
func (s *setup) parameters() map[string]float64 {
	boolToFloat := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	parameters := map[string]float64{"workers": float64(s.workers), "schedulers": float64(s.schedulers), "memory_limit_mb": float64(s.memoryMB),
		"sockets_limit": float64(s.maxSockets), "list_known": boolToFloat(!s.listUnknown), "list_pushed": boolToFloat(s.mode == process.Push), "http2": boolToFloat(s.http2)}
	if s.groupSize != s.schedulers { // otherwise both have the same values, and lines would be fitted along each
		parameters["group_size"] = float64(s.groupSize)
	}
	return parameters
}

// measurement is one run of a case with its workers, discovery, schedulers and clients.
type measurement struct {
	ctx     context.Context
	program Program
	dir     string
	seed    uint64
	pace    pace
	figures map[string]float64

	memoryBytes int64 // memory of the machine

	setup        setup
	counter      traffic.Counter
	workers      *worker.Fleet
	discovery    *discovery.Server
	network      *relay.Network
	peers        *relay.PeerRelay
	configs      []process.Config
	mu           sync.Mutex // guards schedulers and maxReadyTime while the schedulers start concurrently
	schedulers   []*process.Scheduler
	clients      *client.Clients
	maxReadyTime time.Duration // longest time that a scheduler needed to become ready
}

// tenantQuotaPerS is each tenant's quota in jobs per second, far above the rates of the cases.
const tenantQuotaPerS = 1000

// maxConcurrentStarts limits how many processes start at the same time.
const maxConcurrentStarts = 8

// readyTimeout is the time limit for a scheduler to become ready.
const readyTimeout = 20 * time.Second

// prepare starts the workers, discovery, clients and all schedulers.
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

// startEnvironment starts the workers, discovery, the clients and the peer relay, and configures the schedulers.
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

// startPeerRelay starts a relay that counts the messages between the schedulers. A single scheduler, and schedulers whose
// configured group size is not their number, exchange no messages and get none.
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

// startScheduler starts one scheduler and replaces an earlier process of it.
func (m *measurement) startScheduler(number int) error {
	dir := filepath.Join(m.dir, fmt.Sprintf("s%02d", number))
	p, readyTime, err := process.Start(m.ctx, m.program.Path, dir, m.configs[number], readyTimeout)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.schedulers[number] = p
	m.maxReadyTime = max(m.maxReadyTime, readyTime)
	m.mu.Unlock()
	return nil
}

// close stops all schedulers, workers, discovery, the relay and the clients.
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

// mark is a reading of all counters at the start or the end of a measured window.
type mark struct {
	at     time.Time
	usage  []process.Usage
	totals traffic.Totals
	counts worker.Counts
}

// takeMark reads all counters and checks the memory limit.
func (m *measurement) takeMark() (mark, error) {
	reading := mark{at: time.Now(), totals: m.totals(), counts: m.workers.ReadCounts()}
	for _, s := range m.schedulers {
		usage, err := s.Usage()
		if err != nil {
			return reading, err
		}
		reading.usage = append(reading.usage, usage)
	}
	return reading, m.checkMemory(reading.usage)
}

// checkMemory returns an error if all processes together use more than the machine's memory divided by memoryDivisor.
func (m *measurement) checkMemory(usage []process.Usage) error {
	sum, err := procfs.Memory(os.Getpid(), procfs.ResidentMemory)
	if err != nil {
		return err
	}
	for _, u := range usage {
		sum += u.ResidentBytes
	}
	if limit := m.memoryBytes / memoryDivisor; sum > limit {
		return fmt.Errorf("%w: %d bytes, %d are allowed", errMemoryLimit, sum, limit)
	}
	return nil
}

var errMemoryLimit = errors.New("the processes use too much memory")

// totals returns the traffic on all sockets so far, including the messages between schedulers.
func (m *measurement) totals() traffic.Totals {
	t := m.counter.Totals()
	if m.peers != nil {
		relayed := m.network.Traffic(relay.Peer)
		t[traffic.Peer].BytesIn, t[traffic.Peer].Messages = relayed.Bytes, relayed.Messages
		// The relay counts a message once for each receiver, but the scheduler sends it only once.
		t[traffic.Peer].BytesOut = relayed.Bytes / uint64(len(m.schedulers)-1)
	}
	return t
}

// window holds what happened between two marks.
type window struct {
	seconds       float64
	cpuTime       time.Duration // of all schedulers
	residentBytes int64         // of the scheduler with the most
	descriptors   int           // of the scheduler with the most
	totals        traffic.Totals
	counts        worker.Counts
	schedulers    float64
}

// measureSince returns what happened from a mark until now.
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

// cores returns the CPU time per second and scheduler.
func (w *window) cores() float64 { return w.cpuTime.Seconds() / w.seconds / w.schedulers }

// controlBytes returns the control traffic per scheduler, in and out.
func (w *window) controlBytes() float64 {
	sum := uint64(0)
	for _, k := range traffic.ControlKinds() {
		sum += w.totals[k].BytesIn + w.totals[k].BytesOut
	}
	return float64(sum) / w.schedulers
}

// workerConnections returns the number of connections to workers that were opened.
func (w *window) workerConnections() float64 {
	return float64(w.totals[traffic.Probe].Connections + w.totals[traffic.Job].Connections)
}

// pause waits for a duration. It returns an error if the run ends first.
func (m *measurement) pause(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-m.ctx.Done():
		return m.ctx.Err()
	}
}

// pace selects how long the phases of a run take.
type pace uint8

const (
	quickPace pace = iota // of the quick set
	fullPace
	testPace // checks only that a case runs
)

// testPaceDivisor shortens the phases of the quick set for testPace.
const testPaceDivisor = 10

// duration returns the length of a phase for the run's pace.
func (m *measurement) duration(quick, full time.Duration) time.Duration {
	switch m.pace {
	case fullPace:
		return full
	case testPace:
		return quick / testPaceDivisor
	}
	return quick
}

// merge adds figures to those of the run.
func (m *measurement) merge(figures map[string]float64) { maps.Copy(m.figures, figures) }

// quantileMS returns a quantile of durations in milliseconds. part is from 0 to 1; 1 selects the longest duration. It
// returns 0 for an empty list.
func quantileMS(list []time.Duration, part float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	index := min(len(sorted)-1, int(part*float64(len(sorted))))
	return sorted[index].Seconds() * 1000
}
