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
	var update struct {
		JID     string `json:"jid"`
		Percent *int   `json:"percent"`
		Desc    string `json:"desc"`
		Until   string `json:"reserve_until"`
	}
	if err := json.Unmarshal([]byte(arg), &update); err != nil || update.JID == "" {
		s.reply(errorReply("malformed TRACK SET: an object with a jid is needed"))
		return
	}
	j := f.jobs.Find(update.JID)
	switch {
	case j == nil:
		s.reply(errorReplyf("job %.128s is not known", update.JID))
	case j.State.IsFinal():
		s.reply(errorReplyf("job %s has ended: %s", j.ID, j.State))
	case update.Percent != nil && (*update.Percent < 0 || *update.Percent > 100):
		s.reply(errorReply("percent: 0 to 100 are possible"))
	case update.Until != "":
		until, err := time.Parse(time.RFC3339Nano, update.Until)
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
		if update.Percent != nil {
			j.Progress.Percent = *update.Percent
		}
		if update.Desc != "" {
			j.Progress.Desc = update.Desc[:min(len(update.Desc), maxDescBytes)]
		}
		s.reply(replyOK)
	}
}

// queue handles QUEUE PAUSE|RESUME|REMOVE|LATENCY with queue names, or * for all queues.
func (f *Front) queue(s *session, cmd *parsedCommand) {
	words := strings.Fields(string(cmd.arg))
	if len(words) < 2 {
		s.reply(errorReply("QUEUE takes PAUSE, RESUME, REMOVE or LATENCY, and names or *"))
		return
	}
	verb, names, now := strings.ToUpper(words[0]), words[1:], f.loop.Now()
	allStats := f.jobs.QueueStats(now)
	if slices.Equal(names, []string{"*"}) {
		names = nil
		for _, stats := range allStats {
			names = append(names, stats.Name)
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
		for _, stats := range allStats {
			if slices.Contains(names, stats.Name) {
				out[stats.Name] = float64(stats.Latency) / float64(core.Second)
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
func (f *Front) mutate(s *session, cmd *parsedCommand) {
	var args struct {
		Cmd    string `json:"cmd"`
		Target string `json:"target"`
		Filter *struct {
			JIDs    []string `json:"jids"`
			Regexp  string   `json:"regexp"` // a glob with *, ? and [...], over the whole payload
			Jobtype string   `json:"jobtype"`
		} `json:"filter"`
	}
	if err := json.Unmarshal(cmd.arg, &args); err != nil {
		s.reply(errorReply("malformed MUTATE: " + err.Error()))
		return
	}
	mutation := jobs.Mutation{Command: jobs.Command(args.Cmd), Set: jobs.Set(args.Target)}
	switch {
	case !slices.Contains([]jobs.Command{jobs.Kill, jobs.Discard, jobs.Requeue, jobs.Clear}, mutation.Command):
		s.reply(errorReplyf("MUTATE: cmd: %.32q is none of clear, kill, discard, requeue", args.Cmd))
		return
	case !slices.Contains([]jobs.Set{jobs.SetScheduled, jobs.SetRetries, jobs.SetDead}, mutation.Set):
		s.reply(errorReplyf("MUTATE: target: %.32q is none of scheduled, retries, dead", args.Target))
		return
	}
	if args.Filter != nil && mutation.Command != jobs.Clear {
		pattern, err := compileGlob(args.Filter.Regexp)
		if err != nil {
			s.reply(errorReplyf("MUTATE: filter.regexp: %v", err))
			return
		}
		mutation.IDs = args.Filter.JIDs
		mutation.Matches = func(j *jobs.Job) bool {
			return (args.Filter.Jobtype == "" || j.Type == args.Filter.Jobtype) && (pattern == nil || pattern.MatchString(j.Payload))
		}
	}
	f.lastToken++
	if !f.jobs.Mutate(mutation, f.lastToken) {
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
	stats, now := f.jobs.Stats(), f.loop.Now()
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
	size := func(n int) map[string]any { return map[string]any{"size": n} }
	totals := &stats.Totals
	rejected := map[string]uint64{"not_unique": totals.NotUnique}
	for reason, count := range f.rejected {
		rejected[reason] += count
	}
	for reason, count := range totals.RejectedByReason {
		rejected[string(reason)] += count
	}
	cfg := &f.conf.Faktory
	text, _ := json.Marshal(map[string]any{
		"now":             clock.Wall().UTC().Format(time.RFC3339Nano),
		"server_utc_time": clock.Wall().UTC().Format("15:04:05 UTC"),
		"faktory": map[string]any{
			"total_enqueued": stats.Enqueued, "total_processed": totals.Served + totals.FailedRuns, "total_failures": totals.FailedRuns,
			"total_queues": stats.Queues, "queues": queues, "default_size": queues[cfg.Queue],
			"tasks": map[string]any{"Scheduled": size(stats.Scheduled), "Retries": size(stats.Retries), "Dead": size(stats.Dead),
				"Working": size(stats.Working), "Enqueued": size(stats.Enqueued)},
		},
		"server": map[string]any{"description": "cobaltflow", "faktory_version": "1.9.0",
			"uptime": int((clock.Monotonic() - f.startedAt).Seconds()), "connections": f.sessions.Len(), "command_count": f.commandCount},
		"cobaltflow": map[string]any{
			"held": stats.Held, "max_held_jobs": cfg.MaxHeldJobs, "held_bytes": stats.HeldBytes, "max_held_bytes": cfg.MaxHeldMB << 20,
			"scheduled": stats.Scheduled, "max_scheduled": cfg.MaxScheduled, "retries": stats.Retries, "max_retries": cfg.MaxRetries,
			"dead": stats.Dead, "max_dead": cfg.MaxDead, "dead_forgotten": totals.DeadEvicted, "ended": stats.Ended, "kept_jobs": cfg.MaxEndedJobs,
			"ended_forgotten": totals.EndedEvicted, "locks": stats.Locks, "clients": stats.Clients, "input_bytes": f.inputBytes.Load(),
			"max_input_bytes": f.maxInputBytes, "served": totals.Served, "refused": totals.Refused, "failed": totals.Failed, "died": totals.Dead,
			"retried": totals.Retried, "turned_away": rejected, "paused": paused, "latency_s": latency, "workers": workers,
			"in_core": f.core.OpenRequests(), "draining": f.draining,
		},
	})
	return text
}
