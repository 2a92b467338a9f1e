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

const patience = 10 * time.Second

var workerA, workerB = directive.WorkerDisabled("s-a"), directive.WorkerDisabled("s-b")

// process is a replica as a process of a scheduler has it, with what it was told to go by.
type process struct {
	*Replica
	t     *testing.T
	mu    sync.Mutex
	log   bytes.Buffer
	force map[directive.Key]bool
	seen  OtherProcesses
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

func open(t *testing.T, folder string, files FileSystem) *process {
	p := &process{t: t, force: map[directive.Key]bool{}}
	var err error
	p.Replica, err = Open(Options{Dir: folder, FileSystem: files, Log: slog.New(slog.NewTextHandler(p, nil)),
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
	if files == nil {
		require.NoError(t, err)
	}
	for _, e := range p.Active() {
		p.force[e.Key] = true
	}
	return p
}

// start opens a process's replica and runs it until the test ends.
func start(t *testing.T, folder string, files FileSystem) *process {
	p := open(t, folder, files)
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

// kill ends a process with no warning: its files stay, and the kernel lets its lock go.
func (p *process) kill() {
	close(p.stop)
	p.stopped.Wait()
	p.lock.Unlock()
}

func (p *process) change(key directive.Key, on bool, within time.Duration) error {
	answer := make(chan error, 1)
	p.Change(key, on, within, func(err error) { answer <- err })
	select {
	case err := <-answer:
		return err
	case <-time.After(patience):
		p.t.Fatal("no answer")
		return nil
	}
}

func folderOf(t *testing.T) string { return filepath.Join(t.TempDir(), "directives") }

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, patience, time.Millisecond)
}

func TestWhatOneProcessIsToldIsInForceInAllFromTheAnswer(t *testing.T) {
	folder := folderOf(t)
	all := []*process{start(t, folder, nil), start(t, folder, nil), start(t, folder, nil)}
	for i := range 12 {
		key, on := directive.WorkerDisabled(strconv.Itoa(i%2)), i/2%2 == 0
		require.NoError(t, all[i%3].change(key, on, patience))
		for n, p := range all {
			assert.Equal(t, on, p.inForce(key), "process %d after change %d", n, i)
		}
	}
}

func TestEachProcessKeepsWhatTheOthersWereTold(t *testing.T) {
	folder := folderOf(t)
	old, fresh := start(t, folder, nil), start(t, folder, nil)
	require.NoError(t, old.change(workerA, true, patience))
	require.NoError(t, fresh.change(workerB, true, patience))
	old.kill()
	fresh.kill()
	third := start(t, folder, nil)
	assert.True(t, third.inForce(workerA))
	assert.True(t, third.inForce(workerB))
}

func TestWhatWasCalledBackAtTheOtherProcessStaysBack(t *testing.T) {
	folder := folderOf(t)
	old, fresh := start(t, folder, nil), start(t, folder, nil)
	require.NoError(t, old.change(workerA, true, patience))
	require.NoError(t, fresh.change(workerA, false, patience))
	third := start(t, folder, nil)
	assert.False(t, third.inForce(workerA))
	old.kill()
	fresh.kill()
	third.kill()
	assert.False(t, start(t, folder, nil).inForce(workerA))
}

// A process that has joined and does not look is waited for, and the caller hears that it has not confirmed.
func TestAProcessThatDoesNotLookIsWaitedFor(t *testing.T) {
	folder := folderOf(t)
	p, stopped := start(t, folder, nil), open(t, folder, nil)
	assert.ErrorIs(t, p.change(workerA, true, 30*time.Millisecond), ErrNotConfirmed)
	assert.True(t, p.inForce(workerA), "in force all the same")
	answer := make(chan error, 1)
	p.Change(workerB, true, patience, func(err error) { answer <- err })
	eventually(t, func() bool { return p.inForce(workerB) })
	stopped.Run()
	assert.NoError(t, <-answer)
	assert.True(t, stopped.inForce(workerA))
	assert.True(t, stopped.inForce(workerB))
	stopped.kill()
	assert.NoError(t, p.change(workerA, false, patience), "one that has ended is not waited for")
}

// faultyFiles has calls fail as long as a fault is set, and counts all calls by name.
type faultyFiles struct {
	OSFileSystem
	mu     sync.Mutex
	faults map[string]error
	half   bool // a write that fails leaves half of its text in the temporary file
	counts map[string]int
}

func (f *faultyFiles) set(faults map[string]error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *faultyFiles) called(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[string]int{}
	}
	f.counts[name]++
	return f.faults[name]
}

func (f *faultyFiles) calls() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts)
}

