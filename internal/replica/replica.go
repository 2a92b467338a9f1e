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
	WithCalls = 50 * time.Millisecond
	// WithoutCalls is the period of a process that has no operators' address.
	WithoutCalls = 250 * time.Millisecond

	whileWaiting = 5 * time.Millisecond // while a change waits for its files
	// quietFailures is how long failures of the folder go on before the next line of the log tells of them.
	quietFailures = 10 * time.Second
	awaitLook     = 20 * time.Millisecond // between the looks of Await
	joinTries     = 64                    // generations and looks tried at the start
	mostChanges   = 256                   // changes that may wait; over it one is refused with ErrBusy
)

// Errors of a change. Except for ErrBusy and directive.ErrFull the change is in force in this process all the same, and
// goes on being written.
var (
	// ErrNotKept: the file could not be written in time. A kill of this process would lose the change.
	ErrNotKept = errors.New("in force, but not yet kept across a restart")
	// ErrNotConfirmed: another process of this scheduler lives and has not taken the change over in time.
	ErrNotConfirmed = errors.New("in force and kept, but not yet confirmed by the scheduler's other process")
	ErrBusy         = errors.New("too many changes are waiting")
)

// Options of a Replica.
type Options struct {
	Folder string        // made if it is missing; what stands above it is not
	Period time.Duration // of the look at the folder; 0: WithCalls
	Files  Files         // nil: the machine's
	Log    *slog.Logger
	// Apply takes over directives that were changed here or elsewhere. It is called from the replica's goroutine, before
	// the change is written or answered, and must not block.
	Apply func([]directive.Entry)
	// Others is called from the replica's goroutine when other processes of the scheduler have come or gone; nil: nobody
	// wants to know.
	Others func(Others)
}

// Others are the scheduler's other processes that live.
type Others struct {
	Alive     int
	Successor bool // one of them was started later, and listens
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
	generation int
	lock       Lock
	set        directive.Set
	peers      map[int]*peer
	others     Others
	informed   bool                   // a look has succeeded
	unseen     map[directive.Key]bool // what was told here before that, the last state of each
	alone      bool                   // the last look found no other generation
	dirty      bool                   // the file lacks something of the set
	wasServing bool                   // as the file says
	waiting    []*change
	failing    bool
	failingAt  time.Duration // the first of the failures at hand, or when they were last logged
	strange    map[int]bool
}

// change is a directive that is being told.
type change struct {
	key    directive.Key
	on     bool
	entry  directive.Entry
	taken  bool
	kept   bool
	at     uint64        // when it was told, by the machine's clock
	until  time.Duration // by the monotonic clock; 0: it was refused
	answer func(error)
}

// Open joins the processes of a folder and takes over what they hold. A folder that can't be used is no reason not to
// start: the error is for the log, and the replica goes on trying.
func Open(o Options) (*Replica, error) {
	if o.Files == nil {
		o.Files = System{}
	}
	if o.Period == 0 {
		o.Period = WithCalls
	}
	r := &Replica{Options: o, changes: make(chan *change, mostChanges), stop: make(chan struct{}), dirty: true,
		peers: map[int]*peer{}, unseen: map[directive.Key]bool{}, strange: map[int]bool{}}
	err := r.join()
	if err == nil {
		err = r.write()
	}
	return r, err
}

// join takes a generation of its own (list does) and then reads the others', in this order: a process that changes something from
// then on finds us and waits for us, and what was changed before is found by us.
func (r *Replica) join() error {
	for range joinTries {
		_, vanished, err := r.look()
		if err != nil || !vanished {
			return err
		}
	}
	return nil
}

