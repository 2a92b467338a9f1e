package faktory

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tidwall/gjson"

	"cobaltflow/internal/clock"
	"cobaltflow/internal/core"
	"cobaltflow/internal/front/admission"
	"cobaltflow/internal/jobs"
)

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

// field is one key of the public job payload ("The Job Payload" of the Faktory wiki), or of its custom object, with
// the JSON type that it has to have.
type field struct {
	kind string
	take func(p *parsing, v gjson.Result) error
}

// parsing is a payload as it is read.
type parsing struct {
	f    *Front
	j    *jobs.Job
	args string
	uFor float64
	bad  error
}

// optionsOf gives the options of the job that is read, made where it had none.
func optionsOf(p *parsing) *jobs.Options {
	if p.j.Options == nil {
		p.j.Options = &jobs.Options{}
	}
	return p.j.Options
}

// textField is a key whose value is a string.
func textField(to func(p *parsing) *string) field {
	return field{"string", func(p *parsing, v gjson.Result) error { *to(p) = v.Str; return nil }}
}

// wholeField is a key whose value is a whole number within bounds.
func wholeField(least, most int64, to func(p *parsing, n int64)) field {
	return field{"number", func(p *parsing, v gjson.Result) error {
		if v.Num != math.Trunc(v.Num) || v.Num < float64(least) || v.Num > float64(most) {
			return fmt.Errorf("%s is no whole number from %d to %d", v.Raw, least, most)
		}
		to(p, int64(v.Num))
		return nil
	}}
}

// timeField is a key whose value is a time of RFC 3339.
func timeField(to func(p *parsing) *core.Time) field {
	return field{"string", func(p *parsing, v gjson.Result) error {
		if v.Str == "" {
			return nil
		}
		t, err := time.Parse(time.RFC3339Nano, v.Str)
		if err != nil {
			return errors.New("not a time of RFC 3339")
		}
		*to(p) = max(1, p.f.loop.FromWall(t))
		return nil
	}}
}

// jobFields are the known keys of a job.
var jobFields = map[string]field{
	"jid":     textField(func(p *parsing) *string { return &p.j.ID }),
	"jobtype": textField(func(p *parsing) *string { return &p.j.Type }),
	"queue":   textField(func(p *parsing) *string { return &p.j.Queue }),
	"args": {"array", func(p *parsing, v gjson.Result) error {
		if p.args = v.Raw; len(v.Raw) > longestArgs {
			return fmt.Errorf("%d bytes are over %d", len(v.Raw), longestArgs)
		}
		p.j.ArgsAt, p.j.ArgsLen = int32(v.Index), int32(len(v.Raw))
		return nil
	}},
	"at":          timeField(func(p *parsing) *core.Time { return &p.j.At }),
	"retry":       wholeField(-1, 1<<20, func(p *parsing, n int64) { p.j.Retry = int32(n) }),
	"reserve_for": wholeField(0, longestSpan, func(p *parsing, n int64) { optionsOf(p).Reserve = n * core.Second }),
	"priority":    wholeField(jobs.LowestPriority, jobs.HighestPriority, func(p *parsing, n int64) { p.j.Priority = int32(n) }),
	"custom":      {"object", func(p *parsing, v gjson.Result) error { p.each(v, customFields, "custom."); return nil }},
}

// customFields are the known keys of a job's custom object.
var customFields = map[string]field{
	"time_left_ms": wholeField(1, longestTime, func(p *parsing, n int64) { p.j.Left = n * core.Millisecond }),
	"key":          textField(func(p *parsing) *string { return &optionsOf(p).Key }),
	"account": {"string", func(p *parsing, v gjson.Result) error {
		optionsOf(p).Tenant = int32(p.f.conf.Names.Tenant([]byte(v.Str)))
		return nil
	}},
	"hint_us": wholeField(1, int64(admission.MaxHint), func(p *parsing, n int64) { optionsOf(p).Hint = n }),
	"slots": {"number", func(p *parsing, v gjson.Result) error {
		if optionsOf(p).Slots = v.Num; v.Num < 0 || v.Num > 1e6 {
			return errors.New("0 to 1000000 are possible")
		}
		return nil
	}},
	"expires_at": timeField(func(p *parsing) *core.Time { return &optionsOf(p).ExpiresAt }),
	"unique_for": {"number", func(p *parsing, v gjson.Result) error {
		optionsOf(p)
		if p.uFor = v.Num; v.Num < 0 || v.Num > longestSpan {
			return errors.New("not a usable number of seconds")
		}
		return nil
	}},
	"unique_until": {"string", func(p *parsing, v gjson.Result) error {
		if optionsOf(p).UntilStart = v.Str == "start"; !p.j.UntilStart && v.Str != "" && v.Str != "success" {
			return errors.New("start or success is possible")
		}
		return nil
	}},
}

