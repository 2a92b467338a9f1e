package gateway

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/core"
	"cobaltflow/internal/directive"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/replica"
)

// maxDirectoryWait is how long a process waits before it listens for the directives' directory, and for what the scheduler's
// other processes have yet to write there. Without the directives it would send jobs to workers that operators have disabled; during a handover the old process serves
// meanwhile. A restarted scheduler has to be ready within 6 s, of which it may wait 1 s for the worker list.
const maxDirectoryWait = 4 * time.Second

// directives applies the operators' directives, given to any process of this scheduler, to the core and the HTTP/1.1 front.
// Package replica keeps them and exchanges them between the processes. Its methods must be called on the loop goroutine,
// save for hasSuccessor and generation.
type directives struct {
	replica  *replica.Replica
	core     *core.Core
	front    *platform.Front
	gateway  *Gateway
	log      *slog.Logger
	disabled map[string]bool // table workers that operators have disabled
	// reload rereads the configuration; nil: reload directives are ignored.
	reload func()
	// ownReloads counts the reload directives of this process that replica has not reported back to it yet.
	ownReloads int
	// knownSuccessor reports whether the last poll has found a successor.
	knownSuccessor atomic.Bool
}

// openDirectives joins the other processes of the scheduler and waits for what they have yet to write. If the directory is
// unavailable, it logs the error and retries. Both take up to maxDirectoryWait together; after that the replica goes on in the
// background.
func openDirectives(g *Gateway) *directives {
	conf, c, log := g.Conf, g.Core, g.log
	d := &directives{core: c, front: g.Front, gateway: g, log: log, disabled: map[string]bool{}}
	period := replica.PollPeriodWithAdmin
	if conf.Admin == "" {
		period = replica.PollPeriodWithoutAdmin
	}
	var err error
	d.replica, err = replica.Open(replica.Options{
		Dir:                stateFilePath(conf, "directives"),
		PollPeriod:         period,
		Log:                log,
		Apply:              func(entries []directive.Entry) { c.Loop.Post(func() { d.apply(entries) }) },
		OnProcessesChanged: func(others replica.OtherProcesses) { c.Loop.Post(func() { d.updateProcesses(others) }) },
	})
	if err != nil {
		log.Warn("directive: directory unavailable, retrying", "error", err, "start_waits_at_most", maxDirectoryWait)
	}
	// Imported also after an error: what can't be written is in force in this process nevertheless.
	err = errors.Join(d.replica.AwaitFirstScan(maxDirectoryWait), importDisabledWorkers(d.replica, stateFilePath(conf, "held")))
	if err != nil {
		log.Warn("directive: directory unavailable, retrying", "error", err)
	}
	return d
}

// importDisabledWorkers imports the disabled workers from the file of an older version of the program, which holds one
// name per line. It then removes the file: otherwise the workers would be disabled again at each start.
func importDisabledWorkers(r *replica.Replica, path string) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var keys []directive.Key
	for _, name := range strings.Split(string(text), "\n") {
		if name = strings.TrimSpace(name); name != "" {
			keys = append(keys, directive.WorkerDisabled(name))
		}
	}
	if err := r.Import(keys); err != nil {
		return err
	}
	return os.Remove(path)
}

// applyInitial applies the directives that were set before this process started. It must be called before the loop runs
// and after the core has got its first worker list.
func (d *directives) applyInitial() {
	for _, e := range d.replica.Active() {
		d.log.Info("directive: in force from the start", "key", string(e.Key), "version", e.Version)
	}
	d.apply(d.replica.Active())
	// Adopted at the start, after the configuration may have been read.
	if d.replica.IsChangedSince(directive.Reload, clock.StartMicros()) {
		d.reloadOnDirective()
	}
}

// apply applies directives to this process.
func (d *directives) apply(entries []directive.Entry) {
	for _, e := range entries {
		worker, isWorker := e.Key.Worker()
		switch {
		case isWorker:
			d.setDisabled(worker, e.On)
		case e.Key == directive.Drain && e.On:
			d.front.Drain()
		case e.Key == directive.Drain:
			d.front.Resume()
		case e.Key == directive.Reload:
			d.reloadOnDirective()
		}
	}
}

