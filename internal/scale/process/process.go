// Package process runs schedulers as processes of the program, each with files of its own, and reads what they use. It
// ends a process by its id alone.
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
	maxLogLines     = 200 // kept, the last ones
	reloadedText    = "reload: taken over"
)

// Errors of a start.
var (
	ErrExited   = errors.New("the scheduler ended")
	ErrNotReady = errors.New("the scheduler was not ready in time")
)

// Scheduler is a process of the program.
type Scheduler struct {
	Config  Config
	program string
	dir     string
	cmd     *exec.Cmd
	exited  chan struct{}

	mu          sync.Mutex
	lines       []string
	reloadTimes []time.Time // when it told that a new configuration was taken over
	reloaded    chan struct{}
}

// Start runs a scheduler and gives it back with the time it took until it was ready. One that is not ready within the
// limit is ended.
func Start(ctx context.Context, program, dir string, config Config, limit time.Duration) (*Scheduler, time.Duration, error) {
	s := &Scheduler{Config: config, program: program, dir: dir, exited: make(chan struct{}), reloaded: make(chan struct{})}
	if err := os.MkdirAll(s.path("tmp"), 0o700); err != nil {
		return nil, 0, err
	}
	own, err := config.marshalProgramFile()
	if err != nil {
		return nil, 0, err
	}
	if err := os.WriteFile(s.path("cobaltflow.json"), own, 0o600); err != nil {
		return nil, 0, err
	}
	if _, err := s.writePlatform(); err != nil {
		return nil, 0, err
	}
	began := time.Now()
	if err := s.run(); err != nil {
		return nil, 0, err
	}
	if err := s.waitReady(ctx, limit); err != nil {
		s.Kill()
		return nil, 0, fmt.Errorf("%s: %w\n%s", config.Name, err, s.Log())
	}
	return s, time.Since(began), nil
}

func (s *Scheduler) path(name string) string { return filepath.Join(s.dir, name) }

// writePlatform writes the platform's file and gives its size in bytes.
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
	// A scheduler never outlives the measurement, whatever ends that.
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

// readLog keeps the last lines, and notes when a new configuration was taken over.
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

// Log gives the last lines that the scheduler wrote.
func (s *Scheduler) Log() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.lines, "\n")
}

// LastProblem gives the last line that the scheduler wrote as a warning or an error; empty: it wrote none lately.
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

// URL is where a path of the scheduler is found by clients.
func (s *Scheduler) URL(path string) string { return "http://" + s.Config.Listen.String() + path }

// Ready tells whether the scheduler says that it serves.
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

// Listed is the number of workers on the scheduler's list.
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

var errNoWorkerCount = errors.New("the figure registry_entries is missing")

// get reads an answer of status 200 on a connection of its own.
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

// Reload writes the configuration anew and has the scheduler read it. It gives the bytes that the scheduler reads.
func (s *Scheduler) Reload() (int, error) {
	size, err := s.writePlatform()
	if err != nil {
		return 0, err
	}
	return size, s.cmd.Process.Signal(syscall.SIGHUP)
}

// WaitReloaded waits until the scheduler has told of so many new configurations since its start, and gives the time of
// that one.
func (s *Scheduler) WaitReloaded(ctx context.Context, count int) (time.Time, error) {
	for {
		s.mu.Lock()
		reloads, told := s.reloadTimes, s.reloaded
		s.mu.Unlock()
		if len(reloads) >= count {
			return reloads[count-1], nil
		}
		select {
		case <-told:
		case <-s.exited:
			return time.Time{}, ErrExited
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		}
	}
}

// Kill ends the process at once and waits for its end.
func (s *Scheduler) Kill() {
	s.cmd.Process.Kill()
	<-s.exited
}

// Usage is what a process uses at a moment.
type Usage struct {
	At            time.Time
	CPUTime       time.Duration // since its start
	ResidentBytes int64         // bytes
	Descriptors   int
}

// Usage reads what the scheduler uses now.
func (s *Scheduler) Usage() (Usage, error) {
	pid := s.cmd.Process.Pid
	u := Usage{At: time.Now()}
	var processor, memory, descriptors error
	u.CPUTime, processor = procfs.ProcessorTime(pid)
	u.ResidentBytes, memory = procfs.Memory(pid, procfs.ResidentMemory)
	u.Descriptors, descriptors = procfs.Descriptors(pid)
	return u, errors.Join(processor, memory, descriptors)
}
