package replica

import (
	"bytes"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/directive"
)

const testTimeout = 10 * time.Second

var workerA, workerB = directive.WorkerDisabled("s-a"), directive.WorkerDisabled("s-b")

// process is one scheduler process's Replica, with its log and the state passed to its callbacks.
type process struct {
	*Replica
	t     *testing.T
	mu    sync.Mutex
	log   bytes.Buffer
	force map[directive.Key]bool // as passed to Apply
	seen  OtherProcesses         // as passed to OnProcessesChanged
}

func (p *process) sees(o OtherProcesses) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen == o
}

func (p *process) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(line)
}

func (p *process) logged(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Contains(p.log.Bytes(), []byte(text))
}

func (p *process) inForce(key directive.Key) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.force[key]
}

// open opens a process's replica without running it.
func open(t *testing.T, dir string, fileSystem FileSystem) *process {
	p := &process{t: t, force: map[directive.Key]bool{}}
	var err error
	p.Replica, err = Open(Options{Dir: dir, FileSystem: fileSystem, Log: slog.New(slog.NewTextHandler(p, nil)),
		Apply: func(entries []directive.Entry) {
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, e := range entries {
				p.force[e.Key] = e.On
			}
		}, OnProcessesChanged: func(o OtherProcesses) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.seen = o
		}})
	if fileSystem == nil {
		require.NoError(t, err)
	}
	for _, e := range p.Active() {
		p.force[e.Key] = true
	}
	return p
}

// start opens a process's replica and runs it until the test ends.
func start(t *testing.T, dir string, fileSystem FileSystem) *process {
	p := open(t, dir, fileSystem)
	p.Run()
	t.Cleanup(func() {
		select {
		case <-p.stop:
		default:
			p.Close()
		}
	})
	return p
}

// kill simulates a crash: the files stay, and the kernel releases the lock.
func (p *process) kill() {
	close(p.stop)
	p.stopped.Wait()
	p.lock.Unlock()
}

// change sets a directive and returns the result.
func (p *process) change(key directive.Key, on bool, within time.Duration) error {
	answer := make(chan error, 1)
	p.Change(key, on, within, func(err error) { answer <- err })
	select {
	case err := <-answer:
		return err
	case <-time.After(testTimeout):
		p.t.Fatal("no answer")
		return nil
	}
}

func testDir(t *testing.T) string { return filepath.Join(t.TempDir(), "directives") }

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, testTimeout, time.Millisecond)
}

func TestChangeIsInForceInAllProcessesOnceAnswered(t *testing.T) {
	dir := testDir(t)
	all := []*process{start(t, dir, nil), start(t, dir, nil), start(t, dir, nil)}
	for i := range 12 {
		key, on := directive.WorkerDisabled(strconv.Itoa(i%2)), i/2%2 == 0
		require.NoError(t, all[i%3].change(key, on, testTimeout))
		for n, p := range all {
			assert.Equal(t, on, p.inForce(key), "process %d after change %d", n, i)
		}
	}
}

func TestEachProcessPersistsChangesOfTheOthers(t *testing.T) {
	dir := testDir(t)
	old, fresh := start(t, dir, nil), start(t, dir, nil)
	require.NoError(t, old.change(workerA, true, testTimeout))
	require.NoError(t, fresh.change(workerB, true, testTimeout))
	old.kill()
	fresh.kill()
	third := start(t, dir, nil)
	assert.True(t, third.inForce(workerA))
	assert.True(t, third.inForce(workerB))
}

func TestDirectiveTurnedOffInAnotherProcessStaysOff(t *testing.T) {
	dir := testDir(t)
	old, fresh := start(t, dir, nil), start(t, dir, nil)
	require.NoError(t, old.change(workerA, true, testTimeout))
	require.NoError(t, fresh.change(workerA, false, testTimeout))
	third := start(t, dir, nil)
	assert.False(t, third.inForce(workerA))
	old.kill()
	fresh.kill()
	third.kill()
	assert.False(t, start(t, dir, nil).inForce(workerA))
}

