// Package replica shares a scheduler's directives (package directive) among all its processes through the files of one
// directory: those that run side by side during an upgrade, and those that are started later. Package gateway runs one
// Replica in each process, which also reports the scheduler's other processes.
package replica

import (
	"errors"
	"io/fs"
	"log/slog"
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
	// changesMade and changesPersisted count the changes made in this process, and those that are in its file or were refused.
	changesMade, changesPersisted atomic.Uint64

	// The fields below belong to the goroutine of Run, and before it to Open and the methods called before Run.
	place             int // lowest generation: the time of Open by the machine's clock, which no process that started earlier reaches
	generation        int
	lock              Lock
	held              heldDirectory
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

// Close ends the goroutine and releases this process's lock. Directives that are on stay in the directory for the next
// process.
func (r *Replica) Close() {
	close(r.stop)
	r.stopped.Wait()
	canRemove := r.canRemoveFiles()
	if r.lock != nil {
		r.lock.Unlock()
	}
	r.held.close()
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
	if !scanned {
		changed = append(changed, r.readHeldDirectory()...)
	}
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
	if !scanned && r.dirty {
		r.writeHeldDirectory()
	}
	if scanned && !r.dirty {
		r.removeDead()
	}
	if scanned {
		r.reportProcesses()
	}
	if !r.dirty {
		r.changesPersisted.Store(r.changesApplied)
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
