package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/scenario"
)

// ciSeeds are run in each run of the tests: the first few, and each seed that has failed in a manual soak. Further seeds are
// run manually.
var ciSeeds = []uint64{1, 2, 3, 4, 1011, 2012, 2030, 2034, 3005}

const ciParallel = 3 // parallel runs

// buildBinary builds the program and returns its path.
func buildBinary(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "cobaltflow")
	out, err := exec.Command("go", "build", "-o", binary, "cobaltflow/cmd/cobaltflow").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// The scenarios of ciSeeds pass all checks.
func TestSoak(t *testing.T) {
	binary := buildBinary(t)
	slots := make(chan struct{}, ciParallel)
	for _, seed := range ciSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			var out bytes.Buffer
			outcomes, err := Run(context.Background(), Options{Binary: binary, FirstSeed: seed, SeedCount: 1, Dir: os.Getenv("SOAK_DIR"), Output: &out})
			require.NoError(t, err)
			require.Len(t, outcomes, 1)
			assert.Empty(t, outcomes[0].FailedChecks)
			assert.Positive(t, outcomes[0].Served)
			t.Log(out.String())
		})
	}
}

// A seed always gives the same scenario, within the bounds. Over many seeds each kind of fault, short deadlines, large
// fleets and quiet starts occur.
func TestDrawScenario(t *testing.T) {
	const seeds = 300
	kinds, shortDeadlines, largeFleets, quietStarts := map[string]int{}, 0, 0, 0
	for seed := range uint64(seeds) {
		s, err := DrawScenario(seed)
		require.NoError(t, err, "seed %d", seed)
		again, err := DrawScenario(seed)
		require.NoError(t, err)
		require.Equal(t, s, again)
		require.LessOrEqual(t, s.RatePerS(), maxRequestRate*1.01)
		require.LessOrEqual(t, len(s.SchedulerSites()), 30)
		effects := map[string]bool{}
		longest := 0.0
		for _, c := range s.Classes {
			effects[c.Effect] = true
			longest = max(longest, c.DeadlineS)
		}
		require.Len(t, effects, 3, "a class of each effect")
		if longest < 1 {
			shortDeadlines++
		}
		if len(s.SchedulerSites()) > 10 {
			largeFleets++
		}
		if s.Faults[0].AtS > quietFraction*s.Seconds-2 {
			quietStarts++
		}
		for _, f := range s.Faults {
			kinds[f.What]++
		}
	}
	for _, what := range []string{"upgrade-schedulers", "end-schedulers", "reload-schedulers", "hold-schedulers", "lose-folder", "crowd", "disable-workers",
		"drain-clients", "drain-workers", "crash-workers", "silence-workers", "slow-workers", "failing-workers", "reset", "cut", "silence-discovery", "kill-schedulers"} {
		assert.Positive(t, kinds[what], what)
	}
	assert.Greater(t, shortDeadlines, seeds/10, "runs with short deadlines")
	assert.Greater(t, largeFleets, seeds/20, "runs with many schedulers")
	assert.Greater(t, quietStarts, seeds/10, "runs with a long quiet time")
}

// reduce removes all faults that a failed check does not need: here all of them, as no run can meet the limit.
func TestReduceRemovesNeedlessFaults(t *testing.T) {
	s, err := scenario.Parse([]byte(`{"name":"cut","seconds":2,"sites":[{"name":"a","schedulers":1,"workers":2}],
		"classes":[{"name":"view","share":1,"run_ms":20,"effect":"repeatable","aim_ms":200,"deadline_s":0.5,"worth":1,"late_worth":0.5}],
		"clients":{"load":0.1},
		"faults":[{"at_s":0.5,"what":"reload-schedulers"},{"at_s":1,"what":"reload-schedulers"}],
		"limits":[{"figure":"worth","least":1.5}]}`))
	require.NoError(t, err)
	reduced := reduce(context.Background(), buildBinary(t), s, "worth, the run")
	require.NotNil(t, reduced)
	assert.Empty(t, reduced.Faults)
	assert.Len(t, s.Faults, 2)
}