func (f *faultyFiles) Mkdir(path string) error {
	if err := f.called("mkdir"); err != nil {
		return err
	}
	return f.OSFileSystem.Mkdir(path)
}

func (f *faultyFiles) List(path string) ([]string, error) {
	if err := f.called("list"); err != nil {
		return nil, err
	}
	return f.OSFileSystem.List(path)
}

func (f *faultyFiles) Read(path string) ([]byte, error) {
	if err := f.called("read"); err != nil {
		return nil, err
	}
	return f.OSFileSystem.Read(path)
}

func (f *faultyFiles) Replace(path string, text []byte) error {
	if err := f.called("replace"); err != nil {
		if f.half {
			os.WriteFile(path[:len(path)-len(setExtension)]+temporaryExtension, text[:len(text)/2], fileMode)
		}
		return err
	}
	return f.OSFileSystem.Replace(path, text)
}

func (f *faultyFiles) Lock(path string) (Lock, error) {
	if err := f.called("lock"); err != nil {
		return nil, err
	}
	return f.OSFileSystem.Lock(path)
}

// A write that fails is tried again, counted and logged; the caller has no yes before it has come through.
func TestAFailingWriteIsTriedAgainAndNotAnsweredWithYes(t *testing.T) {
	for _, fault := range []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS} {
		t.Run(fault.Error(), func(t *testing.T) {
			folder, files := folderOf(t), &faultyFiles{}
			p := start(t, folder, files)
			files.set(map[string]error{"replace": fault})
			assert.ErrorIs(t, p.change(workerA, true, 30*time.Millisecond), ErrNotPersisted)
			assert.True(t, p.inForce(workerA))
			assert.Positive(t, p.Failures())
			assert.True(t, p.logged(fault.Error()))
			answer := make(chan error, 1)
			p.Change(workerB, true, patience, func(err error) { answer <- err })
			eventually(t, func() bool { return p.inForce(workerB) })
			assert.Empty(t, answer)
			files.set(nil)
			require.NoError(t, <-answer)
			eventually(t, func() bool { return p.logged("can be used again") })
			p.kill()
			after := start(t, folder, nil)
			assert.True(t, after.inForce(workerA), "the change that was answered with no was tried on")
			assert.True(t, after.inForce(workerB))
		})
	}
}

// Each call to the folder may fail for a while, from the start or later: the process goes on, and comes back.
func TestAFolderThatFailsForAWhile(t *testing.T) {
	for _, call := range []string{"mkdir", "list", "replace", "lock"} {
		t.Run(call+" from the start", func(t *testing.T) {
			files := &faultyFiles{faults: map[string]error{call: syscall.EIO}}
			p := start(t, folderOf(t), files)
			assert.ErrorIs(t, p.change(workerA, true, 30*time.Millisecond), ErrNotPersisted)
			assert.True(t, p.inForce(workerA))
			files.set(nil)
			assert.NoError(t, p.change(workerA, true, patience))
		})
	}
	for _, call := range []string{"list", "read"} {
		t.Run(call+" later", func(t *testing.T) {
			folder, files := folderOf(t), &faultyFiles{}
			p, other := start(t, folder, files), start(t, folder, nil)
			require.NoError(t, other.change(workerB, true, patience))
			files.set(map[string]error{call: syscall.EIO})
			require.ErrorIs(t, other.change(workerB, false, 30*time.Millisecond), ErrNotConfirmed)
			assert.Error(t, p.change(workerA, true, 30*time.Millisecond), "what the other holds is not known")
			files.set(nil)
			assert.NoError(t, p.change(workerA, true, patience))
			assert.True(t, other.inForce(workerA))
			assert.False(t, p.inForce(workerB))
		})
	}
}

// A process that can't write to the folder from the start goes by what the others hold there all the same.
func TestAProcessThatCannotWriteTakesOverWhatItCanRead(t *testing.T) {
	for _, call := range []string{"lock", "replace"} {
		t.Run(call, func(t *testing.T) {
			folder := folderOf(t)
			require.NoError(t, start(t, folder, nil).change(workerA, true, patience))
			p := start(t, folder, &faultyFiles{faults: map[string]error{call: syscall.ENOSPC}})
			assert.True(t, p.inForce(workerA))
		})
	}
}