// A change waits for a process that has joined but does not poll yet, and fails with ErrNotConfirmed at its deadline.
func TestChangeWaitsForAProcessThatDoesNotPoll(t *testing.T) {
	dir := testDir(t)
	p, stopped := start(t, dir, nil), open(t, dir, nil)
	assert.ErrorIs(t, p.change(workerA, true, 30*time.Millisecond), ErrNotConfirmed)
	assert.True(t, p.inForce(workerA), "in force in this process")
	answer := make(chan error, 1)
	p.Change(workerB, true, testTimeout, func(err error) { answer <- err })
	eventually(t, func() bool { return p.inForce(workerB) })
	stopped.Run()
	assert.NoError(t, <-answer)
	assert.True(t, stopped.inForce(workerA))
	assert.True(t, stopped.inForce(workerB))
	stopped.kill()
	assert.NoError(t, p.change(workerA, false, testTimeout), "a process that has ended need not confirm")
}

// faultyFileSystem fails calls while a fault is set for them, and counts all calls by name.
type faultyFileSystem struct {
	OSFileSystem
	mu     sync.Mutex
	faults map[string]error
	half   bool // a failed Replace leaves half of the text in the temporary file
	counts map[string]int
}

func (f *faultyFileSystem) set(faults map[string]error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *faultyFileSystem) called(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[string]int{}
	}
	f.counts[name]++
	return f.faults[name]
}

func (f *faultyFileSystem) calls() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts)
}

func (f *faultyFileSystem) Mkdir(path string) error {
	if err := f.called("mkdir"); err != nil {
		return err
	}
	return f.OSFileSystem.Mkdir(path)
}

func (f *faultyFileSystem) List(path string) ([]string, error) {
	if err := f.called("list"); err != nil {
		return nil, err
	}
	return f.OSFileSystem.List(path)
}

func (f *faultyFileSystem) Read(path string) ([]byte, error) {
	if err := f.called("read"); err != nil {
		return nil, err
	}
	return f.OSFileSystem.Read(path)
}

func (f *faultyFileSystem) Replace(path string, text []byte) error {
	if err := f.called("replace"); err != nil {
		if f.half {
			os.WriteFile(path[:len(path)-len(setExtension)]+temporaryExtension, text[:len(text)/2], fileMode)
		}
		return err
	}
	return f.OSFileSystem.Replace(path, text)
}

func (f *faultyFileSystem) Lock(path string) (Lock, error) {
	if err := f.called("lock"); err != nil {
		return nil, err
	}
	return f.OSFileSystem.Lock(path)
}

// A failed write is retried, counted and logged, and the change does not succeed before it is written.
func TestFailedWriteIsRetriedAndNotConfirmed(t *testing.T) {
	for _, fault := range []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS} {
		t.Run(fault.Error(), func(t *testing.T) {
			dir, fileSystem := testDir(t), &faultyFileSystem{}
			p := start(t, dir, fileSystem)
			fileSystem.set(map[string]error{"replace": fault})
			assert.ErrorIs(t, p.change(workerA, true, 30*time.Millisecond), ErrNotPersisted)
			assert.True(t, p.inForce(workerA))
			assert.Positive(t, p.Failures())
			assert.True(t, p.logged(fault.Error()))
			answer := make(chan error, 1)
			p.Change(workerB, true, testTimeout, func(err error) { answer <- err })
			eventually(t, func() bool { return p.inForce(workerB) })
			assert.Empty(t, answer)
			fileSystem.set(nil)
			require.NoError(t, <-answer)
			eventually(t, func() bool { return p.logged("directory available again") })
			p.kill()
			after := start(t, dir, nil)
			assert.True(t, after.inForce(workerA), "the write of the failed change was retried")
			assert.True(t, after.inForce(workerB))
		})
	}
}

// Each file system call may fail for a while, from the start or later: the process goes on and recovers.
func TestRecoversFromFailingFileSystemCalls(t *testing.T) {
	for _, call := range []string{"mkdir", "list", "replace", "lock"} {
		t.Run(call+" from the start", func(t *testing.T) {
			fileSystem := &faultyFileSystem{faults: map[string]error{call: syscall.EIO}}
			p := start(t, testDir(t), fileSystem)
			assert.ErrorIs(t, p.change(workerA, true, 30*time.Millisecond), ErrNotPersisted)
			assert.True(t, p.inForce(workerA))
			fileSystem.set(nil)
			assert.NoError(t, p.change(workerA, true, testTimeout))
		})
	}
	for _, call := range []string{"list", "read"} {
		t.Run(call+" later", func(t *testing.T) {
			dir, fileSystem := testDir(t), &faultyFileSystem{}
			p, other := start(t, dir, fileSystem), start(t, dir, nil)
			require.NoError(t, other.change(workerB, true, testTimeout))
			fileSystem.set(map[string]error{call: syscall.EIO})
			require.ErrorIs(t, other.change(workerB, false, 30*time.Millisecond), ErrNotConfirmed)
			assert.Error(t, p.change(workerA, true, 30*time.Millisecond), "the other process's file can't be read")
			fileSystem.set(nil)
			assert.NoError(t, p.change(workerA, true, testTimeout))
			assert.True(t, other.inForce(workerA))
			assert.False(t, p.inForce(workerB))
		})
	}
}

