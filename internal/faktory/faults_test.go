package faktory_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/faktory/client"
	"cobaltflow/internal/standin"
)

func dial(n *standin.Node, wid string, pid int) *client.Conn {
	c, err := client.Dial(n.Faktory.Address(), client.Options{WID: wid, PID: pid, Timeout: standin.WaitTimeout})
	require.NoError(n.T, err)
	n.T.Cleanup(func() { c.Close() })
	return c
}

func job(id, kind, queue string, change func(*client.Job)) client.Job {
	j := client.Job{JID: id, Type: kind, Queue: queue, Args: []any{1.0}}
	if change != nil {
		change(&j)
	}
	return j
}

// fetchJob fetches until there is a job.
func fetchJob(n *standin.Node, c *client.Conn, queue string) *client.Job {
	for range 5 {
		j, err := c.Fetch(queue)
		require.NoError(n.T, err)
		if j != nil {
			return j
		}
	}
	n.T.Fatal("no job came")
	return nil
}

func trackJob(n *standin.Node, c *client.Conn, jid string) (out struct{ State, Reason, Result string }) {
	r, err := c.Do("TRACK", "GET "+jid)
	require.NoError(n.T, err)
	require.NoError(n.T, json.Unmarshal([]byte(r.Text), &out), r.Text)
	return out
}

func cobaltflowInfo(n *standin.Node, c *client.Conn) map[string]any {
	out, err := c.Info()
	require.NoError(n.T, err)
	return out["cobaltflow"].(map[string]any)
}

// A worker that sends heartbeats but never reports holds a settle until its reservation ends, and no longer. An ACK
// that races with the end of the reservation, or comes after it, leaves one final state.
func TestReservationEndsOnceDespiteRacingAck(t *testing.T) {
	n := start(t, nil)
	p, w := dial(n, "", 0), dial(n, "w-1", 1)
	require.NoError(t, p.Push(job("job-0001", "settle", "q", func(j *client.Job) { j.ReserveFor = 1 })))
	require.Equal(t, "job-0001", fetchJob(n, w, "q").JID)
	n.Eventually(func() bool {
		r, err := w.Do("BEAT", `{"wid":"w-1"}`)
		require.NoError(t, err)
		require.True(t, r.IsOK())
		return trackJob(n, p, "job-0001").State == "dead"
	})
	assert.Equal(t, "may-have-run", trackJob(n, p, "job-0001").Reason)
	require.NoError(t, w.Ack("job-0001"))
	assert.Equal(t, "dead", trackJob(n, p, "job-0001").State)

	// The ACK and the end of the reservation arrive in one turn, in either order.
	for i, ackFirst := range []bool{true, false} {
		id := fmt.Sprint("cross-00", i)
		require.NoError(t, p.Push(job(id, "settle", "q", nil)))
		require.Equal(t, id, fetchJob(n, w, "q").JID)
		if ackFirst {
			require.NoError(t, w.Send("ACK", fmt.Sprintf(`{"jid":%q}`, id)))
		}
		n.RunOnLoop(func() { n.Faktory.ExpireForTest(id) })
		if !ackFirst {
			require.NoError(t, w.Send("ACK", fmt.Sprintf(`{"jid":%q}`, id)))
		}
		r, err := w.Read()
		require.NoError(t, err)
		require.True(t, r.IsOK())
		n.Eventually(func() bool { s := trackJob(n, p, id).State; return s == "served" || s == "dead" })
		if !ackFirst {
			assert.Equal(t, "dead", trackJob(n, p, id).State)
		}
	}
}

// A different process under the same wid is a new worker: jobs that the earlier process had fetched may have run.
func TestRestartedWorkerUnderSameWidIsANewWorker(t *testing.T) {
	n := start(t, nil)
	p, w := dial(n, "", 0), dial(n, "w-1", 1)
	require.NoError(t, p.Push(job("job-0001", "settle", "q", nil)))
	require.NoError(t, p.Push(job("job-0002", "board-view", "q", nil)))
	fetchJob(n, w, "q")
	fetchJob(n, w, "q")
	again := dial(n, "w-1", 2)
	n.Eventually(func() bool { return trackJob(n, p, "job-0001").State == "dead" })
	assert.Equal(t, "retries", trackJob(n, p, "job-0002").State, "its class allows another run")
	require.NoError(t, again.Ack("job-0001"), "an ACK of another worker's job changes nothing")
	assert.Equal(t, "dead", trackJob(n, p, "job-0001").State)
	require.NoError(t, p.Push(job("job-0003", "move", "q", nil)))
	assert.Equal(t, "job-0003", fetchJob(n, again, "q").JID)
	n.Eventually(func() bool { return n.HasLogged("party=faktory-worker") && n.HasLogged("reason=moved") })
}

