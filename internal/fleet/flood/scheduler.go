package flood

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"cobaltflow/internal/affinity"
	"cobaltflow/internal/fleet/endpoints"
	"cobaltflow/internal/procfs"
)

const (
	samplePeriod = 10 * time.Millisecond
	readyWithin  = 10 * time.Second
	killDelay    = 3700 * time.Millisecond // after SIGTERM, the earliest that the platform allows with these deadlines
	restartDelay = 1020 * time.Millisecond // between a kill and the next start, as in the incident
	maxLogTail   = 4000                    // bytes of the log in a report
)

// scheduler is the program under test: a process, or two during an upgrade, at one address.
type scheduler struct {
	binary, dir string
	configPath  string
	listen      string
	faktory     string
	play        Case

	mu        sync.Mutex
	processes []*process
	peakBytes int64 // highest sum of all processes' resident memory
	used      time.Duration
	exited    bool
	starts    int
	outages   []interval // no process served; belongs to injectFaults until the play has ended
	stop      chan struct{}
	sampled   chan struct{}
}

type process struct {
	cmd    *exec.Cmd
	admin  string
	killed bool
	ended  chan struct{}
}

// startScheduler starts a process and waits until it is ready.
func startScheduler(binary, dir string, play Case, w *workers) (*scheduler, error) {
	ports, err := endpoints.FreePorts([4]byte{127, 0, 0, 1}, 2, false)
	if err != nil {
		return nil, err
	}
	s := &scheduler{binary: binary, dir: dir, play: play, listen: ports[0].String(), faktory: ports[1].String(), configPath: filepath.Join(dir, "cobaltflow.json"),
		stop: make(chan struct{}), sampled: make(chan struct{})}
	if err := s.writeConfig(w); err != nil {
		return nil, err
	}
	w.sendCallbacksTo(s.listen)
	affinity.AvoidCore(play.Core)
	go s.sample()
	if _, err := s.launch(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *scheduler) writeConfig(w *workers) error {
	var known []map[string]any
	for _, one := range w.all {
		known = append(known, map[string]any{"name": one.name, "address": one.ln.Addr().String()})
	}
	config := map[string]any{"scheduler": map[string]any{"name": "n0", "listen": s.listen, "workers": known,
		"limits": map[string]any{"cores": 1, "memory_mb": s.play.MemoryMB, "sockets": s.play.Sockets},
		"classes": []map[string]any{{"name": "board-view", "effect": "repeatable", "deadline_ms": 5000, "aim_ms": 500, "worth": 3},
			{"name": "move", "effect": "once", "deadline_ms": 10000, "aim_ms": 1000, "worth": 2}},
		"rules": map[string]any{"max_attempts": 4, "cancel": true, "retry_after": true}}}
	if s.play.Flood.isFaktory() {
		// A half of the memory may be set aside for jobs.
		jobsMB := s.play.MemoryMB / 2
		config["faktory"] = map[string]any{"listen": s.faktory, "default_class": "board-view", "max_sessions": faktorySessions + 4,
			"max_held_mb": jobsMB / 2, "max_client_mb": jobsMB / 2, "max_dead_mb": jobsMB / 4, "kept_mb": jobsMB / 4, "table_queues": []string{}}
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.Mkdir(filepath.Join(s.dir, "tmp"), 0o700); err != nil {
		return err
	}
	return os.WriteFile(s.configPath, text, 0o600)
}

// faktorySessions is the number of clients of a flood of the Faktory front.
const faktorySessions = 60

// floodAddress returns the address that the misbehaving clients connect to.
func (s *scheduler) floodAddress() string {
	if s.play.Flood.isFaktory() {
		return s.faktory
	}
	return s.listen
}

// launch starts a process and waits until it is ready.
func (s *scheduler) launch() (*process, error) {
	ports, err := endpoints.FreePorts([4]byte{127, 0, 0, 1}, 1, false)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(s.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{admin: ports[0].String(), ended: make(chan struct{})}
	p.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s --config %s", s.play.Sockets, serveCommand(s.binary), s.configPath))
	p.cmd.Env = append(os.Environ(), "RELAY_ADMIN="+p.admin, "TMPDIR="+filepath.Join(s.dir, "tmp"))
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := affinity.StartOnCore(p.cmd, s.play.Core); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.starts++
	s.mu.Unlock()
	go s.awaitEnd(p)
	return p, s.awaitReady(p)
}

// deployedProgram is the program that serves alone, as it is deployed.
const deployedProgram = "cobaltflow-serve"

// serveCommand returns the command by which a program serves.
func serveCommand(binary string) string {
	if filepath.Base(binary) == deployedProgram {
		return binary
	}
	return binary + " serve"
}

func (s *scheduler) logPath() string { return filepath.Join(s.dir, "log") }

func (s *scheduler) awaitEnd(p *process) {
	p.cmd.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used += p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	s.processes = slices.DeleteFunc(s.processes, func(other *process) bool { return other == p })
	s.exited = s.exited || !p.killed
	close(p.ended)
}

var errNotReady = errors.New("the process did not become ready")

func (s *scheduler) awaitReady(p *process) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(samplePeriod) {
		select {
		case <-p.ended:
			return errNotReady
		default:
		}
		if r, err := client.Get("http://" + p.admin + "/-/ready"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errNotReady
}

// injectFaults upgrades or kills the process as the case says.
func (s *scheduler) injectFaults(ctx context.Context) error {
	half := time.Duration(s.play.Seconds / 2 * float64(time.Second))
	switch {
	case s.play.WithUpgrade:
		pause(ctx, half)
		return s.upgrade()
	case s.play.KillAtS > 0:
		pause(ctx, time.Duration(s.play.KillAtS*float64(time.Second)))
		outage := interval{from: time.Now()}
		s.kill(s.latest())
		time.Sleep(restartDelay)
		_, err := s.launch()
		outage.to = time.Now()
		s.outages = append(s.outages, outage)
		return err
	}
	return nil
}

func (s *scheduler) upgrade() error {
	old := s.latest()
	if old == nil {
		return errNotReady
	}
	if _, err := s.launch(); err != nil {
		return err
	}
	s.mu.Lock()
	old.killed = true // its end is no crash
	s.mu.Unlock()
	old.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-old.ended:
	case <-time.After(killDelay):
		s.kill(old)
	}
	return nil
}

func (s *scheduler) latest() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.processes) == 0 {
		return nil
	}
	return s.processes[len(s.processes)-1]
}

func (s *scheduler) kill(p *process) {
	if p == nil {
		return
	}
	s.mu.Lock()
	p.killed = true
	s.mu.Unlock()
	p.cmd.Process.Kill()
	<-p.ended
}

// sample follows the memory of all processes until the scheduler is closed.
func (s *scheduler) sample() {
	defer close(s.sampled)
	for {
		s.takeSample()
		select {
		case <-s.stop:
			return
		case <-time.After(samplePeriod):
		}
	}
}

// takeSample adds up the resident memory. Of a process that is alone its own peak counts, which no sample misses.
func (s *scheduler) takeSample() {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.sumMemory(procfs.ResidentMemory)
	if len(s.processes) == 1 && s.starts == 1 {
		sum = s.sumMemory(procfs.PeakResidentMemory)
	}
	s.peakBytes = max(s.peakBytes, sum)
}

func (s *scheduler) sumMemory(key string) (sum int64) {
	for _, p := range s.processes {
		if bytes, err := procfs.Memory(p.cmd.Process.Pid, key); err == nil {
			sum += bytes
		}
	}
	return sum
}

func (s *scheduler) peak() int64 {
	s.takeSample()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakBytes
}

func (s *scheduler) resident() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sumMemory(procfs.ResidentMemory)
}

func (s *scheduler) processorTime() (used time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used = s.used
	for _, p := range s.processes {
		if one, err := procfs.ProcessorTime(p.cmd.Process.Pid); err == nil {
			used += one
		}
	}
	return used
}

func (s *scheduler) hasExited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exited
}

func (s *scheduler) logTail() string {
	text, _ := os.ReadFile(s.logPath())
	if len(text) > maxLogTail {
		text = text[len(text)-maxLogTail:]
	}
	return string(bytes.ToValidUTF8(text, nil))
}

func (s *scheduler) close() {
	s.mu.Lock()
	all := slices.Clone(s.processes)
	s.mu.Unlock()
	for _, p := range all {
		s.kill(p)
	}
	close(s.stop)
	<-s.sampled
}
