package conformance

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"cobaltflow/internal/faktory/client"
)

// faktoryCases is the table. What they check is the public description of the protocol: the work protocol's
// specification of github.com/contribsys/faktory (docs/protocol-specification.md) and its wiki.
var faktoryCases = []faktoryCase{
	{"greeting", "the server speaks first: HI and an object with the protocol's version 2", func(k *fk) {
		c := k.add(client.Open(k.Address, client.Options{}))
		var hi struct{ V int }
		k.must(json.Unmarshal([]byte(c.Hi), &hi))
		k.equal(2, hi.V, "v")
	}},
	{"hello-producer", "a HELLO without a wid makes a producer", func(k *fk) { k.push(k.producer(), k.job(nil)) }},
	{"hello-all-fields", "a HELLO may carry hostname, wid, pid, labels and v", func(k *fk) { k.none(k.worker()) }},
	{"hello-first", "a command before HELLO is an error and ends the connection", func(k *fk) {
		c := k.add(client.Open(k.Address, client.Options{}))
		k.errs(c, "INFO", "")
		k.closed(c)
	}},
	{"hello-version", "a HELLO of another version is an error", func(k *fk) {
		k.errs(k.add(client.Open(k.Address, client.Options{})), "HELLO", `{"v":99}`)
	}},
	{"hello-malformed", "a HELLO that is no object is an error", func(k *fk) {
		k.errs(k.add(client.Open(k.Address, client.Options{})), "HELLO", `{`)
	}},
	{"password", "where the greeting has a salt, a wrong hash is an error and a right one is not", func(k *fk) {
		c := k.add(client.Open(k.Address, client.Options{}))
		if k.Password == "" {
			if has(c.Hi, `"s"`) {
				k.fail("the server asks for a password and none was given")
			}
			return
		}
		k.errs(c, "HELLO", `{"v":2,"pwdhash":"00"}`)
		k.producer()
	}},
	{"unknown-verb", "a verb that is not known is an error, and the session goes on", func(k *fk) {
		c := k.producer()
		k.errs(c, "JUGGLE", "{}")
		k.push(c, k.job(nil))
	}},
	{"end", "END closes the connection", func(k *fk) {
		c := k.producer()
		k.must(c.Send("END", ""))
		k.closed(c)
	}},
	{"pipelining", "commands sent without waiting are answered in their order", func(k *fk) {
		c := k.producer()
		text := ""
		for i := range 20 {
			j, _ := json.Marshal(k.job(nil))
			if text += "PUSH " + string(j) + "\r\n"; i%5 == 4 {
				text += "NONSENSE\r\n"
			}
		}
		_, err := io.WriteString(c, text)
		k.must(err)
		for i := range 24 {
			r, err := c.Read()
			k.must(err)
			k.equal(i%6 != 5, r.OK(), fmt.Sprint("reply ", i))
		}
	}},
	{"in-pieces", "a command may come byte by byte", func(k *fk) {
		c := k.producer()
		j := k.job(nil)
		text, _ := json.Marshal(j)
		for _, b := range []byte("PUSH " + string(text) + "\r\n") {
			_, err := c.Write([]byte{b})
			k.must(err)
		}
		r, err := c.Read()
		k.must(err)
		k.equal(true, r.OK(), "PUSH")
		k.equal(j.JID, k.fetch(k.worker()).JID, "the job")
	}},
	{"push-fetch", "a pushed job is fetched as it was pushed", func(k *fk) {
		j := k.push(k.producer(), k.job(func(j *client.Job) { j.Custom = map[string]any{"trace": "t-1", "n": 4.0} }))
		got := k.fetch(k.worker())
		k.equal(j.Args, got.Args, "args")
		k.equal(j.Custom, got.Custom, "custom")
		k.equal([]string{j.JID, j.Type, j.Queue}, []string{got.JID, got.Type, got.Queue}, "jid, jobtype, queue")
	}},
	{"push-default-queue", "a job that names no queue goes to the queue named default", func(k *fk) {
		j := k.push(k.producer(), k.job(func(j *client.Job) { j.Queue = "" }))
		w := k.worker()
		k.eventually("the job comes from default", func() bool {
			got, err := w.Fetch("default")
			k.must(err)
			if got != nil {
				k.must(w.Ack(got.JID))
			}
			return got != nil && got.JID == j.JID
		})
	}},
	{"push-malformed", "a PUSH that is no object is an error, and the session goes on", func(k *fk) {
		c := k.producer()
		k.errs(c, "PUSH", "{nothing")
		k.push(c, k.job(nil))
	}},
	{"push-no-jid", "a job without a jid is an error", func(k *fk) {
		k.errs(k.producer(), "PUSH", fmt.Sprintf(`{"jobtype":%q,"args":[]}`, k.Jobtype))
	}},
	{"push-short-jid", "a jid of fewer than 8 characters is an error", func(k *fk) {
		k.errs(k.producer(), "PUSH", fmt.Sprintf(`{"jid":"short","jobtype":%q,"args":[]}`, k.Jobtype))
	}},
	{"push-no-jobtype", "a job without a jobtype is an error", func(k *fk) {
		k.errs(k.producer(), "PUSH", `{"jid":"conformance-1","args":[]}`)
	}},
	{"push-no-args", "a job without args is an error", func(k *fk) {
		k.errs(k.producer(), "PUSH", fmt.Sprintf(`{"jid":"conformance-1","jobtype":%q}`, k.Jobtype))
	}},
	{"push-args-no-array", "args that are no array are an error", func(k *fk) {
		k.errs(k.producer(), "PUSH", fmt.Sprintf(`{"jid":"conformance-1","jobtype":%q,"args":{}}`, k.Jobtype))
	}},
	{"push-large", "a job of 60 KB passes unchanged", func(k *fk) {
		j := k.push(k.producer(), k.job(func(j *client.Job) { j.Args = []any{strings.Repeat("x", 60_000)} }))
		k.equal(j.Args, k.fetch(k.worker()).Args, "args")
	}},
	{"push-odd-text", "text beyond ASCII, quotes and line ends in args pass unchanged", func(k *fk) {
		j := k.push(k.producer(), k.job(func(j *client.Job) { j.Args = []any{"Vātū \"q\" \r\n \u2028 \\ 漢"} }))
		k.equal(j.Args, k.fetch(k.worker()).Args, "args")
	}},
	{"pushb-all", "PUSHB takes many jobs and answers with an empty object", func(k *fk) {
		a, b := k.job(nil), k.job(nil)
		r := k.do(k.producer(), "PUSHB", pushB(a, b))
		k.equal("{}", r.Text, "reply")
		w := k.worker()
		k.equal([]string{a.JID, b.JID}, []string{k.fetch(w).JID, k.fetch(w).JID}, "jobs")
	}},
	{"pushb-some", "PUSHB says by jid which jobs were not taken, and takes the others", func(k *fk) {
		good, bad := k.job(nil), k.job(func(j *client.Job) { j.Type = "" })
		r := k.do(k.producer(), "PUSHB", pushB(good, bad))
		var not map[string]string
		k.must(json.Unmarshal([]byte(r.Text), &not))
		if len(not) != 1 || not[bad.JID] == "" {
			k.fail("wanted an error for %s, got %s", bad.JID, r.Text)
		}
		k.equal(good.JID, k.fetch(k.worker()).JID, "the good one")
	}},
	{"pushb-empty", "PUSHB of no jobs is no error", func(k *fk) { k.equal("{}", k.do(k.producer(), "PUSHB", "[]").Text, "reply") }},
	{"pushb-malformed", "PUSHB of anything but a list is an error", func(k *fk) { k.errs(k.producer(), "PUSHB", `{"jid":1}`) }},
	{"pushb-many", "PUSHB of 2,000 jobs takes them all", func(k *fk) {
		var list []any
		for range 2000 {
			list = append(list, k.job(nil))
		}
		p := k.producer()
		k.equal("{}", k.do(p, "PUSHB", pushB(list...)).Text, "reply")
		k.ok(p, "QUEUE", "REMOVE "+k.queue(""))
	}},
	{"fetch-none", "FETCH of an empty queue gives the null string, after a wait of some seconds at most", func(k *fk) {
		began := time.Now()
		k.none(k.worker())
		if took := time.Since(began); took > 5*time.Second {
			k.fail("it took %v", took)
		}
	}},
	{"fetch-producer", "FETCH by a producer is an error", func(k *fk) { k.errs(k.producer(), "FETCH", k.queue("")) }},
	{"fetch-waits", "a FETCH that waits gets a job that is pushed meanwhile", func(k *fk) {
		p, w := k.producer(), k.worker()
		k.must(w.Send("FETCH", k.queue("")))
		j := k.push(p, k.job(nil))
		r, err := w.Read()
		k.must(err)
		if !has(r.Text, j.JID) {
			k.fail("got %q", r.Text)
		}
	}},
	{"fetch-fifo", "jobs of a queue come in the order of their pushes", func(k *fk) {
		p, w := k.producer(), k.worker()
		var want, got []string
		for range 10 {
			want = append(want, k.push(p, k.job(nil)).JID)
		}
		for range 10 {
			got = append(got, k.fetch(w).JID)
		}
		k.equal(want, got, "order")
	}},
	{"fetch-priority", "jobs of a higher priority come first, 9 before 5 before 1", func(k *fk) {
		p, w := k.producer(), k.worker()
		var made []client.Job
		for _, n := range []int{1, 5, 9} {
			made = append(made, k.push(p, k.job(func(j *client.Job) { j.Priority = n })))
		}
		k.equal([]string{made[2].JID, made[1].JID, made[0].JID}, []string{k.fetch(w).JID, k.fetch(w).JID, k.fetch(w).JID}, "order")
	}},
	{"fetch-queue-order", "a FETCH of several queues takes from the first that has jobs", func(k *fk) {
		p, w := k.producer(), k.worker()
		b := k.push(p, k.job(func(j *client.Job) { j.Queue = k.queue("-b") }))
		a := k.push(p, k.job(func(j *client.Job) { j.Queue = k.queue("-a") }))
		k.equal(a.JID, k.fetch(w, k.queue("-a"), k.queue("-b")).JID, "the first queue's")
		k.equal(b.JID, k.fetch(w, k.queue("-a"), k.queue("-b")).JID, "then the second's")
	}},
	{"fetch-other-queue", "a job is not given to a worker that does not fetch from its queue", func(k *fk) {
		k.push(k.producer(), k.job(nil))
		k.none(k.worker(), k.queue("-other"))
	}},
	{"fetch-once", "a job is given to one of two workers that wait", func(k *fk) {
		p, a, b := k.producer(), k.worker(), k.worker()
		for range 10 {
			k.push(p, k.job(nil))
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
		k.together(take(a), take(b))
		close(seen)
		got := map[string]int{}
		for id := range seen {
			got[id]++
		}
		k.equal(10, len(got), "jobs")
		for id, n := range got {
			k.equal(1, n, id)
		}
	}},
	{"ack", "ACK of a fetched job ends it", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.push(p, k.job(nil))
		k.fetch(w)
		k.must(w.Ack(j.JID))
		k.none(w)
	}},
	{"ack-unknown", "ACK of a job that is not known is no error", func(k *fk) { k.ok(k.worker(), "ACK", `{"jid":"nobody-knows-it"}`) }},
	{"ack-malformed", "ACK without a jid is an error", func(k *fk) { k.errs(k.worker(), "ACK", `{}`) }},
	{"ack-twice", "a second ACK changes nothing", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.push(p, k.job(nil))
		k.fetch(w)
		k.must(w.Ack(j.JID))
		k.must(w.Ack(j.JID))
	}},
	{"fail-retries", "a job that failed is among the retries, with its failure, and comes again when requeued", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.failed(p, w, nil)
		k.none(w)
		k.mutate(p, "requeue", "retries", only(j.JID))
		got := k.fetch(w)
		k.equal(j.JID, got.JID, "jid")
		if got.Failure == nil {
			k.fail("it carries no failure")
		}
		k.equal([]string{"ConformanceError", "it failed on purpose"}, []string{got.Failure.Type, got.Failure.Message}, "failure")
		k.equal([]string{"one.go:1", "two.go:2"}, got.Failure.Backtrace, "backtrace")
		k.equal(0, got.Failure.RetryCount, "retry_count")
		k.equal(j.Args, got.Args, "args")
		_, err := time.Parse(time.RFC3339Nano, got.Failure.FailedAt)
		k.must(err)
	}},
	{"fail-counts", "retry_count grows with each failure", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.failed(p, w, nil)
		for n := range 3 {
			k.mutate(p, "requeue", "retries", only(j.JID))
			got := k.fetch(w)
			k.equal(n, got.Failure.RetryCount, "retry_count")
			k.must(w.Fail(j.JID, "Again", "again"))
		}
	}},
	{"fail-retry-0", "a job with retry 0 that failed is dead at once", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.failed(p, w, func(j *client.Job) { j.Retry = ptr(0) })
		k.mutate(p, "requeue", "dead", only(j.JID))
		k.equal(j.JID, k.fetch(w).JID, "from the dead")
	}},
	{"fail-retry-1", "a job with retry 1 is tried again once and is dead then", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.failed(p, w, func(j *client.Job) { j.Retry = ptr(1) })
		k.mutate(p, "requeue", "retries", only(j.JID))
		k.fetch(w)
		k.must(w.Fail(j.JID, "Again", "again"))
		k.mutate(p, "requeue", "dead", only(j.JID))
		k.equal(j.JID, k.fetch(w).JID, "from the dead")
	}},
	{"fail-retry-never", "a job with retry -1 that failed is neither tried again nor dead", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.failed(p, w, func(j *client.Job) { j.Retry = ptr(-1) })
		k.mutate(p, "requeue", "retries", only(j.JID))
		k.mutate(p, "requeue", "dead", only(j.JID))
		k.none(w)
	}},
	{"fail-unknown", "FAIL of a job that is not known is no error", func(k *fk) { k.ok(k.worker(), "FAIL", `{"jid":"nobody-knows-it"}`) }},
	{"fail-malformed", "FAIL that is no object is an error", func(k *fk) { k.errs(k.worker(), "FAIL", `{`) }},
	{"scheduled", "a job with a later at is not given before it", func(k *fk) {
		p, w := k.producer(), k.worker()
		at := time.Now().Add(700 * time.Millisecond)
		j := k.push(p, k.job(func(j *client.Job) { j.At = at.UTC().Format(time.RFC3339Nano) }))
		got := k.fetch(w)
		k.equal(j.JID, got.JID, "jid")
		if early := time.Until(at); early > 20*time.Millisecond {
			k.fail("it came %v too early", early)
		}
	}},
	{"scheduled-counts", "a job for a later time counts among INFO's Scheduled", func(k *fk) {
		p := k.producer()
		j := k.push(p, k.job(func(j *client.Job) { j.At = soon(time.Hour) }))
		if k.tasks(p, "Scheduled") < 1 {
			k.fail("none is counted")
		}
		k.mutate(p, "discard", "scheduled", only(j.JID))
	}},
	{"scheduled-past", "a job with a past at is enqueued at once", func(k *fk) {
		j := k.push(k.producer(), k.job(func(j *client.Job) { j.At = soon(-time.Hour) }))
		k.equal(j.JID, k.fetch(k.worker()).JID, "jid")
	}},
	{"scheduled-malformed", "an at that is no time of RFC 3339 is an error", func(k *fk) {
		k.errs(k.producer(), "PUSH", fmt.Sprintf(`{"jid":"conformance-1","jobtype":%q,"args":[],"at":"tomorrow"}`, k.Jobtype))
	}},
	{"mutate-requeue-scheduled", "MUTATE requeue of a scheduled job enqueues it now", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.push(p, k.job(func(j *client.Job) { j.At = soon(time.Hour) }))
		k.mutate(p, "requeue", "scheduled", only(j.JID))
		k.equal(j.JID, k.fetch(w).JID, "jid")
	}},
	{"mutate-discard", "MUTATE discard ends a job for good", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.push(p, k.job(func(j *client.Job) { j.At = soon(time.Hour) }))
		k.mutate(p, "discard", "scheduled", only(j.JID))
		k.mutate(p, "requeue", "scheduled", only(j.JID))
		k.mutate(p, "requeue", "dead", only(j.JID))
		k.none(w)
	}},
	{"mutate-kill", "MUTATE kill moves a job to the dead", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.push(p, k.job(func(j *client.Job) { j.At = soon(time.Hour) }))
		k.mutate(p, "kill", "scheduled", only(j.JID))
		k.mutate(p, "requeue", "dead", only(j.JID))
		k.equal(j.JID, k.fetch(w).JID, "from the dead")
	}},
	{"mutate-others-stay", "MUTATE with jids leaves all others where they are", func(k *fk) {
		p, w := k.producer(), k.worker()
		a := k.push(p, k.job(func(j *client.Job) { j.At = soon(time.Hour) }))
		b := k.push(p, k.job(func(j *client.Job) { j.At = soon(time.Hour) }))
		k.mutate(p, "requeue", "scheduled", only(b.JID))
		k.equal(b.JID, k.fetch(w).JID, "the one that was named")
		k.none(w)
		k.mutate(p, "requeue", "scheduled", only(a.JID))
		k.equal(a.JID, k.fetch(w).JID, "the other")
	}},
	{"mutate-regexp", "MUTATE with a pattern finds jobs by their payload", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.push(p, k.job(func(j *client.Job) { j.At, j.Args = soon(time.Hour), []any{"needle-" + k.run} }))
		k.push(p, k.job(func(j *client.Job) { j.At, j.Args = soon(time.Hour), []any{"hay"} }))
		k.mutate(p, "requeue", "scheduled", map[string]any{"regexp": "*needle-" + k.run + "*"})
		k.equal(j.JID, k.fetch(w).JID, "jid")
		k.none(w)
	}},
	{"mutate-jobtype", "MUTATE with a jobtype that no job has changes nothing", func(k *fk) {
		p, w := k.producer(), k.worker()
		k.push(p, k.job(func(j *client.Job) { j.At = soon(time.Hour) }))
		k.mutate(p, "requeue", "scheduled", map[string]any{"jobtype": "none-" + k.run})
		k.none(w)
	}},
	{"mutate-jobtype-found", "MUTATE with a jobtype and jids finds what fits both", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.push(p, k.job(func(j *client.Job) { j.At = soon(time.Hour) }))
		k.mutate(p, "requeue", "scheduled", map[string]any{"jobtype": k.Jobtype, "jids": []string{j.JID}})
		k.equal(j.JID, k.fetch(w).JID, "jid")
	}},
	{"mutate-bad-cmd", "MUTATE of a command that is not known is an error", func(k *fk) {
		k.errs(k.producer(), "MUTATE", `{"cmd":"juggle","target":"dead"}`)
	}},
	{"mutate-bad-target", "MUTATE of a set that is not known is an error", func(k *fk) {
		k.errs(k.producer(), "MUTATE", `{"cmd":"discard","target":"everything"}`)
	}},
	{"beat", "BEAT of a worker is answered with OK", func(k *fk) {
		w := k.worker()
		k.ok(w, "BEAT", fmt.Sprintf(`{"wid":%q,"rss_kb":54176}`, k.wid(1)))
	}},
	{"beat-quiet", "a worker whose BEAT says quiet is given nothing more", func(k *fk) {
		p, w := k.producer(), k.worker()
		k.none(w)
		k.ok(w, "BEAT", fmt.Sprintf(`{"wid":%q,"current_state":"quiet"}`, k.wid(1)))
		j := k.push(p, k.job(nil))
		k.none(w)
		k.equal(j.JID, k.fetch(k.worker()).JID, "another worker's")
	}},
	{"beat-other", "BEAT for a wid that is not the session's is an error", func(k *fk) { k.errs(k.worker(), "BEAT", `{"wid":"somebody-else"}`) }},
	{"info-fields", "INFO tells of queues, sets, uptime and connections", func(k *fk) {
		info, err := k.producer().Info()
		k.must(err)
		f, _ := info["faktory"].(map[string]any)
		s, _ := info["server"].(map[string]any)
		for _, key := range []string{"queues", "tasks", "total_enqueued", "total_processed", "total_failures", "total_queues"} {
			if f[key] == nil {
				k.fail("faktory.%s is missing", key)
			}
		}
		for _, key := range []string{"uptime", "connections", "command_count", "faktory_version"} {
			if s[key] == nil {
				k.fail("server.%s is missing", key)
			}
		}
		k.tasks(k.producer(), "Retries")
		k.tasks(k.producer(), "Dead")
	}},
	{"info-queue", "INFO counts the jobs of each queue", func(k *fk) {
		p := k.producer()
		k.push(p, k.job(nil))
		k.push(p, k.job(nil))
		info, err := p.Info()
		k.must(err)
		f, _ := info["faktory"].(map[string]any)
		q, _ := f["queues"].(map[string]any)
		k.equal(2.0, q[k.queue("")], "its size")
	}},
	{"queue-pause", "a paused queue gives out nothing until it is resumed", func(k *fk) {
		p, w := k.producer(), k.worker()
		k.ok(p, "QUEUE", "PAUSE "+k.queue(""))
		j := k.push(p, k.job(nil))
		k.none(w)
		k.ok(p, "QUEUE", "RESUME "+k.queue(""))
		k.equal(j.JID, k.fetch(w).JID, "jid")
	}},
	{"queue-resume-wakes", "a FETCH that waits gets a job when its queue is resumed", func(k *fk) {
		p, w := k.producer(), k.worker()
		k.ok(p, "QUEUE", "PAUSE "+k.queue(""))
		j := k.push(p, k.job(nil))
		k.must(w.Send("FETCH", k.queue("")))
		k.ok(p, "QUEUE", "RESUME "+k.queue(""))
		r, err := w.Read()
		k.must(err)
		if !has(r.Text, j.JID) {
			k.equal(j.JID, k.fetch(w).JID, "jid")
		}
	}},
	{"queue-remove", "REMOVE empties a queue", func(k *fk) {
		p, w := k.producer(), k.worker()
		k.push(p, k.job(nil))
		k.ok(p, "QUEUE", "REMOVE "+k.queue(""))
		k.none(w)
	}},
	{"track-unknown", "TRACK GET of a job that is not known says so", func(k *fk) { k.equal("unknown", k.state(k.producer(), "nobody-knows-it"), "state") }},
	{"track-states", "TRACK GET follows a job from enqueued to working", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.push(p, k.job(nil))
		k.equal("enqueued", k.state(p, j.JID), "before")
		k.fetch(w)
		k.equal("working", k.state(p, j.JID), "after the FETCH")
	}},
	{"track-set", "what a worker sets with TRACK SET is read with TRACK GET", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.push(p, k.job(nil))
		k.fetch(w)
		k.ok(w, "TRACK", fmt.Sprintf(`SET {"jid":%q,"percent":42,"desc":"halfway"}`, j.JID))
		r := k.do(p, "TRACK", "GET "+j.JID)
		var t struct {
			Percent int
			Desc    string
		}
		k.must(json.Unmarshal([]byte(r.Text), &t))
		k.equal(42, t.Percent, "percent")
		k.equal("halfway", t.Desc, "desc")
	}},
	{"unique", "a second PUSH of the same jobtype, args and queue within unique_for gets NOTUNIQUE", func(k *fk) {
		p := k.producer()
		unique := func(j *client.Job) { j.Custom = map[string]any{"unique_for": 60} }
		k.push(p, k.job(unique))
		text, _ := json.Marshal(k.job(unique))
		if r := k.do(p, "PUSH", string(text)); !strings.HasPrefix(r.Err, "NOTUNIQUE") {
			k.fail("got %s%s", r.Text, r.Err)
		}
	}},
	{"unique-other-args", "other args are another job", func(k *fk) {
		p := k.producer()
		k.push(p, k.job(func(j *client.Job) { j.Custom = map[string]any{"unique_for": 60} }))
		k.push(p, k.job(func(j *client.Job) { j.Custom, j.Args = map[string]any{"unique_for": 60}, []any{2} }))
	}},
	{"unique-until-success", "a unique job may be pushed again once it was done", func(k *fk) {
		p, w := k.producer(), k.worker()
		unique := func(j *client.Job) { j.Custom = map[string]any{"unique_for": 60} }
		j := k.push(p, k.job(unique))
		k.fetch(w)
		k.must(w.Ack(j.JID))
		k.push(p, k.job(unique))
	}},
	{"unique-until-start", "one with unique_until start may be pushed again once it was fetched", func(k *fk) {
		p, w := k.producer(), k.worker()
		unique := func(j *client.Job) { j.Custom = map[string]any{"unique_for": 60, "unique_until": "start"} }
		k.push(p, k.job(unique))
		k.fetch(w)
		k.push(p, k.job(unique))
	}},
	{"expires", "a job whose expires_at is past is not given", func(k *fk) {
		p, w := k.producer(), k.worker()
		k.push(p, k.job(func(j *client.Job) { j.Custom = map[string]any{"expires_at": soon(-time.Second)} }))
		k.none(w)
	}},
	{"expires-later", "a job whose expires_at is to come is given", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.push(p, k.job(func(j *client.Job) { j.Custom = map[string]any{"expires_at": soon(time.Hour)} }))
		k.equal(j.JID, k.fetch(w).JID, "jid")
	}},
	{"reserve", "a job whose reservation ran out is taken for failed", func(k *fk) {
		p, w := k.producer(), k.worker()
		j := k.push(p, k.job(func(j *client.Job) { j.ReserveFor, j.Retry = 1, ptr(0) }))
		k.fetch(w)
		k.eventually("the job is dead", func() bool { return k.state(p, j.JID) == "dead" })
		k.must(w.Ack(j.JID))
		k.equal("dead", k.state(p, j.JID), "after a late ACK")
	}},
}
