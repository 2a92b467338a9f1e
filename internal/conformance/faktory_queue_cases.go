package conformance

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cobaltflow/internal/faktory/client"
)

// pushCases are PUSH and PUSHB.
var pushCases = []faktoryCase{
	{"push-fetch", "a pushed job is fetched as it was pushed", func(k *faktoryEnv) {
		j := k.push(k.dialProducer(), k.newJob(func(j *client.Job) { j.Custom = map[string]any{"trace": "t-1", "n": 4.0} }))
		got := k.fetch(k.dialWorker())
		k.expectEqual(j.Args, got.Args, "args")
		k.expectEqual(j.Custom, got.Custom, "custom")
		k.expectEqual([]string{j.JID, j.Type, j.Queue}, []string{got.JID, got.Type, got.Queue}, "jid, jobtype, queue")
	}},
	{"push-default-queue", "a job that names no queue goes to the queue named default", func(k *faktoryEnv) {
		j := k.push(k.dialProducer(), k.newJob(func(j *client.Job) { j.Queue = "" }))
		w := k.dialWorker()
		k.eventually("the job comes from default", func() bool {
			got, err := w.Fetch("default")
			k.must(err)
			if got != nil {
				k.must(w.Ack(got.JID))
			}
			return got != nil && got.JID == j.JID
		})
	}},
	{"push-malformed", "a PUSH that is no object is an error, and the session goes on", func(k *faktoryEnv) {
		c := k.dialProducer()
		k.expectError(c, "PUSH", "{nothing")
		k.push(c, k.newJob(nil))
	}},
	{"push-no-jid", "a job without a jid is an error", func(k *faktoryEnv) {
		k.expectError(k.dialProducer(), "PUSH", fmt.Sprintf(`{"jobtype":%q,"args":[]}`, k.Jobtype))
	}},
	{"push-short-jid", "a jid of fewer than 8 characters is an error", func(k *faktoryEnv) {
		k.expectError(k.dialProducer(), "PUSH", fmt.Sprintf(`{"jid":"short","jobtype":%q,"args":[]}`, k.Jobtype))
	}},
	{"push-no-jobtype", "a job without a jobtype is an error", func(k *faktoryEnv) {
		k.expectError(k.dialProducer(), "PUSH", `{"jid":"conformance-1","args":[]}`)
	}},
	{"push-no-args", "a job without args is an error", func(k *faktoryEnv) {
		k.expectError(k.dialProducer(), "PUSH", fmt.Sprintf(`{"jid":"conformance-1","jobtype":%q}`, k.Jobtype))
	}},
	{"push-args-no-array", "args that are no array are an error", func(k *faktoryEnv) {
		k.expectError(k.dialProducer(), "PUSH", fmt.Sprintf(`{"jid":"conformance-1","jobtype":%q,"args":{}}`, k.Jobtype))
	}},
	{"push-large", "a job of 60 KB passes unchanged", func(k *faktoryEnv) {
		j := k.push(k.dialProducer(), k.newJob(func(j *client.Job) { j.Args = []any{strings.Repeat("x", 60_000)} }))
		k.expectEqual(j.Args, k.fetch(k.dialWorker()).Args, "args")
	}},
	{"push-odd-text", "text beyond ASCII, quotes and line ends in args pass unchanged", func(k *faktoryEnv) {
		j := k.push(k.dialProducer(), k.newJob(func(j *client.Job) { j.Args = []any{"Vātū \"q\" \r\n \u2028 \\ 漢"} }))
		k.expectEqual(j.Args, k.fetch(k.dialWorker()).Args, "args")
	}},
	{"pushb-all", "PUSHB takes many jobs and answers with an empty object", func(k *faktoryEnv) {
		a, b := k.newJob(nil), k.newJob(nil)
		r := k.do(k.dialProducer(), "PUSHB", bulkArgument(a, b))
		k.expectEqual("{}", r.Text, "reply")
		w := k.dialWorker()
		k.expectEqual([]string{a.JID, b.JID}, []string{k.fetch(w).JID, k.fetch(w).JID}, "jobs")
	}},
	{"pushb-some", "PUSHB says by jid which jobs were not taken, and takes the others", func(k *faktoryEnv) {
		good, bad := k.newJob(nil), k.newJob(func(j *client.Job) { j.Type = "" })
		r := k.do(k.dialProducer(), "PUSHB", bulkArgument(good, bad))
		var not map[string]string
		k.must(json.Unmarshal([]byte(r.Text), &not))
		if len(not) != 1 || not[bad.JID] == "" {
			k.fail("wanted an error for %s, got %s", bad.JID, r.Text)
		}
		k.expectEqual(good.JID, k.fetch(k.dialWorker()).JID, "the good one")
	}},
	{"pushb-empty", "PUSHB of no jobs is no error", func(k *faktoryEnv) { k.expectEqual("{}", k.do(k.dialProducer(), "PUSHB", "[]").Text, "reply") }},
	{"pushb-malformed", "PUSHB of anything but a list is an error", func(k *faktoryEnv) { k.expectError(k.dialProducer(), "PUSHB", `{"jid":1}`) }},
	{"pushb-many", "PUSHB of 2,000 jobs takes them all", func(k *faktoryEnv) {
		var list []any
		for range 2000 {
			list = append(list, k.newJob(nil))
		}
		p := k.dialProducer()
		k.expectEqual("{}", k.do(p, "PUSHB", bulkArgument(list...)).Text, "reply")
		k.expectOK(p, "QUEUE", "REMOVE "+k.queue(""))
	}},
}

