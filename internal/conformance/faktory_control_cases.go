package conformance

import (
	"encoding/json"
	"fmt"
)

// beatCases are BEAT.
var beatCases = []faktoryCase{
	{"beat", "BEAT of a worker is answered with OK", func(k *faktoryEnv) {
		w := k.dialWorker()
		k.expectOK(w, "BEAT", fmt.Sprintf(`{"wid":%q,"rss_kb":54176}`, k.workerID(1)))
	}},
	{"beat-quiet", "a worker whose BEAT says quiet is given nothing more", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		k.expectNoJob(w)
		k.expectOK(w, "BEAT", fmt.Sprintf(`{"wid":%q,"current_state":"quiet"}`, k.workerID(1)))
		j := k.push(p, k.newJob(nil))
		k.expectNoJob(w)
		k.expectEqual(j.JID, k.fetch(k.dialWorker()).JID, "another worker's")
	}},
	{"beat-other", "BEAT for a wid that is not the session's is an error", func(k *faktoryEnv) { k.expectError(k.dialWorker(), "BEAT", `{"wid":"somebody-else"}`) }},
}

// infoCases are INFO, QUEUE and TRACK.
var infoCases = []faktoryCase{
	{"info-fields", "INFO tells of queues, sets, uptime and connections", func(k *faktoryEnv) {
		info, err := k.dialProducer().Info()
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
		k.setSize(k.dialProducer(), "Retries")
		k.setSize(k.dialProducer(), "Dead")
	}},
	{"info-queue", "INFO counts the jobs of each queue", func(k *faktoryEnv) {
		p := k.dialProducer()
		k.push(p, k.newJob(nil))
		k.push(p, k.newJob(nil))
		info, err := p.Info()
		k.must(err)
		f, _ := info["faktory"].(map[string]any)
		q, _ := f["queues"].(map[string]any)
		k.expectEqual(2.0, q[k.queue("")], "its size")
	}},
	{"queue-pause", "a paused queue gives out nothing until it is resumed", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		k.expectOK(p, "QUEUE", "PAUSE "+k.queue(""))
		j := k.push(p, k.newJob(nil))
		k.expectNoJob(w)
		k.expectOK(p, "QUEUE", "RESUME "+k.queue(""))
		k.expectEqual(j.JID, k.fetch(w).JID, "jid")
	}},
	{"queue-resume-wakes", "a FETCH that waits gets a job when its queue is resumed", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		k.expectOK(p, "QUEUE", "PAUSE "+k.queue(""))
		j := k.push(p, k.newJob(nil))
		k.must(w.Send("FETCH", k.queue("")))
		k.expectOK(p, "QUEUE", "RESUME "+k.queue(""))
		r, err := w.Read()
		k.must(err)
		if !contains(r.Text, j.JID) {
			k.expectEqual(j.JID, k.fetch(w).JID, "jid")
		}
	}},
	{"queue-remove", "REMOVE empties a queue", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		k.push(p, k.newJob(nil))
		k.expectOK(p, "QUEUE", "REMOVE "+k.queue(""))
		k.expectNoJob(w)
	}},
	{"track-unknown", "TRACK GET of a job that is not known says so", func(k *faktoryEnv) {
		k.expectEqual("unknown", k.jobState(k.dialProducer(), "nobody-knows-it"), "state")
	}},
	{"track-states", "TRACK GET follows a job from enqueued to working", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.push(p, k.newJob(nil))
		k.expectEqual("enqueued", k.jobState(p, j.JID), "before")
		k.fetch(w)
		k.expectEqual("working", k.jobState(p, j.JID), "after the FETCH")
	}},
	{"track-set", "what a worker sets with TRACK SET is read with TRACK GET", func(k *faktoryEnv) {
		p, w := k.dialProducer(), k.dialWorker()
		j := k.push(p, k.newJob(nil))
		k.fetch(w)
		k.expectOK(w, "TRACK", fmt.Sprintf(`SET {"jid":%q,"percent":42,"desc":"halfway"}`, j.JID))
		r := k.do(p, "TRACK", "GET "+j.JID)
		var t struct {
			Percent int
			Desc    string
		}
		k.must(json.Unmarshal([]byte(r.Text), &t))
		k.expectEqual(42, t.Percent, "percent")
		k.expectEqual("halfway", t.Desc, "desc")
	}},
}
