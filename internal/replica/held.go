package replica

import (
	"bytes"
	"path/filepath"

	"cobaltflow/internal/directive"
)

// heldDirectory is the directory in which this process is registered, kept open. Through it the live processes of the scheduler go
// on exchanging directives while its path is unavailable: a process that ends meanwhile would take what it could not write
// with it. A change does not count as written by that, since a process that is started later finds the directory by its path only.
type heldDirectory struct {
	directory OpenDirectory // nil: it could not be opened
	written   []byte        // content that was last written to this process's file in it, for want of the path
}

// holdDirectory keeps the directory open in which this process has just registered.
func (r *Replica) holdDirectory() {
	r.held.close()
	directory, err := r.FileSystem.Hold(r.Dir)
	if err != nil {
		return // the others will not hear of changes while the path is unavailable
	}
	r.held = heldDirectory{directory: directory}
}

// close closes the directory.
func (h *heldDirectory) close() {
	if h.directory != nil {
		// Nothing is written through the descriptor, so that an error has no consequence.
		_ = h.directory.Close()
	}
	*h = heldDirectory{}
}

// path returns the path of a generation's file.
func (h *heldDirectory) path(generation int, extension string) string {
	return filepath.Join(h.directory.Path(), fileName(generation, extension))
}

// readHeldDirectory merges the files of the processes that the last scan found, and returns the directives that changed.
func (r *Replica) readHeldDirectory() (changed []directive.Entry) {
	if r.held.directory == nil {
		return nil
	}
	for generation, p := range r.peers {
		text, err := r.FileSystem.Read(r.held.path(generation, setExtension))
		if err == nil { // else its process has nothing to tell, or the directory is gone for good
			changed = append(changed, r.merge(generation, p, text)...)
		}
	}
	return changed
}

// writeHeldDirectory writes the set to this process's file, for the other live processes.
func (r *Replica) writeHeldDirectory() {
	if r.held.directory == nil {
		return
	}
	text := encode(r.serving.Load(), &r.set)
	if bytes.Equal(text, r.held.written) {
		return
	}
	if err := r.FileSystem.Replace(r.held.path(r.generation, setExtension), text); err == nil {
		r.held.written = text
	}
}
