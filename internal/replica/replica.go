// Package replica shares a scheduler's directives (package directive) among all its processes through the files of one
// directory: those that run side by side during an upgrade, and those that are started later. Package gateway runs one
// Replica in each process, which also reports the scheduler's other processes.
package replica

import (
	"errors"
	"io/fs"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/directive"
)

const (
	// PollPeriodWithAdmin is the poll period of a process with an admin address. A change made in one process takes
	// effect in the others within it, and is not answered before.
	PollPeriodWithAdmin = 50 * time.Millisecond
	// PollPeriodWithoutAdmin is the poll period of a process without an admin address.
	PollPeriodWithoutAdmin = 250 * time.Millisecond

	pollPeriodWhilePending = 5 * time.Millisecond  // while a change waits to be persisted and confirmed
	failureLogPeriod       = 10 * time.Second      // between log lines while the directory stays unavailable
	awaitPollPeriod        = 20 * time.Millisecond // of AwaitFirstScan
	maxJoinAttempts        = 64                    // scans of join, and generations that register tries to lock
	maxPendingChanges      = 256                   // beyond it Change fails with ErrBusy
	// registrationGrace is how long after a failure of the directory another process may be alive without a lock file: several
	// times the longest poll period.
	registrationGrace = 2 * time.Second
)

// Errors of a change. After ErrNotPersisted and ErrNotConfirmed the change is in force in this process, which goes on trying
// to write it. After ErrBusy and directive.ErrFull the Replica has not applied it.
var (
	// ErrNotPersisted: the file could not be written in time. A crash of this process would lose the change.
	ErrNotPersisted = errors.New("in force, but not yet kept across a restart")
	// ErrNotConfirmed: another live process of this scheduler has not adopted the change in time.
	ErrNotConfirmed = errors.New("in force and kept, but not yet confirmed by the scheduler's other process")
	// ErrBusy: too many changes are pending.
	ErrBusy = errors.New("too many changes are waiting")
)

// Errors of IsAlone, besides those of the file system.
var (
	// errNotRegistered: the directory lacks this process's lock file, so it may lack those of others as well.
	errNotRegistered = errors.New("this process is not registered in the directory")
	// errRecentFailure: other processes may not have registered since.
	errRecentFailure = errors.New("the directory was unavailable a moment ago")
)

// Options of a Replica.
type Options struct {
	Dir        string        // created if missing; its parent is not
	PollPeriod time.Duration // of Dir; 0: PollPeriodWithAdmin
	FileSystem FileSystem    // nil: OSFileSystem
	Log        *slog.Logger
	// Apply puts directives in force that were changed in this or another process. It is called from the replica's
	// goroutine, before the change is written or answered, and must not block.
	Apply func([]directive.Entry)
	// OnProcessesChanged is called from the replica's goroutine when other processes of the scheduler have started or
	// ended. It may be nil.
	OnProcessesChanged func(OtherProcesses)
}

// OtherProcesses describes the scheduler's other live processes.
type OtherProcesses struct {
	Alive        int  // number of them
	HasSuccessor bool // one was started later and listens
}

// Replica is this process's copy of the directives. Its methods may be called from any goroutine, where not noted otherwise.
//
// Each process writes one set file, which always holds all of its directives, and polls the files of the others; no process
// writes another's file. A change is answered once it is in this process's file and every other live process has adopted it
// and written it to its own. Each live process holds an flock on a lock file of its own. The kernel releases it however the
// process ends, so a reused process ID is never mistaken for a live process.
//
// Processes are numbered by generation; a later process has a higher one, also if it could register before an earlier one
// (nextGeneration). docs/design/operator-directives.md compares this
// design with its alternatives.
type Replica struct {
	Options
	changes chan *change
	stop    chan struct{}
	stopped sync.WaitGroup
	// announced is closed after the first step of Run.
	announced chan struct{}
	serving   atomic.Bool
	failures  atomic.Uint64
	// registered is the generation that is locked, or was last, for the goroutines that may not read generation.
	registered atomic.Int64
	failedAt   atomic.Int64 // monotonic time of the directory's last failure, in nanoseconds; 0: none
	// changesMade and changesWritten count the changes made in this process, and those that are in its file or were refused.
	changesMade, changesWritten atomic.Uint64

	// The fields below belong to the goroutine of Run, and before it to Open and the methods called before Run.
	place             int // lowest generation: the time of Open by the machine's clock, which no process that started earlier reaches
	generation        int
	lock              Lock
	set               directive.Set
	peers             map[int]*peer
	reportedProcesses OtherProcesses         // last passed to OnProcessesChanged
	hasScanned        bool                   // a scan has succeeded
	changedBeforeScan map[directive.Key]bool // latest state of directives changed here before that
	alone             bool                   // the last scan found no other generation
	dirty             bool                   // the file does not hold the whole set
	writtenServing    bool                   // value of serving in the file
	pending           []*change
	changesApplied    uint64        // changes made in this process that are part of the set, or were refused
	isFailing         bool          // the last step failed
	failureLoggedAt   time.Duration // monotonic time of the last log line about it
	invalidLogged     map[int]bool  // generations whose invalid file was logged
}

