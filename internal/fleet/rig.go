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
	Name   string
	Binary string
	Arm    string         // the name of what is changed in its own configuration; empty: nothing
	Own    map[string]any // put over the scenario's
	Plain  bool           // an earlier build, which may not know what the scenario puts over its configuration
}

// Options of a run.
type Options struct {
	Seed uint64
	Live io.Writer // takes a line a second; nil: none
	Dir  string    // keeps the processes' logs; empty: they are dropped
}

type rig struct {
	set        *scenario.Scenario
	build      Build
	seed       uint64
	own        string // path of the processes' own configuration
	keepsLogs  bool
	net        *relay.Net
	recorder   *endpoints.Recorder
	workers    []*endpoints.Worker
	discovery  *endpoints.Discovery
	peers      *relay.Peers
	schedulers []*scheduler
	front      *front
	spawner    chan spawned

	mu  sync.Mutex
	rng *rand.Rand
}

type spawned struct {
	cmd  *exec.Cmd
	done chan error
}

// Play runs a scenario once with a build. All it has started has ended when it returns, also when ctx is cancelled.
func Play(ctx context.Context, s *scenario.Scenario, b Build, o Options) (*record.Records, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ms := func(r scenario.Range) [2]time.Duration {
		return [2]time.Duration{time.Duration(r.Least * float64(time.Millisecond)), time.Duration(r.Most * float64(time.Millisecond))}
	}
	r := &rig{set: s, build: b, seed: o.Seed, keepsLogs: o.Dir != "", recorder: endpoints.NewRecorder(), net: relay.New(len(s.Sites), ms(s.Network.SameMS), ms(s.Network.CrossMS), o.Seed),
		rng: rand.New(rand.NewPCG(o.Seed, 0x726967)), spawner: make(chan spawned)}
	// The kernel ends a process when the thread that started it ends, not when its program does: one thread that lives as
	// long as the run starts them all.
	go r.spawnAll(ctx)
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if o.Dir != "" {
		defer r.keepLogs(o.Dir)
	}
	defer r.close()
	if err := r.setUp(dir); err != nil {
		return nil, err
	}
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	r.run(ctx, o.Live)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	for _, w := range r.workers {
		w.End()
	}
	rec := r.recorder.Records()
	r.about(&rec.About)
	return rec, nil
}

func (r *rig) spawnAll(ctx context.Context) {
	runtime.LockOSThread()
	for {
		select {
		case s := <-r.spawner:
			s.done <- s.cmd.Start()
		case <-ctx.Done():
			return // the thread ends with its goroutine, and what is left of its processes with it
		}
	}
}

func (r *rig) spawn(cmd *exec.Cmd) error {
	s := spawned{cmd, make(chan error, 1)}
	select {
	case r.spawner <- s:
		return <-s.done
	case <-time.After(5 * time.Second):
		return errors.New("the run has ended")
	}
}

