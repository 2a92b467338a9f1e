package platform

import (
	"slices"

	"cobaltflow/internal/core"
)

// othersCheckTimeout bounds the wait for a check for other processes. A callback that has waited for so long (the directory
// hangs) is forwarded.
const othersCheckTimeout = 100 * core.Millisecond

// othersCheck decides on callbacks of unknown IDs while this process counts itself alone. Another process may have started
// since the count was made, so isAlone is asked anew: by a call that begins after the callback has arrived, since then it finds
// each process that has listened by then.
//
// At most one call runs at a time, and callbacks that arrive meanwhile wait for the next one. A callback that waits holds its
// connection and leaves when that ends, so the budget of client connections bounds their number.
type othersCheck struct {
	// isAlone reports whether this process is the only one of its scheduler; an error means that this can't be told. It may
	// block, and is called outside of the loop.
	isAlone   func() (bool, error)
	timeout   core.Time // othersCheckTimeout, save in tests
	isRunning bool
	current   []*heldCallback // decided by the call that runs
	next      []*heldCallback // arrived since it began; decided by the next one
}

// SetIsAlone sets the function that reports whether no other process of this scheduler is alive, by a scan that begins within
// the call. It may block, and is called outside of the loop; an error means that the scan can't tell. SetIsAlone must be
// called on the loop, or before Start; a front without it counts itself as the only process.
func (f *Front) SetIsAlone(isAlone func() (bool, error)) { f.othersCheck.isAlone = isAlone }

// checkOthers refuses a callback if there is no other process that could have its job. Otherwise, and if that can't be told
// within othersCheckTimeout, it forwards the callback.
func (f *Front) checkOthers(held *heldCallback) {
	held.timeout = f.loop.At(f.loop.Now()+f.othersCheck.timeout, func() {
		f.othersCheck.remove(held)
		f.forwardCallback(held)
	})
	f.othersCheck.next = append(f.othersCheck.next, held)
	f.startOthersCheck()
}

// startOthersCheck starts a call of isAlone for the callbacks that have arrived, unless one runs or there are none.
func (f *Front) startOthersCheck() {
	check := &f.othersCheck
	if check.isRunning || len(check.next) == 0 {
		return
	}
	check.isRunning = true
	check.current, check.next = check.next, nil
	isAlone := check.isAlone
	go func() {
		alone, err := isAlone()
		f.loop.Post(func() { f.endOthersCheck(alone && err == nil) })
	}()
}

// endOthersCheck decides on the callbacks that waited for a call of isAlone, and starts the next call.
func (f *Front) endOthersCheck(isAlone bool) {
	decided := f.othersCheck.current
	f.othersCheck.isRunning, f.othersCheck.current = false, nil
	for _, held := range decided {
		f.loop.CancelTimer(held.timeout)
		if isAlone {
			f.refuseHeldCallback(held)
		} else {
			f.forwardCallback(held)
		}
	}
	f.startOthersCheck()
}

// remove removes a callback that waits no longer. One that does not wait is ignored.
func (o *othersCheck) remove(held *heldCallback) {
	isRemoved := func(other *heldCallback) bool { return other == held }
	o.current = slices.DeleteFunc(o.current, isRemoved)
	o.next = slices.DeleteFunc(o.next, isRemoved)
}
