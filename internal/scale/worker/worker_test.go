package worker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/platform"
	"cobaltflow/internal/scale/discovery"
	"cobaltflow/internal/scale/traffic"
)

// harness is a fleet with a fake scheduler that records its callbacks.
type harness struct {
	*Fleet
	counter traffic.Counter
	events  chan event
}

func newHarness(t *testing.T, s Settings) *harness {
	t.Helper()
	h := &harness{events: make(chan event, 64)}
	scheduler := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, request *http.Request) {
		var e event
		if json.NewDecoder(request.Body).Decode(&e) == nil {
			h.events <- e
		}
		rw.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(scheduler.Close)
	var err error
	h.Fleet, err = Start(s, &h.counter, []netip.AddrPort{netip.MustParseAddrPort(scheduler.Listener.Addr().String())})
	require.NoError(t, err)
	t.Cleanup(h.Close)
	return h
}

// send sends a job to a worker and returns the status and the X-Unprocessed header of the response, or 0 if there was
// none.
func (h *harness) send(t *testing.T, worker int, serial uint64, runTime time.Duration) (int, string) {
	t.Helper()
	url := fmt.Sprintf("http://%s/short/key", h.Entry(worker, discovery.Up).Address)
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(runTime.String()))
	require.NoError(t, err)
	request.Header.Set(platform.HeaderID, JobID(0, serial))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get(platform.HeaderUnprocessed)
}

func TestDialledWorkerReportsStartAndEndOfAJob(t *testing.T) {
	h := newHarness(t, Settings{Workers: MaxWorkers, Zones: 19, Slots: 1, Queue: 1})
	for serial, worker := range []int{0, 255, 256, 33_000, MaxWorkers - 1} {
		status, _ := h.send(t, worker, uint64(serial), time.Millisecond)
		require.Equal(t, http.StatusAccepted, status)
		id := JobID(0, uint64(serial))
		require.Equal(t, event{ID: id, From: Name(worker), State: stateStarted}, <-h.events)
		require.Equal(t, event{ID: id, From: Name(worker), State: stateDone, Result: "result of " + id}, <-h.events)
	}
	require.Equal(t, Counts{Accepted: 5, Started: 5, Done: 5}, h.ReadCounts())
}

func TestFullWorkerRejectsJobsAsUnprocessed(t *testing.T) {
	h := newHarness(t, Settings{Workers: 2, Zones: 1, Slots: 1, Queue: 1})
	for serial := range uint64(2) {
		status, _ := h.send(t, 0, serial, time.Hour)
		require.Equal(t, http.StatusAccepted, status)
	}
	status, unprocessed := h.send(t, 0, 2, time.Hour)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "1", unprocessed)
	require.Equal(t, 2, h.HeldJobs())
	require.Equal(t, Counts{Accepted: 2, Started: 1, Rejected: 1}, h.ReadCounts())

	response, err := http.Get(fmt.Sprintf("http://%s%s", h.Entry(0, discovery.Up).Address, platform.PathLoad))
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.True(t, bytes.Contains(text, []byte("queue=1")) && bytes.Contains(text, []byte("inflight=2")) && bytes.Contains(text, []byte("x0=0")), string(text))
	require.Equal(t, uint64(1), h.counter.Totals()[traffic.Probe].Messages)
	require.Equal(t, uint64(3), h.counter.Totals()[traffic.Job].Messages)
}

func TestStoppedWorkerDoesNotAnswerUntilItsRestart(t *testing.T) {
	h := newHarness(t, Settings{Workers: 2, Zones: 2, Slots: 4, Queue: 1})
	status, _ := h.send(t, 0, 0, time.Hour)
	require.Equal(t, http.StatusAccepted, status)
	h.Stop(0)
	require.Zero(t, h.HeldJobs())
	status, _ = h.send(t, 0, 1, time.Hour)
	require.Zero(t, status)
	status, _ = h.send(t, 1, 2, time.Hour)
	require.Equal(t, http.StatusAccepted, status)

	now := time.Now()
	h.Restart(0, now)
	require.Equal(t, now.UnixMilli(), h.Entry(0, discovery.Up).SinceMS)
	status, _ = h.send(t, 0, 3, time.Hour)
	require.Equal(t, http.StatusAccepted, status)
}

func TestZonesHaveEqualShares(t *testing.T) {
	h := newHarness(t, Settings{Workers: 33_000, Zones: 19, Slots: 1, Queue: 1})
	sizes := map[int]int{}
	for worker := range 33_000 {
		sizes[h.Zone(worker)]++
	}
	require.Len(t, sizes, 19)
	for _, size := range sizes {
		require.InDelta(t, 33_000.0/19, size, 1)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, s := range []Settings{{}, {Workers: MaxWorkers + 1, Zones: 1, Slots: 1}, {Workers: 1, Slots: 1}, {Workers: 1, Zones: 1}} {
		_, err := Start(s, &traffic.Counter{}, nil)
		require.ErrorIs(t, err, errInvalidSettings)
	}
}
