package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cobaltflow/internal/draw"
	"cobaltflow/internal/fleet/endpoints"
	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/relay"
	"cobaltflow/internal/fleet/scenario"
)

// Request is one request of a client. All are drawn before the run, so that every build receives the same ones.
type Request struct {
	DueUS       int64
	Class       int
	Site        int
	Key         int
	RunUS       int64
	RandomDraws [8]float64 // each in [0, 1): choose the scheduler of each try, backoffs and cancellation
}

// DrawRequests draws all requests of a scenario from the seed, in the order of their due times.
func DrawRequests(s *scenario.Scenario, seed uint64) (all []Request) {
	rng := rand.New(rand.NewPCG(seed, 0x636c69656e74))
	keys := draw.CumulativeWeights(s.Clients.Keys, func(i int) float64 { return math.Pow(float64(i+1), -s.Clients.Skew) })
	classes := draw.CumulativeWeights(len(s.Classes), func(i int) float64 { return s.Classes[i].Share })
	sites := draw.CumulativeWeights(len(s.Sites), func(i int) float64 { return s.Sites[i].Share })
	rate := s.RatePerS()
	for atS := 0.0; ; {
		rateFactor := 1.0
		for _, step := range s.Clients.Rate {
			if atS >= step.AtS {
				rateFactor = step.Times
			}
		}
		if rateFactor <= 0 {
			atS += 0.1
		} else {
			atS += rng.ExpFloat64() / rate / rateFactor
		}
		if atS >= s.Seconds {
			return all
		}
		if rateFactor <= 0 {
			continue
		}
		request := Request{DueUS: int64(atS * 1e6), Class: draw.Pick(classes, rng.Float64()), Site: draw.Pick(sites, rng.Float64()), Key: draw.Pick(keys, rng.Float64())}
		runUS := s.Classes[request.Class].RunMS * 1000
		if s.Classes[request.Class].Spread != "fixed" {
			runUS *= rng.ExpFloat64()
		}
		request.RunUS = max(1000, int64(runUS))
		for i := range request.RandomDraws {
			request.RandomDraws[i] = rng.Float64()
		}
		all = append(all, request)
	}
}

// clients sends the requests to the schedulers.
type clients struct {
	harness *harness
	http    []*http.Client // index: client's site * number of sites + scheduler's site
	pending sync.WaitGroup
}

func newClients(h *harness) *clients {
	c := &clients{harness: h}
	for from := range h.scenario.Sites {
		for to := range h.scenario.Sites {
			path := relay.Path{Kind: relay.Client, From: from, To: to}
			c.http = append(c.http, &http.Client{Transport: &http.Transport{
				MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true,
				DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
					return h.network.Dial(ctx, path, address)
				}}})
		}
	}
	return c
}

// play starts each request when it is due, and waits until all have ended or ctx is done.
func (c *clients) play(ctx context.Context, all []Request) {
	for i := range all {
		wait := time.Until(c.harness.recorder.TimeAt(all[i].DueUS))
		if wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		c.pending.Add(1)
		go func() {
			defer c.pending.Done()
			c.runRequest(ctx, i, &all[i])
		}()
	}
	c.pending.Wait()
}

