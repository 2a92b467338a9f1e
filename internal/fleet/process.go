package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltflow/internal/fleet/endpoints"
	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

// scheduler is one scheduler as the platform counts it: a process of the program, and beside it, during an upgrade, those
// that it takes over from. All share its addresses and its folder for temporary files.
type scheduler struct {
	harness     *harness
	index       int
	site        int
	listen      netip.AddrPort
	peerAddress netip.AddrPort
	dir         string

	resumeCalls atomic.Int64 // calls to take clients again

	mu        sync.Mutex
	processes []*process // that have been started and have not been seen to end, the latest last
	starts    int
	tempDir   string // $TMPDIR of its processes
}

// process is one start of the program. Its fields are guarded by its scheduler's mutex.
type process struct {
	cmd        *exec.Cmd
	admin      netip.AddrPort
	exited     chan struct{}
	started    time.Time
	terminated bool // to end: an end of it is no crash
	isStopped  bool // by SIGSTOP
}

var (
	schedulerHost = [4]byte{127, 0, 2, 1}
	peerHost      = [4]byte{127, 0, 4, 1}
	adminHost     = [4]byte{127, 0, 5, 1}
)

// limits of one process. Over its memory it is ended by the runtime's own doing, slowly; the rig only bounds it.
const (
	maxMemoryMB  = 192
	maxSockets   = 1024
	readyTimeout = 30 * time.Second
)

// start runs a process where none runs, with an empty folder, and waits until it is ready.
func (s *scheduler) start(ctx context.Context) error {
	s.mu.Lock()
	s.tempDir = filepath.Join(s.dir, fmt.Sprint("tmp", s.starts))
	err := os.Mkdir(s.tempDir, 0o700)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	p, err := s.launch()
	if err != nil {
		return err
	}
	if err := s.waitReady(ctx, p, s.listen); err != nil {
		return s.withLog(err)
	}
	s.harness.balancer.setUp(s.index, true)
	return nil
}

// upgrade starts a second process beside the one that runs. When it is ready the other is told to end, and killed as soon
// as the platform may.
func (s *scheduler) upgrade(ctx context.Context) error {
	old := s.latest()
	if old == nil {
		return nil // it is down just now
	}
	p, err := s.launch()
	if err != nil {
		return err
	}
	// A later upgrade may have ended it before it was seen to be ready.
	if err := s.waitReady(ctx, p, p.admin); err != nil && !s.wasTerminated(p) {
		return s.withLog(err)
	}
	s.harness.addEvent(record.Event{Kind: "upgraded", Text: s.name(), Scheduler: int32(s.index), Worker: -1})
	s.terminate(old)
	return nil
}

// endInOrder has a process end by SIGTERM, and kills it as soon as the platform may.
func (s *scheduler) terminate(p *process) {
	s.signalTo(p, syscall.SIGTERM)
	time.AfterFunc(s.harness.killDelay(), func() { s.signalTo(p, syscall.SIGKILL) })
}

func (s *scheduler) wasTerminated(p *process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.terminated
}

// killAfter is how soon after SIGTERM the platform may kill: the longest deadline, 3 s at most, and 0.7 s.
func (r *harness) killDelay() time.Duration {
	const most, later = 3.0, 0.7
	longest := 0.0
	for _, c := range r.scenario.Classes {
		longest = max(longest, c.DeadlineS)
	}
	return time.Duration((min(longest, most) + later) * float64(time.Second))
}

func (s *scheduler) withLog(err error) error {
	text, _ := os.ReadFile(filepath.Join(s.dir, "log"))
	return fmt.Errorf("%s: %w\n%s", s.name(), err, text)
}

