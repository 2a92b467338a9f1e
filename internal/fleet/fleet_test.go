package fleet

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/judge"
	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fleet-test")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "cobaltflow")
	if out, err := exec.Command("go", "build", "-o", binary, "cobaltflow/cmd/cobaltflow").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// newScenario returns a scenario of two sites with four schedulers and four workers each. more is JSON text that is added
// behind its keys.
func newScenario(t *testing.T, more string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse([]byte(`{"name":"small","seconds":5,
		"sites":[{"name":"a","schedulers":4,"workers":4},{"name":"b","schedulers":4,"workers":4}],
		"workers":{"warm_s":2},
		"classes":[{"name":"view","share":0.6,"run_ms":100,"effect":"repeatable","aim_ms":500,"stretch":2,"deadline_s":3,"worth":3,"late_worth":0.25},
			{"name":"settle","share":0.4,"run_ms":100,"effect":"once","aim_ms":800,"stretch":2,"deadline_s":3,"worth":10,"late_worth":0.3}],
		"clients":{"load":0.25}, "front":{"notice_s":0.3}, "prices":{"cross_zone":0}` + more + `}`))
	require.NoError(t, err)
	return s
}

// playAndJudge runs a scenario and requires that all checks pass.
func playAndJudge(t *testing.T, s *scenario.Scenario) *record.Records {
	t.Helper()
	rec, err := Play(context.Background(), s, Build{Name: "test", Binary: binary}, Options{Seed: s.Seed})
	require.NoError(t, err)
	checks, _, err := judge.Evaluate(rec)
	require.NoError(t, err)
	for _, c := range checks {
		require.True(t, c.Passed, "%s: %s", c.Name, c.Text)
	}
	return rec
}

// count returns the number of elements for which is returns true.
func count[T any](list []T, is func(*T) bool) (n int) {
	for i := range list {
		if is(&list[i]) {
			n++
		}
	}
	return n
}

// All checks pass under each fault. The records must also show the effect of the fault, so that a fault that was not
// injected fails the test.
func TestChecksPassUnderFaults(t *testing.T) {
	event := func(what string) func(*record.Event) bool {
		return func(e *record.Event) bool { return e.Kind == what }
	}
	for _, c := range []struct {
		name, faults string
		verify       func(t *testing.T, rec *record.Records)
	}{
		{"site lost and restored", `{"at_s":1,"for_s":2,"what":"lose-site","site":"b"}`, func(t *testing.T, rec *record.Records) {
			require.Equal(t, 4, count(rec.Events, event("killed")))
			require.Equal(t, 4, count(rec.Events, event("ready")))
			require.Positive(t, count(rec.Attempts, func(r *record.Attempt) bool { return r.Outcome == record.OutcomeLost }))
			require.Positive(t, count(rec.Attempts, func(r *record.Attempt) bool {
				return r.Worker >= 4 && r.ArrivedUS > 3e6 && r.Outcome == record.OutcomeDone
			}), "the site processes jobs again")
			require.Zero(t, count(rec.Attempts, func(r *record.Attempt) bool { return r.Worker >= 4 && r.StartedUS > 1.1e6 && r.StartedUS < 3e6 }), "the site started a job while it was lost")
		}},
		{"hung workers still on the worker list", `{"at_s":1,"for_s":2,"what":"silence-workers","site":"b","hung":true}`, func(t *testing.T, rec *record.Records) {
			require.Zero(t, count(rec.Attempts, func(r *record.Attempt) bool { return r.Worker >= 4 && r.StartedUS > 1.1e6 && r.StartedUS < 3e6 }))
		}},
		{"network cut between the sites", `{"at_s":1,"for_s":2,"what":"cut","site":"a","to":"b","paths":["job","back","peer"]}`, func(t *testing.T, rec *record.Records) {
			require.Zero(t, count(rec.Attempts, func(r *record.Attempt) bool {
				return r.Worker/4 != r.Scheduler/4 && r.ArrivedUS > 1.2e6 && r.ArrivedUS < 3e6
			}))
			require.Positive(t, count(rec.Attempts, func(r *record.Attempt) bool { return r.Worker/4 != r.Scheduler/4 }))
		}},
		{"scheduler stopped and continued", `{"at_s":1,"for_s":1,"what":"stop-schedulers","count":2}`, func(t *testing.T, rec *record.Records) {
			require.Equal(t, 2, count(rec.Events, event("stopped")))
			require.Equal(t, 2, count(rec.Events, event("continued")))
		}},
		{"draining workers and a rolling restart of schedulers", `{"at_s":0.5,"for_s":3,"what":"drain-workers","share":0.25},{"at_s":1,"what":"release-schedulers","count":2,"step_s":1}`,
			func(t *testing.T, rec *record.Records) {
				require.Equal(t, 2, count(rec.Events, event("terminated")))
				require.Positive(t, count(rec.ListUpdates, func(x *record.ListUpdate) bool { return x.Status == "draining" }))
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rec := playAndJudge(t, newScenario(t, `,"faults":[`+c.faults+`]`))
			require.Positive(t, count(rec.Tries, func(x *record.Try) bool { return x.Status == 200 }))
			c.verify(t, rec)
		})
	}
}

// With peers on, the relay delivers messages between the schedulers.
func TestPeerMessagesAreRelayed(t *testing.T) {
	rec := playAndJudge(t, newScenario(t, `,"peers":{"on":true,"lost":0.1,"twice":0.1}`))
	require.Positive(t, rec.About.Messages)
}

// The drawn requests depend on the scenario and the seed only, and their number matches the scenario's rate.
func TestRequestsAreDrawnFromTheSeed(t *testing.T) {
	s := newScenario(t, "")
	require.Equal(t, DrawRequests(s, 7), DrawRequests(s, 7))
	require.NotEqual(t, DrawRequests(s, 7), DrawRequests(s, 8))
	n := len(DrawRequests(s, 7))
	want := s.RatePerS() * s.Seconds
	require.InDelta(t, want, n, 6*want/10)
}

// A run that is cancelled leaves no process of the program behind.
func TestCancelledRunLeavesNoProcess(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newScenario(t, "")
	done := make(chan error, 1)
	progress := &cancelOnWrite{cancel: cancel}
	go func() {
		_, err := Play(ctx, s, Build{Name: "test", Binary: binary}, Options{Seed: 1, Progress: progress})
		done <- err
	}()
	require.ErrorIs(t, <-done, context.Canceled)
	dirs, err := os.ReadDir("/proc")
	require.NoError(t, err)
	for _, d := range dirs {
		cmdline, err := os.ReadFile(filepath.Join("/proc", d.Name(), "cmdline"))
		require.False(t, err == nil && strings.HasPrefix(string(cmdline), binary), "process %s still runs", d.Name())
	}
}

// cancelOnWrite cancels a run at its first progress line.
type cancelOnWrite struct{ cancel func() }

func (w *cancelOnWrite) Write(line []byte) (int, error) {
	w.cancel()
	return len(line), nil
}
