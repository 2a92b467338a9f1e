package faktory

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/core"
	"cobaltflow/internal/jobs"
)

// The commands of operators: TRACK, QUEUE, MUTATE, FLUSH and INFO.

// trackReply is the reply to TRACK GET.
func (f *Front) trackReply(jid string) map[string]any {
	out := map[string]any{"jid": jid, "state": jobs.Unknown.String()}
	j := f.jobs.Find(jid)
	if j == nil {
		return out
	}
	out["state"], out["updated_at"] = j.State.String(), f.formatTime(j.StateSince)
	if j.Progress != nil {
		out["percent"], out["desc"] = j.Progress.Percent, j.Progress.Desc
	}
	if j.Reason != "" {
		out["reason"] = string(j.Reason)
	}
	if j.Result != "" {
		out["result"] = j.Result
	}
	if j.Failure != nil {
		out["failure"] = f.failureJSONOf(j)
	}
	return out
}

const maxDescBytes = 300

// trackSet stores the progress that a worker reports with TRACK SET, and extends its reservation by reserve_until.
func (f *Front) trackSet(s *session, arg string) {
	var t struct {
		JID     string `json:"jid"`
		Percent *int   `json:"percent"`
		Desc    string `json:"desc"`
		Until   string `json:"reserve_until"`
	}
	if err := json.Unmarshal([]byte(arg), &t); err != nil || t.JID == "" {
		s.reply(errorReply("malformed TRACK SET: an object with a jid is needed"))
		return
	}
	j := f.jobs.Find(t.JID)
	switch {
	case j == nil:
		s.reply(errorReplyf("job %.128s is not known", t.JID))
	case j.State.IsFinal():
		s.reply(errorReplyf("job %s has ended: %s", j.ID, j.State))
	case t.Percent != nil && (*t.Percent < 0 || *t.Percent > 100):
		s.reply(errorReply("percent: 0 to 100 are possible"))
	case t.Until != "":
		until, err := time.Parse(time.RFC3339Nano, t.Until)
		if err != nil {
			s.reply(errorReply("reserve_until: not a time of RFC 3339"))
			return
		}
		f.jobs.Extend(j, min(f.loop.FromWall(until), f.loop.Now()+maxSpanSeconds*core.Second))
		fallthrough
	default:
		if j.Progress == nil {
			j.Progress = &jobs.Progress{}
		}
		if t.Percent != nil {
			j.Progress.Percent = *t.Percent
		}
		if t.Desc != "" {
			j.Progress.Desc = t.Desc[:min(len(t.Desc), maxDescBytes)]
		}
		s.reply(replyOK)
	}
}

// queue handles QUEUE PAUSE|RESUME|REMOVE|LATENCY with queue names, or * for all queues.
func (f *Front) queue(s *session, q *parsedCommand) {
	words := strings.Fields(string(q.arg))
	if len(words) < 2 {
		s.reply(errorReply("QUEUE takes PAUSE, RESUME, REMOVE or LATENCY, and names or *"))
		return
	}
	verb, names, now := strings.ToUpper(words[0]), words[1:], f.loop.Now()
	figures := f.jobs.QueueStats(now)
	if slices.Equal(names, []string{"*"}) {
		names = nil
		for _, one := range figures {
			names = append(names, one.Name)
		}
	}
	for _, name := range names {
		if !isValidQueueName(name) {
			s.reply(errorReplyf("unusable queue name %.32q", name))
			return
		}
	}
	switch verb {
	case "PAUSE":
		for _, name := range names {
			if !f.jobs.PauseQueue(now, name) {
				s.reply(errorReplyf("refused, %s is reached", jobs.LimitQueues))
				return
			}
		}
	case "RESUME":
		for _, name := range names {
			f.jobs.ResumeQueue(now, name)
		}
	case "REMOVE":
		for _, name := range names {
			f.jobs.RemoveQueue(now, name)
		}
	case "LATENCY":
		out := map[string]float64{}
		for _, one := range figures {
			if slices.Contains(names, one.Name) {
				out[one.Name] = float64(one.Latency) / float64(core.Second)
			}
		}
		text, _ := json.Marshal(out)
		s.reply(bulkReply(text))
		return
	default:
		s.reply(errorReplyf("QUEUE %.32q is not known", verb))
		return
	}
	s.reply(replyOK)
}