// each reads the known keys of an object; a null stands for an absent one.
func (p *parsing) each(object gjson.Result, fields map[string]field, prefix string) {
	object.ForEach(func(key, v gjson.Result) bool {
		f, known := fields[key.Str]
		if !known || v.Type == gjson.Null {
			return true
		}
		err := error(nil)
		if kind := kindOf(v); kind != f.kind {
			err = fmt.Errorf("a %s can't stand here, a %s is needed", kind, f.kind)
		} else {
			err = f.take(p, v)
		}
		if err != nil && p.bad == nil {
			p.bad = fmt.Errorf("malformed job: %s%s: %w", prefix, key.Str, err)
		}
		return p.bad == nil
	})
}

func kindOf(v gjson.Result) string {
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

// parseJob reads a pushed job; the text is copied, since the job outlives the command. It runs on a session's
// own goroutine and touches nothing that changes.
func (f *Front) parseJob(text []byte, client string) (*jobs.Job, error) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 || text[0] != '{' || !gjson.ValidBytes(text) {
		return nil, errors.New("malformed job: not an object of JSON")
	}
	// One piece of memory holds the payload and the names, which are parts of it.
	payload := string(text)
	j := &jobs.Job{Priority: jobs.UsualPriority, Retry: jobs.UsualRetry, Client: client}
	p := parsing{f: f, j: j}
	if p.each(gjson.Parse(payload), jobFields, ""); p.bad != nil {
		return nil, p.bad
	}
	if !goodID(j.ID) {
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
	if !goodQueue(j.Queue) {
		return nil, errors.New("malformed job: queue: 1 to 128 of letters, digits and .-_ are needed")
	}
	if p.uFor > 0 {
		j.UniqueFor = core.Time(p.uFor * float64(core.Second))
		j.Fingerprint = sha256.Sum256([]byte(j.Type + "\x00" + j.Queue + "\x00" + p.args))
	}
	j.Payload = payload
	j.Size = int32(len(payload) + jobOverhead)
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
	return &wireFailure{RetryCount: int(j.Failures) - 1, Remaining: int(max(0, j.Retry-j.Failures+1)), FailedAt: f.wall(j.Failure.At),
		Message: j.Failure.Message, Type: j.Failure.Type, Backtrace: j.Failure.Backtrace}
}

func (f *Front) wall(at core.Time) string { return f.loop.ToWall(at).UTC().Format(time.RFC3339Nano) }

// payload is what a worker's FETCH is given: a pushed job as it came, with the failure of its last try, if any;
// any other request as a job whose one argument tells of the request.
func (f *Front) payload(t *core.Request) []byte {
	if try, ok := t.Client.(*try); ok {
		j := try.job
		if j.Failure == nil {
			return []byte(j.Payload)
		}
		text, _ := json.Marshal(f.failureOf(j))
		return []byte(strings.TrimSuffix(j.Payload, "}") + `,"failure":` + string(text) + "}")
	}
	request := map[string]string{"target": t.Job.Target}
	if utf8.Valid(t.Job.Body) {
		request["body"] = string(t.Job.Body)
	} else {
		b, _ := json.Marshal(t.Job.Body) // base64, in quotes
		request["body_base64"] = string(b[1 : len(b)-1])
	}
	left := max(1, t.TimeLeft(f.loop.Now())/core.Millisecond)
	b, err := json.Marshal(map[string]any{
		"jid": t.ID, "jobtype": f.conf.Names.Classes[t.Job.Class], "queue": f.conf.Faktory.Queue,
		"args": []any{request}, "retry": 0, "reserve_for": (left + 999) / 1000,
		"created_at": clock.Wall().UTC().Format(time.RFC3339Nano),
		"custom":     map[string]any{"time_left_ms": left},
	})
	if err != nil {
		f.log.Error("faktory: a job could not be written", "error", err)
	}
	return b
}