// A process that can't write to the directory from the start adopts the other processes' directives nevertheless.
func TestProcessThatCannotWriteAdoptsWhatItCanRead(t *testing.T) {
	for _, call := range []string{"lock", "replace"} {
		t.Run(call, func(t *testing.T) {
			dir := testDir(t)
			require.NoError(t, start(t, dir, nil).change(workerA, true, testTimeout))
			p := start(t, dir, &faultyFileSystem{faults: map[string]error{call: syscall.ENOSPC}})
			assert.True(t, p.inForce(workerA))
		})
	}
}

// AwaitFirstScan waits no longer than the given time, and returns as soon as the directory can be read.
func TestAwaitFirstScanEndsWhenTheDirectoryIsAvailable(t *testing.T) {
	fileSystem := &faultyFileSystem{faults: map[string]error{"list": syscall.EIO}}
	p := open(t, testDir(t), fileSystem)
	assert.ErrorIs(t, p.AwaitFirstScan(30*time.Millisecond), syscall.EIO)
	time.AfterFunc(30*time.Millisecond, func() { fileSystem.set(nil) })
	assert.NoError(t, p.AwaitFirstScan(testTimeout))
	assert.Positive(t, p.Generation())
	p.lock.Unlock()
}

// The directory is moved away and back while a worker is disabled.
func TestDirectoryMissingForAWhile(t *testing.T) {
	parent := t.TempDir()
	state := filepath.Join(parent, "state")
	require.NoError(t, os.Mkdir(state, dirMode))
	p := start(t, filepath.Join(state, "directives"), nil)
	require.NoError(t, os.Rename(state, filepath.Join(parent, "away")))
	assert.ErrorIs(t, p.change(workerA, true, 30*time.Millisecond), ErrNotPersisted)
	require.NoError(t, os.Rename(filepath.Join(parent, "away"), state))
	require.NoError(t, p.change(workerB, true, testTimeout))
	p.kill()
	after := start(t, filepath.Join(state, "directives"), nil)
	assert.True(t, after.inForce(workerA))
	assert.True(t, after.inForce(workerB))
}

// Guards against a change that is forgotten, since the process that has it in force ends while the directory is missing: the
// other live process adopts it meanwhile, though it is not confirmed, and writes it when the directory is back.
func TestChangeOutlivesItsProcessWhileTheDirectoryIsMissing(t *testing.T) {
	parent := t.TempDir()
	state, away := filepath.Join(parent, "state"), filepath.Join(parent, "away")
	require.NoError(t, os.Mkdir(state, dirMode))
	dir := filepath.Join(state, "directives")
	old := start(t, dir, nil)
	fresh := start(t, dir, nil)
	require.NoError(t, old.change(workerB, true, testTimeout))
	require.NoError(t, os.Rename(state, away))
	assert.ErrorIs(t, old.change(workerA, true, 30*time.Millisecond), ErrNotPersisted)
	assert.ErrorIs(t, old.change(workerB, false, 30*time.Millisecond), ErrNotPersisted)
	eventually(t, func() bool { return fresh.inForce(workerA) && !fresh.inForce(workerB) })
	old.kill()
	require.NoError(t, os.Rename(away, state))
	require.NoError(t, fresh.change(directive.Drain, true, testTimeout))
	fresh.kill()
	after := start(t, dir, nil)
	assert.True(t, after.inForce(workerA))
	assert.False(t, after.inForce(workerB))
}

