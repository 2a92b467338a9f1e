// Package log makes the program's structured log: log/slog over a writer that never makes the caller wait,
// since a slow reader of the log must not hold up the loop. It decides nothing and knows no wire.
package log

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
)

// Formats of the log.
const (
	Text = "text" // key=value
	JSON = "json" // one object a line
)

// Settings of the log. Zero values stand for text and info.
type Settings struct {
	Format string // Text or JSON
	Level  string // debug, info, warn or error
}

const maxQueuedLines = 1024 // lines that may wait to be written; past it they are dropped and counted

// New makes a logger over a background writer to w. Close the writer when nothing is logged any more.
func New(w io.Writer, s Settings) (*slog.Logger, *Writer, error) {
	var level slog.Level
	if s.Level != "" {
		if err := level.UnmarshalText([]byte(strings.ToUpper(s.Level))); err != nil {
			return nil, nil, fmt.Errorf("log.level: %q is none of debug, info, warn, error", s.Level)
		}
	}
	sink := NewWriter(w)
	options := &slog.HandlerOptions{Level: level}
	switch s.Format {
	case "", Text:
		return slog.New(slog.NewTextHandler(sink, options)), sink, nil
	case JSON:
		return slog.New(slog.NewJSONHandler(sink, options)), sink, nil
	}
	return nil, nil, fmt.Errorf("log.format: %q is neither text nor json", s.Format)
}

// Writer writes lines in the background. A Write never blocks: lines beyond what is kept are dropped, and
// their number is told in the next line.
type Writer struct {
	mu      sync.Mutex
	closed  bool
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewWriter starts a writer to w.
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

// Write queues a line. It always succeeds: a log that can't be written is no reason to stop.
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

// Close writes out what is queued. What is logged later is let pass.
func (l *Writer) Close() {
	l.mu.Lock()
	l.closed = true
	close(l.lines)
	l.mu.Unlock()
	l.done.Wait()
}
