package faktory

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tidwall/gjson"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/core"
	"cobaltflow/internal/front/admission"
	"cobaltflow/internal/jobs"
)

// Limits of a payload.
const (
	maxIDBytes     = 128
	minIDBytes     = 8
	maxArgsBytes   = 64 << 10         // as for a request of the HTTP fronts
	maxTimeLeftMS  = 24 * 3600 * 1000 // 24 h
	maxSpanSeconds = 366 * 24 * 3600  // 366 days
)

// jobOverheadBytes is the memory that a held job takes beyond its payload.
const jobOverheadBytes = 400

// fieldParser parses one key of the public job payload ("The Job Payload" of the Faktory wiki), or of its custom
// object. kind is the JSON type that the value must have.
type fieldParser struct {
	kind  string
	parse func(p *jobParser, v gjson.Result) error
}

// jobParser is the state of parsing one payload.
type jobParser struct {
	front     *Front
	job       *jobs.Job
	args      string
	uniqueFor float64
	err       error
}

// optionsOf returns the options of the job, which it creates if need be.
func optionsOf(p *jobParser) *jobs.Options {
	if p.job.Options == nil {
		p.job.Options = &jobs.Options{}
	}
	return p.job.Options
}

// textField parses a string.
func textField(dest func(p *jobParser) *string) fieldParser {
	return fieldParser{"string", func(p *jobParser, v gjson.Result) error { *dest(p) = v.Str; return nil }}
}

// intField parses a whole number from minimum to maximum.
func intField(minimum, maximum int64, set func(p *jobParser, n int64)) fieldParser {
	return fieldParser{"number", func(p *jobParser, v gjson.Result) error {
		if v.Num != math.Trunc(v.Num) || v.Num < float64(minimum) || v.Num > float64(maximum) {
			return fmt.Errorf("%s is no whole number from %d to %d", v.Raw, minimum, maximum)
		}
		set(p, int64(v.Num))
		return nil
	}}
}

// timeField parses a time of RFC 3339; an empty string leaves the field unset.
func timeField(dest func(p *jobParser) *core.Time) fieldParser {
	return fieldParser{"string", func(p *jobParser, v gjson.Result) error {
		if v.Str == "" {
			return nil
		}
		t, err := time.Parse(time.RFC3339Nano, v.Str)
		if err != nil {
			return errors.New("not a time of RFC 3339")
		}
		*dest(p) = max(1, p.front.loop.FromWall(t))
		return nil
	}}
}

// jobFields are the known keys of a job.
var jobFields = map[string]fieldParser{
	"jid":     textField(func(p *jobParser) *string { return &p.job.ID }),
	"jobtype": textField(func(p *jobParser) *string { return &p.job.Type }),
	"queue":   textField(func(p *jobParser) *string { return &p.job.Queue }),
	"args": {"array", func(p *jobParser, v gjson.Result) error {
		if p.args = v.Raw; len(v.Raw) > maxArgsBytes {
			return fmt.Errorf("%d bytes are over %d", len(v.Raw), maxArgsBytes)
		}
		p.job.ArgsOffset, p.job.ArgsLen = int32(v.Index), int32(len(v.Raw))
		return nil
	}},
	"at":          timeField(func(p *jobParser) *core.Time { return &p.job.NotBefore }),
	"retry":       intField(-1, 1<<20, func(p *jobParser, n int64) { p.job.Retry = int32(n) }),
	"reserve_for": intField(0, maxSpanSeconds, func(p *jobParser, n int64) { optionsOf(p).Reservation = n * core.Second }),
	"priority":    intField(jobs.MinPriority, jobs.MaxPriority, func(p *jobParser, n int64) { p.job.Priority = int32(n) }),
	"custom":      {"object", func(p *jobParser, v gjson.Result) error { p.parseObject(v, customFields, "custom."); return nil }},
}