// change is a pending change of a directive.
type change struct {
	key       directive.Key
	on        bool
	entry     directive.Entry // set once applied
	applied   bool            // part of the set
	persisted bool            // written to this process's file
	changedAt uint64          // time of the call, in microseconds of the machine's clock
	deadline  time.Duration   // monotonic time; 0: refused
	done      func(error)
}

// Open registers this process in the directory and adopts the other processes' directives. A process can start without
// the directory: if it is unavailable, Open returns the error together with a usable Replica, which goes on trying.
func Open(o Options) (*Replica, error) {
	if o.FileSystem == nil {
		o.FileSystem = OSFileSystem{}
	}
	if o.PollPeriod == 0 {
		o.PollPeriod = PollPeriodWithAdmin
	}
	place := max(1, int(clock.MachineMicros()))
	r := &Replica{Options: o, place: place, changes: make(chan *change, maxPendingChanges), stop: make(chan struct{}), dirty: true,
		announced: make(chan struct{}), peers: map[int]*peer{}, changedBeforeScan: map[directive.Key]bool{}, invalidLogged: map[int]bool{}}
	err := r.join()
	if err == nil {
		err = r.write()
	}
	r.noteFailure(err)
	return r, err
}

// noteFailure records the time of a failure of the directory, for IsAlone. No error is none.
func (r *Replica) noteFailure(err error) {
	if err != nil {
		r.failedAt.Store(int64(clock.Monotonic()))
	}
}

// join registers this process (in listGenerations) and then reads the others' files. The order matters: a process that makes
// a change after the registration waits for this one to confirm it, and earlier changes are found in the files.
func (r *Replica) join() error {
	for range maxJoinAttempts {
		_, vanished, err := r.scan()
		if err != nil || !vanished {
			return err
		}
	}
	return nil
}

// AwaitFirstScan completes the first scan. It retries to adopt the other processes' directives if Open could not, and returns
// the last error if that fails for the given time. For the rest of that time it waits until the other live processes have
// written what they could not before; a log line tells if they have not. It may be called only between Open and Run.
func (r *Replica) AwaitFirstScan(within time.Duration) error {
	deadline := clock.Monotonic() + within
	for !r.hasScanned {
		err := r.join()
		if err == nil {
			break
		}
		r.noteFailure(err)
		if clock.Monotonic() >= deadline {
			return err
		}
		time.Sleep(awaitPollPeriod)
	}
	if r.otherProcesses().Alive > 0 {
		r.awaitPeerFiles(deadline)
	}
	if !r.dirty {
		return nil
	}
	return r.write()
}

// awaitPeerFiles waits until every other live process has written its file after it has read this one's, or until the
// deadline. While the directory was unavailable the others may have put directives in force that they could not write, so
// that the first scan misses them. A change of Join, which reaches a process's file only together with all its directives,
// tells that it has written them. A process that can't write its own file can't ask for that, and does not wait.
func (r *Replica) awaitPeerFiles(deadline time.Duration) {
	request, err := r.set.Change(directive.Join, false, clock.MachineMicros())
	for err == nil {
		writeErr := r.write()
		_, _, scanErr := r.scan()
		r.noteFailure(errors.Join(writeErr, scanErr))
		switch {
		case scanErr == nil && writeErr == nil && r.isConfirmed(request):
			return
		case scanErr == nil && writeErr != nil:
			err = writeErr
		case clock.Monotonic() >= deadline:
			err = errors.Join(ErrNotConfirmed, scanErr, writeErr)
		default:
			time.Sleep(awaitPollPeriod)
		}
	}
	r.Log.Warn("directive: other processes may know directives that are not in the directory yet", "error", err)
}

// register acquires the lock of a free generation.
func (r *Replica) register() error {
	if r.lock != nil {
		r.noteFailure(errNotRegistered) // the lock file was removed, and others may have been
		r.lock.Unlock()
		r.lock = nil
	}
	var err error
	for range maxJoinAttempts {
		var names []string
		if names, err = r.FileSystem.List(r.Dir); err != nil {
			return err
		}
		next := r.nextGeneration(generations(names))
		if r.lock, err = r.FileSystem.Lock(r.path(next, lockExtension)); err == nil {
			r.generation, r.dirty = next, true
			r.registered.Store(int64(next))
			return nil
		}
	}
	return err
}

