package faktory_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/standin"
)

func start(t *testing.T, change func(*config.Config), workers ...*standin.Worker) *standin.Node {
	return standin.Start(t, func(c *config.Config) {
		c.Faktory.Listen = "127.0.0.1:0"
		c.Settings.SlowStartWindow, c.Settings.OverloadWindow = 1, 1 // no slow start, except in its own test
		if change != nil {
			change(c)
		}
	}, workers...)
}

func session(n *standin.Node, wid string) *standin.Faktory {
	f := standin.NewFaktory(n.T, n.Faktory.Address(), wid, n.Conf.Faktory.Password)
	require.Equal(n.T, "OK", f.HandshakeReply)
	return f
}

// startFetching connects a worker that fetches in the background, and returns when it is one of the endpoints. The
// channel receives the jid and jobtype of the job that it fetches.
func startFetching(n *standin.Node, wid string) (*standin.Faktory, chan [2]string) {
	w := session(n, wid)
	got := make(chan [2]string, 1)
	go func() {
		for {
			if jid, jobtype := w.Fetch(); jid != "" || jobtype != "(none)" {
				got <- [2]string{jid, jobtype}
				return
			}
		}
	}()
	n.Eventually(func() (in bool) {
		n.RunOnLoop(func() { in = n.Core.WorkerCount() > 0 })
		return in
	})
	return w, got
}

func TestPushFetchAckAndTrack(t *testing.T) {
	n := start(t, nil)
	w, got := startFetching(n, "w-1")
	c := session(n, "")
	require.Equal(t, "OK", c.Push("job-0001", "settle", 9000))
	require.Equal(t, [2]string{"job-0001", "settle"}, <-got)
	assert.Equal(t, "working", c.JobState("job-0001"))
	assert.Equal(t, "OK", w.Do("ACK", `{"jid":"job-0001","result":"won"}`))
	assert.Equal(t, "served", c.JobState("job-0001"))
	assert.Contains(t, c.Do("TRACK", "GET job-0001"), `"result":"won"`)
	assert.Equal(t, "unknown", c.JobState("job-none"))
	assert.Contains(t, c.Do("INFO", ""), `"total_processed":1`)
	assert.Equal(t, "OK", w.Do("ACK", `{"jid":"job-none"}`))
	assert.Equal(t, "OK", w.Do("ACK", `{"jid":"job-0001"}`), "a late ACK changes nothing")
	assert.Equal(t, "OK", c.Do("END", ""))
	assert.Equal(t, "(closed)", c.Reply())
}

func TestHelloChecksPasswordAndVersion(t *testing.T) {
	n := start(t, func(c *config.Config) { c.Faktory.Password = "open sesame" })
	session(n, "")
	assert.Contains(t, standin.NewFaktory(t, n.Faktory.Address(), "", "wrong").HandshakeReply, "-ERR invalid password")
	raw := &standin.Faktory{RawConn: standin.Dial(t, n.Faktory.Address())}
	assert.Contains(t, raw.Reply(), `"i":`)
	assert.Contains(t, raw.Do("HELLO", `{"v":3}`), "-ERR protocol version")
	assert.Equal(t, "(closed)", raw.Reply())
}