// broadcastReload sets a directive that makes the scheduler's other processes reread their configuration.
func (d *directives) broadcastReload() {
	const timeout = time.Second // then the change counts as failed, but replica goes on retrying it
	d.ownReloads++
	d.replica.Change(directive.Reload, false, timeout, func(error) {})
}

// reloadOnDirective rereads the configuration if the reload directive comes from another process.
func (d *directives) reloadOnDirective() {
	if d.ownReloads > 0 {
		d.ownReloads--
		return
	}
	d.log.Info("reload: requested by another process of this scheduler")
	if d.reload != nil {
		d.reload()
	}
}

// setDisabled disables or enables a worker and returns whether it is listed.
func (d *directives) setDisabled(worker string, disabled bool) (listed bool) {
	if disabled {
		d.disabled[worker] = true
	} else {
		delete(d.disabled, worker)
	}
	return d.core.SetWorkerDisabled(worker, disabled)
}

// updateProcesses adapts the limits that hold for the scheduler as a whole to the number of its live processes:
// descriptors and memory are divided among them, and only the latest process uses the slow-start budgets.
func (d *directives) updateProcesses(others replica.OtherProcesses) {
	d.log.Info("other processes of this scheduler", "alive", others.Alive, "successor", others.HasSuccessor)
	d.front.DivideLimits(1 + others.Alive)
	d.gateway.applyLimits()
	d.knownSuccessor.Store(others.HasSuccessor)
	d.core.SetSlowStartElsewhere(others.HasSuccessor)
}

// Change implements admin.Directives. A directive that is turned on (a disabled worker, a drain) applies to this process at
// once, even if the directory fails; one that is turned off applies after the other processes' files have been read.
func (d *directives) Change(key directive.Key, on bool, timeout time.Duration, done func(error)) {
	if on {
		d.apply([]directive.Entry{{Key: key, On: true}})
	}
	d.replica.Change(key, on, timeout, func(err error) { d.core.Loop.Post(func() { done(err) }) })
}

// IsKnownWorker implements admin.Directives. It returns whether a worker is listed by discovery or disabled.
func (d *directives) IsKnownWorker(worker string) bool {
	return d.disabled[worker] || d.core.IsListed(worker)
}

// Failures implements admin.Directives.
func (d *directives) Failures() uint64 { return d.replica.Failures() }

// announcementTimeout bounds awaitAnnouncement, for which the first connections wait: the directory may be slow or hang.
const announcementTimeout = 100 * time.Millisecond

// awaitAnnouncement waits until the directory says that this process serves. It must be called before the loop runs, and so
// before the process can answer that it is ready: whoever hears that may tell an earlier process to end, which then looks for
// its successor.
func (d *directives) awaitAnnouncement() {
	timeout := time.NewTimer(announcementTimeout)
	defer timeout.Stop()
	select {
	case <-d.replica.Announced():
	case <-timeout.C:
	}
}

// successorCheckTimeout bounds hasSuccessor: a directory that hangs must not hold up a shutdown.
const successorCheckTimeout = 100 * time.Millisecond

// hasSuccessor returns whether a later process of this scheduler is alive and listens. If the directory does not tell that
// in time, the last poll decides. It waits and must not be called on the loop goroutine.
func (d *directives) hasSuccessor() bool {
	result := make(chan bool, 1)
	go func() { result <- d.replica.HasSuccessor() }()
	timeout := time.NewTimer(successorCheckTimeout)
	defer timeout.Stop()
	select {
	case has := <-result:
		return has
	case <-timeout.C:
	}
	select { // the process may have stood still, with both due
	case has := <-result:
		return has
	default:
		return d.knownSuccessor.Load()
	}
}

// hasUnpersisted reports whether a change that operators made at this process is not in the directory yet.
func (d *directives) hasUnpersisted() bool { return d.replica.HasUnpersistedChanges() }

// generation returns the number of this process among those of the scheduler, as the log shows it.
func (d *directives) generation() string { return fmt.Sprintf("%08d", d.replica.Generation()) }