// nextGeneration returns a free generation: above all others for a process that starts, and close to its own place for one that
// registers again, or has served without the directory. Others may have started and registered meanwhile.
func (r *Replica) nextGeneration(found map[int]int) int {
	next := max(r.generation, r.place)
	if r.generation == 0 && !r.serving.Load() {
		for generation := range found {
			next = max(next, generation+1)
		}
	}
	for found[next] != 0 {
		next++
	}
	return next
}

// Active returns the directives that are on. It may be called only between Open and Run.
func (r *Replica) Active() (on []directive.Entry) {
	for _, e := range r.set.Entries() {
		if e.On {
			on = append(on, e)
		}
	}
	return on
}

// IsChangedSince reports whether a directive was last changed after the given time of the machine's clock, in this or another
// process. It may be called only between Open and Run.
func (r *Replica) IsChangedSince(key directive.Key, micros uint64) bool {
	return r.set.Entry(key).Version > micros
}

// Import turns on directives that an older version of the program stored, and writes them; those known already keep their
// state. After a write error they are in memory only. It may be called only between Open and Run.
func (r *Replica) Import(keys []directive.Key) error {
	for _, key := range keys {
		if r.set.Entry(key).Version == 0 {
			if _, err := r.set.Change(key, true, 0); err != nil {
				return err
			}
			r.dirty = true
		}
	}
	return r.write()
}

// Generation returns the number of this process among those of the scheduler; a later process has a higher one. 0: it could
// not register yet.
func (r *Replica) Generation() int { return int(r.registered.Load()) }

// InitialProcesses returns the other processes that were found so far, which OnProcessesChanged does not report again. It may
// be called only between Open and Run.
func (r *Replica) InitialProcesses() OtherProcesses {
	r.reportedProcesses = r.otherProcesses()
	return r.reportedProcesses
}

// MarkServing records that this process listens at the scheduler's addresses: from now on it is a successor of the earlier
// processes.
func (r *Replica) MarkServing() { r.serving.Store(true) }

// Failures returns the number of steps in which a scan or write failed.
func (r *Replica) Failures() uint64 { return r.failures.Load() }

// Run starts the goroutine that polls the directory and writes this process's file.
func (r *Replica) Run() { r.stopped.Go(r.run) }

// Announced returns a channel that is closed once the goroutine of Run has written, or failed to write, that this process
// serves, if MarkServing was called before Run. Earlier processes find their successor from then on.
func (r *Replica) Announced() <-chan struct{} { return r.announced }

// Change sets a directive. done is called once, from the replica's goroutine: with nil when the directive is in force in,
// and persisted by, every process of the scheduler, or with the error that prevented this within the given time. After
// ErrBusy it is called from the caller's goroutine. It is not called after Close.
func (r *Replica) Change(key directive.Key, on bool, within time.Duration, done func(error)) {
	c := &change{key: key, on: on, changedAt: clock.MachineMicros(), deadline: clock.Monotonic() + within, done: done}
	r.changesMade.Add(1)
	select {
	case r.changes <- c:
	default:
		r.changesMade.Add(^uint64(0)) // one less
		done(ErrBusy)
	}
}

// HasUnwrittenChanges reports whether a change that was made in this process is not in its file yet. If the process ends, no other
// one hears of that change.
func (r *Replica) HasUnwrittenChanges() bool { return r.changesMade.Load() != r.changesWritten.Load() }

// Close ends the goroutine and releases this process's lock. Directives that are on stay in the directory for the next
// process.
func (r *Replica) Close() {
	close(r.stop)
	r.stopped.Wait()
	canRemove := r.canRemoveFiles()
	if r.lock != nil {
		r.lock.Unlock()
	}
	if !canRemove {
		return
	}
	r.removeFiles(r.generation)
	if r.alone {
		r.FileSystem.Remove(r.Dir)
	}
}

func (r *Replica) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	announce := sync.OnceFunc(func() { close(r.announced) })
	for {
		select {
		case <-r.stop:
			return
		case c := <-r.changes:
			r.pending = append(r.pending, c)
		case <-timer.C:
		}
		r.step()
		announce()
		if len(r.pending) > 0 {
			timer.Reset(pollPeriodWhilePending)
		} else {
			timer.Reset(r.PollPeriod)
		}
	}
}

