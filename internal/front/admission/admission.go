// Package admission is what the HTTP fronts share: how a request of a client becomes one of the core, what is wrong
// with one that can't, how an answer reads, and which ids are open or have lately ended. It knows no framing: a
// front hands it method, path, headers and body, and writes what comes back. All of it is the loop's.
package admission

import (
	"fmt"
	"strconv"
	"strings"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
)

// Headers of the platform's protocol.
const (
	HeaderID       = "X-Correlation-Id"
	HeaderClass    = "X-Service-Class"
	HeaderTimeLeft = "X-Time-Left-Ms"
	HeaderTenant   = "X-Account"
	HeaderHint     = "X-Weight-Hint"
	HeaderFacts    = "X-Facts"
)

// Bounds of a request.
const (
	MaxIDLength   = 128
	MaxTimeLeftMS = 24 * 3600 * 1000 // milliseconds
	MaxHint       = 24 * 3600 * core.Second
	MaxBody       = 64 << 10
	// An answer at a client's deadline is on its way while the client gives up, so ours is due earlier.
	answerMargin = 10 * core.Millisecond
)

// Request is what a front has read of one.
type Request struct {
	Method, Target, Path string
	Body                 []byte // valid until the core has released the request
	// Header gives a header's first value and how often it stands there.
	Header func(name string) (value []byte, count int)
	// Fields appends each of its header fields with AppendField; nil: there are none to pass on.
	HeaderFields func(b []byte) []byte
}

// notPassed are the fields that end at a hop (RFC 9110, section 7.6.1), and those that a transport writes itself.
var notForwarded = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Host", "Content-Length", HeaderID, HeaderClass, HeaderTimeLeft}

// AppendField appends a field of a request as the worker is to have it: all that are not for this hop alone pass
// unchanged, known here or not. By one of them, as an idempotency key, a worker may tell a repeat from a new request.
// connection is what the request's Connection field says, which names further ones for this hop.
func AppendField[T ~string | ~[]byte](b []byte, name, value, connection T) []byte {
	for _, own := range notForwarded {
		if strings.EqualFold(own, string(name)) {
			return b
		}
	}
	for option := range strings.SplitSeq(string(connection), ",") {
		if strings.EqualFold(strings.TrimSpace(option), string(name)) {
			return b
		}
	}
	return append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
}

// Fault is a request that can't be served.
type Rejection struct {
	Status int
	Text   string
	Allow  string // the method that would do, of a 405
}

// Controller admits requests. The fronts of one gateway share it, since ids are unique over all of them.
type Controller struct {
	core      *core.Core
	names     *config.Names
	recentIDs recentIDs
}

// NewController makes the admission controller of a core.
func NewController(c *core.Core, names *config.Names) *Controller {
	return &Controller{core: c, names: names}
}

// Admit turns a request into one of the core's, whose answer goes to the client; what can't be one reaches no worker.
func (c *Controller) Admit(q *Request, client core.Client) (*core.Request, *Rejection) {
	segments := strings.Split(strings.TrimPrefix(q.Path, "/"), "/")
	class := c.names.Class(segments[0])
	if class < 0 {
		return nil, &Rejection{Status: 404, Text: "no such path or class"}
	}
	if q.Method != "POST" {
		return nil, &Rejection{Status: 405, Text: "POST", Allow: "POST"}
	}
	t, text := parseRequest(q, segments, class)
	if text != "" {
		return nil, &Rejection{Status: 400, Text: text}
	}
	// An id is fresh for every request. One that has lately ended is another client's, and workers, which
	// know whose it was, would turn it away.
	if c.recentIDs.has(t.ID) {
		return nil, &Rejection{Status: 400, Text: HeaderID + " was in use"}
	}
	if tenant, n := q.Header(HeaderTenant); n == 1 {
		t.Job.Tenant = c.names.Tenant(tenant)
	}
	if q.HeaderFields != nil {
		t.Job.HeaderFields = q.HeaderFields(nil)
	}
	t.Client = client
	t.Deadline = c.core.Loop.Now() + max(core.Millisecond, t.Deadline-answerMargin)
	if !c.core.Accept(t) {
		return nil, &Rejection{Status: 400, Text: HeaderID + " is in use"}
	}
	return t, nil
}

// Seen tells whether an id is open here or has lately ended here.
func (c *Controller) HasSeenID(id string) bool { return c.core.HasRequest(id) || c.recentIDs.has(id) }

// Released notes the id of a request that no attempt needs any more.
func (c *Controller) RememberID(t *core.Request) { c.recentIDs.add(t.ID) }

// newTransaction makes a request of the core from the headers; Deadline is still the time left. A text tells what is wrong.
func parseRequest(q *Request, segments []string, class int) (*core.Request, string) {
	id, n := q.Header(HeaderID)
	if len(id) == 0 || len(id) > MaxIDLength || n > 1 || strings.ContainsAny(string(id), " ,\t\"/?#%") {
		return nil, HeaderID + " is missing or unusable"
	}
	text, n := q.Header(HeaderTimeLeft)
	left, err := strconv.ParseUint(string(text), 10, 32)
	if err != nil || left == 0 || left > MaxTimeLeftMS || n > 1 {
		return nil, HeaderTimeLeft + " is missing or unusable"
	}
	if named, n := q.Header(HeaderClass); n > 1 || n == 1 && string(named) != segments[0] {
		return nil, HeaderClass + " is not the class of the path"
	}
	t := &core.Request{ID: string(id), Deadline: core.Time(left) * core.Millisecond,
		Job: core.Job{Class: class, Target: q.Target, Body: q.Body}}
	if len(segments) > 1 {
		t.Job.Key = segments[len(segments)-1]
	}
	if hint, n := q.Header(HeaderHint); n == 1 {
		t.Hint = parseHint(hint)
	}
	facts, _ := q.Header(HeaderFacts)
	for fact := range strings.SplitSeq(string(facts), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(fact), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v < 1e9) {
			continue // a figure that is not known here or is none
		}
		switch name {
		case "slots":
			t.Slots = v
		case "memory":
			t.Memory = v
		}
	}
	return t, ""
}

// hintOf reads a client's estimate of its job, in microseconds, whole or decimal. What is none is let pass as if
// nothing had been said: a job is not turned away for the sake of a guess.
func parseHint(text []byte) core.Time {
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(v >= 1 && v <= float64(MaxHint)) {
		return 0
	}
	return core.Time(v)
}

// Reply is an answer as HTTP says it.
type Reply struct {
	Status     int
	Body       []byte // valid as long as the answer's result
	RetryAfter string // empty: none
}

// ReplyTo gives the form of an answer: 200 with the result, 503, with Retry-After where the deployment has its
// clients told, or 500.
func (c *Controller) ReplyTo(a core.Answer) Reply {
	switch a.Kind {
	case core.Served:
		return Reply{Status: 200, Body: a.Result}
	case core.Refused:
		if !c.core.Settings().RetryAfter {
			return Reply{Status: 503}
		}
		return Reply{Status: 503, RetryAfter: FormatSeconds(a.RetryAfter)}
	}
	return Reply{Status: 500}
}

// Seconds writes a length of time in decimal seconds, to the millisecond above.
func FormatSeconds(t core.Time) string {
	ms := (t + core.Millisecond - 1) / core.Millisecond
	return fmt.Sprintf("%d.%03d", ms/1000, ms%1000)
}
