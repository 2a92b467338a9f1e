package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/record"
)

// The report has all charts, the faults and the checks, escapes HTML in texts, and refers to no external resource.
func TestReportIsSelfContained(t *testing.T) {
	rec := &record.Records{
		Tries: []record.Try{{ID: "a", RunUS: 1000, DueUS: 1e6, SentUS: 1e6, EndedUS: 1.1e6, TimeLeftMS: 1000, Status: 200, End: record.EndAnswered, IsCorrect: true},
			{Request: 1, ID: "b", RunUS: 1000, DueUS: 2e6, SentUS: 2e6, EndedUS: 2.1e6, TimeLeftMS: 1000, Status: 503, End: record.EndAnswered}},
		Attempts: []record.Attempt{{ID: "a", ArrivedUS: 1e6, StartedUS: 1e6, EndedUS: 1.1e6, Outcome: record.OutcomeDone}},
		Samples:  []record.Sample{{AtUS: 1e6, UsableSlots: 1, Running: 1}, {AtUS: 2e6, UsableSlots: 1}},
		Events:   []record.Event{{AtUS: 1.5e6, Kind: "lose-site", Scheduler: -1, Worker: -1}},
		About: record.About{Build: "new", Seed: 3, Scenario: []byte(`{"name":"x","about":"<b>","seconds":3,"sites":[{"name":"s","schedulers":1,"workers":1}],
			"workers":{"kinds":[{"name":"k","share":1,"speed":1}]},
			"classes":[{"name":"v","share":1,"run_ms":1,"effect":"repeatable","aim_ms":500,"deadline_s":1,"worth":1}]}`)},
	}
	dir := t.TempDir()
	require.NoError(t, rec.Save(filepath.Join(dir, "x")))
	path := filepath.Join(dir, "report.html")
	require.NoError(t, Write(path, []string{filepath.Join(dir, "x")}))
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 3, strings.Count(string(text), "<svg"))
	require.Contains(t, string(text), "1.5 s: lose-site")
	require.Contains(t, string(text), "passed: no effect twice")
	require.Contains(t, string(text), "&lt;b&gt;")
	for _, external := range []string{"<script", "src=", "@import"} {
		require.NotContains(t, string(text), external)
	}
}
