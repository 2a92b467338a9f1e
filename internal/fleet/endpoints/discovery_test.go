package endpoints

import (
	"bufio"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/relay"
	"cobaltflow/internal/fleet/scenario"
)

// Of two overlapping outages of discovery, the end of the first must not end the second: discovery answers again only when
// both are over.
func TestDiscoveryAnswersAfterOverlappingOutages(t *testing.T) {
	s, err := scenario.Parse([]byte(`{"name":"outages","seconds":1,"sites":[{"name":"a","schedulers":1,"workers":1}],
		"classes":[{"name":"view","share":1,"run_ms":20,"effect":"repeatable","aim_ms":200,"deadline_s":0.5,"worth":1,"late_worth":0.5}],
		"clients":{"load":0.1}}`))
	require.NoError(t, err)
	d, err := NewDiscovery(s, NewRecorder(), relay.New(1, [2]time.Duration{}, [2]time.Duration{}, 1), nil, 1)
	require.NoError(t, err)
	defer d.Close()
	answers := func(limit time.Duration) bool {
		r, err := (&http.Client{Timeout: limit}).Get("http://" + d.Address(0) + "/api/targets")
		if err == nil {
			r.Body.Close()
		}
		return err == nil
	}
	const answerTimeout, silenceTimeout = 10 * time.Second, 50 * time.Millisecond
	d.SetOutage(true)
	d.SetOutage(true)
	d.SetOutage(false)
	assert.False(t, answers(silenceTimeout), "one outage is still on")
	d.SetOutage(false)
	assert.True(t, answers(answerTimeout))
}

// An update is recorded with the time at which it was written to a watch that was open when discovery had it. One that no
// watch was open for, or that a later watch fetches, keeps the time at which discovery had it.
func TestUpdatesAreRecordedWhenWritten(t *testing.T) {
	s, err := scenario.Parse([]byte(`{"name":"updates","seconds":1,"sites":[{"name":"a","schedulers":1,"workers":1}],
		"classes":[{"name":"view","share":1,"run_ms":20,"effect":"repeatable","aim_ms":200,"deadline_s":0.5,"worth":1,"late_worth":0.5}],
		"clients":{"load":0.1}}`))
	require.NoError(t, err)
	recorder := NewRecorder()
	d, err := NewDiscovery(s, recorder, relay.New(1, [2]time.Duration{}, [2]time.Duration{}, 1), nil, 1)
	require.NoError(t, err)
	defer d.Close()
	srv := d.servers[0]
	srv.apply(ListEntry{Name: "t000", Status: "up"})
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Get("http://" + d.Address(0) + "/api/targets?watch=1&after=1")
	require.NoError(t, err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	require.True(t, lines.Scan())
	require.Contains(t, lines.Text(), `"status":"up"`)
	srv.apply(ListEntry{Name: "t000", Status: "draining"})
	require.True(t, lines.Scan())
	require.Contains(t, lines.Text(), "draining")
	require.Eventually(t, func() bool {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		return srv.changes[1].row.WrittenUS > 0
	}, 10*time.Second, time.Millisecond)
	srv.mu.Lock()
	first, index := srv.changes[1].row.WrittenUS, srv.changes[1].Index
	srv.mu.Unlock()
	time.Sleep(time.Millisecond)
	srv.markWritten(index-1, index, 0) // another watch of the same scheduler writes it later
	d.RecordUpdates()
	updates := recorder.Records().ListUpdates
	require.Len(t, updates, 2)
	require.Equal(t, first, updates[1].WrittenUS, "the scheduler knows from the first watch on")
	require.Zero(t, updates[0].WrittenUS)
	require.GreaterOrEqual(t, updates[1].WrittenUS, updates[1].AtUS)
	require.Equal(t, []string{"up", "draining"}, []string{updates[0].Status, updates[1].Status})
}
