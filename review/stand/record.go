// Package stand holds what the cases of the review share: a record of what was sent, answered and run, and stand-ins for
// clients, table workers, discovery and the platform that starts schedulers. Only the standard library is used, so that it
// builds without a network.
package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Trouble reports whether the case plays its disruption. TROUBLE=0 switches it off.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes one line for each event, with the seconds since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// breaks are the breaches of the rule that the judge has found.
	breaks []string
}

// NewRecord makes record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Since returns the time since the start of the record.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), strings.TrimRight(fmt.Sprintf(format, args...), "\n"))
}

// Break records a breach of the rule.
func (r *Record) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Add("BROKEN %s", text)
	r.mu.Lock()
	r.breaks = append(r.breaks, text)
	r.mu.Unlock()
}

// Breaks returns the breaches so far.
func (r *Record) Breaks() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.breaks...)
}

// Finish writes the verdict to the record and to standard output, and returns the exit code.
func (r *Record) Finish(summary string) int {
	breaks := r.Breaks()
	verdict, code := "the rule held", Held
	if len(breaks) > 0 {
		verdict, code = fmt.Sprintf("the rule was broken %d times; first: %s", len(breaks), breaks[0]), Broken
	}
	r.Add("verdict: %s (%s)", verdict, summary)
	fmt.Printf("%s (%s)\n", verdict, summary)
	return code
}

// Abort writes why the case could not run, and returns the exit code.
func (r *Record) Abort(err error) int {
	r.Add("the case could not run: %v", err)
	fmt.Printf("the case could not run: %v\n", err)
	return NotRun
}
