package faktory_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/fleet/endpoints"
	"cobaltflow/internal/standin"
)

// connectionsToEither is a number of connections that the kernel gives to one of two listening processes alone once in 500,000
// times.
const connectionsToEither = 20

// upgrade starts processes of one scheduler, which share the front's address and the state directory.
type upgrade struct {
	t      *testing.T
	listen string
	dir    string
}

func newUpgrade(t *testing.T) *upgrade {
	addresses, err := endpoints.FreePorts([4]byte{127, 0, 0, 1}, 1, false)
	require.NoError(t, err)
	return &upgrade{t: t, listen: addresses[0].String(), dir: t.TempDir()}
}

func (u *upgrade) start(change func(*config.Config)) *standin.Node {
	return start(u.t, func(c *config.Config) {
		c.Faktory.Listen, c.StateDir = u.listen, u.dir
		if change != nil {
			change(c)
		}
	})
}

// connect opens a session to whichever process the kernel chooses.
func (u *upgrade) connect(wid string) *standin.Faktory {
	f := standin.NewFaktory(u.t, u.listen, wid, "")
	require.Equal(u.t, "OK", f.HandshakeReply)
	return f
}

// pushRepeatedly pushes a job on many connections of their own, and returns the replies.
func (u *upgrade) pushRepeatedly(jid string) (replies []string) {
	for range connectionsToEither {
		c := u.connect("")
		replies = append(replies, c.Push(jid, "settle", 60_000))
		c.Close()
	}
	return replies
}

// runAll fetches and runs jobs from either process until no job comes any more, and returns how often each ran.
func (u *upgrade) runAll(wid string) map[string]int {
	runs := map[string]int{}
	w := u.connect(wid)
	for idle := 0; idle < 2; {
		jid, _ := w.Fetch()
		if jid == "" {
			idle++
			continue
		}
		runs[jid]++
		require.Equal(u.t, "OK", w.Do("ACK", fmt.Sprintf(`{"jid":%q,"result":"settled"}`, jid)))
	}
	w.Close()
	return runs
}

func stopAndWait(n *standin.Node) {
	n.Gateway.Stop()
	select {
	case <-n.Ended:
	case <-time.After(standin.WaitTimeout):
		require.Fail(n.T, "the process has not ended")
	}
}

// A job that is pushed again during and after an upgrade runs once, whichever process gets the push: pushed again while it is
// queued, while a worker holds it and once it is done. Guards against a new process that takes the repeat of a push for a new
// job, and against one that loses the jobs which its predecessor had queued.
func TestJobPushedAgainDuringAnUpgradeRunsOnce(t *testing.T) {
	u := newUpgrade(t)
	old := u.start(nil)
	c, w := u.connect(""), u.connect("w-1")
	require.Equal(t, "OK", c.Push("done-0001", "settle", 60_000))
	jid, _ := w.Fetch()
	require.Equal(t, "done-0001", jid)
	require.Equal(t, "OK", w.Do("ACK", `{"jid":"done-0001"}`))
	require.Equal(t, "OK", c.Push("held-0001", "settle", 60_000))
	jid, _ = w.Fetch()
	require.Equal(t, "held-0001", jid)
	require.Equal(t, "OK", c.Push("queued-01", "settle", 60_000))

	u.start(nil)
	jobs := []string{"done-0001", "held-0001", "queued-01"}
	repeat := func(when string) {
		for _, jid := range jobs {
			assert.NotContains(t, fmt.Sprint(u.pushRepeatedly(jid)), "ERR", "%s, %s", jid, when)
		}
	}
	repeat("beside the old process")
	require.Equal(t, "OK", w.Do("ACK", `{"jid":"held-0001"}`))
	stopAndWait(old)
	repeat("after the old process")
	assert.Equal(t, map[string]int{"queued-01": 1}, u.runAll("w-2"))
	for _, jid := range jobs {
		assert.Equal(t, "served", u.connect("").JobState(jid), jid)
	}
}

