// Package procfs reads what the kernel tells of a process under /proc: processor time, memory and descriptors. It
// decides nothing, and keeps nothing open.
package procfs

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of the times in /proc/PID/stat on Linux, USER_HZ.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat behind the name of the command, counted from 0.
const (
	statUserTime   = 11 // utime
	statSystemTime = 12 // stime
)

// Keys of /proc/PID/status.
const (
	ResidentMemory     = "VmRSS" // what is in memory now
	PeakResidentMemory = "VmHWM" // the most that has been
)

var errFormat = errors.New("not in the form that is known")

// ProcessorTime is the processor time that a process has used, in user and in kernel mode, in whole ticks of 10 ms.
func ProcessorTime(pid int) (time.Duration, error) {
	path := fmt.Sprintf("/proc/%d/stat", pid)
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statSystemTime {
		return 0, fmt.Errorf("%s: %w", path, errFormat)
	}
	user, err := strconv.ParseInt(fields[statUserTime], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	system, err := strconv.ParseInt(fields[statSystemTime], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	return time.Duration(user+system) * clockTick, nil
}

// Memory is a figure of /proc/PID/status in bytes, by its key.
func Memory(pid int, key string) (int64, error) {
	path := fmt.Sprintf("/proc/%d/status", pid)
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		rest, found := strings.CutPrefix(s.Text(), key+":")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %s: %w", path, key, err)
		}
		return kilobytes << 10, nil
	}
	return 0, fmt.Errorf("%s: %s: %w", path, key, errFormat)
}

// Descriptors is the number of descriptors that a process holds open.
func Descriptors(pid int) (int, error) {
	d, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, err
	}
	defer d.Close()
	names, err := d.Readdirnames(-1)
	return len(names), err
}
