package judge

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

const scenarioText = `{"name":"double","seconds":10,"sites":[{"name":"a","schedulers":2,"workers":2}],
 "classes":[{"name":"view","share":0.5,"run_ms":100,"effect":"repeatable","aim_ms":500,"deadline_s":2,"worth":1,"late_worth":0.5},
            {"name":"settle","share":0.5,"run_ms":100,"effect":"once","aim_ms":500,"deadline_s":2,"worth":10}]}`

// faultlessRecords returns the records of a run in which all checks pass.
func faultlessRecords(t *testing.T) *record.Records {
	s, err := scenario.Parse([]byte(scenarioText))
	require.NoError(t, err)
	rec := &record.Records{}
	rec.About.Scenario, err = json.Marshal(s)
	require.NoError(t, err)
	for i, class := range []int32{0, 1, 1} {
		id := string(rune('a' + i))
		at := int64(1+i) * 1e6
		rec.Tries = append(rec.Tries, record.Try{Request: int32(i), ID: id, Class: class, Scheduler: int32(i % 2), RunUS: 100_000, DueUS: at, SentUS: at,
			EndedUS: at + 150_000, TimeLeftMS: 2000, Status: 200, End: record.EndAnswered, IsCorrect: true})
		rec.Attempts = append(rec.Attempts, record.Attempt{ID: id, Worker: int32(i % 2), Scheduler: int32(i % 2), ArrivedUS: at + 10_000, StartedUS: at + 20_000,
			EndedUS: at + 120_000, Outcome: record.OutcomeDone})
	}
	for at := int64(0); at < 10e6; at += 50_000 {
		for w := range int32(2) {
			rec.Samples = append(rec.Samples, record.Sample{AtUS: at, Worker: w, UsableSlots: 4})
		}
	}
	return rec
}

// addPause adds a pause of all schedulers of 0.15 s, atS seconds into the run.
func addPause(t *testing.T, rec *record.Records, atS float64) {
	s := &scenario.Scenario{}
	require.NoError(t, json.Unmarshal(rec.About.Scenario, s))
	s.Faults = append(s.Faults, scenario.Fault{AtS: atS, ForS: 0.15, What: "hold-schedulers"})
	var err error
	rec.About.Scenario, err = json.Marshal(s)
	require.NoError(t, err)
}

// addCut adds a cut of the job path, from atS for forS seconds.
func addCut(t *testing.T, rec *record.Records, atS, forS float64) {
	s := &scenario.Scenario{}
	require.NoError(t, json.Unmarshal(rec.About.Scenario, s))
	s.Faults = append(s.Faults, scenario.Fault{AtS: atS, ForS: forS, What: "cut", Paths: []string{"job"}})
	var err error
	rec.About.Scenario, err = json.Marshal(s)
	require.NoError(t, err)
}

// delayAttempt lets the first request's attempt, which states timeLeftMS, arrive 1.7 s after the request was sent, at a
// worker that is disabled since 1.2 s with a grace of 0.2 s. A cut of the job path begins at cutAtS and lasts 1.55 s.
func delayAttempt(t *testing.T, rec *record.Records, timeLeftMS int64, cutAtS float64) {
	s := &scenario.Scenario{}
	require.NoError(t, json.Unmarshal(rec.About.Scenario, s))
	s.DrainGraceS = 0.2
	s.Faults = append(s.Faults, scenario.Fault{AtS: cutAtS, ForS: 1.55, What: "cut", Paths: []string{"job"}})
	var err error
	rec.About.Scenario, err = json.Marshal(s)
	require.NoError(t, err)
	attempt, try := &rec.Attempts[0], &rec.Tries[0]
	attempt.TimeLeftMS, attempt.ArrivedUS, attempt.StartedUS, attempt.EndedUS = timeLeftMS, 2.7e6, 2.7e6, 2.8e6
	try.EndedUS = 2.9e6
	rec.Events = []record.Event{{AtUS: 1.2e6, Kind: "out", Scheduler: 0, Worker: 0}, {AtUS: 2.95e6, Kind: "back", Scheduler: 0, Worker: 0}}
}

// addFaultEvents adds the events of the start and the end of a fault of a kind.
func addFaultEvents(rec *record.Records, kind string, startUS, endUS int64) {
	rec.Events = append(rec.Events, record.Event{AtUS: startUS, Kind: kind, Scheduler: -1, Worker: -1},
		record.Event{AtUS: endUS, Kind: kind, IsEnd: true, Scheduler: -1, Worker: -1})
}

