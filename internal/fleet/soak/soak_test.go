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

// ciSeeds are played in each run of the tests: the first few, and each that ever broke a rule by hand. More are played by
// hand.
var ciSeeds = []uint64{1, 2, 3, 4, 1011, 2012, 2030, 2034, 3005}

const ciParallel = 3 // runs side by side

func buildBinary(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "cobaltflow")
	out, err := exec.Command("go", "build", "-o", binary, "cobaltflow/cmd/cobaltflow").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// Some seeds of the soak hold all rules.
func TestSoak(t *testing.T) {
	binary := buildBinary(t)
	places := make(chan struct{}, ciParallel)
	for _, seed := range ciSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
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

// Over many seeds everything that is to be drawn is, and a seed gives the same scenario each time.
func TestDrawScenario(t *testing.T) {
	const seeds = 300
	kinds, short, crowded, quiet := map[string]int{}, 0, 0, 0
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
			short++
		}
		if len(s.SchedulerSites()) > 10 {
			crowded++
		}
		if s.Faults[0].AtS > quietFraction*s.Seconds-2 {
			quiet++
		}
		for _, f := range s.Faults {
			kinds[f.What]++
		}
	}
	for _, what := range []string{"upgrade-schedulers", "end-schedulers", "reload-schedulers", "hold-schedulers", "lose-folder", "crowd", "disable-workers",
		"drain-clients", "drain-workers", "crash-workers", "silence-workers", "slow-workers", "failing-workers", "reset", "cut", "silence-discovery", "kill-schedulers"} {
		assert.Positive(t, kinds[what], what)
	}
	assert.Greater(t, short, seeds/10, "runs with short deadlines")
	assert.Greater(t, crowded, seeds/20, "runs with many schedulers")
	assert.Greater(t, quiet, seeds/10, "runs with a long quiet time")
}

// A schedule is cut down to the faults without which a check would hold: here a limit that no run can keep.
func TestReduceRemovesNeedlessFaults(t *testing.T) {
	s, err := scenario.Parse([]byte(`{"name":"cut","seconds":2,"sites":[{"name":"a","schedulers":1,"workers":2}],
		"classes":[{"name":"view","share":1,"run_ms":20,"effect":"repeatable","aim_ms":200,"deadline_s":0.5,"worth":1,"late_worth":0.5}],
		"clients":{"load":0.1},
		"faults":[{"at_s":0.5,"what":"reload-schedulers"},{"at_s":1,"what":"reload-schedulers"}],
		"limits":[{"figure":"worth","least":1.5}]}`))
	require.NoError(t, err)
	least := reduce(context.Background(), buildBinary(t), s, "worth, the run")
	require.NotNil(t, least)
	assert.Empty(t, least.Faults)
	assert.Len(t, s.Faults, 2)
}
