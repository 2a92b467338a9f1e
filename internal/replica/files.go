package replica

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// FileSystem is the part of the file system that a Replica uses. Errors are the operating system's; a missing file is
// fs.ErrNotExist.
type FileSystem interface {
	// Mkdir creates a directory but not its parents; an existing one is no error.
	Mkdir(path string) error
	// List returns the names in a directory.
	List(path string) ([]string, error)
	// Read returns the content of a file.
	Read(path string) ([]byte, error)
	// Replace writes a file atomically: a concurrent reader, or the next reader after a crash, finds the old content or
	// the new content, never a mix.
	Replace(path string, text []byte) error
	// Remove removes a file or an empty directory; a missing one is no error.
	Remove(path string) error
	// RemoveUnlocked removes the files of a process that has ended, its lock file last. It removes nothing while a live
	// process holds that lock, even one that has acquired it just now.
	RemoveUnlocked(lock string, others ...string) error
	// Lock creates a file and locks it until Unlock or the end of the process. It fails with fs.ErrExist if the file
	// exists already.
	Lock(path string) (Lock, error)
	// IsLocked reports whether a live process holds the lock of a file.
	IsLocked(path string) (bool, error)
	// Hold opens a directory, which stays reachable while its own path names it no longer.
	Hold(path string) (OpenDirectory, error)
}

// OpenDirectory is an open directory.
type OpenDirectory interface {
	// Path returns a path of the directory that holds wherever it was moved to.
	Path() string
	Close() error
}

// Lock is a file lock held by this process.
type Lock interface{ Unlock() }

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OSFileSystem is the FileSystem of the operating system.
type OSFileSystem struct{}

// Mkdir implements FileSystem.
func (OSFileSystem) Mkdir(path string) error {
	err := os.Mkdir(path, dirMode)
	if errors.Is(err, fs.ErrExist) {
		return nil
	}
	return err
}

// List implements FileSystem.
func (OSFileSystem) List(path string) ([]string, error) {
	dir, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	return dir.Readdirnames(-1)
}

// Read implements FileSystem.
func (OSFileSystem) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Replace implements FileSystem: it writes and syncs a temporary file in the same directory, then renames it to path.
func (OSFileSystem) Replace(path string, text []byte) error {
	temporary := strings.TrimSuffix(path, filepath.Ext(path)) + temporaryExtension
	if err := writeSynced(temporary, text); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

func writeSynced(path string, text []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	if _, err := file.Write(text); err != nil {
		file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// Remove implements FileSystem.
func (OSFileSystem) Remove(path string) error {
	err := os.Remove(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// directoryFile is a OpenDirectory by its descriptor.
type directoryFile struct{ *os.File }

// Path implements OpenDirectory.
func (d directoryFile) Path() string { return "/proc/self/fd/" + strconv.Itoa(int(d.Fd())) }

// Hold implements FileSystem.
func (OSFileSystem) Hold(path string) (OpenDirectory, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	return directoryFile{file}, nil
}

type fileLock struct{ file *os.File }

// Unlock implements Lock.
func (l fileLock) Unlock() { l.file.Close() }

// Lock implements FileSystem with flock, which the kernel releases when the process ends, however it ends. The file holds
// the process ID, for file systems without flock; elsewhere it may be missing.
func (OSFileSystem) Lock(path string) (Lock, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return nil, err
	}
	err = flock(file, unix.LOCK_EX)
	if !errors.Is(err, unix.EWOULDBLOCK) {
		_, writeErr := file.WriteString(strconv.Itoa(os.Getpid()))
		if err != nil {
			err = writeErr // without flock it takes the process ID, which a full disk does not hold
		}
	}
	if err == nil && !sameFile(file, path) {
		err = fs.ErrExist // another process took the file for a dead process's and removed it
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return fileLock{file}, nil
}

// sameFile reports whether path still names the open file.
func sameFile(file *os.File, path string) bool {
	opened, err := file.Stat()
	if err != nil {
		return false
	}
	current, err := os.Stat(path)
	return err == nil && os.SameFile(opened, current)
}

// flock locks a file without waiting. It fails with EWOULDBLOCK while another process holds the lock.
func flock(file *os.File, how int) error {
	for {
		if err := unix.Flock(int(file.Fd()), how|unix.LOCK_NB); err != unix.EINTR {
			return err
		}
	}
}

// IsLocked implements FileSystem. On a file system without flock it checks the process whose ID the file holds.
func (OSFileSystem) IsLocked(path string) (bool, error) {
	file, err := os.Open(path)
	if err != nil {
		return false, err
	}
	defer file.Close()
	switch err := flock(file, unix.LOCK_SH); {
	case err == nil:
		return false, nil
	case errors.Is(err, unix.EWOULDBLOCK):
		return true, nil
	}
	return isOwnerAlive(path), nil
}

// RemoveUnlocked implements FileSystem. It holds the lock meanwhile, so that no other process can acquire it.
func (s OSFileSystem) RemoveUnlocked(lock string, others ...string) error {
	file, err := os.Open(lock)
	if err == nil {
		defer file.Close()
		err = flock(file, unix.LOCK_EX)
	}
	switch {
	case errors.Is(err, unix.EWOULDBLOCK):
		return nil
	case err != nil && !errors.Is(err, fs.ErrNotExist) && isOwnerAlive(lock):
		return nil
	}
	for _, path := range append(others, lock) {
		if err := s.Remove(path); err != nil {
			return err
		}
	}
	return nil
}

// isOwnerAlive reports whether the process exists whose ID a lock file holds.
func isOwnerAlive(path string) bool {
	text, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	pid, err := strconv.Atoi(string(text))
	if err != nil || pid <= 0 {
		return false
	}
	err = unix.Kill(pid, 0)
	return err == nil || err == unix.EPERM
}
