package scale

import (
	"context"
	"fmt"
	"time"

	"cobaltflow/internal/scale/client"
	"cobaltflow/internal/scale/discovery"
	"cobaltflow/internal/scale/process"
	"cobaltflow/internal/scale/traffic"
)

const (
	inForceTimeout  = 15 * time.Second // the operators' limit for a change of the configuration
	recoveryTimeout = time.Minute
)

// measureTasks has the scheduler hold tasks and measures it without other load, and then under short jobs.
func measureTasks(m *measurement, count float64) error {
	before, err := m.measureRest()
	if err != nil {
		return err
	}
	release, err := m.holdTasks(int(count))
	defer release()
	if err != nil {
		return err
	}
	if err := m.settle(); err != nil {
		return err
	}
	from, err := m.takeMark()
	if err != nil {
		return err
	}
	if err := m.pause(m.duration(2*time.Second, 5*time.Second)); err != nil {
		return err
	}
	idle, err := m.measureSince(from)
	if err != nil {
		return err
	}
	m.merge(map[string]float64{"tasks_held": float64(m.workers.HeldJobs()), "rss_tasks_bytes": float64(idle.residentBytes),
		"rss_per_task_bytes": float64(idle.residentBytes-before.residentBytes) / count, "cpu_tasks_cores": idle.cores(),
		"descriptors_tasks": float64(idle.descriptors)})
	_, _, err = m.runLoad(m.shortLoad(startsPerS, m.duration(3*time.Second, 8*time.Second)), nil)
	return err
}

// measureGang sends all tasks of a gang at once and records the time until the last of them started.
func measureGang(m *measurement, size float64) error {
	if _, err := m.measureRest(); err != nil {
		return err
	}
	if _, _, err := m.runLoad(m.shortLoad(startsPerS, m.duration(time.Second, time.Second)), nil); err != nil { // warms the scheduler up
		return err
	}
	r, _, err := m.runLoad(client.Load{Class: process.ShortClass, RunTime: gangRunTime, Jobs: int(size), Seed: m.seed + 1}, nil)
	if err != nil {
		return err
	}
	m.figures["gang_start_max_ms"] = r.MaxMS() - float64(gangRunTime.Milliseconds())
	return nil
}

// gangRunTime is the running time of a gang's tasks.
const gangRunTime = 200 * time.Millisecond

// measureConfigurationChanges has all schedulers reload a changed configuration, at a rate.
func measureConfigurationChanges(m *measurement, perS float64) error {
	if _, err := m.measureRest(); err != nil {
		return err
	}
	from, err := m.takeMark()
	if err != nil {
		return err
	}
	changes := int(m.duration(3*time.Second, 10*time.Second).Seconds()*perS + 0.5)
	changes = max(changes, 2)
	var delays []time.Duration
	started := time.Now()
	for number := range changes {
		if err := m.pause(time.Until(started.Add(time.Duration(float64(number) / perS * float64(time.Second))))); err != nil {
			return err
		}
		inForce, err := m.reconfigure(number + 1)
		if err != nil {
			return err
		}
		delays = append(delays, inForce)
	}
	w, err := m.measureSince(from)
	if err != nil {
		return err
	}
	each := float64(changes) * w.schedulers
	control := w.totals[traffic.Configuration]
	m.merge(map[string]float64{"configuration_changes": float64(changes), "in_force_p50_ms": quantileMS(delays, 0.5),
		"in_force_p99_ms": quantileMS(delays, 0.99), "in_force_max_ms": quantileMS(delays, 1),
		"cpu_per_event_s":              (w.cpuTime.Seconds() - m.figures["cpu_at_rest_cores"]*w.seconds*w.schedulers) / each,
		"configuration_in_bytes_per_s": float64(control.BytesIn) / w.seconds / w.schedulers,
		"control_bytes_per_s":          w.controlBytes() / w.seconds, "rss_loaded_bytes": float64(w.residentBytes)})
	return nil
}

// reconfigure changes a limit of all schedulers, waits until each has logged the reload, and returns the time until the
// last one had.
func (m *measurement) reconfigure(count int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(m.ctx, inForceTimeout)
	defer cancel()
	started := time.Now()
	for _, s := range m.schedulers {
		s.Config.Sockets = m.setup.maxSockets + count%2
		size, err := s.Reload()
		if err != nil {
			return 0, err
		}
		m.counter.AddIn(traffic.Configuration, size)
		m.counter.AddMessage(traffic.Configuration)
	}
	last := started
	for _, s := range m.schedulers {
		reloadedAt, err := s.WaitReloaded(ctx, count)
		if err != nil {
			return 0, fmt.Errorf("change %d at %s: %w", count, s.Config.Name, err)
		}
		if reloadedAt.After(last) {
			last = reloadedAt
		}
	}
	return last.Sub(started), nil
}

