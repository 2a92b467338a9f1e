package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cobaltflow/internal/platform"
)

// measureFlood compares the value that jobs of the HTTP front earn with and without a flood of PUSHes at ten times their rate.
func measureFlood(ctx context.Context, w io.Writer, o Options) error {
	const httpRate, floodFactor = 200.0, 10
	fmt.Fprintf(w, "### HTTP jobs, %.0f a second, beside a flood of PUSHes at %d times that rate, on one core\n\n| flood | worth served | p50 ms | p99 ms | PUSHes taken/s | turned away/s |\n| --- | ---: | ---: | ---: | ---: | ---: |\n", httpRate, floodFactor)
	for _, workers := range []int{-1, 1, 0, -1, 1, 0} { // workers of the flood's queue; below 0: no flood
		flood := workers >= 0
		var tables []*TableWorker
		var addresses []string
		for i := range 4 {
			t, err := NewTableWorker(fmt.Sprint("table-", i), 4, 40*time.Millisecond, nil)
			if err != nil {
				return err
			}
			defer t.Close()
			tables, addresses = append(tables, t), append(addresses, t.Address())
		}
		g, err := startGateway(gatewayOptions{binary: o.Binary, core: o.Core, workers: addresses, faktory: map[string]any{"max_held_jobs": 1000}})
		if err != nil {
			return err
		}
		for _, t := range tables {
			t.SendCallbacksTo(g.http)
		}
		runCtx, cancel := context.WithTimeout(ctx, time.Duration(o.Seconds*float64(time.Second)))
		l := &load{address: g.faktory, queue: "flood", rate: httpRate * floodFactor, padding: strings.Repeat("x", 150)}
		ended := make(chan error, 1)
		if flood {
			go func() { ended <- l.run(runCtx, pushers, workers) }()
		} else {
			ended <- nil
		}
		h := &httpLoad{address: g.http, rate: httpRate}
		h.run(runCtx)
		cancel()
		err = <-ended
		g.stop()
		if err != nil {
			return err
		}
		name := "none"
		if flood {
			name = fmt.Sprintf("%.0f/s, %d workers", l.rate, workers)
		}
		latencyMS := h.quantiles()
		fmt.Fprintf(w, "| %s | %.3f | %.1f | %.1f | %.0f | %.0f |\n", name, h.earnedValue/h.offeredValue, latencyMS[0], latencyMS[1],
			(l.rate*o.Seconds-float64(l.refused.Load()))/o.Seconds*boolToFloat(flood), float64(l.refused.Load())/o.Seconds)
	}
	return nil
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// httpLoad sends jobs of mixed classes to the HTTP front in an open loop.
type httpLoad struct {
	address                   string
	rate                      float64 // jobs per second
	mu                        sync.Mutex
	earnedValue, offeredValue float64
	latencies                 []time.Duration
	failed                    atomic.Int64
}

// run sends jobs until the context ends and waits for their answers. An answer after the latency target earns a quarter of
// the job's value.
func (h *httpLoad) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	start := time.Now()
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		due := time.Duration(float64(n) / h.rate * float64(time.Second))
		sleep(ctx, due-time.Since(start))
		if ctx.Err() != nil {
			break
		}
		class := classTable[[]int{0, 0, 0, 1, 1, 1, 2}[rng.IntN(7)]]
		key, id := rng.IntN(50), fmt.Sprintf("http-%d", nextID.Add(1))
		wg.Go(func() {
			req, _ := http.NewRequest("POST", fmt.Sprintf("http://%s/%s/t%d", h.address, class.name, key), strings.NewReader("body"))
			req.Header.Set(platform.HeaderID, id)
			req.Header.Set(platform.HeaderClass, class.name)
			req.Header.Set(platform.HeaderTimeLeft, fmt.Sprint(class.deadlineMS))
			resp, err := c.Do(req)
			latency := time.Since(start) - due // from the due time, so that a stall of the sender counts too
			if err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != 200 {
					err = errors.New(resp.Status)
				}
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			h.offeredValue += class.value
			if err != nil {
				h.failed.Add(1)
				return
			}
			h.latencies = append(h.latencies, latency)
			if latency < time.Duration(class.latencyTargetMS)*time.Millisecond {
				h.earnedValue += class.value
			} else {
				h.earnedValue += class.value / 4
			}
		})
	}
	wg.Wait()
}

// quantiles returns the median and the 99th percentile of the latency, in milliseconds.
func (h *httpLoad) quantiles() [2]float64 {
	if len(h.latencies) == 0 {
		return [2]float64{}
	}
	slices.Sort(h.latencies)
	at := func(q float64) float64 {
		return float64(h.latencies[int(q*float64(len(h.latencies)-1))].Microseconds()) / 1000
	}
	return [2]float64{at(0.5), at(0.99)}
}
