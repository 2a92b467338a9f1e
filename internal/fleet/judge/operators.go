package judge

import (
	"fmt"
	"slices"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

// graceUS is the time after which nothing new may go to a worker that drains, is gone or was taken out.
func graceUS(s *scenario.Scenario) int64 { return int64(s.DrainGraceS * 1e6) }

// outage is a time in which a worker was out by hand, as one scheduler was told.
type disabledTime struct{ from, to int64 }

type schedulerWorker struct{ scheduler, worker int32 }

const never = int64(1) << 62

// outages gives the times from an operator's yes to the call back. A call back undoes each call out that was made before
// it, also one whose yes comes later. What a scheduler was told goes with its last process.
func disabledTimes(rec *record.Records) map[schedulerWorker][]disabledTime {
	events := slices.Clone(rec.Events)
	slices.SortStableFunc(events, func(a, b record.Event) int { return int(a.AtUS - b.AtUS) })
	all := map[schedulerWorker][]disabledTime{}
	calledBack := map[schedulerWorker]int64{}
	end := func(k schedulerWorker, at int64) {
		if list := all[k]; len(list) > 0 && list[len(list)-1].to == never {
			list[len(list)-1].to = at
		}
	}
	for _, e := range events {
		k := schedulerWorker{e.Scheduler, e.Worker}
		switch e.Kind {
		case "out":
			if back, known := calledBack[k]; known && e.CalledUS > 0 && e.CalledUS <= back {
				continue
			}
			end(k, e.AtUS)
			all[k] = append(all[k], disabledTime{e.AtUS, never})
		case "back":
			calledBack[k] = e.AtUS
			end(k, e.AtUS)
		case "killed", "ended", "crashed":
			for k := range all {
				if k.scheduler == e.Scheduler {
					end(k, e.AtUS)
				}
			}
		}
	}
	return all
}

// outOfHand looks at what schedulers sent to workers that an operator had taken out, whichever process was told.
func checkDisabled(s *scenario.Scenario, rec *record.Records) Check {
	all := disabledTimes(rec)
	tries := triesByID(rec)
	var bad []string
	for i := range rec.Attempts {
		r := &rec.Attempts[i]
		for _, o := range all[schedulerWorker{r.Scheduler, r.Worker}] {
			ends := o.from + graceUS(s)
			if r.ArrivedUS > ends+slackUS && r.ArrivedUS < o.to && !delayedByCut(s, tries[r.ID], r, ends) {
				bad = append(bad, fmt.Sprintf("%s from scheduler %d to table worker %d at %.3f s, out by hand since %.3f s", r.ID, r.Scheduler, r.Worker,
					float64(r.ArrivedUS)/1e6, float64(o.from)/1e6))
			}
		}
	}
	return newCheck("nothing new to a table worker that an operator took out", len(bad), func(i int) string { return bad[i] })
}

func triesByID(rec *record.Records) map[string]*record.Try {
	tries := make(map[string]*record.Try, len(rec.Tries))
	for i := range rec.Tries {
		tries[rec.Tries[i].ID] = &rec.Tries[i]
	}
	return tries
}

// heldByACut tells of an attempt that had left its scheduler by a time, as the time that it tells to be left shows, and that
// a cut of the network brought later. Its client waits for it: one that was given up is reset and never comes.
func delayedByCut(s *scenario.Scenario, t *record.Try, r *record.Attempt, by int64) bool {
	if t == nil || r.TimeLeftMS <= 0 {
		return false
	}
	leftAt := t.SentUS + (t.TimeLeftMS-r.TimeLeftMS)*1000
	waits := t.EndedUS > r.ArrivedUS
	if leftAt > by || !waits {
		return false
	}
	return slices.ContainsFunc(s.Faults, func(f scenario.Fault) bool {
		carriesJobs := len(f.Paths) == 0 || slices.Contains(f.Paths, "job")
		from, to := int64(f.AtS*1e6), int64((f.AtS+f.ForS)*1e6)
		return f.What == "cut" && carriesJobs && leftAt < to && r.ArrivedUS >= to && from < r.ArrivedUS
	})
}

// sentAway looks at schedulers that said they were ready while an operator had them send their clients away.
func checkClientDrain(rec *record.Records) Check {
	var bad []string
	for _, e := range rec.Events {
		if e.Kind == "still-ready" {
			bad = append(bad, fmt.Sprintf("%s at %.3f s", e.Text, float64(e.AtUS)/1e6))
		}
	}
	return newCheck("not ready while clients are sent away", len(bad), func(i int) string { return bad[i] })
}

// goneUS is how long after its client's end an attempt may still begin.
const maxLateStartUS = 100_000

// afterTheClient looks at attempts that began when their client had gone.
func checkCancelled(s *scenario.Scenario, rec *record.Records) Check {
	gone := absences(rec)
	left := map[string]int64{}
	for i := range rec.Tries {
		if t := &rec.Tries[i]; t.End == record.EndCancelled {
			left[t.ID] = t.EndedUS
		}
	}
	var bad []string
	for i := range rec.Attempts {
		r := &rec.Attempts[i]
		at, known := left[r.ID]
		if !known || pathImpaired(s, "client", at, r.ArrivedUS) || pathImpaired(s, "job", at, r.ArrivedUS) || gone.overlaps(r.Scheduler, at, r.ArrivedUS) {
			continue // the word of its leaving, or the attempt, was on its way for longer
		}
		if r.ArrivedUS > at+maxLateStartUS+slackUS+s.PausedUS(at, r.ArrivedUS) {
			bad = append(bad, fmt.Sprintf("%s from scheduler %d, %.3f s after its client had gone", r.ID, r.Scheduler, float64(r.ArrivedUS-at)/1e6))
		}
	}
	return newCheck("no attempt for a client that has gone", len(bad), func(i int) string { return bad[i] })
}

// timeLeft looks at the time that attempts told their workers: at most what the client had left.
func checkTimeLeft(s *scenario.Scenario, rec *record.Records) Check {
	gone, tries := absences(rec), triesByID(rec)
	var bad []string
	for i := range rec.Attempts {
		r := &rec.Attempts[i]
		t := tries[r.ID]
		if t == nil || r.TimeLeftMS <= 0 || pathImpaired(s, "client", t.SentUS, r.ArrivedUS) || pathImpaired(s, "job", t.SentUS, r.ArrivedUS) ||
			gone.overlaps(r.Scheduler, t.SentUS, r.ArrivedUS) {
			continue // it was on its way for longer than a word takes
		}
		if end := t.SentUS + t.TimeLeftMS*1000; r.ArrivedUS+r.TimeLeftMS*1000 > end+2*slackUS {
			bad = append(bad, fmt.Sprintf("%s from scheduler %d, told %d ms with %d ms left", r.ID, r.Scheduler, r.TimeLeftMS, (end-r.ArrivedUS)/1000))
		}
	}
	return newCheck("no attempt is told more time than its client has", len(bad), func(i int) string { return bad[i] })
}

// oneAtATime looks for a second attempt of an id at a worker that still had the first.
func checkOneAttemptAtATime(rec *record.Records) Check {
	type at struct {
		id     string
		worker int32
	}
	open := map[at]int64{}
	runs := slices.Clone(rec.Attempts)
	slices.SortStableFunc(runs, func(a, b record.Attempt) int { return int(a.ArrivedUS - b.ArrivedUS) })
	var bad []string
	for i := range runs {
		r := &runs[i]
		k := at{r.ID, r.Worker}
		if end, known := open[k]; known && r.ArrivedUS < end {
			bad = append(bad, fmt.Sprintf("%s at table worker %d, at %.3f s", r.ID, r.Worker, float64(r.ArrivedUS)/1e6))
		}
		open[k] = max(open[k], r.EndedUS)
	}
	return newCheck("one attempt of a request at a table worker at a time", len(bad), func(i int) string { return bad[i] })
}
