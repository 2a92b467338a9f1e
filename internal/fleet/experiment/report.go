package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"cobaltflow/internal/fleet/report"
)

// WriteReport writes report.html for the records in a directory and in the directories below it, and returns its path.
func WriteReport(dir string) (string, error) {
	dirs, err := filepath.Glob(filepath.Join(dir, "*", "about.json"))
	if err != nil {
		return "", err
	}
	if _, err := os.Stat(filepath.Join(dir, "about.json")); err == nil {
		dirs = append(dirs, filepath.Join(dir, "about.json"))
	}
	if len(dirs) == 0 {
		return "", fmt.Errorf("%s: no records", dir)
	}
	for i := range dirs {
		dirs[i] = filepath.Dir(dirs[i])
	}
	slices.Sort(dirs)
	path := filepath.Join(dir, "report.html")
	return path, report.Write(path, dirs)
}
