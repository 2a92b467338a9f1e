// Package client sends jobs to schedulers at a fixed rate, independently of the responses to earlier ones, and counts
// how they end. Package scale calls it.
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

// KeyCount is the number of keys that jobs are spread over.
const KeyCount = 1 << 20

const (
	maxIdleConns   = 20_000  // to one scheduler
	shortTimeoutMS = 5_000   // time that a client waits for a short job
	longTimeoutMS  = 600_000 // time that a client waits for a long task
)

// Clients sends requests to all schedulers. Its methods may be called from any goroutine.
type Clients struct {
	addresses []netip.AddrPort
	pools     [][]*http.Client // by scheduler; requests to a scheduler use its clients in turn
	serial    atomic.Uint64
}

// New returns clients of the schedulers' HTTP/1.1 fronts.
func New(counter *traffic.Counter, addresses []netip.AddrPort) *Clients {
	c := &Clients{addresses: addresses}
	for range addresses {
		transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true, DialContext: countingDialer(counter)}
		c.pools = append(c.pools, []*http.Client{{Transport: transport}})
	}
	return c
}

// NewHTTP2 returns clients of the schedulers' HTTP/2 fronts, with a fixed number of connections to each.
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

// countingDialer returns a dial function whose connections are counted as client traffic.
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

// Close closes idle connections.
func (c *Clients) Close() {
	for _, pool := range c.pools {
		for _, client := range pool {
			client.CloseIdleConnections()
		}
	}
}

// Load describes the jobs to send.
type Load struct {
	Class      string
	RunTime    time.Duration // of each job
	StartsPerS float64       // over all schedulers, evenly spaced; 0: all jobs at once
	Jobs       int           // total number
	Tenants    int           // number of tenants that the jobs are spread over; 0: the jobs name none
	Seed       uint64
}

// Result holds the outcomes of a load's jobs.
type Result struct {
	Sent       int
	Served     int
	Refused    int // answered 429 or 503
	Failed     int // any other answer, or none
	Latency    *hdrhistogram.Histogram
	StartedAt  time.Time
	FirstError string // status or error of the first job that was not served
}

// QuantileMS returns a quantile of the latency of the served jobs in milliseconds. Percent is between 0 and 100.
func (r *Result) QuantileMS(percent float64) float64 {
	return float64(r.Latency.ValueAtQuantile(percent)) / 1000
}

// MaxMS returns the longest latency of a served job in milliseconds.
func (r *Result) MaxMS() float64 { return float64(r.Latency.Max()) / 1000 }

// Run sends a load and waits until all jobs are answered or the context ends. Jobs that the end of the context cancels
// count as sent only.
func (c *Clients) Run(ctx context.Context, load Load) *Result {
	run := &loadRun{clients: c, load: load, rng: rand.New(rand.NewPCG(load.Seed, 0x6c6f6164)),
		result: Result{Latency: hdrhistogram.New(1, longTimeoutMS*1000, 3), StartedAt: time.Now()}}
	var pending sync.WaitGroup
	for i := range load.Jobs {
		if load.StartsPerS > 0 {
			due := run.result.StartedAt.Add(time.Duration(float64(i) / load.StartsPerS * float64(time.Second)))
			if !waitUntil(ctx, due) {
				break
			}
		}
		scheduler, request, err := run.nextRequest(i)
		if err != nil { // the address makes no valid URL
			run.result.FirstError = err.Error()
			break
		}
		run.result.Sent++
		pool := c.pools[scheduler]
		client := pool[i/len(c.pools)%len(pool)]
		pending.Go(func() { run.send(ctx, client, request) })
	}
	pending.Wait()
	return &run.result
}

// waitUntil waits for a point in time. It returns false if the context ends first.
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

// loadRun is a load that is being sent.
type loadRun struct {
	clients *Clients
	load    Load
	rng     *rand.Rand // used by the sending goroutine only

	mu     sync.Mutex
	result Result
}

// nextRequest returns the request of the next job and the number of the scheduler that it goes to.
func (r *loadRun) nextRequest(index int) (int, *http.Request, error) {
	scheduler := index % len(r.clients.addresses)
	url := fmt.Sprintf("http://%s/%s/k%d", r.clients.addresses[scheduler], r.load.Class, r.rng.IntN(KeyCount))
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(r.load.RunTime.String()))
	if err != nil {
		return 0, nil, err
	}
	timeLeftMS := int64(shortTimeoutMS)
	if r.load.Class == process.LongClass {
		timeLeftMS = longTimeoutMS
	}
	request.Header.Set(platform.HeaderID, worker.JobID(scheduler, r.clients.serial.Add(1)))
	request.Header.Set(platform.HeaderTimeLeft, fmt.Sprint(timeLeftMS))
	if r.load.Tenants > 0 {
		request.Header.Set(admission.HeaderTenant, process.TenantName(index%r.load.Tenants))
	}
	return scheduler, request, nil
}

// send sends one job and counts its outcome.
func (r *loadRun) send(ctx context.Context, client *http.Client, request *http.Request) {
	started := time.Now()
	response, err := client.Do(request.WithContext(ctx))
	status, text := 0, ""
	if err == nil {
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		status, text = response.StatusCode, response.Status
	} else {
		text = err.Error()
	}
	latency := time.Since(started)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case status == http.StatusOK:
		r.result.Served++
		r.result.Latency.RecordValue(max(1, latency.Microseconds()))
		return
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		r.result.Refused++
	case ctx.Err() != nil:
		return // cancelled by the measurement: neither refused nor failed
	default:
		r.result.Failed++
	}
	if r.result.FirstError == "" {
		r.result.FirstError = text
	}
}
