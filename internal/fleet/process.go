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
	"sync"
	"syscall"
	"time"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

// scheduler is a process of the program, started and ended by its id.
type scheduler struct {
	rig    *rig
	number int
	site   int
	listen netip.AddrPort
	peer   netip.AddrPort
	dir    string

	mu      sync.Mutex
	cmd     *exec.Cmd
	starts  int
	ended   chan struct{} // of this start
	alive   bool          // started, and not told to end
	stopped bool          // by SIGSTOP
	wanted  bool          // an end of it is no crash
}

var (
	schedulersAt = [4]byte{127, 0, 2, 1}
	peersAt      = [4]byte{127, 0, 4, 1}
)

// limits of one process. Over its memory it is ended by the runtime's own doing, slowly; the rig only bounds it.
const (
	memoryMB = 192
	sockets  = 1024
	readyFor = 30 * time.Second
)

// start runs the process and waits until it is ready.
func (s *scheduler) start(ctx context.Context) error {
	s.mu.Lock()
	s.starts++
	path := filepath.Join(s.dir, "config.json")
	text, err := json.Marshal(s.config())
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	var log *os.File
	if err == nil {
		log, err = os.OpenFile(filepath.Join(s.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	}
	if err != nil {
		s.mu.Unlock()
		return err
	}
	defer log.Close()
	temp := filepath.Join(s.dir, fmt.Sprint("tmp", s.starts))
	os.Mkdir(temp, 0o700)
	s.cmd = exec.Command(s.rig.build.Binary, "serve", "--config", s.rig.own)
	s.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "TMPDIR="+temp)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	// A process of the rig never outlives it, whatever ends the rig.
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.rig.spawn(s.cmd); err != nil {
		s.mu.Unlock()
		return err
	}
	cmd, ended := s.cmd, make(chan struct{})
	s.ended, s.alive, s.wanted, s.stopped = ended, true, false, false
	s.mu.Unlock()
	go func() {
		cmd.Wait()
		s.mu.Lock()
		crashed := !s.wanted && s.cmd == cmd
		if s.cmd == cmd {
			s.alive = false
		}
		s.mu.Unlock()
		if crashed {
			s.rig.note(record.Event{What: "crashed", Text: s.name() + ": " + cmd.ProcessState.String(), Scheduler: int32(s.number), Worker: -1})
		}
		close(ended)
	}()
	if err := s.ready(ctx, ended); err != nil {
		text, _ := os.ReadFile(filepath.Join(s.dir, "log"))
		return fmt.Errorf("%s: %w\n%s", s.name(), err, text)
	}
	s.rig.front.set(s.number, true)
	return nil
}

func (s *scheduler) name() string { return fmt.Sprint("n", s.number) }

func (s *scheduler) ready(ctx context.Context, ended chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, readyFor)
	defer cancel()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	var last error
	for {
		q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+s.listen.String()+"/-/ready", nil)
		q.Close = true
		r, err := http.DefaultClient.Do(q)
		if err == nil {
			io.Copy(io.Discard, r.Body)
			r.Body.Close()
			if r.StatusCode == 200 {
				return nil
			}
			err = fmt.Errorf("ready: %s", r.Status)
		}
		last = err
		select {
		case <-tick.C:
		case <-ended:
			return fmt.Errorf("ended before it was ready")
		case <-ctx.Done():
			return fmt.Errorf("not ready: %w", last)
		}
	}
}

// signal sends a signal to the process that runs now.
func (s *scheduler) signal(sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil || s.cmd.Process == nil {
		return
	}
	select {
	case <-s.ended:
		return
	default:
	}
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		s.wanted, s.alive = true, false
	case syscall.SIGSTOP:
		s.stopped = true
	case syscall.SIGCONT:
		s.stopped = false
	}
	s.cmd.Process.Signal(sig)
}

// live tells whether the process runs and may act.
func (s *scheduler) live() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive && !s.stopped
}

// end kills the process and waits for its end.
func (s *scheduler) end() {
	s.signal(syscall.SIGKILL)
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// config is the platform's file for a scheduler.
func (s *scheduler) config() map[string]any {
	r, sc := s.rig, s.rig.set
	conf := map[string]any{
		"name": s.name(), "listen": s.listen.String(), "discovery": r.discovery.Address(s.number),
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
			"worth": c.Worth, "lateWorth": c.LateWorth, "group": "all", "windowUs": us(5)})
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
		"rules": map[string]any{"answerSlackUs": us(0.016), "askWithinUs": us(10), "coldFrom": w.ColdFrom, "drainGraceUs": us(scenario.DrainGraceS),
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
