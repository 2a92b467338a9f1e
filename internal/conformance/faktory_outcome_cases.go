package conformance

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cobaltflow/internal/faktory/client"
)

// outcomeCases check ACK and FAIL.
var outcomeCases = []faktoryCase{
	{"ack", "ACK of a fetched job ends it", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.push(p, e.newJob(nil))
		e.fetch(w)
		e.must(w.Ack(j.JID))
		e.expectNoJob(w)
	}},
	{"ack-unknown", "ACK of an unknown job is not an error", func(e *faktoryEnv) { e.expectOK(e.dialWorker(), "ACK", `{"jid":"nobody-knows-it"}`) }},
	{"ack-malformed", "ACK without a jid is an error", func(e *faktoryEnv) { e.expectError(e.dialWorker(), "ACK", `{}`) }},
	{"ack-twice", "a second ACK changes nothing", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.push(p, e.newJob(nil))
		e.fetch(w)
		e.must(w.Ack(j.JID))
		e.must(w.Ack(j.JID))
	}},
	{"fail-retries", "a failed job is in the set of retries with its failure, and can be fetched again when requeued", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.failJob(p, w, nil)
		e.expectNoJob(w)
		e.mutate(p, "requeue", "retries", filterJIDs(j.JID))
		got := e.fetch(w)
		e.expectEqual(j.JID, got.JID, "jid")
		if got.Failure == nil {
			e.fail("the job has no failure")
		}
		e.expectEqual([]string{"ConformanceError", "it failed on purpose"}, []string{got.Failure.Type, got.Failure.Message}, "failure")
		e.expectEqual([]string{"one.go:1", "two.go:2"}, got.Failure.Backtrace, "backtrace")
		e.expectEqual(0, got.Failure.RetryCount, "retry_count")
		e.expectEqual(j.Args, got.Args, "args")
		_, err := time.Parse(time.RFC3339Nano, got.Failure.FailedAt)
		e.must(err)
	}},
	{"fail-counts", "retry_count grows with each failure", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.failJob(p, w, nil)
		for n := range 3 {
			e.mutate(p, "requeue", "retries", filterJIDs(j.JID))
			got := e.fetch(w)
			e.expectEqual(n, got.Failure.RetryCount, "retry_count")
			e.must(w.Fail(j.JID, "Again", "again"))
		}
	}},
	{"fail-retry-0", "a job with retry 0 is dead after its failure", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.failJob(p, w, func(j *client.Job) { j.Retry = ptr(0) })
		e.mutate(p, "requeue", "dead", filterJIDs(j.JID))
		e.expectEqual(j.JID, e.fetch(w).JID, "from the dead")
	}},
	{"fail-retry-1", "a job with retry 1 is retried once, then dead", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.failJob(p, w, func(j *client.Job) { j.Retry = ptr(1) })
		e.mutate(p, "requeue", "retries", filterJIDs(j.JID))
		e.fetch(w)
		e.must(w.Fail(j.JID, "Again", "again"))
		e.mutate(p, "requeue", "dead", filterJIDs(j.JID))
		e.expectEqual(j.JID, e.fetch(w).JID, "from the dead")
	}},
	{"fail-retry-never", "a failed job with retry -1 is neither retried nor dead", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.failJob(p, w, func(j *client.Job) { j.Retry = ptr(-1) })
		e.mutate(p, "requeue", "retries", filterJIDs(j.JID))
		e.mutate(p, "requeue", "dead", filterJIDs(j.JID))
		e.expectNoJob(w)
	}},
	{"fail-unknown", "FAIL of an unknown job is not an error", func(e *faktoryEnv) { e.expectOK(e.dialWorker(), "FAIL", `{"jid":"nobody-knows-it"}`) }},
	{"fail-malformed", "FAIL of anything but an object is an error", func(e *faktoryEnv) { e.expectError(e.dialWorker(), "FAIL", `{`) }},
}

// scheduledCases check jobs with a time before which they must not run.
var scheduledCases = []faktoryCase{
	{"scheduled", "a job with an at in the future can't be fetched before it", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		at := time.Now().Add(700 * time.Millisecond)
		j := e.push(p, e.newJob(func(j *client.Job) { j.At = at.UTC().Format(time.RFC3339Nano) }))
		got := e.fetch(w)
		e.expectEqual(j.JID, got.JID, "jid")
		if early := time.Until(at); early > 20*time.Millisecond {
			e.fail("the job arrived %v too early", early)
		}
	}},
	{"scheduled-counts", "INFO counts a job with an at in the future in Scheduled", func(e *faktoryEnv) {
		p := e.dialProducer()
		j := e.push(p, e.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		if e.setSize(p, "Scheduled") < 1 {
			e.fail("INFO counts no scheduled job")
		}
		e.mutate(p, "discard", "scheduled", filterJIDs(j.JID))
	}},
	{"scheduled-past", "a job with an at in the past is enqueued at once", func(e *faktoryEnv) {
		j := e.push(e.dialProducer(), e.newJob(func(j *client.Job) { j.At = timeFromNow(-time.Hour) }))
		e.expectEqual(j.JID, e.fetch(e.dialWorker()).JID, "jid")
	}},
	{"scheduled-malformed", "an at that is not a time of RFC 3339 is an error", func(e *faktoryEnv) {
		e.expectError(e.dialProducer(), "PUSH", fmt.Sprintf(`{"jid":"conformance-1","jobtype":%q,"args":[],"at":"tomorrow"}`, e.Jobtype))
	}},
}

