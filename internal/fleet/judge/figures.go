package judge

import (
	"slices"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

// RequestOutcome is the outcome of one request over all its tries.
type RequestOutcome struct {
	Class, Site int
	DueUS       int64
	RunUS       int64
	AcceptedUS  int64 // when the first try that reached a scheduler was sent; below 0: never
	IsServed    bool
	IsRefused   bool // by the answer to its last try
	IsInverted  bool // a try was refused while a request of a class with less value per running time was served
	Attempts    int
	EarnedValue float64
	MaxValue    float64 // for an answer within the latency target
	BoundValue  float64 // value that the ideal planner of computeBound earns with it
}

// Analysis holds the outcomes that the figures are computed from.
type Analysis struct {
	scenario   *scenario.Scenario
	Requests   []RequestOutcome
	attempts   []record.Attempt
	samples    []record.Sample
	collapsed  int
	workerSite []int // by worker
}

// Analyze groups the records of a run by request.
func Analyze(s *scenario.Scenario, rec *record.Records) *Analysis {
	analysis := &Analysis{scenario: s, attempts: rec.Attempts, samples: rec.Samples, collapsed: len(rec.About.CollapsedWorkers)}
	for i, x := range s.Sites {
		for range x.Workers {
			analysis.workerSite = append(analysis.workerSite, i)
		}
	}
	tries := slices.Clone(rec.Tries)
	slices.SortFunc(tries, func(a, b record.Try) int {
		if a.Request != b.Request {
			return int(a.Request - b.Request)
		}
		return int(a.Number - b.Number)
	})
	inverted := invertedRequests(s, tries)
	requestByID := make(map[string]int, len(tries))
	lastRequest := int32(-1)
	for i := range tries {
		try := &tries[i]
		class := &s.Classes[try.Class]
		if try.Request != lastRequest {
			lastRequest = try.Request
			analysis.Requests = append(analysis.Requests, RequestOutcome{Class: int(try.Class), Site: int(try.Site), DueUS: try.DueUS, RunUS: try.RunUS, AcceptedUS: -1, MaxValue: class.Worth,
				IsInverted: inverted[try.Request]})
		}
		req := &analysis.Requests[len(analysis.Requests)-1]
		requestByID[try.ID] = len(analysis.Requests) - 1
		if try.End != record.EndUnreachable && req.AcceptedUS < 0 {
			req.AcceptedUS = try.SentUS
		}
		req.IsRefused = try.Status == 429 || try.Status == 503
		if try.Status == 200 {
			req.IsServed = true
			switch latencyUS := try.EndedUS - try.DueUS; {
			case latencyUS <= latencyTargetUS(class, try.RunUS):
				req.EarnedValue = class.Worth
			case latencyUS <= int64(class.DeadlineS*1e6):
				req.EarnedValue = class.Worth * class.LateWorth
			}
		}
	}
	for i := range rec.Attempts {
		if index, isKnown := requestByID[rec.Attempts[i].ID]; isKnown {
			analysis.Requests[index].Attempts++
		}
	}
	analysis.computeBound()
	return analysis
}

// latencyTargetUS returns the time from the due time of a request within which an answer earns its full value, in
// microseconds. It is at most the deadline.
func latencyTargetUS(class *scenario.Class, runUS int64) int64 {
	return min(int64(class.AimMS*1000+class.Stretch*float64(runUS)), int64(class.DeadlineS*1e6))
}

// Figures holds the figures of a time window of a run.
type Figures struct {
	Requests                       int
	Worth, OfBound                 float64 // earned value, as part of the value of all requests and of what the ideal planner earns
	Bound                          float64 // value that the ideal planner earns, as part of the value of all requests
	Served, Refused, Failed        float64 // parts of the requests
	Attempts                       float64 // mean per request that reached a scheduler
	IdleBesideWaiting              float64 // slots that were free while jobs waited, as part of the usable slots
	WaitMeanS, WaitP99S, QueueLong float64 // waits at the workers; mean over time of the longest queue
	Herd                           float64 // most arrivals at one worker within a load report's age, relative to an even spread
	StarvedWorkers                 int     // workers with free capacity and no job for 5 s while jobs waited at others
	InvertedShare                  float64 // part of the requests with IsInverted
	CollapsedWorkers               int     // of the whole run, overloaded while cold
}

// ByName returns a figure by its name in scenario files, or 0 if there is none of that name.
func (f Figures) ByName(name string) float64 {
	return map[string]float64{"worth": f.Worth, "of_bound": f.OfBound, "served": f.Served, "refused": f.Refused, "failed": f.Failed, "attempts": f.Attempts,
		"idle_beside_waiting": f.IdleBesideWaiting, "wait_mean_s": f.WaitMeanS, "wait_p99_s": f.WaitP99S, "queue_longest": f.QueueLong,
		"herd": f.Herd, "left_out": float64(f.StarvedWorkers), "inverted": f.InvertedShare,
		"fallen": float64(f.CollapsedWorkers)}[name]
}

// WindowFigures returns the figures of a window of the run, for a class and a site. A class or site below 0 stands for all.
func (a *Analysis) WindowFigures(w scenario.Window, class, site int) Figures {
	f := a.ClientFigures(w, class, site)
	fromUS, toUS := windowUS(w)
	a.addWorkerFigures(&f, fromUS, toUS, site)
	a.addHerdFigures(&f, fromUS, toUS, site)
	f.CollapsedWorkers = a.collapsed
	return f
}

// windowUS returns the bounds of a window in microseconds.
func windowUS(w scenario.Window) (fromUS, toUS int64) {
	return int64(w.FromS * 1e6), int64(w.ToS * 1e6)
}

// ClientFigures returns those figures of WindowFigures that come from the clients' records. It does not read the workers'
// samples, and is cheaper.
func (a *Analysis) ClientFigures(w scenario.Window, class, site int) (f Figures) {
	fromUS, toUS := windowUS(w)
	maxValue, earnedValue, boundValue, acceptedCount, attempts := 0.0, 0.0, 0.0, 0, 0
	for i := range a.Requests {
		req := &a.Requests[i]
		if req.DueUS < fromUS || req.DueUS >= toUS || class >= 0 && req.Class != class || site >= 0 && req.Site != site {
			continue
		}
		f.Requests++
		maxValue, earnedValue, boundValue = maxValue+req.MaxValue, earnedValue+req.EarnedValue, boundValue+req.BoundValue
		if req.AcceptedUS >= 0 {
			acceptedCount++
			attempts += req.Attempts
		}
		if req.IsInverted {
			f.InvertedShare++
		}
		switch {
		case req.IsServed:
			f.Served++
		case req.IsRefused:
			f.Refused++
		default:
			f.Failed++
		}
	}
	n := max(1, float64(f.Requests))
	f.Served, f.Refused, f.Failed, f.InvertedShare = f.Served/n, f.Refused/n, f.Failed/n, f.InvertedShare/n
	f.Worth, f.Bound, f.Attempts = earnedValue/max(1e-9, maxValue), boundValue/max(1e-9, maxValue), float64(attempts)/max(1, float64(acceptedCount))
	f.OfBound = earnedValue / max(1e-9, boundValue)
	return f
}

// addWorkerFigures sets the figures that come from the workers' samples and attempts.
func (a *Analysis) addWorkerFigures(f *Figures, fromUS, toUS int64, site int) {
	var atUS int64 = -1
	free, waiting, longest := 0.0, 0.0, 0.0
	idleBesideWaiting, usableSlots, longestSum, samples := 0.0, 0.0, 0.0, 0.0
	endSample := func() {
		if atUS >= 0 {
			idleBesideWaiting += min(free, waiting)
			longestSum += longest
			samples++
		}
		free, waiting, longest = 0, 0, 0
	}
	for i := range a.samples {
		s := &a.samples[i]
		if s.AtUS < fromUS || s.AtUS >= toUS || site >= 0 && a.workerSite[s.Worker] != site {
			continue
		}
		if s.AtUS != atUS {
			endSample()
			atUS = s.AtUS
		}
		free += float64(max(0, s.UsableSlots-s.Running))
		waiting += float64(s.Waiting)
		longest = max(longest, float64(s.Waiting))
		usableSlots += float64(s.UsableSlots)
	}
	endSample()
	f.IdleBesideWaiting, f.QueueLong = idleBesideWaiting/max(1e-9, usableSlots), longestSum/max(1, samples)
	var waits []float64
	sum := 0.0
	for i := range a.attempts {
		attempt := &a.attempts[i]
		if attempt.StartedUS > 0 && attempt.ArrivedUS >= fromUS && attempt.ArrivedUS < toUS && (site < 0 || a.workerSite[attempt.Worker] == site) {
			w := float64(attempt.StartedUS-attempt.ArrivedUS) / 1e6
			waits = append(waits, w)
			sum += w
		}
	}
	if len(waits) > 0 {
		slices.Sort(waits)
		f.WaitMeanS, f.WaitP99S = sum/float64(len(waits)), waits[len(waits)*99/100]
	}
}
