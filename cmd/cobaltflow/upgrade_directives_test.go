package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/procfs"
)

// attemptsPerProcess is the number of attempts that each process makes after a directive changed, to show its effect.
const attemptsPerProcess = 60

func (i *instance) enable(worker string) int {
	return i.sendAdmin("POST", "/-/table-workers/"+worker+"/enable")
}

// countReady probes the clients' address the given number of times, each on a connection of its own, which the kernel gives
// to either process, and returns how many responses are ready.
func (h *upgradeHarness) countReady(times int) (ready int) {
	for range times {
		if isReady(h.listen) {
			ready++
		}
	}
	return ready
}

// assertNoJobs has the processes send jobs and checks that a worker got none later than drainGrace after its disable was
// confirmed.
func (h *upgradeHarness) assertNoJobs(worker int, confirmed time.Time, by ...*instance) {
	h.t.Helper()
	h.sendUntil(func() bool { return time.Since(confirmed) > drainGrace })
	h.sendAttempts(attemptsPerProcess, by...)
	assert.Zero(h.t, h.workers[worker].jobsAfter(confirmed.Add(drainGrace)), "%s got jobs", h.workers[worker].Name)
}

func TestDirectiveOfOneProcessIsInForceInBoth(t *testing.T) {
	t.Run("disable at the new process, while both serve", func(t *testing.T) {
		h := newUpgradeHarness(t, "s-1", "s-2")
		old, fresh := h.start(), h.start()
		h.sendAttempts(4, old, fresh)
		require.Equal(t, 200, fresh.disable("s-1"))
		h.assertNoJobs(0, time.Now(), old, fresh)
	})
	t.Run("disable at the old process once the new one is ready, and after it has ended", func(t *testing.T) {
		h := newUpgradeHarness(t, "s-1", "s-2")
		old, fresh := h.start(), h.start()
		h.sendAttempts(4, old, fresh)
		require.Equal(t, 200, old.disable("s-1"))
		confirmed := time.Now()
		h.assertNoJobs(0, confirmed, old, fresh)
		old.terminate()
		old.cmd.Wait()
		h.assertNoJobs(0, confirmed, fresh)
	})
	t.Run("one worker at the old process, another at the new one, then a third process", func(t *testing.T) {
		h := newUpgradeHarness(t, "s-1", "s-2", "s-3")
		old, fresh := h.start(), h.start()
		require.Equal(t, 200, old.disable("s-1"))
		require.Equal(t, 200, fresh.disable("s-2"))
		confirmed := time.Now()
		old.terminate()
		old.cmd.Wait()
		third := h.start()
		fresh.terminate()
		fresh.cmd.Wait()
		h.assertNoJobs(0, confirmed, third)
		h.assertNoJobs(1, confirmed, third)
	})
	t.Run("disable at the old process, enable at the new one, then a third process", func(t *testing.T) {
		h := newUpgradeHarness(t, "s-1", "s-2")
		old, fresh := h.start(), h.start()
		require.Equal(t, 200, old.disable("s-1"))
		require.Equal(t, 200, fresh.enable("s-1"))
		enabled := time.Now()
		old.terminate()
		old.cmd.Wait()
		third := h.start()
		fresh.terminate()
		fresh.cmd.Wait()
		h.sendAttempts(attemptsPerProcess, third)
		assert.NotZero(t, h.workers[0].jobsAfter(enabled), "the worker was enabled last")
	})
	t.Run("disable, a kill right after the confirmation, and a restart", func(t *testing.T) {
		h := newUpgradeHarness(t, "s-1", "s-2")
		only := h.start()
		for range 5 {
			require.Equal(t, 200, only.disable("s-1"))
			confirmed := time.Now()
			only.kill()
			only = h.start()
			h.assertNoJobs(0, confirmed, only)
			require.Equal(t, 200, only.enable("s-1"))
		}
	})
	t.Run("the directory is missing during a disable", func(t *testing.T) {
		h := newUpgradeHarness(t, "s-1", "s-2")
		only := h.start()
		away := filepath.Join(t.TempDir(), "away")
		require.NoError(t, os.Rename(h.stateDir, away))
		requested := time.Now()
		require.Equal(t, 503, only.disable("s-1"), "a change that a crash would lose must not be confirmed")
		h.assertNoJobs(0, requested.Add(time.Second), only)
		require.NoError(t, os.Rename(away, h.stateDir))
		eventually(t, func() bool { return only.logged("directory available again") })
		require.Equal(t, 200, only.disable("s-1"))
		confirmed := time.Now()
		only.kill()
		h.assertNoJobs(0, confirmed, h.start())
	})
	t.Run("drain at the old process, resume at the new one", func(t *testing.T) {
		const times = 20
		h := newUpgradeHarness(t, "s-1")
		old, fresh := h.start(), h.start()
		require.Equal(t, 200, old.sendAdmin("POST", "/-/drain"))
		assert.Zero(t, h.countReady(times), "readiness after a drain")
		require.Equal(t, 200, fresh.sendAdmin("POST", "/-/resume"))
		assert.Equal(t, times, h.countReady(times), "readiness after the resume")
	})
	t.Run("drain, then an upgrade", func(t *testing.T) {
		h := newUpgradeHarness(t, "s-1")
		old := h.start()
		require.Equal(t, 200, old.sendAdmin("POST", "/-/drain"))
		fresh := h.launch()
		eventually(t, func() bool { return fresh.sendAdmin("GET", "/-/ready") != 0 })
		eventually(t, func() bool { return fresh.logged("admin: serves") })
		assert.Zero(t, h.countReady(20), "readiness after a drain")
		old.terminate()
		old.cmd.Wait()
		assert.Equal(t, 503, fresh.sendAdmin("GET", "/-/ready"))
		require.Equal(t, 200, fresh.sendAdmin("POST", "/-/resume"))
		assert.Equal(t, 200, fresh.sendAdmin("GET", "/-/ready"))
	})
	t.Run("resume while the old process ends", func(t *testing.T) {
		h := newUpgradeHarness(t, "s-1")
		old, fresh := h.start(), h.start()
		require.Equal(t, 200, old.sendAdmin("POST", "/-/drain"))
		old.terminate()
		eventually(t, func() bool { return old.logged("a successor serves") })
		require.Equal(t, 200, fresh.sendAdmin("POST", "/-/resume"))
		assert.Equal(t, 503, old.sendAdmin("GET", "/-/ready"), "the old process must not accept clients again")
		assert.Equal(t, 200, fresh.sendAdmin("GET", "/-/ready"))
	})
}

