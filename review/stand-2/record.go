package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, a line an event, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() { r.file.Close() }