// While the old process ends, each push is either taken once or answered with an error. Guards against a push that both
// processes take in one instant, and against one that is taken and lost.
func TestPushesInAnUpgradeAreTakenOnceOrRejected(t *testing.T) {
	u := newUpgrade(t)
	old := u.start(nil)
	u.start(nil)
	const clients, jobsOfClient = 8, 40
	var mu sync.Mutex
	taken := map[string]int{}
	var pushing sync.WaitGroup
	for client := range clients {
		pushing.Go(func() {
			for n := range jobsOfClient {
				jid := fmt.Sprintf("job-%02d-%02d", client/2, n) // two clients push each job
				c := u.connect("")
				if c.Push(jid, "settle", 60_000) == "OK" {
					mu.Lock()
					taken[jid]++
					mu.Unlock()
				}
				c.Close()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	stopAndWait(old)
	pushing.Wait()
	runs := u.runAll("w-1")
	for jid := range taken {
		assert.Equal(t, 1, runs[jid], jid)
	}
	for jid, n := range runs {
		assert.Equal(t, 1, n, jid)
		assert.Contains(t, taken, jid)
	}
}

// A worker may report to either process. Guards against an ACK that the other process answers with OK and drops, in three
// orders: the report comes to the new process while the old one has the job, while the job's process ends, and after its end.
func TestReportReachesTheJobDuringAnUpgrade(t *testing.T) {
	u := newUpgrade(t)
	old := u.start(nil)
	c, w := u.connect(""), u.connect("w-1")
	for _, jid := range []string{"early-001", "late-0001"} {
		require.Equal(t, "OK", c.Push(jid, "settle", 60_000))
		got, _ := w.Fetch()
		require.Equal(t, jid, got)
	}
	next := u.start(nil)
	old.Gateway.Stop()
	next.Eventually(func() bool { return next.HasLogged("faktory: serves") })
	old.Eventually(func() bool { return old.HasLogged("listener closed") })
	reporting := u.connect("w-1")
	assert.Equal(t, "working", reporting.JobState("early-001"))
	assert.Equal(t, "OK", reporting.Do("ACK", `{"jid":"early-001","result":"won"}`))
	assert.Contains(t, reporting.Do("TRACK", "GET early-001"), `"result":"won"`)
	assert.Equal(t, "working", reporting.JobState("late-0001"))
	old.RunOnLoop(func() { old.Faktory.CloseListener(true) }) // as at the time by which the HTTP fronts have answered
	<-old.Ended
	next.Eventually(func() bool { return reporting.Do("ACK", `{"jid":"late-0001","result":"settled"}`) == "OK" })
	assert.Equal(t, "served", reporting.JobState("late-0001"))
	assert.Equal(t, "OK", reporting.Push("late-0001", "settle", 60_000), "a repeat of a served job")
	assert.Empty(t, u.runAll("w-2"))
}

// A second upgrade begins before the first has ended. Guards against jobs that get lost or run twice on the way over a process
// which ends as it takes them over.
func TestJobsPassThroughAProcessThatEndsAtOnce(t *testing.T) {
	u := newUpgrade(t)
	first := u.start(nil)
	c := u.connect("")
	for n := range 30 {
		require.Equal(t, "OK", c.Push(fmt.Sprintf("job-%05d", n), "settle", 60_000))
	}
	second := u.start(nil)
	waitForSuccessors(first, 1)
	third := u.start(nil)
	waitForSuccessors(first, 2)
	first.Gateway.Stop() // it hands over to the third, as the latest
	third.Eventually(func() bool { return third.HasLogged("faktory: serves") })
	waitForSuccessors(third, 1)
	third.Gateway.Stop()
	second.Eventually(func() bool { return second.HasLogged("faktory: serves") })
	<-first.Ended
	<-third.Ended
	for n := range 30 {
		assert.Equal(t, "OK", u.connect("").Push(fmt.Sprintf("job-%05d", n), "settle", 60_000))
	}
	runs := u.runAll("w-1")
	assert.Len(t, runs, 30)
	for jid, n := range runs {
		assert.Equal(t, 1, n, jid)
	}
}

// waitForSuccessors waits until processes wait for a process's handover.
func waitForSuccessors(n *standin.Node, count int) {
	n.Eventually(func() (enough bool) {
		n.RunOnLoop(func() { enough = n.Faktory.Successors() == count })
		return enough
	})
}

// The new version's settings list the classes in another order. Guards against a once-only job that is taken for one that may be
// repeated, as its class was handed over by its number.
func TestClassKeepsItsMeaningInAnUpgrade(t *testing.T) {
	u := newUpgrade(t)
	old := u.start(nil)
	c := u.connect("")
	require.Equal(t, "OK", c.Push("job-0001", "settle", 60_000))
	require.Equal(t, "OK", c.Push("job-0002", "move", 60_000))
	u.start(func(c *config.Config) {
		c.Names.Classes = []string{"settle", "board-view"}
		c.Settings.Classes[0], c.Settings.Classes[1] = c.Settings.Classes[2], c.Settings.Classes[0]
		c.Settings.Classes = c.Settings.Classes[:2]
	})
	stopAndWait(old)
	w := u.connect("w-1")
	jid, _ := w.Fetch()
	require.Equal(t, "job-0001", jid)
	require.Equal(t, "OK", w.Do("FAIL", `{"jid":"job-0001","errtype":"E","message":"m"}`))
	assert.Contains(t, u.connect("").Do("TRACK", "GET job-0001"), `"reason":"may-have-run"`)
	assert.Equal(t, "refused", u.connect("").JobState("job-0002"), "a class that is not in the settings any more")
}
