package world

import "cobaltflow/rules"

func (w *World) scheduleFaults() {
	for _, f := range w.setup.Faults {
		w.schedule(f.At, func() { w.injectFault(f) })
	}
	if w.setup.RestartsPerS > 0 {
		w.scheduleRestart()
	}
}

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

// kill ends a process with all that it holds. What it sent goes on at the workers; nobody hears of its end.
func (x *scheduler) kill() {
	for _, j := range x.jobs {
		if j.arrivedAt >= x.world.setup.WarmUp {
			x.world.figures.Lost++
		}
	}
	x.isAlive = false
	x.incarnation++
	clear(x.jobs)
	clear(x.sent)
}

// spread has the other members learn of one, each in its own time. What is over by then is not believed.
func (w *World) announceMember(member int, alive bool) {
	for _, x := range w.schedulers {
		if x.rank == member {
			continue
		}
		w.schedule(w.now+w.setup.DetectionDelay.draw(w.rng), func() {
			if w.sendsHeartbeats(member) == alive {
				x.decide(func() { x.setMember(member, alive) })
			}
		})
	}
}

// answers tells whether a member's heartbeats go out now.
func (w *World) sendsHeartbeats(member int) bool {
	x := w.schedulers[member]
	return x.isAlive && w.now >= x.pausedUntil
}

func (w *World) pause(f Fault) {
	x := w.schedulers[f.Scheduler]
	x.pausedUntil = w.now + f.Duration
	w.announceMember(f.Scheduler, false)
	w.schedule(x.pausedUntil, func() { w.announceMember(f.Scheduler, true) })
}

// split has each member learn that those of the other half are dead, or alive again.
func (w *World) announceHalves(alive bool) {
	half := len(w.schedulers) / 2
	for _, x := range w.schedulers {
		w.schedule(w.now+w.setup.DetectionDelay.draw(w.rng), func() {
			for member := range w.schedulers {
				if (member < half) != (x.rank < half) && w.schedulers[member].isAlive {
					x.decide(func() { x.setMember(member, alive) })
				}
			}
		})
	}
}

// cut tells whether messages between two schedulers are lost by a split.
func (w *World) isPartitioned(x, y *scheduler) bool {
	half := len(w.schedulers) / 2
	return w.now < w.splitUntil && (x.rank < half) != (y.rank < half)
}

func (w *World) loseZone(f Fault) {
	var lost []*worker
	for _, t := range w.workers {
		if t.setup.Zone == f.Zone && t.startedAt <= w.now {
			lost = append(lost, t)
			w.loseWorker(t)
		}
	}
	w.changeList(lost, rules.Gone)
	w.schedule(w.now+f.Duration, func() {
		for _, t := range lost {
			t.isDown = false
			t.startedAt, t.entry.StartedAt = w.now, w.now
		}
		w.changeList(lost, rules.Ready)
	})
}

// loseWorker ends a worker with what it runs and what waits there.
func (w *World) loseWorker(t *worker) {
	t.isDown = true
	for _, p := range append(t.active, t.queue...) {
		p.isLost = true
		w.reportOutcome(p, rules.Reset)
	}
	t.active, t.queue, t.running = nil, nil, 0
}

// changeList has the schedulers learn of workers, each in its own time.
func (w *World) changeList(changed []*worker, state rules.WorkerState) {
	for _, t := range changed {
		t.entry.State = state
	}
	for _, x := range w.schedulers {
		w.schedule(w.now+w.setup.ListDelay.draw(w.rng), func() { x.deliverList(changed) })
	}
}

// nextRestart has a worker drain and start anew. What it runs goes on meanwhile: the old process ends it.
func (w *World) scheduleRestart() {
	w.schedule(w.now+rules.Time(w.rng.ExpFloat64()/w.setup.RestartsPerS*1e6), func() {
		t := w.workers[w.rng.IntN(len(w.workers))]
		if t.isListed && t.entry.State == rules.Ready {
			w.changeList([]*worker{t}, rules.Draining)
			w.schedule(w.now+w.setup.RestartDuration, func() {
				t.startedAt, t.entry.StartedAt = w.now, w.now
				w.changeList([]*worker{t}, rules.Ready)
			})
		}
		w.scheduleRestart()
	})
}
