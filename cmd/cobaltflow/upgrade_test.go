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

// drainGrace is the settings' grace of these tests: a worker that was taken out may be sent work for so long.
const drainGrace = 250 * time.Millisecond

// sockets is the settings' limit on descriptors, for all processes of the scheduler together.
const sockets = 160

// upgradeRig is one scheduler as an operator sees it during upgrades: processes that share the clients' address and a
// state folder, each with an operators' address of its own, and table workers that note when each job came.
type upgradeRig struct {
	t         *testing.T
	binary    string
	listen    string
	discovery string
	state     string // $TMPDIR of all processes
	workers   []*jobRecorder
	jobs      atomic.Int64
	refused   atomic.Int64 // callbacks that a process answered with 503
	lost      atomic.Int64 // callbacks that nobody took in all their tries
	calls     int          // tries of a callback; 0: mostCalls
}

// instance is one process of the scheduler.
type instance struct {
	*program
	admin string
}

// jobRecorder is a table worker that does every job at once, and notes when it came.
type jobRecorder struct {
	*standin.Worker
	mu   sync.Mutex
	came []time.Time
}

func (w *jobRecorder) after(at time.Time) (jobs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, came := range w.came {
		if came.After(at) {
			jobs++
		}
	}
	return jobs
}

func newUpgradeRig(t *testing.T, workers ...string) *upgradeRig {
	rig := &upgradeRig{t: t, binary: build(t), listen: freeAddress(t), discovery: freeAddress(t), state: t.TempDir()}
	var list []map[string]any
	for _, name := range workers {
		w := &jobRecorder{}
		w.Worker = standin.NewWorker(t, name, func(worker *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
			w.mu.Lock()
			w.came = append(w.came, time.Now())
			w.mu.Unlock()
			rw.WriteHeader(202)
			go rig.callBack(worker.Name, id)
		})
		rig.workers = append(rig.workers, w)
		list = append(list, w.Entry("up"))
	}
	text, err := json.Marshal(map[string]any{"index": 1, "snapshot": true, "endpoints": list})
	require.NoError(t, err)
	targets := calls(t, rig.discovery, string(text))
	go func() {
		for range targets {
		}
	}()
	return rig
}

// callBack tells the scheduler that a job is done, on new connections until the process that has the job takes it.
func (rig *upgradeRig) callBack(worker, id string) {
	const mostCalls = 64 // each meets the other process as often as not
	tries := cmp.Or(rig.calls, mostCalls)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for range tries {
		body := fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"ok"}`, id, worker)
		r, err := client.Post("http://"+rig.listen+"/v1/job-events", "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == 200 || r.StatusCode == 204 {
			return
		}
		rig.refused.Add(1)
	}
	rig.lost.Add(1)
}

// start starts a process of the scheduler and waits until it says at its operators' address that it is ready.
func (rig *upgradeRig) start() *instance {
	i := rig.launch()
	until(rig.t, func() bool { return i.call("GET", "/-/ready") == 200 })
	return i
}

// launch starts a process of the scheduler.
func (rig *upgradeRig) launch() *instance { return rig.launchAt(freeAddress(rig.t)) }

// launchAt starts a process of the scheduler with that operators' address.
func (rig *upgradeRig) launchAt(admin string) *instance {
	program := &program{t: rig.t, binary: rig.binary, limit: 1024, conf: filepath.Join(rig.t.TempDir(), "config.json")}
	i := &instance{program: program, admin: admin}
	i.env = []string{"TMPDIR=" + rig.state}
	require.NoError(rig.t, os.WriteFile(i.conf, fmt.Appendf(nil, `{"name":"n1","listen":%q,"discovery":%q,"admin":%q,
		"limits":{"sockets":%d},"known":{"index":0,"snapshot":true,"endpoints":[]},
		"settings":{"discovery":"push","groupSize":1,"rules":{"drainGraceUs":%d},
		"classes":[{"name":"move","effect":"once","deadlineUs":10000000}]}}`,
		rig.listen, rig.discovery, i.admin, sockets, drainGrace.Microseconds()), 0o600))
	i.program.start()
	return i
}

// call makes an operator's call and gives its status; 0: there was no answer within the second that a caller waits.
func (i *instance) call(method, path string) int {
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
	return i.call("POST", "/-/table-workers/"+worker+"/disable")
}

// relayed is the process's own count of the attempts that it wrote to workers.
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

// sendUntil has clients send jobs at the clients' address, each on a connection of its own, until stop says so.
func (rig *upgradeRig) sendUntil(stop func() bool) {
	const clients = 8
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
			for !stop() {
				n := rig.jobs.Add(1)
				q, _ := http.NewRequest("POST", fmt.Sprintf("http://%s/move/k%d", rig.listen, n), nil)
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

// fileName is an address as it stands in the name of a file.
func fileName(address string) string { return strings.ReplaceAll(address, ":", "_") }

// sends has clients send jobs until each of the processes has written so many more to workers.
func (rig *upgradeRig) sends(attempts int, by ...*instance) {
	began := time.Now()
	before := make([]int, len(by))
	for i, process := range by {
		before[i] = process.relayed()
	}
	rig.sendUntil(func() bool {
		for i, process := range by {
			if process.relayed() < before[i]+attempts && time.Since(began) < patience {
				return false
			}
		}
		return true
	})
}

// terminate sends SIGTERM.
func (i *instance) terminate() { require.NoError(i.t, i.cmd.Process.Signal(syscall.SIGTERM)) }

// Incident: a table worker that an operator had taken out got a move 1.3 and 1.7 s after the scheduler's yes.
//
// Seen: an upgrade was under way. The second process had been started, the first had SIGTERM, and the operator's call
// went to the second process's address 0.1 s later. For 2 s after SIGTERM the first process still takes jobs, and it sent
// the worker one.
// Cause: who was taken out stood in the memory of the process that heard the call. The other process of the same
// scheduler read it from a file once, at its start.
// Proof: after the yes the second process sends the worker nothing and the first one does, until it has ended; without a
// second process, or with the call made at the first one before the second is started, nothing is sent.
func TestAWorkerTakenOutInAnUpgradeGetsNothingFromEitherProcess(t *testing.T) {
	rig := newUpgradeRig(t, "s-1", "s-2")
	first := rig.start()
	second := rig.start()
	rig.sends(4, first, second)
	first.terminate()
	until(t, func() bool { return first.logged("a successor serves") })
	require.Equal(t, 200, second.disable("s-1"))
	yes := time.Now()
	rig.sendUntil(func() bool { return time.Since(yes) > 6*drainGrace })
	assert.Zero(t, rig.workers[0].after(yes.Add(drainGrace)), "jobs came to a worker that an operator had taken out")
	assert.NotZero(t, rig.workers[1].after(yes.Add(drainGrace)), "the other worker got jobs meanwhile")
}

// The process that heard the call keeps to it by itself, and goes on doing so when the other has ended.
func TestTheProcessThatHeardTheCallSendsNothing(t *testing.T) {
	rig := newUpgradeRig(t, "s-1", "s-2")
	first := rig.start()
	second := rig.start()
	rig.sends(4, first, second)
	first.kill()
	require.Equal(t, 200, second.disable("s-1"))
	yes := time.Now()
	rig.sends(50, second)
	assert.Zero(t, rig.workers[0].after(yes.Add(drainGrace)))
}
