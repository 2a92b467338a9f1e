package http2_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// A hundred requests run on one connection at once, and invalid ones get their status.
func TestManyStreamsOnOneConnection(t *testing.T) {
	n := start(t, nil, standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil))
	c := newClient(n)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			id := fmt.Sprint("id-", i)
			status, body, err := send(c, newRequest(context.Background(), n, []string{"move", "settle", "board-view"}[i%3], id, 9000, strings.Repeat("b", 600*i)))
			if assert.NoError(t, err) && assert.Equal(t, 200, status, body) {
				assert.Contains(t, body, "did "+id)
			}
		})
	}
	wg.Wait()
	n.RunOnLoop(func() { assert.EqualValues(t, 1, n.HTTP2.Stats.Connections) })
	for _, bad := range []struct {
		class, id string
		left      int
		body      string
		want      int
	}{
		{"none", "id-x", 9000, "", 404}, {"move", "", 9000, "", 400}, {"move", "id-x", 0, "", 400}, {"move", "id-1", 9000, "", 400},
		{"move", "id-x", 9000, strings.Repeat("x", 64<<10+1), 413},
	} {
		status, _, err := send(c, newRequest(context.Background(), n, bad.class, bad.id, bad.left, bad.body))
		assert.NoError(t, err)
		assert.Equal(t, bad.want, status)
	}
	status, _, err := send(c, newRequest(context.Background(), n, "move", "id-y", 9000, strings.Repeat("x", 64<<10)))
	assert.NoError(t, err)
	assert.Equal(t, 200, status, "a body of the full size, over a window of 64 KiB")
}

// A client that resets its stream as its move starts can look up the job's final state, and a repeat of the id does not
// run it again.
func TestResetStreamOfAStartedMoveKeepsItsOutcome(t *testing.T) {
	hold := make(chan string, 4)
	w := standin.NewWorker(t, "s-1", func(_ *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(202)
		hold <- id
	})
	n := start(t, nil, w)
	c := newClient(n)
	ctx, reset := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		_, _, err := send(c, newRequest(ctx, n, "move", "id-1", 9000, "m"))
		ended <- err
	}()
	require.Equal(t, "id-1", <-hold)
	reset()
	require.Error(t, <-ended)
	n.Eventually(func() (yes bool) {
		n.RunOnLoop(func() { yes = n.HTTP2.Stats.Resets == 1 })
		return yes
	})
	assert.Equal(t, "open", jobState(n, c, "id-1").State, "the job goes on")
	status, _, err := send(c, newRequest(context.Background(), n, "move", "id-1", 9000, "m"))
	require.NoError(t, err)
	assert.Equal(t, 400, status, "the id is in use")
	w.SendCallback("id-1", "done", map[string]any{"result": "moved"})
	n.Eventually(func() bool { s := jobState(n, c, "id-1"); return s.State == "served" && s.Result == "moved" })
	status, _, err = send(c, newRequest(context.Background(), n, "move", "id-1", 9000, "m"))
	require.NoError(t, err)
	assert.Equal(t, 400, status, "the id was in use")
	assert.Len(t, w.Jobs(), 1)
	assert.Empty(t, jobState(n, c, "id-2").State, "an unknown id has no state")
	assert.Empty(t, jobState(n, c, "").State)

	// A job that may run twice is cancelled, and a job that reached no worker never ran.
	ctx, reset = context.WithCancel(context.Background())
	go send(c, newRequest(ctx, n, "board-view", "id-3", 4000, "m"))
	require.Equal(t, "id-3", <-hold)
	reset()
	// By DELETE or, if the 202 was not read yet, by closing the worker's connection.
	n.Eventually(func() bool {
		return jobState(n, c, "id-3").State == "refused" && (w.WasDeleted("id-3") || n.HasLogged("reason=given-up"))
	})
}

// A refusal by the rules is answered 503 with Retry-After, at once.
func TestRefusalIs503WithRetryAfter(t *testing.T) {
	n := start(t, nil)
	c := newClient(n)
	q := newRequest(context.Background(), n, "move", "id-1", 200, "")
	r, err := c.Do(q)
	require.NoError(t, err)
	r.Body.Close()
	assert.Equal(t, 503, r.StatusCode)
	assert.NotEmpty(t, r.Header.Get("Retry-After"))
	assert.Equal(t, "refused", jobState(n, c, "id-1").State)
}

// sendOnThreeFronts has three clients send twelve jobs to each front, and waits for all answers. answered is called
// with each answer over HTTP.
func sendOnThreeFronts(n *standin.Node, answered func(id string, status int)) {
	classes := []string{"board-view", "move", "settle"}
	var clients sync.WaitGroup
	for i := range 3 {
		c := newClient(n)
		for j := range 12 {
			class := classes[j%3]
			clients.Go(func() {
				id := fmt.Sprintf("h2-%s-%d-%d", class, i, j)
				status, _, err := send(c, newRequest(context.Background(), n, class, id, 4000, "b"))
				if assert.NoError(n.T, err) {
					answered(id, status)
				}
			})
			clients.Go(func() {
				id := fmt.Sprintf("h1-%s-%d-%d", class, i, j)
				answered(id, n.SendRequest(class, "k", id, 4000, "b").Status)
			})
		}
		clients.Go(func() {
			p := standin.NewFaktory(n.T, n.Faktory.Address(), "", "")
			for j := range 12 {
				jid := fmt.Sprintf("fk-%s-%d-%d", classes[j%3], i, j)
				if p.Push(jid, classes[j%3], 4000) == "OK" {
					assert.Eventually(n.T, func() bool { return strings.Contains("served refused failed dead", p.JobState(jid)) }, standin.WaitTimeout, 5e6, jid)
				}
			}
		})
	}
	clients.Wait()
}

// Mixed traffic on HTTP/1.1, HTTP/2 and Faktory at once, with workers that vanish: no move or settle runs twice, and
// each job has one final answer.
func TestMixedTrafficOnThreeFronts(t *testing.T) {
	var runs standin.RunCounter
	table := func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
		switch n := runs.Record(id); {
		case n%9 == 0: // the connection breaks while the worker holds the job
			c, _, _ := rw.(http.Hijacker).Hijack()
			c.Close()
		case n%7 == 0: // the worker process dies after its 202
			rw.WriteHeader(202)
			go w.SendCallback(id, "lost", nil)
		default:
			standin.CompleteJob(w, id, rw, r)
		}
	}
	n := start(t, func(c *config.Config) {
		c.Faktory.Listen = "127.0.0.1:0"
		c.Settings.SlowStartWindow, c.Settings.OverloadWindow = 1, 1
	}, standin.NewWorker(t, "s-1", table), standin.NewWorker(t, "s-2", table))
	stop := make(chan struct{})
	workers := n.StartVanishingWorkers(2, 5, &runs, stop)
	var answers sync.Map
	sendOnThreeFronts(n, func(id string, status int) {
		_, twice := answers.LoadOrStore(id, status)
		assert.False(t, twice, "%s was answered twice", id)
		assert.Contains(t, []int{200, 500, 503}, status, id)
	})
	close(stop)
	workers.Wait()
	fronts := map[string]int{}
	for id, count := range runs.Counts() {
		fronts[id[:2]]++
		if !strings.Contains(id, "board-view") {
			assert.Equal(t, 1, count, id)
		}
	}
	for _, front := range []string{"h1", "h2", "fk"} {
		assert.NotZero(t, fronts[front], front)
	}
	n.Eventually(func() (none bool) {
		n.RunOnLoop(func() { none = n.Core.OpenRequests() == 0 })
		return none
	})
}