// Of two changes made while the directory is missing, the later one wins, whichever process made it.
//
// Guards against a fault found by soak seed 3005: the directory was missing for 1 s during an upgrade, and a worker was
// enabled at the old process at 55.007 s, then disabled at the new one at 55.309 s. Versions were one above the highest that the process had seen.
// The new process had seen none, so its later change got version 2, lost to version 6 of the earlier one, and the disabled
// worker was sent up to 34 attempts, also of class settle, although both changes had been confirmed.
func TestLaterChangeWinsWhileTheDirectoryIsMissing(t *testing.T) {
	for _, disabledLast := range []bool{true, false} {
		for _, freshLast := range []bool{true, false} {
			t.Run(fmt.Sprintf("disabled last %v, at the new process %v", disabledLast, freshLast), func(t *testing.T) {
				parent := t.TempDir()
				state, away := filepath.Join(parent, "state"), filepath.Join(parent, "away")
				require.NoError(t, os.Mkdir(state, dirMode))
				dir := filepath.Join(state, "directives")
				old := start(t, dir, nil)
				for range 5 {
					require.NoError(t, old.change(workerA, disabledLast, testTimeout))
					require.NoError(t, old.change(workerB, true, testTimeout))
				}
				require.NoError(t, os.Rename(state, away))
				fresh := start(t, dir, &faultyFileSystem{})
				earlier, later := old, fresh
				if !freshLast {
					earlier, later = fresh, old
				}
				assert.ErrorIs(t, earlier.change(workerA, !disabledLast, 30*time.Millisecond), ErrNotPersisted)
				assert.ErrorIs(t, later.change(workerA, disabledLast, 30*time.Millisecond), ErrNotPersisted)
				require.NoError(t, os.Rename(away, state))
				require.NoError(t, old.change(workerB, false, testTimeout))
				require.NoError(t, fresh.change(workerB, true, testTimeout))
				assert.Equal(t, disabledLast, old.inForce(workerA))
				assert.Equal(t, disabledLast, fresh.inForce(workerA))
			})
		}
	}
}

// The machine's clock starts anew at boot: a change made before the first scan nevertheless wins over a file of an earlier
// boot.
func TestChangeBeforeTheFirstScanWinsOverFilesOfAnEarlierBoot(t *testing.T) {
	for _, disabled := range []bool{true, false} {
		dir, fileSystem := testDir(t), &faultyFileSystem{faults: map[string]error{"list": syscall.EIO}}
		var set directive.Set
		_, err := set.Change(workerA, !disabled, 1<<62)
		require.NoError(t, err)
		require.NoError(t, os.Mkdir(dir, dirMode))
		require.NoError(t, os.WriteFile(filepath.Join(dir, "00000007.set"), encode(true, &set), fileMode))
		p := start(t, dir, fileSystem)
		require.ErrorIs(t, p.change(workerA, disabled, 30*time.Millisecond), ErrNotPersisted)
		fileSystem.set(nil)
		require.NoError(t, p.change(workerB, true, testTimeout))
		assert.Equal(t, disabled, p.inForce(workerA))
	}
}

func TestRemovedDirectoryIsRestored(t *testing.T) {
	dir := testDir(t)
	a, b := start(t, dir, nil), start(t, dir, nil)
	require.NoError(t, a.change(workerA, true, testTimeout))
	require.NoError(t, os.RemoveAll(dir))
	eventually(t, func() bool {
		names, _ := os.ReadDir(dir)
		return len(names) == 4 // a lock file and a set file for each process
	})
	require.NoError(t, b.change(workerB, true, testTimeout))
	a.kill()
	b.kill()
	after := start(t, dir, nil)
	assert.True(t, after.inForce(workerA))
	assert.True(t, after.inForce(workerB))
}

// A crash during a write leaves a partial temporary file: the previous set file stays valid, and the partial file is removed.
func TestPartialWriteIsIgnored(t *testing.T) {
	dir, fileSystem := testDir(t), &faultyFileSystem{half: true}
	p := start(t, dir, fileSystem)
	require.NoError(t, p.change(workerA, true, testTimeout))
	fileSystem.set(map[string]error{"replace": syscall.ENOSPC})
	require.ErrorIs(t, p.change(workerB, true, 20*time.Millisecond), ErrNotPersisted)
	p.kill()
	after := start(t, dir, nil)
	assert.True(t, after.inForce(workerA))
	assert.False(t, after.inForce(workerB), "the change had failed")
	eventually(t, func() bool {
		names, _ := os.ReadDir(dir)
		return len(names) == 2
	})
}