// The same jid pushed on two connections at once, during its retry and after its end is one job.
func TestRepeatedPushOfAJidIsOneJob(t *testing.T) {
	n := start(t, nil)
	w := dial(n, "w-1", 1)
	var wg sync.WaitGroup
	for range 8 {
		c := dial(n, "", 0)
		wg.Go(func() { assert.NoError(t, c.Push(job("job-0001", "board-view", "q", nil))) })
	}
	wg.Wait()
	p := dial(n, "", 0)
	require.Equal(t, "job-0001", fetchJob(n, w, "q").JID)
	require.NoError(t, w.Fail("job-0001", "E", "m"))
	n.Eventually(func() bool { return trackJob(n, p, "job-0001").State == "retries" })
	require.NoError(t, p.Push(job("job-0001", "board-view", "q", nil)), "during its retry")
	assert.Equal(t, "retries", trackJob(n, p, "job-0001").State)
	r, err := p.Do("MUTATE", `{"cmd":"requeue","target":"retries"}`)
	require.NoError(t, err)
	require.True(t, r.IsOK())
	require.Equal(t, "job-0001", fetchJob(n, w, "q").JID)
	require.NoError(t, w.Ack("job-0001"))
	require.NoError(t, p.Push(job("job-0001", "board-view", "q", nil)), "after its end")
	j, err := w.Fetch("q")
	require.NoError(t, err)
	assert.Nil(t, j, "one run and one retry")
	require.NoError(t, p.Push(job("job-0002", "settle", "q", nil)))
	fetchJob(n, w, "q")
	require.NoError(t, w.Fail("job-0002", "E", "m"))
	n.Eventually(func() bool { return trackJob(n, p, "job-0002").State == "dead" })
	assert.ErrorContains(t, p.Push(job("job-0002", "settle", "q", nil)), "has ended: dead")
}

// A PUSHB of 10,000 jobs is pushed in parts, so that other clients are served meanwhile; the reply names each job that
// was rejected.
func TestLargePUSHBDoesNotDelayOthers(t *testing.T) {
	n := start(t, func(c *config.Config) { c.Faktory.MaxQueueJobs = 9000 }, standin.NewWorker(t, "s-1", nil))
	p := dial(n, "", 0)
	var list []client.Job
	for i := range 10_000 {
		list = append(list, job(fmt.Sprintf("bulk-%05d", i), "board-view", "q", nil))
	}
	text, _ := json.Marshal(list)
	require.NoError(t, p.Send("PUSHB", string(text)))
	assert.Equal(t, 200, n.SendRequest("board-view", "k", "id-1", 3000, "").Status, "the HTTP front answers meanwhile")
	r, err := p.Read()
	require.NoError(t, err)
	not := map[string]string{}
	require.NoError(t, json.Unmarshal([]byte(r.Text), &not))
	assert.Len(t, not, 1000)
	assert.Contains(t, not["bulk-09999"], "refused, max_queue_jobs is reached, return in")
	w := dial(n, "w-1", 1)
	assert.Equal(t, "bulk-00000", fetchJob(n, w, "q").JID)
	assert.EqualValues(t, 9000, cobaltflowInfo(n, p)["held"])
}

// A FAIL that races with the BEAT that quiets its worker still ends the job, and the worker gets no new one.
func TestFailRacesWithQuietBeat(t *testing.T) {
	n := start(t, nil)
	p, w, beat := dial(n, "", 0), dial(n, "w-1", 1), dial(n, "w-1", 1)
	for i := range 2 {
		require.NoError(t, p.Push(job(fmt.Sprint("job-000", i), "board-view", "q", nil)))
	}
	require.Equal(t, "job-0000", fetchJob(n, w, "q").JID)
	require.NoError(t, beat.Send("BEAT", `{"wid":"w-1","current_state":"quiet"}`))
	require.NoError(t, w.Send("FAIL", `{"jid":"job-0000","errtype":"E","message":"m"}`))
	for _, c := range []*client.Conn{beat, w} {
		r, err := c.Read()
		require.NoError(t, err)
		assert.True(t, r.IsOK())
	}
	n.Eventually(func() bool { return trackJob(n, p, "job-0000").State == "retries" })
	j, err := w.Fetch("q")
	require.NoError(t, err)
	assert.Nil(t, j)
	assert.Equal(t, "job-0001", fetchJob(n, dial(n, "w-2", 1), "q").JID)
}

