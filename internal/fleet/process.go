package fleet

import (
	"context"
	"encoding/json"
	"errors"
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

// scheduler is one scheduler of the fleet: a process of the program, and during an upgrade also the processes that it
// replaces. All of them share the scheduler's addresses and its directory for temporary files.
type scheduler struct {
	harness     *harness
	index       int
	site        int
	listen      netip.AddrPort
	peerAddress netip.AddrPort
	dir         string

	resumeCalls atomic.Int64 // admin calls that ended a drain of clients

	mu        sync.Mutex
	processes []*process // started and not yet seen to exit, the latest last
	starts    int
	tempDir   string // $TMPDIR of its processes
}

// process is one started process of the program. Its scheduler's mutex guards its fields.
type process struct {
	cmd        *exec.Cmd
	admin      netip.AddrPort
	exited     chan struct{}
	started    time.Time
	terminated bool // SIGTERM or SIGKILL was sent, so its exit is no crash
	isStopped  bool // by SIGSTOP
}

var (
	schedulerHost = [4]byte{127, 0, 2, 1}
	peerHost      = [4]byte{127, 0, 4, 1}
	adminHost     = [4]byte{127, 0, 5, 1}
)

// Limits of one process, as the platform states them to it. The harness enforces no memory limit: over maxMemoryMB a
// process is slowed down, and ended in the end, by its own runtime.
const (
	maxMemoryMB  = 192
	maxSockets   = 1024
	readyTimeout = 30 * time.Second
)

// errTerminated: a fault has terminated a process before it was seen to be ready. That is no crash, and the fault's own end
// starts the next process.
var errTerminated = errors.New("process was terminated before it was ready")

// start starts a process with a new, empty temporary directory, and waits until it is ready. No process may be running.
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
		if s.wasTerminated(p) {
			return errTerminated
		}
		return s.withLog(err)
	}
	s.harness.balancer.setUp(s.index, true)
	return nil
}

// upgrade starts a new process beside the latest one. When the new process is ready the old one gets SIGTERM, and SIGKILL
// after killDelay; until then it is stopped in turns, see startStops. It does nothing if no process runs.
func (s *scheduler) upgrade(ctx context.Context, stoppedMS float64) error {
	old := s.latest()
	if old == nil {
		return nil // the scheduler is down
	}
	p, err := s.launch()
	if err != nil {
		return err
	}
	// A later upgrade may have terminated the new process before this one saw it ready, which is no error.
	if err := s.waitReady(ctx, p, p.admin); err != nil && !s.wasTerminated(p) {
		return s.withLog(err)
	}
	s.harness.addEvent(record.Event{Kind: "upgraded", Text: s.name(), Scheduler: int32(s.index), Worker: -1})
	s.terminate(old)
	s.startStops(old, stoppedMS)
	return nil
}

// terminate sends SIGTERM to a process, and SIGKILL after killDelay.
func (s *scheduler) terminate(p *process) {
	s.signalTo(p, syscall.SIGTERM)
	time.AfterFunc(s.harness.killDelay(), func() { s.signalTo(p, syscall.SIGKILL) })
}

// wasTerminated reports whether p has been sent SIGTERM or SIGKILL.
func (s *scheduler) wasTerminated(p *process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.terminated
}

// killDelay returns the earliest time after SIGTERM at which the platform may kill a process: the longest deadline of all
// classes, capped at 3 s, plus 0.7 s.
func (h *harness) killDelay() time.Duration {
	const maxDeadlineS, marginS = 3.0, 0.7
	longest := 0.0
	for _, c := range h.scenario.Classes {
		longest = max(longest, c.DeadlineS)
	}
	return time.Duration((min(longest, maxDeadlineS) + marginS) * float64(time.Second))
}

// withLog adds the scheduler's name and log to an error.
func (s *scheduler) withLog(err error) error {
	text, _ := os.ReadFile(filepath.Join(s.dir, "log"))
	return fmt.Errorf("%s: %w\n%s", s.name(), err, text)
}

// launch writes the configuration of a new process and starts it. It does not wait until the process is ready.
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
	// The kernel kills the process if the harness dies, for whatever reason.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.harness.spawn(p.cmd); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	go s.waitForExit(p)
	return p, nil
}

// waitForExit waits for a process to exit and records a crash, or the end of the scheduler's last process.
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

