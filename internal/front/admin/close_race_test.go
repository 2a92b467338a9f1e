package admin_test

import (
	"bufio"
	"net/http"
	"testing"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/standin"
)

// exchange sends a call on a new connection and reads the whole answer.
func exchange(address string) error {
	return standin.Exchange(address, "GET /-/ready HTTP/1.1\r\nHost: ops\r\n\r\n", func(r *bufio.Reader) error {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		return response.Body.Close()
	})
}

// Guards against the reset of connections that wait in the accept queue when the listener closes at the end of the process.
func TestCallRacingListenerCloseIsAnswered(t *testing.T) {
	n := start(t, t.TempDir(), standin.NewWorker(t, "s-1", nil))
	var race *standin.CloseRace
	n.RunOnLoop(func() {
		n.Gateway.Admin.ReplaceListener(func(l netpoll.Listener) (hooked netpoll.Listener) {
			hooked, race = standin.RaceClose(n, l, 1, func(int) error { return exchange(l.Addr().String()) })
			return hooked
		})
	})
	n.Gateway.Stop()
	<-n.Ended
	assert.Empty(t, race.Failures(), "clients without an answer")
}

// Guards against the reset of an accepted connection whose call is unread in the kernel when the front closes.
func TestUnreadCallAtCloseIsAnswered(t *testing.T) {
	n := start(t, t.TempDir(), standin.NewWorker(t, "s-1", nil))
	c := standin.Dial(t, n.Gateway.Admin.Address())
	status, _ := send(t, n, "GET", "/-/ready") // on a connection that is accepted later, so c is registered
	require.Equal(t, 200, status)
	resume := standin.PausePoller(n)
	c.Send("GET /-/ready HTTP/1.1\r\nHost: ops\r\n\r\n")
	n.RunOnLoop(n.Gateway.Admin.Close)
	resume()
	r, err := http.ReadResponse(c.Reader, nil)
	if assert.NoError(t, err) {
		assert.Contains(t, []int{200, 503}, r.StatusCode)
	}
}