// Each rule is violated once in the records of a faultless run, and exactly the check of that rule must fail.
func TestEachCheckDetectsItsViolation(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*record.Records)
		fails  string
	}{
		{"no violation", func(*record.Records) {}, ""},
		{"no answer", func(r *record.Records) { r.Tries[0].Status, r.Tries[0].End = 0, record.EndBroken }, "one final answer, in time, for all that was taken"},
		{"a late answer", func(r *record.Records) { r.Tries[0].EndedUS += 3e6 }, "one final answer, in time, for all that was taken"},
		{"an answer as late as a pause at another time would excuse", func(r *record.Records) {
			addPause(t, r, 5)
			r.Tries[0].EndedUS = r.Tries[0].SentUS + r.Tries[0].TimeLeftMS*1000 + 250_000
		}, "one final answer, in time, for all that was taken"},
		{"an answer as late as its scheduler was paused", func(r *record.Records) {
			addPause(t, r, 1.1)
			r.Tries[0].EndedUS = r.Tries[0].SentUS + r.Tries[0].TimeLeftMS*1000 + 250_000
		}, ""},
		{"an answer later than its scheduler was paused", func(r *record.Records) {
			addPause(t, r, 1.1)
			r.Tries[0].EndedUS = r.Tries[0].SentUS + r.Tries[0].TimeLeftMS*1000 + 350_000
		}, "one final answer, in time, for all that was taken"},
		{"an answer as late as its scheduler's pause turned out", func(r *record.Records) {
			addPause(t, r, 1.1)
			addFaultEvents(r, "hold-schedulers", 1.2e6, 1.6e6)
			r.Tries[0].EndedUS = r.Tries[0].DeadlineUS() + 540_000
		}, ""},
		{"an answer later than its scheduler's pause turned out", func(r *record.Records) {
			addPause(t, r, 1.1)
			addFaultEvents(r, "hold-schedulers", 1.2e6, 1.6e6)
			r.Tries[0].EndedUS = r.Tries[0].DeadlineUS() + 560_000
		}, "one final answer, in time, for all that was taken"},
		{"an attempt that states too much time long after a cut", func(r *record.Records) {
			addCut(t, r, 0.1, 0.2)
			addFaultEvents(r, "cut", 0.1e6, 0.5e6)
			r.Attempts[2].TimeLeftMS = 2400
		}, "no attempt is told more time than its client has"},
		{"an attempt that states too much time in a cut that ended late", func(r *record.Records) {
			addCut(t, r, 0.1, 0.2)
			addFaultEvents(r, "cut", 0.1e6, 2.1e6)
			r.Attempts[2].TimeLeftMS = 2400
		}, ""},
		{"no answer from a scheduler that was killed", func(r *record.Records) {
			r.Tries[0].Status, r.Tries[0].End = 0, record.EndBroken
			r.Events = []record.Event{{AtUS: 1.1e6, Kind: "killed", Text: "n0", Scheduler: 0, Worker: -1}}
		}, ""},
		{"no answer from a scheduler that was ready again", func(r *record.Records) {
			r.Tries[2].Status, r.Tries[2].End = 0, record.EndBroken
			r.Events = []record.Event{{AtUS: 1e6, Kind: "killed", Text: "n0", Scheduler: 0, Worker: -1}, {AtUS: 2e6, Kind: "ready", Scheduler: 0, Worker: -1}}
		}, "one final answer, in time, for all that was taken"},
		{"an answer that no worker sent", func(r *record.Records) { r.Tries[1].IsCorrect = false }, "what is served is what a table worker made"},
		{"a settle started twice", func(r *record.Records) {
			twice := r.Attempts[1]
			twice.Worker = 0
			r.Attempts = append(r.Attempts, twice)
		}, "no effect twice"},
		{"a settle started for a try and its repeat", func(r *record.Records) {
			r.Tries[1].Status = 503
			r.Tries = append(r.Tries, record.Try{Request: 1, Number: 1, ID: "z", Class: 1, SentUS: 3e6, EndedUS: 3.2e6, TimeLeftMS: 1000, Status: 200, End: record.EndAnswered, IsCorrect: true})
			r.Attempts = append(r.Attempts, record.Attempt{ID: "z", ArrivedUS: 3.1e6, StartedUS: 3.1e6})
		}, "no effect twice"},
		{"a view started twice", func(r *record.Records) {
			again := r.Attempts[0]
			again.Worker = 1
			r.Attempts = append(r.Attempts, again)
		}, ""},
		{"a view sent again to a worker that still has it", func(r *record.Records) { r.Attempts = append(r.Attempts, r.Attempts[0]) },
			"one attempt of a request at a table worker at a time"},
		{"a view sent again to a worker that has finished it", func(r *record.Records) {
			again := r.Attempts[0]
			again.ArrivedUS, again.EndedUS = again.EndedUS, again.EndedUS+1000
			r.Attempts = append(r.Attempts, again)
		}, ""},
		{"an attempt at a disabled worker", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 1.8e6, Kind: "out", Scheduler: 0, Worker: 0}}
		}, "nothing new to a table worker that an operator took out"},
		{"an attempt at a worker that is disabled at another scheduler", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 1.8e6, Kind: "out", Scheduler: 1, Worker: 0}}
		}, ""},
		{"an attempt at a worker that is enabled again", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 1.5e6, Kind: "out", Scheduler: 0, Worker: 0}, {AtUS: 2.9e6, Kind: "back", Scheduler: 0, Worker: 0}}
		}, ""},
		{"an attempt at a worker that was enabled after the disable call and before its answer", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 1.8e6, CalledUS: 1.4e6, Kind: "out", Scheduler: 0, Worker: 0}, {AtUS: 1.6e6, Kind: "back", Scheduler: 0, Worker: 0}}
		}, ""},
		{"an attempt at a worker that was disabled after an enable call", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 1.8e6, CalledUS: 1.7e6, Kind: "out", Scheduler: 0, Worker: 0}, {AtUS: 1.6e6, Kind: "back", Scheduler: 0, Worker: 0}}
		}, "nothing new to a table worker that an operator took out"},
		{"an attempt at a worker that an earlier call still disables", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 1.3e6, CalledUS: 1.2e6, Kind: "out", Scheduler: 0, Worker: 0}, {AtUS: 1.8e6, CalledUS: 1.1e6, Kind: "out", Scheduler: 0, Worker: 0},
				{AtUS: 1.15e6, Kind: "back", Scheduler: 0, Worker: 0}}
		}, "nothing new to a table worker that an operator took out"},
		{"an attempt sent before its worker was disabled and delayed by a cut", func(r *record.Records) { delayAttempt(t, r, 1950, 1.1) }, ""},
		{"an attempt sent before its worker drained and delayed by a cut", func(r *record.Records) {
			delayAttempt(t, r, 1950, 1.1)
			r.Events, r.ListUpdates = nil, []record.ListUpdate{{AtUS: 1.2e6, Scheduler: 0, Worker: 0, Status: "draining"}, {AtUS: 2.95e6, Scheduler: 0, Worker: 0, Status: "up"}}
		}, ""},
		{"an attempt sent before its worker was disabled that arrives while a cut ends", func(r *record.Records) {
			delayAttempt(t, r, 1950, 1.1)
			addFaultEvents(r, "cut", 1.1e6, 2.75e6)
			r.Events[len(r.Events)-1].BegunUS = 2.69e6
		}, ""},
		{"an attempt sent before its worker was disabled that arrives before a cut begins to end", func(r *record.Records) {
			delayAttempt(t, r, 1950, 1.1)
			addFaultEvents(r, "cut", 1.1e6, 2.75e6)
			r.Events[len(r.Events)-1].BegunUS = 2.71e6
		}, "nothing new to a table worker that an operator took out"},
		{"an attempt sent to a draining worker after the grace and delayed by a cut", func(r *record.Records) {
			delayAttempt(t, r, 300, 1.1)
			r.Events, r.ListUpdates = nil, []record.ListUpdate{{AtUS: 1.2e6, Scheduler: 0, Worker: 0, Status: "draining"}, {AtUS: 2.95e6, Scheduler: 0, Worker: 0, Status: "up"}}
		}, "nothing new to a draining or gone table worker after the grace"},
		{"an attempt sent to a disabled worker after the grace and delayed by a cut", func(r *record.Records) { delayAttempt(t, r, 300, 1.1) }, "nothing new to a table worker that an operator took out"},
		{"an attempt delayed by a cut whose client no longer waits", func(r *record.Records) {
			delayAttempt(t, r, 1950, 1.1)
			r.Tries[0].EndedUS = r.Attempts[0].ArrivedUS - 1000
		}, "nothing new to a table worker that an operator took out"},
		{"an attempt of a scheduler whose last process ended between the disable call and the time from which it counts", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 1.8e6, CalledUS: 1.4e6, Kind: "out", Scheduler: 0, Worker: 0}, {AtUS: 1.6e6, Kind: "ended", Scheduler: 0, Worker: -1}}
		}, ""},
		{"an attempt of a scheduler whose last process ended before the disable call", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 1.8e6, CalledUS: 1.4e6, Kind: "out", Scheduler: 0, Worker: 0}, {AtUS: 1.3e6, Kind: "ended", Scheduler: 0, Worker: -1}}
		}, "nothing new to a table worker that an operator took out"},
		{"an attempt at a disabled worker after another scheduler's end", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 1.8e6, CalledUS: 1.4e6, Kind: "out", Scheduler: 0, Worker: 0}, {AtUS: 1.6e6, Kind: "ended", Scheduler: 1, Worker: -1}}
		}, "nothing new to a table worker that an operator took out"},
		{"an attempt of a scheduler that was restarted since the disable call", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 1.5e6, Kind: "out", Scheduler: 0, Worker: 0}, {AtUS: 2e6, Kind: "killed", Text: "n0", Scheduler: 0, Worker: -1},
				{AtUS: 2.5e6, Kind: "ready", Scheduler: 0, Worker: -1}}
		}, ""},
		{"a scheduler that reports ready during a drain of its clients", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 1e6, Kind: "still-ready", Text: "n0", Scheduler: 0, Worker: -1}}
		}, "not ready while clients are sent away"},
		{"an attempt for a client that has disconnected", func(r *record.Records) {
			r.Tries[0].End, r.Tries[0].Status, r.Tries[0].EndedUS = record.EndCancelled, 0, r.Tries[0].SentUS+100_000
			r.Attempts[0].ArrivedUS = r.Tries[0].EndedUS + 300_000
			r.Attempts[0].EndedUS = r.Attempts[0].ArrivedUS + 100_000
		}, "no attempt for a client that has gone"},
		{"a client that disconnected before its deadline", func(r *record.Records) {
			r.Tries[0].End, r.Tries[0].Status, r.Tries[0].EndedUS = record.EndCancelled, 0, r.Tries[0].SentUS+100_000
		}, ""},
		{"a client drawn to disconnect before its deadline, recorded a little after it", func(r *record.Records) {
			t := &r.Tries[0]
			t.CancelUS = t.SentUS + t.TimeLeftMS*1000 - 1000
			t.End, t.Status, t.EndedUS = record.EndCancelled, 0, t.SentUS+t.TimeLeftMS*1000+2000
		}, ""},
		{"a client not drawn to disconnect, without an answer a little after its deadline", func(r *record.Records) {
			t := &r.Tries[0]
			t.End, t.Status, t.EndedUS = record.EndCancelled, 0, t.SentUS+t.TimeLeftMS*1000+2000
		}, "one final answer, in time, for all that was taken"},
		{"a client drawn to disconnect that waited much longer", func(r *record.Records) {
			t := &r.Tries[0]
			t.CancelUS = t.SentUS + 1000
			t.End, t.Status, t.EndedUS = record.EndCancelled, 0, t.SentUS+t.TimeLeftMS*1000+2000
		}, "one final answer, in time, for all that was taken"},
		{"an attempt that states more time than its client has left", func(r *record.Records) { r.Attempts[0].TimeLeftMS = 2400 }, "no attempt is told more time than its client has"},
		{"an attempt that states more time than its client had left when it decided to send, and not when it had sent", func(r *record.Records) {
			r.Tries[0].WrittenUS, r.Attempts[0].TimeLeftMS = r.Tries[0].SentUS+200_000, 2400
		}, ""},
		{"an attempt that states more time than its client has left since it had sent", func(r *record.Records) {
			r.Tries[0].WrittenUS, r.Attempts[0].TimeLeftMS = r.Tries[0].SentUS+200_000, 2600
		}, "no attempt is told more time than its client has"},
		{"an attempt that reached its worker in time, at which a late worker acted later", func(r *record.Records) {
			r.Attempts[0].ReachedUS, r.Attempts[0].TimeLeftMS = r.Attempts[0].ArrivedUS, 2000
			r.Attempts[0].ArrivedUS += 500_000
			r.Attempts[0].StartedUS, r.Attempts[0].EndedUS, r.Tries[0].EndedUS = r.Attempts[0].StartedUS+500_000, r.Attempts[0].EndedUS+500_000, r.Tries[0].EndedUS+500_000
		}, ""},
		{"an attempt that reached its worker late", func(r *record.Records) {
			r.Attempts[0].ArrivedUS += 500_000
			r.Attempts[0].ReachedUS, r.Attempts[0].TimeLeftMS = r.Attempts[0].ArrivedUS-10_000, 2000
			r.Attempts[0].StartedUS, r.Attempts[0].EndedUS, r.Tries[0].EndedUS = r.Attempts[0].StartedUS+500_000, r.Attempts[0].EndedUS+500_000, r.Tries[0].EndedUS+500_000
		}, "no attempt is told more time than its client has"},
		{"an answer that came in time, which a late client read later", func(r *record.Records) {
			r.Tries[0].AnsweredUS, r.Tries[0].EndedUS = r.Tries[0].DeadlineUS()+140_000, r.Tries[0].DeadlineUS()+240_000
		}, ""},
		{"an answer that came too late to a client that still waited", func(r *record.Records) {
			r.Tries[0].AnsweredUS, r.Tries[0].EndedUS = r.Tries[0].DeadlineUS()+160_000, r.Tries[0].DeadlineUS()+160_000
		}, "one final answer, in time, for all that was taken"},
		{"an answer in time, counted from when its client had sent", func(r *record.Records) {
			r.Tries[0].WrittenUS = r.Tries[0].SentUS + 200_000
			r.Tries[0].EndedUS = r.Tries[0].SentUS + r.Tries[0].TimeLeftMS*1000 + 340_000
		}, ""},
		{"an answer too late, counted from when its client had sent", func(r *record.Records) {
			r.Tries[0].WrittenUS = r.Tries[0].SentUS + 200_000
			r.Tries[0].EndedUS = r.Tries[0].SentUS + r.Tries[0].TimeLeftMS*1000 + 360_000
		}, "one final answer, in time, for all that was taken"},
		{"a client that sent late and left for want of an answer", func(r *record.Records) {
			t := &r.Tries[0]
			t.WrittenUS = t.SentUS + 200_000
			t.End, t.Status, t.EndedUS = record.EndCancelled, 0, t.DeadlineUS()+250_000
			r.Attempts = r.Attempts[1:]
		}, "one final answer, in time, for all that was taken"},
		{"a client that left before it read an answer that had come in time", func(r *record.Records) {
			t := &r.Tries[0]
			t.End, t.Status, t.AnsweredUS, t.EndedUS = record.EndCancelled, 0, t.DeadlineUS()+140_000, t.DeadlineUS()+900_000
		}, ""},
		{"a client that left before it read an answer that had come too late", func(r *record.Records) {
			t := &r.Tries[0]
			t.End, t.Status, t.AnsweredUS, t.EndedUS = record.EndCancelled, 0, t.DeadlineUS()+160_000, t.DeadlineUS()+900_000
		}, "one final answer, in time, for all that was taken"},
		{"a client that never got to send and left for want of an answer", func(r *record.Records) {
			t := &r.Tries[0]
			t.End, t.Status, t.EndedUS = record.EndCancelled, 0, t.DeadlineUS()+250_000
			r.Attempts = r.Attempts[1:]
		}, "one final answer, in time, for all that was taken"},
		{"an attempt for a client that left and closed its connection later", func(r *record.Records) {
			r.Tries[0].End, r.Tries[0].Status, r.Tries[0].EndedUS = record.EndCancelled, 0, r.Tries[0].SentUS+100_000
			r.Tries[0].ClosedUS = r.Tries[0].EndedUS + 100_000
			r.Attempts[0].ReachedUS = r.Tries[0].ClosedUS + 240_000
			r.Attempts[0].ArrivedUS = r.Attempts[0].ReachedUS + 100_000
			r.Attempts[0].EndedUS = r.Attempts[0].ArrivedUS + 100_000
		}, ""},
		{"an attempt for a client that had closed its connection", func(r *record.Records) {
			r.Tries[0].End, r.Tries[0].Status, r.Tries[0].EndedUS = record.EndCancelled, 0, r.Tries[0].SentUS+100_000
			r.Tries[0].ClosedUS = r.Tries[0].EndedUS + 100_000
			r.Attempts[0].ReachedUS = r.Tries[0].ClosedUS + 260_000
			r.Attempts[0].ArrivedUS = r.Attempts[0].ReachedUS
			r.Attempts[0].EndedUS = r.Attempts[0].ArrivedUS + 100_000
		}, "no attempt for a client that has gone"},
		{"an attempt that reached a draining worker within the grace, at which a late worker acted later", func(r *record.Records) {
			r.ListUpdates = []record.ListUpdate{{AtUS: r.Attempts[0].ArrivedUS - 1_100_000, Scheduler: 0, Worker: 0, Status: "draining"}, {AtUS: 1.5e6, Scheduler: 0, Worker: 0, Status: "up"}}
			r.Attempts[0].ReachedUS = r.Attempts[0].ArrivedUS
			r.Attempts[0].ArrivedUS += 100_000
		}, ""},
		{"an attempt that reached a draining worker after the grace, at which a late worker acted later", func(r *record.Records) {
			r.ListUpdates = []record.ListUpdate{{AtUS: r.Attempts[0].ArrivedUS - 1_200_000, Scheduler: 0, Worker: 0, Status: "draining"}, {AtUS: 1.5e6, Scheduler: 0, Worker: 0, Status: "up"}}
			r.Attempts[0].ReachedUS = r.Attempts[0].ArrivedUS
			r.Attempts[0].ArrivedUS += 100_000
		}, "nothing new to a draining or gone table worker after the grace"},
		{"an attempt that reached a disabled worker within the grace, at which a late worker acted later", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: r.Attempts[0].ArrivedUS - 1_100_000, Kind: "out", Scheduler: 0, Worker: 0}, {AtUS: 1.5e6, Kind: "back", Scheduler: 0, Worker: 0}}
			r.Attempts[0].ReachedUS = r.Attempts[0].ArrivedUS
			r.Attempts[0].ArrivedUS += 100_000
		}, ""},
		{"an attempt that reached a disabled worker after the grace", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: r.Attempts[0].ArrivedUS - 1_200_000, Kind: "out", Scheduler: 0, Worker: 0}, {AtUS: 1.5e6, Kind: "back", Scheduler: 0, Worker: 0}}
			r.Attempts[0].ReachedUS = r.Attempts[0].ArrivedUS
			r.Attempts[0].ArrivedUS += 100_000
		}, "nothing new to a table worker that an operator took out"},
		{"a request broken off on a reused connection, after it was sent to a worker", func(r *record.Records) {
			r.Tries[0].Status, r.Tries[0].End, r.Tries[0].ReusedConn = 0, record.EndBroken, true
		}, "one final answer, in time, for all that was taken"},
		{"a reused connection closed before the request was read", func(r *record.Records) {
			r.Tries[0].Status, r.Tries[0].End, r.Tries[0].ReusedConn = 0, record.EndBroken, true
			r.Attempts = r.Attempts[1:]
		}, ""},
		{"a request broken off after SIGTERM, before the process has ended", func(r *record.Records) {
			r.Tries[0].Status, r.Tries[0].End = 0, record.EndBroken
			r.Events = []record.Event{{AtUS: 1e6, Kind: "terminated", Text: "n0", Scheduler: 0, Worker: -1}, {AtUS: 2e6, Kind: "ended", Text: "n0", Scheduler: 0, Worker: -1}}
		}, "one final answer, in time, for all that was taken"},
		{"a settle that arrived twice and started once", func(r *record.Records) {
			again := r.Attempts[1]
			again.StartedUS, again.Worker = 0, 0
			r.Attempts = append(r.Attempts, again)
		}, ""},
		{"an attempt at a draining worker after the grace", func(r *record.Records) {
			r.ListUpdates = []record.ListUpdate{{AtUS: 1.8e6, Scheduler: 0, Worker: 0, Status: "draining"}}
		}, "nothing new to a draining or gone table worker after the grace"},
		{"an attempt at a removed worker within the grace", func(r *record.Records) {
			r.ListUpdates = []record.ListUpdate{{AtUS: 2.5e6, Scheduler: 0, Worker: 0, Status: "removed"}}
		}, ""},
		{"an attempt within the grace that follows the writing of the update", func(r *record.Records) {
			r.ListUpdates = []record.ListUpdate{{AtUS: 1.5e6, WrittenUS: 1.9e6, Scheduler: 0, Worker: 0, Status: "draining"}}
		}, ""},
		{"an attempt after the grace that follows the writing of the update", func(r *record.Records) {
			r.ListUpdates = []record.ListUpdate{{AtUS: 1.5e6, WrittenUS: 1.8e6, Scheduler: 0, Worker: 0, Status: "draining"}}
		}, "nothing new to a draining or gone table worker after the grace"},
		{"an attempt at a worker that is listed again", func(r *record.Records) {
			r.ListUpdates = []record.ListUpdate{{AtUS: 1.5e6, Scheduler: 0, Worker: 0, Status: "removed"}, {AtUS: 2.5e6, Scheduler: 0, Worker: 0, Status: "up"}}
		}, ""},
		{"a cold worker overloaded by a scheduler that knew of its start", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 1.1e6, Kind: "fell", Scheduler: -1, Worker: 0}}
			r.ListUpdates = []record.ListUpdate{{AtUS: 0.5e6, Scheduler: 0, Worker: 0, Status: "up"}}
		}, "no cold table worker pushed over"},
		{"a cold worker overloaded by schedulers that did not know of its start", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 1.1e6, Kind: "fell", Scheduler: -1, Worker: 0}}
			r.ListUpdates = []record.ListUpdate{{AtUS: 1.05e6, Scheduler: 0, Worker: 0, Status: "up"}}
		}, ""},
		{"a crash", func(r *record.Records) {
			r.Events = []record.Event{{AtUS: 9e6, Kind: "crashed", Text: "n1", Scheduler: 1, Worker: -1}}
		}, "no process crashed"},
		{"an oversize peer message", func(r *record.Records) { r.About.OversizeMessages = 1 }, "messages within 256 bytes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			rec := faultlessRecords(t)
			c.change(rec)
			checks, _, err := Evaluate(rec)
			require.NoError(t, err)
			failed := ""
			for _, x := range checks {
				if !x.Passed {
					require.Empty(t, failed, "more than one check failed")
					failed = x.Name
				}
			}
			require.Equal(t, c.fails, failed)
		})
	}
}

