package faktory

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"cobaltflow/internal/core"
	"cobaltflow/internal/jobs"
)

// wireJob is the part of the public job payload that is of use here ("The Job Payload" of the Faktory wiki).
type wireJob struct {
	JID        string          `json:"jid"`
	Jobtype    string          `json:"jobtype"`
	Args       json.RawMessage `json:"args"`
	Queue      string          `json:"queue"`
	At         string          `json:"at"`
	Retry      *int            `json:"retry"`
	ReserveFor int64           `json:"reserve_for"` // seconds
	Priority   *int            `json:"priority"`
	Custom     struct {
		TimeLeftMS  *int64  `json:"time_left_ms"` // for which the pusher waits, from the PUSH or from at
		Key         string  `json:"key"`          // what the job concerns
		Slots       float64 `json:"slots"`
		ExpiresAt   string  `json:"expires_at"` // it has to have started by then
		UniqueFor   float64 `json:"unique_for"` // seconds
		UniqueUntil string  `json:"unique_until"`
	} `json:"custom"`
}

// Bounds of a payload.
const (
	longestID   = 128
	shortestID  = 8
	longestArgs = 64 << 10 // bytes, as of a job of the HTTP front
	longestTime = 24 * 3600 * 1000
	longestSpan = 366 * 24 * 3600 // seconds
)

// jobOverhead is what a held job takes beyond its payload, in bytes; docs/measurements/faktory.md has it measured.
const jobOverhead = 400

// parseJob reads a pushed job; the text is copied, since the job outlives the command. It runs on a session's
// own goroutine and touches nothing that changes.
func (f *Front) parseJob(text []byte, client string) (*jobs.Job, error) {
	var p wireJob
	if err := json.Unmarshal(text, &p); err != nil {
		var typed *json.UnmarshalTypeError
		if errors.As(err, &typed) && typed.Field != "" {
			return nil, fmt.Errorf("malformed job: %s: a %s can't stand here", typed.Field, typed.Value)
		}
		return nil, fmt.Errorf("malformed job: %v", err)
	}
	if !goodID(p.JID) {
		return nil, errors.New("malformed job: jid: 8 to 128 plain characters are needed")
	}
	if p.Jobtype == "" {
		return nil, errors.New("malformed job: jobtype: missing")
	}
	if len(p.Args) == 0 || p.Args[0] != '[' {
		return nil, errors.New("malformed job: args: an array is needed")
	}
	if len(p.Args) > longestArgs {
		return nil, fmt.Errorf("malformed job: args: %d bytes are over %d", len(p.Args), longestArgs)
	}
	j := &jobs.Job{ID: p.JID, Type: p.Jobtype, Queue: p.Queue, Priority: jobs.UsualPriority, Retry: jobs.UsualRetry,
		Class: f.conf.JobClass(p.Jobtype), Client: client, Key: p.Custom.Key, Slots: p.Custom.Slots}
	if j.Class < 0 {
		return nil, fmt.Errorf("no class for jobtype %.64q", p.Jobtype)
	}
	if j.Queue == "" {
		j.Queue = f.conf.Faktory.Queue
	}
	if !goodQueue(j.Queue) {
		return nil, errors.New("malformed job: queue: 1 to 128 of letters, digits and .-_ are needed")
	}
	if p.Retry != nil {
		if j.Retry = *p.Retry; j.Retry < -1 {
			return nil, errors.New("malformed job: retry: -1 is the least")
		}
	}
	if p.Priority != nil {
		if j.Priority = *p.Priority; j.Priority < jobs.LowestPriority || j.Priority > jobs.HighestPriority {
			return nil, errors.New("malformed job: priority: 1 to 9 are possible")
		}
	}
	if p.ReserveFor < 0 || p.ReserveFor > longestSpan {
		return nil, errors.New("malformed job: reserve_for: not a usable number of seconds")
	}
	j.Reserve = p.ReserveFor * core.Second
	for _, t := range []struct {
		key, text string
		to        *core.Time
	}{{"at", p.At, &j.At}, {"custom.expires_at", p.Custom.ExpiresAt, &j.ExpiresAt}} {
		if t.text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, t.text)
		if err != nil {
			return nil, fmt.Errorf("malformed job: %s: not a time of RFC 3339", t.key)
		}
		*t.to = max(1, f.loop.FromWall(at))
	}
	if left := p.Custom.TimeLeftMS; left != nil {
		if *left <= 0 || *left > longestTime {
			return nil, fmt.Errorf("malformed job: custom.time_left_ms: 1 to %d are possible", int64(longestTime))
		}
		j.Left = *left * core.Millisecond
	}
	if j.Slots < 0 || j.Slots > 1e6 {
		return nil, errors.New("malformed job: custom.slots: 0 to 1000000 are possible")
	}
	if u := p.Custom.UniqueFor; u != 0 {
		if u < 0 || u > longestSpan {
			return nil, errors.New("malformed job: custom.unique_for: not a usable number of seconds")
		}
		switch p.Custom.UniqueUntil {
		case "", "success":
		case "start":
			j.UntilStart = true
		default:
			return nil, errors.New("malformed job: custom.unique_until: start or success is possible")
		}
		j.UniqueFor = core.Time(u * float64(core.Second))
		j.Fingerprint = sha256.Sum256([]byte(j.Type + "\x00" + j.Queue + "\x00" + string(p.Args)))
	}
	// One piece of memory holds the payload and, as parts of it where they can be, the names.
	j.Payload = append([]byte(nil), text...)
	if j.ArgsAt, j.ArgsLen = bytes.Index(text, p.Args), len(p.Args); j.ArgsAt < 0 {
		return nil, errors.New("malformed job: args: not readable")
	}
	j.Size = len(j.Payload) + jobOverhead
	return j, nil
}

