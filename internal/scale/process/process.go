// Package process runs schedulers as processes of the program, each with its own configuration files, and reads their
// resource use. Package scale calls it. A process is signalled by its own ID only, never by its name.
package process

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cobaltflow/internal/front/admin"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/procfs"
)

const (
	readyPollPeriod = 5 * time.Millisecond
	callTimeout     = 2 * time.Second
	maxLogLines     = 200                  // the last lines that are kept
	reloadedText    = "reload: taken over" // log message of a successful reload
)

// Errors of Start and WaitReloaded.
var (
	ErrExited   = errors.New("the scheduler process exited")
	ErrNotReady = errors.New("the scheduler did not become ready in time")
)

// Scheduler is a running process of the program.
type Scheduler struct {
	Config  Config
	program string
	dir     string
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the process has ended

	mu          sync.Mutex
	lines       []string      // last lines of the log
	reloadTimes []time.Time   // when the process logged a reload
	reloaded    chan struct{} // closed and replaced at each reload
}

// Start runs a scheduler and returns it with the time until it was ready. A scheduler that is not ready within the
// limit is killed.
func Start(ctx context.Context, program, dir string, config Config, limit time.Duration) (*Scheduler, time.Duration, error) {
	s := &Scheduler{Config: config, program: program, dir: dir, exited: make(chan struct{}), reloaded: make(chan struct{})}
	if err := os.MkdirAll(s.path("tmp"), 0o700); err != nil {
		return nil, 0, err
	}
	programText, err := config.marshalProgramFile()
	if err != nil {
		return nil, 0, err
	}
	if err := os.WriteFile(s.path("cobaltflow.json"), programText, 0o600); err != nil {
		return nil, 0, err
	}
	if _, err := s.writePlatform(); err != nil {
		return nil, 0, err
	}
	started := time.Now()
	if err := s.run(); err != nil {
		return nil, 0, err
	}
	if err := s.waitReady(ctx, limit); err != nil {
		s.Kill()
		return nil, 0, fmt.Errorf("%s: %w\n%s", config.Name, err, s.Log())
	}
	return s, time.Since(started), nil
}

func (s *Scheduler) path(name string) string { return filepath.Join(s.dir, name) }

// writePlatform writes the platform's configuration file and returns its size in bytes.
func (s *Scheduler) writePlatform() (int, error) {
	text, err := json.Marshal(s.Config.newPlatformFile())
	if err != nil {
		return 0, err
	}
	return len(text), os.WriteFile(s.path("platform.json"), text, 0o600)
}

func (s *Scheduler) run() error {
	s.cmd = exec.Command(s.program, "serve", "--config", s.path("cobaltflow.json"))
	s.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+s.path("platform.json"), "TMPDIR="+s.path("tmp"))
	// The kernel kills the scheduler if the measurement ends for any reason.
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	s.cmd.Stderr = s.cmd.Stdout
	if err := s.cmd.Start(); err != nil {
		return err
	}
	go func() {
		s.readLog(out)
		s.cmd.Wait()
		close(s.exited)
	}()
	return nil
}

// readLog keeps the last lines of the log and records the times of reloads, until the output ends.
func (s *Scheduler) readLog(out io.Reader) {
	for r := bufio.NewReader(out); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		now := time.Now()
		s.mu.Lock()
		s.lines = append(s.lines, strings.TrimSpace(line))
		if len(s.lines) > maxLogLines {
			s.lines = slices.Delete(s.lines, 0, len(s.lines)-maxLogLines)
		}
		if strings.Contains(line, reloadedText) {
			s.reloadTimes = append(s.reloadTimes, now)
			close(s.reloaded)
			s.reloaded = make(chan struct{})
		}
		s.mu.Unlock()
	}
}

// Log returns the last lines that the scheduler logged.
func (s *Scheduler) Log() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.lines, "\n")
}

// LastWarning returns the last line that the scheduler logged as a warning or an error, or "" if there is none among
// the kept lines.
func (s *Scheduler) LastWarning() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range slices.Backward(s.lines) {
		if strings.Contains(line, "level=WARN") || strings.Contains(line, "level=ERROR") {
			return line
		}
	}
	return ""
}

// URL returns the URL of a path at the scheduler's client address.
func (s *Scheduler) URL(path string) string { return "http://" + s.Config.Listen.String() + path }

// Ready reports whether the scheduler's readiness check succeeds.
func (s *Scheduler) Ready(ctx context.Context) bool {
	_, err := get(ctx, s.URL(platform.PathReady))
	return err == nil
}

func (s *Scheduler) waitReady(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	tick := time.NewTicker(readyPollPeriod)
	defer tick.Stop()
	for !s.Ready(ctx) {
		select {
		case <-tick.C:
		case <-s.exited:
			return ErrExited
		case <-ctx.Done():
			return ErrNotReady
		}
	}
	return nil
}

// WorkerCount returns the number of workers on the scheduler's list, from its metrics.
func (s *Scheduler) WorkerCount(ctx context.Context) (int, error) {
	text, err := get(ctx, "http://"+s.Config.Admin.String()+"/-/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(text) {
		rest, found := strings.CutPrefix(line, admin.MetricPrefix+"registry_entries:")
		if !found {
			continue
		}
		figure, _, _ := strings.Cut(rest, "|")
		return strconv.Atoi(figure)
	}
	return 0, errNoWorkerCount
}

var errNoWorkerCount = errors.New("the metrics do not contain registry_entries")

// get fetches a URL on a connection of its own and returns the body. Any status but 200 is an error.
func get(ctx context.Context, url string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", url, response.Status)
	}
	return string(text), err
}

// Reload writes the configuration again and signals the scheduler to read it. It returns the number of bytes that the
// scheduler reads.
func (s *Scheduler) Reload() (int, error) {
	size, err := s.writePlatform()
	if err != nil {
		return 0, err
	}
	return size, s.cmd.Process.Signal(syscall.SIGHUP)
}

// WaitReloaded waits until the scheduler has logged count reloads since its start, and returns the time of the last of
// these. It returns ErrExited if the process ends before.
func (s *Scheduler) WaitReloaded(ctx context.Context, count int) (time.Time, error) {
	for {
		s.mu.Lock()
		times, reloaded := s.reloadTimes, s.reloaded
		s.mu.Unlock()
		if len(times) >= count {
			return times[count-1], nil
		}
		select {
		case <-reloaded:
		case <-s.exited:
			return time.Time{}, ErrExited
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		}
	}
}

// Kill sends SIGKILL to the process and waits for its end.
func (s *Scheduler) Kill() {
	s.cmd.Process.Kill()
	<-s.exited
}

// Usage is the resource use of a process at one moment.
type Usage struct {
	At            time.Time
	CPUTime       time.Duration // since the process started
	ResidentBytes int64         // bytes
	Descriptors   int
}

// Usage reads the current resource use of the scheduler.
func (s *Scheduler) Usage() (Usage, error) {
	pid := s.cmd.Process.Pid
	usage := Usage{At: time.Now()}
	var cpuErr, memoryErr, descriptorsErr error
	usage.CPUTime, cpuErr = procfs.ProcessorTime(pid)
	usage.ResidentBytes, memoryErr = procfs.Memory(pid, procfs.ResidentMemory)
	usage.Descriptors, descriptorsErr = procfs.Descriptors(pid)
	return usage, errors.Join(cpuErr, memoryErr, descriptorsErr)
}