// customFields are the known keys of a job's custom object.
var customFields = map[string]fieldParser{
	"time_left_ms": intField(1, maxTimeLeftMS, func(p *jobParser, n int64) { p.job.TimeLeft = n * core.Millisecond }),
	"key":          textField(func(p *jobParser) *string { return &optionsOf(p).Key }),
	"account": {"string", func(p *jobParser, v gjson.Result) error {
		optionsOf(p).Tenant = int32(p.front.conf.Names.Tenant([]byte(v.Str)))
		return nil
	}},
	"hint_us": intField(1, int64(admission.MaxHint), func(p *jobParser, n int64) { optionsOf(p).Hint = n }),
	"slots": {"number", func(p *jobParser, v gjson.Result) error {
		if optionsOf(p).Slots = v.Num; v.Num < 0 || v.Num > 1e6 {
			return errors.New("0 to 1000000 are possible")
		}
		return nil
	}},
	"expires_at": timeField(func(p *jobParser) *core.Time { return &optionsOf(p).ExpiresAt }),
	"unique_for": {"number", func(p *jobParser, v gjson.Result) error {
		optionsOf(p)
		if p.uniqueFor = v.Num; v.Num < 0 || v.Num > maxSpanSeconds {
			return errors.New("not a usable number of seconds")
		}
		return nil
	}},
	"unique_until": {"string", func(p *jobParser, v gjson.Result) error {
		if optionsOf(p).UniqueUntilStart = v.Str == "start"; !p.job.UniqueUntilStart && v.Str != "" && v.Str != "success" {
			return errors.New("start or success is possible")
		}
		return nil
	}},
}

// parseObject parses the known keys of an object; a null value counts as absent. The first error is kept in p.err.
func (p *jobParser) parseObject(object gjson.Result, fields map[string]fieldParser, prefix string) {
	object.ForEach(func(key, v gjson.Result) bool {
		f, known := fields[key.Str]
		if !known || v.Type == gjson.Null {
			return true
		}
		err := error(nil)
		if kind := jsonKind(v); kind != f.kind {
			err = fmt.Errorf("a %s can't stand here, a %s is needed", kind, f.kind)
		} else {
			err = f.parse(p, v)
		}
		if err != nil && p.err == nil {
			p.err = fmt.Errorf("malformed job: %s%s: %w", prefix, key.Str, err)
		}
		return p.err == nil
	})
}

func jsonKind(v gjson.Result) string {
	switch {
	case v.IsArray():
		return "array"
	case v.IsObject():
		return "object"
	case v.Type == gjson.String:
		return "string"
	case v.Type == gjson.Number:
		return "number"
	}
	return "boolean"
}

// parseJob parses a pushed job and copies its text, since the job outlives the command. It runs on a session's own
// goroutine and reads only fields that do not change after New.
func (f *Front) parseJob(text []byte, client string) (*jobs.Job, error) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 || text[0] != '{' || !gjson.ValidBytes(text) {
		return nil, errors.New("malformed job: not an object of JSON")
	}
	// One allocation holds the payload; ID, Type and Queue are substrings of it.
	payload := string(text)
	j := &jobs.Job{Priority: jobs.DefaultPriority, Retry: jobs.DefaultRetries, Client: client}
	p := jobParser{front: f, job: j}
	if p.parseObject(gjson.Parse(payload), jobFields, ""); p.err != nil {
		return nil, p.err
	}
	if !isValidID(j.ID) {
		return nil, errors.New("malformed job: jid: 8 to 128 plain characters are needed")
	}
	if j.Type == "" {
		return nil, errors.New("malformed job: jobtype: missing")
	}
	if p.args == "" {
		return nil, errors.New("malformed job: args: an array is needed")
	}
	if j.Class = int32(f.conf.JobClass(j.Type)); j.Class < 0 {
		return nil, fmt.Errorf("no class for jobtype %.64q", j.Type)
	}
	if j.Queue == "" {
		j.Queue = f.conf.Faktory.Queue
	}
	if !isValidQueueName(j.Queue) {
		return nil, errors.New("malformed job: queue: 1 to 128 of letters, digits and .-_ are needed")
	}
	if p.uniqueFor > 0 {
		j.UniqueFor = core.Time(p.uniqueFor * float64(core.Second))
		j.Fingerprint = sha256.Sum256([]byte(j.Type + "\x00" + j.Queue + "\x00" + p.args))
	}
	j.Payload = payload
	j.Size = int32(len(payload) + jobOverheadBytes)
	return j, nil
}