// mutate changes the jobs of a set that match a filter ("Mutate API" of the Faktory wiki). The reply comes when all are
// done.
func (f *Front) mutate(s *session, q *parsedCommand) {
	var m struct {
		Cmd    string `json:"cmd"`
		Target string `json:"target"`
		Filter *struct {
			JIDs    []string `json:"jids"`
			Regexp  string   `json:"regexp"` // a glob with *, ? and [...], over the whole payload
			Jobtype string   `json:"jobtype"`
		} `json:"filter"`
	}
	if err := json.Unmarshal(q.arg, &m); err != nil {
		s.reply(errorReply("malformed MUTATE: " + err.Error()))
		return
	}
	mu := jobs.Mutation{Command: jobs.Command(m.Cmd), Set: jobs.Set(m.Target)}
	switch {
	case !slices.Contains([]jobs.Command{jobs.Kill, jobs.Discard, jobs.Requeue, jobs.Clear}, mu.Command):
		s.reply(errorReplyf("MUTATE: cmd: %.32q is none of clear, kill, discard, requeue", m.Cmd))
		return
	case !slices.Contains([]jobs.Set{jobs.SetScheduled, jobs.SetRetries, jobs.SetDead}, mu.Set):
		s.reply(errorReplyf("MUTATE: target: %.32q is none of scheduled, retries, dead", m.Target))
		return
	}
	if m.Filter != nil && mu.Command != jobs.Clear {
		match, err := compileGlob(m.Filter.Regexp)
		if err != nil {
			s.reply(errorReplyf("MUTATE: filter.regexp: %v", err))
			return
		}
		mu.IDs = m.Filter.JIDs
		mu.Matches = func(j *jobs.Job) bool {
			return (m.Filter.Jobtype == "" || j.Type == m.Filter.Jobtype) && (match == nil || match.MatchString(j.Payload))
		}
	}
	f.lastToken++
	if !f.jobs.Mutate(mu, f.lastToken) {
		s.reply(errorReplyf("refused, %d mutations are under way, return in 1.000 s", jobs.MaxMutations))
		return
	}
	s.isBlocked = true
	f.mutationWaiters[f.lastToken] = s
}

// MutationDone implements jobs.Actions.
func (h host) MutationDone(token uint64, m jobs.Mutation) {
	s := h.f.mutationWaiters[token]
	delete(h.f.mutationWaiters, token)
	h.f.log.Info("faktory: mutation done", "command", string(m.Command), "set", string(m.Set), "changed", m.Changed)
	if s == nil || s.Ended {
		return
	}
	for _, reason := range []jobs.Reason{jobs.MayHaveRun, jobs.Expired} {
		if count := m.Rejected[reason]; count > 0 {
			s.finishCommand(errorReplyf("%d jobs were changed, %d not: %s, for instance %s", m.Changed, count, rejectionTexts[reason], m.RejectedExample[reason]))
			return
		}
	}
	for reason, count := range m.Rejected {
		s.finishCommand(errorReplyf("%d jobs were changed, %d not: %s is reached", m.Changed, count, reason))
		return
	}
	s.finishCommand(replyOK)
}

var rejectionTexts = map[jobs.Reason]string{
	jobs.MayHaveRun: "they may have run, and their class must never run twice (may-have-run)",
	jobs.Expired:    "their expires_at is past (expired)",
}

