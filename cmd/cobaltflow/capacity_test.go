package main

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	testTargets = "../../internal/scale/capacity/testdata/targets.json"
	testResults = "../../internal/scale/capacity/testdata/results.json"
)

// runCapacity runs the scale command with the given arguments.
func runCapacity(t *testing.T, arguments ...string) error {
	t.Helper()
	command := withCapacityPage(scaleCommand())
	command.SilenceUsage, command.SilenceErrors = true, true
	command.SetArgs(arguments)
	command.SetOut(io.Discard)
	return command.Execute()
}

func TestCapacityPageIsWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.md")
	require.NoError(t, runCapacity(t, "--page", path, "--results", testResults, "--targets", testTargets))
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Contains(t, string(text), "# Capacity")
}

func TestCapacityPageNamesInvalidInput(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "page.md")
	invalid := filepath.Join(dir, "invalid.json")
	require.NoError(t, os.WriteFile(invalid, []byte(`{"version": 7}`), 0o600))
	for _, c := range []struct {
		want      string
		arguments []string
	}{
		{"--results: only with --page", []string{"--results", testResults}},
		{"--results: missing", []string{"--page", path, "--targets", testTargets}},
		{"--results: " + invalid + ": version: 7 is not 1", []string{"--page", path, "--targets", testTargets, "--results", invalid}},
		{"--targets: " + invalid + ": targets.version: 7 is not 1", []string{"--page", path, "--targets", invalid, "--results", testResults}},
		{"results.1.slopes.0: ", []string{"--page", path, "--targets", testTargets, "--results", testResults, "--results", testResults}},
	} {
		require.ErrorContains(t, runCapacity(t, c.arguments...), c.want)
		_, err := os.Stat(path)
		assert.ErrorIs(t, err, os.ErrNotExist)
	}
}

func TestScaleMeasuresWithoutPage(t *testing.T) {
	measured := false
	command := withCapacityPage(&cobra.Command{Use: "scale", RunE: func(*cobra.Command, []string) error {
		measured = true
		return nil
	}})
	command.SetArgs(nil)
	require.NoError(t, command.Execute())
	assert.True(t, measured)
}
