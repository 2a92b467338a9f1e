package gateway

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"cobaltflow/internal/config"
)

// The platform starts a new version beside the old one, with the same addresses and the same $TMPDIR, and sends the old
// one SIGTERM once the new one is ready (a handover). Package replica carries between the two what operators told either
// of them, and tells the old one of the new one, so that it sends its clients over at once.

// stateFile names a file or folder of a scheduler, by what it holds and by the scheduler's name and clients' address,
// which an old and a new version share: cobaltflow-KIND-NAME-ADDRESS in $TMPDIR (os.TempDir) or the configured folder,
// with any other character than a letter, digit, '-' or '.' written '_'. An address whose port the kernel picks is shared
// with no other process, so the process's id stands behind it.
func stateFilePath(conf *config.Config, kind string) string {
	clean := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '.' {
			return r
		}
		return '_'
	}, conf.Name+"-"+conf.Listen)
	if strings.HasSuffix(conf.Listen, ":0") {
		clean += "-" + strconv.Itoa(os.Getpid())
	}
	folder := conf.StateFolder
	if folder == "" {
		folder = os.TempDir()
	}
	return filepath.Join(folder, "cobaltflow-"+kind+"-"+clean)
}

// writePIDFile writes this process's id where an older version of the program looks for its successor; it is called once
// the process listens. The error is for the log.
func writePIDFile(conf *config.Config) error {
	path := stateFilePath(conf, "up")
	temporary := path + "." + strconv.Itoa(os.Getpid())
	if err := os.WriteFile(temporary, []byte(strconv.Itoa(os.Getpid())+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
