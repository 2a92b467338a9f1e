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
	"time"

	"cobaltflow/internal/draw"
	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/relay"
	"cobaltflow/internal/fleet/scenario"
)

// Request is a job that a client wants done, drawn before the run: every build is asked the same.
type Request struct {
	DueUS       int64
	Class       int
	Site        int
	Key         int
	RunUS       int64
	RandomDraws [8]float64 // from 0 to under 1: where each try goes and how long is waited
}

// Requests draws what the clients of a scenario ask for.
func DrawRequests(s *scenario.Scenario, seed uint64) (all []Request) {
	rng := rand.New(rand.NewPCG(seed, 0x636c69656e74))
	keys := draw.CumulativeWeights(s.Clients.Keys, func(i int) float64 { return math.Pow(float64(i+1), -s.Clients.Skew) })
	classes := draw.CumulativeWeights(len(s.Classes), func(i int) float64 { return s.Classes[i].Share })
	sites := draw.CumulativeWeights(len(s.Sites), func(i int) float64 { return s.Sites[i].Share })
	rate := s.RatePerS()
	for at := 0.0; ; {
		times := 1.0
		for _, step := range s.Clients.Rate {
			if at >= step.AtS {
				times = step.Times
			}
		}
		if times <= 0 {
			at += 0.1
		} else {
			at += rng.ExpFloat64() / rate / times
		}
		if at >= s.Seconds {
			return all
		}
		if times <= 0 {
			continue
		}
		q := Request{DueUS: int64(at * 1e6), Class: draw.Pick(classes, rng.Float64()), Site: draw.Pick(sites, rng.Float64()), Key: draw.Pick(keys, rng.Float64())}
		run := s.Classes[q.Class].RunMS * 1000
		if s.Classes[q.Class].Spread != "fixed" {
			run *= rng.ExpFloat64()
		}
		q.RunUS = max(1000, int64(run))
		for i := range q.RandomDraws {
			q.RandomDraws[i] = rng.Float64()
		}
		all = append(all, q)
	}
}

// clients ask the schedulers.
type clients struct {
	harness *harness
	http    []*http.Client // by the client's site and the scheduler's
	pending sync.WaitGroup
}

func newClients(r *harness) *clients {
	c := &clients{harness: r}
	for from := range r.scenario.Sites {
		for to := range r.scenario.Sites {
			path := relay.Path{Kind: relay.Client, From: from, To: to}
			c.http = append(c.http, &http.Client{Transport: &http.Transport{
				MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true,
				DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
					return r.network.Dial(ctx, path, address)
				}}})
		}
	}
	return c
}

// play has all requests come when they are due, and waits for their ends.
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

// request sees one job through: tries, and repeats as the settings say.
func (c *clients) runRequest(ctx context.Context, number int, q *Request) {
	set := c.harness.scenario
	class := &set.Classes[q.Class]
	until := c.harness.recorder.TimeAt(q.DueUS).Add(time.Duration(class.DeadlineS * float64(time.Second)))
	for n := 0; ; n++ {
		t := c.sendTry(ctx, number, n, q, until)
		if t.Status == 200 || n >= set.Clients.Retries || ctx.Err() != nil || !mayRetry(class, &t, set.Clients.Repeats) {
			return
		}
		draw := q.RandomDraws[(2*n+1)%len(q.RandomDraws)]
		wait := time.Duration((set.Clients.BackoffMS.Min + draw*(set.Clients.BackoffMS.Max-set.Clients.BackoffMS.Min)) * float64(int(1)<<n) * float64(time.Millisecond))
		if t.RetryAfterMS > 0 && q.RandomDraws[7] < set.Clients.Honour {
			wait = max(wait, time.Duration(t.RetryAfterMS)*time.Millisecond)
		}
		if time.Until(until) <= wait {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// again tells whether a client asks again after such an end.
func mayRetry(class *scenario.Class, t *record.Try, repeats bool) bool {
	switch {
	case t.End == record.EndCancelled:
		return false
	case t.End == record.EndUnreachable:
		return repeats
	case t.Status == 429 || t.Status == 503:
		return true
	}
	return class.Effect == "repeatable" && repeats
}

func (c *clients) sendTry(ctx context.Context, number, n int, q *Request, until time.Time) record.Try {
	r := c.harness
	t := record.Try{Request: int32(number), Number: int32(n), ID: fmt.Sprintf("%08x%08x", number, uint32(n)<<24|uint32(r.seed)&0xffffff), Class: int32(q.Class),
		Site: int32(q.Site), Scheduler: int32(r.balancer.choose(q.Site, q.RandomDraws[(2*n)%len(q.RandomDraws)])), Key: int32(q.Key), RunUS: q.RunUS, DueUS: q.DueUS,
		SentUS: r.recorder.ElapsedUS(), TimeLeftMS: time.Until(until).Milliseconds(), RetryAfterMS: -1, End: record.EndUnreachable}
	defer func() {
		t.EndedUS = r.recorder.ElapsedUS()
		r.recorder.TryEnded(t)
	}()
	if t.Scheduler < 0 || t.TimeLeftMS < 1 {
		return t
	}
	s := r.schedulers[t.Scheduler]
	r.recorder.TrySent(t)
	held := r.scenario.PausedUS(t.SentUS, t.SentUS+t.TimeLeftMS*1000)
	patience := until.Add(60*time.Millisecond + time.Duration(held)*time.Microsecond)
	if q.RandomDraws[6] < r.scenario.Clients.Leave {
		patience = time.Now().Add(time.Duration(q.RandomDraws[5] * float64(time.Until(until))))
		t.CancelUS = max(1, patience.Sub(r.recorder.TimeAt(0)).Microseconds())
	}
	ctx, cancel := context.WithDeadline(ctx, patience)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		t.ReusedConn, t.ClientAddress = c.Reused, c.Conn.LocalAddr().String()
	}})
	name := r.scenario.Classes[q.Class].Name
	for again := false; ; again = true {
		req, _ := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%s/%s/k%d", s.listen, name, q.Key), strings.NewReader("{}"))
		req.Header.Set("X-Correlation-Id", t.ID)
		req.Header.Set("X-Service-Class", name)
		req.Header.Set("X-Time-Left-Ms", strconv.FormatInt(t.TimeLeftMS, 10))
		resp, err := c.http[q.Site*len(r.scenario.Sites)+s.site].Do(req)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil {
				t.Error = ""
				t.Status, t.End = int32(resp.StatusCode), record.EndAnswered
				t.IsCorrect = t.Status != 200 || strings.HasPrefix(string(body), t.ID+" by ")
				if after, bad := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); bad == nil {
					t.RetryAfterMS = int64(after * 1000)
				}
				return t
			}
		}
		t.Error = err.Error()
		var dial *net.OpError
		switch {
		case errors.As(err, &dial) && dial.Op == "dial":
			t.End = record.EndUnreachable
		case ctx.Err() != nil:
			t.End = record.EndCancelled
		case strings.Contains(err.Error(), "server closed idle connection") && !again:
			continue // the close crossed the request: it is sent once more
		default:
			t.End = record.EndBroken
		}
		return t
	}
}

func (c *clients) close() {
	for _, h := range c.http {
		h.CloseIdleConnections()
	}
}
