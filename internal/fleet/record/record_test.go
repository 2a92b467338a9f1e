package record

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRecordsAreReadAsTheyWereSaved(t *testing.T) {
	r := &Records{Tries: []Try{{Request: 3, ID: "x", Status: 200, End: EndAnswered, Right: true, AfterMS: -1}}, Runs: []Run{{ID: "x", Worker: 2, How: HowDone}},
		Samples: []Sample{{AtUS: 5, Room: 1.5}}, Told: []Told{{Status: "up"}}, Events: []Event{{What: "cut", Ends: true}},
		About: About{Scenario: []byte(`{"name": "a"}`), Seed: 9, Passed: map[string]Path{"job": {Opened: 1}}}}
	dir := t.TempDir()
	require.NoError(t, r.Save(dir))
	got, err := Open(dir)
	require.NoError(t, err)
	require.JSONEq(t, string(r.About.Scenario), string(got.About.Scenario))
	got.About.Scenario = r.About.Scenario
	require.Equal(t, r, got)
}