func TestBadCommandsGetErrorReplies(t *testing.T) {
	n := start(t, nil)
	c, w := session(n, ""), session(n, "w-1")
	for _, x := range []struct{ verb, arg, want string }{
		{"FLY", "", "unknown command"}, {"PUSH", "{", "malformed job"}, {"PUSH", `{"jid":"short"}`, "malformed job: jid: "},
		{"PUSH", `{"jid":"job-0001","jobtype":"none","args":[]}`, "no class"},
		{"PUSH", `{"jid":"job-0001","jobtype":"move","args":{}}`, "malformed job: args: "},
		{"PUSH", `{"jid":"job 0001","jobtype":"move","args":[]}`, "malformed job: jid: "},
		{"PUSH", `{"jid":"job-0001","jobtype":"move","args":[],"at":"soon"}`, "malformed job: at: "},
		{"PUSH", `{"jid":"job-0001","jobtype":"move","args":[],"retry":"x"}`, "malformed job: retry: a string"},
		{"PUSH", `{"jid":"job-0001","jobtype":"move","args":[],"retry":-2}`, "malformed job: retry: "},
		{"PUSH", `{"jid":"job-0001","jobtype":"move","args":[],"priority":10}`, "malformed job: priority: "},
		{"PUSH", `{"jid":"job-0001","jobtype":"move","args":[],"queue":"a b"}`, "malformed job: queue: "},
		{"PUSH", `{"jid":"job-0001","jobtype":"move","args":[],"reserve_for":-1}`, "malformed job: reserve_for: "},
		{"PUSH", `{"jid":"job-0001","jobtype":"move","args":[],"custom":{"unique_for":-1}}`, "malformed job: custom.unique_for: "},
		{"PUSH", `{"jid":"job-0001","jobtype":"move","args":[],"custom":{"unique_for":1,"unique_until":"x"}}`, "malformed job: custom.unique_until: "},
		{"PUSH", `{"jid":"job-0001","jobtype":"move","args":[],"custom":{"expires_at":"x"}}`, "malformed job: custom.expires_at: "},
		{"PUSHB", `{}`, "malformed PUSHB"}, {"QUEUE", "PAUSE", "QUEUE takes"}, {"QUEUE", "BURN x", `QUEUE "BURN"`}, {"QUEUE", "PAUSE a/b", "unusable queue name"},
		{"MUTATE", `{"cmd":"burn","target":"dead"}`, "MUTATE: cmd: "}, {"MUTATE", `{"cmd":"kill","target":"x"}`, "MUTATE: target: "},
		{"MUTATE", `{"cmd":"kill","target":"dead","filter":{"regexp":"["}}`, "MUTATE: filter.regexp: "}, {"MUTATE", `[]`, "malformed MUTATE"},
		{"TRACK", `SET {"jid":"nobody-1"}`, "job nobody-1 is not known"}, {"TRACK", "SET {}", "malformed TRACK SET"}, {"FLUSH", "", "FLUSH is off"},
		{"PUSH", `{"jid":"job-0001","jobtype":"move","args":[],"custom":{"time_left_ms":0}}`, "malformed job: custom.time_left_ms: "},
		{"PUSH", `{"jid":"job-0001","jobtype":"move","args":[],"custom":{"account":7}}`, "malformed job: custom.account: "},
		{"PUSH", `{"jid":"job-0001","jobtype":"move","args":[],"custom":{"hint_us":0}}`, "malformed job: custom.hint_us: "},
		{"FETCH", "default", "FETCH is for workers"}, {"ACK", `{"jid":"job-0001"}`, "ACK is for workers"},
		{"FAIL", "{}", "malformed FAIL"}, {"BEAT", `{"wid":"w-9"}`, "BEAT of an unknown worker"}, {"TRACK", "PUT x", "TRACK takes GET"},
		{"HELLO", `{"v":2}`, "HELLO was said"}, {"", "", "empty command"},
	} {
		assert.Contains(t, c.Do(x.verb, x.arg), "-ERR "+x.want, x.verb+x.arg)
	}
	assert.Contains(t, w.Do("BEAT", `{"wid":"w-1","current_state":"asleep"}`), "-ERR unknown state")
	assert.Equal(t, "OK", w.Do("BEAT", `{"wid":"w-1"}`))
	early := &standin.Faktory{RawConn: standin.Dial(t, n.Faktory.Address())}
	early.Reply()
	assert.Contains(t, early.Do("INFO", ""), "-ERR say HELLO first")
}

// A rejected PUSH names the limit and the time to retry, leaves no trace and can be repeated.
func TestRejectedPushNamesLimitAndRetryTime(t *testing.T) {
	n := start(t, func(c *config.Config) { c.Faktory.MaxHeldJobs = 1 })
	c := session(n, "")
	require.Equal(t, "OK", c.Push("job-0001", "settle", 100))
	assert.Contains(t, c.Push("job-0002", "settle", 9000), "-ERR refused, max_held_jobs is reached, return in")
	assert.Equal(t, "unknown", c.JobState("job-0002"))
	n.Eventually(func() bool { return c.JobState("job-0001") == "refused" })
	assert.Equal(t, "OK", c.Push("job-0002", "settle", 9000))
	assert.Contains(t, c.Do("INFO", ""), `"max_held_jobs":1`)
}

// A job that was accepted and finds no worker by its deadline never ran, so its final state is refused.
func TestJobWithoutWorkerEndsRefused(t *testing.T) {
	n := start(t, nil)
	c := session(n, "")
	require.Equal(t, "OK", c.Push("job-0001", "settle", 300))
	n.Eventually(func() bool { return c.JobState("job-0001") == "refused" })
	assert.Contains(t, c.Push("job-0001", "settle", 300), "has ended: refused", "a PUSH with the jid of an ended job opens no second request")
}

