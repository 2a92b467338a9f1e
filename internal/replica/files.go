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

// Files is what a Replica asks of the file system. Errors are the system's; a missing file is fs.ErrNotExist.
type FileSystem interface {
	// MakeFolder makes a folder, not those above it; one that is there is no error.
	Mkdir(path string) error
	// List gives the names in a folder.
	List(path string) ([]string, error)
	Read(path string) ([]byte, error)
	// Replace has path hold text: a reader, or a process that is killed meanwhile, finds the old text or the new one.
	Replace(path string, text []byte) error
	// Remove removes a file, or a folder that is empty; one that is not there is no error.
	Remove(path string) error
	// RemoveUnlocked removes the files of a process that has ended, and the one that it held locked last. It removes
	// nothing where a process that lives holds that lock, also one that has just come to hold it.
	RemoveUnlocked(lock string, others ...string) error
	// Lock makes a file that was not there (else fs.ErrExist) and locks it until Unlock or the end of the process.
	Lock(path string) (Lock, error)
	// Locked tells whether a process that lives holds the lock of a file.
	IsLocked(path string) (bool, error)
}

// Lock is a lock that this process holds.
type Lock interface{ Unlock() }

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// System is the file system of the machine.
type OSFileSystem struct{}

// MakeFolder implements Files.
func (OSFileSystem) Mkdir(path string) error {
	err := os.Mkdir(path, dirMode)
	if errors.Is(err, fs.ErrExist) {
		return nil
	}
	return err
}

// List implements Files.
func (OSFileSystem) List(path string) ([]string, error) {
	folder, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer folder.Close()
	return folder.Readdirnames(-1)
}

// Read implements Files.
func (OSFileSystem) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Replace implements Files by a temporary file beside path, which is synced and renamed.
func (OSFileSystem) Replace(path string, text []byte) error {
	temporary := strings.TrimSuffix(path, filepath.Ext(path)) + temporaryExtension
	if err := writeSynced(temporary, text); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
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

// Remove implements Files.
func (OSFileSystem) Remove(path string) error {
	err := os.Remove(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

type fileLock struct{ file *os.File }

// Unlock implements Lock.
func (l fileLock) Unlock() { l.file.Close() }

// Lock implements Files by flock: the kernel lets it go with the process, however that ends. The file holds the
// process's id for systems that know no flock.
func (OSFileSystem) Lock(path string) (Lock, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return nil, err
	}
	err = flock(file, unix.LOCK_EX)
	if err == nil || !errors.Is(err, unix.EWOULDBLOCK) {
		_, err = file.WriteString(strconv.Itoa(os.Getpid()))
	}
	if err == nil && !sameFile(file, path) {
		err = fs.ErrExist // another process took it for one of a dead process and removed it
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return fileLock{file}, nil
}

func sameFile(file *os.File, path string) bool {
	mine, err := file.Stat()
	if err != nil {
		return false
	}
	there, err := os.Stat(path)
	return err == nil && os.SameFile(mine, there)
}

// flock locks a file without waiting. EWOULDBLOCK says that another holds it.
func flock(file *os.File, how int) error {
	for {
		if err := unix.Flock(int(file.Fd()), how|unix.LOCK_NB); err != unix.EINTR {
			return err
		}
	}
}

// Locked implements Files. Where the system knows no flock the process's id in the file tells.
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

// RemoveUnlocked implements Files. The lock is held meanwhile, so that nobody else can come to hold it.
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
