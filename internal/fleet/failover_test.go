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

// The table workers of a site hang while the worker list still names them and connections to them still come up. Once the
// schedulers of the other site have declared the site lost, none of their requests may wait for it. After its return the
// site gets jobs again.
func TestALostSiteGetsNothing(t *testing.T) {
	rec := playWithFailoverPolicy(t, `{"at_s":1,"for_s":2,"what":"lose-site","site":"b","hung":true}`)
	unserved := 0
	for i := range rec.Tries {
		if try := &rec.Tries[i]; try.SentUS > 2_200_000 && try.SentUS < 2_900_000 && try.Scheduler >= 0 && try.Scheduler < 4 && try.Status != 200 {
			unserved++
		}
	}
	require.Zero(t, unserved, "without the failover policy about half of these wait until their deadlines")
	require.Positive(t, countCrossSiteAttempts(rec, 0, 1_000_000))
	require.Positive(t, countCrossSiteAttempts(rec, 3_000_000, 5_000_000), "the site gets jobs again after its return")
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
// again.
func TestCutOffSitesGoOnAlone(t *testing.T) {
	rec := playWithFailoverPolicy(t, `{"at_s":1,"for_s":2,"what":"cut","site":"a","to":"b","paths":["job","back"]}`)
	require.Zero(t, count(rec.Attempts, func(a *record.Attempt) bool {
		return a.Worker/4 != a.Scheduler/4 && a.ArrivedUS > 1_200_000 && a.ArrivedUS < 3_000_000
	}))
	require.Positive(t, countCrossSiteAttempts(rec, 3_000_000, 5_000_000))
	for i := range rec.Tries {
		if try := &rec.Tries[i]; try.SentUS > 2_000_000 && try.SentUS < 2_900_000 {
			require.EqualValues(t, 200, try.Status, "%+v", try)
		}
	}
}
