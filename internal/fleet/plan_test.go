package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/record"
)

// withPlan plays a scenario with the plan for sites on, and checks the rules.
func playWithFailoverPolicy(t *testing.T, faults string) *record.Records {
	t.Helper()
	return playAndJudge(t, newScenario(t, `,"discovery":{"silent_s":0},"own":{"sites":{"plan":true}},"faults":[`+faults+`]`))
}

// sentTo counts the jobs that schedulers of site a sent to table workers of site b in a part of the run.
func countCrossSiteAttempts(rec *record.Records, from, to int64) int {
	return count(rec.Attempts, func(r *record.Attempt) bool {
		return r.Scheduler < 4 && r.Worker >= 4 && r.ArrivedUS >= from && r.ArrivedUS < to
	})
}

// A site's table workers hang while the list goes on naming them, and connections still come up. Once the schedulers of
// the other site have taken it for lost no client waits for it any more: what comes later is answered as if the site had
// never been. When it is back it gets jobs again.
func TestALostSiteGetsNothing(t *testing.T) {
	rec := playWithFailoverPolicy(t, `{"at_s":1,"for_s":2,"what":"lose-site","site":"b","hung":true}`)
	late := 0
	for i := range rec.Tries {
		if x := &rec.Tries[i]; x.SentUS > 2_200_000 && x.SentUS < 2_900_000 && x.Scheduler >= 0 && x.Scheduler < 4 && x.Status != 200 {
			late++
		}
	}
	require.Zero(t, late, "without the plan about half of these wait for their deadlines")
	require.Positive(t, countCrossSiteAttempts(rec, 0, 1_000_000))
	require.Positive(t, countCrossSiteAttempts(rec, 3_000_000, 5_000_000), "it is let back")
}

// A repeatable job in hand at a site that is lost is done elsewhere, long before its time is over.
func TestRepeatableJobsOfALostSiteAreRetried(t *testing.T) {
	rec := playWithFailoverPolicy(t, `{"at_s":1,"for_s":3.5,"what":"silence-workers","site":"b","hung":true}`)
	views, elsewhere := 0, 0
	runs := map[string]int{}
	for i := range rec.Attempts {
		if r := &rec.Attempts[i]; r.Outcome == record.OutcomeDone {
			runs[r.ID]++
		}
	}
	for i := range rec.Tries {
		x := &rec.Tries[i]
		if x.Class != 0 || x.SentUS < 1_000_000 || x.SentUS > 3_000_000 {
			continue
		}
		views++
		if x.Status == 200 && runs[x.ID] > 0 && x.EndedUS-x.SentUS < 2_500_000 {
			elsewhere++
		}
	}
	require.Greater(t, elsewhere, views*95/100)
}

// The sites cut off from one another both go on alone, and use one another again afterwards.
func TestCutOffSitesGoOnAlone(t *testing.T) {
	rec := playWithFailoverPolicy(t, `{"at_s":1,"for_s":2,"what":"cut","site":"a","to":"b","paths":["job","back"]}`)
	require.Zero(t, count(rec.Attempts, func(r *record.Attempt) bool {
		return r.Worker/4 != r.Scheduler/4 && r.ArrivedUS > 1_200_000 && r.ArrivedUS < 3_000_000
	}))
	require.Positive(t, countCrossSiteAttempts(rec, 3_000_000, 5_000_000))
	for i := range rec.Tries {
		if x := &rec.Tries[i]; x.SentUS > 2_000_000 && x.SentUS < 2_900_000 {
			require.EqualValues(t, 200, x.Status, "%+v", x)
		}
	}
}
