// Package directive is the module of what operators have told a scheduler: which table workers are out by hand, and
// whether clients are sent away. Each directive is a register with a version; sets that several processes of one
// scheduler hold are merged by the higher version, so that the operator's last word stands whichever process heard it.
// It does no I/O and keeps no clock: package replica carries the sets between processes.
package directive

import (
	"cmp"
	"errors"
	"slices"
	"strings"
)

// Key names one directive.
type Key string

// Drain is the directive that sends the clients away while it is on.
const Drain Key = "drain"

// Reload is told each time a process was asked to read its configuration again; it is never on.
const Reload Key = "reload"

const workerPrefix = "worker/"

// WorkerOut is the directive that keeps a table worker out while it is on.
func WorkerDisabled(worker string) Key { return Key(workerPrefix + worker) }

// Worker gives the table worker of a key; ok is false where the key is no worker's.
func (k Key) Worker() (worker string, ok bool) { return strings.CutPrefix(string(k), workerPrefix) }

// Bounds of a set. A change over them is refused with ErrFull.
const (
	MaxOn      = 4096      // directives that may be on at once
	MaxEntries = 2 * MaxOn // with those that were called back and have to be remembered
)

// ErrFull refuses a change that would take a set over its bounds.
var ErrFull = errors.New("no more directives may be in force at once")

// Entry is the state of one directive.
type Entry struct {
	Key     Key
	Version uint64 // above 0; the higher one stands
	On      bool
}

// newer tells whether e stands against old. Two processes that were called at once may give the same version: then on
// stands, the side on which nothing is sent.
func (e Entry) supersedes(old Entry) bool {
	if e.Version != old.Version {
		return e.Version > old.Version
	}
	return e.On && !old.On
}

// Set holds directives. The zero value is empty and ready for use; it is not safe for use by several goroutines.
type Set struct {
	entries map[Key]Entry
	clock   uint64 // no version given so far is higher
	onCount int
}

// Clock is the highest version that the set has seen.
func (s *Set) Clock() uint64 { return s.clock }

// Observe takes note of a version that was given elsewhere: what is changed here later stands against it.
func (s *Set) Observe(version uint64) { s.clock = max(s.clock, version) }

// Len is the number of entries, also of those that are off.
func (s *Set) Len() int { return len(s.entries) }

// On tells whether a directive is in force.
func (s *Set) IsOn(key Key) bool { return s.entries[key].On }

// Entry gives a directive's state; the zero version says that it was never told.
func (s *Set) Entry(key Key) Entry {
	if e, ok := s.entries[key]; ok {
		return e
	}
	return Entry{Key: key}
}

// Entries are all, by key.
func (s *Set) Entries() []Entry {
	all := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// Merge takes an entry of another process over where it stands against ours, and tells whether it did. An entry over
// MostAll is left out: it stays with the process that holds it.
func (s *Set) Merge(e Entry) bool {
	s.Observe(e.Version)
	old, known := s.entries[e.Key]
	if !known && len(s.entries) >= MaxEntries || !e.supersedes(old) {
		return false
	}
	s.put(old, e)
	return true
}

// Change tells a directive anew, at a time of a clock that all processes of the scheduler share. Its version is that time,
// so that the later of two calls stands although neither process had heard of the other's; or one over all that the set
// has seen, where that is higher. The error is ErrFull.
func (s *Set) Change(key Key, on bool, at uint64) (Entry, error) {
	old, known := s.entries[key]
	full := on && !old.On && s.onCount >= MaxOn
	if full || !known && len(s.entries) >= MaxEntries {
		return old, ErrFull
	}
	s.clock = max(s.clock+1, at)
	e := Entry{Key: key, Version: s.clock, On: on}
	s.put(old, e)
	return e, nil
}

func (s *Set) put(old, e Entry) {
	if s.entries == nil {
		s.entries = map[Key]Entry{}
	}
	if old.On {
		s.onCount--
	}
	if e.On {
		s.onCount++
	}
	s.entries[e.Key] = e
}

// Holds tells whether the set knows an entry or one that stands against it.
func (s *Set) Covers(e Entry) bool {
	mine, known := s.entries[e.Key]
	return known && !e.supersedes(mine)
}

// Prune forgets what was called back, and tells whether there was any. It may be called only while no other process,
// alive or dead, has a set that might still hold such a directive as on.
func (s *Set) Prune() bool {
	before := len(s.entries)
	for key, e := range s.entries {
		if !e.On {
			delete(s.entries, key)
		}
	}
	return len(s.entries) < before
}
