package world

import (
	"cmp"
	"slices"
)

// sample looks at all workers, every Setup.SampleEvery. Reports go on by the workers' own clocks.
func (w *World) sample() {
	free, waiting, longest := 0, 0, 0
	for _, t := range w.workers {
		if t.startedAt > w.now {
			continue
		}
		w.visibleLoad(t)
		free += t.setup.Slots - t.running
		waiting += len(t.queue)
		longest = max(longest, len(t.queue))
		w.slots += float64(t.setup.Slots)
		w.jobsAtWorkers += float64(t.running + len(t.queue))
	}
	for _, t := range w.workers {
		if !t.isStarved && waiting > 0 && t.running == 0 && t.startedAt <= w.now && w.now-max(t.lastArrivalAt, w.setup.WarmUp, t.startedAt) > 5_000_000 {
			t.isStarved = true
			w.figures.StarvedWorkers++
		}
	}
	w.idleBesideWaiting += float64(min(free, waiting))
	w.longestQueues += float64(longest)
	w.samples++
	w.countUnheld()
	w.schedule(w.now+cmp.Or(w.setup.SampleInterval, defaultSampleInterval), w.sample)
}

// sampleHolders counts the workers that nobody alive was given.
func (w *World) countUnheld() {
	if w.setup.Directory == nil && w.setup.Ownership == nil {
		return
	}
	unheld := 0
	for place := range w.workers {
		if !slices.ContainsFunc(w.schedulers, func(x *scheduler) bool { return x.isAlive && x.assigned[place] }) {
			unheld++
		}
	}
	w.figures.MaxUnheld = max(w.figures.MaxUnheld, unheld)
	w.figures.UnheldAtEnd = unheld
}

// serveRunning counts the jobs that run at the end, and that their schedulers still wait for.
func (w *World) recordRunning() {
	for _, t := range w.workers {
		for _, p := range t.active {
			x := p.job.scheduler
			if x.incarnation == p.incarnation && x.jobs[p.job.id] != nil {
				delete(x.jobs, p.job.id)
				w.recordServed(p.job, p.endsAt)
			}
		}
	}
}

func (w *World) summarize() Figures {
	if w.setup.CountRunning {
		w.recordRunning()
	}
	f := w.figures
	n := float64(max(1, f.Jobs))
	moments := float64(max(1, w.samples))
	f.IdleBesideWaiting, f.LongestQueue, f.JobsAtWorkers = w.idleBesideWaiting/max(1, w.slots), w.longestQueues/moments, w.jobsAtWorkers/moments
	earned, asked := 0.0, 0.0
	for i := range w.earnedValue {
		f.ValueRatioByClass = append(f.ValueRatioByClass, w.earnedValue[i]/max(1e-9, w.offeredValue[i]))
		earned, asked = earned+w.earnedValue[i], asked+w.offeredValue[i]
	}
	f.ValueRatio, f.Probes, f.Messages, f.KeyMisses = earned/max(1e-9, asked), float64(w.probes)/n, float64(w.messages)/n, float64(w.keyMisses)/n
	f.NewConnections, f.CrossZoneAttempts, f.MessageBytes = float64(w.connections)/n, float64(w.crossZoneAttempts)/n, w.messageBytes
	f.ProbeConnectionShare = float64(w.probeConnections) / float64(max(1, w.connections))
	for _, count := range w.keyMissesIn {
		f.KeyMissesIn = append(f.KeyMissesIn, float64(count)/n)
	}
	for _, x := range w.schedulers {
		f.Held = append(f.Held, x.assignedCount())
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
