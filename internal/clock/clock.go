// Package clock owns the process's clocks; no other package of the scheduler reads the system's time, which a test enforces.
// Deadlines, windows, waits and graces are measured on the monotonic clock, which the steps of the wall clock do not
// affect. The wall clock may be stepped by an hour, and is used only for dates shown to people or sent to peers.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

var (
	start       = time.Now()
	startMicros = MachineMicros()
)

// Monotonic returns the time since the process started. It never goes backwards.
func Monotonic() time.Duration { return time.Since(start) }

// MachineMicros returns the machine's monotonic clock (CLOCK_MONOTONIC) in microseconds. All processes of the machine
// read the same clock, and it restarts when the machine does. The result is 0 if the clock cannot be read.
func MachineMicros() uint64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return uint64(now.Nano() / int64(time.Microsecond))
}

// StartMicros returns what MachineMicros was when the process started.
func StartMicros() uint64 { return startMicros }

// Wall returns the wall-clock time. A later reading may give an earlier time.
func Wall() time.Time { return time.Now().Round(0).Add(time.Duration(wallStep.Load())) }

var wallStep atomic.Int64 // nanoseconds

// StepWall steps this process's wall clock, as an operator or a time service may step the machine's. It is for tests.
func StepWall(by time.Duration) { wallStep.Add(int64(by)) }
