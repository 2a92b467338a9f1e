// Package directive holds what operators have set in one scheduler at run time, such as disabled workers or a client drain,
// as versioned registers that merge by last write. It does no I/O and reads no clock: packages gateway and admin change the
// directives, and package replica shares them among the processes of the scheduler.
package directive

import (
	"cmp"
	"errors"
	"slices"
	"strings"
)

// Key names one directive.
type Key string

// Drain is the directive that turns clients away while it is on.
const Drain Key = "drain"

// Reload is the directive that makes every process of the scheduler reload its configuration. Each change of it is one
// reload request; it is never on.
const Reload Key = "reload"

// Join is the directive with which a process that starts asks the others to write their files once more. Each change of it is
// one request; it is never on.
const Join Key = "join"

const workerPrefix = "worker/"

// WorkerDisabled returns the key of the directive that keeps a table worker out of rotation while it is on.
func WorkerDisabled(worker string) Key { return Key(workerPrefix + worker) }

// Worker returns the table worker that the key names; ok is false for any other kind of key.
func (k Key) Worker() (worker string, ok bool) { return strings.CutPrefix(string(k), workerPrefix) }

// Bounds of a Set. Change refuses to exceed them with ErrFull.
const (
	MaxOn      = 4096      // directives that are on
	MaxEntries = 2 * MaxOn // all entries, including the directives that were turned off and have to be remembered
)

// ErrFull is returned for a change that would exceed the bounds of a Set.
var ErrFull = errors.New("too many directives")

// Entry is the state of one directive.
type Entry struct {
	Key     Key
	Version uint64 // above 0; the entry with the higher version wins
	On      bool
}

// supersedes reports whether e wins over old. Two processes that change a directive at the same time may assign the same
// version: then on wins, the state in which nothing is sent.
func (e Entry) supersedes(old Entry) bool {
	if e.Version != old.Version {
		return e.Version > old.Version
	}
	return e.On && !old.On
}

// Set holds directives. The zero value is empty and ready to use. It is not safe for concurrent use.
type Set struct {
	entries map[Key]Entry
	clock   uint64 // highest version seen
	onCount int    // entries that are on
}

// Clock returns the highest version that the set has seen.
func (s *Set) Clock() uint64 { return s.clock }

// Observe records a version assigned by another process, so that later changes in this set get a higher one.
func (s *Set) Observe(version uint64) { s.clock = max(s.clock, version) }

// Len returns the number of entries, including those that are off.
func (s *Set) Len() int { return len(s.entries) }

// IsOn reports whether a directive is on.
func (s *Set) IsOn(key Key) bool { return s.entries[key].On }

// Entry returns a directive's state. Its version is 0 if the directive was never set.
func (s *Set) Entry(key Key) Entry {
	if e, ok := s.entries[key]; ok {
		return e
	}
	return Entry{Key: key}
}

// Entries returns all entries, sorted by key.
func (s *Set) Entries() []Entry {
	entries := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries
}

// Merge stores another process's entry if it supersedes the entry in the set, and reports whether it did. A new entry beyond
// MaxEntries is ignored: it stays with the process that holds it.
func (s *Set) Merge(e Entry) bool {
	s.Observe(e.Version)
	old, known := s.entries[e.Key]
	if !known && len(s.entries) >= MaxEntries || !e.supersedes(old) {
		return false
	}
	s.put(old, e)
	return true
}

// Change sets a directive. at is the time of the operator's call by a clock that all processes of the scheduler share. The
// new version is that time, so that the later of two calls wins even if neither process had seen the other's; or one more
// than the highest version seen, if that is higher. The error is ErrFull.
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

// Covers reports whether the set holds the entry or one that supersedes it.
func (s *Set) Covers(e Entry) bool {
	current, known := s.entries[e.Key]
	return known && !e.supersedes(current)
}

// Prune deletes the directives that are off, and reports whether there were any. It may be called only while no other
// process, alive or dead, has a set in which such a directive might still be on.
func (s *Set) Prune() bool {
	before := len(s.entries)
	for key, e := range s.entries {
		if !e.On {
			delete(s.entries, key)
		}
	}
	return len(s.entries) < before
}
