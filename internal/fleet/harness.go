// Package fleet runs a scenario with real scheduler processes, simulated table workers, discovery servers and clients,
// injects the scenario's faults and records what happens. Packages experiment and soak call it; package judge evaluates
// the records.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sort"
	"sync"
	"time"

	"cobaltflow/internal/draw"
	"cobaltflow/internal/fleet/endpoints"
	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/relay"
	"cobaltflow/internal/fleet/scenario"
)

// Build is a binary of the program, with its configuration, that a scenario is run with.
type Build struct {
	Name            string
	Binary          string
	Arm             string         // name of the variant that ConfigOverrides makes; empty: no variant
	ConfigOverrides map[string]any // merged over the scenario's configuration, key by key
	SkipsOverrides  bool           // omits all overrides: an earlier build may not know the scenario's keys
}

// Options holds the settings of one run.
type Options struct {
	Seed     uint64
	Progress io.Writer // receives a progress line each second; nil: none
	LogDir   string    // directory that keeps the processes' logs; empty: they are discarded
}

// harness holds everything that one run has started.
type harness struct {
	scenario      *scenario.Scenario
	build         Build
	seed          uint64
	configPath    string // file with the program's own configuration, shared by all processes
	keepsLogs     bool
	network       *relay.Network
	recorder      *endpoints.Recorder
	workers       []*endpoints.Worker
	discovery     *endpoints.Discovery
	peers         *relay.PeerRelay
	schedulers    []*scheduler
	balancer      *balancer
	spawnRequests chan spawnRequest
	spawnerEnded  chan struct{} // closed when the spawner thread has ended

	mu  sync.Mutex
	rng *rand.Rand
}

// spawnRequest is a request to the spawner thread to start a command.
type spawnRequest struct {
	cmd    *exec.Cmd
	result chan error
}

// Play runs a scenario once with a build and returns its records. Everything that it started has ended when it returns,
// also when ctx is cancelled; the error is ctx.Err() then.
func Play(ctx context.Context, s *scenario.Scenario, b Build, o Options) (*record.Records, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	durations := func(r scenario.Range) [2]time.Duration {
		return [2]time.Duration{time.Duration(r.Min * float64(time.Millisecond)), time.Duration(r.Max * float64(time.Millisecond))}
	}
	h := &harness{scenario: s, build: b, seed: o.Seed, keepsLogs: o.LogDir != "", recorder: endpoints.NewRecorder(), network: relay.New(len(s.Sites), durations(s.Network.SameMS), durations(s.Network.CrossMS), o.Seed),
		rng: rand.New(rand.NewPCG(o.Seed, 0x726967)), spawnRequests: make(chan spawnRequest), spawnerEnded: make(chan struct{})}
	// Pdeathsig fires when the thread that started a process ends, not when the whole program does. One thread that lives
	// as long as the run therefore starts all processes.
	go h.runSpawner(ctx)
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if o.LogDir != "" {
		defer h.keepLogs(o.LogDir)
	}
	defer h.close()
	if err := h.setUp(dir); err != nil {
		return nil, err
	}
	if err := h.startAll(ctx); err != nil {
		return nil, err
	}
	h.run(ctx, o.Progress)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	for _, w := range h.workers {
		w.RecordOpenJobs()
	}
	h.discovery.RecordUpdates()
	records := h.recorder.Records()
	h.fillAbout(&records.About)
	return records, nil
}

// runSpawner starts the requested processes from one locked thread until ctx is done.
func (h *harness) runSpawner(ctx context.Context) {
	runtime.LockOSThread()
	defer close(h.spawnerEnded)
	for {
		select {
		case s := <-h.spawnRequests:
			s.result <- s.cmd.Start()
		case <-ctx.Done():
			return // the locked thread ends with its goroutine, which kills the remaining processes
		}
	}
}

// spawn starts cmd on the spawner thread, as soon as that is free. It fails if that thread has ended.
func (h *harness) spawn(cmd *exec.Cmd) error {
	s := spawnRequest{cmd, make(chan error, 1)}
	select {
	case h.spawnRequests <- s:
		return <-s.result
	case <-h.spawnerEnded:
		return errors.New("cannot start a process: the run has ended")
	}
}

