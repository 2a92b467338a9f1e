package log

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Lines below the level are not written, JSON lines hold the given keys, and invalid settings are errors.
func TestFormatsAndLevels(t *testing.T) {
	var out bytes.Buffer
	l, w, err := New(&out, Settings{Format: JSON, Level: "warn"})
	require.NoError(t, err)
	l.Info("below the level")
	l.Warn("conn end", "party", "agent", "age_ms", 3)
	w.Close()
	l.Warn("after Close, discarded")
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line), "one line: %s", out.String())
	assert.Equal(t, []any{"conn end", "agent", 3.0}, []any{line["msg"], line["party"], line["age_ms"]})
	for _, s := range []Settings{{Format: "xml"}, {Level: "loud"}} {
		_, _, err := New(&out, s)
		assert.ErrorContains(t, err, "log.")
	}
}

// blockedBuffer blocks each Write until unblock is closed.
type blockedBuffer struct {
	bytes.Buffer
	unblock chan struct{}
}

func (b *blockedBuffer) Write(p []byte) (int, error) {
	<-b.unblock
	return b.Buffer.Write(p)
}

// A reader of the log that is blocked does not block the writer: lines are dropped and counted.
func TestBlockedReaderDropsLinesWithoutBlocking(t *testing.T) {
	out := &blockedBuffer{unblock: make(chan struct{})}
	w := NewWriter(out)
	for i := range maxQueuedLines + 102 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	close(out.unblock)
	w.Close()
	assert.Regexp(t, `log lines dropped" count=10[012]\n`, out.String())
	assert.GreaterOrEqual(t, strings.Count(out.String(), "line "), maxQueuedLines)
}

// The first failure of a peer is reported at once, later ones at doubling intervals; the number of peers is bounded.
func TestFailureThrottleReportsAtGrowingIntervals(t *testing.T) {
	var throttle FailureThrottle
	reports := 0
	for now := int64(0); now < 60_000_000; now += 200_000 {
		if _, report := throttle.Failed("a:1", now); report {
			reports++
		}
	}
	assert.Equal(t, 6, reports, "at 0, 1, 3, 7, 15 and 31 s")
	n, report := throttle.Failed("b:1", 60_000_000)
	assert.True(t, report && n == 1, "another peer has a count of its own")
	assert.Equal(t, 300, throttle.Reached("a:1"))
	assert.Zero(t, throttle.Reached("a:1"))
	for i := range 3 * maxPeers {
		throttle.Failed(fmt.Sprint(i), 100_000_000)
	}
	assert.LessOrEqual(t, len(throttle.peers), maxPeers)
}
