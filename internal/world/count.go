package world

import (
	"cmp"
	"slices"
)

// starvedAfter is the time in microseconds without a job after which Figures.StarvedWorkers counts an idle worker.
const starvedAfter = 5_000_000

// sample records the state of all workers every Setup.SampleInterval. Reports keep their own interval.
func (w *World) sample() {
	free, waiting, longest := 0, 0, 0
	for _, wk := range w.workers {
		if wk.startedAt > w.now {
			continue
		}
		w.visibleLoad(wk)
		free += wk.setup.Slots - wk.running
		waiting += len(wk.queue)
		longest = max(longest, len(wk.queue))
		w.slots += float64(wk.setup.Slots)
		w.jobsAtWorkers += float64(wk.running + len(wk.queue))
	}
	for _, wk := range w.workers {
		if !wk.isStarved && waiting > 0 && wk.running == 0 && wk.startedAt <= w.now && w.now-max(wk.lastArrivalAt, w.setup.WarmUp, wk.startedAt) > starvedAfter {
			wk.isStarved = true
			w.figures.StarvedWorkers++
		}
	}
	w.idleBesideWaiting += float64(min(free, waiting))
	w.longestQueues += float64(longest)
	w.samples++
	w.countUnheld()
	w.schedule(w.now+cmp.Or(w.setup.SampleInterval, defaultSampleInterval), w.sample)
}

// countUnheld counts the workers that no running scheduler holds.
func (w *World) countUnheld() {
	if w.setup.Directory == nil && w.setup.Ownership == nil {
		return
	}
	unheld := 0
	for index := range w.workers {
		if !slices.ContainsFunc(w.schedulers, func(sc *scheduler) bool { return sc.isAlive && sc.assigned[index] }) {
			unheld++
		}
	}
	w.figures.MaxUnheld = max(w.figures.MaxUnheld, unheld)
	w.figures.UnheldAtEnd = unheld
}

// recordRunning counts the jobs that run at the end as served, unless their scheduler has answered or been killed.
func (w *World) recordRunning() {
	for _, wk := range w.workers {
		for _, a := range wk.active {
			sc := a.job.scheduler
			if sc.incarnation == a.incarnation && sc.jobs[a.job.id] != nil {
				delete(sc.jobs, a.job.id)
				w.recordServed(a.job, a.endsAt)
			}
		}
	}
}

// summarize computes the figures at the end of the simulation.
func (w *World) summarize() Figures {
	if w.setup.CountRunning {
		w.recordRunning()
	}
	f := w.figures
	jobs := float64(max(1, f.Jobs))
	samples := float64(max(1, w.samples))
	f.IdleBesideWaiting, f.LongestQueue, f.JobsAtWorkers = w.idleBesideWaiting/max(1, w.slots), w.longestQueues/samples, w.jobsAtWorkers/samples
	earned, offered := 0.0, 0.0
	for i := range w.earnedValue {
		f.ValueRatioByClass = append(f.ValueRatioByClass, w.earnedValue[i]/max(1e-9, w.offeredValue[i]))
		earned, offered = earned+w.earnedValue[i], offered+w.offeredValue[i]
	}
	f.ValueRatio, f.Probes, f.Messages, f.KeyMisses = earned/max(1e-9, offered), float64(w.probes)/jobs, float64(w.messages)/jobs, float64(w.keyMisses)/jobs
	f.NewConnections, f.CrossZoneAttempts, f.MessageBytes = float64(w.connections)/jobs, float64(w.crossZoneAttempts)/jobs, w.messageBytes
	f.ProbeConnectionShare = float64(w.probeConnections) / float64(max(1, w.connections))
	for _, count := range w.keyMissesIn {
		f.KeyMissesIn = append(f.KeyMissesIn, float64(count)/jobs)
	}
	for _, sc := range w.schedulers {
		f.Held = append(f.Held, sc.assignedCount())
	}
	slices.Sort(w.waits)
	for _, v := range w.waits {
		f.WaitMean += v / float64(len(w.waits))
	}
	if len(w.waits) > 0 {
		f.WaitP99 = w.waits[len(w.waits)*99/100]
	}
	return f
}