func (r *rig) setUp(dir string) (err error) {
	sites := r.set.Schedulers()
	r.front = newFront(sites, r.set.Clients.Unlike)
	var listens []string
	at, err := endpoints.Ports(schedulersAt, len(sites), false)
	if err != nil {
		return err
	}
	peers, err := endpoints.Ports(peersAt, len(sites), true)
	if err != nil {
		return err
	}
	for i, site := range sites {
		s := &scheduler{rig: r, number: i, site: site, listen: at[i], peer: peers[i], dir: filepath.Join(dir, fmt.Sprint("n", i))}
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
	if !r.build.Plain {
		own = merged(own, merged(r.set.Own, r.build.Own))
	}
	r.own = filepath.Join(dir, "cobaltflow.json")
	text, err := json.Marshal(own)
	if err == nil {
		err = os.WriteFile(r.own, text, 0o600)
	}
	if err != nil {
		return err
	}
	back := endpoints.NewBacks(r.net, len(r.set.Sites), listens, sites)
	number := 0
	kinds := draw.CumulativeWeights(len(r.set.Workers.Kinds), func(i int) float64 { return r.set.Workers.Kinds[i].Share })
	for site, x := range r.set.Sites {
		for i := range x.Workers {
			w := endpoints.NewWorker(number, site, draw.Pick(kinds, (float64(i)+0.5)/float64(x.Workers)), r.set, r.recorder, r.net, back, r.seed)
			if err := w.Start(false); err != nil {
				return err
			}
			r.workers = append(r.workers, w)
			number++
		}
	}
	if r.discovery, err = endpoints.NewDiscovery(r.set, r.recorder, r.net, r.workers, r.seed); err != nil {
		return err
	}
	if r.set.Peers.On {
		delay := func() time.Duration {
			r.mu.Lock()
			defer r.mu.Unlock()
			return time.Duration(r.set.Peers.MS.Draw(r.rng) * float64(time.Millisecond))
		}
		r.peers, err = r.net.NewPeers(sites, peers, r.set.Peers.Lost, r.set.Peers.Twice, delay)
	}
	return err
}

// startsAtOnce bounds how many processes start at the same time.
const startsAtOnce = 8

var starting = make(chan struct{}, startsAtOnce)

func (r *rig) startOne(ctx context.Context, s *scheduler) error {
	starting <- struct{}{}
	defer func() { <-starting }()
	return s.start(ctx)
}

func (r *rig) startAll(ctx context.Context) error {
	errs := make(chan error, len(r.schedulers))
	for _, s := range r.schedulers {
		go func() { errs <- r.startOne(ctx, s) }()
	}
	var all error
	for range r.schedulers {
		all = errors.Join(all, <-errs)
	}
	return all
}

func (r *rig) note(e record.Event) {
	e.AtUS = r.recorder.Now()
	r.recorder.Event(e)
}

// settle is how long after the last request the rig waits at most, beside the classes' deadlines.
const settle = 500 * time.Millisecond

func (r *rig) run(ctx context.Context, live io.Writer) {
	requests := Requests(r.set, r.seed)
	turns := r.faults(ctx)
	sort.SliceStable(turns, func(i, j int) bool { return turns[i].at < turns[j].at })
	r.recorder.Begin(time.Now().Add(100 * time.Millisecond))
	c := newClients(r)
	done := make(chan struct{})
	var beside sync.WaitGroup
	beside.Add(2)
	go func() {
		defer beside.Done()
		r.sample(done, live)
	}()
	go func() {
		defer beside.Done()
		for _, t := range turns {
			select {
			case <-time.After(time.Until(r.recorder.At(int64(t.at * 1e6)))):
			case <-done:
				return
			}
			r.note(record.Event{What: t.what, Ends: t.ends, Scheduler: -1, Worker: -1})
			if t.what == "release-schedulers" {
				go t.run()
			} else {
				t.run()
			}
		}
	}()
	c.play(ctx, requests)
	select {
	case <-time.After(settle):
	case <-ctx.Done():
	}
	close(done)
	beside.Wait()
	c.close()
}

const sampleEvery = 50 * time.Millisecond

// sample looks at all workers again and again, and writes a live line each second.
func (r *rig) sample(done chan struct{}, live io.Writer) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-tick.C:
		case <-done:
			return
		}
		now := r.recorder.Now()
		rows := make([]record.Sample, 0, len(r.workers))
		running, waiting := 0, 0
		for _, w := range r.workers {
			s := w.Sample(now)
			running, waiting = running+int(s.Running), waiting+int(s.Waiting)
			rows = append(rows, s)
		}
		r.recorder.Sample(rows)
		if live != nil && n%20 == 0 {
			served, refused, other := r.recorder.Totals()
			up := 0
			for _, s := range r.schedulers {
				if s.live() {
					up++
				}
			}
			fmt.Fprintf(live, "%s %s %5.1f s  schedulers %d  running %d  waiting %d  served %d  refused %d  other %d\n",
				r.set.Name, r.build.Name, float64(now)/1e6, up, running, waiting, served, refused, other)
		}
	}
}

func (r *rig) about(a *record.About) {
	a.Scenario, _ = json.Marshal(r.set)
	a.Seed, a.Build, a.Arm, a.Passed = r.seed, r.build.Name, r.build.Arm, map[string]record.Path{}
	for k := range relay.Kinds {
		t := r.net.Traffic(k)
		a.Passed[k.String()] = record.Path{Opened: t.Opened, Messages: t.Messages, Bytes: t.Bytes}
	}
	for _, w := range r.workers {
		a.Probes += w.Probes.Load()
		if w.Fallen() {
			a.Fallen = append(a.Fallen, int32(w.Number))
		}
	}
	if r.peers != nil {
		a.Messages, a.TooLong = r.peers.Counts()
	}
}

// close ends all that the run has started.
func (r *rig) close() {
	var all sync.WaitGroup
	for _, s := range r.schedulers {
		all.Add(1)
		go func() {
			defer all.Done()
			s.end()
		}()
	}
	all.Wait()
	for _, w := range r.workers {
		w.Stop(false)
		w.Release()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
	if r.peers != nil {
		r.peers.Close()
	}
}

func (r *rig) keepLogs(dir string) {
	os.MkdirAll(dir, 0o755)
	for _, s := range r.schedulers {
		if text, err := os.ReadFile(filepath.Join(s.dir, "log")); err == nil && len(text) > 0 {
			os.WriteFile(filepath.Join(dir, s.name()+".log"), text, 0o644)
		}
	}
}
