package record

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Records that are saved and opened again are the same.
func TestSavedRecordsReadBack(t *testing.T) {
	records := &Records{Tries: []Try{{Request: 3, ID: "x", Status: 200, End: EndAnswered, IsCorrect: true, RetryAfterMS: -1}}, Attempts: []Attempt{{ID: "x", Worker: 2, Outcome: OutcomeDone}},
		Samples: []Sample{{AtUS: 5, UsableSlots: 1.5}}, ListUpdates: []ListUpdate{{Status: "up"}}, Events: []Event{{Kind: "cut", IsEnd: true}}, Lags: []Lag{{FromUS: 1, ToUS: 2, LagUS: 3}},
		About: About{Scenario: []byte(`{"name": "a"}`), Seed: 9, Paths: map[string]PathTraffic{"job": {Opened: 1}}}}
	dir := t.TempDir()
	require.NoError(t, records.Save(dir))
	got, err := Open(dir)
	require.NoError(t, err)
	require.JSONEq(t, string(records.About.Scenario), string(got.About.Scenario))
	got.About.Scenario = records.About.Scenario
	require.Equal(t, records, got)
}

// An update counts as told when it was written, and 6 s after discovery had it at the latest.
func TestToldUS(t *testing.T) {
	require.Equal(t, int64(5e6), (&ListUpdate{AtUS: 5e6}).ToldUS())
	require.Equal(t, int64(-5e6), (&ListUpdate{AtUS: -5e6}).ToldUS())
	require.Equal(t, int64(7e6), (&ListUpdate{AtUS: 5e6, WrittenUS: 7e6}).ToldUS())
	require.Equal(t, int64(11e6), (&ListUpdate{AtUS: 5e6, WrittenUS: 20e6}).ToldUS())
}