func goodID(id string) bool {
	return len(id) >= shortestID && len(id) <= longestID && !strings.ContainsFunc(id, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`,"/?#%`, r)
	})
}

func goodQueue(name string) bool {
	return name != "" && len(name) <= longestID && !strings.ContainsFunc(name, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(".-_", r))
	})
}

// wireFailure is the failure that a job carries once a try has failed.
type wireFailure struct {
	RetryCount int      `json:"retry_count"`
	Remaining  int      `json:"remaining"`
	FailedAt   string   `json:"failed_at"`
	Message    string   `json:"message,omitempty"`
	Type       string   `json:"errtype,omitempty"`
	Backtrace  []string `json:"backtrace,omitempty"`
}

func (f *Front) failureOf(j *jobs.Job) *wireFailure {
	if j.Failure == nil {
		return nil
	}
	return &wireFailure{RetryCount: j.Failures - 1, Remaining: max(0, j.Retry-j.Failures+1), FailedAt: f.wall(j.Failure.At),
		Message: j.Failure.Message, Type: j.Failure.Type, Backtrace: j.Failure.Backtrace}
}

func (f *Front) wall(at core.Time) string { return f.loop.Wall(at).UTC().Format(time.RFC3339Nano) }

// payload is what a worker's FETCH is given: a pushed job as it came, with the failure of its last try, if any;
// any other transaction as a job whose one argument tells of the request.
func (f *Front) payload(t *core.Transaction) []byte {
	if try, ok := t.Agent.(*try); ok {
		j := try.job
		if j.Failure == nil {
			return j.Payload
		}
		text, _ := json.Marshal(f.failureOf(j))
		raw := strings.TrimRight(string(j.Payload), " \t\r\n")
		return []byte(strings.TrimSuffix(raw, "}") + `,"failure":` + string(text) + "}")
	}
	request := map[string]string{"target": t.Work.Target}
	if utf8.Valid(t.Work.Body) {
		request["body"] = string(t.Work.Body)
	} else {
		b, _ := json.Marshal(t.Work.Body) // base64, in quotes
		request["body_base64"] = string(b[1 : len(b)-1])
	}
	left := max(1, t.Left(f.loop.Now())/core.Millisecond)
	b, err := json.Marshal(map[string]any{
		"jid": t.ID, "jobtype": f.conf.Names.Classes[t.Work.Class], "queue": f.conf.Faktory.Queue,
		"args": []any{request}, "retry": 0, "reserve_for": (left + 999) / 1000,
		"created_at": time.Now().UTC().Format(time.RFC3339Nano),
		"custom":     map[string]any{"time_left_ms": left},
	})
	if err != nil {
		f.log.Error("faktory: a job could not be written", "error", err)
	}
	return b
}
