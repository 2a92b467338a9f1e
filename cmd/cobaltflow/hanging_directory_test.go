package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A shutdown begins although the state directory hangs: a later process is alive and its set file can't be read. Guards against
// a process that takes no step of its shutdown until it is killed.
func TestShutdownBeginsWhileTheDirectoryHangs(t *testing.T) {
	h := newUpgradeHarness(t, "s-1")
	old := h.start()
	dirs, err := filepath.Glob(filepath.Join(h.stateDir, "cobaltflow-directives-*"))
	require.NoError(t, err)
	require.Len(t, dirs, 1)
	require.NoError(t, syscall.Mkfifo(filepath.Join(dirs[0], "00000099.set"), 0o600))
	lock, err := os.Create(filepath.Join(dirs[0], "00000099.lock"))
	require.NoError(t, err)
	defer lock.Close()
	require.NoError(t, syscall.Flock(int(lock.Fd()), syscall.LOCK_EX))
	require.NoError(t, old.cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(3 * time.Second)
	assert.True(t, old.logged("msg=stopping"))
}
