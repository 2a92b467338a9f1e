// Package fleet plays a scenario with real processes of the program: it starts them, puts table workers, discovery,
// clients and a front around them, faults between them, and writes down what happens. It judges nothing: package judge
// does, from the records alone.
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

// Build is a program to play a scenario with.
type Build struct {
	Name            string
	Binary          string
	Arm             string         // the name of what is changed in its own configuration; empty: nothing
	ConfigOverrides map[string]any // put over the scenario's
	SkipsOverrides  bool           // an earlier build, which may not know what the scenario puts over its configuration
}

// Options of a run.
type Options struct {
	Seed     uint64
	Progress io.Writer // takes a line a second; nil: none
	LogDir   string    // keeps the processes' logs; empty: they are dropped
}

type harness struct {
	scenario      *scenario.Scenario
	build         Build
	seed          uint64
	configPath    string // path of the processes' own configuration
	keepsLogs     bool
	network       *relay.Network
	recorder      *endpoints.Recorder
	workers       []*endpoints.Worker
	discovery     *endpoints.Discovery
	peers         *relay.PeerRelay
	schedulers    []*scheduler
	balancer      *balancer
	spawnRequests chan spawnRequest

	mu  sync.Mutex
	rng *rand.Rand
}

type spawnRequest struct {
	cmd    *exec.Cmd
	result chan error
}

// Play runs a scenario once with a build. All it has started has ended when it returns, also when ctx is cancelled.
func Play(ctx context.Context, s *scenario.Scenario, b Build, o Options) (*record.Records, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ms := func(r scenario.Range) [2]time.Duration {
		return [2]time.Duration{time.Duration(r.Min * float64(time.Millisecond)), time.Duration(r.Max * float64(time.Millisecond))}
	}
	r := &harness{scenario: s, build: b, seed: o.Seed, keepsLogs: o.LogDir != "", recorder: endpoints.NewRecorder(), network: relay.New(len(s.Sites), ms(s.Network.SameMS), ms(s.Network.CrossMS), o.Seed),
		rng: rand.New(rand.NewPCG(o.Seed, 0x726967)), spawnRequests: make(chan spawnRequest)}
	// The kernel ends a process when the thread that started it ends, not when its program does: one thread that lives as
	// long as the run starts them all.
	go r.runSpawner(ctx)
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if o.LogDir != "" {
		defer r.keepLogs(o.LogDir)
	}
	defer r.close()
	if err := r.setUp(dir); err != nil {
		return nil, err
	}
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	r.run(ctx, o.Progress)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	for _, w := range r.workers {
		w.RecordOpenJobs()
	}
	rec := r.recorder.Records()
	r.fillAbout(&rec.About)
	return rec, nil
}

func (r *harness) runSpawner(ctx context.Context) {
	runtime.LockOSThread()
	for {
		select {
		case s := <-r.spawnRequests:
			s.result <- s.cmd.Start()
		case <-ctx.Done():
			return // the thread ends with its goroutine, and what is left of its processes with it
		}
	}
}

func (r *harness) spawn(cmd *exec.Cmd) error {
	s := spawnRequest{cmd, make(chan error, 1)}
	select {
	case r.spawnRequests <- s:
		return <-s.result
	case <-time.After(5 * time.Second):
		return errors.New("the run has ended")
	}
}

func (r *harness) setUp(dir string) (err error) {
	sites := r.scenario.SchedulerSites()
	r.balancer = newBalancer(sites, r.scenario.Clients.Unlike)
	var listens []string
	at, err := endpoints.FreePorts(schedulerHost, len(sites), false)
	if err != nil {
		return err
	}
	peers, err := endpoints.FreePorts(peerHost, len(sites), true)
	if err != nil {
		return err
	}
	for i, site := range sites {
		s := &scheduler{harness: r, index: i, site: site, listen: at[i], peerAddress: peers[i], dir: filepath.Join(dir, fmt.Sprint("n", i))}
		if err := os.Mkdir(s.dir, 0o700); err != nil {
			return err
		}
		listens = append(listens, s.listen.String())
		r.schedulers = append(r.schedulers, s)
	}
	level := "warn"
	if r.keepsLogs {
		level = "debug"
	}
	own := map[string]any{"log": map[string]any{"level": level}}
	if !r.build.SkipsOverrides {
		own = mergeObjects(own, mergeObjects(r.scenario.Own, r.build.ConfigOverrides))
	}
	r.configPath = filepath.Join(dir, "cobaltflow.json")
	text, err := json.Marshal(own)
	if err == nil {
		err = os.WriteFile(r.configPath, text, 0o600)
	}
	if err != nil {
		return err
	}
	back := endpoints.NewCallbacks(r.network, len(r.scenario.Sites), listens, sites)
	number := 0
	kinds := draw.CumulativeWeights(len(r.scenario.Workers.Kinds), func(i int) float64 { return r.scenario.Workers.Kinds[i].Share })
	for site, x := range r.scenario.Sites {
		for i := range x.Workers {
			w := endpoints.NewWorker(number, site, draw.Pick(kinds, (float64(i)+0.5)/float64(x.Workers)), r.scenario, r.recorder, r.network, back, r.seed)
			if err := w.Start(false); err != nil {
				return err
			}
			r.workers = append(r.workers, w)
			number++
		}
	}
	if r.discovery, err = endpoints.NewDiscovery(r.scenario, r.recorder, r.network, r.workers, r.seed); err != nil {
		return err
	}
	if r.scenario.Peers.On {
		delay := func() time.Duration {
			r.mu.Lock()
			defer r.mu.Unlock()
			return time.Duration(r.scenario.Peers.MS.Draw(r.rng) * float64(time.Millisecond))
		}
		r.peers, err = r.network.NewPeerRelay(sites, peers, r.scenario.Peers.Lost, r.scenario.Peers.Twice, delay)
	}
	return err
}

