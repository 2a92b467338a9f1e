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

// measureFlood compares what the HTTP front's jobs earn with and without ten times as many jobs that are pushed.
func measureFlood(ctx context.Context, w io.Writer, o FaktoryOptions) error {
	const httpRate, times = 200.0, 10
	fmt.Fprintf(w, "### HTTP jobs, %.0f a second, beside a flood of PUSHes at %d times that rate, on one core\n\n| flood | worth served | p50 ms | p99 ms | PUSHes taken/s | turned away/s |\n| --- | ---: | ---: | ---: | ---: | ---: |\n", httpRate, times)
	for _, workers := range []int{-1, 1, 0, -1, 1, 0} { // of the flood's queue; below 0: no flood
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
		run, cancel := context.WithTimeout(ctx, time.Duration(o.Seconds*float64(time.Second)))
		l := &load{address: g.faktory, queue: "flood", rate: httpRate * times, padding: strings.Repeat("x", 150)}
		ended := make(chan error, 1)
		if flood {
			go func() { ended <- l.run(run, pushers, workers) }()
		} else {
			ended <- nil
		}
		h := &httpLoad{address: g.http, rate: httpRate}
		h.run(run)
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
		lat := h.quantiles()
		fmt.Fprintf(w, "| %s | %.3f | %.1f | %.1f | %.0f | %.0f |\n", name, h.earnedValue/h.offeredValue, lat[0], lat[1],
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

// httpLoad is an open loop of the HTTP front's clients, with a mix of classes.
type httpLoad struct {
	address                   string
	rate                      float64
	mu                        sync.Mutex
	earnedValue, offeredValue float64
	latencies                 []time.Duration
	failed                    atomic.Int64
}

func (h *httpLoad) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	began := time.Now()
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		due := time.Duration(float64(n) / h.rate * float64(time.Second))
		sleep(ctx, due-time.Since(began))
		if ctx.Err() != nil {
			break
		}
		class := classTable[[]int{0, 0, 0, 1, 1, 1, 2}[rng.IntN(7)]]
		key, id := rng.IntN(50), fmt.Sprintf("http-%d", nextID.Add(1))
		wg.Go(func() {
			q, _ := http.NewRequest("POST", fmt.Sprintf("http://%s/%s/t%d", h.address, class.name, key), strings.NewReader("body"))
			q.Header.Set(platform.HeaderID, id)
			q.Header.Set(platform.HeaderClass, class.name)
			q.Header.Set(platform.HeaderTimeLeft, fmt.Sprint(class.deadlineMS))
			r, err := c.Do(q)
			took := time.Since(began) - due // from when it was due: a stall is not hidden
			if err == nil {
				io.Copy(io.Discard, r.Body)
				r.Body.Close()
				if r.StatusCode != 200 {
					err = errors.New(r.Status)
				}
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			h.offeredValue += class.worth
			if err != nil {
				h.failed.Add(1)
				return
			}
			h.latencies = append(h.latencies, took)
			if took < time.Duration(class.aimMS)*time.Millisecond {
				h.earnedValue += class.worth
			} else {
				h.earnedValue += class.worth / 4
			}
		})
	}
	wg.Wait()
}

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
