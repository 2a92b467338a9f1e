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
	DueUS int64
	Class int
	Site  int
	Key   int
	RunUS int64
	Draw  [8]float64 // from 0 to under 1: where each try goes and how long is waited
}

// Requests draws what the clients of a scenario ask for.
func Requests(s *scenario.Scenario, seed uint64) (all []Request) {
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
		for i := range q.Draw {
			q.Draw[i] = rng.Float64()
		}
		all = append(all, q)
	}
}

// clients ask the schedulers.
type clients struct {
	rig  *rig
	http []*http.Client // by the client's site and the scheduler's
	open sync.WaitGroup
}

func newClients(r *rig) *clients {
	c := &clients{rig: r}
	for from := range r.set.Sites {
		for to := range r.set.Sites {
			path := relay.Path{Kind: relay.Client, From: from, To: to}
			c.http = append(c.http, &http.Client{Transport: &http.Transport{
				MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true,
				DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return r.net.Dial(ctx, path, address) }}})
		}
	}
	return c
}

// play has all requests come when they are due, and waits for their ends.
func (c *clients) play(ctx context.Context, all []Request) {
	for i := range all {
		wait := time.Until(c.rig.recorder.At(all[i].DueUS))
		if wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		c.open.Add(1)
		go func() {
			defer c.open.Done()
			c.request(ctx, i, &all[i])
		}()
	}
	c.open.Wait()
}

// request sees one job through: tries, and repeats as the settings say.
func (c *clients) request(ctx context.Context, number int, q *Request) {
	set := c.rig.set
	class := &set.Classes[q.Class]
	until := c.rig.recorder.At(q.DueUS).Add(time.Duration(class.DeadlineS * float64(time.Second)))
	for n := 0; ; n++ {
		t := c.try(ctx, number, n, q, until)
		if t.Status == 200 || n >= set.Clients.Retries || ctx.Err() != nil || !again(class, &t, set.Clients.Repeats) {
			return
		}
		draw := q.Draw[(2*n+1)%len(q.Draw)]
		wait := time.Duration((set.Clients.BackoffMS.Least + draw*(set.Clients.BackoffMS.Most-set.Clients.BackoffMS.Least)) * float64(int(1)<<n) * float64(time.Millisecond))
		if t.AfterMS > 0 && q.Draw[7] < set.Clients.Honour {
			wait = max(wait, time.Duration(t.AfterMS)*time.Millisecond)
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
func again(class *scenario.Class, t *record.Try, repeats bool) bool {
	switch {
	case t.End == record.EndLeft:
		return false
	case t.End == record.EndUnreachable:
		return repeats
	case t.Status == 429 || t.Status == 503:
		return true
	}
	return class.Effect == "repeatable" && repeats
}

func (c *clients) try(ctx context.Context, number, n int, q *Request, until time.Time) record.Try {
	r := c.rig
	t := record.Try{Request: int32(number), Number: int32(n), ID: fmt.Sprintf("%08x%08x", number, uint32(n)<<24|uint32(r.seed)&0xffffff), Class: int32(q.Class),
		Site: int32(q.Site), Scheduler: int32(r.front.choose(q.Site, q.Draw[(2*n)%len(q.Draw)])), Key: int32(q.Key), RunUS: q.RunUS, DueUS: q.DueUS,
		SentUS: r.recorder.Now(), LeftMS: time.Until(until).Milliseconds(), AfterMS: -1, End: record.EndUnreachable}
	defer func() {
		t.EndedUS = r.recorder.Now()
		r.recorder.Ended(t)
	}()
	if t.Scheduler < 0 || t.LeftMS < 1 {
		return t
	}
	s := r.schedulers[t.Scheduler]
	r.recorder.Sent(t)
	held := r.set.HeldUS(t.SentUS, t.SentUS+t.LeftMS*1000)
	patience := until.Add(60*time.Millisecond + time.Duration(held)*time.Microsecond)
	if q.Draw[6] < r.set.Clients.Leave {
		patience = time.Now().Add(time.Duration(q.Draw[5] * float64(time.Until(until))))
		t.LeavesUS = max(1, patience.Sub(r.recorder.At(0)).Microseconds())
	}
	ctx, cancel := context.WithDeadline(ctx, patience)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		t.Reused, t.From = c.Reused, c.Conn.LocalAddr().String()
	}})
	name := r.set.Classes[q.Class].Name
	for again := false; ; again = true {
		req, _ := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%s/%s/k%d", s.listen, name, q.Key), strings.NewReader("{}"))
		req.Header.Set("X-Correlation-Id", t.ID)
		req.Header.Set("X-Service-Class", name)
		req.Header.Set("X-Time-Left-Ms", strconv.FormatInt(t.LeftMS, 10))
		resp, err := c.http[q.Site*len(r.set.Sites)+s.site].Do(req)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil {
				t.Fault = ""
				t.Status, t.End = int32(resp.StatusCode), record.EndAnswered
				t.Right = t.Status != 200 || strings.HasPrefix(string(body), t.ID+" by ")
				if after, bad := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); bad == nil {
					t.AfterMS = int64(after * 1000)
				}
				return t
			}
		}
		t.Fault = err.Error()
		var dial *net.OpError
		switch {
		case errors.As(err, &dial) && dial.Op == "dial":
			t.End = record.EndUnreachable
		case ctx.Err() != nil:
			t.End = record.EndLeft
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
