// Package admission turns clients' HTTP requests into requests of the core, or rejections, turns final answers into HTTP
// replies, and keeps the IDs of open and recently ended requests. The HTTP/1.1 and HTTP/2 fronts call it, on the event
// loop only, with the parsed method, path, headers and body; it does no framing.
package admission

import (
	"fmt"
	"strconv"
	"strings"

	"cobaltflow/internal/claims"
	"cobaltflow/internal/clock"
	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/rules"
)

// Request headers of the platform's protocol.
const (
	HeaderID       = "X-Correlation-Id"
	HeaderClass    = "X-Service-Class"
	HeaderTimeLeft = "X-Time-Left-Ms"
	HeaderTenant   = "X-Account"
	HeaderHint     = "X-Weight-Hint"
	HeaderFacts    = "X-Facts"
)

// Limits of a request.
const (
	MaxIDLength   = 128              // bytes
	MaxTimeLeftMS = 24 * 3600 * 1000 // one day
	MaxHint       = 24 * 3600 * core.Second
	MaxBody       = 64 << 10 // bytes
	// answerMargin is subtracted from the client's time left: an answer sent at the client's deadline would arrive after
	// the client has given up.
	answerMargin = 10 * core.Millisecond
)

// Request is a client's request as a front has parsed it.
type Request struct {
	Method, Target, Path string
	Body                 []byte // valid until the core has released the request
	// ReceivedAt is when the request's last bytes arrived, as far as the front knows. The client's time left counts from then,
	// as the request may have waited in the kernel and for the loop since.
	ReceivedAt core.Time
	// Header returns a header's first value and the number of its occurrences.
	Header func(name string) (value []byte, count int)
	// HeaderFields appends the request's header fields to b, each with AppendField; nil: no fields to forward.
	HeaderFields func(b []byte) []byte
}

// notForwarded lists the hop-by-hop fields (RFC 9110, section 7.6.1) and the fields that a transport writes itself.
var notForwarded = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Host", "Content-Length", HeaderID, HeaderClass, HeaderTimeLeft}

