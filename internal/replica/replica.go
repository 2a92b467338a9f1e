// Package replica keeps a scheduler's directives (package directive) in files of one folder, so that all processes of
// that scheduler hold them: those that run side by side during an upgrade, and whichever is started later. It also tells
// a process of its successor.
//
// Each process writes a file of its own, which always holds the whole set that it goes by, and reads the others' files
// now and then; nobody overwrites what another wrote. A change is answered once it is in the caller's file and every
// other process that lives has it in its own, which it writes after it has taken it over. A process that lives holds a
// lock (flock) on a second file; the kernel lets that go however the process ends, so a process id that comes again is
// mistaken for nobody. docs/design/operator-directives.md says what was weighed.
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

// Periods of the look at the folder.
const (
	// WithCalls is the period of a process that takes operators' calls: a change told to one process is in force in the
	// other after it at the latest, and is not answered before.
	PollPeriodWithAdmin = 50 * time.Millisecond
	// WithoutCalls is the period of a process that has no operators' address.
	PollPeriodWithoutAdmin = 250 * time.Millisecond

	pollPeriodWhilePending = 5 * time.Millisecond // while a change waits for its files
	// quietFailures is how long failures of the folder go on before the next line of the log tells of them.
	failureLogPeriod  = 10 * time.Second
	awaitPollPeriod   = 20 * time.Millisecond // between the looks of Await
	maxJoinAttempts   = 64                    // generations and looks tried at the start
	maxPendingChanges = 256                   // changes that may wait; over it one is refused with ErrBusy
)

// Errors of a change. Except for ErrBusy and directive.ErrFull the change is in force in this process all the same, and
// goes on being written.
var (
	// ErrNotKept: the file could not be written in time. A kill of this process would lose the change.
	ErrNotPersisted = errors.New("in force, but not yet kept across a restart")
	// ErrNotConfirmed: another process of this scheduler lives and has not taken the change over in time.
	ErrNotConfirmed = errors.New("in force and kept, but not yet confirmed by the scheduler's other process")
	ErrBusy         = errors.New("too many changes are waiting")
)

// Options of a Replica.
type Options struct {
	Dir        string        // made if it is missing; what stands above it is not
	PollPeriod time.Duration // of the look at the folder; 0: WithCalls
	FileSystem FileSystem    // nil: the machine's
	Log        *slog.Logger
	// Apply takes over directives that were changed here or elsewhere. It is called from the replica's goroutine, before
	// the change is written or answered, and must not block.
	Apply func([]directive.Entry)
	// Others is called from the replica's goroutine when other processes of the scheduler have come or gone; nil: nobody
	// wants to know.
	OnProcessesChanged func(OtherProcesses)
}

// Others are the scheduler's other processes that live.
type OtherProcesses struct {
	Alive        int
	HasSuccessor bool // one of them was started later, and listens
}

// Replica is this process's copy of the directives. Its methods may be called from any goroutine.
type Replica struct {
	Options
	changes  chan *change
	stop     chan struct{}
	stopped  sync.WaitGroup
	serving  atomic.Bool
	failures atomic.Uint64

	// What follows is the goroutine's, and Open's before it.
	generation        int
	lock              Lock
	set               directive.Set
	peers             map[int]*peer
	reportedProcesses OtherProcesses
	hasScanned        bool                   // a look has succeeded
	changedBeforeScan map[directive.Key]bool // what was told here before that, the last state of each
	alone             bool                   // the last look found no other generation
	dirty             bool                   // the file lacks something of the set
	writtenServing    bool                   // as the file says
	pending           []*change
	isFailing         bool
	failureLoggedAt   time.Duration // the first of the failures at hand, or when they were last logged
	invalidLogged     map[int]bool
}

// change is a directive that is being told.
type change struct {
	key       directive.Key
	on        bool
	entry     directive.Entry
	applied   bool
	persisted bool
	changedAt uint64        // when it was told, by the machine's clock
	deadline  time.Duration // by the monotonic clock; 0: it was refused
	done      func(error)
}

// Open joins the processes of a folder and takes over what they hold. A folder that can't be used is no reason not to
// start: the error is for the log, and the replica goes on trying.
func Open(o Options) (*Replica, error) {
	if o.FileSystem == nil {
		o.FileSystem = OSFileSystem{}
	}
	if o.PollPeriod == 0 {
		o.PollPeriod = PollPeriodWithAdmin
	}
	r := &Replica{Options: o, changes: make(chan *change, maxPendingChanges), stop: make(chan struct{}), dirty: true,
		peers: map[int]*peer{}, changedBeforeScan: map[directive.Key]bool{}, invalidLogged: map[int]bool{}}
	err := r.join()
	if err == nil {
		err = r.write()
	}
	return r, err
}

// join takes a generation of its own (list does) and then reads the others', in this order: a process that changes something from
// then on finds us and waits for us, and what was changed before is found by us.
func (r *Replica) join() error {
	for range maxJoinAttempts {
		_, vanished, err := r.scan()
		if err != nil || !vanished {
			return err
		}
	}
	return nil
}

// Await tries on to take over what the other processes hold, where Open could not, and gives the last error when that did
// not come about within the time. It is for the time between Open and Run.
func (r *Replica) AwaitFirstScan(within time.Duration) error {
	until := clock.Monotonic() + within
	for !r.hasScanned {
		err := r.join()
		if err == nil {
			return r.write()
		}
		if clock.Monotonic() >= until {
			return err
		}
		time.Sleep(awaitPollPeriod)
	}
	return nil
}