// Of a file that is truncated or corrupt anywhere, the valid lines are used and nothing else.
func TestCorruptFiles(t *testing.T) {
	var set directive.Set
	set.Change(workerA, true, 0)
	set.Change(directive.Drain, true, 0)
	set.Change(workerA, false, 0)
	set.Change(directive.WorkerDisabled("a \"name\"\nof two lines"), true, 0)
	text := encode(true, &set)
	whole, err := decode(text)
	require.NoError(t, err)
	assert.Equal(t, set.Entries(), whole.set.Entries())
	assert.True(t, whole.complete && whole.serving && whole.badLines == 0)
	for cut := range len(text) {
		if s, err := decode(text[:cut]); err == nil && cut < len(text)-1 {
			assert.False(t, s.complete, "cut at %d", cut)
			assert.LessOrEqual(t, s.badLines, 1)
			for _, e := range s.set.Entries() {
				assert.Equal(t, set.Entry(e.Key), e, "cut at %d", cut)
			}
		}
		corrupt := bytes.Clone(text)
		corrupt[cut] ^= 0x10
		if s, err := decode(corrupt); err == nil {
			for _, e := range s.set.Entries() {
				assert.Equal(t, set.Entry(e.Key), e, "corrupt at %d", cut)
			}
		}
	}
}

// The valid lines of a dead process's file are adopted if its last record is truncated, and the fault is logged.
func TestDeadProcessWithATruncatedLastRecord(t *testing.T) {
	dir := testDir(t)
	dead := start(t, dir, nil)
	require.NoError(t, dead.change(workerA, true, testTimeout))
	require.NoError(t, dead.change(workerB, true, testTimeout))
	dead.kill()
	path := dead.path(dead.generation, setExtension)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, text[:len(text)-len("00000000 end 2\n")-4], fileMode))
	after := start(t, dir, nil)
	assert.True(t, after.inForce(workerA))
	assert.False(t, after.inForce(workerB), "its record is truncated")
	assert.True(t, after.logged("corrupt lines"))
}

// A dead process's files are removed once another process holds its directives, even if its process ID was reused.
func TestFilesOfDeadProcessesAreRemoved(t *testing.T) {
	dir := testDir(t)
	dead := start(t, dir, nil)
	require.NoError(t, dead.change(workerA, true, testTimeout))
	dead.kill()
	require.NoError(t, os.WriteFile(dead.path(dead.generation, lockExtension), []byte(strconv.Itoa(os.Getppid())), fileMode))
	p := start(t, dir, nil)
	assert.True(t, p.inForce(workerA))
	require.NoError(t, p.change(workerB, true, 2*time.Second), "a dead process need not confirm")
	eventually(t, func() bool {
		_, err := os.Stat(dead.path(dead.generation, setExtension))
		return os.IsNotExist(err)
	})
	p.kill()
	assert.True(t, start(t, dir, nil).inForce(workerA))
}

// Guards against a race of a joining process, which has created its lock file but not locked it yet, with another that
// removes the files of dead processes: the joining process must end up with a lock file in the directory.
func TestProcessJoinsWhileOthersRemoveDeadFiles(t *testing.T) {
	dir := testDir(t)
	p := start(t, dir, nil)
	for range 30 {
		joining := open(t, dir, nil)
		names, err := os.ReadDir(dir)
		require.NoError(t, err)
		assert.Contains(t, fmt.Sprint(names), fmt.Sprintf("%08d%s", joining.generation, lockExtension))
		joining.lock.Unlock()
	}
	require.NoError(t, p.change(workerA, true, testTimeout))
}

// A file that another version of the program wrote in an unknown format is ignored and stays as it is.
func TestFileOfAnUnknownVersionIsKept(t *testing.T) {
	dir := testDir(t)
	require.NoError(t, os.Mkdir(dir, dirMode))
	path := filepath.Join(dir, "00000041.set")
	require.NoError(t, os.WriteFile(path, []byte("cobaltflow-directives 2\nwhatever\n"), fileMode))
	p := start(t, dir, nil)
	assert.Greater(t, p.Generation(), 41)
	require.NoError(t, p.change(workerA, true, testTimeout))
	assert.True(t, p.logged("file of unknown version ignored"))
	assert.FileExists(t, path)
}