// launch starts a process.
func (s *scheduler) launch() (*process, error) {
	admin, err := endpoints.FreePorts(adminHost, 1, false)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	p := &process{admin: admin[0], exited: make(chan struct{}), started: time.Now()}
	path := filepath.Join(s.dir, fmt.Sprintf("config%d.json", s.starts))
	text, err := json.Marshal(s.config(p.admin))
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(s.harness.build.Binary, "serve", "--config", s.harness.configPath)
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "TMPDIR="+s.tempDir)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A process of the rig never outlives it, whatever ends the rig.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.harness.spawn(p.cmd); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	go s.waitForExit(p)
	return p, nil
}

// await notes the end of a process.
func (s *scheduler) waitForExit(p *process) {
	p.cmd.Wait()
	s.mu.Lock()
	s.processes = slices.DeleteFunc(s.processes, func(other *process) bool { return other == p })
	crashed, last := !p.terminated, len(s.processes) == 0
	s.mu.Unlock()
	if crashed {
		s.harness.addEvent(record.Event{Kind: "crashed", Text: s.name() + ": " + p.cmd.ProcessState.String(), Scheduler: int32(s.index), Worker: -1})
	} else if last {
		s.harness.addEvent(record.Event{Kind: "ended", Text: s.name(), Scheduler: int32(s.index), Worker: -1})
	}
	close(p.exited)
}

func (s *scheduler) name() string { return fmt.Sprint("n", s.index) }

// ready waits until a process says at an address of its own that it is.
func (s *scheduler) waitReady(ctx context.Context, p *process, at netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	var last error
	for {
		status, err := sendRequest(ctx, "GET", at, "/-/ready")
		if status == http.StatusOK {
			return nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("ready: status %d", status)
		}
		select {
		case <-tick.C:
		case <-p.exited:
			return fmt.Errorf("ended before it was ready")
		case <-ctx.Done():
			return fmt.Errorf("not ready: %w", last)
		}
	}
}

// ask makes a call on a connection of its own.
func sendRequest(ctx context.Context, method string, at netip.AddrPort, path string) (status int, err error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+path, nil)
	if err != nil {
		return 0, err
	}
	q.Close = true
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err
	}
	io.Copy(io.Discard, r.Body)
	return r.StatusCode, r.Body.Close()
}

// latest is the process that was started last; nil: none runs.
func (s *scheduler) latest() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.processes) == 0 {
		return nil
	}
	return s.processes[len(s.processes)-1]
}

// all are the processes that run, the latest last.
func (s *scheduler) running() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.processes)
}

// signal sends a signal to all processes of the scheduler.
func (s *scheduler) signal(sig syscall.Signal) {
	for _, p := range s.running() {
		s.signalTo(p, sig)
	}
}

func (s *scheduler) signalTo(p *process, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-p.exited:
		return
	default:
	}
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.terminated = true
	case syscall.SIGSTOP:
		p.isStopped = true
	case syscall.SIGCONT:
		p.isStopped = false
	}
	p.cmd.Process.Signal(sig)
}

// live tells whether a process runs that takes clients.
func (s *scheduler) isLive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.processes, func(p *process) bool { return !p.terminated && !p.isStopped })
}

// end kills all processes and waits for their ends.
func (s *scheduler) killAll() {
	for _, p := range s.running() {
		s.signalTo(p, syscall.SIGKILL)
		<-p.exited
	}
}

