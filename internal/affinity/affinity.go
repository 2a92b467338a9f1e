// Package affinity places processes on processor cores, for measurements of one core. It changes no priority.
package affinity

import (
	"cmp"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"cobaltflow/internal/procfs"
)

// StartOnCore starts a process on one core: its threads inherit the affinity of the thread that starts it. A core below 0
// stands for any.
func StartOnCore(cmd *exec.Cmd, core int) error {
	if core < 0 {
		return cmd.Start()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	one.Set(core)
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	err := cmd.Start()
	if restoreErr := unix.SchedSetaffinity(0, &before); err == nil {
		err = restoreErr
	}
	return err
}

// IdleCores returns so many cores, those first that were busy for the shortest part of a time.
func IdleCores(count int, within time.Duration) ([]int, error) {
	before, err := procfs.CoreTimes()
	if err != nil {
		return nil, err
	}
	time.Sleep(within)
	after, err := procfs.CoreTimes()
	if err != nil {
		return nil, err
	}
	cores := make([]int, min(len(before), len(after)))
	for core := range cores {
		cores[core] = core
	}
	slices.SortStableFunc(cores, func(a, b int) int { return cmp.Compare(after[a]-before[a], after[b]-before[b]) })
	return cores[:min(count, len(cores))], nil
}

// AvoidCore moves the threads of this process off a core, unless it is the only one.
func AvoidCore(core int) {
	var set unix.CPUSet
	if unix.SchedGetaffinity(0, &set) != nil || set.Count() < 2 {
		return
	}
	set.Clear(core)
	tasks, _ := os.ReadDir("/proc/self/task")
	for _, t := range tasks {
		if id, err := strconv.Atoi(t.Name()); err == nil {
			unix.SchedSetaffinity(id, &set)
		}
	}
}
