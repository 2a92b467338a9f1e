package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cobaltflow/internal/scale/client"
	"cobaltflow/internal/scale/process"
	"cobaltflow/internal/scale/traffic"
)

// startsPerS is the rate of task starts per scheduler at the operators' peak.
const startsPerS = 100

// shortRunTime is the running time of a short job.
const shortRunTime = 50 * time.Millisecond

// settleDuration is the time after which a scheduler counts as at rest.
const settleDuration = 1500 * time.Millisecond

// settle waits until the effects of earlier phases have ended.
func (m *measurement) settle() error { return m.pause(m.duration(settleDuration, settleDuration)) }

// measureRest measures the schedulers with the list known and no load.
func (m *measurement) measureRest() (window, error) {
	if err := m.settle(); err != nil {
		return window{}, err
	}
	from, err := m.takeMark()
	if err != nil {
		return window{}, err
	}
	if err := m.pause(m.duration(2*time.Second, 6*time.Second)); err != nil {
		return window{}, err
	}
	w, err := m.measureSince(from)
	if err != nil {
		return w, err
	}
	m.merge(map[string]float64{"rss_bytes": float64(w.residentBytes), "cpu_at_rest_cores": w.cores(),
		"rest_control_bytes_per_s": w.controlBytes() / w.seconds})
	return w, nil
}

// shortLoad returns a load of short jobs at a rate for a duration.
func (m *measurement) shortLoad(perS float64, duration time.Duration) client.Load {
	return client.Load{Class: process.ShortClass, RunTime: shortRunTime, StartsPerS: perS, Jobs: int(perS * duration.Seconds()), Seed: m.seed}
}

// runLoad sends a load, measures the schedulers meanwhile and records the figures. The function beside, which may be
// nil, runs concurrently; its context ends with the load.
func (m *measurement) runLoad(load client.Load, beside func(ctx context.Context) error) (*client.Result, window, error) {
	from, err := m.takeMark()
	if err != nil {
		return nil, window{}, err
	}
	ctx, stop := context.WithCancel(m.ctx)
	defer stop()
	done := make(chan error, 1)
	go func() {
		if beside == nil {
			done <- nil
			return
		}
		done <- beside(ctx)
	}()
	r := m.clients.Run(m.ctx, load)
	w, err := m.measureSince(from)
	stop()
	if besideErr := <-done; err == nil {
		err = besideErr
	}
	if err == nil {
		err = m.ctx.Err()
	}
	if err != nil {
		return r, w, err
	}
	m.mergeLoadFigures(r, &w)
	return r, w, nil
}

func (m *measurement) mergeLoadFigures(r *client.Result, w *window) {
	jobs := max(1, float64(r.Sent))
	f := map[string]float64{
		"cpu_loaded_cores": w.cores(), "rss_loaded_bytes": float64(w.residentBytes), "descriptors": float64(w.descriptors),
		"control_bytes_per_s": w.controlBytes() / w.seconds, "connections_per_job": w.workerConnections() / jobs,
		"probes_per_job": float64(w.counts.Probes) / jobs, "jobs_per_s": float64(r.Sent) / w.seconds,
		"served_ratio": float64(r.Served) / jobs, "latency_p50_ms": r.QuantileMS(50), "latency_p99_ms": r.QuantileMS(99),
		"latency_max_ms": r.MaxMS(),
	}
	if rest, known := m.figures["cpu_at_rest_cores"]; known {
		f["cpu_per_job_s"] = (w.cpuTime.Seconds() - rest*w.seconds*w.schedulers) / jobs
	}
	for k := range traffic.KindCount {
		f[k.String()+"_in_bytes_per_s"] = float64(w.totals[k].BytesIn) / w.seconds / w.schedulers
		f[k.String()+"_out_bytes_per_s"] = float64(w.totals[k].BytesOut) / w.seconds / w.schedulers
	}
	m.merge(f)
}

// withPings runs f while the readiness of one scheduler is polled continuously, and records the round trips.
func (m *measurement) withPings(f func() error) error {
	ctx, stop := context.WithCancel(m.ctx)
	ended := make(chan *hdrhistogram.Histogram, 1)
	go func() { ended <- client.Ping(ctx, m.schedulers[0]) }()
	err := f()
	stop()
	trips := <-ended
	m.figures["loop_ping_p99_ms"] = float64(trips.ValueAtQuantile(99)) / 1000
	m.figures["loop_ping_max_ms"] = float64(trips.Max()) / 1000
	return err
}

// holdTasks sends tasks until the workers hold count of them, and keeps them until the run ends. Calling release
// cancels the tasks.
func (m *measurement) holdTasks(count int) (release func(), err error) {
	ctx, stop := context.WithCancel(m.ctx)
	ended := make(chan *client.Result, 1)
	go func() {
		ended <- m.clients.Run(ctx, client.Load{Class: process.LongClass, RunTime: time.Hour, StartsPerS: taskFillPerS, Jobs: count, Seed: m.seed})
	}()
	release = func() {
		stop()
		<-ended
	}
	started := time.Now()
	deadline := started.Add(time.Duration(float64(count)/taskFillPerS*float64(time.Second)) + taskFillSlack)
	for {
		held := m.workers.HeldJobs()
		m.figures["tasks_held"] = float64(held)
		switch {
		case held >= count:
			return release, nil
		case m.ctx.Err() != nil:
			return release, m.ctx.Err()
		case time.Now().After(deadline):
			return release, fmt.Errorf("%w: %d of %d after %v", errTasksNotHeld, held, count, time.Since(started).Round(time.Second))
		}
		select {
		case result := <-ended:
			ended <- result
			return release, fmt.Errorf("%w: %d of %d are held, %d were refused and %d failed, the first with %q", errTasksNotHeld, held, count,
				result.Refused, result.Failed, result.FirstError)
		case <-time.After(taskPollPeriod):
		}
	}
}

const (
	taskFillPerS   = 800              // rate at which tasks are sent
	taskFillSlack  = 15 * time.Second // added to the time that sending takes
	taskPollPeriod = 20 * time.Millisecond
)

// waitWorkerCount waits until a scheduler reports count workers on its list, and returns the time since from.
func (m *measurement) waitWorkerCount(s *process.Scheduler, count int, from time.Time, limit time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(m.ctx, limit)
	defer cancel()
	last := 0
	for {
		reported, err := s.WorkerCount(ctx)
		if err == nil && reported == count {
			return time.Since(from), nil
		}
		if err == nil {
			last = reported
		}
		select {
		case <-time.After(countPollPeriod):
		case <-ctx.Done():
			return 0, fmt.Errorf("%w: %d workers of %d after %v: %s", errListNotKnown, last, count, limit, s.LastWarning())
		}
	}
}

const countPollPeriod = 2 * time.Millisecond

// waitAllWorkerCounts waits until all schedulers report count workers, and returns the time since from.
func (m *measurement) waitAllWorkerCounts(count int, from time.Time, limit time.Duration) (longest time.Duration, err error) {
	for _, s := range m.schedulers {
		delay, err := m.waitWorkerCount(s, count, from, limit)
		if err != nil {
			return 0, err
		}
		longest = max(longest, delay)
	}
	return longest, nil
}
