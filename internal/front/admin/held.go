package admin

import (
	"os"
	"slices"
	"strings"
	"sync"
)

// MostHeld bounds the workers that may be out by hand at once; a disable over it is refused with 409.
const MostHeld = 4096

// Held is the set of table workers that the operators took out, kept in a file of $TMPDIR so that a new
// version started beside this one (an upgrade) keeps them out too. Set is the loop's and never waits for
// the disk: a goroutine writes the latest set, by a temporary file and a rename, so that a reader never
// sees half of one. A Held without a file keeps the set in memory alone.
type Held struct {
	path  string
	names map[string]bool // the loop's

	mu      sync.Mutex
	latest  []byte // waiting to be written; nil: nothing is
	wake    chan struct{}
	written chan struct{} // closed and made anew after each write; for tests
}

// OpenHeld reads the set kept at path, if any; a file that can't be read counts as empty, and its error is
// given for the log. path empty: nothing is kept.
func OpenHeld(path string) (*Held, error) {
	h := &Held{path: path, names: map[string]bool{}, wake: make(chan struct{}, 1), written: make(chan struct{})}
	if path == "" {
		return h, nil
	}
	text, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return h, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line != "" && len(h.names) < MostHeld {
			h.names[line] = true
		}
	}
	go h.keep()
	return h, nil
}

// Names are the workers out, in order.
func (h *Held) Names() []string {
	out := make([]string, 0, len(h.names))
	for name := range h.names {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Full tells whether no further worker may be taken out.
func (h *Held) Full() bool { return len(h.names) >= MostHeld }

// Set takes a worker out (out) or lets it back in, and has the set written.
func (h *Held) Set(name string, out bool) {
	if h.names[name] == out || out && h.Full() {
		return
	}
	if out {
		h.names[name] = true
	} else {
		delete(h.names, name)
	}
	if h.path == "" {
		return
	}
	text := []byte(strings.Join(h.Names(), "\n") + "\n")
	h.mu.Lock()
	h.latest = text
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Written gives a channel that is closed after the next write; for tests.
func (h *Held) Written() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.written
}

func (h *Held) keep() {
	for range h.wake {
		h.mu.Lock()
		text := h.latest
		h.latest = nil
		h.mu.Unlock()
		if text != nil {
			temporary := h.path + ".new"
			if os.WriteFile(temporary, text, 0o600) == nil {
				os.Rename(temporary, h.path)
			}
		}
		h.mu.Lock()
		close(h.written)
		h.written = make(chan struct{})
		h.mu.Unlock()
	}
}