// A process that starts while the directory is missing sends no job to a disabled worker.
//
// Guards against a fault found by soak seed 3005: an upgrade began while the directory was missing for 1 s. The new processes
// could not read it, listened at once without any directive (generation=00000000 in the log), and sent jobs to disabled
// workers until the directory was back, about 0.5 s later.
func TestProcessStartedWithoutTheDirectorySendsNoJobToADisabledWorker(t *testing.T) {
	const missingFor = 6 * drainGrace
	t.Run("beside the old process", func(t *testing.T) {
		h := newUpgradeHarness(t, "s-1", "s-2")
		old := h.start()
		require.Equal(t, 200, old.disable("s-1"))
		confirmed := time.Now()
		restore := h.hideStateDir()
		fresh := h.launch()
		h.sendUntil(func() bool { return time.Since(confirmed) > missingFor })
		restore()
		eventually(t, func() bool { return fresh.sendAdmin("GET", "/-/ready") == 200 })
		h.assertNoJobs(0, confirmed, old, fresh)
		assert.NotZero(t, h.workers[1].jobsAfter(confirmed), "clients are served meanwhile")
	})
	t.Run("alone, after a kill", func(t *testing.T) {
		h := newUpgradeHarness(t, "s-1", "s-2")
		old := h.start()
		require.Equal(t, 200, old.disable("s-1"))
		confirmed := time.Now()
		old.kill()
		restore := h.hideStateDir()
		fresh := h.launch()
		h.sendUntil(func() bool { return time.Since(confirmed) > missingFor })
		restore()
		eventually(t, func() bool { return fresh.sendAdmin("GET", "/-/ready") == 200 })
		h.assertNoJobs(0, confirmed, fresh)
	})
}

