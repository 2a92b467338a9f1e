package conformance

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cobaltflow/internal/faktory/client"
)

// reportCases are ACK and FAIL.
var outcomeCases = []faktoryCase{
	{"ack", "ACK of a fetched job ends it", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.push(p, k.newJob(nil))
		k.fetch(w)
		k.must(w.Ack(j.JID))
		k.expectNoJob(w)
	}},
	{"ack-unknown", "ACK of a job that is not known is no error", func(k *faktoryEnv) { k.expectOK(k.dialWorker(), "ACK", `{"jid":"nobody-knows-it"}`) }},
	{"ack-malformed", "ACK without a jid is an error", func(k *faktoryEnv) { k.expectError(k.dialWorker(), "ACK", `{}`) }},
	{"ack-twice", "a second ACK changes nothing", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.push(p, k.newJob(nil))
		k.fetch(w)
		k.must(w.Ack(j.JID))
		k.must(w.Ack(j.JID))
	}},
	{"fail-retries", "a job that failed is among the retries, with its failure, and comes again when requeued", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.failJob(p, w, nil)
		k.expectNoJob(w)
		k.mutate(p, "requeue", "retries", filterJIDs(j.JID))
		got := k.fetch(w)
		k.expectEqual(j.JID, got.JID, "jid")
		if got.Failure == nil {
			k.fail("it carries no failure")
		}
		k.expectEqual([]string{"ConformanceError", "it failed on purpose"}, []string{got.Failure.Type, got.Failure.Message}, "failure")
		k.expectEqual([]string{"one.go:1", "two.go:2"}, got.Failure.Backtrace, "backtrace")
		k.expectEqual(0, got.Failure.RetryCount, "retry_count")
		k.expectEqual(j.Args, got.Args, "args")
		_, err := time.Parse(time.RFC3339Nano, got.Failure.FailedAt)
		k.must(err)
	}},
	{"fail-counts", "retry_count grows with each failure", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.failJob(p, w, nil)
		for n := range 3 {
			k.mutate(p, "requeue", "retries", filterJIDs(j.JID))
			got := k.fetch(w)
			k.expectEqual(n, got.Failure.RetryCount, "retry_count")
			k.must(w.Fail(j.JID, "Again", "again"))
		}
	}},
	{"fail-retry-0", "a job with retry 0 that failed is dead at once", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.failJob(p, w, func(j *client.Job) { j.Retry = ptr(0) })
		k.mutate(p, "requeue", "dead", filterJIDs(j.JID))
		k.expectEqual(j.JID, k.fetch(w).JID, "from the dead")
	}},
	{"fail-retry-1", "a job with retry 1 is tried again once and is dead then", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.failJob(p, w, func(j *client.Job) { j.Retry = ptr(1) })
		k.mutate(p, "requeue", "retries", filterJIDs(j.JID))
		k.fetch(w)
		k.must(w.Fail(j.JID, "Again", "again"))
		k.mutate(p, "requeue", "dead", filterJIDs(j.JID))
		k.expectEqual(j.JID, k.fetch(w).JID, "from the dead")
	}},
	{"fail-retry-never", "a job with retry -1 that failed is neither tried again nor dead", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.failJob(p, w, func(j *client.Job) { j.Retry = ptr(-1) })
		k.mutate(p, "requeue", "retries", filterJIDs(j.JID))
		k.mutate(p, "requeue", "dead", filterJIDs(j.JID))
		k.expectNoJob(w)
	}},
	{"fail-unknown", "FAIL of a job that is not known is no error", func(k *faktoryEnv) { k.expectOK(k.dialWorker(), "FAIL", `{"jid":"nobody-knows-it"}`) }},
	{"fail-malformed", "FAIL that is no object is an error", func(k *faktoryEnv) { k.expectError(k.dialWorker(), "FAIL", `{`) }},
}

// scheduledCases are jobs with a time to come.
var scheduledCases = []faktoryCase{
	{"scheduled", "a job with a later at is not given before it", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		at := time.Now().Add(700 * time.Millisecond)
		j := k.push(p, k.newJob(func(j *client.Job) { j.At = at.UTC().Format(time.RFC3339Nano) }))
		got := k.fetch(w)
		k.expectEqual(j.JID, got.JID, "jid")
		if early := time.Until(at); early > 20*time.Millisecond {
			k.fail("it came %v too early", early)
		}
	}},
	{"scheduled-counts", "a job for a later time counts among INFO's Scheduled", func(k *faktoryEnv) {
		p := k.dialProducer()
		j := k.push(p, k.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		if k.setSize(p, "Scheduled") < 1 {
			k.fail("none is counted")
		}
		k.mutate(p, "discard", "scheduled", filterJIDs(j.JID))
	}},
	{"scheduled-past", "a job with a past at is enqueued at once", func(k *faktoryEnv) {
		j := k.push(k.dialProducer(), k.newJob(func(j *client.Job) { j.At = timeFromNow(-time.Hour) }))
		k.expectEqual(j.JID, k.fetch(k.dialWorker()).JID, "jid")
	}},
	{"scheduled-malformed", "an at that is no time of RFC 3339 is an error", func(k *faktoryEnv) {
		k.expectError(k.dialProducer(), "PUSH", fmt.Sprintf(`{"jid":"conformance-1","jobtype":%q,"args":[],"at":"tomorrow"}`, k.Jobtype))
	}},
}