func TestLimitOfActiveDirectives(t *testing.T) {
	dir := testDir(t)
	p := open(t, dir, nil)
	var keys []directive.Key
	for i := range directive.MaxOn {
		keys = append(keys, directive.WorkerDisabled(fmt.Sprintf("s-%08x", i)))
	}
	require.NoError(t, p.Import(keys))
	p.Run()
	assert.ErrorIs(t, p.change(workerA, true, testTimeout), directive.ErrFull)
	assert.False(t, p.inForce(workerA))
	p.kill()
	after := start(t, dir, nil)
	assert.Len(t, after.Active(), directive.MaxOn)
	require.NoError(t, after.change(keys[0], false, testTimeout))
	require.NoError(t, after.change(workerA, true, testTimeout))
}

func TestSuccessorIsALaterLiveProcessThatListens(t *testing.T) {
	dir := testDir(t)
	old := start(t, dir, nil)
	old.MarkServing()
	assert.False(t, old.HasSuccessor(), "no other process")
	fresh := start(t, dir, nil)
	assert.False(t, old.HasSuccessor(), "the later process does not listen yet")
	fresh.MarkServing()
	eventually(t, old.HasSuccessor)
	assert.False(t, fresh.HasSuccessor(), "an earlier process is no successor")
	fresh.kill()
	assert.False(t, old.HasSuccessor(), "the later process has ended")
	third := start(t, dir, nil)
	third.MarkServing()
	eventually(t, old.HasSuccessor)
	third.Close()
	assert.False(t, old.HasSuccessor())
}

// A process that listens is a successor as soon as it is announced, which its loop waits for. Guards against an earlier
// process that is told to end at that moment and finds no successor.
func TestSuccessorIsFoundOnceAnnounced(t *testing.T) {
	for range 50 {
		dir := testDir(t)
		old, fresh := open(t, dir, nil), open(t, dir, nil)
		fresh.MarkServing()
		fresh.Run()
		<-fresh.Announced()
		found := old.HasSuccessor()
		fresh.Close()
		old.lock.Unlock()
		require.True(t, found)
	}
}

// A process that registers again in an emptied directory, or for the first time long after its start, is neither taken for
// one that started later nor for the same one. Guards against a process that started in the emptied directory and took the
// generation that the other one still used: neither ever found the other.
func TestProcessThatRegistersLaterIsNoSuccessor(t *testing.T) {
	for name, faultFromStart := range map[string]bool{"again, in an emptied directory": false, "first after its start": true} {
		t.Run(name, func(t *testing.T) {
			dir, oldFiles := testDir(t), &faultyFileSystem{}
			unavailable := map[string]error{"list": syscall.EIO}
			if faultFromStart {
				oldFiles.set(unavailable)
			}
			old := open(t, dir, oldFiles)
			old.MarkServing()
			old.Run()
			t.Cleanup(old.Close)
			oldFiles.set(unavailable)
			require.Error(t, old.change(workerA, true, 10*time.Millisecond))
			require.NoError(t, os.RemoveAll(dir))
			fresh := open(t, dir, nil)
			fresh.MarkServing()
			fresh.Run()
			t.Cleanup(fresh.Close)
			oldFiles.set(nil)
			require.NoError(t, fresh.change(workerB, true, testTimeout))
			require.NoError(t, old.change(workerB, true, testTimeout))
			eventually(t, func() bool { return fresh.inForce(workerA) })
			assert.True(t, old.HasSuccessor())
			assert.False(t, fresh.HasSuccessor())
			for _, p := range []*process{old, fresh} {
				alone, err := p.IsAlone()
				assert.False(t, alone && err == nil)
			}
		})
	}
}

// OnProcessesChanged reports processes that start, begin to serve and end; a crash is detected by the released lock.
func TestProcessChangesAreReported(t *testing.T) {
	dir := testDir(t)
	old, fresh := start(t, dir, nil), start(t, dir, nil)
	eventually(t, func() bool { return old.sees(OtherProcesses{Alive: 1}) && fresh.sees(OtherProcesses{Alive: 1}) })
	fresh.MarkServing()
	eventually(t, func() bool { return old.sees(OtherProcesses{Alive: 1, HasSuccessor: true}) })
	third := start(t, dir, nil)
	eventually(t, func() bool {
		return old.sees(OtherProcesses{Alive: 2, HasSuccessor: true}) && fresh.sees(OtherProcesses{Alive: 2})
	})
	fresh.kill()
	eventually(t, func() bool { return old.sees(OtherProcesses{Alive: 1}) && third.sees(OtherProcesses{Alive: 1}) })
	third.kill()
	eventually(t, func() bool { return old.sees(OtherProcesses{}) })
}

