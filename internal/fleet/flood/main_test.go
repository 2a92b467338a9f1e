package flood

import (
	"os"
	"testing"
)

// testDir holds the program and the folders of the plays; it is removed when the tests have ended.
var testDir string

func TestMain(m *testing.M) {
	code := m.Run()
	if testDir != "" {
		os.RemoveAll(testDir)
	}
	os.Exit(code)
}

func tempDir() (string, error) {
	var err error
	testDir, err = os.MkdirTemp("", "cobaltflow-flood-")
	return testDir, err
}

func makeDir(path string) error { return os.Mkdir(path, 0o700) }