// register takes the next generation, which no living process has.
func (r *Replica) register() error {
	if r.lock != nil {
		r.lock.Unlock()
		r.lock = nil
	}
	var err error
	for range maxJoinAttempts {
		var names []string
		if names, err = r.FileSystem.List(r.Dir); err != nil {
			return err
		}
		next := max(r.generation, 1)
		for generation := range generations(names) {
			next = max(next, generation+1)
		}
		if r.lock, err = r.FileSystem.Lock(r.path(next, lockExtension)); err == nil {
			r.generation, r.dirty = next, true
			return nil
		}
	}
	return err
}

// Set gives the directives that are on; it is for the time between Open and Run.
func (r *Replica) Active() (on []directive.Entry) {
	for _, e := range r.set.Entries() {
		if e.On {
			on = append(on, e)
		}
	}
	return on
}

// Import takes directives over that an older version of the program kept, and writes them; they stand against nothing
// that is known already. It is for the time between Open and Run. After an error they are kept in memory.
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

// Generation numbers this process among those of the scheduler; a later one has a higher number.
func (r *Replica) Generation() int { return r.generation }

// Serving notes that this process listens at the scheduler's addresses: from now on it is a successor to those before.
func (r *Replica) MarkServing() { r.serving.Store(true) }

// Failures counts the looks and writes that failed.
func (r *Replica) Failures() uint64 { return r.failures.Load() }

// Run starts the goroutine that looks at the folder and writes.
func (r *Replica) Run() { r.stopped.Go(r.run) }

// Change tells a directive. answer is called once, from the replica's goroutine: with nil when it is in force in, and
// kept by, every process of the scheduler, or with the reason why that is not known within the time. It is not called
// after Close.
func (r *Replica) Change(key directive.Key, on bool, within time.Duration, answer func(error)) {
	c := &change{key: key, on: on, changedAt: clock.MachineMicros(), deadline: clock.Monotonic() + within, done: answer}
	select {
	case r.changes <- c:
	default:
		answer(ErrBusy)
	}
}

// Close ends the goroutine and leaves the scheduler's processes. What is still in force stays for the next one.
func (r *Replica) Close() {
	close(r.stop)
	r.stopped.Wait()
	mayGo := r.canRemoveFiles()
	if r.lock != nil {
		r.lock.Unlock()
	}
	if !mayGo {
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
	for {
		select {
		case <-r.stop:
			return
		case c := <-r.changes:
			r.pending = append(r.pending, c)
		case <-timer.C:
		}
		r.step()
		if len(r.pending) > 0 {
			timer.Reset(pollPeriodWhilePending)
		} else {
			timer.Reset(r.PollPeriod)
		}
	}
}

// step looks at the folder, makes the changes that wait, writes, and answers.
func (r *Replica) step() {
	for len(r.changes) > 0 {
		r.pending = append(r.pending, <-r.changes)
	}
	news, _, err := r.scan()
	looked := err == nil
	news = append(news, r.applyChanges()...)
	if len(news) > 0 {
		r.Apply(news)
	}
	if looked && r.alone && len(r.pending) == 0 && r.set.Prune() {
		r.dirty = true
	}
	if r.dirty || r.writtenServing != r.serving.Load() {
		err = errors.Join(err, r.write())
	}
	if looked && !r.dirty {
		r.removeDead()
	}
	if looked {
		r.reportProcesses()
	}
	r.recordResult(err)
	r.completeChanges(looked)
}

// tellOthers tells of the other processes when that has changed.
func (r *Replica) reportProcesses() {
	var now OtherProcesses
	for generation, p := range r.peers {
		if p.alive {
			now.Alive++
			now.HasSuccessor = now.HasSuccessor || generation > r.generation && p.snap != nil && p.snap.serving
		}
	}
	if now != r.reportedProcesses && r.OnProcessesChanged != nil {
		r.OnProcessesChanged(now)
	}
	r.reportedProcesses = now
}

// makeChanges gives a version to the changes that have none yet. After a look that is over all that was told at another
// process before. Where the look failed, the time of the call has to do that: a process that has never seen the folder
// would count from 1, below what was told long before.
func (r *Replica) applyChanges() (news []directive.Entry) {
	for _, c := range r.pending {
		if c.applied {
			continue
		}
		c.applied = true
		entry, err := r.set.Change(c.key, c.on, c.changedAt)
		news = append(news, entry) // after an error: what stood before stands
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
	return news
}

// write has this process's file hold the set.
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

// answerChanges answers the changes that all processes have, and those whose time is over.
func (r *Replica) completeChanges(looked bool) {
	now := clock.Monotonic()
	r.pending = slices.DeleteFunc(r.pending, func(c *change) bool {
		switch {
		case looked && c.persisted && r.isConfirmed(c.entry):
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

// mayGo tells whether nobody would miss our files at the end: nothing is in force, or another process that lives holds
// all of it.
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

// note counts a failure of the folder, and logs the first and then one each quietFailures; and the end of them.
func (r *Replica) recordResult(err error) {
	switch {
	case err == nil && r.isFailing:
		r.Log.Info("directive: the folder can be used again", "failures", r.failures.Load())
		r.isFailing = false
	case err != nil:
		n := r.failures.Add(1)
		if now := clock.Monotonic(); !r.isFailing || now-r.failureLoggedAt > failureLogPeriod {
			r.Log.Warn("directive: the folder can't be used, it is tried again", "error", err, "failures", n)
			r.isFailing, r.failureLoggedAt = true, now
		}
	}
}
