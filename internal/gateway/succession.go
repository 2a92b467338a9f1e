package gateway

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// The platform starts a new version beside the old one, with the same addresses and the same $TMPDIR, and
// sends the old one SIGTERM once the new one is ready. A file there tells the old one that it has a
// successor, so that it sends its clients over at once rather than keep them for a front that has nobody
// else. Nothing else passes between the two.

// stateFile names a file of a scheduler in $TMPDIR (os.TempDir), by what it holds and by the scheduler's name
// and clients' address, which an old and a new version share: cobaltflow-KIND-NAME-ADDRESS, with any other
// character than a letter, digit, '-' or '.' written '_'.
func stateFile(kind, name, listen string) string {
	clean := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '.' {
			return r
		}
		return '_'
	}, name+"-"+listen)
	return filepath.Join(os.TempDir(), "cobaltflow-"+kind+"-"+clean)
}

// upFile names the file in which a process that listens writes its id.
func upFile(name, listen string) string { return stateFile("up", name, listen) }

// markUp writes this process's id into the file; it is called once the process listens. The error is for
// the log: without the file a successor is not known, and the old process ends as after any SIGTERM.
func markUp(name, listen string) error {
	path := upFile(name, listen)
	temporary := path + "." + strconv.Itoa(os.Getpid())
	if err := os.WriteFile(temporary, []byte(strconv.Itoa(os.Getpid())+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// succeeded tells whether another process that lives has marked itself up at the same name and address
// since this one did.
func succeeded(name, listen string) bool {
	text, err := os.ReadFile(upFile(name, listen))
	if err != nil {
		return false
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || pid <= 0 || pid == os.Getpid() {
		return false
	}
	err = unix.Kill(pid, 0)
	return err == nil || err == unix.EPERM
}
