package rules

import "math"

// The cold budget (slow start). All dispatchers together must not send a worker that has just started more
// than a multiple of its present capacity. Each keeps within its own part of that budget, in slot-time, by
// the expected size of jobs.

// isCold reports whether the worker is in its slow start.
func (d *Dispatcher) isCold(now Time, w *worker) bool {
	return w.StartedAt > 0 && now-w.StartedAt < d.cfg.SlowStartWindow+d.cfg.OverloadWindow
}

// jobCost returns the expected slot-time, in microseconds, of a job on a warm worker.
func (d *Dispatcher) jobCost(r *request) float64 { return d.expectedRun(r.Class) * r.size * r.Slots }

// relativeSize returns a job's expected running time over the mean of its class. The client's hint is taken
// relative to the mean hint, which removes any bias, and weighted by how well hints have predicted running
// times so far [D10].
func (d *Dispatcher) relativeSize(r *request) float64 {
	if r.Hint <= 0 {
		return 1
	}
	c := &d.classes[r.Class]
	c.hint.add(float64(r.Hint), gain/16)
	n := c.hintFit.covariance.n
	weight := min(1, max(0, c.hintFit.v()*n/(n+hintFitPrior)))
	return min(max(minJobSize, 1+weight*(float64(r.Hint)/c.hint.v-1)), maxJobSize)
}

// expectedRun returns the mean running time of the class's jobs, in microseconds. Until 8 have ended it is
// at least 1.5 latency targets.
func (d *Dispatcher) expectedRun(class int) float64 {
	c := &d.classes[class]
	if c.run.n < 8 {
		return max(c.run.v, 1.5*float64(c.LatencyTarget))
	}
	return c.run.v
}

// coldBudgetAllows refills the worker's token bucket and reports whether the job fits into it. The bucket
// starts with a random part of one job, so that dispatchers that learn of a worker at the same moment do
// not all send one at once. It starts empty where the worker started before this dispatcher, whose
// previous process may already have sent it jobs.
func (d *Dispatcher) coldBudgetAllows(now Time, w *worker, r *request) bool {
	if !d.isCold(now, w) {
		return true
	}
	if d.coldBudgetYielded {
		return false
	}
	cost := d.jobCost(r)
	allowed := d.coldRate(now, w)
	shares := d.coldShares(w, allowed*float64(d.cfg.OverloadWindow)/d.meanRunOr(r.Class))
	if d.coldSharePosition(w) >= shares {
		return false
	}
	rate := coldBudgetFraction * allowed / shares
	if w.coldTokensAt == 0 {
		w.coldTokensAt = now
		if w.StartedAt >= d.createdAt {
			w.coldTokens += d.rng.Float64() * cost
		}
	}
	depth := max(cost, rate*float64(d.cfg.OverloadWindow)/2)
	w.coldTokens = min(w.coldTokens+rate*float64(now-w.coldTokensAt), max(depth, w.coldTokens))
	w.coldTokensAt = now
	return w.coldTokens >= cost
}

// coldRate returns the slot-time per unit of time that the settings allow a cold worker at its present
// capacity, from all dispatchers together.
func (d *Dispatcher) coldRate(now Time, w *worker) float64 {
	slots := 1.0 // no capacity is known yet: the least that a worker can have
	if w.capacity.n > 0 || d.kind(w.Kind).capacity.n > 0 || d.fleetCapacity.n > 0 {
		slots = d.slots(w)
	}
	return d.cfg.OverloadFactor * slots * d.warmFraction(now, w)
}

// meanRunOr returns the mean running time of all jobs, in microseconds, or the expected one of the class
// while no job has ended.
func (d *Dispatcher) meanRunOr(class int) float64 {
	if d.meanRun.n > 0 {
		return max(1, d.meanRun.v)
	}
	return max(1, d.expectedRun(class))
}

// coldShares returns the number of dispatchers among which a cold worker's budget of that many jobs per
// OverloadWindow is divided. Each may send one whole job regardless of the others, and none learns of the
// others' sends in time, so at most as many get a share as the worker tolerates jobs over its budget.
// Where dispatchers have so few jobs that even in a burst only some of them send one within that time,
// more get a share: what they send stays within the budget and the slack, and part of the budget is still
// kept back.
func (d *Dispatcher) coldShares(w *worker, jobs float64) float64 {
	slack := 2*math.Sqrt(jobs) + 2
	if jobs < fewColdJobs {
		slack = 3*math.Sqrt(jobs) + 3
	}
	demand := d.coldDemand()
	return min(math.Floor((slack+jobs*(1-demand))/demand), d.kind(w.Kind).senders)
}

// coldDemand returns the fraction of OverloadWindows in which this dispatcher has a job for a given worker
// during a burst; 1 while its traffic is not known.
func (d *Dispatcher) coldDemand() float64 {
	if d.requestsPerTick.n < minTrafficTicks {
		return 1
	}
	jobs := d.requestsPerTick.v * float64(d.cfg.OverloadWindow) / tickInterval /
		max(1, float64(d.readyCount))
	return min(1, max(coldBurstFactor*jobs, minColdDemand))
}

// coldSharePosition returns this dispatcher's position in the order in which the dispatchers that may send
// to a worker get a share of its cold budget. The order is drawn anew for each start of a worker, by
// rendezvous hashing of the ranks: all dispatchers compute the same one without messages, and over many
// workers the shares are spread evenly.
func (d *Dispatcher) coldSharePosition(w *worker) float64 {
	if w.coldPositionFor != w.StartedAt {
		seed := mixHash(hashID(w.id) ^ uint64(w.StartedAt))
		mine := mixHash(seed + uint64(d.cfg.Rank))
		w.coldPosition, w.coldPositionFor = 0, w.StartedAt
		for rank := range d.cfg.GroupSize {
			if mixHash(seed+uint64(rank)) > mine {
				w.coldPosition++
			}
		}
	}
	return math.Floor(float64(w.coldPosition) * d.kind(w.Kind).senders / float64(d.cfg.GroupSize))
}

// YieldColdBudget sets whether a later process of the same scheduler uses this dispatcher's shares of the
// cold (slow-start) budgets, so that both processes together have the shares of one dispatcher.
// Core.SetSlowStartElsewhere calls it.
func (d *Dispatcher) YieldColdBudget(yielded bool) { d.coldBudgetYielded = yielded }
