package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/platform"
	"cobaltflow/internal/scale/traffic"
)

const testTimeout = 10 * time.Second

type line struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

func newEntries(count int) (list []Entry) {
	for i := range count {
		list = append(list, Entry{Name: fmt.Sprintf("w%04d", i), Status: Up, Weight: 1})
	}
	return list
}

func startServer(t *testing.T, workers int) (*Server, *traffic.Counter) {
	t.Helper()
	counter := &traffic.Counter{}
	s, err := Start(newEntries(workers), counter)
	require.NoError(t, err)
	t.Cleanup(func() { s.Close() })
	return s, counter
}

// watch opens a watch from a version. The function next returns the next line that is not a heartbeat.
func watch(t *testing.T, s *Server, after int64) (next func() line) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	url := fmt.Sprintf("http://%s%s?watch=1&after=%d", s.Address(), platform.PathTargets, after)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	r := bufio.NewReader(response.Body)
	return func() (l line) {
		t.Helper()
		for {
			text, err := r.ReadBytes('\n')
			require.NoError(t, err)
			if len(text) > 1 {
				require.NoError(t, json.Unmarshal(text, &l))
				return l
			}
		}
	}
}

func TestFullListContainsItsVersion(t *testing.T) {
	s, counter := startServer(t, 300)
	response, err := http.Get(fmt.Sprintf("http://%s%s", s.Address(), platform.PathTargets))
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var l line
	require.NoError(t, json.Unmarshal(text, &l))
	require.Equal(t, newEntries(300), l.Endpoints)
	require.True(t, l.Snapshot)
	require.Equal(t, s.Version(), l.Index)
	require.Greater(t, counter.Totals()[traffic.List].BytesIn, uint64(len(text)))
}

func TestWatchContinuesFromTheRequestedVersion(t *testing.T) {
	s, _ := startServer(t, 3)
	known := s.Version()
	require.NoError(t, s.Update(Entry{Name: "w0001", Status: Removed}))
	next := watch(t, s, known)
	first := next()
	require.Equal(t, known+1, first.Index)
	require.False(t, first.Snapshot)
	require.Equal(t, 2, s.WorkerCount())
	require.NoError(t, s.Update(Entry{Name: "w0001", Status: Up}, Entry{Name: "w0009", Status: Up}))
	second := next()
	require.Equal(t, known+2, second.Index)
	require.Len(t, second.Endpoints, 2)
	require.Equal(t, 4, s.WorkerCount())
}

func TestWatchFromAVersionBeforeTheHistoryReceivesTheFullList(t *testing.T) {
	s, _ := startServer(t, 2)
	for range maxHistoryUpdates + 1 {
		require.NoError(t, s.Update(Entry{Name: "w0000", Status: Up}))
	}
	require.Len(t, s.history, maxHistoryUpdates)
	l := watch(t, s, 1)()
	require.True(t, l.Snapshot)
	require.Equal(t, s.Version(), l.Index)
	require.Len(t, l.Endpoints, 2)
}

func TestOutageClosesWatchesAndRefusesConnections(t *testing.T) {
	s, _ := startServer(t, 1)
	watch(t, s, s.Version())
	require.Eventually(t, func() bool { return s.WatchCount() == 1 }, testTimeout, time.Millisecond)
	s.SetDown(true)
	require.Eventually(t, func() bool { return s.WatchCount() == 0 }, testTimeout, time.Millisecond)
	client := &http.Client{Transport: &http.Transport{}}
	_, err := client.Get(fmt.Sprintf("http://%s%s", s.Address(), platform.PathTargets))
	require.Error(t, err)
	s.SetDown(false)
	response, err := client.Get(fmt.Sprintf("http://%s%s", s.Address(), platform.PathTargets))
	require.NoError(t, err)
	response.Body.Close()
}
