package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/standin"
)

// drainGrace is the drain grace set in these tests: a disabled worker may be sent jobs for that long.
const drainGrace = 250 * time.Millisecond

// maxSockets is the configured limit on descriptors, for all processes of the scheduler together.
const maxSockets = 160

// upgradeHarness is one scheduler during upgrades: processes that share the clients' address and a state directory, each with
// an admin address of its own, and table workers that record when each job arrived.
type upgradeHarness struct {
	t                *testing.T
	binary           string
	listen           string
	discovery        string
	stateDir         string // TMPDIR of all processes
	workers          []*jobRecorder
	jobsSent         atomic.Int64
	refusedCallbacks atomic.Int64 // callbacks that a process refused, with 503
	lostCallbacks    atomic.Int64 // callbacks that no process accepted in all their attempts
	callbackAttempts int          // per callback; 0: defaultAttempts
	sockets          int          // the configured limit on descriptors; 0: maxSockets
	ownSections      string       // the program's own configuration file; empty: none
	moreRules        string       // of the settings, each behind a comma
}

// instance is one process of the scheduler.
type instance struct {
	*program
	admin string
}

// jobRecorder is a table worker that completes every job at once and records when it arrived.
type jobRecorder struct {
	*standin.Worker
	mu         sync.Mutex
	receivedAt []time.Time
}

// jobsAfter returns the number of jobs that arrived after a time.
func (w *jobRecorder) jobsAfter(at time.Time) (jobs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, receivedAt := range w.receivedAt {
		if receivedAt.After(at) {
			jobs++
		}
	}
	return jobs
}

func newUpgradeHarness(t *testing.T, workers ...string) *upgradeHarness {
	h := &upgradeHarness{t: t, binary: build(t), listen: freeAddress(t), discovery: freeAddress(t), stateDir: t.TempDir()}
	var list []map[string]any
	for _, name := range workers {
		w := &jobRecorder{}
		w.Worker = standin.NewWorker(t, name, func(worker *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
			w.mu.Lock()
			w.receivedAt = append(w.receivedAt, time.Now())
			w.mu.Unlock()
			rw.WriteHeader(202)
			go h.sendCallback(worker.Name, id)
		})
		h.workers = append(h.workers, w)
		list = append(list, w.ListEntry("up"))
	}
	text, err := json.Marshal(map[string]any{"index": 1, "snapshot": true, "endpoints": list})
	require.NoError(t, err)
	targets := serveDiscovery(t, h.discovery, string(text))
	go func() {
		for range targets {
		}
	}()
	return h
}