// The directory is emptied while the old process stands still, and a new one starts: both find each other, and the old one
// hands over to the new one.
func TestUpgradeInAnEmptiedDirectory(t *testing.T) {
	h := newUpgradeHarness(t, "s-1", "s-2")
	old := h.start()
	require.NoError(t, old.cmd.Process.Signal(syscall.SIGSTOP))
	dirs, err := filepath.Glob(filepath.Join(h.stateDir, "cobaltflow-directives-*"))
	require.NoError(t, err)
	require.Len(t, dirs, 1)
	require.NoError(t, os.RemoveAll(dirs[0]))
	fresh := h.launch()
	eventually(t, func() bool { return fresh.sendAdmin("GET", "/-/ready") == 200 })
	require.NoError(t, old.cmd.Process.Signal(syscall.SIGCONT))
	eventually(t, func() bool { return old.logged("alive=1") && fresh.logged("alive=1") })
	require.Equal(t, 200, fresh.disable("s-1"))
	h.assertNoJobs(0, time.Now(), old, fresh)
	old.terminate()
	old.cmd.Wait()
	assert.True(t, old.logged("a successor serves"))
	assert.False(t, fresh.logged("successor=true"))
}

// Callbacks reach the process that has their job, whichever process the kernel gives them to, during consecutive upgrades.
// Until two processes know of each other, for at most 50 ms, a callback is refused and has to be repeated.
func TestCallbacksReachTheirProcessDuringUpgrades(t *testing.T) {
	jobs := 1500
	if override, err := strconv.Atoi(os.Getenv("CALLBACKS")); err == nil {
		jobs = override
	}
	h := newUpgradeHarness(t, "s-1", "s-2")
	h.callbackAttempts = 10 // as in the protocol
	old := h.start()
	for h.jobsSent.Load() < int64(jobs) {
		fresh := h.start()
		h.sendAttempts(jobs/16, old, fresh)
		old.terminate()
		ended := make(chan struct{})
		go func() {
			old.cmd.Wait()
			close(ended)
		}()
		h.sendUntil(func() bool {
			select {
			case <-ended:
				return true
			default:
				return false
			}
		})
		old = fresh
	}
	t.Log("jobs", h.jobsSent.Load(), "refused", h.refusedCallbacks.Load(), "lost", h.lostCallbacks.Load())
	assert.Zero(t, h.lostCallbacks.Load(), "callbacks that no process accepted")
}

// hideStateDir moves the state directory away until restore is called.
func (h *upgradeHarness) hideStateDir() (restore func()) {
	away := filepath.Join(h.t.TempDir(), "away")
	require.NoError(h.t, os.Rename(h.stateDir, away))
	return func() { require.NoError(h.t, os.Rename(away, h.stateDir)) }
}

// A process serves even if the directory stays missing.
func TestProcessServesWithoutTheDirectory(t *testing.T) {
	h := newUpgradeHarness(t, "s-1")
	restore := h.hideStateDir()
	defer restore()
	only := h.start()
	h.sendAttempts(4, only)
	assert.Equal(t, 503, only.disable("s-1"))
}