// fetchCases are FETCH and its order.
var fetchCases = []faktoryCase{
	{"fetch-none", "FETCH of an empty queue gives the null string, after a wait of some seconds at most", func(k *faktoryEnv) {
		began := time.Now()
		k.expectNoJob(k.dialWorker())
		if took := time.Since(began); took > 5*time.Second {
			k.fail("it took %v", took)
		}
	}},
	{"fetch-producer", "FETCH by a producer is an error", func(k *faktoryEnv) { k.expectError(k.dialProducer(), "FETCH", k.queue("")) }},
	{"fetch-waits", "a FETCH that waits gets a job that is pushed meanwhile", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		k.must(w.Send("FETCH", k.queue("")))
		j := k.push(p, k.newJob(nil))
		r, err := w.Read()
		k.must(err)
		if !contains(r.Text, j.JID) {
			k.fail("got %q", r.Text)
		}
	}},
	{"fetch-fifo", "jobs of a queue come in the order of their pushes", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		var want, got []string
		for range 10 {
			want = append(want, k.push(p, k.newJob(nil)).JID)
		}
		for range 10 {
			got = append(got, k.fetch(w).JID)
		}
		k.expectEqual(want, got, "order")
	}},
	{"fetch-priority", "jobs of a higher priority come first, 9 before 5 before 1", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		var made []client.Job
		for _, n := range []int{1, 5, 9} {
			made = append(made, k.push(p, k.newJob(func(j *client.Job) { j.Priority = n })))
		}
		k.expectEqual([]string{made[2].JID, made[1].JID, made[0].JID}, []string{k.fetch(w).JID, k.fetch(w).JID, k.fetch(w).JID}, "order")
	}},
	{"fetch-queue-order", "a FETCH of several queues takes from the first that has jobs", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		b := k.push(p, k.newJob(func(j *client.Job) { j.Queue = k.queue("-b") }))
		a := k.push(p, k.newJob(func(j *client.Job) { j.Queue = k.queue("-a") }))
		k.expectEqual(a.JID, k.fetch(w, k.queue("-a"), k.queue("-b")).JID, "the first queue's")
		k.expectEqual(b.JID, k.fetch(w, k.queue("-a"), k.queue("-b")).JID, "then the second's")
	}},
	{"fetch-other-queue", "a job is not given to a worker that does not fetch from its queue", func(k *faktoryEnv) {
		k.push(k.dialProducer(), k.newJob(nil))
		k.expectNoJob(k.dialWorker(), k.queue("-other"))
	}},
	{"fetch-once", "a job is given to one of two workers that wait", func(k *faktoryEnv) {
		p, a, b := k.dialProducer(), k.dialWorker(), k.dialWorker()
		for range 10 {
			k.push(p, k.newJob(nil))
		}
		seen := make(chan string, 20)
		take := func(w *client.Conn) func() {
			return func() {
				for {
					j, err := w.Fetch(k.queue(""))
					k.must(err)
					if j == nil {
						return
					}
					seen <- j.JID
					k.must(w.Ack(j.JID))
				}
			}
		}
		k.runParallel(take(a), take(b))
		close(seen)
		got := map[string]int{}
		for id := range seen {
			got[id]++
		}
		k.expectEqual(10, len(got), "jobs")
		for id, n := range got {
			k.expectEqual(1, n, id)
		}
	}},
}