// mutateCases are MUTATE.
var mutateCases = []faktoryCase{
	{"mutate-requeue-scheduled", "MUTATE requeue of a scheduled job enqueues it now", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.push(p, k.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		k.mutate(p, "requeue", "scheduled", filterJIDs(j.JID))
		k.expectEqual(j.JID, k.fetch(w).JID, "jid")
	}},
	{"mutate-discard", "MUTATE discard ends a job for good", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.push(p, k.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		k.mutate(p, "discard", "scheduled", filterJIDs(j.JID))
		k.mutate(p, "requeue", "scheduled", filterJIDs(j.JID))
		k.mutate(p, "requeue", "dead", filterJIDs(j.JID))
		k.expectNoJob(w)
	}},
	{"mutate-kill", "MUTATE kill moves a job to the dead", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.push(p, k.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		k.mutate(p, "kill", "scheduled", filterJIDs(j.JID))
		k.mutate(p, "requeue", "dead", filterJIDs(j.JID))
		k.expectEqual(j.JID, k.fetch(w).JID, "from the dead")
	}},
	{"mutate-others-stay", "MUTATE with jids leaves all others where they are", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		a := k.push(p, k.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		b := k.push(p, k.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		k.mutate(p, "requeue", "scheduled", filterJIDs(b.JID))
		k.expectEqual(b.JID, k.fetch(w).JID, "the one that was named")
		k.expectNoJob(w)
		k.mutate(p, "requeue", "scheduled", filterJIDs(a.JID))
		k.expectEqual(a.JID, k.fetch(w).JID, "the other")
	}},
	{"mutate-regexp", "MUTATE with a pattern finds jobs by their payload", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.push(p, k.newJob(func(j *client.Job) { j.At, j.Args = timeFromNow(time.Hour), []any{"needle-" + k.runPrefix} }))
		k.push(p, k.newJob(func(j *client.Job) { j.At, j.Args = timeFromNow(time.Hour), []any{"hay"} }))
		k.mutate(p, "requeue", "scheduled", map[string]any{"regexp": "*needle-" + k.runPrefix + "*"})
		k.expectEqual(j.JID, k.fetch(w).JID, "jid")
		k.expectNoJob(w)
	}},
	{"mutate-jobtype", "MUTATE with a jobtype that no job has changes nothing", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		k.push(p, k.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		k.mutate(p, "requeue", "scheduled", map[string]any{"jobtype": "none-" + k.runPrefix})
		k.expectNoJob(w)
	}},
	{"mutate-jobtype-found", "MUTATE with a jobtype and jids finds what fits both", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.push(p, k.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
		k.mutate(p, "requeue", "scheduled", map[string]any{"jobtype": k.Jobtype, "jids": []string{j.JID}})
		k.expectEqual(j.JID, k.fetch(w).JID, "jid")
	}},
	{"mutate-bad-cmd", "MUTATE of a command that is not known is an error", func(k *faktoryEnv) {
		k.expectError(k.dialProducer(), "MUTATE", `{"cmd":"juggle","target":"dead"}`)
	}},
	{"mutate-bad-target", "MUTATE of a set that is not known is an error", func(k *faktoryEnv) {
		k.expectError(k.dialProducer(), "MUTATE", `{"cmd":"discard","target":"everything"}`)
	}},
}

// limitCases are unique jobs, expiry and reservations.
var limitCases = []faktoryCase{
	{"unique", "a second PUSH of the same jobtype, args and queue within unique_for gets NOTUNIQUE", func(k *faktoryEnv) {
		p := k.dialProducer()
		unique := func(j *client.Job) { j.Custom = map[string]any{"unique_for": 60} }
		k.push(p, k.newJob(unique))
		text, _ := json.Marshal(k.newJob(unique))
		if r := k.do(p, "PUSH", string(text)); !strings.HasPrefix(r.Err, "NOTUNIQUE") {
			k.fail("got %s%s", r.Text, r.Err)
		}
	}},
	{"unique-other-args", "other args are another job", func(k *faktoryEnv) {
		p := k.dialProducer()
		k.push(p, k.newJob(func(j *client.Job) { j.Custom = map[string]any{"unique_for": 60} }))
		k.push(p, k.newJob(func(j *client.Job) { j.Custom, j.Args = map[string]any{"unique_for": 60}, []any{2} }))
	}},
	{"unique-until-success", "a unique job may be pushed again once it was done", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		unique := func(j *client.Job) { j.Custom = map[string]any{"unique_for": 60} }
		j := k.push(p, k.newJob(unique))
		k.fetch(w)
		k.must(w.Ack(j.JID))
		k.push(p, k.newJob(unique))
	}},
	{"unique-until-start", "one with unique_until start may be pushed again once it was fetched", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		unique := func(j *client.Job) { j.Custom = map[string]any{"unique_for": 60, "unique_until": "start"} }
		k.push(p, k.newJob(unique))
		k.fetch(w)
		k.push(p, k.newJob(unique))
	}},
	{"expires", "a job whose expires_at is past is not given", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		k.push(p, k.newJob(func(j *client.Job) { j.Custom = map[string]any{"expires_at": timeFromNow(-time.Second)} }))
		k.expectNoJob(w)
	}},
	{"expires-later", "a job whose expires_at is to come is given", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.push(p, k.newJob(func(j *client.Job) { j.Custom = map[string]any{"expires_at": timeFromNow(time.Hour)} }))
		k.expectEqual(j.JID, k.fetch(w).JID, "jid")
	}},
	{"reserve", "a job whose reservation ran out is taken for failed", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.push(p, k.newJob(func(j *client.Job) { j.ReserveFor, j.Retry = 1, ptr(0) }))
		k.fetch(w)
		k.eventually("the job is dead", func() bool { return k.jobState(p, j.JID) == "dead" })
		k.must(w.Ack(j.JID))
		k.expectEqual("dead", k.jobState(p, j.JID), "after a late ACK")
	}},
}