// setUp creates the balancer, schedulers, workers, discovery servers and peer relay. It starts no process.
func (h *harness) setUp(dir string) (err error) {
	sites := h.scenario.SchedulerSites()
	h.balancer = newBalancer(sites, h.scenario.Clients.Unlike)
	var clientAddresses []string
	listenAddresses, err := endpoints.FreePorts(schedulerHost, len(sites), false)
	if err != nil {
		return err
	}
	peerAddresses, err := endpoints.FreePorts(peerHost, len(sites), true)
	if err != nil {
		return err
	}
	for i, site := range sites {
		s := &scheduler{harness: h, index: i, site: site, listen: listenAddresses[i], peerAddress: peerAddresses[i], dir: filepath.Join(dir, fmt.Sprint("n", i))}
		if err := os.Mkdir(s.dir, 0o700); err != nil {
			return err
		}
		clientAddresses = append(clientAddresses, s.listen.String())
		h.schedulers = append(h.schedulers, s)
	}
	level := "warn"
	if h.keepsLogs {
		level = "debug"
	}
	config := map[string]any{"log": map[string]any{"level": level}}
	if !h.build.SkipsOverrides {
		config = mergeObjects(config, mergeObjects(h.scenario.Own, h.build.ConfigOverrides))
	}
	h.configPath = filepath.Join(dir, "cobaltflow.json")
	text, err := json.Marshal(config)
	if err == nil {
		err = os.WriteFile(h.configPath, text, 0o600)
	}
	if err != nil {
		return err
	}
	callbacks := endpoints.NewCallbacks(h.network, len(h.scenario.Sites), clientAddresses, sites)
	index := 0
	kindWeights := draw.CumulativeWeights(len(h.scenario.Workers.Kinds), func(i int) float64 { return h.scenario.Workers.Kinds[i].Share })
	for site, cfg := range h.scenario.Sites {
		for i := range cfg.Workers {
			w := endpoints.NewWorker(index, site, draw.Pick(kindWeights, (float64(i)+0.5)/float64(cfg.Workers)), h.scenario, h.recorder, h.network, callbacks, h.seed)
			if err := w.Start(false); err != nil {
				return err
			}
			h.workers = append(h.workers, w)
			index++
		}
	}
	if h.discovery, err = endpoints.NewDiscovery(h.scenario, h.recorder, h.network, h.workers, h.seed); err != nil {
		return err
	}
	if h.scenario.Peers.On {
		delay := func() time.Duration {
			h.mu.Lock()
			defer h.mu.Unlock()
			return time.Duration(h.scenario.Peers.MS.Draw(h.rng) * float64(time.Millisecond))
		}
		h.peers, err = h.network.NewPeerRelay(sites, peerAddresses, h.scenario.Peers.Lost, h.scenario.Peers.Twice, delay)
	}
	return err
}

// maxParallelStarts bounds how many processes start at the same time, over all runs of this program.
const maxParallelStarts = 8

var startSlots = make(chan struct{}, maxParallelStarts)

// startScheduler starts a scheduler when a start slot is free.
func (h *harness) startScheduler(ctx context.Context, s *scheduler) error {
	startSlots <- struct{}{}
	defer func() { <-startSlots }()
	return s.start(ctx)
}

// startAll starts all schedulers and waits until each is ready or has failed.
func (h *harness) startAll(ctx context.Context) error {
	errs := make(chan error, len(h.schedulers))
	for _, s := range h.schedulers {
		go func() { errs <- h.startScheduler(ctx, s) }()
	}
	var all error
	for range h.schedulers {
		all = errors.Join(all, <-errs)
	}
	return all
}

// addEvent records an event at the current time.
func (h *harness) addEvent(e record.Event) {
	e.AtUS = h.recorder.ElapsedUS()
	h.recorder.AddEvent(e)
}

// settleTime is how long the run continues after the last request has ended, so that late attempts are recorded.
const settleTime = 500 * time.Millisecond

// run sends all requests and injects all faults, each at its time, and samples the workers meanwhile.
func (h *harness) run(ctx context.Context, progress io.Writer) {
	requests := DrawRequests(h.scenario, h.seed)
	events := h.faultEvents(ctx)
	sort.SliceStable(events, func(i, j int) bool { return events[i].atS < events[j].atS })
	h.recorder.SetStart(time.Now().Add(100 * time.Millisecond))
	senders := newClients(h)
	done := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { h.sampleWorkers(done, progress) })
	background.Go(func() { h.measureLag(done) })
	background.Add(1)
	go func() {
		defer background.Done()
		for _, e := range events {
			select {
			case <-time.After(time.Until(h.recorder.TimeAt(int64(e.atS * 1e6)))):
			case <-done:
				return
			}
			h.runFaultEvent(e)
		}
	}()
	senders.play(ctx, requests)
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
	}
	close(done)
	background.Wait()
	senders.close()
}

