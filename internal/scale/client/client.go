// Package client puts jobs on schedulers at a rate, whatever becomes of those before, and counts how they end.
package client

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cobaltflow/internal/front/admission"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/scale/process"
	"cobaltflow/internal/scale/traffic"
	"cobaltflow/internal/scale/worker"
)

// Keys is how many keys jobs are spread over.
const KeyCount = 1 << 20

const (
	maxIdleConns   = 20_000  // to one scheduler
	shortTimeoutMS = 5_000   // that a client waits for a short job
	longTimeoutMS  = 600_000 // that one waits for a task
)

// Clients is the clients of all schedulers. Its methods may be called from any goroutine.
type Clients struct {
	addresses []netip.AddrPort
	pools     [][]*http.Client // by scheduler; requests take the clients of one in turn
	serial    atomic.Uint64
}

// New makes clients of the schedulers' HTTP/1.1 fronts.
func New(counter *traffic.Counter, addresses []netip.AddrPort) *Clients {
	c := &Clients{addresses: addresses}
	for range addresses {
		transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true, DialContext: countingDialer(counter)}
		c.pools = append(c.pools, []*http.Client{{Transport: transport}})
	}
	return c
}

// NewHTTP2 makes clients of the schedulers' HTTP/2 fronts, with so many connections to each.
func NewHTTP2(counter *traffic.Counter, addresses []netip.AddrPort, connections int) *Clients {
	c := &Clients{addresses: addresses}
	dial := countingDialer(counter)
	var clearText http.Protocols
	clearText.SetUnencryptedHTTP2(true)
	for range addresses {
		var pool []*http.Client
		for range connections {
			transport := &http.Transport{Protocols: &clearText, MaxConnsPerHost: 1, DisableCompression: true, DialContext: dial,
				HTTP2: &http.HTTP2Config{StrictMaxConcurrentRequests: true}}
			pool = append(pool, &http.Client{Transport: transport})
		}
		c.pools = append(c.pools, pool)
	}
	return c
}

func countingDialer(counter *traffic.Counter) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return counter.WrapConn(nc, traffic.Client), nil
	}
}

// Close ends connections that are idle.
func (c *Clients) Close() {
	for _, pool := range c.pools {
		for _, client := range pool {
			client.CloseIdleConnections()
		}
	}
}

// Load says which jobs are sent.
type Load struct {
	Class      string
	RunTime    time.Duration // running time of each
	StartsPerS float64       // starts, over all schedulers, evenly; 0: all at once
	Jobs       int           // so many in all
	Tenants    int           // the jobs are spread over them; 0: they name none
	Seed       uint64
}

// Result is how the jobs of a load ended.
type Result struct {
	Sent       int
	Served     int
	Refused    int // 429 and 503
	Failed     int // any other answer, or none
	Latency    *hdrhistogram.Histogram
	StartedAt  time.Time
	FirstError string // the first answer that was no result, for the log
}

// QuantileMS is a quantile of the latency of the served jobs in milliseconds.
func (r *Result) QuantileMS(percent float64) float64 {
	return float64(r.Latency.ValueAtQuantile(percent)) / 1000
}

// MaxMS is the longest latency of a served job in milliseconds.
func (r *Result) MaxMS() float64 { return float64(r.Latency.Max()) / 1000 }

// Run sends a load and waits for all answers, or until the context ends.
func (c *Clients) Run(ctx context.Context, load Load) *Result {
	run := &loadRun{clients: c, load: load, rng: rand.New(rand.NewPCG(load.Seed, 0x6c6f6164)),
		result: Result{Latency: hdrhistogram.New(1, longTimeoutMS*1000, 3), StartedAt: time.Now()}}
	var open sync.WaitGroup
	for i := range load.Jobs {
		if load.StartsPerS > 0 {
			due := run.result.StartedAt.Add(time.Duration(float64(i) / load.StartsPerS * float64(time.Second)))
			if !waitUntil(ctx, due) {
				break
			}
		}
		scheduler, request, err := run.nextRequest(i)
		if err != nil { // an address that no request can name
			run.result.FirstError = err.Error()
			break
		}
		run.result.Sent++
		pool := c.pools[scheduler]
		client := pool[i/len(c.pools)%len(pool)]
		open.Go(func() { run.send(ctx, client, request) })
	}
	open.Wait()
	return &run.result
}

// waitUntil waits for a moment, and tells whether it came before the context's end.
func waitUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// loadRun is one load on its way.
type loadRun struct {
	clients *Clients
	load    Load
	rng     *rand.Rand // used by the sender alone

	mu     sync.Mutex
	result Result
}

// draw makes the next job and names the scheduler that gets it.
func (r *loadRun) nextRequest(number int) (int, *http.Request, error) {
	scheduler := number % len(r.clients.addresses)
	url := fmt.Sprintf("http://%s/%s/k%d", r.clients.addresses[scheduler], r.load.Class, r.rng.IntN(KeyCount))
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(r.load.RunTime.String()))
	if err != nil {
		return 0, nil, err
	}
	left := int64(shortTimeoutMS)
	if r.load.Class == process.LongClass {
		left = longTimeoutMS
	}
	request.Header.Set(platform.HeaderID, worker.JobID(scheduler, r.clients.serial.Add(1)))
	request.Header.Set(platform.HeaderTimeLeft, fmt.Sprint(left))
	if r.load.Tenants > 0 {
		request.Header.Set(admission.HeaderTenant, process.TenantName(number%r.load.Tenants))
	}
	return scheduler, request, nil
}

// ask sends one job and counts how it ends.
func (r *loadRun) send(ctx context.Context, client *http.Client, request *http.Request) {
	began := time.Now()
	response, err := client.Do(request.WithContext(ctx))
	status, text := 0, ""
	if err == nil {
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		status, text = response.StatusCode, response.Status
	} else {
		text = err.Error()
	}
	took := time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case status == http.StatusOK:
		r.result.Served++
		r.result.Latency.RecordValue(max(1, took.Microseconds()))
		return
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		r.result.Refused++
	case ctx.Err() != nil:
		return // given up by the measurement: no verdict on the job
	default:
		r.result.Failed++
	}
	if r.result.FirstError == "" {
		r.result.FirstError = text
	}
}