// A worker that disconnects after the reply to its FETCH was sent may have run the job, even if it has not read it.
func TestWorkerThatDisconnectsBeforeReadingMayHaveRunTheJob(t *testing.T) {
	n := start(t, nil)
	p, w := dial(n, "", 0), dial(n, "w-1", 1)
	require.NoError(t, w.Send("FETCH", "q"))
	require.NoError(t, p.Push(job("job-0001", "move", "q", nil)))
	n.Eventually(func() bool { return trackJob(n, p, "job-0001").State == "working" })
	w.Close()
	n.Eventually(func() bool { return trackJob(n, p, "job-0001").State == "dead" })
}

// A client that sends commands without reading replies is closed, the log has the reason, and others are not affected.
func TestClientThatDoesNotReadIsClosed(t *testing.T) {
	n := start(t, nil)
	slow, p := dial(n, "", 0), dial(n, "", 0)
	require.NoError(t, p.Push(job("job-0001", "move", "q", nil)))
	go func() {
		for slow.Send("INFO", "") == nil {
		}
	}()
	n.Eventually(func() bool {
		require.Equal(t, "enqueued", trackJob(n, p, "job-0001").State)
		return n.HasLogged("reason=not-reading") || n.HasLogged("reason=flooding")
	})
}

// A thousand FETCHes wait and each gets one job, of a queue that it named.
func TestThousandWaitingFetchesGetOneJobEach(t *testing.T) {
	n := start(t, func(c *config.Config) { c.Limits.Sockets, c.Faktory.MaxSessions = 8192, 1100 })
	const count = 1000
	got := make(chan string, count)
	var wg sync.WaitGroup
	for i := range count {
		w := dial(n, fmt.Sprint("w-", i), 1)
		queue := fmt.Sprint("q", i%4)
		wg.Go(func() {
			j, err := w.Fetch(queue)
			for err == nil && j == nil {
				j, err = w.Fetch(queue)
			}
			if assert.NoError(t, err) {
				assert.Equal(t, queue, j.Queue)
				got <- j.JID
			}
		})
	}
	p := dial(n, "", 0)
	n.Eventually(func() bool { return len(cobaltflowInfo(n, p)["workers"].([]any)) == count })
	for i := range count {
		require.NoError(t, p.Push(job(fmt.Sprintf("job-%05d", i), "move", fmt.Sprint("q", i%4), nil)))
	}
	wg.Wait()
	close(got)
	seen := map[string]bool{}
	for id := range got {
		assert.False(t, seen[id], id)
		seen[id] = true
	}
	assert.Len(t, seen, count)
}

// A paused queue hands out no more jobs, while a fetched job goes on to its end.
func TestPausedQueueKeepsFetchedJobsRunning(t *testing.T) {
	n := start(t, nil)
	p, w := dial(n, "", 0), dial(n, "w-1", 1)
	for i := range 2 {
		require.NoError(t, p.Push(job(fmt.Sprint("job-000", i), "move", "q", nil)))
	}
	require.Equal(t, "job-0000", fetchJob(n, w, "q").JID)
	r, err := p.Do("QUEUE", "PAUSE q")
	require.NoError(t, err)
	require.True(t, r.IsOK())
	j, err := w.Fetch("q")
	require.NoError(t, err)
	assert.Nil(t, j)
	require.NoError(t, w.Ack("job-0000"))
	assert.Equal(t, "served", trackJob(n, p, "job-0000").State)
	assert.Equal(t, "enqueued", trackJob(n, p, "job-0001").State)
	assert.Equal(t, []any{"q"}, cobaltflowInfo(n, p)["paused"])
}