// A start waits for the folder no longer than it is told to, and ends the wait as soon as the folder can be read.
func TestAwaitEndsWithTheFoldersReturn(t *testing.T) {
	files := &faultyFiles{faults: map[string]error{"list": syscall.EIO}}
	p := open(t, folderOf(t), files)
	assert.ErrorIs(t, p.AwaitFirstScan(30*time.Millisecond), syscall.EIO)
	time.AfterFunc(30*time.Millisecond, func() { files.set(nil) })
	assert.NoError(t, p.AwaitFirstScan(patience))
	assert.Positive(t, p.Generation())
	p.lock.Unlock()
}

// The folder is moved away and back while a worker is taken out.
func TestAFolderThatIsAwayForAWhile(t *testing.T) {
	above := t.TempDir()
	state := filepath.Join(above, "state")
	require.NoError(t, os.Mkdir(state, dirMode))
	p := start(t, filepath.Join(state, "directives"), nil)
	require.NoError(t, os.Rename(state, filepath.Join(above, "away")))
	assert.ErrorIs(t, p.change(workerA, true, 30*time.Millisecond), ErrNotPersisted)
	require.NoError(t, os.Rename(filepath.Join(above, "away"), state))
	require.NoError(t, p.change(workerB, true, patience))
	p.kill()
	after := start(t, filepath.Join(state, "directives"), nil)
	assert.True(t, after.inForce(workerA))
	assert.True(t, after.inForce(workerB))
}

// Of calls made while the folder is away the last one stands, whichever process heard it.
//
// Seen: seed 3005 of the soak. The folder was away for a second, and an upgrade began meanwhile. A worker was let back at
// the old process, then taken out at the new one, and both were answered with yes when the folder had come back. Then the
// worker got up to 34 attempts, of settle too.
// Cause: a version was one over the highest that the process had seen. The new process had seen none, so its later call
// got a lower version than the earlier one, and lost.
// Proof: the log of the play: "changed key=worker/t005 on=false version=6 generation=1" at 55.007 s, "on=true version=2
// generation=0" at 55.309 s, then "taken over ... on=false version=6 from=1 generation=2", and yes to both.
func TestTheLastOfCallsWithoutTheFolderStands(t *testing.T) {
	for _, outLast := range []bool{true, false} {
		for _, freshLast := range []bool{true, false} {
			t.Run(fmt.Sprintf("out last %v, at the new process %v", outLast, freshLast), func(t *testing.T) {
				above := t.TempDir()
				state, away := filepath.Join(above, "state"), filepath.Join(above, "away")
				require.NoError(t, os.Mkdir(state, dirMode))
				folder := filepath.Join(state, "directives")
				old := start(t, folder, nil)
				for range 5 {
					require.NoError(t, old.change(workerA, outLast, patience))
					require.NoError(t, old.change(workerB, true, patience))
				}
				require.NoError(t, os.Rename(state, away))
				fresh := start(t, folder, &faultyFiles{})
				earlier, later := old, fresh
				if !freshLast {
					earlier, later = fresh, old
				}
				assert.ErrorIs(t, earlier.change(workerA, !outLast, 30*time.Millisecond), ErrNotPersisted)
				assert.ErrorIs(t, later.change(workerA, outLast, 30*time.Millisecond), ErrNotPersisted)
				require.NoError(t, os.Rename(away, state))
				require.NoError(t, old.change(workerB, false, patience))
				require.NoError(t, fresh.change(workerB, true, patience))
				assert.Equal(t, outLast, old.inForce(workerA))
				assert.Equal(t, outLast, fresh.inForce(workerA))
			})
		}
	}
}

// After a start of the machine its clock begins anew: a call made before the first look stands against an older file all
// the same.
func TestACallWithoutTheFolderStandsAgainstFilesOfAnEarlierStartOfTheMachine(t *testing.T) {
	for _, out := range []bool{true, false} {
		folder, files := folderOf(t), &faultyFiles{faults: map[string]error{"list": syscall.EIO}}
		var set directive.Set
		_, err := set.Change(workerA, !out, 1<<62)
		require.NoError(t, err)
		require.NoError(t, os.Mkdir(folder, dirMode))
		require.NoError(t, os.WriteFile(filepath.Join(folder, "00000007.set"), encode(true, &set), fileMode))
		p := start(t, folder, files)
		require.ErrorIs(t, p.change(workerA, out, 30*time.Millisecond), ErrNotPersisted)
		files.set(nil)
		require.NoError(t, p.change(workerB, true, patience))
		assert.Equal(t, out, p.inForce(workerA))
	}
}

