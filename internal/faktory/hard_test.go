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
	c, err := client.Dial(n.Faktory.Address(), client.Options{WID: wid, PID: pid, Timeout: standin.Patience})
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

// must fetches until there is a job.
func must(n *standin.Node, c *client.Conn, queue string) *client.Job {
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

func tracked(n *standin.Node, c *client.Conn, jid string) (out struct{ State, Reason, Result string }) {
	r, err := c.Do("TRACK", "GET "+jid)
	require.NoError(n.T, err)
	require.NoError(n.T, json.Unmarshal([]byte(r.Text), &out), r.Text)
	return out
}

func info(n *standin.Node, c *client.Conn) map[string]any {
	out, err := c.Info()
	require.NoError(n.T, err)
	return out["cobaltflow"].(map[string]any)
}

// A worker that beats but never reports holds a settle until its reservation ends, and no longer. An ACK that
// crosses the end, or comes after it, changes nothing: there is one final state.
func TestReservationThatRunsOut(t *testing.T) {
	n := start(t, nil)
	p, w := dial(n, "", 0), dial(n, "w-1", 1)
	require.NoError(t, p.Push(job("job-0001", "settle", "q", func(j *client.Job) { j.ReserveFor = 1 })))
	require.Equal(t, "job-0001", must(n, w, "q").JID)
	n.Eventually(func() bool {
		r, err := w.Do("BEAT", `{"wid":"w-1"}`)
		require.NoError(t, err)
		require.True(t, r.IsOK())
		return tracked(n, p, "job-0001").State == "dead"
	})
	assert.Equal(t, "may-have-run", tracked(n, p, "job-0001").Reason)
	require.NoError(t, w.Ack("job-0001"))
	assert.Equal(t, "dead", tracked(n, p, "job-0001").State)

	// The ACK and the end of the time come in one turn, in either order.
	for i, ackFirst := range []bool{true, false} {
		id := fmt.Sprint("cross-00", i)
		require.NoError(t, p.Push(job(id, "settle", "q", nil)))
		require.Equal(t, id, must(n, w, "q").JID)
		if ackFirst {
			require.NoError(t, w.Send("ACK", fmt.Sprintf(`{"jid":%q}`, id)))
		}
		n.On(func() { n.Faktory.ExpireForTest(id) })
		if !ackFirst {
			require.NoError(t, w.Send("ACK", fmt.Sprintf(`{"jid":%q}`, id)))
		}
		r, err := w.Read()
		require.NoError(t, err)
		require.True(t, r.IsOK())
		n.Eventually(func() bool { s := tracked(n, p, id).State; return s == "served" || s == "dead" })
		if !ackFirst {
			assert.Equal(t, "dead", tracked(n, p, id).State)
		}
	}
}

// A worker that comes back under its wid is another process: what the one before had fetched may have run.
func TestWorkerBackUnderTheSameWid(t *testing.T) {
	n := start(t, nil)
	p, w := dial(n, "", 0), dial(n, "w-1", 1)
	require.NoError(t, p.Push(job("job-0001", "settle", "q", nil)))
	require.NoError(t, p.Push(job("job-0002", "board-view", "q", nil)))
	must(n, w, "q")
	must(n, w, "q")
	again := dial(n, "w-1", 2)
	n.Eventually(func() bool { return tracked(n, p, "job-0001").State == "dead" })
	assert.Equal(t, "retries", tracked(n, p, "job-0002").State, "its class may run again")
	require.NoError(t, again.Ack("job-0001"), "not its own: nothing changes")
	assert.Equal(t, "dead", tracked(n, p, "job-0001").State)
	require.NoError(t, p.Push(job("job-0003", "move", "q", nil)))
	assert.Equal(t, "job-0003", must(n, again, "q").JID)
	n.Eventually(func() bool { return n.Logged("party=faktory-worker") && n.Logged("reason=moved") })
}

// The same job pushed on two connections at once, during its retry and after its end makes one job.
func TestTheSameJobPushedAgain(t *testing.T) {
	n := start(t, nil)
	w := dial(n, "w-1", 1)
	var wg sync.WaitGroup
	for range 8 {
		c := dial(n, "", 0)
		wg.Go(func() { assert.NoError(t, c.Push(job("job-0001", "board-view", "q", nil))) })
	}
	wg.Wait()
	p := dial(n, "", 0)
	require.Equal(t, "job-0001", must(n, w, "q").JID)
	require.NoError(t, w.Fail("job-0001", "E", "m"))
	n.Eventually(func() bool { return tracked(n, p, "job-0001").State == "retries" })
	require.NoError(t, p.Push(job("job-0001", "board-view", "q", nil)), "during its retry")
	assert.Equal(t, "retries", tracked(n, p, "job-0001").State)
	r, err := p.Do("MUTATE", `{"cmd":"requeue","target":"retries"}`)
	require.NoError(t, err)
	require.True(t, r.IsOK())
	require.Equal(t, "job-0001", must(n, w, "q").JID)
	require.NoError(t, w.Ack("job-0001"))
	require.NoError(t, p.Push(job("job-0001", "board-view", "q", nil)), "after its end")
	j, err := w.Fetch("q")
	require.NoError(t, err)
	assert.Nil(t, j, "it ran once, and was tried again once")
	require.NoError(t, p.Push(job("job-0002", "settle", "q", nil)))
	must(n, w, "q")
	require.NoError(t, w.Fail("job-0002", "E", "m"))
	n.Eventually(func() bool { return tracked(n, p, "job-0002").State == "dead" })
	assert.ErrorContains(t, p.Push(job("job-0002", "settle", "q", nil)), "has ended: dead")
}

// A PUSHB of 10,000 is taken part by part: others are served meanwhile, and each job that was not taken is named.
func TestPushOfTenThousand(t *testing.T) {
	n := start(t, func(c *config.Config) { c.Faktory.MaxQueueJobs = 9000 }, standin.NewWorker(t, "s-1", nil))
	p := dial(n, "", 0)
	var list []client.Job
	for i := range 10_000 {
		list = append(list, job(fmt.Sprintf("bulk-%05d", i), "board-view", "q", nil))
	}
	text, _ := json.Marshal(list)
	require.NoError(t, p.Send("PUSHB", string(text)))
	assert.Equal(t, 200, n.Ask("board-view", "k", "id-1", 3000, "").Status, "the HTTP front answers meanwhile")
	r, err := p.Read()
	require.NoError(t, err)
	not := map[string]string{}
	require.NoError(t, json.Unmarshal([]byte(r.Text), &not))
	assert.Len(t, not, 1000)
	assert.Contains(t, not["bulk-09999"], "refused, max_queue_jobs is reached, return in")
	w := dial(n, "w-1", 1)
	assert.Equal(t, "bulk-00000", must(n, w, "q").JID)
	assert.EqualValues(t, 9000, info(n, p)["held"])
}

// A FAIL that crosses the BEAT which quiets its worker still ends the job, and the worker gets nothing new.
func TestFailCrossesTheBeatThatQuiets(t *testing.T) {
	n := start(t, nil)
	p, w, beat := dial(n, "", 0), dial(n, "w-1", 1), dial(n, "w-1", 1)
	for i := range 2 {
		require.NoError(t, p.Push(job(fmt.Sprint("job-000", i), "board-view", "q", nil)))
	}
	require.Equal(t, "job-0000", must(n, w, "q").JID)
	require.NoError(t, beat.Send("BEAT", `{"wid":"w-1","current_state":"quiet"}`))
	require.NoError(t, w.Send("FAIL", `{"jid":"job-0000","errtype":"E","message":"m"}`))
	for _, c := range []*client.Conn{beat, w} {
		r, err := c.Read()
		require.NoError(t, err)
		assert.True(t, r.IsOK())
	}
	n.Eventually(func() bool { return tracked(n, p, "job-0000").State == "retries" })
	j, err := w.Fetch("q")
	require.NoError(t, err)
	assert.Nil(t, j)
	assert.Equal(t, "job-0001", must(n, dial(n, "w-2", 1), "q").JID)
}

// A worker that goes away between the reply to its FETCH and its reading may have run the job.
func TestWorkerQuitsBeforeItReadsTheJob(t *testing.T) {
	n := start(t, nil)
	p, w := dial(n, "", 0), dial(n, "w-1", 1)
	require.NoError(t, w.Send("FETCH", "q"))
	require.NoError(t, p.Push(job("job-0001", "move", "q", nil)))
	n.Eventually(func() bool { return tracked(n, p, "job-0001").State == "working" })
	w.Close()
	n.Eventually(func() bool { return tracked(n, p, "job-0001").State == "dead" })
}

// A peer that asks and does not read is closed, with its reason, and takes nothing from others.
func TestSlowReader(t *testing.T) {
	n := start(t, nil)
	slow, p := dial(n, "", 0), dial(n, "", 0)
	require.NoError(t, p.Push(job("job-0001", "move", "q", nil)))
	go func() {
		for slow.Send("INFO", "") == nil {
		}
	}()
	n.Eventually(func() bool {
		require.Equal(t, "enqueued", tracked(n, p, "job-0001").State)
		return n.Logged("reason=not-reading") || n.Logged("reason=flooding")
	})
}

// A thousand FETCHes wait and each gets one job; a queue's workers are told apart from another's.
func TestAThousandFetchesWait(t *testing.T) {
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
	n.Eventually(func() bool { return len(info(n, p)["workers"].([]any)) == count })
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

// A paused queue hands out nothing more, while what is with a worker goes on to its end.
func TestPausedQueueWithJobsInTheCore(t *testing.T) {
	n := start(t, nil)
	p, w := dial(n, "", 0), dial(n, "w-1", 1)
	for i := range 2 {
		require.NoError(t, p.Push(job(fmt.Sprint("job-000", i), "move", "q", nil)))
	}
	require.Equal(t, "job-0000", must(n, w, "q").JID)
	r, err := p.Do("QUEUE", "PAUSE q")
	require.NoError(t, err)
	require.True(t, r.IsOK())
	j, err := w.Fetch("q")
	require.NoError(t, err)
	assert.Nil(t, j)
	require.NoError(t, w.Ack("job-0000"))
	assert.Equal(t, "served", tracked(n, p, "job-0000").State)
	assert.Equal(t, "enqueued", tracked(n, p, "job-0001").State)
	assert.Equal(t, []any{"q"}, info(n, p)["paused"])
}

// A flood above every bound is turned away with a time to return, and nothing that was taken is lost; another
// client and the HTTP front are served all the while.
func TestFloodAboveEveryBound(t *testing.T) {
	table := standin.NewWorker(t, "s-1", nil)
	n := start(t, func(c *config.Config) {
		k := &c.Faktory
		k.MaxHeldJobs, k.MaxQueueJobs, k.MaxScheduled, k.MaxQueues, k.TableQueues = 400, 200, 50, 8, []string{}
	}, table)
	w := dial(n, "w-1", 1)
	stop := make(chan struct{})
	var taken, turned sync.Map
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
					taken.Store(id, true)
					continue
				}
				if assert.Regexp(t, `refused, max_\w+ is reached, return in \d`, err.Error()) {
					turned.Store(strings.Fields(err.Error())[2], true)
				}
			}
		})
	}
	for i := range 40 {
		assert.Equal(t, 200, n.Ask("move", "k", fmt.Sprint("http-", i), 5000, "").Status)
		j := must(n, w, "q1")
		require.NoError(t, w.Ack(j.JID))
	}
	n.Eventually(func() bool {
		some := 0
		turned.Range(func(any, any) bool { some++; return true })
		return some >= 2
	})
	close(stop)
	wg.Wait()
	p := dial(n, "", 0)
	taken.Range(func(id, _ any) bool {
		return assert.Contains(t, []string{"enqueued", "scheduled", "working", "served"}, tracked(n, p, id.(string)).State)
	})
	assert.NotEmpty(t, info(n, p)["turned_away"])
}