// sendCallback reports a job as done, each attempt on a new connection, until the process that has the job accepts it.
func (h *upgradeHarness) sendCallback(worker, id string) {
	const defaultAttempts = 64 // the kernel gives each attempt to either process
	attempts := cmp.Or(h.callbackAttempts, defaultAttempts)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for range attempts {
		body := fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"ok"}`, id, worker)
		r, err := client.Post("http://"+h.listen+"/v1/job-events", "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == 200 || r.StatusCode == 204 {
			return
		}
		h.refusedCallbacks.Add(1)
	}
	h.lostCallbacks.Add(1)
}

// start starts a process of the scheduler and waits until it is ready at its admin address.
func (h *upgradeHarness) start() *instance {
	i := h.launch()
	eventually(h.t, func() bool { return i.sendAdmin("GET", "/-/ready") == 200 })
	return i
}

// launch starts a process of the scheduler without waiting.
func (h *upgradeHarness) launch() *instance { return h.launchAt(freeAddress(h.t)) }

// launchAt is launch with the given admin address.
func (h *upgradeHarness) launchAt(admin string) *instance {
	program := &program{t: h.t, binary: h.binary, limit: 1024, conf: filepath.Join(h.t.TempDir(), "config.json")}
	i := &instance{program: program, admin: admin}
	i.env = []string{"TMPDIR=" + h.stateDir}
	require.NoError(h.t, os.WriteFile(i.conf, fmt.Appendf(nil, `{"name":"n1","listen":%q,"discovery":%q,"admin":%q,
		"limits":{"sockets":%d},"known":{"index":0,"snapshot":true,"endpoints":[]},
		"settings":{"discovery":"push","groupSize":1,"rules":{"drainGraceUs":%d%s},
		"classes":[{"name":"move","effect":"once","deadlineUs":10000000}]}}`,
		h.listen, h.discovery, i.admin, cmp.Or(h.sockets, maxSockets), drainGrace.Microseconds(), h.moreRules), 0o600))
	if h.ownSections != "" {
		own := filepath.Join(h.t.TempDir(), "own.json")
		require.NoError(h.t, os.WriteFile(own, []byte(h.ownSections), 0o600))
		i.args = "--config " + own
	}
	i.program.start()
	return i
}

// sendAdmin sends an admin request and returns its status, or 0 if there is no response within a second.
func (i *instance) sendAdmin(method, path string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	q, _ := http.NewRequest(method, "http://"+i.admin+path, nil)
	r, err := client.Do(q)
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

func (i *instance) disable(worker string) int {
	return i.sendAdmin("POST", "/-/table-workers/"+worker+"/disable")
}

// relayed returns the process's own count of attempts written to workers.
func (i *instance) relayed() (n int) {
	r, err := http.Get("http://" + i.admin + "/-/metrics")
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	for line := range strings.SplitSeq(string(text), "\n") {
		fmt.Sscanf(line, "edge_relay.relayed:%d|c", &n)
	}
	return n
}

// sendUntil sends jobs to the clients' address, each on a connection of its own, until stop returns true.
func (h *upgradeHarness) sendUntil(stop func() bool) {
	const clients = 8
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
			for !stop() {
				n := h.jobsSent.Add(1)
				q, _ := http.NewRequest("POST", fmt.Sprintf("http://%s/move/k%d", h.listen, n), nil)
				q.Header.Set("X-Correlation-Id", fmt.Sprintf("%016x", n))
				q.Header.Set("X-Time-Left-Ms", "10000")
				if r, err := client.Do(q); err == nil {
					r.Body.Close()
				}
			}
		})
	}
	all.Wait()
}

// fileName returns an address in the form used in file names.
func fileName(address string) string { return strings.ReplaceAll(address, ":", "_") }

// sendAttempts sends jobs until each of the processes has written the given number of further attempts to workers.
func (h *upgradeHarness) sendAttempts(attempts int, by ...*instance) {
	started := time.Now()
	before := make([]int, len(by))
	for i, process := range by {
		before[i] = process.relayed()
	}
	h.sendUntil(func() bool {
		for i, process := range by {
			if process.relayed() < before[i]+attempts && time.Since(started) < testTimeout {
				return false
			}
		}
		return true
	})
}

// terminate sends SIGTERM.
func (i *instance) terminate() { require.NoError(i.t, i.cmd.Process.Signal(syscall.SIGTERM)) }

// Guards against an incident during an upgrade: a disabled worker was sent moves 1.3 s and 1.7 s after the disable was
// confirmed. The disable went to the second process 0.1 s after SIGTERM to the first, which accepts jobs for 2 s after
// SIGTERM. Disabled workers were kept in the memory of the process that got the request; the other process read them from a
// file only once, at its start, and so went on sending.
func TestWorkerDisabledDuringAnUpgradeGetsNoJobFromEitherProcess(t *testing.T) {
	h := newUpgradeHarness(t, "s-1", "s-2")
	first := h.start()
	second := h.start()
	h.sendAttempts(4, first, second)
	first.terminate()
	eventually(t, func() bool { return first.logged("a successor serves") })
	require.Equal(t, 200, second.disable("s-1"))
	confirmed := time.Now()
	h.sendUntil(func() bool { return time.Since(confirmed) > 6*drainGrace })
	assert.Zero(t, h.workers[0].jobsAfter(confirmed.Add(drainGrace)), "a disabled worker got jobs")
	assert.NotZero(t, h.workers[1].jobsAfter(confirmed.Add(drainGrace)), "the other worker gets jobs meanwhile")
}

// The process that got the disable request sends the worker nothing while the other process has ended.
func TestProcessThatGotTheDisableSendsNoJobs(t *testing.T) {
	h := newUpgradeHarness(t, "s-1", "s-2")
	first := h.start()
	second := h.start()
	h.sendAttempts(4, first, second)
	first.kill()
	require.Equal(t, 200, second.disable("s-1"))
	confirmed := time.Now()
	h.sendAttempts(50, second)
	assert.Zero(t, h.workers[0].jobsAfter(confirmed.Add(drainGrace)))
}