// startsAtOnce bounds how many processes start at the same time.
const maxParallelStarts = 8

var startSlots = make(chan struct{}, maxParallelStarts)

func (r *harness) startScheduler(ctx context.Context, s *scheduler) error {
	startSlots <- struct{}{}
	defer func() { <-startSlots }()
	return s.start(ctx)
}

func (r *harness) startAll(ctx context.Context) error {
	errs := make(chan error, len(r.schedulers))
	for _, s := range r.schedulers {
		go func() { errs <- r.startScheduler(ctx, s) }()
	}
	var all error
	for range r.schedulers {
		all = errors.Join(all, <-errs)
	}
	return all
}

func (r *harness) addEvent(e record.Event) {
	e.AtUS = r.recorder.ElapsedUS()
	r.recorder.AddEvent(e)
}

// settle is how long after the last request the rig waits at most, beside the classes' deadlines.
const settleTime = 500 * time.Millisecond

func (r *harness) run(ctx context.Context, live io.Writer) {
	requests := DrawRequests(r.scenario, r.seed)
	turns := r.faultEvents(ctx)
	sort.SliceStable(turns, func(i, j int) bool { return turns[i].atS < turns[j].atS })
	r.recorder.SetStart(time.Now().Add(100 * time.Millisecond))
	c := newClients(r)
	done := make(chan struct{})
	var beside sync.WaitGroup
	beside.Add(2)
	go func() {
		defer beside.Done()
		r.sampleWorkers(done, live)
	}()
	go func() {
		defer beside.Done()
		for _, t := range turns {
			select {
			case <-time.After(time.Until(r.recorder.TimeAt(int64(t.atS * 1e6)))):
			case <-done:
				return
			}
			r.addEvent(record.Event{Kind: t.kind, IsEnd: t.isEnd, Scheduler: -1, Worker: -1})
			if t.kind == "release-schedulers" {
				go t.run()
			} else {
				t.run()
			}
		}
	}()
	c.play(ctx, requests)
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
	}
	close(done)
	beside.Wait()
	c.close()
}

const sampleInterval = 50 * time.Millisecond

// sample looks at all workers again and again, and writes a live line each second.
func (r *harness) sampleWorkers(done chan struct{}, live io.Writer) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-tick.C:
		case <-done:
			return
		}
		now := r.recorder.ElapsedUS()
		rows := make([]record.Sample, 0, len(r.workers))
		running, waiting := 0, 0
		for _, w := range r.workers {
			s := w.Sample(now)
			running, waiting = running+int(s.Running), waiting+int(s.Waiting)
			rows = append(rows, s)
		}
		r.recorder.AddSamples(rows)
		if live != nil && n%20 == 0 {
			served, refused, other := r.recorder.AnswerCounts()
			up := 0
			for _, s := range r.schedulers {
				if s.isLive() {
					up++
				}
			}
			fmt.Fprintf(live, "%s %s %5.1f s  schedulers %d  running %d  waiting %d  served %d  refused %d  other %d\n",
				r.scenario.Name, r.build.Name, float64(now)/1e6, up, running, waiting, served, refused, other)
		}
	}
}

func (r *harness) fillAbout(a *record.About) {
	a.Scenario, _ = json.Marshal(r.scenario)
	a.Seed, a.Build, a.Arm, a.Paths = r.seed, r.build.Name, r.build.Arm, map[string]record.PathTraffic{}
	for k := range relay.KindCount {
		t := r.network.Traffic(k)
		a.Paths[k.String()] = record.PathTraffic{Opened: t.Opened, Messages: t.Messages, Bytes: t.Bytes}
	}
	for _, w := range r.workers {
		a.Probes += w.ProbeCount.Load()
		if w.HasCollapsed() {
			a.CollapsedWorkers = append(a.CollapsedWorkers, int32(w.Number))
		}
	}
	if r.peers != nil {
		a.Messages, a.OversizeMessages = r.peers.Counts()
	}
}

// close ends all that the run has started.
func (r *harness) close() {
	var all sync.WaitGroup
	for _, s := range r.schedulers {
		all.Add(1)
		go func() {
			defer all.Done()
			s.killAll()
		}()
	}
	all.Wait()
	for _, w := range r.workers {
		w.Stop(false)
		w.ReleasePorts()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
	if r.peers != nil {
		r.peers.Close()
	}
}

func (r *harness) keepLogs(dir string) {
	os.MkdirAll(dir, 0o755)
	for _, s := range r.schedulers {
		if text, err := os.ReadFile(filepath.Join(s.dir, "log")); err == nil && len(text) > 0 {
			os.WriteFile(filepath.Join(dir, s.name()+".log"), text, 0o644)
		}
	}
}
