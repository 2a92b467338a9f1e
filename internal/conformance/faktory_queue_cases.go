package conformance

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cobaltflow/internal/faktory/client"
)

// pushCases check PUSH and PUSHB.
var pushCases = []faktoryCase{
	{"push-fetch", "a job is fetched as it was pushed", func(e *faktoryEnv) {
		j := e.push(e.dialProducer(), e.newJob(func(j *client.Job) { j.Custom = map[string]any{"trace": "t-1", "n": 4.0} }))
		got := e.fetch(e.dialWorker())
		e.expectEqual(j.Args, got.Args, "args")
		e.expectEqual(j.Custom, got.Custom, "custom")
		e.expectEqual([]string{j.JID, j.Type, j.Queue}, []string{got.JID, got.Type, got.Queue}, "jid, jobtype, queue")
	}},
	{"push-default-queue", "a job without a queue goes to the queue default", func(e *faktoryEnv) {
		j := e.push(e.dialProducer(), e.newJob(func(j *client.Job) { j.Queue = "" }))
		w := e.dialWorker()
		e.eventually("the job is fetched from default", func() bool {
			got, err := w.Fetch("default")
			e.must(err)
			if got != nil {
				e.must(w.Ack(got.JID))
			}
			return got != nil && got.JID == j.JID
		})
	}},
	{"push-malformed", "a PUSH of anything but an object is an error, and the session continues", func(e *faktoryEnv) {
		c := e.dialProducer()
		e.expectError(c, "PUSH", "{nothing")
		e.push(c, e.newJob(nil))
	}},
	{"push-no-jid", "a job without a jid is an error", func(e *faktoryEnv) {
		e.expectError(e.dialProducer(), "PUSH", fmt.Sprintf(`{"jobtype":%q,"args":[]}`, e.Jobtype))
	}},
	{"push-short-jid", "a jid of fewer than 8 characters is an error", func(e *faktoryEnv) {
		e.expectError(e.dialProducer(), "PUSH", fmt.Sprintf(`{"jid":"short","jobtype":%q,"args":[]}`, e.Jobtype))
	}},
	{"push-no-jobtype", "a job without a jobtype is an error", func(e *faktoryEnv) {
		e.expectError(e.dialProducer(), "PUSH", `{"jid":"conformance-1","args":[]}`)
	}},
	{"push-no-args", "a job without args is an error", func(e *faktoryEnv) {
		e.expectError(e.dialProducer(), "PUSH", fmt.Sprintf(`{"jid":"conformance-1","jobtype":%q}`, e.Jobtype))
	}},
	{"push-args-no-array", "args that are not an array are an error", func(e *faktoryEnv) {
		e.expectError(e.dialProducer(), "PUSH", fmt.Sprintf(`{"jid":"conformance-1","jobtype":%q,"args":{}}`, e.Jobtype))
	}},
	{"push-large", "a job of 60 KB is returned unchanged", func(e *faktoryEnv) {
		j := e.push(e.dialProducer(), e.newJob(func(j *client.Job) { j.Args = []any{strings.Repeat("x", 60_000)} }))
		e.expectEqual(j.Args, e.fetch(e.dialWorker()).Args, "args")
	}},
	{"push-odd-text", "non-ASCII text, quotes and line ends in args are returned unchanged", func(e *faktoryEnv) {
		j := e.push(e.dialProducer(), e.newJob(func(j *client.Job) { j.Args = []any{"Vātū \"q\" \r\n \u2028 \\ 漢"} }))
		e.expectEqual(j.Args, e.fetch(e.dialWorker()).Args, "args")
	}},
	{"pushb-all", "PUSHB accepts several jobs and returns an empty object", func(e *faktoryEnv) {
		a, b := e.newJob(nil), e.newJob(nil)
		r := e.do(e.dialProducer(), "PUSHB", bulkArgument(a, b))
		e.expectEqual("{}", r.Text, "reply")
		w := e.dialWorker()
		e.expectEqual([]string{a.JID, b.JID}, []string{e.fetch(w).JID, e.fetch(w).JID}, "jobs")
	}},
	{"pushb-some", "PUSHB returns the rejected jobs by jid, and accepts the others", func(e *faktoryEnv) {
		good, bad := e.newJob(nil), e.newJob(func(j *client.Job) { j.Type = "" })
		r := e.do(e.dialProducer(), "PUSHB", bulkArgument(good, bad))
		var rejected map[string]string
		e.must(json.Unmarshal([]byte(r.Text), &rejected))
		if len(rejected) != 1 || rejected[bad.JID] == "" {
			e.fail("wanted an error for %s, got %s", bad.JID, r.Text)
		}
		e.expectEqual(good.JID, e.fetch(e.dialWorker()).JID, "the good one")
	}},
	{"pushb-empty", "PUSHB of no jobs is not an error", func(e *faktoryEnv) { e.expectEqual("{}", e.do(e.dialProducer(), "PUSHB", "[]").Text, "reply") }},
	{"pushb-malformed", "PUSHB of anything but a list is an error", func(e *faktoryEnv) { e.expectError(e.dialProducer(), "PUSHB", `{"jid":1}`) }},
	{"pushb-many", "PUSHB of 2,000 jobs accepts all of them", func(e *faktoryEnv) {
		var list []any
		for range 2000 {
			list = append(list, e.newJob(nil))
		}
		p := e.dialProducer()
		e.expectEqual("{}", e.do(p, "PUSHB", bulkArgument(list...)).Text, "reply")
		e.expectOK(p, "QUEUE", "REMOVE "+e.queue(""))
	}},
}

