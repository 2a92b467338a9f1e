package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/standin"
)

// Races of the end of a process with requests on connections that the kernel has established. These tests stop the poller of
// the test's process, so they do not run in parallel.

// exchange sends a request on a new connection and reads the whole answer.
func exchange(address, request string) error {
	c, err := net.DialTimeout("tcp", address, standin.WaitTimeout)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(standin.WaitTimeout))
	if _, err := io.WriteString(c, request); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	defer r.Body.Close()
	if _, err = io.Copy(io.Discard, r.Body); err != nil {
		return fmt.Errorf("read: %w", err)
	}
	if r.StatusCode != 200 && r.StatusCode != 503 {
		return fmt.Errorf("status %d", r.StatusCode)
	}
	return nil
}

// handOverLate begins a shutdown with a successor, which has reached the time of the last answers already.
func handOverLate(n *standin.Node) {
	n.RunOnLoop(func() {
		n.Front.HandOver()
		n.Front.StopSince(n.Loop.Now()-3600*core.Millisecond, n.Loop.Stop)
	})
}

// Guards against the reset of connections that wait in the accept queue when the listener closes: each client that connects
// and sends between the last accept and the close gets an answer, from this process or from its successor.
func TestRequestRacingListenerCloseIsAnswered(t *testing.T) {
	for name, end := range map[string]func(n *standin.Node){
		"handover": handOverLate,
		"SIGTERM": func(n *standin.Node) {
			n.RunOnLoop(func() { n.Front.StopSince(n.Loop.Now()-2*core.Second, n.Loop.Stop) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
			address := n.Front.Address()
			standin.Start(t, func(c *config.Config) { c.Listen = address }, standin.NewWorker(t, "s-2", nil))
			var race *standin.CloseRace
			n.RunOnLoop(func() {
				n.Front.ReplaceListener(func(l netpoll.Listener) (hooked netpoll.Listener) {
					hooked, race = standin.RaceClose(n, l, 32, func(client int) error {
						return exchange(address, fmt.Sprintf(completeRequest, fmt.Sprint("id-", client)))
					})
					return hooked
				})
			})
			end(n)
			assert.Empty(t, race.Failures(), "clients without an answer")
		})
	}
}

// Guards against the loss of a connection that the poller has accepted and not counted yet when the shutdown looks for the
// last time whether anything is pending: its request is answered before the process ends.
func TestShutdownWaitsForUncountedConnection(t *testing.T) {
	for name, end := range map[string]func(n *standin.Node){
		"handover": handOverLate,
		"SIGTERM": func(n *standin.Node) {
			n.RunOnLoop(func() { n.Front.StopSince(n.Loop.Now()-2*core.Second, n.Loop.Stop) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
			accepted, isCounted := make(chan struct{}), make(chan struct{})
			n.Front.SetAfterAccept(sync.OnceFunc(func() { // a job's callback comes on a connection of its own
				close(accepted)
				select { // a shutdown that waits for the connection gets it after the bound
				case <-n.Ended:
				case <-time.After(500 * time.Millisecond):
				}
				close(isCounted)
			}))
			answer := make(chan error, 1)
			go func() { answer <- exchange(n.Front.Address(), fmt.Sprintf(completeRequest, "id-1")) }()
			<-accepted
			end(n)
			<-n.Ended
			select {
			case err := <-answer:
				assert.NoError(t, err)
			case <-time.After(100 * time.Millisecond):
				t.Error("the process ended with an accepted connection and an unanswered request")
			}
			<-isCounted
		})
	}
}

// Guards against the loss of a refusal that was sent in advance on a new connection: its request, unread in the kernel when
// the last step of the shutdown closes the connection, or sent behind that, does not keep its client from reading it.
func TestRefusalInAdvanceOutlivesClose(t *testing.T) {
	for _, isUnread := range []bool{true, false} {
		t.Run(fmt.Sprint("request before the close: ", isUnread), func(t *testing.T) {
			n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
			c := standin.Dial(t, n.Front.Address())
			eventuallyOnLoop(n, func() bool { registered, _, _ := n.Front.ClientCounts(); return registered == 1 })
			var resume func()
			n.RunOnLoop(func() {
				n.Front.SetBeforeIdleClose(func() {
					if resume == nil && isUnread {
						resume = standin.PausePoller(n)
						c.Send(fmt.Sprintf(completeRequest, "id-1"))
					}
				})
			})
			handOverLate(n)
			<-n.Ended // the connection is closed
			if isUnread {
				require.NotNil(t, resume)
				resume()
				_, err := io.WriteString(c.Conn, "x")
				t.Log("a further write of the client:", err)
			} else {
				c.Send(fmt.Sprintf(completeRequest, "id-1"))
			}
			assert.Equal(t, 503, readStatus(t, c))
		})
	}
}

// Guards against the same loss at the end of the linger: the refusal is sent in a drain, the request stays unread until the
// linger ends, and the client reads late.
func TestRefusalInAdvanceOutlivesLinger(t *testing.T) {
	n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
	c := standin.Dial(t, n.Front.Address())
	eventuallyOnLoop(n, func() bool { registered, _, _ := n.Front.ClientCounts(); return registered == 1 })
	var resume func()
	n.RunOnLoop(func() {
		n.Front.SetBeforeIdleClose(func() {
			if resume == nil {
				resume = standin.PausePoller(n)
				c.Send(fmt.Sprintf(completeRequest, "id-1"))
			}
		})
		n.Front.Drain()
	})
	n.Eventually(func() bool { return n.HasLogged("reason=shut-down") }) // the linger has ended
	require.NotNil(t, resume)
	resume()
	assert.Equal(t, 503, readStatus(t, c))
}

// Guards against a reset of a worker's connection in the last step of the shutdown: a callback that is unread in the kernel
// when the connection is closed is answered or, as the worker repeats it, ends in order.
func TestCallbackRacingLastCloseIsNotReset(t *testing.T) {
	n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
	callback := `{"id":"id-9","from":"s-1","state":"done"}`
	text := fmt.Sprintf("POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(callback), callback)
	require.Equal(t, 200, n.SendRequest("settle", "k", "id-9", 5000, "").Status) // later callbacks of this ID are answered 204
	c := standin.Dial(t, n.Front.Address())
	c.Send(text)
	require.Equal(t, 204, readStatus(t, c))
	n.RunOnLoop(func() {
		n.Front.ReplaceListener(func(l netpoll.Listener) netpoll.Listener {
			return &standin.HookedListener{Listener: l, Before: func() {}, After: func() { // the last step comes 20 ms later
				resume := standin.PausePoller(n)
				c.Send(text)
				go func() { <-n.Ended; resume() }()
				time.AfterFunc(500*time.Millisecond, resume) // for a shutdown that reads it first
			}}
		})
	})
	handOverLate(n)
	_, err := c.Reader.ReadByte()
	if err != nil {
		assert.ErrorIs(t, err, io.EOF)
	}
}

// Guards against a close over a request that the kernel holds on a kept connection, as the poller is behind: it is served.
// After a stop of the process the loop's overdue timers run before the poller reads.
func TestUnreadRequestOnKeptConnectionIsServed(t *testing.T) {
	for name, end := range map[string]func(n *standin.Node){
		"drain": func(n *standin.Node) { n.RunOnLoop(n.Front.Drain) },
		"SIGTERM": func(n *standin.Node) {
			n.RunOnLoop(func() { n.Front.StopSince(n.Loop.Now()-2*core.Second, n.Loop.Stop) })
			n.RunOnLoop(func() {}) // the turn after, in which the first look at idle connections is due
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
			c := standin.Dial(t, n.Front.Address())
			c.Send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
			require.Equal(t, 200, readStatus(t, c))
			resume := standin.PausePoller(n)
			c.Send("GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n")
			end(n)
			resume()
			r, err := http.ReadResponse(c.Reader, nil)
			if assert.NoError(t, err) {
				assert.Equal(t, 503, r.StatusCode, "not ready, as the process drains or ends")
			}
		})
	}
}