// A flood above several limits is rejected with a time to retry, and no accepted job is lost; another client and the
// HTTP front are served meanwhile.
func TestFloodAboveLimitsLosesNoAcceptedJob(t *testing.T) {
	table := standin.NewWorker(t, "s-1", nil)
	n := start(t, func(c *config.Config) {
		k := &c.Faktory
		k.MaxHeldJobs, k.MaxQueueJobs, k.MaxScheduled, k.MaxQueues, k.TableQueues = 400, 200, 50, 8, []string{}
	}, table)
	w := dial(n, "w-1", 1)
	stop := make(chan struct{})
	var accepted, rejected sync.Map
	var wg sync.WaitGroup
	for i := range 4 {
		c := dial(n, "", 0)
		wg.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("flood-%d-%06d", i, k)
				err := c.Push(job(id, "move", fmt.Sprint("q", k%12), func(j *client.Job) {
					if k%3 == 0 {
						j.At = "2199-01-01T00:00:00Z"
					}
				}))
				if err == nil {
					accepted.Store(id, true)
					continue
				}
				if assert.Regexp(t, `refused, max_\w+ is reached, return in \d`, err.Error()) {
					rejected.Store(strings.Fields(err.Error())[2], true)
				}
			}
		})
	}
	for i := range 40 {
		assert.Equal(t, 200, n.SendRequest("move", "k", fmt.Sprint("http-", i), 5000, "").Status)
		j := fetchJob(n, w, "q1")
		require.NoError(t, w.Ack(j.JID))
	}
	n.Eventually(func() bool {
		some := 0
		rejected.Range(func(any, any) bool { some++; return true })
		return some >= 2
	})
	close(stop)
	wg.Wait()
	p := dial(n, "", 0)
	accepted.Range(func(id, _ any) bool {
		return assert.Contains(t, []string{"enqueued", "scheduled", "working", "served"}, trackJob(n, p, id.(string)).State)
	})
	assert.NotEmpty(t, cobaltflowInfo(n, p)["turned_away"])
}

// Jobs are served while a MUTATE goes through 100,000 dead jobs, a bounded part in each turn.
func TestMutateOfManyDeadJobsDoesNotDelayOthers(t *testing.T) {
	const dead = 100_000
	n := start(t, func(c *config.Config) {
		k := &c.Faktory
		k.MaxHeldJobs, k.MaxQueueJobs, k.MaxClientJobs, k.MaxScheduled, k.MaxDead, k.MaxHeldMB, k.MaxClientMB, k.MaxDeadMB = dead+10, dead+10, dead+10, dead, dead, 200, 200, 200
	})
	n.RunOnLoop(func() { n.Faktory.FillForTest(dead) })
	p, q, w := dial(n, "", 0), dial(n, "", 0), dial(n, "w-1", 1)
	r, err := p.Do("MUTATE", `{"cmd":"kill","target":"scheduled"}`)
	require.NoError(t, err)
	require.True(t, r.IsOK(), r.Err)
	require.EqualValues(t, dead, cobaltflowInfo(n, p)["dead"])
	last, most := dead, 0 // the most dead jobs that one turn removed
	n.RunOnLoop(func() {
		n.Loop.AfterTurn(func() {
			now := n.Faktory.DeadForTest()
			last, most = now, max(most, last-now)
		})
	})
	require.NoError(t, p.Send("MUTATE", `{"cmd":"discard","target":"dead","filter":{"regexp":"*\"args\":\\[*9]*"}}`))
	for i := range 50 {
		require.NoError(t, q.Push(job(fmt.Sprintf("flow-%05d", i), "move", "q", nil)))
		require.NoError(t, w.Ack(fetchJob(n, w, "q").JID))
	}
	r, err = p.Read()
	require.NoError(t, err)
	assert.True(t, r.IsOK(), r.Err)
	assert.EqualValues(t, dead*9/10, cobaltflowInfo(n, q)["dead"], "nine tenths of the jobs do not match")
	n.RunOnLoop(func() { assert.LessOrEqual(t, most, 1000, "a bounded part in each turn") })
}

