package faktory_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a worker that goes on after its client has given up: a job that had waited was fetched with the time that was
// left at its PUSH.
func TestFetchedJobCarriesTheTimeThatIsLeft(t *testing.T) {
	const waited = 300 * time.Millisecond
	n := start(t, nil)
	c, w := session(n, ""), session(n, "w-1")
	require.Equal(t, "OK", c.Do("PUSH", `{"jid":"job-0001","jobtype":"settle","queue":"q","args":["a"],"custom":{"time_left_ms":9000,"key":"k"},"retry":0}`))
	time.Sleep(waited)
	var job struct {
		JID    string
		Retry  int
		Custom struct {
			TimeLeftMS int64 `json:"time_left_ms"`
			Key        string
		}
	}
	require.NoError(t, json.Unmarshal([]byte(w.Do("FETCH", "q")), &job))
	assert.LessOrEqual(t, job.Custom.TimeLeftMS, 9000-waited.Milliseconds())
	assert.Greater(t, job.Custom.TimeLeftMS, int64(7000))
	assert.Equal(t, []string{"job-0001", "k"}, []string{job.JID, job.Custom.Key}, "all else is as it was pushed")
}
