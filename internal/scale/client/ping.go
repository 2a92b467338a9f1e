package client

import (
	"context"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cobaltflow/internal/platform"
	"cobaltflow/internal/scale/process"
)

// pingEvery is the time between two pings. A turn of the loop that is shorter may pass unseen.
const pingPeriod = time.Millisecond

// Ping asks a scheduler for its readiness again and again on one connection until the context ends, and gives the
// round trips in microseconds. The scheduler's loop answers, so that the longest one bounds its slowest turn from above
// as far as a ping met it.
func Ping(ctx context.Context, s *process.Scheduler) *hdrhistogram.Histogram {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	trips := hdrhistogram.New(1, longTimeoutMS*1000, 3)
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL(platform.PathReady), nil)
		if err != nil {
			return trips
		}
		began := time.Now()
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
			trips.RecordValue(max(1, time.Since(began).Microseconds()))
		}
		waitUntil(ctx, began.Add(pingPeriod))
	}
	return trips
}
