package replica

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"slices"
	"time"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/directive"
)

// peer is another process of the scheduler, alive or dead, as seen through its files.
type peer struct {
	alive bool
	text  []byte    // content of the set file when it was last decoded
	snap  *snapshot // nil: no set file could be decoded yet
}

// scan reads the other processes' files and returns the directives that changed. vanished reports that a set file was
// removed during the scan: another file holds its directives, and may have been read before it did.
func (r *Replica) scan() (changed []directive.Entry, vanished bool, err error) {
	found, listErr := r.listGenerations()
	if found == nil {
		return nil, false, listErr
	}
	delete(found, r.generation)
	maps.DeleteFunc(r.peers, func(generation int, _ *peer) bool { return found[generation] == 0 })
	for _, generation := range slices.Sorted(maps.Keys(found)) {
		entries, err := r.readPeer(generation)
		if errors.Is(err, fs.ErrNotExist) {
			vanished = vanished || found[generation]&hasSet != 0
			continue
		}
		if err != nil {
			return changed, vanished, err
		}
		changed = append(changed, entries...)
	}
	if listErr != nil {
		return changed, vanished, listErr
	}
	r.alone = len(found) == 0
	if !r.hasScanned {
		r.hasScanned = true
		changed = append(changed, r.reapplyEarlyChanges()...)
	}
	return changed, vanished, nil
}

// reapplyEarlyChanges gives the changes made before the first scan a version above all that the scan found. Files from
// before the machine's last boot may hold versions above the machine's clock, which starts anew at boot.
func (r *Replica) reapplyEarlyChanges() (changed []directive.Entry) {
	early := r.changedBeforeScan
	r.changedBeforeScan = nil
	if r.set.Clock() <= clock.MachineMicros() {
		return nil
	}
	for key, on := range early {
		if entry, err := r.set.Change(key, on, 0); err == nil { // after ErrFull the entry that was read stays
			changed = append(changed, entry)
			r.dirty = true
		}
	}
	return changed
}

// listGenerations returns the generations in the directory. If the directory lacks this process's lock file, or had to be
// created, the process registers again. If that fails (a full disk, for example) the generations are returned with the
// error, so that the other processes' directives can still be read.
func (r *Replica) listGenerations() (map[int]int, error) {
	names, err := r.FileSystem.List(r.Dir)
	if err == nil && r.lock != nil && generations(names)[r.generation]&hasLock != 0 {
		found := generations(names)
		r.dirty = r.dirty || found[r.generation]&hasSet == 0
		return found, nil
	}
	if errors.Is(err, fs.ErrNotExist) {
		err = r.FileSystem.Mkdir(r.Dir)
	}
	if err != nil {
		return nil, err
	}
	if err := r.register(); err != nil {
		return generations(names), err
	}
	names, err = r.FileSystem.List(r.Dir)
	return generations(names), err
}