// After a restart of the gateway, reports of workers on jobs of the earlier process are accepted and ignored.
func TestReportsOnJobsFromBeforeARestartAreIgnored(t *testing.T) {
	before := start(t, nil)
	p, w := dial(before, "", 0), dial(before, "w-1", 1)
	require.NoError(t, p.Push(job("job-0001", "settle", "q", nil)))
	require.NoError(t, p.Push(job("job-0002", "settle", "q", nil)))
	fetchJob(before, w, "q")
	fetchJob(before, w, "q")
	n := start(t, nil)
	p, w = dial(n, "", 0), dial(n, "w-1", 1)
	require.NoError(t, w.Ack("job-0001"))
	require.NoError(t, w.Fail("job-0002", "E", "m"))
	assert.Equal(t, "unknown", trackJob(n, p, "job-0001").State)
	assert.EqualValues(t, 0, cobaltflowInfo(n, p)["dead"])
	require.NoError(t, p.Push(job("job-0003", "settle", "q", nil)))
	assert.Equal(t, "job-0003", fetchJob(n, w, "q").JID)
}

// Incomplete commands that together exceed max_input_mb close their own sessions only.
func TestIncompleteCommandsAreBounded(t *testing.T) {
	n := start(t, func(c *config.Config) { c.Faktory.MaxCommandKB, c.Faktory.MaxInputMB = 1024, 2 })
	p := dial(n, "", 0)
	chunk := strings.Repeat("x", 600<<10)
	var halves []*client.Conn
	for range 4 {
		c := dial(n, "", 0)
		halves = append(halves, c)
		go fmt.Fprintf(c, "PUSH %s", chunk)
	}
	n.Eventually(func() bool { return n.HasLogged("reason=over-budget") })
	for _, c := range halves {
		c.Close()
	}
	n.Eventually(func() bool { return cobaltflowInfo(n, p)["input_bytes"].(float64) < 1000 })
	require.NoError(t, p.Push(job("job-0001", "move", "q", nil)))
	long := dial(n, "", 0)
	go fmt.Fprintf(long, "PUSH %s%s\r\n", chunk, chunk)
	n.Eventually(func() bool { return n.HasLogged("reason=bad-input") })
}

// An attempt that is pending for a busy worker is moved to another worker that waits for a job.
func TestPendingAttemptMovesToAWaitingWorker(t *testing.T) {
	n := start(t, nil)
	p, a := dial(n, "", 0), dial(n, "w-a", 1)
	key := func(j *client.Job) { j.Custom = map[string]any{"key": "k"} }
	require.NoError(t, p.Push(job("job-0001", "move", "q", key)))
	fetchJob(n, a, "q") // the key's worker is busy from here on
	b := dial(n, "w-b", 1)
	got := make(chan *client.Job)
	go func() { got <- fetchJob(n, b, "q") }()
	n.Eventually(func() bool { return len(cobaltflowInfo(n, p)["workers"].([]any)) == 2 })
	require.NoError(t, p.Push(job("job-0002", "move", "q", key)))
	select {
	case j := <-got:
		assert.Equal(t, "job-0002", j.JID)
	case <-time.After(standin.WaitTimeout):
		t.Fatal("the attempt was not moved from the busy worker")
	}
}

// A retried job with its failure is one JSON object, and the client's own text in it is unchanged.
func TestRetriedJobIsFetchedWithItsFailure(t *testing.T) {
	n := start(t, nil)
	p, w := dial(n, "", 0), dial(n, "w-1", 1)
	r, err := p.Do("PUSH", `{ "jid":"job-0001", "jobtype":"board-view", "queue":"q", "args":[1.50, "a\u0062"], "custom":{} }`)
	require.NoError(t, err)
	require.True(t, r.IsOK(), r.Err)
	fetchJob(n, w, "q")
	require.NoError(t, w.Fail("job-0001", strings.Repeat("E", 500), strings.Repeat("m", 5000), make([]string, 500)...))
	_, err = p.Do("MUTATE", `{"cmd":"requeue","target":"retries"}`)
	require.NoError(t, err)
	r, err = w.Do("FETCH", "q")
	require.NoError(t, err)
	assert.True(t, json.Valid([]byte(r.Text)), r.Text)
	assert.Contains(t, r.Text, `"args":[1.50, "a\u0062"]`)
	var j client.Job
	require.NoError(t, json.Unmarshal([]byte(r.Text), &j))
	assert.Equal(t, []int{100, 1000, 30}, []int{len(j.Failure.Type), len(j.Failure.Message), len(j.Failure.Backtrace)}, "cut to the limits")
}
