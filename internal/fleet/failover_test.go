package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/record"
)

// playWithFailoverPolicy runs a scenario with the failover policy for sites on, and requires that all checks pass.
func playWithFailoverPolicy(t *testing.T, faults string) *record.Records {
	t.Helper()
	return playAndJudge(t, newScenario(t, `,"discovery":{"silent_s":0},"own":{"sites":{"plan":true}},"faults":[`+faults+`]`))
}

// countCrossSiteAttempts counts the attempts that schedulers of site a sent to table workers of site b and that arrived in
// [fromUS, toUS).
func countCrossSiteAttempts(rec *record.Records, fromUS, toUS int64) int {
	return count(rec.Attempts, func(r *record.Attempt) bool {
		return r.Scheduler < 4 && r.Worker >= 4 && r.ArrivedUS >= fromUS && r.ArrivedUS < toUS
	})
}

// disableSiteA is an operator's call for each worker of site a at each scheduler, 3 s into the run, when site b is back. From
// then on the schedulers of site a can send their jobs to site b only. Without it they send next to none there: their own
// workers have free slots, and are the cheaper ones until the workers of site b are warm again.
const disableSiteA = `{"at_s":3,"what":"disable-workers","site":"a"}`

// requirePacedReturn requires that the schedulers of site a, which need site b from returnUS on, use it within 2 s as the
// failover policy states in docs/design/site-loss.md. A lost site is probed twice a second, at drawn times, which are at most
// 0.75 s apart, and has to respond for 0.125 s; its workers are enabled one after the other over 2 s.
//   - Each scheduler sends jobs to as many workers as are due at the latest 0.5 s before the end of these 2 s.
//   - All of them together send at least what their part of the schedulers may send to workers that are enabled at the
//     latest time and keep the capacity with which they start; the cold budget allows a multiple of that.
func requirePacedReturn(t *testing.T, rec *record.Records, returnUS int64) {
	t.Helper()
	const (
		checkedS      = 2.0
		returningByS  = 0.75 + 0.125
		returnWindowS = 2.0
		reserveS      = 0.5 // for the first job that a worker's slow start and the clients' requests allow
	)
	s := newScenario(t, "")
	workers, schedulers := s.Sites[1].Workers, s.Sites[0].Schedulers
	dueWorkers, workerSeconds := 0, 0.0
	for i := range workers {
		enabledS := checkedS - returningByS - returnWindowS*float64(i)/float64(workers)
		workerSeconds += max(0, enabledS)
		if enabledS >= reserveS {
			dueWorkers++
		}
	}
	jobsPerS := float64(s.Workers.Slots) * s.Workers.ColdFrom / s.MeanRunS()
	part := float64(schedulers) / float64(len(s.SchedulerSites()))
	crossed, least := countCrossSiteAttempts(rec, returnUS, returnUS+checkedS*1e6), int(workerSeconds*jobsPerS*part)
	t.Logf("%d jobs of site a came to site b within %v s of its return; at least %d are required", crossed, checkedS, least)
	require.GreaterOrEqual(t, crossed, least)

	used := map[int32]map[int32]bool{}
	for i := range rec.Attempts {
		if a := &rec.Attempts[i]; a.Worker >= 4 && a.ArrivedUS >= returnUS && a.ArrivedUS < returnUS+checkedS*1e6 && a.Outcome == record.OutcomeDone {
			if used[a.Scheduler] == nil {
				used[a.Scheduler] = map[int32]bool{}
			}
			used[a.Scheduler][a.Worker] = true
		}
	}
	for scheduler := range int32(schedulers) {
		require.GreaterOrEqual(t, len(used[scheduler]), dueWorkers, "workers of site b that processed jobs of scheduler %d", scheduler)
	}
}

// The table workers of a site hang while the worker list still names them and connections to them still come up. Once the
// schedulers of the other site have declared the site lost, none of their requests may wait for it. After its return the
// site gets jobs again, as many and as soon as the failover policy states.
func TestALostSiteGetsNothing(t *testing.T) {
	rec := playWithFailoverPolicy(t, `{"at_s":1,"for_s":2,"what":"lose-site","site":"b","hung":true},`+disableSiteA)
	unserved := 0
	for i := range rec.Tries {
		if try := &rec.Tries[i]; try.SentUS > 2_200_000 && try.SentUS < 2_900_000 && try.Scheduler >= 0 && try.Scheduler < 4 && try.Status != 200 {
			unserved++
		}
	}
	require.Zero(t, unserved, "without the failover policy about half of these wait until their deadlines")
	require.Positive(t, countCrossSiteAttempts(rec, 0, 1_000_000))
	require.Positive(t, countCrossSiteAttempts(rec, 3_000_000, 5_000_000), "the site gets jobs again after its return")
	requirePacedReturn(t, rec, 3_000_000)
}

// Repeatable jobs that run at a site when it is lost are retried at the other site, well before their deadlines.
func TestRepeatableJobsOfALostSiteAreRetried(t *testing.T) {
	rec := playWithFailoverPolicy(t, `{"at_s":1,"for_s":3.5,"what":"silence-workers","site":"b","hung":true}`)
	views, served := 0, 0
	done := map[string]int{}
	for i := range rec.Attempts {
		if a := &rec.Attempts[i]; a.Outcome == record.OutcomeDone {
			done[a.ID]++
		}
	}
	for i := range rec.Tries {
		try := &rec.Tries[i]
		if try.Class != 0 || try.SentUS < 1_000_000 || try.SentUS > 3_000_000 {
			continue
		}
		views++
		if try.Status == 200 && done[try.ID] > 0 && try.EndedUS-try.SentUS < 2_500_000 {
			served++
		}
	}
	require.Greater(t, served, views*95/100)
}

// While the network between the sites is cut, each site serves its clients alone; afterwards they send each other jobs
// again, as many and as soon as the failover policy states.
func TestCutOffSitesGoOnAlone(t *testing.T) {
	rec := playWithFailoverPolicy(t, `{"at_s":1,"for_s":2,"what":"cut","site":"a","to":"b","paths":["job","back"]},`+disableSiteA)
	require.Zero(t, count(rec.Attempts, func(a *record.Attempt) bool {
		return a.Worker/4 != a.Scheduler/4 && a.ArrivedUS > 1_200_000 && a.ArrivedUS < 3_000_000
	}))
	require.Positive(t, countCrossSiteAttempts(rec, 3_000_000, 5_000_000))
	requirePacedReturn(t, rec, 3_000_000)
	for i := range rec.Tries {
		if try := &rec.Tries[i]; try.SentUS > 2_000_000 && try.SentUS < 2_900_000 {
			require.EqualValues(t, 200, try.Status, "%+v", try)
		}
	}
}