// runRequest sends one request, and retries it with backoff as the scenario says, until its deadline.
func (c *clients) runRequest(ctx context.Context, index int, request *Request) {
	sc := c.harness.scenario
	class := &sc.Classes[request.Class]
	deadline := c.harness.recorder.TimeAt(request.DueUS).Add(time.Duration(class.DeadlineS * float64(time.Second)))
	for number := 0; ; number++ {
		try := c.sendTry(ctx, index, number, request, deadline)
		if try.Status == 200 || number >= sc.Clients.Retries || ctx.Err() != nil || !mayRetry(class, &try, sc.Clients.Repeats) {
			return
		}
		jitter := request.RandomDraws[(2*number+1)%len(request.RandomDraws)]
		wait := time.Duration((sc.Clients.BackoffMS.Min + jitter*(sc.Clients.BackoffMS.Max-sc.Clients.BackoffMS.Min)) * float64(int(1)<<number) * float64(time.Millisecond))
		if try.RetryAfterMS > 0 && request.RandomDraws[7] < sc.Clients.Honour {
			wait = max(wait, time.Duration(try.RetryAfterMS)*time.Millisecond)
		}
		if time.Until(deadline) <= wait {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// mayRetry reports whether a client retries a request whose try ended in this way.
func mayRetry(class *scenario.Class, try *record.Try, repeats bool) bool {
	switch {
	case try.End == record.EndCancelled:
		return false
	case try.End == record.EndUnreachable:
		return repeats
	case try.Status == 429 || try.Status == 503:
		return true
	}
	return class.Effect == "repeatable" && repeats
}

// lateAnswerWait is how much longer than its time a client waits for its answer, unless it is drawn to leave: the half second in
// which, by the operators' terms, an answer only earns nothing. It is longer than the slack of package judge, which decides by
// the time at which an answer came whether it was late.
const lateAnswerWait = 500 * time.Millisecond

// A client whose answer has come and is not read yet does not leave: it looks again after unreadAnswerWait, at most
// maxUnreadAnswerWaits times.
const (
	unreadAnswerWait     = 100 * time.Millisecond
	maxUnreadAnswerWaits = 50
)

// tryTrace observes the connection of a try. The transport's goroutines call it, also after the try has ended.
type tryTrace struct {
	recorder    *endpoints.Recorder
	conn        atomic.Pointer[relay.Conn]
	isReused    atomic.Bool
	dialedUS    atomic.Int64
	connectedUS atomic.Int64
	writtenUS   atomic.Int64
	onWritten   func()
}

// withContext returns a context whose request t observes.
func (t *tryTrace) withContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(string, string) { t.dialedUS.Store(t.recorder.ElapsedUS()) },
		GotConn: func(c httptrace.GotConnInfo) {
			t.connectedUS.Store(t.recorder.ElapsedUS())
			t.conn.Store(c.Conn.(*relay.Conn))
			t.isReused.Store(c.Reused)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				t.writtenUS.Store(t.recorder.ElapsedUS())
				t.onWritten()
			}
		}})
}

// startPatience starts the timer with which a client leaves for want of an answer: wait after it has sent its request, or
// after now where that never comes about, and not while an answer waits to be read.
func (t *tryTrace) startPatience(wait time.Duration, leave func()) *time.Timer {
	var timer *time.Timer
	looks := 0
	created := make(chan struct{})
	timer = time.AfterFunc(wait, func() {
		<-created
		if looks++; looks > maxUnreadAnswerWaits || !t.hasUnreadAnswer() {
			leave()
			return
		}
		timer.Reset(unreadAnswerWait)
	})
	close(created)
	t.onWritten = func() { timer.Reset(wait) }
	return timer
}

// hasUnreadAnswer reports whether something of the answer has come to the client's machine.
func (t *tryTrace) hasUnreadAnswer() bool {
	conn, writtenUS := t.conn.Load(), t.writtenUS.Load()
	return conn != nil && writtenUS > 0 && (conn.HasUnread() || t.recorder.USAt(conn.LastReceived()) > writtenUS)
}

// maxCloseWait bounds how long a client that disconnects waits until its connection is closed, to record when it was.
const maxCloseWait = 2 * time.Second

// fill sets what t has observed in the record of an ended try.
func (t *tryTrace) fill(try *record.Try) {
	try.DialedUS, try.ConnectedUS, try.WrittenUS = t.dialedUS.Load(), t.connectedUS.Load(), t.writtenUS.Load()
	conn := t.conn.Load()
	if conn == nil {
		return
	}
	try.ReusedConn, try.ClientAddress = t.isReused.Load(), conn.LocalAddr().String()
	switch try.End {
	case record.EndAnswered:
		try.AnsweredUS = min(try.EndedUS, t.recorder.USAt(conn.LastArrived()))
	case record.EndCancelled:
		cameUS, throughUS := t.recorder.USAt(conn.LastReceived()), t.recorder.USAt(conn.LastArrived())
		if try.WrittenUS > 0 && cameUS > try.WrittenUS && throughUS >= cameUS { // not still in transit
			try.AnsweredUS = throughUS // the answer came, and the client left before it had acted on it
		}
		if closed := conn.WaitClosed(maxCloseWait); !closed.IsZero() {
			try.ClosedUS = t.recorder.USAt(closed)
		}
	}
}