// Guards against an operator's call that is forgotten in an upgrade: it comes to the old process while the directory is away, is in
// force there and answered 503, and the process has nothing left to do but to end. It waits for the directory, and the new
// process hears of the call.
func TestProcessEndsOnlyWithItsDirectivesWritten(t *testing.T) {
	const awayAfterSIGTERM = 1500 * time.Millisecond // longer than an idle process takes to end
	h := newUpgradeHarness(t, "s-1", "s-2")
	old, fresh := h.start(), h.start()
	h.sendAttempts(4, old, fresh)
	restore := h.hideStateDir()
	require.Equal(t, 503, old.disable("s-1"))
	old.terminate()
	terminated := time.Now()
	ended := make(chan struct{})
	go func() {
		old.cmd.Wait()
		close(ended)
	}()
	time.Sleep(awayAfterSIGTERM)
	restore()
	restored := time.Now()
	select {
	case <-ended:
	case <-time.After(earliestKill - time.Since(terminated)):
		t.Error("the old process has not ended by itself")
	}
	assert.False(t, old.logged("could not write"))
	eventually(t, func() bool { return fresh.logged("adopted from another process") })
	h.assertNoJobs(0, restored, fresh)
}

// Guards against the same where the directory stays away until the old process has ended: the new one has heard of the call by then.
func TestSuccessorHearsOfDirectivesWhileTheDirectoryIsAway(t *testing.T) {
	h := newUpgradeHarness(t, "s-1", "s-2")
	old, fresh := h.start(), h.start()
	h.sendAttempts(4, old, fresh)
	restore := h.hideStateDir()
	require.Equal(t, 503, old.disable("s-1"), "a change that a crash would lose must not be confirmed")
	eventually(t, func() bool { return fresh.logged("adopted from another process") })
	adopted := time.Now()
	old.terminate()
	old.cmd.Wait()
	h.assertNoJobs(0, adopted, fresh)
	restore()
	eventually(t, func() bool { return fresh.logged("directory available again") })
	require.Equal(t, 200, fresh.disable("s-2"))
	fresh.kill()
	restarted := h.start()
	h.sendUntil(func() bool { return time.Since(adopted) > 2*drainGrace })
	assert.Zero(t, h.workers[0].jobsAfter(adopted.Add(drainGrace)), "it is kept for later processes")
	restarted.kill()
}

// A second upgrade begins before the first has ended: the directives of each of the three processes are in force in all.
func TestSecondUpgradeBeforeTheFirstHasEnded(t *testing.T) {
	h := newUpgradeHarness(t, "s-1", "s-2", "s-3", "s-4")
	all := []*instance{h.start(), h.start(), h.start()}
	all[0].terminate()
	eventually(t, func() bool { return all[0].logged("a successor serves") })
	for i, process := range all {
		require.Equal(t, 200, process.disable(h.workers[i].Name))
	}
	confirmed := time.Now()
	all[1].terminate()
	eventually(t, func() bool { return all[1].logged("a successor serves") })
	for i := range all {
		h.assertNoJobs(i, confirmed, all[2])
	}
	require.Equal(t, 200, all[2].enable("s-1"))
	enabled := time.Now()
	h.sendAttempts(attemptsPerProcess, all[2])
	assert.NotZero(t, h.workers[0].jobsAfter(enabled))
}

// A process whose successor failed to start shuts down like one without a successor.
func TestProcessThatCannotServeIsNoSuccessor(t *testing.T) {
	h := newUpgradeHarness(t, "s-1")
	old := h.start()
	failed := h.launchAt(old.admin + "0") // invalid address
	failed.cmd.Wait()
	old.terminate()
	old.cmd.Wait()
	assert.False(t, old.logged("a successor serves"))
}

// A process that is told to end in the moment in which its successor is ready hands over to it.
func TestSuccessorIsFoundOnceItIsReady(t *testing.T) {
	for range 20 {
		h := newUpgradeHarness(t, "s-1")
		old, fresh := h.start(), h.launch()
		busyWait(t, func() bool { return fresh.sendAdmin("GET", "/-/ready") == 200 })
		old.terminate()
		eventually(t, func() bool { return old.logged("stopping") })
		assert.True(t, old.logged("a successor serves"))
		old.kill()
		fresh.kill()
	}
}

