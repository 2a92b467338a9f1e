package client

import (
	"context"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cobaltflow/internal/platform"
	"cobaltflow/internal/scale/process"
)

// pingPeriod is the time between two pings. A shorter turn of the loop may go unnoticed.
const pingPeriod = time.Millisecond

// Ping polls a scheduler's readiness on one connection until the context ends, and returns the round trips in
// microseconds. The scheduler's loop answers the pings, so the longest round trip is an upper bound of the slowest turn
// during which a ping arrived.
func Ping(ctx context.Context, s *process.Scheduler) *hdrhistogram.Histogram {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	roundTrips := hdrhistogram.New(1, longTimeoutMS*1000, 3)
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL(platform.PathReady), nil)
		if err != nil {
			return roundTrips
		}
		started := time.Now()
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
			roundTrips.RecordValue(max(1, time.Since(started).Microseconds()))
		}
		waitUntil(ctx, started.Add(pingPeriod))
	}
	return roundTrips
}