// step scans the directory, applies the pending changes, writes this process's file and completes changes.
func (r *Replica) step() {
	for len(r.changes) > 0 {
		r.pending = append(r.pending, <-r.changes)
	}
	changed, _, err := r.scan()
	scanned := err == nil
	changed = append(changed, r.applyChanges()...)
	if len(changed) > 0 {
		r.Apply(changed)
	}
	if scanned && r.alone && len(r.pending) == 0 && r.set.Prune() {
		r.dirty = true
	}
	if r.dirty || r.writtenServing != r.serving.Load() {
		err = errors.Join(err, r.write())
	}
	if scanned && !r.dirty {
		r.removeDead()
	}
	if scanned {
		r.reportProcesses()
	}
	if !r.dirty {
		r.changesWritten.Store(r.changesApplied)
	}
	r.recordResult(err)
	r.completeChanges(scanned)
}

// otherProcesses returns the other live processes that the last scan found.
func (r *Replica) otherProcesses() (found OtherProcesses) {
	for generation, p := range r.peers {
		if p.alive {
			found.Alive++
			found.HasSuccessor = found.HasSuccessor || generation > r.generation && p.snap != nil && p.snap.serving
		}
	}
	return found
}

// reportProcesses calls OnProcessesChanged if the other processes have changed.
func (r *Replica) reportProcesses() {
	current := r.otherProcesses()
	if current != r.reportedProcesses && r.OnProcessesChanged != nil {
		r.OnProcessesChanged(current)
	}
	r.reportedProcesses = current
}

// applyChanges assigns versions to new changes. After a successful scan they are above those of all earlier changes in other
// processes. If the scan failed, the time of the call ensures that: without it, a process that has never read the directory
// would count from 1, below the versions of changes made long before.
func (r *Replica) applyChanges() (changed []directive.Entry) {
	for _, c := range r.pending {
		if c.applied {
			continue
		}
		c.applied = true
		r.changesApplied++
		entry, err := r.set.Change(c.key, c.on, c.changedAt)
		changed = append(changed, entry) // after an error: the previous state
		if err != nil {
			c.done(err)
			c.deadline = 0
			continue
		}
		c.entry, r.dirty = entry, true
		if !r.hasScanned {
			r.changedBeforeScan[c.key] = c.on
		}
		r.Log.Info("directive: changed", "key", string(c.key), "on", c.on, "version", entry.Version, "generation", r.generation)
	}
	r.pending = slices.DeleteFunc(r.pending, func(c *change) bool { return c.deadline == 0 })
	return changed
}

// write writes the set to this process's file.
func (r *Replica) write() error {
	if r.lock == nil {
		return fs.ErrNotExist
	}
	serving := r.serving.Load()
	if err := r.FileSystem.Replace(r.path(r.generation, setExtension), encode(serving, &r.set)); err != nil {
		return err
	}
	r.dirty, r.writtenServing = false, serving
	for _, c := range r.pending {
		c.persisted = c.persisted || c.applied
	}
	return nil
}

// completeChanges completes the changes that all processes hold, and those whose deadline has passed.
func (r *Replica) completeChanges(scanned bool) {
	now := clock.Monotonic()
	r.pending = slices.DeleteFunc(r.pending, func(c *change) bool {
		switch {
		case scanned && c.persisted && r.isConfirmed(c.entry):
			c.done(nil)
		case now < c.deadline:
			return false
		case !c.persisted:
			c.done(ErrNotPersisted)
		default:
			c.done(ErrNotConfirmed)
		}
		return true
	})
}

// canRemoveFiles reports whether this process's files can be removed at its end: no directive is on, or another live process
// holds all of them.
func (r *Replica) canRemoveFiles() bool {
	if _, _, err := r.scan(); err != nil {
		return false
	}
	for _, e := range r.set.Entries() {
		if (e.On || !r.alone) && !r.isHeldByPeer(e) {
			return false
		}
	}
	return true
}

// recordResult counts failed steps, logs the first of a row and then one each failureLogPeriod, and logs when the failures
// are over.
func (r *Replica) recordResult(err error) {
	r.noteFailure(err)
	switch {
	case err == nil && r.isFailing:
		r.Log.Info("directive: directory available again", "failures", r.failures.Load())
		r.isFailing = false
	case err != nil:
		n := r.failures.Add(1)
		if now := clock.Monotonic(); !r.isFailing || now-r.failureLoggedAt > failureLogPeriod {
			r.Log.Warn("directive: directory unavailable, retrying", "error", err, "failures", n)
			r.isFailing, r.failureLoggedAt = true, now
		}
	}
}