// Jobs flow on while a MUTATE goes through 100,000 dead ones.
func TestMutateOverAHundredThousandDead(t *testing.T) {
	const dead = 100_000
	n := start(t, func(c *config.Config) {
		k := &c.Faktory
		k.MaxHeldJobs, k.MaxQueueJobs, k.MaxClientJobs, k.MaxScheduled, k.MaxDead, k.MaxHeldMB, k.MaxClientMB, k.MaxDeadMB = dead+10, dead+10, dead+10, dead, dead, 200, 200, 200
	})
	n.On(func() { n.Faktory.FillForTest(dead) })
	p, q, w := dial(n, "", 0), dial(n, "", 0), dial(n, "w-1", 1)
	r, err := p.Do("MUTATE", `{"cmd":"kill","target":"scheduled"}`)
	require.NoError(t, err)
	require.True(t, r.IsOK(), r.Err)
	require.EqualValues(t, dead, info(n, p)["dead"])
	last, most := dead, 0 // of what one turn took
	n.On(func() {
		n.Loop.AfterTurn(func() {
			now := n.Faktory.DeadForTest()
			last, most = now, max(most, last-now)
		})
	})
	require.NoError(t, p.Send("MUTATE", `{"cmd":"discard","target":"dead","filter":{"regexp":"*\"args\":\\[*9]*"}}`))
	for i := range 50 {
		require.NoError(t, q.Push(job(fmt.Sprintf("flow-%05d", i), "move", "q", nil)))
		require.NoError(t, w.Ack(must(n, w, "q").JID))
	}
	r, err = p.Read()
	require.NoError(t, err)
	assert.True(t, r.IsOK(), r.Err)
	assert.EqualValues(t, dead*9/10, info(n, q)["dead"], "nine tenths do not match")
	n.On(func() { assert.LessOrEqual(t, most, 1000, "a bounded part in each turn") })
}