// compileGlob compiles a filter pattern in the public Faktory server's syntax; nil for an empty one, which matches all
// jobs.
func compileGlob(pattern string) (*regexp.Regexp, error) {
	if pattern == "" {
		return nil, nil
	}
	if len(pattern) > 1024 {
		return nil, fmt.Errorf("%d bytes are over 1024", len(pattern))
	}
	var b strings.Builder
	b.WriteString(`(?s)\A`)
	for i := 0; i < len(pattern); i++ {
		switch c := pattern[i]; c {
		case '*':
			b.WriteString(".*")
		case '?':
			b.WriteString(".")
		case '[':
			end := strings.IndexByte(pattern[i+1:], ']')
			if end < 1 {
				return nil, fmt.Errorf("[ at %d has no end", i)
			}
			set := strings.NewReplacer(`\`, `\\`, "[", `\[`).Replace(pattern[i+1 : i+1+end])
			b.WriteString("[" + set + "]")
			i += end + 1
		case '\\':
			if i++; i == len(pattern) {
				return nil, fmt.Errorf("nothing follows the last \\")
			}
			b.WriteString(regexp.QuoteMeta(pattern[i : i+1]))
		default:
			b.WriteString(regexp.QuoteMeta(string(c)))
		}
	}
	b.WriteString(`\z`)
	return regexp.Compile(b.String())
}

// flush handles FLUSH: it ends and removes all jobs, if faktory.allow_flush is set. The reply comes when that is done.
func (f *Front) flush(s *session, _ *parsedCommand) {
	if !f.conf.Faktory.AllowFlush {
		s.reply(errorReply("FLUSH is off: faktory.allow_flush switches it on"))
		return
	}
	f.log.Warn("faktory: FLUSH", "peer", s.Peer)
	f.jobs.Flush()
	s.isBlocked = true
	f.flushWaiters = append(f.flushWaiters, s)
}

// info is the reply to INFO, in the shape of the public Faktory server's, with cobaltflow's own figures beside it.
func (f *Front) info() []byte {
	n, now := f.jobs.Stats(), f.loop.Now()
	queues, paused, latency := map[string]int{}, []string{}, map[string]float64{}
	for _, q := range f.jobs.QueueStats(now) {
		queues[q.Name], latency[q.Name] = q.Enqueued, float64(q.Latency)/float64(core.Second)
		if q.Paused {
			paused = append(paused, q.Name)
		}
	}
	workers := []map[string]any{}
	for _, w := range f.workers {
		workers = append(workers, map[string]any{"wid": w.wid, "working": len(w.fetched), "connections": w.sessionCount, "state": w.state, "rss_kb": w.rssKB})
	}
	size := func(k int) map[string]any { return map[string]any{"size": k} }
	t := &n.Totals
	turned := map[string]uint64{"not_unique": t.NotUnique}
	for why, k := range f.rejected {
		turned[why] += k
	}
	for why, k := range t.RejectedByReason {
		turned[string(why)] += k
	}
	k := &f.conf.Faktory
	text, _ := json.Marshal(map[string]any{
		"now":             clock.Wall().UTC().Format(time.RFC3339Nano),
		"server_utc_time": clock.Wall().UTC().Format("15:04:05 UTC"),
		"faktory": map[string]any{
			"total_enqueued": n.Enqueued, "total_processed": t.Served + t.FailedRuns, "total_failures": t.FailedRuns,
			"total_queues": n.Queues, "queues": queues, "default_size": queues[k.Queue],
			"tasks": map[string]any{"Scheduled": size(n.Scheduled), "Retries": size(n.Retries), "Dead": size(n.Dead),
				"Working": size(n.Working), "Enqueued": size(n.Enqueued)},
		},
		"server": map[string]any{"description": "cobaltflow", "faktory_version": "1.9.0",
			"uptime": int((clock.Monotonic() - f.startedAt).Seconds()), "connections": f.sessions.Len(), "command_count": f.commandCount},
		"cobaltflow": map[string]any{
			"held": n.Held, "max_held_jobs": k.MaxHeldJobs, "held_bytes": n.HeldBytes, "max_held_bytes": k.MaxHeldMB << 20,
			"scheduled": n.Scheduled, "max_scheduled": k.MaxScheduled, "retries": n.Retries, "max_retries": k.MaxRetries,
			"dead": n.Dead, "max_dead": k.MaxDead, "dead_forgotten": t.DeadEvicted, "ended": n.Ended, "kept_jobs": k.MaxEndedJobs,
			"ended_forgotten": t.EndedEvicted, "locks": n.Locks, "clients": n.Clients, "input_bytes": f.inputBytes.Load(),
			"max_input_bytes": f.maxInputBytes, "served": t.Served, "refused": t.Refused, "failed": t.Failed, "died": t.Dead,
			"retried": t.Retried, "turned_away": turned, "paused": paused, "latency_s": latency, "workers": workers,
			"in_core": f.core.OpenRequests(), "draining": f.draining,
		},
	})
	return text
}