// Disabled workers that an older version of the program stored, one name a line, stay disabled. Once imported they can be
// enabled, which persists.
func TestDirectivesOfAnOlderVersionAreImported(t *testing.T) {
	h := newUpgradeHarness(t, "s-1", "s-2")
	legacyFile := filepath.Join(h.stateDir, "cobaltflow-held-n1-"+fileName(h.listen))
	require.NoError(t, os.WriteFile(legacyFile, []byte("s-1\n"), 0o600))
	only := h.start()
	h.assertNoJobs(0, time.Now().Add(-drainGrace), only)
	require.Equal(t, 200, only.enable("s-1"))
	enabled := time.Now()
	only.kill()
	only = h.start()
	h.sendAttempts(attemptsPerProcess, only)
	assert.NotZero(t, h.workers[0].jobsAfter(enabled))
}

// Disabled workers that an older version stored are in force also in a process that can't write its own file. Guards against
// a process that took nothing over after the first failed write.
func TestDirectivesOfAnOlderVersionAreImportedWithoutWriting(t *testing.T) {
	const stored = 30 // their file exceeds the limit below
	var names []string
	for i := range stored + 2 {
		names = append(names, fmt.Sprintf("s-%02d", i))
	}
	h := newUpgradeHarness(t, names...)
	only := h.start()
	for _, name := range names[:stored] {
		require.Equal(t, 200, only.disable(name))
	}
	only.kill()
	legacyFile := filepath.Join(h.stateDir, "cobaltflow-held-n1-"+fileName(h.listen))
	require.NoError(t, os.WriteFile(legacyFile, []byte(names[stored]+"\n"), 0o600))
	h.limitFileSize(1)
	only = h.start()
	require.True(t, only.logged("file too large"))
	h.assertNoJobs(stored, time.Now().Add(-drainGrace), only)
	assert.FileExists(t, legacyFile, "kept until its workers are in the directory")
}

// limitFileSize lets the processes that are started later fail to write files over a number of blocks (of 512 or 1,024 bytes),
// as on a full disk.
func (h *upgradeHarness) limitFileSize(blocks int) {
	script := filepath.Join(h.t.TempDir(), "limited")
	require.NoError(h.t, os.WriteFile(script, fmt.Appendf(nil, "#!/bin/sh\nulimit -f %d\nexec %s \"$@\"\n", blocks, h.binary), 0o700))
	h.binary = script
}

// A process that can write nothing, as on a full disk, registers all the same: it goes by what the other one has written, does
// not wait, and counts as a process. Guards against a process that made 64 lock files at each poll.
func TestProcessOnAFullDiskRegisters(t *testing.T) {
	h := newUpgradeHarness(t, "s-1", "s-2")
	old := h.start()
	require.Equal(t, 200, old.disable("s-1"))
	confirmed := time.Now()
	h.limitFileSize(0)
	launched := time.Now()
	fresh := h.start()
	assert.Less(t, time.Since(launched), 3*time.Second, "a process that can't write does not wait")
	eventually(t, func() bool { return old.logged("alive=1") && fresh.logged("alive=1") })
	h.assertNoJobs(0, confirmed, old, fresh)
	locks, err := filepath.Glob(filepath.Join(h.stateDir, "cobaltflow-directives-*", "*.lock"))
	require.NoError(t, err)
	assert.Len(t, locks, 2)
}

// descriptors returns the number of open file descriptors of the process; 0: it has ended.
func (i *instance) descriptors() int {
	n, _ := procfs.Descriptors(i.cmd.Process.Pid)
	return n
}

