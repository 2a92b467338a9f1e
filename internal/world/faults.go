package world

import "cobaltflow/rules"

// scheduleFaults schedules the faults and restarts of the setup.
func (w *World) scheduleFaults() {
	for _, f := range w.setup.Faults {
		w.schedule(f.At, func() { w.injectFault(f) })
	}
	if w.setup.RestartsPerS > 0 {
		w.scheduleRestart()
	}
}

// injectFault applies a fault that is due.
func (w *World) injectFault(f Fault) {
	switch f.Kind {
	case KillScheduler:
		w.schedulers[f.Scheduler].kill()
		w.announceMember(f.Scheduler, false)
	case StartScheduler:
		w.schedulers[f.Scheduler].start()
		w.announceMember(f.Scheduler, true)
	case PauseScheduler:
		w.pause(f)
	case SplitMembers:
		w.splitUntil = w.now + f.Duration
		w.announceHalves(false)
		w.schedule(w.now+f.Duration, func() { w.announceHalves(true) })
	case LoseZone:
		w.loseZone(f)
	}
}

// kill ends a scheduler process with all its requests. Its attempts continue at the workers; their outcomes are dropped.
func (sc *scheduler) kill() {
	for _, j := range sc.jobs {
		if j.arrivedAt >= sc.world.setup.WarmUp {
			sc.world.figures.Lost++
		}
	}
	sc.isAlive = false
	sc.incarnation++
	clear(sc.jobs)
	clear(sc.sent)
}

// announceMember lets each other scheduler learn that one failed or started, after a delay of its own. A change that was
// reversed in the meantime has no effect.
func (w *World) announceMember(member int, alive bool) {
	for _, sc := range w.schedulers {
		if sc.rank == member {
			continue
		}
		w.schedule(w.now+w.setup.DetectionDelay.draw(w.rng), func() {
			if w.sendsHeartbeats(member) == alive {
				sc.decide(func() { sc.setMember(member, alive) })
			}
		})
	}
}

// sendsHeartbeats reports whether a scheduler is running and not paused.
func (w *World) sendsHeartbeats(member int) bool {
	sc := w.schedulers[member]
	return sc.isAlive && w.now >= sc.pausedUntil
}

// pause stops a scheduler for the duration of a fault.
func (w *World) pause(f Fault) {
	sc := w.schedulers[f.Scheduler]
	sc.pausedUntil = w.now + f.Duration
	w.announceMember(f.Scheduler, false)
	w.schedule(sc.pausedUntil, func() { w.announceMember(f.Scheduler, true) })
}

// announceHalves lets each scheduler learn, after a delay of its own, that those of the other half are dead, or alive again.
func (w *World) announceHalves(alive bool) {
	half := len(w.schedulers) / 2
	for _, sc := range w.schedulers {
		w.schedule(w.now+w.setup.DetectionDelay.draw(w.rng), func() {
			for member := range w.schedulers {
				if (member < half) != (sc.rank < half) && w.schedulers[member].isAlive {
					sc.decide(func() { sc.setMember(member, alive) })
				}
			}
		})
	}
}

// isPartitioned reports whether a network partition separates two schedulers now.
func (w *World) isPartitioned(sc, peer *scheduler) bool {
	half := len(w.schedulers) / 2
	return w.now < w.splitUntil && (sc.rank < half) != (peer.rank < half)
}

// loseZone fails the running workers of a zone and restarts them, cold, after the fault's duration.
func (w *World) loseZone(f Fault) {
	var lost []*worker
	for _, wk := range w.workers {
		if wk.setup.Zone == f.Zone && wk.startedAt <= w.now {
			lost = append(lost, wk)
			w.loseWorker(wk)
		}
	}
	w.changeList(lost, rules.Gone)
	w.schedule(w.now+f.Duration, func() {
		for _, wk := range lost {
			wk.isDown = false
			wk.startedAt, wk.entry.StartedAt = w.now, w.now
		}
		w.changeList(lost, rules.Ready)
	})
}

// loseWorker stops a worker and resets its attempts, running and queued.
func (w *World) loseWorker(wk *worker) {
	wk.isDown = true
	for _, a := range append(wk.active, wk.queue...) {
		a.isLost = true
		w.reportOutcome(a, rules.Reset)
	}
	wk.active, wk.queue, wk.running = nil, nil, 0
}

// changeList changes the state of workers in the worker list. Each scheduler learns of it after a delay of its own.
func (w *World) changeList(changed []*worker, state rules.WorkerState) {
	for _, wk := range changed {
		wk.entry.State = state
	}
	for _, sc := range w.schedulers {
		w.schedule(w.now+w.setup.ListDelay.draw(w.rng), func() { sc.deliverList(changed) })
	}
}

// scheduleRestart schedules the next rolling restart of a random worker: it drains, then is ready again, cold. Attempts that
// it runs continue, as the old process finishes them.
func (w *World) scheduleRestart() {
	w.schedule(w.now+rules.Time(w.rng.ExpFloat64()/w.setup.RestartsPerS*1e6), func() {
		wk := w.workers[w.rng.IntN(len(w.workers))]
		if wk.isListed && wk.entry.State == rules.Ready {
			w.changeList([]*worker{wk}, rules.Draining)
			w.schedule(w.now+w.setup.RestartDuration, func() {
				wk.startedAt, wk.entry.StartedAt = w.now, w.now
				w.changeList([]*worker{wk}, rules.Ready)
			})
		}
		w.scheduleRestart()
	})
}
