package rules

import "math"

// The cold budget. All dispatchers together must not send a worker that has just started more than a
// multiple of what it can do; each keeps within its own part, in slot-time, by the expected size of jobs.

func (d *Dispatcher) isCold(now Time, w *worker) bool {
	return w.StartedAt > 0 && now-w.StartedAt < d.cfg.SlowStartWindow+d.cfg.OverloadWindow
}

// jobCost is the slot-time that a job is reckoned to take on a warm worker.
func (d *Dispatcher) jobCost(r *request) float64 { return d.expectedRun(r.Class) * r.size * r.Slots }

// sizeOf gives a job's expected running time over its class's mean. A client's hint counts against the mean
// of hints, so that a bias says nothing, and as far as hints have proved to tell of running times [D10].
func (d *Dispatcher) relativeSize(r *request) float64 {
	if r.Hint <= 0 {
		return 1
	}
	c := &d.classes[r.Class]
	c.hint.add(float64(r.Hint), gain/16)
	seen := c.hintFit.covariance.n
	told := min(1, max(0, c.hintFit.v()*seen/(seen+hintFitPrior)))
	return min(max(minJobSize, 1+told*(float64(r.Hint)/c.hint.v-1)), maxJobSize)
}

func (d *Dispatcher) expectedRun(class int) float64 {
	c := &d.classes[class]
	if c.run.n < 8 {
		return max(c.run.v, 1.5*float64(c.LatencyTarget))
	}
	return c.run.v
}

// coldAllows fills the worker's bucket and tells whether the job fits. The bucket starts at a
// random part of one job, so that dispatchers that learn of a worker at the same moment do not all
// open with one; it starts empty where the worker was started before this dispatcher, whose process
// before may have sent it some already.
func (d *Dispatcher) coldBudgetAllows(now Time, w *worker, r *request) bool {
	if !d.isCold(now, w) {
		return true
	}
	if d.coldBudgetYielded {
		return false
	}
	cost := d.jobCost(r)
	allowed := d.coldRate(now, w)
	leases := d.coldShares(w, allowed*float64(d.cfg.OverloadWindow)/d.meanRunOr(r.Class))
	if d.coldSharePosition(w) >= leases {
		return false
	}
	rate := coldBudgetFraction * allowed / leases
	if w.coldTokensAt == 0 {
		w.coldTokensAt = now
		if w.StartedAt >= d.createdAt {
			w.coldTokens += d.rng.Float64() * cost
		}
	}
	deep := max(cost, rate*float64(d.cfg.OverloadWindow)/2)
	w.coldTokens = min(w.coldTokens+rate*float64(now-w.coldTokensAt), max(deep, w.coldTokens))
	w.coldTokensAt = now
	return w.coldTokens >= cost
}

// coldRate is the slot-time a unit of time that the settings allow a cold worker by now, from all
// dispatchers together.
func (d *Dispatcher) coldRate(now Time, w *worker) float64 {
	slots := 1.0 // nothing learned yet: as little as a worker can have
	if w.capacity.n > 0 || d.kind(w.Kind).capacity.n > 0 || d.fleetCapacity.n > 0 {
		slots = d.slots(w)
	}
	return d.cfg.OverloadFactor * slots * d.warmFraction(now, w)
}

// usualRun is the mean running time of all jobs; of the class's, as long as no job has ended.
func (d *Dispatcher) meanRunOr(class int) float64 {
	if d.meanRun.n > 0 {
		return max(1, d.meanRun.v)
	}
	return max(1, d.expectedRun(class))
}

// coldLeases is the number of dispatchers among which a cold worker's budget of so many jobs in
// TipAfter is divided. Each may send it one whole job whatever the others do, and none hears of the
// others in time; so as many have a part as the worker bears jobs over its budget. Where one has so
// few jobs that even in a rush only some would send one within that time, more have a part: what they
// send then keeps within the budget and the slack, and part of the budget is still kept back.
func (d *Dispatcher) coldShares(w *worker, jobs float64) float64 {
	slack := 2*math.Sqrt(jobs) + 2
	if jobs < fewColdJobs {
		slack = 3*math.Sqrt(jobs) + 3
	}
	demand := d.coldDemand()
	return min(math.Floor((slack+jobs*(1-demand))/demand), d.kind(w.Kind).senders)
}

// coldDemand is the part of TipAfters in which this dispatcher has a job for a given worker, in a rush;
// 1 as long as its traffic is not known.
func (d *Dispatcher) coldDemand() float64 {
	if d.requestsPerTick.n < minTrafficTicks {
		return 1
	}
	usual := d.requestsPerTick.v * float64(d.cfg.OverloadWindow) / tickInterval / max(1, float64(d.readyCount))
	return min(1, max(coldBurstFactor*usual, minColdDemand))
}

// coldPlace is this dispatcher's place in the order in which those that may send to a worker get a
// part of its cold budget. The order is drawn anew for each start of a worker (rendezvous hashing by
// rank): all know it without a word, and over many workers the parts are spread evenly.
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

// ColdElsewhere tells whether another process of this dispatcher, started later, has its parts of
// the cold budgets: the rules count both as one.
func (d *Dispatcher) YieldColdBudget(elsewhere bool) { d.coldBudgetYielded = elsewhere }