// mutateCases check MUTATE.
var mutateCases = []faktoryCase{
	{"mutate-requeue-scheduled", "MUTATE requeue of a scheduled job enqueues it now", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.push(p, e.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		e.mutate(p, "requeue", "scheduled", filterJIDs(j.JID))
		e.expectEqual(j.JID, e.fetch(w).JID, "jid")
	}},
	{"mutate-discard", "MUTATE discard deletes a job", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.push(p, e.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		e.mutate(p, "discard", "scheduled", filterJIDs(j.JID))
		e.mutate(p, "requeue", "scheduled", filterJIDs(j.JID))
		e.mutate(p, "requeue", "dead", filterJIDs(j.JID))
		e.expectNoJob(w)
	}},
	{"mutate-kill", "MUTATE kill moves a job to the dead set", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.push(p, e.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		e.mutate(p, "kill", "scheduled", filterJIDs(j.JID))
		e.mutate(p, "requeue", "dead", filterJIDs(j.JID))
		e.expectEqual(j.JID, e.fetch(w).JID, "from the dead")
	}},
	{"mutate-others-stay", "MUTATE with jids does not change other jobs", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		a := e.push(p, e.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		b := e.push(p, e.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		e.mutate(p, "requeue", "scheduled", filterJIDs(b.JID))
		e.expectEqual(b.JID, e.fetch(w).JID, "the one that was named")
		e.expectNoJob(w)
		e.mutate(p, "requeue", "scheduled", filterJIDs(a.JID))
		e.expectEqual(a.JID, e.fetch(w).JID, "the other")
	}},
	{"mutate-regexp", "MUTATE with a pattern finds jobs by their payload", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.push(p, e.newJob(func(j *client.Job) { j.At, j.Args = timeFromNow(time.Hour), []any{"needle-" + e.runPrefix} }))
		e.push(p, e.newJob(func(j *client.Job) { j.At, j.Args = timeFromNow(time.Hour), []any{"hay"} }))
		e.mutate(p, "requeue", "scheduled", map[string]any{"regexp": "*needle-" + e.runPrefix + "*"})
		e.expectEqual(j.JID, e.fetch(w).JID, "jid")
		e.expectNoJob(w)
	}},
	{"mutate-jobtype", "MUTATE with a jobtype of no job changes nothing", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		e.push(p, e.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		e.mutate(p, "requeue", "scheduled", map[string]any{"jobtype": "none-" + e.runPrefix})
		e.expectNoJob(w)
	}},
	{"mutate-jobtype-found", "MUTATE with a jobtype and jids selects the jobs that match both", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.push(p, e.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		e.mutate(p, "requeue", "scheduled", map[string]any{"jobtype": e.Jobtype, "jids": []string{j.JID}})
		e.expectEqual(j.JID, e.fetch(w).JID, "jid")
	}},
	{"mutate-bad-cmd", "MUTATE with an unknown command is an error", func(e *faktoryEnv) {
		e.expectError(e.dialProducer(), "MUTATE", `{"cmd":"juggle","target":"dead"}`)
	}},
	{"mutate-bad-target", "MUTATE of an unknown set is an error", func(e *faktoryEnv) {
		e.expectError(e.dialProducer(), "MUTATE", `{"cmd":"discard","target":"everything"}`)
	}},
}

// limitCases check unique jobs, expiry and reservations.
var limitCases = []faktoryCase{
	{"unique", "a second PUSH of the same jobtype, args and queue within unique_for gets NOTUNIQUE", func(e *faktoryEnv) {
		p := e.dialProducer()
		unique := func(j *client.Job) { j.Custom = map[string]any{"unique_for": 60} }
		e.push(p, e.newJob(unique))
		text, _ := json.Marshal(e.newJob(unique))
		if r := e.do(p, "PUSH", string(text)); !strings.HasPrefix(r.Err, "NOTUNIQUE") {
			e.fail("got %s%s", r.Text, r.Err)
		}
	}},
	{"unique-other-args", "a unique job with other args is another job", func(e *faktoryEnv) {
		p := e.dialProducer()
		e.push(p, e.newJob(func(j *client.Job) { j.Custom = map[string]any{"unique_for": 60} }))
		e.push(p, e.newJob(func(j *client.Job) { j.Custom, j.Args = map[string]any{"unique_for": 60}, []any{2} }))
	}},
	{"unique-until-success", "a unique job may be pushed again after its ACK", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		unique := func(j *client.Job) { j.Custom = map[string]any{"unique_for": 60} }
		j := e.push(p, e.newJob(unique))
		e.fetch(w)
		e.must(w.Ack(j.JID))
		e.push(p, e.newJob(unique))
	}},
	{"unique-until-start", "a unique job with unique_until start may be pushed again after its FETCH", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		unique := func(j *client.Job) { j.Custom = map[string]any{"unique_for": 60, "unique_until": "start"} }
		e.push(p, e.newJob(unique))
		e.fetch(w)
		e.push(p, e.newJob(unique))
	}},
	{"expires", "a job whose expires_at is in the past can't be fetched", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		e.push(p, e.newJob(func(j *client.Job) { j.Custom = map[string]any{"expires_at": timeFromNow(-time.Second)} }))
		e.expectNoJob(w)
	}},
	{"expires-later", "a job whose expires_at is in the future can be fetched", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.push(p, e.newJob(func(j *client.Job) { j.Custom = map[string]any{"expires_at": timeFromNow(time.Hour)} }))
		e.expectEqual(j.JID, e.fetch(w).JID, "jid")
	}},
	{"reserve", "a job whose reservation expired counts as failed", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.push(p, e.newJob(func(j *client.Job) { j.ReserveFor, j.Retry = 1, ptr(0) }))
		e.fetch(w)
		e.eventually("the job is dead", func() bool { return e.jobState(p, j.JID) == "dead" })
		e.must(w.Ack(j.JID))
		e.expectEqual("dead", e.jobState(p, j.JID), "after a late ACK")
	}},
}