// mergeRecoveryFigures records the cost of a recovery that began at a mark.
func (m *measurement) mergeRecoveryFigures(from mark, recoveryTime time.Duration) error {
	w, err := m.measureSince(from)
	if err != nil {
		return err
	}
	m.merge(map[string]float64{"recovery_s": recoveryTime.Seconds(), "recovery_cpu_s": w.cpuTime.Seconds() / w.schedulers,
		"recovery_control_bytes": w.controlBytes(), "rss_loaded_bytes": float64(w.residentBytes)})
	return nil
}

// measureRestart kills a scheduler and starts it again without a known list.
func measureRestart(m *measurement, _ float64) error {
	if _, err := m.measureRest(); err != nil {
		return err
	}
	m.schedulers[0].Kill()
	m.configs[0].KnownList = nil
	totals, started := m.totals(), time.Now()
	if err := m.startScheduler(0); err != nil {
		return err
	}
	recoveryTime, err := m.waitWorkerCount(m.schedulers[0], m.discovery.WorkerCount(), started, recoveryTimeout/2)
	if err != nil {
		return err
	}
	used, err := m.schedulers[0].Usage()
	if err != nil {
		return err
	}
	exchanged := m.totals().Sub(totals)
	m.merge(map[string]float64{"recovery_s": recoveryTime.Seconds(), "recovery_cpu_s": used.CPUTime.Seconds(),
		"recovery_control_bytes": float64(exchanged[traffic.List].BytesIn + exchanged[traffic.List].BytesOut), "rss_loaded_bytes": float64(used.ResidentBytes)})
	return nil
}

// measureZoneLoss stops a zone's workers and removes them from the list, and then restarts them cold, under load.
func measureZoneLoss(m *measurement, count float64) error {
	if _, err := m.measureRest(); err != nil {
		return err
	}
	from, err := m.takeMark()
	if err != nil {
		return err
	}
	var goneDelay, backDelay time.Duration
	change := func(ctx context.Context) error {
		for number := range int(count) {
			m.workers.Stop(number)
		}
		changedAt := time.Now()
		if err := m.discovery.Update(m.firstEntries(int(count), discovery.Removed)...); err != nil {
			return err
		}
		var err error
		if goneDelay, err = m.waitAllWorkerCounts(m.discovery.WorkerCount(), changedAt, recoveryTimeout/2); err != nil {
			return err
		}
		changedAt = time.Now()
		for number := range int(count) {
			m.workers.Restart(number, changedAt)
		}
		if err := m.discovery.Update(m.firstEntries(int(count), discovery.Up)...); err != nil {
			return err
		}
		backDelay, err = m.waitAllWorkerCounts(m.discovery.WorkerCount(), changedAt, recoveryTimeout/2)
		return err
	}
	if _, _, err := m.runLoad(m.shortLoad(startsPerS, m.duration(3*time.Second, 6*time.Second)), change); err != nil {
		return err
	}
	m.merge(map[string]float64{"gone_known_s": goneDelay.Seconds(), "back_known_s": backDelay.Seconds()})
	return m.mergeRecoveryFigures(from, goneDelay+backDelay)
}

// measureDiscoveryLoss makes discovery unavailable for a while, during which the list changes worker by worker.
func measureDiscoveryLoss(m *measurement, changes float64) error {
	if _, err := m.measureRest(); err != nil {
		return err
	}
	m.discovery.SetDown(true)
	for number := range int(changes) {
		worker := number / 2
		status := discovery.Removed
		if number%2 == 1 {
			status = discovery.Up
			m.workers.Restart(worker, time.Now())
		}
		if err := m.discovery.Update(m.workers.Entry(worker, status)); err != nil {
			return err
		}
	}
	// One more worker is removed at the end, so that the number of workers shows when the last change is known.
	if err := m.discovery.Update(m.workers.Entry(m.setup.workers-1, discovery.Removed)); err != nil {
		return err
	}
	if err := m.pause(m.duration(2*time.Second, outageDuration)); err != nil {
		return err
	}
	from, err := m.takeMark()
	if err != nil {
		return err
	}
	started := time.Now()
	m.discovery.SetDown(false)
	recoveryTime, err := m.waitAllWorkerCounts(m.discovery.WorkerCount(), started, recoveryTimeout)
	if err != nil {
		return err
	}
	return m.mergeRecoveryFigures(from, recoveryTime)
}

// outageDuration is the time for which discovery is unavailable in the full set.
const outageDuration = time.Minute
