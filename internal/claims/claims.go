// Package claims is a table of request IDs that the processes of one scheduler share. A process claims the ID of a request that
// must not run twice before it admits it; an ID that another process, or an earlier request, has claimed is not admitted again.
//
// The table is a file in memory that all processes map. A claim is a few atomic operations: it needs no lock, which a killed process
// could keep, asks nobody, and never waits. The table has a fixed size; a new claim replaces the oldest of the few that share its
// place.
package claims

import (
	"fmt"
	"os"
	"sync/atomic"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	slotCount  = 32 << 10 // of the table
	slotBytes  = 8
	tableBytes = slotCount * slotBytes
	window     = 16 // slots in which an ID may be

	secondBits = 16
	secondMask = 1<<secondBits - 1
)

// Table is the shared table. Its methods may be called from any goroutine.
type Table struct {
	slots []atomic.Uint64
}

// Open maps the table in a file, which it creates if it does not exist.
func Open(path string) (*Table, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	// The same size for all: it changes nothing in a table that is in use. The space is allocated, since a write to a mapped page that
	// the file system has no space for would end the process.
	if err := unix.Fallocate(int(file.Fd()), 0, 0, tableBytes); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	memory, err := unix.Mmap(int(file.Fd()), 0, tableBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED|unix.MAP_POPULATE)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Table{slots: unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(&memory[0])), slotCount)}, nil
}

// NewLocal returns a table of this process alone.
func NewLocal() *Table { return &Table{slots: make([]atomic.Uint64, slotCount)} }

// Claim claims an ID at a time, in seconds on a clock that all processes share, and reports whether it was free. Of processes that
// claim the same ID at the same time one at most gets it.
func (t *Table) Claim(id string, second int64) bool {
	hash := xxhash.Sum64String(id)
	first := int(hash % slotCount)
	tag := hash &^ secondMask
	if tag == 0 {
		tag = secondMask + 1 // 0 is a free slot
	}
	entry := tag | uint64(second)&secondMask
	for {
		oldest, oldestEntry, isClaimed := t.find(first, tag, second, -1)
		if isClaimed {
			return false
		}
		if !t.slots[oldest].CompareAndSwap(oldestEntry, entry) {
			continue // another claim took the slot
		}
		// Another process may have claimed the ID in another slot meanwhile. The later one of the two finds the other's.
		_, _, isClaimed = t.find(first, tag, second, oldest)
		return !isClaimed
	}
}

// find looks for a claim in the slots that an ID may have, but for one, and for the slot that a new claim replaces: a free one, or
// the oldest.
func (t *Table) find(first int, tag uint64, second int64, except int) (oldest int, oldestEntry uint64, isClaimed bool) {
	oldestAge := int64(-1)
	for i := range window {
		slot := (first + i) % slotCount
		entry := t.slots[slot].Load()
		if slot != except && entry&^secondMask == tag {
			return 0, 0, true
		}
		age := int64(secondMask + 1)
		if entry != 0 {
			age = (second - int64(entry&secondMask)) & secondMask
		}
		if age > oldestAge {
			oldest, oldestEntry, oldestAge = slot, entry, age
		}
	}
	return oldest, oldestEntry, false
}
