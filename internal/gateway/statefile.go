package gateway

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"cobaltflow/internal/config"
)

// Handover: the platform starts a new version of the program beside the old one, with the same addresses and the same
// $TMPDIR, and sends the old one SIGTERM once the new one is ready. Package replica exchanges the operators' directives
// between the two processes, and lets the old one detect the new one, so that it drains its clients at once.

// stateFilePath returns the path of a file or directory that the processes of one scheduler share:
// cobaltflow-KIND-NAME-ADDRESS in $TMPDIR (os.TempDir) or the configured directory. Kind is what the file holds; name and
// address are the scheduler's, and equal in an old and a new version. Characters other than letters, digits, '-' and '.'
// are replaced by '_'. An address whose port the kernel chooses is shared with no other process, so the process ID is
// appended.
func stateFilePath(conf *config.Config, kind string) string {
	suffix := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '.' {
			return r
		}
		return '_'
	}, conf.Name+"-"+conf.Listen)
	if strings.HasSuffix(conf.Listen, ":0") {
		suffix += "-" + strconv.Itoa(os.Getpid())
	}
	dir := conf.StateDir
	if dir == "" {
		dir = os.TempDir()
	}
	return filepath.Join(dir, "cobaltflow-"+kind+"-"+suffix)
}

// writePIDFile writes the process ID to the file by which an older version of the program detects its successor. It must
// be called after the process has begun to listen. The error is only logged.
func writePIDFile(conf *config.Config) error {
	path := stateFilePath(conf, "up")
	temporary := path + "." + strconv.Itoa(os.Getpid())
	if err := os.WriteFile(temporary, []byte(strconv.Itoa(os.Getpid())+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
