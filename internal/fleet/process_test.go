package fleet

import (
	"context"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
