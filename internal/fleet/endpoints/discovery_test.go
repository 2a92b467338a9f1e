package endpoints

import (
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
