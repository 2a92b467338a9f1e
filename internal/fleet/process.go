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
	rig    *rig
	number int
	site   int
	listen netip.AddrPort
	peer   netip.AddrPort
	dir    string

	resumed atomic.Int64 // calls to take clients again

	mu        sync.Mutex
	processes []*process // that have been started and have not been seen to end, the latest last
	starts    int
	temp      string // $TMPDIR of its processes
}

// process is one start of the program. Its fields are guarded by its scheduler's mutex.
type process struct {
	cmd     *exec.Cmd
	admin   netip.AddrPort
	ended   chan struct{}
	started time.Time
	told    bool // to end: an end of it is no crash
	stopped bool // by SIGSTOP
}

var (
	schedulersAt = [4]byte{127, 0, 2, 1}
	peersAt      = [4]byte{127, 0, 4, 1}
	adminsAt     = [4]byte{127, 0, 5, 1}
)

// limits of one process. Over its memory it is ended by the runtime's own doing, slowly; the rig only bounds it.
const (
	memoryMB = 192
	sockets  = 1024
	readyFor = 30 * time.Second
)

// start runs a process where none runs, with an empty folder, and waits until it is ready.
func (s *scheduler) start(ctx context.Context) error {
	s.mu.Lock()
	s.temp = filepath.Join(s.dir, fmt.Sprint("tmp", s.starts))
	err := os.Mkdir(s.temp, 0o700)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	p, err := s.launch()
	if err != nil {
		return err
	}
	if err := s.ready(ctx, p, s.listen); err != nil {
		return s.withLog(err)
	}
	s.rig.front.set(s.number, true)
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
	if err := s.ready(ctx, p, p.admin); err != nil && !s.toldToEnd(p) {
		return s.withLog(err)
	}
	s.rig.note(record.Event{What: "upgraded", Text: s.name(), Scheduler: int32(s.number), Worker: -1})
	s.endInOrder(old)
	return nil
}

// endInOrder has a process end by SIGTERM, and kills it as soon as the platform may.
func (s *scheduler) endInOrder(p *process) {
	s.signalTo(p, syscall.SIGTERM)
	time.AfterFunc(s.rig.killAfter(), func() { s.signalTo(p, syscall.SIGKILL) })
}

func (s *scheduler) toldToEnd(p *process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.told
}

// killAfter is how soon after SIGTERM the platform may kill: the longest deadline, 3 s at most, and 0.7 s.
func (r *rig) killAfter() time.Duration {
	const most, later = 3.0, 0.7
	longest := 0.0
	for _, c := range r.set.Classes {
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
	admin, err := endpoints.Ports(adminsAt, 1, false)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	p := &process{admin: admin[0], ended: make(chan struct{}), started: time.Now()}
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
	p.cmd = exec.Command(s.rig.build.Binary, "serve", "--config", s.rig.own)
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "TMPDIR="+s.temp)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A process of the rig never outlives it, whatever ends the rig.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.rig.spawn(p.cmd); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	go s.await(p)
	return p, nil
}

// await notes the end of a process.
func (s *scheduler) await(p *process) {
	p.cmd.Wait()
	s.mu.Lock()
	s.processes = slices.DeleteFunc(s.processes, func(other *process) bool { return other == p })
	crashed, last := !p.told, len(s.processes) == 0
	s.mu.Unlock()
	if crashed {
		s.rig.note(record.Event{What: "crashed", Text: s.name() + ": " + p.cmd.ProcessState.String(), Scheduler: int32(s.number), Worker: -1})
	} else if last {
		s.rig.note(record.Event{What: "ended", Text: s.name(), Scheduler: int32(s.number), Worker: -1})
	}
	close(p.ended)
}

func (s *scheduler) name() string { return fmt.Sprint("n", s.number) }

// ready waits until a process says at an address of its own that it is.
func (s *scheduler) ready(ctx context.Context, p *process, at netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, readyFor)
	defer cancel()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	var last error
	for {
		status, err := ask(ctx, "GET", at, "/-/ready")
		if status == http.StatusOK {
			return nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("ready: status %d", status)
		}
		select {
		case <-tick.C:
		case <-p.ended:
			return fmt.Errorf("ended before it was ready")
		case <-ctx.Done():
			return fmt.Errorf("not ready: %w", last)
		}
	}
}

// ask makes a call on a connection of its own.
func ask(ctx context.Context, method string, at netip.AddrPort, path string) (status int, err error) {
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
func (s *scheduler) all() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.processes)
}

// signal sends a signal to all processes of the scheduler.
func (s *scheduler) signal(sig syscall.Signal) {
	for _, p := range s.all() {
		s.signalTo(p, sig)
	}
}