func TestAFolderThatIsEmptiedIsFilledAgain(t *testing.T) {
	folder := folderOf(t)
	a, b := start(t, folder, nil), start(t, folder, nil)
	require.NoError(t, a.change(workerA, true, patience))
	require.NoError(t, os.RemoveAll(folder))
	eventually(t, func() bool {
		names, _ := os.ReadDir(folder)
		return len(names) == 4 // two processes with a lock and a set each
	})
	require.NoError(t, b.change(workerB, true, patience))
	a.kill()
	b.kill()
	after := start(t, folder, nil)
	assert.True(t, after.inForce(workerA))
	assert.True(t, after.inForce(workerB))
}

// A kill leaves a write half done: the file before stands, and the rest is cleared away.
func TestAHalfWrittenFileIsNotTaken(t *testing.T) {
	folder, files := folderOf(t), &faultyFiles{half: true}
	p := start(t, folder, files)
	require.NoError(t, p.change(workerA, true, patience))
	files.set(map[string]error{"replace": syscall.ENOSPC})
	require.ErrorIs(t, p.change(workerB, true, 20*time.Millisecond), ErrNotPersisted)
	p.kill()
	after := start(t, folder, nil)
	assert.True(t, after.inForce(workerA))
	assert.False(t, after.inForce(workerB), "it was answered with no")
	eventually(t, func() bool {
		names, _ := os.ReadDir(folder)
		return len(names) == 2
	})
}

// However a file is cut short or spoilt, what is good of it is taken and nothing else.
func TestSpoiltFiles(t *testing.T) {
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
		spoilt := bytes.Clone(text)
		spoilt[cut] ^= 0x10
		if s, err := decode(spoilt); err == nil {
			for _, e := range s.set.Entries() {
				assert.Equal(t, set.Entry(e.Key), e, "spoilt at %d", cut)
			}
		}
	}
}

// The file of a dead process whose last record is torn gives what is whole, and the log tells of it.
func TestADeadProcessWithATornLastRecord(t *testing.T) {
	folder := folderOf(t)
	dead := start(t, folder, nil)
	require.NoError(t, dead.change(workerA, true, patience))
	require.NoError(t, dead.change(workerB, true, patience))
	dead.kill()
	path := dead.path(dead.generation, setExtension)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, text[:len(text)-len("00000000 end 2\n")-4], fileMode))
	after := start(t, folder, nil)
	assert.True(t, after.inForce(workerA))
	assert.False(t, after.inForce(workerB), "its record is torn")
	assert.True(t, after.logged("spoilt"))
}

// A dead process's files are cleared away once another holds what they held. Its process id, which another program may
// have by now, says nothing.
func TestDeadProcessesAreClearedAway(t *testing.T) {
	folder := folderOf(t)
	dead := start(t, folder, nil)
	require.NoError(t, dead.change(workerA, true, patience))
	dead.kill()
	require.NoError(t, os.WriteFile(dead.path(dead.generation, lockExtension), []byte(strconv.Itoa(os.Getppid())), fileMode))
	p := start(t, folder, nil)
	assert.True(t, p.inForce(workerA))
	require.NoError(t, p.change(workerB, true, 2*time.Second), "the dead one is not waited for")
	eventually(t, func() bool {
		_, err := os.Stat(dead.path(dead.generation, setExtension))
		return os.IsNotExist(err)
	})
	p.kill()
	assert.True(t, start(t, folder, nil).inForce(workerA))
}

// A process that has just made its file, and does not hold its lock yet, is not swept away unnoticed.
func TestAProcessThatJoinsWhileOthersClearAway(t *testing.T) {
	folder := folderOf(t)
	p := start(t, folder, nil)
	for range 30 {
		joining := open(t, folder, nil)
		names, err := os.ReadDir(folder)
		require.NoError(t, err)
		assert.Contains(t, fmt.Sprint(names), fmt.Sprintf("%08d%s", joining.generation, lockExtension))
		joining.lock.Unlock()
	}
	require.NoError(t, p.change(workerA, true, patience))
}

// A file in a form of another version of the program stays as it is.
func TestAFileOfAnotherFormIsLetBe(t *testing.T) {
	folder := folderOf(t)
	require.NoError(t, os.Mkdir(folder, dirMode))
	path := filepath.Join(folder, "00000041.set")
	require.NoError(t, os.WriteFile(path, []byte("cobaltflow-directives 2\nwhatever\n"), fileMode))
	p := start(t, folder, nil)
	assert.Greater(t, p.Generation(), 41)
	require.NoError(t, p.change(workerA, true, patience))
	assert.True(t, p.logged("let be"))
	assert.FileExists(t, path)
}

