package scenario

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each scenario file of the project can be loaded.
func TestScenarioFilesLoad(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		_, err := Load(f)
		require.NoError(t, err)
	}
}

// An invalid scenario is rejected with an error that names the invalid key.
func TestErrorsNameTheKey(t *testing.T) {
	const class = `{"name":"v","share":1,"run_ms":1,"effect":"once","aim_ms":5,"deadline_s":1,"worth":1}`
	for _, c := range []struct{ text, key string }{
		{`{"name":"a","seconds":1,"sites":[{"name":"a","schedulers":0,"workers":1}],"classes":[` + class + `]}`, "sites"},
		{`{"name":"a","seconds":1,"sites":[{"name":"a","schedulers":1,"workers":1},{"name":"a","schedulers":1,"workers":1}],"classes":[` + class + `]}`, "sites.1.name"},
		{`{"name":"a","seconds":1,"sites":[{"name":"a","schedulers":1,"workers":1}],"classes":[` + class + `],"faults":[{"at_s":0,"what":"cut","to":"b"}]}`, "faults.0.to"},
		{`{"name":"a","seconds":1,"sites":[{"name":"a","schedulers":1,"workers":1}],"classes":[` + class + `],"faults":[{"at_s":0,"what":"burn"}]}`, "faults.0.what"},
		{`{"name":"a","seconds":1,"sites":[{"name":"a","schedulers":1,"workers":1}],"classes":[` + class + `],"limits":[{"figure":"worth","window":"w","least":1}]}`, "limits.0.window"},
		{`{"name":"a","seconds":1,"sites":[{"name":"a","schedulers":1,"workers":1}],"classes":[` + class + `],"limits":[{"figure":"worth"}]}`, "limits.0"},
		{`{"name":"a","seconds":0,"sites":[{"name":"a","schedulers":1,"workers":1}],"classes":[` + class + `]}`, "seconds"},
	} {
		_, err := Parse([]byte(c.text))
		var invalid *Error
		require.ErrorAs(t, err, &invalid)
		require.Equal(t, c.key, invalid.Key, invalid.Text)
	}
}