// The processes of a scheduler share its limit on descriptors. With a successor each keeps to a part of it, however many idle
// clients connect; alone again a process may use the whole.
func TestTwoProcessesShareTheLimitOnDescriptors(t *testing.T) {
	h := newUpgradeHarness(t, "s-1")
	old := h.start()
	disconnect := connectIdleClients(t, h.listen)
	eventually(t, func() bool { return old.descriptors() > maxSockets/2 })
	alone := old.descriptors()
	fresh := h.start()
	eventually(t, func() bool { return old.logged("alive=1") && old.descriptors()+fresh.descriptors() <= maxSockets })
	for range 50 {
		assert.LessOrEqual(t, old.descriptors()+fresh.descriptors(), maxSockets)
		require.Equal(t, 200, fresh.sendAdmin("GET", "/-/ready"))
	}
	old.kill()
	eventually(t, func() bool { return fresh.descriptors() >= alone*9/10 })
	assert.LessOrEqual(t, fresh.descriptors(), maxSockets)
	disconnect()
}

// SIGHUP to one process of a scheduler makes the others reload their configuration too, once each.
func TestReloadInOneProcessReloadsAll(t *testing.T) {
	h := newUpgradeHarness(t, "s-1")
	all := []*instance{h.start(), h.start()}
	const reloaded = "reload: taken over"
	for i, process := range all {
		require.NoError(t, process.cmd.Process.Signal(syscall.SIGHUP))
		eventually(t, func() bool { return all[0].countLogged(reloaded) == i+1 && all[1].countLogged(reloaded) == i+1 })
	}
	require.Equal(t, 200, all[0].disable("s-1"), "the earlier changes have reached both processes")
	for _, process := range all {
		assert.Equal(t, 2, process.countLogged(reloaded))
	}
	third := h.start()
	assert.Zero(t, third.countLogged(reloaded))
}

// A process that waits for the directory at its start carries out the reload that another process was asked for meanwhile.
// Guards against a process that goes on with the configuration that it read before the wait.
func TestReloadReachesAProcessThatWaitsForTheDirectory(t *testing.T) {
	const reloaded = "reload: taken over"
	h := newUpgradeHarness(t, "s-1")
	old := h.start()
	restore := h.hideStateDir()
	fresh := h.launch()
	eventually(t, func() bool { return fresh.logged("directory unavailable") })
	require.NoError(t, old.cmd.Process.Signal(syscall.SIGHUP))
	eventually(t, func() bool { return old.logged(reloaded) })
	restore()
	eventually(t, func() bool { return fresh.sendAdmin("GET", "/-/ready") == 200 })
	require.Equal(t, 200, fresh.disable("s-1"), "the earlier changes have reached both processes")
	eventually(t, func() bool { return fresh.logged(reloaded) })
	assert.Equal(t, 1, fresh.countLogged(reloaded))
}

// A process survives SIGHUP before it has read its configuration.
func TestSIGHUPDuringStart(t *testing.T) {
	h := newUpgradeHarness(t, "s-1")
	var all []*instance
	for range 10 {
		i := h.launch()
		busyWait(t, i.handlesSIGHUP)
		require.NoError(t, i.cmd.Process.Signal(syscall.SIGHUP))
		all = append(all, i)
	}
	for _, i := range all {
		eventually(t, func() bool { return i.sendAdmin("GET", "/-/ready") == 200 })
	}
}

// handlesSIGHUP reports whether the process has replaced its shell, and ignores or handles the signal.
func (i *instance) handlesSIGHUP() bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil || !strings.HasPrefix(string(status), "Name:\tcobaltflow\n") {
		return false
	}
	for _, key := range []string{"SigIgn:\t", "SigCgt:\t"} {
		_, text, _ := strings.Cut(string(status), key)
		var mask uint64
		fmt.Sscanf(text, "%x", &mask)
		if mask&(1<<(uint(syscall.SIGHUP)-1)) != 0 {
			return true
		}
	}
	return false
}

// busyWait waits for a condition without a pause between checks.
func busyWait(t *testing.T, f func() bool) {
	for end := time.Now().Add(testTimeout); !f(); {
		require.True(t, time.Now().Before(end), "the condition did not become true")
	}
}