// After a restart the workers of the process before report on jobs that nobody knows: they are let pass.
func TestLateReportsAfterARestart(t *testing.T) {
	before := start(t, nil)
	p, w := dial(before, "", 0), dial(before, "w-1", 1)
	require.NoError(t, p.Push(job("job-0001", "settle", "q", nil)))
	require.NoError(t, p.Push(job("job-0002", "settle", "q", nil)))
	must(before, w, "q")
	must(before, w, "q")
	n := start(t, nil)
	p, w = dial(n, "", 0), dial(n, "w-1", 1)
	require.NoError(t, w.Ack("job-0001"))
	require.NoError(t, w.Fail("job-0002", "E", "m"))
	assert.Equal(t, "unknown", tracked(n, p, "job-0001").State)
	assert.EqualValues(t, 0, info(n, p)["dead"])
	require.NoError(t, p.Push(job("job-0003", "settle", "q", nil)))
	assert.Equal(t, "job-0003", must(n, w, "q").JID)
}

// Half of a command that would take more than all sessions may costs its session alone.
func TestHalfCommandsAreBounded(t *testing.T) {
	n := start(t, func(c *config.Config) { c.Faktory.MaxCommandKB, c.Faktory.MaxInputMB = 1024, 2 })
	p := dial(n, "", 0)
	chunk := strings.Repeat("x", 600<<10)
	var halves []*client.Conn
	for range 4 {
		c := dial(n, "", 0)
		halves = append(halves, c)
		go fmt.Fprintf(c, "PUSH %s", chunk)
	}
	n.Eventually(func() bool { return n.Logged("reason=over-budget") })
	for _, c := range halves {
		c.Close()
	}
	n.Eventually(func() bool { return info(n, p)["input_bytes"].(float64) < 1000 })
	require.NoError(t, p.Push(job("job-0001", "move", "q", nil)))
	long := dial(n, "", 0)
	go fmt.Fprintf(long, "PUSH %s%s\r\n", chunk, chunk)
	n.Eventually(func() bool { return n.Logged("reason=bad-input") })
}