func (s *scheduler) signalTo(p *process, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-p.ended:
		return
	default:
	}
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.told = true
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
	p.cmd.Process.Signal(sig)
}

// live tells whether a process runs that takes clients.
func (s *scheduler) live() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.processes, func(p *process) bool { return !p.told && !p.stopped })
}

// end kills all processes and waits for their ends.
func (s *scheduler) end() {
	for _, p := range s.all() {
		s.signalTo(p, syscall.SIGKILL)
		<-p.ended
	}
}

// config is the platform's file for a scheduler.
func (s *scheduler) config(admin netip.AddrPort) map[string]any {
	r, sc := s.rig, s.rig.set
	conf := map[string]any{
		"name": s.name(), "listen": s.listen.String(), "admin": admin.String(), "discovery": r.discovery.Address(s.number),
		"seed":   fmt.Sprintf("%016x", r.seed*1_000_003+uint64(s.number)*1009+uint64(s.starts)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known":  r.discovery.Known(s.number), "settings": settings(sc, s.number, s.site),
	}
	if sc.Peers.On {
		each, all := r.peers.Addresses()
		conf["peer_listen"], conf["peers"], conf["peers_all"] = s.peer.String(), each, all
	}
	return conf
}

// settings are the simulator's, as the platform tells them.
func settings(sc *scenario.Scenario, rank, site int) map[string]any {
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
			"worth": c.Worth, "lateWorth": c.LateWorth, "group": "all", "windowUs": us(scenario.WindowS)})
		kind, priority, stretch = append(kind, -1), append(priority, c.Priority), append(stretch, c.Stretch)
	}
	w := sc.Workers
	return map[string]any{
		"caps": map[string]any{"cancel": true, "peers": sc.Peers.On, "probes": w.Probes, "retryAfter": true, "maxRetryAfterUs": us(2),
			"mostTries": sc.Tries, "connectTimeoutUs": us(0.15), "connIdleUs": us(w.IdleS), "secondCopies": false},
		"charges": map[string]any{"crossZone": sc.Prices.CrossZone, "probe": sc.Prices.Probe, "peer": sc.Prices.Peer},
		"classes": classes, "dcs": zones, "kinds": kinds, "locality": site, "discovery": sc.Discovery.Mode,
		"domainType": "jobs", "groupSize": len(sc.Schedulers()), "rank": rank,
		"report": map[string]any{"fields": []string{"waiting", "avg_ms", "active", "x0"}, "how": map[bool]string{true: "probe", false: "none"}[w.Probes]},
		"rules": map[string]any{"answerSlackUs": us(0.016), "askWithinUs": us(10), "coldFrom": w.ColdFrom, "drainGraceUs": us(sc.DrainGraceS),
			"overloadFactor": w.OverloadFactor, "tipAfterUs": us(w.TipAfterS), "warmWithinUs": us(w.WarmS)},
		"specifics": map[string]any{"classKind": kind, "classPriority": priority, "classStretch": stretch, "queueOrder": "fifo",
			"reportX0": "free_slots", "tellsStart": true, "progressUs": 0},
		"weights": "nominal", "worthBy": "request", "tickUs": 4000,
	}
}

// merged puts one object over another, key by key.
func merged(below, over map[string]any) map[string]any {
	out := maps.Clone(below)
	if out == nil {
		out = map[string]any{}
	}
	for k, v := range over {
		a, isA := out[k].(map[string]any)
		b, isB := v.(map[string]any)
		if isA && isB {
			out[k] = merged(a, b)
		} else {
			out[k] = v
		}
	}
	return out
}

// front knows which schedulers take clients. It notices late.
type front struct {
	mu     sync.Mutex
	sites  []int
	up     []bool
	weight []float64
}

func newFront(sites []int, unlike float64) *front {
	f := &front{sites: sites, up: make([]bool, len(sites)), weight: make([]float64, len(sites))}
	for i := range f.weight {
		if f.weight[i] = 1; unlike > 0 && i%10 == 0 {
			f.weight[i] = unlike
		}
	}
	return f
}

func (f *front) set(scheduler int, up bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.up[scheduler] = up
}

// choose gives a scheduler of the site, by a number from 0 to under 1; of any site where it has none, and below 0 where
// there is none at all.
func (f *front) choose(site int, draw float64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, own := range []bool{true, false} {
		sum := 0.0
		for i, up := range f.up {
			if up && (f.sites[i] == site || !own) {
				sum += f.weight[i]
			}
		}
		at := draw * sum
		for i, up := range f.up {
			if up && (f.sites[i] == site || !own) {
				if at -= f.weight[i]; at < 0 {
					return i
				}
			}
		}
	}
	return -1
}
