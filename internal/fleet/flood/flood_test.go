package flood

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/affinity"
)

// ciSeconds is how long each play of the tests lasts; longer ones are played by hand with cobaltflow fleet flood.
const ciSeconds = 3

// ciParallel is the number of plays at once. The clients of one use several cores already.
const ciParallel = 1

// idleSample is how long the cores are watched to find idle ones.
const idleSample = 300 * time.Millisecond

// Bounds for the well-behaved clients beside a flood, against a play without one.
const (
	maxMedianFactor = 2
	maxP99Excess    = 150 * time.Millisecond
)

// ciCases are the plays of the tests.
var ciCases = []Case{
	{Flood: HalfBody, MemoryMB: 64, Sockets: 512}, {Flood: SlowBody, MemoryMB: 64, Sockets: 512},
	{Flood: LargeRequests, MemoryMB: 64, Sockets: 512}, {Flood: SmallRequests, MemoryMB: 64, Sockets: 512},
	{Flood: HugeBody, MemoryMB: 48, Sockets: 256}, {Flood: Unreadable, MemoryMB: 64, Sockets: 512},
	{Flood: ManyFields, MemoryMB: 64, Sockets: 512}, {Flood: Callbacks, MemoryMB: 48, Sockets: 256},
	{Flood: UnreadAnswers, MemoryMB: 64, Sockets: 512}, {Flood: ConnectAndLeave, MemoryMB: 64, Sockets: 512},
	{Flood: PipelineAndGo, MemoryMB: 64, Sockets: 512}, {Flood: Mixed, MemoryMB: 96, Sockets: 1024},
	{Flood: FaktoryJobs, MemoryMB: 64, Sockets: 512}, {Flood: FaktoryEndless, MemoryMB: 64, Sockets: 512},
	{Flood: RepeatedIDs, MemoryMB: 96, Sockets: 512, Clients: 30, WithUpgrade: true},
	{Flood: Mixed, MemoryMB: 96, Sockets: 512, WithUpgrade: true}, {Flood: PipelineAndGo, MemoryMB: 96, Sockets: 512, KillAtS: 1},
}

// outcome is what the plays of ciCases gave.
type outcome struct {
	reference *Report // without a flood
	reports   []*Report
	err       error
}

// playAll plays the cases once for all tests.
var playAll = sync.OnceValue(func() (all outcome) {
	dir, err := tempDir()
	if err != nil {
		return outcome{err: err}
	}
	binary := filepath.Join(dir, deployedProgram)
	if out, err := exec.Command("go", "build", "-o", binary, "cobaltflow/cmd/cobaltflow-serve").CombinedOutput(); err != nil {
		return outcome{err: fmt.Errorf("%w: %s", err, out)}
	}
	cases := append([]Case{{Flood: None, MemoryMB: 64, Sockets: 512}}, ciCases...)
	reports := make([]*Report, len(cases))
	errs := make([]error, len(cases))
	idle, err := affinity.IdleCores(ciParallel, idleSample)
	if err != nil {
		return outcome{err: err}
	}
	cores := make(chan int, ciParallel)
	for _, core := range idle {
		cores <- core
	}
	var plays sync.WaitGroup
	for i, play := range cases {
		core := <-cores
		plays.Go(func() {
			defer func() { cores <- core }()
			play.Seconds, play.Seed, play.Core = ciSeconds, uint64(i+1), core
			reports[i], errs[i] = playIn(filepath.Join(dir, fmt.Sprint(i)), binary, play)
		})
	}
	plays.Wait()
	for _, err := range errs {
		if err != nil {
			return outcome{err: err}
		}
	}
	return outcome{reference: reports[0], reports: reports[1:]}
})

// reportsOf returns the plays' reports.
func reportsOf(t *testing.T) outcome {
	all := playAll()
	require.NoError(t, all.err)
	return all
}

func playIn(dir, binary string, play Case) (*Report, error) {
	if err := makeDir(dir); err != nil {
		return nil, err
	}
	return Play(context.Background(), binary, dir, play)
}

// Guards against a process that passes limits.memory_mb, since input is read before it is bounded.
func TestFloodsStayWithinTheMemoryLimit(t *testing.T) {
	for _, r := range reportsOf(t).reports {
		t.Log(r)
		assert.LessOrEqual(t, r.PeakBytes, r.LimitBytes(), "%s", r)
		assert.False(t, r.Exited, "%s\n%s", r, r.Log)
	}
}

// Guards against clients that lose an answer, since others send without a pause on connections of their own.
func TestSoundClientsAreAnsweredBesideFloods(t *testing.T) {
	for _, r := range reportsOf(t).reports {
		assert.Zero(t, r.Sound.Failed, "%s", r)
		// What a killed process had taken is lost, and what is sent before the next one serves.
		assert.Zero(t, r.Sound.UnansweredBeside(r.Outages), "%s", r)
	}
}

// Guards against clients that get their answers late, since others send without a pause on connections of their own.
func TestFloodsDoNotDelaySoundClients(t *testing.T) {
	all := reportsOf(t)
	for _, r := range all.reports {
		if r.Case.KillAtS > 0 {
			continue // who was reset by the kill connects again, and waits for the start
		}
		assert.LessOrEqual(t, r.Sound.Quantile(0.5), maxMedianFactor*all.reference.Sound.Quantile(0.5), "%s", r)
		assert.LessOrEqual(t, r.Sound.Quantile(0.99), all.reference.Sound.Quantile(0.99)+maxP99Excess, "%s", r)
	}
}

// Guards against attempts that begin after their client has closed its connection, with more requests unread on it.
func TestNoAttemptBeginsOnceItsClientHasLeft(t *testing.T) {
	for _, r := range reportsOf(t).reports {
		assert.Zero(t, r.LateAttempts, "%s", r)
	}
}

// Guards against requests that run twice, since their ID comes again after their client has left: at the same process, or at the
// other one of an upgrade.
func TestRepeatedIDRunsOnceBesideAnUpgrade(t *testing.T) {
	for _, r := range reportsOf(t).reports {
		assert.Empty(t, r.RanTwice, "%s", r)
	}
}
