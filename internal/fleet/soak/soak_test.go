package soak

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/scenario"
)

// ciSeeds are played in each run of the tests; more are played by hand.
const (
	ciFrom  = 1
	ciSeeds = 4
	ciSide  = 2
)

func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "cobaltflow")
	out, err := exec.Command("go", "build", "-o", binary, "cobaltflow/cmd/cobaltflow").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// A few seeds of the soak hold all rules.
func TestSoak(t *testing.T) {
	var out bytes.Buffer
	dir := os.Getenv("SOAK_DIR")
	outcomes, err := Run(context.Background(), Options{Binary: build(t), From: ciFrom, Seeds: ciSeeds, AtOnce: ciSide, Dir: dir, Out: &out})
	require.NoError(t, err)
	require.Len(t, outcomes, ciSeeds)
	for _, o := range outcomes {
		assert.Empty(t, o.Broken, "seed %d", o.Seed)
		assert.Positive(t, o.Served, "seed %d", o.Seed)
	}
	t.Log(out.String())
}

// Over many seeds everything that is to be drawn is, and a seed gives the same scenario each time.
func TestWhatIsDrawn(t *testing.T) {
	const seeds = 300
	kinds, short, crowded, quiet := map[string]int{}, 0, 0, 0
	for seed := range uint64(seeds) {
		s, err := Draw(seed)
		require.NoError(t, err, "seed %d", seed)
		again, err := Draw(seed)
		require.NoError(t, err)
		require.Equal(t, s, again)
		require.LessOrEqual(t, s.RatePerS(), mostRate*1.01)
		require.LessOrEqual(t, len(s.Schedulers()), 30)
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
		if len(s.Schedulers()) > 10 {
			crowded++
		}
		if s.Faults[0].AtS > quietPart*s.Seconds-2 {
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
func TestAScheduleIsCutDown(t *testing.T) {
	s, err := scenario.Parse([]byte(`{"name":"cut","seconds":2,"sites":[{"name":"a","schedulers":1,"workers":2}],
		"classes":[{"name":"view","share":1,"run_ms":20,"effect":"repeatable","aim_ms":200,"deadline_s":0.5,"worth":1,"late_worth":0.5}],
		"clients":{"load":0.1},
		"faults":[{"at_s":0.5,"what":"reload-schedulers"},{"at_s":1,"what":"reload-schedulers"}],
		"limits":[{"figure":"worth","least":1.5}]}`))
	require.NoError(t, err)
	least := reduce(context.Background(), build(t), s, "worth, the run")
	require.NotNil(t, least)
	assert.Empty(t, least.Faults)
	assert.Len(t, s.Faults, 2)
}
