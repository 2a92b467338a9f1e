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
	inForceTimeout  = 15 * time.Second // the operators' bound for a change of the configuration
	recoveryTimeout = time.Minute
)

// measureTasks puts tasks in hand, looks at the scheduler with nothing else to do, and under short jobs beside them.
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
	w, err := m.measureSince(from)
	if err != nil {
		return err
	}
	m.merge(map[string]float64{"tasks_held": float64(m.workers.HeldJobs()), "rss_tasks_bytes": float64(w.residentBytes),
		"rss_per_task_bytes": float64(w.residentBytes-before.residentBytes) / count, "cpu_tasks_cores": w.cores(),
		"descriptors_tasks": float64(w.descriptors)})
	_, _, err = m.runLoad(m.shortLoad(startsPerS, m.duration(3*time.Second, 8*time.Second)), nil)
	return err
}

// measureGang sends tasks all at once, and waits until the last of them has started.
func measureGang(m *measurement, size float64) error {
	if _, err := m.measureRest(); err != nil {
		return err
	}
	if _, _, err := m.runLoad(m.shortLoad(startsPerS, m.duration(time.Second, time.Second)), nil); err != nil { // so that it is warm
		return err
	}
	r, _, err := m.runLoad(client.Load{Class: process.ShortClass, RunTime: gangRunTime, Jobs: int(size), Seed: m.seed + 1}, nil)
	if err != nil {
		return err
	}
	m.figures["gang_start_max_ms"] = r.MaxMS() - float64(gangRunTime.Milliseconds())
	return nil
}

// gangRun is the running time of a gang's tasks.
const gangRunTime = 200 * time.Millisecond

// measureConfigurationChanges has all schedulers read a new configuration, at a rate.
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
	var took []time.Duration
	began := time.Now()
	for number := range changes {
		if err := m.pause(time.Until(began.Add(time.Duration(float64(number) / perS * float64(time.Second))))); err != nil {
			return err
		}
		inForce, err := m.reconfigure(number + 1)
		if err != nil {
			return err
		}
		took = append(took, inForce)
	}
	w, err := m.measureSince(from)
	if err != nil {
		return err
	}
	each := float64(changes) * w.schedulers
	control := w.totals[traffic.Configuration]
	m.merge(map[string]float64{"configuration_changes": float64(changes), "in_force_p50_ms": quantileMS(took, 0.5),
		"in_force_p99_ms": quantileMS(took, 0.99), "in_force_max_ms": quantileMS(took, 1),
		"cpu_per_event_s":              (w.cpuTime.Seconds() - m.figures["cpu_at_rest_cores"]*w.seconds*w.schedulers) / each,
		"configuration_in_bytes_per_s": float64(control.BytesIn) / w.seconds / w.schedulers,
		"control_bytes_per_s":          w.controlBytes() / w.seconds, "rss_loaded_bytes": float64(w.residentBytes)})
	return nil
}

// reconfigure changes a limit of all schedulers and waits until each has told that it took it over.
func (m *measurement) reconfigure(count int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(m.ctx, inForceTimeout)
	defer cancel()
	began := time.Now()
	for _, s := range m.schedulers {
		s.Config.Sockets = m.setup.maxSockets + count%2
		size, err := s.Reload()
		if err != nil {
			return 0, err
		}
		m.counter.AddIn(traffic.Configuration, size)
		m.counter.AddMessage(traffic.Configuration)
	}
	last := began
	for _, s := range m.schedulers {
		at, err := s.WaitReloaded(ctx, count)
		if err != nil {
			return 0, fmt.Errorf("change %d at %s: %w", count, s.Config.Name, err)
		}
		if at.After(last) {
			last = at
		}
	}
	return last.Sub(began), nil
}

// recovery notes what passes from a mark until the schedulers are right again.
func (m *measurement) mergeRecoveryFigures(from mark, took time.Duration) error {
	w, err := m.measureSince(from)
	if err != nil {
		return err
	}
	m.merge(map[string]float64{"recovery_s": took.Seconds(), "recovery_cpu_s": w.cpuTime.Seconds() / w.schedulers,
		"recovery_control_bytes": w.controlBytes(), "rss_loaded_bytes": float64(w.residentBytes)})
	return nil
}

// measureRestart kills a scheduler and starts it with no known list.
func measureRestart(m *measurement, _ float64) error {
	if _, err := m.measureRest(); err != nil {
		return err
	}
	m.schedulers[0].Kill()
	m.configs[0].KnownList = nil
	totals, began := m.totals(), time.Now()
	if err := m.startScheduler(0); err != nil {
		return err
	}
	took, err := m.waitWorkerCount(m.schedulers[0], m.discovery.WorkerCount(), began, recoveryTimeout/2)
	if err != nil {
		return err
	}
	used, err := m.schedulers[0].Usage()
	if err != nil {
		return err
	}
	passed := m.totals().Sub(totals)
	m.merge(map[string]float64{"recovery_s": took.Seconds(), "recovery_cpu_s": used.CPUTime.Seconds(),
		"recovery_control_bytes": float64(passed[traffic.List].BytesIn + passed[traffic.List].BytesOut), "rss_loaded_bytes": float64(used.ResidentBytes)})
	return nil
}

// measureZoneLoss has a zone's workers go, off the list too, and come back cold, under a load.
func measureZoneLoss(m *measurement, count float64) error {
	if _, err := m.measureRest(); err != nil {
		return err
	}
	from, err := m.takeMark()
	if err != nil {
		return err
	}
	var gone, back time.Duration
	change := func(ctx context.Context) error {
		for number := range int(count) {
			m.workers.Stop(number)
		}
		began := time.Now()
		if err := m.discovery.Update(m.firstEntries(int(count), discovery.Removed)...); err != nil {
			return err
		}
		var err error
		if gone, err = m.waitAllWorkerCounts(m.discovery.WorkerCount(), began, recoveryTimeout/2); err != nil {
			return err
		}
		began = time.Now()
		for number := range int(count) {
			m.workers.Restart(number, began)
		}
		if err := m.discovery.Update(m.firstEntries(int(count), discovery.Up)...); err != nil {
			return err
		}
		back, err = m.waitAllWorkerCounts(m.discovery.WorkerCount(), began, recoveryTimeout/2)
		return err
	}
	if _, _, err := m.runLoad(m.shortLoad(startsPerS, m.duration(3*time.Second, 6*time.Second)), change); err != nil {
		return err
	}
	m.merge(map[string]float64{"gone_known_s": gone.Seconds(), "back_known_s": back.Seconds()})
	return m.mergeRecoveryFigures(from, gone+back)
}

// measureDiscoveryLoss has discovery away for a while; the list changes meanwhile, worker by worker.
func measureDiscoveryLoss(m *measurement, changes float64) error {
	if _, err := m.measureRest(); err != nil {
		return err
	}
	m.discovery.SetDown(true)
	for number := range int(changes) {
		at := number / 2
		status := discovery.Removed
		if number%2 == 1 {
			status = discovery.Up
			m.workers.Restart(at, time.Now())
		}
		if err := m.discovery.Update(m.workers.Entry(at, status)); err != nil {
			return err
		}
	}
	// A worker more goes at the end, so that the count of workers tells when the last change is known.
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
	began := time.Now()
	m.discovery.SetDown(false)
	took, err := m.waitAllWorkerCounts(m.discovery.WorkerCount(), began, recoveryTimeout)
	if err != nil {
		return err
	}
	return m.mergeRecoveryFigures(from, took)
}

// awayFor is how long discovery is away.
const outageDuration = time.Minute
