package soak

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/scenario"
)

// ciSeeds are run in each run of the tests: the first few, and each seed that has failed in a manual soak. Further seeds are
// run manually.
var ciSeeds = []uint64{1, 2, 3, 4, 1011, 2012, 2030, 2034, 3005, 10031, 10067, 10088, 641217, 770013, 4152}

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

// A seed keeps its scenario from one build to the next: what is drawn since then is drawn for seeds from firstSeedWithStops
// on only.
func TestOldSeedsKeepTheirScenarios(t *testing.T) {
	for seed, digest := range map[uint64]string{
		1:    "d4683f448a1fce86a7a7dc674561a6e80ed2eb53408ca22cce4999bc11cd9e82",
		2:    "9f67d2aa06fdd4a8b69eb9b3bcf212b05395eb50e7f818c2174a0e52919c78d5",
		43:   "9704c1fc399585b88a2d5822f53b90305b5fdd12877a1c3f24ab0d53fad907a1",
		2012: "89a6b1f1f77262255b3402fe3241390409cb0f4d1d2249ef7f9a0fce43e6abf6",
		3005: "f74932082759d595acf18d66685218f46991e415466dbbe795faef346be7e8af",
		4055: "c6e629c001b500f1207e8192766c00b5e81ed1ab7d1d23dc90b2203ecd2a5592",
		4063: "2aa3b4460f5b06c0c18dd85b8f112be7cbc0b942b6e81e085a95bae75f8f659a",
		9999: "46e375e41b0fe097f9f262fdecf303cd3f5bfe884faf7d53cdc234395b6dfcb7",
	} {
		s, err := DrawScenario(seed)
		require.NoError(t, err)
		text, err := json.Marshal(s)
		require.NoError(t, err)
		assert.Equal(t, digest, fmt.Sprintf("%x", sha256.Sum256(text)), "seed %d", seed)
	}
}

// Each seed from firstSeedWithStops on ends processes that are stopped in turns: by upgrades and by ends, for each of the
// drawn times, some of them beside a crowd. No earlier seed does.
func TestDrawStoppedEnd(t *testing.T) {
	const seeds = 200
	kinds, times, crowds := map[string]int{}, map[float64]int{}, 0
	for seed := range uint64(seeds) {
		old, err := DrawScenario(firstSeedWithStops - 1 - seed)
		require.NoError(t, err)
		require.False(t, slices.ContainsFunc(old.Faults, func(f scenario.Fault) bool { return f.StoppedMS > 0 }))
		s, err := DrawScenario(firstSeedWithStops + seed)
		require.NoError(t, err)
		end := slices.IndexFunc(s.Faults, func(f scenario.Fault) bool { return f.StoppedMS > 0 })
		require.GreaterOrEqual(t, end, 0, "seed %d", s.Seed)
		kinds[s.Faults[end].What]++
		times[s.Faults[end].StoppedMS]++
		if slices.ContainsFunc(s.Faults, func(f scenario.Fault) bool {
			return f.What == "crowd" && f.Share == 1 && f.AtS >= s.Faults[end].AtS && f.AtS <= s.Faults[end].AtS+0.5
		}) {
			crowds++
		}
	}
	require.Len(t, kinds, 2)
	require.Len(t, times, len(stoppedMS))
	for what, count := range kinds {
		assert.Greater(t, count, seeds/4, what)
	}
	for stopped, count := range times {
		assert.Greater(t, count, seeds/10, stopped)
	}
	assert.Greater(t, crowds, seeds/4)
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
