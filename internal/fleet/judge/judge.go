// Package judge reads the records of a run and says what holds: the four rules, from what clients and table workers saw,
// and the limits of the scenario. It knows nothing of the program that was played.
package judge

import (
	"encoding/json"
	"fmt"
	"slices"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

// Check is one thing that has to hold.
type Check struct {
	Name   string
	Passed bool
	Text   string // what was found
}

// slackUS is how late an answer or an attempt may be seen: the settings' slack, the protocol's 50 ms, and what a shared
// machine adds.
const slackUS = 150_000

// Judge checks the records of a run, and gives the analysis that its figures come from.
func Evaluate(rec *record.Records) ([]Check, *Analysis, error) {
	s := &scenario.Scenario{}
	if err := json.Unmarshal(rec.About.Scenario, s); err != nil {
		return nil, nil, err
	}
	analysis := Analyze(s, rec)
	checks := []Check{checkAnswered(s, rec), checkResults(rec), checkSingleStart(s, rec), checkDrained(s, rec),
		checkDisabled(s, rec), checkClientDrain(rec), checkCancelled(s, rec), checkTimeLeft(s, rec), checkOneAttemptAtATime(rec),
		checkColdWorkers(s, rec), checkCrashes(rec), newCheck("messages within 256 bytes", int(rec.About.OversizeMessages), nil)}
	return append(checks, checkLimits(s, analysis)...), analysis, nil
}

// check makes a check of a number of faults; what tells of one of them.
func newCheck(name string, faults int, what func(int) string) Check {
	c := Check{Name: name, Passed: faults == 0, Text: fmt.Sprintf("%d faults", faults)}
	if faults > 0 && what != nil {
		c.Text += ", the first: " + what(0)
	}
	return c
}

// away gives the times at which a scheduler could not answer: killed until it was ready again, or stopped.
type absenceTimes map[int32][][2]int64

func absences(rec *record.Records) absenceTimes {
	a := absenceTimes{}
	end := int64(1) << 62
	for _, e := range rec.Events {
		list := a[e.Scheduler]
		switch e.Kind {
		case "killed", "stopped", "crashed", "ended":
			if n := len(list); n > 0 && list[n-1][1] == end {
				continue // it is away already
			}
			if e.Scheduler >= 0 && e.Text != "" {
				a[e.Scheduler] = append(list, [2]int64{e.AtUS, end})
			}
		case "ready", "continued":
			if n := len(list); n > 0 && list[n-1][1] == end {
				list[n-1][1] = e.AtUS
			}
		}
	}
	return a
}

func (a absenceTimes) overlaps(scheduler int32, from, to int64) bool {
	return slices.ContainsFunc(a[scheduler], func(x [2]int64) bool { return x[0] <= to && x[1] >= from })
}

// cutOff tells whether the way of clients to schedulers was in trouble then: what they did not hear, nobody lost.
func clientPathImpaired(s *scenario.Scenario, t *record.Try) bool {
	return pathImpaired(s, "client", t.SentUS, t.EndedUS)
}

// troubled tells whether a kind of path was in trouble at some time from one to another.
func pathImpaired(s *scenario.Scenario, path string, fromUS, toUS int64) bool {
	for _, f := range s.Faults {
		if !slices.Contains([]string{"cut", "lossy", "reset", "trickle", "delay"}, f.What) || len(f.Paths) > 0 && !slices.Contains(f.Paths, path) {
			continue
		}
		ends := f.AtS + f.ForS
		if f.ForS == 0 && f.What != "reset" {
			ends = s.Seconds * 2
		}
		ends = max(ends, f.Until)
		if float64(toUS)/1e6 >= f.AtS && float64(fromUS)/1e6 <= ends+1 {
			return true
		}
	}
	return false
}

// leftAsDrawn tells of a client that left when it was drawn to, before its time was over, as far as its machine's timers
// go: with some milliseconds left they may ring after it.
func cancelledAsDrawn(t *record.Try) bool {
	return t.CancelUS > 0 && t.CancelUS <= t.SentUS+t.TimeLeftMS*1000 && t.EndedUS <= t.CancelUS+slackUS
}

func checkAnswered(s *scenario.Scenario, rec *record.Records) Check {
	gone := absences(rec)
	sentOn := make(map[string]bool, len(rec.Attempts))
	for i := range rec.Attempts {
		sentOn[rec.Attempts[i].ID] = true
	}
	var bad []string
	for i := range rec.Tries {
		t := &rec.Tries[i]
		if t.Scheduler < 0 || t.End == record.EndUnreachable || gone.overlaps(t.Scheduler, t.SentUS, t.EndedUS) || clientPathImpaired(s, t) {
			continue
		}
		late := t.EndedUS > t.SentUS+t.TimeLeftMS*1000+slackUS+s.PausedUS(t.SentUS, t.SentUS+t.TimeLeftMS*1000)
		left := t.End == record.EndCancelled && (t.EndedUS < t.SentUS+t.TimeLeftMS*1000 || cancelledAsDrawn(t))
		// The end of a connection that is in use again may cross a request that was not read; it was read if it was sent on.
		crossed := t.End == record.EndBroken && t.ReusedConn && !sentOn[t.ID]
		if left || crossed {
			continue
		}
		if t.End != record.EndAnswered || late {
			bad = append(bad, fmt.Sprintf("%s of class %d at scheduler %d: %s after %.3f s of %.3f s", t.ID, t.Class, t.Scheduler, t.End,
				float64(t.EndedUS-t.SentUS)/1e6, float64(t.TimeLeftMS)/1e3))
		}
	}
	return newCheck("one final answer, in time, for all that was taken", len(bad), func(i int) string { return bad[i] })
}

func checkResults(rec *record.Records) Check {
	var bad []string
	for i := range rec.Tries {
		if t := &rec.Tries[i]; t.Status == 200 && !t.IsCorrect {
			bad = append(bad, t.ID)
		}
	}
	return newCheck("what is served is what a table worker made", len(bad), func(i int) string { return bad[i] })
}

// onceOnly counts the starts of a request over all its tries: a client that was told that asking again is harmless asks
// again.
func checkSingleStart(s *scenario.Scenario, rec *record.Records) Check {
	request := make(map[string]int32, len(rec.Tries))
	class := map[int32]int32{}
	for i := range rec.Tries {
		request[rec.Tries[i].ID], class[rec.Tries[i].Request] = rec.Tries[i].Request, rec.Tries[i].Class
	}
	starts, first := map[int32]int{}, map[int32]int64{}
	var bad []string
	for i := range rec.Attempts {
		r := &rec.Attempts[i]
		q, known := request[r.ID]
		if !known || r.StartedUS == 0 || s.Classes[class[q]].Effect == "repeatable" {
			continue
		}
		if starts[q]++; starts[q] == 1 {
			first[q] = r.ArrivedUS
		}
		// A repeat of a by_key class is dropped by its group of workers, as long as they remember the first.
		if s.Classes[class[q]].Effect == "by_key" && r.ArrivedUS <= first[q]+scenario.DedupWindowS*1e6+slackUS {
			continue
		}
		if starts[q] >= 2 {
			bad = append(bad, fmt.Sprintf("%s, a %s, at table worker %d", r.ID, s.Classes[class[q]].Name, r.Worker))
		}
	}
	return newCheck("no effect twice", len(bad), func(i int) string { return bad[i] })
}

// drained looks at what schedulers sent to workers of which they had been told that they drain or are gone.
func checkDrained(s *scenario.Scenario, rec *record.Records) Check {
	type pair struct{ scheduler, worker int32 }
	told := map[pair][]record.ListUpdate{}
	for _, t := range rec.ListUpdates {
		told[pair{t.Scheduler, t.Worker}] = append(told[pair{t.Scheduler, t.Worker}], t)
	}
	tries := triesByID(rec)
	var bad []string
	for i := range rec.Attempts {
		r := &rec.Attempts[i]
		var last record.ListUpdate
		for _, t := range told[pair{r.Scheduler, r.Worker}] {
			if t.AtUS <= r.ArrivedUS {
				last = t
			}
		}
		leaves, ends := last.Status == "draining" || last.Status == "removed", last.AtUS+graceUS(s)
		if leaves && r.ArrivedUS > ends+slackUS && !delayedByCut(s, tries[r.ID], r, ends) {
			bad = append(bad, fmt.Sprintf("%s from scheduler %d to table worker %d, %.3f s after %q", r.ID, r.Scheduler, r.Worker,
				float64(r.ArrivedUS-last.AtUS)/1e6, last.Status))
		}
	}
	return newCheck("nothing new to a draining or gone table worker after the grace", len(bad), func(i int) string { return bad[i] })
}

// pushedOver looks at the table workers that fell. It is the schedulers' doing where two thirds of the work that came
// within the last while had been sent by those that were told of its start; others could not know that it was cold.
func checkColdWorkers(s *scenario.Scenario, rec *record.Records) Check {
	type pair struct{ scheduler, worker int32 }
	up := map[pair][]int64{}
	for _, t := range rec.ListUpdates {
		if t.Status == "up" {
			up[pair{t.Scheduler, t.Worker}] = append(up[pair{t.Scheduler, t.Worker}], t.AtUS)
		}
	}
	work := make(map[string]float64, len(rec.Tries))
	for i := range rec.Tries {
		work[rec.Tries[i].ID] = float64(rec.Tries[i].RunUS)
	}
	var bad []string
	for _, e := range rec.Events {
		if e.Kind != "fell" {
			continue
		}
		all, told := 0.0, 0.0
		for i := range rec.Attempts {
			r := &rec.Attempts[i]
			if r.Worker != e.Worker || r.ArrivedUS > e.AtUS || r.ArrivedUS < e.AtUS-int64(s.Workers.TipAfterS*1e6) {
				continue
			}
			all += work[r.ID]
			if slices.ContainsFunc(up[pair{r.Scheduler, r.Worker}], func(at int64) bool { return at <= r.ArrivedUS }) {
				told += work[r.ID]
			}
		}
		if told >= all*2/3 {
			bad = append(bad, fmt.Sprintf("table worker %d at %.1f s, %.0f %% of it by schedulers that were told", e.Worker, float64(e.AtUS)/1e6, 100*told/max(1, all)))
		}
	}
	return newCheck("no cold table worker pushed over", len(bad), func(i int) string { return bad[i] })
}

func checkCrashes(rec *record.Records) Check {
	var bad []string
	for _, e := range rec.Events {
		if e.Kind == "crashed" || e.Kind == "rig" {
			bad = append(bad, e.Text)
		}
	}
	return newCheck("no process crashed", len(bad), func(i int) string { return bad[i] })
}

func checkLimits(s *scenario.Scenario, analysis *Analysis) (checks []Check) {
	for _, l := range s.Limits {
		w := scenario.Window{Name: "the run", FromS: 0, ToS: s.Seconds}
		for _, x := range s.Windows {
			if x.Name == l.Window {
				w = x
			}
		}
		class := slices.IndexFunc(s.Classes, func(c scenario.Class) bool { return c.Name == l.Class })
		v := analysis.WindowFigures(w, class, -1).ByName(l.Figure)
		name := fmt.Sprintf("%s, %s", l.Figure, w.Name)
		if class >= 0 {
			name += ", " + l.Class
		}
		c := Check{Name: name, Passed: true, Text: fmt.Sprintf("%.3f", v)}
		if l.Least != nil {
			c.Passed, c.Text = v >= *l.Least, c.Text+fmt.Sprintf(", at least %.3f", *l.Least)
		}
		if l.Most != nil {
			c.Passed, c.Text = c.Passed && v <= *l.Most, c.Text+fmt.Sprintf(", at most %.3f", *l.Most)
		}
		checks = append(checks, c)
	}
	return checks
}
