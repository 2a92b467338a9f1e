// Command stand plays one case of the review: it starts the program as the deploy file says, and stands in for clients, table workers and
// discovery.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// run is what a case gets.
type run struct {
	root    string // of the repository
	dir     string // a temporary folder
	trouble bool   // with the disruption
	record  *record
}

var cases = map[string]func(*run) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(cantRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(c func(*run) (int, error), folder string) int {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	dir, err := os.MkdirTemp("", "review-two-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer os.RemoveAll(dir)
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer r.close()
	code, err := c(&run{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: r})
	if log := os.Getenv("KEEP_LOG"); log != "" {
		if text, err := os.ReadFile(filepath.Join(dir, "scheduler.log")); err == nil {
			os.WriteFile(log, text, 0o600)
		}
	}
	if err != nil {
		r.say("can't run: %v", err)
		return cantRun
	}
	return code
}
