package replica

// The start of a process: it registers in the directory and adopts what the others know.

import (
	"errors"
	"time"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/directive"
)

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
			r.holdDirectory()
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
