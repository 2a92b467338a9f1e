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

// sendTry sends one try of a request and returns its record, which it also adds to the recorder.
func (c *clients) sendTry(ctx context.Context, index, number int, request *Request, deadline time.Time) record.Try {
	h := c.harness
	try := record.Try{Request: int32(index), Number: int32(number), ID: fmt.Sprintf("%08x%08x", index, uint32(number)<<24|uint32(h.seed)&0xffffff), Class: int32(request.Class),
		Site: int32(request.Site), Scheduler: int32(h.balancer.choose(request.Site, request.RandomDraws[(2*number)%len(request.RandomDraws)])), Key: int32(request.Key), RunUS: request.RunUS, DueUS: request.DueUS,
		SentUS: h.recorder.ElapsedUS(), TimeLeftMS: time.Until(deadline).Milliseconds(), RetryAfterMS: -1, End: record.EndUnreachable}
	defer func() {
		try.EndedUS = h.recorder.ElapsedUS()
		h.recorder.TryEnded(try)
	}()
	if try.Scheduler < 0 || try.TimeLeftMS < 1 {
		return try
	}
	s := h.schedulers[try.Scheduler]
	h.recorder.TrySent(try)
	paused := h.scenario.PausedUS(try.SentUS, try.SentUS+try.TimeLeftMS*1000)
	giveUpAt := deadline.Add(60*time.Millisecond + time.Duration(paused)*time.Microsecond)
	if request.RandomDraws[6] < h.scenario.Clients.Leave {
		giveUpAt = time.Now().Add(time.Duration(request.RandomDraws[5] * float64(time.Until(deadline))))
		try.CancelUS = max(1, giveUpAt.Sub(h.recorder.TimeAt(0)).Microseconds())
	}
	ctx, cancel := context.WithDeadline(ctx, giveUpAt)
	defer cancel()
	var connectedUS, writtenUS atomic.Int64 // the transport's goroutines may still set them when the try has ended
	defer func() { try.ConnectedUS, try.WrittenUS = connectedUS.Load(), writtenUS.Load() }()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) {
			connectedUS.Store(h.recorder.ElapsedUS())
			try.ReusedConn, try.ClientAddress = c.Reused, c.Conn.LocalAddr().String()
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				writtenUS.Store(h.recorder.ElapsedUS())
			}
		}})
	name := h.scenario.Classes[request.Class].Name
	for isResend := false; ; isResend = true {
		httpReq, _ := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%s/%s/k%d", s.listen, name, request.Key), strings.NewReader("{}"))
		httpReq.Header.Set("X-Correlation-Id", try.ID)
		httpReq.Header.Set("X-Service-Class", name)
		httpReq.Header.Set("X-Time-Left-Ms", strconv.FormatInt(try.TimeLeftMS, 10))
		resp, err := c.http[request.Site*len(h.scenario.Sites)+s.site].Do(httpReq)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil {
				try.Error = ""
				try.Status, try.End = int32(resp.StatusCode), record.EndAnswered
				try.IsCorrect = try.Status != 200 || strings.HasPrefix(string(body), try.ID+" by ")
				if retryAfterS, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); parseErr == nil {
					try.RetryAfterMS = int64(retryAfterS * 1000)
				}
				return try
			}
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
		return try
	}
}

// close closes the idle connections.
func (c *clients) close() {
	for _, h := range c.http {
		h.CloseIdleConnections()
	}
}
