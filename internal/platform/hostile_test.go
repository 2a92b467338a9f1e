package platform_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// requestHead is the head of a request without the blank line behind it; %s stands for the request ID.
const requestHead = "POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: 9000\r\n"

// A peer that sends nothing, or only a part of a message, within 3 s of connecting gets a 408 and is disconnected.
func TestSlowAndSilentPeersGet408(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	var peers []*standin.RawConn
	for _, text := range []string{"", "POST /move/k HT", fmt.Sprintf(requestHead, "id-1"), fmt.Sprintf(requestHead, "id-2") + "Content-Length: 9\r\n\r\nhalf",
		fmt.Sprintf(requestHead, "id-3") + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		c := standin.Dial(t, n.Front.Address())
		c.Send(text)
		peers = append(peers, c)
	}
	for _, c := range peers {
		r, err := http.ReadResponse(c.Reader, nil)
		require.NoError(t, err)
		assert.Equal(t, 408, r.StatusCode)
		_, err = io.ReadAll(c.Reader)
		assert.NoError(t, err, "the connection ends after the 408")
	}
	assert.Empty(t, w.Jobs())
	n.Eventually(func() bool { return n.HasLogged("reason=slow-input") })
}

// An idle connection that has only served a readiness check is closed; one that has brought a job is kept.
func TestIdleConnectionsWithoutAJobAreClosed(t *testing.T) {
	n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
	checked, used := standin.Dial(t, n.Front.Address()), standin.Dial(t, n.Front.Address())
	checked.Send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	used.Send(fmt.Sprintf(requestHead, "id-1") + "\r\n")
	for _, c := range []*standin.RawConn{checked, used} {
		r, err := http.ReadResponse(c.Reader, nil)
		require.NoError(t, err)
		io.Copy(io.Discard, r.Body)
	}
	_, err := checked.Reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	used.Send(fmt.Sprintf(requestHead, "id-2") + "\r\n")
	r, err := http.ReadResponse(used.Reader, nil)
	require.NoError(t, err)
	assert.Equal(t, 200, r.StatusCode)
}

// An error reaches a client that keeps sending the rejected message, and its input is discarded only for a limited time.
func TestErrorReachesClientThatKeepsSending(t *testing.T) {
	n := standin.Start(t, nil)
	c := standin.Dial(t, n.Front.Address())
	c.Send(fmt.Sprintf(requestHead, "id-1") + "Content-Length: 62914560\r\n\r\n")
	ended := make(chan error, 1)
	go func() {
		_, err := io.CopyN(c.Conn, zeroReader{}, 60<<20)
		ended <- err
	}()
	r, err := http.ReadResponse(c.Reader, nil)
	require.NoError(t, err)
	assert.Equal(t, 413, r.StatusCode)
	assert.Error(t, <-ended, "the connection is closed")
}

// zeroReader reads zero bytes without an end.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// Connections that send nothing do not displace a client that has brought jobs, however many they are.
func TestSilentConnectionsDoNotDisplaceActiveClients(t *testing.T) {
	n := standin.Start(t, func(c *config.Config) { c.Limits.Sockets = 64 }, standin.NewWorker(t, "s-1", nil))
	active := standin.Dial(t, n.Front.Address())
	send := func(id string) {
		active.Send(fmt.Sprintf(requestHead, id) + "\r\n")
		r, err := http.ReadResponse(active.Reader, nil)
		require.NoError(t, err)
		assert.Equal(t, 200, r.StatusCode)
		io.Copy(io.Discard, r.Body)
	}
	send("id-1")
	for range 60 {
		standin.Dial(t, n.Front.Address())
	}
	n.Eventually(func() bool { return n.HasLogged("reason=over-budget") })
	send("id-2")
}

// The poller limits connections that arrive faster than the loop turns, since they would use up the descriptors.
func TestPollerBoundsConnectionsWhileTheLoopIsBusy(t *testing.T) {
	n := standin.Start(t, func(c *config.Config) { c.Limits.Sockets = 64 })
	busy := make(chan struct{})
	n.Loop.Post(func() { <-busy })
	const burst, admitted = 60, 64 - 24/2 // the socket limit less half of the reserve
	closed := make(chan bool, burst)
	for range burst {
		c := standin.Dial(t, n.Front.Address())
		go func() {
			_, err := c.Reader.ReadByte()
			closed <- err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		}()
	}
	for range burst - admitted {
		assert.True(t, <-closed, "while the loop is blocked")
	}
	assert.Empty(t, closed, "connections below the limit are accepted")
	close(busy)
	n.Eventually(func() bool { return n.HasLogged("reason=over-budget messages=0") })
}

// Every request needs a new ID. The ID of a request that has ended belongs to another client, and its worker would reject it.
func TestIDOfEndedRequestIsRejected(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	require.Equal(t, 200, n.SendRequest("move", "k", "id-1", 5000, "").Status)
	assert.Equal(t, 400, n.SendRequest("move", "k", "id-1", 5000, "").Status)
	assert.Len(t, w.Jobs(), 1)
}

// A new connection of a well-behaved client is silent for a moment. It outlives idle connections that have served a request
// but no job.
func TestNewConnectionsOutliveOnesWithoutJobs(t *testing.T) {
	n := standin.Start(t, func(c *config.Config) { c.Limits.Sockets = 64 })
	budget := 24
	for range budget {
		c := standin.Dial(t, n.Front.Address())
		c.Send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		_, err := http.ReadResponse(c.Reader, nil)
		require.NoError(t, err)
	}
	var fresh []*standin.RawConn
	for range 4 {
		fresh = append(fresh, standin.Dial(t, n.Front.Address()))
	}
	n.Eventually(func() bool { return n.HasLogged("reason=over-budget") })
	for _, c := range fresh {
		c.Send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		_, err := http.ReadResponse(c.Reader, nil)
		assert.NoError(t, err)
	}
}