// Await tries on to take over what the other processes hold, where Open could not, and gives the last error when that did
// not come about within the time. It is for the time between Open and Run.
func (r *Replica) Await(within time.Duration) error {
	until := clock.Monotonic() + within
	for !r.informed {
		err := r.join()
		if err == nil {
			return r.write()
		}
		if clock.Monotonic() >= until {
			return err
		}
		time.Sleep(awaitLook)
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
	for range joinTries {
		var names []string
		if names, err = r.Files.List(r.Folder); err != nil {
			return err
		}
		next := max(r.generation, 1)
		for generation := range generations(names) {
			next = max(next, generation+1)
		}
		if r.lock, err = r.Files.Lock(r.path(next, lockExtension)); err == nil {
			r.generation, r.dirty = next, true
			return nil
		}
	}
	return err
}

// Set gives the directives that are on; it is for the time between Open and Run.
func (r *Replica) Set() (on []directive.Entry) {
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
func (r *Replica) Serving() { r.serving.Store(true) }

// Failures counts the looks and writes that failed.
func (r *Replica) Failures() uint64 { return r.failures.Load() }

// Run starts the goroutine that looks at the folder and writes.
func (r *Replica) Run() { r.stopped.Go(r.run) }

// Change tells a directive. answer is called once, from the replica's goroutine: with nil when it is in force in, and
// kept by, every process of the scheduler, or with the reason why that is not known within the time. It is not called
// after Close.
func (r *Replica) Change(key directive.Key, on bool, within time.Duration, answer func(error)) {
	c := &change{key: key, on: on, at: clock.MachineMicros(), until: clock.Monotonic() + within, answer: answer}
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
	mayGo := r.mayGo()
	if r.lock != nil {
		r.lock.Unlock()
	}
	if !mayGo {
		return
	}
	r.remove(r.generation)
	if r.alone {
		r.Files.Remove(r.Folder)
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
			r.waiting = append(r.waiting, c)
		case <-timer.C:
		}
		r.step()
		if len(r.waiting) > 0 {
			timer.Reset(whileWaiting)
		} else {
			timer.Reset(r.Period)
		}
	}
}

// step looks at the folder, makes the changes that wait, writes, and answers.
func (r *Replica) step() {
	for len(r.changes) > 0 {
		r.waiting = append(r.waiting, <-r.changes)
	}
	news, _, err := r.look()
	looked := err == nil
	news = append(news, r.makeChanges()...)
	if len(news) > 0 {
		r.Apply(news)
	}
	if looked && r.alone && len(r.waiting) == 0 && r.set.Prune() {
		r.dirty = true
	}
	if r.dirty || r.wasServing != r.serving.Load() {
		err = errors.Join(err, r.write())
	}
	if looked && !r.dirty {
		r.removeDead()
	}
	if looked {
		r.tellOthers()
	}
	r.note(err)
	r.answerChanges(looked)
}

// tellOthers tells of the other processes when that has changed.
func (r *Replica) tellOthers() {
	var now Others
	for generation, p := range r.peers {
		if p.alive {
			now.Alive++
			now.Successor = now.Successor || generation > r.generation && p.snap != nil && p.snap.serving
		}
	}
	if now != r.others && r.Others != nil {
		r.Others(now)
	}
	r.others = now
}

// makeChanges gives a version to the changes that have none yet. After a look that is over all that was told at another
// process before. Where the look failed, the time of the call has to do that: a process that has never seen the folder
// would count from 1, below what was told long before.
func (r *Replica) makeChanges() (news []directive.Entry) {
	for _, c := range r.waiting {
		if c.taken {
			continue
		}
		c.taken = true
		entry, err := r.set.Change(c.key, c.on, c.at)
		news = append(news, entry) // after an error: what stood before stands
		if err != nil {
			c.answer(err)
			c.until = 0
			continue
		}
		c.entry, r.dirty = entry, true
		if !r.informed {
			r.unseen[c.key] = c.on
		}
		r.Log.Info("directive: changed", "key", string(c.key), "on", c.on, "version", entry.Version, "generation", r.generation)
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(c *change) bool { return c.until == 0 })
	return news
}

// write has this process's file hold the set.
func (r *Replica) write() error {
	if r.lock == nil {
		return fs.ErrNotExist
	}
	serving := r.serving.Load()
	if err := r.Files.Replace(r.path(r.generation, setExtension), encode(serving, &r.set)); err != nil {
		return err
	}
	r.dirty, r.wasServing = false, serving
	for _, c := range r.waiting {
		c.kept = c.kept || c.taken
	}
	return nil
}

// answerChanges answers the changes that all processes have, and those whose time is over.
func (r *Replica) answerChanges(looked bool) {
	now := clock.Monotonic()
	r.waiting = slices.DeleteFunc(r.waiting, func(c *change) bool {
		switch {
		case looked && c.kept && r.confirmed(c.entry):
			c.answer(nil)
		case now < c.until:
			return false
		case !c.kept:
			c.answer(ErrNotKept)
		default:
			c.answer(ErrNotConfirmed)
		}
		return true
	})
}

// mayGo tells whether nobody would miss our files at the end: nothing is in force, or another process that lives holds
// all of it.
func (r *Replica) mayGo() bool {
	if _, _, err := r.look(); err != nil {
		return false
	}
	for _, e := range r.set.Entries() {
		if (e.On || !r.alone) && !r.heldElsewhere(e) {
			return false
		}
	}
	return true
}

// note counts a failure of the folder, and logs the first and then one each quietFailures; and the end of them.
func (r *Replica) note(err error) {
	switch {
	case err == nil && r.failing:
		r.Log.Info("directive: the folder can be used again", "failures", r.failures.Load())
		r.failing = false
	case err != nil:
		n := r.failures.Add(1)
		if now := clock.Monotonic(); !r.failing || now-r.failingAt > quietFailures {
			r.Log.Warn("directive: the folder can't be used, it is tried again", "error", err, "failures", n)
			r.failing, r.failingAt = true, now
		}
	}
}