// An attempt that is pending for a busy worker goes to another that asks for it.
func TestNothingWaitsForABusyWorkerWhileAnotherAsks(t *testing.T) {
	n := start(t, nil)
	p, a := dial(n, "", 0), dial(n, "w-a", 1)
	key := func(j *client.Job) { j.Custom = map[string]any{"key": "k"} }
	require.NoError(t, p.Push(job("job-0001", "move", "q", key)))
	must(n, a, "q") // the key's worker is busy from here on
	b := dial(n, "w-b", 1)
	got := make(chan *client.Job)
	go func() { got <- must(n, b, "q") }()
	n.Eventually(func() bool { return len(info(n, p)["workers"].([]any)) == 2 })
	require.NoError(t, p.Push(job("job-0002", "move", "q", key)))
	select {
	case j := <-got:
		assert.Equal(t, "job-0002", j.JID)
	case <-time.After(standin.Patience):
		t.Fatal("it waited for the busy one")
	}
}

// What a retried job carries is still one object, and its text is the pusher's own.
func TestRetriedJobCarriesItsFailure(t *testing.T) {
	n := start(t, nil)
	p, w := dial(n, "", 0), dial(n, "w-1", 1)
	r, err := p.Do("PUSH", `{ "jid":"job-0001", "jobtype":"board-view", "queue":"q", "args":[1.50, "a\u0062"], "custom":{} }`)
	require.NoError(t, err)
	require.True(t, r.IsOK(), r.Err)
	must(n, w, "q")
	require.NoError(t, w.Fail("job-0001", strings.Repeat("E", 500), strings.Repeat("m", 5000), make([]string, 500)...))
	_, err = p.Do("MUTATE", `{"cmd":"requeue","target":"retries"}`)
	require.NoError(t, err)
	r, err = w.Do("FETCH", "q")
	require.NoError(t, err)
	assert.True(t, json.Valid([]byte(r.Text)), r.Text)
	assert.Contains(t, r.Text, `"args":[1.50, "a\u0062"]`)
	var j client.Job
	require.NoError(t, json.Unmarshal([]byte(r.Text), &j))
	assert.Equal(t, []int{100, 1000, 30}, []int{len(j.Failure.Type), len(j.Failure.Message), len(j.Failure.Backtrace)}, "within bounds")
}
