package platform

import (
	"encoding/json"
	"strconv"
	"strings"

	"cobaltflow/internal/core"
	"cobaltflow/internal/http1"
	"cobaltflow/rules"
)

// JobEvent is the body of a worker's callback about a job.
type JobEvent struct {
	ID           string          `json:"id"`     // of the job
	From         string          `json:"from"`   // name of the worker
	State        string          `json:"state"`  // started, running, done, failed, returned or lost
	FractionDone float64         `json:"share"`  // progress of a running job, 0 to 1
	Result       json.RawMessage `json:"result"` // of a job that is done
	Load         json.RawMessage `json:"load"`   // the worker's load report, see parseLoad
}

// handleCallback applies a worker's callback. A callback for a job that has ended is answered 204 as well, since the worker
// would retry it otherwise. One for an ID that this process has never seen is for the scheduler's other processes, see
// handleUnknownCallback. The result reports whether the callback is answered later.
func (f *Front) handleCallback(c *clientConn, req *http1.Request) (waits bool) {
	c.isCallback = true
	var event JobEvent
	if err := json.Unmarshal(req.Body, &event); err != nil || event.ID == "" || event.From == "" || event.State == "" {
		f.rejectRequest(c, 400, "not a job event")
		return false
	}
	attempt, inFlight := f.core.FindAttempt(event.ID, event.From)
	if !inFlight && !f.admission.HasSeenID(event.ID) {
		return f.handleUnknownCallback(c, req)
	}
	f.reply(c, 204, nil, req.KeepAlive)
	f.core.WorkerResponded(event.From)
	if !inFlight {
		return false // the attempt has ended or was cancelled
	}
	transportState, _ := attempt.TransportState.(*attemptState)
	if transportState == nil || transportState.state < stateWriting {
		return false // the request was never written to this worker, so the callback is about another one
	}
	load := parseLoad(event.Load)
	switch event.State {
	case "started":
		f.core.AttemptStarted(attempt.Ref)
	case "running":
		f.core.AttemptProgress(attempt.Ref, event.FractionDone)
	case "done":
		f.endAttempt(attempt, rules.OK, resultBody(event.Result), load)
	case "failed":
		f.endAttempt(attempt, rules.Error, nil, load)
	case "returned":
		f.endAttempt(attempt, rules.Refused, nil, load)
	case "lost":
		f.endAttempt(attempt, rules.Reset, nil, load)
	}
	return false
}

// resultBody returns the body of the client's answer: the text of a result that is a JSON string, else the JSON itself.
func resultBody(raw json.RawMessage) []byte {
	var s string
	if len(raw) > 0 && raw[0] == '"' && json.Unmarshal(raw, &s) == nil {
		return []byte(s)
	}
	return raw
}

// parseLoad parses a load report in either of its forms: a JSON object, or the name=value pairs of the load header. Unknown
// names and unusable values are skipped.
func parseLoad(raw []byte) (l rules.Load) {
	text := strings.TrimSpace(string(raw))
	text = strings.TrimPrefix(text, "JSON ")
	if strings.HasPrefix(text, "{") {
		var values map[string]any
		if json.Unmarshal([]byte(text), &values) == nil {
			for name, v := range values {
				if n, ok := v.(float64); ok {
					setLoad(&l, name, n)
				}
			}
		}
		return l
	}
	for pair := range strings.SplitSeq(strings.TrimPrefix(text, "TEXT "), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			setLoad(&l, name, v)
		}
	}
	return l
}

// maxLoadValue is above any count that a worker can really have. A larger value is ignored, since one implausible value
// would distort the moving averages for a long time.
const maxLoadValue = 1e6

// setLoad sets one value of a load report by the protocol's name or by the name used in the settings.
func setLoad(l *rules.Load, name string, v float64) {
	if !(v >= 0 && v <= maxLoadValue) {
		return
	}
	switch name {
	case "queue", "waiting":
		l.Queue, l.Has = v, l.Has|rules.HasQueue
	case "inflight", "active":
		l.InFlight, l.Has = v, l.Has|rules.HasInFlight
	case "util", "cpu":
		l.Util, l.Has = v, l.Has|rules.HasUtil
	case "x0":
		l.FreeSlots, l.Has = v, l.Has|rules.HasFreeSlots
	case "x1":
		l.FreeMem, l.Has = v, l.Has|rules.HasFreeMem
	}
}

var _ core.Client = (*clientConn)(nil)
