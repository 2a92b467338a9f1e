package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cobaltflow/internal/scale/discovery"
)

const (
	changeTimeout     = 10 * time.Second // for a change of the list to be known
	freshStartTimeout = 10 * time.Second // for the list to be known to a scheduler that started without one
	steadyDuration    = time.Minute
)

// measureSteady runs two loads of steadyDuration, one after the other, and records the figures of the second one
// separately.
func measureSteady(m *measurement, _ float64) error {
	if _, err := m.measureRest(); err != nil {
		return err
	}
	if _, _, err := m.runLoad(m.shortLoad(startsPerS, m.duration(steadyDuration/10, steadyDuration)), nil); err != nil {
		return err
	}
	second := m.shortLoad(startsPerS, m.duration(steadyDuration/10, steadyDuration))
	second.Seed++
	r, w, err := m.runLoad(second, nil)
	if err != nil {
		return err
	}
	jobs := max(1, float64(r.Sent))
	m.merge(map[string]float64{"minute2_connections_per_job": w.workerConnections() / jobs,
		"minute2_probes_per_job": float64(w.counts.Probes) / jobs, "minute2_control_bytes_per_s": w.controlBytes() / w.seconds})
	return nil
}

// measureListChanges removes single workers from the list and adds them again, at a rate.
func measureListChanges(m *measurement, perS float64) error {
	if _, err := m.measureRest(); err != nil {
		return err
	}
	var delays []time.Duration
	rng := rand.New(rand.NewPCG(m.seed, 0x6368616e6765))
	duration := m.duration(3*time.Second, 12*time.Second)
	change := func(ctx context.Context) error {
		tick := time.NewTicker(time.Duration(float64(time.Second) / perS))
		defer tick.Stop()
		removed := -1
		for {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return nil
			}
			entry := discovery.Entry{}
			if removed < 0 {
				removed = rng.IntN(m.setup.workers)
				entry = m.workers.Entry(removed, discovery.Removed)
			} else {
				entry = m.workers.Entry(removed, discovery.Up)
				removed = -1
			}
			delay, err := m.changeAndWait(entry)
			if err != nil {
				return err
			}
			delays = append(delays, delay)
		}
	}
	err := m.withPings(func() error {
		_, w, err := m.runLoad(m.shortLoad(startsPerS, duration), change)
		m.figures["list_changes"] = float64(len(delays))
		m.figures["window_s"] = w.seconds
		return err
	})
	m.mergeAppliedFigures(delays)
	return err
}

// changeAndWait changes entries in one version of the list and returns the time until the first scheduler knows it.
func (m *measurement) changeAndWait(entries ...discovery.Entry) (time.Duration, error) {
	from := time.Now()
	if err := m.discovery.Update(entries...); err != nil {
		return 0, err
	}
	return m.waitWorkerCount(m.schedulers[0], m.discovery.WorkerCount(), from, changeTimeout)
}

func (m *measurement) mergeAppliedFigures(delays []time.Duration) {
	if len(delays) > 0 {
		m.merge(map[string]float64{"change_applied_p50_ms": quantileMS(delays, 0.5), "change_applied_max_ms": quantileMS(delays, 1)})
	}
}

// measureZoneChange removes many workers from the list at once and adds them again, twice.
func measureZoneChange(m *measurement, count float64) error {
	if _, err := m.measureRest(); err != nil {
		return err
	}
	var delays []time.Duration
	duration := m.duration(3*time.Second, 8*time.Second)
	change := func(ctx context.Context) error {
		for round := range 4 {
			if err := m.pause(duration / 6); err != nil || ctx.Err() != nil {
				return err
			}
			status := discovery.Removed
			if round%2 == 1 {
				status = discovery.Up
			}
			delay, err := m.changeAndWait(m.firstEntries(int(count), status)...)
			if err != nil {
				return err
			}
			delays = append(delays, delay)
		}
		return nil
	}
	err := m.withPings(func() error {
		_, _, err := m.runLoad(m.shortLoad(startsPerS, duration), change)
		return err
	})
	m.mergeAppliedFigures(delays)
	return err
}

// firstEntries returns the entries of the first workers, with a status.
func (m *measurement) firstEntries(count int, status discovery.Status) (list []discovery.Entry) {
	for number := range min(count, m.setup.workers) {
		list = append(list, m.workers.Entry(number, status))
	}
	return list
}

// measureFreshStart waits until a scheduler that started without a list knows it, and checks that the scheduler then
// serves jobs.
func measureFreshStart(m *measurement, _ float64) error {
	started := time.Now()
	delay, err := m.waitWorkerCount(m.schedulers[0], m.setup.workers, started, freshStartTimeout)
	if err != nil {
		return err
	}
	m.figures["list_known_s"] = delay.Seconds() + m.maxReadyTime.Seconds()
	r, _, err := m.runLoad(m.shortLoad(startsPerS, time.Second), nil)
	if err == nil && r.Served == 0 {
		err = fmt.Errorf("%w: no job of %d was served, the first got %q", errListNotKnown, r.Sent, r.FirstError)
	}
	return err
}
