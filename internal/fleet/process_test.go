package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/endpoints"
	"cobaltflow/internal/fleet/record"
)

// processState returns the state letter of a process (proc(5)): T while it is stopped.
func processState(t *testing.T, pid int) string {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	require.NoError(t, err)
	_, afterName, found := strings.Cut(string(text), ") ")
	require.True(t, found)
	return afterName[:1]
}

// An ending process is stopped and runs in turns, and exits when it is killed, also while it is stopped.
func TestStopsInTurns(t *testing.T) {
	s := &scheduler{}
	p := &process{cmd: exec.Command("sleep", "20"), exited: make(chan struct{}), terminated: true}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.cmd.Start())
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	s.startStops(p, 0)
	time.Sleep(50 * time.Millisecond)
	require.NotEqual(t, "T", processState(t, p.cmd.Process.Pid), "0 stops nothing")
	s.startStops(p, 60)
	changes, stopped := 0, false
	for start := time.Now(); time.Since(start) < 5*time.Second && changes < 6; time.Sleep(2 * time.Millisecond) {
		if now := processState(t, p.cmd.Process.Pid) == "T"; now != stopped {
			changes, stopped = changes+1, now
		}
	}
	require.Equal(t, 6, changes, "three times stopped and continued")
	s.signalTo(p, syscall.SIGKILL)
	select {
	case <-p.exited:
	case <-time.After(5 * time.Second):
		t.Fatal("the killed process did not exit")
	}
}

// A spawn waits for a spawner that is busy for long, and fails when the spawner has ended.
func TestSpawnWaitsForTheSpawner(t *testing.T) {
	h := &harness{spawnRequests: make(chan spawnRequest), spawnerEnded: make(chan struct{})}
	result := make(chan error, 1)
	go func() { result <- h.spawn(exec.Command("true")) }()
	select {
	case err := <-result:
		t.Fatal("it did not wait:", err)
	case <-time.After(6 * time.Second):
	}
	ctx, cancel := context.WithCancel(context.Background())
	go h.runSpawner(ctx)
	require.NoError(t, <-result)
	cancel()
	<-h.spawnerEnded
	require.Error(t, h.spawn(exec.Command("true")))
}

// An operator's call that a second process gets, as the first did not answer, counts from then. Guards against a disabling that was
// judged to be in force after a call to enable the worker had been made again.
func TestRepeatedOperatorCallCountsFromTheRepeat(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	answering := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer answering.Close()
	s := &scheduler{processes: []*process{{admin: netip.MustParseAddrPort(silent.Addr().String())},
		{admin: netip.MustParseAddrPort(answering.Listener.Addr().String())}}}
	h := &harness{recorder: endpoints.NewRecorder(), schedulers: []*scheduler{s}}
	s.harness = h
	firstIsSilent := func() *lockedRand { return &lockedRand{rng: rand.New(zeroSource{})} }
	worker := &endpoints.Worker{Name: "t000"}
	h.setWorkerDisabled(t.Context(), firstIsSilent(), s, worker, false)
	h.setWorkerDisabled(t.Context(), firstIsSilent(), s, worker, true)
	var backs, outs []record.Event
	for _, event := range h.recorder.Records().Events {
		switch event.Kind {
		case "back":
			backs = append(backs, event)
		case "out":
			outs = append(outs, event)
		}
	}
	require.Len(t, backs, 2, "one of each process")
	assert.GreaterOrEqual(t, backs[1].AtUS-backs[0].AtUS, adminCallTimeout.Microseconds())
	require.Len(t, outs, 1)
	assert.GreaterOrEqual(t, outs[0].CalledUS-backs[1].AtUS, adminCallTimeout.Microseconds())
}

// zeroSource is a random source that draws 0.
type zeroSource struct{}

func (zeroSource) Uint64() uint64 { return 0 }
