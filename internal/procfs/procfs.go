// Package procfs reads a process's CPU time, memory and open file descriptors from /proc. Package measure and the scale
// tests call it; it keeps no file open.
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

// clockTick is the unit of the times in /proc/PID/stat: USER_HZ is 100 on Linux.
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/PID/stat that follow the command name, counted from 0.
const (
	statUserTime   = 11 // utime
	statSystemTime = 12 // stime
)

// Keys of /proc/PID/status.
const (
	ResidentMemory     = "VmRSS" // the memory that is resident now
	PeakResidentMemory = "VmHWM" // the most that has been resident so far
)

var errFormat = errors.New("unexpected format")

// ProcessorTime returns the CPU time that a process has used in user and in kernel mode, in whole ticks of 10 ms.
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

// Memory returns a value of /proc/PID/status, such as ResidentMemory, in bytes. The file has to give it in kB.
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

// Descriptors returns the number of a process's open file descriptors. For the calling process it includes the one that
// reads the directory.
func Descriptors(pid int) (int, error) {
	d, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, err
	}
	defer d.Close()
	names, err := d.Readdirnames(-1)
	return len(names), err
}

// idleFields are the fields of a core's line in /proc/stat, counted from 0 behind its name, in which it was idle.
var idleFields = map[int]bool{3: true, 4: true} // idle, iowait

// CoreTimes returns for how long each core has been busy, in whole ticks, by its number.
func CoreTimes() ([]time.Duration, error) {
	const path = "/proc/stat"
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var times []time.Duration
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) == 0 || !strings.HasPrefix(fields[0], "cpu") || fields[0] == "cpu" {
			continue
		}
		busy := int64(0)
		for i, field := range fields[1:] {
			ticks, err := strconv.ParseInt(field, 10, 64)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", path, err)
			}
			if !idleFields[i] {
				busy += ticks
			}
		}
		times = append(times, time.Duration(busy)*clockTick)
	}
	return times, nil
}