// fetchCases check FETCH and the order of jobs.
var fetchCases = []faktoryCase{
	{"fetch-none", "FETCH of an empty queue returns the null string within 5 seconds", func(e *faktoryEnv) {
		began := time.Now()
		e.expectNoJob(e.dialWorker())
		if took := time.Since(began); took > 5*time.Second {
			e.fail("FETCH took %v", took)
		}
	}},
	{"fetch-producer", "FETCH by a producer is an error", func(e *faktoryEnv) { e.expectError(e.dialProducer(), "FETCH", e.queue("")) }},
	{"fetch-waits", "a waiting FETCH gets a job that is pushed in the meantime", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		e.must(w.Send("FETCH", e.queue("")))
		j := e.push(p, e.newJob(nil))
		r, err := w.Read()
		e.must(err)
		if !contains(r.Text, j.JID) {
			e.fail("got %q", r.Text)
		}
	}},
	{"fetch-fifo", "jobs of a queue are fetched in the order of their pushes", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		var want, got []string
		for range 10 {
			want = append(want, e.push(p, e.newJob(nil)).JID)
		}
		for range 10 {
			got = append(got, e.fetch(w).JID)
		}
		e.expectEqual(want, got, "order")
	}},
	{"fetch-priority", "jobs of higher priority are fetched first, 9 before 5 before 1", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		var made []client.Job
		for _, n := range []int{1, 5, 9} {
			made = append(made, e.push(p, e.newJob(func(j *client.Job) { j.Priority = n })))
		}
		e.expectEqual([]string{made[2].JID, made[1].JID, made[0].JID}, []string{e.fetch(w).JID, e.fetch(w).JID, e.fetch(w).JID}, "order")
	}},
	{"fetch-queue-order", "a FETCH of several queues returns a job of the first non-empty one", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		b := e.push(p, e.newJob(func(j *client.Job) { j.Queue = e.queue("-b") }))
		a := e.push(p, e.newJob(func(j *client.Job) { j.Queue = e.queue("-a") }))
		e.expectEqual(a.JID, e.fetch(w, e.queue("-a"), e.queue("-b")).JID, "the first queue's")
		e.expectEqual(b.JID, e.fetch(w, e.queue("-a"), e.queue("-b")).JID, "then the second's")
	}},
	{"fetch-other-queue", "a worker gets no job of a queue that it does not fetch from", func(e *faktoryEnv) {
		e.push(e.dialProducer(), e.newJob(nil))
		e.expectNoJob(e.dialWorker(), e.queue("-other"))
	}},
	{"fetch-once", "a job goes to only one of two waiting workers", func(e *faktoryEnv) {
		p, a, b := e.dialProducer(), e.dialWorker(), e.dialWorker()
		for range 10 {
			e.push(p, e.newJob(nil))
		}
		seen := make(chan string, 20)
		fetchAll := func(w *client.Conn) func() {
			return func() {
				for {
					j, err := w.Fetch(e.queue(""))
					e.must(err)
					if j == nil {
						return
					}
					seen <- j.JID
					e.must(w.Ack(j.JID))
				}
			}
		}
		e.runParallel(fetchAll(a), fetchAll(b))
		close(seen)
		got := map[string]int{}
		for id := range seen {
			got[id]++
		}
		e.expectEqual(10, len(got), "jobs")
		for id, n := range got {
			e.expectEqual(1, n, id)
		}
	}},
}
