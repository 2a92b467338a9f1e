package stand

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Scheduler is one process of the project's program, started as the platform starts it.
type Scheduler struct {
	Name, Listen, Discovery, Admin string

	rec    *Record
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
}

// Options are how a scheduler is started.
type Options struct {
	Root      string // of the repository
	Folder    string // temporary folder of the case
	Name      string
	Label     string // of the process, for its log file
	Listen    string
	Discovery string
	Admin     string
	TmpDir    string // its private $TMPDIR; the same one for both processes of an upgrade
	Extra     string // appended to the run line
	Settings  map[string]any
	Known     any
	Sockets   int
	MemoryMB  int
}

// runLine reads the key run of the deploy file.
func runLine(root string) (string, error) {
	f, err := os.Open(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "run = "); ok {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no run line")
}

// StartScheduler starts a scheduler and waits until it is ready.
func StartScheduler(rec *Record, o Options) (*Scheduler, error) {
	line, err := runLine(o.Root)
	if err != nil {
		return nil, err
	}
	if o.Sockets == 0 {
		o.Sockets = 1024
	}
	if o.MemoryMB == 0 {
		o.MemoryMB = 192
	}
	if o.Known == nil {
		o.Known = map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}}
	}
	text, err := json.MarshalIndent(map[string]any{"name": o.Name, "listen": o.Listen, "discovery": o.Discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": o.MemoryMB, "sockets": o.Sockets}, "known": o.Known, "settings": o.Settings}, "", " ")
	if err != nil {
		return nil, err
	}
	config := filepath.Join(o.Folder, o.Label+".json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.TmpDir, 0o700); err != nil {
		return nil, err
	}
	s := &Scheduler{Name: o.Name, Listen: o.Listen, Discovery: o.Discovery, Admin: o.Admin, rec: rec, exited: make(chan struct{})}
	if s.log, err = os.Create(filepath.Join(o.Folder, o.Label+".log")); err != nil {
		return nil, err
	}
	s.cmd = exec.Command("/bin/sh", "-c", line+o.Extra)
	s.cmd.Dir = o.Root
	s.cmd.Env = append(os.Environ(), "RELAY_NAME="+o.Name, "RELAY_LISTEN="+o.Listen, "RELAY_DISCOVERY="+o.Discovery,
		"RELAY_CONFIG="+config, "TMPDIR="+o.TmpDir)
	if o.Admin != "" {
		s.cmd.Env = append(s.cmd.Env, "RELAY_ADMIN="+o.Admin)
	}
	s.cmd.Stdout, s.cmd.Stderr = s.log, s.log
	// Should the case itself be killed, the kernel ends the scheduler too.
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	rec.Add("scheduler %s: started as %q, listens on %s", o.Label, line+o.Extra, o.Listen)
	go func() {
		s.cmd.Wait()
		rec.Add("scheduler %s: ended, %v", o.Label, s.cmd.ProcessState)
		close(s.exited)
	}()
	ready := "http://" + o.Listen + "/-/ready"
	if o.Admin != "" {
		ready = "http://" + o.Admin + "/-/ready"
	}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		select {
		case <-s.exited:
			return s, fmt.Errorf("scheduler %s ended at its start", o.Label)
		default:
		}
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		if answer, err := client.Get(ready); err == nil {
			answer.Body.Close()
			if answer.StatusCode == 200 {
				rec.Add("scheduler %s: ready", o.Label)
				return s, nil
			}
		}
	}
	return s, fmt.Errorf("scheduler %s was not ready in 15 s", o.Label)
}

// Signal sends a signal to the process.
func (s *Scheduler) Signal(sig syscall.Signal) { s.cmd.Process.Signal(sig) }

// Exited is closed once the process has ended.
func (s *Scheduler) Exited() <-chan struct{} { return s.exited }

// Kill ends the process and waits for its end.
func (s *Scheduler) Kill() {
	if s == nil {
		return
	}
	s.cmd.Process.Signal(syscall.SIGCONT)
	s.cmd.Process.Kill()
	<-s.exited
	s.log.Close()
}

// FreeAddresses returns free loopback addresses outside of the range from which the kernel takes ports by itself, so that no
// outgoing connection takes one meanwhile.
func FreeAddresses(n int) (addresses []string, err error) {
	taken := map[int]bool{}
	for range 1000 {
		port := 20000 + rand.IntN(12000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", address)
		if err != nil || taken[port] {
			continue
		}
		ln.Close()
		taken[port] = true
		if addresses = append(addresses, address); len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, errors.New("no free ports")
}

// Pid is the id of the process.
func (s *Scheduler) Pid() int { return s.cmd.Process.Pid }

// AnonymousKB is the memory of the process without what is backed by files, in KB, as the kernel reports it; 0: it has ended.
func (s *Scheduler) AnonymousKB() (kb int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			fmt.Sscan(rest, &kb)
		}
	}
	return kb
}
