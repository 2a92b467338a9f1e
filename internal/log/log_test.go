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

func TestFormatsAndLevels(t *testing.T) {
	var out bytes.Buffer
	l, w, err := New(&out, Settings{Format: JSON, Level: "warn"})
	require.NoError(t, err)
	l.Info("not told")
	l.Warn("conn end", "party", "agent", "age_ms", 3)
	w.Close()
	l.Warn("too late, and let pass")
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line), "one line: %s", out.String())
	assert.Equal(t, []any{"conn end", "agent", 3.0}, []any{line["msg"], line["party"], line["age_ms"]})
	for _, s := range []Settings{{Format: "xml"}, {Level: "loud"}} {
		_, _, err := New(&out, s)
		assert.ErrorContains(t, err, "log.")
	}
}

type stuck struct {
	bytes.Buffer
	go_ chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.go_
	return s.Buffer.Write(p)
}

// A reader of the log that stands still costs lines, never time, and the lost ones are counted.
func TestASlowReaderCostsLinesOnly(t *testing.T) {
	out := &stuck{go_: make(chan struct{})}
	w := NewWriter(out)
	for i := range maxQueuedLines + 102 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	close(out.go_)
	w.Close()
	assert.Regexp(t, `log lines dropped" count=10[012]\n`, out.String())
	assert.GreaterOrEqual(t, strings.Count(out.String(), "line "), maxQueuedLines)
}

func TestSparseTellsTheFirstFailureAndThenFewer(t *testing.T) {
	var s FailureThrottle
	told := 0
	for now := int64(0); now < 60_000_000; now += 200_000 {
		if _, tell := s.Failed("a:1", now); tell {
			told++
		}
	}
	assert.Equal(t, 6, told, "at 0, 1, 3, 7, 15 and 31 s")
	n, tell := s.Failed("b:1", 60_000_000)
	assert.True(t, tell && n == 1, "another peer has a count of its own")
	assert.Equal(t, 300, s.Reached("a:1"))
	assert.Zero(t, s.Reached("a:1"))
	for i := range 3 * maxPeers {
		s.Failed(fmt.Sprint(i), 100_000_000)
	}
	assert.LessOrEqual(t, len(s.peers), maxPeers)
}