func TestTheBoundOfDirectives(t *testing.T) {
	folder := folderOf(t)
	p := open(t, folder, nil)
	var keys []directive.Key
	for i := range directive.MaxOn {
		keys = append(keys, directive.WorkerDisabled(fmt.Sprintf("s-%08x", i)))
	}
	require.NoError(t, p.Import(keys))
	p.Run()
	assert.ErrorIs(t, p.change(workerA, true, patience), directive.ErrFull)
	assert.False(t, p.inForce(workerA))
	p.kill()
	after := start(t, folder, nil)
	assert.Len(t, after.Active(), directive.MaxOn)
	require.NoError(t, after.change(keys[0], false, patience))
	require.NoError(t, after.change(workerA, true, patience))
}

func TestSuccessorIsALaterProcessThatLivesAndListens(t *testing.T) {
	folder := folderOf(t)
	old := start(t, folder, nil)
	old.MarkServing()
	assert.False(t, old.HasSuccessor(), "no other process")
	fresh := start(t, folder, nil)
	assert.False(t, old.HasSuccessor(), "it does not listen yet")
	fresh.MarkServing()
	eventually(t, old.HasSuccessor)
	assert.False(t, fresh.HasSuccessor(), "the older one is no successor")
	fresh.kill()
	assert.False(t, old.HasSuccessor(), "it has ended")
	third := start(t, folder, nil)
	third.MarkServing()
	eventually(t, old.HasSuccessor)
	third.Close()
	assert.False(t, old.HasSuccessor())
}

// Each process is told who else there is, by the lock that the kernel lets go with a process.
func TestProcessesSeeOneAnotherComeAndGo(t *testing.T) {
	folder := folderOf(t)
	old, fresh := start(t, folder, nil), start(t, folder, nil)
	eventually(t, func() bool { return old.sees(OtherProcesses{Alive: 1}) && fresh.sees(OtherProcesses{Alive: 1}) })
	fresh.MarkServing()
	eventually(t, func() bool { return old.sees(OtherProcesses{Alive: 1, HasSuccessor: true}) })
	third := start(t, folder, nil)
	eventually(t, func() bool {
		return old.sees(OtherProcesses{Alive: 2, HasSuccessor: true}) && fresh.sees(OtherProcesses{Alive: 2})
	})
	fresh.kill()
	eventually(t, func() bool { return old.sees(OtherProcesses{Alive: 1}) && third.sees(OtherProcesses{Alive: 1}) })
	third.kill()
	eventually(t, func() bool { return old.sees(OtherProcesses{}) })
}

// At the end nothing is left where nothing is in force; what is in force stays.
func TestWhatIsLeftAtTheEnd(t *testing.T) {
	folder := folderOf(t)
	p := start(t, folder, nil)
	require.NoError(t, p.change(workerA, true, patience))
	p.Close()
	assert.DirExists(t, folder)
	p = start(t, folder, nil)
	require.True(t, p.inForce(workerA))
	require.NoError(t, p.change(workerA, false, patience))
	other := start(t, folder, nil)
	p.Close()
	assert.False(t, other.inForce(workerA))
	other.Close()
	assert.NoDirExists(t, folder)
}

// Alone and at rest a look is one listing of the folder and nothing else.
func TestALookAtRestIsOneCall(t *testing.T) {
	files := &faultyFiles{}
	p := start(t, folderOf(t), files)
	require.NoError(t, p.change(workerA, true, patience))
	before := files.calls()
	eventually(t, func() bool { return files.calls()["list"] >= before["list"]+5 })
	after := files.calls()
	for _, call := range []string{"mkdir", "read", "replace", "lock"} {
		assert.Equal(t, before[call], after[call], call)
	}
}

// Nothing but a missing folder is made: what stands above it is the platform's.
func TestWhatIsAboveTheFolderIsNotMade(t *testing.T) {
	above := filepath.Join(t.TempDir(), "missing")
	p := start(t, filepath.Join(above, "directives"), &faultyFiles{})
	assert.ErrorIs(t, p.change(workerA, true, 20*time.Millisecond), ErrNotPersisted)
	_, err := os.Stat(above)
	assert.ErrorIs(t, err, fs.ErrNotExist)
}