// name returns the scheduler's name in configuration, logs and records.
func (s *scheduler) name() string { return fmt.Sprint("n", s.index) }

// waitReady polls the readiness probe at an address of a process until it answers 200, the process exits, or readyTimeout
// has passed.
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
			last = fmt.Errorf("readiness probe answered %d", status)
		}
		select {
		case <-tick.C:
		case <-p.exited:
			return fmt.Errorf("process exited before it was ready")
		case <-ctx.Done():
			return fmt.Errorf("process did not become ready: %w", last)
		}
	}
}

// sendRequest sends an HTTP request without a body on a new connection, and returns the status of the answer.
func sendRequest(ctx context.Context, method string, at netip.AddrPort, path string) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+path, nil)
	if err != nil {
		return 0, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Body.Close()
}

// latest returns the running process that was started last, or nil.
func (s *scheduler) latest() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.processes) == 0 {
		return nil
	}
	return s.processes[len(s.processes)-1]
}

// running returns the processes that run, the latest last.
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

// signalTo sends a signal to one process, unless it has exited, and notes what the signal does to it.
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

// isLive reports whether some process runs that is neither terminated nor stopped.
func (s *scheduler) isLive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.processes, func(p *process) bool { return !p.terminated && !p.isStopped })
}

// killAll kills all processes and waits until they have exited.
func (s *scheduler) killAll() {
	for _, p := range s.running() {
		s.signalTo(p, syscall.SIGKILL)
		<-p.exited
	}
}

// config returns the content of the configuration file that the platform gives to a process.
func (s *scheduler) config(admin netip.AddrPort) map[string]any {
	h, sc := s.harness, s.harness.scenario
	config := map[string]any{
		"name": s.name(), "listen": s.listen.String(), "admin": admin.String(), "discovery": h.discovery.Address(s.index),
		"seed":   fmt.Sprintf("%016x", h.seed*1_000_003+uint64(s.index)*1009+uint64(s.starts)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": maxMemoryMB, "sockets": maxSockets},
		"known":  h.discovery.CurrentList(s.index), "settings": platformSettings(sc, s.index, s.site),
	}
	if sc.Peers.On {
		public, broadcast := h.peers.Addresses()
		config["peer_listen"], config["peers"], config["peers_all"] = s.peerAddress.String(), public, broadcast
	}
	return config
}

// platformSettings returns the "settings" object of the platform's configuration file, with the simulator's values.
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

// mergeObjects returns a copy of under with the keys of over set; objects in both are merged recursively.
func mergeObjects(under, over map[string]any) map[string]any {
	out := maps.Clone(under)
	if out == nil {
		out = map[string]any{}
	}
	for key, value := range over {
		base, baseIsObject := out[key].(map[string]any)
		overlay, overlayIsObject := value.(map[string]any)
		if baseIsObject && overlayIsObject {
			out[key] = mergeObjects(base, overlay)
		} else {
			out[key] = value
		}
	}
	return out
}

// balancer chooses the scheduler for each try among those that it believes to be up. Callers set a scheduler down late,
// as a real load balancer notices a failure late.
type balancer struct {
	mu     sync.Mutex
	sites  []int
	isUp   []bool
	weight []float64
}

// newBalancer returns a balancer for schedulers at these sites. If unlike is above 0, each tenth scheduler has that weight
// instead of 1.
func newBalancer(sites []int, unlike float64) *balancer {
	b := &balancer{sites: sites, isUp: make([]bool, len(sites)), weight: make([]float64, len(sites))}
	for i := range b.weight {
		if b.weight[i] = 1; unlike > 0 && i%10 == 0 {
			b.weight[i] = unlike
		}
	}
	return b
}

// setUp sets whether a scheduler may be chosen.
func (b *balancer) setUp(index int, up bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isUp[index] = up
}

// choose returns a scheduler of the site, picked by weight with draw in [0, 1). If none of the site is up it picks among
// those of all sites; it returns -1 if none is up at all.
func (b *balancer) choose(site int, draw float64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, ownSite := range []bool{true, false} {
		sum := 0.0
		for i, up := range b.isUp {
			if up && (b.sites[i] == site || !ownSite) {
				sum += b.weight[i]
			}
		}
		remaining := draw * sum
		for i, up := range b.isUp {
			if up && (b.sites[i] == site || !ownSite) {
				if remaining -= b.weight[i]; remaining < 0 {
					return i
				}
			}
		}
	}
	return -1
}
