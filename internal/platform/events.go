package platform

import (
	"encoding/json"
	"strconv"
	"strings"

	"cobaltflow/internal/core"
	"cobaltflow/internal/http1"
	"cobaltflow/rules"
)

// JobEvent is what a worker tells of a job.
type JobEvent struct {
	ID     string          `json:"id"`
	From   string          `json:"from"`
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result json.RawMessage `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// event takes a callback. One of a job that is no longer of use gets its 204 like any other, or the
// worker would try it again. One of an id never seen here is passed on to the scheduler's other processes, if there are any;
// where nobody knows it, it gets 503 and the connection is closed, and the worker's tries end after ten. It tells whether the
// connection waits for an answer that is given later.
func (f *Front) handleCallback(a *clientConn, q *http1.Request) (waits bool) {
	a.isCallback = true
	var e JobEvent
	if err := json.Unmarshal(q.Body, &e); err != nil || e.ID == "" || e.From == "" || e.State == "" {
		f.rejectRequest(a, 400, "not a job event")
		return false
	}
	p, out := f.core.FindAttempt(e.ID, e.From)
	if !out && !f.admission.Seen(e.ID) {
		if f.forwardCallback(a, q) {
			return true
		}
		f.refuseUnknownCallback(a)
		return false
	}
	f.reply(a, 204, nil, q.KeepAlive)
	f.core.WorkerResponded(e.From)
	if !out {
		return false // ended or withdrawn
	}
	c, _ := p.TransportState.(*attemptState)
	if c == nil || c.state < stateWriting {
		return false // not a pass that this worker can have got: it is none of ours
	}
	load := parseLoad(e.Load)
	switch e.State {
	case "started":
		f.core.AttemptStarted(p.Ref)
	case "running":
		f.core.AttemptProgress(p.Ref, e.Share)
	case "done":
		f.endAttempt(p, rules.OK, resultBody(e.Result), load)
	case "failed":
		f.endAttempt(p, rules.Error, nil, load)
	case "returned":
		f.endAttempt(p, rules.Refused, nil, load)
	case "lost":
		f.endAttempt(p, rules.Reset, nil, load)
	}
	return false
}

// result is the body for the client: the text itself where the result is one, else its JSON.
func resultBody(raw json.RawMessage) []byte {
	var s string
	if len(raw) > 0 && raw[0] == '"' && json.Unmarshal(raw, &s) == nil {
		return []byte(s)
	}
	return raw
}

// parseLoad reads a load report in either form: an object, or the text of the load header.
func parseLoad(raw []byte) (l rules.Load) {
	text := strings.TrimSpace(string(raw))
	text = strings.TrimPrefix(text, "JSON ")
	if strings.HasPrefix(text, "{") {
		var figures map[string]any
		if json.Unmarshal([]byte(text), &figures) == nil {
			for name, v := range figures {
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

// mostLoad is past any count that a worker can truly report. One that is believed once stays in the means
// for long, so a figure that can't be is no figure.
const maxLoadValue = 1e6

// addLoad knows the figures by the protocol's names and by the settings'.
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