// Guards against a second run of a settle, whose class forbids it: the worker that fetched it vanishes, by the end of
// its connection or by missed heartbeats, and the job ends dead.
func TestSettleOfVanishedWorkerDoesNotRunAgain(t *testing.T) {
	for name, vanish := range map[string]func(n *standin.Node, w *standin.Faktory){
		"connection ends": func(_ *standin.Node, w *standin.Faktory) { w.Close() },
		"beats missed":    func(*standin.Node, *standin.Faktory) {},
	} {
		t.Run(name, func(t *testing.T) {
			n := start(t, func(c *config.Config) { c.Faktory.HeartbeatTimeoutS = 2.5 })
			w, got := startFetching(n, "w-1")
			c := session(n, "")
			require.Equal(t, "OK", c.Push("job-0001", "settle", 20000))
			require.Equal(t, "job-0001", (<-got)[0])
			vanish(n, w)
			n.Eventually(func() bool { return c.JobState("job-0001") == "dead" })
			assert.Contains(t, c.Do("TRACK", "GET job-0001"), `"reason":"may-have-run"`)
			assert.Contains(t, c.Do("MUTATE", `{"cmd":"requeue","target":"dead"}`), "may-have-run")
			second := session(n, "w-2")
			jid, none := second.Fetch()
			assert.Equal(t, "(none)", none, jid)
		})
	}
}

// A worker that goes quiet returns its pending attempt, which another worker fetches, and finishes its own job.
func TestQuietWorkerReturnsPendingAttempt(t *testing.T) {
	n := start(t, nil)
	w, got := startFetching(n, "w-1")
	c := session(n, "")
	require.Equal(t, "OK", c.Push("job-0001", "move", 9000))
	require.Equal(t, "job-0001", (<-got)[0])
	require.Equal(t, "OK", c.Push("job-0002", "move", 9000), "is pending for w-1, the only worker")
	_, got2 := startFetching(n, "w-2")
	require.Equal(t, "OK", w.Do("BEAT", `{"wid":"w-1","current_state":"quiet"}`))
	assert.Equal(t, "job-0002", (<-got2)[0], "returned unrun, it runs on another worker")
	assert.Equal(t, "(none)", w.Do("FETCH", "default"), "no new job for a draining worker")
	assert.Equal(t, "OK", w.Do("FAIL", `{"jid":"job-0001","errtype":"x","message":"y"}`), "it finishes its fetched job")
	assert.Equal(t, "dead", c.JobState("job-0001"))
}

// A FETCH after a pending job's deadline finds nothing: the job has ended as refused.
func TestPendingJobIsNotFetchedAfterItsDeadline(t *testing.T) {
	n := start(t, nil)
	w, got := startFetching(n, "w-1")
	c := session(n, "")
	require.Equal(t, "OK", c.Push("job-0001", "move", 9000))
	<-got
	require.Equal(t, "OK", c.Push("job-0002", "move", 250))
	n.Eventually(func() bool { return c.JobState("job-0002") == "refused" })
	require.Equal(t, "OK", w.Do("ACK", `{"jid":"job-0001"}`))
	jid, _ := w.Fetch()
	assert.Empty(t, jid)
}

// While the front drains, a PUSH is rejected, jobs without a worker end as refused and a fetched job can still be
// acknowledged.
func TestDrainFinishesFetchedJobs(t *testing.T) {
	n := start(t, nil)
	w, got := startFetching(n, "w-1")
	c := session(n, "")
	require.Equal(t, "OK", c.Push("job-0001", "settle", 9000))
	require.Equal(t, "job-0001", (<-got)[0])
	require.Equal(t, "OK", c.Push("job-0002", "settle", 9000))
	require.Equal(t, "OK", c.Do("PUSH", `{"jid":"job-0003","jobtype":"move","args":[],"at":"2199-01-01T00:00:00Z"}`))
	n.Gateway.Stop()
	n.Eventually(func() bool { return c.JobState("job-0003") == "refused" })
	assert.Contains(t, c.Push("job-0004", "settle", 9000), "-ERR refused, the program ends, return in")
	assert.Equal(t, "OK", c.Push("job-0001", "settle", 9000), "already accepted")
	assert.Equal(t, "refused", c.JobState("job-0002"), "it never ran")
	assert.Equal(t, `{"state":"quiet"}`, w.Do("BEAT", `{"wid":"w-1","rss_kb":1000}`))
	assert.Equal(t, "OK", w.Do("BEAT", `{"wid":"w-1","current_state":"quiet"}`))
	require.Equal(t, "OK", w.Do("ACK", `{"jid":"job-0001"}`))
	assert.Equal(t, "served", c.JobState("job-0001"))
	<-n.Ended
}