// The text of a violation says how far the client of an unsent request came.
func TestUnsentText(t *testing.T) {
	require.Equal(t, ", not dialed", unsentText(&record.Try{}))
	require.Equal(t, ", not connected", unsentText(&record.Try{DialedUS: 1}))
	require.Equal(t, ", connected and not written", unsentText(&record.Try{DialedUS: 1, ConnectedUS: 2}))
	require.Empty(t, unsentText(&record.Try{ConnectedUS: 2, WrittenUS: 3}))
}

// Only a cut of the job path that begins before an attempt arrives and ends by then delays the attempt.
func TestDelayedByCut(t *testing.T) {
	try, run := &record.Try{SentUS: 1e6, TimeLeftMS: 2000, EndedUS: 2.9e6}, &record.Attempt{TimeLeftMS: 1950, ArrivedUS: 2.7e6}
	for _, c := range []struct {
		name  string
		fault scenario.Fault
		want  bool
	}{
		{"a cut of the job path from send to arrival", scenario.Fault{AtS: 1.1, ForS: 1.55, What: "cut", Paths: []string{"job"}}, true},
		{"a cut of all paths", scenario.Fault{AtS: 1.1, ForS: 1.55, What: "cut"}, true},
		{"a cut of other paths", scenario.Fault{AtS: 1.1, ForS: 1.55, What: "cut", Paths: []string{"back"}}, false},
		{"a cut that ended before the send", scenario.Fault{AtS: 0.5, ForS: 0.5, What: "cut"}, false},
		{"a cut that begins after the arrival", scenario.Fault{AtS: 6, ForS: 1, What: "cut"}, false},
		{"a cut that is still on at the arrival", scenario.Fault{AtS: 1.1, ForS: 4, What: "cut"}, false},
		{"another fault", scenario.Fault{AtS: 1.1, ForS: 1.55, What: "slow-workers"}, false},
	} {
		require.Equal(t, c.want, delayedByCut(&scenario.Scenario{Faults: []scenario.Fault{c.fault}}, try, run, 1.4e6), c.name)
	}
}