// newTry returns the record of a try that is about to be sent to a scheduler of the balancer's choice.
func (c *clients) newTry(index, number int, request *Request, deadline time.Time) record.Try {
	h := c.harness
	return record.Try{Request: int32(index), Number: int32(number), ID: fmt.Sprintf("%08x%08x", index, uint32(number)<<24|uint32(h.seed)&0xffffff),
		Class: int32(request.Class), Site: int32(request.Site), Key: int32(request.Key), RunUS: request.RunUS, DueUS: request.DueUS,
		Scheduler: int32(h.balancer.choose(request.Site, request.RandomDraws[(2*number)%len(request.RandomDraws)])),
		SentUS:    h.recorder.ElapsedUS(), TimeLeftMS: time.Until(deadline).Milliseconds(), RetryAfterMS: -1, End: record.EndUnreachable}
}

// sendTry sends one try of a request and returns its record, which it also adds to the recorder.
func (c *clients) sendTry(ctx context.Context, index, number int, request *Request, deadline time.Time) record.Try {
	h := c.harness
	try := c.newTry(index, number, request, deadline)
	trace := &tryTrace{recorder: h.recorder, onWritten: func() {}}
	defer func() {
		try.EndedUS = h.recorder.ElapsedUS()
		trace.fill(&try)
		h.recorder.TryEnded(try)
	}()
	if try.Scheduler < 0 || try.TimeLeftMS < 1 {
		return try
	}
	h.recorder.TrySent(try)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	paused := time.Duration(h.scenario.PausedUS(try.SentUS, try.SentUS+try.TimeLeftMS*1000)) * time.Microsecond
	wait := time.Duration(try.TimeLeftMS)*time.Millisecond + lateAnswerWait + paused
	if request.RandomDraws[6] < h.scenario.Clients.Leave {
		wait = cancelAfter(request.RandomDraws[5], try.TimeLeftMS)
		try.CancelUS = max(1, h.recorder.USAt(time.Now().Add(wait)))
	}
	if try.CancelUS > 0 {
		patience := time.AfterFunc(wait, cancel)
		defer patience.Stop()
	} else {
		defer trace.startPatience(wait, cancel).Stop()
	}
	c.exchange(trace.withContext(ctx), request, &try)
	return try
}

// cancelAfter returns how long after the start of a try its client cancels it: a part, from 0 to 1, of the time that the try states
// in whole milliseconds. Of the time that is really left the part could be longer than what is stated.
func cancelAfter(part float64, timeLeftMS int64) time.Duration {
	return time.Duration(part * float64(timeLeftMS) * float64(time.Millisecond))
}

// exchange sends a try's request and reads the answer, and sets how the try ended.
func (c *clients) exchange(ctx context.Context, request *Request, try *record.Try) {
	h := c.harness
	s, name := h.schedulers[try.Scheduler], h.scenario.Classes[request.Class].Name
	for isResend := false; ; isResend = true {
		httpReq, _ := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%s/%s/k%d", s.listen, name, request.Key), strings.NewReader("{}"))
		httpReq.Header.Set("X-Correlation-Id", try.ID)
		httpReq.Header.Set("X-Service-Class", name)
		httpReq.Header.Set("X-Time-Left-Ms", strconv.FormatInt(try.TimeLeftMS, 10))
		err := readAnswer(c.http[request.Site*len(h.scenario.Sites)+s.site], httpReq, try)
		if err == nil {
			return
		}
		try.Error = err.Error()
		var dial *net.OpError
		switch {
		case errors.As(err, &dial) && dial.Op == "dial":
			try.End = record.EndUnreachable
		case ctx.Err() != nil:
			try.End = record.EndCancelled
		case strings.Contains(err.Error(), "server closed idle connection") && !isResend:
			continue // the scheduler closed the idle connection before it read the request, so it is sent once more
		default:
			try.End = record.EndBroken
		}
		return
	}
}

// readAnswer sends a request and sets its answer in the try's record. An error means that there was no whole answer.
func readAnswer(client *http.Client, httpReq *http.Request, try *record.Try) error {
	resp, err := client.Do(httpReq)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return err
	}
	try.Error = ""
	try.Status, try.End = int32(resp.StatusCode), record.EndAnswered
	try.IsCorrect = try.Status != 200 || strings.HasPrefix(string(body), try.ID+" by ")
	if retryAfterS, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		try.RetryAfterMS = int64(retryAfterS * 1000)
	}
	return nil
}

// close closes the idle connections.
func (c *clients) close() {
	for _, h := range c.http {
		h.CloseIdleConnections()
	}
}