// Close removes all files if no directive is on; otherwise the directives stay.
func TestCloseKeepsOnlyActiveDirectives(t *testing.T) {
	dir := testDir(t)
	p := start(t, dir, nil)
	require.NoError(t, p.change(workerA, true, testTimeout))
	p.Close()
	assert.DirExists(t, dir)
	p = start(t, dir, nil)
	require.True(t, p.inForce(workerA))
	require.NoError(t, p.change(workerA, false, testTimeout))
	other := start(t, dir, nil)
	p.Close()
	assert.False(t, other.inForce(workerA))
	other.Close()
	assert.NoDirExists(t, dir)
}

// A scan of a single idle process lists the directory and makes no other call.
func TestIdleScanIsOneCall(t *testing.T) {
	fileSystem := &faultyFileSystem{}
	p := start(t, testDir(t), fileSystem)
	require.NoError(t, p.change(workerA, true, testTimeout))
	before := fileSystem.calls()
	eventually(t, func() bool { return fileSystem.calls()["list"] >= before["list"]+5 })
	after := fileSystem.calls()
	for _, call := range []string{"mkdir", "read", "replace", "lock"} {
		assert.Equal(t, before[call], after[call], call)
	}
}

// Only the directory itself is created if missing: its parent belongs to the platform.
func TestParentOfTheDirectoryIsNotCreated(t *testing.T) {
	parent := filepath.Join(t.TempDir(), "missing")
	p := start(t, filepath.Join(parent, "directives"), &faultyFileSystem{})
	assert.ErrorIs(t, p.change(workerA, true, 20*time.Millisecond), ErrNotPersisted)
	_, err := os.Stat(parent)
	assert.ErrorIs(t, err, fs.ErrNotExist)
}

// IsAlone finds each other live process from the moment it is registered, before either process polls, and reports an error
// where a scan can't tell. Guards against a lost callback: a process that refuses one since it is alone must be alone.
func TestIsAloneFindsEveryRegisteredProcess(t *testing.T) {
	dir, fileSystem := testDir(t), &faultyFileSystem{}
	p := open(t, dir, fileSystem)
	isAlone := func() bool {
		alone, err := p.IsAlone()
		require.NoError(t, err)
		return alone
	}
	assert.True(t, isAlone(), "no other process")
	other := open(t, dir, nil)
	assert.False(t, isAlone(), "another process is registered")
	other.kill()
	assert.True(t, isAlone(), "the other process has ended, its files are still there")
	later := open(t, dir, nil)
	assert.False(t, isAlone())
	later.Close()
	assert.True(t, isAlone())
}

// A process that was started without the directory, or whose lock file was removed with it, listens without a lock. After such
// a failure a scan that finds no other process can't tell, until others have had the time to register.
func TestIsAloneCannotTellAfterAFailure(t *testing.T) {
	dir, fileSystem := testDir(t), &faultyFileSystem{}
	p := open(t, dir, fileSystem)
	alone, err := p.IsAlone()
	require.NoError(t, err)
	require.True(t, alone)
	lock := p.path(p.Generation(), lockExtension)
	for name, failure := range map[string]struct {
		begin, end func()
		want       error
	}{
		"the directory can't be read": {func() { fileSystem.set(map[string]error{"list": syscall.EIO}) }, func() { fileSystem.set(nil) }, syscall.EIO},
		"the own lock file is missing": {func() { require.NoError(t, os.Rename(lock, lock+".away")) },
			func() { require.NoError(t, os.Rename(lock+".away", lock)) }, errNotRegistered},
	} {
		failure.begin()
		_, err = p.IsAlone()
		assert.ErrorIs(t, err, failure.want, name)
		failure.end()
		_, err = p.IsAlone()
		assert.ErrorIs(t, err, errRecentFailure, name)
		eventually(t, func() bool { alone, err := p.IsAlone(); return alone && err == nil })
	}
	// A failure that only the polls have seen counts too.
	p.recordResult(syscall.ENOSPC)
	_, err = p.IsAlone()
	assert.ErrorIs(t, err, errRecentFailure)
}

