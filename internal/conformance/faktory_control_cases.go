package conformance

import (
	"encoding/json"
	"fmt"
)

// beatCases check BEAT.
var beatCases = []faktoryCase{
	{"beat", "BEAT of a worker is answered with OK", func(e *faktoryEnv) {
		w := e.dialWorker()
		e.expectOK(w, "BEAT", fmt.Sprintf(`{"wid":%q,"rss_kb":54176}`, e.workerID(1)))
	}},
	{"beat-quiet", "a worker whose BEAT has the state quiet gets no more jobs", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		e.expectNoJob(w)
		e.expectOK(w, "BEAT", fmt.Sprintf(`{"wid":%q,"current_state":"quiet"}`, e.workerID(1)))
		j := e.push(p, e.newJob(nil))
		e.expectNoJob(w)
		e.expectEqual(j.JID, e.fetch(e.dialWorker()).JID, "another worker's")
	}},
	{"beat-other", "BEAT for a wid that is not the session's is an error", func(e *faktoryEnv) { e.expectError(e.dialWorker(), "BEAT", `{"wid":"somebody-else"}`) }},
}

// infoCases check INFO, QUEUE and TRACK.
var infoCases = []faktoryCase{
	{"info-fields", "INFO reports queues, sets, uptime and connections", func(e *faktoryEnv) {
		info, err := e.dialProducer().Info()
		e.must(err)
		f, _ := info["faktory"].(map[string]any)
		s, _ := info["server"].(map[string]any)
		for _, key := range []string{"queues", "tasks", "total_enqueued", "total_processed", "total_failures", "total_queues"} {
			if f[key] == nil {
				e.fail("faktory.%s is missing", key)
			}
		}
		for _, key := range []string{"uptime", "connections", "command_count", "faktory_version"} {
			if s[key] == nil {
				e.fail("server.%s is missing", key)
			}
		}
		e.setSize(e.dialProducer(), "Retries")
		e.setSize(e.dialProducer(), "Dead")
	}},
	{"info-queue", "INFO counts the jobs of each queue", func(e *faktoryEnv) {
		p := e.dialProducer()
		e.push(p, e.newJob(nil))
		e.push(p, e.newJob(nil))
		info, err := p.Info()
		e.must(err)
		f, _ := info["faktory"].(map[string]any)
		q, _ := f["queues"].(map[string]any)
		e.expectEqual(2.0, q[e.queue("")], "its size")
	}},
	{"queue-pause", "a paused queue returns no job until it is resumed", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		e.expectOK(p, "QUEUE", "PAUSE "+e.queue(""))
		j := e.push(p, e.newJob(nil))
		e.expectNoJob(w)
		e.expectOK(p, "QUEUE", "RESUME "+e.queue(""))
		e.expectEqual(j.JID, e.fetch(w).JID, "jid")
	}},
	{"queue-resume-wakes", "a waiting FETCH gets a job when its queue is resumed", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		e.expectOK(p, "QUEUE", "PAUSE "+e.queue(""))
		j := e.push(p, e.newJob(nil))
		e.must(w.Send("FETCH", e.queue("")))
		e.expectOK(p, "QUEUE", "RESUME "+e.queue(""))
		r, err := w.Read()
		e.must(err)
		if !contains(r.Text, j.JID) {
			e.expectEqual(j.JID, e.fetch(w).JID, "jid")
		}
	}},
	{"queue-remove", "REMOVE empties a queue", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		e.push(p, e.newJob(nil))
		e.expectOK(p, "QUEUE", "REMOVE "+e.queue(""))
		e.expectNoJob(w)
	}},
	{"track-unknown", "TRACK GET of an unknown job returns the state unknown", func(e *faktoryEnv) {
		e.expectEqual("unknown", e.jobState(e.dialProducer(), "nobody-knows-it"), "state")
	}},
	{"track-states", "TRACK GET follows a job from enqueued to working", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.push(p, e.newJob(nil))
		e.expectEqual("enqueued", e.jobState(p, j.JID), "before")
		e.fetch(w)
		e.expectEqual("working", e.jobState(p, j.JID), "after the FETCH")
	}},
	{"track-set", "TRACK GET returns what a worker set with TRACK SET", func(e *faktoryEnv) {
		p, w := e.dialProducer(), e.dialWorker()
		j := e.push(p, e.newJob(nil))
		e.fetch(w)
		e.expectOK(w, "TRACK", fmt.Sprintf(`SET {"jid":%q,"percent":42,"desc":"halfway"}`, j.JID))
		r := e.do(p, "TRACK", "GET "+j.JID)
		var t struct {
			Percent int
			Desc    string
		}
		e.must(json.Unmarshal([]byte(r.Text), &t))
		e.expectEqual(42, t.Percent, "percent")
		e.expectEqual("halfway", t.Desc, "desc")
	}},
}
