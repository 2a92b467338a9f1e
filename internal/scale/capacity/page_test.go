package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/scale"
	"cobaltflow/internal/scale/result"
)

const (
	docs             = "../../../docs/"
	committedPage    = docs + "CAPACITY.md"
	committedTargets = docs + "measurements/scale-targets.json"
)

// committedResults lists the results files in the order in which the page names them.
var committedResults = []string{docs + "measurements/scale-results.json", docs + "measurements/scale-results-hollow.json"}

// A change to the results, the targets or the template requires the page to be generated again.
func TestCommittedPageMatchesTheCommittedResults(t *testing.T) {
	targets, err := ReadTargets(committedTargets)
	require.NoError(t, err)
	var files []*result.File
	for _, path := range committedResults {
		file, err := result.Read(path)
		require.NoError(t, err)
		files = append(files, file)
	}
	committed, err := os.ReadFile(committedPage)
	require.NoError(t, err)
	require.Equal(t, renderPage(t, targets, files...), string(committed),
		"generate it again: go run ./cmd/cobaltflow measure scale --page docs/CAPACITY.md --results docs/measurements/scale-results.json --results docs/measurements/scale-results-hollow.json")
}

// Every real case in the targets has to exist: a misspelt name would only look like a missing result.
func TestTargetsNameMeasuredCases(t *testing.T) {
	targets, err := ReadTargets(committedTargets)
	require.NoError(t, err)
	cases := map[string]bool{}
	for _, text := range scale.DescribeCases() {
		name, _, _ := strings.Cut(text, ":")
		cases[name] = true
	}
	for _, source := range targets.sources() {
		if source.Kind == result.Real {
			assert.True(t, cases[source.Case], "there is no case %q", source.Case)
		}
	}
}

// sources returns all figures that the targets name.
func (t *Targets) sources() (list []*Source) {
	add := func(term *Term) {
		if term.Figure != nil {
			list = append(list, term.Figure)
		}
		if term.Denominator != nil {
			list = append(list, term.Denominator)
		}
	}
	for i := range t.Roles {
		for n := range t.Roles[i].Rows {
			for _, part := range t.Roles[i].Rows[n].namedTerms() {
				add(part.term)
			}
		}
	}
	for i := range t.Constraints {
		add(&t.Constraints[i].Each)
		for n := range t.Constraints[i].Fixed {
			add(&t.Constraints[i].Fixed[n])
		}
	}
	return list
}

// The targets contain every number of the operators' list with the value that was given.
func TestTargetsContainTheOperatorsList(t *testing.T) {
	targets, err := ReadTargets(committedTargets)
	require.NoError(t, err)
	values := targets.sizeValues(nil)
	for key, want := range map[string]float64{
		"workers": 33_000, "accelerators": 73_000, "jobs_per_day": 380_000, "task_starts_per_s": 3_300, "tasks_running": 620_000,
		"gang_tasks": 1_024, "teams": 210, "urgent_start_s": 1, "regions": 5, "zones": 19, "config_changes_per_day": 16_000,
		"config_in_force_s": 15, "control_cores": 0.032, "control_memory": 256e6, "control_bytes_per_s": 3_000, "schedulers": 32,
		"machines_failing_per_day": 370, "machines_restarted_per_day": 11_000, "rack_losses_per_day": 1, "zone_losses_per_year": 6,
		"region_cut_s": 3_600,
	} {
		if assert.NotNil(t, targets.size(key), key) {
			assert.True(t, targets.size(key).FromOperators, key)
			assert.Equal(t, want, values[key], key)
		}
	}
}
