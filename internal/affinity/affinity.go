// Package affinity places processes on processor cores, for measurements of one core. It changes no priority.
package affinity

import (
	"os"
	"os/exec"
	"runtime"
	"strconv"

	"golang.org/x/sys/unix"
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