// The figures of a small run with one late answer, one refusal and waiting jobs have the values computed by hand.
func TestFigures(t *testing.T) {
	rec := faultlessRecords(t)
	rec.Tries[0].EndedUS += 1e6 // late: half of its value
	rec.Tries[1].Status = 503
	for i := range rec.Samples { // for half of the time worker 1 is idle while two jobs wait at worker 0
		if s := &rec.Samples[i]; s.Worker == 0 && s.AtUS < 5e6 {
			s.Running, s.Waiting = 4, 2
		}
	}
	s := &scenario.Scenario{}
	require.NoError(t, json.Unmarshal(rec.About.Scenario, s))
	analysis := Analyze(s, rec)
	f := analysis.WindowFigures(scenario.Window{ToS: 10}, -1, -1)
	require.Equal(t, 3, f.Requests)
	require.InDelta(t, 10.5/21, f.Worth, 1e-9)
	require.InDelta(t, 1, f.Bound, 1e-9, "the ideal planner serves all requests")
	require.InDelta(t, 1.0/3, f.Refused, 1e-9)
	require.InDelta(t, 2.0/8/2, f.IdleBesideWaiting, 1e-9)
	require.InDelta(t, 1, f.QueueLong, 1e-9)
	require.InDelta(t, 0.01, f.WaitMeanS, 1e-9)
}

