package judge

import (
	"fmt"
	"slices"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

// graceUS returns the time, in microseconds, after which schedulers may send nothing new to a worker that is draining,
// removed or disabled.
func graceUS(s *scenario.Scenario) int64 { return int64(s.DrainGraceS * 1e6) }

// disabledTime is a time, in microseconds, in which a worker was disabled by an operator at one scheduler.
type disabledTime struct{ from, to int64 }

// schedulerWorker is a worker as one scheduler sees it.
type schedulerWorker struct{ scheduler, worker int32 }

// never is a time after every run.
const never = int64(1) << 62

// disabledTimes returns the times between the answer to a disable call and the enable call. An enable call undoes each
// disable call that was made before it, also one that is answered later. A directive ends with the last process of its
// scheduler, and is never in force if that ends between the call and the time from which the call counts.
func disabledTimes(rec *record.Records) map[schedulerWorker][]disabledTime {
	events := slices.Clone(rec.Events)
	slices.SortStableFunc(events, func(a, b record.Event) int { return int(a.AtUS - b.AtUS) })
	times := map[schedulerWorker][]disabledTime{}
	enabledUS := map[schedulerWorker]int64{}
	endedUS := map[int32]int64{} // by scheduler, the end of its last process
	endLast := func(key schedulerWorker, atUS int64) {
		if list := times[key]; len(list) > 0 && list[len(list)-1].to == never {
			list[len(list)-1].to = atUS
		}
	}
	for _, event := range events {
		key := schedulerWorker{event.Scheduler, event.Worker}
		switch event.Kind {
		case "out":
			if enabled, isKnown := enabledUS[key]; isKnown && event.CalledUS > 0 && event.CalledUS <= enabled {
				continue
			}
			if ended, isKnown := endedUS[event.Scheduler]; isKnown && event.CalledUS > 0 && event.CalledUS <= ended {
				continue
			}
			endLast(key, event.AtUS)
			times[key] = append(times[key], disabledTime{event.AtUS, never})
		case "back":
			enabledUS[key] = event.AtUS
			endLast(key, event.AtUS)
		case "killed", "ended", "crashed":
			endedUS[event.Scheduler] = event.AtUS
			for key := range times {
				if key.scheduler == event.Scheduler {
					endLast(key, event.AtUS)
				}
			}
		}
	}
	return times
}

// checkDisabled checks that a scheduler sends nothing to a worker that an operator has disabled, once the grace is over,
// whichever of its processes received the call.
func checkDisabled(s *scenario.Scenario, rec *record.Records) Check {
	times := disabledTimes(rec)
	tries := triesByID(rec)
	var violations []string
	for i := range rec.Attempts {
		attempt := &rec.Attempts[i]
		for _, disabled := range times[schedulerWorker{attempt.Scheduler, attempt.Worker}] {
			graceEndUS := disabled.from + graceUS(s)
			if attempt.ReachUS() > graceEndUS+slackUS && attempt.ReachUS() < disabled.to && !delayedByCut(s, tries[attempt.ID], attempt, graceEndUS) {
				violations = append(violations, fmt.Sprintf("%s from scheduler %d to table worker %d at %.3f s, disabled since %.3f s", attempt.ID, attempt.Scheduler, attempt.Worker,
					float64(attempt.ReachUS())/1e6, float64(disabled.from)/1e6))
			}
		}
	}
	return newCheck("nothing new to a table worker that an operator took out", len(violations), func(i int) string { return violations[i] })
}

// triesByID returns the tries of a run by their IDs.
func triesByID(rec *record.Records) map[string]*record.Try {
	tries := make(map[string]*record.Try, len(rec.Tries))
	for i := range rec.Tries {
		tries[rec.Tries[i].ID] = &rec.Tries[i]
	}
	return tries
}

// delayedByCut reports whether an attempt left its scheduler by limitUS and arrived later because of a network cut. The time
// left that the attempt states shows when it was sent. Its client must still wait: an attempt that was cancelled is reset,
// and never arrives.
func delayedByCut(s *scenario.Scenario, try *record.Try, attempt *record.Attempt, limitUS int64) bool {
	if try == nil || attempt.TimeLeftMS <= 0 {
		return false
	}
	sentUS := try.StartUS() + (try.TimeLeftMS-attempt.TimeLeftMS)*1000
	clientWaits := try.EndedUS > attempt.ArrivedUS
	if sentUS > limitUS || !clientWaits {
		return false
	}
	return slices.ContainsFunc(s.Faults, func(fault scenario.Fault) bool {
		affectsJobs := len(fault.Paths) == 0 || slices.Contains(fault.Paths, "job")
		cutUS, cutEndUS := int64(fault.AtS*1e6), int64((fault.AtS+fault.ForS)*1e6)
		return fault.What == "cut" && affectsJobs && sentUS < cutEndUS && attempt.ArrivedUS >= cutEndUS && cutUS < attempt.ArrivedUS
	})
}

// checkClientDrain checks that no scheduler reported ready while an operator drained its clients.
func checkClientDrain(rec *record.Records) Check {
	var violations []string
	for _, event := range rec.Events {
		if event.Kind == "still-ready" {
			violations = append(violations, fmt.Sprintf("%s at %.3f s", event.Text, float64(event.AtUS)/1e6))
		}
	}
	return newCheck("not ready while clients are sent away", len(violations), func(i int) string { return violations[i] })
}

// maxLateStartUS is how long, in microseconds, an attempt may still begin after its client has disconnected.
const maxLateStartUS = 100_000

// checkCancelled checks that no attempt begins after its client has disconnected.
func checkCancelled(s *scenario.Scenario, rec *record.Records) Check {
	absences := findAbsences(rec)
	cancelledUS := map[string]int64{}
	for i := range rec.Tries {
		if try := &rec.Tries[i]; try.End == record.EndCancelled {
			cancelledUS[try.ID] = try.GoneUS()
		}
	}
	var violations []string
	for i := range rec.Attempts {
		attempt := &rec.Attempts[i]
		atUS, isKnown := cancelledUS[attempt.ID]
		if !isKnown || pathImpaired(s, "client", atUS, attempt.ReachUS()) || pathImpaired(s, "job", atUS, attempt.ReachUS()) || absences.overlaps(attempt.Scheduler, atUS, attempt.ReachUS()) {
			continue // the cancellation or the attempt may have been delayed on its path
		}
		if attempt.ReachUS() > atUS+maxLateStartUS+slackUS+s.PausedUS(atUS, attempt.ReachUS()) {
			violations = append(violations, fmt.Sprintf("%s from scheduler %d, %.3f s after its client disconnected", attempt.ID, attempt.Scheduler, float64(attempt.ReachUS()-atUS)/1e6))
		}
	}
	return newCheck("no attempt for a client that has gone", len(violations), func(i int) string { return violations[i] })
}

// checkTimeLeft checks that the time left that an attempt states to its worker is at most what its client has left.
func checkTimeLeft(s *scenario.Scenario, rec *record.Records) Check {
	absences, tries := findAbsences(rec), triesByID(rec)
	var violations []string
	for i := range rec.Attempts {
		attempt := &rec.Attempts[i]
		try := tries[attempt.ID]
		if try == nil || attempt.TimeLeftMS <= 0 || pathImpaired(s, "client", try.SentUS, attempt.ArrivedUS) || pathImpaired(s, "job", try.SentUS, attempt.ArrivedUS) ||
			absences.overlaps(attempt.Scheduler, try.SentUS, attempt.ArrivedUS) {
			continue // the request or the attempt may have been delayed on its path
		}
		if attempt.ReachUS()+attempt.TimeLeftMS*1000 > try.DeadlineUS()+2*slackUS {
			violations = append(violations, fmt.Sprintf("%s from scheduler %d, states %d ms left, its client has %d ms", attempt.ID, attempt.Scheduler, attempt.TimeLeftMS, (try.DeadlineUS()-attempt.ReachUS())/1000))
		}
	}
	return newCheck("no attempt is told more time than its client has", len(violations), func(i int) string { return violations[i] })
}

// checkOneAttemptAtATime checks that no worker receives a second attempt of a try while it still has the first.
func checkOneAttemptAtATime(rec *record.Records) Check {
	type idWorker struct {
		id     string
		worker int32
	}
	endUS := map[idWorker]int64{}
	attempts := slices.Clone(rec.Attempts)
	slices.SortStableFunc(attempts, func(a, b record.Attempt) int { return int(a.ArrivedUS - b.ArrivedUS) })
	var violations []string
	for i := range attempts {
		attempt := &attempts[i]
		key := idWorker{attempt.ID, attempt.Worker}
		if previousEndUS, isKnown := endUS[key]; isKnown && attempt.ArrivedUS < previousEndUS {
			violations = append(violations, fmt.Sprintf("%s at table worker %d, at %.3f s", attempt.ID, attempt.Worker, float64(attempt.ArrivedUS)/1e6))
		}
		endUS[key] = max(endUS[key], attempt.EndedUS)
	}
	return newCheck("one attempt of a request at a table worker at a time", len(violations), func(i int) string { return violations[i] })
}
