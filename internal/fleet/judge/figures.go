package judge

import (
	"slices"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

// Asked is what became of one request, over all its tries.
type RequestOutcome struct {
	Class, Site int
	DueUS       int64
	RunUS       int64
	AcceptedUS  int64 // when a scheduler first took it; below 0: never
	IsServed    bool
	IsRefused   bool // in the end
	IsInverted  bool // a try was refused while a job of a lesser class was served
	Attempts    int
	EarnedValue float64
	MaxValue    float64 // at most
	BoundValue  float64 // what a planner that sees all earns with it
}

// Analysis is what the figures are worked out from.
type Analysis struct {
	scenario   *scenario.Scenario
	Requests   []RequestOutcome
	attempts   []record.Attempt
	samples    []record.Sample
	collapsed  int
	workerSite []int // of each worker
}

// Analyze sums the records up by request.
func Analyze(s *scenario.Scenario, rec *record.Records) *Analysis {
	b := &Analysis{scenario: s, attempts: rec.Attempts, samples: rec.Samples, collapsed: len(rec.About.CollapsedWorkers)}
	for i, x := range s.Sites {
		for range x.Workers {
			b.workerSite = append(b.workerSite, i)
		}
	}
	tries := slices.Clone(rec.Tries)
	slices.SortFunc(tries, func(a, b record.Try) int {
		if a.Request != b.Request {
			return int(a.Request - b.Request)
		}
		return int(a.Number - b.Number)
	})
	bad := invertedRequests(s, tries)
	ids := make(map[string]int, len(tries))
	last := int32(-1)
	for i := range tries {
		t := &tries[i]
		c := &s.Classes[t.Class]
		if t.Request != last {
			last = t.Request
			b.Requests = append(b.Requests, RequestOutcome{Class: int(t.Class), Site: int(t.Site), DueUS: t.DueUS, RunUS: t.RunUS, AcceptedUS: -1, MaxValue: c.Worth,
				IsInverted: bad[t.Request]})
		}
		a := &b.Requests[len(b.Requests)-1]
		ids[t.ID] = len(b.Requests) - 1
		if t.End != record.EndUnreachable && a.AcceptedUS < 0 {
			a.AcceptedUS = t.SentUS
		}
		a.IsRefused = t.Status == 429 || t.Status == 503
		if t.Status == 200 {
			a.IsServed = true
			switch took := t.EndedUS - t.DueUS; {
			case took <= latencyTargetUS(c, t.RunUS):
				a.EarnedValue = c.Worth
			case took <= int64(c.DeadlineS*1e6):
				a.EarnedValue = c.Worth * c.LateWorth
			}
		}
	}
	for i := range rec.Attempts {
		if at, known := ids[rec.Attempts[i].ID]; known {
			b.Requests[at].Attempts++
		}
	}
	b.computeBound()
	return b
}

// aim is the time within which an answer earns all, from when the request was due.
func latencyTargetUS(c *scenario.Class, runUS int64) int64 {
	return min(int64(c.AimMS*1000+c.Stretch*float64(runUS)), int64(c.DeadlineS*1e6))
}

// Figures are those of a window.
type Figures struct {
	Requests                       int
	Worth, OfBound                 float64 // earned, as parts of what was asked for and of what the planner earns
	Bound                          float64
	Served, Refused, Failed        float64 // parts of the requests
	Attempts                       float64 // for each request that a scheduler took
	IdleBesideWaiting              float64
	WaitMeanS, WaitP99S, QueueLong float64
	Herd                           float64 // most arrivals at one worker within a report's age, over its fair part
	StarvedWorkers                 int     // workers with room that had no job for 5 s while jobs waited elsewhere
	InvertedShare                  float64 // part of the requests that were refused while one of a lesser class was served
	CollapsedWorkers               int
}

// Get gives a figure by its name in scenario files.
func (f Figures) ByName(name string) float64 {
	return map[string]float64{"worth": f.Worth, "of_bound": f.OfBound, "served": f.Served, "refused": f.Refused, "failed": f.Failed, "attempts": f.Attempts,
		"idle_beside_waiting": f.IdleBesideWaiting, "wait_mean_s": f.WaitMeanS, "wait_p99_s": f.WaitP99S, "queue_longest": f.QueueLong,
		"herd": f.Herd, "left_out": float64(f.StarvedWorkers), "inverted": f.InvertedShare,
		"fallen": float64(f.CollapsedWorkers)}[name]
}

// Window gives the figures of a part of the run, of a class and of the clients of a site; below 0: of all.
func (b *Analysis) WindowFigures(w scenario.Window, class, site int) Figures {
	f := b.ClientFigures(w, class, site)
	from, to := windowUS(w)
	b.addWorkerFigures(&f, from, to, site)
	b.addHerdFigures(&f, from, to, site)
	f.CollapsedWorkers = b.collapsed
	return f
}

// span is a window in microseconds.
func windowUS(w scenario.Window) (from, to int64) { return int64(w.FromS * 1e6), int64(w.ToS * 1e6) }

// Answers gives those figures of Window that clients' records tell; it does not walk the workers' samples.
func (b *Analysis) ClientFigures(w scenario.Window, class, site int) (f Figures) {
	from, to := windowUS(w)
	worth, earned, bound, taken, attempts := 0.0, 0.0, 0.0, 0, 0
	for i := range b.Requests {
		a := &b.Requests[i]
		if a.DueUS < from || a.DueUS >= to || class >= 0 && a.Class != class || site >= 0 && a.Site != site {
			continue
		}
		f.Requests++
		worth, earned, bound = worth+a.MaxValue, earned+a.EarnedValue, bound+a.BoundValue
		if a.AcceptedUS >= 0 {
			taken++
			attempts += a.Attempts
		}
		if a.IsInverted {
			f.InvertedShare++
		}
		switch {
		case a.IsServed:
			f.Served++
		case a.IsRefused:
			f.Refused++
		default:
			f.Failed++
		}
	}
	n := max(1, float64(f.Requests))
	f.Served, f.Refused, f.Failed, f.InvertedShare = f.Served/n, f.Refused/n, f.Failed/n, f.InvertedShare/n
	f.Worth, f.Bound, f.Attempts = earned/max(1e-9, worth), bound/max(1e-9, worth), float64(attempts)/max(1, float64(taken))
	f.OfBound = earned / max(1e-9, bound)
	return f
}

// evenness takes the figures from the workers.
func (b *Analysis) addWorkerFigures(f *Figures, from, to int64, site int) {
	var at int64 = -1
	free, waiting, longest := 0.0, 0.0, 0.0
	wasted, room, long, moments := 0.0, 0.0, 0.0, 0.0
	end := func() {
		if at >= 0 {
			wasted += min(free, waiting)
			long += longest
			moments++
		}
		free, waiting, longest = 0, 0, 0
	}
	for i := range b.samples {
		s := &b.samples[i]
		if s.AtUS < from || s.AtUS >= to || site >= 0 && b.workerSite[s.Worker] != site {
			continue
		}
		if s.AtUS != at {
			end()
			at = s.AtUS
		}
		free += float64(max(0, s.UsableSlots-s.Running))
		waiting += float64(s.Waiting)
		longest = max(longest, float64(s.Waiting))
		room += float64(s.UsableSlots)
	}
	end()
	f.IdleBesideWaiting, f.QueueLong = wasted/max(1e-9, room), long/max(1, moments)
	var waits []float64
	sum := 0.0
	for i := range b.attempts {
		r := &b.attempts[i]
		if r.StartedUS > 0 && r.ArrivedUS >= from && r.ArrivedUS < to && (site < 0 || b.workerSite[r.Worker] == site) {
			w := float64(r.StartedUS-r.ArrivedUS) / 1e6
			waits = append(waits, w)
			sum += w
		}
	}
	if len(waits) > 0 {
		slices.Sort(waits)
		f.WaitMeanS, f.WaitP99S = sum/float64(len(waits)), waits[len(waits)*99/100]
	}
}