// A failure while the process waits for the others at its start counts as well, though the process serves after it.
func TestIsAloneCannotTellAfterAFailureAtTheStart(t *testing.T) {
	dir, freshFiles := testDir(t), &faultyFileSystem{}
	stopped, fresh := open(t, dir, nil), open(t, dir, freshFiles)
	time.AfterFunc(50*time.Millisecond, func() { freshFiles.set(map[string]error{"list": syscall.EIO}) })
	require.NoError(t, fresh.AwaitFirstScan(150*time.Millisecond))
	_, err := freshFiles.List(dir)
	require.ErrorIs(t, err, syscall.EIO, "the wait ends with the directory unavailable")
	freshFiles.set(nil)
	stopped.lock.Unlock()
	alone, err := fresh.IsAlone()
	assert.ErrorIs(t, err, errRecentFailure)
	assert.False(t, alone)
}

// A process that could not read the directory at its start adopts what another one put in force meanwhile and writes only after
// the directory is back. Guards against an attempt for a disabled worker: the first scan found the directory back, and the
// other process's file as it was before.
func TestLateFirstScanAwaitsWhatOthersCouldNotWrite(t *testing.T) {
	dir, oldFiles, freshFiles := testDir(t), &faultyFileSystem{}, &faultyFileSystem{}
	old := start(t, dir, oldFiles)
	oldFiles.set(map[string]error{"replace": syscall.EIO})
	require.ErrorIs(t, old.change(workerA, true, 10*time.Millisecond), ErrNotPersisted)
	freshFiles.set(map[string]error{"list": syscall.EIO})
	fresh := open(t, dir, freshFiles)
	freshFiles.set(nil)
	time.AfterFunc(100*time.Millisecond, func() { oldFiles.set(nil) })
	require.NoError(t, fresh.AwaitFirstScan(testTimeout))
	require.Len(t, fresh.Active(), 1)
	assert.Equal(t, workerA, fresh.Active()[0].Key)
}

// Guards against an attempt for a disabled worker by a process that could read the directory from its start, before another
// process had written what it could not before.
func TestFirstScanAwaitsWhatOthersCouldNotWrite(t *testing.T) {
	dir, oldFiles := testDir(t), &faultyFileSystem{}
	old := start(t, dir, oldFiles)
	oldFiles.set(map[string]error{"replace": syscall.EIO})
	require.ErrorIs(t, old.change(workerA, true, 10*time.Millisecond), ErrNotPersisted)
	time.AfterFunc(100*time.Millisecond, func() { oldFiles.set(nil) })
	fresh := open(t, dir, nil)
	require.NoError(t, fresh.AwaitFirstScan(testTimeout))
	require.Len(t, fresh.Active(), 1)
	assert.Equal(t, workerA, fresh.Active()[0].Key)
}

// A process that does not write holds up the start of another one for the time that it may take, and no longer.
func TestLateFirstScanDoesNotWaitForeverForOthers(t *testing.T) {
	dir, oldFiles, freshFiles := testDir(t), &faultyFileSystem{}, &faultyFileSystem{}
	start(t, dir, oldFiles)
	oldFiles.set(map[string]error{"replace": syscall.EIO})
	freshFiles.set(map[string]error{"list": syscall.EIO})
	fresh := open(t, dir, freshFiles)
	freshFiles.set(nil)
	require.NoError(t, fresh.AwaitFirstScan(50*time.Millisecond))
}

// The first scan's processes are known before Run, and are not reported again.
func TestInitialProcessesAreKnownBeforeRun(t *testing.T) {
	dir := testDir(t)
	old := start(t, dir, nil)
	old.MarkServing()
	fresh := open(t, dir, nil)
	assert.Equal(t, OtherProcesses{Alive: 1}, fresh.InitialProcesses())
	assert.Equal(t, OtherProcesses{}, open(t, testDir(t), nil).InitialProcesses())
	fresh.Run()
	t.Cleanup(fresh.Close)
	require.NoError(t, fresh.change(workerA, true, testTimeout)) // several scans
	assert.True(t, fresh.sees(OtherProcesses{}), "reported again")
}

// The methods that other goroutines call are safe while the process registers again (run with -race).
func TestChecksDuringReregistration(t *testing.T) {
	dir := testDir(t)
	p := start(t, dir, nil)
	var checks sync.WaitGroup
	ended := make(chan struct{})
	for range 2 {
		checks.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				p.IsAlone()
				p.HasSuccessor()
				p.Generation()
				time.Sleep(time.Millisecond)
			}
		})
	}
	for range 3 {
		before := p.Generation()
		require.NoError(t, os.Remove(p.path(before, lockExtension)))
		eventually(t, func() bool { return p.Generation() > before })
	}
	close(ended)
	checks.Wait()
}
