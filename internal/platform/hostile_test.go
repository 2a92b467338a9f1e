package platform_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

const requestHead = "POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: 9000\r\n"

// Whoever says nothing, or half of something, is told so within 3 s of connecting, and closed.
func TestSlowAndSilentPeersAreTurnedAway(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	var peers []*standin.Raw
	for _, text := range []string{"", "POST /move/k HT", fmt.Sprintf(requestHead, "id-1"), fmt.Sprintf(requestHead, "id-2") + "Content-Length: 9\r\n\r\nhalf",
		fmt.Sprintf(requestHead, "id-3") + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		c := standin.Dial(t, n.Front.Address())
		c.Say(text)
		peers = append(peers, c)
	}
	for _, c := range peers {
		r, err := http.ReadResponse(c.R, nil)
		require.NoError(t, err)
		assert.Equal(t, 408, r.StatusCode)
		_, err = io.ReadAll(c.R)
		assert.NoError(t, err, "closed after it")
	}
	assert.Empty(t, w.Jobs())
	n.Eventually(func() bool { return n.Logged("reason=slow-input") })
}

// A connection that was only asked whether we are ready, and stays, is closed; one that brought a job stays.
func TestIdleConnectionsWithoutAJobAreClosed(t *testing.T) {
	n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
	asked, used := standin.Dial(t, n.Front.Address()), standin.Dial(t, n.Front.Address())
	asked.Say("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	used.Say(fmt.Sprintf(requestHead, "id-1") + "\r\n")
	for _, c := range []*standin.Raw{asked, used} {
		r, err := http.ReadResponse(c.R, nil)
		require.NoError(t, err)
		io.Copy(io.Discard, r.Body)
	}
	_, err := asked.R.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	used.Say(fmt.Sprintf(requestHead, "id-2") + "\r\n")
	r, err := http.ReadResponse(used.R, nil)
	require.NoError(t, err)
	assert.Equal(t, 200, r.StatusCode)
}

// The error reaches a client that goes on sending what was not wanted, and the sending is not read for long.
func TestErrorArrivesWhileTheClientSends(t *testing.T) {
	n := standin.Start(t, nil)
	c := standin.Dial(t, n.Front.Address())
	c.Say(fmt.Sprintf(requestHead, "id-1") + "Content-Length: 62914560\r\n\r\n")
	ended := make(chan error, 1)
	go func() {
		_, err := io.CopyN(c.Conn, zeroReader{}, 60<<20)
		ended <- err
	}()
	r, err := http.ReadResponse(c.R, nil)
	require.NoError(t, err)
	assert.Equal(t, 413, r.StatusCode)
	assert.Error(t, <-ended, "cut off")
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// Connections that say nothing take no place from a client that has brought jobs, however many they are.
func TestSilentFloodTakesNoPlaceFromUsualClients(t *testing.T) {
	n := standin.Start(t, func(c *config.Config) { c.Limits.Sockets = 64 }, standin.NewWorker(t, "s-1", nil))
	usual := standin.Dial(t, n.Front.Address())
	ask := func(id string) {
		usual.Say(fmt.Sprintf(requestHead, id) + "\r\n")
		r, err := http.ReadResponse(usual.R, nil)
		require.NoError(t, err)
		assert.Equal(t, 200, r.StatusCode)
		io.Copy(io.Discard, r.Body)
	}
	ask("id-1")
	for range 60 {
		standin.Dial(t, n.Front.Address())
	}
	n.Eventually(func() bool { return n.Logged("reason=over-budget") })
	ask("id-2")
}

// Connections that come faster than the loop turns are bounded by the poller: the descriptors would run out.
func TestPollerBoundsConnectionsWhileTheLoopIsBusy(t *testing.T) {
	n := standin.Start(t, func(c *config.Config) { c.Limits.Sockets = 64 })
	busy := make(chan struct{})
	n.Loop.Post(func() { <-busy })
	const burst, let = 60, 64 - 24/2 // the limit, but for half of the spare part
	closed := make(chan bool, burst)
	for range burst {
		c := standin.Dial(t, n.Front.Address())
		go func() {
			_, err := c.R.ReadByte()
			closed <- err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		}()
	}
	for range burst - let {
		assert.True(t, <-closed, "while the loop stands")
	}
	assert.Empty(t, closed, "those that fit are let in")
	close(busy)
	n.Eventually(func() bool { return n.Logged("reason=over-budget messages=0") })
}

// An id is fresh for every request: one that has ended is another client's, and its worker would turn it away.
func TestAnIdThatHasEndedIsNotTakenAgain(t *testing.T) {
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	require.Equal(t, 200, n.Ask("move", "k", "id-1", 5000, "").Status)
	assert.Equal(t, 400, n.Ask("move", "k", "id-1", 5000, "").Status)
	assert.Len(t, w.Jobs(), 1)
}

// What all clients together may have unread is bounded by the memory that there is.
func TestUnreadInputIsBoundedByTheMemory(t *testing.T) {
	n := standin.Start(t, func(c *config.Config) { c.Limits.MemoryMB = 1 })
	for i := range 3 {
		standin.Dial(t, n.Front.Address()).Say(fmt.Sprintf(requestHead, fmt.Sprint("id-", i)) + "Content-Length: 60000\r\n\r\n" + strings.Repeat("x", 59000))
	}
	n.Eventually(func() bool { return n.Logged("reason=flooding") })
}

// A usual client's new connection has said nothing yet, for a moment: it outlives those that were asked
// something other than a job and stay.
func TestNewConnectionsOutliveThoseThatStayForNothing(t *testing.T) {
	n := standin.Start(t, func(c *config.Config) { c.Limits.Sockets = 64 })
	budget := 24
	for range budget {
		c := standin.Dial(t, n.Front.Address())
		c.Say("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		_, err := http.ReadResponse(c.R, nil)
		require.NoError(t, err)
	}
	var usual []*standin.Raw
	for range 4 {
		usual = append(usual, standin.Dial(t, n.Front.Address()))
	}
	n.Eventually(func() bool { return n.Logged("reason=over-budget") })
	for _, c := range usual {
		c.Say("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		_, err := http.ReadResponse(c.R, nil)
		assert.NoError(t, err)
	}
}
