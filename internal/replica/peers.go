package replica

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"slices"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/directive"
)

// peer is another process of the scheduler, alive or dead, as its files show it.
type peer struct {
	alive bool
	text  []byte
	snap  *snapshot // nil: it has no file that can be read yet
}

// look reads the other processes' files and gives the directives that they changed. vanished tells that one went away
// meanwhile: what it held stands in another, which may have been read before.
func (r *Replica) scan() (news []directive.Entry, vanished bool, err error) {
	found, failed := r.listGenerations()
	if found == nil {
		return nil, false, failed
	}
	delete(found, r.generation)
	maps.DeleteFunc(r.peers, func(generation int, _ *peer) bool { return found[generation] == 0 })
	for _, generation := range slices.Sorted(maps.Keys(found)) {
		changed, err := r.readPeer(generation)
		if errors.Is(err, fs.ErrNotExist) {
			vanished = vanished || found[generation]&hasSet != 0
			continue
		}
		if err != nil {
			return news, vanished, err
		}
		news = append(news, changed...)
	}
	if failed != nil {
		return news, vanished, failed
	}
	r.alone = len(found) == 0
	if !r.hasScanned {
		r.hasScanned = true
		news = append(news, r.reapplyEarlyChanges()...)
	}
	return news, vanished, nil
}

// raiseUnseen has what was told here before the first look stand against files from before the machine's last start, whose
// versions may be over all that its clock gives now.
func (r *Replica) reapplyEarlyChanges() (news []directive.Entry) {
	unseen := r.changedBeforeScan
	r.changedBeforeScan = nil
	if r.set.Clock() <= clock.MachineMicros() {
		return nil
	}
	for key, on := range unseen {
		if raised, err := r.set.Change(key, on, 0); err == nil { // else what was found stands
			news = append(news, raised)
			r.dirty = true
		}
	}
	return news
}

// list gives the generations in the folder. Where it lacks our own lock, or has been made anew, we register again; where
// that fails (a full disk), what the others hold can be read all the same.
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

// read takes over what another process's file says anew.
func (r *Replica) readPeer(generation int) (news []directive.Entry, err error) {
	p := r.peers[generation]
	if p == nil {
		p = &peer{}
		r.peers[generation] = p
	}
	if p.alive, err = r.FileSystem.IsLocked(r.path(generation, lockExtension)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	text, err := r.FileSystem.Read(r.path(generation, setExtension))
	if err != nil || bytes.Equal(text, p.text) {
		return nil, err
	}
	snap, err := decode(text)
	if err != nil || snap.badLines > 0 || !snap.complete {
		r.logInvalidFile(generation, snap, err)
	}
	if err != nil {
		return nil, nil
	}
	p.text, p.snap = text, snap
	r.set.Observe(snap.set.Clock())
	for _, e := range snap.set.Entries() {
		if r.set.Merge(e) {
			news = append(news, e)
			r.dirty = true
			r.Log.Info("directive: taken over", "key", string(e.Key), "on", e.On, "version", e.Version, "from", generation,
				"generation", r.generation)
		}
	}
	return news, nil
}

// noteStrange logs a file that is not as a process writes it, once for each process.
func (r *Replica) logInvalidFile(generation int, snap *snapshot, err error) {
	if r.invalidLogged[generation] {
		return
	}
	r.invalidLogged[generation] = true
	if err != nil {
		r.Log.Warn("directive: a file is let be", "of", generation, "error", err)
		return
	}
	r.Log.Warn("directive: a file is spoilt, its good lines are taken", "of", generation, "bad_lines", snap.badLines, "whole", snap.complete)
}

// confirmed tells whether every other process that lives has an entry, or one that stands against it, in its file.
func (r *Replica) isConfirmed(e directive.Entry) bool {
	for _, p := range r.peers {
		if p.alive && (p.snap == nil || !p.snap.set.Covers(e)) {
			return false
		}
	}
	return true
}

func (r *Replica) isHeldByPeer(e directive.Entry) bool {
	for _, p := range r.peers {
		if p.alive && p.snap != nil && p.snap.set.Covers(e) {
			return true
		}
	}
	return false
}

// removeDead removes the files of processes that have ended, once ours holds what they held. A file in a form that is
// not known here stays: a later version of the program may need it.
func (r *Replica) removeDead() {
	for generation, p := range r.peers {
		if !p.alive && !(p.snap == nil && r.invalidLogged[generation]) {
			r.removeFiles(generation)
		}
	}
}

// remove removes the files of a process that has ended. What can't be removed now is tried again at the next look.
func (r *Replica) removeFiles(generation int) {
	r.FileSystem.RemoveUnlocked(r.path(generation, lockExtension), r.path(generation, setExtension), r.path(generation, temporaryExtension))
}

// Successor tells whether a process of the scheduler that was started later lives and listens.
func (r *Replica) HasSuccessor() bool {
	names, err := r.FileSystem.List(r.Dir)
	if err != nil {
		return false
	}
	for generation := range generations(names) {
		if generation <= r.generation {
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