// With too little capacity for all jobs the ideal planner serves the most valuable ones, and none while no worker runs.
func TestBound(t *testing.T) {
	rec := faultlessRecords(t)
	for i := range rec.Samples {
		rec.Samples[i].UsableSlots = 0
		if rec.Samples[i].Worker == 0 && rec.Samples[i].AtUS < 4.5e6 {
			rec.Samples[i].UsableSlots = 1
		}
	}
	rec.Tries = nil
	for i := range 6 { // six jobs of 0.4 s are due at once and the capacity lasts 0.5 s: one is in time, and a second one is late
		rec.Tries = append(rec.Tries, record.Try{Request: int32(i), ID: string(rune('a' + i)), Class: int32(i) / 5, RunUS: 400_000, DueUS: 4e6, SentUS: 4e6,
			EndedUS: 4.1e6, TimeLeftMS: 2000, Status: 503, End: record.EndAnswered, IsCorrect: true})
	}
	s := &scenario.Scenario{}
	require.NoError(t, json.Unmarshal(rec.About.Scenario, s))
	analysis := Analyze(s, rec)
	require.InDelta(t, 10.5/15, analysis.WindowFigures(scenario.Window{ToS: 10}, -1, -1).Bound, 1e-9)
}

// The herd index, the starved workers and the inverted share each change by the behaviour that they measure.
func TestHerdStarvationAndInversionFigures(t *testing.T) {
	all := scenario.Window{FromS: 0, ToS: 10}
	figures := func(change func(*record.Records)) Figures {
		rec := faultlessRecords(t)
		change(rec)
		_, analysis, err := Evaluate(rec)
		require.NoError(t, err)
		return analysis.WindowFigures(all, -1, -1)
	}
	f := figures(func(*record.Records) {})
	require.Zero(t, f.StarvedWorkers)
	require.Zero(t, f.InvertedShare)
	require.LessOrEqual(t, f.Herd, 1.0)
	f = figures(func(r *record.Records) {
		for i := range 8 {
			r.Attempts = append(r.Attempts, record.Attempt{ID: "x", Worker: 1, ArrivedUS: 5e6 + int64(i)*1000})
		}
	})
	require.Equal(t, 8.0, f.Herd)
	f = figures(func(r *record.Records) {
		for i := range r.Samples {
			if s := &r.Samples[i]; s.Worker == 0 {
				s.Running, s.Waiting = 4, 1
			}
		}
	})
	require.Equal(t, 1, f.StarvedWorkers)
	f = figures(func(r *record.Records) { // a settle is refused while a view is served
		r.Tries[1].Status, r.Tries[1].SentUS = 503, r.Tries[0].SentUS+1000
	})
	require.InDelta(t, 1.0/3, f.InvertedShare, 1e-9)
	f = figures(func(r *record.Records) { r.Tries[0].Status, r.Tries[1].SentUS = 503, r.Tries[0].SentUS+1000 })
	require.Zero(t, f.InvertedShare, "refusing a view while a settle is served is no inversion")
}