// AppendField appends a header field to those forwarded to the worker, unless it is hop-by-hop. All other fields are
// forwarded unchanged, whether known here or not: a worker may use one of them, such as an idempotency key, to
// distinguish a retry from a new request. connection is the value of the request's Connection field, which lists further
// hop-by-hop fields.
func AppendField[T ~string | ~[]byte](b []byte, name, value, connection T) []byte {
	for _, field := range notForwarded {
		if strings.EqualFold(field, string(name)) {
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

// Rejection is the HTTP reply to a request that is not admitted.
type Rejection struct {
	Status int
	Text   string
	Allow  string // with status 405: the allowed method; otherwise empty
}

// Controller admits requests. The fronts of one gateway share it, because request IDs are unique across fronts.
type Controller struct {
	core      *core.Core
	names     *config.Names
	recentIDs recentIDs
	claims    *claims.Table
	isStopped bool
}

// NewController returns an admission controller for a core.
func NewController(c *core.Core, names *config.Names) *Controller {
	return &Controller{core: c, names: names, claims: claims.NewLocal()}
}

// ShareClaims sets the table of the IDs that all processes of this scheduler have claimed. It must be called before requests are
// admitted.
func (c *Controller) ShareClaims(table *claims.Table) { c.claims = table }

// claim claims the ID of a request that must not run twice, and reports whether no other request had it, at any process.
func (c *Controller) claim(request *core.Request) bool {
	if c.core.Settings().Classes[request.Job.Class].Effect == rules.Repeatable {
		return true
	}
	return c.claims.Claim(request.ID, int64(clock.MachineMicros()/uint64(core.Second)))
}

// Stop ends admission for good: the listener that the workers' callbacks need is about to close. It is called on the loop.
func (c *Controller) Stop() { c.isStopped = true }

// IsStopped reports whether admission has ended. A front then refuses requests in the way of its protocol that says that
// they may be sent elsewhere, and does not call Admit.
func (c *Controller) IsStopped() bool { return c.isStopped }

// Admit validates a request and passes it to the core, which reports its answer to client. A rejected request reaches no
// worker.
func (c *Controller) Admit(q *Request, client core.Client) (*core.Request, *Rejection) {
	segments := strings.Split(strings.TrimPrefix(q.Path, "/"), "/")
	class := c.names.Class(segments[0])
	if class < 0 {
		return nil, &Rejection{Status: 404, Text: "no such path or class"}
	}
	if q.Method != "POST" {
		return nil, &Rejection{Status: 405, Text: "POST", Allow: "POST"}
	}
	request, text := parseRequest(q, segments, class)
	if text != "" {
		return nil, &Rejection{Status: 400, Text: text}
	}
	// Every request needs a new ID. A recently ended one belongs to an earlier request, which workers still know and for
	// which they would reject this one.
	if c.recentIDs.has(request.ID) || !c.claim(request) {
		return nil, &Rejection{Status: 400, Text: HeaderID + " was in use"}
	}
	if tenant, n := q.Header(HeaderTenant); n == 1 {
		request.Job.Tenant = c.names.Tenant(tenant)
	}
	if q.HeaderFields != nil {
		request.Job.HeaderFields = q.HeaderFields(nil)
	}
	request.Client = client
	request.Deadline = q.ReceivedAt + max(core.Millisecond, request.Deadline-answerMargin)
	if !c.core.Accept(request) {
		return nil, &Rejection{Status: 400, Text: HeaderID + " is in use"}
	}
	return request, nil
}

// HasSeenID reports whether a request with the ID is open or has recently ended.
func (c *Controller) HasSeenID(id string) bool { return c.core.HasRequest(id) || c.recentIDs.has(id) }

// RememberID records the ID of a request that the core has released as recently ended.
func (c *Controller) RememberID(request *core.Request) { c.recentIDs.add(request.ID) }

// parseRequest builds a core request from the headers, with Deadline set to the time left. A non-empty text is the reason
// for a rejection.
func parseRequest(q *Request, segments []string, class int) (*core.Request, string) {
	id, n := q.Header(HeaderID)
	if len(id) == 0 || len(id) > MaxIDLength || n > 1 || strings.ContainsAny(string(id), " ,\t\"/?#%") {
		return nil, HeaderID + " is missing or unusable"
	}
	text, n := q.Header(HeaderTimeLeft)
	timeLeftMS, err := strconv.ParseUint(string(text), 10, 32)
	if err != nil || timeLeftMS == 0 || timeLeftMS > MaxTimeLeftMS || n > 1 {
		return nil, HeaderTimeLeft + " is missing or unusable"
	}
	if className, n := q.Header(HeaderClass); n > 1 || n == 1 && string(className) != segments[0] {
		return nil, HeaderClass + " is not the class of the path"
	}
	request := &core.Request{ID: string(id), Deadline: core.Time(timeLeftMS) * core.Millisecond,
		Job: core.Job{Class: class, Target: q.Target, Body: q.Body}}
	if len(segments) > 1 {
		request.Job.Key = segments[len(segments)-1]
	}
	if hint, n := q.Header(HeaderHint); n == 1 {
		request.Hint = parseHint(hint)
	}
	facts, _ := q.Header(HeaderFacts)
	for fact := range strings.SplitSeq(string(facts), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(fact), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v < 1e9) {
			continue // not a valid number
		}
		switch name {
		case "slots":
			request.Slots = v
		case "memory":
			request.Memory = v
		}
	}
	return request, ""
}

// parseHint parses a client's estimate of its job's run time, a decimal number of microseconds. An invalid estimate
// yields 0, no hint: a request is not rejected because of an estimate.
func parseHint(text []byte) core.Time {
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(v >= 1 && v <= float64(MaxHint)) {
		return 0
	}
	return core.Time(v)
}

// Reply is a final answer in terms of HTTP.
type Reply struct {
	Status     int
	Body       []byte // valid as long as the Result of the answer
	RetryAfter string // value of the Retry-After field; empty: no field
}

// ReplyTo returns the HTTP reply for an answer: 200 with the result; 503 for a refusal, with Retry-After if
// rules.Settings.RetryAfter is set; otherwise 500.
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

// FormatSeconds formats a duration in decimal seconds, rounded up to the millisecond.
func FormatSeconds(duration core.Time) string {
	ms := (duration + core.Millisecond - 1) / core.Millisecond
	return fmt.Sprintf("%d.%03d", ms/1000, ms%1000)
}