// readPeer reads another process's files and merges its directives if they changed.
func (r *Replica) readPeer(generation int) (changed []directive.Entry, err error) {
	p := r.peers[generation]
	if p == nil {
		p = &peer{}
		r.peers[generation] = p
	}
	if p.alive, err = r.FileSystem.IsLocked(r.path(generation, lockExtension)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	text, err := r.FileSystem.Read(r.path(generation, setExtension))
	if err != nil {
		return nil, err
	}
	return r.merge(generation, p, text), nil
}

// merge merges the directives of another process's set file, if it has changed, and returns those that it changes here.
func (r *Replica) merge(generation int, p *peer, text []byte) (changed []directive.Entry) {
	if bytes.Equal(text, p.text) {
		return nil
	}
	snap, err := decode(text)
	if err != nil || snap.badLines > 0 || !snap.complete {
		r.logInvalidFile(generation, snap, err)
	}
	if err != nil {
		return nil
	}
	p.text, p.snap = text, snap
	r.set.Observe(snap.set.Clock())
	for _, e := range snap.set.Entries() {
		if r.set.Merge(e) {
			changed = append(changed, e)
			r.dirty = true
			r.Log.Info("directive: adopted from another process", "key", string(e.Key), "on", e.On, "version", e.Version, "from", generation,
				"generation", r.generation)
		}
	}
	return changed
}

// logInvalidFile logs a file that is corrupt or of an unknown version, once for each generation.
func (r *Replica) logInvalidFile(generation int, snap *snapshot, err error) {
	if r.invalidLogged[generation] {
		return
	}
	r.invalidLogged[generation] = true
	if err != nil {
		r.Log.Warn("directive: file of unknown version ignored", "of", generation, "error", err)
		return
	}
	r.Log.Warn("directive: corrupt lines of a file skipped", "of", generation, "bad_lines", snap.badLines, "whole", snap.complete)
}

// isConfirmed reports whether the file of every other live process holds the entry or one that supersedes it.
func (r *Replica) isConfirmed(e directive.Entry) bool {
	for _, p := range r.peers {
		if p.alive && (p.snap == nil || !p.snap.set.Covers(e)) {
			return false
		}
	}
	return true
}

// isHeldByPeer reports whether the file of another live process holds the entry or one that supersedes it.
func (r *Replica) isHeldByPeer(e directive.Entry) bool {
	for _, p := range r.peers {
		if p.alive && p.snap != nil && p.snap.set.Covers(e) {
			return true
		}
	}
	return false
}

// removeDead removes the files of processes that have ended; this process's file must hold their directives by then. A file
// of an unknown version stays: a later version of the program may need it.
func (r *Replica) removeDead() {
	for generation, p := range r.peers {
		if !p.alive && !(p.snap == nil && r.invalidLogged[generation]) {
			r.removeFiles(generation)
		}
	}
}

// removeFiles removes the files of a process that has ended. Errors are ignored: the next scan tries again.
func (r *Replica) removeFiles(generation int) {
	r.FileSystem.RemoveUnlocked(r.path(generation, lockExtension), r.path(generation, setExtension), r.path(generation, temporaryExtension))
}

// IsAlone reports whether no other process of the scheduler is alive, by a scan of the lock files that begins within the
// call. A process registers before it listens, so true is conclusive for all that a process has accepted before the call. An
// error means that the scan can't tell: it failed, or the directory did within registrationGrace, so that a process may listen
// that could not register. IsAlone blocks as long as the file system does, and may be called from any goroutine.
func (r *Replica) IsAlone() (bool, error) {
	alone, err := r.scanLocks()
	r.noteFailure(err)
	failedAt := time.Duration(r.failedAt.Load())
	if alone && failedAt > 0 && clock.Monotonic()-failedAt < registrationGrace {
		return false, errRecentFailure
	}
	return alone, err
}

// scanLocks reports whether no lock of another process is held.
func (r *Replica) scanLocks() (areFree bool, err error) {
	own := r.Generation() // read before the list: if this process registers anew meanwhile, it counts as another one
	names, err := r.FileSystem.List(r.Dir)
	if err != nil {
		return false, err
	}
	found := generations(names)
	if found[own]&hasLock == 0 {
		return false, errNotRegistered
	}
	delete(found, own)
	for generation, files := range found {
		if files&hasLock == 0 {
			continue // what is left of a process that has ended
		}
		// A lock file that is missing by now is an error too: the directory may have been removed.
		if alive, err := r.FileSystem.IsLocked(r.path(generation, lockExtension)); alive || err != nil {
			return false, err
		}
	}
	return true, nil
}

// HasSuccessor reports whether a process of the scheduler that was started later is alive and listens. It reads files, and
// may be called from any goroutine.
func (r *Replica) HasSuccessor() bool {
	names, err := r.FileSystem.List(r.Dir)
	if err != nil {
		return false
	}
	own := r.Generation()
	for generation := range generations(names) {
		if generation <= own {
			continue
		}
		if alive, err := r.FileSystem.IsLocked(r.path(generation, lockExtension)); err != nil || !alive {
			continue
		}
		text, err := r.FileSystem.Read(r.path(generation, setExtension))
		if err != nil {
			continue
		}
		if snap, err := decode(text); err == nil && snap.serving {
			return true
		}
	}
	return false
}