// isValidID reports whether a jid has minIDBytes to maxIDBytes bytes of visible ASCII, without those that separate fields
// and URLs.
func isValidID(id string) bool {
	return len(id) >= minIDBytes && len(id) <= maxIDBytes && !strings.ContainsFunc(id, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`,"/?#%`, r)
	})
}

// isValidQueueName reports whether a queue name has 1 to maxIDBytes bytes, all of them letters, digits or one of .-_
func isValidQueueName(name string) bool {
	return name != "" && len(name) <= maxIDBytes && !strings.ContainsFunc(name, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(".-_", r))
	})
}

// failureJSON is the failure object of a job that has failed before.
type failureJSON struct {
	RetryCount int      `json:"retry_count"`
	Remaining  int      `json:"remaining"`
	FailedAt   string   `json:"failed_at"`
	Message    string   `json:"message,omitempty"`
	Type       string   `json:"errtype,omitempty"`
	Backtrace  []string `json:"backtrace,omitempty"`
}

// failureJSONOf returns the failure object of a job; nil: no run of it has failed.
func (f *Front) failureJSONOf(j *jobs.Job) *failureJSON {
	if j.Failure == nil {
		return nil
	}
	return &failureJSON{RetryCount: int(j.Failures) - 1, Remaining: int(max(0, j.Retry-j.Failures+1)), FailedAt: f.formatTime(j.Failure.At),
		Message: j.Failure.Message, Type: j.Failure.Type, Backtrace: j.Failure.Backtrace}
}

func (f *Front) formatTime(at core.Time) string {
	return f.loop.ToWall(at).UTC().Format(time.RFC3339Nano)
}

// withTimeLeft returns a pushed job's payload with what is left of its client's time in place of what was left at its PUSH.
func withTimeLeft(payload string, left core.Time) string {
	pushed := gjson.Get(payload, "custom.time_left_ms")
	if pushed.Index == 0 {
		return payload
	}
	return payload[:pushed.Index] + strconv.FormatInt(max(1, left/core.Millisecond), 10) + payload[pushed.Index+len(pushed.Raw):]
}

// fetchPayload is the reply to a worker's FETCH: a pushed job as it was pushed, but for the time left, with the failure of its
// last run, if any; any other request as a job whose single argument describes the request.
func (f *Front) fetchPayload(req *core.Request) []byte {
	if r, ok := req.Client.(*jobRequest); ok {
		j := r.job
		payload := j.Payload
		if j.Deadline() > 0 {
			payload = withTimeLeft(payload, j.Deadline()-f.loop.Now())
		}
		if j.Failure == nil {
			return []byte(payload)
		}
		text, _ := json.Marshal(f.failureJSONOf(j))
		return []byte(strings.TrimSuffix(payload, "}") + `,"failure":` + string(text) + "}")
	}
	request := map[string]string{"target": req.Job.Target}
	if utf8.Valid(req.Job.Body) {
		request["body"] = string(req.Job.Body)
	} else {
		b, _ := json.Marshal(req.Job.Body) // base64, in quotes
		request["body_base64"] = string(b[1 : len(b)-1])
	}
	leftMS := max(1, req.TimeLeft(f.loop.Now())/core.Millisecond)
	b, err := json.Marshal(map[string]any{
		"jid": req.ID, "jobtype": f.conf.Names.Classes[req.Job.Class], "queue": f.conf.Faktory.Queue,
		"args": []any{request}, "retry": 0, "reserve_for": (leftMS + 999) / 1000,
		"created_at": clock.Wall().UTC().Format(time.RFC3339Nano),
		"custom":     map[string]any{"time_left_ms": leftMS},
	})
	if err != nil {
		f.log.Error("faktory: job not encoded", "error", err)
	}
	return b
}
