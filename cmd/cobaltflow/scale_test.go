package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/scale"
)

func TestScaleProgramsByLabel(t *testing.T) {
	sections := filepath.Join(t.TempDir(), "own.json")
	require.NoError(t, os.WriteFile(sections, []byte(`{"log":{}}`), 0o600))
	list, err := scalePrograms([]string{"before=/a", "now=/b"}, []string{"now=" + sections})
	require.NoError(t, err)
	require.Equal(t, []scale.Program{{Label: "before", Path: "/a"}, {Label: "now", Path: "/b", Sections: []byte(`{"log":{}}`)}}, list)

	list, err = scalePrograms(nil, nil)
	require.NoError(t, err)
	require.Len(t, list, 1)
	require.Equal(t, selfLabel, list[0].Label)
}

func TestScaleProgramsRefusesInvalidFlags(t *testing.T) {
	for _, programs := range [][]string{{"/a"}, {"=/a"}, {"now="}} {
		_, err := scalePrograms(programs, nil)
		require.ErrorContains(t, err, "--program")
	}
	_, err := scalePrograms([]string{"now=/a"}, []string{"before=/b"})
	require.ErrorContains(t, err, `"before"`)
	_, err = scalePrograms([]string{"now=/a"}, []string{"now=" + filepath.Join(t.TempDir(), "absent")})
	require.ErrorIs(t, err, os.ErrNotExist)
}