// runFaultEvent runs the start or the end of a fault and records it: a start before it takes effect and an end when it has, with
// the time from which it did.
func (h *harness) runFaultEvent(e faultEvent) {
	event := record.Event{Kind: e.kind, IsEnd: e.isEnd, Scheduler: -1, Worker: -1}
	if e.isEnd {
		event.BegunUS = h.recorder.ElapsedUS()
	} else {
		h.addEvent(event)
	}
	if e.kind == "release-schedulers" {
		go e.run()
	} else {
		e.run()
	}
	if e.isEnd {
		h.addEvent(event)
	}
}

const sampleInterval = 50 * time.Millisecond

// sampleWorkers samples all workers each sampleInterval, and writes a progress line each second, until done is closed.
func (h *harness) sampleWorkers(done chan struct{}, progress io.Writer) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-tick.C:
		case <-done:
			return
		}
		now := h.recorder.ElapsedUS()
		rows := make([]record.Sample, 0, len(h.workers))
		running, waiting := 0, 0
		for _, w := range h.workers {
			s := w.Sample(now)
			running, waiting = running+int(s.Running), waiting+int(s.Waiting)
			rows = append(rows, s)
		}
		h.recorder.AddSamples(rows)
		if progress != nil && n%20 == 0 {
			served, refused, other := h.recorder.AnswerCounts()
			liveCount := 0
			for _, s := range h.schedulers {
				if s.isLive() {
					liveCount++
				}
			}
			fmt.Fprintf(progress, "%s %s %5.1f s  schedulers %d  running %d  waiting %d  served %d  refused %d  other %d\n",
				h.scenario.Name, h.build.Name, float64(now)/1e6, liveCount, running, waiting, served, refused, other)
		}
	}
}

const (
	lagProbeInterval = 5 * time.Millisecond
	lagWindow        = 50 * time.Millisecond
)

// measureLag records how late this process runs, until done is closed: for each lagWindow by how much the latest of a row of
// sleeps of lagProbeInterval was too long.
func (h *harness) measureLag(done chan struct{}) {
	fromUS, greatest := h.recorder.ElapsedUS(), time.Duration(0)
	for {
		slept := time.Now()
		select {
		case <-time.After(lagProbeInterval):
		case <-done:
			return
		}
		greatest = max(greatest, time.Since(slept)-lagProbeInterval)
		if toUS := h.recorder.ElapsedUS(); toUS-fromUS >= lagWindow.Microseconds() {
			h.recorder.AddLag(record.Lag{FromUS: fromUS, ToUS: toUS, LagUS: greatest.Microseconds()})
			fromUS, greatest = toUS, 0
		}
	}
}

// fillAbout sets the records' description of the run and its totals.
func (h *harness) fillAbout(a *record.About) {
	a.Scenario, _ = json.Marshal(h.scenario)
	a.StartUnixUS = h.recorder.TimeAt(0).UnixMicro()
	a.Seed, a.Build, a.Arm, a.Paths = h.seed, h.build.Name, h.build.Arm, map[string]record.PathTraffic{}
	for k := range relay.KindCount {
		t := h.network.Traffic(k)
		a.Paths[k.String()] = record.PathTraffic{Opened: t.Opened, Messages: t.Messages, Bytes: t.Bytes}
	}
	for _, w := range h.workers {
		a.Probes += w.ProbeCount.Load()
		if w.HasCollapsed() {
			a.CollapsedWorkers = append(a.CollapsedWorkers, int32(w.Number))
		}
	}
	if h.peers != nil {
		a.Messages, a.OversizeMessages = h.peers.Counts()
	}
}

// close ends all processes, workers, discovery servers and relays of the run.
func (h *harness) close() {
	var all sync.WaitGroup
	for _, s := range h.schedulers {
		all.Add(1)
		go func() {
			defer all.Done()
			s.killAll()
		}()
	}
	all.Wait()
	for _, w := range h.workers {
		w.Stop(false)
		w.ReleasePorts()
	}
	if h.discovery != nil {
		h.discovery.Close()
	}
	if h.peers != nil {
		h.peers.Close()
	}
}

// keepLogs copies each scheduler's log, unless it is empty, to dir.
func (h *harness) keepLogs(dir string) {
	os.MkdirAll(dir, 0o755)
	for _, s := range h.schedulers {
		if text, err := os.ReadFile(filepath.Join(s.dir, "log")); err == nil && len(text) > 0 {
			os.WriteFile(filepath.Join(dir, s.name()+".log"), text, 0o644)
		}
	}
}
