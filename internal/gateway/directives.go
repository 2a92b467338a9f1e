package gateway

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"strings"
	"time"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/directive"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/replica"
)

// folderWait is how long a process that can't read what operators have told puts off to listen. Until it has, the process
// would send to workers that are out by hand; meanwhile the one that it takes over from serves. A restarted scheduler has 6 s
// to be ready, and waits up to 1 s of them for its list.
const maxFolderWait = 4 * time.Second

// directives carries out what operators have told any process of this scheduler: package replica tells of it, the
// decisions and the clients' front go by it. Its methods are the loop's.
type directives struct {
	replica  *replica.Replica
	core     *core.Core
	front    *platform.Front
	log      *slog.Logger
	disabled map[string]bool // table workers that are out by hand
	// reload has the configuration read again; nil: nobody can. asked counts the reloads that this process told of itself
	// and that have not come round to it yet.
	reload     func()
	ownReloads int
}

// openDirectives joins the scheduler's other processes. A folder that can't be used is told in the log and tried again.
func openDirectives(conf *config.Config, c *core.Core, front *platform.Front, log *slog.Logger) *directives {
	d := &directives{core: c, front: front, log: log, disabled: map[string]bool{}}
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
		log.Warn("directive: the folder can't be used, it is tried again", "error", err, "start_waits_at_most", maxFolderWait)
		err = d.replica.AwaitFirstScan(maxFolderWait)
	}
	if err == nil {
		err = importDisabledWorkers(d.replica, stateFilePath(conf, "held"))
	}
	if err != nil {
		log.Warn("directive: the folder can't be used, it is tried again", "error", err)
	}
	return d
}

// importHeld takes over the workers out by hand that an older version of the program kept, a name a line, and removes
// its file, whose names would otherwise come back at each start.
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

// resume puts in force what was told before this process was started. It is called before the loop runs, when the core
// has its first list.
func (d *directives) applyInitial() {
	for _, e := range d.replica.Active() {
		d.log.Info("directive: in force from the start", "key", string(e.Key), "version", e.Version)
	}
	d.apply(d.replica.Active())
}

// apply puts entries in force in this process.
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

// tellReload has the scheduler's other processes read their configuration again too.
func (d *directives) broadcastReload() {
	const within = time.Second // to be counted as failed; it is tried on
	d.ownReloads++
	d.replica.Change(directive.Reload, false, within, func(error) {})
}

// reloadAsTold reads the configuration again where another process was asked to.
func (d *directives) reloadOnDirective() {
	if d.ownReloads > 0 {
		d.ownReloads--
		return
	}
	d.log.Info("reload: as another process of this scheduler was asked to")
	if d.reload != nil {
		d.reload()
	}
}

func (d *directives) setDisabled(worker string, out bool) (listed bool) {
	if out {
		d.disabled[worker] = true
	} else {
		delete(d.disabled, worker)
	}
	return d.core.SetWorkerDisabled(worker, out)
}

// share has this process take its part of what the rules and the platform count for the scheduler: descriptors and memory
// are divided among the processes that live, and the slow-start budgets are the latest one's.
func (d *directives) updateProcesses(others replica.OtherProcesses) {
	d.log.Info("other processes of this scheduler", "alive", others.Alive, "successor", others.HasSuccessor)
	d.front.DivideLimits(1 + others.Alive)
	ApplyLimits(d.front.Limits())
	d.core.SetSlowStartElsewhere(others.HasSuccessor)
}

// Change implements admin.Directives. What keeps work away is in force in this process at once, whatever the folder
// does; what lets it back in, once the other processes' files were looked at.
func (d *directives) Change(key directive.Key, on bool, within time.Duration, answer func(error)) {
	if on {
		d.apply([]directive.Entry{{Key: key, On: true}})
	}
	d.replica.Change(key, on, within, func(err error) { d.core.Loop.Post(func() { answer(err) }) })
}

// Known implements admin.Directives: a worker that discovery lists, or that is out by hand.
func (d *directives) IsKnownWorker(worker string) bool {
	return d.disabled[worker] || d.core.IsListed(worker)
}

// Failures implements admin.Directives.
func (d *directives) Failures() uint64 { return d.replica.Failures() }

// hasSuccessor tells whether a later process of this scheduler lives and listens. It reads files: not for the loop.
func (d *directives) hasSuccessor() bool { return d.replica.HasSuccessor() }

// generation names this process in the log.
func (d *directives) generation() string { return fmt.Sprintf("%08d", d.replica.Generation()) }