// A worker that joins counts as cold: slow start keeps it from getting all pending jobs at once.
func TestJoiningWorkerIsSubjectToSlowStart(t *testing.T) {
	n := start(t, func(c *config.Config) { c.Settings.SlowStartWindow, c.Settings.OverloadWindow = 30_000_000, 1_000_000 })
	startFetching(n, "w-1")
	c := session(n, "")
	for i := range 6 {
		require.Equal(t, "OK", c.Push(fmt.Sprint("job-000", i), "move", 9000))
	}
	n.RunOnLoop(func() { assert.LessOrEqual(t, n.Core.InFlightAttempts(), 1) })
}

// pushTwice pushes twelve jobs, each twice, and waits until all accepted ones have ended.
func pushTwice(n *standin.Node, classes []string, client int) {
	c := standin.NewFaktory(n.T, n.Faktory.Address(), "", "")
	var accepted []string
	for j := range 12 {
		jid := fmt.Sprintf("fk-%s-%d-%d", classes[j%3], client, j)
		first := c.Push(jid, classes[j%3], 4000)
		c.Push(jid, classes[j%3], 4000) // a repeat
		if first == "OK" {
			accepted = append(accepted, jid)
		} else {
			assert.Contains(n.T, first, "-ERR refused")
		}
	}
	for _, jid := range accepted {
		assert.Eventually(n.T, func() bool {
			return strings.Contains("served refused failed dead", c.JobState(jid))
		}, standin.WaitTimeout, 5e6, jid)
	}
}

// Mixed traffic over HTTP and Faktory, to table workers and fetching workers that vanish, with every job pushed twice:
// no job of a class that forbids it runs twice, and each job has one final answer.
func TestMixedTrafficRunsNothingTwice(t *testing.T) {
	var runs standin.RunCounter
	var number atomic.Int64
	table := func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
		runs.Record(id)
		switch mine := number.Add(1); {
		case mine%7 == 0: // the connection breaks while the worker holds the job
			c, _, _ := rw.(http.Hijacker).Hijack()
			c.Close()
		case mine%5 == 0: // the worker process dies after its 202
			rw.WriteHeader(202)
			go w.SendCallback(id, "lost", nil)
		default:
			standin.CompleteJob(w, id, rw, r)
		}
	}
	n := start(t, nil, standin.NewWorker(t, "s-1", table), standin.NewWorker(t, "s-2", table))
	stop := make(chan struct{})
	workers := n.StartVanishingWorkers(3, 4, &runs, stop)
	classes := []string{"board-view", "move", "settle"}
	var clients sync.WaitGroup
	answers := make(chan standin.Answer, 200)
	for i := range 4 {
		clients.Go(func() {
			for j := range 12 {
				answers <- n.SendRequest(classes[j%3], fmt.Sprint("k", j), fmt.Sprintf("http-%s-%d-%d", classes[j%3], i, j), 4000, "b")
			}
		})
		clients.Go(func() { pushTwice(n, classes, i) })
	}
	clients.Wait()
	close(stop)
	workers.Wait()
	for range 48 {
		assert.Contains(t, []int{200, 500, 503}, (<-answers).Status)
	}
	assert.Empty(t, answers, "one answer for each request")
	kinds := map[string]int{}
	for id, count := range runs.Counts() {
		kinds[strings.SplitN(id, "-", 2)[0]]++
		if !strings.Contains(id, "board-view") {
			assert.Equal(t, 1, count, id)
		}
		assert.LessOrEqual(t, count, 4, id)
	}
	assert.NotZero(t, kinds["http"])
	assert.NotZero(t, kinds["fk"])
	n.RunOnLoop(func() {
		assert.Zero(t, n.Core.OpenRequests())
		c := n.Core.Counts
		assert.Equal(t, c.Accepted, c.Served+c.Refused+c.Failed+c.Cancelled)
	})
	assert.Equal(t, 204, standin.PostCallback(n.URL(platform.PathEvents), map[string]any{"id": "http-move-0-1", "from": "s-1", "state": "done"}))
}

// Guards against commands that get no reply until their client sends more: those behind the 256th of a pipeline, which one batch does
// not take.
func TestLongPipelineIsAnsweredToItsEnd(t *testing.T) {
	const commands = 700
	c := session(start(t, nil), "")
	c.Send(strings.Repeat("TRACK GET job-0001\r\n", commands))
	for i := range commands {
		require.NotEqual(t, "(closed)", c.Reply(), "reply %d", i)
	}
}
