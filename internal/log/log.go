// Package log provides the program's structured log: log/slog over a writer that never blocks, since a slow reader of the
// log must not stall the event loop. All packages of the scheduler log through the logger that it returns.
package log

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
)

// Values of Settings.Format.
const (
	Text = "text" // key=value
	JSON = "json" // one object per line
)

// Settings configures the log.
type Settings struct {
	Format string // Text or JSON; empty: Text
	Level  string // debug, info, warn or error; empty: info
}

// maxQueuedLines is the number of lines that may wait to be written. Further lines are dropped and counted.
const maxQueuedLines = 1024

// New returns a logger that writes to w in the background, and its writer, which must be closed after the last line is
// logged. The error names the setting that is invalid.
func New(w io.Writer, s Settings) (*slog.Logger, *Writer, error) {
	var level slog.Level
	if s.Level != "" {
		if err := level.UnmarshalText([]byte(strings.ToUpper(s.Level))); err != nil {
			return nil, nil, fmt.Errorf("log.level: %q is not one of debug, info, warn, error", s.Level)
		}
	}
	writer := NewWriter(w)
	options := &slog.HandlerOptions{Level: level}
	switch s.Format {
	case "", Text:
		return slog.New(slog.NewTextHandler(writer, options)), writer, nil
	case JSON:
		return slog.New(slog.NewJSONHandler(writer, options)), writer, nil
	}
	return nil, nil, fmt.Errorf("log.format: %q is neither text nor json", s.Format)
}

// Writer writes lines in the background. Write never blocks: lines that do not fit into the queue are dropped, and their
// number is logged before the next line that is written.
type Writer struct {
	mu      sync.Mutex
	closed  bool
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewWriter returns a writer to w and starts its goroutine, which runs until Close.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, maxQueuedLines)}
	l.done.Go(func() {
		for line := range l.lines {
			if n := l.dropped.Swap(0); n > 0 {
				fmt.Fprintf(w, "level=WARN msg=\"log lines dropped\" count=%d\n", n)
			}
			w.Write(line)
		}
	})
	return l
}

// Write queues a copy of a line. It never returns an error, since the program must go on if the log cannot be written.
func (l *Writer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return len(line), nil
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the queued lines are written. Lines logged later are discarded.
func (l *Writer) Close() {
	l.mu.Lock()
	l.closed = true
	close(l.lines)
	l.mu.Unlock()
	l.done.Wait()
}