// config is the platform's file for a scheduler.
func (s *scheduler) config(admin netip.AddrPort) map[string]any {
	r, sc := s.harness, s.harness.scenario
	conf := map[string]any{
		"name": s.name(), "listen": s.listen.String(), "admin": admin.String(), "discovery": r.discovery.Address(s.index),
		"seed":   fmt.Sprintf("%016x", r.seed*1_000_003+uint64(s.index)*1009+uint64(s.starts)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": maxMemoryMB, "sockets": maxSockets},
		"known":  r.discovery.CurrentList(s.index), "settings": platformSettings(sc, s.index, s.site),
	}
	if sc.Peers.On {
		each, all := r.peers.Addresses()
		conf["peer_listen"], conf["peers"], conf["peers_all"] = s.peerAddress.String(), each, all
	}
	return conf
}

// settings are the simulator's, as the platform tells them.
func platformSettings(sc *scenario.Scenario, rank, site int) map[string]any {
	us := func(s float64) int64 { return int64(s * 1e6) }
	var zones, kinds []string
	for _, x := range sc.Sites {
		zones = append(zones, x.Name)
	}
	for _, k := range sc.Workers.Kinds {
		kinds = append(kinds, k.Name)
	}
	var classes []map[string]any
	var kind, priority, stretch []any
	for _, c := range sc.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "effect": c.Effect, "aimUs": us(c.AimMS / 1000), "deadlineUs": us(c.DeadlineS),
			"worth": c.Worth, "lateWorth": c.LateWorth, "group": "all", "windowUs": us(scenario.DedupWindowS)})
		kind, priority, stretch = append(kind, -1), append(priority, c.Priority), append(stretch, c.Stretch)
	}
	w := sc.Workers
	return map[string]any{
		"caps": map[string]any{"cancel": true, "peers": sc.Peers.On, "probes": w.Probes, "retryAfter": true, "maxRetryAfterUs": us(2),
			"mostTries": sc.Tries, "connectTimeoutUs": us(0.15), "connIdleUs": us(w.IdleS), "secondCopies": false},
		"charges": map[string]any{"crossZone": sc.Prices.CrossZone, "probe": sc.Prices.Probe, "peer": sc.Prices.Peer},
		"classes": classes, "dcs": zones, "kinds": kinds, "locality": site, "discovery": sc.Discovery.Mode,
		"domainType": "jobs", "groupSize": len(sc.SchedulerSites()), "rank": rank,
		"report": map[string]any{"fields": []string{"waiting", "avg_ms", "active", "x0"}, "how": map[bool]string{true: "probe", false: "none"}[w.Probes]},
		"rules": map[string]any{"answerSlackUs": us(0.016), "askWithinUs": us(10), "coldFrom": w.ColdFrom, "drainGraceUs": us(sc.DrainGraceS),
			"overloadFactor": w.OverloadFactor, "tipAfterUs": us(w.TipAfterS), "warmWithinUs": us(w.WarmS)},
		"specifics": map[string]any{"classKind": kind, "classPriority": priority, "classStretch": stretch, "queueOrder": "fifo",
			"reportX0": "free_slots", "tellsStart": true, "progressUs": 0},
		"weights": "nominal", "worthBy": "request", "tickUs": 4000,
	}
}

// merged puts one object over another, key by key.
func mergeObjects(below, over map[string]any) map[string]any {
	out := maps.Clone(below)
	if out == nil {
		out = map[string]any{}
	}
	for k, v := range over {
		a, isA := out[k].(map[string]any)
		b, isB := v.(map[string]any)
		if isA && isB {
			out[k] = mergeObjects(a, b)
		} else {
			out[k] = v
		}
	}
	return out
}

// front knows which schedulers take clients. It notices late.
type balancer struct {
	mu     sync.Mutex
	sites  []int
	isUp   []bool
	weight []float64
}

func newBalancer(sites []int, unlike float64) *balancer {
	f := &balancer{sites: sites, isUp: make([]bool, len(sites)), weight: make([]float64, len(sites))}
	for i := range f.weight {
		if f.weight[i] = 1; unlike > 0 && i%10 == 0 {
			f.weight[i] = unlike
		}
	}
	return f
}

func (f *balancer) setUp(scheduler int, up bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isUp[scheduler] = up
}

// choose gives a scheduler of the site, by a number from 0 to under 1; of any site where it has none, and below 0 where
// there is none at all.
func (f *balancer) choose(site int, draw float64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, own := range []bool{true, false} {
		sum := 0.0
		for i, up := range f.isUp {
			if up && (f.sites[i] == site || !own) {
				sum += f.weight[i]
			}
		}
		at := draw * sum
		for i, up := range f.isUp {
			if up && (f.sites[i] == site || !own) {
				if at -= f.weight[i]; at < 0 {
					return i
				}
			}
		}
	}
	return -1
}
