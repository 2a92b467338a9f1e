// Package clock owns the process's clocks. Deadlines, windows, waits and graces are spans of the monotonic clock, which
// runs on whatever is done to the wall clock; the wall clock, which may be stepped by an hour, is only for what is told to
// people and peers as a date. Nothing else in the scheduler asks the system for the time; a test holds it so.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

var start = time.Now()

// Monotonic is the time since the process's start. It never goes back.
func Monotonic() time.Duration { return time.Since(start) }

// Machine is the machine's monotonic clock in microseconds, which all its processes read alike. It begins anew when the
// machine does. 0: the system does not tell.
func MachineMicros() uint64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return uint64(now.Nano() / int64(time.Microsecond))
}

// Wall is the wall clock's time. Two readings may be in any order.
func Wall() time.Time { return time.Now().Round(0).Add(time.Duration(wallStep.Load())) }

var wallStep atomic.Int64

// StepWall steps this process's wall clock, as an operator or a time service may step the machine's; for tests.
func StepWall(by time.Duration) { wallStep.Add(int64(by)) }
